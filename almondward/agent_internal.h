/*
 * Declarations shared by the files of agent.
 */
#ifndef AGENT_INTERNAL_H
#define AGENT_INTERNAL_H

#include "agent.h"
#include "settings.h"

#define REPORTS_UNANSWERED_MAX 4
#define REPORT_SPACING_MS 5
/* The leader redistributes slots, which needs no faster reports. */
#define DEMAND_REPORT_SPACING_MS 100
/* A later Grant would leave too little of the lease. */
#define REPORT_TIMEOUT_MS 2000
#define BUCKET_NAME_BYTES_MAX (2 * NAME_BYTES_MAX + 2)

struct control {
	char name[NAME_BYTES_MAX];
	uint64_t term;
	bool is_leader;
};

/* A report without a Grant so far. */
struct sent_report {
	uint64_t sequence;
	uint64_t sent_ms;
};

/* Tokens of one bucket that one Grant gave. */
struct token_grant {
	uint64_t term;
	uint64_t sequence;
	uint64_t expires_ms;
	uint64_t left;
	uint64_t used;
	uint64_t used_reported; /* part of used */
	uint64_t returned;
};

/* Tokens that one report requested from one bucket. */
struct token_request {
	uint64_t sequence; /* of the report */
	uint64_t tokens;
};

struct bucket {
	char key[BUCKET_NAME_BYTES_MAX]; /* character of the kind, name */
	Aw__BucketKind kind;
	struct token_grant *grants;
	size_t nr_grants;
	struct token_request requests[REPORTS_UNANSWERED_MAX];
	uint64_t waiting; /* tokens that requests are waiting for */
	uint64_t debt; /* charged tokens that were not held */
	uint64_t used_in_interval; /* since the last periodic report */
	uint64_t used_average; /* per report interval */
	uint64_t refused_until_ms; /* no tokens are requested before */
	uint64_t last_use_ms;
	UT_hash_handle hh;
};

struct slot_key {
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
};

struct agent_slot {
	struct slot_key key;
	uint32_t target; /* set by the last Grant */
	uint32_t held; /* the target, or used if that is higher */
	uint32_t used;
	struct demand *demand; /* of the server's upstream; NULL: never used */
	UT_hash_handle hh;
};

/*
 * Demand for slots of one upstream. Reports contain the peaks since the last
 * report, so that they do not miss a burst between two reports.
 */
struct demand {
	char upstream[NAME_BYTES_MAX];
	uint32_t queued;
	uint32_t queued_peak;
	uint32_t used;
	uint32_t used_peak;
	UT_hash_handle hh;
};

/* A crash of a server that a request is suspected of. */
struct crash {
	uint64_t ticket;
	uint8_t fingerprint[HASH_BYTES];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t noted_ms;
	uint64_t reported_sequence; /* of the first report with it, 0: none */
	bool decided;
	struct crash *prev, *next;
};

/* A suspected request that a server has responded to. */
struct cleared_request {
	uint8_t fingerprint[HASH_BYTES];
	uint64_t cleared_ms;
	uint64_t reported_sequence; /* of the first report with it, 0: none */
};

#define CLEARED_REQUESTS_MAX 64

/* A request that the leader has quarantined. */
struct quarantine {
	uint8_t fingerprint[HASH_BYTES];
	uint64_t until_ms;
	UT_hash_handle hh;
};

/* An operation that is sent until it is applied. */
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
	struct sent_report unanswered[REPORTS_UNANSWERED_MAX];
	size_t nr_unanswered;
	uint64_t last_report_ms;
	uint64_t next_report_ms;
	uint64_t next_cleanup_ms;
	bool report_wanted;
	bool demand_report_wanted; /* after DEMAND_REPORT_SPACING_MS */
	/* Reports contain all servers until a Grant of this term confirms
	 * it. */
	bool whole_table_due;
	uint64_t whole_table_sequence; /* of the first report with all */

	uint64_t lease_until_ms;
	bool lease_held; /* its expiry has not been handled */
	uint64_t answered_report_sent_ms; /* of the last answered report */
	uint64_t round_trip_ms;
	uint64_t grant_term;
	uint64_t grant_sequence;
	uint64_t table_version;
	struct view *view;
	Aw__Grant *instance_table; /* copy of a Grant, instances only */

	struct bucket *buckets;
	struct agent_server *servers;
	struct agent_slot *slots;
	struct demand *demands;
	struct crash *crashes;
	size_t nr_crashes;
	struct cleared_request cleared_requests[CLEARED_REQUESTS_MAX];
	size_t nr_cleared;
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

/*
 * Returns the number of tokens to request from the leader.
 */
uint64_t tokens_wanted(struct agent *agent, struct bucket *bucket);

/*
 * Ends the current interval of the average use and begins the next.
 */
void tokens_end_interval(struct agent *agent);

/*
 * Marks tokens that are not expected to be used before their expiry as
 * returned.
 */
void tokens_return_excess(struct agent *agent, struct bucket *bucket);

/* agent_slots.c */
void slots_apply(struct agent *agent, const Aw__Grant *grant);
/*
 * Sets all targets to 0, so that only slots in use stay held.
 */
void slots_drop_all(struct agent *agent);
/*
 * The same for incarnations of a server before the given one.
 */
void slots_drop_server(struct agent *agent, const char *address,
		       uint64_t before_incarnation);
void slots_destroy(struct agent *agent);

/*
 * Returns the number of free slots at servers that are failing or ejected. They
 * count as demand; the leader would otherwise consider the held slots enough.
 */
uint32_t count_unusable_slots(struct agent *agent, const char *upstream);

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
