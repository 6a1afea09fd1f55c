/*
 * Parts of the control role that control*.c share.
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
 * Called once with the outcome of a proposal; result only when applied.
 */
typedef void (*ctl_done_fn)(void *arg, Aw__ProposeStatus status,
			    const Aw__OpResult *result);

/* A proposal that waits until its entry is applied. */
struct ctl_proposal {
	uint64_t index;
	uint64_t term;
	uint64_t since_ms;
	uint64_t timeout_ms; /* 0: none */
	ctl_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

/* A proposal of another process, whose link may go before the answer. */
struct ctl_peer_proposal {
	struct ctl *ctl;
	struct peer_link *link; /* NULL when gone */
	uint64_t call;
	struct ctl_peer_proposal *prev, *next;
};

/* A change of an operator that waits for its outcome. */
struct ctl_http_change {
	struct ctl *ctl;
	struct http_exchange *exchange; /* NULL when the operator has left */
	struct ctl_http_change *prev, *next;
};

struct ctl_link {
	struct peer_link *link;
	/* In a seeded cluster: what the other end was fed. */
	bool subscribed;
	uint64_t sent_plan_index;
	uint64_t sent_table_version;
	uint64_t sent_lists_version;
	uint64_t sent_quarantines_version;
	struct ctl_link *prev, *next;
};

/* A control instance of a seeded cluster to which a connection is kept. */
struct ctl_control {
	char address[ADDRESS_BYTES_MAX];
	uint64_t last_listed_ms; /* when a voter list or a ping last had it */
	struct ctl_control *prev, *next;
};

/* The replicated time as known here. */
struct ctl_time {
	uint64_t time_ms; /* 0: nothing that has a time was applied */
	uint64_t local_ms; /* own clock when it was time_ms */
};

struct ctl {
	const struct set_settings *settings;
	const char *self; /* name of this instance among its peers */
	const struct svc_adapter *adapter;
	struct ctl_cluster *cluster; /* NULL unless the cluster has seeds */
	struct ctl_control *controls; /* in a seeded cluster */
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
	struct ctl_proposal *proposals; /* by index */
	struct ctl_peer_proposal *peer_proposals;
	struct ctl_http_change *http_changes;
	struct ctl_time time;
	struct soft *soft; /* of this leadership, or NULL */
	uint64_t soft_term;
	struct soft_handover handover; /* received, for the next term */
	uint64_t next_table_version; /* of tables, above all earlier ones */
	bool leadership_lost; /* leadership was lost since the last check */
	Aw__FleetState *state; /* cached, for entry instances */
	uint64_t state_version;
	uint64_t notified_ms; /* when entry instances were last told of news */
	uint64_t notified_state_version;
	uint64_t notified_table_version;
	uint64_t
		recorded_quarantines_version; /* version of the list that is recorded */
	uint32_t nr_quarantine_ops; /* that record it, under way */
	size_t steps_pending;
	uint64_t last_steps_ms; /* when the last drain steps were applied */
	uint64_t stop_requested_ms; /* when the stop was asked for, 0: not */
	uint64_t exit_ms; /* when the process may end, 0: not known */
	bool stepped_down;
	bool failed;
};

/*
 * Ends the process with an error.
 */
void ctl_fail(struct ctl *ctl, const char *cause);

/*
 * True while this instance leads; makes or drops the soft state as needed.
 */
bool ctl_leads(struct ctl *ctl);

/*
 * Fills the view with what is applied. Returns -1 when memory is exhausted.
 */
int ctl_fill_view(struct ctl *ctl, struct soft_view *view);

/*
 * Has raft_flush() called at the end of this turn.
 */
void ctl_flush_soon(struct ctl *ctl);
void ctl_raft_error(struct ctl *ctl, enum raft_error err);
void ctl_count(struct ctl *ctl, const char *name, const char *label);

/* ---- control_propose.c ---- */

/*
 * Stamps and proposes an operation. Returns PROPOSE_APPLIED when it waits:
 * done is then called once, later; otherwise done is not called.
 */
Aw__ProposeStatus ctl_propose(struct ctl *ctl, Aw__Op *op, uint64_t timeout_ms,
			      ctl_done_fn done, void *arg);

/*
 * Time for the next operation: the replicated time as last applied and what
 * has passed here since. It never gains on the time that passed, so a step of
 * a wall clock ends no claim; the wall clock decides only while nothing with a
 * time was applied.
 */
uint64_t ctl_time_ms(const struct ctl *ctl);

/*
 * To be called when operations or a snapshot were applied.
 */
void ctl_time_applied(struct ctl *ctl);

/*
 * Ends the call that waits for this entry. result is NULL for a voter entry.
 */
void ctl_entry_applied(struct ctl *ctl, uint64_t index, uint64_t term,
		       const Aw__OpResult *result);

/*
 * Ends all calls: nobody can say any more whether they will be applied.
 */
void ctl_proposals_abandon(struct ctl *ctl);
void ctl_proposals_expire(struct ctl *ctl);

void ctl_on_propose(struct ctl *ctl, struct peer_link *link,
		    const Aw__Propose *propose);
void ctl_propose_link_down(struct ctl *ctl, const struct peer_link *link);

/* ---- control_crashes.c ---- */

/*
 * Brings the records in line with the list, when no operation is under way.
 */
void ctl_quarantine_sync_records(struct ctl *ctl, const struct quar *quar);
/* A new leader goes on with what is recorded. */
void ctl_quarantine_restore(struct ctl *ctl, struct quar *quar);

/* ---- control_raft.c ---- */

extern const struct raft_ops ctl_raft_ops;

/* ---- control_http.c ---- */

void ctl_on_request(void *arg, struct http_exchange *exchange,
		    const struct http_request *req);

/*
 * Forgets the changes under way without an answer.
 */
void ctl_http_drop_changes(struct ctl *ctl);

/* ---- control_change.c ---- */

/*
 * Makes an operation of a change. Returns 0, or -1 with the cause in text. The
 * operation is freed by aw__op__free_unpacked(op, NULL).
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
