/*
 * agent: the entry instance's side of Report and Grant.
 *
 * Holds what the leader gave to this instance: lease, state, tokens, slots and
 * tables. Has no I/O: time comes from a clock, frames leave by a callback. See
 * docs/design.md, "Rules for Report and Grant".
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
	const char *address; /* towards callers */
	uint64_t incarnation; /* random, drawn at process start */
	struct clk *clk; /* not owned */
	struct ctr_set *counters; /* may be NULL */
};

struct agent_ops {
	/* Sends to that control instance; false if there is no link to it. */
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
 * Callbacks of calls that are still open do not run.
 */
void agent_destroy(struct agent *agent);

/*
 * To be called about every 10 ms.
 */
void agent_tick(struct agent *agent);

/* ---- events from the links to control instances ---- */

void agent_control_ping(struct agent *agent, const char *control,
			const char *leader, uint64_t term);
void agent_control_down(struct agent *agent, const char *control);
void agent_frame(struct agent *agent, const char *control,
		 const Aw__Frame *frame);

/*
 * Name of the control instance that reports go to, or "".
 */
const char *agent_leader(const struct agent *agent);

/* ---- lease and state ---- */

/*
 * True while the lease, counted from the sending of the report, has not ended.
 */
bool agent_lease_ok(struct agent *agent);

/*
 * Last state that was applied; NULL before the first. Valid until the next
 * call of agent_frame().
 */
const struct view *agent_view(const struct agent *agent);

/*
 * Milliseconds since the sending of the last report that was answered.
 */
uint64_t agent_seen_age_ms(const struct agent *agent);

const Aw__Instance *const *agent_instances(const struct agent *agent,
					   size_t *nr);

/*
 * From now on reports say that this instance leaves.
 */
void agent_set_leaving(struct agent *agent);

/*
 * Asks for a report as soon as the rules allow; agent_flush() sends it if they
 * allow it now, else a later agent_tick() does.
 */
void agent_report_soon(struct agent *agent);
void agent_flush(struct agent *agent);

/* ---- tokens ---- */

/*
 * Takes n tokens that have not expired, or none and returns false.
 */
bool agent_take(struct agent *agent, Aw__BucketKind kind, const char *name,
		uint64_t n);

/*
 * Tokens that are held and have not expired.
 */
uint64_t agent_held(struct agent *agent, Aw__BucketKind kind, const char *name);

/*
 * Tokens that requests wait for at the moment.
 */
void agent_set_waiting(struct agent *agent, Aw__BucketKind kind,
		       const char *name, uint64_t n);

/*
 * Charges n tokens after the fact; what is not held is taken from later
 * grants. Credits n tokens of those that were not yet reported as used.
 */
void agent_charge(struct agent *agent, Aw__BucketKind kind, const char *name,
		  uint64_t n);
void agent_credit(struct agent *agent, Aw__BucketKind kind, const char *name,
		  uint64_t n);

/*
 * Milliseconds until the time that the leader named when it refused tokens; 0
 * if it has not refused or the time has come.
 */
uint64_t agent_retry_after_ms(const struct agent *agent, Aw__BucketKind kind,
			      const char *name);

/* ---- backend servers and slots ---- */

struct agent_slot; /* slots of one incarnation of a server */

struct agent_server {
	char address[ADDRESS_BYTES_MAX];
	char upstream[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint32_t slots;
	uint64_t incarnation;
	uint64_t sequence;
	bool leaving;
	bool silent;
	uint64_t heard_ms; /* last announcement, here or at another instance */
	uint64_t left_ms;
	struct route_stats stats;
	/* Below: for the agent only. */
	bool pending; /* the leader has not confirmed the announcement */
	uint64_t reported; /* sequence of the first report with it */
	bool listed; /* in the table that is being applied */
	UT_hash_handle hh;
};

/*
 * All servers that are known, tombstones included: NULL starts, NULL ends.
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
 * Takes a free held slot of the server's current incarnation, or NULL. A slot
 * is released once the work on the server has surely ended.
 */
struct agent_slot *agent_slot_take(struct agent *agent, const char *address);
void agent_slot_release(struct agent *agent, struct agent_slot *slot);
void agent_slot_count(struct agent *agent, const char *address, uint32_t *held,
		      uint32_t *used);

/*
 * Number of requests that wait for a slot of an upstream.
 */
void agent_set_queued(struct agent *agent, const char *upstream,
		      uint32_t queued);

/* ---- requests that crash servers ---- */

/*
 * Returns a ticket for agent_crash_decided(), 0 when memory is exhausted.
 */
uint64_t agent_report_crash(struct agent *agent,
			    const uint8_t fingerprint[HASH_BYTES],
			    const char *address, uint64_t incarnation);

/*
 * A server has run the request and answered: it crashes none. Does nothing
 * unless the request is suspected or quarantined here.
 */
void agent_answered(struct agent *agent, const uint8_t fingerprint[HASH_BYTES]);

/*
 * True once the leader has answered a report that named the crash.
 */
bool agent_crash_decided(const struct agent *agent, uint64_t ticket);
bool agent_quarantined(const struct agent *agent,
		       const uint8_t fingerprint[HASH_BYTES]);

/* ---- operations of the replicated state ---- */

/*
 * result is NULL if none came before the deadline; the operation may be
 * applied later if sent is true.
 */
typedef void (*agent_call_fn)(void *arg, const Aw__OpResult *result, bool sent);

/*
 * Sends the operation until a leader has applied it; to be used only for
 * operations that can be applied twice. With end_if_refused the call also ends
 * without a result when the leader refuses it, for example for a full disk.
 * Returns the id of the call, or 0 when memory is exhausted. done never runs
 * within this call.
 */
uint64_t agent_propose(struct agent *agent, const Aw__Op *op,
		       uint64_t deadline_ms, bool end_if_refused,
		       agent_call_fn done, void *arg);

/*
 * Gives the call up: done does not run. Returns true if it was ever sent.
 */
bool agent_call_cancel(struct agent *agent, uint64_t call);
size_t agent_calls(const struct agent *agent);

#ifdef __cplusplus
}
#endif

#endif
