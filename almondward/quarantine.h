/*
 * quar: quarantine of requests that crash backend servers.
 *
 * Counts the servers that exited while they handled requests with the same
 * fingerprint. A response clears a request, since a request that crashes its
 * servers never gets one. This module only decides and does no I/O; the time
 * comes from a clock. See docs/design.md, "Requests that crash servers".
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QUAR_ZONE_FAILURE_SERVERS 3 /* exits that show a zone failure */
#define QUAR_ZONE_FAILURE_MS 2000
#define QUAR_REQUESTS_MAX 10000
/* A broken connection or an unanswered attempt counts as a crash only if the
 * exit of its server becomes known within this time. */
#define QUAR_EXIT_CONFIRM_MS 10000
/* Crashes up to this long after a response to the same request are ignored,
 * since several instances report responses and crashes independently. */
#define QUAR_ANSWER_GRACE_MS 2000
/* A request with a response this recent is known to be handled without a crash:
 * concurrent crashes then count as one. */
#define QUAR_RECENT_ANSWER_MS 60000
/* Time from the last crash to the next trial. */
#define QUAR_TRIAL_DELAY_MS 2000

/* How a request is treated, the strictest last. */
enum quar_state {
	QUAR_NONE,
	QUAR_WATCHED, /* forwarded, but not retried */
	/* The crashes were concurrent, or unanswered attempts may turn out to be
	 * crashes: one attempt at a time shows whether the request caused them. */
	QUAR_TRIAL,
	QUAR_REFUSED
};

struct quar_limits {
	uint32_t servers; /* crashed servers with different addresses */
	uint32_t processes; /* crashes, several of one server included */
	uint32_t watch_processes; /* crashes for QUAR_WATCHED, 0: never */
	/* A reported broken connection counts only once the exit of the server
	 * is known. */
	bool needs_exit;
	size_t requests_max;
};

extern const struct quar_limits quar_leased; /* outside seeded clusters */
extern const struct quar_limits quar_seeded; /* for a seeded cluster */

struct quar;

enum quar_error { QUAR_OK, QUAR_ERR_MEMORY, QUAR_ERR_INVALID };

/*
 * Returns NULL when memory is exhausted. first_version is the version of the
 * empty list; versions only grow.
 */
struct quar *quar_create(struct clk *clk, uint64_t first_version,
			 const struct quar_limits *limits);
void quar_destroy(struct quar *quar);

/*
 * Records that the connection of an attempt broke, or that the attempt was
 * unanswered. report->weak marks ambiguous evidence: an unanswered attempt, or
 * a cold server, which may exit for other reasons. A repeated report changes
 * nothing, except that it may add that the server has exited, or replace
 * ambiguous evidence by unambiguous. zone is "" if the server is unknown.
 */
enum quar_error quar_add_crash(struct quar *quar, const Aw__CrashReport *report,
			       const char *zone);

/*
 * Confirm crashes: quar_server_exited() records that this process has exited,
 * quar_server_started() that it runs, so that all earlier processes at the
 * address have exited.
 */
void quar_server_exited(struct quar *quar, const char *address,
			uint64_t incarnation);
void quar_server_started(struct quar *quar, const char *address,
			 uint64_t incarnation);

/*
 * Records that a server responded to the request age_ms ago. Clears the crashes
 * up to then, and lifts a quarantine unless a server crashed since.
 */
void quar_answered(struct quar *quar, const uint8_t fingerprint[HASH_BYTES],
		   uint32_t age_ms);

/*
 * Restores a quarantine that an earlier leader decided.
 */
enum quar_error quar_restore(struct quar *quar, const Aw__Quarantine *record);

/*
 * Discards what has expired. Call it before the list is used.
 */
void quar_tick(struct quar *quar);

/*
 * Sets last_crash_ms, if not NULL, to the time of the last crash.
 */
enum quar_state quar_state(const struct quar *quar,
			   const uint8_t fingerprint[HASH_BYTES],
			   uint64_t *last_crash_ms);
bool quar_has_request(const struct quar *quar,
		      const uint8_t fingerprint[HASH_BYTES]);
size_t quar_nr_requests(const struct quar *quar);

/*
 * Returns a number that changes whenever the list for entry instances changes.
 */
uint64_t quar_version(const struct quar *quar);
size_t quar_nr_listed(const struct quar *quar);

/*
 * Fills in up to max elements and returns their number. The fingerprints point
 * into quar.
 */
size_t quar_list(const struct quar *quar, Aw__Quarantine *list, size_t max);

#ifdef __cplusplus
}
#endif

#endif
