// Tests the service plan: versions, resent changes, validation, look-ups.
#include <algorithm>
#include <cstring>
#include <ctime>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "message.h"
#include "plan.h"

// One change that owns its strings.
class Change
{
	std::vector<std::string> texts;

	char *keep(const std::string &text)
	{
		texts.push_back(text);
		return (char *)texts.back().c_str();
	}

public:
	Aw__PlanChange message = AW__PLAN_CHANGE__INIT;
	std::vector<Aw__PlanRoute> routes;
	std::vector<Aw__PlanRoute *> route_list;
	std::vector<Aw__PlanPart> parts;
	std::vector<Aw__PlanPart *> part_list;
	std::vector<Aw__PlanUpstream> upstreams;
	std::vector<Aw__PlanUpstream *> upstream_list;
	std::vector<Aw__PlanCustomer> customers;
	std::vector<Aw__PlanCustomer *> customer_list;
	std::vector<char *> keys, removed;
	uint8_t digest[HASH_BYTES] = { 0 };

	Change(uint64_t base, uint64_t version, bool whole = true)
	{
		texts.reserve(200);
		routes.reserve(20);
		parts.reserve(20);
		part_list.reserve(20);
		upstreams.reserve(20);
		customers.reserve(20);
		keys.reserve(20);
		message.base_version = base;
		message.version = version;
		message.whole = whole;
		memcpy(digest, &base, sizeof(base));
		memcpy(digest + 8, &version, sizeof(version));
		message.digest.data = digest;
		message.digest.len = sizeof(digest);
	}

	Aw__PlanRoute &route(const std::string &name, const std::string &host,
			     const std::string &prefix,
			     const std::string &upstream)
	{
		Aw__PlanRoute route = AW__PLAN_ROUTE__INIT;
		Aw__PlanPart part = AW__PLAN_PART__INIT;

		part.upstream = keep(upstream);
		part.weight = 1;
		parts.push_back(part);
		part_list.push_back(&parts.back());
		route.name = keep(name);
		route.host = keep(host);
		route.path_prefix = keep(prefix);
		route.attempts_max = 2;
		route.parts = &part_list.back();
		route.n_parts = 1;
		routes.push_back(route);
		return routes.back();
	}

	void upstream(const std::string &name)
	{
		Aw__PlanUpstream upstream = AW__PLAN_UPSTREAM__INIT;

		upstream.name = keep(name);
		upstreams.push_back(upstream);
	}

	void customer(const std::string &name, const std::string &key)
	{
		Aw__PlanCustomer customer = AW__PLAN_CUSTOMER__INIT;

		customer.name = keep(name);
		keys.push_back(keep(key));
		customer.keys = &keys.back();
		customer.n_keys = 1;
		customers.push_back(customer);
	}

	void remove_route(const std::string &name)
	{
		removed.push_back(keep(name));
	}

	const Aw__PlanChange *finish()
	{
		for (auto &route : routes)
			route_list.push_back(&route);
		for (auto &upstream : upstreams)
			upstream_list.push_back(&upstream);
		for (auto &customer : customers)
			customer_list.push_back(&customer);
		message.routes = route_list.data();
		message.n_routes = route_list.size();
		message.upstreams = upstream_list.data();
		message.n_upstreams = upstream_list.size();
		message.customers = customer_list.data();
		message.n_customers = customer_list.size();
		message.removed_routes = removed.data();
		message.n_removed_routes = removed.size();
		return &message;
	}
};

class Plan : public ::testing::Test
{
protected:
	struct plan *plan = plan_create();
	uint64_t index = 0;
	char detail[256];

	~Plan() override
	{
		plan_destroy(plan);
	}

	enum plan_result change(Change &change)
	{
		return plan_change(plan, ++index, change.finish(), detail,
				   sizeof(detail));
	}

