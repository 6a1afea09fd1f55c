/*
 * share: divides the rate limit of a customer among the entry instances.
 *
 * A limit is a number of requests in any time window of a given length. The
 * leader divides most of it into shares. A share is the number of requests that
 * its instance may admit in any window; it is valid for SHARE_LIFETIME_MS, also
 * while no leader can be reached. The leader keeps the rest of the limit and
 * grants single tokens from it to requests whose instance has used up its
 * share. The shares, the tokens of the last window and the shares that a new
 * leader must assume never exceed the limit together. This module only decides
 * and does no I/O; the time comes from a clock.
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

/* Shares have to survive an election and a partition of some seconds. */
#define SHARE_LIFETIME_MS 15000
#define SHARE_REPORT_MS 500
/* Interval between the reports of an instance. With many instances each reports
 * less often, which bounds the number of reports at the leader. Between
 * reports, requests without a token query the leader. */
#define SHARE_REPORT_PER_INSTANCE_MS 10
#define SHARE_REPORT_MAX_MS 3000

/* Time in which the instances find a new leader and report to it. */
#define SHARE_SETTLE_MS 1500

/* Slices of a window in which uses are counted. The ring is at least one slice
 * longer than the window, so that a use never leaves it too early. */
#define SHARE_WINDOW_SLICES 20
#define SHARE_RING_SLICES (SHARE_WINDOW_SLICES + 2)

/* Uses in the last window and up to two slices before it. */
struct share_ring {
	uint64_t slice; /* number of the current slice */
	uint32_t counts[SHARE_RING_SLICES];
	uint32_t sum;
};

/* ---- leader ---- */

struct share_pool;

/*
 * Returns NULL when memory is exhausted. A new leader does not know the shares
 * of the instances: those that have not reported are assumed to have an equal
 * share for SHARE_LIFETIME_MS, and the tokens of the previous leader are
 * assumed to have been used at an even rate. A leader that does not know the
 * instances, since it has not followed another one, gives no one a larger share
 * for SHARE_SETTLE_MS, unless the reports account for the whole limit.
 */
struct share_pool *share_pool_create(struct clk *clk, bool knows_instances);
void share_pool_destroy(struct share_pool *pool);

/* Number of requests of a customer in any window. */
struct share_limit {
	uint32_t requests;
	uint32_t window_ms;
};

/* Report of one instance about one customer. */
struct share_report {
	const char *customer;
	const char *instance;
	uint64_t incarnation;
	uint32_t demand_milli; /* requests per second, in thousandths */
	uint32_t held; /* share in force there, requests per window */
	uint32_t used; /* uses of the share in the last window */
	bool confirmed; /* the last grant is in force at the instance */
	uint32_t wanted; /* requests waiting for a token */
};

struct share_grant {
	uint32_t held; /* share, in requests per window */
	uint32_t tokens; /* for waiting requests, valid once */
};

/*
 * Applies a report and returns the new share and the tokens of the instance.
 * nr_instances is the number of instances that are serving. Returns the present
 * share when memory is exhausted.
 */
struct share_grant share_pool_report(struct share_pool *pool,
				     const struct share_report *report,
				     const struct share_limit *limit,
				     size_t nr_instances);

/*
 * Discards the shares of instances that have not reported for
 * SHARE_LIFETIME_MS.
 */
void share_pool_tick(struct share_pool *pool);

/* ---- entry instance ---- */

struct share_bucket {
	uint32_t held; /* share, in requests per window */
	uint32_t window_ms;
	/* The customer's rate over all instances. */
	uint32_t customer_rate_milli;
	struct share_ring used;
	uint64_t expires_ms;
	bool has_no_grant; /* no share was granted yet, or it has expired */
	/* No request is admitted without a grant before this time. */
	uint64_t ungranted_from_ms;
	/* Demand: requests in the current interval and the smoothed rate. */
	uint64_t interval_start_ms;
	uint32_t nr_requests;
	uint32_t demand_milli;
};

/*
 * Initializes a bucket without a share. Until the first grant it admits a
 * single request.
 */
void share_bucket_init(struct share_bucket *bucket, uint32_t rate_milli,
		       uint32_t window_ms, uint64_t now_ms);

/*
 * Applies a change of the customer's rate by an operator. A lower rate applies
 * at once, a higher one with the next grant.
 */
void share_bucket_set_rate(struct share_bucket *bucket, uint32_t rate_milli);
void share_bucket_grant(struct share_bucket *bucket,
			const struct share_grant *grant, uint64_t reported_ms);

/*
 * Admits a request and returns 0, or returns the milliseconds until one can be
 * admitted.
 */
uint32_t share_bucket_take(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Admits a request although the share is used up, if no request was admitted in
 * the last window: for a request whose wait for an unreachable leader was in
 * vain.
 */
bool share_bucket_take_if_idle(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Returns the use of a request that was not forwarded to any server.
 */
void share_bucket_return(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Returns the number of requests admitted in the last window.
 */
uint32_t share_bucket_used(struct share_bucket *bucket, uint64_t now_ms);

/*
 * Returns the recent demand in requests per second, in thousandths.
 */
uint32_t share_bucket_demand(struct share_bucket *bucket, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
