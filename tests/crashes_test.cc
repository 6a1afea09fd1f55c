// Requests that crash servers in a seeded cluster: what counts, what does not,
// and who may send a request on trial.
#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "crashes.h"
#include "fingerprint.h"

namespace
{

struct Crash {
	uint8_t request;
	const char *address;
	uint32_t took_ms = 5;
	bool ended = true;
	bool weak = false;
	uint64_t incarnation = 1;
	const char *zone = "z1";
	uint32_t age_ms = 0;
};

struct SeededQuar : testing::Test {
	struct clk *clk = clk_create_paused(100000000);
	struct quar *quar = quar_create(clk, 1, &quar_seeded);

	~SeededQuar() override
	{
		quar_destroy(quar);
		clk_destroy(clk);
	}

	void crash(const Crash &from)
	{
		uint8_t fingerprint[HASH_BYTES];
		Aw__CrashReport msg;

		memset(fingerprint, from.request, sizeof(fingerprint));
		aw__crash_report__init(&msg);
		msg.fingerprint.data = fingerprint;
		msg.fingerprint.len = sizeof(fingerprint);
		msg.server_address = (char *)from.address;
		msg.server_incarnation = from.incarnation;
		msg.took_ms = from.took_ms;
		msg.ended = from.ended;
		msg.weak = from.weak;
		msg.age_ms = from.age_ms;
		ASSERT_EQ(QUAR_OK, quar_add_crash(quar, &msg, from.zone));
	}

	void answered(uint8_t request, uint32_t age_ms = 0)
	{
		uint8_t fingerprint[HASH_BYTES];

		memset(fingerprint, request, sizeof(fingerprint));
		quar_answered(quar, fingerprint, age_ms);
	}

	enum quar_state state(uint8_t request = 1)
	{
		uint8_t fingerprint[HASH_BYTES];

		memset(fingerprint, request, sizeof(fingerprint));
		return quar_state(quar, fingerprint, nullptr);
	}

	/* What the record of an earlier leader says of request 1. */
	void hold_trial(uint32_t expires_in_ms)
	{
		uint8_t fingerprint[HASH_BYTES];
		Aw__Quarantine held;

		memset(fingerprint, 1, sizeof(fingerprint));
		aw__quarantine__init(&held);
		held.fingerprint.data = fingerprint;
		held.fingerprint.len = sizeof(fingerprint);
		held.expires_in_ms = expires_in_ms;
		held.state = AW__QUARANTINE_STATE__QUARANTINE_TRIAL;
		ASSERT_EQ(QUAR_OK, quar_restore(quar, &held));
	}

