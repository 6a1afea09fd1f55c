// Tests how an instance finds out that it has lost its links to the backend
// servers, and that it has them again.
#include <gtest/gtest.h>

#include <deque>

#include "reach.h"

#define TICK_MS 20
#define PROBE_TIMEOUT_MS 700

// Detection and return must each take less than this.
#define DETECTION_MAX_MS 2000
#define RETURN_MAX_MS 600
#define FLAPPING_RETURN_MAX_MS 1800 // leaves 200 ms of two seconds

enum link {
	LINK_UP,
	LINK_SILENT, // connections hang, old ones too
	LINK_REFUSING, // new connections fail at once, old ones respond
	LINK_HANGING // new connections hang, old ones respond
};

// An instance with servers behind links that all fail at once, or one by one.
class Reach : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(1000);
	struct reach *reach = reach_create(clk);
	size_t nr_servers = 6;
	enum link link = LINK_UP;
	std::deque<uint64_t> hanging_probes; // when each times out
	size_t nr_probes = 0;
	size_t nr_down = 0; // servers that refuse connections
	uint32_t requests_interval_ms = 60; // 0: none
	uint32_t work_ms = 40;
	std::deque<uint64_t> responses; // when each arrives
	size_t nr_waiting = 0;
	uint64_t next_request_ms = 0;
	bool is_sending = true;

	~Reach()
	{
		reach_destroy(reach);
		clk_destroy(clk);
	}

	uint64_t now()
	{
		return clk_now_ms(clk);
	}

	bool old_respond()
	{
		return link != LINK_SILENT;
	}

	void start_probe()
	{
		nr_probes++;
		reach_probe_begin(reach);
		if (link == LINK_UP && nr_down) {
			nr_down--;
			reach_probe_end(reach, false);
		} else if (link == LINK_UP) {
			reach_probe_end(reach, true);
		} else if (link == LINK_REFUSING) {
			reach_probe_end(reach, false);
		} else {
			hanging_probes.push_back(now() + PROBE_TIMEOUT_MS);
		}
	}

	void run_requests()
	{
		if (requests_interval_ms && is_sending &&
		    now() >= next_request_ms) {
			next_request_ms = now() + requests_interval_ms;
			bool sends = reach_state(reach) == REACH_OK ||
				     (reach_state(reach) == REACH_NO_NEW &&
				      reach_may_use_established(reach, true));
			if (sends) {
				reach_attempt_begin(reach);
				nr_waiting++;
				if (old_respond())
					responses.push_back(now() + work_ms);
			}
		}
		while (!responses.empty() && now() >= responses.front() &&
		       old_respond()) {
			responses.pop_front();
			nr_waiting--;
			reach_received(reach);
			reach_attempt_end(reach);
		}
	}

	void step()
	{
		bool new_round;
		size_t nr;

		clk_advance_ms(clk, TICK_MS);
		run_requests();
		while (!hanging_probes.empty() &&
		       now() >= hanging_probes.front()) {
			hanging_probes.pop_front();
			reach_probe_end(reach, false);
		}
		nr = reach_tick(reach, nr_servers, &new_round);
		while (nr--)
			start_probe();
	}

	void run(uint64_t ms)
	{
		for (uint64_t end = now() + ms; now() < end;)
			step();
	}

	// Returns the time until the state is reached, or max_ms.
	uint64_t time_to(enum reach_state state, uint64_t max_ms)
	{
		uint64_t start = now();

		while (reach_state(reach) != state && now() < start + max_ms)
			step();
		return now() - start;
	}
};

TEST_F(Reach, NothingIsProbedOnANormalDay)
{
	run(60000);
	EXPECT_EQ(0u, nr_probes);
	EXPECT_EQ(REACH_OK, reach_state(reach));
}

TEST_F(Reach, NothingIsProbedWithoutRequests)
{
	requests_interval_ms = 0;
	run(60000);
	EXPECT_EQ(0u, nr_probes);
}

// Probes cost the servers time, so slow requests alone cause only few of them.
TEST_F(Reach, SlowRequestsCauseFewProbes)
{
	requests_interval_ms = 6000;
	work_ms = 5000;
	run(60000);
	EXPECT_LE(nr_probes, 40u);
	EXPECT_EQ(REACH_OK, reach_state(reach));
}

TEST_F(Reach, SilentConnectionsAreNoticed)
{
	run(5000);
	link = LINK_SILENT;
	EXPECT_LT(time_to(REACH_CUT, 5000), (uint64_t)DETECTION_MAX_MS);
}

TEST_F(Reach, SilentConnectionsAreNoticedWithFewRequests)
{
	requests_interval_ms = 400;
	run(5000);
	link = LINK_SILENT;
	EXPECT_LT(time_to(REACH_CUT, 5000), (uint64_t)DETECTION_MAX_MS);
}

