#include "share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Without a grant one request is admitted in this many windows, and an expired
 * share is divided by it: traffic that exceeds limits by a tenth is
 * acceptable. */
#define FLOOR_DIVISOR 10
#define DEMAND_INTERVAL_MS 500
/* Intervals over which the demand is smoothed: some seconds, since an instance
 * may have only one request of a small customer in a second or two. */
#define DEMAND_SMOOTHING 5
/* Part of the shares that is divided equally, since bursts arrive at any
 * instance, also at one without recent requests. */
#define EQUAL_PERCENT 60
/* An instance whose share is at least this large rarely needs tokens. With less
 * than one request per instance most of the limit stays with the leader, since
 * the unused share of one instance cannot be used by the others. */
#define LARGE_SHARE_REQUESTS 6
#define LARGE_SHARE_PERCENT 85
#define SMALL_SHARE_PERCENT 75
#define TINY_SHARE_PERCENT 40
/* A share is reduced only by more than 1 / HYSTERESIS_DIVISOR of it, so that it
 * does not follow the noise of single requests. */
#define HYSTERESIS_DIVISOR 8
/* Slices between the last token of a leader and the start of the next
 * leader. */
#define ELECTION_SLICES 4

/* ---- rings ---- */

static void ring_advance(struct share_ring *ring, uint32_t window_ms,
			 uint64_t now_ms)
{
	uint64_t slice = now_ms / (window_ms / SHARE_WINDOW_SLICES + 1);
	uint64_t steps = slice > ring->slice ? slice - ring->slice : 0;

	if (steps > SHARE_RING_SLICES)
		steps = SHARE_RING_SLICES;
	for (uint64_t i = 0; i < steps; i++) {
		uint32_t *oldest =
			&ring->counts[(slice - i) % SHARE_RING_SLICES];

		ring->sum -= *oldest;
		*oldest = 0;
	}
	if (slice > ring->slice)
		ring->slice = slice;
}

static void ring_add(struct share_ring *ring, uint32_t nr)
{
	ring->counts[ring->slice % SHARE_RING_SLICES] += nr;
	ring->sum += nr;
}

/* ---- leader ---- */

struct holder {
	char instance[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t reported_ms;
	uint32_t demand_milli;
	uint32_t reserved; /* largest share that it may hold */
};

struct customer {
	char name[NAME_BYTES_MAX];
	struct holder *holders;
	size_t nr_holders;
	uint64_t demand_milli; /* sum over all holders */
	uint64_t reserved;
	uint64_t first_held; /* sum of the shares in first reports */
	/* Tokens, and uses of shares that are no longer held. */
	struct share_ring used;
	UT_hash_handle hh;
};

struct share_pool {
	struct clk *clk;
	uint64_t created_ms;
	bool knows_instances;
	struct customer *customers;
};

struct share_pool *share_pool_create(struct clk *clk, bool knows_instances)
{
	struct share_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->clk = clk;
	pool->created_ms = clk_now_ms(clk);
	pool->knows_instances = knows_instances;
	return pool;
}

void share_pool_destroy(struct share_pool *pool)
{
	struct customer *at, *next;

	if (!pool)
		return;
	HASH_ITER(hh, pool->customers, at, next)
	{
		HASH_DEL(pool->customers, at);
		free(at->holders);
		free(at);
	}
	free(pool);
}

static struct customer *get_customer(struct share_pool *pool, const char *name)
{
	struct customer *at;

