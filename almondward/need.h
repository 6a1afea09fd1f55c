/*
 * need: how many requests the instances of a region have under way, by
 * upstream.
 *
 * Each instance tells the others of its region its own numbers from time to
 * time. They say how much a region asks for, not how busy a server is (see
 * coord), so they may be some seconds old. Decisions only: time comes from a
 * clock.
 */
#ifndef NEED_H
#define NEED_H

#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The numbers of an instance count for so long; it repeats them sooner. */
#define NEED_LIFETIME_MS 12000
#define NEED_UPSTREAMS_MAX 32 /* that one instance tells of */

struct need;

struct need_entry {
	uint32_t upstream; /* hash of its name */
	uint32_t running;
};

/*
 * Returns NULL when memory is exhausted.
 */
struct need *need_create(struct clk *clk);
void need_destroy(struct need *need);

/*
 * Takes the numbers of another instance. Older ones than the last of the same
 * incarnation are ignored.
 */
void need_hear(struct need *need, const char *instance, uint64_t incarnation,
	       uint64_t sequence, const struct need_entry *entries, size_t nr);

/*
 * Requests of the other instances at an upstream.
 */
uint32_t need_total(const struct need *need, uint32_t upstream);

/*
 * Forgets instances that are silent. To be called several times a second.
 */
void need_tick(struct need *need);

#ifdef __cplusplus
}
#endif

#endif
