#include "entry_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

#include "fingerprint.h"

#define OPEN_CUSTOMER "-" /* customer name of requests on open routes */
#define RESERVED_PATH "/almondward"
/*
 * If the leader refuses tokens for at most this time, the request waits: after
 * a change of the leader the buckets start empty, and customers within their
 * rate would be refused.
 */
#define REFUSAL_WAIT_MAX_MS 250

static const char *header_value(const struct request *request, const char *name)
{
	return http_header_value(request->http->headers,
				 request->http->nr_headers, name);
}

/*
 * Returns the key in the Authorization header, or NULL.
 */
static const char *bearer_key(const struct request *request)
{
	const char *value = header_value(request, "Authorization");

	if (!value || strncasecmp(value, "Bearer ", 7) != 0)
		return NULL;
	value += 7;
	return value + strspn(value, " ");
}

/*
 * Returns true if a key occurs anywhere else than as the bearer token of the
 * Authorization header.
 */
static bool key_misplaced(const struct request *request, const char *key)
{
	const struct http_request *http = request->http;
	size_t i;

	if (key_in_text(http->target, strlen(http->target)))
		return true;
	for (i = 0; i < http->nr_headers; i++) {
		const struct http_header *field = &http->headers[i];

		if (key_in_text(field->name, strlen(field->name)))
			return true;
		if (key && !strcasecmp(field->name, "Authorization"))
			continue;
		if (key_in_text(field->value, strlen(field->value)))
			return true;
	}
	return key && key_in_body(key, http->body, http->body_bytes);
}

static enum refusal check_key(struct request *request, const char *text)
{
	const struct view *view = agent_view(request->core->agent);
	const Aw__Customer *customer;
	const Aw__Key *key;

	if (request->open) {
		snprintf(request->customer, sizeof(request->customer), "%s",
			 OPEN_CUSTOMER);
		request->weight = 1;
		return REFUSAL_NONE;
	}
	if (!text || !*text)
		return REFUSAL_KEY_MISSING;
	if (!key_has_format(text, strlen(text)))
		return REFUSAL_KEY_UNKNOWN;
	key_hash(text, request->key_hash);
	key = view_key(view, request->key_hash);
	if (!key)
		return REFUSAL_KEY_UNKNOWN;
	if (key->withdrawn)
		return REFUSAL_KEY_WITHDRAWN;
	customer = cfg_customer(view_config(view), key->customer);
	if (!customer)
		return REFUSAL_KEY_UNKNOWN;
	snprintf(request->customer, sizeof(request->customer), "%s",
		 customer->name);
	request->weight = customer->weight;
	request->rate_per_s = customer->rate_per_s;
	return REFUSAL_NONE;
}

/*
 * Returns true for targets that only almondward itself may send to backend
 * servers. Some servers ignore the case of paths, drop parameters after ';' or
 * trim encoded white space; route_target_ok() refuses all other spellings.
 */
static bool is_reserved(const char *target)
{
	const size_t len_bytes = sizeof(RESERVED_PATH) - 1;

	return !strncasecmp(target, RESERVED_PATH, len_bytes) &&
	       (!target[len_bytes] || strchr("/?;%", target[len_bytes]));
}

static enum refusal find_route(struct request *request)
{
	const struct view *view = agent_view(request->core->agent);
	const Aw__Route *route = view_route(view, request->http->target);

	if (!route || is_reserved(request->http->target))
		return REFUSAL_NO_ROUTE;
	if (!route_method_ok(route, request->http->method))
		return REFUSAL_METHOD;
	snprintf(request->route, sizeof(request->route), "%s", route->name);
	request->open = route->open;
	request->idempotent = route->kind != AW__REQUEST_KIND__NON_IDEMPOTENT;
	request->upstream = core_get_upstream(request->core, route->upstream);
	return request->upstream ? REFUSAL_NONE : REFUSAL_MEMORY;
}

