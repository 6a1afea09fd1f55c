// Tests the allocation of tokens and slots: the limits apply to all entry
// instances together, also while Reports and Grants are lost, delayed or
// duplicated, instances restart and the leader changes.
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "alloc.h"

namespace
{

const int kInstances = 12;
const uint64_t kMicro = 1000000;

int schedule_count(int standard)
{
	const char *text = getenv("ALLOC_SCHEDULES");

	return text ? atoi(text) : standard;
}

uint64_t first_seed()
{
	const char *text = getenv("ALLOC_SEED");

	return text ? strtoull(text, nullptr, 10) : 1;
}

// A Report that owns the data it points to.
struct OwnedReport {
	Aw__Report report;
	Aw__Instance instance;
	std::string name, zone;
	std::deque<std::string> texts;
	std::deque<Aw__TokenReport> tokens;
	std::deque<Aw__TokenUse> uses;
	std::deque<Aw__SlotReport> slots;
	std::deque<Aw__SlotDemand> demands;
	std::vector<Aw__TokenReport *> token_ptrs;
	std::deque<std::vector<Aw__TokenUse *>> use_ptrs;
	std::vector<Aw__SlotReport *> slot_ptrs;
	std::vector<Aw__SlotDemand *> demand_ptrs;

	OwnedReport(const std::string &name_, const std::string &zone_,
		    uint64_t incarnation, uint64_t sequence)
	    : name(name_), zone(zone_)
	{
		aw__report__init(&report);
		aw__instance__init(&instance);
		instance.name = &name[0];
		instance.zone = &zone[0];
		report.instance = &instance;
		report.instance_incarnation = incarnation;
		report.sequence = sequence;
	}
	OwnedReport(const OwnedReport &) = delete;

	char *text(const std::string &value)
	{
		texts.push_back(value);
		return &texts.back()[0];
	}
	void token(const std::string &bucket, uint64_t wanted,
		   const std::vector<Aw__TokenUse> &of = {})
	{
		tokens.emplace_back();
		aw__token_report__init(&tokens.back());
		tokens.back().name = text(bucket);
		tokens.back().wanted = wanted;
		use_ptrs.emplace_back();
		for (const Aw__TokenUse &use : of) {
			uses.push_back(use);
			use_ptrs.back().push_back(&uses.back());
		}
		tokens.back().uses = use_ptrs.back().data();
		tokens.back().n_uses = use_ptrs.back().size();
		token_ptrs.push_back(&tokens.back());
		report.tokens = token_ptrs.data();
		report.n_tokens = token_ptrs.size();
	}
	void slot(const std::string &address, uint64_t incarnation,
		  uint32_t held)
	{
		slots.emplace_back();
		aw__slot_report__init(&slots.back());
		slots.back().address = text(address);
		slots.back().incarnation = incarnation;
		slots.back().held = held;
		slot_ptrs.push_back(&slots.back());
		report.slots = slot_ptrs.data();
		report.n_slots = slot_ptrs.size();
	}
	void demand(const std::string &upstream, uint32_t in_use,
		    uint32_t queued)
	{
		demands.emplace_back();
		aw__slot_demand__init(&demands.back());
		demands.back().upstream = text(upstream);
		demands.back().in_use = in_use;
		demands.back().queued = queued;
		demand_ptrs.push_back(&demands.back());
		report.demands = demand_ptrs.data();
		report.n_demands = demand_ptrs.size();
	}
};

// The parts of a Grant that a simulated instance applies.
struct OwnedGrant {
	uint64_t term = 0, sequence = 0;
	uint64_t tokens = 0;
	uint32_t retry_after_ms = 0;
	std::map<std::string, uint32_t> targets;
};

// A message between an instance and the leader.
template <typename T> struct Message {
	int instance;
	uint64_t incarnation;
	std::shared_ptr<T> content;
};

// Delivers messages after a random delay, loses some and duplicates others.
template <typename T> struct Network {
	std::multimap<uint64_t, Message<T>> queue;

	void send(std::mt19937_64 &rng, uint64_t now_ms, int loss_percent,
		  uint64_t delay_max_ms, const Message<T> &message)
	{
		int copies = rng() % 20 == 0 ? 2 : 1;

		while (copies--) {
			uint64_t at_ms = now_ms + rng() % (delay_max_ms + 1);

			if (rng() % 50 == 0)
				at_ms += rng() % 3000;
			if ((int)(rng() % 100) >= loss_percent)
				queue.emplace(at_ms, message);
		}
	}
	bool receive(uint64_t now_ms, Message<T> *message)
	{
		if (queue.empty() || queue.begin()->first > now_ms)
			return false;
		*message = queue.begin()->second;
		queue.erase(queue.begin());
		return true;
	}
};

// Stands for the registry: accepts the Reports of each process in order, and
// none of a process that was replaced.
struct ReportFilter {
	std::map<int, std::pair<uint64_t, uint64_t>> last;

	bool accept(int instance, const Aw__Report &report)
	{
		auto &seen = last[instance];

		if (report.instance_incarnation < seen.first ||
		    (report.instance_incarnation == seen.first &&
		     report.sequence <= seen.second))
			return false;
		seen = { report.instance_incarnation, report.sequence };
		return true;
	}
};

// ---- tokens ----

// A token bucket that starts full. It is never overdrawn if and only if no time
// window of any length has more than rate x length + burst admissions.
struct ReferenceBucket {
	uint64_t rate_milli, burst, level_micro, at_ms;

