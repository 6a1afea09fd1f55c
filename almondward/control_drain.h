/*
 * drain: moves the load of drained backend servers, zones and regions away,
 * step by step. Decisions only; the steps are operations of the leader. See
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

#define DRAIN_STEP_MS 1000

struct drain_upstream {
	const char *name;
	uint32_t cap_permille; /* of its slots, per second */
	uint32_t headroom_permille;
	bool cross_region;
};

struct drain_state;

struct drain_state *drain_create(void);
void drain_destroy(struct drain_state *state);

/*
 * Lowers the usable slots of each server by the drained shares. The slots that
 * a cancelled drain gives back return under the cap too, with drain_begin_round().
 * Returns -1 when memory is exhausted.
 */
int drain_apply(struct drain_state *state, struct alloc_server *servers,
		size_t nr, const Aw__Drain *const *drains, size_t nr_drains);

/*
 * Begins a round of steps, at least DRAIN_STEP_MS after the last one: each
 * upstream may move its cap for one second. servers are as announced.
 */
int drain_begin_round(struct drain_state *state,
		      const struct alloc_server *servers, size_t nr,
		      const struct drain_upstream *ups, size_t nr_ups);

/*
 * Next share of a drain within what the round has left, or the present share
 * when no step is possible. Takes what it uses from the round.
 */
uint32_t drain_next_share(struct drain_state *state, const Aw__Drain *drain,
			  uint64_t now_ms, const struct alloc_server *servers,
			  size_t nr);

/*
 * Whether the slots that remain carry the load with headroom when drain number
 * i has shares[i]. Otherwise writes the figures to text. Only upstreams that
 * the drain numbered subject touches are checked.
 */
bool drain_has_capacity(const struct alloc_server *servers, size_t nr,
			const Aw__Drain *const *drains, const uint32_t *shares,
			size_t nr_drains, size_t subject,
			const struct drain_upstream *ups, size_t nr_ups,
			struct alloc_slots *slots, char *text,
			size_t text_bytes);

#ifdef __cplusplus
}
#endif

#endif