static void decide_policies(struct request *request)
{
	static const enum cfg_setting settings[] = {
		CFG_DEADLINE_MS,    CFG_ADMISSION_WAIT_MS, CFG_QUEUE_WAIT_MS,
		CFG_QUEUE_MAX,	    CFG_ATTEMPTS_MAX,	   CFG_CROSS_REGION,
		CFG_BODY_MAX_BYTES, CFG_ANSWER_MAX_BYTES,  CFG_EJECT_FAILURES,
		CFG_EJECT_MS,
	};
	struct core *core = request->core;
	struct cfg_subject subject = {
		.customer = request->customer,
		.route = request->route,
		.upstream = request->upstream->name,
		.zone = core->zone,
		.region = link_own_region(core),
	};
	struct cfg_decision decision;
	size_t i;

	dec_subject(core->decisions, request->id, request->customer,
		    request->route, request->upstream->name);
	for (i = 0; i < sizeof(settings) / sizeof(settings[0]); i++) {
		cfg_decide(view_config(agent_view(core->agent)), settings[i],
			   &subject, &decision);
		request->policies.value[settings[i]] = decision.value;
		dec_policy(core->decisions, request->id, settings[i],
			   &decision);
	}
	if (request->policies.value[CFG_ATTEMPTS_MAX] > ATTEMPTS_MAX)
		request->policies.value[CFG_ATTEMPTS_MAX] = ATTEMPTS_MAX;
}

static enum refusal find_deadline(struct request *request)
{
	uint64_t limit_ms = request->policies.value[CFG_DEADLINE_MS];
	const char *text = header_value(request, "Almondward-Deadline-Ms");
	unsigned long long requested_ms;
	char *end;

	if (text) {
		errno = 0;
		requested_ms = strtoull(text, &end, 10);
		if (*text < '0' || *text > '9' || *end || errno)
			return REFUSAL_BAD_REQUEST;
		if (requested_ms < limit_ms)
			limit_ms = requested_ms;
	}
	request->deadline_ms = request->http->head_ms + limit_ms;
	if (core_now_ms(request->core) >= request->deadline_ms)
		return REFUSAL_DEADLINE;
	return REFUSAL_NONE;
}

static enum refusal check_idempotency_key(struct request *request)
{
	const char *text = header_value(request, "Idempotency-Key");
	const char *pos;

	if (request->idempotent)
		return REFUSAL_NONE;
	if (!text || !*text)
		return REFUSAL_IDEMPOTENCY_KEY_MISSING;
	for (pos = text; *pos; pos++) {
		if (*pos <= ' ' || *pos > '~')
			return REFUSAL_IDEMPOTENCY_KEY_BAD;
	}
	if ((size_t)(pos - text) >= sizeof(request->idempotency_key))
		return REFUSAL_IDEMPOTENCY_KEY_BAD;
	memcpy(request->idempotency_key, text, (size_t)(pos - text) + 1);
	return REFUSAL_NONE;
}

static enum refusal check_request(struct request *request)
{
	const char *key = bearer_key(request);
	enum refusal refusal;

	if (!agent_lease_ok(request->core->agent))
		return REFUSAL_NO_LEASE;
	if (!route_target_ok(request->http->target))
		return REFUSAL_BAD_REQUEST;
	if (key_misplaced(request, key))
		return REFUSAL_KEY_MISPLACED;
	refusal = find_route(request);
	if (refusal)
		return refusal;
	refusal = check_key(request, key);
	if (refusal)
		return refusal;
	decide_policies(request);
	if (request->http->body_bytes >
	    request->policies.value[CFG_BODY_MAX_BYTES])
		return REFUSAL_BODY_TOO_LARGE;
	refusal = find_deadline(request);
	if (refusal)
		return refusal;
	refusal = check_idempotency_key(request);
	if (refusal)
		return refusal;
	fpr_make(0, request->customer, request->http, request->body_hash,
		 request->fingerprint);
	if (agent_is_quarantined(request->core->agent, request->fingerprint))
		return REFUSAL_QUARANTINED;
	return REFUSAL_NONE;
}

static uint32_t retry_after_ms(enum refusal refusal)
{
	switch (refusal) {
	case REFUSAL_NO_LEASE:
	case REFUSAL_MEMORY:
		return 1000;
	default:
		return 0;
	}
}