	ReferenceBucket(uint64_t rate_milli_, uint64_t burst_, uint64_t now_ms)
	    : rate_milli(rate_milli_), burst(burst_),
	      level_micro(burst_ * kMicro), at_ms(now_ms)
	{
	}
	bool admit(uint64_t now_ms)
	{
		level_micro =
			std::min(burst * kMicro,
				 level_micro + rate_milli * (now_ms - at_ms));
		at_ms = now_ms;
		if (level_micro < kMicro)
			return false;
		level_micro -= kMicro;
		return true;
	}
};

// Tokens that an instance got with one Grant.
struct HeldGrant {
	Aw__TokenUse use;
	uint64_t granted, expires_ms;

	uint64_t remaining() const
	{
		return granted - use.used - use.returned;
	}
};

struct SimulatedTokenAgent {
	uint64_t incarnation = 0, sequence = 0;
	uint64_t next_report_ms = 0, term = 0, applied_sequence = 0;
	std::map<uint64_t, uint64_t> sent_ms;
	std::vector<HeldGrant> held;
	std::deque<uint64_t> waiting_until_ms; // of each waiting request
	uint64_t recent = 0; // decaying number of requests

	uint64_t remaining(uint64_t now_ms) const
	{
		uint64_t sum = 0;

		for (const HeldGrant &grant : held)
			if (grant.expires_ms > now_ms)
				sum += grant.remaining();
		return sum;
	}
	bool use(uint64_t now_ms)
	{
		for (HeldGrant &grant : held)
			if (grant.expires_ms > now_ms && grant.remaining()) {
				grant.use.used++;
				return true;
			}
		return false;
	}
	void apply(const OwnedGrant &grant)
	{
		if (std::make_pair(grant.term, grant.sequence) <=
		    std::make_pair(term, applied_sequence))
			return;
		term = grant.term;
		applied_sequence = grant.sequence;
		if (!grant.tokens)
			return;
		HeldGrant add;
		aw__token_use__init(&add.use);
		add.use.term = grant.term;
		add.use.sequence = grant.sequence;
		add.granted = grant.tokens;
		add.expires_ms = sent_ms[grant.sequence] + TOKEN_LIFETIME_MS;
		held.push_back(add);
	}
};

struct Totals {
	uint64_t admitted = 0, refused = 0, refused_within_rate = 0;
};

// A planned change of leader: the old one has stopped granting, and its saved
// buckets are in transit or at an instance that is not leader yet.
struct Handover {
	std::mt19937_64 rng; // own one, to leave the schedule's unchanged
	bool planned = false;
	struct buf state = BUF_INIT;
	uint64_t received_ms = 0;
	uint64_t begin_ms = 0; // start of the next leader; 0: none due