	void load()
	{
		Change first(0, 3);

		first.upstream("u1");
		first.upstream("u2");
		first.route("r1", "A.example", "/x/", "u1");
		first.route("r2", "a.example", "/x/y/", "u2");
		first.customer("c1", "k1");
		ASSERT_EQ(PLAN_ACCEPTED, change(first)) << detail;
	}

	std::string route_of(const char *host, const char *path)
	{
		const Aw__PlanRoute *route = plan_route(plan, host, path);

		return route ? route->name : "";
	}
};

TEST_F(Plan, LongestPrefixOfTheHostWins)
{
	load();
	EXPECT_EQ("r1", route_of("a.example", "/x/1"));
	EXPECT_EQ("r2", route_of("a.example:8080", "/x/y/1"));
	EXPECT_EQ("r1", route_of("A.EXAMPLE", "/x/yz"));
	EXPECT_EQ("", route_of("b.example", "/x/1"));
	EXPECT_EQ("", route_of("a.example", "/y/"));
}

// A resend of an accepted change must never be refused.
TEST_F(Plan, ResentChangeIsRecognized)
{
	load();
	Change again(0, 3);
	EXPECT_EQ(PLAN_REPEATED, change(again));

	Change next(3, 9, false);
	next.remove_route("r2");
	EXPECT_EQ(PLAN_ACCEPTED, change(next)) << detail;
	Change old(0, 3);
	EXPECT_EQ(PLAN_REPEATED, change(old));
	EXPECT_EQ(9u, plan_version(plan));
}

// Of two changes with the same base version only one may be accepted.
TEST_F(Plan, OneOfTwoConcurrentChangesWins)
{
	load();
	Change a(3, 5, false), b(3, 5, false);
	b.digest[20] = 1;
	EXPECT_EQ(PLAN_ACCEPTED, change(a));
	EXPECT_EQ(PLAN_CONFLICT, change(b));
}

TEST_F(Plan, InvalidChangesLeaveThePlanUnchanged)
{
	load();
	const struct {
		const char *what;
		void (*make)(Change &change);
	} table[] = {
		{ "unknown upstream",
		  [](Change &c) { c.route("r3", "h", "/", "nowhere"); } },
		{ "no weight",
		  [](Change &c) {
			  c.route("r3", "h", "/", "u1").parts[0]->weight = 0;
		  } },
		{ "no attempts",
		  [](Change &c) {
			  c.route("r3", "h", "/", "u1").attempts_max = 0;
		  } },
		{ "no host", [](Change &c) { c.route("r3", "", "/", "u1"); } },
		{ "shared key", [](Change &c) { c.customer("c2", "k1"); } },
	};

	for (const auto &row : table) {
		Change bad(3, 7, false);
		row.make(bad);
		EXPECT_EQ(PLAN_INVALID, change(bad)) << row.what;
		EXPECT_EQ(3u, plan_version(plan)) << row.what;
	}
	Change same(3, 3, false);
	same.digest[20] = 1;
	EXPECT_EQ(PLAN_INVALID, change(same));
}

TEST_F(Plan, PatchReplacesAddsAndRemovesByName)
{
	load();
	Change patch(3, 4, false);
	patch.route("r1", "a.example", "/z/", "u2");
	patch.route("r3", "a.example", "/w/", "u1");
	patch.remove_route("r2");
	ASSERT_EQ(PLAN_ACCEPTED, change(patch)) << detail;
	EXPECT_EQ("", route_of("a.example", "/x/1"));
	EXPECT_EQ("r1", route_of("a.example", "/z/1"));
	EXPECT_EQ("r3", route_of("a.example", "/w/1"));
	ASSERT_EQ(2u, plan_message(plan)->n_routes);
	EXPECT_STREQ("r1", plan_message(plan)->routes[0]->name);
	EXPECT_NE(nullptr, plan_customer_by_key(plan, "k1"));
}

