/*
 * Parts of the request pipeline that its files share.
 */
#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include <uthash.h>

#include "budget.h"
#include "config.h"
#include "entry_core.h"
#include "key.h"
#include "queue.h"
#include "route.h"

#define ATTEMPTS_MAX 8 /* bounds what a request remembers */
#define CONNECT_TIMEOUT_MS 1000
/* One report round trip across regions takes about 130 ms. */
#define CRASH_DECISION_MS 500
#define CRASHES_PER_REQUEST_MAX 2
/* A cancellation at the deadline still gets one round trip. */
#define CANCEL_GRACE_MS 250
#define STORED_RESPONSE_BYTES_MAX 8192
#define HEADERS_MAX 32
#define NUMBER_TEXT_BYTES_MAX 24
#define LINK_NAME_BYTES_MAX (2 * NAME_BYTES_MAX + 2)

enum step {
	STEP_ADMISSION, /* waits for a token */
	STEP_CLAIM, /* waits for the commit of its claim */
	STEP_QUEUE, /* waits for a slot */
	STEP_IN_FLIGHT, /* waits for a backend server */
	STEP_CRASH_DECISION, /* waits for the leader's decision before a retry */
	STEP_REFUSED /* refused from the queue, answered at the end of a turn */
};

/*
 * Policy values that apply to a request, decided at its admission.
 */
struct policies {
	uint64_t value[CFG_SETTING_COUNT];
};

struct attempt {
	struct backend *backend;
	struct agent_slot *slot;
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t sent_us;
	bool byte_sent; /* the first byte was allowed to leave */
	uint64_t response_check_ms; /* then it is tried elsewhere; 0: never */
	char link_out[LINK_NAME_BYTES_MAX]; /* "": within the region */
	char link_in[LINK_NAME_BYTES_MAX];
	uint64_t charged_out_bytes;
	uint64_t charged_in_bytes;
	char attempt_id[REQUEST_ID_BYTES_MAX + 4]; /* of Almondward-Request */
	char deadline_text[NUMBER_TEXT_BYTES_MAX];
	struct http_header headers[HEADERS_MAX];
	size_t nr_headers;
};

struct request {
	struct core *core;
	struct request *prev, *next;
	struct request *prev_waiting, *next_waiting; /* admission */
	struct request *next_refused;
	struct queue_item item;
	struct http_exchange *exchange;
	const struct http_request *http;
	struct upstream *upstream;
	struct policies policies;
	uint64_t started_ms;
	uint64_t deadline_ms;
	uint64_t wait_until_ms; /* end of the present step */
	uint64_t claim_call; /* 0: none open */
	uint64_t claim_proposed_ms;
	uint64_t crash_ticket;
	struct attempt attempt;

	enum step step;
	enum refusal pending_refusal; /* final answer if there is no retry */
	enum refusal recheck_refusal; /* found just before the first byte */
	uint32_t weight;
	uint32_t rate_per_s; /* of the customer */
	uint32_t draw_permille;
	uint32_t nr_attempts;
	uint32_t nr_sent; /* attempts of which a byte left */
	uint32_t nr_tried;
	uint32_t nr_crashes;
	bool open;
	bool idempotent;
	bool claimed;
	bool rate_refused; /* waits for a token after a short refusal */
	bool byte_sent; /* in any attempt */
	bool server_unavailable; /* found just before the first byte */

	char id[REQUEST_ID_BYTES_MAX];
	char customer[NAME_BYTES_MAX];
	char route[NAME_BYTES_MAX];
	char idempotency_key[IDEMPOTENCY_KEY_BYTES_MAX];
	uint8_t key_hash[HASH_BYTES];
	uint8_t body_hash[HASH_BYTES];
	uint8_t fingerprint[HASH_BYTES];
	char tried[ATTEMPTS_MAX][ADDRESS_BYTES_MAX];
};

struct upstream {
	char name[NAME_BYTES_MAX];
	struct queue *queue;
	bool dispatch_due; /* something changed for its queue */
	UT_hash_handle hh;
};