	~Handover()
	{
		buf_release(&state);
	}
	void start(struct alloc_tokens *old, uint64_t now_ms)
	{
		buf_clear(&state);
		EXPECT_EQ(ALLOC_OK, alloc_tokens_save(old, &state));
		received_ms = now_ms + rng() % 300;
		begin_ms = received_ms + 10 + rng() % 300;
	}
	void finish(struct alloc_tokens *next)
	{
		begin_ms = 0;
		if (rng() % 5 == 0)
			return; // lost
		EXPECT_EQ(ALLOC_OK,
			  alloc_tokens_restore(next, state.data,
					       state.len_bytes, received_ms));
	}
};

// Simulates a random schedule. Returns false if it admitted more requests than
// the customer's rate and burst allow.
bool token_schedule(uint64_t seed, bool faultless, Totals *totals,
		    bool planned = false)
{
	std::mt19937_64 rng(seed);
	Handover handover;
	struct clk *clk = clk_create_paused(1000000 + rng() % 1000);
	uint64_t rate = 5 + rng() % 60, burst = 1 + rng() % (2 * rate);
	int loss_percent = faultless ? 0 : (int)(rng() % 30);
	uint64_t delay_max_ms = faultless ? 60 : 1 + rng() % 300, term = 1,
		 next_incarnation = 1;
	uint64_t load_percent = faultless ? 80 : 50 + rng() % 250;
	struct alloc_tokens *leader = alloc_tokens_create(clk, term);
	ReferenceBucket customer_bucket(rate * 1000, burst, clk_now_ms(clk));
	ReferenceBucket ideal_bucket = customer_bucket;
	std::vector<SimulatedTokenAgent> agents(kInstances);
	Network<OwnedReport> reports;
	Network<OwnedGrant> grants;
	ReportFilter filter;
	bool within_limit = true;
	uint64_t credit = 0;

	handover.rng.seed(seed);
	alloc_tokens_set(leader, AW__BUCKET_KIND__BUCKET_CUSTOMER, "c",
			 rate * 1000, burst);
	for (SimulatedTokenAgent &agent : agents)
		agent.incarnation = next_incarnation++;
	for (int step = 0; step < 500 && within_limit; step++) {
		uint64_t now = clk_now_ms(clk);

		bool change = !faultless && rng() % 400 == 0;

		if (planned && !handover.begin_ms && handover.rng() % 60 == 0) {
			handover.start(leader, now);
			change = false;
		}
		if (handover.begin_ms ? now >= handover.begin_ms : change) {
			alloc_tokens_destroy(leader);
			leader = alloc_tokens_create(clk, ++term);
			filter.last.clear();
			if (handover.begin_ms)
				handover.finish(leader);
			alloc_tokens_set(leader,
					 AW__BUCKET_KIND__BUCKET_CUSTOMER, "c",
					 rate * 1000, burst);
		}
		if (!faultless && rng() % 300 == 0) {
			SimulatedTokenAgent restarted;

			restarted.incarnation = next_incarnation++;
			agents[rng() % kInstances] = restarted;
		}
		// Requests arrive at all instances, with pauses in between.
		bool pause = !faultless && step / 100 % 2;

		credit += rate * load_percent * 10;
		for (; !pause && credit >= 100000; credit -= 100000) {
			size_t to = rng() % 3 ? rng() % kInstances : 0;
			SimulatedTokenAgent &agent = agents[to];

			agent.recent++;
			if (agent.use(now)) {
				totals->admitted++;
				within_limit = within_limit &&
					       customer_bucket.admit(now);
				if (ideal_bucket.level_micro)
					ideal_bucket.admit(now);
			} else {
				agent.waiting_until_ms.push_back(now + 2000);
			}
		}
		for (int i = 0; i < kInstances; i++) {
			SimulatedTokenAgent &agent = agents[i];
			bool report_early = !agent.waiting_until_ms.empty() &&
					    rng() % 8 == 0;

			while (!agent.waiting_until_ms.empty() &&
			       agent.use(now)) {
				totals->admitted++;
				within_limit = within_limit &&
					       customer_bucket.admit(now);
				agent.waiting_until_ms.pop_front();
			}
			while (!agent.waiting_until_ms.empty() &&
			       agent.waiting_until_ms.front() <= now) {
				agent.waiting_until_ms.pop_front();
				totals->refused++;
				totals->refused_within_rate +=
					ideal_bucket.admit(now);
			}
			if (now < agent.next_report_ms && !report_early)
				continue;
			std::vector<Aw__TokenUse> uses;
			for (HeldGrant &grant : agent.held) {
				// Returns what would expire before the next
				// Report.
				if (grant.expires_ms > now &&
				    (rng() % 20 == 0 ||
				     (faultless &&
				      grant.expires_ms < now + 600)))
					grant.use.returned += grant.remaining();
				uses.push_back(grant.use);
			}
			while (!agent.held.empty() &&
			       agent.held.front().expires_ms + 500 < now)
				agent.held.erase(agent.held.begin());
			uint64_t want =
				agent.waiting_until_ms.size() + agent.recent;
			uint64_t have = agent.remaining(now);

			if (!faultless && rng() % 4 == 0)
				want += rng() % burst; // more than it needs
			auto content = std::make_shared<OwnedReport>(
				"i" + std::to_string(i), "z", agent.incarnation,
				++agent.sequence);
			content->token("c", want > have ? want - have : 0,
				       uses);
			agent.sent_ms[agent.sequence] = now;
			agent.recent /= 2;
			agent.next_report_ms = now + REPORT_INTERVAL_MS;
			reports.send(rng, now, loss_percent, delay_max_ms,
				     { i, agent.incarnation, content });
		}
		Message<OwnedReport> report;
		while (reports.receive(now, &report)) {
			Aw__TokenGrant out;
			auto content = std::make_shared<OwnedGrant>();

			if (handover.begin_ms ||
			    !filter.accept(report.instance,
					   report.content->report))
				continue;
			EXPECT_EQ(ALLOC_OK,
				  alloc_tokens_report(leader,
						      &report.content->report,
						      &out));
			content->term = term;
			content->sequence = report.content->report.sequence;
			content->tokens = out.tokens;
			content->retry_after_ms = out.retry_after_ms;
			grants.send(rng, now, loss_percent, delay_max_ms,
				    { report.instance, report.incarnation,
				      content });
			uint64_t level, outstanding;
			alloc_tokens_level(leader,
					   AW__BUCKET_KIND__BUCKET_CUSTOMER,
					   "c", &level, &outstanding);
			within_limit = within_limit &&
				       level + outstanding <= burst;
		}
		Message<OwnedGrant> grant;
		while (grants.receive(now, &grant)) {
			SimulatedTokenAgent &agent = agents[grant.instance];

			if (agent.incarnation != grant.incarnation)
				continue;
			agent.apply(*grant.content);
			// Refuses requests whose time limit is before the
			// time of the retry.
			while (!agent.waiting_until_ms.empty() &&
			       agent.waiting_until_ms.front() <
				       now + grant.content->retry_after_ms) {
				agent.waiting_until_ms.pop_front();
				totals->refused++;
				totals->refused_within_rate +=
					ideal_bucket.admit(now);
			}
		}
		clk_advance_ms(clk, 10);
	}
	alloc_tokens_destroy(leader);
	clk_destroy(clk);
	return within_limit;
}

// Without the handover, a new leader starts with empty buckets after a planned
// change too, and refuses requests within the rate for a second.
TEST(Tokens, PlannedChangeOfLeaderKeepsTheBuckets)
{
	struct clk *clk = clk_create_paused(1000000);
	struct alloc_tokens *old = alloc_tokens_create(clk, 1);
	struct alloc_tokens *next = alloc_tokens_create(clk, 2);
	const Aw__BucketKind kind = AW__BUCKET_KIND__BUCKET_CUSTOMER;
	struct buf state = BUF_INIT;
	Aw__TokenGrant out;
	uint64_t level, outstanding, received_ms;

	alloc_tokens_set(old, kind, "c", 10000, 20);
	clk_advance_ms(clk, 5000);
	OwnedReport first("i", "z", 1, 1);
	first.token("c", 15);
	ASSERT_EQ(ALLOC_OK, alloc_tokens_report(old, &first.report, &out));
	ASSERT_EQ(15u, out.tokens);
	clk_advance_ms(clk, 400); // 600 ms are left
	ASSERT_EQ(ALLOC_OK, alloc_tokens_save(old, &state));
	clk_advance_ms(clk, 100);
	received_ms = clk_now_ms(clk);
	clk_advance_ms(clk, 200);
	ASSERT_EQ(ALLOC_OK, alloc_tokens_restore(next, state.data,
						 state.len_bytes, received_ms));
	alloc_tokens_set(next, kind, "c", 10000, 20);
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(5u, level); // burst less outstanding tokens
	EXPECT_EQ(15u, outstanding);
	OwnedReport second("i", "z", 1, 2);
	second.token("c", 5);
	ASSERT_EQ(ALLOC_OK, alloc_tokens_report(next, &second.report, &out));
	EXPECT_EQ(5u, out.tokens);
	clk_advance_ms(clk, 399); // 1 ms less than 600 ms after the receipt
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(20u, outstanding);
	clk_advance_ms(clk, 1);
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(5u, outstanding);
	// The refill wait of a leader that started after a crash is handed over
	// as well.
	alloc_tokens_destroy(old);
	alloc_tokens_destroy(next);
	old = alloc_tokens_create(clk, 3);
	next = alloc_tokens_create(clk, 4);
	alloc_tokens_set(old, kind, "c", 10000, 20);
	buf_clear(&state);
	ASSERT_EQ(ALLOC_OK, alloc_tokens_save(old, &state));
	received_ms = clk_now_ms(clk);
	ASSERT_EQ(ALLOC_OK, alloc_tokens_restore(next, state.data,
						 state.len_bytes, received_ms));
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(0u, level);
	clk_advance_ms(clk, 100);
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(1u, level);
	alloc_tokens_destroy(old);
	alloc_tokens_destroy(next);
	buf_release(&state);
	clk_destroy(clk);
}

TEST(Tokens, NeverAboveRateAndBurstOverAllInstances)
{
	Totals totals;

	for (int i = 0; i < schedule_count(1000); i++) {
		uint64_t seed = first_seed() + (uint64_t)i;

		ASSERT_TRUE(token_schedule(seed, false, &totals))
			<< "seed " << seed;
		ASSERT_TRUE(token_schedule(seed, false, &totals, true))
			<< "planned changes of leader, seed " << seed;
	}
	ASSERT_GT(totals.admitted, 0u);
	printf("admitted %llu, refused %llu\n",
	       (unsigned long long)totals.admitted,
	       (unsigned long long)totals.refused);
}

// Prints the number of refusals of a customer that sends 80% of its rate,
// without faults.
TEST(Tokens, RefusalsWithinTheRate)
{
	Totals totals;

	for (int i = 0; i < schedule_count(200); i++)
		ASSERT_TRUE(token_schedule(first_seed() + (uint64_t)i, true,
					   &totals));
	printf("admitted %llu, refused within the rate %llu\n",
	       (unsigned long long)totals.admitted,
	       (unsigned long long)totals.refused_within_rate);
}

struct TokenCase : testing::Test {
	struct clk *clk = clk_create_paused(5000);
	struct alloc_tokens *leader = alloc_tokens_create(clk, 7);
	std::map<std::string, uint64_t> sequence;

