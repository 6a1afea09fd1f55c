/*
 * alloc: what the leader leases to the entry instances.
 *
 * Tokens (requests of a customer, bytes of a link) and slots (requests that a
 * backend server runs at once). Decisions only: time comes from a clock, input
 * from Reports that the registry has accepted. See docs/design.md, "Rates",
 * "Slots and connections" and "Rules for Report and Grant".
 */
#ifndef ALLOC_H
#define ALLOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

enum alloc_error { ALLOC_OK, ALLOC_ERR_MEMORY, ALLOC_ERR_MALFORMED };

/* ---- tokens ---- */

#define ALLOC_RETRY_MAX_MS 3600000 /* told when a bucket never refills */

struct alloc_tokens;

/*
 * To be created when leadership begins; term is that of the leader.
 */
struct alloc_tokens *alloc_tokens_create(struct clk *clk, uint64_t term);
void alloc_tokens_destroy(struct alloc_tokens *tokens);

/*
 * Adds a bucket or changes its rate (thousandths of a token per second) and
 * burst (tokens). A new bucket starts empty and refills only after
 * TOKEN_LIFETIME_MS, when no token of an earlier leader can be used any more.
 * A change keeps what is in the bucket, but not above the new burst.
 */
enum alloc_error alloc_tokens_set(struct alloc_tokens *tokens,
				  Aw__BucketKind kind, const char *name,
				  uint64_t rate_milli_per_s, uint64_t burst);

/*
 * Removes the buckets for which alloc_tokens_set() was not called since the
 * last call of this function.
 */
void alloc_tokens_sweep(struct alloc_tokens *tokens);

/*
 * Sets the bucket of a link: 95% of the cap, in bytes, with a burst of 250 ms.
 */
enum alloc_error alloc_tokens_set_link(struct alloc_tokens *tokens,
				       const char *from_region,
				       const char *to_region,
				       uint32_t cap_kbit_per_s);

/*
 * Books the uses of a Report and grants what it wants. grants has room for
 * report->n_tokens elements; their names point into the report. A bucket that
 * does not exist gives no tokens and ALLOC_RETRY_MAX_MS.
 */
enum alloc_error alloc_tokens_report(struct alloc_tokens *tokens,
				     const Aw__Report *report,
				     Aw__TokenGrant *grants);

/*
 * Whole tokens in a bucket and outstanding at entry instances, for status and
 * tests; both 0 when the bucket does not exist.
 */
void alloc_tokens_level(struct alloc_tokens *tokens, Aw__BucketKind kind,
			const char *name, uint64_t *level,
			uint64_t *outstanding);

/*
 * Appends the buckets as a packed Handover, for the leader of the next term.
 * Nothing may be granted afterwards.
 */
enum alloc_error alloc_tokens_save(struct alloc_tokens *tokens,
				   struct buf *out);

/*
 * Takes over the buckets of the leader of the term before; to be called before
 * the first alloc_tokens_set(). received_ms is when the Handover arrived: the
 * rests count from then, which is later than when they were saved. Buckets
 * that it does not name start as after a crash. ALLOC_ERR_MALFORMED changes
 * nothing.
 */
enum alloc_error alloc_tokens_restore(struct alloc_tokens *tokens,
				      const uint8_t *data, size_t len_bytes,
				      uint64_t received_ms);

/* ---- slots ---- */

#define ALLOC_SLOW_START_MS 1000 /* one more slot of a new server */

struct alloc_slots;

struct alloc_server {
	const char *upstream;
	const char *address;
	const char *zone;
	const char *region; /* "" when the zone is not configured */
	uint64_t incarnation;
	uint32_t slots; /* as announced */
	uint32_t usable; /* after drains; 0 when leaving or silent */
};

struct alloc_upstream {
	const char *name;
	uint32_t connections_max; /* 0: no limit */
	bool cross_region; /* slots in other regions may be leased */
};

struct alloc_load {
	uint32_t demand; /* recent peak of requests running and queued */
	uint32_t in_use;
	uint32_t held; /* counted as held, see docs/design.md */
};

struct alloc_slots *alloc_slots_create(struct clk *clk, uint64_t term);
void alloc_slots_destroy(struct alloc_slots *slots);

/*
 * Replaces the list of backend servers. Servers that appear within
 * FLEET_LEASE_MS after the creation are taken as warmed up: their age is not
 * known, and a new leader would otherwise throttle all of them.
 */
enum alloc_error alloc_slots_set_servers(struct alloc_slots *slots,
					 const struct alloc_server *servers,
					 size_t nr);
enum alloc_error alloc_slots_set_upstreams(struct alloc_slots *slots,
					   const struct alloc_upstream *ups,
					   size_t nr);

/*
 * Longest deadline of a request; a silent instance keeps its slots until its
 * lease and this time have passed.
 */
void alloc_slots_set_deadline(struct alloc_slots *slots, uint64_t deadline_ms);

/*
 * Books the slots and demands of a Report and sets new targets. *grants has
 * *nr elements with addresses that are valid until the next call for slots;
 * the array belongs to the slots. Every server of which the instance may hold
 * slots is listed, if need be with target 0.
 */
enum alloc_error alloc_slots_report(struct alloc_slots *slots,
				    const Aw__Report *report,
				    const char *region,
				    const Aw__SlotGrant **grants, size_t *nr);

/*
 * Forgets instances that have been silent for long enough. Called by
 * alloc_slots_report() too.
 */
void alloc_slots_expire(struct alloc_slots *slots);

/*
 * Load of an upstream by callers of one region, or of all when region is NULL.
 */
void alloc_slots_load(struct alloc_slots *slots, const char *upstream,
		      const char *region, struct alloc_load *load);

/*
 * Slots of a server counted as held by all instances together.
 */
uint32_t alloc_slots_held(struct alloc_slots *slots, const char *address);

#ifdef __cplusplus
}
#endif

#endif
