// Tests the validation of targets, the search for keys, look-ups and the choice
// of a server.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "config_fake.h"
#include "decision.h"
#include "key.h"
#include "lookup.h"
#include "route.h"
#include "state_fake.h"
#include "view.h"

static const std::string sample_key = "aw1_" + std::string(43, 'x');

// A target that a backend server could interpret as another path must be
// refused.
TEST(Target, RefusesAmbiguousPaths)
{
	const struct {
		const char *target;
		bool ok;
	} table[] = {
		{ "/", true },
		{ "/jobs/12?x=../a", true },
		{ "/jobs/", true },
		{ "/a.b/..c", true },
		{ "/caf%C3%A9%20", true },
		{ "/100%25", true },
		{ "/q?a=%2e%2e", true },
		{ "", false },
		{ "*", false },
		{ "http://x/", false },
		{ "/a/../b", false },
		{ "/a/..", false },
		{ "/a/.", false },
		{ "/./a", false },
		{ "//a", false },
		{ "/a//b", false },
		{ "/a/..;x/b", false },
		{ "/a/;x/b", false },
		{ "/a%2fb", false },
		{ "/a%2Fb", false },
		{ "/%2e%2e/b", false },
		{ "/%2E/b", false },
		{ "/%61dmin", false },
		{ "/a%5cb", false },
		{ "/a\\b", false },
		{ "/a%00", false },
		{ "/a%252fb", false },
		{ "/a%3bx", false },
		{ "/a%", false },
		{ "/a%2", false },
		{ "/a#b", false },
		{ "/a b", false },
		{ "/a\x80", false },
	};

	for (const auto &row : table)
		EXPECT_EQ(row.ok, route_target_ok(row.target)) << row.target;
}

// A key that the search does not find would reach a backend server.
TEST(Key, IsFoundWhenPercentEncoded)
{
	std::string once, twice;
	char hex[8];

	for (char c : sample_key) {
		snprintf(hex, sizeof(hex), "%%%02X", c);
		once += hex;
		snprintf(hex, sizeof(hex), "%%25%02x", c);
		twice += hex;
	}
	for (const std::string &text :
	     { sample_key, "/a?k=" + sample_key + "&b", once, twice,
	       "aw1_aw1_" + sample_key }) {
		EXPECT_TRUE(key_in_text(text.data(), text.size())) << text;
		EXPECT_TRUE(key_in_body(sample_key.c_str(),
					(const uint8_t *)text.data(),
					text.size()));
	}
	for (const std::string &text :
	     { std::string("aw1_short"), std::string("/a%"), std::string(""),
	       sample_key.substr(0, 46) }) {
		EXPECT_FALSE(key_in_text(text.data(), text.size())) << text;
	}
	// Another caller's key in a body is data; only the caller's own key is
	// searched for.
	EXPECT_FALSE(key_in_body("aw1_other", (const uint8_t *)once.data(),
				 once.size()));
	EXPECT_FALSE(key_has_format((sample_key + "x").c_str(), 48));
}

TEST(View, LongestPrefixMatchesWholeSegments)
{
	StateFake fake;

	fake.route("all", "/", "u", false);
	fake.route("jobs", "/jobs", "u", false);
	fake.route("open", "/jobs/open/", "u", true);
	struct view *view = view_create(fake.state());
	const struct {
		const char *target, *route;
	} table[] = {
		{ "/jobs", "jobs" },	     { "/jobs?x=1", "jobs" },
		{ "/jobs/1", "jobs" },	     { "/jobs;v=1", "jobs" },
		{ "/jobsheet", "all" },	     { "/jobs/open/1", "open" },
		{ "/jobs/opened", "jobs" },  { "/", "all" },
		{ "/x?/jobs/open/", "all" },
	};

	for (const auto &row : table)
		EXPECT_STREQ(row.route, view_route(view, row.target)->name)
			<< row.target;
	view_destroy(view);
}

