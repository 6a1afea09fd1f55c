#include "entry_internal.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_DELAY_MIN_MS 50
#define RETRY_DELAY_MAX_MS 5000

static bool grow_candidates(struct core *core)
{
	size_t size =
		core->candidates_capacity ? 2 * core->candidates_capacity : 64;
	struct route_candidate *candidates;
	enum route_verdict *verdicts;

	candidates = realloc(core->candidates, size * sizeof(*candidates));
	if (!candidates)
		return false;
	core->candidates = candidates;
	verdicts = realloc(core->verdicts, size * sizeof(*verdicts));
	if (!verdicts)
		return false;
	core->verdicts = verdicts;
	core->candidates_capacity = size;
	return true;
}

static bool was_tried(const struct request *request, const char *address)
{
	uint32_t i;

	for (i = 0; i < request->nr_tried; i++) {
		if (!strcmp(request->tried[i], address))
			return true;
	}
	return false;
}

static void fill_candidate(struct request *request, struct agent_server *server,
			   struct route_candidate *candidate)
{
	struct core *core = request->core;
	const struct view *view = agent_view(core->agent);
	const char *own_region = link_own_region(core);
	const char *region =
		cfg_region_of_zone(view_config(view), server->zone);

	memset(candidate, 0, sizeof(*candidate));
	candidate->address = server->address;
	candidate->zone = server->zone;
	candidate->region = region ? region : "";
	if (!strcmp(server->zone, core->zone))
		candidate->group = ROUTE_SAME_ZONE;
	else if (*own_region && !strcmp(own_region, candidate->region))
		candidate->group = ROUTE_SAME_REGION;
	else
		candidate->group = ROUTE_OTHER_REGION;
	candidate->leaving = server->leaving;
	candidate->silent = server->silent;
	candidate->tried = was_tried(request, server->address);
	candidate->drained_permille = view_drained_permille(
		view, server->address, server->zone, candidate->region);
	agent_slot_count(core->agent, server->address, &candidate->held_slots,
			 &candidate->used_slots);
	candidate->stats = server->stats;
	if (candidate->group == ROUTE_OTHER_REGION &&
	    request->policies.value[CFG_CROSS_REGION])
		candidate->link_ok =
			link_tokens_available(request, candidate->region);
}

bool queue_collect_candidates(struct request *request)
{
	struct core *core = request->core;
	struct agent_server *server = NULL;

	core->nr_candidates = 0;
	while ((server = agent_next_server(core->agent, server))) {
		if (strcmp(server->upstream, request->upstream->name) != 0)
			continue;
		if (core->nr_candidates == core->candidates_capacity &&
		    !grow_candidates(core)) {
			core->nr_candidates = 0;
			return false;
		}
		fill_candidate(request, server,
			       &core->candidates[core->nr_candidates++]);
	}
	return core->nr_candidates != 0;
}

/*
 * Returns the position in core->candidates of the server that the request
 * should go to, or -1. After half of the queue wait a failing server is used
 * rather than none.
 */
static int choose_server(struct request *request)
{
	struct core *core = request->core;
	struct route_query query = {
		.now_ms = core_now_ms(core),
		.cross_region = request->policies.value[CFG_CROSS_REGION] != 0,
		.retry = request->nr_attempts != 0,
		.draw_permille = request->draw_permille,
	};

	query.last_resort =
		request->step == STEP_QUEUE &&
		query.now_ms + request->policies.value[CFG_QUEUE_WAIT_MS] / 2 >=
			request->wait_until_ms;

	if (!queue_collect_candidates(request))
		return -1;
	return route_choose(core->candidates, core->nr_candidates, &query,
			    core->verdicts);
}

bool queue_other_server_free(struct request *request)
{
	int chosen = choose_server(request);

	return chosen >= 0 && !request->core->candidates[chosen].tried &&
	       strcmp(request->core->candidates[chosen].address,
		      request->attempt.address) != 0;
}

static void record_choice(struct request *request, int chosen)
{
	struct core *core = request->core;

	dec_choice(core->decisions, request->id, core->candidates,
		   core->verdicts, core->nr_candidates, chosen,
		   core_now_ms(core),
		   agent_answered_report_age_ms(core->agent));
}

/*
 * Requests tokens for the first candidate that was rejected for a lack of link
 * tokens only.
 */
static void wait_for_link(struct request *request)
{
	struct core *core = request->core;
	size_t i;

	for (i = 0; i < core->nr_candidates; i++) {
		if (core->verdicts[i] != ROUTE_NO_LINK_TOKENS)
			continue;
		link_request_tokens(request, core->candidates[i].region);
		return;
	}
}

/*
 * Callback of queue_serve(): fills in the attempt of a queued request. Returns
 * false if no server can take the request now.
 */
static bool take_slot_for_item(void *arg, struct queue_item *item)
{
	struct core *core = arg;
	struct request *request =
		(struct request *)((char *)item -
				   offsetof(struct request, item));
	struct attempt *attempt = &request->attempt;
	const struct route_candidate *candidate;
	int chosen = choose_server(request);

	if (chosen < 0) {
		if (core->nr_candidates)
			wait_for_link(request);
		return false;
	}
	candidate = &core->candidates[chosen];
	memset(attempt, 0, sizeof(*attempt));
	attempt->slot = agent_slot_take(core->agent, candidate->address);
	if (!attempt->slot)
		return false;
	snprintf(attempt->address, sizeof(attempt->address), "%s",
		 candidate->address);
	attempt->incarnation =
		agent_server(core->agent, candidate->address)->incarnation;
	if (candidate->group == ROUTE_OTHER_REGION)
		link_charge(request, candidate->region);
	record_choice(request, chosen);
	return true;
}

