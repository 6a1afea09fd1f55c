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
/*
 * Longest time for which a connection may have been idle when it is used.
 * Servers announce their idle timeout, and most of it is used, see
 * gateway_backend.c. A connection that the server has already dropped is
 * noticed only after the request was sent. A request that is not idempotent
 * could then not be retried, so it gets a connection that was idle for a
 * shorter time.
 */
#define IDLE_MAX_MS 15000
#define IDLE_MAX_NON_IDEMPOTENT_MS 5000
/* After an idle connection turned out to be broken, only connections that were
 * idle for a shorter time are used for this long. */
#define IDLE_LIMIT_MS 5000
/*
 * After a new connection failed within GW_SETTLE_MS, as it does where connections
 * are reset as soon as they are accepted, requests are sent over new
 * connections that have been open for this long. It ends SETTLE_REQUIRED_MS
 * after the last such failure; probes decide sooner whether links are lost.
 */
#define SETTLE_REQUIRED_MS 1000
/* Attempts of one request that did not run it, in addition to attempts_max. */
#define NOT_RUN_ATTEMPTS_MAX 2
/* Part of the fleet's retry budget that the instances divide among themselves;
 * the rest covers requests that are counted in another window than their
 * retries. */
#define RETRY_BUDGET_PERCENT 80
/* With less time left than this a retry is of no use. */
#define RETRY_TIME_MIN_MS 100
/* Covers the trip to a leader in another region and back, and the time until
 * the next request for tokens is sent. */
#define TOKEN_WAIT_MS 250
/* The response must reach the caller before the caller gives up. */
#define RESPONSE_DELIVERY_MS 10
#define RESPONSE_BYTES_MAX ((size_t)64 << 20)
/* One response takes at most a quarter of the memory for responses, as a server
 * may send without end. */
#define RESPONSE_MEMORY_DIVISOR 4
/* A server's slot is in use from the first byte of a request on, so only a few
 * large bodies are sent over a slow link at once. With a single one the small
 * TCP windows of a far server would leave the link idle. */
#define LARGE_SENDING_MAX 2
/* A faster link sends a body of a megabyte in less than a tenth of a second, so
 * large bodies need no limit there. */
#define SLOW_LINK_KBIT_PER_S 100000
/* Longest round-trip time to a caller. */
#define NEW_CALLER_MS 150
/* For requests with neither a deadline nor a timeout. */
#define TIME_LIMIT_MAX_MS 600000
/* Retry-After where no better time is known, as for lack of a plan or a server;
 * the minimum for refusals by rate. Callers are expected to wait this long. */
#define RETRY_AFTER_MS 500
/* Retry-After of a stopping instance: others can take the request at once. */
#define STOP_RETRY_AFTER_MS 50
/* Larger bodies are hashed for a fingerprint only when a request is suspected
 * of crashing servers: bodies that are sent again and again are small. */
#define SMALL_BODY_BYTES 4096
/* A server is checked when the response takes longer than this, and more than
 * twice the expected time. */
#define SILENT_MIN_MS 1000
/* A request that was denied a permit asks for one for other servers for this
 * time and this number of times; then it is refused. */
#define DENIED_ASK_MS 150
#define DENIED_ASKS_MAX 8
/* Time for a request of a caller to arrive and to be read. */
#define IDLE_TIMEOUT_MARGIN_MS 1500

struct gw_request {
	struct gw *gw;
	struct http_exchange *exchange;
	const struct http_request *req;
	struct svc_request parsed; /* what the adapter read from req */
	char route[NAME_BYTES_MAX];
	uint64_t host_hash; /* of the route's host */
	char customer[NAME_BYTES_MAX]; /* "" on open routes */
	char upstream[NAME_BYTES_MAX];
	uint64_t plan_version;
	uint32_t attempts_max;
	bool has_token;
	bool has_fingerprint;
	/* The attempt shows whether the request crashes its server. */
	bool is_trial;
	uint8_t fingerprint[HASH_BYTES];
	/* Home regions, copied because the plan may change meanwhile. */
	char **route_regions;
	size_t nr_route_regions;
	char **customer_regions;
	size_t nr_customer_regions;
	uint64_t start_ms;
	uint64_t target_ms; /* a response after this counts as late */
	uint64_t deadline_ms; /* when the final response is due */
	struct steer_query query;
	struct steer_choice choice; /* for the current attempt */
	/* Of the last attempt; the server itself may be freed by then. */
	char server_id[NAME_BYTES_MAX];
	char server_zone[NAME_BYTES_MAX];
	/* Its limit when the attempt began, "none" without one. */
	char limit_text[16];
	struct gw_slot slot; /* of the current or the next attempt */
	uint32_t nr_denied; /* permits that were denied for this attempt */
	uint64_t first_denied_ms;
	struct http_conn *conn; /* of the current attempt, NULL: none */
	struct gw_conn_info conn_info;
	bool is_waiting; /* the current attempt is counted in gw_reach() */
	bool is_sent; /* bytes of the current attempt may have been sent */
	/* When the new connection of the current attempt counts as established,
	 * 0: it is not new, not open yet, or was counted. */
	uint64_t settles_ms;
	bool has_settled; /* it was counted */
	/* Time to establish the new connection, without waits for the link. */
	uint32_t connect_ms;
	struct steer_attempt attempt; /* the current one */
	uint64_t first_sent_ms; /* time of the first attempt, 0: none yet */
	uint32_t nr_maybe_run; /* attempts that may have run the request */
	uint32_t nr_not_run; /* attempts that did not run it */
	uint32_t nr_unreached; /* those of them that sent nothing */
	/* It comes from another instance and is not relayed again. */
	bool was_relayed;
	/* No token was taken for it, since another instance takes one. */
	bool relay_only;
	struct gw_relay relay; /* to another instance */
	/* Set while the request waits for a token of this customer. */
	struct gw_customer *token_customer;
	uint64_t token_wait_start_ms;
	struct gw_request *prev, *next;
	struct gw_request *wait_prev, *wait_next; /* token_customer->waiting */
	/* A large body on a slow link. */
	bool waits_for_link; /* is in gw->large_waiting */
	bool sending_large; /* is counted in gw->nr_large_sending */
	uint32_t body_ms; /* time to write the last body to the socket */
	struct gw_request *large_prev, *large_next; /* gw->large_waiting */
};

/*
 * Why a request is refused, as the log and the response state it. These are the
 * system's rules, which apply by default; a route, a customer or the plan makes
 * exceptions.
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
	[REFUSAL_SERVER_LIMIT] = { "server_limit",
				   "The servers that could take the request "
				   "limit their requests a second, and no more "
				   "may be sent now." },
	[REFUSAL_NO_SERVER] = { "servers", "No server of the upstream may be "
					   "used." },
	[REFUSAL_UNREACHABLE] = { "links", "The instance cannot reach any "
					   "server, and no other instance "
					   "can take the request." },
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
	[REFUSAL_DRAINING] = { "stop",
			       "The instance is stopping and may exit before "
			       "the request is finished." },
};

/* ---- completion of a request ---- */

static void free_names(char **names, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++)
		free(names[i]);
	free(names);
}

static void stop_token_wait(struct gw_request *request)
{
	struct gw_customer *customer = request->token_customer;

	if (!customer)
		return;
	DL_DELETE2(customer->waiting, request, wait_prev, wait_next);
	customer->nr_waiting--;
	if (customer->nr_token_requests)
		customer->nr_token_requests--;
	request->token_customer = NULL;
}

static void request_free(struct gw_request *request)
{
	struct gw *gw = request->gw;

	stop_token_wait(request);
	gw_slot_end(gw, &request->slot, COORD_NOT_SENT);
	if (request->waits_for_link)
		DL_DELETE2(gw->large_waiting, request, large_prev, large_next);
	DL_DELETE(gw->requests, request);
	gw->nr_requests--;
	free_names(request->route_regions, request->nr_route_regions);
	free_names(request->customer_regions, request->nr_customer_regions);
	free(request);
}

/*
 * Returns the caller's request id as a value for a log record.
 */
static const char *id_text(const struct gw_request *request,
			   char out[EVENT_TEXT_BYTES])
{
	return event_quote(request->parsed.id, out);
}