// Established connections that still respond are worth using.
TEST_F(Reach, EstablishedConnectionsMayLiveOn)
{
	for (enum link cut : { LINK_REFUSING, LINK_HANGING }) {
		link = LINK_UP;
		run(20000);
		ASSERT_EQ(REACH_OK, reach_state(reach));
		link = cut;
		run(400);
		reach_connect_failed(reach);
		EXPECT_LT(time_to(REACH_NO_NEW, 5000),
			  (uint64_t)DETECTION_MAX_MS);
		run(10000);
		EXPECT_EQ(REACH_NO_NEW, reach_state(reach));
		EXPECT_TRUE(reach_may_use_established(reach, false));
	}
}

TEST_F(Reach, EstablishedConnectionsMayFailLater)
{
	link = LINK_REFUSING;
	reach_connect_failed(reach);
	ASSERT_LT(time_to(REACH_NO_NEW, 5000), (uint64_t)DETECTION_MAX_MS);
	link = LINK_SILENT;
	EXPECT_LT(time_to(REACH_CUT, 5000), (uint64_t)DETECTION_MAX_MS);
	EXPECT_FALSE(reach_may_use_established(reach, false));
}

// A request that is not idempotent must not be sent over a connection that may
// be dead; a single idempotent one finds out.
TEST_F(Reach, ConnectionsInDoubtGetOneIdempotentRequest)
{
	is_sending = false;
	link = LINK_REFUSING;
	run(100);
	reach_connect_failed(reach);
	ASSERT_LT(time_to(REACH_NO_NEW, 5000), (uint64_t)DETECTION_MAX_MS);
	EXPECT_FALSE(reach_may_use_established(reach, false));
	EXPECT_TRUE(reach_may_use_established(reach, true));
	reach_attempt_begin(reach);
	EXPECT_FALSE(reach_may_use_established(reach, true));
	reach_received(reach);
	reach_attempt_end(reach);
	EXPECT_TRUE(reach_may_use_established(reach, false));
}

// One server that is down, or two of many, are not lost links.
TEST_F(Reach, ServersThatAreDownAreNotLostLinks)
{
	for (int i = 0; i < 50; i++) {
		nr_down = i % 3;
		reach_connect_failed(reach);
		run(700);
		ASSERT_EQ(REACH_OK, reach_state(reach)) << i;
		nr_down = 0;
	}
	EXPECT_LE(nr_probes, 150u);
}

// Busy servers reset or ignore most new connections. Where few connections are
// made, all probes of a round fail now and then.
TEST_F(Reach, BusyServersAreNotLostLinks)
{
	unsigned short random[3] = { 1, 2, 3 };

	requests_interval_ms = 0;
	for (int i = 0; i < 3000; i++) {
		if (i % 40 == 0)
			reach_connect_failed(reach);
		nr_down = 0;
		while (erand48(random) < 0.6)
			nr_down++;
		step();
		ASSERT_EQ(REACH_OK, reach_state(reach)) << i;
	}
}

// Connections of requests that are established show that the links are there,
// although the probes of every round fail and no request has been answered.
TEST_F(Reach, EstablishedConnectionEndsTheDoubt)
{
	link = LINK_REFUSING;
	requests_interval_ms = 0;
	for (int i = 0; i < 20; i++) {
		reach_connect_failed(reach);
		run(800);
		ASSERT_EQ(REACH_OK, reach_state(reach)) << i;
		reach_connected(reach);
	}
}

// With half of the servers unreachable other connections still succeed.
TEST_F(Reach, HalfOfTheServersAreNotLostLinks)
{
	for (int i = 0; i < 50; i++) {
		nr_down = 2;
		reach_connect_failed(reach);
		run(100);
		reach_connected(reach);
		run(600);
		ASSERT_EQ(REACH_OK, reach_state(reach)) << i;
	}
}

TEST_F(Reach, ProbesAreBounded)
{
	link = LINK_SILENT;
	run(DETECTION_MAX_MS);
	ASSERT_EQ(REACH_CUT, reach_state(reach));
	nr_probes = 0;
	run(10000);
	EXPECT_GE(nr_probes, 33u);
	EXPECT_LE(nr_probes, 41u);
	EXPECT_LE(hanging_probes.size(), (size_t)REACH_PROBES_MAX);
}

TEST_F(Reach, FirstConnectionEndsTheCut)
{
	for (enum link cut : { LINK_SILENT, LINK_REFUSING, LINK_HANGING }) {
		run(20000);
		link = cut;
		reach_connect_failed(reach);
		run(DETECTION_MAX_MS);
		ASSERT_NE(REACH_OK, reach_state(reach));
		link = LINK_UP;
		EXPECT_LT(time_to(REACH_OK, 5000), (uint64_t)RETURN_MAX_MS);
	}
}