	void pass(uint64_t ms)
	{
		clk_advance_ms(clk, ms);
		quar_tick(quar);
	}
};

TEST_F(SeededQuar, ThirdServerOneAfterTheOtherIsTheLast)
{
	crash({ 1, "s1" });
	EXPECT_EQ(QUAR_NONE, state());
	pass(200);
	crash({ 1, "s2", .zone = "z2" });
	EXPECT_EQ(QUAR_WATCHED, state());
	pass(200);
	crash({ 1, "s3", .zone = "z3" });
	EXPECT_EQ(QUAR_REFUSED, state());
	pass(QUARANTINE_MS - 1);
	EXPECT_EQ(QUAR_REFUSED, state());
	pass(1);
	EXPECT_EQ(QUAR_NONE, state());
	EXPECT_EQ(0u, quar_nr_requests(quar));
}

// A service of one or two servers: its processes count.
TEST_F(SeededQuar, ProcessesOfOneServerCount)
{
	for (uint64_t incarnation = 1; incarnation <= 3; incarnation++) {
		crash({ 1, "s1", .incarnation = incarnation });
		crash({ 1, "s1", .incarnation = incarnation }); // told twice
		pass(3000);
	}
	EXPECT_EQ(QUAR_REFUSED, state());
}

// Reset connections and lost answers must not be taken for ends of servers.
TEST_F(SeededQuar, BrokenConnectionsAloneShowNothing)
{
	for (const char *address : { "s1", "s2", "s3", "s4", "s5" }) {
		crash({ 1, address, .ended = false });
		pass(1000);
	}
	EXPECT_EQ(QUAR_NONE, state());
	pass(QUAR_EXIT_CONFIRM_MS);
	EXPECT_EQ(0u, quar_nr_requests(quar));
}

TEST_F(SeededQuar, EndMayBecomeKnownLater)
{
	for (const char *address : { "s1", "s2", "s3" }) {
		crash({ 1, address, .ended = false });
		pass(1000);
	}
	quar_server_exited(quar, "s1", 1);
	quar_server_exited(quar, "s2", 7); // a later process
	EXPECT_EQ(QUAR_NONE, state());
	quar_server_started(quar, "s2", 2);
	EXPECT_EQ(QUAR_WATCHED, state());
	quar_server_started(quar, "s3", 1); // still the same process
	EXPECT_EQ(QUAR_WATCHED, state());
	crash({ 1, "s3", .ended = true }); // told again
	EXPECT_EQ(QUAR_REFUSED, state());
}

TEST_F(SeededQuar, EndLongAfterwardsShowsNothing)
{
	for (const char *address : { "s1", "s2", "s3" })
		crash({ 1, address, .ended = false });
	pass(QUAR_EXIT_CONFIRM_MS);
	for (const char *address : { "s1", "s2", "s3" })
		quar_server_started(quar, address, 2);
	EXPECT_EQ(QUAR_NONE, state());
}

// Servers that end together may have another cause: the request gets a trial
// instead of a refusal without appeal.
TEST_F(SeededQuar, LossesAtOneMomentMakeATrial)
{
	for (const char *address : { "s1", "s2", "s3", "s4", "s5", "s6" })
		crash({ 1, address, .took_ms = 500, .zone = address });
	EXPECT_EQ(QUAR_TRIAL, state());
	pass(3000);
	crash({ 1, "s7", .zone = "s7" });
	EXPECT_EQ(QUAR_REFUSED, state());
}

// More losses at one moment than are remembered must not hide a later one.
TEST_F(SeededQuar, LaterLossCountsAfterManyTogether)
{
	std::vector<std::string> addresses;

	for (int i = 0; i < 20; i++)
		addresses.push_back("s" + std::to_string(i));
	for (const auto &address : addresses)
		crash({ 1, address.c_str(), .took_ms = 500, .zone = "" });
	EXPECT_EQ(QUAR_TRIAL, state());
	pass(3000);
	crash({ 1, "later", .zone = "" });
	EXPECT_EQ(QUAR_REFUSED, state());
}

TEST_F(SeededQuar, AnswerEndsTheSuspicion)
{
	crash({ 1, "s1" });
	pass(3000);
	crash({ 1, "s2" });
	answered(1);
	EXPECT_EQ(QUAR_NONE, state());
	crash({ 1, "s3", .age_ms = 100 });
	EXPECT_EQ(QUAR_NONE, state());
}

TEST_F(SeededQuar, AnswerEndsAQuarantine)
{
	for (const char *address : { "s1", "s2", "s3" }) {
		crash({ 1, address });
		pass(300);
	}
	EXPECT_EQ(QUAR_REFUSED, state());
	uint64_t version = quar_version(quar);
	answered(1); // of a copy that was under way
	EXPECT_EQ(QUAR_NONE, state());
	EXPECT_GT(quar_version(quar), version);
}

// A request that ran without harm a while ago, when all servers end at once.
TEST_F(SeededQuar, LossesTogetherCountOnceAfterAnAnswer)
{
	for (const char *address : { "s1", "s2", "s3", "s4" })
		crash({ 1, address, .took_ms = 500, .zone = address });
	answered(1, 5000);
	EXPECT_EQ(QUAR_NONE, state());
	// New software may crash on what the old one could do.
	for (const char *address : { "s5", "s6" }) {
		pass(3000);
		crash({ 1, address });
	}
	EXPECT_EQ(QUAR_REFUSED, state());
}

TEST_F(SeededQuar, WeakEvidenceCountsHalf)
{
	for (const char *address : { "s1", "s2", "s3" }) {
		crash({ 1, address, .weak = true });
		pass(3000);
	}
	EXPECT_EQ(QUAR_NONE, state());
	crash({ 1, "s4" });
	EXPECT_EQ(QUAR_WATCHED, state());
	pass(3000);
	crash({ 1, "s5" });
	EXPECT_EQ(QUAR_REFUSED, state());
}

// Servers that fall silent are known to have ended only when they are back: what
// is sent meanwhile must not end more of them.
TEST_F(SeededQuar, UnresolvedSendingsHoldASuspectedRequest)
{
	for (const char *address : { "s1", "s2", "s3", "s4" }) {
		EXPECT_EQ(QUAR_NONE, state());
		crash({ 1, address, .weak = true });
		pass(1000);
	}
	crash({ 1, "s5", .ended = false, .weak = true });
	EXPECT_EQ(QUAR_WATCHED, state());
	pass(1000);
	crash({ 1, "s6", .ended = false, .weak = true });
	EXPECT_EQ(QUAR_TRIAL, state());
	pass(QUAR_EXIT_CONFIRM_MS);
	EXPECT_EQ(QUAR_WATCHED, state()); // these servers went on
	crash({ 1, "s7", .ended = false, .weak = true });
	pass(1000);
	crash({ 1, "s8", .ended = false, .weak = true });
	quar_server_started(quar, "s7", 2);
	EXPECT_EQ(QUAR_TRIAL, state());
	quar_server_started(quar, "s8", 2);
	EXPECT_EQ(QUAR_REFUSED, state());
}

// Servers that stay silent for long: when the first one is back, many more may
// have ended.
TEST_F(SeededQuar, UnresolvedSendingsHoldARequestAfterItsFirstLoss)
{
	for (const char *address : { "s1", "s2", "s3", "s4", "s5", "s6" }) {
		EXPECT_EQ(QUAR_NONE, state());
		crash({ 1, address, .ended = false, .weak = true });
		pass(1000);
	}
	EXPECT_EQ(QUAR_NONE, state());
	quar_server_started(quar, "s1", 2);
	EXPECT_EQ(QUAR_TRIAL, state());
	pass(QUAR_EXIT_CONFIRM_MS);
	EXPECT_EQ(QUAR_NONE, state()); // the others went on
}

// A trial beside sendings that are unresolved would cost one more server.
TEST_F(SeededQuar, NoTrialUntilSendingsAreResolvedOnceTwoServersEnded)
{
	Aw__Quarantine listed;

	for (const char *address : { "s1", "s2" }) {
		crash({ 1, address });
		pass(300);
	}
	crash({ 1, "s3", .ended = false, .weak = true });
	crash({ 1, "s4", .ended = false, .weak = true });
	pass(1000);
	ASSERT_EQ(1u, quar_list(quar, &listed, 1));
	EXPECT_EQ(AW__QUARANTINE_STATE__QUARANTINE_TRIAL, listed.state);
	EXPECT_EQ(QUAR_EXIT_CONFIRM_MS - 1000u, listed.unresolved_for_ms);
	pass(QUAR_EXIT_CONFIRM_MS - 1000);
	ASSERT_EQ(1u, quar_list(quar, &listed, 1));
	EXPECT_EQ(AW__QUARANTINE_STATE__QUARANTINE_WATCHED, listed.state);
	EXPECT_EQ(0u, listed.unresolved_for_ms);
}

// Callers that give up on a slow service show nothing about its servers.
TEST_F(SeededQuar, UnresolvedSendingsAloneShowNothing)
{
	for (const char *address :
	     { "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9" }) {
		crash({ 1, address, .ended = false, .weak = true });
		pass(500);
	}
	EXPECT_EQ(QUAR_NONE, state());
}

// What is not known to have ended must not take the place of what is.
TEST_F(SeededQuar, UnresolvedSendingsHideNoLoss)
{
	const std::vector<std::string> slow = { "t1", "t2", "t3", "t4", "t5",
						"t6", "t7", "t8", "t9" };

	for (const char *address : { "s1", "s2" }) {
		crash({ 1, address });
		pass(300);
	}
	for (const auto &address : slow) {
		crash({ 1, address.c_str(), .ended = false, .weak = true });
		pass(300);
	}
	crash({ 1, "s3" });
	EXPECT_EQ(QUAR_REFUSED, state());
}

// The caller of one copy left before the connection of another one broke.
TEST_F(SeededQuar, BrokenConnectionShowsMoreThanAnUnansweredSending)
{
	for (const char *address : { "s1", "s2", "s3" }) {
		crash({ 1, address, .weak = true });
		crash({ 1, address });
		pass(300);
	}
	EXPECT_EQ(QUAR_REFUSED, state());
}

TEST_F(SeededQuar, FailedZoneShowsNothingOfARequestOnHalfOfIt)
{
	crash({ 1, "s1" });
	crash({ 1, "s2" });
	for (const char *address : { "s3", "s4", "s5" })
		crash({ 2, address });
	EXPECT_EQ(QUAR_NONE, state());
}

TEST_F(SeededQuar, NewLeaderGoesOnWithARecord)
{
	hold_trial(60000);
	EXPECT_EQ(QUAR_TRIAL, state());
	pass(3000);
	crash({ 1, "s1" });
	EXPECT_EQ(QUAR_REFUSED, state());
	answered(1, 60000); // before
	EXPECT_EQ(QUAR_REFUSED, state());
	answered(1);
	EXPECT_EQ(QUAR_NONE, state());
}

// What a new leader is told again was known when the trial was decided: it must
// not refuse a request whose servers were lost at one moment.
TEST_F(SeededQuar, LossesBeforeATrialDoNotConfirmIt)
{
	hold_trial(QUARANTINE_MS - 1000);
	for (const char *address : { "s1", "s2", "s3", "s4" })
		crash({ 1, address, .took_ms = 500, .zone = address,
			.age_ms = 1000 });
	EXPECT_EQ(QUAR_TRIAL, state());
	pass(3000);
	crash({ 1, "s5", .zone = "s5" });
	EXPECT_EQ(QUAR_REFUSED, state());
}

TEST_F(SeededQuar, WhatIsKeptIsBounded)
{
	struct quar_limits limits = quar_seeded;

	limits.requests_max = 10;
	quar_destroy(quar);
	quar = quar_create(clk, 1, &limits);
	for (const char *address : { "s1", "s2", "s3" }) {
		crash({ 200, address });
		pass(300);
	}
	for (uint8_t request = 0; request < 100; request++) {
		crash({ request, "s4" });
		EXPECT_LE(quar_nr_requests(quar), 10u);
	}
	EXPECT_EQ(QUAR_REFUSED, state(200));
	pass(QUARANTINE_MS);
	EXPECT_EQ(0u, quar_nr_requests(quar));
}

// A request on another host is another one: its answers must not clear this one,
// nor may it be refused for this one.
TEST(Fingerprint, NamesWhatAllSendingsHaveInCommon)
{
	struct http_request req = {};
	uint8_t first[HASH_BYTES], other[HASH_BYTES], hash[HASH_BYTES];
	char text[FPR_TEXT_BYTES];

	req.method = "POST";
	req.target = "/a/1";
	req.body = (const uint8_t *)"body";
	req.body_bytes = 4;
	fpr_make(1, "kim", &req, nullptr, first);
	fpr_make(1, "kim", &req, hash, other);
	EXPECT_EQ(0, memcmp(first, other, HASH_BYTES));
	EXPECT_EQ(16u, strlen(fpr_text(first, text)));
	fpr_make(2, "kim", &req, nullptr, other);
	EXPECT_NE(0, memcmp(first, other, HASH_BYTES));
	fpr_make(1, "lee", &req, nullptr, other);
	EXPECT_NE(0, memcmp(first, other, HASH_BYTES));
	req.body = (const uint8_t *)"bodY";
	fpr_make(1, "kim", &req, nullptr, other);
	EXPECT_NE(0, memcmp(first, other, HASH_BYTES));
}

// ---- at one instance ----

struct Instance {
	struct crs *crs;
	std::string name;
};

struct CrsCase : testing::Test {
	struct clk *clk = clk_create_paused(100000000);
	std::vector<Instance> at;
	std::vector<Aw__Instance> messages;
	std::vector<const Aw__Instance *> list;
	uint8_t fingerprint[HASH_BYTES];
	bool in_touch = true;

