/*
 * shift: bounds how fast an instance's requests move between regions.
 *
 * A region whose caches are cold is overrun by traffic that moves to it at
 * once. Requests for an object belong to a region. The share of those that run
 * in another one follows what the choice of servers asks for only slowly: some
 * that would leave are kept, or some that would come back are still sent away,
 * by chance, so that single requests are not held up by the noise of others.
 * Decisions only: time and chance are passed in.
 */
#ifndef SHIFT_H
#define SHIFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct shift {
	double max; /* share that may move within SHIFT_WINDOW_MS */
	/* Shares of the latest requests that would leave, of more and less. */
	double wanted, wanted_lately;
	double allowed; /* share that leaves */
	uint64_t moved_ms; /* when the latter last moved */
};

#define SHIFT_WINDOW_MS 2000

/*
 * max_milli: share in thousandths that may move within SHIFT_WINDOW_MS, 0: no
 * limit.
 */
void shift_init(struct shift *shift, uint32_t max_milli);

/*
 * Whether a request leaves the region that it belongs to. leaves: it would,
 * without the limit. chance: uniform in [0, 1).
 */
bool shift_decide(struct shift *shift, bool leaves, double chance,
		  uint64_t now_ms);

/*
 * The same for a request that was decided about before.
 */
bool shift_judge(const struct shift *shift, bool leaves, double chance);

/*
 * Notes a request while the limit does not bind. Returns leaves.
 */
bool shift_follow(struct shift *shift, bool leaves, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
