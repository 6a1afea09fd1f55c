// Tests notices: a server that leaves or has asked for a backoff must not be
// sent any requests, even if the table of servers changes.
#include <string>

#include <gtest/gtest.h>

#include "notice.h"

static const uint32_t DRAIN_MS = 2500;

TEST(Notice, LeavingServerTakesRequestsForHalfTheDrainTime)
{
	struct notice notice = {};

	EXPECT_EQ(NOTICE_NONE, notice_state(&notice, DRAIN_MS, 1000));
	EXPECT_TRUE(notice_leave(&notice, 1000));
	EXPECT_EQ(NOTICE_LEAVING, notice_state(&notice, DRAIN_MS, 1000));
	EXPECT_EQ(NOTICE_LEAVING, notice_state(&notice, DRAIN_MS, 2249));
	EXPECT_EQ(NOTICE_LEFT, notice_state(&notice, DRAIN_MS, 2250));
	EXPECT_EQ(NOTICE_LEFT, notice_state(&notice, DRAIN_MS, 1000000000));
}

// Each response repeats the notice; the time counts from the first.
TEST(Notice, DrainTimeCountsFromTheFirstNotice)
{
	struct notice notice = {};

	notice_leave(&notice, 1000);
	EXPECT_FALSE(notice_leave(&notice, 2000));
	EXPECT_EQ(NOTICE_LEFT, notice_state(&notice, DRAIN_MS, 2250));
}

TEST(Notice, BackoffEndsWithinItsSpread)
{
	struct notice early = {}, late = {};

	notice_backoff(&early, 2000, 0, 1000);
	notice_backoff(&late, 2000, 1, 1000);
	EXPECT_EQ(NOTICE_BACKOFF, notice_state(&early, DRAIN_MS, 2999));
	EXPECT_EQ(NOTICE_NONE, notice_state(&early, DRAIN_MS, 3000));
	EXPECT_EQ(NOTICE_BACKOFF, notice_state(&late, DRAIN_MS, 3499));
	EXPECT_EQ(NOTICE_NONE, notice_state(&late, DRAIN_MS, 3500));
}

TEST(Notice, SpreadOfALongBackoffIsBounded)
{
	struct notice notice = {};

	notice_backoff(&notice, 3600000, 1, 1000);
	EXPECT_EQ(3601000u + NOTICE_SPREAD_MAX_MS, notice.backoff_until_ms);
}

// Several requests may be in flight: the response to an older one may contain a
// shorter backoff.
TEST(Notice, ShorterBackoffDoesNotEndALongerOne)
{
	struct notice notice = {};

	notice_backoff(&notice, 3000, 0, 1000);
	notice_backoff(&notice, 500, 0, 1100);
	notice_backoff(&notice, 0, 1, 1200);
	EXPECT_EQ(NOTICE_BACKOFF, notice_state(&notice, DRAIN_MS, 3999));
	EXPECT_EQ(NOTICE_NONE, notice_state(&notice, DRAIN_MS, 4000));
}

class NoticeStore : public ::testing::Test
{
protected:
	struct notice_store *store = notice_store_create();
	struct notice notice = {};

	~NoticeStore()
	{
		notice_store_destroy(store);
	}
};

TEST_F(NoticeStore, StoresOneIncarnationOfAServer)
{
	struct notice taken;

	notice_leave(&notice, 1000);
	notice_store_put(store, "s", 7, &notice, 1000);
	notice_store_take(store, "s", 8, &taken);
	EXPECT_EQ(0u, taken.leaving_ms) << "a later incarnation has no notice";
	notice_store_take(store, "s", 7, &taken);
	EXPECT_EQ(1000u, taken.leaving_ms);
}

// An older incarnation may be freed after a newer one.
TEST_F(NoticeStore, OlderIncarnationDoesNotReplaceANewerOne)
{
	struct notice old = {}, taken;

	notice_leave(&notice, 1000);
	notice_leave(&old, 900);
	notice_store_put(store, "s", 8, &notice, 1000);
	notice_store_put(store, "s", 7, &old, 1100);
	notice_store_take(store, "s", 8, &taken);
	EXPECT_EQ(1000u, taken.leaving_ms);
}

TEST_F(NoticeStore, IsBoundedInNumberAndTime)
{
	struct notice taken;

	notice_leave(&notice, 1);
	for (int i = 0; i <= NOTICE_STORED_MAX; i++)
		notice_store_put(store, ("s" + std::to_string(i)).c_str(), 1,
				 &notice, 1000);
	notice_store_take(store, "s0", 1, &taken);
	EXPECT_EQ(0u, taken.leaving_ms);
	notice_store_take(store, "s1", 1, &taken);
	EXPECT_EQ(1u, taken.leaving_ms);
	notice_store_put(store, "t", 1, &notice, 1000 + NOTICE_STORE_MS);
	notice_store_take(store, "s2", 1, &taken);
	EXPECT_EQ(0u, taken.leaving_ms);
}
