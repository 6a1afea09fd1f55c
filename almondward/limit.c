#include "limit.h"

#include <math.h>

/* Time constant with which the average rate of permits follows a change. */
#define RATE_FOLLOW_MS 2000.0

bool limit_update(struct limit *limit, const struct limit *observed)
{
	struct limit old = *limit;

	if (observed->state == LIMIT_UNKNOWN ||
	    (observed->state == LIMIT_NONE && old.state == LIMIT_UNKNOWN) ||
	    observed->observed_ms < limit->observed_ms)
		return false;
	*limit = *observed;
	if (limit->state == LIMIT_NONE)
		return old.state == LIMIT_NAMED;
	return old.state != LIMIT_NAMED ||
	       old.milli_per_s != limit->milli_per_s;
}

void limit_bucket_start(struct limit_bucket *bucket, double permits,
			uint64_t since_ms)
{
	bucket->permits = permits;
	bucket->filled_ms = since_ms;
}

static double get_per_ms(const struct limit *limit, uint32_t nr_sharing)
{
	uint32_t milli_per_s = limit->milli_per_s;

	if (milli_per_s < LIMIT_MIN_MILLI_PER_S)
		milli_per_s = LIMIT_MIN_MILLI_PER_S;
	return milli_per_s / 1e6 / (nr_sharing ? nr_sharing : 1);
}

static void fill(struct limit_bucket *bucket, double per_ms, uint64_t now_ms)
{
	double max = 1 + per_ms * LIMIT_BURST_MS;

	if (now_ms > bucket->filled_ms)
		bucket->permits +=
			per_ms * (double)(now_ms - bucket->filled_ms);
	bucket->filled_ms = now_ms;
	if (bucket->permits > max)
		bucket->permits = max;
}

uint32_t limit_bucket_take(struct limit_bucket *bucket,
			   const struct limit *limit, uint32_t nr_sharing,
			   uint64_t now_ms)
{
	double per_ms = get_per_ms(limit, nr_sharing), wait_ms;

	fill(bucket, per_ms, now_ms);
	if (bucket->permits >= 1) {
		bucket->permits -= 1;
		return 0;
	}
	wait_ms = ceil((1 - bucket->permits) / per_ms);
	return wait_ms < LIMIT_DENIAL_MIN_MS ? LIMIT_DENIAL_MIN_MS :
					       (uint32_t)wait_ms;
}

bool limit_bucket_charge(struct limit_bucket *bucket, const struct limit *limit,
			 uint64_t now_ms)
{
	double per_ms = get_per_ms(limit, 1);
	double least = -per_ms * LIMIT_DEBT_MAX_MS;
	bool had_permit;

	fill(bucket, per_ms, now_ms);
	had_permit = bucket->permits >= 1;
	bucket->permits -= 1;
	if (bucket->permits < least)
		bucket->permits = least;
	return had_permit;
}

void limit_bucket_return(struct limit_bucket *bucket)
{
	bucket->permits += 1;
}

static void decay_rate(struct limit_returns *returns, uint64_t now_ms)
{
	returns->permits_per_ms *=
		exp(-(double)(now_ms - returns->measured_ms) / RATE_FOLLOW_MS);
	returns->measured_ms = now_ms;
}

void limit_returns_count(struct limit_returns *returns, uint64_t now_ms)
{
	decay_rate(returns, now_ms);
	returns->permits_per_ms += 1 / RATE_FOLLOW_MS;
}

uint32_t limit_returns_next(struct limit_returns *returns, uint64_t permit_ms,
			    double draw, uint64_t now_ms)
{
	uint64_t return_ms = returns->awaited_ms;
	uint64_t last_ms = now_ms + LIMIT_RETURN_MAX_MS;

	decay_rate(returns, now_ms);
	if (permit_ms < now_ms + LIMIT_RETURN_MIN_MS)
		permit_ms = now_ms + LIMIT_RETURN_MIN_MS;
	if (return_ms < permit_ms)
		return_ms = permit_ms;
	if (permit_ms >= last_ms)
		return (uint32_t)(permit_ms - now_ms);
	if (return_ms >= last_ms)
		return (uint32_t)((double)(permit_ms - now_ms) +
				  (double)(last_ms - permit_ms) * draw);
	returns->awaited_ms = return_ms + LIMIT_RETURN_MAX_MS;
	if (returns->permits_per_ms * LIMIT_RETURN_MAX_MS > 1)
		returns->awaited_ms =
			return_ms + (uint64_t)(1 / returns->permits_per_ms);
	return (uint32_t)(return_ms - now_ms);
}
