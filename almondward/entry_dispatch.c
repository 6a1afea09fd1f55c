#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

static const char *const forwarded_headers[] = {
	"Accept",	 "Accept-Encoding",   "Accept-Language",
	"Content-Type",	 "Content-Encoding",  "If-Match",
	"If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
	"Range",	 "User-Agent",
};

/* ---- building the request ---- */

static void add_header(struct attempt *attempt, const char *name,
		       const char *value)
{
	if (attempt->nr_headers == HEADERS_MAX)
		return;
	attempt->headers[attempt->nr_headers].name = name;
	attempt->headers[attempt->nr_headers++].value = value;
}

static void build_headers(struct request *request, uint64_t remaining_ms)
{
	struct attempt *attempt = &request->attempt;
	const struct http_request *http = request->http;
	const char *value;
	size_t i;

	snprintf(attempt->attempt_id, sizeof(attempt->attempt_id), "%s.%u",
		 request->id, request->nr_attempts);
	snprintf(attempt->deadline_text, sizeof(attempt->deadline_text), "%llu",
		 (unsigned long long)remaining_ms);
	add_header(attempt, "Host", attempt->address);
	for (i = 0;
	     i < sizeof(forwarded_headers) / sizeof(forwarded_headers[0]);
	     i++) {
		value = http_header_value(http->headers, http->nr_headers,
					  forwarded_headers[i]);
		if (value)
			add_header(attempt, forwarded_headers[i], value);
	}
	add_header(attempt, "Almondward-Customer", request->customer);
	add_header(attempt, "Almondward-Request", attempt->attempt_id);
	add_header(attempt, "Almondward-Deadline-Ms", attempt->deadline_text);
	if (!request->idempotent)
		add_header(attempt, "Almondward-Idempotency-Key",
			   request->idempotency_key);
}

/* ---- checks just before the first byte ---- */

static enum refusal recheck_key(const struct request *request)
{
	const Aw__Key *key;

	if (request->open)
		return REFUSAL_NONE;
	key = view_key(agent_view(request->core->agent), request->key_hash);
	if (!key || strcmp(key->customer, request->customer) != 0)
		return REFUSAL_KEY_UNKNOWN;
	return key->withdrawn ? REFUSAL_KEY_WITHDRAWN : REFUSAL_NONE;
}

/*
 * A configuration that was applied since the admission may route the target
 * elsewhere.
 */
static enum refusal recheck_route(const struct request *request)
{
	const Aw__Route *route = view_route(agent_view(request->core->agent),
					    request->http->target);

	if (!route || strcmp(route->name, request->route) != 0 ||
	    strcmp(route->upstream, request->upstream->name) != 0 ||
	    route->open != request->open ||
	    (route->kind != AW__REQUEST_KIND__NON_IDEMPOTENT) !=
		    request->idempotent)
		return REFUSAL_NO_ROUTE;
	return REFUSAL_NONE;
}

/*
 * Repeats the checks whose result may have changed since the admission.
 */
static enum refusal recheck(const struct request *request)
{
	struct core *core = request->core;
	uint64_t now_ms = core_now_ms(core);
	enum refusal refusal;

	if (!agent_lease_ok(core->agent))
		return REFUSAL_NO_LEASE;
	if (now_ms >= request->deadline_ms)
		return REFUSAL_DEADLINE;
	refusal = recheck_key(request);
	if (refusal)
		return refusal;
	refusal = recheck_route(request);
	if (refusal)
		return refusal;
	if (!request->idempotent &&
	    now_ms >= request->claim_proposed_ms + CLAIM_DISPATCH_MS)
		return REFUSAL_CLAIM_UNAVAILABLE;
	if (agent_is_quarantined(core->agent, request->fingerprint))
		return REFUSAL_QUARANTINED;
	return REFUSAL_NONE;
}

/*
 * Callback of the HTTP client just before the first byte. Returns false if the
 * attempt must not be sent.
 */
static bool may_send(void *arg)
{
	struct request *request = arg;
	struct core *core = request->core;
	struct attempt *attempt = &request->attempt;
	const struct agent_server *server =
		agent_server(core->agent, attempt->address);
	uint64_t total_ms = request->deadline_ms - request->http->head_ms;

	request->recheck_refusal = recheck(request);
	if (request->recheck_refusal)
		return false;
	request->server_unavailable =
		!server || server->leaving ||
		server->incarnation != attempt->incarnation;
	if (request->server_unavailable)
		return false;
	attempt->byte_sent = true;
	request->nr_sent++;
	attempt->sent_us = clk_now_us(core->clk);
	if (request->idempotent)
		attempt->response_check_ms = core_now_ms(core) + total_ms / 3;
	return true;
}

