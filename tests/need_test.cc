// Tests the sum of the requests that the instances of a region have in flight.
#include <gtest/gtest.h>

#include "need.h"

class Need : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(1000);
	struct need *need = need_create(clk);

	~Need()
	{
		need_destroy(need);
		clk_destroy(clk);
	}

	void receive(const char *instance, uint64_t sequence,
		     uint32_t in_flight, uint64_t incarnation = 1)
	{
		struct need_entry entries[] = { { 7, in_flight }, { 8, 1 } };

		need_receive(need, instance, incarnation, sequence, entries, 2);
	}
};

TEST_F(Need, SumsInstances)
{
	receive("a", 1, 3);
	receive("b", 1, 4);
	EXPECT_EQ(7u, need_total(need, 7));
	EXPECT_EQ(2u, need_total(need, 8));
	EXPECT_EQ(0u, need_total(need, 9));
	receive("a", 2, 1);
	EXPECT_EQ(5u, need_total(need, 7));
}

// Datagrams may arrive out of order; a new incarnation counts from 1 again.
TEST_F(Need, OlderNumbersAreIgnored)
{
	receive("a", 5, 3);
	receive("a", 4, 9);
	receive("a", 5, 9);
	EXPECT_EQ(3u, need_total(need, 7));
	receive("a", 1, 2, 2);
	EXPECT_EQ(2u, need_total(need, 7));
}

TEST_F(Need, NumbersOfLostInstancesExpire)
{
	receive("a", 1, 3);
	clk_advance_ms(clk, NEED_LIFETIME_MS - 1);
	receive("b", 1, 4);
	need_tick(need);
	EXPECT_EQ(7u, need_total(need, 7));
	clk_advance_ms(clk, 1);
	need_tick(need);
	EXPECT_EQ(4u, need_total(need, 7));
}

// A message may contain more upstreams than allowed.
TEST_F(Need, NumberOfUpstreamsIsBounded)
{
	struct need_entry entries[NEED_UPSTREAMS_MAX + 5];

	for (uint32_t i = 0; i < NEED_UPSTREAMS_MAX + 5; i++)
		entries[i] = { i, 1 };
	need_receive(need, "a", 1, 1, entries, NEED_UPSTREAMS_MAX + 5);
	EXPECT_EQ(1u, need_total(need, NEED_UPSTREAMS_MAX - 1));
	EXPECT_EQ(0u, need_total(need, NEED_UPSTREAMS_MAX));
}
