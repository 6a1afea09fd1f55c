// Guards what servers say of themselves: a server that leaves or wants no
// requests must not be sent any, whatever becomes of the table of servers.
#include <string>

#include <gtest/gtest.h>

#include "notice.h"

static const uint32_t DRAIN_MS = 2500;

TEST(Notice, LeavingServerTakesRequestsForHalfTheTime)
{
	struct notice notice = {};

	EXPECT_EQ(NOTICE_NONE, notice_state(&notice, DRAIN_MS, 1000));
	EXPECT_TRUE(notice_leave(&notice, 1000));
	EXPECT_EQ(NOTICE_LEAVING, notice_state(&notice, DRAIN_MS, 1000));
	EXPECT_EQ(NOTICE_LEAVING, notice_state(&notice, DRAIN_MS, 2249));
	EXPECT_EQ(NOTICE_LEFT, notice_state(&notice, DRAIN_MS, 2250));
	EXPECT_EQ(NOTICE_LEFT, notice_state(&notice, DRAIN_MS, 1000000000));
}

// Each answer says it again; the time counts from the first.
TEST(Notice, LeavingCountsFromTheFirstAnswer)
{
	struct notice notice = {};

	notice_leave(&notice, 1000);
	EXPECT_FALSE(notice_leave(&notice, 2000));
	EXPECT_EQ(NOTICE_LEFT, notice_state(&notice, DRAIN_MS, 2250));
}

TEST(Notice, PauseEndsWithinItsSpread)
{
	struct notice early = {}, late = {};

	notice_pause(&early, 2000, 0, 1000);
	notice_pause(&late, 2000, 1, 1000);
	EXPECT_EQ(NOTICE_QUIET, notice_state(&early, DRAIN_MS, 2999));
	EXPECT_EQ(NOTICE_NONE, notice_state(&early, DRAIN_MS, 3000));
	EXPECT_EQ(NOTICE_QUIET, notice_state(&late, DRAIN_MS, 3499));
	EXPECT_EQ(NOTICE_NONE, notice_state(&late, DRAIN_MS, 3500));
}

TEST(Notice, SpreadOfALongPauseIsBounded)
{
	struct notice notice = {};

	notice_pause(&notice, 3600000, 1, 1000);
	EXPECT_EQ(3601000u + NOTICE_SPREAD_MAX_MS, notice.quiet_until_ms);
}

// Several requests may be under way: the answer to an older one may name less.
TEST(Notice, ShorterPauseDoesNotEndALongerOne)
{
	struct notice notice = {};

	notice_pause(&notice, 3000, 0, 1000);
	notice_pause(&notice, 500, 0, 1100);
	notice_pause(&notice, 0, 1, 1200);
	EXPECT_EQ(NOTICE_QUIET, notice_state(&notice, DRAIN_MS, 3999));
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

TEST_F(NoticeStore, KeepsOneStartOfAServer)
{
	struct notice kept;

	notice_leave(&notice, 1000);
	notice_store_put(store, "s", 7, &notice, 1000);
	notice_store_take(store, "s", 8, &kept);
	EXPECT_EQ(0u, kept.leaving_ms) << "a later start has not said anything";
	notice_store_take(store, "s", 7, &kept);
	EXPECT_EQ(1000u, kept.leaving_ms);
}

// An older start may be freed after a newer one.
TEST_F(NoticeStore, OlderStartDoesNotReplaceANewerOne)
{
	struct notice old = {}, kept;

	notice_leave(&notice, 1000);
	notice_leave(&old, 900);
	notice_store_put(store, "s", 8, &notice, 1000);
	notice_store_put(store, "s", 7, &old, 1100);
	notice_store_take(store, "s", 8, &kept);
	EXPECT_EQ(1000u, kept.leaving_ms);
}

TEST_F(NoticeStore, IsBoundedInNumberAndTime)
{
	struct notice kept;

	notice_leave(&notice, 1);
	for (int i = 0; i <= NOTICE_KEPT_MAX; i++)
		notice_store_put(store, ("s" + std::to_string(i)).c_str(), 1,
				 &notice, 1000);
	notice_store_take(store, "s0", 1, &kept);
	EXPECT_EQ(0u, kept.leaving_ms);
	notice_store_take(store, "s1", 1, &kept);
	EXPECT_EQ(1u, kept.leaving_ms);
	notice_store_put(store, "t", 1, &notice, 1000 + NOTICE_KEEP_MS);
	notice_store_take(store, "s2", 1, &kept);
	EXPECT_EQ(0u, kept.leaving_ms);
}