/* ---- cancellations ---- */

static void cancellation_end(struct cancellation *cancellation)
{
	struct core *core = cancellation->core;

	DL_DELETE(core->cancellations, cancellation);
	if (cancellation->backend)
		core->io.abort(core->arg, cancellation->backend);
	agent_slot_release(core->agent, cancellation->slot);
	free(cancellation);
}

/*
 * Has the queue of the server's upstream served.
 */
static void mark_upstream_due(struct core *core, const char *address)
{
	struct agent_server *server = agent_server(core->agent, address);
	struct upstream *upstream;

	if (!server)
		return;
	HASH_FIND_STR(core->upstreams, server->upstream, upstream);
	if (upstream)
		upstream->dispatch_due = true;
}

static bool cancel_done(void *arg, const struct http_outcome *outcome)
{
	struct cancellation *cancellation = arg;
	struct core *core = cancellation->core;
	bool confirmed = outcome->result == HTTP_OK &&
			 outcome->response.status == 200;

	cancellation->backend = NULL;
	core_count(core, "cancels", confirmed ? "confirmed" : "unconfirmed");
	if (confirmed) {
		mark_upstream_due(core, cancellation->address);
		cancellation_end(cancellation);
	}
	return false;
}

static void cancellation_begin(struct request *request)
{
	struct core *core = request->core;
	struct attempt *attempt = &request->attempt;
	struct cancellation *cancellation = calloc(1, sizeof(*cancellation));
	struct backend_call call = { 0 };
	uint64_t now_ms = core_now_ms(core);

	if (!cancellation) {
		/*
		 * The server may still work on the request, so the slot is
		 * never released.
		 */
		core_count(core, "cancels", "memory");
		return;
	}
	cancellation->core = core;
	cancellation->slot = attempt->slot;
	cancellation->until_ms = now_ms + CANCEL_GRACE_MS;
	if (cancellation->until_ms < request->deadline_ms)
		cancellation->until_ms = request->deadline_ms;
	snprintf(cancellation->address, sizeof(cancellation->address), "%s",
		 attempt->address);
	snprintf(cancellation->target, sizeof(cancellation->target),
		 "/almondward/cancel/%s", attempt->attempt_id);
	cancellation->host.name = "Host";
	cancellation->host.value = cancellation->address;
	call.address = cancellation->address;
	call.new_connection = true;
	call.done = cancel_done;
	call.http.method = "POST";
	call.http.target = cancellation->target;
	call.http.headers = &cancellation->host;
	call.http.nr_headers = 1;
	call.http.response_max_bytes = 1024;
	call.http.timeout_ms = (uint32_t)(cancellation->until_ms - now_ms);
	call.http.arg = cancellation;
	DL_APPEND(core->cancellations, cancellation);
	cancellation->backend = core->io.send(core->arg, &call);
}

void cancellation_tick(struct core *core)
{
	struct cancellation *cancellation, *next;
	uint64_t now_ms = core_now_ms(core);

	DL_FOREACH_SAFE(core->cancellations, cancellation, next)
	{
		if (now_ms < cancellation->until_ms)
			continue;
		mark_upstream_due(core, cancellation->address);
		cancellation_end(cancellation);
	}
}

void cancellation_destroy(struct core *core)
{
	struct cancellation *cancellation, *next;

	DL_FOREACH_SAFE(core->cancellations, cancellation, next)
	{
		cancellation_end(cancellation);
	}
}

static void release_slot(struct request *request)
{
	if (!request->attempt.slot)
		return;
	agent_slot_release(request->core->agent, request->attempt.slot);
	request->attempt.slot = NULL;
	request->upstream->dispatch_due = true;
}

/*
 * Releases the slot if no byte was sent. Otherwise the server may still work on
 * the request, so the slot stays in use until the cancellation ends.
 */
static void hold_slot(struct request *request)
{
	if (!request->attempt.byte_sent) {
		release_slot(request);
		return;
	}
	cancellation_begin(request);
	request->attempt.slot = NULL;
}

