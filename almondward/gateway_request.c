#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <cjson/cJSON.h>
#include <utlist.h>

#include "fingerprint.h"
#include "gateway_internal.h"
#include "hash.h"
#include "log.h"

#define HEADERS_MAX 64
/* Servers name the time after which they close an idle connection; most of it
 * is used. A connection that the server has forgotten is only noticed after the
 * request was sent, and one that must not run twice could then not be sent
 * again, so only younger ones are used for it. */
#define IDLE_MAX_MS 15000
#define IDLE_MAX_ONCE_MS 5000
/* After a kept connection broke, only younger ones are used for this time. */
#define IDLE_DOUBT_MS 5000
/* Sendings of one request that did not run it, beside attempts_max. */
#define NOT_RUN_MAX 2
/* Part of the fleet's retries that the instances use together; the rest covers
 * requests that are counted in another window than their retries. */
#define RETRY_PART_PERCENT 80
/* A retry needs at least so much time to be of use. */
#define RETRY_LEFT_MS 100
/* Two ways between regions and the time until the next question. */
#define TOKEN_WAIT_MS 250
/* The answer has to reach the caller before it gives up. */
#define ANSWER_WAY_MS 10
#define ANSWER_BYTES_MAX ((size_t)64 << 20)
/* One answer takes at most a quarter of the memory for answers: a server may
 * send one without end. */
#define ANSWER_SHARE 4
/* A server holds a slot from the first byte on, so of many large bodies for a
 * slow link few are sent at once; with a single one a far server's small
 * windows would leave the link idle. */
#define LARGE_AT_ONCE 2
/* A faster link sends a body of a megabyte within a tenth of a second. */
#define SLOW_LINK_MILLI_MBIT 100000
#define LEFT_MS_MAX 600000 /* without deadline and timeout */
/* Callers wait out a refusal for lack of a plan or a server. */
#define RETRY_AFTER_MS 500
/* Fingerprints of larger bodies are made only when a request is suspected:
 * bodies that are sent again and again are small. */
#define SMALL_BODY_BYTES 4096

struct gw_request {
	struct gw *gw;
	struct http_exchange *exchange;
	const struct http_request *req;
	struct svc_request call;
	char route[NAME_BYTES_MAX];
	uint64_t host; /* hash of the route's */
	char customer[NAME_BYTES_MAX]; /* "" on open routes */
	char upstream[NAME_BYTES_MAX];
	uint64_t plan_version;
	uint32_t attempts_max;
	bool has_token;
	bool has_fingerprint;
	bool is_trial; /* shows whether the request crashes its server */
	uint8_t fingerprint[HASH_BYTES];
	char **regions; /* copies: the plan may change meanwhile */
	size_t nr_regions;
	char **more_regions;
	size_t nr_more_regions;
	uint64_t start_ms;
	uint64_t aim_ms; /* an answer after this is late */
	uint64_t limit_ms; /* the final answer is due */
	struct steer_query query;
	struct steer_choice choice; /* of the running sending */
	/* Of the last sending; the server itself may be forgotten by then. */
	char server_id[NAME_BYTES_MAX];
	char server_zone[NAME_BYTES_MAX];
	struct gw_slot slot; /* of the running sending, or the next */
	struct http_conn *conn;
	struct gw_over over; /* the connection */
	struct steer_sending sending;
	uint64_t first_sent_ms;
	uint32_t nr_run; /* sendings that may have run it */
	uint32_t nr_not_run;
	/* While it waits for a token of its customer. */
	struct gw_customer *waits_for;
	uint64_t waits_since_ms;
	struct gw_request *prev, *next;
	struct gw_request *wait_prev, *wait_next;
	/* A large body on a slow link. */
	bool waits_for_link;
	bool sends_large;
	uint32_t body_ms; /* in which the last body was handed over */
	struct gw_request *large_prev, *large_next;
};

/*
 * Why a request is refused, in the words of the log and of the answer. The
 * default is the rule of the system; a route, a customer or the plan makes the
 * exception.
 */
struct refusal_reason {
	const char *rule;
	const char *why;
};

static const struct refusal_reason reasons[REFUSAL_COUNT] = {
	[REFUSAL_NO_LEASE] = { "no_plan",
			       "The instance has not yet heard which requests "
			       "it may serve." },
	[REFUSAL_NO_ROUTE] = { "routes", "No route has this host and path." },
	[REFUSAL_KEY_MISSING] = { "keys", "The route is not open and needs a "
					  "key." },
	[REFUSAL_KEY_UNKNOWN] = { "keys", "No customer holds this key." },
	[REFUSAL_RATE] = { "rate", "The customer has used its rate and "
				   "burst." },
	[REFUSAL_QUEUE_FULL] = { "no_useless_wait",
				 "No server can answer in time; waiting would "
				 "delay requests that can still be served in "
				 "time." },
	[REFUSAL_NO_SERVER] = { "servers", "No server of the upstream may be "
					   "used." },
	[REFUSAL_DEADLINE] = { "deadline", "The time of the caller or of the "
					   "route is up." },
	[REFUSAL_SERVER_LOST] = { "at_most_once",
				  "The server may have run the request and its "
				  "answer is lost; it must not be sent "
				  "again." },
	[REFUSAL_ANSWER_CUT] = { "whole_answers",
				 "The answer of the server is not whole." },
	[REFUSAL_CRASHES] = { "quarantine",
			      "Servers ended under requests like this one; it "
			      "was not sent to another." },
	[REFUSAL_MEMORY] = { "memory", "The instance is out of memory." },
};

/* ---- the end of a request ---- */

static void free_names(char **names, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++)
		free(names[i]);
	free(names);
}

static void stop_waiting(struct gw_request *request)
{
	struct gw_customer *customer = request->waits_for;

	if (!customer)
		return;
	DL_DELETE2(customer->waiting, request, wait_prev, wait_next);
	customer->nr_waiting--;
	if (customer->nr_asked)
		customer->nr_asked--;
	request->waits_for = NULL;
}

