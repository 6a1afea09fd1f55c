// Guards the bound of the time at which a message arrived: an order that waited
// while the process stood still was taken for a new one.
#include <gtest/gtest.h>

extern "C" {
#include "arrival.h"
}

namespace
{

const uint64_t TURN_MS = 10;

struct Arrival : testing::Test {
	struct clk *clk = clk_create_paused(1000000);
	struct arrival *arrival = arrival_create(clk);

	~Arrival() override
	{
		arrival_destroy(arrival);
		clk_destroy(clk);
	}
	void turn(int nr = 1, uint64_t after_ms = TURN_MS)
	{
		while (nr--) {
			clk_advance_ms(clk, after_ms);
			arrival_turn(arrival);
		}
	}
	// Returns how long before now a message that is read now arrived at most.
	uint64_t waited_ms()
	{
		uint64_t now_ms = clk_now_ms(clk);

		return now_ms - arrival_earliest_ms(arrival, now_ms);
	}
};

} // namespace

TEST_F(Arrival, IsRecentWhileTheProcessRuns)
{
	turn(100);
	EXPECT_EQ(2 * TURN_MS, waited_ms());
	clk_advance_ms(clk, ARRIVAL_PAUSE_MS);
	EXPECT_LE(waited_ms(), 2 * TURN_MS + ARRIVAL_PAUSE_MS);
}

// The sockets are read before the first turn after a pause, or in one of the
// next turns: a connection is accepted before it is read.
TEST_F(Arrival, MayBeBeforeAPause)
{
	for (uint64_t pause_ms : { 60, 1200, 1800, 3600000 }) {
		turn(100);
		clk_advance_ms(clk, pause_ms);
		EXPECT_GT(waited_ms(), pause_ms);
		arrival_turn(arrival);
		for (int i = 1; i < ARRIVAL_LATE_TURNS; i++) {
			EXPECT_GT(waited_ms(), pause_ms) << i;
			turn();
		}
		turn(2);
		EXPECT_EQ(2 * TURN_MS, waited_ms());
	}
}

// The earliest of several pauses counts while messages from before it may be
// unread, and no longer: else a slow process would refuse orders for good.
TEST_F(Arrival, IsBoundedInASlowProcess)
{
	turn(100);
	turn(100, 200);
	EXPECT_GE(waited_ms(), ARRIVAL_LATE_TURNS * 200u);
	EXPECT_LE(waited_ms(), (ARRIVAL_LATE_TURNS + 3) * 200u);
}

TEST_F(Arrival, IsNotKnownAfterTheStart)
{
	turn(ARRIVAL_LATE_TURNS);
	EXPECT_EQ(0u, arrival_earliest_ms(arrival, clk_now_ms(clk)));
	turn(10);
	EXPECT_NE(0u, arrival_earliest_ms(arrival, clk_now_ms(clk)));
}

// A head that came in parts: its first byte was read before the pause.
TEST_F(Arrival, IsThatOfTheFirstByte)
{
	uint64_t read_ms;

	turn(100);
	read_ms = clk_now_ms(clk);
	turn(5);
	EXPECT_EQ(read_ms - 2 * TURN_MS, arrival_earliest_ms(arrival, read_ms));
	turn(100);
	EXPECT_EQ(0u, arrival_earliest_ms(arrival, read_ms));
}