void dispatch_cancel(struct request *request)
{
	struct attempt *attempt = &request->attempt;

	if (attempt->backend)
		request->core->io.abort(request->core->arg, attempt->backend);
	attempt->backend = NULL;
	if (attempt->byte_sent)
		request->byte_sent = true;
	if (attempt->slot)
		hold_slot(request);
}

/* ---- statistics of servers ---- */

/*
 * Marks the server as failing, after a failure which suggests that the process
 * has exited or cannot be reached.
 */
static void mark_server_failing(struct request *request)
{
	struct core *core = request->core;
	struct agent_server *server =
		agent_server(core->agent, request->attempt.address);

	if (!server || server->incarnation != request->attempt.incarnation)
		return;
	server->stats.failing_until_ms = core_now_ms(core) + ROUTE_FAILING_MS;
	/* Slots of this server are useless now: report demand for others. */
	agent_report_soon(core->agent);
}

/*
 * Counts a failure of the server, and ejects the server if it has reached the
 * limit of consecutive failures and enough other servers remain.
 */
static void record_failure(struct request *request)
{
	struct core *core = request->core;
	struct agent_server *server =
		agent_server(core->agent, request->attempt.address);
	uint64_t now_ms = core_now_ms(core);
	uint32_t limit = (uint32_t)request->policies.value[CFG_EJECT_FAILURES];

	if (!server || server->incarnation != request->attempt.incarnation)
		return;
	if (!route_stats_failure(&server->stats, limit) ||
	    server->stats.ejected_until_ms > now_ms)
		return;
	queue_collect_candidates(request);
	if (!route_may_eject(core->candidates, core->nr_candidates, now_ms)) {
		core_count(core, "ejections_withheld", "");
		return;
	}
	server->stats.ejected_until_ms =
		now_ms + request->policies.value[CFG_EJECT_MS];
	server->stats.failures = 0;
	ctr_add(core->ejections, 1);
}

/*
 * Returns the time for which a server that shed load gets no requests: the
 * value of Retry-After, at least 1 s (also without the header), at most 60 s.
 */
static uint64_t retry_after_ms(const struct http_response *response)
{
	const char *text = http_header_value(
		response->headers, response->nr_headers, "Retry-After");
	unsigned long seconds = text ? strtoul(text, NULL, 10) : 0;

	if (!seconds)
		seconds = 1;
	return 1000 * (uint64_t)(seconds < 60 ? seconds : 60);
}

/*
 * Updates the statistics of the server, and informs the agent that a server
 * answered the request. 501 does not count as a failure.
 */
static void evaluate_response(struct request *request,
			      const struct http_response *response)
{
	struct core *core = request->core;
	struct agent_server *server =
		agent_server(core->agent, request->attempt.address);
	uint64_t now_us = clk_now_us(core->clk);
	uint32_t status = response->status;

	if (status != 429 && status != 503)
		agent_clear_suspicion(core->agent, request->fingerprint);
	if (!server || server->incarnation != request->attempt.incarnation)
		return;
	if (status == 429 || status == 503) {
		server->stats.shed_until_ms =
			core_now_ms(core) + retry_after_ms(response);
		core_count(core, "shed", "");
	} else if (status >= 500 && status != 501) {
		record_failure(request);
	} else {
		route_stats_success(&server->stats,
				    now_us - request->attempt.sent_us,
				    core_now_ms(core));
	}
}

/* ---- retries ---- */

/*
 * Returns the counter label of the reason why the request must not be retried,
 * NULL if it may be.
 */
static const char *retry_denied_reason(const struct request *request)
{
	if (request->byte_sent && !request->idempotent)
		return "non_idempotent";
	/* Attempts without a byte sent put no load on backend servers. */
	if (request->nr_sent >= request->policies.value[CFG_ATTEMPTS_MAX] ||
	    request->nr_attempts >= ATTEMPTS_MAX)
		return "attempts";
	if (core_now_ms(request->core) >= request->deadline_ms)
		return "deadline";
	if (request->nr_crashes >= CRASHES_PER_REQUEST_MAX)
		return "crashes";
	return NULL;
}

static void record_tried(struct request *request)
{
	if (request->nr_tried < ATTEMPTS_MAX)
		snprintf(request->tried[request->nr_tried++], ADDRESS_BYTES_MAX,
			 "%s", request->attempt.address);
}

/*
 * Returns true if the request may be retried, and counts the retry. An attempt
 * without a byte sent puts no load on the fleet, so the retry budget is charged
 * only for the others.
 */