static void request_free(struct gw_request *request)
{
	struct gw *gw = request->gw;

	stop_waiting(request);
	gw_slot_end(gw, &request->slot, COORD_NOT_SENT);
	if (request->waits_for_link)
		DL_DELETE2(gw->large, request, large_prev, large_next);
	DL_DELETE(gw->requests, request);
	gw->nr_requests--;
	free_names(request->regions, request->nr_regions);
	free_names(request->more_regions, request->nr_more_regions);
	free(request);
}

/*
 * The id that the caller gave, as a value of a line.
 */
static const char *id_text(const struct gw_request *request,
			   char out[EVENT_TEXT_BYTES])
{
	return event_text(request->call.id, out);
}

static void log_end(struct gw_request *request, uint32_t status,
		    const char *outcome, const char *rule)
{
	const struct steer_choice *choice = &request->choice;
	uint64_t now_ms = gw_now_ms(request->gw);
	char id[EVENT_TEXT_BYTES];

	event_log(
		EVENT_REQUEST,
		"id=%s customer=%s route=%s upstream=%s object=%llx status=%u outcome=%s "
		"rule=%s verdict=%s server=%s server_zone=%s took_ms=%llu sent_ms=%lld "
		"body_ms=%u tries=%u not_run=%u expected_ms=%u wait_ms=%u load=%u/%u "
		"load_age_ms=%llu place=%d moved=%s left_ms=%lld plan=%llu "
		"plan_age_ms=%llu",
		id_text(request, id), request->customer, request->route,
		request->upstream, (unsigned long long)request->query.object,
		status, outcome, rule, steer_verdict_name(choice->verdict),
		request->server_id, request->server_zone,
		(unsigned long long)(now_ms - request->start_ms),
		request->first_sent_ms ? (long long)(request->first_sent_ms -
						     request->start_ms) :
					 -1LL,
		request->body_ms, request->nr_run, request->nr_not_run,
		choice->expected_ms, choice->wait_ms, choice->load,
		choice->slots, (unsigned long long)choice->load_age_ms,
		choice->place, choice->moved ? "true" : "false",
		(long long)(request->limit_ms - now_ms),
		(unsigned long long)request->plan_version,
		(unsigned long long)(now_ms - request->gw->plan_ms));
}

static void refuse_exchange(struct gw *gw, struct http_exchange *exchange,
			    enum refusal refusal, const char *id,
			    uint32_t retry_after_ms)
{
	const struct refusal_reason *reason = &reasons[refusal];
	uint32_t status = refusal_status(refusal);
	struct http_header headers[3];
	struct http_response response = { .status = status,
					  .headers = headers };
	char retry_after[16], *text;
	cJSON *json = cJSON_CreateObject();

	headers[response.nr_headers++] =
		(struct http_header){ "Content-Type", "application/json" };
	if (id)
		headers[response.nr_headers++] =
			(struct http_header){ gw->adapter->request_id_header,
					      id };
	if (retry_after_ms && (status == 503 || status == 429)) {
		snprintf(retry_after, sizeof(retry_after), "%u.%03u",
			 retry_after_ms / 1000, retry_after_ms % 1000);
		headers[response.nr_headers++] =
			(struct http_header){ "Retry-After", retry_after };
	}
	cJSON_AddStringToObject(json, "error", refusal_name(refusal));
	cJSON_AddStringToObject(json, "rule", reason->rule ? reason->rule : "");
	cJSON_AddStringToObject(json, "why", reason->why ? reason->why : "");
	cJSON_AddBoolToObject(json, "not_run", status != 502 && status != 504);
	text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	response.body = (const uint8_t *)text;
	response.body_bytes = text ? strlen(text) : 0;
	gw_count(gw, "refusals", refusal_name(refusal));
	http_respond(exchange, &response);
	cJSON_free(text);
}

static void refuse(struct gw_request *request, enum refusal refusal,
		   uint32_t retry_after_ms)
{
	const char *rule = reasons[refusal].rule;
	struct gw *gw = request->gw;
	struct gw_customer *customer;

	if (request->has_token && !request->first_sent_ms) {
		HASH_FIND_STR(gw->customers, request->customer, customer);
		if (customer)
			share_bucket_return(&customer->bucket, gw_now_ms(gw));
	}
	log_end(request, refusal_status(refusal), refusal_name(refusal),
		rule ? rule : "");
	/* The id belongs to the request, which ends with the answer. */
	refuse_exchange(gw, request->exchange, refusal, request->call.id,
			retry_after_ms);
	request_free(request);
}

static void answer(struct gw_request *request,
		   const struct http_response *response)
{
	struct gw *gw = request->gw;
	uint64_t took_ms = gw_now_ms(gw) - request->start_ms;

	hist_add(gw->latency, took_ms);
	gw_count(gw, "answers",
		 gw_now_ms(gw) <= request->aim_ms ? "in_time" : "late");
	log_end(request, response->status,
		response->status < 300 ? "served" : "server_status", "default");
	http_respond(request->exchange, response);
	request_free(request);
}

/*
 * The body is handed over, or will not be.
 */
static void end_large(struct gw_request *request)
{
	if (!request->sends_large)
		return;
	request->sends_large = false;
	request->gw->nr_large_sent--;
}

static const uint8_t *fingerprint_of(struct gw_request *request)
{
	if (!request->has_fingerprint)
		fpr_make(request->host, request->customer, request->req, NULL,
			 request->fingerprint);
	request->has_fingerprint = true;
	return request->fingerprint;
}

static uint32_t sending_ms(const struct gw_request *request)
{
	return (uint32_t)(gw_now_ms(request->gw) - request->sending.sent_ms);
}

static void note_unanswered(struct gw_request *request)
{
	gw_crash_unanswered(request->gw, fingerprint_of(request),
			    request->choice.server, sending_ms(request));
}

/*
 * The caller is gone: the server's work is of no use any more.
 */
static void on_abort(void *arg)
{
	struct gw_request *request = arg;
	struct gw *gw = request->gw;

	gw_count(gw, "callers_left", request->conn ? "running" : "waiting");
	if (request->conn) {
		note_unanswered(request);
		http_conn_destroy(request->conn);
		end_large(request);
		gw_slot_end(gw, &request->slot, COORD_UNTOLD);
		steer_ended(gw->steer, request->choice.server, &request->query,
			    STEER_CANCELLED, &request->sending,
			    &(struct steer_load){ .known = false });
		request->choice.server = NULL;
	}
	log_end(request, 0, "caller_left", "cancel");
	request_free(request);
}

