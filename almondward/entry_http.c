#include "entry_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <libwebsockets.h>
#include <sodium.h>

#include "config.h"
#include "lookup.h"

#define DECISIONS_PATH "/v1/decisions/"
#define QUERY_BYTES_MAX 512

static void respond(struct http_exchange *exchange, uint32_t status,
		    const char *type, const void *body, size_t body_bytes)
{
	struct http_header headers[] = { { "Content-Type", type } };
	struct http_response response = {
		.status = status,
		.headers = headers,
		.nr_headers = 1,
		.body = body,
		.body_bytes = body_bytes,
	};

	http_respond(exchange, &response);
}

void answer_json(struct http_exchange *exchange, uint32_t status, cJSON *root)
{
	char *text = root ? cJSON_PrintUnformatted(root) : NULL;

	cJSON_Delete(root);
	if (text)
		respond(exchange, status, "application/json", text,
			strlen(text));
	else
		respond(exchange, 500, "application/json", "{}", 2);
	cJSON_free(text);
}

void answer_error(struct http_exchange *exchange, uint32_t status,
		  const char *error, const char *detail)
{
	cJSON *root = cJSON_CreateObject();

	cJSON_AddStringToObject(root, "error", error);
	cJSON_AddStringToObject(root, "detail", detail);
	answer_json(exchange, status, root);
}

bool answer_token_ok(const struct http_request *req, const char *token)
{
	const char *value = http_header_value(req->headers, req->nr_headers,
					      "Authorization");
	uint8_t given[HASH_BYTES], expected[HASH_BYTES];

	if (!*token || !value || strncasecmp(value, "Bearer ", 7) != 0)
		return false;
	value += 7;
	/* Comparing hashes does not reveal the length of the token. */
	crypto_generichash(given, sizeof(given), (const uint8_t *)value,
			   strlen(value), NULL, 0);
	crypto_generichash(expected, sizeof(expected), (const uint8_t *)token,
			   strlen(token), NULL, 0);
	return !sodium_memcmp(given, expected, sizeof(given));
}

bool answer_path_is(const struct http_request *req, const char *path)
{
	size_t len_bytes = strcspn(req->target, "?");

	return len_bytes == strlen(path) &&
	       !strncmp(req->target, path, len_bytes);
}

/* ---- look-ups ---- */

uint32_t answer_lookup_ttl_s(const struct http_context *context)
{
	struct cfg_subject subject = { .zone = context->settings->zone };
	struct cfg_decision decision;

	cfg_decide(view_config(agent_view(context->agent)), CFG_LOOKUP_TTL_S,
		   &subject, &decision);
	return (uint32_t)decision.value;
}

/*
 * Copies the value of the query parameter "client". Returns false if the query
 * has none.
 */
static bool client_from_query(const char *target, char client[QUERY_BYTES_MAX])
{
	static const char parameter[] = "client=";
	const char *pos = strchr(target, '?');
	char raw[QUERY_BYTES_MAX];
	size_t len_bytes;

	while (pos && *pos) {
		pos++;
		len_bytes = strcspn(pos, "&");
		if (!strncmp(pos, parameter, sizeof(parameter) - 1) &&
		    len_bytes < sizeof(raw)) {
			snprintf(raw, sizeof(raw), "%.*s",
				 (int)(len_bytes - (sizeof(parameter) - 1)),
				 pos + sizeof(parameter) - 1);
			lws_urldecode(client, raw, QUERY_BYTES_MAX);
			return true;
		}
		pos += len_bytes;
	}
	return false;
}

static void send_lookup(struct http_exchange *exchange, const struct buf *body,
			uint32_t ttl_s)
{
	char cache_control[48];
	struct http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Cache-Control", cache_control },
	};
	struct http_response response = {
		.status = 200,
		.headers = headers,
		.nr_headers = 2,
		.body = body->data,
		.body_bytes = body->len_bytes,
	};

	snprintf(cache_control, sizeof(cache_control), "max-age=%u", ttl_s);
	http_respond(exchange, &response);
}

