/*
 * Types and functions that the files of the request pipeline share.
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

#define ATTEMPTS_MAX 8 /* at most; bounds the list of tried servers */
#define CONNECT_TIMEOUT_MS 1000
/*
 * Maximum wait for the leader's decision about a crash; a report across regions
 * and the reply to it take about 130 ms.
 */
#define CRASH_DECISION_MS 500
#define CRASHES_PER_REQUEST_MAX 2
/* Lets a cancellation that is sent at the deadline complete a round trip. */
#define CANCEL_GRACE_MS 250
#define STORED_RESPONSE_BYTES_MAX 8192
#define HEADERS_MAX 32
#define NUMBER_TEXT_BYTES_MAX 24
#define LINK_NAME_BYTES_MAX (2 * NAME_BYTES_MAX + 2)

enum step {
	STEP_ADMISSION, /* waits for a token of the customer's bucket */
	STEP_CLAIM, /* waits until its claim is committed */
	STEP_QUEUE, /* waits for a slot at a backend server */
	STEP_IN_FLIGHT, /* waits for the response of a backend server */
	STEP_CRASH_DECISION, /* waits for the leader before a retry */
	STEP_REFUSED /* removed from the full queue, not yet answered */
};

/*
 * Policy values that apply to a request, evaluated once at its admission.
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
	bool byte_sent; /* sending of the first byte was allowed */
	/* When to retry elsewhere if no response has begun; 0: never. */
	uint64_t response_check_ms;
	char link_out[LINK_NAME_BYTES_MAX]; /* "": within the region */
	char link_in[LINK_NAME_BYTES_MAX];
	uint64_t charged_out_bytes;
	uint64_t charged_in_bytes;
	/* Value of the header Almondward-Request: ID.NUMBER. */
	char attempt_id[REQUEST_ID_BYTES_MAX + 4];
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
	/* Time limit of the current step; in STEP_REFUSED the retry delay. */
	uint64_t wait_until_ms;
	uint64_t claim_call; /* pending proposal; 0: none */
	uint64_t claim_proposed_ms;
	uint64_t crash_ticket; /* see agent_crash_decided() */
	struct attempt attempt;

	enum step step;
	enum refusal pending_refusal; /* sent unless a retry succeeds */
	enum refusal recheck_refusal; /* result of the check before sending */
	uint32_t weight;
	uint32_t rate_per_s; /* of the customer */
	uint32_t draw_permille; /* random, see struct route_query */
	uint32_t nr_attempts;
	uint32_t nr_sent; /* attempts with at least one byte sent */
	uint32_t nr_tried;
	uint32_t nr_crashes;
	bool open; /* the route needs no key */
	bool idempotent;
	bool claimed; /* holds a claim, or may hold one */
	bool rate_refused; /* waits after a short refusal by the leader */
	bool byte_sent; /* in any attempt */
	bool server_unavailable; /* leaving, replaced or removed */

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
	bool dispatch_due; /* the queue is to be served */
	UT_hash_handle hh;
};

/*
 * A cancellation that was sent to a backend server. The slot of the cancelled
 * attempt stays in use until the server confirms the cancellation or the
 * deadline of the request has passed.
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
 * Average size of the responses of a route: the estimate that is charged to the
 * link on which a response will arrive.
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
	void *arg; /* of the callbacks in io */

	struct request *requests;
	struct request *waiting; /* STEP_ADMISSION, by arrival */
	struct request *refused; /* in STEP_REFUSED */
	struct upstream *upstreams;
	struct cancellation *cancellations;
	struct response_size *response_sizes;
	struct budget budget;
	size_t nr_active; /* length of requests */
	uint64_t next_dispatch_ms;
	bool link_tokens_requested; /* from the leader, for queued requests */

	/* Result of the last queue_collect_candidates(), and verdicts on it. */
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

/*
 * Returns the upstream of this name, creating it if needed; NULL when memory is
 * exhausted.
 */
struct upstream *core_get_upstream(struct core *core, const char *name);

/*
 * Adds 1 to a counter.
 */
void core_count(struct core *core, const char *name, const char *label);

/* entry_admission.c */

