#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry_http.h"
#include "registry.h"

#define HEARTBEAT_MS 1000
/* 2^53: JSON numbers are exact up to this value. */
#define JSON_NUMBER_MAX 9007199254740992.0

static bool address_ok(const char *text)
{
	char ip[ADDRESS_BYTES_MAX];
	uint8_t parsed[16];
	unsigned long port;
	char *colon, *end;
	size_t len_bytes;

	if (strlen(text) >= ADDRESS_BYTES_MAX)
		return false;
	snprintf(ip, sizeof(ip), "%s", text);
	colon = strrchr(ip, ':');
	if (!colon || colon[1] < '1' || colon[1] > '9')
		return false;
	port = strtoul(colon + 1, &end, 10);
	if (*end || port > 65535)
		return false;
	*colon = '\0';
	len_bytes = strlen(ip);
	if (ip[0] != '[')
		return inet_pton(AF_INET, ip, parsed) == 1;
	if (ip[len_bytes - 1] != ']')
		return false;
	ip[len_bytes - 1] = '\0';
	return inet_pton(AF_INET6, ip + 1, parsed) == 1;
}

static const char *read_name(const cJSON *root, const char *field)
{
	const char *text =
		cJSON_GetStringValue(cJSON_GetObjectItem(root, field));

	if (!text || !*text || strlen(text) >= NAME_BYTES_MAX)
		return NULL;
	return text;
}

static bool read_number(const cJSON *root, const char *field, uint64_t *value)
{
	const cJSON *item = cJSON_GetObjectItem(root, field);

	if (!cJSON_IsNumber(item) || item->valuedouble < 0 ||
	    item->valuedouble > JSON_NUMBER_MAX)
		return false;
	*value = (uint64_t)item->valuedouble;
	return true;
}

/*
 * Reads the fields that POST and DELETE have in common. Returns NULL, or what
 * is wrong with them.
 */
static const char *read_identity(const cJSON *root,
				 struct agent_announcement *announcement)
{
	announcement->address =
		cJSON_GetStringValue(cJSON_GetObjectItem(root, "address"));
	if (!announcement->address || !address_ok(announcement->address))
		return "address is not IP:port";
	if (!read_number(root, "incarnation", &announcement->incarnation))
		return "incarnation is not a number from 0 to 2^53";
	if (!read_number(root, "sequence", &announcement->sequence))
		return "sequence is not a number from 0 to 2^53";
	return NULL;
}

/*
 * Reads the fields that only POST has. Returns NULL, or what is wrong with
 * them.
 */
static const char *read_server(const cJSON *root,
			       struct agent_announcement *announcement)
{
	uint64_t slots;

	announcement->upstream = read_name(root, "upstream");
	if (!announcement->upstream)
		return "upstream is not a name of 1 to 63 bytes";
	announcement->zone = read_name(root, "zone");
	if (!announcement->zone)
		return "zone is not a name of 1 to 63 bytes";
	if (!read_number(root, "slots", &slots) || !slots ||
	    slots > REG_SLOTS_MAX)
		return "slots is not a number from 1 to 10000";
	announcement->slots = (uint32_t)slots;
	return NULL;
}

static void answer_accepted(struct http_exchange *exchange)
{
	cJSON *root = cJSON_CreateObject();

	cJSON_AddNumberToObject(root, "heartbeat_ms", HEARTBEAT_MS);
	answer_json(exchange, 200, root);
}

static void announce(struct http_context *context,
		     struct http_exchange *exchange, const cJSON *root)
{
	struct agent_announcement announcement = { 0 };
	const char *fault = read_identity(root, &announcement);

	if (!fault)
		fault = read_server(root, &announcement);
	if (fault) {
		answer_error(exchange, 400, "invalid", fault);
		return;
	}
	switch (agent_announce(context->agent, &announcement)) {
	case AGENT_ANNOUNCED:
		answer_accepted(exchange);
		return;
	case AGENT_LEFT:
		answer_error(exchange, 409, "left",
			     "this incarnation has left");
		return;
	case AGENT_STALE:
		answer_error(exchange, 409, "stale",
			     "a newer incarnation or sequence is known");
		return;
	case AGENT_NO_MEMORY:
		answer_error(exchange, 503, "memory", "no memory");
		return;
	}
}

static void leave(struct http_context *context, struct http_exchange *exchange,
		  const cJSON *root)
{
	struct agent_announcement announcement = { 0 };
	const char *fault = read_identity(root, &announcement);

	if (fault) {
		answer_error(exchange, 400, "invalid", fault);
		return;
	}
	if (agent_leave(context->agent, announcement.address,
			announcement.incarnation,
			announcement.sequence) == AGENT_NO_MEMORY)
		answer_error(exchange, 503, "memory", "no memory");
	else
		answer_json(exchange, 200, cJSON_CreateObject());
}

void answer_announcement(struct http_context *context,
			 struct http_exchange *exchange,
			 const struct http_request *req)
{
	bool is_post = !strcmp(req->method, "POST");
	cJSON *root;

	if (!answer_token_ok(req, context->settings->announce_token)) {
		answer_error(exchange, 401, "unauthorized",
			     "the announce token is missing or wrong");
		return;
	}
	if (!answer_path_is(req, "/v1/servers")) {
		answer_error(exchange, 404, "not_found", "no such resource");
		return;
	}
	if (!is_post && strcmp(req->method, "DELETE") != 0) {
		answer_error(exchange, 405, "method",
			     "only POST and DELETE are answered");
		return;
	}
	root = cJSON_ParseWithLength((const char *)req->body, req->body_bytes);
	if (!cJSON_IsObject(root))
		answer_error(exchange, 400, "invalid",
			     "the body is not a JSON object");
	else if (is_post)
		announce(context, exchange, root);
	else
		leave(context, exchange, root);
	cJSON_Delete(root);
}
