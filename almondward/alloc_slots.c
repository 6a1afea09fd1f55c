#include "alloc_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A peak of demand decays over this time, so that a short gap between requests
 * does not move slots to other instances.
 */
#define DEMAND_DECAY_MS 2000

struct alloc_slots *alloc_slots_create(struct clk *clk, uint64_t term)
{
	struct alloc_slots *slots = calloc(1, sizeof(*slots));

	if (!slots)
		return NULL;
	slots->clk = clk;
	slots->term = term;
	slots->created_ms = clk_now_ms(clk);
	return slots;
}

static void drop_demand(struct slot_holder *holder, struct slot_demand *demand)
{
	HASH_DEL(holder->demands, demand);
	free(demand);
}

static void drop_lease(struct slot_holder *holder, struct slot_lease *lease)
{
	HASH_DEL(holder->leases, lease);
	free(lease);
}

static void drop_holder(struct alloc_slots *slots, struct slot_holder *holder)
{
	struct slot_demand *demand;
	struct slot_lease *lease;

	while ((demand = holder->demands))
		drop_demand(holder, demand);
	while ((lease = holder->leases))
		drop_lease(holder, lease);
	HASH_DEL(slots->holders, holder);
	free(holder);
}

static void drop_server(struct alloc_slots *slots, struct slot_server *server)
{
	HASH_DEL(slots->servers, server);
	free(server);
}

static void drop_upstream(struct alloc_slots *slots, struct slot_upstream *up)
{
	HASH_DEL(slots->upstreams, up);
	free(up);
}

void alloc_slots_destroy(struct alloc_slots *slots)
{
	struct slot_holder *holder;
	struct slot_server *server;
	struct slot_upstream *up;

	if (!slots)
		return;
	while ((holder = slots->holders))
		drop_holder(slots, holder);
	while ((server = slots->servers))
		drop_server(slots, server);
	while ((up = slots->upstreams))
		drop_upstream(slots, up);
	free(slots->grants);
	free(slots);
}

void alloc_slots_set_deadline(struct alloc_slots *slots, uint64_t deadline_ms)
{
	slots->deadline_ms = deadline_ms;
}

static enum alloc_error set_server(struct alloc_slots *slots,
				   const struct alloc_server *from)
{
	uint64_t now_ms = clk_now_ms(slots->clk);
	struct slot_server *server;

	HASH_FIND_STR(slots->servers, from->address, server);
	if (!server) {
		server = calloc(1, sizeof(*server));
		if (!server)
			return ALLOC_ERR_MEMORY;
		snprintf(server->address, sizeof(server->address), "%s",
			 from->address);
		HASH_ADD_STR(slots->servers, address, server);
		server->incarnation = from->incarnation;
		server->first_seen_ms = now_ms;
		server->skip_slow_start =
			now_ms < slots->created_ms + FLEET_LEASE_MS;
	} else if (server->incarnation != from->incarnation) {
		server->incarnation = from->incarnation;
		server->first_seen_ms = now_ms;
		server->skip_slow_start = false;
	}
	snprintf(server->upstream, sizeof(server->upstream), "%s",
		 from->upstream);
	snprintf(server->zone, sizeof(server->zone), "%s", from->zone);
	snprintf(server->region, sizeof(server->region), "%s", from->region);
	server->slots = from->slots;
	server->usable = from->usable < from->slots ? from->usable :
						      from->slots;
	server->marked = true;
	return ALLOC_OK;
}

enum alloc_error alloc_slots_set_servers(struct alloc_slots *slots,
					 const struct alloc_server *servers,
					 size_t nr)
{
	struct slot_server *server, *next;
	size_t i;

	for (i = 0; i < nr; i++)
		if (set_server(slots, &servers[i]))
			return ALLOC_ERR_MEMORY;
	HASH_ITER(hh, slots->servers, server, next)
	{
		if (!server->marked)
			drop_server(slots, server);
		else
			server->marked = false;
	}
	return ALLOC_OK;
}

