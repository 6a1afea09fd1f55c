// Guards the sending of large bodies over slow links.
#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

#include "pace.h"

// Sends a small message every 40 ms and a large body every 500 ms over a link
// of 500 bytes per ms. Returns the longest time that a small message waited.
static double longest_wait_ms(bool paced, double *bodies_per_s)
{
	struct pace pace;
	double waiting = 0, most = 0;
	size_t left = 0, sent = 0;
	uint64_t next = 0;

	pace_init(&pace, 4000);
	for (uint64_t now = 0; now < 20000; now++) {
		waiting = std::max(0.0, waiting - 500);
		if (now % 500 == 0)
			left += 60000;
		if (now % 40 == 0) {
			most = std::max(most, waiting / 500);
			waiting += 2000;
			pace_sent(&pace, 2000, now);
		}
		while (left && now >= next) {
			size_t part = std::min(
				left,
				paced ? pace_allowed_bytes(&pace, now) : left);

			left -= part;
			sent += part;
			waiting += (double)part;
			pace_sent(&pace, part, now);
			if (paced)
				next = now + pace_wait_ms(&pace, now);
		}
	}
	*bodies_per_s = (double)sent / 60000 / 20;
	return most;
}

// Uploads of 60 KB over links of 4 Mbit/s: without pacing every message waited
// up to 400 ms behind them.
TEST(Pace, SmallMessagesDoNotWaitBehindLargeBodies)
{
	double bodies;

	EXPECT_GE(longest_wait_ms(false, &bodies), 100);
	EXPECT_LE(longest_wait_ms(true, &bodies), 30);
}

TEST(Pace, LargeBodiesGetTheRestOfTheLink)
{
	double bodies;

	longest_wait_ms(true, &bodies);
	EXPECT_GE(bodies, 1.9);
}

TEST(Pace, WithoutARateNothingWaits)
{
	struct pace pace;

	pace_init(&pace, 0);
	pace_sent(&pace, 100000000, 5);
	EXPECT_EQ(0u, pace_wait_ms(&pace, 5));
}
