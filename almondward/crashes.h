/*
 * crs: what one entry instance of a seeded cluster knows of requests that
 * crash backend servers.
 *
 * It reports connections that broke and answers to requests that are suspected,
 * follows the list of the leader, and decides by itself what the leader cannot
 * tell. Decisions only: time comes from a clock, there is no I/O.
 */
#ifndef CRASHES_H
#define CRASHES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "quarantine.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CRS_REPORTS_MAX 256 /* kept for a new leader; the oldest go first */
#define CRS_ANSWERS_MAX 64 /* not yet told */
#define CRS_LISTED_MAX 1024
#define CRS_PEER_REPORTS_MAX 4 /* of each kind in one datagram */
/* Own decisions hold beside those of a leader for so long: its list may be
 * under way, or it may be gone without a sign. */
#define CRS_OWN_DECISION_MS 3000
/* Instances send a request on trial in turns of this time. */
#define CRS_TRIAL_TURN_MS 1000

struct crs;

/* A connection that broke after the request was sent. */
struct crs_failed_attempt {
	const uint8_t *fingerprint;
	const char *server_id;
	const char *address;
	const char *zone;
	uint64_t incarnation;
	uint32_t took_ms; /* since the sending */
	bool weak; /* the server may end for another reason, as it is cold */
};

/* Who may send a request on trial. */
struct crs_fleet {
	const char *instance; /* this one */
	bool in_touch; /* with a leader */
	const Aw__Instance *const *instances; /* all, of any order */
	size_t nr_instances;
};

struct crs_verdict {
	enum quar_state state; /* QUAR_TRIAL: this sending is the trial */
	uint32_t retry_after_ms; /* with QUAR_REFUSED */
};

/*
 * Returns NULL when memory is exhausted.
 */
struct crs *crs_create(struct clk *clk);
void crs_destroy(struct crs *crs);

/*
 * Returns whether the request is suspected: then the end of the server is to be
 * found out. Not if it was answered lately.
 */
bool crs_connection_broken(struct crs *crs,
			   const struct crs_failed_attempt *broke);

/*
 * The sending ended without an answer and without a break: the time was up, or
 * the caller left. It counts if the server turns out to have ended; until then
 * the leader is told if the request is suspected or listed, or was not answered
 * by another server before.
 */
void crs_unanswered(struct crs *crs, const struct crs_failed_attempt *sending);

/*
 * A process has started at that address. Returns whether that makes news.
 */
bool crs_server_started(struct crs *crs, const char *address,
			uint64_t incarnation);

/*
 * Nothing listens at the address of that process any more, or another process
 * does.
 */
void crs_server_exited(struct crs *crs, const char *address,
		       uint64_t incarnation);

/*
 * A server has run the request and answered.
 */
void crs_answered(struct crs *crs, const uint8_t fingerprint[HASH_BYTES]);

/*
 * Takes the list of the leader. Returns -1 when memory is exhausted.
 */
int crs_apply_feed(struct crs *crs, const Aw__Feed *feed);

/*
 * False: no request is suspected, listed or on trial, so that fingerprints need
 * not be made.
 */
bool crs_has_requests(const struct crs *crs);

/*
 * Whether the request may be sent now. A trial is used up by that.
 */
void crs_check(struct crs *crs, const uint8_t fingerprint[HASH_BYTES],
	       const struct crs_fleet *place, struct crs_verdict *verdict);

/*
 * What the leader has not been told; valid until the next call. False: nothing.
 */
bool crs_pending_reports(struct crs *crs, Aw__CrashNews *news);
void crs_reports_sent(struct crs *crs);

/*
 * Ends of servers and answers for the other instances, while there is no leader
 * to tell. Each is given once; false: nothing is left.
 */
bool crs_peer_reports(struct crs *crs, Aw__CrashNews *news);

/*
 * What another instance without a leader told. It is told to the leader from
 * here, if there is one.
 */
void crs_receive_reports(struct crs *crs, const Aw__CrashNews *news);

/*
 * A new leader knows nothing of what the last one was told.
 */
void crs_report_again(struct crs *crs);

/*
 * To be called several times a second.
 */
void crs_tick(struct crs *crs);

#ifdef __cplusplus
}
#endif

#endif