	~TokenCase() override
	{
		alloc_tokens_destroy(leader);
		clk_destroy(clk);
	}
	void set(uint64_t rate_milli, uint64_t burst)
	{
		ASSERT_EQ(ALLOC_OK,
			  alloc_tokens_set(leader,
					   AW__BUCKET_KIND__BUCKET_CUSTOMER,
					   "c", rate_milli, burst));
	}
	Aw__TokenGrant request(const std::string &who, uint64_t wanted,
			       const std::vector<Aw__TokenUse> &uses = {})
	{
		OwnedReport content(who, "z", 1, ++sequence[who]);
		Aw__TokenGrant out;

		content.token("c", wanted, uses);
		EXPECT_EQ(ALLOC_OK,
			  alloc_tokens_report(leader, &content.report, &out));
		return out;
	}
	Aw__TokenUse use(const std::string &who, uint64_t used,
			 uint64_t returned)
	{
		Aw__TokenUse use;

		aw__token_use__init(&use);
		use.term = 7;
		use.sequence = sequence[who];
		use.used = used;
		use.returned = returned;
		return use;
	}
	void expect_level(uint64_t level, uint64_t outstanding)
	{
		uint64_t got_level, got_outstanding;

		alloc_tokens_level(leader, AW__BUCKET_KIND__BUCKET_CUSTOMER,
				   "c", &got_level, &got_outstanding);
		EXPECT_EQ(level, got_level);
		EXPECT_EQ(outstanding, got_outstanding);
	}
};

// A new leader must not grant a second burst while tokens of the previous one
// can still be used.
TEST_F(TokenCase, NewLeaderStartsEmptyAfterTheTokenLifetime)
{
	set(1000, 5);
	EXPECT_EQ(0u, request("a", 3).tokens);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	expect_level(0, 0);
	clk_advance_ms(clk, 1000);
	expect_level(1, 0);
}

// Rounding must neither lose nor create tokens over a long time.
TEST_F(TokenCase, FractionsDoNotDrift)
{
	uint64_t got = 0;

	set(333, 100); // a third of a token a second
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	for (int i = 0; i < 30000; i++) {
		clk_advance_ms(clk, 100);
		got += request("a", 1, { use("a", 1, 0) }).tokens;
	}
	EXPECT_EQ(999u, got);
}

TEST_F(TokenCase, UsedReturnedAndExpiredTokens)
{
	Aw__TokenUse first;

	set(10000, 10);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS + 1000);
	expect_level(10, 0);
	EXPECT_EQ(8u, request("a", 8).tokens);
	expect_level(2, 8);
	first = use("a", 3, 2);
	request("a", 0, { first });
	expect_level(4, 3);
	request("a", 0, { first }); // totals, so that repetition has no effect
	expect_level(4, 3);
	first.returned = 3; // one more than before
	request("a", 0, { first });
	expect_level(5, 2);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS - 1);
	expect_level(8, 2); // no refill above burst less outstanding tokens
	clk_advance_ms(clk, 1);
	expect_level(8, 0); // expired, not returned
	first.returned = 5;
	request("a", 0, { first }); // too late
	expect_level(8, 0);
}

