#include "share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Without a grant one request is admitted in so many windows, and of a part
 * that has ended one of so many is kept: a tenth is borne above limits. */
#define FLOOR_PARTS 10
#define DEMAND_INTERVAL_MS 500
/* An instance has one request of a small customer in a second or two, so the
 * demand is the mean of some seconds. */
#define DEMAND_SMOOTH 5
/* Part that is divided equally: clusters come at any instance, also where
 * there was no request lately. */
#define EQUAL_PERCENT 60
/* An instance that may hold so many requests seldom has to ask. With less than
 * one for each instance most of the limit stays with the leader, since what an
 * instance holds and does not use lies idle. */
#define RICH_REQUESTS 6
#define HELD_RICH_PERCENT 85
#define HELD_FAIR_PERCENT 75
#define HELD_POOR_PERCENT 40
/* Smaller changes of what is held are left out, so that it does not follow
 * the noise of single requests. */
#define KEEP_PART 8
/* A leader takes its office so long after its predecessor's last token. */
#define SUCCESSION_PARTS 4

/* ---- rings ---- */

static void ring_advance(struct share_ring *ring, uint32_t window_ms,
			 uint64_t now_ms)
{
	uint64_t part = now_ms / (window_ms / SHARE_WINDOW_PARTS + 1);
	uint64_t steps = part > ring->part ? part - ring->part : 0;

	if (steps > SHARE_RING_PARTS)
		steps = SHARE_RING_PARTS;
	for (uint64_t i = 0; i < steps; i++) {
		uint32_t *oldest = &ring->counts[(part - i) % SHARE_RING_PARTS];

		ring->sum -= *oldest;
		*oldest = 0;
	}
	if (part > ring->part)
		ring->part = part;
}

static void ring_add(struct share_ring *ring, uint32_t nr)
{
	ring->counts[ring->part % SHARE_RING_PARTS] += nr;
	ring->sum += nr;
}

/* ---- leader ---- */