TEST(View, LongestClientBlockWins)
{
	StateFake fake;

	fake.block("10.0.0.0/8", "a");
	fake.block("10.1.0.0/16", "b");
	fake.block("10.1.2.0/24", "c");
	fake.block("10.1.2.128/25", "d");
	fake.block("10.2.3.0/24", "e");
	fake.block("::/0", "f");
	fake.block("2001:db8::/32", "g");
	fake.block("2001:db8:1::/48", "h");
	fake.block("not a block", "x");
	struct view *view = view_create(fake.state());
	const struct {
		const char *address, *zone;
	} table[] = {
		{ "10.9.9.9", "a" },	  { "10.1.9.9", "b" },
		{ "10.1.2.3:4711", "c" }, { "10.1.2.200", "d" },
		{ "10.1.3.1", "b" },	  { "10.3.0.0", "a" },
		{ "11.0.0.1", "" },	  { "9.255.255.255", "" },
		{ "2001:db8::1", "g" },	  { "[2001:db8:1::9]:80", "h" },
		{ "2001:db9::", "f" },	  { "::ffff:10.1.2.3", "c" },
	};

	for (const auto &row : table)
		EXPECT_STREQ(row.zone, view_client_zone(view, row.address))
			<< row.address;
	EXPECT_EQ(nullptr, view_client_zone(view, "localhost"));
	EXPECT_EQ(nullptr, view_client_zone(view, "[::1"));
	view_destroy(view);
}

// Without a limit the response grew with the fleet: 214 KB were calculated for
// 3,600 instances.
TEST(Lookup, LimitsInstancesPerGroup)
{
	StateFake fake;

	fake.zone("z1", "r1");
	fake.zone("z2", "r1");
	fake.zone("z3", "r2");
	struct view *view = view_create(fake.state());
	std::vector<std::string> names;
	std::vector<Aw__Instance> instances(30);
	std::vector<const Aw__Instance *> list;
	const char *zones[] = { "z1", "z2", "z3" };

	for (int i = 0; i < 30; i++)
		names.push_back("n" + std::to_string(i) + zones[i % 3]);
	for (int i = 0; i < 30; i++) {
		instances[i] = AW__INSTANCE__INIT;
		instances[i].name = &names[i][0];
		instances[i].zone = (char *)zones[i % 3];
		instances[i].address = (char *)"127.0.0.1:1";
		list.push_back(&instances[i]);
	}
	struct look_request question = { view,	 list.data(), 30,    "10.0.0.1",
					 "self", "z1",	      false, 10 };
	struct buf out = BUF_INIT;

	ASSERT_EQ(LOOK_OK, look_write_response(&question, &out));
	std::string text((char *)out.data, out.len_bytes);
	for (const char *zone : zones) {
		size_t nr = 0, pos = 0;
		std::string end = std::string(zone) + "\",\"zone";

		while ((pos = text.find(end, pos + 1)) != std::string::npos)
			nr++;
		EXPECT_EQ(4u, nr) << zone;
	}
	buf_release(&out);
	view_destroy(view);
}

TEST(Lookup, OrdersByDistanceAndOmitsLeavingAndSelf)
{
	StateFake fake;

	fake.zone("z1", "r1");
	fake.zone("z2", "r1");
	fake.zone("z3", "r2");
	fake.block("10.0.0.0/8", "z2");
	struct view *view = view_create(fake.state());
	const char *rows[][2] = { { "far", "z3" },
				  { "near", "z1" },
				  { "self", "z2" },
				  { "best", "z2" },
				  { "gone", "z2" } };
	Aw__Instance instances[5];
	const Aw__Instance *list[5];

	for (int i = 0; i < 5; i++) {
		instances[i] = AW__INSTANCE__INIT;
		instances[i].name = (char *)rows[i][0];
		instances[i].zone = (char *)rows[i][1];
		instances[i].address = (char *)"127.0.0.1:1";
		list[i] = &instances[i];
	}
	instances[4].state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	struct look_request question = { view,	 list, 5,    "10.0.0.1:99",
					 "self", "z1", true, 10 };
	struct buf out = BUF_INIT;

	ASSERT_EQ(LOOK_OK, look_write_response(&question, &out));
	std::string text((char *)out.data, out.len_bytes);
	size_t best = text.find("best"), near = text.find("near"),
	       far = text.find("far");
	ASSERT_NE(std::string::npos, best);
	EXPECT_LT(best, near);
	EXPECT_LT(near, far);
	EXPECT_NE(std::string::npos, far);
	EXPECT_EQ(std::string::npos, text.find("self"));
	EXPECT_EQ(std::string::npos, text.find("gone"));
	question.client = "nowhere";
	EXPECT_EQ(LOOK_ERR_CLIENT, look_write_response(&question, &out));
	buf_release(&out);
	view_destroy(view);
}

