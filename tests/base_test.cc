// Tests the small shared modules: buffers, clock, counters, refusals.
#include <cstring>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "buf.h"
#include "clock.h"
#include "counter.h"
#include "types.h"

TEST(Buf, KeepsContentWhileGrowing)
{
	struct buf buf = BUF_INIT;
	std::string expected;

	for (int i = 0; i < 1000; i++) {
		ASSERT_EQ(0, buf_printf(&buf, "%d,", i));
		expected += std::to_string(i) + ",";
	}
	EXPECT_EQ(expected, std::string((char *)buf.data, buf.len_bytes));
	buf_consume(&buf, 2);
	EXPECT_EQ('1', buf.data[0]);
	buf_release(&buf);
}

// A size that would overflow must be rejected and leave the buffer unchanged.
TEST(Buf, RefusesImpossibleSize)
{
	struct buf buf = BUF_INIT;

	ASSERT_EQ(0, buf_append_str(&buf, "abc"));
	EXPECT_EQ(-1, buf_reserve(&buf, SIZE_MAX - 1));
	EXPECT_EQ(3u, buf.len_bytes);
	buf_release(&buf);
}

TEST(Clock, PausedClockOnlyMovesWhenAdvanced)
{
	struct clk *clk = clk_create_paused(500);

	EXPECT_EQ(500u, clk_now_ms(clk));
	clk_advance_ms(clk, 250);
	EXPECT_EQ(750u, clk_now_ms(clk));
	EXPECT_EQ(750000u, clk_now_us(clk));
	clk_destroy(clk);
}

TEST(Counter, SameNameAndLabelShareACounter)
{
	struct ctr_set *set = ctr_set_create();
	struct buf out = BUF_INIT;

	ctr_add(ctr_get(set, "refusals", "rate"), 2);
	ctr_add(ctr_get(set, "refusals", "rate"), 1);
	ctr_add(ctr_get(set, "answers", ""), 1);
	ASSERT_EQ(0, ctr_format(set, &out));
	EXPECT_EQ("answers 1\nrefusals{rate} 3\n",
		  std::string((char *)out.data, out.len_bytes));
	buf_release(&out);
	ctr_set_destroy(set);
}

// Every refusal needs a unique counter name and an error status.
TEST(Refusal, NamesAreUniqueAndStatusesAreErrors)
{
	std::set<std::string> names;

	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++) {
		const char *name = refusal_name((enum refusal)i);

		ASSERT_NE(nullptr, name) << i;
		EXPECT_TRUE(names.insert(name).second) << name;
		EXPECT_GE(refusal_status((enum refusal)i), 400u) << name;
	}
}
