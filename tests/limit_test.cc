// Tests limits of backend servers: what is known of a limit, and the permits
// that keep all instances together within it.
#include <gtest/gtest.h>

#include "coord.h"
#include "limit.h"

static struct limit named(uint32_t milli_per_s, uint64_t at_ms)
{
	return { LIMIT_NAMED, milli_per_s, at_ms };
}

static struct limit none(uint64_t at_ms)
{
	return { LIMIT_NONE, 0, at_ms };
}

// Responses reach the instances in another order than the server sent them.
TEST(Limit, NewestObservationApplies)
{
	struct limit limit = {}, observed = named(5000, 1000);

	EXPECT_TRUE(limit_update(&limit, &observed));
	EXPECT_FALSE(limit_update(&limit, &observed)) << "the same again";
	observed = named(3000, 900);
	EXPECT_FALSE(limit_update(&limit, &observed)) << "older";
	EXPECT_EQ(5000u, limit.milli_per_s);
	observed = named(3000, 1100);
	EXPECT_TRUE(limit_update(&limit, &observed));
	EXPECT_EQ(3000u, limit.milli_per_s);
	observed = none(1050);
	EXPECT_FALSE(limit_update(&limit, &observed)) << "older";
	observed = none(1200);
	EXPECT_TRUE(limit_update(&limit, &observed));
	EXPECT_EQ(LIMIT_NONE, limit.state);
	observed = {};
	EXPECT_FALSE(limit_update(&limit, &observed)) << "nothing observed";
	EXPECT_EQ(LIMIT_NONE, limit.state);
}

// Messages about servers that never had a limit stay as short as before.
TEST(Limit, StaysUnknownUntilItIsNamed)
{
	struct limit limit = {}, observed = none(1000);

	EXPECT_FALSE(limit_update(&limit, &observed));
	EXPECT_EQ(LIMIT_UNKNOWN, limit.state);
}

// Returns the permits taken in ten seconds if one is asked for each 10 ms.
static int permits_in_10_s(uint32_t milli_per_s, uint32_t nr_sharing)
{
	struct limit limit = named(milli_per_s, 0);
	struct limit_bucket bucket;
	int nr = 0;

	limit_bucket_start(&bucket, 0, 1000);
	for (uint64_t at_ms = 1000; at_ms < 11000; at_ms += 10)
		nr += !limit_bucket_take(&bucket, &limit, nr_sharing, at_ms);
	return nr;
}

TEST(Limit, PermitsKeepTheRate)
{
	EXPECT_NEAR(57, permits_in_10_s(5700, 1), 1);
	EXPECT_NEAR(500, permits_in_10_s(50000, 1), 5);
	EXPECT_NEAR(19, permits_in_10_s(5700, 3), 1);
	EXPECT_EQ(0, permits_in_10_s(0, 1));
}

// A server that takes nothing is asked now and then whether this still holds.
TEST(Limit, ServerThatTakesNothingGetsARequestEachTenSeconds)
{
	struct limit limit = named(0, 0);
	struct limit_bucket bucket;

	limit_bucket_start(&bucket, 0, 1000);
	EXPECT_EQ(10000u, limit_bucket_take(&bucket, &limit, 1, 1000));
	EXPECT_EQ(0u, limit_bucket_take(&bucket, &limit, 1, 11000));
	EXPECT_EQ(10000u, limit_bucket_take(&bucket, &limit, 1, 11000));
}

// The time in a denial is when there is a permit, not before and not later.
TEST(Limit, DenialTellsTheTimeOfTheNextPermit)
{
	struct limit limit = named(4000, 0);
	struct limit_bucket bucket;

	limit_bucket_start(&bucket, 0, 1000);
	EXPECT_EQ(250u, limit_bucket_take(&bucket, &limit, 1, 1000));
	EXPECT_EQ(LIMIT_DENIAL_MIN_MS,
		  limit_bucket_take(&bucket, &limit, 1, 1249));
	EXPECT_EQ(0u, limit_bucket_take(&bucket, &limit, 1, 1250));
}

