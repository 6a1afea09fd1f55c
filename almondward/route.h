/*
 * route: checks of targets and the choice of a backend server. Pure: no I/O,
 * time is passed in.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * False for a target that a backend server could take for another path than
 * the one that the routes are matched with: dot or empty segments, a
 * backslash, or percent-encoded characters that need no encoding.
 */
bool route_target_ok(const char *target);

/*
 * True if the method is in the route's list; an empty list allows all.
 */
bool route_method_ok(const Aw__Route *route, const char *method);

/*
 * What responses of one server showed.
 */
struct route_stats {
	uint64_t latency_us; /* moving average, 0: none yet */
	uint64_t latency_at_ms; /* when it was last updated */
	uint32_t failures; /* consecutive */
	uint64_t ejected_until_ms;
	uint64_t shed_until_ms; /* its Retry-After */
	uint64_t failing_until_ms; /* refuses connections or is silent */
};

void route_stats_success(struct route_stats *stats, uint64_t latency_us,
			 uint64_t now_ms);

/*
 * Counts a failure. Returns true if the server has reached eject_failures and
 * is to be ejected, see route_may_eject().
 */
bool route_stats_failure(struct route_stats *stats, uint32_t eject_failures);

enum route_group { ROUTE_SAME_ZONE, ROUTE_SAME_REGION, ROUTE_OTHER_REGION };

struct route_candidate {
	const char *address;
	const char *zone;
	const char *region;
	enum route_group group;
	bool leaving;
	bool silent; /* no heartbeat within the limit */
	bool link_ok; /* link tokens are available; other regions only */
	bool tried; /* failed for this request before */
	uint32_t drained_permille;
	uint32_t held_slots;
	uint32_t used_slots;
	struct route_stats stats;
};

/*
 * Why a candidate was not chosen.
 */
enum route_verdict {
	ROUTE_CHOSEN,
	ROUTE_LEAVING,
	ROUTE_SILENT,
	ROUTE_EJECTED,
	ROUTE_SHEDDING,
	ROUTE_DRAINED,
	ROUTE_CROSS_REGION,
	ROUTE_NO_SLOT,
	ROUTE_NO_LINK_TOKENS,
	ROUTE_FARTHER,
	ROUTE_SLOWER,
	ROUTE_TRIED,
	ROUTE_FAILING
};

const char *route_verdict_name(enum route_verdict verdict);

struct route_question {
	uint64_t now_ms;
	bool cross_region; /* policy allows other regions */
	bool retry; /* servers that shed load get no retries */
	/* Rather a server that fails than waiting any longer. */
	bool last_resort;
	/* Servers that are drained more are left out. */
	uint32_t draw_permille;
};

#define ROUTE_DRAW_MAX 999

/*
 * How long a server counts as failing after a connection to it could not be
 * made, broke or went silent: until the leader knows whether it is dead.
 */
#define ROUTE_FAILING_MS SERVER_SILENT_MS

/*
 * Chooses a server. Returns its position or -1; verdicts, if not NULL, has
 * room for nr. A partly drained server is used for the moved share too while
 * no other server may be used at all, an ejected one if the others failed for
 * this request. A server that failed for this request is chosen only if there
 * is no other.
 */
int route_choose(const struct route_candidate *candidates, size_t nr,
		 const struct route_question *question,
		 enum route_verdict *verdicts);

/*
 * True if one more of these servers may be ejected without more than half of
 * them ejected or silent.
 */
bool route_may_eject(const struct route_candidate *candidates, size_t nr,
		     uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
