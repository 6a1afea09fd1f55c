// Guards the division of customers' rates: no customer may exceed its limit
// over all instances, and one within its rate must not be refused.
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "share.h"

// A rate of 20 requests per second, a burst of 20, and the accepted excess.
static const uint32_t RATE_MILLI = 20000;
static const uint32_t WINDOW_MS = 5000;
static const struct share_limit LIMIT = { 20 * 5 + 20 + 18, WINDOW_MS };

class Share : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(1000000);
	struct share_pool *pool = share_pool_create(clk, true);
	std::vector<struct share_bucket> buckets;
	std::vector<bool> confirmed;
	size_t known_instances = 0; // of the leader, 0: all

	~Share() override
	{
		share_pool_destroy(pool);
		clk_destroy(clk);
	}

	uint64_t now() const
	{
		return clk_now_ms(clk);
	}

	void create(size_t nr, uint32_t rate_milli = RATE_MILLI)
	{
		buckets.resize(nr);
		confirmed.assign(nr, false);
		for (auto &bucket : buckets)
			share_bucket_init(&bucket, rate_milli, WINDOW_MS,
					  now());
	}

	uint32_t report(size_t i, const struct share_limit &limit = LIMIT,
			uint32_t wanted = 0)
	{
		std::string name = "entry-" + std::to_string(i);
		struct share_report from = {
			"c",
			name.c_str(),
			i + 1,
			share_bucket_demand(&buckets[i], now()),
			buckets[i].held,
			share_bucket_used(&buckets[i], now()),
			confirmed[i],
			wanted
		};
		struct share_grant grant = share_pool_report(
			pool, &from, &limit,
			known_instances ? known_instances : buckets.size());

		share_bucket_grant(&buckets[i], &grant, now());
		confirmed[i] = true;
		return grant.tokens;
	}

	// Asks as an instance does: uses its share, or else a token of the
	// leader.
	bool admit(size_t i)
	{
		return take(i) || report(i, LIMIT, 1) == 1;
	}

	void report_all(const struct share_limit &limit = LIMIT)
	{
		for (size_t i = 0; i < buckets.size(); i++)
			report(i, limit);
	}

	bool take(size_t i)
	{
		return !share_bucket_take(&buckets[i], now());
	}

	// Sends a customer's requests to the instances at random for a minute.
	void expect_few_refused(size_t nr_instances, unsigned int seed)
	{
		std::mt19937 random(seed);
		std::poisson_distribution<int> arrivals(
			12.0 / (double)nr_instances * 0.05);
		size_t requested = 0, refused = 0;

		create(nr_instances);
		for (int step = 0; step < 20 * 60; step++) {
			if (step % 10 == 0)
				report_all();
			for (size_t i = 0; i < buckets.size(); i++)
				for (int n = arrivals(random); n > 0; n--) {
					requested++;
					refused += !admit(i);
				}
			clk_advance_ms(clk, 50);
		}
		ASSERT_GT(requested, 600u);
		EXPECT_LE(refused * 50, requested)
			<< refused << " of " << requested;
	}

	uint64_t total_held() const
	{
		uint64_t total = 0;

		for (const auto &bucket : buckets)
			total += bucket.held;
		return total;
	}
};

// A small customer sends 0.6 of its rate to twelve instances at random. When
// each instance had a twelfth of the rate and burst, a fifth of the requests
// was refused.
TEST_F(Share, CustomerWithinItsRateIsNotRefused)
{
	expect_few_refused(12, 7);
}

// A customer sends eight times its rate to all instances, after a time of low
// load that filled all buckets. Counted in every window of 5 s.
TEST_F(Share, HotCustomerStaysWithinItsLimit)
{
	std::vector<uint64_t> admitted;
	uint64_t allowed = (20 * 5 + 20) + (20 * 5 + 20) / 10 + 20;

	create(12);
	for (int step = 0; step < 50 * 30; step++) {
		bool overloaded = step > 50 * 10;

		if (step % 25 == 0)
			report_all();
		for (size_t i = 0; i < buckets.size(); i++)
			for (int n = 0; n < (overloaded ? 1 : step % 6 == 0);
			     n++)
				if (admit(i))
					admitted.push_back(now());
		clk_advance_ms(clk, 20);
	}
	size_t first = 0, most = 0;
	for (size_t last = 0; last < admitted.size(); last++) {
		while (admitted[first] + 5000 <= admitted[last])
			first++;
		most = std::max(most, last - first + 1);
	}
	EXPECT_LE(most, allowed);
	EXPECT_GE(most, 100u) << "the rate itself must be usable";
}