/* ---- sending ---- */

static void attempt(struct gw_request *request);

static void send_next_large(struct gw *gw)
{
	while (gw->large && gw->nr_large_sent < LARGE_AT_ONCE) {
		struct gw_request *request = gw->large;

		DL_DELETE2(gw->large, request, large_prev, large_next);
		request->waits_for_link = false;
		attempt(request);
	}
}

static void on_sent(void *arg)
{
	struct gw_request *request = arg;
	struct gw *gw = request->gw;

	request->body_ms = sending_ms(request);
	end_large(request);
	send_next_large(gw);
}

static bool is_large(const struct gw_request *request)
{
	const struct gw *gw = request->gw;

	return gw->settings->cluster.bounds.link_kbit_per_s &&
	       gw->settings->cluster.bounds.link_kbit_per_s <=
		       SLOW_LINK_MILLI_MBIT &&
	       request->req->body_bytes > PACE_LARGE_BYTES;
}

/*
 * Headers that the caller's Connection header names concern only its
 * connection.
 */
static bool is_named_by_connection(const struct http_request *req,
				   const char *name)
{
	const char *list =
		http_header_value(req->headers, req->nr_headers, "Connection");
	size_t name_bytes = strlen(name), len_bytes;

	while (list && *list) {
		list += strspn(list, " ,\t");
		len_bytes = strcspn(list, " ,\t");
		if (len_bytes == name_bytes &&
		    !strncasecmp(list, name, name_bytes))
			return true;
		list += len_bytes;
	}
	return false;
}

static size_t copy_headers(const struct gw_request *request,
			   struct http_header *headers, size_t max)
{
	const struct http_request *req = request->req;
	size_t i, nr = 0;

	for (i = 0; i < req->nr_headers && nr < max; i++) {
		const char *name = req->headers[i].name;

		if (request->gw->adapter->is_withheld(name) ||
		    !strcasecmp(name, "Expect") ||
		    is_named_by_connection(req, name))
			continue;
		headers[nr++] = req->headers[i];
	}
	return nr;
}

/*
 * 0: the request has no id.
 */
static uint64_t id_hash(const struct gw_request *request)
{
	return request->call.id ? hash_text(request->call.id) : 0;
}

/*
 * What the server says of itself holds whatever becomes of the answer.
 */
static void take_notices(struct gw_request *request,
			 const struct svc_answer *read)
{
	struct steer_server *server = request->choice.server;
	struct gw *gw = request->gw;
	char id[EVENT_TEXT_BYTES];

	if (read->leaves && steer_server_leaves(gw->steer, server)) {
		gw_count(gw, "server_notices", "leaves");
		event_log(EVENT_SERVER, "server=%s notice=leaves id=%s",
			  steer_server_id(server), id_text(request, id));
	}
	switch (read->pause) {
	case SVC_PAUSE_NONE:
		break;
	case SVC_PAUSE_UNREADABLE:
		gw_count(gw, "server_notices", "pause_unreadable");
		event_log(EVENT_SERVER,
			  "server=%s notice=pause_unreadable id=%s",
			  steer_server_id(server), id_text(request, id));
		break;
	case SVC_PAUSE_CUT:
	case SVC_PAUSE_TIME:
		gw_count(gw, "server_notices", "pause");
		if (steer_server_pauses(gw->steer, server, read->pause_ms) ||
		    read->pause == SVC_PAUSE_CUT)
			event_log(EVENT_SERVER,
				  "server=%s notice=pause pause_ms=%u "
				  "cut=%s id=%s",
				  steer_server_id(server), read->pause_ms,
				  read->pause == SVC_PAUSE_CUT ? "true" :
								 "false",
				  id_text(request, id));
		break;
	}
}

/*
 * Whether requests like this one crash servers. A trial is granted for one
 * sending.
 */
static enum quar_state judge_crashes(struct gw_request *request,
				     uint32_t *retry_after_ms)
{
	struct crs_verdict verdict;

	if (request->is_trial || !crs_is_needed(request->gw->crs))
		return QUAR_NONE;
	gw_crash_judge(request->gw, fingerprint_of(request), &verdict);
	request->is_trial = verdict.state == QUAR_TRIAL;
	*retry_after_ms = verdict.retry_after_ms;
	return verdict.state;
}

static bool may_send(void *arg)
{
	struct gw_request *request = arg;
	uint32_t retry_after_ms;

	return steer_may_send(request->gw->steer, request->choice.server) &&
	       judge_crashes(request, &retry_after_ms) != QUAR_REFUSED;
}

static bool is_mine(void *arg, const struct http_response *response)
{
	struct gw_request *request = arg;
	char id[EVENT_TEXT_BYTES];
	struct svc_answer read;

	request->gw->adapter->read_answer(response, &read);
	take_notices(request, &read);
	if (!read.request_id || !request->call.id ||
	    !strcmp(read.request_id, request->call.id))
		return true;
	gw_count(request->gw, "answers_skipped", "other_request");
	event_log(EVENT_ATTEMPT, "id=%s server=%s outcome=skipped_other_answer",
		  id_text(request, id),
		  steer_server_id(request->choice.server));
	return false;
}

static struct gw_upstream *get_upstream(struct gw *gw, const char *name)
{
	struct gw_upstream *at;

	HASH_FIND_STR(gw->upstreams, name, at);
	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	snprintf(at->name, sizeof(at->name), "%s", name);
	HASH_ADD_STR(gw->upstreams, name, at);
	return at;
}

static bool within_budget(struct gw_request *request)
{
	struct gw_upstream *at = get_upstream(request->gw, request->upstream);
	const struct set_bounds *bounds =
		&request->gw->settings->cluster.bounds;
	struct budget_limit limit;
	size_t nr_instances;

	topo_instances(request->gw->topo, &nr_instances);
	limit.permille =
		bounds->retry_ratio_permille * RETRY_PART_PERCENT / 100;
	limit.retries_min = (uint32_t)(bounds->retry_extra_milli / 1000 *
				       RETRY_PART_PERCENT / 100 /
				       (nr_instances ? nr_instances : 1));
	if (at &&
	    budget_retry_within(&at->budget, &limit, gw_now_ms(request->gw)))
		return true;
	gw_count(request->gw, "retries_refused", "budget");
	return false;
}

