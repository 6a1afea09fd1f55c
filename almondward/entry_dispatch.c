#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

static const char *const forwarded[] = {
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

static void build_headers(struct request *request, uint64_t left_ms)
{
	struct attempt *attempt = &request->attempt;
	const struct http_request *http = request->http;
	const char *value;
	size_t i;

	snprintf(attempt->value, sizeof(attempt->value), "%s.%u", request->id,
		 request->nr_attempts);
	snprintf(attempt->deadline_text, sizeof(attempt->deadline_text), "%llu",
		 (unsigned long long)left_ms);
	add_header(attempt, "Host", attempt->address);
	for (i = 0; i < sizeof(forwarded) / sizeof(forwarded[0]); i++) {
		value = http_header_value(http->headers, http->nr_headers,
					  forwarded[i]);
		if (value)
			add_header(attempt, forwarded[i], value);
	}
	add_header(attempt, "Almondward-Customer", request->customer);
	add_header(attempt, "Almondward-Request", attempt->value);
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
 * A configuration that was accepted meanwhile may route the target elsewhere.
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
	    now_ms >= request->claim_asked_ms + CLAIM_DISPATCH_MS)
		return REFUSAL_CLAIM_UNAVAILABLE;
	if (agent_quarantined(core->agent, request->fingerprint))
		return REFUSAL_QUARANTINED;
	return REFUSAL_NONE;
}

static bool may_send(void *arg)
{
	struct request *request = arg;
	struct core *core = request->core;
	struct attempt *attempt = &request->attempt;
	const struct agent_server *server =
		agent_server(core->agent, attempt->address);
	uint64_t total_ms = request->deadline_ms - request->http->head_ms;

	request->send_refusal = recheck(request);
	if (request->send_refusal)
		return false;
	request->server_left = !server || server->leaving ||
			       server->incarnation != attempt->incarnation;
	if (request->server_left)
		return false;
	attempt->byte_left = true;
	request->nr_sent++;
	attempt->sent_us = clk_now_us(core->clk);
	if (request->idempotent)
		attempt->silent_at_ms = core_now_ms(core) + total_ms / 3;
	return true;
}

/* ---- slots that stay busy ---- */

static void linger_end(struct linger *linger)
{
	struct core *core = linger->core;

	DL_DELETE(core->lingers, linger);
	if (linger->backend)
		core->io.abort(core->arg, linger->backend);
	agent_slot_release(core->agent, linger->slot);
	free(linger);
}

static void pump_upstream_of(struct core *core, const char *address)
{
	struct agent_server *server = agent_server(core->agent, address);
	struct upstream *upstream;

	if (!server)
		return;
	HASH_FIND_STR(core->upstreams, server->upstream, upstream);
	if (upstream)
		upstream->pump = true;
}

static bool cancel_done(void *arg, const struct http_outcome *outcome)
{
	struct linger *linger = arg;
	struct core *core = linger->core;
	bool confirmed = outcome->result == HTTP_OK &&
			 outcome->response.status == 200;

	linger->backend = NULL;
	core_count(core, "cancels", confirmed ? "confirmed" : "unconfirmed");
	if (confirmed) {
		pump_upstream_of(core, linger->address);
		linger_end(linger);
	}
	return false;
}

static void linger_begin(struct request *request)
{
	struct core *core = request->core;
	struct attempt *attempt = &request->attempt;
	struct linger *linger = calloc(1, sizeof(*linger));
	struct backend_call call = { 0 };
	uint64_t now_ms = core_now_ms(core);

	if (!linger) {
		/* The work may go on, so the slot stays busy for good. */
		core_count(core, "cancels", "memory");
		return;
	}
	linger->core = core;
	linger->slot = attempt->slot;
	linger->until_ms = now_ms + CANCEL_GRACE_MS;
	if (linger->until_ms < request->deadline_ms)
		linger->until_ms = request->deadline_ms;
	snprintf(linger->address, sizeof(linger->address), "%s",
		 attempt->address);
	snprintf(linger->target, sizeof(linger->target),
		 "/almondward/cancel/%s", attempt->value);
	linger->host.name = "Host";
	linger->host.value = linger->address;
	call.address = linger->address;
	call.fresh = true;
	call.done = cancel_done;
	call.http.method = "POST";
	call.http.target = linger->target;
	call.http.headers = &linger->host;
	call.http.nr_headers = 1;
	call.http.response_max_bytes = 1024;
	call.http.timeout_ms = (uint32_t)(linger->until_ms - now_ms);
	call.http.arg = linger;
	DL_APPEND(core->lingers, linger);
	linger->backend = core->io.send(core->arg, &call);
}

void linger_tick(struct core *core)
{
	struct linger *linger, *next;
	uint64_t now_ms = core_now_ms(core);

	DL_FOREACH_SAFE(core->lingers, linger, next)
	{
		if (now_ms < linger->until_ms)
			continue;
		pump_upstream_of(core, linger->address);
		linger_end(linger);
	}
}

void linger_destroy(struct core *core)
{
	struct linger *linger, *next;

	DL_FOREACH_SAFE(core->lingers, linger, next)
	{
		linger_end(linger);
	}
}