TEST(Limit, UnusedPermitsAreNotSavedUp)
{
	struct limit limit = named(4000, 0);
	struct limit_bucket bucket;
	int nr = 0;

	limit_bucket_start(&bucket, 0, 1000);
	while (!limit_bucket_take(&bucket, &limit, 1, 61000))
		nr++;
	EXPECT_EQ(3, nr) << "one, and those of half a second";
}

// A limit that was lowered leaves no permits of the higher one.
TEST(Limit, LoweredLimitAppliesAtOnce)
{
	struct limit high = named(100000, 0), low = named(2000, 0);
	struct limit_bucket bucket;
	int nr = 0;

	limit_bucket_start(&bucket, 0, 1000);
	limit_bucket_take(&bucket, &high, 1, 2000);
	while (!limit_bucket_take(&bucket, &low, 1, 2000))
		nr++;
	EXPECT_LE(nr, 2);
}

// Requests sent without a permit, as by instances of an earlier version, are
// made up for, but do not keep the server without requests for long.
TEST(Limit, RequestsWithoutAPermitAreMadeUpFor)
{
	struct limit limit = named(4000, 0);
	struct limit_bucket bucket;

	limit_bucket_start(&bucket, 1, 1000);
	EXPECT_TRUE(limit_bucket_charge(&bucket, &limit, 1000));
	EXPECT_FALSE(limit_bucket_charge(&bucket, &limit, 1000));
	EXPECT_EQ(500u, limit_bucket_take(&bucket, &limit, 1, 1000));
	for (int i = 0; i < 1000; i++)
		limit_bucket_charge(&bucket, &limit, 1000);
	EXPECT_EQ(LIMIT_DEBT_MAX_MS + 250u,
		  limit_bucket_take(&bucket, &limit, 1, 1000));
}

// Returns when a caller returns that is refused now, with a permit due in
// 300 ms.
static uint32_t next_return(struct limit_returns *returns, uint64_t now_ms)
{
	return limit_returns_next(returns, now_ms + 300, 0.5, now_ms);
}

// Callers that were refused at one moment must not all return at one moment.
TEST(Limit, RefusedCallersReturnAtTheRateOfThePermits)
{
	struct limit_returns returns = {};
	uint64_t now_ms = 10000;

	for (; now_ms < 20000; now_ms += 200)
		limit_returns_count(&returns, now_ms);
	EXPECT_EQ(300u, next_return(&returns, now_ms));
	EXPECT_NEAR(500, next_return(&returns, now_ms), 30);
	EXPECT_NEAR(700, next_return(&returns, now_ms), 60);
	EXPECT_EQ(300u, next_return(&returns, now_ms + 10000));
}

// A caller must not be sent away for longer than it would wait, unless there is
// no permit before.
TEST(Limit, ReturnsAreSpreadOverABoundedTime)
{
	struct limit_returns returns = {};

	EXPECT_EQ(300u, next_return(&returns, 10000));
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(300u + (LIMIT_RETURN_MAX_MS - 300) / 2,
			  next_return(&returns, 10000));
	EXPECT_EQ(8000u, limit_returns_next(&returns, 18000, 0.5, 10000));
	EXPECT_EQ(LIMIT_RETURN_MIN_MS + 0u,
		  limit_returns_next(&returns, 0, 0, 30000));
}

class CoordLimit : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(100000);
	struct coord *coord = coord_create(clk);
	uint64_t next_token = 1;

	~CoordLimit()
	{
		coord_destroy(coord);
		clk_destroy(clk);
	}

	struct coord_query query(struct limit limit = {}, uint32_t server = 1)
	{
		struct coord_query query = {};

		query.token = next_token++;
		query.server = server;
		query.upstream = 7;
		query.left_ms = 2000;
		query.supports_limits = true;
		query.limit = limit;
		return query;
	}

	struct coord_reply ask(const struct coord_query &query)
	{
		struct coord_reply reply = {};

		EXPECT_EQ(0, coord_query(coord, &query, &reply));
		return reply;
	}

	struct limit now(uint32_t milli_per_s)
	{
		return named(milli_per_s, clk_now_ms(clk));
	}
};