enum alloc_error alloc_slots_set_upstreams(struct alloc_slots *slots,
					   const struct alloc_upstream *ups,
					   size_t nr)
{
	struct slot_upstream *up, *next;
	size_t i;

	for (i = 0; i < nr; i++) {
		HASH_FIND_STR(slots->upstreams, ups[i].name, up);
		if (!up) {
			up = calloc(1, sizeof(*up));
			if (!up)
				return ALLOC_ERR_MEMORY;
			snprintf(up->name, sizeof(up->name), "%s", ups[i].name);
			HASH_ADD_STR(slots->upstreams, name, up);
		}
		up->connections_max = ups[i].connections_max;
		up->cross_region = ups[i].cross_region;
		up->marked = true;
	}
	HASH_ITER(hh, slots->upstreams, up, next)
	{
		if (!up->marked)
			drop_upstream(slots, up);
		else
			up->marked = false;
	}
	return ALLOC_OK;
}

uint32_t alloc_lease_outstanding(const struct slot_lease *lease)
{
	uint32_t outstanding = lease->held;

	/* The targets decrease along the list: the first is the highest. */
	if (lease->nr_targets && lease->targets[0].slots > outstanding)
		outstanding = lease->targets[0].slots;
	return outstanding;
}

/*
 * Drops the targets of Grants up to the sequence, which the instance has
 * reported as applied.
 */
static void drop_acknowledged_targets(struct slot_lease *lease,
				      uint64_t sequence)
{
	uint32_t nr = 0;

	while (nr < lease->nr_targets &&
	       lease->targets[nr].sequence <= sequence)
		nr++;
	lease->nr_targets -= nr;
	memmove(lease->targets, lease->targets + nr,
		lease->nr_targets * sizeof(lease->targets[0]));
}

/*
 * Appends a target. Earlier targets that are not higher are dropped: they do
 * not change the maximum, and they are acknowledged before this one. If the
 * list is full, the last entry stands for both targets: it keeps its number,
 * which is the higher one, and takes the later sequence.
 */
static void push_target(struct slot_lease *lease, uint64_t sequence,
			uint32_t target)
{
	while (lease->nr_targets &&
	       lease->targets[lease->nr_targets - 1].slots <= target)
		lease->nr_targets--;
	if (lease->nr_targets == SLOT_TARGETS_MAX) {
		lease->targets[lease->nr_targets - 1].sequence = sequence;
		return;
	}
	lease->targets[lease->nr_targets].sequence = sequence;
	lease->targets[lease->nr_targets].slots = target;
	lease->nr_targets++;
}

static void set_lease_key(struct slot_lease_key *key, const char *address,
			  uint64_t incarnation)
{
	memset(key, 0, sizeof(*key));
	key->incarnation = incarnation;
	snprintf(key->address, sizeof(key->address), "%s", address);
}

struct slot_lease *alloc_find_lease(const struct slot_holder *holder,
				    const struct slot_server *server)
{
	struct slot_lease_key key;
	struct slot_lease *lease;

	set_lease_key(&key, server->address, server->incarnation);
	HASH_FIND(hh, holder->leases, &key, sizeof(key), lease);
	return lease;
}

static struct slot_lease *get_lease(struct slot_holder *holder,
				    const char *address, uint64_t incarnation)
{
	struct slot_lease_key key;
	struct slot_lease *lease;

	set_lease_key(&key, address, incarnation);
	HASH_FIND(hh, holder->leases, &key, sizeof(key), lease);
	if (lease)
		return lease;
	lease = calloc(1, sizeof(*lease));
	if (!lease)
		return NULL;
	lease->key = key;
	HASH_ADD(hh, holder->leases, key, sizeof(lease->key), lease);
	return lease;
}

static struct slot_holder *get_holder(struct alloc_slots *slots,
				      const Aw__Report *report)
{
	struct slot_holder_key key = { .incarnation =
					       report->instance_incarnation };
	struct slot_holder *holder, *other;

	snprintf(key.name, sizeof(key.name), "%s", report->instance->name);
	HASH_FIND(hh, slots->holders, &key, sizeof(key), holder);
	if (holder)
		return holder;
	for (other = slots->holders; other; other = other->hh.next)
		if (!strcmp(other->key.name, key.name))
			other->replaced = true;
	holder = calloc(1, sizeof(*holder));
	if (!holder)
		return NULL;
	holder->key = key;
	HASH_ADD(hh, slots->holders, key, sizeof(holder->key), holder);
	return holder;
}

static uint64_t decayed_peak(const struct slot_demand *demand, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - demand->peak_ms;

	if (age_ms >= DEMAND_DECAY_MS)
		return 0;
	return ((uint64_t)demand->peak * (DEMAND_DECAY_MS - age_ms) +
		DEMAND_DECAY_MS - 1) /
	       DEMAND_DECAY_MS;
}

