/*
 * Parts of agent that its files share.
 */
#ifndef AGENT_INTERNAL_H
#define AGENT_INTERNAL_H

#include "agent.h"
#include "settings.h"

#define UNANSWERED_MAX 4
#define REPORT_SPACING_MS 5
/* Slots are shared anew by the leader, which needs no faster reports. */
#define DEMAND_SPACING_MS 100
/* A Grant later than this leaves too little of the lease to be worth it. */
#define UNANSWERED_MS 2000
#define BUCKET_NAME_BYTES_MAX (2 * NAME_BYTES_MAX + 2)

struct control {
	char name[NAME_BYTES_MAX];
	uint64_t term;
	bool leads;
};

struct sent_report {
	uint64_t sequence;
	uint64_t sent_ms;
};

struct token_grant {
	uint64_t term;
	uint64_t sequence;
	uint64_t expires_ms;
	uint64_t left;
	uint64_t used;
	uint64_t used_reported;
	uint64_t returned;
};

struct asked {
	uint64_t sequence; /* of the report */
	uint64_t tokens;
};

struct bucket {
	char key[BUCKET_NAME_BYTES_MAX];
	Aw__BucketKind kind;
	struct token_grant *grants;
	size_t nr_grants;
	struct asked asked[UNANSWERED_MAX];
	uint64_t waiting;
	uint64_t debt;
	uint64_t used_now; /* since the last periodic report */
	uint64_t used_average; /* per report interval */
	uint64_t refused_until_ms;
	uint64_t touched_ms;
	UT_hash_handle hh;
};

struct slot_key {
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
};

struct agent_slot {
	struct slot_key key;
	uint32_t target;
	uint32_t held;
	uint32_t used;
	struct demand *demand; /* of the server's upstream; NULL: never used */
	UT_hash_handle hh;
};

/*
 * Demand for slots of one upstream. Peaks are since the last report, which
 * would otherwise miss what comes and goes between two reports.
 */
struct demand {
	char upstream[NAME_BYTES_MAX];
	uint32_t queued;
	uint32_t queued_peak;
	uint32_t used;
	uint32_t used_peak;
	UT_hash_handle hh;
};

struct crash {
	uint64_t ticket;
	uint8_t fingerprint[HASH_BYTES];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t at_ms;
	uint64_t reported; /* sequence of the first report with it */
	bool decided;
	struct crash *prev, *next;
};

/* A request that was suspected of a crash was answered. */
struct crash_answer {
	uint8_t fingerprint[HASH_BYTES];
	uint64_t at_ms;
	uint64_t reported; /* sequence of the first report with it, 0: none */
};

#define CRASH_ANSWERS_MAX 64

struct quarantine {
	uint8_t fingerprint[HASH_BYTES];
	uint64_t until_ms;
	UT_hash_handle hh;
};

struct call {
	uint64_t id;
	Aw__Op *op;
	uint64_t deadline_ms;
	uint64_t next_send_ms;
	bool sent;
	bool end_if_refused;
	agent_call_fn done;
	void *arg;
	UT_hash_handle hh;
};

struct agent {
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	struct clk *clk;
	struct agent_ops ops;
	void *arg;
	bool leaving;

	struct control controls[SET_CONTROLS_MAX];
	size_t nr_controls;
	struct control *leader;

	uint64_t sequence;
	struct sent_report sent[UNANSWERED_MAX];
	size_t nr_sent;
	uint64_t last_report_ms;
	uint64_t next_report_ms;
	uint64_t next_cleanup_ms;
	bool report_wanted;
	bool demand_changed; /* wants a report too, but in batches */
	bool whole_table_due; /* until a Grant of this term confirms it */
	uint64_t whole_table_sequence; /* of the first report with it */

	uint64_t lease_until_ms;
	bool lease_held; /* the loss of it is still to be handled */
	uint64_t seen_ms; /* sending time of the last answered report */
	uint64_t round_trip_ms;
	uint64_t grant_term;
	uint64_t grant_sequence;
	uint64_t table_version;
	struct view *view;
	Aw__Grant *table; /* copy, holds the instances */

	struct bucket *buckets;
	struct agent_server *servers;
	struct agent_slot *slots;
	struct demand *demands;
	struct crash *crashes;
	size_t nr_crashes;
	struct crash_answer answers[CRASH_ANSWERS_MAX];
	size_t nr_answers;
	uint64_t next_ticket;
	struct quarantine *quarantines;
	struct call *calls;
	uint64_t next_call;

	struct ctr *reports;
	struct ctr *grants;
	struct ctr *grants_ignored;
	struct ctr *lease_losses;
	struct ctr *tokens_expired;
	struct ctr *tokens_returned;
	struct ctr *call_resends;
};

/* agent_report.c */

/*
 * Builds and sends a report. Returns false if it could not be sent.
 */
bool agent_send_report(struct agent *agent, bool periodic);

/* agent_tokens.c */
void tokens_apply(struct agent *agent, const Aw__Grant *grant,
		  uint64_t sent_ms);
void tokens_cleanup(struct agent *agent);
void tokens_destroy(struct agent *agent);
uint64_t tokens_wanted(struct agent *agent, struct bucket *bucket);

/*
 * Ends the interval that the average use is measured over.
 */
void tokens_end_interval(struct agent *agent);

/*
 * Moves what is not expected to be used before its expiry to "returned".
 */
void tokens_return_excess(struct agent *agent, struct bucket *bucket);

/* agent_slots.c */
void slots_apply(struct agent *agent, const Aw__Grant *grant);
void slots_drop(struct agent *agent);
void slots_drop_server(struct agent *agent, const char *address,
		       uint64_t but_incarnation);
void slots_destroy(struct agent *agent);

/*
 * Free slots at servers that fail or are ejected. They count as demand, since
 * the leader would otherwise take them for enough.
 */
uint32_t slots_unusable(struct agent *agent, const char *upstream);

/* agent_servers.c */
void servers_apply(struct agent *agent, const Aw__Grant *grant);
void servers_confirm(struct agent *agent, uint64_t sequence);
void servers_cleanup(struct agent *agent);
void servers_destroy(struct agent *agent);

/* agent_crashes.c */
void crashes_apply(struct agent *agent, const Aw__Grant *grant);
void crashes_confirm(struct agent *agent, uint64_t sequence);
void crashes_cleanup(struct agent *agent);
void crashes_destroy(struct agent *agent);

/* agent_calls.c */
void calls_tick(struct agent *agent);
void calls_reply(struct agent *agent, const Aw__ProposeReply *reply);
void calls_leader_changed(struct agent *agent);
void calls_destroy(struct agent *agent);

#endif