// An instance that has not received a response with the limit learns it from
// the coordinator, which learned it from another instance.
TEST_F(CoordLimit, LimitOfOneInstanceAppliesToAll)
{
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query()).permit);
	struct limit observed = now(2000);
	coord_observe_limit(coord, 1, &observed);
	coord_end(coord, 1, COORD_CACHE_UNKNOWN);
	auto reply = ask(query());
	EXPECT_EQ(COORD_PERMIT_DENIED, reply.permit);
	EXPECT_EQ(500u, reply.retry_ms);
	EXPECT_EQ(LIMIT_NAMED, reply.limit.state);
	EXPECT_EQ(2000u, reply.limit.milli_per_s);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query({}, 2)).permit)
		<< "another server";
	clk_advance_ms(clk, 500);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query()).permit);
	EXPECT_EQ(COORD_PERMIT_DENIED, ask(query()).permit);
}

// A denied request does not reach the server and must not count as load.
TEST_F(CoordLimit, DeniedRequestsAreNotInFlight)
{
	ask(query(now(2000)));
	ask(query());
	clk_advance_ms(clk, 500);
	EXPECT_EQ(0u, ask(query()).in_flight);
	EXPECT_EQ(1u, ask(query()).in_flight);
}

// A new coordinator learns the limit from the first query of an instance that
// knows it, and must not give out what its predecessor gave out already.
TEST_F(CoordLimit, NewCoordinatorBeginsWithoutPermits)
{
	auto reply = ask(query(named(4000, clk_now_ms(clk) - 100)));

	EXPECT_EQ(COORD_PERMIT_DENIED, reply.permit);
	EXPECT_EQ(150u, reply.retry_ms);
}

// The first request after a long time must not be denied.
TEST_F(CoordLimit, ServerWithoutRequestsForAWhileHasAPermit)
{
	struct limit limit = named(500, clk_now_ms(clk) - 3000);

	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query(limit)).permit);
	EXPECT_EQ(COORD_PERMIT_DENIED, ask(query(limit)).permit);
}

TEST_F(CoordLimit, PermitOfAnUnsentRequestIsReturned)
{
	ask(query(now(2000)));
	clk_advance_ms(clk, 500);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query()).permit);
	coord_end(coord, next_token - 1, COORD_NOT_SENT);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query()).permit);
}

// A datagram may arrive twice.
TEST_F(CoordLimit, SameTokenTakesOnePermit)
{
	ask(query(now(2000)));
	clk_advance_ms(clk, 800); // two permits at most
	auto first = query();
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(first).permit);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(first).permit);
	clk_advance_ms(clk, 200);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query()).permit);
}

TEST_F(CoordLimit, LimitIsFollowedInBothDirectionsAndEnds)
{
	ask(query(now(1000)));
	clk_advance_ms(clk, 1000);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query(now(100000))).permit);
	clk_advance_ms(clk, 10);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query()).permit);
	clk_advance_ms(clk, 10);
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(query(now(1000))).permit);
	EXPECT_EQ(COORD_PERMIT_DENIED, ask(query()).permit);
	clk_advance_ms(clk, 10);
	for (int i = 0; i < 100; i++)
		EXPECT_EQ(COORD_PERMIT_GRANTED,
			  ask(query(none(clk_now_ms(clk)))).permit);
}

// Requests to far servers do not wait for the reply, and instances of an
// earlier version know no permits: both count, and the latter are given a load
// at which they choose another server.
TEST_F(CoordLimit, RequestsThatAreSentAnywayCount)
{
	ask(query(now(1000)));
	clk_advance_ms(clk, 1000);
	auto sent = query();
	sent.is_sent = true;
	EXPECT_EQ(COORD_PERMIT_GRANTED, ask(sent).permit);
	EXPECT_EQ(COORD_PERMIT_DENIED, ask(query()).permit);
	auto old = query();
	old.supports_limits = false;
	EXPECT_EQ(1u + COORD_LOAD_FULL, ask(old).in_flight);
	auto reply = ask(query());
	EXPECT_EQ(COORD_PERMIT_DENIED, reply.permit);
	EXPECT_EQ(2000u, reply.retry_ms);
}
