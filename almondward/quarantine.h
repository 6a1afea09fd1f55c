/*
 * quar: requests that crash the backend servers that run them.
 *
 * Counts the servers that ended under requests with the same fingerprint. A
 * request that was answered is cleared: one that crashes its servers never is.
 * Decisions only: time comes from a clock. See docs/design.md, "Requests that
 * crash servers".
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

#define QUAR_ZONE_FAILURE_SERVERS \
	3 /* lost in one zone: a failure of the zone */
#define QUAR_ZONE_FAILURE_MS 2000
#define QUAR_REQUESTS_MAX 10000
/* A connection that broke shows the end of its server only if that becomes
 * known within this time. */
#define QUAR_EXIT_CONFIRM_MS 10000
/* Servers lost so soon after an answer to the same request say nothing about
 * it, since answers are reported by several instances. */
#define QUAR_ANSWER_GRACE_MS 2000
/* A request that was answered so lately has run without harm: servers that
 * are lost together under it count as one. */
#define QUAR_RECENT_ANSWER_MS 60000
/* Time after the last loss until a request on trial is sent again. */
#define QUAR_TRIAL_DELAY_MS 2000

/* What may be done with a request, the strictest last. */
enum quar_state {
	QUAR_NONE,
	QUAR_WATCHED, /* served, but not sent again by itself */
	QUAR_TRIAL, /* its servers were lost at one moment, or may turn out to
		       have ended: one sending at a time shows whether it or
		       something else ended them */
	QUAR_REFUSED
};

struct quar_limits {
	uint32_t servers; /* different ones lost */
	uint32_t processes; /* also several of one server */
	uint32_t watched; /* lost before a request is listed, 0: it is not */
	/* Reports that a connection broke count only when the end of the server
	 * is known from elsewhere. */
	bool needs_end;
	size_t requests_max;
};

extern const struct quar_limits quar_leased; /* of the leased roles */
extern const struct quar_limits quar_seeded; /* of a seeded cluster */

struct quar;

enum quar_error { QUAR_OK, QUAR_ERR_MEMORY, QUAR_ERR_INVALID };

/*
 * first_version is the version of the empty list; versions only grow.
 */
struct quar *quar_create(struct clk *clk, uint64_t first_version,
			 const struct quar_limits *limits);
void quar_destroy(struct quar *quar);

/*
 * A connection broke after the request was sent, or (weak) it was not answered.
 * Repeating a report changes
 * nothing, but may tell that the server has ended. zone is "" when the server
 * is not known.
 */
enum quar_error quar_add_crash(struct quar *quar, const Aw__CrashReport *crash,
			       const char *zone);

/*
 * That process has ended, or a later one has its address.
 */
void quar_server_exited(struct quar *quar, const char *address,
			uint64_t incarnation);
void quar_server_started(struct quar *quar, const char *address,
			 uint64_t incarnation);

/*
 * A server has answered such a request. Ends what the request was suspected of
 * until then, and a quarantine unless a server was lost since.
 */
void quar_answered(struct quar *quar, const uint8_t fingerprint[HASH_BYTES],
		   uint32_t age_ms);

/*
 * A quarantine that an earlier leader decided.
 */
enum quar_error quar_restore(struct quar *quar, const Aw__Quarantine *held);

/*
 * Drops what has expired. To be called before the list is used.
 */
void quar_tick(struct quar *quar);

/*
 * last_ms, if not NULL, is set to the clock at the last loss of a server.
 */
enum quar_state quar_state(const struct quar *quar,
			   const uint8_t fingerprint[HASH_BYTES],
			   uint64_t *last_ms);
bool quar_has_request(const struct quar *quar,
		      const uint8_t fingerprint[HASH_BYTES]);
size_t quar_nr_requests(const struct quar *quar);

/*
 * Changes when the list for entry instances changes.
 */
uint64_t quar_version(const struct quar *quar);
size_t quar_nr_listed(const struct quar *quar);

/*
 * Fills up to max elements; fingerprints point into quar. Returns the number.
 */
size_t quar_list(const struct quar *quar, Aw__Quarantine *list, size_t max);

#ifdef __cplusplus
}
#endif

#endif