static void release_slot(struct request *request)
{
	if (!request->attempt.slot)
		return;
	agent_slot_release(request->core->agent, request->attempt.slot);
	request->attempt.slot = NULL;
	request->upstream->pump = true;
}

/*
 * The work may go on at the server: its slot stays busy.
 */
static void leave_slot(struct request *request)
{
	if (!request->attempt.byte_left) {
		release_slot(request);
		return;
	}
	linger_begin(request);
	request->attempt.slot = NULL;
}

void dispatch_cancel(struct request *request)
{
	struct attempt *attempt = &request->attempt;

	if (attempt->backend)
		request->core->io.abort(request->core->arg, attempt->backend);
	attempt->backend = NULL;
	if (attempt->byte_left)
		request->byte_left = true;
	if (attempt->slot)
		leave_slot(request);
}

/* ---- judgement of servers ---- */

/*
 * For failures that say that the process or the way to it is lost.
 */
static void note_failing(struct request *request)
{
	struct core *core = request->core;
	struct agent_server *server =
		agent_server(core->agent, request->attempt.address);

	if (!server || server->incarnation != request->attempt.incarnation)
		return;
	server->stats.failing_until_ms = core_now_ms(core) + ROUTE_FAILING_MS;
	/* Its slots are of no use, so the leader is asked for others. */
	agent_report_soon(core->agent);
}

static void note_failure(struct request *request)
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
	queue_candidates(request);
	if (!route_may_eject(core->candidates, core->nr_candidates, now_ms)) {
		core_count(core, "ejections_withheld", "");
		return;
	}
	server->stats.ejected_until_ms =
		now_ms + request->policies.value[CFG_EJECT_MS];
	server->stats.failures = 0;
	ctr_add(core->ejections, 1);
}

static uint64_t retry_after_ms(const struct http_response *response)
{
	const char *text = http_header_value(
		response->headers, response->nr_headers, "Retry-After");
	unsigned long seconds = text ? strtoul(text, NULL, 10) : 0;

	if (!seconds)
		seconds = 1;
	return 1000 * (uint64_t)(seconds < 60 ? seconds : 60);
}

static void judge_response(struct request *request,
			   const struct http_response *response)
{
	struct core *core = request->core;
	struct agent_server *server =
		agent_server(core->agent, request->attempt.address);
	uint64_t now_us = clk_now_us(core->clk);
	uint32_t status = response->status;

	if (status != 429 && status != 503)
		agent_answered(core->agent, request->fingerprint);
	if (!server || server->incarnation != request->attempt.incarnation)
		return;
	if (status == 429 || status == 503) {
		server->stats.shed_until_ms =
			core_now_ms(core) + retry_after_ms(response);
		core_count(core, "shed", "");
	} else if (status >= 500 && status != 501) {
		note_failure(request);
	} else {
		route_stats_success(&server->stats,
				    now_us - request->attempt.sent_us,
				    core_now_ms(core));
	}
}

/* ---- retries ---- */

static const char *deny_reason(const struct request *request)
{
	if (request->byte_left && !request->idempotent)
		return "non_idempotent";
	/* An attempt of which no byte left cost the backend servers nothing. */
	if (request->nr_sent >= request->policies.value[CFG_ATTEMPTS_MAX] ||
	    request->nr_attempts >= ATTEMPTS_MAX)
		return "attempts";
	if (core_now_ms(request->core) >= request->deadline_ms)
		return "deadline";
	if (request->nr_crashes >= CRASHES_PER_REQUEST_MAX)
		return "crashes";
	return NULL;
}

static void note_tried(struct request *request)
{
	if (request->nr_tried < ATTEMPTS_MAX)
		snprintf(request->tried[request->nr_tried++], ADDRESS_BYTES_MAX,
			 "%s", request->attempt.address);
}

/*
 * An attempt of which no byte left costs the fleet nothing, so only others
 * count for the budget.
 */
