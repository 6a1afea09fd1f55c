#include "entry_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <libwebsockets.h>
#include <sodium.h>

#include "config.h"
#include "lookup.h"

#define DECISIONS "/v1/decisions/"
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
	uint8_t given[HASH_BYTES], wanted[HASH_BYTES];

	if (!*token || !value || strncasecmp(value, "Bearer ", 7) != 0)
		return false;
	value += 7;
	/* Hashes have one length, so the comparison does not tell it. */
	crypto_generichash(given, sizeof(given), (const uint8_t *)value,
			   strlen(value), NULL, 0);
	crypto_generichash(wanted, sizeof(wanted), (const uint8_t *)token,
			   strlen(token), NULL, 0);
	return !sodium_memcmp(given, wanted, sizeof(given));
}

bool answer_path_is(const struct http_request *req, const char *path)
{
	size_t len_bytes = strcspn(req->target, "?");

	return len_bytes == strlen(path) &&
	       !strncmp(req->target, path, len_bytes);
}

/* ---- look-ups ---- */

uint32_t answer_lookup_ttl_s(const struct answers *answers)
{
	struct cfg_subject subject = { .zone = answers->settings->zone };
	struct cfg_decision decision;

	cfg_decide(view_config(agent_view(answers->agent)), CFG_LOOKUP_TTL_S,
		   &subject, &decision);
	return (uint32_t)decision.value;
}

/*
 * Copies the value of "client" from the query; false if it is not there.
 */
static bool client_of_query(const char *target, char client[QUERY_BYTES_MAX])
{
	static const char name[] = "client=";
	const char *pos = strchr(target, '?');
	char raw[QUERY_BYTES_MAX];
	size_t len_bytes;

	while (pos && *pos) {
		pos++;
		len_bytes = strcspn(pos, "&");
		if (!strncmp(pos, name, sizeof(name) - 1) &&
		    len_bytes < sizeof(raw)) {
			snprintf(raw, sizeof(raw), "%.*s",
				 (int)(len_bytes - (sizeof(name) - 1)),
				 pos + sizeof(name) - 1);
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
	char cache[48];
	struct http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Cache-Control", cache },
	};
	struct http_response response = {
		.status = 200,
		.headers = headers,
		.nr_headers = 2,
		.body = body->data,
		.body_bytes = body->len_bytes,
	};

	snprintf(cache, sizeof(cache), "max-age=%u", ttl_s);
	http_respond(exchange, &response);
}

void answer_lookup(struct answers *answers, struct http_exchange *exchange,
		   const struct http_request *req)
{
	const struct view *view = agent_view(answers->agent);
	struct look_request question = { 0 };
	char client[QUERY_BYTES_MAX];
	struct buf body = BUF_INIT;

	if (!view) {
		http_respond_refusal(exchange, REFUSAL_NO_LEASE,
				     "no state since the start", "", true,
				     1000);
		return;
	}
	if (!client_of_query(req->target, client))
		snprintf(client, sizeof(client), "%s", req->peer);
	question.view = view;
	question.instances =
		agent_instances(answers->agent, &question.nr_instances);
	question.client = client;
	question.own_name = answers->settings->name;
	question.own_zone = answers->settings->zone;
	question.omit_self = answers->leaving ||
			     !agent_lease_ok(answers->agent);
	question.ttl_s = answer_lookup_ttl_s(answers);
	ctr_add(ctr_get(answers->counters, "lookups", ""), 1);
	switch (look_write_response(&question, &body)) {
	case LOOK_OK:
		send_lookup(exchange, &body, question.ttl_s);
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

static void answer_health(const struct answers *answers,
			  struct http_exchange *exchange)
{
	bool ready = !answers->leaving && agent_lease_ok(answers->agent);
	cJSON *root = cJSON_CreateObject();

	cJSON_AddStringToObject(root, "role", "entry");
	cJSON_AddStringToObject(root, "name", answers->settings->name);
	cJSON_AddBoolToObject(root, "ready", ready);
	answer_json(exchange, ready ? 200 : 503, root);
}

static void answer_counters(const struct answers *answers,
			    struct http_exchange *exchange)
{
	struct buf body = BUF_INIT;

	if (ctr_format(answers->counters, &body))
		answer_error(exchange, 503, "memory", "no memory for the text");
	else
		respond(exchange, 200, "text/plain", body.data, body.len_bytes);
	buf_release(&body);
}

static void answer_decision(const struct answers *answers,
			    struct http_exchange *exchange,
			    const char *request_id)
{
	struct buf body = BUF_INIT;

	switch (dec_format(answers->decisions, request_id, &body)) {
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

void answer_operator(struct answers *answers, struct http_exchange *exchange,
		     const struct http_request *req)
{
	if (strcmp(req->method, "GET") != 0)
		answer_error(exchange, 405, "method", "only GET is answered");
	else if (answer_path_is(req, "/v1/health"))
		answer_health(answers, exchange);
	else if (!answer_token_ok(req, answers->settings->operator_token))
		answer_error(exchange, 401, "unauthorized",
			     "the operator token is missing or wrong");
	else if (answer_path_is(req, "/v1/counters"))
		answer_counters(answers, exchange);
	else if (!strncmp(req->target, DECISIONS, strlen(DECISIONS)))
		answer_decision(answers, exchange,
				req->target + strlen(DECISIONS));
	else
		answer_error(exchange, 404, "not_found", "no such resource");
}
