#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

static void detach(struct request *request)
{
	struct core *core = request->core;
	struct upstream *upstream = request->upstream;

	switch (request->step) {
	case STEP_ADMISSION:
		admission_stop_waiting(request);
		return;
	case STEP_QUEUE:
		if (request->item.lane) {
			queue_remove(upstream->queue, &request->item);
			agent_set_queued_requests(
				core->agent, upstream->name,
				(uint32_t)queue_length(upstream->queue));
		}
		return;
	case STEP_IN_FLIGHT:
		dispatch_cancel(request);
		return;
	case STEP_CLAIM:
	case STEP_CRASH_DECISION:
	case STEP_REFUSED:
		return;
	}
}

void finish_destroy(struct request *request)
{
	DL_DELETE(request->core->requests, request);
	request->core->nr_active--;
	free(request);
}

static void finish_request(struct request *request, enum refusal refusal,
			   uint32_t status, bool not_run, const char *detail)
{
	struct core *core = request->core;

	claim_release(request);
	dec_end(core->decisions, request->id, refusal, status, not_run,
		request->nr_attempts, core_now_ms(core) - request->started_ms,
		detail);
	finish_destroy(request);
}

void finish_refusal(struct request *request, enum refusal refusal,
		    uint32_t retry_after_ms, const char *detail)
{
	struct core *core = request->core;
	bool not_run;

	detach(request);
	/* Another request with this idempotency key may have been executed. */
	not_run = !request->byte_sent && refusal != REFUSAL_CLAIM_IN_DOUBT;
	ctr_add(core->refusal_counters[refusal], 1);
	core->io.refuse(core->arg, request->exchange, refusal, detail,
			request->id, not_run, retry_after_ms);
	finish_request(request, refusal, refusal_status(refusal), not_run,
		       detail);
}

static bool list_contains(const char *list, const char *name)
{
	size_t name_bytes = strlen(name), part_bytes;

	for (; *list; list += part_bytes) {
		list += strspn(list, ", \t");
		part_bytes = strcspn(list, ", \t");
		if (part_bytes == name_bytes &&
		    !strncasecmp(list, name, name_bytes))
			return true;
	}
	return false;
}

static bool is_forwarded_header(const struct http_response *response,
				const char *name)
{
	static const char hop_by_hop[] =
		"Connection, Keep-Alive, Proxy-Connection, Proxy-Authenticate, "
		"Proxy-Authorization, TE, Trailer, Transfer-Encoding, Upgrade, "
		"Content-Length";
	const char *connection = http_header_value(
		response->headers, response->nr_headers, "Connection");

	if (!strncasecmp(name, "Almondward-", 11) ||
	    list_contains(hop_by_hop, name))
		return false;
	return !connection || !list_contains(connection, name);
}

void finish_response(struct request *request,
		     const struct http_response *response)
{
	struct core *core = request->core;
	struct http_response answer = *response;
	struct http_header *headers;
	char label[8];
	size_t i, nr = 0;

	headers = calloc(response->nr_headers + 1, sizeof(*headers));
	if (!headers) {
		claim_finish(request, response);
		finish_refusal(request, REFUSAL_MEMORY, 1000,
			       "no memory for the response");
		return;
	}
	for (i = 0; i < response->nr_headers; i++) {
		if (is_forwarded_header(response, response->headers[i].name))
			headers[nr++] = response->headers[i];
	}
	headers[nr].name = "Almondward-Request-Id";
	headers[nr++].value = request->id;
	answer.headers = headers;
	answer.nr_headers = nr;
	claim_finish(request, response);
	core->io.respond(core->arg, request->exchange, &answer);
	free(headers);
	snprintf(label, sizeof(label), "%uxx", response->status / 100 % 10);
	core_count(core, "answers", label);
	finish_request(request, REFUSAL_NONE, response->status, false, "");
}

void finish_replay(struct request *request, const Aw__OpResult *result)
{
	struct core *core = request->core;
	struct http_header headers[] = {
		{ "Almondward-Request-Id", request->id },
		{ "Almondward-Replayed", "1" },
		{ "Content-Type", result->content_type },
	};
	struct http_response answer = {
		.status = result->status,
		.headers = headers,
		.nr_headers = *result->content_type ? 3 : 2,
		.body = result->answer.data,
		.body_bytes = result->answer.len,
	};

	core->io.respond(core->arg, request->exchange, &answer);
	core_count(core, "answers", "replayed");
	finish_request(request, REFUSAL_NONE, result->status, false,
		       "replayed");
}

static void unlink_refused(struct core *core, struct request *request)
{
	struct request **link;

	for (link = &core->refused; *link; link = &(*link)->next_refused) {
		if (*link == request) {
			*link = request->next_refused;
			return;
		}
	}
}

void finish_abandoned(struct request *request)
{
	core_count(request->core, "abandoned", "");
	detach(request);
	if (request->step == STEP_REFUSED)
		unlink_refused(request->core, request);
	finish_request(request, REFUSAL_NONE, 0, !request->byte_sent,
		       "the caller left");
}