struct holder {
	char instance[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t reported_ms;
	uint32_t demand_milli;
	uint32_t reserved; /* it may hold so much */
};

struct customer {
	char name[NAME_BYTES_MAX];
	struct holder *holders;
	size_t nr_holders;
	uint64_t demand_milli; /* of all holders */
	uint64_t reserved;
	/* Tokens, and uses of parts that are not held any more. */
	struct share_ring used;
	UT_hash_handle hh;
};

struct share_pool {
	struct clk *clk;
	uint64_t since_ms;
	struct customer *customers;
};

struct share_pool *share_pool_create(struct clk *clk)
{
	struct share_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->clk = clk;
	pool->since_ms = clk_now_ms(clk);
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

static uint64_t less(uint64_t from, uint64_t what)
{
	return what < from ? from - what : 0;
}

/*
 * Part of the limit that instances may hold.
 */
static uint32_t held_part(const struct share_limit *limit, size_t nr_instances)
{
	uint64_t percent = HELD_POOR_PERCENT;

	if (limit->requests >= RICH_REQUESTS * nr_instances)
		percent = HELD_RICH_PERCENT;
	else if (limit->requests >= nr_instances)
		percent = HELD_FAIR_PERCENT;
	return (uint32_t)(limit->requests * percent / 100);
}

/*
 * What the predecessor of a new leader gave in its last window.
 */
static void assume_tokens(struct customer *customer, uint32_t tokens)
{
	for (uint64_t i = SUCCESSION_PARTS; i < SHARE_RING_PARTS; i++)
		customer->used
			.counts[(customer->used.part - i) % SHARE_RING_PARTS] +=
			tokens / SHARE_RING_PARTS;
	customer->used.sum += (SHARE_RING_PARTS - SUCCESSION_PARTS) *
			      (tokens / SHARE_RING_PARTS);
}

/*
 * What instances may hold that have not reported to a new leader yet.
 */
static uint64_t unknown_part(const struct share_pool *pool,
			     const struct customer *customer, uint32_t part,
			     size_t nr_instances)
{
	if (customer->nr_holders >= nr_instances ||
	    clk_now_ms(pool->clk) >= pool->since_ms + SHARE_LIFETIME_MS)
		return 0;
	return (uint64_t)part * (nr_instances - customer->nr_holders) /
	       nr_instances;
}

static uint32_t fair_part(const struct customer *customer, uint32_t demand,
			  uint32_t part, size_t nr)
{
	uint64_t total = customer->demand_milli;
	double equal = (double)part / (double)nr;
	double by_demand = total ? (double)part * demand / (double)total :
				   equal;

	return (uint32_t)((equal * EQUAL_PERCENT +
			   by_demand * (100 - EQUAL_PERCENT)) /
				  100 +
			  0.5);
}

/*
 * Notes what the instance holds. What it has used and holds no more stays used
 * until the window has passed.
 */
static void take_report(struct share_pool *pool, struct customer *customer,
			struct holder *holder,
			const struct share_report *report)
{
	uint32_t reserved = report->held;

	if (holder->incarnation && holder->incarnation != report->incarnation)
		ring_add(&customer->used, holder->reserved);
	else if (!report->confirmed && holder->reserved > reserved)
		/* A grant that may be under way counts as held. */
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
	uint64_t others, room, free_part;
	uint32_t part, want, keep;
	struct holder *holder;
	bool is_new;

	is_new = customer && !customer->nr_holders;
	holder = customer ? get_holder(customer, report->instance) : NULL;
	if (!holder)
		return grant;
	if (nr_instances < customer->nr_holders)
		nr_instances = customer->nr_holders;
	part = held_part(limit, nr_instances);
	ring_advance(&customer->used, limit->window_ms, clk_now_ms(pool->clk));
	if (is_new && clk_now_ms(pool->clk) < pool->since_ms + limit->window_ms)
		assume_tokens(customer, limit->requests - part);
	take_report(pool, customer, holder, report);
	others = customer->reserved - holder->reserved +
		 unknown_part(pool, customer, part, nr_instances);
	room = less(limit->requests, others + customer->used.sum);
	free_part = less(part, others);
	if (free_part > room)
		free_part = room;
	want = fair_part(customer, report->demand_milli, part, nr_instances);
	keep = report->held / KEEP_PART;
	if (want < report->held && report->held - want <= (keep ? keep : 1))
		want = report->held;
	grant.held = want < free_part ? want : (uint32_t)free_part;
	if (grant.held > holder->reserved)
		set_holder(customer, holder, report->demand_milli, grant.held);
	room = less(room, holder->reserved);
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
			/* Silent for longer than any window. */
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
	bucket->interval_ms = now_ms;
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
 * When the oldest use leaves the ring; after a window if there is none.
 */
static uint32_t room_in_ms(const struct share_bucket *bucket, uint64_t now_ms)
{
	uint32_t part_ms = bucket->window_ms / SHARE_WINDOW_PARTS + 1;
	const struct share_ring *ring = &bucket->used;

	for (uint64_t i = 1; i <= SHARE_RING_PARTS; i++)
		if (ring->counts[(ring->part + i) % SHARE_RING_PARTS])
			return (uint32_t)((ring->part + i) * part_ms - now_ms);
	return bucket->window_ms;
}

static bool take_floor(struct share_bucket *bucket, uint64_t now_ms)
{
	if (!bucket->has_no_grant || now_ms < bucket->floor_ms)
		return false;
	bucket->floor_ms = now_ms + (uint64_t)bucket->window_ms * FLOOR_PARTS;
	return true;
}

uint32_t share_bucket_take(struct share_bucket *bucket, uint64_t now_ms)
{
	if (!bucket->has_no_grant && now_ms >= bucket->expires_ms) {
		bucket->held /= FLOOR_PARTS;
		bucket->has_no_grant = true;
	}
	bucket->nr_asked++;
	if (share_bucket_used(bucket, now_ms) >= bucket->held &&
	    !take_floor(bucket, now_ms))
		return room_in_ms(bucket, now_ms);
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
	for (uint64_t i = 0; i < SHARE_RING_PARTS; i++) {
		uint32_t *count =
			&ring->counts[(ring->part - i) % SHARE_RING_PARTS];

		if (!*count)
			continue;
		(*count)--;
		ring->sum--;
		bucket->floor_ms = 0;
		return;
	}
}

uint32_t share_bucket_demand(struct share_bucket *bucket, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - bucket->interval_ms, latest;

	if (passed_ms < DEMAND_INTERVAL_MS)
		return bucket->demand_milli;
	latest = (uint64_t)bucket->nr_asked * 1000000 / passed_ms;
	bucket->demand_milli =
		(uint32_t)((bucket->demand_milli *
				    (uint64_t)(DEMAND_SMOOTH - 1) +
			    latest) /
			   DEMAND_SMOOTH);
	bucket->nr_asked = 0;
	bucket->interval_ms = now_ms;
	return bucket->demand_milli;
}
