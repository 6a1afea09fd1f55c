/*
 * agent: the entry instance's side of Report and Grant.
 *
 * Sends reports to the leader and holds what the leader grants to this
 * instance: lease, state, tokens, slots and tables. Does no I/O: time comes
 * from a clock, frames are sent by a callback. See docs/design.md, "Rules for
 * Report and Grant".
 */
#ifndef AGENT_H
#define AGENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "counter.h"
#include "route.h"
#include "types.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

struct agent;

struct agent_settings {
	const char *name;
	const char *zone;
	const char *address; /* at which callers reach this instance */
	uint64_t incarnation; /* random, drawn at process start */
	struct clk *clk; /* not owned */
	struct ctr_set *counters; /* may be NULL */
};

struct agent_ops {
	/* Sends to a control instance; false if there is no link to it. */
	bool (*send)(void *arg, const char *control, const Aw__Frame *frame);
	/* A Grant was applied: anything read from the agent may differ. */
	void (*changed)(void *arg);
};

/*
 * Returns NULL when memory is exhausted. Strings of settings are copied.
 */
struct agent *agent_create(const struct agent_settings *settings,
			   const struct agent_ops *ops, void *arg);

/*
 * Does not run the callbacks of calls that are still open.
 */
void agent_destroy(struct agent *agent);

/*
 * Call about every 10 ms.
 */
void agent_tick(struct agent *agent);

/* ---- events from the links to control instances ---- */

/*
 * A control instance has named the leader that it knows, or "", and its term.
 */
void agent_control_ping(struct agent *agent, const char *control,
			const char *leader, uint64_t term);
/* The link to a control instance was lost. */
void agent_control_down(struct agent *agent, const char *control);
void agent_handle_frame(struct agent *agent, const char *control,
			const Aw__Frame *frame);

/*
 * Returns the name of the control instance that reports are sent to, or "".
 */
const char *agent_leader(const struct agent *agent);

/* ---- lease and state ---- */

/*
 * Returns true while the lease, counted from the sending of the report, has not
 * expired.
 */
bool agent_lease_ok(struct agent *agent);

/*
 * Returns the last state that was applied; NULL before the first. Valid until
 * the next call of agent_handle_frame().
 */
const struct view *agent_view(const struct agent *agent);

/*
 * Returns the milliseconds since the sending of the last report that a Grant
 * answered.
 */
uint64_t agent_answered_report_age_ms(const struct agent *agent);

/*
 * Returns the entry instances that the leader listed.
 */
const Aw__Instance *const *agent_instances(const struct agent *agent,
					   size_t *nr);

/*
 * Makes all further reports say that this instance is leaving.
 */
void agent_set_leaving(struct agent *agent);

/*
 * Requests a report as soon as the limits on the rate of reports allow it.
 * agent_flush() sends it if they allow it now, else a later agent_tick() does.
 */
void agent_report_soon(struct agent *agent);
void agent_flush(struct agent *agent);

/* ---- tokens ---- */

/*
 * Uses n tokens that have not expired. Returns false, and uses none, if there
 * are fewer.
 */
bool agent_take_tokens(struct agent *agent, Aw__BucketKind kind,
		       const char *name, uint64_t n);

/*
 * Returns the number of tokens that are held and have not expired.
 */
uint64_t agent_held_tokens(struct agent *agent, Aw__BucketKind kind,
			   const char *name);

/*
 * Sets the number of tokens that requests are waiting for.
 */
void agent_set_waiting_tokens(struct agent *agent, Aw__BucketKind kind,
			      const char *name, uint64_t n);

/*
 * Charges n tokens for a use that has already taken place. What exceeds the
 * held tokens becomes a debt, which is paid from later grants.
 */
void agent_charge_tokens(struct agent *agent, Aw__BucketKind kind,
			 const char *name, uint64_t n);

/*
 * Gives up to n tokens back. They reduce the debt first, then the used tokens
 * that were not yet reported as used.
 */
void agent_credit_tokens(struct agent *agent, Aw__BucketKind kind,
			 const char *name, uint64_t n);

/*
 * Returns the milliseconds until the retry time that the leader set when it
 * refused tokens; 0 if it has not refused any or the time has passed.
 */
