#include "control_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <sodium.h>
#include <utlist.h>

#include "config.h"

#define CHANGE_TIMEOUT_MS 10000 /* then the outcome counts as unknown */
#define RETRY_AFTER_MS 1000
#define OPERATOR_ID_MAX 64
#define HEADERS_MAX 4

/* ---- responses ---- */

static void respond(struct http_exchange *exchange, uint32_t status,
		    const char *content_type, const void *body,
		    size_t body_bytes, const struct http_header *extra,
		    size_t nr_extra)
{
	struct http_header headers[HEADERS_MAX] = { { "Content-Type",
						      content_type } };
	struct http_response response = {
		.status = status,
		.headers = headers,
		.nr_headers = 1,
		.body = body,
		.body_bytes = body_bytes,
	};
	size_t i;

	for (i = 0; i < nr_extra && response.nr_headers < HEADERS_MAX; i++)
		headers[response.nr_headers++] = extra[i];
	http_respond(exchange, &response);
}

/*
 * Sends and frees the JSON value.
 */
static void respond_json(struct http_exchange *exchange, uint32_t status,
			 cJSON *json, const struct http_header *extra,
			 size_t nr_extra)
{
	char *text = json ? cJSON_PrintUnformatted(json) : NULL;

	cJSON_Delete(json);
	if (!text) {
		http_respond_refusal(exchange, REFUSAL_MEMORY, "out of memory",
				     "", true, RETRY_AFTER_MS);
		return;
	}
	respond(exchange, status, "application/json", text, strlen(text), extra,
		nr_extra);
	cJSON_free(text);
}

/*
 * not_run: no part of the request was or will be executed.
 */
static void respond_error(struct ctl *ctl, struct http_exchange *exchange,
			  uint32_t status, const char *error,
			  const char *detail, bool not_run)
{
	static const struct http_header retry = { "Retry-After", "1" };
	cJSON *json = cJSON_CreateObject();

	ctl_count(ctl, "operator_errors", error);
	cJSON_AddStringToObject(json, "error", error);
	cJSON_AddStringToObject(json, "detail", detail);
	cJSON_AddStringToObject(json, "request_id", "");
	cJSON_AddBoolToObject(json, "not_run", not_run);
	if (!strcmp(error, "not_leader"))
		cJSON_AddStringToObject(json, "leader", raft_leader(ctl->raft));
	respond_json(exchange, status, json, &retry, status >= 503 ? 1 : 0);
}

static void respond_not_leader(struct ctl *ctl, struct http_exchange *exchange)
{
	const char *leader = raft_leader(ctl->raft);
	char detail[NAME_BYTES_MAX + 64];

	if (*leader && strcmp(leader, ctl->settings->name) != 0)
		snprintf(detail, sizeof(detail), "the leader is %s", leader);
	else
		snprintf(detail, sizeof(detail), "no leader is known");
	respond_error(ctl, exchange, 503, "not_leader", detail, true);
}

/* ---- changes ---- */

/* HTTP status and error name for an operation that was not done. */
struct code_response {
	uint32_t status;
	const char *error;
};

static struct code_response response_of_code(Aw__OpCode code)
{
	switch (code) {
	case AW__OP_CODE__OP_VERSION_CONFLICT:
		return (struct code_response){ 409, "version_conflict" };
	case AW__OP_CODE__OP_INVALID:
		return (struct code_response){ 400, "invalid" };
	case AW__OP_CODE__OP_NOT_FOUND:
		return (struct code_response){ 404, "not_found" };
	case AW__OP_CODE__OP_EXISTS:
		return (struct code_response){ 409, "exists" };
	case AW__OP_CODE__OP_ID_REUSED:
		return (struct code_response){ 409, "id_reused" };
	default:
		return (struct code_response){ 500, "internal" };
	}
}

