// Tests the estimate of the time that messages wait for the network link.
#include <gtest/gtest.h>

#include "delay.h"

class Delay : public ::testing::Test
{
protected:
	struct delay delay;
	struct delay_path near = {}, far = {};

	void SetUp() override
	{
		delay_init(&delay);
		delay_add(&delay, &near, 2, 1000);
		delay_add(&delay, &far, 110, 1000);
	}
};

// The length of a path is no wait, however long it is.
TEST_F(Delay, IsWhatExceedsTheShortestRoundTrip)
{
	EXPECT_EQ(0u, delay_ms(&delay, 1000));
	delay_add(&delay, &near, 302, 1200);
	delay_add(&delay, &far, 410, 1210);
	EXPECT_EQ(300u, delay_ms(&delay, 1320));
}

// One path can be slow for another reason, such as a busy machine or a lost
// packet: the whole link is not.
TEST_F(Delay, LeastOfSeveralRoundTripsCounts)
{
	delay_add(&delay, &far, 1110, 1200);
	delay_add(&delay, &near, 5, 1220);
	delay_add(&delay, &far, 1110, 1240);
	EXPECT_EQ(3u, delay_ms(&delay, 1320));
	// The first one of the next interval is not believed alone at once.
	delay_add(&delay, &far, 1110, 1330);
	EXPECT_EQ(3u, delay_ms(&delay, 1331));
	EXPECT_EQ(1000u, delay_ms(&delay, 1330 + DELAY_SLOT_MS));
}

// What was measured long ago says nothing about the link now.
TEST_F(Delay, EndsWithoutRoundTrips)
{
	delay_add(&delay, &near, 502, 1200);
	EXPECT_EQ(500u, delay_ms(&delay, 1200 + DELAY_HOLD_MS - 1));
	EXPECT_EQ(0u, delay_ms(&delay, 1200 + DELAY_HOLD_MS));
}

// A link that becomes full at once delays the reply of a probe like everything
// else: until the reply the wait was taken for 0.
TEST_F(Delay, ProbeWithoutReplyShowsTheWait)
{
	delay_probe_sent(&delay, &near, 1200);
	EXPECT_EQ(0u, delay_ms(&delay, 1202));
	EXPECT_EQ(700u, delay_ms(&delay, 1902));
	delay_add(&delay, &near, 802, 2002);
	EXPECT_EQ(800u, delay_ms(&delay, 2102));
}

// The probe over a path that is lost never gets a reply. The wait for it must
// not count as that for the link when later probes get theirs.
TEST_F(Delay, LaterReplyGivesUpEarlierProbes)
{
	delay_probe_sent(&delay, &far, 1200);
	delay_probe_sent(&delay, &near, 1300);
	delay_add(&delay, &near, 2, 1302);
	EXPECT_EQ(0u, delay_ms(&delay, 3000));
	delay_probe_sent(&delay, &far, 3000);
	delay_reset_probes(&delay);
	EXPECT_EQ(0u, delay_ms(&delay, 5000));
	for (uint64_t i = 0; i < 2 * DELAY_PENDING_MAX; i++)
		delay_probe_sent(&delay, &near, 6000 + i);
	EXPECT_EQ(998u, delay_ms(&delay, 7000));
}
