/*
 * alloc: the leader's allocation of tokens and slots to entry instances.
 *
 * A token admits one request of a customer or one byte on a link between
 * regions. A slot allows one concurrent request at a backend server. The
 * module does no I/O: time comes from a clock, input from Reports that the
 * registry has accepted. See docs/design.md, "Rates", "Slots and connections"
 * and "Rules for Report and Grant".
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

#define ALLOC_RETRY_MAX_MS 3600000 /* granted if a bucket never refills */

struct alloc_tokens;

/*
 * Call when this instance becomes leader; term is its term.
 */
struct alloc_tokens *alloc_tokens_create(struct clk *clk, uint64_t term);
void alloc_tokens_destroy(struct alloc_tokens *tokens);

/*
 * Adds a bucket or changes its rate (thousandths of a token per second) and
 * burst (tokens). A new bucket starts empty and starts to refill after
 * TOKEN_LIFETIME_MS, when all tokens of earlier leaders have expired. A change
 * keeps the tokens in the bucket, up to the new burst less the outstanding
 * tokens.
 */
enum alloc_error alloc_tokens_set(struct alloc_tokens *tokens,
				  Aw__BucketKind kind, const char *name,
				  uint64_t rate_milli_per_s, uint64_t burst);

/*
 * Removes the buckets for which alloc_tokens_set() has not been called since
 * the previous call of this function.
 */
void alloc_tokens_sweep(struct alloc_tokens *tokens);

/*
 * Sets the bucket of a link between regions: 95% of its bandwidth cap, in
 * bytes, with a burst of 250 ms at that rate.
 */
enum alloc_error alloc_tokens_set_link(struct alloc_tokens *tokens,
				       const char *from_region,
				       const char *to_region,
				       uint32_t cap_kbit_per_s);

/*
 * Records the used and returned tokens of a Report and grants the tokens that
 * it requests. grants has room for report->n_tokens elements; their names point
 * into the report. For a bucket that does not exist, it grants no tokens and
 * sets retry_after_ms to ALLOC_RETRY_MAX_MS.
 */
enum alloc_error alloc_tokens_report(struct alloc_tokens *tokens,
				     const Aw__Report *report,
				     Aw__TokenGrant *grants);

/*
 * Returns the number of whole tokens in a bucket, and of outstanding tokens:
 * granted and neither reported as used or returned nor expired. For status and
 * tests. Both are 0 if the bucket does not exist.
 */
void alloc_tokens_level(struct alloc_tokens *tokens, Aw__BucketKind kind,
			const char *name, uint64_t *level,
			uint64_t *outstanding);

/*
 * Appends the buckets to out as a packed Handover for the leader of the next
 * term. The caller must not grant tokens afterwards.
 */
enum alloc_error alloc_tokens_save(struct alloc_tokens *tokens,
				   struct buf *out);

/*
 * Restores the buckets of the previous leader from a Handover. Call before the
 * first alloc_tokens_set(). received_ms is when the Handover arrived; the
 * remaining lifetimes of outstanding tokens count from then, which is safe
 * because it is later than when they were saved. Buckets that the Handover does
 * not contain start empty, as after a crash of the leader. Returns
 * ALLOC_ERR_MALFORMED, without any change, if the data cannot be parsed.
 */
enum alloc_error alloc_tokens_restore(struct alloc_tokens *tokens,
				      const uint8_t *data, size_t len_bytes,
				      uint64_t received_ms);

/* ---- slots ---- */

/* A new server starts with one slot and gets another after each interval. */
#define ALLOC_SLOW_START_MS 1000

struct alloc_slots;

struct alloc_server {
	const char *upstream;
	const char *address;
	const char *zone;
	const char *region; /* "" when the zone is not configured */
	uint64_t incarnation;
	uint32_t slots; /* as announced */
	uint32_t usable; /* less what is drained; 0 if leaving or silent */
};

struct alloc_upstream {
	const char *name;
	uint32_t connections_max; /* 0: no limit */
	bool cross_region; /* instances may use servers of other regions */
};

struct alloc_load {
	uint32_t demand; /* recent peak of requests in flight and queued */
	uint32_t in_use;
	/*
	 * Maximum number of slots that instances may hold, see
	 * alloc_slots_held().
	 */
	uint32_t held;
};

struct alloc_slots *alloc_slots_create(struct clk *clk, uint64_t term);
void alloc_slots_destroy(struct alloc_slots *slots);

/*
 * Replaces the list of backend servers. Servers that first appear within
 * FLEET_LEASE_MS of the creation have no slow start: their age is not known,
 * and a new leader would otherwise throttle all of them.
 */
enum alloc_error alloc_slots_set_servers(struct alloc_slots *slots,
					 const struct alloc_server *servers,
					 size_t nr);
enum alloc_error alloc_slots_set_upstreams(struct alloc_slots *slots,
					   const struct alloc_upstream *ups,
					   size_t nr);

/*
 * Sets the longest deadline of a request. Slots of an instance that sends no
 * Reports count as held until its lease has expired and this time has passed.
 */
void alloc_slots_set_deadline(struct alloc_slots *slots, uint64_t deadline_ms);

/*
 * Records the slots and demands of a Report and sets a new target number of
 * slots for each server of which the instance may hold slots; the target can
 * be 0. While the holdings of other instances are not yet known, only servers
 * without usable slots get a target. *grants points to *nr elements; the array
 * and its addresses are owned by slots and valid until the next call with it.
 */
enum alloc_error alloc_slots_report(struct alloc_slots *slots,
				    const Aw__Report *report,
				    const char *region,
				    const Aw__SlotGrant **grants, size_t *nr);

/*
 * Removes instances that have sent no Report for a lease and the longest
 * deadline. alloc_slots_report() calls this too.
 */
void alloc_slots_expire(struct alloc_slots *slots);

/*
 * Returns the load of an upstream: demand and slots in use of the instances in
 * a region, and held slots of the servers in it. NULL stands for all regions.
 */
void alloc_slots_load(struct alloc_slots *slots, const char *upstream,
		      const char *region, struct alloc_load *load);

/*
 * Returns the maximum number of slots of a server that all instances together
 * may hold: for each instance the highest of its last reported number and the
 * targets that it may have applied since.
 */
uint32_t alloc_slots_held(struct alloc_slots *slots, const char *address);

#ifdef __cplusplus
}
#endif

#endif
