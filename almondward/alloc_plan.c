#include "alloc_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * When there are fewer slots than instances, they rotate among the instances
 * with this period.
 */
#define ROTATE_MS 5000

/* Distance from an instance to a server. */
enum tier { TIER_ZONE, TIER_REGION, TIER_OTHER, TIER_COUNT };

struct plan_instance {
	const struct slot_holder *holder;
	uint64_t wanted; /* slots that it could use */
	uint64_t quota; /* slots that it may get */
	uint64_t assigned; /* slots that it has got on all servers */
};

struct plan_server {
	struct slot_server *server;
	uint32_t unassigned; /* leasable slots that are left */
};

struct plan {
	struct plan_instance *instances;
	size_t nr_instances;
	struct plan_server *servers;
	size_t nr_servers;
	uint32_t *assigned; /* by instance, then server */
	uint32_t *outstanding; /* by instance, then server */
	uint64_t capacity; /* slots that can be assigned in total */
};

static bool belongs_to(const struct slot_server *server,
		       const struct slot_upstream *up)
{
	return !strcmp(server->upstream, up->name);
}

static void free_plan(struct plan *plan)
{
	free(plan->instances);
	free(plan->servers);
	free(plan->assigned);
	free(plan->outstanding);
}

/*
 * Returns a quarter more than the demand, plus one, so that the next request
 * finds a free slot at the instance.
 */
static uint64_t wanted_slots(const struct slot_holder *holder,
			     const struct slot_upstream *up, uint64_t now_ms)
{
	const struct slot_demand *demand = alloc_find_demand(holder, up->name);
	uint64_t now = demand ? alloc_current_demand(demand, now_ms) : 0;

	if (!now)
		return holder->leaving ? 0 : 1;
	return holder->leaving ? now : now + now / 4 + 1;
}

static uint32_t lease_outstanding(const struct slot_holder *holder,
				  const struct slot_server *server)
{
	const struct slot_lease *lease = alloc_find_lease(holder, server);

	return lease ? alloc_lease_outstanding(lease) : 0;
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
		to->wanted = wanted_slots(holder, up, now_ms);
		plan->nr_instances++;
	}
	return ALLOC_OK;
}

static enum alloc_error collect_servers(struct plan *plan,
					const struct alloc_slots *slots,
					const struct slot_upstream *up)
{
	uint64_t now_ms = clk_now_ms(slots->clk), held_by_silent = 0;
	const struct slot_holder *holder;
	struct slot_server *server;
	size_t i;

	plan->servers =
		calloc(HASH_COUNT(slots->servers) + 1, sizeof(*plan->servers));
	if (!plan->servers)
		return ALLOC_ERR_MEMORY;
	for (server = slots->servers; server; server = server->hh.next) {
		struct plan_server *to = &plan->servers[plan->nr_servers];
		uint64_t held = 0;

		if (!belongs_to(server, up))
			continue;
		for (holder = slots->holders; holder; holder = holder->hh.next)
			if (!alloc_holder_active(holder, now_ms))
				held += lease_outstanding(holder, server);
		to->server = server;
		to->unassigned = alloc_server_leasable(slots, server);
		to->unassigned = held < to->unassigned ?
					 to->unassigned - (uint32_t)held :
					 0;
		held_by_silent += held;
		plan->nr_servers++;
	}
	for (i = 0; i < plan->nr_servers; i++)
		plan->capacity += plan->servers[i].unassigned;
	if (up->connections_max &&
	    plan->capacity + held_by_silent > up->connections_max)
		plan->capacity = up->connections_max > held_by_silent ?
					 up->connections_max - held_by_silent :
					 0;
	return ALLOC_OK;
}

static enum alloc_error collect_outstanding(struct plan *plan)
{
	size_t nr_pairs = plan->nr_instances * plan->nr_servers + 1, i, s;

	plan->assigned = calloc(nr_pairs, sizeof(*plan->assigned));
	plan->outstanding = calloc(nr_pairs, sizeof(*plan->outstanding));
	if (!plan->assigned || !plan->outstanding)
		return ALLOC_ERR_MEMORY;
	for (i = 0; i < plan->nr_instances; i++)
		for (s = 0; s < plan->nr_servers; s++)
			plan->outstanding[i * plan->nr_servers + s] =
				lease_outstanding(plan->instances[i].holder,
						  plan->servers[s].server);
	return ALLOC_OK;
}

/*
 * For fewer slots than instances: gives one slot each to as many instances as
 * possible, in an order that rotates over time, those with a demand first.
 */
static void quota_by_rotation(struct plan *plan, uint64_t now_ms)
{
	size_t start = (size_t)(now_ms / ROTATE_MS % plan->nr_instances), i;
	uint64_t left = plan->capacity;
	int idle;

	for (idle = 0; idle < 2; idle++)
		for (i = 0; i < plan->nr_instances && left; i++) {
			struct plan_instance *to =
				&plan->instances[(start + i) %
						 plan->nr_instances];

			if ((to->wanted <= 1) != (idle == 1) || !to->wanted)
				continue;
			to->quota = 1;
			left--;
		}
}