static void respond_result(struct ctl *ctl, struct http_exchange *exchange,
			   const Aw__OpResult *result)
{
	struct http_header version = { "Almondward-Version", NULL };
	struct code_response response;
	cJSON *json;
	char text[24];

	if (result->code != AW__OP_CODE__OP_DONE) {
		response = response_of_code(result->code);
		respond_error(ctl, exchange, response.status, response.error,
			      result->detail, true);
		return;
	}
	ctl_count(ctl, "operator_changes", "");
	snprintf(text, sizeof(text), "%llu",
		 (unsigned long long)result->config_version);
	version.value = text;
	json = cJSON_CreateObject();
	cJSON_AddNumberToObject(json, "version",
				(double)result->config_version);
	respond_json(exchange, 200, json, &version, 1);
}

static void respond_outcome(struct ctl *ctl, struct http_exchange *exchange,
			    Aw__ProposeStatus status,
			    const Aw__OpResult *result)
{
	switch (status) {
	case AW__PROPOSE_STATUS__PROPOSE_APPLIED:
		respond_result(ctl, exchange, result);
		return;
	case AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER:
		respond_not_leader(ctl, exchange);
		return;
	case AW__PROPOSE_STATUS__PROPOSE_REFUSED:
		respond_error(ctl, exchange, 503, "refused",
			      "the change could not be recorded, for lack of "
			      "disk or memory or because of too many at once",
			      true);
		return;
	default:
		respond_error(ctl, exchange, 504, "outcome_unknown",
			      "the change may or may not take effect; send it "
			      "again with the same Almondward-Operator-Request",
			      false);
		return;
	}
}

static void remove_change(struct ctl_http_change *pending)
{
	DL_DELETE(pending->ctl->http_changes, pending);
	free(pending);
}

static void change_done(void *arg, Aw__ProposeStatus status,
			const Aw__OpResult *result)
{
	struct ctl_http_change *pending = arg;

	if (pending->exchange)
		respond_outcome(pending->ctl, pending->exchange, status,
				result);
	remove_change(pending);
}

static void on_operator_abort(void *arg)
{
	struct ctl_http_change *pending = arg;

	pending->exchange = NULL;
}

void ctl_http_drop_changes(struct ctl *ctl)
{
	while (ctl->http_changes)
		remove_change(ctl->http_changes);
}

/*
 * Parses an If-Match header. Sets *version to 0 for "*", any version; no
 * configuration has that number.
 */
static bool parse_version(const char *text, uint64_t *version)
{
	char *end;

	*version = 0;
	if (!strcmp(text, "*"))
		return true;
	if (*text == '"')
		text++;
	if (*text < '0' || *text > '9')
		return false;
	errno = 0;
	*version = strtoull(text, &end, 10);
	if (*end == '"')
		end++;
	return !errno && !*end && *version;
}

static bool is_valid_id(const char *id)
{
	size_t i;

	for (i = 0; id[i]; i++)
		if (id[i] < '!' || id[i] > '~')
			return false;
	return i >= 1 && i <= OPERATOR_ID_MAX;
}

static bool drain_exists(struct ctl *ctl, const char *name)
{
	const Aw__Drain *const *drains;
	size_t nr, i;

	drains = fleet_drains(ctl->fleet, &nr);
	for (i = 0; i < nr; i++)
		if (!strcmp(drains[i]->name, name))
			return true;
	return false;
}

/*
 * Checks a planned drain against the load. A drain that exists already is left
 * to the replicated state, which repeats the first result for a resend.
 */
static bool drain_allowed(struct ctl *ctl, const Aw__Op *op, char *text,
			  size_t text_bytes)
{
	const Aw__Drain *drain;
	struct soft_view view;

	if (op->body_case != AW__OP__BODY_DRAIN_PLAN)
		return true;
	drain = op->drain_plan->drain;
	if (drain->forced || drain_exists(ctl, drain->name))
		return true;
	if (ctl_fill_view(ctl, &view)) {
		snprintf(text, text_bytes, "out of memory");
		return false;
	}
	return soft_can_drain(ctl->soft, &view, drain, text, text_bytes);
}

static void submit(struct ctl *ctl, struct http_exchange *exchange, Aw__Op *op)
{
	struct ctl_http_change *pending = calloc(1, sizeof(*pending));
	Aw__ProposeStatus status;

	if (!pending) {
		respond_outcome(ctl, exchange,
				AW__PROPOSE_STATUS__PROPOSE_REFUSED, NULL);
		return;
	}
	pending->ctl = ctl;
	pending->exchange = exchange;
	DL_APPEND(ctl->http_changes, pending);
	http_exchange_on_abort(exchange, on_operator_abort, pending);
	status = ctl_propose(ctl, op, CHANGE_TIMEOUT_MS, change_done, pending);
	if (status != AW__PROPOSE_STATUS__PROPOSE_APPLIED)
		change_done(pending, status, NULL);
}

