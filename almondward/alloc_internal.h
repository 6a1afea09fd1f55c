/*
 * Parts of alloc that alloc_slots.c and alloc_plan.c share.
 */
#ifndef ALLOC_INTERNAL_H
#define ALLOC_INTERNAL_H

#include <uthash.h>

#include "alloc.h"

#define SLOT_TARGETS_MAX 8
#define ALLOC_DEMAND_MAX 100000 /* bounds sums of demands */

struct slot_target {
	uint64_t sequence;
	uint32_t slots;
};

struct slot_pair_key {
	uint64_t incarnation;
	char address[ADDRESS_BYTES_MAX];
};

/* What one entry instance holds, or may hold, of one server's slots. */
struct slot_pair {
	struct slot_pair_key key;
	uint32_t held; /* last reported */
	/* Of Grants that were not reported as applied; slots decrease. */
	struct slot_target targets[SLOT_TARGETS_MAX];
	uint32_t nr_targets;
	UT_hash_handle hh;
};

struct slot_demand {
	char upstream[NAME_BYTES_MAX];
	uint32_t last;
	uint32_t in_use;
	uint32_t peak;
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
	uint64_t seen_ms;
	struct slot_pair *pairs;
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
	bool warm; /* no slow start */
	uint64_t since_ms;
	bool marked;
	uint32_t wanted; /* planned for the instance that reports */
	UT_hash_handle hh;
};

struct slot_upstream {
	char name[NAME_BYTES_MAX];
	uint32_t connections_max;
	bool cross_region;
	bool marked;
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

struct slot_pair *alloc_find_pair(const struct slot_holder *holder,
				  const struct slot_server *server);

/*
 * Held slots as counted: the highest of the reported number and the targets
 * that the instance may have applied since.
 */
uint32_t alloc_pair_counted(const struct slot_pair *pair);
uint32_t alloc_server_counted(const struct alloc_slots *slots,
			      const struct slot_server *server);

/*
 * Slots of a server that can be leased now: usable ones, less while it is new.
 */
uint32_t alloc_server_cap(const struct alloc_slots *slots,
			  const struct slot_server *server);

struct slot_demand *alloc_find_demand(const struct slot_holder *holder,
				      const char *upstream);
uint32_t alloc_demand_now(const struct slot_demand *demand, uint64_t now_ms);
bool alloc_holder_active(const struct slot_holder *holder, uint64_t now_ms);

/*
 * Plans who should hold which slots of an upstream, and sets the wanted slots
 * of its servers to the share of one holder.
 */
enum alloc_error alloc_plan(struct alloc_slots *slots,
			    const struct slot_upstream *up,
			    const struct slot_holder *for_holder);

#endif