	CrsCase()
	{
		memset(fingerprint, 1, sizeof(fingerprint));
		for (int i = 0; i < 4; i++)
			at.push_back({ crs_create(clk),
				       "entry-" + std::to_string(i) });
		messages.resize(at.size());
		for (size_t i = 0; i < at.size(); i++) {
			aw__instance__init(&messages[i]);
			messages[i].name = &at[i].name[0];
			list.push_back(&messages[i]);
		}
	}

	~CrsCase() override
	{
		for (auto &instance : at)
			crs_destroy(instance.crs);
		clk_destroy(clk);
	}

	bool broke(size_t i, const char *address, bool ended = true)
	{
		struct crs_failed_attempt broke = {
			fingerprint, address, address, address, 1, 5, false
		};
		bool suspected = crs_connection_broken(at[i].crs, &broke);

		if (ended)
			crs_server_exited(at[i].crs, address, 1);
		return suspected;
	}

	enum quar_state judge(size_t i, uint32_t *retry_after_ms = nullptr)
	{
		struct crs_fleet place = { at[i].name.c_str(), in_touch,
					   list.data(), list.size() };
		struct crs_verdict verdict;

		crs_check(at[i].crs, fingerprint, &place, &verdict);
		if (retry_after_ms)
			*retry_after_ms = verdict.retry_after_ms;
		return verdict.state;
	}

