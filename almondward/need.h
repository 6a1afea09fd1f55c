/*
 * need: demand of a region, which is the number of requests that its instances
 * have in flight at each upstream.
 *
 * Each instance repeatedly sends its own numbers to the other instances of its
 * region. They are used for the total demand, not for the load of single
 * servers (see coord), so they may be some seconds old. The module only makes
 * decisions; time comes from a clock.
 */
#ifndef NEED_H
#define NEED_H

#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Numbers of an instance expire after this time; the instance sends new ones
 * sooner. */
#define NEED_LIFETIME_MS 12000
#define NEED_UPSTREAMS_MAX 32 /* upstreams that one instance reports */

struct need;

struct need_entry {
	uint32_t upstream; /* hash of its name */
	uint32_t in_flight;
};

/*
 * Returns NULL when memory is exhausted.
 */
struct need *need_create(struct clk *clk);
void need_destroy(struct need *need);

/*
 * Takes the numbers of another instance. Numbers that are older than the last
 * ones of the same incarnation are ignored.
 */
void need_receive(struct need *need, const char *instance, uint64_t incarnation,
		  uint64_t sequence, const struct need_entry *entries,
		  size_t nr);

/*
 * Returns the requests that the other instances have in flight at an upstream.
 */
uint32_t need_total(const struct need *need, uint32_t upstream);

/*
 * Discards instances whose numbers have expired. Call several times a second.
 */
void need_tick(struct need *need);

#ifdef __cplusplus
}
#endif

#endif