// Requests sent before the links returned stay unanswered; they must not make
// the instance count as cut off again.
TEST_F(Reach, OldRequestsDoNotCountAfterTheReturn)
{
	link = LINK_SILENT;
	run(DETECTION_MAX_MS);
	ASSERT_EQ(REACH_CUT, reach_state(reach));
	link = LINK_UP;
	time_to(REACH_OK, 5000);
	for (int i = 0; i < 500; i++) {
		step();
		ASSERT_EQ(REACH_OK, reach_state(reach)) << i;
	}
}

// Each time the links are lost again, requests on connections just opened fail.
TEST_F(Reach, FlappingLinksMustHoldLonger)
{
	uint64_t times_ms[5], total_ms = 0;

	for (int i = 0; i < 5; i++) {
		link = LINK_SILENT;
		run(DETECTION_MAX_MS);
		ASSERT_EQ(REACH_CUT, reach_state(reach)) << i;
		link = LINK_UP;
		times_ms[i] = time_to(REACH_OK, 5000);
		EXPECT_LT(times_ms[i], 2600u) << i;
		total_ms += times_ms[i];
	}
	EXPECT_GT(times_ms[4], times_ms[0]);
	EXPECT_LT(total_ms, 8000u);
	run(20000);
	link = LINK_SILENT;
	run(DETECTION_MAX_MS);
	link = LINK_UP;
	EXPECT_LT(time_to(REACH_OK, 5000), (uint64_t)RETURN_MAX_MS);
}

// However often the links were lost, their return must be noticed soon. Probes
// that began before it still fail after it.
TEST_F(Reach, ReturnIsNoticedSoonAfterFlapping)
{
	for (int i = 0; i < 8; i++) {
		link = LINK_SILENT;
		run(DETECTION_MAX_MS + i * 50);
		ASSERT_EQ(REACH_CUT, reach_state(reach)) << i;
		link = LINK_UP;
		EXPECT_LT(time_to(REACH_OK, 5000),
			  (uint64_t)FLAPPING_RETURN_MAX_MS)
			<< i;
	}
}

// A check of a single server that began before the return fails up to 0.7 s after
// it. It started the count of successful connections again, and the return was
// noticed only after 2 s.
TEST_F(Reach, ChecksFromBeforeTheReturnDoNotDelayIt)
{
	for (int i = 0; i < 8; i++) {
		uint64_t returned_ms, failed_ms = 480 + i * 30;
		bool has_failed = false;

		link = LINK_SILENT;
		run(DETECTION_MAX_MS);
		ASSERT_EQ(REACH_CUT, reach_state(reach)) << i;
		link = LINK_UP;
		returned_ms = now();
		while (reach_state(reach) != REACH_OK &&
		       now() < returned_ms + 5000) {
			step();
			if (has_failed || now() < returned_ms + failed_ms)
				continue;
			has_failed = true;
			reach_connect_failed(reach);
		}
		EXPECT_LT(now() - returned_ms, (uint64_t)FLAPPING_RETURN_MAX_MS)
			<< i;
	}
}

// A server that refuses connections has exited only if others accept them, which
// must be known soon.
TEST_F(Reach, ChecksAtOnceOnRequest)
{
	uint64_t asked_ms;

	for (int i = 0; i < 5; i++) {
		asked_ms = now();
		reach_check(reach);
		run(100);
		EXPECT_GE(reach_connected_ms(reach), asked_ms);
		EXPECT_EQ((size_t)i + 1, nr_probes);
	}
	link = LINK_REFUSING;
	asked_ms = now();
	reach_check(reach);
	run(100);
	EXPECT_LT(reach_connected_ms(reach), asked_ms);
	EXPECT_LT(time_to(REACH_NO_NEW, 5000), (uint64_t)DETECTION_MAX_MS);
	EXPECT_LT(reach_connected_ms(reach), asked_ms);
}

// With fewer servers than a round has probes, all of them are probed.
TEST_F(Reach, FewServers)
{
	nr_servers = 1;
	link = LINK_SILENT;
	EXPECT_LT(time_to(REACH_CUT, 5000), (uint64_t)DETECTION_MAX_MS);
	link = LINK_UP;
	EXPECT_LT(time_to(REACH_OK, 5000), (uint64_t)RETURN_MAX_MS);
	nr_servers = 0;
	link = LINK_SILENT;
	run(5000);
	EXPECT_EQ(REACH_OK, reach_state(reach));
}
