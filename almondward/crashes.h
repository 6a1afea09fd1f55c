/*
 * crs: the knowledge of one entry instance in a seeded cluster about requests
 * that crash backend servers.
 *
 * Collects reports for the leader about broken connections and about responses
 * to suspected requests, applies the leader's list, and counts crashes by
 * itself for the time in which the leader's list cannot show them. This module
 * only decides and does no I/O; the time comes from a clock.
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

#define CRS_REPORTS_MAX 256 /* kept for a new leader, the newest ones */
#define CRS_ANSWERS_MAX 64 /* not yet reported */
#define CRS_LISTED_MAX 1024
#define CRS_PEER_REPORTS_MAX 4 /* of each kind in one datagram */
/* Decisions of this instance apply in addition to the leader's for this long:
 * the leader's list may be in flight, or the leader may have failed
 * unnoticed. */
#define CRS_OWN_DECISION_MS 3000
/* Instances take turns of this length to send the trial of a request. */
#define CRS_TRIAL_TURN_MS 1000

struct crs;

/* An attempt whose connection broke, or that was unanswered. */
struct crs_failed_attempt {
	const uint8_t *fingerprint;
	const char *server_id;
	const char *address;
	const char *zone;
	uint64_t incarnation;
	uint32_t took_ms; /* from the start of the attempt */
	bool ambiguous; /* a cold server may exit for other reasons */
};

/* What determines whose turn it is to send a trial. */
struct crs_fleet {
	const char *instance; /* this one */
	bool has_leader; /* has received the list of a leader */
	const Aw__Instance *const *instances; /* in any order */
	size_t nr_instances;
};

struct crs_verdict {
	enum quar_state state; /* QUAR_TRIAL: this attempt is the trial */
	uint32_t retry_after_ms; /* with QUAR_REFUSED */
};

/*
 * Returns NULL when memory is exhausted.
 */
struct crs *crs_create(struct clk *clk);
void crs_destroy(struct crs *crs);

/*
 * Records a broken connection. Returns true if the request is now suspected and
 * the caller has to find out whether the server exited, and false if the
 * request got a response recently.
 */
bool crs_connection_broken(struct crs *crs,
			   const struct crs_failed_attempt *attempt);

/*
 * Records an attempt that finished without a response and without a broken
 * connection, because the time limit expired or the caller left. It counts as a
 * crash if the server turns out to have exited. Until then it is reported to
 * the leader only if the request is suspected or listed, or was unanswered by
 * another server before.
 */
void crs_unanswered(struct crs *crs, const struct crs_failed_attempt *attempt);

/*
 * Records that a process started at the address. Returns whether an earlier
 * process there had unanswered attempts, which now count as crashes unless
 * their requests got a response.
 */
bool crs_server_started(struct crs *crs, const char *address,
			uint64_t incarnation);

/*
 * Records that this process exited: nothing listens at its address any more, or
 * another process does.
 */
void crs_server_exited(struct crs *crs, const char *address,
		       uint64_t incarnation);

/*
 * Returns whether this process exited, or broke a connection or left an attempt
 * unanswered within QUAR_EXIT_CONFIRM_MS, as far as this instance has reported.
 */
bool crs_may_have_exited(const struct crs *crs, const char *address,
			 uint64_t incarnation);

/*
 * Records that a server handled the request and responded.
 */
void crs_answered(struct crs *crs, const uint8_t fingerprint[HASH_BYTES]);

/*
 * Applies the leader's list. Returns -1 when memory is exhausted.
 */
int crs_apply_feed(struct crs *crs, const Aw__Feed *feed);

/*
 * Returns false if no request is suspected, listed or on trial, so that no
 * fingerprints need to be computed.
 */
bool crs_has_requests(const struct crs *crs);

/*
 * Decides whether the request may be forwarded now. A verdict of QUAR_TRIAL
 * uses up this instance's trial for its turn.
 */
void crs_check(struct crs *crs, const uint8_t fingerprint[HASH_BYTES],
	       const struct crs_fleet *fleet, struct crs_verdict *verdict);

/*
 * Fills in the reports that the leader has not received, valid until the next
 * call. Returns false if there are none.
 */
bool crs_pending_reports(struct crs *crs, Aw__CrashNews *reports);
void crs_reports_sent(struct crs *crs);

/*
 * Fills in exits of servers and responses for the other instances, for the time
 * without a leader. Returns each report once, and false when none is left.
 */
bool crs_peer_reports(struct crs *crs, Aw__CrashNews *reports);

/*
 * Adds the reports of another instance that has no leader. This instance passes
 * them on to its leader, if it has one.
 */
void crs_receive_reports(struct crs *crs, const Aw__CrashNews *reports);

/*
 * Marks all reports as pending, since a new leader does not have the reports
 * that its predecessor received.
 */
void crs_report_again(struct crs *crs);

/*
 * Discards what has expired. Call it several times a second.
 */
void crs_tick(struct crs *crs);

#ifdef __cplusplus
}
#endif

#endif