static void log_attempt(struct gw_request *request, enum steer_outcome outcome,
			const char *cause)
{
	char id[EVENT_TEXT_BYTES], print[FPR_TEXT_BYTES] = "-";

	gw_count(request->gw, "attempts", steer_outcome_name(outcome));
	if (outcome == STEER_SUCCESS)
		return;
	/* Large bodies that were only turned away are not gone through. */
	if (request->has_fingerprint ||
	    request->req->body_bytes <= SMALL_BODY_BYTES)
		fpr_text(fingerprint_of(request), print);
	event_log(EVENT_ATTEMPT,
		  "id=%s request=%s server=%s upstream=%s outcome=%s cause=%s "
		  "took_ms=%llu new_connection=%d load=%u/%u",
		  id_text(request, id), print,
		  steer_server_id(request->choice.server), request->upstream,
		  steer_outcome_name(outcome), cause,
		  (unsigned long long)(gw_now_ms(request->gw) -
				       request->sending.sent_ms),
		  request->over.is_new, request->choice.load,
		  request->choice.slots);
}

/*
 * Ends the running sending towards steer. The server may be freed.
 */
static void end_sending(struct gw_request *request, enum steer_outcome outcome,
			const char *cause, const struct steer_load *load)
{
	static const struct steer_load unknown = { .known = false };
	struct steer_query *query = &request->query;

	log_attempt(request, outcome, cause);
	end_large(request);
	if (query->nr_tried < STEER_TRIED_MAX)
		query->tried[query->nr_tried++] = request->choice.server;
	steer_ended(request->gw->steer, request->choice.server, query, outcome,
		    &request->sending, load ? load : &unknown);
	gw_slot_end(request->gw, &request->slot,
		    outcome == STEER_UNREACHED || outcome == STEER_WITHDRAWN ?
			    COORD_NOT_SENT :
			    COORD_UNTOLD);
	query->nr_asked = 0;
	request->is_trial = false;
	request->choice.server = NULL;
	request->conn = NULL;
}

static void set_time_left(struct gw_request *request)
{
	uint64_t now_ms = gw_now_ms(request->gw);

	request->query.aim_left_ms = (int64_t)(request->aim_ms - now_ms);
	request->query.left_ms =
		request->limit_ms > now_ms ? request->limit_ms - now_ms : 0;
}

static bool has_time_to_retry(const struct gw_request *request)
{
	return gw_now_ms(request->gw) + RETRY_LEFT_MS < request->limit_ms;
}

/*
 * What a server says of itself does not hold for the caller: others may take
 * the request sooner.
 */
static uint32_t come_back_ms(struct gw_request *request)
{
	set_time_left(request);
	steer_pick(request->gw->steer, &request->query, &request->choice);
	request->choice.server = NULL;
	return request->choice.retry_after_ms;
}

/*
 * After a sending that did not run the request.
 */
static void retry_not_run(struct gw_request *request, bool arrived,
			  enum refusal refusal)
{
	request->nr_not_run++;
	if (request->nr_not_run <= NOT_RUN_MAX && has_time_to_retry(request) &&
	    (!arrived || within_budget(request)))
		attempt(request);
	else
		refuse(request, request->nr_run ? REFUSAL_SERVER_LOST : refusal,
		       come_back_ms(request));
}

/*
 * Servers ended under such requests: the next one is left to the caller.
 */
static bool is_watched(struct gw_request *request)
{
	uint32_t retry_after_ms;

	if (judge_crashes(request, &retry_after_ms) == QUAR_NONE)
		return false;
	gw_count(request->gw, "retries_refused", "crashes");
	request->is_trial = false;
	return true;
}

/*
 * After a sending that may have run the request. last is the server's own
 * failure, which is handed on if there is no retry, or NULL.
 */
static void retry_run(struct gw_request *request, enum refusal refusal,
		      const struct http_response *last)
{
	request->nr_run++;
	if (request->query.idempotent && !is_watched(request) &&
	    request->nr_run < request->attempts_max &&
	    has_time_to_retry(request) && within_budget(request)) {
		gw_count(request->gw, "retries", refusal_name(refusal));
		attempt(request);
	} else if (last) {
		answer(request, last);
	} else {
		refuse(request, refusal, 0);
	}
}

/*
 * A server has run the request and goes on.
 */
static void note_answered(struct gw_request *request)
{
	struct gw *gw = request->gw;

	if (request->req->body_bytes <= SMALL_BODY_BYTES ||
	    crs_is_needed(gw->crs))
		gw_crash_answered(gw, fingerprint_of(request));
}

static void on_answer(struct gw_request *request, struct http_conn *conn,
		      const struct http_response *response)
{
	struct steer_load load = { .known = false };
	struct gw *gw = request->gw;
	struct svc_answer read;

	gw->adapter->read_answer(response, &read);
	if (request->over.is_new)
		steer_connected(gw->steer, request->choice.server,
				http_conn_connect_ms(conn));
	load.known = read.has_load;
	load.running = read.running;
	load.waiting = read.waiting;
	load.slots = read.slots;
	/* Without an id it may be a late answer to an older request. */
	if (read.is_coded || (!read.request_id && request->call.id)) {
		http_conn_destroy(conn);
		end_sending(request, STEER_FAILURE, "answer_not_whole", NULL);
		retry_run(request, REFUSAL_ANSWER_CUT, NULL);
		return;
	}
	gw_backend_done(gw, request->choice.server, conn, id_hash(request),
			read.idle_max_ms);
	if (read.misdirected)
		gw_crash_replaced(gw, request->choice.server);
	if (read.not_run) {
		end_sending(request, read.misdirected ? STEER_GONE : STEER_SHED,
			    read.misdirected ? "other_server" : "not_run",
			    &load);
		retry_not_run(request, true, REFUSAL_QUEUE_FULL);
		return;
	}
	note_answered(request);
	if (response->status >= 500) {
		end_sending(request, STEER_FAILURE, "server_status", &load);
		retry_run(request, REFUSAL_SERVER_LOST, response);
		return;
	}
	log_attempt(request, STEER_SUCCESS, "");
	end_large(request);
	gw_slot_end(
		gw, &request->slot,
		steer_ended(gw->steer, request->choice.server, &request->query,
			    STEER_SUCCESS, &request->sending, &load));
	request->choice.server = NULL;
	request->conn = NULL;
	request->nr_run++;
	answer(request, response);
}