static const char *header(const struct http_request *req, const char *name)
{
	return http_header_value(req->headers, req->nr_headers, name);
}

static void change(struct ctl *ctl, struct http_exchange *exchange,
		   const struct http_request *req, enum ctl_change kind,
		   const char *name)
{
	const char *id = header(req, "Almondward-Operator-Request");
	const char *match = header(req, "If-Match");
	char text[REASON_BYTES_MAX];
	uint64_t version;
	Aw__Op *op;

	if (!id || !match) {
		respond_error(ctl, exchange, 428, "precondition_required",
			      "Almondward-Operator-Request and If-Match are "
			      "needed",
			      true);
		return;
	}
	if (!is_valid_id(id) || !parse_version(match, &version)) {
		respond_error(ctl, exchange, 400, "invalid",
			      "Almondward-Operator-Request has 1 to 64 visible "
			      "characters, If-Match a version or *",
			      true);
		return;
	}
	if (ctl_parse_change(kind, name, req->body, req->body_bytes, &op, text,
			     sizeof(text))) {
		respond_error(ctl, exchange, 400, "invalid", text, true);
		return;
	}
	if (!drain_allowed(ctl, op, text, sizeof(text))) {
		respond_error(ctl, exchange, 503, "refused", text, true);
		aw__op__free_unpacked(op, NULL);
		return;
	}
	op->expected_version = version;
	op->operator_request_id = strdup(id);
	if (!op->operator_request_id) {
		op->operator_request_id = (char *)protobuf_c_empty_string;
		respond_outcome(ctl, exchange,
				AW__PROPOSE_STATUS__PROPOSE_REFUSED, NULL);
	} else {
		submit(ctl, exchange, op);
	}
	aw__op__free_unpacked(op, NULL);
}

/* ---- reading ---- */

static void show_health(struct ctl *ctl, struct http_exchange *exchange)
{
	bool ready = !ctl->stop_requested_ms && *raft_leader(ctl->raft);
	cJSON *json = cJSON_CreateObject();

	cJSON_AddStringToObject(json, "role", "control");
	cJSON_AddStringToObject(json, "name", ctl->settings->name);
	cJSON_AddBoolToObject(json, "ready", ready);
	respond_json(exchange, ready ? 200 : 503, json, NULL, 0);
}

static void show_counters(struct ctl *ctl, struct http_exchange *exchange)
{
	struct buf out = BUF_INIT;

	if (ctr_format(ctl->counters, &out))
		respond_error(ctl, exchange, 503, "memory", "out of memory",
			      true);
	else
		respond(exchange, 200, "text/plain; charset=utf-8", out.data,
			out.len_bytes, NULL, 0);
	buf_release(&out);
}

static void show_config(struct ctl *ctl, struct http_exchange *exchange)
{
	const Aw__Config *config = fleet_config(ctl->fleet);
	struct http_header version = { "Almondward-Version", NULL };
	struct buf out = BUF_INIT;
	char text[24];

	snprintf(text, sizeof(text), "%llu",
		 (unsigned long long)config->version);
	version.value = text;
	if (cfg_format_yaml(config, &out))
		respond_error(ctl, exchange, 503, "memory", "out of memory",
			      true);
	else
		respond(exchange, 200, "application/yaml", out.data,
			out.len_bytes, &version, 1);
	buf_release(&out);
}

static void show_status(struct ctl *ctl, struct http_exchange *exchange)
{
	respond_json(exchange, 200, ctl_status(ctl), NULL, 0);
}

static void show_keys(struct ctl *ctl, struct http_exchange *exchange)
{
	respond_json(exchange, 200, ctl_keys_json(ctl), NULL, 0);
}

static void show_drains(struct ctl *ctl, struct http_exchange *exchange)
{
	respond_json(exchange, 200, ctl_drains_json(ctl), NULL, 0);
}

