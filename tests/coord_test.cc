// Tests the counts of a coordinator: they are exact while messages arrive, and
// correct again soon after some were lost.
#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "coord.h"

class Coord : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(1000);
	struct coord *coord = coord_create(clk);
	uint64_t next_token = 1;

	~Coord()
	{
		coord_destroy(coord);
		clk_destroy(clk);
	}

	struct coord_reply query(uint64_t object = 0, uint32_t server = 1,
				 uint32_t left_ms = 2000)
	{
		struct coord_query query = {};
		struct coord_reply reply = {};

		query.token = next_token++;
		query.server = server;
		query.upstream = 7;
		query.has_object = object != 0;
		query.object = object;
		query.left_ms = left_ms;
		EXPECT_EQ(0, coord_query(coord, &query, &reply));
		return reply;
	}

	// Counts a request and ends it with a cache hit or miss.
	struct coord_reply run(uint64_t object, bool hit, uint32_t server = 1)
	{
		auto reply = query(object, server);

		coord_end(coord, next_token - 1,
			  hit ? COORD_CACHE_HIT : COORD_CACHE_MISS);
		return reply;
	}
};

TEST_F(Coord, CountsRequestsInFlightPerServer)
{
	EXPECT_EQ(0u, query().in_flight);
	EXPECT_EQ(1u, query().in_flight);
	EXPECT_EQ(0u, query(0, 2).in_flight);
	coord_end(coord, 1, COORD_CACHE_UNKNOWN);
	EXPECT_EQ(1u, query().in_flight);
	coord_end(coord, 1, COORD_CACHE_UNKNOWN); // reported twice
	coord_end(coord, 999, COORD_CACHE_HIT); // never queried
	EXPECT_EQ(2u, query().in_flight);
}

// A datagram may arrive twice.
TEST_F(Coord, SameTokenCountsOnce)
{
	query();
	next_token = 1;
	EXPECT_EQ(0u, query().in_flight);
	EXPECT_EQ(1u, query().in_flight);
}

// The report that a request has finished may be lost; it must not make a server
// look full.
TEST_F(Coord, RequestsExpireWhenTheirEndIsLost)
{
	query(0, 1, 500);
	query(0, 1, 60000);
	clk_advance_ms(clk, 500);
	coord_tick(coord);
	EXPECT_EQ(1u, query().in_flight);
	clk_advance_ms(clk, COORD_LIFETIME_MAX_MS);
	coord_tick(coord);
	EXPECT_EQ(0u, query().in_flight);
}

TEST_F(Coord, LatestObjectsCountAsCached)
{
	EXPECT_FALSE(run(1, false).cached);
	EXPECT_TRUE(run(1, true).cached);
	EXPECT_FALSE(run(1, false, 2).cached) << "another server";
	for (uint64_t object = 2; object < 40; object++)
		run(object, false);
	EXPECT_FALSE(run(1, false).cached);
}

// A request that was sent to another server must not count as having filled the
// cache.
TEST_F(Coord, ObjectOfUnsentRequestIsNotCached)
{
	query(5);
	coord_end(coord, next_token - 1, COORD_NOT_SENT);
	EXPECT_FALSE(query(5).cached);
}

// The servers of a service cache fewer or more objects than initially assumed.
// The durations of the work show how many.
TEST_F(Coord, LearnsCacheSizeOfServers)
{
	for (size_t cache_size : { 4u, 20u }) {
		std::vector<uint64_t> cached; // newest last
		std::mt19937 random(3);
		size_t right = 0, nr = 0;

		coord_destroy(coord);
		coord = coord_create(clk);
		for (int i = 0; i < 4000; i++) {
			uint64_t object = 1 + random() % 30;
			auto at =
				std::find(cached.begin(), cached.end(), object);
			bool is_cached = at != cached.end();

			if (is_cached)
				cached.erase(at);
			cached.push_back(object);
			if (cached.size() > cache_size)
				cached.erase(cached.begin());
			bool reported = run(object, is_cached).cached;
			if (i < 2000)
				continue;
			nr++;
			right += reported == is_cached;
		}
		EXPECT_GT(right, nr * 98 / 100) << cache_size;
	}
}