static uint64_t idle_max_ms(const struct gw_request *request)
{
	const struct gw *gw = request->gw;
	uint64_t most_ms = request->query.idempotent ? IDLE_MAX_MS :
						       IDLE_MAX_ONCE_MS;

	if (gw_now_ms(gw) < gw->idle_doubt_until_ms &&
	    most_ms > gw->idle_doubt_ms)
		return gw->idle_doubt_ms;
	return most_ms;
}

/*
 * Servers that forget connections forget the older ones of all callers.
 */
static void note_broken(struct gw_request *request)
{
	struct gw *gw = request->gw;
	uint64_t now_ms = gw_now_ms(gw);

	if (request->over.is_new)
		return;
	if (now_ms >= gw->idle_doubt_until_ms ||
	    request->over.idle_ms / 2 < gw->idle_doubt_ms)
		gw->idle_doubt_ms = request->over.idle_ms / 2;
	gw->idle_doubt_until_ms = now_ms + IDLE_DOUBT_MS;
	gw_count(gw, "kept_connections_broken", "");
}

static void on_done(void *arg, struct http_conn *conn,
		    const struct http_outcome *outcome)
{
	static const char *const causes[] = {
		[HTTP_OK] = "",
		[HTTP_CONNECT_FAILED] = "connect_failed",
		[HTTP_CLOSED] = "closed",
		[HTTP_CUT] = "cut",
		[HTTP_TIMEOUT] = "timeout",
		[HTTP_MALFORMED] = "malformed",
		[HTTP_TOO_LARGE] = "too_large",
		[HTTP_MEMORY] = "memory",
	};
	struct gw_request *request = arg;
	struct svc_answer read;

	if (outcome->result == HTTP_OK) {
		on_answer(request, conn, &outcome->response);
		return;
	}
	if (outcome->failed_head.status) {
		request->gw->adapter->read_answer(&outcome->failed_head, &read);
		take_notices(request, &read);
	}
	http_conn_destroy(conn);
	if (outcome->result == HTTP_TIMEOUT &&
	    gw_now_ms(request->gw) >= request->limit_ms) {
		if (outcome->bytes_sent)
			note_unanswered(request);
		end_sending(request, STEER_CANCELLED, "time_is_up", NULL);
		/* Nothing was sent if the connection never came about. */
		refuse(request,
		       outcome->bytes_sent || request->nr_run ?
			       REFUSAL_DEADLINE :
			       REFUSAL_NO_SERVER,
		       RETRY_AFTER_MS);
		return;
	}
	if (outcome->result == HTTP_CLOSED)
		note_broken(request);
	if (!outcome->bytes_sent) {
		bool unwanted = !may_send(request);

		end_sending(
			request, unwanted ? STEER_WITHDRAWN : STEER_UNREACHED,
			unwanted ? "notice" : causes[outcome->result], NULL);
		retry_not_run(request, false, REFUSAL_NO_SERVER);
		return;
	}
	if (outcome->result == HTTP_CLOSED || outcome->result == HTTP_CUT)
		gw_crash_broke(request->gw, fingerprint_of(request),
			       request->choice.server, sending_ms(request));
	end_sending(request,
		    outcome->result == HTTP_CLOSED ||
				    outcome->result == HTTP_CUT ?
			    STEER_BROKEN :
			    STEER_FAILURE,
		    causes[outcome->result], NULL);
	retry_run(request,
		  outcome->result == HTTP_CLOSED ? REFUSAL_SERVER_LOST :
						   REFUSAL_ANSWER_CUT,
		  NULL);
}

static size_t answer_max_bytes(const struct gw *gw)
{
	uint64_t most_bytes = gw->answers.max_bytes / ANSWER_SHARE;

	return most_bytes < ANSWER_BYTES_MAX ? (size_t)most_bytes :
					       ANSWER_BYTES_MAX;
}

static bool send_call(struct gw_request *request)
{
	const struct http_request *req = request->req;
	struct http_header headers[HEADERS_MAX];
	uint64_t now_ms = gw_now_ms(request->gw);
	const struct steer_server *server = request->choice.server;
	struct svc_forward_text text;
	struct svc_forward forward = {
		.server_id = steer_server_id(server),
		.customer = *request->customer ? request->customer : NULL,
		.left_ms = (uint32_t)(request->limit_ms - now_ms),
	};
	struct http_call call = {
		.method = req->method,
		.target = req->target,
		.headers = headers,
		.body = req->body,
		.body_bytes = req->body_bytes,
		.answer_max_bytes = answer_max_bytes(request->gw),
		.answer_memory = &request->gw->answers,
		.timeout_ms = forward.left_ms,
		.may_send = may_send,
		.is_mine = is_mine,
		.sent = on_sent,
		.done = on_done,
		.arg = request,
	};

	call.nr_headers = copy_headers(request, headers,
				       HEADERS_MAX - SVC_FORWARD_HEADERS);
	call.nr_headers += request->gw->adapter->forward_headers(
		&forward, &text, headers + call.nr_headers);
	request->conn = gw_backend_call(request->gw, request->choice.server,
					&call, id_hash(request),
					idle_max_ms(request), &request->over);
	if (request->conn && is_large(request) &&
	    http_conn_sending(request->conn)) {
		request->sends_large = true;
		request->gw->nr_large_sent++;
	}
	return request->conn != NULL;
}

static void refuse_verdict(struct gw_request *request)
{
	enum steer_verdict verdict = request->choice.verdict;

	gw_count(request->gw, "verdicts", steer_verdict_name(verdict));
	refuse(request,
	       request->nr_run		  ? REFUSAL_SERVER_LOST :
	       verdict == STEER_NO_SERVER ? REFUSAL_NO_SERVER :
					    REFUSAL_QUEUE_FULL,
	       request->choice.retry_after_ms);
}