static const char *detail_of(enum refusal refusal)
{
	switch (refusal) {
	case REFUSAL_NO_LEASE:
		return "this instance has no lease from the leader";
	case REFUSAL_BAD_REQUEST:
		return "the target or a header value is not acceptable";
	case REFUSAL_KEY_MISPLACED:
		return "a key belongs in the Authorization header only";
	case REFUSAL_NO_ROUTE:
		return "no route matches the target";
	case REFUSAL_METHOD:
		return "the route does not allow this method";
	case REFUSAL_KEY_MISSING:
		return "the route needs Authorization: Bearer KEY";
	case REFUSAL_KEY_UNKNOWN:
		return "the key is not known";
	case REFUSAL_KEY_WITHDRAWN:
		return "the key was withdrawn";
	case REFUSAL_BODY_TOO_LARGE:
		return "the body exceeds body_max_bytes";
	case REFUSAL_DEADLINE:
		return "the deadline passed before admission";
	case REFUSAL_IDEMPOTENCY_KEY_MISSING:
		return "the route needs an Idempotency-Key";
	case REFUSAL_IDEMPOTENCY_KEY_BAD:
		return "Idempotency-Key takes 1 to 128 visible characters";
	case REFUSAL_QUARANTINED:
		return "this request crashed backend servers";
	default:
		return "";
	}
}

static void admit(struct request *request)
{
	budget_admit(&request->core->budget, core_now_ms(request->core));
	if (request->idempotent)
		queue_begin(request);
	else
		claim_begin(request);
}

static bool take_token(struct request *request)
{
	return agent_take_tokens(request->core->agent,
				 AW__BUCKET_KIND__BUCKET_CUSTOMER,
				 request->customer, 1);
}

static uint64_t count_waiting(const struct core *core, const char *customer)
{
	const struct request *other;
	uint64_t nr = 0;

	for (other = core->waiting; other; other = other->next_waiting)
		nr += !strcmp(other->customer, customer);
	return nr;
}

/*
 * Updates the number of waiting requests that the agent reports to the leader.
 */
static void report_waiting(const struct request *request)
{
	struct core *core = request->core;

	agent_set_waiting_tokens(core->agent, AW__BUCKET_KIND__BUCKET_CUSTOMER,
				 request->customer,
				 count_waiting(core, request->customer));
}

void admission_stop_waiting(struct request *request)
{
	/* In a utlist the first prev is the last element; NULL: not listed. */
	if (!request->prev_waiting)
		return;
	DL_DELETE2(request->core->waiting, request, prev_waiting, next_waiting);
	request->prev_waiting = NULL;
	report_waiting(request);
}

static void wait_for_token(struct request *request)
{
	struct core *core = request->core;

	request->step = STEP_ADMISSION;
	DL_APPEND2(core->waiting, request, prev_waiting, next_waiting);
	report_waiting(request);
}

static void refuse_rate(struct request *request, uint64_t wait_ms)
{
	finish_refusal(request, REFUSAL_RATE, (uint32_t)wait_ms,
		       "the customer's rate and burst are used up");
}

/*
 * Counts the requests of the same customer that wait ahead of this one. Sets
 * refused if any of them waits although the leader refused tokens.
 */
static uint64_t count_ahead(const struct request *request, bool *refused)
{
	const struct request *other = request->core->waiting;
	uint64_t nr = 0;

	*refused = false;
	for (; other && other != request; other = other->next_waiting) {
		if (strcmp(other->customer, request->customer) != 0)
			continue;
		nr++;
		*refused |= other->rate_refused;
	}
	return nr;
}

/*
 * Returns true if a request may wait behind nr others of its customer after the
 * leader has refused tokens.
 */
static bool fits_wait_limit(const struct request *request, uint64_t nr)
{
	uint64_t max = (uint64_t)request->rate_per_s * REFUSAL_WAIT_MAX_MS;

	return !nr || nr < max / 1000;
}