static void log_request(struct gw_request *request, uint32_t status,
			const char *outcome, const char *rule)
{
	const struct steer_choice *choice = &request->choice;
	uint64_t now_ms = gw_now_ms(request->gw);
	char id[EVENT_TEXT_BYTES];

	event_log(
		EVENT_REQUEST,
		"id=%s customer=%s route=%s upstream=%s object=%llx status=%u outcome=%s "
		"rule=%s verdict=%s server=%s server_zone=%s took_ms=%llu sent_ms=%lld "
		"body=%zu body_ms=%u tries=%u not_run=%u expected_ms=%u wait_ms=%u load=%u/%u "
		"load_age_ms=%llu place=%d moved=%s limit_per_s=%s left_ms=%lld plan=%llu "
		"plan_age_ms=%llu relayed=%s via=%s link_ms=%llu",
		id_text(request, id), request->customer, request->route,
		request->upstream, (unsigned long long)request->query.object,
		status, outcome, rule, steer_verdict_name(choice->verdict),
		request->server_id, request->server_zone,
		(unsigned long long)(now_ms - request->start_ms),
		request->first_sent_ms ? (long long)(request->first_sent_ms -
						     request->start_ms) :
					 -1LL,
		request->req->body_bytes, request->body_ms,
		request->nr_maybe_run, request->nr_not_run, choice->expected_ms,
		choice->wait_ms, choice->load, choice->slots,
		(unsigned long long)choice->load_age_ms, choice->rank,
		choice->other_region ? "true" : "false", request->limit_text,
		(long long)(request->deadline_ms - now_ms),
		(unsigned long long)request->plan_version,
		(unsigned long long)(now_ms - request->gw->plan_confirmed_ms),
		request->was_relayed ? "true" : "false",
		*request->relay.via ? request->relay.via : "-",
		(unsigned long long)(request->req->head_ms -
				     request->start_ms));
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

/*
 * Returns the token of a request that this instance did not send to a server.
 */
static void return_token(struct gw_request *request)
{
	struct gw *gw = request->gw;
	struct gw_customer *customer;

	if (!request->has_token)
		return;
	request->has_token = false;
	HASH_FIND_STR(gw->customers, request->customer, customer);
	if (customer)
		share_bucket_return(&customer->bucket, gw_now_ms(gw));
}

static void refuse(struct gw_request *request, enum refusal refusal,
		   uint32_t retry_after_ms)
{
	const char *rule = reasons[refusal].rule;
	struct gw *gw = request->gw;

	if (!request->first_sent_ms)
		return_token(request);
	log_request(request, refusal_status(refusal), refusal_name(refusal),
		    rule ? rule : "");
	/* The id is part of the HTTP request, valid until http_respond(). */
	refuse_exchange(gw, request->exchange, refusal, request->parsed.id,
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
		 gw_now_ms(gw) <= request->target_ms ? "in_time" : "late");
	log_request(request, response->status,
		    response->status < 300 ? "served" : "server_status",
		    "default");
	http_respond(request->exchange, response);
	request_free(request);
}

/*
 * Stops counting a large body: it was written to the socket, or will not be.
 */
static void end_large_body(struct gw_request *request)
{
	if (!request->sending_large)
		return;
	request->sending_large = false;
	request->gw->nr_large_sending--;
}

static const uint8_t *get_fingerprint(struct gw_request *request)
{
	if (!request->has_fingerprint)
		fpr_make(request->host_hash, request->customer, request->req,
			 NULL, request->fingerprint);
	request->has_fingerprint = true;
	return request->fingerprint;
}

static uint32_t attempt_ms(const struct gw_request *request)
{
	return (uint32_t)(gw_now_ms(request->gw) - request->attempt.sent_ms);
}

static void report_unanswered(struct gw_request *request)
{
	gw_crash_unanswered(request->gw, get_fingerprint(request),
			    request->choice.server, attempt_ms(request));
}

/*
 * The current attempt waits no longer for a response.
 */
static void stop_waiting(struct gw_request *request)
{
	if (request->is_waiting)
		reach_attempt_end(gw_reach(request->gw));
	request->is_waiting = false;
}

/*
 * The caller closed its connection. Closes the connection to the server, whose
 * work is of no use any more.
 */
static void on_abort(void *arg)
{
	struct gw_request *request = arg;
	struct gw *gw = request->gw;

	gw_count(gw, "callers_left",
		 request->conn || request->relay.conn ? "running" : "waiting");
	if (request->conn) {
		report_unanswered(request);
		http_conn_destroy(request->conn);
		stop_waiting(request);
		end_large_body(request);
		gw_slot_end(gw, &request->slot, COORD_CACHE_UNKNOWN);
		steer_attempt_end(gw->steer, request->choice.server,
				  &request->query, STEER_CANCELLED,
				  &request->attempt,
				  &(struct steer_load){ .known = false });
		request->choice.server = NULL;
	}
	if (request->relay.conn) {
		gw_relay_cancel(&request->relay);
		end_large_body(request);
	}
	log_request(request, 0, "caller_left", "cancel");
	request_free(request);
}

/* ---- attempts ---- */

static void forward(struct gw_request *request);

static void send_next_large(struct gw *gw)
{
	while (gw->large_waiting && gw->nr_large_sending < LARGE_SENDING_MAX) {
		struct gw_request *request = gw->large_waiting;

		DL_DELETE2(gw->large_waiting, request, large_prev, large_next);
		request->waits_for_link = false;
		forward(request);
	}
}

static void on_body_sent(void *arg)
{
	struct gw_request *request = arg;
	struct gw *gw = request->gw;

	request->body_ms = attempt_ms(request);
	end_large_body(request);
	send_next_large(gw);
}

static void on_relayed_body_sent(void *arg)
{
	struct gw_request *request = arg;

	end_large_body(request);
	send_next_large(request->gw);
}

static bool is_large_body(const struct gw *gw, uint64_t body_bytes)
{
	return gw->settings->cluster.bounds.link_kbit_per_s &&
	       gw->settings->cluster.bounds.link_kbit_per_s <=
		       SLOW_LINK_KBIT_PER_S &&
	       body_bytes > PACE_LARGE_BYTES;
}

static bool is_large(const struct gw_request *request)
{
	return is_large_body(request->gw, request->req->body_bytes);
}

/*
 * Returns the milliseconds that the link needs for these bytes, if it carries
 * nothing else.
 */
static uint64_t link_ms(const struct gw *gw, uint64_t bytes)
{
	/* 1 kbit/s is an eighth of a byte per ms. */
	return bytes * 8 / gw->settings->cluster.bounds.link_kbit_per_s;
}

/*
 * Returns the milliseconds that the link needs at least for the large bodies
 * that wait for it.
 */
static uint64_t large_wait_ms(const struct gw *gw)
{
	const struct gw_request *request;
	uint64_t bytes = 0;

	for (request = gw->large_waiting; request;
	     request = request->large_next)
		bytes += request->req->body_bytes;
	return link_ms(gw, bytes);
}

/*
 * When half of the bodies that wait now are sent, a returning caller finds room.
 */
static uint32_t large_retry_after_ms(const struct gw *gw)
{
	uint64_t wait_ms = large_wait_ms(gw) / 2;

	return wait_ms > RETRY_AFTER_MS ? (uint32_t)wait_ms : RETRY_AFTER_MS;
}

bool gw_is_named_by_connection(const struct http_request *req, const char *name)
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
		    gw_relay_is_own_header(name) ||
		    gw_is_named_by_connection(req, name))
			continue;
		headers[nr++] = req->headers[i];
	}
	return nr;
}

/*
 * Returns 0 if the request has no id.
 */
static uint64_t id_hash(const struct gw_request *request)
{
	return request->parsed.id ? hash_text(request->parsed.id) : 0;
}

/*
 * Applies what the server announced about itself, which is valid whatever
 * happens to the rest of the response.
 */
static void apply_notices(struct gw_request *request,
			  const struct svc_answer *read)
{
	struct steer_server *server = request->choice.server;
	struct gw *gw = request->gw;
	char id[EVENT_TEXT_BYTES];

	if (read->leaving && steer_server_set_leaving(gw->steer, server)) {
		gw_count(gw, "server_notices", "leaves");
		event_log(EVENT_SERVER, "server=%s notice=leaves id=%s",
			  steer_server_id(server), id_text(request, id));
	}
	switch (read->backoff) {
	case SVC_BACKOFF_NONE:
		break;
	case SVC_BACKOFF_UNREADABLE:
		gw_count(gw, "server_notices", "pause_unreadable");
		event_log(EVENT_SERVER,
			  "server=%s notice=pause_unreadable id=%s",
			  steer_server_id(server), id_text(request, id));
		break;
	case SVC_BACKOFF_CAPPED:
	case SVC_BACKOFF_VALID:
		gw_count(gw, "server_notices", "pause");
		if (steer_server_set_backoff(gw->steer, server,
					     read->backoff_ms) ||
		    read->backoff == SVC_BACKOFF_CAPPED)
			event_log(EVENT_SERVER,
				  "server=%s notice=pause pause_ms=%u "
				  "cut=%s id=%s",
				  steer_server_id(server), read->backoff_ms,
				  read->backoff == SVC_BACKOFF_CAPPED ? "true" :
									"false",
				  id_text(request, id));
		break;
	}
}

static void log_limit(struct gw_request *request, const char *notice,
		      uint32_t milli_per_s)
{
	char id[EVENT_TEXT_BYTES];

	gw_count(request->gw, "server_notices", notice);
	event_log(EVENT_SERVER, "server=%s notice=%s limit_per_s=%u.%03u id=%s",
		  steer_server_id(request->choice.server), notice,
		  milli_per_s / 1000, milli_per_s % 1000, id_text(request, id));
}

static void observe_limit(struct gw_request *request,
			  const struct limit *observed)
{
	bool changed = steer_server_update_limit(
		request->gw->steer, request->choice.server, observed);

	if (observed->state == LIMIT_NAMED || changed)
		request->slot.observed = *observed;
	if (changed)
		log_limit(request,
			  observed->state == LIMIT_NAMED ? "limit" :
							   "limit_ended",
			  observed->milli_per_s);
}