uint32_t alloc_current_demand(const struct slot_demand *demand, uint64_t now_ms)
{
	uint64_t peak = decayed_peak(demand, now_ms);

	return demand->reported > peak ? demand->reported : (uint32_t)peak;
}

struct slot_demand *alloc_find_demand(const struct slot_holder *holder,
				      const char *upstream)
{
	struct slot_demand *demand;

	HASH_FIND_STR(holder->demands, upstream, demand);
	return demand;
}

static enum alloc_error record_demands(struct slot_holder *holder,
				       const Aw__Report *report,
				       uint64_t now_ms)
{
	struct slot_demand *demand, *next;
	size_t i;

	HASH_ITER(hh, holder->demands, demand, next)
	{
		demand->reported = 0;
		demand->in_use = 0;
		if (now_ms - demand->peak_ms > TOMBSTONE_MS)
			drop_demand(holder, demand);
	}
	for (i = 0; i < report->n_demands; i++) {
		const Aw__SlotDemand *from = report->demands[i];
		uint64_t sum = (uint64_t)from->in_use + from->queued;

		demand = alloc_find_demand(holder, from->upstream);
		if (!demand) {
			demand = calloc(1, sizeof(*demand));
			if (!demand)
				return ALLOC_ERR_MEMORY;
			snprintf(demand->upstream, sizeof(demand->upstream),
				 "%s", from->upstream);
			HASH_ADD_STR(holder->demands, upstream, demand);
		}
		demand->reported = sum > ALLOC_DEMAND_MAX ? ALLOC_DEMAND_MAX :
							    (uint32_t)sum;
		demand->in_use = from->in_use;
		if (demand->reported >= decayed_peak(demand, now_ms)) {
			demand->peak = demand->reported;
			demand->peak_ms = now_ms;
		}
	}
	return ALLOC_OK;
}

static enum alloc_error record_slots(struct alloc_slots *slots,
				     struct slot_holder *holder,
				     const Aw__Report *report)
{
	struct slot_lease *lease, *next;
	size_t i;

	HASH_ITER(hh, holder->leases, lease, next)
	{
		lease->held = 0;
		if (report->grant_term == slots->term)
			drop_acknowledged_targets(lease,
						  report->grant_sequence);
	}
	for (i = 0; i < report->n_slots; i++) {
		const Aw__SlotReport *from = report->slots[i];

		if (!from->held)
			continue;
		lease = get_lease(holder, from->address, from->incarnation);
		if (!lease)
			return ALLOC_ERR_MEMORY;
		lease->held = from->held;
	}
	return ALLOC_OK;
}

/*
 * Drops leases without slots, and those of server processes that a later
 * incarnation has replaced: all slots of the new process are free.
 */
static void drop_obsolete_leases(struct alloc_slots *slots,
				 struct slot_holder *holder)
{
	struct slot_lease *lease, *next;
	struct slot_server *server;

	HASH_ITER(hh, holder->leases, lease, next)
	{
		HASH_FIND_STR(slots->servers, lease->key.address, server);
		if (!alloc_lease_outstanding(lease) ||
		    (server && server->incarnation > lease->key.incarnation))
			drop_lease(holder, lease);
	}
}

void alloc_slots_expire(struct alloc_slots *slots)
{
	uint64_t now_ms = clk_now_ms(slots->clk);
	struct slot_holder *holder, *next;

	HASH_ITER(hh, slots->holders, holder, next)
	{
		if (holder->last_report_ms + FLEET_LEASE_MS +
			    slots->deadline_ms <
		    now_ms)
			drop_holder(slots, holder);
	}
}

bool alloc_holder_active(const struct slot_holder *holder, uint64_t now_ms)
{
	return !holder->replaced &&
	       holder->last_report_ms + PEER_SILENT_MS > now_ms;
}

uint32_t alloc_server_outstanding(const struct alloc_slots *slots,
				  const struct slot_server *server)
{
	const struct slot_holder *holder;
	const struct slot_lease *lease;
	uint32_t sum = 0;

	for (holder = slots->holders; holder; holder = holder->hh.next) {
		lease = alloc_find_lease(holder, server);
		if (lease)
			sum += alloc_lease_outstanding(lease);
	}
	return sum;
}

