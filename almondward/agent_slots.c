#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void make_key(const char *address, uint64_t incarnation,
		     struct slot_key *key)
{
	/* The hash covers all bytes, also those after the address. */
	memset(key, 0, sizeof(*key));
	snprintf(key->address, sizeof(key->address), "%s", address);
	key->incarnation = incarnation;
}

static struct agent_slot *find_slot(struct agent *agent, const char *address,
				    uint64_t incarnation)
{
	struct agent_slot *slot;
	struct slot_key key;

	make_key(address, incarnation, &key);
	HASH_FIND(hh, agent->slots, &key, sizeof(key), slot);
	return slot;
}

static struct agent_slot *find_current(struct agent *agent, const char *address)
{
	struct agent_server *server = agent_server(agent, address);

	return server ? find_slot(agent, address, server->incarnation) : NULL;
}

/*
 * Sets the held slots after a change of target or used: a higher target applies
 * at once, a lower one as slots become free. Frees the entry if none is held.
 */
static void update_held(struct agent *agent, struct agent_slot *slot)
{
	slot->held = slot->target > slot->used ? slot->target : slot->used;
	if (slot->held)
		return;
	HASH_DEL(agent->slots, slot);
	free(slot);
}

static void set_target(struct agent *agent, const Aw__SlotGrant *from)
{
	struct agent_slot *slot =
		find_slot(agent, from->address, from->incarnation);

	if (!slot) {
		if (!from->slots)
			return;
		slot = calloc(1, sizeof(*slot));
		if (!slot)
			return;
		make_key(from->address, from->incarnation, &slot->key);
		HASH_ADD(hh, agent->slots, key, sizeof(slot->key), slot);
	}
	slot->target = from->slots;
	update_held(agent, slot);
}

void slots_apply(struct agent *agent, const Aw__Grant *grant)
{
	size_t i;

	for (i = 0; i < grant->n_slots; i++)
		set_target(agent, grant->slots[i]);
}

void slots_drop_all(struct agent *agent)
{
	struct agent_slot *slot, *next;

	HASH_ITER(hh, agent->slots, slot, next)
	{
		slot->target = 0;
		update_held(agent, slot);
	}
}

void slots_drop_server(struct agent *agent, const char *address,
		       uint64_t before_incarnation)
{
	struct agent_slot *slot, *next;

	HASH_ITER(hh, agent->slots, slot, next)
	{
		if (strcmp(slot->key.address, address) != 0 ||
		    slot->key.incarnation >= before_incarnation)
			continue;
		slot->target = 0;
		update_held(agent, slot);
	}
}

void slots_destroy(struct agent *agent)
{
	struct agent_slot *slot, *next;
	struct demand *demand, *next_demand;

	HASH_ITER(hh, agent->slots, slot, next)
	{
		HASH_DEL(agent->slots, slot);
		free(slot);
	}
	HASH_ITER(hh, agent->demands, demand, next_demand)
	{
		HASH_DEL(agent->demands, demand);
		free(demand);
	}
}

static struct demand *find_or_add_demand(struct agent *agent,
					 const char *upstream)
{
	struct demand *demand;

	HASH_FIND_STR(agent->demands, upstream, demand);
	if (demand)
		return demand;
	demand = calloc(1, sizeof(*demand));
	if (!demand)
		return NULL;
	snprintf(demand->upstream, sizeof(demand->upstream), "%s", upstream);
	HASH_ADD_STR(agent->demands, upstream, demand);
	return demand;
}

struct agent_slot *agent_slot_take(struct agent *agent, const char *address)
{
	struct agent_slot *slot = find_current(agent, address);
	struct demand *demand;

	/* While used exceeds the target, held equals used: none is free. */
	if (!slot || slot->used >= slot->target)
		return NULL;
	if (!slot->demand)
		slot->demand = find_or_add_demand(
			agent, agent_server(agent, address)->upstream);
	demand = slot->demand;
	if (!demand)
		return NULL;
	slot->used++;
	demand->used++;
	if (demand->used > demand->used_peak)
		demand->used_peak = demand->used;
	return slot;
}

void agent_slot_release(struct agent *agent, struct agent_slot *slot)
{
	bool was_above_target = slot->used > slot->target;

	slot->used--;
	slot->demand->used--;
	update_held(agent, slot);
	/* The leader waits for this slot to grant it to another instance. */
	if (was_above_target)
		agent->demand_report_wanted = true;
}

void agent_slot_count(struct agent *agent, const char *address, uint32_t *held,
		      uint32_t *used)
{
	struct agent_slot *slot = find_current(agent, address);

	*held = slot ? slot->held : 0;
	*used = slot ? slot->used : 0;
}

uint32_t count_unusable_slots(struct agent *agent, const char *upstream)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct agent_slot *slot, *next;
	struct agent_server *server;
	uint32_t unusable = 0;

	HASH_ITER(hh, agent->slots, slot, next)
	{
		server = agent_server(agent, slot->key.address);
		if (!server || strcmp(server->upstream, upstream) != 0 ||
		    slot->target <= slot->used)
			continue;
		if (server->stats.failing_until_ms > now_ms ||
		    server->stats.ejected_until_ms > now_ms)
			unusable += slot->target - slot->used;
	}
	return unusable;
}

void agent_set_queued_requests(struct agent *agent, const char *upstream,
			       uint32_t queued)
{
	struct demand *demand = find_or_add_demand(agent, upstream);

	if (!demand)
		return;
	if (queued > demand->queued)
		agent->demand_report_wanted = true;
	demand->queued = queued;
	if (queued > demand->queued_peak)
		demand->queued_peak = queued;
}