/*
 * Applies the limit that a response to this request names. A limit that cannot
 * be read leaves the known one in force.
 */
static void apply_limit(struct gw_request *request,
			const struct svc_answer *read)
{
	const struct limit observed = {
		.state = LIMIT_NAMED,
		.milli_per_s = read->limit_milli_per_s,
		.observed_ms = gw_now_ms(request->gw),
	};

	switch (read->limit) {
	case SVC_LIMIT_NONE:
		break;
	case SVC_LIMIT_UNREADABLE:
		log_limit(request, "limit_unreadable", 0);
		break;
	case SVC_LIMIT_VALID:
		observe_limit(request, &observed);
		break;
	}
}

/*
 * A complete successful response without a limit ends the earlier one. Errors
 * do not: they may come from a part of the server that knows no limit.
 */
static void apply_limit_end(struct gw_request *request,
			    const struct svc_answer *read)
{
	const struct limit observed = {
		.state = LIMIT_NONE,
		.observed_ms = gw_now_ms(request->gw),
	};

	if (read->limit == SVC_LIMIT_NONE)
		observe_limit(request, &observed);
}

/*
 * Returns whether requests like this one are suspected of crashing servers, or
 * quarantined for it. A trial is granted for a single attempt.
 */
static enum quar_state check_quarantine(struct gw_request *request,
					uint32_t *retry_after_ms)
{
	struct crs_verdict verdict;

	if (request->is_trial || !crs_has_requests(request->gw->crs))
		return QUAR_NONE;
	gw_crash_check(request->gw, get_fingerprint(request), &verdict);
	request->is_trial = verdict.state == QUAR_TRIAL;
	*retry_after_ms = verdict.retry_after_ms;
	return verdict.state;
}

static bool may_send(void *arg)
{
	struct gw_request *request = arg;
	uint32_t retry_after_ms;

	return steer_may_send(request->gw->steer, request->choice.server) &&
	       check_quarantine(request, &retry_after_ms) != QUAR_REFUSED;
}

/*
 * Returns the part of the time of a round trip that was spent in waiting for the
 * link.
 */
static uint32_t link_part_ms(const struct gw *gw, uint32_t round_trip_ms)
{
	uint32_t delay_ms = gw_net_delay_ms(gw);

	return delay_ms < round_trip_ms ? delay_ms : round_trip_ms;
}

/*
 * Called when the connection is established and the request is about to be
 * sent.
 */
static bool on_established(void *arg)
{
	struct gw_request *request = arg;

	if (request->conn_info.is_new && request->conn) {
		request->connect_ms = http_conn_connect_ms(request->conn);
		gw_net_connected(request->gw, request->choice.server,
				 request->connect_ms);
		if (request->conn_info.is_opening)
			request->connect_ms -=
				link_part_ms(request->gw, request->connect_ms);
	}
	request->is_sent = may_send(arg);
	if (request->is_sent && request->conn_info.is_opening)
		request->settles_ms = gw_now_ms(request->gw) + GW_SETTLE_MS +
				      steer_rtt_ms(request->gw->steer,
						   request->choice.server);
	return request->is_sent;
}

/*
 * Work can take seconds, so a connection counts as established before the
 * response: where all connections are new, responses alone would show too late
 * that the servers can be reached.
 */
void gw_request_check_connected(struct gw *gw)
{
	uint64_t now_ms = gw_now_ms(gw);
	struct gw_request *request;

	DL_FOREACH(gw->requests, request)
	{
		if (!request->conn || !request->settles_ms ||
		    now_ms < request->settles_ms)
			continue;
		request->settles_ms = 0;
		request->has_settled = true;
		reach_connected(gw_reach(gw));
	}
}

/*
 * A response without an id may be to an earlier request, which only its body
 * could show. A request without an id is sent over a new connection, which has
 * no earlier one.
 */
static bool is_own_id(const struct gw_request *request,
		      const struct svc_answer *read)
{
	return !read->request_id || !request->parsed.id ||
	       !strcmp(read->request_id, request->parsed.id);
}