uint32_t alloc_server_leasable(const struct alloc_slots *slots,
			       const struct slot_server *server)
{
	uint64_t slow_start_slots;

	if (server->skip_slow_start)
		return server->usable;
	slow_start_slots =
		1 + (clk_now_ms(slots->clk) - server->first_seen_ms) /
			    ALLOC_SLOW_START_MS;
	return slow_start_slots < server->usable ? (uint32_t)slow_start_slots :
						   server->usable;
}

/*
 * Returns how many more slots the connection limit of the upstream allows.
 */
static uint32_t connections_left(const struct alloc_slots *slots,
				 const struct slot_server *server)
{
	struct slot_upstream *up;
	struct alloc_load load;

	HASH_FIND_STR(slots->upstreams, server->upstream, up);
	if (!up || !up->connections_max)
		return UINT32_MAX;
	alloc_slots_load((struct alloc_slots *)slots, server->upstream, NULL,
			 &load);
	return load.held < up->connections_max ?
		       up->connections_max - load.held :
		       0;
}

/*
 * Returns the target of a lease for a planned number of slots. It is lowered at
 * once, but raised only by slots that no instance can be holding.
 */
static uint32_t target_for(const struct alloc_slots *slots,
			   const struct slot_server *server,
			   const struct slot_lease *lease, uint32_t planned)
{
	uint32_t outstanding = lease ? alloc_lease_outstanding(lease) : 0;
	uint32_t all_outstanding, leasable, more, left;

	if (planned <= outstanding)
		return planned;
	all_outstanding = alloc_server_outstanding(slots, server);
	leasable = alloc_server_leasable(slots, server);
	if (all_outstanding >= leasable)
		return outstanding;
	more = planned - outstanding;
	if (more > leasable - all_outstanding)
		more = leasable - all_outstanding;
	left = connections_left(slots, server);
	return outstanding + (more < left ? more : left);
}

static enum alloc_error add_grant(struct alloc_slots *slots,
				  const char *address, uint64_t incarnation,
				  uint32_t target)
{
	Aw__SlotGrant *grant;

	if (slots->nr_grants == slots->max_grants) {
		size_t max = slots->max_grants ? 2 * slots->max_grants : 64;

		grant = realloc(slots->grants, max * sizeof(*grant));
		if (!grant)
			return ALLOC_ERR_MEMORY;
		slots->grants = grant;
		slots->max_grants = max;
	}
	grant = &slots->grants[slots->nr_grants++];
	aw__slot_grant__init(grant);
	grant->address = (char *)address;
	grant->incarnation = incarnation;
	grant->slots = target;
	return ALLOC_OK;
}

static enum alloc_error grant_server(struct alloc_slots *slots,
				     struct slot_holder *holder,
				     const struct slot_server *server,
				     uint32_t planned, uint64_t sequence)
{
	struct slot_lease *lease = alloc_find_lease(holder, server);
	uint32_t target;

	target = target_for(slots, server, lease, planned);
	if (!lease && !target)
		return ALLOC_OK;
	lease = get_lease(holder, server->address, server->incarnation);
	if (!lease)
		return ALLOC_ERR_MEMORY;
	push_target(lease, sequence, target);
	return add_grant(slots, lease->key.address, lease->key.incarnation,
			 target);
}

/*
 * Grants target 0 for servers that are known to have no usable slots, and no
 * other targets. While targets of an earlier leader may still arrive at an
 * instance, its reported slots can be too high or too low, so that even a
 * target equal to the reported number could raise what it holds.
 */
static enum alloc_error revoke_unusable(struct alloc_slots *slots,
					struct slot_holder *holder,
					uint64_t sequence)
{
	struct slot_lease *lease, *next;
	struct slot_server *server;

	HASH_ITER(hh, holder->leases, lease, next)
	{
		HASH_FIND_STR(slots->servers, lease->key.address, server);
		if (!server || server->usable)
			continue;
		push_target(lease, sequence, 0);
		if (add_grant(slots, lease->key.address, lease->key.incarnation,
			      0))
			return ALLOC_ERR_MEMORY;
	}
	return ALLOC_OK;
}

/*
 * Returns true if this leader knows the slots of all instances. An instance can
 * apply a Grant of an earlier leader after its first Report to this one. Such a
 * Grant is void FLEET_LEASE_MS after the Report that it answers, or once the
 * instance has applied a Grant of this leader.
 */