// A customer sends eight times its rate while changes of the plan make all
// instances report before their time and reports and grants take up to 400 ms,
// so that they cross each other and the changes. Counted in every window of 5 s.
TEST_F(Share, HotCustomerStaysWithinItsLimitDuringPlanChanges)
{
	struct Message {
		uint64_t due_ms;
		struct share_report report;
		struct share_grant grant;
		uint64_t sequence, granted_sequence;
	};
	struct Instance {
		std::string name;
		std::deque<Message> to_leader, from_leader;
		uint64_t sequence = 0, granted_sequence = 0;
		uint64_t reported_ms = 0; // last periodic report
		bool report_due = false; // before its time
		uint32_t waiting = 0; // requests
	};
	std::mt19937 random(11);
	std::vector<Instance> instances(12);
	std::vector<uint64_t> admitted;

	create(instances.size());
	auto due_ms = [&](const std::deque<Message> &queue) {
		uint64_t due = now() + random() % 400;

		return queue.empty() ? due : std::max(due, queue.back().due_ms);
	};
	auto send_report = [&](size_t i, bool is_periodic) {
		Instance &at = instances[i];
		Message message = {};

		if (is_periodic) {
			at.reported_ms = now();
			at.report_due = false;
		}
		message.due_ms = due_ms(at.to_leader);
		message.report = { "c",
				   at.name.c_str(),
				   i + 1,
				   share_bucket_demand(&buckets[i], now()),
				   buckets[i].held,
				   share_bucket_used(&buckets[i], now()),
				   false,
				   at.waiting };
		message.sequence = ++at.sequence;
		message.granted_sequence = at.granted_sequence;
		at.waiting = 0;
		at.to_leader.push_back(message);
	};
	auto deliver = [&](size_t i) {
		Instance &at = instances[i];

		while (!at.to_leader.empty() &&
		       at.to_leader.front().due_ms <= now()) {
			Message message = at.to_leader.front();

			at.to_leader.pop_front();
			message.report.confirmed =
				message.granted_sequence + 1 ==
				message.sequence;
			message.grant = share_pool_report(
				pool, &message.report, &LIMIT, buckets.size());
			message.due_ms = due_ms(at.from_leader);
			at.from_leader.push_back(message);
		}
		while (!at.from_leader.empty() &&
		       at.from_leader.front().due_ms <= now()) {
			Message message = at.from_leader.front();

			at.from_leader.pop_front();
			at.granted_sequence = message.sequence;
			share_bucket_grant(&buckets[i], &message.grant,
					   at.reported_ms);
			for (uint32_t n = 0; n < message.grant.tokens; n++)
				admitted.push_back(now());
		}
	};
	for (size_t i = 0; i < instances.size(); i++)
		instances[i].name = "entry-" + std::to_string(i);
	for (int step = 0; step < 50 * 120; step++) {
		bool plan_changes = random() % 40 == 0;

		share_pool_tick(pool);
		for (size_t i = 0; i < instances.size(); i++) {
			Instance &at = instances[i];

			at.report_due |= plan_changes;
			deliver(i);
			if (at.report_due || now() >= at.reported_ms + 500)
				send_report(i, true);
			else if (at.waiting)
				send_report(i, false);
			if (random() % 4)
				continue;
			if (take(i))
				admitted.push_back(now());
			else
				at.waiting++;
		}
		clk_advance_ms(clk, 20);
	}
	size_t first = 0, most = 0;
	for (size_t last = 0; last < admitted.size(); last++) {
		while (admitted[first] + 5000 <= admitted[last])
			first++;
		most = std::max(most, last - first + 1);
	}
	EXPECT_LE(most, LIMIT.requests);
	EXPECT_GE(admitted.size(), 100u * 20);
}

// The sum of the shares must stay within the limit also while demand moves
// between instances and grants are lost.
TEST_F(Share, SharesNeverExceedTheLimit)
{
	std::mt19937 random(3);

	create(8);
	for (int step = 0; step < 400; step++) {
		size_t busy = (size_t)step / 50 % buckets.size();

		for (int n = 0; n < 8; n++)
			take(busy);
		for (size_t i = 0; i < buckets.size(); i++) {
			if (random() % 4)
				report(i);
			else
				confirmed[i] = false;
		}
		ASSERT_LE(total_held(), LIMIT.requests) << step;
		clk_advance_ms(clk, 500);
	}
}