static bool is_own_response(void *arg, const struct http_response *response)
{
	struct gw_request *request = arg;
	char id[EVENT_TEXT_BYTES];
	struct svc_answer read;

	request->gw->adapter->read_answer(response, &read);
	apply_notices(request, &read);
	if (is_own_id(request, &read)) {
		if (!read.misdirected)
			apply_limit(request, &read);
		return true;
	}
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
		bounds->retry_ratio_permille * RETRY_BUDGET_PERCENT / 100;
	limit.retries_min = (uint32_t)(bounds->retry_extra_milli / 1000 *
				       RETRY_BUDGET_PERCENT / 100 /
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
	char id[EVENT_TEXT_BYTES], fingerprint_text[FPR_TEXT_BYTES] = "-";

	gw_count(request->gw, "attempts", steer_outcome_name(outcome));
	if (outcome == STEER_SUCCESS)
		return;
	/* A large body is not hashed just to log that it was refused. */
	if (request->has_fingerprint ||
	    request->req->body_bytes <= SMALL_BODY_BYTES)
		fpr_text(get_fingerprint(request), fingerprint_text);
	event_log(EVENT_ATTEMPT,
		  "id=%s request=%s server=%s upstream=%s outcome=%s cause=%s "
		  "took_ms=%llu new_connection=%d load=%u/%u",
		  id_text(request, id), fingerprint_text,
		  steer_server_id(request->choice.server), request->upstream,
		  steer_outcome_name(outcome), cause,
		  (unsigned long long)(gw_now_ms(request->gw) -
				       request->attempt.sent_ms),
		  request->conn_info.is_new, request->choice.load,
		  request->choice.slots);
}

/*
 * Ends the current attempt and reports its outcome to steer and to the
 * coordinator. The server may be freed.
 */
static void end_attempt(struct gw_request *request, enum steer_outcome outcome,
			const char *cause, const struct steer_load *load)
{
	static const struct steer_load unknown = { .known = false };
	struct steer_query *query = &request->query;

	log_attempt(request, outcome, cause);
	stop_waiting(request);
	end_large_body(request);
	if (outcome == STEER_UNREACHED) {
		request->nr_unreached++;
		gw_backend_unreached(request->gw, request->choice.server,
				     attempt_ms(request));
	}
	if (query->nr_tried < STEER_TRIED_MAX)
		query->tried[query->nr_tried++] = request->choice.server;
	steer_attempt_end(request->gw->steer, request->choice.server, query,
			  outcome, &request->attempt, load ? load : &unknown);
	gw_slot_end(request->gw, &request->slot,
		    outcome == STEER_UNREACHED || outcome == STEER_WITHDRAWN ?
			    COORD_NOT_SENT :
			    COORD_CACHE_UNKNOWN);
	query->nr_queried = 0;
	request->nr_denied = 0;
	query->denials_exhausted = false;
	query->permit_server = 0;
	request->is_trial = false;
	request->choice.server = NULL;
	request->conn = NULL;
}

/*
 * The request to the server and the response wait for the link, so the server
 * has less time.
 */
static void set_time_left(struct gw_request *request)
{
	uint64_t now_ms = gw_now_ms(request->gw) + gw_net_delay_ms(request->gw);

	request->query.aim_left_ms = (int64_t)(request->target_ms - now_ms);
	request->query.left_ms = request->deadline_ms > now_ms ?
					 request->deadline_ms - now_ms :
					 0;
}

static bool stop_allows(const struct gw_request *request)
{
	return gw_stop_allows(request->gw, request->deadline_ms,
			      request->choice.expected_ms);
}

static bool has_time_to_retry(const struct gw_request *request)
{
	return gw_now_ms(request->gw) + RETRY_TIME_MIN_MS <
		       request->deadline_ms &&
	       stop_allows(request);
}

/*
 * Returns whether servers exited while they handled such requests. The request
 * is then not retried here; whether to send it again is left to the caller.
 */
static bool crashes_forbid_retry(struct gw_request *request)
{
	uint32_t retry_after_ms;

	if (check_quarantine(request, &retry_after_ms) == QUAR_NONE)
		return false;
	gw_count(request->gw, "retries_refused", "crashes");
	request->is_trial = false;
	return true;
}

/* ---- relays ---- */

static size_t answer_max_bytes(const struct gw *gw)
{
	uint64_t max_bytes =
		gw->response_memory.max_bytes / RESPONSE_MEMORY_DIVISOR;

	return max_bytes < RESPONSE_BYTES_MAX ? (size_t)max_bytes :
						RESPONSE_BYTES_MAX;
}

static bool start_relay(struct gw_request *request);

/*
 * Retries or refuses after a relay that may have run the request.
 */
static void on_relay_lost(struct gw_request *request)
{
	request->nr_maybe_run++;
	if (request->query.idempotent &&
	    request->nr_maybe_run < request->attempts_max &&
	    has_time_to_retry(request) && within_budget(request) &&
	    start_relay(request)) {
		gw_count(request->gw, "retries", "relay_lost");
		return;
	}
	refuse(request, REFUSAL_SERVER_LOST, 0);
}

static void on_relay_done(void *arg, enum gw_relay_result result,
			  const struct http_response *response)
{
	struct gw_request *request = arg;

	end_large_body(request);
	switch (result) {
	case GW_RELAY_ANSWERED:
		answer(request, response);
		break;
	case GW_RELAY_NOT_RUN:
		refuse(request,
		       request->nr_maybe_run ? REFUSAL_SERVER_LOST :
					       REFUSAL_UNREACHABLE,
		       RETRY_AFTER_MS);
		break;
	case GW_RELAY_LOST:
		on_relay_lost(request);
		break;
	case GW_RELAY_TIMEOUT:
		refuse(request, REFUSAL_DEADLINE, 0);
		break;
	}
}

static void fill_relay(struct gw_request *request)
{
	struct gw_relay *relay = &request->relay;

	relay->gw = request->gw;
	relay->req = request->req;
	relay->id = request->parsed.id;
	relay->deadline_ms = request->deadline_ms;
	relay->response_max_bytes = answer_max_bytes(request->gw);
	relay->regions = request->route_regions;
	relay->nr_regions = request->nr_route_regions;
	relay->more_regions = request->customer_regions;
	relay->nr_more_regions = request->nr_customer_regions;
	relay->body_sent = on_relayed_body_sent;
	relay->done = on_relay_done;
	relay->arg = request;
}

/*
 * Passes the request on to another instance, which takes a token of the
 * customer for it. Returns false if there is none.
 */
static bool start_relay(struct gw_request *request)
{
	struct gw_relay *relay = &request->relay;
	struct gw *gw = request->gw;

	if (request->was_relayed)
		return false;
	fill_relay(request);
	if (!gw_relay_start(relay))
		return false;
	gw_slot_end(gw, &request->slot, COORD_NOT_SENT);
	if (!request->nr_maybe_run)
		return_token(request);
	request->choice.server = NULL;
	if (is_large(request) && http_conn_sending(relay->conn)) {
		request->sending_large = true;
		gw->nr_large_sending++;
	}
	return true;
}

/*
 * Refuses a request that was not run. If none of its attempts reached a server,
 * it is relayed instead.
 */
static void relay_or_refuse(struct gw_request *request, enum refusal refusal,
			    uint32_t retry_after_ms)
{
	if (request->nr_unreached &&
	    request->nr_unreached == request->nr_not_run &&
	    !request->nr_maybe_run && start_relay(request))
		return;
	refuse(request, request->nr_maybe_run ? REFUSAL_SERVER_LOST : refusal,
	       retry_after_ms);
}

/*
 * Relays or refuses a request that no server can be sent to from here.
 */
static void relay_unreachable(struct gw_request *request)
{
	if (!start_relay(request))
		refuse(request,
		       request->nr_maybe_run ? REFUSAL_SERVER_LOST :
					       REFUSAL_UNREACHABLE,
		       RETRY_AFTER_MS);
}

/*
 * Ends an attempt that may run the request, if the request can be sent again.
 */
static bool end_silent_attempt(struct gw_request *request)
{
	if (!request->query.idempotent || http_conn_responding(request->conn) ||
	    request->nr_maybe_run + 1 >= request->attempts_max ||
	    !has_time_to_retry(request) || crashes_forbid_retry(request) ||
	    !within_budget(request))
		return false;
	http_conn_destroy(request->conn);
	request->nr_maybe_run++;
	end_attempt(request, STEER_CANCELLED, "unreached", NULL);
	gw_count(request->gw, "retries", "unreached");
	return true;
}

/*
 * Relays a request whose server cannot be reached any more, if nothing was sent
 * yet or it is idempotent. Others may have run and wait for the response.
 */
static void end_cut_attempt(struct gw_request *request)
{
	if (!request->is_sent) {
		http_conn_destroy(request->conn);
		request->nr_not_run++;
		end_attempt(request, STEER_WITHDRAWN, "cut", NULL);
		relay_unreachable(request);
		return;
	}
	fill_relay(request);
	if (!request->was_relayed && gw_relay_possible(&request->relay) &&
	    end_silent_attempt(request))
		relay_unreachable(request);
}

void gw_request_on_cut(struct gw *gw)
{
	struct gw_request *request, *next;

	DL_FOREACH_SAFE(gw->requests, request, next)
	{
		if (request->conn)
			end_cut_attempt(request);
	}
}

static bool is_silent(const struct gw_request *request)
{
	uint32_t waited_ms;

	if (!request->conn || !request->is_sent ||
	    http_conn_responding(request->conn) ||
	    http_conn_sending(request->conn))
		return false;
	waited_ms = attempt_ms(request);
	return waited_ms >= SILENT_MIN_MS &&
	       waited_ms > 2 * request->choice.expected_ms +
				   gw_net_delay_ms(request->gw);
}

void gw_request_check_silent(struct gw *gw)
{
	struct gw_request *request, *next;

	if (reach_state(gw_reach(gw)) != REACH_OK)
		return;
	DL_FOREACH_SAFE(gw->requests, request, next)
	{
		if (!is_silent(request))
			continue;
		if (!steer_server_is_unreached(gw->steer,
					       request->choice.server))
			gw_backend_check(gw, request->choice.server);
		else if (end_silent_attempt(request))
			forward(request);
	}
}

/*
 * Returns whether the request should be relayed rather than sent to the chosen
 * server, to which no connection can be made.
 */
static bool needs_connection(const struct gw_request *request)
{
	const struct reach *reach = gw_reach(request->gw);

	return reach_state(reach) == REACH_NO_NEW &&
	       !(steer_server_idle(request->choice.server) &&
		 reach_may_use_established(reach, request->query.idempotent));
}

/* ---- retries ---- */

/*
 * Returns the Retry-After time of a refusal. It comes from a new choice of a
 * server: the time that one server announced does not apply to the caller, as
 * others may accept the request sooner.
 */
static uint32_t pick_retry_after_ms(struct gw_request *request)
{
	set_time_left(request);
	steer_pick(request->gw->steer, &request->query, &request->choice);
	request->choice.server = NULL;
	return request->choice.retry_after_ms;
}

/*
 * Retries or refuses after an attempt that did not run the request. The retry
 * counts against the budget only if the attempt reached the server.
 */
static void retry_not_run(struct gw_request *request, bool reached_server,
			  enum refusal refusal)
{
	request->nr_not_run++;
	if (request->nr_not_run <= NOT_RUN_ATTEMPTS_MAX &&
	    has_time_to_retry(request) &&
	    (!reached_server || within_budget(request)))
		forward(request);
	else
		relay_or_refuse(request, refusal, pick_retry_after_ms(request));
}

/*
 * Retries, answers or refuses after an attempt that may have run the request.
 * last is the server's 5xx response, which the caller gets if there is no
 * retry, or NULL.
 */
static void retry_maybe_run(struct gw_request *request, enum refusal refusal,
			    const struct http_response *last)
{
	request->nr_maybe_run++;
	if (request->query.idempotent && !crashes_forbid_retry(request) &&
	    request->nr_maybe_run < request->attempts_max &&
	    has_time_to_retry(request) && within_budget(request)) {
		gw_count(request->gw, "retries", refusal_name(refusal));
		forward(request);
	} else if (last) {
		answer(request, last);
	} else {
		refuse(request, refusal, 0);
	}
}

/*
 * Reports that a server ran the request and did not crash.
 */
static void report_answered(struct gw_request *request)
{
	struct gw *gw = request->gw;

	if (request->req->body_bytes <= SMALL_BODY_BYTES ||
	    crs_has_requests(gw->crs))
		gw_crash_answered(gw, get_fingerprint(request));
}

static void on_answer(struct gw_request *request, struct http_conn *conn,
		      const struct http_response *response)
{
	struct steer_load load = { .known = false };
	struct gw *gw = request->gw;
	struct svc_answer read;

	gw->adapter->read_answer(response, &read);
	if (request->conn_info.is_new)
		steer_connected(gw->steer, request->choice.server,
				request->connect_ms);
	load.known = read.has_load;
	load.running = read.running;
	load.waiting = read.waiting;
	load.slots = read.slots;
	/* Without an id it may be a late response to an earlier request. */
	if (read.has_content_encoding ||
	    (!read.request_id && request->parsed.id)) {
		http_conn_destroy(conn);
		end_attempt(request, STEER_FAILURE, "answer_not_whole", NULL);
		retry_maybe_run(request, REFUSAL_ANSWER_CUT, NULL);
		return;
	}
	gw_backend_release(gw, request->choice.server, conn, id_hash(request),
			   read.idle_max_ms);
	if (read.misdirected)
		gw_crash_server_replaced(gw, request->choice.server);
	if (read.not_run) {
		end_attempt(
			request, read.misdirected ? STEER_REPLACED : STEER_SHED,
			read.misdirected ? "other_server" : "not_run", &load);
		retry_not_run(request, true, REFUSAL_QUEUE_FULL);
		return;
	}
	report_answered(request);
	if (read.tells_not_run) {
		/* Passed on, it would tell the caller that it was not run. */
		end_attempt(request, STEER_FAILURE, "status_without_promise",
			    &load);
		retry_maybe_run(request, REFUSAL_SERVER_LOST, NULL);
		return;
	}
	if (response->status >= 500) {
		end_attempt(request, STEER_FAILURE, "server_status", &load);
		retry_maybe_run(request, REFUSAL_SERVER_LOST, response);
		return;
	}
	if (response->status < 300)
		apply_limit_end(request, &read);
	request->attempt.link_ms = link_part_ms(gw, attempt_ms(request));
	log_attempt(request, STEER_SUCCESS, "");
	stop_waiting(request);
	end_large_body(request);
	gw_slot_end(gw, &request->slot,
		    steer_attempt_end(gw->steer, request->choice.server,
				      &request->query, STEER_SUCCESS,
				      &request->attempt, &load));
	request->choice.server = NULL;
	request->conn = NULL;
	request->nr_maybe_run++;
	answer(request, response);
}

static uint64_t idle_max_ms(const struct gw_request *request)
{
	const struct gw *gw = request->gw;
	uint64_t max_ms = request->query.idempotent ?
				  IDLE_MAX_MS :
				  IDLE_MAX_NON_IDEMPOTENT_MS;

	if (gw_now_ms(gw) < gw->idle_limit_until_ms &&
	    max_ms > gw->idle_limit_ms)
		return gw->idle_limit_ms;
	return max_ms;
}

/*
 * After an idle connection broke, uses only connections that were idle for at
 * most half as long: a server that silently drops idle connections drops the
 * older ones of all its clients.
 */
static void limit_idle_time(struct gw_request *request)
{
	struct gw *gw = request->gw;
	uint64_t now_ms = gw_now_ms(gw);

	if (request->conn_info.is_new)
		return;
	if (now_ms >= gw->idle_limit_until_ms ||
	    request->conn_info.idle_ms / 2 < gw->idle_limit_ms)
		gw->idle_limit_ms = request->conn_info.idle_ms / 2;
	gw->idle_limit_until_ms = now_ms + IDLE_LIMIT_MS;
	gw_count(gw, "kept_connections_broken", "");
}

static void require_settling(const struct gw_request *request)
{
	struct gw *gw = request->gw;

	if (request->conn_info.is_new && attempt_ms(request) <= GW_SETTLE_MS)
		gw->settle_until_ms = gw_now_ms(gw) + SETTLE_REQUIRED_MS;
}

/*
 * A connection that was reset at once was not accepted by the server.
 */
static void update_reach(const struct gw_request *request,
			 const struct http_outcome *outcome)
{
	struct reach *reach = gw_reach(request->gw);

	switch (outcome->result) {
	case HTTP_OK:
	case HTTP_INCOMPLETE:
	case HTTP_MALFORMED:
	case HTTP_TOO_LARGE:
		reach_received(reach);
		if (request->conn_info.is_opening && !request->has_settled)
			reach_connected(reach);
		break;
	case HTTP_CONNECT_FAILED:
		require_settling(request);
		reach_connect_failed(reach);
		break;
	case HTTP_CLOSED:
		require_settling(request);
		if (request->conn_info.is_new && !request->has_settled)
			reach_connect_failed(reach);
		break;
	case HTTP_TIMEOUT:
	case HTTP_MEMORY:
		break;
	}
}

static void on_done(void *arg, struct http_conn *conn,
		    const struct http_outcome *outcome)
{
	static const char *const causes[] = {
		[HTTP_OK] = "",
		[HTTP_CONNECT_FAILED] = "connect_failed",
		[HTTP_CLOSED] = "closed",
		[HTTP_INCOMPLETE] = "cut",
		[HTTP_TIMEOUT] = "timeout",
		[HTTP_MALFORMED] = "malformed",
		[HTTP_TOO_LARGE] = "too_large",
		[HTTP_MEMORY] = "memory",
	};
	struct gw_request *request = arg;
	struct svc_answer read;

	update_reach(request, outcome);
	if (outcome->result == HTTP_OK) {
		on_answer(request, conn, &outcome->response);
		return;
	}
	if (outcome->failed_head.status) {
		request->gw->adapter->read_answer(&outcome->failed_head, &read);
		apply_notices(request, &read);
		if (is_own_id(request, &read) && !read.misdirected)
			apply_limit(request, &read);
	}
	http_conn_destroy(conn);
	if (outcome->result == HTTP_TIMEOUT &&
	    gw_now_ms(request->gw) >= request->deadline_ms) {
		if (outcome->bytes_sent)
			report_unanswered(request);
		end_attempt(request, STEER_CANCELLED, "time_is_up", NULL);
		/* Nothing was sent if no connection was established. */
		refuse(request,
		       outcome->bytes_sent || request->nr_maybe_run ?
			       REFUSAL_DEADLINE :
			       REFUSAL_NO_SERVER,
		       RETRY_AFTER_MS);
		return;
	}
	if (outcome->result == HTTP_CLOSED)
		limit_idle_time(request);
	if (!outcome->bytes_sent) {
		bool withdrawn = !may_send(request);

		end_attempt(
			request, withdrawn ? STEER_WITHDRAWN : STEER_UNREACHED,
			withdrawn ? "notice" : causes[outcome->result], NULL);
		retry_not_run(request, false, REFUSAL_NO_SERVER);
		return;
	}
	if (outcome->result == HTTP_CLOSED ||
	    outcome->result == HTTP_INCOMPLETE)
		gw_crash_connection_broken(
			request->gw, get_fingerprint(request),
			request->choice.server, attempt_ms(request));
	end_attempt(request,
		    outcome->result == HTTP_CLOSED ||
				    outcome->result == HTTP_INCOMPLETE ?
			    STEER_BROKEN_CONNECTION :
			    STEER_FAILURE,
		    causes[outcome->result], NULL);
	retry_maybe_run(request,
			outcome->result == HTTP_CLOSED ? REFUSAL_SERVER_LOST :
							 REFUSAL_ANSWER_CUT,
			NULL);
}

/*
 * Returns how long the server may work: its response has to pass the link of
 * this instance before the time is up.
 */
static uint32_t server_left_ms(const struct gw *gw, uint32_t left_ms)
{
	uint32_t delay_ms = gw_net_receive_delay_ms(gw);

	return delay_ms < left_ms ? left_ms - delay_ms : 1;
}

static bool send_call(struct gw_request *request, uint32_t left_ms)
{
	const struct http_request *req = request->req;
	struct http_header headers[HEADERS_MAX];
	const struct steer_server *server = request->choice.server;
	struct svc_forward_text text;
	struct svc_forward forward_info = {
		.server_id = steer_server_id(server),
		.customer = *request->customer ? request->customer : NULL,
		.left_ms = server_left_ms(request->gw, left_ms),
	};
	struct http_call call = {
		.method = req->method,
		.target = req->target,
		.headers = headers,
		.body = req->body,
		.body_bytes = req->body_bytes,
		.response_max_bytes = answer_max_bytes(request->gw),
		.response_memory = &request->gw->response_memory,
		.timeout_ms = left_ms,
		.settle_ms =
			gw_now_ms(request->gw) < request->gw->settle_until_ms ?
				GW_SETTLE_MS :
				0,
		.may_send = on_established,
		.matches_request = is_own_response,
		.request_sent = on_body_sent,
		.done = on_done,
		.arg = request,
	};

	call.nr_headers = copy_headers(request, headers,
				       HEADERS_MAX - SVC_FORWARD_HEADERS);
	call.nr_headers += request->gw->adapter->forward_headers(
		&forward_info, &text, headers + call.nr_headers);
	request->conn = gw_backend_call(
		request->gw, request->choice.server, &call, id_hash(request),
		idle_max_ms(request), &request->conn_info);
	if (request->conn && is_large(request) &&
	    http_conn_sending(request->conn)) {
		request->sending_large = true;
		request->gw->nr_large_sending++;
	}
	return request->conn != NULL;
}

static void refuse_by_verdict(struct gw_request *request)
{
	enum steer_verdict verdict = request->choice.verdict;

	gw_count(request->gw, "verdicts", steer_verdict_name(verdict));
	relay_or_refuse(request,
			verdict == STEER_NO_SERVER ? REFUSAL_NO_SERVER :
			verdict == STEER_LIMITED   ? REFUSAL_SERVER_LIMIT :
						     REFUSAL_QUEUE_FULL,
			request->choice.retry_after_ms);
}

/*
 * Returns whether the attempt must wait for the reply of the chosen server's
 * coordinator. A coordinator in another region replies while a connection to
 * the server is being established; over an idle connection the request would
 * reach the server before the reply is received. A server with a limit gets no
 * request without a permit.
 */
static bool must_await_coordinator(struct gw_request *request)
{
	struct steer_server *server = request->choice.server;
	struct gw *gw = request->gw;

	if (steer_server_is_limited(server))
		return true;
	if (request->query.nr_queried == STEER_QUERIED_MAX)
		return false;
	if (!strcmp(steer_server_region(server), gw->settings->cluster.region))
		return true;
	return !steer_server_idle(server);
}

/*
 * Reports the request to the coordinator of the chosen server and queries it.
 * Opens a connection to a server in another region meanwhile.
 */
static enum gw_slot_state query_coordinator(struct gw_request *request)
{
	struct steer_server *server = request->choice.server;
	bool await_reply = must_await_coordinator(request);
	struct gw *gw = request->gw;
	enum gw_slot_state state;

	if (request->query.nr_queried < STEER_QUERIED_MAX)
		request->query.queried[request->query.nr_queried++] =
			steer_server_hash(server);
	request->query.chosen_before = true;
	snprintf(request->server_id, sizeof(request->server_id), "%s",
		 steer_server_id(server));
	state = gw_slot_query(gw, &request->slot, server, &request->query,
			      await_reply);
	/* No connection is opened for a request that may be denied. */
	if (state == GW_SLOT_PENDING && !steer_server_idle(server) &&
	    !steer_server_is_limited(server) &&
	    strcmp(steer_server_region(server), gw->settings->cluster.region))
		gw_backend_preconnect(gw, server);
	return state;
}

static void update_steer(struct gw_request *request,
			 const struct coord_reply *reply)
{
	struct steer *steer = request->gw->steer;
	struct steer_server *server = steer_find(steer, request->server_id);

	if (server)
		steer_coord_reply(steer, server, &request->query, reply);
}

static bool has_permit(const struct gw_request *request)
{
	return request->slot.has_permit &&
	       request->slot.server ==
		       steer_server_hash(request->choice.server);
}

/*
 * Returns whether the coordinator of the chosen server counts the request and,
 * if the server has a limit, has granted a permit.
 */
static bool is_reported_to_coordinator(const struct gw_request *request)
{
	const struct steer_server *server = request->choice.server;

	if (steer_server_is_limited(server))
		return has_permit(request);
	return request->slot.counted &&
	       request->slot.server == steer_server_hash(server);
}

/*
 * Records that there was no permit for a server, which can then be replaced by
 * another one among those that may be queried.
 */
static void add_denial(struct gw_request *request, uint32_t server)
{
	struct steer_query *query = &request->query;
	uint64_t now_ms = gw_now_ms(request->gw);
	size_t kept = 0;

	gw_count(request->gw, "limit_permits", "denied");
	for (size_t i = 0; i < query->nr_queried; i++)
		if (query->queried[i] != server)
			query->queried[kept++] = query->queried[i];
	query->nr_queried = kept;
	if (!request->nr_denied++)
		request->first_denied_ms = now_ms;
	query->denials_exhausted =
		request->nr_denied >= DENIED_ASKS_MAX ||
		now_ms >= request->first_denied_ms + DENIED_ASK_MS;
}

/*
 * Takes a permit from this instance's own share of the limit of the chosen
 * server, whose coordinator cannot be reached.
 */
static bool take_own_permit(struct gw_request *request)
{
	struct steer_server *server = request->choice.server;
	struct gw *gw = request->gw;

	if (!steer_take_own_permit(gw->steer, server,
				   (uint32_t)gw->slots.nr_instances))
		return false;
	gw_count(gw, "limit_permits", "own");
	request->slot.has_permit = true;
	request->slot.server = steer_server_hash(server);
	return true;
}

static void set_limit_text(struct gw_request *request)
{
	const struct limit *limit = steer_server_limit(request->choice.server);

	if (limit->state != LIMIT_NAMED)
		snprintf(request->limit_text, sizeof(request->limit_text),
			 "none");
	else
		snprintf(request->limit_text, sizeof(request->limit_text),
			 "%u.%03u", limit->milli_per_s / 1000,
			 limit->milli_per_s % 1000);
}

/*
 * Starts an attempt. Returns false when no connection can be made, or when the
 * deadline has passed since the server was chosen. The clock is read once for
 * this check and the time left: the process may lose the processor in between.
 */
static bool send_attempt(struct gw_request *request)
{
	struct gw *gw = request->gw;
	uint64_t now_ms = gw_now_ms(gw);

	if (now_ms >= request->deadline_ms)
		return false;
	request->attempt.sent_ms = now_ms;
	request->attempt.load = request->choice.load;
	snprintf(request->server_id, sizeof(request->server_id), "%s",
		 steer_server_id(request->choice.server));
	snprintf(request->server_zone, sizeof(request->server_zone), "%s",
		 steer_server_zone(request->choice.server));
	set_limit_text(request);
	request->query.not_cached = steer_is_reported_uncached(
		gw->steer, request->choice.server, &request->query);
	steer_attempt_begin(gw->steer, request->choice.server, &request->query);
	request->is_waiting = true;
	request->is_sent = false;
	request->settles_ms = 0;
	request->has_settled = false;
	reach_attempt_begin(gw_reach(gw));
	if (!send_call(request, (uint32_t)(request->deadline_ms - now_ms))) {
		end_attempt(request, STEER_UNREACHED, "no_connection", NULL);
		return false;
	}
	if (!request->first_sent_ms) {
		request->first_sent_ms = now_ms;
		hist_add(gw->wait_time, now_ms - request->start_ms);
	}
	return true;
}

/*
 * Refuses a quarantined request. Returns true when it was refused and freed.
 */
static bool refuse_quarantined(struct gw_request *request)
{
	uint32_t retry_after_ms;

	if (check_quarantine(request, &retry_after_ms) != QUAR_REFUSED)
		return false;
	refuse(request,
	       request->nr_maybe_run ? REFUSAL_SERVER_LOST : REFUSAL_CRASHES,
	       retry_after_ms);
	return true;
}

/*
 * Refuses a request that the end of a graceful stop could cut off. Returns true
 * when it was refused and freed.
 */
static bool refuse_stopping(struct gw_request *request)
{
	if (request->nr_maybe_run || stop_allows(request))
		return false;
	refuse(request, REFUSAL_DRAINING, STOP_RETRY_AFTER_MS);
	return true;
}

/*
 * Relays a request for which a connection is being opened while none can be
 * made: the idle connections to the server have ended, or were idle for too
 * long for it. Over a connection that is reset as soon as it is accepted, a
 * request that is not idempotent would be lost.
 */
static void relay_instead_of_opening(struct gw_request *request)
{
	if (reach_state(gw_reach(request->gw)) != REACH_NO_NEW ||
	    !request->conn_info.is_opening)
		return;
	http_conn_destroy(request->conn);
	request->nr_not_run++;
	end_attempt(request, STEER_WITHDRAWN, "no_new_connections", NULL);
	relay_unreachable(request);
}

enum next_step {
	STEP_WAIT, /* the request goes on when the coordinator has replied */
	STEP_CHOOSE, /* choose again with what the coordinator replied */
	STEP_SEND
};

/*
 * Reports the request to the coordinator of the chosen server if it was not
 * reported yet, and gets a permit if the server has a limit.
 */
static enum next_step ask_coordinator(struct gw_request *request)
{
	struct steer_server *server = request->choice.server;
	bool may_choose_again = request->query.nr_queried < STEER_QUERIED_MAX;

	if (is_reported_to_coordinator(request))
		return STEP_SEND;
	switch (query_coordinator(request)) {
	case GW_SLOT_PENDING:
		return STEP_WAIT;
	case GW_SLOT_DENIED:
		add_denial(request, steer_server_hash(server));
		return STEP_CHOOSE;
	case GW_SLOT_REPLIED:
		return may_choose_again ? STEP_CHOOSE : STEP_SEND;
	case GW_SLOT_PROCEED:
		break;
	}
	if (!steer_server_is_limited(server) || take_own_permit(request))
		return STEP_SEND;
	add_denial(request, steer_server_hash(server));
	return STEP_CHOOSE;
}

/*
 * Chooses a server and starts an attempt there. The request is refused if no
 * server can take it, and goes on later if a coordinator has to reply first.
 */
static void forward(struct gw_request *request)
{
	struct gw *gw = request->gw;
	enum next_step step;

	if (refuse_stopping(request))
		return;
	if (request->relay_only || reach_state(gw_reach(gw)) == REACH_CUT) {
		relay_unreachable(request);
		return;
	}
	while (gw_now_ms(gw) < request->deadline_ms) {
		if (refuse_quarantined(request))
			return;
		set_time_left(request);
		request->query.permit_server =
			request->slot.has_permit ? request->slot.server : 0;
		steer_pick(gw->steer, &request->query, &request->choice);
		if (request->choice.verdict != STEER_SEND) {
			refuse_by_verdict(request);
			return;
		}
		if (refuse_stopping(request))
			return;
		if (needs_connection(request)) {
			relay_unreachable(request);
			return;
		}
		step = ask_coordinator(request);
		if (step == STEP_WAIT)
			return;
		if (step == STEP_CHOOSE)
			continue;
		if (send_attempt(request)) {
			relay_instead_of_opening(request);
			return;
		}
		if (++request->nr_not_run > NOT_RUN_ATTEMPTS_MAX) {
			relay_or_refuse(request, REFUSAL_NO_SERVER,
					RETRY_AFTER_MS);
			return;
		}
	}
	refuse(request,
	       request->nr_maybe_run ? REFUSAL_DEADLINE : REFUSAL_NO_SERVER,
	       RETRY_AFTER_MS);
}

void gw_request_on_slot_reply(struct gw_slot *slot,
			      const struct coord_reply *reply)
{
	struct gw_request *request = slot->request;
	struct gw *gw = request->gw;
	struct coord_reply others;

	if (!slot->awaits_reply) {
		/*
		 * The request was sent meanwhile, so the server has it in
		 * flight as well.
		 */
		if (!reply || !request->conn)
			return;
		others = *reply;
		others.in_flight++;
		steer_coord_reply(gw->steer, request->choice.server,
				  &request->query, &others);
		return;
	}
	slot->awaits_reply = false;
	if (reply)
		update_steer(request, reply);
	if (reply && reply->permit == COORD_PERMIT_DENIED)
		add_denial(request, slot->server);
	forward(request);
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

static bool has_weights(const struct gw_round_robin *round_robin,
			const Aw__PlanRoute *route)
{
	size_t i;

	if (!round_robin->parts || round_robin->nr != route->n_parts)
		return false;
	for (i = 0; i < round_robin->nr; i++)
		if (round_robin->parts[i].weight != route->parts[i]->weight)
			return false;
	return true;
}

/*
 * Starts again with other weights: the current weights are as large as those
 * from which they come, and would outweigh smaller ones for as long.
 */
static int set_weights(struct gw_round_robin *round_robin,
		       const Aw__PlanRoute *route)
{
	struct gw_round_robin_part *parts =
		calloc(route->n_parts + 1, sizeof(*parts));
	size_t i;

	if (!parts)
		return -1;
	for (i = 0; i < route->n_parts; i++)
		parts[i].weight = route->parts[i]->weight;
	free(round_robin->parts);
	round_robin->parts = parts;
	round_robin->nr = route->n_parts;
	round_robin->has_started = false;
	return 0;
}

static struct gw_round_robin *get_round_robin(struct gw *gw,
					      const Aw__PlanRoute *route)
{
	struct gw_round_robin *at;
	uint64_t hash = hash_text(route->name);

	HASH_FIND(hh, gw->round_robins, &hash, sizeof(hash), at);
	if (!at) {
		at = calloc(1, sizeof(*at));
		if (!at)
			return NULL;
		at->route_hash = hash;
		HASH_ADD(hh, gw->round_robins, route_hash,
			 sizeof(at->route_hash), at);
	}
	if (at->parts && at->plan_index == plan_index(gw->plan))
		return at;
	if (!has_weights(at, route) && set_weights(at, route))
		return NULL;
	at->plan_index = plan_index(gw->plan);
	return at;
}

/*
 * Draws an upstream by its weight. Where weights change often, or several
 * instances start at once, the share of each upstream stays that of its weight.
 */
static size_t draw_part(struct gw *gw, const struct gw_round_robin *round_robin,
			int64_t total)
{
	int64_t drawn = (int64_t)(erand48(gw->random_state) * (double)total);
	size_t i;

	for (i = 0; i + 1 < round_robin->nr; i++) {
		drawn -= round_robin->parts[i].weight;
		if (drawn < 0)
			break;
	}
	return i;
}

static size_t largest_part(const struct gw_round_robin *round_robin)
{
	size_t i, best = 0;

	for (i = 1; i < round_robin->nr; i++)
		if (round_robin->parts[i].current_weight >
		    round_robin->parts[best].current_weight)
			best = i;
	return best;
}

/*
 * Smooth weighted round robin: adds to each upstream its weight, chooses the
 * one with the largest sum and subtracts the total from it. Requests that are
 * refused later count too.
 */
static const char *choose_upstream(struct gw *gw, const Aw__PlanRoute *route)
{
	struct gw_round_robin *round_robin;
	int64_t total = 0;
	size_t i, chosen;

	if (route->n_parts == 1)
		return route->parts[0]->upstream;
	round_robin = get_round_robin(gw, route);
	if (!round_robin || !route->n_parts)
		return route->n_parts ? route->parts[0]->upstream : "";
	for (i = 0; i < round_robin->nr; i++) {
		struct gw_round_robin_part *part = &round_robin->parts[i];

		total += part->weight;
		part->current_weight += part->weight;
	}
	chosen = round_robin->has_started ? largest_part(round_robin) :
					    draw_part(gw, round_robin, total);
	round_robin->has_started = true;
	round_robin->parts[chosen].current_weight -= total;
	return route->parts[chosen]->upstream;
}

static uint64_t hash_object(const Aw__PlanRoute *route, const char *object)
{
	uint64_t hash = hash_add(HASH_START, route->host);

	return hash_add(hash_add(hash, route->path_prefix), object);
}

/*
 * Returns the time when the caller sent the request, by estimate: its head has
 * waited for the link. So have the packets that established its connection, if
 * that was opened for the request, which then follows at once.
 */
static uint64_t sent_ms(const struct gw *gw, const struct http_request *req)
{
	uint64_t round_trip_ms = gw_net_delay_ms(gw);
	uint64_t delay_ms = gw_net_receive_delay_ms(gw);

	if (req->accepted_ms &&
	    req->head_ms <= req->accepted_ms + round_trip_ms + NEW_CALLER_MS)
		delay_ms += round_trip_ms;
	return delay_ms < req->head_ms ? req->head_ms - delay_ms : 0;
}

/*
 * Returns when the response to a request is due that the caller sent at
 * start_ms. It must be received before the caller gives up, and before the time
 * limit of the route.
 */
static uint64_t response_due_ms(const struct gw *gw, uint64_t start_ms,
				const struct svc_request *parsed,
				const Aw__PlanRoute *route)
{
	uint64_t delivery_ms = RESPONSE_DELIVERY_MS + gw_net_send_delay_ms(gw);
	uint64_t limit_ms = TIME_LIMIT_MAX_MS;

	if (parsed->has_deadline && parsed->deadline_ms < limit_ms)
		limit_ms = parsed->deadline_ms;
	if (route->timeout_ms && route->timeout_ms < limit_ms)
		limit_ms = route->timeout_ms;
	return limit_ms > delivery_ms ? start_ms + limit_ms - delivery_ms :
					start_ms;
}

static void set_time_limits(struct gw_request *request,
			    const Aw__PlanRoute *route)
{
	uint64_t start_ms = request->start_ms;

	request->deadline_ms =
		response_due_ms(request->gw, start_ms, &request->parsed, route);
	request->target_ms = route->target_latency_ms ?
				     start_ms + route->target_latency_ms :
				     request->deadline_ms;
}

static int fill_request(struct gw_request *request, const Aw__PlanRoute *route,
			const Aw__PlanCustomer *customer)
{
	struct steer_query *query = &request->query;
	const char *upstream = choose_upstream(request->gw, route);

	snprintf(request->route, sizeof(request->route), "%s", route->name);
	snprintf(request->upstream, sizeof(request->upstream), "%s", upstream);
	request->host_hash = hash_text(route->host);
	request->attempts_max = route->attempts_max;
	set_time_limits(request, route);
	query->upstream = request->upstream;
	query->body_bytes = request->req->body_bytes;
	query->idempotent = route->kind == AW__REQUEST_KIND__IDEMPOTENT;
	query->priority = customer && customer->has_priority ?
				  customer->priority :
				  route->priority;
	query->has_object = route->affinity && request->parsed.object;
	if (query->has_object)
		query->object = hash_object(route, request->parsed.object);
	if (route->n_home_regions) {
		request->route_regions =
			copy_names(route->home_regions, route->n_home_regions);
		if (!request->route_regions)
			return -1;
		request->nr_route_regions = route->n_home_regions;
	}
	if (customer && customer->n_home_regions) {
		request->customer_regions = copy_names(
			customer->home_regions, customer->n_home_regions);
		if (!request->customer_regions)
			return -1;
		request->nr_customer_regions = customer->n_home_regions;
	}
	query->regions = request->route_regions;
	query->nr_regions = request->nr_route_regions;
	query->more_regions = request->customer_regions;
	query->nr_more_regions = request->nr_customer_regions;
	return 0;
}

/*
 * Returns 0, or the milliseconds until the customer has a token again.
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
	request->start_ms = sent_ms(gw, req);
	request->deadline_ms = req->head_ms;
	request->plan_version = plan_version(gw->plan);
	request->slot.request = request;
	request->query.draw = erand48(gw->random_state);
	snprintf(request->limit_text, sizeof(request->limit_text), "none");
	gw->adapter->read_request(req, &request->parsed);
	request->was_relayed = gw_relay_was_relayed(req);
	DL_APPEND(gw->requests, request);
	gw->nr_requests++;
	http_exchange_on_abort(exchange, on_abort, request);
	return request;
}

/*
 * Finds the customer that the request belongs to, NULL on open routes. Returns
 * false when the request was refused.
 */
static bool authorize(struct gw_request *request, const Aw__PlanRoute *route,
		      const Aw__PlanCustomer **customer)
{
	const struct gw *gw = request->gw;

	*customer = NULL;
	if (route->open || !gw->adapter->needs_keys(plan_message(gw->plan)))
		return true;
	if (!request->parsed.key) {
		refuse(request, REFUSAL_KEY_MISSING, 0);
		return false;
	}
	*customer = plan_customer_by_key(gw->plan, request->parsed.key);
	if (!*customer) {
		refuse(request, REFUSAL_KEY_UNKNOWN, 0);
		return false;
	}
	snprintf(request->customer, sizeof(request->customer), "%s",
		 (*customer)->name);
	return true;
}

static void start_forwarding(struct gw_request *request)
{
	struct gw_upstream *upstream =
		get_upstream(request->gw, request->upstream);

	if (upstream && !request->relay_only)
		budget_admit(&upstream->budget, gw_now_ms(request->gw));
	if (!is_large(request) ||
	    request->gw->nr_large_sending < LARGE_SENDING_MAX) {
		forward(request);
		return;
	}
	if (gw_now_ms(request->gw) + large_wait_ms(request->gw) +
		    link_ms(request->gw, request->req->body_bytes) >=
	    request->deadline_ms) {
		refuse(request, REFUSAL_QUEUE_FULL,
		       large_retry_after_ms(request->gw));
		return;
	}
	request->waits_for_link = true;
	DL_APPEND2(request->gw->large_waiting, request, large_prev, large_next);
	gw_count(request->gw, "link_waits", "");
}

static void refuse_rate(struct gw_request *request, uint32_t wait_ms)
{
	refuse(request, REFUSAL_RATE,
	       wait_ms < RETRY_AFTER_MS ? RETRY_AFTER_MS : wait_ms);
}

/*
 * Returns the time for which a request waits for a token: the query and the
 * reply also wait for the link of this instance.
 */
static uint32_t token_wait_ms(const struct gw *gw)
{
	return TOKEN_WAIT_MS + gw_net_delay_ms(gw);
}

/*
 * The share of this instance is used up, but the leader may have a token left.
 * At most as many requests of a customer wait as its rate admits within
 * token_wait_ms().
 */
static void wait_for_token(struct gw_request *request, uint32_t wait_ms)
{
	struct gw *gw = request->gw;
	struct gw_customer *customer;
	uint64_t max_waiting;

	HASH_FIND_STR(gw->customers, request->customer, customer);
	if (!customer) {
		refuse_rate(request, wait_ms);
		return;
	}
	max_waiting = (uint64_t)customer->bucket.customer_rate_milli *
			      token_wait_ms(gw) / 1000000 +
		      1;
	if (!gw_link_can_request_tokens(gw)) {
		if (share_bucket_take_if_idle(&customer->bucket, gw_now_ms(gw)))
			start_forwarding(request);
		else
			refuse_rate(request, wait_ms);
		return;
	}
	if (customer->nr_waiting >= max_waiting) {
		refuse_rate(request, wait_ms);
		return;
	}
	request->token_customer = customer;
	request->token_wait_start_ms = gw_now_ms(gw);
	DL_APPEND2(customer->waiting, request, wait_prev, wait_next);
	customer->nr_waiting++;
	gw_count(gw, "token_waits", "");
	gw_link_request_tokens(gw);
}

void gw_request_grant_tokens(struct gw_customer *customer, uint32_t tokens,
			     uint32_t wanted)
{
	for (; wanted && customer->waiting; wanted--) {
		struct gw_request *request = customer->waiting;

		stop_token_wait(request);
		request->has_token = tokens > 0;
		if (!tokens) {
			refuse_rate(request, 0);
			continue;
		}
		tokens--;
		start_forwarding(request);
	}
}

static void expire_token_waits(struct gw *gw, struct gw_customer *customer)
{
	while (customer->waiting &&
	       gw_now_ms(gw) >= customer->waiting->token_wait_start_ms +
					token_wait_ms(gw)) {
		struct gw_request *request = customer->waiting;

		stop_token_wait(request);
		if (!gw_link_can_request_tokens(gw) &&
		    share_bucket_take_if_idle(&customer->bucket, gw_now_ms(gw)))
			start_forwarding(request);
		else
			refuse_rate(request, 0);
	}
}

/*
 * Refuses requests whose deadline passed while they waited for the link; they
 * were not run.
 */
static void expire_link_waits(struct gw *gw)
{
	struct gw_request *request, *next;

	DL_FOREACH_SAFE2(gw->large_waiting, request, next, large_next)
	{
		if (gw_now_ms(gw) >= request->deadline_ms)
			refuse(request, REFUSAL_QUEUE_FULL, RETRY_AFTER_MS);
	}
	send_next_large(gw);
}

/*
 * Returns whether the state of a customer that is not in the plan can be
 * dropped. The leader counts its share as held for SHARE_LIFETIME_MS; until
 * then a customer that returns to the plan must not get it a second time.
 */
static bool is_forgotten(const struct gw *gw,
			 const struct gw_customer *customer)
{
	return !customer->planned && !customer->waiting &&
	       gw_now_ms(gw) >= customer->removed_ms + SHARE_LIFETIME_MS;
}

void gw_request_tick(struct gw *gw)
{
	struct gw_customer *customer, *next;

	expire_link_waits(gw);

	HASH_ITER(hh, gw->customers, customer, next)
	{
		expire_token_waits(gw, customer);
		if (is_forgotten(gw, customer)) {
			HASH_DEL(gw->customers, customer);
			free(customer);
		}
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
	request->relay_only = reach_state(gw_reach(request->gw)) == REACH_CUT;
	wait_ms = customer && !request->relay_only ?
			  take_token(request, customer) :
			  0;
	if (wait_ms)
		wait_for_token(request, wait_ms);
	else
		start_forwarding(request);
}

static const Aw__PlanRoute *find_route(const struct gw *gw,
				       const struct http_request *req)
{
	const char *host =
		http_header_value(req->headers, req->nr_headers, "Host");

	return plan_route(gw->plan, host ? host : "", req->target);
}

static void log_large_refusal(struct gw *gw, const struct svc_request *parsed,
			      const Aw__PlanRoute *route, uint64_t body_bytes,
			      const struct http_head_check *check)
{
	char id[EVENT_TEXT_BYTES];

	gw_count(gw, "refusals", refusal_name(check->refusal));
	event_log(EVENT_REQUEST,
		  "id=%s route=%s status=%u outcome=%s rule=%s body=%llu "
		  "wait_ms=%llu left_ms=%lld",
		  event_quote(parsed->id, id), route->name,
		  refusal_status(check->refusal), refusal_name(check->refusal),
		  reasons[check->refusal].rule, (unsigned long long)body_bytes,
		  (unsigned long long)large_wait_ms(gw),
		  (long long)(check->response_due_ms - gw_now_ms(gw)));
}

void gw_check_head(void *arg, const struct http_request *req,
		   uint64_t body_bytes, struct http_head_check *check)
{
	const Aw__PlanRoute *route;
	struct svc_request parsed;
	struct gw *gw = arg;

	if (!plan_version(gw->plan))
		return;
	route = find_route(gw, req);
	if (!route)
		return;
	gw->adapter->read_request(req, &parsed);
	check->response_due_ms =
		response_due_ms(gw, sent_ms(gw, req), &parsed, route);
	/* The link carries the body once in each direction. */
	if (!is_large_body(gw, body_bytes) ||
	    gw_now_ms(gw) + large_wait_ms(gw) + 2 * link_ms(gw, body_bytes) <
		    check->response_due_ms)
		return;
	check->refusal = REFUSAL_QUEUE_FULL;
	check->retry_after_ms = large_retry_after_ms(gw);
	log_large_refusal(gw, &parsed, route, body_bytes, check);
}

void gw_on_request(void *arg, struct http_exchange *exchange,
		   const struct http_request *req)
{
	struct gw *gw = arg;
	struct gw_request *request = request_create(gw, exchange, req);
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
	route = find_route(gw, req);
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
		gw_relay_cancel(&request->relay);
		log_request(request, 0, "cut_by_stop", "grace_is_over");
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
		if (at->planned)
			at->removed_ms = gw_now_ms(gw);
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
			at->report_phase = (uint32_t)i;
			share_bucket_init(&at->bucket, from->rate_milli_per_s,
					  window_ms, gw_now_ms(gw));
			HASH_ADD_STR(gw->customers, name, at);
		}
		at->planned = true;
		share_bucket_set_rate(&at->bucket, from->rate_milli_per_s);
	}
}

/*
 * Callers may rely on a raised idle timeout as soon as the change is
 * acknowledged, which is up to apply_ms before the plan is applied here. Until
 * then idle connections must not be closed after the earlier timeout.
 */
static void set_idle_timeout(struct gw *gw, uint32_t timeout_ms)
{
	http_server_set_idle_timeout(
		gw->callers, timeout_ms +
				     gw->settings->cluster.bounds.apply_ms +
				     IDLE_TIMEOUT_MARGIN_MS);
}

void gw_plan_changed(struct gw *gw)
{
	const Aw__PlanLimits *limits = plan_message(gw->plan)->limits;

	sync_customers(gw);
	if (!gw->callers)
		return;
	http_server_set_body_max(gw->callers, limits && limits->body_max_bytes ?
						      limits->body_max_bytes :
						      GW_BODY_MAX_BYTES);
	set_idle_timeout(gw, limits && limits->idle_timeout_ms ?
				     limits->idle_timeout_ms :
				     GW_IDLE_TIMEOUT_MS);
}