uint64_t agent_tokens_retry_after_ms(const struct agent *agent,
				     Aw__BucketKind kind, const char *name);

/* ---- backend servers and slots ---- */

struct agent_slot; /* slots of one incarnation of a server */

struct agent_server {
	char address[ADDRESS_BYTES_MAX];
	char upstream[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint32_t slots;
	uint64_t incarnation;
	uint64_t sequence; /* of the last announcement or departure */
	bool leaving;
	bool silent;
	uint64_t announced_ms; /* last time, here or at another instance */
	uint64_t left_ms;
	struct route_stats stats;
	/* Below: private to the agent. */
	bool unconfirmed; /* the leader has not confirmed the announcement */
	uint64_t reported_sequence; /* of the first report with it, 0: none */
	bool in_table; /* in the table that is being applied */
	UT_hash_handle hh;
};

/*
 * Iterates over all known servers, tombstones included: a previous of NULL
 * returns the first, and NULL is returned after the last.
 */
struct agent_server *agent_next_server(struct agent *agent,
				       struct agent_server *previous);
struct agent_server *agent_server(struct agent *agent, const char *address);

enum agent_announce {
	AGENT_ANNOUNCED,
	AGENT_LEFT, /* this incarnation has left */
	AGENT_STALE, /* a newer incarnation or sequence is known */
	AGENT_NO_MEMORY
};

struct agent_announcement {
	const char *upstream;
	const char *address;
	const char *zone;
	uint32_t slots;
	uint64_t incarnation;
	uint64_t sequence;
};

enum agent_announce agent_announce(struct agent *agent,
				   const struct agent_announcement *from);
enum agent_announce agent_leave(struct agent *agent, const char *address,
				uint64_t incarnation, uint64_t sequence);

/*
 * Takes a free slot of the server's current incarnation; NULL if none is held.
 * Release it only when the server has certainly finished the request.
 */
struct agent_slot *agent_slot_take(struct agent *agent, const char *address);
void agent_slot_release(struct agent *agent, struct agent_slot *slot);
void agent_slot_count(struct agent *agent, const char *address, uint32_t *held,
		      uint32_t *used);

/*
 * Sets the number of requests that wait for a slot of an upstream.
 */
void agent_set_queued_requests(struct agent *agent, const char *upstream,
			       uint32_t queued);

/* ---- requests that crash servers ---- */

/*
 * Reports that a request is suspected of having crashed a server. Returns a
 * ticket for agent_crash_decided(), 0 when memory is exhausted.
 */
uint64_t agent_report_crash(struct agent *agent,
			    const uint8_t fingerprint[HASH_BYTES],
			    const char *address, uint64_t incarnation);

/*
 * Reports that a server has executed the request and responded, so that the
 * request crashes no servers. Does nothing unless the request is suspected or
 * quarantined here.
 */
void agent_clear_suspicion(struct agent *agent,
			   const uint8_t fingerprint[HASH_BYTES]);

/*
 * Returns true once the leader has answered a report with the crash.
 */
bool agent_crash_decided(const struct agent *agent, uint64_t ticket);
bool agent_is_quarantined(const struct agent *agent,
			  const uint8_t fingerprint[HASH_BYTES]);

/* ---- operations on the replicated state ---- */

/*
 * result is NULL if none was received before the deadline; the operation may
 * still be applied if sent is true.
 */
typedef void (*agent_call_fn)(void *arg, const Aw__OpResult *result, bool sent);

/*
 * Sends the operation repeatedly until a leader has applied it, so it must be
 * safe to apply twice. With end_if_refused the call also ends, without a
 * result, when the leader refuses it, for example because its disk is full.
 * Returns the id of the call, or 0 when memory is exhausted. done never runs
 * within this call.
 */
uint64_t agent_propose(struct agent *agent, const Aw__Op *op,
		       uint64_t deadline_ms, bool end_if_refused,
		       agent_call_fn done, void *arg);

/*
 * Cancels the call: done does not run. Returns true if it was ever sent.
 */
bool agent_call_cancel(struct agent *agent, uint64_t call);

/*
 * Returns the number of open calls.
 */
size_t agent_open_calls(const struct agent *agent);

#ifdef __cplusplus
}
#endif

#endif