static bool allow_retry(struct request *request, const char *reason)
{
	struct core *core = request->core;
	const char *denied = retry_denied_reason(request);

	if (!denied && request->attempt.byte_sent &&
	    !budget_retry(&core->budget, core_now_ms(core)))
		denied = "budget";
	if (denied) {
		core_count(core, "retries_denied", denied);
		return false;
	}
	core_count(core, "retries", reason);
	return true;
}

static void retry_or_refuse(struct request *request, const char *reason,
			    const char *detail)
{
	record_tried(request);
	if (allow_retry(request, reason))
		queue_begin(request);
	else
		finish_refusal(request, request->pending_refusal,
			       request->pending_refusal == REFUSAL_QUARANTINED ?
				       0 :
				       500,
			       detail);
}

/*
 * Reports a possible crash. A retry waits for the leader's decision.
 */
static void handle_broken_connection(struct request *request)
{
	struct core *core = request->core;

	request->nr_crashes++;
	request->crash_ticket = agent_report_crash(
		core->agent, request->fingerprint, request->attempt.address,
		request->attempt.incarnation);
	record_failure(request);
	mark_server_failing(request);
	if (retry_denied_reason(request)) {
		retry_or_refuse(request, "lost",
				"the connection broke after dispatch");
		return;
	}
	request->step = STEP_CRASH_DECISION;
	request->wait_until_ms = core_now_ms(core) + CRASH_DECISION_MS;
	if (request->wait_until_ms > request->deadline_ms)
		request->wait_until_ms = request->deadline_ms;
}

void dispatch_check_crash_decision(struct request *request)
{
	struct core *core = request->core;
	bool decided = agent_crash_decided(core->agent, request->crash_ticket);

	if (!decided && core_now_ms(core) < request->wait_until_ms)
		return;
	if (agent_is_quarantined(core->agent, request->fingerprint)) {
		finish_refusal(request, REFUSAL_QUARANTINED, 0,
			       "this request crashed backend servers");
		return;
	}
	if (!decided)
		core_count(core, "crash_decisions_missed", "");
	retry_or_refuse(request, "lost", "the connection broke after dispatch");
}

/*
 * Returns true if the server has completed a response since this attempt was
 * sent, which shows that it is slow with this request only.
 */
static bool server_responded_since_sent(const struct request *request)
{
	const struct agent_server *server =
		agent_server(request->core->agent, request->attempt.address);

	return server &&
	       server->stats.latency_at_ms * 1000 > request->attempt.sent_us;
}

void dispatch_check_response(struct request *request)
{
	struct attempt *attempt = &request->attempt;
	uint64_t now_ms = core_now_ms(request->core);

	if (!attempt->response_check_ms || now_ms < attempt->response_check_ms)
		return;
	/* Check again later: a slot at another server may become free. */
	attempt->response_check_ms = now_ms + 100;
	if (request->core->io.responding(request->core->arg, attempt->backend))
		return;
	if (!server_responded_since_sent(request))
		mark_server_failing(request);
	if (retry_denied_reason(request) || !queue_other_server_free(request))
		return;
	if (!allow_retry(request, "silent")) {
		attempt->response_check_ms = 0;
		return;
	}
	record_failure(request);
	record_tried(request);
	dispatch_cancel(request);
	request->pending_refusal = REFUSAL_DEADLINE;
	queue_begin(request);
}

/* ---- outcomes ---- */

static bool attempt_id_matches(const struct request *request,
			       const struct http_response *response)
{
	const char *value = http_header_value(
		response->headers, response->nr_headers, "Almondward-Request");

	return value && !strcmp(value, request->attempt.attempt_id);
}

/*
 * Answers the caller. Returns true if the connection may be used again.
 */
static bool handle_response(struct request *request,
			    const struct http_response *response)
{
	release_slot(request);
	link_correct_charge(request, response->body_bytes);
	if (!attempt_id_matches(request, response)) {
		record_failure(request);
		finish_refusal(request, REFUSAL_ANSWER_CROSSED, 500,
			       "the response belongs to another request");
		return false;
	}
	link_record_response(request->core, request->route,
			     response->body_bytes);
	evaluate_response(request, response);
	finish_response(request, response);
	return true;
}

static uint32_t refusal_retry_after_ms(enum refusal refusal)
{
	switch (refusal) {
	case REFUSAL_NO_LEASE:
	case REFUSAL_DEADLINE:
	case REFUSAL_CLAIM_UNAVAILABLE:
		return 1000;
	default:
		return 0;
	}
}