	void follow(size_t i, Aw__QuarantineState state,
		    uint32_t first_age_ms = 0, uint32_t last_age_ms = 0,
		    uint32_t unresolved_for_ms = 0)
	{
		Aw__Quarantine one, *pointer = &one;
		Aw__Feed feed;

		aw__quarantine__init(&one);
		one.fingerprint.data = fingerprint;
		one.fingerprint.len = sizeof(fingerprint);
		one.expires_in_ms = 60000;
		one.state = state;
		one.first_age_ms = first_age_ms;
		one.last_age_ms = last_age_ms;
		one.unresolved_for_ms = unresolved_for_ms;
		aw__feed__init(&feed);
		feed.quarantines = &pointer;
		feed.n_quarantines = 1;
		ASSERT_EQ(0, crs_apply_feed(at[i].crs, &feed));
	}

	void follow_nothing(size_t i)
	{
		Aw__Feed feed;

		aw__feed__init(&feed);
		ASSERT_EQ(0, crs_apply_feed(at[i].crs, &feed));
	}
};

TEST_F(CrsCase, InstanceOutOfTouchCountsByItself)
{
	in_touch = false;
	for (const char *address : { "s1", "s2", "s3" }) {
		EXPECT_NE(QUAR_REFUSED, judge(0));
		EXPECT_TRUE(broke(0, address));
		clk_advance_ms(clk, 300);
	}
	EXPECT_EQ(QUAR_REFUSED, judge(0));
	EXPECT_EQ(QUAR_NONE, judge(1));
	// The leader has heard of answers elsewhere.
	in_touch = true;
	clk_advance_ms(clk, CRS_OWN_DECISION_MS);
	EXPECT_EQ(QUAR_NONE, judge(0));
}

TEST_F(CrsCase, NewsAreToldOnceAndAgainToANewLeader)
{
	Aw__CrashNews news;

	EXPECT_FALSE(crs_pending_reports(at[0].crs, &news));
	broke(0, "s1", false);
	broke(0, "s1", false); // a copy on the same server
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_crashes);
	EXPECT_FALSE(news.crashes[0]->ended);
	crs_reports_sent(at[0].crs);
	EXPECT_FALSE(crs_pending_reports(at[0].crs, &news));
	crs_server_exited(at[0].crs, "s1", 1);
	clk_advance_ms(clk, 700);
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	EXPECT_TRUE(news.crashes[0]->ended);
	EXPECT_EQ(700u, news.crashes[0]->age_ms);
	crs_reports_sent(at[0].crs);
	crs_report_again(at[0].crs);
	EXPECT_TRUE(crs_pending_reports(at[0].crs, &news));
	clk_advance_ms(clk, QUARANTINE_MS);
	EXPECT_FALSE(crs_pending_reports(at[0].crs, &news));
}

