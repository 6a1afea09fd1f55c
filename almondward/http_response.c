#include "http_private.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <cjson/cJSON.h>

/*
 * Returns true for headers that frame a message or apply to one connection only
 * (hop-by-hop).
 */
static bool is_framing_or_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Content-Length",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (!strcasecmp(name, names[i]))
			return true;
	}
	return false;
}

int http_append_headers(struct buf *out, const struct http_header *headers,
			size_t nr_headers)
{
	size_t i;

	for (i = 0; i < nr_headers; i++) {
		const char *name = headers[i].name, *value = headers[i].value;

		if (!*name || is_framing_or_hop_by_hop(name) ||
		    name[strcspn(name, "\r\n: \t")] ||
		    value[strcspn(value, "\r\n")])
			continue;
		if (buf_append_str(out, name) || buf_append_str(out, ": ") ||
		    buf_append_str(out, value) || buf_append_str(out, "\r\n"))
			return -1;
	}
	return 0;
}

bool http_append_head(struct buf *out, const struct http_response *response,
		      const char *request_id, bool head_only, bool close_conn)
{
	uint32_t status = response->status;
	bool no_length = status == 204 || status == 304 ||
			 (head_only && !response->body_bytes);

	if (buf_printf(out, "HTTP/1.1 %u %s\r\n", status,
		       http_status_str((enum http_status)status)) ||
	    http_append_headers(out, response->headers, response->nr_headers))
		return false;
	if (*request_id &&
	    buf_printf(out, REQUEST_ID_HEADER ": %s\r\n", request_id))
		return false;
	if (!no_length &&
	    buf_printf(out, "Content-Length: %zu\r\n", response->body_bytes))
		return false;
	if (close_conn && buf_append_str(out, "Connection: close\r\n"))
		return false;
	return !buf_append_str(out, "\r\n");
}

static char *refusal_json(enum refusal refusal, const char *detail,
			  const char *request_id, bool not_run)
{
	cJSON *json = cJSON_CreateObject();
	char *text = NULL;

	if (json &&
	    cJSON_AddStringToObject(json, "error", refusal_name(refusal)) &&
	    cJSON_AddStringToObject(json, "detail", detail ? detail : "") &&
	    cJSON_AddStringToObject(json, "request_id",
				    request_id ? request_id : "") &&
	    cJSON_AddBoolToObject(json, "not_run", not_run))
		text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	return text;
}

static void add_header(struct http_refusal *r, const char *name,
		       const char *value)
{
	r->headers[r->response.nr_headers].name = name;
	r->headers[r->response.nr_headers++].value = value;
}

void http_build_refusal(struct http_refusal *r, enum refusal refusal,
			const char *detail, const char *request_id,
			bool not_run, uint32_t retry_after_ms)
{
	memset(r, 0, sizeof(*r));
	r->json = refusal_json(refusal, detail, request_id, not_run);
	r->response.status = refusal_status(refusal);
	r->response.headers = r->headers;
	r->response.body = (const uint8_t *)r->json;
	r->response.body_bytes = r->json ? strlen(r->json) : 0;
	add_header(r, "Content-Type", "application/json");
	if (request_id && *request_id)
		add_header(r, REQUEST_ID_HEADER, request_id);
	if (not_run)
		add_header(r, "Almondward-Not-Run", "1");
	if (!retry_after_ms)
		return;
	snprintf(r->seconds, sizeof(r->seconds), "%u",
		 retry_after_ms / 1000 + (retry_after_ms % 1000 != 0));
	snprintf(r->milliseconds, sizeof(r->milliseconds), "%u",
		 retry_after_ms);
	add_header(r, "Retry-After", r->seconds);
	add_header(r, "Almondward-Retry-After-Ms", r->milliseconds);
}