/*
 * Gives one slot to each instance that wants any, and distributes the rest in
 * proportion to the wanted slots.
 */
static void quota_by_demand(struct plan *plan, uint64_t total)
{
	uint64_t nr = 0, extra, left;
	size_t i;

	for (i = 0; i < plan->nr_instances; i++)
		nr += plan->instances[i].wanted ? 1 : 0;
	extra = plan->capacity - nr;
	left = extra;
	for (i = 0; i < plan->nr_instances; i++) {
		struct plan_instance *to = &plan->instances[i];

		if (!to->wanted)
			continue;
		to->quota = 1 + extra * (to->wanted - 1) / (total - nr);
		left -= to->quota - 1;
	}
	for (i = 0; i < plan->nr_instances && left; i++)
		if (plan->instances[i].quota < plan->instances[i].wanted) {
			plan->instances[i].quota++;
			left--;
		}
}

/*
 * For enough slots for all: distributes half of the surplus evenly. The other
 * half stays with the leader, so that it can meet a sudden demand without
 * revoking slots.
 */
static void quota_with_spare(struct plan *plan, uint64_t total)
{
	uint64_t spare = (plan->capacity - total) / 2 / plan->nr_instances;
	size_t i;

	for (i = 0; i < plan->nr_instances; i++) {
		struct plan_instance *to = &plan->instances[i];

		to->quota = to->wanted;
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
		total += plan->instances[i].wanted;
		nr += plan->instances[i].wanted ? 1 : 0;
	}
	if (total <= plan->capacity)
		quota_with_spare(plan, total);
	else if (plan->capacity < nr)
		quota_by_rotation(plan, now_ms);
	else
		quota_by_demand(plan, total);
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
 * Returns the number of slots that an instance may have on one server while
 * others have free slots: three quarters of its quota, so that the loss of a
 * server does not take all of them. With a quota of less than four the limit is
 * the whole quota, since distance matters more.
 */
static uint32_t max_on_one_server(const struct plan_instance *instance)
{
	return (uint32_t)(instance->quota - instance->quota / 4);
}

/*
 * Assigns one slot of a server in the tier to the instance. Prefers servers of
 * which it already holds more slots than assigned so far, then the server with
 * the most unassigned slots. Returns false if no server qualifies.
 */
static bool assign_one(struct plan *plan, size_t instance, enum tier tier,
		       uint32_t max_slots)
{
	struct plan_instance *to = &plan->instances[instance];
	uint32_t *assigned = plan->assigned + instance * plan->nr_servers;
	const uint32_t *outstanding =
		plan->outstanding + instance * plan->nr_servers;
	size_t best = plan->nr_servers, s;
	bool best_already_held = false;

	for (s = 0; s < plan->nr_servers; s++) {
		bool already_held = assigned[s] < outstanding[s];

		if (!plan->servers[s].unassigned || assigned[s] >= max_slots ||
		    tier_of(to->holder, plan->servers[s].server) != tier)
			continue;
		if (best < plan->nr_servers && already_held < best_already_held)
			continue;
		if (best < plan->nr_servers &&
		    already_held == best_already_held &&
		    plan->servers[s].unassigned <=
			    plan->servers[best].unassigned)
			continue;
		best = s;
		best_already_held = already_held;
	}
	if (best == plan->nr_servers)
		return false;
	assigned[best]++;
	plan->servers[best].unassigned--;
	to->assigned++;
	return true;
}

/*
 * Assigns one slot to each instance that is below its quota. Returns false if
 * none could be assigned.
 */
static bool assign_round(struct plan *plan, enum tier tier, bool spread)
{
	bool any = false;
	size_t i;

	for (i = 0; i < plan->nr_instances; i++) {
		const struct plan_instance *to = &plan->instances[i];
		uint32_t max_slots = spread ? max_on_one_server(to) :
					      UINT32_MAX;

		if (to->assigned < to->quota &&
		    assign_one(plan, i, tier, max_slots))
			any = true;
	}
	return any;
}

/*
 * Assigns slots of near servers first, and one slot per instance and round, so
 * that the instances of a zone share its servers. The second pass lifts the
 * limit per server for quotas that the first one could not fill.
 */
static void assign_all(struct plan *plan, bool cross_region)
{
	int last_tier = cross_region ? TIER_OTHER : TIER_REGION, tier, pass;

	for (pass = 0; pass < 2; pass++)
		for (tier = TIER_ZONE; tier <= last_tier; tier++)
			while (assign_round(plan, (enum tier)tier, pass == 0))
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
	    collect_servers(&plan, slots, up) || collect_outstanding(&plan))
		goto out;
	set_quotas(&plan, clk_now_ms(slots->clk));
	assign_all(&plan, up->cross_region);
	for (i = 0; i < plan.nr_instances; i++) {
		if (plan.instances[i].holder != for_holder)
			continue;
		for (s = 0; s < plan.nr_servers; s++)
			plan.servers[s].server->planned =
				plan.assigned[i * plan.nr_servers + s];
	}
	err = ALLOC_OK;
out:
	free_plan(&plan);
	return err;
}