// A connection that once broke while its server went on must not hide that a
// later one broke because the server ended.
TEST_F(CrsCase, BreakIsReportedAgainWhenNoEndWasFound)
{
	Aw__CrashNews news;

	broke(0, "s1", false);
	crs_pending_reports(at[0].crs, &news);
	crs_reports_sent(at[0].crs);
	clk_advance_ms(clk, QUAR_EXIT_CONFIRM_MS);
	broke(0, "s1");
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_crashes);
	EXPECT_TRUE(news.crashes[0]->ended);
	EXPECT_EQ(0u, news.crashes[0]->age_ms);
}

// A server that ends without breaking a connection starts again some time after
// its callers have given up.
TEST_F(CrsCase, UnansweredSendingCountsWhenTheServerStartsAgain)
{
	struct crs_failed_attempt sending = { fingerprint, "s1", "s1", "z",
					      5,	   600,	 false };
	Aw__CrashNews news;

	crs_unanswered(at[0].crs, &sending);
	EXPECT_FALSE(crs_pending_reports(at[0].crs, &news));
	EXPECT_FALSE(
		crs_server_started(at[0].crs, "s1", 5)); // the same process
	EXPECT_FALSE(crs_server_started(at[0].crs, "s2", 6));
	clk_advance_ms(clk, QUAR_EXIT_CONFIRM_MS - 1);
	EXPECT_TRUE(crs_server_started(at[0].crs, "s1", 6));
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_crashes);
	EXPECT_TRUE(news.crashes[0]->ended);
	EXPECT_TRUE(news.crashes[0]->weak);
	crs_reports_sent(at[0].crs);
	EXPECT_FALSE(crs_server_started(at[0].crs, "s1", 7));
	crs_unanswered(at[0].crs, &sending);
	clk_advance_ms(clk, QUAR_EXIT_CONFIRM_MS);
	EXPECT_FALSE(crs_server_started(at[0].crs, "s1", 8)); // too late
	crs_unanswered(at[0].crs, &sending);
	crs_answered(at[0].crs, fingerprint);
	EXPECT_TRUE(crs_server_started(at[0].crs, "s1", 9));
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	EXPECT_EQ(0u, news.n_crashes); // answered at that time
	EXPECT_EQ(1u, news.n_answers);
}

