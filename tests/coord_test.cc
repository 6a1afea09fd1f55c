// Guards the counts of a coordinator: exact while messages arrive, right again
// soon after some were lost.
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

	struct coord_told ask(uint64_t object = 0, uint32_t server = 1,
			      uint32_t left_ms = 2000)
	{
		struct coord_ask ask = {};
		struct coord_told told = {};

		ask.token = next_token++;
		ask.server = server;
		ask.upstream = 7;
		ask.has_object = object != 0;
		ask.object = object;
		ask.left_ms = left_ms;
		EXPECT_EQ(0, coord_ask(coord, &ask, &told));
		return told;
	}

	// Asks and ends with what the server would show.
	struct coord_told run(uint64_t object, bool knew, uint32_t server = 1)
	{
		auto told = ask(object, server);

		coord_end(coord, next_token - 1,
			  knew ? COORD_KNEW : COORD_DID_NOT_KNOW);
		return told;
	}
};

TEST_F(Coord, CountsWhatIsUnderWayAtEachServer)
{
	EXPECT_EQ(0u, ask().running);
	EXPECT_EQ(1u, ask().running);
	EXPECT_EQ(0u, ask(0, 2).running);
	coord_end(coord, 1, COORD_UNTOLD);
	EXPECT_EQ(1u, ask().running);
	coord_end(coord, 1, COORD_UNTOLD); // told twice
	coord_end(coord, 999, COORD_KNEW); // never asked for
	EXPECT_EQ(2u, ask().running);
}

// A datagram may arrive twice.
TEST_F(Coord, SameTokenCountsOnce)
{
	ask();
	next_token = 1;
	EXPECT_EQ(0u, ask().running);
	EXPECT_EQ(1u, ask().running);
}

// The end of a request may be lost; it must not make a server look full.
TEST_F(Coord, LostEndsAreForgotten)
{
	ask(0, 1, 500);
	ask(0, 1, 60000);
	clk_advance_ms(clk, 500);
	coord_tick(coord);
	EXPECT_EQ(1u, ask().running);
	clk_advance_ms(clk, COORD_LIFETIME_MAX_MS);
	coord_tick(coord);
	EXPECT_EQ(0u, ask().running);
}

TEST_F(Coord, KnowsTheLatestObjects)
{
	EXPECT_FALSE(run(1, false).knows);
	EXPECT_TRUE(run(1, true).knows);
	EXPECT_FALSE(run(1, false, 2).knows) << "another server";
	for (uint64_t object = 2; object < 40; object++)
		run(object, false);
	EXPECT_FALSE(run(1, false).knows);
}

// A request that goes elsewhere leaves no trace.
TEST_F(Coord, WhatIsNotSentIsNotKnown)
{
	ask(5);
	coord_end(coord, next_token - 1, COORD_NOT_SENT);
	EXPECT_FALSE(ask(5).knows);
}

// Pattern: servers of a service that keep fewer or more objects in mind than
// is taken at first. How many shows in how long the work takes.
TEST_F(Coord, LearnsHowManyObjectsAServerKnows)
{
	for (size_t keeps : { 4u, 20u }) {
		std::vector<uint64_t> known; // newest last
		std::mt19937 random(3);
		size_t right = 0, nr = 0;

		coord_destroy(coord);
		coord = coord_create(clk);
		for (int i = 0; i < 4000; i++) {
			uint64_t object = 1 + random() % 30;
			auto at = std::find(known.begin(), known.end(), object);
			bool knows = at != known.end();

			if (knows)
				known.erase(at);
			known.push_back(object);
			if (known.size() > keeps)
				known.erase(known.begin());
			bool told = run(object, knows).knows;
			if (i < 2000)
				continue;
			nr++;
			right += told == knows;
		}
		EXPECT_GT(right, nr * 98 / 100) << keeps;
	}
}