TEST_F(TokenCase, ChangeOfRateOrBurstDoesNotRefill)
{
	set(1000, 10);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS + 4000);
	expect_level(4, 0);
	set(1000, 100);
	expect_level(4, 0);
	set(1000, 2);
	expect_level(2, 0);
	set(1000, 10);
	expect_level(2, 0);
	alloc_tokens_sweep(leader);
	set(1000, 10);
	expect_level(2, 0);
}

// When tokens are scarce, every waiting instance gets one within one round of
// Reports.
TEST_F(TokenCase, LargeDemandDoesNotStarveOthers)
{
	std::map<std::string, uint64_t> got;

	set(10000, 10);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	for (int round = 0; round < 100; round++) {
		clk_advance_ms(clk, 100);
		got["large"] += request("large", 1000).tokens;
		for (int i = 0; i < 5; i++) {
			std::string who = "small" + std::to_string(i);

			got[who] += request(who, 1).tokens;
		}
	}
	for (int i = 0; i < 5; i++)
		EXPECT_GE(got["small" + std::to_string(i)], 10u) << i;
	EXPECT_GE(got["large"], 10u);
}

// The retry time is exactly when a token is available.
TEST_F(TokenCase, RetryAfterIsTheTimeOfTheNextToken)
{
	Aw__TokenGrant out;

	set(4000, 4);
	out = request("a", 1);
	EXPECT_EQ(TOKEN_LIFETIME_MS + 250u, out.retry_after_ms);
	clk_advance_ms(clk, out.retry_after_ms - 1);
	EXPECT_EQ(0u, request("a", 1).tokens);
	clk_advance_ms(clk, 1);
	EXPECT_EQ(1u, request("a", 1).tokens);
	clk_advance_ms(clk, 5000);
	EXPECT_EQ(4u, request("a", 4).tokens);
	// A whole burst is outstanding: refill starts after its expiry.
	out = request("b", 1);
	EXPECT_EQ(TOKEN_LIFETIME_MS + 250u, out.retry_after_ms);
}

TEST_F(TokenCase, LinkBucketIs95PercentOfTheCap)
{
	uint64_t level, outstanding;

	ASSERT_EQ(ALLOC_OK, alloc_tokens_set_link(leader, "r1", "r2", 300000));
	clk_advance_ms(clk, TOKEN_LIFETIME_MS + 10);
	alloc_tokens_level(leader, AW__BUCKET_KIND__BUCKET_LINK, "r1>r2",
			   &level, &outstanding);
	EXPECT_EQ(356250u, level); // 300 Mbit/s x 95% x 10 ms
	clk_advance_ms(clk, 10000);
	alloc_tokens_level(leader, AW__BUCKET_KIND__BUCKET_LINK, "r1>r2",
			   &level, &outstanding);
	EXPECT_EQ(8906250u, level); // 250 ms
}

// ---- slots ----

const uint64_t kDeadlineMs = 2000;

struct SimulatedSlotAgent {
	struct Held {
		uint32_t held = 0, in_use = 0;
	};
	struct InFlight {
		std::string address;
		uint64_t finish_ms;
	};
	uint64_t incarnation = 0, sequence = 0, term = 0, applied_sequence = 0;
	uint64_t next_report_ms = 0, lease_ms = 0, partitioned_until_ms = 0;
	// Did not report to the current leader before it could raise targets.
	bool not_yet_reported = false;
	bool has_reported = false;
	uint32_t wanted = 0;
	std::map<uint64_t, uint64_t> sent_ms;
	std::map<std::string, Held> slots;
	std::vector<InFlight> in_flight;

	void update_held(Held &held, uint32_t target)
	{
		held.held = std::max(target, held.in_use);
	}
	std::map<std::string, uint32_t> targets;