// The leader holds back a suspected request before the end of a silent server is
// known, if it is told of the sending.
TEST_F(CrsCase, UnansweredSendingOfASuspectedRequestIsToldAtOnce)
{
	struct crs_failed_attempt sending = { fingerprint, "s2", "s2", "z",
					      5,	   600,	 false };
	Aw__CrashNews news;

	broke(0, "s1");
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	crs_reports_sent(at[0].crs);
	crs_unanswered(at[0].crs, &sending);
	crs_unanswered(at[0].crs, &sending);
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_crashes);
	EXPECT_STREQ("s2", news.crashes[0]->server_id);
	EXPECT_FALSE(news.crashes[0]->ended);
	EXPECT_TRUE(news.crashes[0]->weak);
	crs_reports_sent(at[0].crs);
	EXPECT_TRUE(crs_server_started(at[0].crs, "s2", 6));
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_crashes);
	EXPECT_TRUE(news.crashes[0]->ended);
	crs_reports_sent(at[0].crs);
	// A broken connection to the same process shows more.
	sending.server_id = sending.address = "s3";
	crs_unanswered(at[0].crs, &sending);
	EXPECT_TRUE(crs_connection_broken(at[0].crs, &sending));
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_crashes);
	EXPECT_FALSE(news.crashes[0]->weak);
	// Also at an instance that knows of the request from the leader only.
	follow(1, AW__QUARANTINE_STATE__QUARANTINE_WATCHED);
	crs_unanswered(at[1].crs, &sending);
	EXPECT_TRUE(crs_pending_reports(at[1].crs, &news));
	// An answer clears it.
	crs_answered(at[0].crs, fingerprint);
	crs_pending_reports(at[0].crs, &news);
	crs_reports_sent(at[0].crs);
	sending.server_id = sending.address = "s4";
	crs_unanswered(at[0].crs, &sending);
	EXPECT_FALSE(crs_pending_reports(at[0].crs, &news));
}

// An instance cannot know that the request is suspected elsewhere, but sees that
// it was not answered twice.
TEST_F(CrsCase, SecondUnansweredSendingIsToldWithTheFirst)
{
	struct crs_failed_attempt sending = { fingerprint, "s1", "s1", "z",
					      5,	   600,	 false };
	Aw__CrashNews news;

	crs_unanswered(at[0].crs, &sending);
	crs_unanswered(at[0].crs, &sending); // a copy on the same server
	EXPECT_FALSE(crs_pending_reports(at[0].crs, &news));
	clk_advance_ms(clk, QUAR_EXIT_CONFIRM_MS);
	sending.address = "s2";
	crs_unanswered(at[0].crs, &sending);
	EXPECT_FALSE(
		crs_pending_reports(at[0].crs, &news)); // the first is resolved
	clk_advance_ms(clk, 1000);
	sending.address = "s3";
	crs_unanswered(at[0].crs, &sending);
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	EXPECT_EQ(2u, news.n_crashes);
	EXPECT_FALSE(news.crashes[0]->ended);
	EXPECT_FALSE(news.crashes[1]->ended);
}

