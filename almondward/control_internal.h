/*
 * Declarations that the files of the control role share.
 */
#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include <uthash.h>

#include "control.h"
#include "control_soft.h"
#include "counter.h"
#include "fleet.h"
#include "http.h"
#include "loop.h"
#include "peer.h"
#include "quarantine.h"
#include "raft.h"
#include "store.h"

struct ctl;

/*
 * Called once with the outcome of a proposal. result is set only if the
 * operation was applied.
 */
typedef void (*ctl_done_fn)(void *arg, Aw__ProposeStatus status,
			    const Aw__OpResult *result);

/* A proposal whose log entry has not been applied yet. */
struct ctl_proposal {
	uint64_t index;
	uint64_t term;
	uint64_t since_ms;
	uint64_t timeout_ms; /* 0: none */
	ctl_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

/* A proposal received from a peer, whose link may close before the reply. */
struct ctl_peer_proposal {
	struct ctl *ctl;
	struct peer_link *link; /* NULL after the link closed */
	uint64_t call;
	struct ctl_peer_proposal *prev, *next;
};

/* A change requested by an operator over HTTP whose outcome is pending. */
struct ctl_http_change {
	struct ctl *ctl;
	/* NULL after the operator disconnected */
	struct http_exchange *exchange;
	struct ctl_http_change *prev, *next;
};

struct ctl_link {
	struct peer_link *link;
	/* In a seeded cluster: the versions that the peer was sent in feeds. */
	bool subscribed;
	bool reply_due; /* to its last Subscribe message */
	uint64_t sent_plan_index;
	uint64_t sent_table_version;
	uint64_t sent_lists_version;
	uint64_t sent_quarantines_version;
	struct ctl_link *prev, *next;
};

/* A control instance of a seeded cluster to which this one stays connected. */
struct ctl_control {
	char address[ADDRESS_BYTES_MAX];
	uint64_t last_listed_ms; /* last time in a voter list or a ping */
	struct ctl_control *prev, *next;
};

/* Replicated time last taken from an applied operation or a snapshot. */
struct ctl_time {
	uint64_t time_ms; /* 0: no operation with a time stamp was applied */
	uint64_t local_ms; /* local monotonic clock at time_ms */
};

struct ctl {
	const struct set_settings *settings;
	const char *self; /* name of this instance towards its peers */
	const struct svc_adapter *adapter;
	struct ctl_cluster *cluster; /* NULL unless the cluster has seeds */
	/* in a seeded cluster, without this instance */
	struct ctl_control *controls;
	struct clk *clk;
	struct loop *loop;
	struct ctr_set *counters;
	struct store *store;
	struct fleet *fleet;
	struct raft *raft;
	struct peer_node *peers;
	struct http_server *http;
	struct loop_timer *tick_timer;
	struct loop_timer *flush_timer;
	struct ctl_link *links;
	struct ctl_proposal *proposals; /* pending, by log index */
	struct ctl_peer_proposal *peer_proposals;
	struct ctl_http_change *http_changes;
	struct ctl_time time;
	struct soft *soft; /* while leading, or NULL */
	uint64_t soft_term;
	struct soft_handover handover; /* from the leader that stepped down */
	/*
	 * First table version of the next leadership here, above all versions
	 * of earlier ones.
	 */
	uint64_t next_table_version;
	bool leadership_lost; /* since the last ctl_leads() */
	Aw__FleetState *state; /* cached copy of what entry instances receive */
	uint64_t state_version;
	uint64_t notified_ms; /* last notification of entry instances */
	uint64_t notified_state_version;
	uint64_t notified_table_version;
	/* Version of the quarantine list whose entries were proposed. */
	uint64_t recorded_quarantines_version;
	/* pending proposals of quarantine records */
	uint32_t nr_quarantine_ops;
	size_t steps_pending;
	uint64_t last_steps_ms; /* time of the last drain steps */
	uint64_t stop_requested_ms; /* 0: no stop requested */
	uint64_t exit_ms; /* 0: not decided yet */
	bool stepped_down;
	bool failed;
};

/*
 * Logs the cause and stops the process with an error status.
 */
void ctl_fail(struct ctl *ctl, const char *cause);

/*
 * Returns whether this instance is the leader and holds its lease. Creates the
 * soft state when leadership begins and destroys it when leadership ends.
 */
bool ctl_leads(struct ctl *ctl);

/*
 * Fills in the view of the applied state. Returns -1 when memory is exhausted.
 */
int ctl_fill_view(struct ctl *ctl, struct soft_view *view);

/*
 * Schedules raft_flush() for the end of this turn of the event loop.
 */
void ctl_flush_soon(struct ctl *ctl);
void ctl_raft_error(struct ctl *ctl, enum raft_error err);
void ctl_count(struct ctl *ctl, const char *name, const char *label);

/* ---- control_propose.c ---- */

/*
 * Sets the time stamp of an operation and proposes it. Returns PROPOSE_APPLIED
 * if the proposal is pending: done is then called once, later. Otherwise done
 * is not called. After timeout_ms (0: never) the outcome is reported as
 * unknown.
 */
Aw__ProposeStatus ctl_propose(struct ctl *ctl, Aw__Op *op, uint64_t timeout_ms,
			      ctl_done_fn done, void *arg);

/*
 * Returns the time stamp for the next operation: the last applied replicated
 * time plus the time elapsed on the local monotonic clock since. It never
 * advances faster than that clock, so a step of a wall clock does not expire
 * claims. The wall clock is used only as long as no operation with a time stamp
 * was applied.
 */
uint64_t ctl_time_ms(const struct ctl *ctl);

/*
 * Updates the replicated time. Call after operations or a snapshot were
 * applied.
 */
void ctl_time_applied(struct ctl *ctl);

/*
 * Finishes the proposal that is pending for this entry, if any. result is NULL
 * for a voter entry.
 */
void ctl_entry_applied(struct ctl *ctl, uint64_t index, uint64_t term,
		       const Aw__OpResult *result);

/*
 * Finishes all pending proposals as unknown: it can no longer be determined
 * whether they will be applied.
 */
void ctl_proposals_abandon(struct ctl *ctl);
/* Finishes proposals whose timeout has passed as unknown. */
void ctl_proposals_expire(struct ctl *ctl);

void ctl_on_propose(struct ctl *ctl, struct peer_link *link,
		    const Aw__Propose *propose);
void ctl_propose_link_down(struct ctl *ctl, const struct peer_link *link);

/* ---- control_orders.c, only in a seeded cluster ---- */

/*
 * Returns whether an operation that another control instance forwarded is an
 * order for a zone after which an opposite one was recorded. For the leader.
 */
bool ctl_orders_is_replaced(const struct ctl *ctl, const Aw__Op *op);
/*
 * Call when the leader has appended an operation to its log, and when one was
 * applied.
 */
void ctl_orders_recorded(struct ctl *ctl, const Aw__Op *op, uint64_t index);

/* ---- control_crashes.c ---- */

/*
 * Proposes the operations that make the replicated quarantine records match the
 * list, unless earlier ones are still pending.
 */
void ctl_quarantine_sync_records(struct ctl *ctl, const struct quar *quar);
/* Restores the quarantines from the replicated records on a new leader. */
void ctl_quarantine_restore(struct ctl *ctl, struct quar *quar);

/* ---- control_raft.c ---- */

extern const struct raft_ops ctl_raft_ops;

/* ---- control_http.c ---- */

void ctl_on_request(void *arg, struct http_exchange *exchange,
		    const struct http_request *req);

/*
 * Discards the pending changes without a response.
 */
void ctl_http_drop_changes(struct ctl *ctl);

/* ---- control_change.c ---- */

/*
 * Parses the body of a change into an operation. Returns 0, or -1 with the
 * cause in text. The operation is freed by aw__op__free_unpacked(op, NULL).
 */
enum ctl_change {
	CTL_CHANGE_CONFIG,
	CTL_CHANGE_EXCEPTION_ADD,
	CTL_CHANGE_EXCEPTION_REMOVE,
	CTL_CHANGE_KEY_GRANT,
	CTL_CHANGE_KEY_WITHDRAW,
	CTL_CHANGE_DRAIN_PLAN,
	CTL_CHANGE_DRAIN_CANCEL
};
int ctl_parse_change(enum ctl_change change, const char *name,
		     const uint8_t *body, size_t body_bytes, Aw__Op **op,
		     char *text, size_t text_bytes);

/* ---- control_status.c ---- */

struct cJSON *ctl_status(struct ctl *ctl);
struct cJSON *ctl_drains_json(struct ctl *ctl);
struct cJSON *ctl_keys_json(struct ctl *ctl);

#endif