	void apply(const OwnedGrant &grant, uint64_t now_ms)
	{
		uint64_t lease = sent_ms[grant.sequence] + FLEET_LEASE_MS;

		if (std::make_pair(grant.term, grant.sequence) <=
			    std::make_pair(term, applied_sequence) ||
		    lease <= now_ms)
			return;
		term = grant.term;
		applied_sequence = grant.sequence;
		lease_ms = std::max(lease_ms, lease);
		for (const auto &target : grant.targets) {
			targets[target.first] = target.second;
			update_held(slots[target.first], target.second);
		}
	}
	void process(std::mt19937_64 &rng, uint64_t now_ms)
	{
		for (size_t i = 0; i < in_flight.size();) {
			if (in_flight[i].finish_ms > now_ms) {
				i++;
				continue;
			}
			Held &held = slots[in_flight[i].address];
			held.in_use--;
			update_held(held, targets[in_flight[i].address]);
			in_flight.erase(in_flight.begin() + (long)i);
		}
		if (lease_ms <= now_ms) {
			// Free slots are lost with the lease, since the
			// leader may grant them to others.
			targets.clear();
			for (auto &slot : slots)
				update_held(slot.second, 0);
			return;
		}
		for (auto &slot : slots)
			while (slot.second.in_use < slot.second.held &&
			       in_flight.size() < wanted) {
				slot.second.in_use++;
				in_flight.push_back(
					{ slot.first,
					  now_ms + 1 + rng() % kDeadlineMs });
			}
	}
	// Concurrent requests that it may have at the server without another
	// Grant.
	uint32_t max_use(const std::string &address, uint64_t now_ms)
	{
		const Held &held = slots[address];

		return lease_ms > now_ms ? held.held : held.in_use;
	}
};

struct SimulatedFleet {
	std::vector<std::string> addresses;
	uint32_t per_server;
	std::vector<SimulatedSlotAgent> agents;
	std::vector<SimulatedSlotAgent> exited; // requests may be in flight
	// At the last change of leader.
	std::map<std::string, uint32_t> initial_use;

	uint32_t max_use(const std::string &address, uint64_t now, bool all)
	{
		uint32_t sum = 0;

		for (SimulatedSlotAgent &agent : agents)
			if (all || !agent.not_yet_reported)
				sum += agent.max_use(address, now);
		for (SimulatedSlotAgent &agent : exited)
			if (all || !agent.not_yet_reported)
				for (const auto &in_flight_request :
				     agent.in_flight)
					sum += in_flight_request.address ==
						       address &&
					       in_flight_request.finish_ms >
						       now;
		return sum;
	}
};