void answer_lookup(struct http_context *context, struct http_exchange *exchange,
		   const struct http_request *req)
{
	const struct view *view = agent_view(context->agent);
	struct look_request lookup = { 0 };
	char client[QUERY_BYTES_MAX];
	struct buf body = BUF_INIT;

	if (!view) {
		http_respond_refusal(exchange, REFUSAL_NO_LEASE,
				     "no state since the start", "", true,
				     1000);
		return;
	}
	if (!client_from_query(req->target, client))
		snprintf(client, sizeof(client), "%s", req->peer);
	lookup.view = view;
	lookup.instances =
		agent_instances(context->agent, &lookup.nr_instances);
	lookup.client = client;
	lookup.own_name = context->settings->name;
	lookup.own_zone = context->settings->zone;
	lookup.omit_self = context->leaving || !agent_lease_ok(context->agent);
	lookup.ttl_s = answer_lookup_ttl_s(context);
	ctr_add(ctr_get(context->counters, "lookups", ""), 1);
	switch (look_write_response(&lookup, &body)) {
	case LOOK_OK:
		send_lookup(exchange, &body, lookup.ttl_s);
		break;
	case LOOK_ERR_CLIENT:
		http_respond_refusal(exchange, REFUSAL_BAD_REQUEST,
				     "client is not an IP address", "", true,
				     0);
		break;
	case LOOK_ERR_MEMORY:
		http_respond_refusal(exchange, REFUSAL_MEMORY,
				     "no memory for the look-up", "", true,
				     1000);
		break;
	}
	buf_release(&body);
}

/* ---- operators ---- */

static void answer_health(const struct http_context *context,
			  struct http_exchange *exchange)
{
	bool ready = !context->leaving && agent_lease_ok(context->agent);
	cJSON *root = cJSON_CreateObject();

	cJSON_AddStringToObject(root, "role", "entry");
	cJSON_AddStringToObject(root, "name", context->settings->name);
	cJSON_AddBoolToObject(root, "ready", ready);
	answer_json(exchange, ready ? 200 : 503, root);
}

static void answer_counters(const struct http_context *context,
			    struct http_exchange *exchange)
{
	struct buf body = BUF_INIT;

	if (ctr_format(context->counters, &body))
		answer_error(exchange, 503, "memory", "no memory for the text");
	else
		respond(exchange, 200, "text/plain", body.data, body.len_bytes);
	buf_release(&body);
}

static void answer_decision(const struct http_context *context,
			    struct http_exchange *exchange,
			    const char *request_id)
{
	struct buf body = BUF_INIT;

	switch (dec_format(context->decisions, request_id, &body)) {
	case DEC_OK:
		respond(exchange, 200, "application/json", body.data,
			body.len_bytes);
		break;
	case DEC_ERR_NOT_FOUND:
		answer_error(exchange, 404, "not_found",
			     "no record of this request is kept here");
		break;
	case DEC_ERR_MEMORY:
		answer_error(exchange, 503, "memory", "no memory for the text");
		break;
	}
	buf_release(&body);
}

void answer_operator(struct http_context *context,
		     struct http_exchange *exchange,
		     const struct http_request *req)
{
	if (strcmp(req->method, "GET") != 0)
		answer_error(exchange, 405, "method", "only GET is answered");
	else if (answer_path_is(req, "/v1/health"))
		answer_health(context, exchange);
	else if (!answer_token_ok(req, context->settings->operator_token))
		answer_error(exchange, 401, "unauthorized",
			     "the operator token is missing or wrong");
	else if (answer_path_is(req, "/v1/counters"))
		answer_counters(context, exchange);
	else if (!strncmp(req->target, DECISIONS_PATH, strlen(DECISIONS_PATH)))
		answer_decision(context, exchange,
				req->target + strlen(DECISIONS_PATH));
	else
		answer_error(exchange, 404, "not_found", "no such resource");
}