/*
 * Whether the coordinator of the chosen server has to answer first. A far one
 * answers while a connection is made; over an open connection the request
 * would be there before the answer is here.
 */
static bool has_to_wait(struct gw_request *request)
{
	struct steer_server *server = request->choice.server;
	struct gw *gw = request->gw;

	if (request->query.nr_asked == STEER_ASKED_MAX)
		return false;
	if (!strcmp(steer_server_region(server), gw->settings->cluster.region))
		return true;
	return !steer_server_idle(server);
}

/*
 * Tells the coordinator of the chosen server of the request, and has a
 * connection opened to a far server meanwhile.
 */
static enum gw_slot_state ask(struct gw_request *request)
{
	struct steer_server *server = request->choice.server;
	bool waits = has_to_wait(request);
	struct gw *gw = request->gw;
	enum gw_slot_state state;

	if (request->query.nr_asked < STEER_ASKED_MAX)
		request->query.asked[request->query.nr_asked++] =
			steer_server_hash(server);
	request->query.again = true;
	snprintf(request->server_id, sizeof(request->server_id), "%s",
		 steer_server_id(server));
	state = gw_slot_ask(gw, &request->slot, server, &request->query, waits);
	if (state == GW_SLOT_WAITS && !steer_server_idle(server) &&
	    strcmp(steer_server_region(server), gw->settings->cluster.region))
		gw_backend_prepare(gw, server);
	return state;
}

static void tell_steer(struct gw_request *request,
		       const struct coord_told *told)
{
	struct steer *steer = request->gw->steer;
	struct steer_server *server = steer_find(steer, request->server_id);

	if (server)
		steer_told(steer, server, &request->query, told);
}

static bool is_agreed(const struct gw_request *request)
{
	return request->slot.held &&
	       request->slot.server ==
		       steer_server_hash(request->choice.server);
}

/*
 * Returns false when no connection can be made.
 */
static bool send_now(struct gw_request *request)
{
	struct gw *gw = request->gw;
	uint64_t now_ms = gw_now_ms(gw);

	request->sending.sent_ms = now_ms;
	request->sending.load = request->choice.load;
	snprintf(request->server_id, sizeof(request->server_id), "%s",
		 steer_server_id(request->choice.server));
	snprintf(request->server_zone, sizeof(request->server_zone), "%s",
		 steer_server_zone(request->choice.server));
	request->query.is_new = steer_is_told_new(
		gw->steer, request->choice.server, &request->query);
	steer_sent(gw->steer, request->choice.server, &request->query);
	if (!send_call(request)) {
		end_sending(request, STEER_UNREACHED, "no_connection", NULL);
		return false;
	}
	if (!request->first_sent_ms) {
		request->first_sent_ms = now_ms;
		hist_add(gw->waited, now_ms - request->start_ms);
	}
	return true;
}

/*
 * Returns true when the request is refused, and gone.
 */
static bool refuse_crashes(struct gw_request *request)
{
	uint32_t retry_after_ms;

	if (judge_crashes(request, &retry_after_ms) != QUAR_REFUSED)
		return false;
	refuse(request, request->nr_run ? REFUSAL_SERVER_LOST : REFUSAL_CRASHES,
	       retry_after_ms);
	return true;
}

static void attempt(struct gw_request *request)
{
	struct gw *gw = request->gw;

	while (gw_now_ms(gw) < request->limit_ms) {
		if (refuse_crashes(request))
			return;
		set_time_left(request);
		steer_pick(gw->steer, &request->query, &request->choice);
		if (request->choice.verdict != STEER_SEND) {
			refuse_verdict(request);
			return;
		}
		if (!is_agreed(request)) {
			bool is_first_time =
				request->query.nr_asked < STEER_ASKED_MAX;
			enum gw_slot_state state = ask(request);

			if (state == GW_SLOT_WAITS)
				return;
			/* The choice is made again with what was told. */
			if (state == GW_SLOT_TOLD && is_first_time)
				continue;
		}
		if (send_now(request))
			return;
		if (++request->nr_not_run > NOT_RUN_MAX) {
			refuse(request, REFUSAL_NO_SERVER, RETRY_AFTER_MS);
			return;
		}
	}
	refuse(request, request->nr_run ? REFUSAL_DEADLINE : REFUSAL_NO_SERVER,
	       RETRY_AFTER_MS);
}

void gw_request_told(struct gw_slot *slot, const struct coord_told *told)
{
	struct gw_request *request = slot->request;
	struct gw *gw = request->gw;
	struct coord_told others;

	if (!slot->waits) {
		/* It was sent meanwhile and is one of those at the server. */
		if (!told || !request->conn)
			return;
		others = *told;
		others.running++;
		steer_told(gw->steer, request->choice.server, &request->query,
			   &others);
		return;
	}
	slot->waits = false;
	if (told)
		tell_steer(request, told);
	attempt(request);
}

/* ---- admission ---- */

static char **copy_names(char *const *names, size_t nr)
{
	char **copy = calloc(nr + 1, sizeof(*copy));
	size_t i;

	for (i = 0; copy && i < nr; i++) {
		copy[i] = strdup(names[i]);
		if (!copy[i]) {
			free_names(copy, i);
			return NULL;
		}
	}
	return copy;
}

static struct gw_turns *get_turns(struct gw *gw, const Aw__PlanRoute *route)
{
	struct gw_turns *at;
	int64_t *credits;

	HASH_FIND_STR(gw->turns, route->name, at);
	if (!at) {
		at = calloc(1, sizeof(*at));
		if (!at)
			return NULL;
		snprintf(at->route, sizeof(at->route), "%s", route->name);
		HASH_ADD_STR(gw->turns, route, at);
	}
	if (at->plan_index == plan_index(gw->plan) && at->nr == route->n_parts)
		return at;
	if (at->nr != route->n_parts) {
		credits = calloc(route->n_parts + 1, sizeof(*credits));
		if (!credits)
			return NULL;
		free(at->credits);
		at->credits = credits;
		at->nr = route->n_parts;
	}
	at->plan_index = plan_index(gw->plan);
	return at;
}