bool slot_schedule(uint64_t seed, uint64_t *served)
{
	std::mt19937_64 rng(seed);
	struct clk *clk = clk_create_paused(1000000);
	uint64_t leader_since_ms = clk_now_ms(clk), term = 1,
		 next_incarnation = 1;
	int loss_percent = (int)(rng() % 20);
	uint64_t delay_max_ms = 1 + rng() % 200;
	struct alloc_slots *leader = alloc_slots_create(clk, term);
	SimulatedFleet fleet;
	Network<OwnedReport> reports;
	Network<OwnedGrant> grants;
	ReportFilter filter;
	bool within_limit = true;
	std::vector<struct alloc_server> servers;
	struct alloc_upstream up = { "u", 0, true };

	fleet.per_server = 1 + (uint32_t)(rng() % 7);
	for (int i = 0; i < 4; i++)
		fleet.addresses.push_back("10.0.0." + std::to_string(i) +
					  ":80");
	for (size_t i = 0; i < fleet.addresses.size(); i++)
		servers.push_back({ "u", fleet.addresses[i].c_str(),
				    i % 2 ? "z1" : "z0", "r", 1,
				    fleet.per_server, fleet.per_server });
	alloc_slots_set_deadline(leader, kDeadlineMs);
	alloc_slots_set_upstreams(leader, &up, 1);
	alloc_slots_set_servers(leader, servers.data(), servers.size());
	fleet.agents.resize(kInstances);
	for (SimulatedSlotAgent &agent : fleet.agents)
		agent.incarnation = next_incarnation++;
	for (int step = 0; step < 900 && within_limit; step++) {
		uint64_t now = clk_now_ms(clk);

		if (rng() % 500 == 0) {
			alloc_slots_destroy(leader);
			leader = alloc_slots_create(clk, ++term);
			alloc_slots_set_deadline(leader, kDeadlineMs);
			alloc_slots_set_upstreams(leader, &up, 1);
			alloc_slots_set_servers(leader, servers.data(),
						servers.size());
			filter.last.clear();
			leader_since_ms = now;
			for (const std::string &address : fleet.addresses)
				fleet.initial_use[address] =
					fleet.max_use(address, now, true);
			for (SimulatedSlotAgent &agent : fleet.agents)
				agent.has_reported = agent.not_yet_reported =
					false;
			for (SimulatedSlotAgent &agent : fleet.exited)
				agent.not_yet_reported = true;
		}
		if (now == leader_since_ms + FLEET_LEASE_MS) {
			for (SimulatedSlotAgent &agent : fleet.agents)
				agent.not_yet_reported = !agent.has_reported;
			for (SimulatedSlotAgent &agent : fleet.exited)
				agent.not_yet_reported |= !agent.has_reported;
		}
		if (rng() % 300 == 0) {
			size_t i = rng() % kInstances;

			fleet.exited.push_back(fleet.agents[i]);
			fleet.agents[i] = SimulatedSlotAgent();
			fleet.agents[i].incarnation = next_incarnation++;
		}
		if (rng() % 300 == 0)
			fleet.agents[rng() % kInstances].partitioned_until_ms =
				now + rng() % 8000;
		if (rng() % 100 == 0) {
			for (struct alloc_server &server : servers)
				server.usable = rng() % 4 ? fleet.per_server :
							    0;
			alloc_slots_set_servers(leader, servers.data(),
						servers.size());
		}
		for (int i = 0; i < kInstances; i++) {
			SimulatedSlotAgent &agent = fleet.agents[(size_t)i];

			if (rng() % 50 == 0)
				agent.wanted = (uint32_t)(rng() % 6);
			agent.process(rng, now);
			if (now < agent.next_report_ms && rng() % 30)
				continue;
			auto content = std::make_shared<OwnedReport>(
				"i" + std::to_string(i), i % 2 ? "z1" : "z0",
				agent.incarnation, ++agent.sequence);
			for (const auto &slot : agent.slots)
				content->slot(slot.first, 1, slot.second.held);
			content->demand(
				"u", (uint32_t)agent.in_flight.size(),
				agent.wanted -
					std::min(agent.wanted,
						 (uint32_t)agent.in_flight
							 .size()));
			content->report.grant_term = agent.term;
			content->report.grant_sequence = agent.applied_sequence;
			agent.sent_ms[agent.sequence] = now;
			agent.next_report_ms = now + REPORT_INTERVAL_MS;
			if (now >= agent.partitioned_until_ms)
				reports.send(rng, now, loss_percent,
					     delay_max_ms,
					     { i, agent.incarnation, content });
		}
		Message<OwnedReport> report;
		while (reports.receive(now, &report)) {
			auto content = std::make_shared<OwnedGrant>();
			const Aw__SlotGrant *out;
			size_t nr;

			if (!filter.accept(report.instance,
					   report.content->report))
				continue;
			SimulatedSlotAgent &agent =
				fleet.agents[(size_t)report.instance];
			if (agent.incarnation == report.incarnation)
				agent.has_reported = true;
			EXPECT_EQ(ALLOC_OK,
				  alloc_slots_report(leader,
						     &report.content->report,
						     "r", &out, &nr));
			content->term = term;
			content->sequence = report.content->report.sequence;
			for (size_t i = 0; i < nr; i++)
				content->targets[out[i].address] = out[i].slots;
			if (now >= agent.partitioned_until_ms)
				grants.send(rng, now, loss_percent,
					    delay_max_ms,
					    { report.instance,
					      report.incarnation, content });
		}
		Message<OwnedGrant> grant;
		while (grants.receive(now, &grant)) {
			SimulatedSlotAgent &agent =
				fleet.agents[(size_t)grant.instance];

			if (agent.incarnation == grant.incarnation &&
			    now >= agent.partitioned_until_ms)
				agent.apply(*grant.content, now);
		}
		for (const std::string &address : fleet.addresses) {
			uint32_t max_use = fleet.max_use(address, now, false);
			uint32_t &initial_use = fleet.initial_use[address];

			// Only the use at the change of leader may exceed the
			// number of slots.
			initial_use =
				std::min(initial_use,
					 std::max(max_use, fleet.per_server));
			within_limit = within_limit &&
				       max_use <= std::max(initial_use,
							   fleet.per_server);
			*served += max_use;
		}
		clk_advance_ms(clk, 10);
	}
	alloc_slots_destroy(leader);
	clk_destroy(clk);
	return within_limit;
}

TEST(Slots, NeverAboveTheSlotsOfAServerOverAllInstances)
{
	uint64_t served = 0;

	for (int i = 0; i < schedule_count(1000); i++) {
		uint64_t seed = first_seed() + (uint64_t)i;

		ASSERT_TRUE(slot_schedule(seed, &served)) << "seed " << seed;
	}
	ASSERT_GT(served, 0u);
}

struct SlotCase : testing::Test {
	struct clk *clk = clk_create_paused(5000);
	struct alloc_slots *leader = alloc_slots_create(clk, 7);
	std::map<std::string, uint64_t> sequence;
	std::map<std::string, std::map<std::string, uint32_t>> held;

	SlotCase()
	{
		alloc_slots_set_deadline(leader, 10000);
	}
	~SlotCase() override
	{
		alloc_slots_destroy(leader);
		clk_destroy(clk);
	}
	void setup(const std::vector<struct alloc_server> &servers,
		   bool cross = true, uint32_t connections_max = 0)
	{
		struct alloc_upstream up = { "u", connections_max, cross };

		ASSERT_EQ(ALLOC_OK, alloc_slots_set_upstreams(leader, &up, 1));
		ASSERT_EQ(ALLOC_OK,
			  alloc_slots_set_servers(leader, servers.data(),
						  servers.size()));
	}
	// Sends the Report of an instance that applies each Grant at once.
	std::map<std::string, uint32_t> report(const std::string &who,
					       const std::string &zone,
					       const std::string &region,
					       uint32_t demand)
	{
		uint64_t seq = ++sequence[who];
		OwnedReport content(who, zone, 1, seq);
		const Aw__SlotGrant *out;
		size_t nr;

		for (const auto &slot : held[who])
			content.slot(slot.first, 1, slot.second);
		content.demand("u", demand, 0);
		content.report.grant_term = 7;
		content.report.grant_sequence = seq - 1;
		EXPECT_EQ(ALLOC_OK,
			  alloc_slots_report(leader, &content.report,
					     region.c_str(), &out, &nr));
		for (size_t i = 0; i < nr; i++)
			held[who][out[i].address] = out[i].slots;
		return held[who];
	}
	uint32_t total(const std::string &who)
	{
		uint32_t sum = 0;

		for (const auto &slot : held[who])
			sum += slot.second;
		return sum;
	}
};