/*
 * A slot that stays busy until a cancellation is confirmed or the deadline of
 * the request has passed.
 */
struct cancellation {
	struct core *core;
	struct cancellation *prev, *next;
	struct agent_slot *slot;
	struct backend *backend;
	uint64_t until_ms;
	char address[ADDRESS_BYTES_MAX];
	char target[REQUEST_ID_BYTES_MAX + 32];
	struct http_header host;
};

/*
 * Average size of the responses of a route, for the charge of links.
 */
struct response_size {
	char route[NAME_BYTES_MAX];
	uint64_t average_bytes;
	UT_hash_handle hh;
};

struct core {
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	struct agent *agent;
	struct clk *clk;
	struct ctr_set *counters;
	struct dec_ring *decisions;
	struct core_io io;
	void *arg;

	struct request *requests;
	struct request *waiting; /* STEP_ADMISSION, in order */
	struct request *refused;
	struct upstream *upstreams;
	struct cancellation *cancellations;
	struct response_size *response_sizes;
	struct budget budget;
	size_t nr_active;
	uint64_t next_dispatch_ms;
	bool link_tokens_requested; /* requests wait for link tokens */

	struct route_candidate *candidates;
	enum route_verdict *verdicts;
	size_t nr_candidates;
	size_t candidates_capacity;

	struct ctr *requests_counter;
	struct ctr *active_gauge;
	struct ctr *ejections;
	struct ctr *refusal_counters[REFUSAL_COUNT];
};

/* entry_core.c */

uint64_t core_now_ms(const struct core *core);

struct upstream *core_get_upstream(struct core *core, const char *name);
void core_count(struct core *core, const char *name, const char *label);

/* entry_admission.c */

/*
 * Checks a request and takes a token for it or lets it wait.
 */
void admission_begin(struct request *request);
void admission_serve_waiting(struct core *core);

/*
 * Takes a request off the list of those that wait for a token.
 */
void admission_stop_waiting(struct request *request);

/* entry_claim.c */
void claim_begin(struct request *request);

/*
 * Records the response, so that a resend gets it.
 */
void claim_finish(struct request *request,
		  const struct http_response *response);

/*
 * Gives a claim up if the request has one and no byte of it left.
 */
void claim_release(struct request *request);

/* entry_queue.c */
void queue_begin(struct request *request);
void queue_dispatch(struct core *core, struct upstream *upstream);
void queue_timeout(struct request *request);

/*
 * Collects the servers of the request's upstream in core->candidates.
 */
bool queue_collect_candidates(struct request *request);

/*
 * True if another server than those tried could take the request now.
 */
bool queue_other_server_free(struct request *request);

/* entry_dispatch.c */
void dispatch_begin(struct request *request);

/*
 * Ends a running attempt: closes its connection and cancels the work.
 */
void dispatch_cancel(struct request *request);

/*
 * The deadline has passed.
 */
void dispatch_timeout(struct request *request);

/*
 * Tries a request elsewhere that has had no response for long.
 */
void dispatch_check_response(struct request *request);
void dispatch_check_crash_decision(struct request *request);
void cancellation_tick(struct core *core);
void cancellation_destroy(struct core *core);

/* entry_link.c */
uint64_t link_response_bytes(struct core *core, const char *route);
void link_record_response(struct core *core, const char *route, uint64_t bytes);
bool link_tokens_available(struct request *request, const char *region);
void link_charge(struct request *request, const char *region);
void link_correct_charge(struct request *request, uint64_t response_bytes);
void link_request_tokens(struct request *request, const char *region);
void link_cancel_token_requests(struct core *core);
const char *link_own_region(const struct core *core);

/* entry_finish.c */

/*
 * Final answers. The request is invalid afterwards.
 */
void finish_refusal(struct request *request, enum refusal refusal,
		    uint32_t retry_after_ms, const char *detail);
void finish_response(struct request *request,
		     const struct http_response *response);
void finish_replay(struct request *request, const Aw__OpResult *result);

/*
 * The caller has gone.
 */
void finish_abandoned(struct request *request);
void finish_destroy(struct request *request);

#endif
