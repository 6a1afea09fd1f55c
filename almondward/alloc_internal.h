/*
 * Declarations shared by alloc_slots.c and alloc_plan.c.
 */
#ifndef ALLOC_INTERNAL_H
#define ALLOC_INTERNAL_H

#include <uthash.h>

#include "alloc.h"

#define SLOT_TARGETS_MAX 8
#define ALLOC_DEMAND_MAX 100000 /* prevents overflow of sums of demands */

struct slot_target {
	uint64_t sequence; /* of the Grant */
	uint32_t slots;
};

struct slot_lease_key {
	uint64_t incarnation;
	char address[ADDRESS_BYTES_MAX];
};

/* Slots of one server that one entry instance holds or may hold. */
struct slot_lease {
	struct slot_lease_key key;
	uint32_t held; /* last reported */
	/*
	 * Targets of Grants that are not yet reported as applied, in the order
	 * of the Grants; the numbers of slots strictly decrease.
	 */
	struct slot_target targets[SLOT_TARGETS_MAX];
	uint32_t nr_targets;
	UT_hash_handle hh;
};

/* Demand of one entry instance for slots of one upstream. */
struct slot_demand {
	char upstream[NAME_BYTES_MAX];
	uint32_t reported; /* in the last Report: in use and queued */
	uint32_t in_use;
	uint32_t peak; /* decays from peak_ms on */
	uint64_t peak_ms;
	UT_hash_handle hh;
};

struct slot_holder_key {
	uint64_t incarnation;
	char name[NAME_BYTES_MAX];
};

/* One process of an entry instance. */
struct slot_holder {
	struct slot_holder_key key;
	char zone[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
	bool leaving;
	bool confirmed; /* has applied a Grant of this leader */
	bool replaced; /* a later process of the same name has reported */
	uint64_t last_report_ms;
	struct slot_lease *leases;
	struct slot_demand *demands;
	UT_hash_handle hh;
};

struct slot_server {
	char address[ADDRESS_BYTES_MAX];
	char upstream[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint32_t slots;
	uint32_t usable;
	bool skip_slow_start;
	uint64_t first_seen_ms; /* of this incarnation */
	bool marked; /* is in the new list of servers */
	uint32_t planned; /* slots for the instance whose Report is handled */
	UT_hash_handle hh;
};

struct slot_upstream {
	char name[NAME_BYTES_MAX];
	uint32_t connections_max;
	bool cross_region;
	bool marked; /* is in the new list of upstreams */
	UT_hash_handle hh;
};

struct alloc_slots {
	struct clk *clk;
	uint64_t term;
	uint64_t created_ms;
	uint64_t deadline_ms;
	struct slot_holder *holders;
	struct slot_server *servers;
	struct slot_upstream *upstreams;
	Aw__SlotGrant *grants;
	size_t nr_grants;
	size_t max_grants;
};

struct slot_lease *alloc_find_lease(const struct slot_holder *holder,
				    const struct slot_server *server);

/*
 * Returns the maximum number of slots that the instance may hold: the highest
 * of the last reported number and the targets that it may have applied since.
 */
uint32_t alloc_lease_outstanding(const struct slot_lease *lease);

/*
 * Returns the sum of alloc_lease_outstanding() over all instances.
 */
uint32_t alloc_server_outstanding(const struct alloc_slots *slots,
				  const struct slot_server *server);

/*
 * Returns the number of slots of a server that may be leased to all instances
 * together: the usable ones, or fewer during its slow start.
 */
uint32_t alloc_server_leasable(const struct alloc_slots *slots,
			       const struct slot_server *server);

struct slot_demand *alloc_find_demand(const struct slot_holder *holder,
				      const char *upstream);

/*
 * Returns the last reported demand or the decayed peak, whichever is higher.
 */
uint32_t alloc_current_demand(const struct slot_demand *demand,
			      uint64_t now_ms);

/*
 * Returns true if the process has reported within PEER_SILENT_MS and no later
 * process of the same name has.
 */
bool alloc_holder_active(const struct slot_holder *holder, uint64_t now_ms);

/*
 * Plans the distribution of an upstream's slots over all active instances, and
 * sets the planned slots of its servers to those of for_holder.
 */
enum alloc_error alloc_plan(struct alloc_slots *slots,
			    const struct slot_upstream *up,
			    const struct slot_holder *for_holder);

#endif