// A new leader must know what all instances hold before it raises a target.
TEST_F(SlotCase, NewLeaderRaisesNothingWithinTheLease)
{
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } });
	held["a"]["s1"] = 2;
	clk_advance_ms(clk, FLEET_LEASE_MS - 1);
	EXPECT_EQ(2u, report("a", "z1", "r1", 9)["s1"]);
	EXPECT_EQ(0u, report("b", "z1", "r1", 9)["s1"]);
	report("a", "z1", "r1", 9);
	report("b", "z1", "r1", 9);
	clk_advance_ms(clk, 1);
	EXPECT_EQ(2u, report("b", "z1", "r1", 9)["s1"]);
}

// A Grant of the previous leader may have raised what "a" holds since its
// Report to this leader.
TEST_F(SlotCase, RaisesWaitForInstancesThatHaveNotAppliedAGrant)
{
	OwnedReport content("a", "z1", 1, 1);
	const Aw__SlotGrant *out;
	size_t nr;

	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } });
	content.report.grant_term = 6;
	content.report.grant_sequence = 5;
	alloc_slots_report(leader, &content.report, "r1", &out, &nr);
	clk_advance_ms(clk, FLEET_LEASE_MS);
	report("b", "z1", "r1", 9);
	EXPECT_EQ(0u, total("b"));
	clk_advance_ms(clk, FLEET_LEASE_MS - 1);
	report("b", "z1", "r1", 9);
	EXPECT_EQ(0u, total("b"));
	clk_advance_ms(clk, 1);
	report("b", "z1", "r1", 9);
	EXPECT_EQ(4u, total("b"));
}

TEST_F(SlotCase, NearServersFirstAndOneForEachInstance)
{
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 },
		{ "u", "s2", "z2", "r1", 1, 4, 4 },
		{ "u", "s3", "z3", "r2", 1, 4, 4 } });
	clk_advance_ms(clk, FLEET_LEASE_MS);
	for (int i = 0; i < 3; i++) {
		report("a", "z1", "r1", 2);
		report("b", "z2", "r1", 0);
		report("c", "z3", "r2", 20);
		clk_advance_ms(clk, 100);
	}
	EXPECT_GE(held["a"]["s1"], 2u);
	EXPECT_EQ(0u, held["a"]["s3"]);
	EXPECT_GE(held["b"]["s2"], 1u);
	EXPECT_EQ(4u, held["c"]["s3"]);
	EXPECT_GE(total("c"), 6u); // others are in the other region
}

TEST_F(SlotCase, OtherRegionsOnlyWhenAllowed)
{
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } }, false);
	clk_advance_ms(clk, FLEET_LEASE_MS);
	report("c", "z3", "r2", 5);
	EXPECT_EQ(0u, total("c"));
}

TEST_F(SlotCase, ConnectionLimitOfTheUpstream)
{
	setup({ { "u", "s1", "z1", "r1", 1, 8, 8 } }, true, 3);
	clk_advance_ms(clk, FLEET_LEASE_MS);
	for (int i = 0; i < 3; i++) {
		report("a", "z1", "r1", 9);
		report("b", "z1", "r1", 9);
	}
	EXPECT_EQ(3u, total("a") + total("b"));
}

TEST_F(SlotCase, NewServerStartsSlowly)
{
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } });
	clk_advance_ms(clk, FLEET_LEASE_MS);
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 },
		{ "u", "s2", "z1", "r1", 1, 4, 4 } });
	for (uint32_t i = 1; i <= 4; i++) {
		report("a", "z1", "r1", 20);
		EXPECT_EQ(i, held["a"]["s2"]);
		clk_advance_ms(clk, ALLOC_SLOW_START_MS);
	}
}

// An instance that does not report may have requests in flight until its lease
// has expired and the longest deadline has passed.
TEST_F(SlotCase, SilentInstanceKeepsItsSlotsUntilLeaseAndDeadline)
{
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } });
	clk_advance_ms(clk, FLEET_LEASE_MS);
	report("a", "z1", "r1", 9);
	EXPECT_EQ(4u, held["a"]["s1"]);
	clk_advance_ms(clk, FLEET_LEASE_MS + 10000);
	EXPECT_EQ(0u, report("b", "z1", "r1", 9)["s1"]);
	clk_advance_ms(clk, 1);
	EXPECT_EQ(4u, report("b", "z1", "r1", 9)["s1"]);
}

TEST_F(SlotCase, UnusableServerGetsTargetZero)
{
	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } });
	clk_advance_ms(clk, FLEET_LEASE_MS);
	report("a", "z1", "r1", 9);
	setup({ { "u", "s1", "z1", "r1", 1, 4, 1 } });
	EXPECT_EQ(1u, report("a", "z1", "r1", 9)["s1"]);
	setup({ { "u", "s1", "z1", "r1", 1, 4, 0 } });
	EXPECT_EQ(0u, report("a", "z1", "r1", 9)["s1"]);
}

} // namespace
