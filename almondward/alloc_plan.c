#include "alloc_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * When there are fewer slots than instances, the ones that get a slot change
 * after this time.
 */
#define ROTATE_MS 5000

enum tier { TIER_ZONE, TIER_REGION, TIER_OTHER, TIER_COUNT };

struct plan_instance {
	const struct slot_holder *holder;
	uint64_t need;
	uint64_t quota;
	uint64_t placed;
};

struct plan_server {
	struct slot_server *server;
	uint32_t left;
};

struct plan {
	struct plan_instance *instances;
	size_t nr_instances;
	struct plan_server *servers;
	size_t nr_servers;
	uint32_t *given; /* by instance, then server */
	uint32_t *counted; /* likewise */
	uint64_t capacity;
};

static bool is_member(const struct slot_server *server,
		      const struct slot_upstream *up)
{
	return !strcmp(server->upstream, up->name);
}

static void release_plan(struct plan *plan)
{
	free(plan->instances);
	free(plan->servers);
	free(plan->given);
	free(plan->counted);
}

/*
 * A quarter more than the demand and one, so that the next request finds a
 * free slot at the instance.
 */
static uint64_t need_of(const struct slot_holder *holder,
			const struct slot_upstream *up, uint64_t now_ms)
{
	const struct slot_demand *demand = alloc_find_demand(holder, up->name);
	uint64_t now = demand ? alloc_demand_now(demand, now_ms) : 0;

	if (!now)
		return holder->leaving ? 0 : 1;
	return holder->leaving ? now : now + now / 4 + 1;
}

static uint32_t pair_counted(const struct slot_holder *holder,
			     const struct slot_server *server)
{
	const struct slot_pair *pair = alloc_find_pair(holder, server);

	return pair ? alloc_pair_counted(pair) : 0;
}

static enum alloc_error collect_instances(struct plan *plan,
					  const struct alloc_slots *slots,
					  const struct slot_upstream *up)
{
	uint64_t now_ms = clk_now_ms(slots->clk);
	const struct slot_holder *holder;

	plan->instances = calloc(HASH_COUNT(slots->holders) + 1,
				 sizeof(*plan->instances));
	if (!plan->instances)
		return ALLOC_ERR_MEMORY;
	for (holder = slots->holders; holder; holder = holder->hh.next) {
		struct plan_instance *to = &plan->instances[plan->nr_instances];

		if (!alloc_holder_active(holder, now_ms))
			continue;
		to->holder = holder;
		to->need = need_of(holder, up, now_ms);
		plan->nr_instances++;
	}
	return ALLOC_OK;
}

static enum alloc_error collect_servers(struct plan *plan,
					const struct alloc_slots *slots,
					const struct slot_upstream *up)
{
	uint64_t now_ms = clk_now_ms(slots->clk), silent = 0;
	const struct slot_holder *holder;
	struct slot_server *server;
	size_t i;

	plan->servers =
		calloc(HASH_COUNT(slots->servers) + 1, sizeof(*plan->servers));
	if (!plan->servers)
		return ALLOC_ERR_MEMORY;
	for (server = slots->servers; server; server = server->hh.next) {
		struct plan_server *to = &plan->servers[plan->nr_servers];
		uint64_t taken = 0;

		if (!is_member(server, up))
			continue;
		for (holder = slots->holders; holder; holder = holder->hh.next)
			if (!alloc_holder_active(holder, now_ms))
				taken += pair_counted(holder, server);
		to->server = server;
		to->left = alloc_server_cap(slots, server);
		to->left = taken < to->left ? to->left - (uint32_t)taken : 0;
		silent += taken;
		plan->nr_servers++;
	}
	for (i = 0; i < plan->nr_servers; i++)
		plan->capacity += plan->servers[i].left;
	if (up->connections_max &&
	    plan->capacity + silent > up->connections_max)
		plan->capacity = up->connections_max > silent ?
					 up->connections_max - silent :
					 0;
	return ALLOC_OK;
}

static enum alloc_error collect_counted(struct plan *plan)
{
	size_t cells = plan->nr_instances * plan->nr_servers + 1, i, s;

	plan->given = calloc(cells, sizeof(*plan->given));
	plan->counted = calloc(cells, sizeof(*plan->counted));
	if (!plan->given || !plan->counted)
		return ALLOC_ERR_MEMORY;
	for (i = 0; i < plan->nr_instances; i++)
		for (s = 0; s < plan->nr_servers; s++)
			plan->counted[i * plan->nr_servers + s] =
				pair_counted(plan->instances[i].holder,
					     plan->servers[s].server);
	return ALLOC_OK;
}

/*
 * Fewer slots than instances: one each in an order that changes over time,
 * those with a demand first.
 */
static void quota_by_turn(struct plan *plan, uint64_t now_ms)
{
	size_t start = (size_t)(now_ms / ROTATE_MS % plan->nr_instances), i;
	uint64_t left = plan->capacity;
	int idle;

	for (idle = 0; idle < 2; idle++)
		for (i = 0; i < plan->nr_instances && left; i++) {
			struct plan_instance *to =
				&plan->instances[(start + i) %
						 plan->nr_instances];

			if ((to->need <= 1) != (idle == 1) || !to->need)
				continue;
			to->quota = 1;
			left--;
		}
}

/*
 * One for each instance that needs any, the rest in proportion to the need.
 */
