/*
 * fleet: the replicated state machine.
 *
 * Applies committed operations in log order. The same log produces the same
 * state and the same results on every instance: the only time used is
 * Op.time_ms, never a local clock.
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
 * Applies the operation at a log index, which must be one above the last
 * applied index. The caller frees *result with
 * aw__op_result__free_unpacked(result, NULL). A refused operation returns
 * FLEET_OK and its result contains the refusal. After an error the state must
 * not be used any more: after FLEET_ERR_MEMORY the operation may be applied in
 * part, and FLEET_ERR_MALFORMED means an index out of order.
 */
enum fleet_error fleet_apply(struct fleet *fleet, uint64_t index,
			     const Aw__Op *op, Aw__OpResult **result);

/*
 * Advances the applied index past an entry that holds no operation.
 */
void fleet_skip_entry(struct fleet *fleet, uint64_t index);

uint64_t fleet_applied_index(const struct fleet *fleet);

/*
 * Returns the replicated time: the latest Op.time_ms that was applied, or 0 if
 * no operation had one yet.
 */
uint64_t fleet_time_ms(const struct fleet *fleet);

/*
 * Returns the log index of the last change to the state that entry instances
 * receive.
 */
uint64_t fleet_state_version(const struct fleet *fleet);

/*
 * Returns the configuration, which is empty and has version 1 at first, and is
 * never NULL. Valid until the next apply or load.
 */
const Aw__Config *fleet_config(const struct fleet *fleet);

/*
 * Return the keys and the drains, valid until the next apply or load.
 */
const Aw__Key *const *fleet_keys(const struct fleet *fleet, size_t *nr);
const Aw__Drain *const *fleet_drains(const struct fleet *fleet, size_t *nr);

/*
 * Returns the number of claims, including those of released requests.
 */
size_t fleet_nr_claims(const struct fleet *fleet);

/*
 * Return the service plan and the names of the evacuated zones, valid until the
 * next apply or load.
 */
const struct plan *fleet_plan(const struct fleet *fleet);
const char *const *fleet_evacuated_zones(const struct fleet *fleet, size_t *nr);

/*
 * Returns true if this incarnation of a server, or a later one, has announced
 * its departure.
 */
bool fleet_has_departed(const struct fleet *fleet, const char *server_id,
			uint64_t incarnation);

/*
 * Returns the records of requests in quarantine because they crash servers,
 * each with the replicated time at which it expires. Valid until the next apply
 * or load.
 */
const Aw__QuarantineRecord *const *fleet_quarantines(const struct fleet *fleet,
						     size_t *nr);

/*
 * Returns the log index of the last change of the plan or the evacuated zones,
 * or the applied index of the loaded state if nothing has changed since.
 */
uint64_t fleet_service_index(const struct fleet *fleet);

/*
 * Append a packed FleetState to a buffer: fleet_pack() all of it, for a
 * snapshot, fleet_pack_for_entry() the part that entry instances need.
 */
enum fleet_error fleet_pack(const struct fleet *fleet, struct buf *out);
enum fleet_error fleet_pack_for_entry(const struct fleet *fleet,
				      struct buf *out);

/*
 * Replaces the state by a packed one. Leaves it unchanged on error.
 */
enum fleet_error fleet_load(struct fleet *fleet, const uint8_t *data,
			    size_t len_bytes);

#ifdef __cplusplus
}
#endif

#endif
