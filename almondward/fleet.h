/*
 * fleet: the replicated state machine.
 *
 * Applies committed operations in log order. The same log gives the same state
 * and the same results on every instance: nothing depends on a local clock,
 * only on Op.time_ms.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"
#include "plan.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fleet;

enum fleet_error { FLEET_OK, FLEET_ERR_MEMORY, FLEET_ERR_MALFORMED };

struct fleet *fleet_create(void);
void fleet_destroy(struct fleet *fleet);

/*
 * Applies the operation at that log index, which is one above the last
 * applied. *result is freed by aw__op_result__free_unpacked(result, NULL).
 * A refused operation is FLEET_OK with a result that says so. After an error
 * the state must not be used any more: FLEET_ERR_MEMORY may come half way, and
 * FLEET_ERR_MALFORMED is an index out of order.
 */
enum fleet_error fleet_apply(struct fleet *fleet, uint64_t index,
			     const Aw__Op *op, Aw__OpResult **result);

/*
 * Records that an entry without operation was applied.
 */
void fleet_skip(struct fleet *fleet, uint64_t index);

uint64_t fleet_applied_index(const struct fleet *fleet);

/*
 * Replicated time, 0 before the first operation that has one.
 */
uint64_t fleet_time_ms(const struct fleet *fleet);

/*
 * Log index of the last change that entry instances need.
 */
uint64_t fleet_state_version(const struct fleet *fleet);

/*
 * Never NULL; an empty configuration of version 1 at first. Valid until the next apply.
 */
const Aw__Config *fleet_config(const struct fleet *fleet);

/*
 * Keys and drains, valid until the next apply.
 */
const Aw__Key *const *fleet_keys(const struct fleet *fleet, size_t *nr);
const Aw__Drain *const *fleet_drains(const struct fleet *fleet, size_t *nr);
size_t fleet_claims(const struct fleet *fleet);

/*
 * The service plan, valid until the next apply or load.
 */
const struct plan *fleet_plan(const struct fleet *fleet);
const char *const *fleet_evacuated_zones(const struct fleet *fleet, size_t *nr);

/*
 * True if that start of a server, or a later one, has said that it leaves.
 */
bool fleet_has_departed(const struct fleet *fleet, const char *server_id,
			uint64_t incarnation);

/*
 * Requests that crash servers, with the replicated time at which that ends.
 * Valid until the next apply or load.
 */
const Aw__QuarantineRecord *const *fleet_quarantines(const struct fleet *fleet,
						     size_t *nr);

/*
 * Log index of the last change of the plan or of the evacuated zones.
 */
uint64_t fleet_service_index(const struct fleet *fleet);

/*
 * Packs a FleetState: the whole for a snapshot, or what entry instances need.
 */
enum fleet_error fleet_pack(const struct fleet *fleet, struct buf *out);
enum fleet_error fleet_pack_for_entry(const struct fleet *fleet,
				      struct buf *out);

/*
 * Replaces the state by a packed one; unchanged on error.
 */
enum fleet_error fleet_load(struct fleet *fleet, const uint8_t *data,
			    size_t len_bytes);

#ifdef __cplusplus
}
#endif

#endif