/* ---- routes ---- */

typedef void (*show_fn)(struct ctl *ctl, struct http_exchange *exchange);

struct operator_route {
	const char *method;
	const char *path; /* if it ends with /, a name follows */
	show_fn show; /* NULL for a change */
	enum ctl_change change;
};

static const struct operator_route routes[] = {
	{ "GET", "/v1/config", show_config, 0 },
	{ "GET", "/v1/status", show_status, 0 },
	{ "GET", "/v1/keys", show_keys, 0 },
	{ "GET", "/v1/drains", show_drains, 0 },
	{ "PUT", "/v1/config", NULL, CTL_CHANGE_CONFIG },
	{ "POST", "/v1/exceptions", NULL, CTL_CHANGE_EXCEPTION_ADD },
	{ "DELETE", "/v1/exceptions/", NULL, CTL_CHANGE_EXCEPTION_REMOVE },
	{ "POST", "/v1/keys", NULL, CTL_CHANGE_KEY_GRANT },
	{ "DELETE", "/v1/keys/", NULL, CTL_CHANGE_KEY_WITHDRAW },
	{ "POST", "/v1/drains", NULL, CTL_CHANGE_DRAIN_PLAN },
	{ "DELETE", "/v1/drains/", NULL, CTL_CHANGE_DRAIN_CANCEL },
};

static bool path_matches(const char *path, const char *target)
{
	size_t len = strlen(path);

	if (path[len - 1] != '/')
		return !strcmp(path, target);
	/* Names have no characters that need percent-encoding. */
	return !strncmp(path, target, len) && target[len] &&
	       !strpbrk(target + len, "/%?#");
}

/*
 * Returns NULL if there is no route. *path_exists: the path has a route,
 * possibly with another method.
 */
static const struct operator_route *find_route(const struct http_request *req,
					       bool *path_exists)
{
	size_t i;

	*path_exists = false;
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (!path_matches(routes[i].path, req->target))
			continue;
		*path_exists = true;
		if (!strcmp(routes[i].method, req->method))
			return &routes[i];
	}
	return NULL;
}

/*
 * Compares hashes in constant time, so that the duration reveals neither the
 * content nor the length of the token.
 */
static bool is_authorized(const struct ctl *ctl, const struct http_request *req)
{
	static const char scheme[] = "Bearer ";
	const char *given = header(req, "Authorization");
	const char *token = ctl->settings->operator_token;
	uint8_t expected[HASH_BYTES], actual[HASH_BYTES];

	if (!given || strncmp(given, scheme, sizeof(scheme) - 1) != 0 ||
	    !*token)
		return false;
	given += sizeof(scheme) - 1;
	crypto_generichash(expected, sizeof(expected), (const uint8_t *)token,
			   strlen(token), NULL, 0);
	crypto_generichash(actual, sizeof(actual), (const uint8_t *)given,
			   strlen(given), NULL, 0);
	return !sodium_memcmp(expected, actual, sizeof(expected));
}

void ctl_on_request(void *arg, struct http_exchange *exchange,
		    const struct http_request *req)
{
	const struct operator_route *route;
	struct ctl *ctl = arg;
	bool is_get = !strcmp(req->method, "GET"), path_exists;

	if (is_get && !strcmp(req->target, "/v1/health")) {
		show_health(ctl, exchange);
		return;
	}
	if (!is_authorized(ctl, req)) {
		respond_error(ctl, exchange, 401, "unauthorized",
			      "an operator token is needed", true);
		return;
	}
	if (is_get && !strcmp(req->target, "/v1/counters")) {
		show_counters(ctl, exchange);
		return;
	}
	route = find_route(req, &path_exists);
	if (!route) {
		respond_error(ctl, exchange, path_exists ? 405 : 404,
			      path_exists ? "method" : "not_found",
			      "no such resource or method", true);
		return;
	}
	if (!ctl_leads(ctl)) {
		respond_not_leader(ctl, exchange);
		return;
	}
	if (route->show)
		route->show(ctl, exchange);
	else
		change(ctl, exchange, req, route->change,
		       req->target + strlen(route->path));
}
