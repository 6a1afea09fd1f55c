/*
 * route: validates request targets and chooses a backend server. There is no
 * I/O; time is passed in.
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
 * Returns false for a target that a backend server could interpret as another
 * path than the one that the routes are matched with: dot or empty segments, a
 * backslash, or percent-encoded characters that need no encoding.
 */
bool route_target_ok(const char *target);

/*
 * Returns true if the method is in the route's list; an empty list allows all
 * methods.
 */
bool route_method_ok(const Aw__Route *route, const char *method);

/*
 * Measurements from the responses of one server.
 */
struct route_stats {
	uint64_t latency_us; /* moving average, 0: none yet */
	uint64_t latency_at_ms; /* when it was last updated */
	uint32_t failures; /* consecutive */
	uint64_t ejected_until_ms;
	uint64_t shed_until_ms; /* end of its Retry-After */
	/* It refused connections or did not respond. */
	uint64_t failing_until_ms;
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
	bool tried; /* an attempt of this request failed there */
	uint32_t drained_permille;
	uint32_t held_slots;
	uint32_t used_slots;
	struct route_stats stats;
};

/*
 * The result for a candidate: chosen, or the reason why it was not.
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

struct route_query {
	uint64_t now_ms;
	bool cross_region; /* the policy allows other regions */
	/* Not the first attempt; servers that shed load get no retries. */
	bool retry;
	/* Prefer a failing server to waiting any longer. */
	bool last_resort;
	/* Servers with a higher drained_permille are excluded. */
	uint32_t draw_permille;
};

#define ROUTE_DRAW_MAX 999

/*
 * A server counts as failing for this time after a connection to it was
 * refused or broke, or after an attempt got no response. By then the leader
 * knows whether the server has exited.
 */
#define ROUTE_FAILING_MS SERVER_SILENT_MS

/*
 * Chooses a server. Returns its index or -1; verdicts, if not NULL, must have
 * nr elements. A partly drained server also gets the drained share of requests
 * while no other server may be used at all, and an ejected server is used if
 * the others failed for this request. A server that failed for this request is
 * chosen only if there is no other.
 */
int route_choose(const struct route_candidate *candidates, size_t nr,
		 const struct route_query *query, enum route_verdict *verdicts);

/*
 * Returns true if one more of these servers may be ejected while at most half
 * of them are ejected or silent.
 */
bool route_may_eject(const struct route_candidate *candidates, size_t nr,
		     uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