static void quota_by_need(struct plan *plan, uint64_t total)
{
	uint64_t nr = 0, extra, left;
	size_t i;

	for (i = 0; i < plan->nr_instances; i++)
		nr += plan->instances[i].need ? 1 : 0;
	extra = plan->capacity - nr;
	left = extra;
	for (i = 0; i < plan->nr_instances; i++) {
		struct plan_instance *to = &plan->instances[i];

		if (!to->need)
			continue;
		to->quota = 1 + extra * (to->need - 1) / (total - nr);
		left -= to->quota - 1;
	}
	for (i = 0; i < plan->nr_instances && left; i++)
		if (plan->instances[i].quota < plan->instances[i].need) {
			plan->instances[i].quota++;
			left--;
		}
}

/*
 * Enough for all: half of what nobody needs is spread, the other half stays at
 * the leader, so that a sudden demand is met without taking slots back.
 */
static void quota_with_spare(struct plan *plan, uint64_t total)
{
	uint64_t spare = (plan->capacity - total) / 2 / plan->nr_instances;
	size_t i;

	for (i = 0; i < plan->nr_instances; i++) {
		struct plan_instance *to = &plan->instances[i];

		to->quota = to->need;
		if (!to->holder->leaving)
			to->quota += spare;
	}
}

static void set_quotas(struct plan *plan, uint64_t now_ms)
{
	uint64_t total = 0, nr = 0;
	size_t i;

	if (!plan->nr_instances)
		return;
	for (i = 0; i < plan->nr_instances; i++) {
		total += plan->instances[i].need;
		nr += plan->instances[i].need ? 1 : 0;
	}
	if (total <= plan->capacity)
		quota_with_spare(plan, total);
	else if (plan->capacity < nr)
		quota_by_turn(plan, now_ms);
	else
		quota_by_need(plan, total);
}

static enum tier tier_of(const struct slot_holder *holder,
			 const struct slot_server *server)
{
	if (!strcmp(holder->zone, server->zone))
		return TIER_ZONE;
	if (*server->region && !strcmp(holder->region, server->region))
		return TIER_REGION;
	return TIER_OTHER;
}

/*
 * Slots that an instance may have on one server while others can be had: three
 * quarters, so that the loss of a server does not take all of them. With fewer
 * than four, being near counts more.
 */
static uint32_t most_on_one_server(const struct plan_instance *instance)
{
	return (uint32_t)(instance->quota - instance->quota / 4);
}

/*
 * Prefers slots that the instance has, then the server with most slots left.
 */
static bool place_one(struct plan *plan, size_t instance, enum tier tier,
		      uint32_t most)
{
	struct plan_instance *to = &plan->instances[instance];
	uint32_t *given = plan->given + instance * plan->nr_servers;
	const uint32_t *counted = plan->counted + instance * plan->nr_servers;
	size_t best = plan->nr_servers, s;
	bool best_kept = false;

	for (s = 0; s < plan->nr_servers; s++) {
		bool kept = given[s] < counted[s];

		if (!plan->servers[s].left || given[s] >= most ||
		    tier_of(to->holder, plan->servers[s].server) != tier)
			continue;
		if (best < plan->nr_servers && kept < best_kept)
			continue;
		if (best < plan->nr_servers && kept == best_kept &&
		    plan->servers[s].left <= plan->servers[best].left)
			continue;
		best = s;
		best_kept = kept;
	}
	if (best == plan->nr_servers)
		return false;
	given[best]++;
	plan->servers[best].left--;
	to->placed++;
	return true;
}

/*
 * One slot for each instance that lacks some; false when there was none.
 */
static bool place_round(struct plan *plan, enum tier tier, bool spread)
{
	bool placed = false;
	size_t i;

	for (i = 0; i < plan->nr_instances; i++) {
		const struct plan_instance *to = &plan->instances[i];
		uint32_t most = spread ? most_on_one_server(to) : UINT32_MAX;

		if (to->placed < to->quota && place_one(plan, i, tier, most))
			placed = true;
	}
	return placed;
}

/*
 * Near servers first, one slot at a time so that instances of a zone share it.
 * What cannot be spread over servers is placed regardless.
 */
static void place(struct plan *plan, bool cross_region)
{
	int last = cross_region ? TIER_OTHER : TIER_REGION, tier, pass;

	for (pass = 0; pass < 2; pass++)
		for (tier = TIER_ZONE; tier <= last; tier++)
			while (place_round(plan, (enum tier)tier, pass == 0))
				;
}

enum alloc_error alloc_plan(struct alloc_slots *slots,
			    const struct slot_upstream *up,
			    const struct slot_holder *for_holder)
{
	enum alloc_error err = ALLOC_ERR_MEMORY;
	struct plan plan = { 0 };
	size_t i, s;

	if (collect_instances(&plan, slots, up) ||
	    collect_servers(&plan, slots, up) || collect_counted(&plan))
		goto out;
	set_quotas(&plan, clk_now_ms(slots->clk));
	place(&plan, up->cross_region);
	for (i = 0; i < plan.nr_instances; i++) {
		if (plan.instances[i].holder != for_holder)
			continue;
		for (s = 0; s < plan.nr_servers; s++)
			plan.servers[s].server->wanted =
				plan.given[i * plan.nr_servers + s];
	}
	err = ALLOC_OK;
out:
	release_plan(&plan);
	return err;
}
