/*
 * shift: limits how fast the requests of an instance move between regions.
 *
 * The servers of a region whose caches are cold are overloaded by traffic that
 * moves there all at once. Each object belongs to a region, and so do the
 * requests for it. The choice of servers would send some share of the requests
 * to other regions; the share that is sent there follows it only slowly. While
 * the two differ, some requests that would leave their region are kept there,
 * or some that would stay are sent elsewhere. These are picked at random, so
 * that noise in the share does not affect single requests.
 *
 * The module only makes decisions; time and random numbers are passed in.
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
	/* Largest change of the share within SHIFT_WINDOW_MS; 0: no limit. */
	double max_share;
	/* Share of the latest requests that would leave without the limit;
	 * wanted_recent is over fewer requests. */
	double wanted, wanted_recent;
	double allowed; /* share of requests that may leave */
	uint64_t allowed_at_ms; /* when allowed was last updated */
};

#define SHIFT_WINDOW_MS 2000

/*
 * max_milli is the largest change of the share within SHIFT_WINDOW_MS, in
 * thousandths; 0: no limit.
 */
void shift_init(struct shift *shift, uint32_t max_milli);

/*
 * Returns whether a request leaves the region that it belongs to. leaves says
 * whether it would leave without the limit. draw is uniform in [0, 1).
 */
bool shift_decide(struct shift *shift, bool leaves, double draw,
		  uint64_t now_ms);

/*
 * The same for a request that shift_decide() has already counted.
 */
bool shift_decide_again(const struct shift *shift, bool leaves, double draw);

/*
 * Counts a request while the limit is suspended. Returns leaves.
 */
bool shift_track(struct shift *shift, bool leaves, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