/*
 * Returns true if any server of the upstream has a free slot.
 */
static bool has_free_slot(struct core *core, const char *upstream)
{
	struct agent_server *server = NULL;
	uint32_t held, used;

	while ((server = agent_next_server(core->agent, server))) {
		if (strcmp(server->upstream, upstream) != 0)
			continue;
		agent_slot_count(core->agent, server->address, &held, &used);
		if (used < held)
			return true;
	}
	return false;
}

void queue_dispatch(struct core *core, struct upstream *upstream)
{
	struct queue_item *item;

	if (!queue_length(upstream->queue))
		return;
	while (queue_length(upstream->queue) &&
	       has_free_slot(core, upstream->name)) {
		item = queue_serve(upstream->queue, take_slot_for_item, core);
		if (!item)
			break;
		dispatch_begin(
			(struct request *)((char *)item -
					   offsetof(struct request, item)));
	}
	agent_set_queued_requests(core->agent, upstream->name,
				  (uint32_t)queue_length(upstream->queue));
}

/*
 * Estimates the time in which the held slots serve the whole queue once.
 */
static uint32_t retry_delay_ms(struct request *request)
{
	struct core *core = request->core;
	uint64_t latency_us = 0, slots = 0, nr_measured = 0, wait_ms;
	size_t i;

	queue_collect_candidates(request);
	for (i = 0; i < core->nr_candidates; i++) {
		slots += core->candidates[i].held_slots;
		latency_us += core->candidates[i].stats.latency_us;
		nr_measured += core->candidates[i].stats.latency_us != 0;
	}
	if (!nr_measured || !slots)
		return 1000;
	wait_ms = latency_us / nr_measured *
		  (queue_length(request->upstream->queue) + 1) / slots / 1000;
	if (wait_ms < RETRY_DELAY_MIN_MS)
		return RETRY_DELAY_MIN_MS;
	return wait_ms < RETRY_DELAY_MAX_MS ? (uint32_t)wait_ms :
					      RETRY_DELAY_MAX_MS;
}

/*
 * Refuses a request that was removed from a full queue. It is answered by
 * core_process_pending(): it may be part of a list that is being iterated.
 */
static void refuse_queue_full(struct queue_item *item)
{
	struct request *refused =
		(struct request *)((char *)item -
				   offsetof(struct request, item));
	struct core *core = refused->core;

	refused->step = STEP_REFUSED;
	refused->pending_refusal = REFUSAL_QUEUE_FULL;
	refused->wait_until_ms = retry_delay_ms(refused);
	refused->next_refused = core->refused;
	core->refused = refused;
}

static bool any_not_leaving(const struct core *core)
{
	size_t i;

	for (i = 0; i < core->nr_candidates; i++) {
		if (!core->candidates[i].leaving)
			return true;
	}
	return false;
}

void queue_begin(struct request *request)
{
	struct core *core = request->core;
	struct upstream *upstream = request->upstream;
	struct queue_item *refused;
	uint64_t until_ms;

	if (!queue_collect_candidates(request) || !any_not_leaving(core)) {
		finish_refusal(request, REFUSAL_NO_SERVER, 1000,
			       "the upstream has no backend server");
		return;
	}
	until_ms =
		core_now_ms(core) + request->policies.value[CFG_QUEUE_WAIT_MS];
	if (until_ms > request->deadline_ms)
		until_ms = request->deadline_ms;
	if (!request->idempotent &&
	    until_ms > request->claim_proposed_ms + CLAIM_DISPATCH_MS)
		until_ms = request->claim_proposed_ms + CLAIM_DISPATCH_MS;
	request->step = STEP_QUEUE;
	request->wait_until_ms = until_ms;
	refused = queue_push(upstream->queue, &request->item, request->customer,
			     request->weight,
			     request->policies.value[CFG_QUEUE_MAX]);
	upstream->dispatch_due = true;
	if (refused)
		refuse_queue_full(refused);
}

static bool has_verdict(const struct core *core, enum route_verdict verdict)
{
	size_t i;

	for (i = 0; i < core->nr_candidates; i++) {
		if (core->verdicts[i] == verdict)
			return true;
	}
	return false;
}

void queue_timeout(struct request *request)
{
	struct core *core = request->core;
	uint32_t wait_ms = retry_delay_ms(request);

	if (choose_server(request) < 0 && core->nr_candidates)
		record_choice(request, -1);
	if (core_now_ms(core) >= request->deadline_ms)
		finish_refusal(request, REFUSAL_DEADLINE, wait_ms,
			       "the deadline passed in the queue");
	else if (!core->nr_candidates)
		finish_refusal(request, REFUSAL_NO_SERVER, 1000,
			       "the upstream has no backend server");
	else if (has_verdict(core, ROUTE_NO_LINK_TOKENS))
		finish_refusal(request, REFUSAL_LINK_BUDGET, wait_ms,
			       "the links to other regions are used up");
	else if (has_verdict(core, ROUTE_NO_SLOT))
		finish_refusal(request, REFUSAL_QUEUE_TIMEOUT, wait_ms,
			       "no slot became free in time");
	else
		finish_refusal(request, REFUSAL_NO_SERVER, 1000,
			       "no backend server may be used");
}
