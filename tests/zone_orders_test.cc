// Guards the order of an operator's orders for a zone: a delayed copy of one
// that a later order had reversed was carried out again.
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "zone_orders.h"
}

namespace
{

const bool EVACUATE = true, TAKE_BACK = false;

struct ZoneOrders : testing::Test {
	struct zord *zord = zord_create();

	~ZoneOrders() override
	{
		zord_destroy(zord);
	}
};

} // namespace

TEST_F(ZoneOrders, OppositeOrderReplaces)
{
	zord_record(zord, "a1", EVACUATE, 10, 1000);
	EXPECT_TRUE(zord_is_replaced_above(zord, "a1", TAKE_BACK, 9));
	EXPECT_FALSE(zord_is_replaced_above(zord, "a1", TAKE_BACK, 10));
	EXPECT_TRUE(zord_is_replaced_since(zord, "a1", TAKE_BACK, 1000));
	EXPECT_FALSE(zord_is_replaced_since(zord, "a1", TAKE_BACK, 1001));
	// The same order again, and orders for other zones.
	EXPECT_FALSE(zord_is_replaced_above(zord, "a1", EVACUATE, 0));
	EXPECT_FALSE(zord_is_replaced_since(zord, "a1", EVACUATE, 0));
	EXPECT_FALSE(zord_is_replaced_above(zord, "a2", TAKE_BACK, 0));
	EXPECT_FALSE(zord_is_replaced_since(zord, "a2", TAKE_BACK, 0));
}

// Also one that changed nothing: it was acknowledged.
TEST_F(ZoneOrders, RepeatedOrderReplacesAgain)
{
	zord_record(zord, "a1", EVACUATE, 10, 1000);
	zord_record(zord, "a1", TAKE_BACK, 11, 1100);
	zord_record(zord, "a1", EVACUATE, 12, 1200);
	zord_record(zord, "a1", EVACUATE, 13, 1300);
	EXPECT_TRUE(zord_is_replaced_above(zord, "a1", TAKE_BACK, 12));
	EXPECT_TRUE(zord_is_replaced_since(zord, "a1", TAKE_BACK, 1300));
	EXPECT_TRUE(zord_is_replaced_above(zord, "a1", EVACUATE, 10));
	EXPECT_FALSE(zord_is_replaced_above(zord, "a1", EVACUATE, 11));
}

// An entry that a leader lost with its office may have a higher index than the
// order that took its place.
TEST_F(ZoneOrders, LostEntryHidesNoOrder)
{
	zord_record(zord, "a1", EVACUATE, 20, 1000);
	zord_record(zord, "a1", EVACUATE, 18, 2000);
	EXPECT_TRUE(zord_is_replaced_since(zord, "a1", TAKE_BACK, 1500));
	EXPECT_TRUE(zord_is_replaced_above(zord, "a1", TAKE_BACK, 17));
}

// A snapshot does not tell which orders it covers.
TEST_F(ZoneOrders, ForgottenOrdersCount)
{
	zord_record(zord, "a1", EVACUATE, 10, 1000);
	zord_reset(zord, 50, 5000);
	for (bool kind : { EVACUATE, TAKE_BACK }) {
		EXPECT_TRUE(zord_is_replaced_above(zord, "a1", kind, 49));
		EXPECT_FALSE(zord_is_replaced_above(zord, "a1", kind, 50));
		EXPECT_TRUE(zord_is_replaced_since(zord, "a2", kind, 5000));
		EXPECT_FALSE(zord_is_replaced_since(zord, "a2", kind, 5001));
	}
	zord_record(zord, "a1", EVACUATE, 51, 6000);
	EXPECT_TRUE(zord_is_replaced_above(zord, "a1", TAKE_BACK, 50));
	EXPECT_TRUE(zord_is_replaced_above(zord, "a1", EVACUATE, 49));
}

// Orders for any number of names are accepted.
TEST_F(ZoneOrders, ZoneWithTheOldestOrdersIsForgotten)
{
	for (int i = 0; i < ZORD_ZONES_MAX + 1; i++)
		zord_record(zord, ("z" + std::to_string(i)).c_str(), EVACUATE,
			    100 + i, 1000 + i);
	EXPECT_TRUE(zord_is_replaced_above(zord, "z0", TAKE_BACK, 99));
	EXPECT_FALSE(zord_is_replaced_above(zord, "z0", TAKE_BACK, 100));
	EXPECT_TRUE(zord_is_replaced_above(zord, "z1", TAKE_BACK, 100));
	EXPECT_FALSE(zord_is_replaced_above(zord, "z1", TAKE_BACK, 101));
	EXPECT_TRUE(zord_is_replaced_above(zord, "new", EVACUATE, 99));
}