static struct route_candidate candidate(enum route_group group)
{
	struct route_candidate made = {};

	made.address = "127.0.0.1:1";
	made.zone = made.region = "";
	made.group = group;
	made.held_slots = 2;
	made.link_ok = true;
	return made;
}

TEST(Choice, PrefersNearThenCheapAndRespectsLimits)
{
	std::vector<struct route_candidate> list(3, candidate(ROUTE_SAME_ZONE));
	std::vector<enum route_verdict> verdicts(3);
	struct route_query question = { 1000, false, false, false, 999 };
	auto choose = [&] {
		return route_choose(list.data(), list.size(), &question,
				    verdicts.data());
	};

	list[0].group = ROUTE_OTHER_REGION;
	list[1].group = ROUTE_SAME_REGION;
	EXPECT_EQ(2, choose());
	EXPECT_EQ(ROUTE_CROSS_REGION, verdicts[0]);
	EXPECT_EQ(ROUTE_FARTHER, verdicts[1]);
	list[2].used_slots = 2;
	EXPECT_EQ(1, choose());
	list[1].leaving = true;
	EXPECT_EQ(-1, choose());
	question.cross_region = true;
	EXPECT_EQ(0, choose());
	list[0].link_ok = false;
	EXPECT_EQ(-1, choose());
	EXPECT_EQ(ROUTE_NO_LINK_TOKENS, verdicts[0]);

	list.assign(3, candidate(ROUTE_SAME_ZONE));
	for (auto &one : list)
		one.stats.latency_at_ms = 1000;
	list[0].stats.latency_us = 9000;
	list[1].stats.latency_us = 2000;
	list[2].stats.latency_us = 5000;
	EXPECT_EQ(1, choose());
	list[1].held_slots = 9;
	list[1].used_slots = 2;
	EXPECT_EQ(2, choose());
	list[2].tried = true;
	EXPECT_EQ(1, choose());
	list[1].stats.shed_until_ms = 2000;
	EXPECT_EQ(0, choose());
	list[0].used_slots = 2;
	list[2].used_slots = 2;
	EXPECT_EQ(1, choose());
	// A retry never goes to a server that sheds load.
	question.retry = true;
	EXPECT_EQ(-1, choose());
}

// A drained share must not get requests whose draw falls into it.
TEST(Choice, ExcludesDrainedShare)
{
	struct route_candidate list[2] = { candidate(ROUTE_SAME_ZONE),
					   candidate(ROUTE_SAME_REGION) };
	struct route_query question = { 0, false, false, false, 0 };

	list[0].drained_permille = 300;
	list[1].used_slots = 2;
	question.draw_permille = 299;
	EXPECT_EQ(-1, route_choose(list, 2, &question, nullptr));
	list[1].used_slots = 0;
	EXPECT_EQ(1, route_choose(list, 2, &question, nullptr));
	question.draw_permille = 300;
	EXPECT_EQ(0, route_choose(list, 2, &question, nullptr));
	// Without any other server the share cannot be moved.
	question.draw_permille = 0;
	EXPECT_EQ(0, route_choose(list, 1, &question, nullptr));
	list[0].drained_permille = 1000;
	question.draw_permille = 999;
	EXPECT_EQ(-1, route_choose(list, 1, &question, nullptr));
}

