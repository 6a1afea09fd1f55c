// Tests when the leader of a seeded cluster sends a changed list of requests
// that crash servers. The other parts of the control role are fakes.
#include <cstring>
#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "control_cluster.h"
#include "quarantine.h"
}

namespace
{

bool leads;
size_t nr_feeds;

} // namespace

extern "C" {

bool ctl_leads(struct ctl *)
{
	return leads;
}
void ctl_count(struct ctl *, const char *, const char *)
{
}
uint64_t ctl_time_ms(const struct ctl *)
{
	return 0;
}
Aw__ProposeStatus ctl_propose(struct ctl *, Aw__Op *, uint64_t, ctl_done_fn,
			      void *)
{
	return AW__PROPOSE_STATUS__PROPOSE_APPLIED;
}
void ctl_feed_tick(struct ctl *)
{
	nr_feeds++;
}
bool fleet_has_departed(const struct fleet *, const char *, uint64_t)
{
	return false;
}
const Aw__QuarantineRecord *const *fleet_quarantines(const struct fleet *,
						     size_t *nr)
{
	*nr = 0;
	return nullptr;
}

} // extern "C"

namespace
{

struct CtlCrashes : testing::Test {
	struct ctl ctl = {};
	struct ctl_cluster cluster = {};
	uint8_t next_address = 1;

	CtlCrashes()
	{
		leads = true;
		nr_feeds = 0;
		ctl.clk = clk_create_paused(100000000);
		ctl.cluster = &cluster;
		ctl.soft_term = 1;
		cluster.led_term = 1;
		cluster.topo = topo_create(ctl.clk);
		EXPECT_EQ(0, ctl_crashes_begin_term(&ctl));
	}

	~CtlCrashes() override
	{
		quar_destroy(cluster.quar);
		topo_destroy(cluster.topo);
		clk_destroy(ctl.clk);
	}

	// Reports that the request crashed a further server.
	void report_crash(uint8_t request, bool exited = true)
	{
		std::string address = "s" + std::to_string(next_address++);
		uint8_t fingerprint[HASH_BYTES];
		Aw__CrashReport report, *pointer = &report;
		Aw__CrashNews news;

		memset(fingerprint, request, sizeof(fingerprint));
		aw__crash_report__init(&report);
		report.fingerprint.data = fingerprint;
		report.fingerprint.len = sizeof(fingerprint);
		report.server_address = &address[0];
		report.server_incarnation = 1;
		report.took_ms = 5;
		report.ended = exited;
		aw__crash_news__init(&news);
		news.crashes = &pointer;
		news.n_crashes = 1;
		ctl_crashes_on_reports(&ctl, &news);
	}
};

} // namespace

// A list that waited up to 10 ms for the next tick let a caller that repeats
// the request without a pause crash one or two further servers.
TEST_F(CtlCrashes, ChangedListIsSentAtOnce)
{
	report_crash(1);
	EXPECT_EQ(0u, nr_feeds) << "not listed after one crash";
	clk_advance_ms(ctl.clk, 8);
	report_crash(1);
	EXPECT_EQ(1u, nr_feeds) << "watched";
	clk_advance_ms(ctl.clk, 8);
	report_crash(1);
	EXPECT_EQ(2u, nr_feeds) << "refused";
}

TEST_F(CtlCrashes, UnchangedListIsNotSent)
{
	for (uint8_t request = 1; request < 20; request++) {
		clk_advance_ms(ctl.clk, 8);
		report_crash(request, false);
	}
	EXPECT_EQ(0u, nr_feeds);
}

// Each list goes to all instances, and many reports arrive together when
// several servers exit.
TEST_F(CtlCrashes, ManyReportsCauseFewFeeds)
{
	for (int round = 0; round < 3; round++)
		for (uint8_t request = 1; request < 40; request++)
			report_crash(request);
	EXPECT_EQ(1u, nr_feeds);
}

// The list of an earlier term may lack what the log records.
TEST_F(CtlCrashes, NothingIsSentBeforeTheTermBegins)
{
	ctl.soft_term = 2;
	report_crash(1);
	clk_advance_ms(ctl.clk, 8);
	report_crash(1);
	EXPECT_EQ(0u, nr_feeds);
}
