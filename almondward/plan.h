/*
 * plan: the service plan, one document of routes, upstreams and customers.
 *
 * Control instances check and apply operators' changes in log order; entry
 * instances apply the accepted ones. The module does no I/O.
 */
#ifndef PLAN_H
#define PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Accepted changes that are remembered, so that a resend is recognized. */
#define PLAN_DIGESTS_MAX 4096

struct plan;

enum plan_result {
	PLAN_ACCEPTED,
	PLAN_REPEATED, /* accepted before; the plan is unchanged */
	PLAN_CONFLICT, /* the base version is not the current version */
	PLAN_INVALID,
	PLAN_ERR_MEMORY /* the plan is unchanged */
};

/*
 * Returns an empty plan with version 0, or NULL when memory is exhausted.
 */
struct plan *plan_create(void);
void plan_destroy(struct plan *plan);

/*
 * Checks a change from the log entry index and applies it if it is valid.
 * Otherwise writes the reason to detail.
 */
enum plan_result plan_change(struct plan *plan, uint64_t index,
			     const Aw__PlanChange *change, char *detail,
			     size_t detail_bytes);

/*
 * Applies a change that the control instances have accepted. Returns -1 when
 * memory is exhausted; the plan is then incomplete and can only be destroyed.
 * A change whose log index is not above that of the plan is ignored.
 */
int plan_apply_accepted(struct plan *plan, const Aw__PlanChange *change);

/*
 * Replaces the plan by a copy of another one, unless that one is older. Returns
 * -1 when memory is exhausted; the plan is unchanged then.
 */
int plan_replace(struct plan *plan, const Aw__Plan *from);

/*
 * The plan as a message, valid until the next change.
 */
const Aw__Plan *plan_message(const struct plan *plan);
uint64_t plan_version(const struct plan *plan);
uint64_t plan_index(const struct plan *plan);

/*
 * Returns the route with the longest path prefix that matches, or NULL. A port
 * in the host is ignored, and the host is compared case-insensitively.
 */
const Aw__PlanRoute *plan_route(const struct plan *plan, const char *host,
				const char *path);
const Aw__PlanCustomer *plan_customer_by_key(const struct plan *plan,
					     const char *key);
const Aw__PlanUpstream *plan_upstream(const struct plan *plan,
				      const char *name);

/*
 * Fills in up to max digests of accepted changes for a snapshot, oldest first,
 * and returns their number. The bytes belong to the plan.
 */
size_t plan_digests(const struct plan *plan, ProtobufCBinaryData *digests,
		    size_t max);
/*
 * Adds a digest from a snapshot and discards the oldest one beyond
 * PLAN_DIGESTS_MAX. Returns -1 when memory is exhausted.
 */
int plan_load_digest(struct plan *plan, const ProtobufCBinaryData *digest);

#ifdef __cplusplus
}
#endif

#endif