// If measurements rule out more than half of the servers, they are assumed to
// be wrong. A server that announced its departure is never used.
TEST(Choice, ExcludesAtMostHalfOfTheServers)
{
	struct route_query question = { 1000, false, false, false, 999 };

	for (size_t nr = 1; nr <= 8; nr++) {
		std::vector<struct route_candidate> list(
			nr, candidate(ROUTE_SAME_ZONE));
		size_t ejected = 0;

		while (route_may_eject(list.data(), nr, 1000))
			list[ejected++].stats.ejected_until_ms = 2000;
		EXPECT_EQ(nr / 2, ejected);
		EXPECT_GE(route_choose(list.data(), nr, &question, nullptr),
			  (int)ejected);
		for (auto &one : list)
			one.silent = true;
		EXPECT_GE(route_choose(list.data(), nr, &question, nullptr), 0);
		for (auto &one : list)
			one.leaving = true;
		EXPECT_EQ(-1,
			  route_choose(list.data(), nr, &question, nullptr));
	}
	std::vector<struct route_candidate> list(4, candidate(ROUTE_SAME_ZONE));
	list[0].silent = list[1].silent = true;
	EXPECT_FALSE(route_may_eject(list.data(), 4, 1000));
	EXPECT_GE(route_choose(list.data(), 4, &question, nullptr), 2);
}

// With one of two servers ejected and the other dead, the retry went to the
// dead server again although the ejected one worked.
TEST(Choice, UsesAnEjectedServerRatherThanOneThatFailed)
{
	struct route_candidate list[2] = { candidate(ROUTE_SAME_ZONE),
					   candidate(ROUTE_SAME_ZONE) };
	struct route_query question = { 1000, false, true, false, 999 };
	enum route_verdict verdicts[2];

	list[1].stats.ejected_until_ms = 2000;
	EXPECT_EQ(0, route_choose(list, 2, &question, verdicts));
	EXPECT_EQ(ROUTE_EJECTED, verdicts[1]);
	list[0].tried = true;
	EXPECT_EQ(1, route_choose(list, 2, &question, verdicts));
	EXPECT_EQ(ROUTE_TRIED, verdicts[0]);
	EXPECT_EQ(ROUTE_CHOSEN, verdicts[1]);
	// A request waits for a full server, but not for one that may not be
	// used.
	list[0].tried = false;
	list[0].used_slots = 2;
	EXPECT_EQ(-1, route_choose(list, 2, &question, verdicts));
	list[0].drained_permille = 1000;
	EXPECT_EQ(1, route_choose(list, 2, &question, verdicts));
}

TEST(Decision, ExplainsAndDiscardsTheOldest)
{
	struct dec_ring *ring = dec_create(2);
	struct cfg_decision policy = { 5, CFG_ORIGIN_DEFAULT, "n", "why" };
	struct route_candidate list[2] = { candidate(ROUTE_SAME_ZONE),
					   candidate(ROUTE_SAME_REGION) };
	enum route_verdict verdicts[2] = { ROUTE_CHOSEN, ROUTE_FARTHER };
	struct buf out = BUF_INIT;

	for (const char *id : { "a", "b", "c" }) {
		dec_begin(ring, id, 7);
		dec_subject(ring, id, "member", "jobs", "u");
		dec_policy(ring, id, CFG_DEADLINE_MS, &policy);
		dec_choice(ring, id, list, verdicts, 2, 0, 10, 123);
		dec_end(ring, id, REFUSAL_RATE, 429, true, 0, 3, "note");
	}
	EXPECT_EQ(DEC_ERR_NOT_FOUND, dec_format(ring, "a", &out));
	ASSERT_EQ(DEC_OK, dec_format(ring, "c", &out));
	std::string text((char *)out.data, out.len_bytes);
	for (const char *part :
	     { "\"reason\":\"why\"", "\"origin\":\"default\"", "farther",
	       "\"seen_age_ms\":123", "\"refusal\":\"rate\"", "member" })
		EXPECT_NE(std::string::npos, text.find(part)) << part << text;
	buf_release(&out);
	dec_destroy(ring);
}