/*
 * Smooth weighted turns: each part gains its weight, the richest pays for all.
 * Also requests that are refused later count for their part.
 */
static const char *choose_part(struct gw *gw, const Aw__PlanRoute *route)
{
	struct gw_turns *turns;
	int64_t total = 0;
	size_t i, best = 0;

	if (route->n_parts == 1)
		return route->parts[0]->upstream;
	turns = get_turns(gw, route);
	if (!turns || !route->n_parts)
		return route->n_parts ? route->parts[0]->upstream : "";
	for (i = 0; i < route->n_parts; i++) {
		total += route->parts[i]->weight;
		turns->credits[i] += route->parts[i]->weight;
		if (turns->credits[i] > turns->credits[best])
			best = i;
	}
	turns->credits[best] -= total;
	return route->parts[best]->upstream;
}

static uint64_t hash_object(const Aw__PlanRoute *route, const char *object)
{
	uint64_t hash = hash_add(HASH_START, route->host);

	return hash_add(hash_add(hash, route->path_prefix), object);
}

static void set_times(struct gw_request *request, const Aw__PlanRoute *route)
{
	uint64_t start_ms = request->start_ms;

	request->limit_ms = start_ms + LEFT_MS_MAX;
	if (request->call.has_deadline)
		request->limit_ms =
			start_ms +
			(request->call.deadline_ms > ANSWER_WAY_MS ?
				 request->call.deadline_ms - ANSWER_WAY_MS :
				 0);
	if (route->timeout_ms &&
	    request->limit_ms > start_ms + route->timeout_ms)
		request->limit_ms = start_ms + route->timeout_ms;
	request->aim_ms = route->target_latency_ms ?
				  start_ms + route->target_latency_ms :
				  request->limit_ms;
}

static int fill_request(struct gw_request *request, const Aw__PlanRoute *route,
			const Aw__PlanCustomer *customer)
{
	struct steer_query *query = &request->query;
	const char *upstream = choose_part(request->gw, route);

	snprintf(request->route, sizeof(request->route), "%s", route->name);
	snprintf(request->upstream, sizeof(request->upstream), "%s", upstream);
	request->host = hash_text(route->host);
	request->attempts_max = route->attempts_max;
	set_times(request, route);
	query->upstream = request->upstream;
	query->body_bytes = request->req->body_bytes;
	query->idempotent = route->kind == AW__REQUEST_KIND__IDEMPOTENT;
	query->priority = customer && customer->has_priority ?
				  customer->priority :
				  route->priority;
	query->has_object = route->affinity && request->call.object;
	if (query->has_object)
		query->object = hash_object(route, request->call.object);
	if (route->n_home_regions) {
		request->regions =
			copy_names(route->home_regions, route->n_home_regions);
		if (!request->regions)
			return -1;
		request->nr_regions = route->n_home_regions;
	}
	if (customer && customer->n_home_regions) {
		request->more_regions = copy_names(customer->home_regions,
						   customer->n_home_regions);
		if (!request->more_regions)
			return -1;
		request->nr_more_regions = customer->n_home_regions;
	}
	query->regions = request->regions;
	query->nr_regions = request->nr_regions;
	query->more_regions = request->more_regions;
	query->nr_more_regions = request->nr_more_regions;
	return 0;
}

/*
 * Returns 0, or the time until the customer has a token again.
 */
static uint32_t take_token(struct gw_request *request,
			   const Aw__PlanCustomer *customer)
{
	struct gw *gw = request->gw;
	struct gw_customer *at;
	uint32_t wait_ms;

	HASH_FIND_STR(gw->customers, customer->name, at);
	if (!at || !customer->rate_milli_per_s)
		return 0;
	wait_ms = share_bucket_take(&at->bucket, gw_now_ms(gw));
	request->has_token = !wait_ms;
	return wait_ms;
}

static struct gw_request *request_create(struct gw *gw,
					 struct http_exchange *exchange,
					 const struct http_request *req)
{
	struct gw_request *request = calloc(1, sizeof(*request));

	if (!request)
		return NULL;
	request->gw = gw;
	request->exchange = exchange;
	request->req = req;
	request->start_ms = req->head_ms;
	request->limit_ms = req->head_ms;
	request->plan_version = plan_version(gw->plan);
	request->slot.request = request;
	request->query.chance = erand48(gw->random_state);
	gw->adapter->read_request(req, &request->call);
	DL_APPEND(gw->requests, request);
	gw->nr_requests++;
	http_exchange_on_abort(exchange, on_abort, request);
	return request;
}

/*
 * Whose request it is; false when it was refused.
 */
static bool authorize(struct gw_request *request, const Aw__PlanRoute *route,
		      const Aw__PlanCustomer **customer)
{
	const struct gw *gw = request->gw;

	*customer = NULL;
	if (route->open || !plan_message(gw->plan)->n_customers)
		return true;
	if (!request->call.key) {
		refuse(request, REFUSAL_KEY_MISSING, 0);
		return false;
	}
	*customer = plan_customer_by_key(gw->plan, request->call.key);
	if (!*customer) {
		refuse(request, REFUSAL_KEY_UNKNOWN, 0);
		return false;
	}
	snprintf(request->customer, sizeof(request->customer), "%s",
		 (*customer)->name);
	return true;
}

static void begin(struct gw_request *request)
{
	struct gw_upstream *upstream =
		get_upstream(request->gw, request->upstream);

	if (upstream)
		budget_admit(&upstream->budget, gw_now_ms(request->gw));
	if (!is_large(request) || request->gw->nr_large_sent < LARGE_AT_ONCE) {
		attempt(request);
		return;
	}
	request->waits_for_link = true;
	DL_APPEND2(request->gw->large, request, large_prev, large_next);
	gw_count(request->gw, "link_waits", "");
}

static void refuse_rate(struct gw_request *request, uint32_t wait_ms)
{
	refuse(request, REFUSAL_RATE,
	       wait_ms < RETRY_AFTER_MS ? RETRY_AFTER_MS : wait_ms);
}

/*
 * The share of this instance is used up: the leader may have a token. As many
 * requests of a customer wait as its rate serves within the wait.
 */