// A new leader does not know the shares of silent instances.
TEST_F(Share, NewLeaderReservesSharesOfSilentInstances)
{
	create(4);
	for (int i = 0; i < 10; i++) {
		report_all();
		clk_advance_ms(clk, 500);
	}
	uint64_t held = buckets[3].held;
	share_pool_destroy(pool);
	pool = share_pool_create(clk, true);
	for (int i = 0; i < 10; i++) {
		for (size_t k = 0; k < 3; k++)
			report(k);
		clk_advance_ms(clk, 500);
	}
	EXPECT_LE(total_held(), LIMIT.requests);
	EXPECT_EQ(held, buckets[3].held);
}

// All control instances were killed and started again: their leader has an empty
// list of instances, and the first ones to report got shares that the others
// still held.
TEST_F(Share, LeaderWithoutAListGivesNoShareTwice)
{
	uint64_t held;

	create(8);
	for (int i = 0; i < 10; i++) {
		report_all();
		clk_advance_ms(clk, 500);
	}
	held = total_held();
	share_pool_destroy(pool);
	pool = share_pool_create(clk, false);
	for (size_t i = 0; i < buckets.size(); i++) {
		known_instances = i + 1;
		report(i);
		EXPECT_LE(total_held(), held) << i;
		clk_advance_ms(clk, 100);
	}
	for (int i = 0; i < 4; i++)
		report_all();
	EXPECT_LE(total_held(), LIMIT.requests);
}

// Nothing holds a share at the start of a cluster; it must not wait for long.
TEST_F(Share, LeaderWithoutAListGivesSharesSoon)
{
	create(2);
	share_pool_destroy(pool);
	pool = share_pool_create(clk, false);
	report_all();
	EXPECT_EQ(0u, total_held());
	clk_advance_ms(clk, SHARE_SETTLE_MS);
	report_all();
	EXPECT_GT(total_held(), LIMIT.requests / 2);
}

// An instance without a leader keeps its share for SHARE_LIFETIME_MS and then
// falls back to a small part of it.
TEST_F(Share, ShareExpiresWithoutALeader)
{
	create(2);
	for (int i = 0; i < 4; i++) {
		report_all();
		clk_advance_ms(clk, 500);
	}
	uint32_t held = buckets[0].held;
	clk_advance_ms(clk, SHARE_LIFETIME_MS - 1000);
	take(0);
	EXPECT_EQ(held, buckets[0].held);
	clk_advance_ms(clk, 2000);
	take(0);
	EXPECT_LT(buckets[0].held, held / 4);
}

// A small customer at more instances than its rate has requests per second.
// With 70 instances a fifth of its requests was refused within the rate.
TEST_F(Share, SmallCustomerAtManyInstances)
{
	expect_few_refused(70, 5);
}

// Small customers send 8.7 requests per second of a limit of 14 to 70 instances
// whose queries to the leader take 110 ms. When the whole limit stayed with the
// leader, every request waited for a reply, and a third was refused although
// the customer kept to its rate.
TEST_F(Share, FewRequestsWaitForADistantLeader)
{
	static const struct share_limit limit = { 14 * 5 + 14 + 17, WINDOW_MS };
	std::mt19937 random(5);
	std::poisson_distribution<int> arrivals(8.7 / 70 * 0.01);
	std::deque<std::pair<uint64_t, size_t>> queries;
	size_t requested = 0, waited = 0, refused = 0;

	create(70, 14000);
	for (int step = 0; step < 100 * 60; step++) {
		bool counts = step >= 100 * 5;

		for (size_t i = 0; i < buckets.size(); i++)
			if ((step + (int)i) % 50 == 0)
				report(i, limit);
		while (!queries.empty() && queries.front().first <= now()) {
			size_t i = queries.front().second;

			queries.pop_front();
			refused += !report(i, limit, 1) && counts;
		}
		for (size_t i = 0; i < buckets.size(); i++)
			for (int n = arrivals(random); n > 0; n--) {
				requested += counts;
				if (take(i))
					continue;
				waited += counts;
				queries.push_back({ now() + 110, i });
			}
		clk_advance_ms(clk, 10);
	}
	ASSERT_GT(requested, 400u);
	EXPECT_LE(refused * 50, requested) << refused << " of " << requested;
	EXPECT_LE(waited * 10, requested * 4) << waited << " of " << requested;
}

TEST_F(Share, LowerRateAppliesAtOnce)
{
	create(1);
	report_all();
	uint32_t held = buckets[0].held;
	share_bucket_set_rate(&buckets[0], RATE_MILLI / 4);
	EXPECT_EQ(held / 4, buckets[0].held);
}

TEST_F(Share, ReturnedTokenCanBeTakenAgain)
{
	create(1);
	while (take(0))
		;
	share_bucket_return(&buckets[0], now());
	EXPECT_TRUE(take(0));
	EXPECT_FALSE(take(0));
}