// Instances without a leader count together, and tell each thing once.
TEST_F(CrsCase, InstancesTellEachOther)
{
	const char *addresses[] = { "s1", "s2", "s3" };
	Aw__CrashNews news;

	in_touch = false;
	for (size_t i = 0; i < 3; i++) {
		broke(i, addresses[i]);
		clk_advance_ms(clk, 300);
		ASSERT_TRUE(crs_peer_reports(at[i].crs, &news));
		ASSERT_EQ(1u, news.n_crashes);
		for (size_t j = 0; j < at.size(); j++) {
			if (j == i)
				continue;
			crs_receive_reports(at[j].crs, &news);
			crs_receive_reports(at[j].crs, &news);
		}
		EXPECT_FALSE(crs_peer_reports(at[i].crs, &news));
	}
	for (size_t i = 0; i < at.size(); i++) {
		Aw__CrashNews again;

		EXPECT_EQ(QUAR_REFUSED, judge(i)) << i;
		EXPECT_FALSE(crs_peer_reports(at[i].crs, &again));
		ASSERT_TRUE(
			crs_pending_reports(at[i].crs, &again)); // for a leader
		EXPECT_EQ(3u, again.n_crashes);
	}
	crs_answered(at[0].crs, fingerprint);
	ASSERT_TRUE(crs_peer_reports(at[0].crs, &news));
	ASSERT_EQ(1u, news.n_answers);
	crs_receive_reports(at[1].crs, &news);
	EXPECT_EQ(QUAR_NONE, judge(1));
	EXPECT_FALSE(crs_peer_reports(at[1].crs, &news));
}

// Datagrams may hold anything.
TEST_F(CrsCase, MalformedNewsAreIgnored)
{
	Aw__CrashReport one, *pointer = &one;
	Aw__AnswerReport answer, *answers = &answer;
	Aw__CrashNews news;
	std::string address(ADDRESS_BYTES_MAX, 'x');

	aw__crash_report__init(&one);
	aw__answer_report__init(&answer);
	aw__crash_news__init(&news);
	news.crashes = &pointer;
	news.n_crashes = 1;
	news.answers = &answers;
	news.n_answers = 1;
	one.ended = true;
	crs_receive_reports(at[0].crs, &news); // nothing is set
	one.fingerprint.data = fingerprint;
	one.fingerprint.len = HASH_BYTES;
	crs_receive_reports(at[0].crs, &news); // no address
	one.server_address = &address[0];
	crs_receive_reports(at[0].crs, &news);
	one.server_address = (char *)"s1";
	one.age_ms = UINT32_MAX;
	crs_receive_reports(at[0].crs, &news);
	one.age_ms = 0;
	one.took_ms = UINT32_MAX;
	answer.fingerprint = one.fingerprint;
	answer.age_ms = UINT32_MAX;
	EXPECT_FALSE(crs_has_requests(at[0].crs));
	crs_receive_reports(at[0].crs, &news);
	EXPECT_TRUE(crs_has_requests(at[0].crs));
}

TEST_F(CrsCase, ReportsAreBounded)
{
	Aw__CrashNews news;

	for (int i = 0; i < 3 * CRS_REPORTS_MAX; i++)
		broke(0, ("s" + std::to_string(i)).c_str());
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	EXPECT_EQ((size_t)CRS_REPORTS_MAX, news.n_crashes);
}

// A new leader must hear of an end also after an overload, in which many
// requests are not answered.
TEST_F(CrsCase, UnresolvedSendingsDisplaceNoKnownEnd)
{
	struct crs_failed_attempt sending = { fingerprint, "s", nullptr, "z",
					      5,	   600, false };
	Aw__CrashNews news;
	size_t nr_ended = 0;

	broke(0, "s1");
	for (int i = 0; i < 2 * CRS_REPORTS_MAX; i++) {
		std::string address = "t" + std::to_string(i);

		sending.address = address.c_str();
		crs_unanswered(at[0].crs, &sending);
	}
	crs_report_again(at[0].crs);
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	for (size_t i = 0; i < news.n_crashes; i++)
		nr_ended += news.crashes[i]->ended;
	EXPECT_EQ(1u, nr_ended);
}