/*
 * Returns the time in which the customer's rate yields tokens for nr requests.
 */
static uint64_t refill_ms(const struct request *request, uint64_t nr)
{
	return request->rate_per_s ? 1 + nr * 1000 / request->rate_per_s : 1000;
}

/*
 * Returns 0 if the request may wait for a token, else the time after which the
 * caller should retry. If the leader refused tokens for a short time, only as
 * many requests may wait as the rate serves in REFUSAL_WAIT_MAX_MS, so that a
 * customer above its rate is refused immediately.
 */
static uint64_t rate_retry_after_ms(struct request *request, uint64_t now_ms)
{
	uint64_t wait_ms = agent_tokens_retry_after_ms(
		request->core->agent, AW__BUCKET_KIND__BUCKET_CUSTOMER,
		request->customer);
	uint64_t nr;
	bool refused;

	if (wait_ms > REFUSAL_WAIT_MAX_MS ||
	    (wait_ms && now_ms + wait_ms >= request->wait_until_ms))
		return wait_ms;
	/* Waiting requests keep their position: only those ahead leave. */
	if (request->rate_refused || (!wait_ms && request->prev_waiting))
		return 0;
	nr = count_ahead(request, &refused);
	if (!wait_ms && !refused)
		return 0;
	if (!fits_wait_limit(request, nr))
		return wait_ms ? wait_ms : refill_ms(request, nr);
	request->rate_refused = true;
	return 0;
}

void admission_begin(struct request *request)
{
	struct core *core = request->core;
	enum refusal refusal = check_request(request);
	uint64_t now_ms = core_now_ms(core), wait_ms;

	if (refusal) {
		finish_refusal(request, refusal, retry_after_ms(refusal),
			       detail_of(refusal));
		return;
	}
	if (request->open) {
		admit(request);
		return;
	}
	/* Requests that are already waiting get tokens first. */
	if (!count_waiting(core, request->customer) && take_token(request)) {
		admit(request);
		return;
	}
	request->wait_until_ms =
		now_ms + request->policies.value[CFG_ADMISSION_WAIT_MS];
	if (request->wait_until_ms > request->deadline_ms)
		request->wait_until_ms = request->deadline_ms;
	wait_ms = rate_retry_after_ms(request, now_ms);
	if (wait_ms)
		refuse_rate(request, wait_ms);
	else
		wait_for_token(request);
}

/*
 * Admits a waiting request if a token is held for it, or refuses it if it may
 * not wait any longer.
 */
static void serve_one(struct request *request, uint64_t now_ms)
{
	struct core *core = request->core;
	uint64_t wait_ms;

	/* The lease may have expired while the request waited. */
	if (!agent_lease_ok(core->agent)) {
		finish_refusal(request, REFUSAL_NO_LEASE, 1000,
			       "the lease from the leader has ended");
		return;
	}
	if (now_ms < request->wait_until_ms && take_token(request)) {
		admission_stop_waiting(request);
		admit(request);
		return;
	}
	if (now_ms < request->wait_until_ms) {
		wait_ms = rate_retry_after_ms(request, now_ms);
		if (!wait_ms)
			return;
	} else {
		wait_ms = agent_tokens_retry_after_ms(
			core->agent, AW__BUCKET_KIND__BUCKET_CUSTOMER,
			request->customer);
		if (!wait_ms && request->rate_refused)
			wait_ms = refill_ms(request, 1);
	}
	if (wait_ms)
		refuse_rate(request, wait_ms);
	else if (now_ms >= request->deadline_ms)
		finish_refusal(request, REFUSAL_DEADLINE, 1000,
			       "the deadline passed before admission");
	else
		finish_refusal(request, REFUSAL_RATE_UNKNOWN,
			       REPORT_INTERVAL_MS,
			       "no answer from the leader in time");
}

void admission_serve_waiting(struct core *core)
{
	uint64_t now_ms = core_now_ms(core);
	struct request *request, *next;

	for (request = core->waiting; request; request = next) {
		next = request->next_waiting;
		serve_one(request, now_ms);
	}
}