static bool take_retry(struct request *request, const char *reason)
{
	struct core *core = request->core;
	const char *denied = deny_reason(request);

	if (!denied && request->attempt.byte_left &&
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
	note_tried(request);
	if (take_retry(request, reason))
		queue_begin(request);
	else
		finish_refusal(request, request->failure,
			       request->failure == REFUSAL_QUARANTINED ? 0 :
									 500,
			       detail);
}

/*
 * The leader hears of the crash before the request is tried elsewhere.
 */
static void connection_broke(struct request *request)
{
	struct core *core = request->core;

	request->nr_crashes++;
	request->crash_ticket = agent_report_crash(
		core->agent, request->fingerprint, request->attempt.address,
		request->attempt.incarnation);
	note_failure(request);
	note_failing(request);
	if (deny_reason(request)) {
		retry_or_refuse(request, "lost",
				"the connection broke after dispatch");
		return;
	}
	request->step = STEP_CRASH;
	request->wait_until_ms = core_now_ms(core) + CRASH_DECISION_MS;
	if (request->wait_until_ms > request->deadline_ms)
		request->wait_until_ms = request->deadline_ms;
}

void dispatch_check_crash(struct request *request)
{
	struct core *core = request->core;
	bool decided = agent_crash_decided(core->agent, request->crash_ticket);

	if (!decided && core_now_ms(core) < request->wait_until_ms)
		return;
	if (agent_quarantined(core->agent, request->fingerprint)) {
		finish_refusal(request, REFUSAL_QUARANTINED, 0,
			       "this request crashed backend servers");
		return;
	}
	if (!decided)
		core_count(core, "crash_decisions_missed", "");
	retry_or_refuse(request, "lost", "the connection broke after dispatch");
}

/*
 * True if the server has completed a response since this attempt was sent: it
 * is then slow with this request only.
 */
static bool answered_since(const struct request *request)
{
	const struct agent_server *server =
		agent_server(request->core->agent, request->attempt.address);

	return server &&
	       server->stats.latency_at_ms * 1000 > request->attempt.sent_us;
}

void dispatch_check_silent(struct request *request)
{
	struct attempt *attempt = &request->attempt;
	uint64_t now_ms = core_now_ms(request->core);

	if (!attempt->silent_at_ms || now_ms < attempt->silent_at_ms)
		return;
	/* Looked at again later: a slot elsewhere may become free. */
	attempt->silent_at_ms = now_ms + 100;
	if (request->core->io.responding(request->core->arg, attempt->backend))
		return;
	if (!answered_since(request))
		note_failing(request);
	if (deny_reason(request) || !queue_has_other(request))
		return;
	if (!take_retry(request, "silent")) {
		attempt->silent_at_ms = 0;
		return;
	}
	note_failure(request);
	note_tried(request);
	dispatch_cancel(request);
	request->failure = REFUSAL_DEADLINE;
	queue_begin(request);
}

/* ---- outcomes ---- */

static bool echo_ok(const struct request *request,
		    const struct http_response *response)
{
	const char *value = http_header_value(
		response->headers, response->nr_headers, "Almondward-Request");

	return value && !strcmp(value, request->attempt.value);
}

/*
 * Returns true if the connection may be used again.
 */
static bool complete(struct request *request,
		     const struct http_response *response)
{
	release_slot(request);
	link_correct(request, response->body_bytes);
	if (!echo_ok(request, response)) {
		note_failure(request);
		finish_refusal(request, REFUSAL_ANSWER_CROSSED, 500,
			       "the response belongs to another request");
		return false;
	}
	link_note_answer(request->core, request->route, response->body_bytes);
	judge_response(request, response);
	finish_response(request, response);
	return true;
}

static uint32_t come_back_ms(enum refusal refusal)
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

static void not_sent(struct request *request)
{
	release_slot(request);
	if (request->send_refusal) {
		finish_refusal(request, request->send_refusal,
			       come_back_ms(request->send_refusal),
			       "found just before dispatch");
		return;
	}
	request->failure = REFUSAL_CONNECT;
	if (request->server_left) {
		retry_or_refuse(request, "server_left",
				"the backend server left");
		return;
	}
	note_failure(request);
	note_failing(request);
	retry_or_refuse(request, "connect", "no connection could be made");
}

/*
 * A caller that allows little time must not get a server ejected.
 */
void dispatch_timeout(struct request *request)
{
	struct core *core = request->core;
	uint64_t ran_ms =
		(clk_now_us(core->clk) - request->attempt.sent_us) / 1000;

	if (request->attempt.byte_left &&
	    ran_ms >= request->policies.value[CFG_DEADLINE_MS] / 3)
		note_failure(request);
	dispatch_cancel(request);
	finish_refusal(request, REFUSAL_DEADLINE, 1000,
		       "no complete response in time");
}

static void failed(struct request *request, const struct http_outcome *outcome)
{
	if (outcome->result == HTTP_TIMEOUT) {
		dispatch_timeout(request);
		return;
	}
	release_slot(request);
	switch (outcome->result) {
	case HTTP_INCOMPLETE:
		request->failure = REFUSAL_ANSWER_CUT;
		connection_broke(request);
		return;
	case HTTP_MALFORMED:
		request->failure = REFUSAL_ANSWER_MALFORMED;
		note_failure(request);
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
		request->failure = REFUSAL_SERVER_LOST;
		connection_broke(request);
		return;
	}
}

static bool dispatch_done(void *arg, const struct http_outcome *outcome)
{
	struct request *request = arg;
	bool keep = false;

	request->attempt.backend = NULL;
	request->attempt.byte_left = outcome->bytes_sent;
	if (outcome->bytes_sent)
		request->byte_left = true;
	if (outcome->result == HTTP_OK)
		keep = complete(request, &outcome->response);
	else if (!outcome->bytes_sent)
		not_sent(request);
	else
		failed(request, outcome);
	return keep;
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
	request->step = STEP_SENT;
	request->nr_attempts++;
	request->send_refusal = REFUSAL_NONE;
	request->server_left = false;
	build_headers(request, request->deadline_ms - now_ms);
	call.address = attempt->address;
	call.fresh = !request->idempotent;
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
		not_sent(request);
}
