#include "entry_internal.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 5000

static bool grow(struct core *core)
{
	size_t size = core->size_candidates ? 2 * core->size_candidates : 64;
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
	core->size_candidates = size;
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

static void fill(struct request *request, struct agent_server *server,
		 struct route_candidate *to)
{
	struct core *core = request->core;
	const struct view *view = agent_view(core->agent);
	const char *own_region = link_own_region(core);
	const char *region =
		cfg_region_of_zone(view_config(view), server->zone);

	memset(to, 0, sizeof(*to));
	to->address = server->address;
	to->zone = server->zone;
	to->region = region ? region : "";
	if (!strcmp(server->zone, core->zone))
		to->group = ROUTE_SAME_ZONE;
	else if (*own_region && !strcmp(own_region, to->region))
		to->group = ROUTE_SAME_REGION;
	else
		to->group = ROUTE_OTHER_REGION;
	to->leaving = server->leaving;
	to->silent = server->silent;
	to->tried = was_tried(request, server->address);
	to->drained_permille = view_drained_permille(view, server->address,
						     server->zone, to->region);
	agent_slot_count(core->agent, server->address, &to->held_slots,
			 &to->used_slots);
	to->stats = server->stats;
	if (to->group == ROUTE_OTHER_REGION &&
	    request->policies.value[CFG_CROSS_REGION])
		to->link_ok = link_available(request, to->region);
}

bool queue_candidates(struct request *request)
{
	struct core *core = request->core;
	struct agent_server *server = NULL;

	core->nr_candidates = 0;
	while ((server = agent_next_server(core->agent, server))) {
		if (strcmp(server->upstream, request->upstream->name) != 0)
			continue;
		if (core->nr_candidates == core->size_candidates &&
		    !grow(core)) {
			core->nr_candidates = 0;
			return false;
		}
		fill(request, server, &core->candidates[core->nr_candidates++]);
	}
	return core->nr_candidates != 0;
}

static int choose(struct request *request)
{
	struct core *core = request->core;
	struct route_question question = {
		.now_ms = core_now_ms(core),
		.cross_region = request->policies.value[CFG_CROSS_REGION] != 0,
		.retry = request->nr_attempts != 0,
		.draw_permille = request->draw_permille,
	};

	question.last_resort =
		request->step == STEP_QUEUE &&
		question.now_ms + request->policies.value[CFG_QUEUE_WAIT_MS] /
					  2 >=
			request->wait_until_ms;

	if (!queue_candidates(request))
		return -1;
	return route_choose(core->candidates, core->nr_candidates, &question,
			    core->verdicts);
}

bool queue_has_other(struct request *request)
{
	int chosen = choose(request);

	return chosen >= 0 && !request->core->candidates[chosen].tried &&
	       strcmp(request->core->candidates[chosen].address,
		      request->attempt.address) != 0;
}

static void note_choice(struct request *request, int chosen)
{
	struct core *core = request->core;

	dec_choice(core->decisions, request->id, core->candidates,
		   core->verdicts, core->nr_candidates, chosen,
		   core_now_ms(core),
		   agent_answered_report_age_ms(core->agent));
}

/*
 * Asks for the tokens of the nearest link that keeps the request waiting.
 */
static void wait_for_link(struct request *request)
{
	struct core *core = request->core;
	size_t i;

	for (i = 0; i < core->nr_candidates; i++) {
		if (core->verdicts[i] != ROUTE_NO_LINK_TOKENS)
			continue;
		link_wait(request, core->candidates[i].region);
		return;
	}
}

static bool try_item(void *arg, struct queue_item *item)
{
	struct core *core = arg;
	struct request *request =
		(struct request *)((char *)item -
				   offsetof(struct request, item));
	struct attempt *attempt = &request->attempt;
	const struct route_candidate *candidate;
	int chosen = choose(request);

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
	note_choice(request, chosen);
	return true;
}

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

void queue_pump(struct core *core, struct upstream *upstream)
{
	struct queue_item *item;

	if (!queue_length(upstream->queue))
		return;
	while (queue_length(upstream->queue) &&
	       has_free_slot(core, upstream->name)) {
		item = queue_serve(upstream->queue, try_item, core);
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
 * Time for the queue to be served once with the slots that are held.
 */
static uint32_t time_to_come_back_ms(struct request *request)
{
	struct core *core = request->core;
	uint64_t latency_us = 0, slots = 0, measured = 0, wait_ms;
	size_t i;

	queue_candidates(request);
	for (i = 0; i < core->nr_candidates; i++) {
		slots += core->candidates[i].held_slots;
		latency_us += core->candidates[i].stats.latency_us;
		measured += core->candidates[i].stats.latency_us != 0;
	}
	if (!measured || !slots)
		return 1000;
	wait_ms = latency_us / measured *
		  (queue_length(request->upstream->queue) + 1) / slots / 1000;
	if (wait_ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return wait_ms < RETRY_MAX_MS ? (uint32_t)wait_ms : RETRY_MAX_MS;
}

/*
 * The answer is given at the end of the turn: the victim may be part of a list
 * that is being walked.
 */
static void refuse_full(struct queue_item *item)
{
	struct request *victim =
		(struct request *)((char *)item -
				   offsetof(struct request, item));
	struct core *core = victim->core;

	victim->step = STEP_REFUSED;
	victim->failure = REFUSAL_QUEUE_FULL;
	victim->wait_until_ms = time_to_come_back_ms(victim);
	victim->next_refused = core->refused;
	core->refused = victim;
}

static bool any_staying(const struct core *core)
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

	if (!queue_candidates(request) || !any_staying(core)) {
		finish_refusal(request, REFUSAL_NO_SERVER, 1000,
			       "the upstream has no backend server");
		return;
	}
	until_ms =
		core_now_ms(core) + request->policies.value[CFG_QUEUE_WAIT_MS];
	if (until_ms > request->deadline_ms)
		until_ms = request->deadline_ms;
	if (!request->idempotent &&
	    until_ms > request->claim_asked_ms + CLAIM_DISPATCH_MS)
		until_ms = request->claim_asked_ms + CLAIM_DISPATCH_MS;
	request->step = STEP_QUEUE;
	request->wait_until_ms = until_ms;
	refused = queue_push(upstream->queue, &request->item, request->customer,
			     request->weight,
			     request->policies.value[CFG_QUEUE_MAX]);
	upstream->pump = true;
	if (refused)
		refuse_full(refused);
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
	uint32_t wait_ms = time_to_come_back_ms(request);

	if (choose(request) < 0 && core->nr_candidates)
		note_choice(request, -1);
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