static void wait_for_token(struct gw_request *request, uint32_t wait_ms)
{
	struct gw *gw = request->gw;
	struct gw_customer *customer;
	uint64_t most;

	HASH_FIND_STR(gw->customers, request->customer, customer);
	if (!customer) {
		refuse_rate(request, wait_ms);
		return;
	}
	most = (uint64_t)customer->bucket.whole_rate_milli * TOKEN_WAIT_MS /
		       1000000 +
	       1;
	if (!gw_link_can_ask(gw)) {
		if (share_bucket_take_alone(&customer->bucket, gw_now_ms(gw)))
			begin(request);
		else
			refuse_rate(request, wait_ms);
		return;
	}
	if (customer->nr_waiting >= most) {
		refuse_rate(request, wait_ms);
		return;
	}
	request->waits_for = customer;
	request->waits_since_ms = gw_now_ms(gw);
	DL_APPEND2(customer->waiting, request, wait_prev, wait_next);
	customer->nr_waiting++;
	gw_count(gw, "token_waits", "");
	gw_link_ask(gw);
}

void gw_request_tokens(struct gw_customer *customer, uint32_t tokens,
		       uint32_t wanted)
{
	for (; wanted && customer->waiting; wanted--) {
		struct gw_request *request = customer->waiting;

		stop_waiting(request);
		request->has_token = tokens > 0;
		if (!tokens) {
			refuse_rate(request, 0);
			continue;
		}
		tokens--;
		begin(request);
	}
}

static void end_waits(struct gw *gw, struct gw_customer *customer)
{
	while (customer->waiting &&
	       gw_now_ms(gw) >=
		       customer->waiting->waits_since_ms + TOKEN_WAIT_MS) {
		struct gw_request *request = customer->waiting;

		stop_waiting(request);
		if (!gw_link_can_ask(gw) &&
		    share_bucket_take_alone(&customer->bucket, gw_now_ms(gw)))
			begin(request);
		else
			refuse_rate(request, 0);
	}
}

/*
 * Requests whose time is up while they wait for the link have not run.
 */
static void end_link_waits(struct gw *gw)
{
	struct gw_request *request, *next;

	DL_FOREACH_SAFE2(gw->large, request, next, large_next)
	{
		if (gw_now_ms(gw) >= request->limit_ms)
			refuse(request, REFUSAL_QUEUE_FULL, RETRY_AFTER_MS);
	}
	send_next_large(gw);
}

void gw_request_tick(struct gw *gw)
{
	struct gw_customer *customer, *next;

	end_link_waits(gw);

	HASH_ITER(hh, gw->customers, customer, next)
	{
		end_waits(gw, customer);
	}
}

static void admit(struct gw_request *request, const Aw__PlanRoute *route)
{
	const Aw__PlanCustomer *customer;
	uint32_t wait_ms;

	if (!authorize(request, route, &customer))
		return;
	if (fill_request(request, route, customer)) {
		refuse(request, REFUSAL_MEMORY, RETRY_AFTER_MS);
		return;
	}
	wait_ms = customer ? take_token(request, customer) : 0;
	if (wait_ms)
		wait_for_token(request, wait_ms);
	else
		begin(request);
}

void gw_on_request(void *arg, struct http_exchange *exchange,
		   const struct http_request *req)
{
	struct gw *gw = arg;
	struct gw_request *request = request_create(gw, exchange, req);
	const char *host =
		http_header_value(req->headers, req->nr_headers, "Host");
	const Aw__PlanRoute *route;

	if (!request) {
		refuse_exchange(gw, exchange, REFUSAL_MEMORY, NULL,
				RETRY_AFTER_MS);
		return;
	}
	if (!plan_version(gw->plan)) {
		refuse(request, REFUSAL_NO_LEASE, RETRY_AFTER_MS);
		return;
	}
	route = plan_route(gw->plan, host ? host : "", req->target);
	if (route)
		admit(request, route);
	else
		refuse(request, REFUSAL_NO_ROUTE, 0);
}

void gw_request_drop_all(struct gw *gw)
{
	while (gw->requests) {
		struct gw_request *request = gw->requests;

		http_conn_destroy(request->conn);
		log_end(request, 0, "cut_by_stop", "grace_is_over");
		request_free(request);
	}
}

/* ---- plan ---- */

static void sync_customers(struct gw *gw)
{
	uint32_t window_ms = gw->settings->cluster.bounds.rate_window_ms;
	const Aw__Plan *plan = plan_message(gw->plan);
	struct gw_customer *at, *next;
	size_t i;

	HASH_ITER(hh, gw->customers, at, next)
	{
		at->planned = false;
	}
	for (i = 0; i < plan->n_customers; i++) {
		const Aw__PlanCustomer *from = plan->customers[i];

		HASH_FIND_STR(gw->customers, from->name, at);
		if (!at) {
			at = calloc(1, sizeof(*at));
			if (!at || strlen(from->name) >= NAME_BYTES_MAX) {
				free(at);
				continue;
			}
			snprintf(at->name, sizeof(at->name), "%s", from->name);
			at->turn = (uint32_t)i;
			share_bucket_init(&at->bucket, from->rate_milli_per_s,
					  window_ms, gw_now_ms(gw));
			HASH_ADD_STR(gw->customers, name, at);
		}
		at->planned = true;
		share_bucket_set_rate(&at->bucket, from->rate_milli_per_s);
	}
	HASH_ITER(hh, gw->customers, at, next)
	{
		/* Requests that wait end by themselves first. */
		if (at->planned || at->waiting)
			continue;
		HASH_DEL(gw->customers, at);
		free(at);
	}
}

void gw_plan_changed(struct gw *gw)
{
	const Aw__PlanLimits *limits = plan_message(gw->plan)->limits;

	sync_customers(gw);
	/* Asks for shares at once: until then a customer has almost nothing. */
	gw->report_ms = 0;
	if (limits && limits->body_max_bytes)
		http_server_set_body_max(gw->callers, limits->body_max_bytes);
	if (limits && limits->idle_timeout_ms)
		http_server_set_idle_timeout(gw->callers,
					     limits->idle_timeout_ms);
}