// An entry instance must reach the same plan as the control instances, and an
// older change must not revert it.
TEST_F(Plan, FollowersReachTheSamePlan)
{
	struct plan *follower = plan_create();

	load();
	ASSERT_EQ(0, plan_replace(follower, plan_message(plan)));
	Change patch(3, 4, false);
	patch.remove_route("r1");
	ASSERT_EQ(PLAN_ACCEPTED, change(patch));
	patch.message.index = index;
	ASSERT_EQ(0, plan_apply_accepted(follower, &patch.message));
	EXPECT_EQ(4u, plan_version(follower));
	EXPECT_EQ(nullptr, plan_route(follower, "a.example", "/x/1"));
	patch.message.index = 1;
	patch.message.version = 2;
	ASSERT_EQ(0, plan_apply_accepted(follower, &patch.message));
	EXPECT_EQ(4u, plan_version(follower));
	plan_destroy(follower);
}

// A leader of another version may send a plan that this version would refuse. An
// entry instance must take it, and find the routes that it can use.
TEST_F(Plan, FollowersTakeOddPlans)
{
	struct plan *follower = plan_create();
	Aw__PlanChange nothing = AW__PLAN_CHANGE__INIT;
	Change odd(0, 1);

	odd.upstream("u1");
	odd.upstream("u1");
	odd.upstream("");
	odd.upstream(std::string(5000, 'u'));
	odd.route("", "", "", "");
	odd.route("r1", "a.example", "/x/", "u1");
	odd.route("r2", "a.example", "/y/", "nobody").kind =
		(Aw__RequestKind)99;
	odd.route("r3", std::string(5000, 'h'), "/", "u1");
	odd.route(std::string(5000, 'r'), "a.example", "/x/", "u1");
	odd.route("r4", "a.example", "/z/", "u1").n_parts = 0;
	odd.parts[1].weight = UINT32_MAX;
	odd.customer("", "");
	odd.customer(std::string(5000, 'c'), "k1");
	odd.customer("c1", "k1");
	odd.message.index = 1;
	odd.finish();
	ASSERT_EQ(0, plan_apply_accepted(follower, &odd.message));
	for (uint64_t at = 2; at < 4; at++) {
		nothing.index = at;
		ASSERT_EQ(0, plan_apply_accepted(follower, &nothing));
	}
	ASSERT_NE(nullptr, plan_route(follower, "a.example", "/x/1"));
	EXPECT_STREQ("r1", plan_route(follower, "a.example", "/x/1")->name);
	EXPECT_STREQ("r4", plan_route(follower, "A.example:80", "/z/1")->name);
	EXPECT_EQ(nullptr, plan_route(follower, "b.example", "/x/1"));
	EXPECT_NE(nullptr, plan_upstream(follower, "u1"));
	EXPECT_NE(nullptr, plan_customer_by_key(follower, "k1"));
	plan_destroy(follower);
}

TEST_F(Plan, DigestsSurviveASnapshot)
{
	std::vector<ProtobufCBinaryData> digests(PLAN_DIGESTS_MAX);
	struct plan *loaded = plan_create();

	load();
	ASSERT_EQ(1u, plan_digests(plan, digests.data(), digests.size()));
	ASSERT_EQ(0, plan_replace(loaded, plan_message(plan)));
	ASSERT_EQ(0, plan_load_digest(loaded, &digests[0]));
	Change again(0, 3);
	EXPECT_EQ(PLAN_REPEATED, plan_change(loaded, 9, again.finish(), detail,
					     sizeof(detail)));
	plan_destroy(loaded);
}

// A plan that follows a change with many routes costs an entry instance with a
// tenth of a core time in which it answers nobody; merging must not take time
// in proportion to the square of the routes.
class PlanOfManyRoutes : public ::testing::Test
{
protected:
	std::vector<std::string> texts;
	std::vector<Aw__PlanRoute> routes;
	std::vector<Aw__PlanRoute *> list;
	std::vector<char *> names;
	struct plan *plan = nullptr;

	void TearDown() override
	{
		plan_destroy(plan);
	}