/*
 * Checks a new request, then takes a token for it or makes it wait for one.
 */
void admission_begin(struct request *request);

/*
 * Gives tokens to requests that wait for them, and refuses those that the
 * leader refused or that have waited for too long.
 */
void admission_serve_waiting(struct core *core);

/*
 * Removes a request from the list of those that wait for a token, if it is
 * there.
 */
void admission_stop_waiting(struct request *request);

/* entry_claim.c */

/*
 * Proposes the claim of a non-idempotent request to the leader.
 */
void claim_begin(struct request *request);

/*
 * Records the response in the claim, if the request has one. A later request
 * with the same idempotency key gets this response if it is not larger than
 * STORED_RESPONSE_BYTES_MAX.
 */
void claim_finish(struct request *request,
		  const struct http_response *response);

/*
 * Cancels a pending proposal, and releases the claim if the request has one and
 * no byte was sent to a backend server.
 */
void claim_release(struct request *request);

/* entry_queue.c */

/*
 * Queues a request for an attempt, the first one or a retry, or refuses it.
 */
void queue_begin(struct request *request);

/*
 * Dispatches queued requests of an upstream while slots are free.
 */
void queue_dispatch(struct core *core, struct upstream *upstream);

/*
 * Refuses a request whose wait in the queue has expired.
 */
void queue_timeout(struct request *request);

/*
 * Collects the servers of the request's upstream in core->candidates. Returns
 * false if there are none or memory is exhausted.
 */
bool queue_collect_candidates(struct request *request);

/*
 * Returns true if a server that was not yet tried could take the request now.
 */
bool queue_other_server_free(struct request *request);

/* entry_dispatch.c */

/*
 * Starts an attempt at the server and with the slot in request->attempt.
 */
void dispatch_begin(struct request *request);

/*
 * Aborts the current attempt: closes its connection and asks the server to
 * cancel the work.
 */
void dispatch_cancel(struct request *request);

/*
 * Ends a request in flight whose deadline has passed.
 */
void dispatch_timeout(struct request *request);

/*
 * Retries a request at another server if a third of its time has passed without
 * the first byte of a response.
 */
void dispatch_check_response(struct request *request);

/*
 * Continues a request in STEP_CRASH_DECISION once the leader has decided or
 * CRASH_DECISION_MS have passed.
 */
void dispatch_check_crash_decision(struct request *request);

/*
 * Releases the slots of cancellations that have expired.
 */
void cancellation_tick(struct core *core);
void cancellation_destroy(struct core *core);

/* entry_link.c: bandwidth budgets of the links between regions */

/*
 * Estimates the size of a response of the route.
 */
uint64_t link_response_bytes(struct core *core, const char *route);

/*
 * Updates the average size of the route's responses.
 */
void link_record_response(struct core *core, const char *route, uint64_t bytes);

/*
 * Returns true if tokens are held for the request on the link to the region and
 * for its response on the link back.
 */
bool link_tokens_available(struct request *request, const char *region);

/*
 * Charges the request and the estimated response to the links of the attempt.
 */
void link_charge(struct request *request, const char *region);

/*
 * Replaces the estimate that was charged for the response by its actual size.
 */
void link_correct_charge(struct request *request, uint64_t response_bytes);

/*
 * Requests from the leader the tokens that the request lacks for a region.
 */
void link_request_tokens(struct request *request, const char *region);

/*
 * Withdraws all requests for link tokens.
 */
void link_cancel_token_requests(struct core *core);

/*
 * Returns the region of this instance's zone, "" if none is configured.
 */
const char *link_own_region(const struct core *core);

/* entry_finish.c */

/*
 * Each sends the final answer to the caller and frees the request.
 */
void finish_refusal(struct request *request, enum refusal refusal,
		    uint32_t retry_after_ms, const char *detail);
void finish_response(struct request *request,
		     const struct http_response *response);
void finish_replay(struct request *request, const Aw__OpResult *result);

/*
 * Ends a request whose caller has closed the connection.
 */
void finish_abandoned(struct request *request);

/*
 * Frees a request without an answer.
 */
void finish_destroy(struct request *request);

#endif