	HASH_FIND_STR(pool->customers, name, at);
	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	snprintf(at->name, sizeof(at->name), "%s", name);
	HASH_ADD_STR(pool->customers, name, at);
	return at;
}

static struct holder *get_holder(struct customer *customer,
				 const char *instance)
{
	struct holder *holders;
	size_t i;

	for (i = 0; i < customer->nr_holders; i++)
		if (!strcmp(customer->holders[i].instance, instance))
			return &customer->holders[i];
	holders = realloc(customer->holders,
			  (customer->nr_holders + 1) * sizeof(*holders));
	if (!holders)
		return NULL;
	customer->holders = holders;
	memset(&holders[customer->nr_holders], 0, sizeof(*holders));
	snprintf(holders[customer->nr_holders].instance, NAME_BYTES_MAX, "%s",
		 instance);
	return &holders[customer->nr_holders++];
}

static void set_holder(struct customer *customer, struct holder *holder,
		       uint32_t demand_milli, uint32_t reserved)
{
	customer->demand_milli += demand_milli;
	customer->demand_milli -= holder->demand_milli;
	customer->reserved += reserved;
	customer->reserved -= holder->reserved;
	holder->demand_milli = demand_milli;
	holder->reserved = reserved;
}

static uint64_t saturating_sub(uint64_t from, uint64_t subtrahend)
{
	return subtrahend < from ? from - subtrahend : 0;
}

/*
 * Returns the part of the limit that is divided into shares.
 */
static uint32_t divided_requests(const struct share_limit *limit,
				 size_t nr_instances)
{
	uint64_t percent = TINY_SHARE_PERCENT;

	if (limit->requests >= LARGE_SHARE_REQUESTS * nr_instances)
		percent = LARGE_SHARE_PERCENT;
	else if (limit->requests >= nr_instances)
		percent = SMALL_SHARE_PERCENT;
	return (uint32_t)(limit->requests * percent / 100);
}

/*
 * Assumes the tokens that the previous leader granted in its last window.
 */
static void assume_tokens(struct customer *customer, uint32_t tokens)
{
	for (uint64_t i = ELECTION_SLICES; i < SHARE_RING_SLICES; i++)
		customer->used.counts[(customer->used.slice - i) %
				      SHARE_RING_SLICES] +=
			tokens / SHARE_RING_SLICES;
	customer->used.sum += (SHARE_RING_SLICES - ELECTION_SLICES) *
			      (tokens / SHARE_RING_SLICES);
}

/*
 * Returns the shares that instances may hold that have not reported to a new
 * leader yet. As long as it may not know their number, they may hold all that
 * no report has named.
 */
static uint64_t unreported_share(const struct share_pool *pool,
				 const struct customer *customer,
				 uint32_t divided, size_t nr_instances)
{
	if (!pool->knows_instances &&
	    clk_now_ms(pool->clk) < pool->created_ms + SHARE_SETTLE_MS)
		return saturating_sub(divided, customer->first_held);
	if (customer->nr_holders >= nr_instances ||
	    clk_now_ms(pool->clk) >= pool->created_ms + SHARE_LIFETIME_MS)
		return 0;
	return (uint64_t)divided * (nr_instances - customer->nr_holders) /
	       nr_instances;
}

static uint32_t fair_share(const struct customer *customer, uint32_t demand,
			   uint32_t divided, size_t nr)
{
	uint64_t total = customer->demand_milli;
	double equal = (double)divided / (double)nr;
	double by_demand = total ? (double)divided * demand / (double)total :
				   equal;

	return (uint32_t)((equal * EQUAL_PERCENT +
			   by_demand * (100 - EQUAL_PERCENT)) /
				  100 +
			  0.5);
}

/*
 * Records the share in force at the instance. Requests admitted under a share
 * that the instance no longer has count until the window has passed.
 */
static void apply_report(struct share_pool *pool, struct customer *customer,
			 struct holder *holder,
			 const struct share_report *report)
{
	uint32_t reserved = report->held;

	if (!holder->incarnation)
		customer->first_held += report->held;
	if (holder->incarnation && holder->incarnation != report->incarnation)
		ring_add(&customer->used, holder->reserved);
	else if (!report->confirmed && holder->reserved > reserved)
		/* A grant that may be in flight counts as held. */
		reserved = holder->reserved;
	else if (holder->reserved > reserved && report->used > reserved)
		ring_add(&customer->used, report->used - reserved);
	holder->incarnation = report->incarnation;
	holder->reported_ms = clk_now_ms(pool->clk);
	set_holder(customer, holder, report->demand_milli, reserved);
}

struct share_grant share_pool_report(struct share_pool *pool,
				     const struct share_report *report,
				     const struct share_limit *limit,
				     size_t nr_instances)
{
	struct customer *customer = get_customer(pool, report->customer);
	struct share_grant grant = { report->held, 0 };
	uint64_t others, room, available;
	uint32_t divided, target, tolerance;
	struct holder *holder;
	bool is_new;

	is_new = customer && !customer->nr_holders;
	holder = customer ? get_holder(customer, report->instance) : NULL;
	if (!holder)
		return grant;
	if (nr_instances < customer->nr_holders)
		nr_instances = customer->nr_holders;
	divided = divided_requests(limit, nr_instances);
	ring_advance(&customer->used, limit->window_ms, clk_now_ms(pool->clk));
	if (is_new &&
	    clk_now_ms(pool->clk) < pool->created_ms + limit->window_ms)
		assume_tokens(customer, limit->requests - divided);
	apply_report(pool, customer, holder, report);
	others = customer->reserved - holder->reserved +
		 unreported_share(pool, customer, divided, nr_instances);
	room = saturating_sub(limit->requests, others + customer->used.sum);
	available = saturating_sub(divided, others);
	if (available > room)
		available = room;
	target = fair_share(customer, report->demand_milli, divided,
			    nr_instances);
	tolerance = report->held / HYSTERESIS_DIVISOR;
	if (target < report->held &&
	    report->held - target <= (tolerance ? tolerance : 1))
		target = report->held;
	grant.held = target < available ? target : (uint32_t)available;
	if (grant.held > holder->reserved)
		set_holder(customer, holder, report->demand_milli, grant.held);
	room = saturating_sub(room, holder->reserved);
	grant.tokens = report->wanted < room ? report->wanted : (uint32_t)room;
	ring_add(&customer->used, grant.tokens);
	return grant;
}

void share_pool_tick(struct share_pool *pool)
{
	uint64_t now_ms = clk_now_ms(pool->clk);
	struct customer *at, *next;
	size_t i;

	HASH_ITER(hh, pool->customers, at, next)
	{
		i = 0;
		while (i < at->nr_holders) {
			struct holder *holder = &at->holders[i];

			if (now_ms < holder->reported_ms + SHARE_LIFETIME_MS) {
				i++;
				continue;
			}
			/* No report for longer than any window. */
			set_holder(at, holder, 0, 0);
			*holder = at->holders[--at->nr_holders];
		}
	}
}

/* ---- entry instance ---- */

void share_bucket_init(struct share_bucket *bucket, uint32_t rate_milli,
		       uint32_t window_ms, uint64_t now_ms)
{
	memset(bucket, 0, sizeof(*bucket));
	bucket->customer_rate_milli = rate_milli;
	bucket->window_ms = window_ms;
	bucket->has_no_grant = true;
	bucket->interval_start_ms = now_ms;
}

void share_bucket_set_rate(struct share_bucket *bucket, uint32_t rate_milli)
{
	uint32_t old_milli = bucket->customer_rate_milli;

	bucket->customer_rate_milli = rate_milli;
	if (rate_milli < old_milli)
		bucket->held = (uint32_t)((uint64_t)bucket->held * rate_milli /
					  old_milli);
}

void share_bucket_grant(struct share_bucket *bucket,
			const struct share_grant *grant, uint64_t reported_ms)
{
	bucket->held = grant->held;
	bucket->has_no_grant = false;
	bucket->expires_ms = reported_ms + SHARE_LIFETIME_MS;
}

uint32_t share_bucket_used(struct share_bucket *bucket, uint64_t now_ms)
{
	ring_advance(&bucket->used, bucket->window_ms, now_ms);
	return bucket->used.sum;
}

/*
 * Returns the time until the oldest use leaves the ring, or a whole window if
 * there is none.
 */
static uint32_t until_expiry_ms(const struct share_bucket *bucket,
				uint64_t now_ms)
{
	uint32_t slice_ms = bucket->window_ms / SHARE_WINDOW_SLICES + 1;
	const struct share_ring *ring = &bucket->used;

	for (uint64_t i = 1; i <= SHARE_RING_SLICES; i++)
		if (ring->counts[(ring->slice + i) % SHARE_RING_SLICES])
			return (uint32_t)((ring->slice + i) * slice_ms -
					  now_ms);
	return bucket->window_ms;
}

static bool take_ungranted(struct share_bucket *bucket, uint64_t now_ms)
{
	if (!bucket->has_no_grant || now_ms < bucket->ungranted_from_ms)
		return false;
	bucket->ungranted_from_ms =
		now_ms + (uint64_t)bucket->window_ms * FLOOR_DIVISOR;
	return true;
}

uint32_t share_bucket_take(struct share_bucket *bucket, uint64_t now_ms)
{
	if (!bucket->has_no_grant && now_ms >= bucket->expires_ms) {
		bucket->held /= FLOOR_DIVISOR;
		bucket->has_no_grant = true;
	}
	bucket->nr_requests++;
	if (share_bucket_used(bucket, now_ms) >= bucket->held &&
	    !take_ungranted(bucket, now_ms))
		return until_expiry_ms(bucket, now_ms);
	ring_add(&bucket->used, 1);
	return 0;
}

bool share_bucket_take_if_idle(struct share_bucket *bucket, uint64_t now_ms)
{
	if (share_bucket_used(bucket, now_ms))
		return false;
	ring_add(&bucket->used, 1);
	return true;
}

void share_bucket_return(struct share_bucket *bucket, uint64_t now_ms)
{
	struct share_ring *ring = &bucket->used;

	ring_advance(ring, bucket->window_ms, now_ms);
	for (uint64_t i = 0; i < SHARE_RING_SLICES; i++) {
		uint32_t *count =
			&ring->counts[(ring->slice - i) % SHARE_RING_SLICES];

		if (!*count)
			continue;
		(*count)--;
		ring->sum--;
		bucket->ungranted_from_ms = 0;
		return;
	}
}

uint32_t share_bucket_demand(struct share_bucket *bucket, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - bucket->interval_start_ms, latest;

	if (passed_ms < DEMAND_INTERVAL_MS)
		return bucket->demand_milli;
	latest = (uint64_t)bucket->nr_requests * 1000000 / passed_ms;
	bucket->demand_milli =
		(uint32_t)((bucket->demand_milli *
				    (uint64_t)(DEMAND_SMOOTHING - 1) +
			    latest) /
			   DEMAND_SMOOTHING);
	bucket->nr_requests = 0;
	bucket->interval_start_ms = now_ms;
	return bucket->demand_milli;
}
