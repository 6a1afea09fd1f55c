#include "entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

/* All queues are served this often, also if no event requires it. */
#define DISPATCH_INTERVAL_MS 50

uint64_t core_now_ms(const struct core *core)
{
	return clk_now_ms(core->clk);
}

void core_count(struct core *core, const char *name, const char *label)
{
	ctr_add(ctr_get(core->counters, name, label), 1);
}

struct core *core_create(const struct core_settings *settings,
			 const struct core_io *io, void *arg)
{
	struct core *core = calloc(1, sizeof(*core));
	int i;

	if (!core)
		return NULL;
	snprintf(core->name, sizeof(core->name), "%s", settings->name);
	snprintf(core->zone, sizeof(core->zone), "%s", settings->zone);
	core->agent = settings->agent;
	core->clk = settings->clk;
	core->counters = settings->counters;
	core->decisions = settings->decisions;
	core->io = *io;
	core->arg = arg;
	core->requests_counter = ctr_get(core->counters, "requests", "");
	core->active_gauge = ctr_get(core->counters, "requests_active", "");
	core->ejections = ctr_get(core->counters, "ejections", "");
	for (i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++)
		core->refusal_counters[i] =
			ctr_get(core->counters, "refusals",
				refusal_name((enum refusal)i));
	return core;
}

void core_destroy(struct core *core)
{
	struct request *request, *next_request;
	struct upstream *upstream, *next;
	struct response_size *size, *next_size;

	if (!core)
		return;
	DL_FOREACH_SAFE(core->requests, request, next_request)
	{
		if (request->attempt.backend)
			core->io.abort(core->arg, request->attempt.backend);
		if (request->attempt.slot)
			agent_slot_release(core->agent, request->attempt.slot);
		if (request->claim_call)
			agent_call_cancel(core->agent, request->claim_call);
		finish_destroy(request);
	}
	cancellation_destroy(core);
	HASH_ITER(hh, core->upstreams, upstream, next)
	{
		HASH_DEL(core->upstreams, upstream);
		queue_destroy(upstream->queue);
		free(upstream);
	}
	HASH_ITER(hh, core->response_sizes, size, next_size)
	{
		HASH_DEL(core->response_sizes, size);
		free(size);
	}
	free(core->candidates);
	free(core->verdicts);
	free(core);
}

struct upstream *core_get_upstream(struct core *core, const char *name)
{
	struct upstream *upstream;

	HASH_FIND_STR(core->upstreams, name, upstream);
	if (upstream)
		return upstream;
	upstream = calloc(1, sizeof(*upstream));
	if (!upstream)
		return NULL;
	upstream->queue = queue_create();
	if (!upstream->queue) {
		free(upstream);
		return NULL;
	}
	snprintf(upstream->name, sizeof(upstream->name), "%s", name);
	HASH_ADD_STR(core->upstreams, name, upstream);
	return upstream;
}

void core_make_id(const struct core *core, char id[REQUEST_ID_BYTES_MAX])
{
	uint8_t random[8];
	char hex[2 * sizeof(random) + 1];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(hex, sizeof(hex), random, sizeof(random));
	snprintf(id, REQUEST_ID_BYTES_MAX, "%s-%s", core->name, hex);
}

static void caller_left(void *arg)
{
	struct request *request = arg;
	struct core *core = request->core;

	finish_abandoned(request);
	core_process_pending(core);
}

void core_start(struct core *core, struct http_exchange *exchange,
		const struct http_request *http)
{
	struct request *request = calloc(1, sizeof(*request));
	char id[REQUEST_ID_BYTES_MAX];

	ctr_add(core->requests_counter, 1);
	if (!request) {
		core_make_id(core, id);
		ctr_add(core->refusal_counters[REFUSAL_MEMORY], 1);
		core->io.refuse(core->arg, exchange, REFUSAL_MEMORY,
				"no memory for the request", id, true, 1000);
		return;
	}
	core_make_id(core, request->id);
	request->core = core;
	request->exchange = exchange;
	request->http = http;
	request->started_ms = core_now_ms(core);
	request->draw_permille = randombytes_uniform(1000);
	DL_APPEND(core->requests, request);
	core->nr_active++;
	core->io.on_abort(core->arg, exchange, caller_left, request);
	dec_begin(core->decisions, request->id, clk_wall_ms(core->clk));
	admission_begin(request);
	core_process_pending(core);
}

static void answer_refused(struct core *core)
{
	struct request *request;

	while ((request = core->refused)) {
		core->refused = request->next_refused;
		finish_refusal(request, request->pending_refusal,
			       (uint32_t)request->wait_until_ms,
			       "the queue is full");
	}
}

void core_process_pending(struct core *core)
{
	struct upstream *upstream, *next;
	bool work_done = true;

	while (work_done) {
		work_done = false;
		answer_refused(core);
		HASH_ITER(hh, core->upstreams, upstream, next)
		{
			if (!upstream->dispatch_due)
				continue;
			upstream->dispatch_due = false;
			queue_dispatch(core, upstream);
			work_done = true;
		}
	}
	ctr_set_value(core->active_gauge, core->nr_active);
	/* A report that asks for tokens or slots need not wait for a tick. */
	agent_flush(core->agent);
}

/*
 * Has all queues served by the next core_process_pending().
 */
static void mark_all_due(struct core *core)
{
	struct upstream *upstream, *next;

	/* Requests that still need tokens ask again when they are served. */
	link_cancel_token_requests(core);
	HASH_ITER(hh, core->upstreams, upstream, next)
	{
		upstream->dispatch_due = true;
	}
}

void core_state_changed(struct core *core)
{
	admission_serve_waiting(core);
	mark_all_due(core);
	core_process_pending(core);
}

/*
 * Checks the time limits of a request.
 */
static void check_request(struct request *request, uint64_t now_ms)
{
	bool deadline_passed = now_ms >= request->deadline_ms;

	switch (request->step) {
	case STEP_ADMISSION: /* see admission_serve_waiting() */
	case STEP_REFUSED:
		return;
	case STEP_CLAIM:
		if (now_ms >= request->wait_until_ms)
			finish_refusal(request,
				       deadline_passed ?
					       REFUSAL_DEADLINE :
					       REFUSAL_CLAIM_UNAVAILABLE,
				       1000, "the claim was not committed");
		return;
	case STEP_QUEUE:
		if (now_ms >= request->wait_until_ms)
			queue_timeout(request);
		return;
	case STEP_IN_FLIGHT:
		if (deadline_passed)
			dispatch_timeout(request);
		else
			dispatch_check_response(request);
		return;
	case STEP_CRASH_DECISION:
		dispatch_check_crash_decision(request);
		return;
	}
}

void core_tick(struct core *core)
{
	uint64_t now_ms = core_now_ms(core);
	struct request *request, *next;

	DL_FOREACH_SAFE(core->requests, request, next)
	{
		check_request(request, now_ms);
	}
	admission_serve_waiting(core);
	cancellation_tick(core);
	if (now_ms >= core->next_dispatch_ms) {
		core->next_dispatch_ms = now_ms + DISPATCH_INTERVAL_MS;
		mark_all_due(core);
	}
	core_process_pending(core);
}

size_t core_active(const struct core *core)
{
	const struct cancellation *cancellation;
	size_t nr = core->nr_active;

	for (cancellation = core->cancellations; cancellation;
	     cancellation = cancellation->next)
		nr++;
	return nr;
}