static void handle_not_sent(struct request *request)
{
	release_slot(request);
	if (request->recheck_refusal) {
		finish_refusal(request, request->recheck_refusal,
			       refusal_retry_after_ms(request->recheck_refusal),
			       "found just before dispatch");
		return;
	}
	request->pending_refusal = REFUSAL_CONNECT;
	if (request->server_unavailable) {
		retry_or_refuse(request, "server_left",
				"the backend server left");
		return;
	}
	record_failure(request);
	mark_server_failing(request);
	retry_or_refuse(request, "connect", "no connection could be made");
}

/*
 * Counts as a failure of the server only if a third of the configured deadline
 * has passed: a caller with a short deadline must not get a server ejected.
 */
void dispatch_timeout(struct request *request)
{
	struct core *core = request->core;
	uint64_t elapsed_ms =
		(clk_now_us(core->clk) - request->attempt.sent_us) / 1000;

	if (request->attempt.byte_sent &&
	    elapsed_ms >= request->policies.value[CFG_DEADLINE_MS] / 3)
		record_failure(request);
	dispatch_cancel(request);
	finish_refusal(request, REFUSAL_DEADLINE, 1000,
		       "no complete response in time");
}

static void handle_failure(struct request *request,
			   const struct http_outcome *outcome)
{
	if (outcome->result == HTTP_TIMEOUT) {
		dispatch_timeout(request);
		return;
	}
	release_slot(request);
	switch (outcome->result) {
	case HTTP_INCOMPLETE:
		request->pending_refusal = REFUSAL_ANSWER_CUT;
		handle_broken_connection(request);
		return;
	case HTTP_MALFORMED:
		request->pending_refusal = REFUSAL_ANSWER_MALFORMED;
		record_failure(request);
		retry_or_refuse(request, "malformed",
				"the response is not valid HTTP");
		return;
	case HTTP_TOO_LARGE:
		finish_refusal(request, REFUSAL_ANSWER_TOO_LARGE, 0,
			       "the response exceeds answer_max_bytes");
		return;
	case HTTP_MEMORY:
		finish_refusal(request, REFUSAL_MEMORY, 1000,
			       "no memory for the response");
		return;
	default:
		request->pending_refusal = REFUSAL_SERVER_LOST;
		handle_broken_connection(request);
		return;
	}
}

static bool dispatch_done(void *arg, const struct http_outcome *outcome)
{
	struct request *request = arg;
	bool reuse_connection = false;

	request->attempt.backend = NULL;
	request->attempt.byte_sent = outcome->bytes_sent;
	if (outcome->bytes_sent)
		request->byte_sent = true;
	if (outcome->result == HTTP_OK)
		reuse_connection = handle_response(request, &outcome->response);
	else if (!outcome->bytes_sent)
		handle_not_sent(request);
	else
		handle_failure(request, outcome);
	return reuse_connection;
}

void dispatch_begin(struct request *request)
{
	struct core *core = request->core;
	struct attempt *attempt = &request->attempt;
	struct backend_call call = { 0 };
	uint64_t now_ms = core_now_ms(core);

	if (now_ms >= request->deadline_ms) {
		release_slot(request);
		finish_refusal(request, REFUSAL_DEADLINE, 1000,
			       "the deadline passed in the queue");
		return;
	}
	request->step = STEP_IN_FLIGHT;
	request->nr_attempts++;
	request->recheck_refusal = REFUSAL_NONE;
	request->server_unavailable = false;
	build_headers(request, request->deadline_ms - now_ms);
	call.address = attempt->address;
	call.new_connection = !request->idempotent;
	call.done = dispatch_done;
	call.http.method = request->http->method;
	call.http.target = request->http->target;
	call.http.headers = attempt->headers;
	call.http.nr_headers = attempt->nr_headers;
	call.http.body = request->http->body;
	call.http.body_bytes = request->http->body_bytes;
	call.http.response_max_bytes =
		request->policies.value[CFG_ANSWER_MAX_BYTES];
	call.http.timeout_ms = (uint32_t)(request->deadline_ms - now_ms);
	call.http.may_send = may_send;
	call.http.arg = request;
	attempt->backend = core->io.send(core->arg, &call);
	if (!attempt->backend)
		handle_not_sent(request);
}