static bool holdings_are_known(const struct alloc_slots *slots)
{
	uint64_t now_ms = clk_now_ms(slots->clk);
	const struct slot_holder *holder;

	if (now_ms < slots->created_ms + FLEET_LEASE_MS)
		return false;
	if (now_ms >= slots->created_ms + (uint64_t)2 * FLEET_LEASE_MS)
		return true;
	for (holder = slots->holders; holder; holder = holder->hh.next)
		if (!holder->confirmed && !holder->replaced)
			return false;
	return true;
}

/*
 * Grants target 0 for server processes that are no longer in the list.
 */
static enum alloc_error revoke_unknown(struct alloc_slots *slots,
				       struct slot_holder *holder,
				       uint64_t sequence)
{
	struct slot_lease *lease, *next;
	struct slot_server *server;

	HASH_ITER(hh, holder->leases, lease, next)
	{
		HASH_FIND_STR(slots->servers, lease->key.address, server);
		if (server && server->incarnation == lease->key.incarnation)
			continue;
		push_target(lease, sequence, 0);
		if (add_grant(slots, lease->key.address, lease->key.incarnation,
			      0))
			return ALLOC_ERR_MEMORY;
	}
	return ALLOC_OK;
}

static enum alloc_error grant_planned(struct alloc_slots *slots,
				      struct slot_holder *holder,
				      uint64_t sequence)
{
	struct slot_server *server;
	struct slot_upstream *up;

	for (server = slots->servers; server; server = server->hh.next)
		server->planned = 0;
	for (up = slots->upstreams; up; up = up->hh.next)
		if (alloc_plan(slots, up, holder))
			return ALLOC_ERR_MEMORY;
	for (server = slots->servers; server; server = server->hh.next)
		if (grant_server(slots, holder, server, server->planned,
				 sequence))
			return ALLOC_ERR_MEMORY;
	return revoke_unknown(slots, holder, sequence);
}

enum alloc_error alloc_slots_report(struct alloc_slots *slots,
				    const Aw__Report *report,
				    const char *region,
				    const Aw__SlotGrant **grants, size_t *nr)
{
	uint64_t now_ms = clk_now_ms(slots->clk);
	struct slot_holder *holder;
	enum alloc_error err;

	alloc_slots_expire(slots);
	holder = get_holder(slots, report);
	if (!holder)
		return ALLOC_ERR_MEMORY;
	holder->last_report_ms = now_ms;
	holder->leaving =
		report->instance->state == AW__INSTANCE_STATE__INSTANCE_LEAVING;
	snprintf(holder->zone, sizeof(holder->zone), "%s",
		 report->instance->zone);
	snprintf(holder->region, sizeof(holder->region), "%s", region);
	if (record_demands(holder, report, now_ms) ||
	    record_slots(slots, holder, report))
		return ALLOC_ERR_MEMORY;
	drop_obsolete_leases(slots, holder);
	slots->nr_grants = 0;
	if (report->grant_term == slots->term)
		holder->confirmed = true;
	if (!holdings_are_known(slots))
		err = revoke_unusable(slots, holder, report->sequence);
	else
		err = grant_planned(slots, holder, report->sequence);
	*grants = slots->grants;
	*nr = slots->nr_grants;
	return err;
}

void alloc_slots_load(struct alloc_slots *slots, const char *upstream,
		      const char *region, struct alloc_load *load)
{
	uint64_t now_ms = clk_now_ms(slots->clk);
	const struct slot_holder *holder;
	const struct slot_demand *demand;
	const struct slot_server *server;

	memset(load, 0, sizeof(*load));
	for (holder = slots->holders; holder; holder = holder->hh.next) {
		if (region && strcmp(holder->region, region) != 0)
			continue;
		demand = alloc_find_demand(holder, upstream);
		if (!demand)
			continue;
		load->demand += alloc_current_demand(demand, now_ms);
		load->in_use += demand->in_use;
	}
	for (server = slots->servers; server; server = server->hh.next)
		if (!strcmp(server->upstream, upstream) &&
		    (!region || !strcmp(server->region, region)))
			load->held += alloc_server_outstanding(slots, server);
}

uint32_t alloc_slots_held(struct alloc_slots *slots, const char *address)
{
	struct slot_server *server;

	HASH_FIND_STR(slots->servers, address, server);
	return server ? alloc_server_outstanding(slots, server) : 0;
}
