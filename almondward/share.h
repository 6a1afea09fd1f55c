/*
 * share: what a customer may use, divided over the entry instances.
 *
 * A limit is a number of requests in any window of time. The leader divides
 * most of it: what an instance holds is so many requests in any window, also
 * while no leader can be reached, for SHARE_LIFETIME_MS. The rest stays with
 * the leader, who gives single tokens to requests that find their instance's
 * part used up. Parts, tokens of the last window and what is not known never
 * exceed the limit together. Decisions only: time comes from a clock.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An election and a partition of some seconds must not end shares. */
#define SHARE_LIFETIME_MS 15000
#define SHARE_REPORT_MS 500
/* With many instances each reports less often, so that the leader takes a
 * bounded number of reports. Requests without a token ask in between. */
#define SHARE_REPORT_PER_INSTANCE_MS 10
#define SHARE_REPORT_MAX_MS 3000

/* Parts of a window in which uses are counted; the last ones are older than
 * the window by at least one part. */
#define SHARE_WINDOW_PARTS 20
#define SHARE_RING_PARTS (SHARE_WINDOW_PARTS + 2)

/* Uses of the last window and a little longer. */
struct share_ring {
	uint64_t part; /* the running one */
	uint32_t counts[SHARE_RING_PARTS];
	uint32_t sum;
};

/* ---- leader ---- */

struct share_pool;

/*
 * A new leader does not know which parts are held: instances that have not
 * reported are taken to hold an equal one for SHARE_LIFETIME_MS, and the tokens
 * of its predecessor are taken to be used up evenly.
 */
struct share_pool *share_pool_create(struct clk *clk);
void share_pool_destroy(struct share_pool *pool);

/* Requests of a customer in any window. */
struct share_limit {
	uint32_t requests;
	uint32_t window_ms;
};

/* One instance's report for one customer. */
struct share_report {
	const char *customer;
	const char *instance;
	uint64_t incarnation;
	uint32_t demand_milli; /* requests a second */
	uint32_t held; /* the part in force there, requests in a window */
	uint32_t used; /* of it in the last window */
	bool confirmed; /* it holds what it was granted last */
	uint32_t wanted; /* requests that wait for a token */
};

struct share_grant {
	uint32_t held; /* requests in any window */
	uint32_t tokens; /* for requests that wait, once */
};

/*
 * Takes a report and returns what the instance gets. nr_instances is the
 * number of those that serve now. Grants what is held when memory is
 * exhausted.
 */
struct share_grant share_pool_report(struct share_pool *pool,
				     const struct share_report *report,
				     const struct share_limit *limit,
				     size_t nr_instances);

/*
 * Drops what instances held that are silent for SHARE_LIFETIME_MS.
 */
void share_pool_tick(struct share_pool *pool);

/* ---- entry instance ---- */

struct share_bucket {
	uint32_t held; /* requests in any window */
	uint32_t window_ms;
	uint32_t whole_rate_milli; /* of the customer */
	struct share_ring used;
	uint64_t expires_ms;
	bool is_floor; /* nothing was granted, or it has ended */
	uint64_t floor_ms; /* when a request may be admitted without a grant */
	/* Demand: requests in the running and the last interval. */
	uint64_t interval_ms;
	uint32_t nr_asked;
	uint32_t demand_milli;
};

/*
 * A bucket that holds nothing; until the first grant it admits a single
 * request.
 */
void share_bucket_init(struct share_bucket *bucket, uint32_t rate_milli,
		       uint32_t window_ms, uint64_t now_ms);

/*
 * The customer's rate was changed by an operator. A lower one is in force at
 * once, a higher one with the next grant.
 */
void share_bucket_set_rate(struct share_bucket *bucket, uint32_t rate_milli);
void share_bucket_grant(struct share_bucket *bucket,
			const struct share_grant *grant, uint64_t reported_ms);

/*
 * Admits one request. Returns 0, or the milliseconds until there is room.
 */
uint32_t share_bucket_take(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Admits a request although nothing is left, if there was none in the last
 * window: for one that waited in vain for a leader that cannot be reached.
 */
bool share_bucket_take_if_idle(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Takes back a request that was not sent to any server.
 */
void share_bucket_return(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Requests admitted in the last window.
 */
uint32_t share_bucket_used(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Requests a second asked for lately, in thousandths.
 */
uint32_t share_bucket_demand(struct share_bucket *bucket, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