TEST_F(CrsCase, RequestAnsweredLatelyIsNotSuspected)
{
	Aw__CrashNews news;

	crs_answered(at[0].crs, fingerprint);
	clk_advance_ms(clk, QUAR_ANSWER_GRACE_MS);
	EXPECT_FALSE(broke(0, "s1"));
	clk_advance_ms(clk, 1);
	EXPECT_TRUE(broke(0, "s2"));
	ASSERT_TRUE(crs_pending_reports(at[0].crs, &news));
	EXPECT_EQ(1u, news.n_crashes);
	EXPECT_EQ(1u, news.n_answers); // lately, so that losses count together
}

// Another instance may have served what this one reports.
TEST_F(CrsCase, ListedRequestThatWasAnsweredIsTold)
{
	Aw__CrashNews news;

	crs_answered(at[1].crs, fingerprint);
	clk_advance_ms(clk, 500);
	EXPECT_FALSE(crs_pending_reports(at[1].crs, &news));
	follow(1, AW__QUARANTINE_STATE__QUARANTINE_WATCHED, 300);
	ASSERT_TRUE(crs_pending_reports(at[1].crs, &news));
	ASSERT_EQ(1u, news.n_answers);
	EXPECT_EQ(500u, news.answers[0]->age_ms);
	crs_reports_sent(at[1].crs);
	clk_advance_ms(clk, 2 * QUAR_RECENT_ANSWER_MS);
	follow(1, AW__QUARANTINE_STATE__QUARANTINE_REFUSED);
	EXPECT_FALSE(crs_pending_reports(at[1].crs, &news));
}

TEST_F(CrsCase, ListIsFollowedUntilItsTime)
{
	uint32_t retry_after_ms;

	follow(0, AW__QUARANTINE_STATE__QUARANTINE_REFUSED);
	EXPECT_EQ(QUAR_REFUSED, judge(0, &retry_after_ms));
	EXPECT_EQ(60000u, retry_after_ms);
	follow_nothing(0);
	EXPECT_EQ(QUAR_NONE, judge(0));
	EXPECT_FALSE(crs_has_requests(at[0].crs));
	follow(0, AW__QUARANTINE_STATE__QUARANTINE_WATCHED);
	EXPECT_EQ(QUAR_WATCHED, judge(0));
	in_touch = false;
	follow(0, AW__QUARANTINE_STATE__QUARANTINE_REFUSED);
	clk_advance_ms(clk, 59999);
	EXPECT_EQ(QUAR_REFUSED, judge(0));
	clk_advance_ms(clk, 1);
	crs_tick(at[0].crs);
	EXPECT_EQ(QUAR_NONE, judge(0));
	EXPECT_FALSE(crs_has_requests(at[0].crs));
}

// Several instances that try at once would each cost a server.
TEST_F(CrsCase, TrialWaitsForUnresolvedSendings)
{
	uint32_t retry_after_ms;

	follow(0, AW__QUARANTINE_STATE__QUARANTINE_TRIAL, 9000, 5000, 6000);
	list.resize(1);
	EXPECT_EQ(QUAR_REFUSED, judge(0, &retry_after_ms));
	EXPECT_EQ(6000u, retry_after_ms);
	clk_advance_ms(clk, 5999);
	EXPECT_EQ(QUAR_REFUSED, judge(0));
	clk_advance_ms(clk, 1);
	EXPECT_EQ(QUAR_TRIAL, judge(0));
	EXPECT_EQ(QUAR_REFUSED, judge(0, &retry_after_ms));
	EXPECT_EQ((uint32_t)CRS_TRIAL_TURN_MS, retry_after_ms);
}

TEST_F(CrsCase, OneInstanceAtATimeSendsATrial)
{
	size_t trials = 0;

	for (size_t i = 0; i < at.size(); i++)
		follow(i, AW__QUARANTINE_STATE__QUARANTINE_TRIAL);
	for (uint64_t ms = 0; ms < QUAR_TRIAL_DELAY_MS; ms += 100) {
		for (size_t i = 0; i < at.size(); i++)
			EXPECT_EQ(QUAR_REFUSED, judge(i));
		clk_advance_ms(clk, 100);
	}
	for (uint64_t turn = 0; turn < 8; turn++) {
		size_t now = 0;

		for (uint64_t ms = 0; ms < CRS_TRIAL_TURN_MS; ms += 100) {
			for (size_t i = 0; i < at.size(); i++)
				now += judge(i) == QUAR_TRIAL;
			clk_advance_ms(clk, 100);
		}
		EXPECT_EQ(1u, now) << "turn " << turn;
		trials += now;
	}
	EXPECT_EQ(8u, trials);
}

} // namespace
