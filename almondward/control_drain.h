/*
 * drain: moves load away from drained backend servers, zones and regions step
 * by step. Computes the steps only; the leader proposes them as operations. See
 * docs/design.md, "Moves".
 */
#ifndef CONTROL_DRAIN_H
#define CONTROL_DRAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "alloc.h"
#include "almondward.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Minimum time between two rounds of steps. */
#define DRAIN_STEP_MS 1000

/* Limits of drains in one upstream. */
struct drain_upstream {
	const char *name;
	uint32_t cap_permille; /* share of its slots that may move per second */
	uint32_t headroom_permille; /* of the remaining slots, kept free */
	bool cross_region; /* requests may go to another region */
};

struct drain_state;

struct drain_state *drain_create(void);
void drain_destroy(struct drain_state *state);

/*
 * Reduces the usable slots of each server by the slots that the drains
 * withhold. The slots of a cancelled drain are returned under the cap too, from
 * the budget that drain_begin_round() adds. Returns -1 when memory is
 * exhausted.
 */
int drain_apply(struct drain_state *state, struct alloc_server *servers,
		size_t nr, const Aw__Drain *const *drains, size_t nr_drains);

/*
 * Begins a round of steps, at least DRAIN_STEP_MS after the previous one: adds
 * the cap of one second to the budget of each upstream. servers are as
 * announced, before drain_apply(). Returns -1 when memory is exhausted.
 */
int drain_begin_round(struct drain_state *state,
		      const struct alloc_server *servers, size_t nr,
		      const struct drain_upstream *upstreams,
		      size_t nr_upstreams);

/*
 * Returns the next share of a drain that the ramp and the remaining budget of
 * the round allow, or the current share if no step is possible. Deducts the
 * moved slots from the budget.
 */
uint32_t drain_next_share(struct drain_state *state, const Aw__Drain *drain,
			  uint64_t now_ms, const struct alloc_server *servers,
			  size_t nr);

/*
 * Returns whether the remaining slots can take the load and keep the headroom
 * free when each drains[i] has shares[i]. If not, writes the figures to text.
 * Checks only upstreams that drains[subject] affects.
 */
bool drain_has_capacity(const struct alloc_server *servers, size_t nr,
			const Aw__Drain *const *drains, const uint32_t *shares,
			size_t nr_drains, size_t subject,
			const struct drain_upstream *upstreams,
			size_t nr_upstreams, struct alloc_slots *slots,
			char *text, size_t text_bytes);

#ifdef __cplusplus
}
#endif

#endif