	void apply(uint64_t index, size_t nr_routes, size_t nr_removed)
	{
		Aw__PlanChange change = AW__PLAN_CHANGE__INIT;

		change.version = change.index = index;
		change.routes = list.data();
		change.n_routes = nr_routes;
		change.removed_routes = names.data();
		change.n_removed_routes = nr_removed;
		ASSERT_EQ(plan_apply_accepted(plan, &change), 0);
	}

	// Returns the processor time that adding, replacing and removing nr
	// routes takes, the least of some trials.
	double merge_s(size_t nr)
	{
		double least = 1e9;

		texts.clear();
		texts.reserve(nr);
		routes.assign(nr, AW__PLAN_ROUTE__INIT);
		list.clear();
		names.clear();
		for (size_t i = 0; i < nr; i++) {
			texts.push_back("route-" + std::to_string(i));
			names.push_back((char *)texts[i].c_str());
			routes[i].name = names[i];
			routes[i].host = (char *)"many.example";
			routes[i].path_prefix = names[i];
			list.push_back(&routes[i]);
		}
		for (int trial = 0; trial < 3; trial++) {
			plan_destroy(plan);
			plan = plan_create();
			clock_t start = clock();
			apply(1, nr, 0);
			EXPECT_EQ(plan_message(plan)->n_routes, nr);
			apply(2, nr, 0);
			EXPECT_EQ(plan_message(plan)->n_routes, nr);
			apply(3, 0, nr);
			EXPECT_EQ(plan_message(plan)->n_routes, 0u);
			double took = (double)(clock() - start);
			least = std::min(least, took / CLOCKS_PER_SEC);
		}
		return least;
	}
};

// An instance that copies its whole plan for each change answers nobody
// meanwhile, also when the change itself is small.
TEST_F(PlanOfManyRoutes, TakesASmallChangeFasterThanACopy)
{
	double copy_s = 1e9, change_s = 1e9;

	merge_s(16000);
	apply(4, 16000, 0);
	for (uint64_t trial = 0; trial < 5; trial++) {
		clock_t start = clock();
		void *copy = message_copy(&plan_message(plan)->base);
		copy_s = std::min(copy_s, (double)(clock() - start));
		message_free(copy);
		start = clock();
		apply(5 + trial, 1, 0);
		change_s = std::min(change_s, (double)(clock() - start));
	}
	EXPECT_LT(change_s, copy_s);
}

// Followers that merge in another order would differ from the leader.
TEST_F(PlanOfManyRoutes, KeepTheirOrder)
{
	Aw__PlanChange change = AW__PLAN_CHANGE__INIT;
	Aw__PlanRoute repeated = AW__PLAN_ROUTE__INIT;
	const char *expected[] = { "route-0", "route-2", "new", "route-1" };

	merge_s(3);
	apply(4, 3, 0);
	repeated.name = (char *)"new";
	repeated.attempts_max = 1;
	routes[2].attempts_max = 7;
	Aw__PlanRoute last = repeated;
	last.attempts_max = 9;
	Aw__PlanRoute *upserts[] = { &repeated, &routes[2], &routes[1], &last };
	change.version = change.index = 5;
	change.routes = upserts;
	change.n_routes = 4;
	change.removed_routes = &names[1];
	change.n_removed_routes = 1;
	ASSERT_EQ(plan_apply_accepted(plan, &change), 0);
	const Aw__Plan *message = plan_message(plan);
	ASSERT_EQ(message->n_routes, 4u);
	for (size_t i = 0; i < 4; i++)
		EXPECT_STREQ(message->routes[i]->name, expected[i]);
	EXPECT_EQ(message->routes[1]->attempts_max, 7u);
	EXPECT_EQ(message->routes[2]->attempts_max, 9u);
}

TEST_F(PlanOfManyRoutes, IsMergedInTimeInProportionToTheRoutes)
{
	double few_s = merge_s(1000), many_s = merge_s(16000);

	EXPECT_LT(many_s, 16 * few_s * 3) << few_s << " s for 1000 routes";
}
