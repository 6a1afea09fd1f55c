// Guards the leases of tokens and slots: limits that hold over all entry
// instances together while Reports and Grants are lost, late or repeated,
// instances restart and leaders change.
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

int schedules(int standard)
{
	const char *text = getenv("ALLOC_SCHEDULES");

	return text ? atoi(text) : standard;
}

uint64_t first_seed()
{
	const char *text = getenv("ALLOC_SEED");

	return text ? strtoull(text, nullptr, 10) : 1;
}

// A Report that owns what it points to.
struct ReportBox {
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

	ReportBox(const std::string &name_, const std::string &zone_,
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
	ReportBox(const ReportBox &) = delete;

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

struct GrantBox {
	uint64_t term = 0, sequence = 0;
	uint64_t tokens = 0;
	uint32_t retry_after_ms = 0;
	std::map<std::string, uint32_t> targets;
};

// Messages between the instances and the leader.
template <typename T> struct Mail {
	int instance;
	uint64_t incarnation;
	std::shared_ptr<T> box;
};

template <typename T> struct Net {
	std::multimap<uint64_t, Mail<T>> queue;

	void send(std::mt19937_64 &rng, uint64_t now_ms, int loss_percent,
		  uint64_t delay_max_ms, const Mail<T> &mail)
	{
		int copies = rng() % 20 == 0 ? 2 : 1;

		while (copies--) {
			uint64_t at_ms = now_ms + rng() % (delay_max_ms + 1);

			if (rng() % 50 == 0)
				at_ms += rng() % 3000;
			if ((int)(rng() % 100) >= loss_percent)
				queue.emplace(at_ms, mail);
		}
	}
	bool receive(uint64_t now_ms, Mail<T> *mail)
	{
		if (queue.empty() || queue.begin()->first > now_ms)
			return false;
		*mail = queue.begin()->second;
		queue.erase(queue.begin());
		return true;
	}
};

// What the registry does: takes each process's Reports in order, and none of
// a process that was replaced.
struct Gate {
	std::map<int, std::pair<uint64_t, uint64_t>> last;

	bool take(int instance, const Aw__Report &report)
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

// Reference: a bucket that starts full is never overdrawn exactly if no window
// of any length has more than rate x length + burst admissions.
struct Reference {
	uint64_t rate_milli, burst, level_micro, at_ms;

	Reference(uint64_t rate_milli_, uint64_t burst_, uint64_t now_ms)
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

struct HeldGrant {
	Aw__TokenUse use;
	uint64_t granted, expires_ms;

	uint64_t rest() const
	{
		return granted - use.used - use.returned;
	}
};

struct TokenAgent {
	uint64_t incarnation = 0, sequence = 0;
	uint64_t next_report_ms = 0, term = 0, applied = 0;
	std::map<uint64_t, uint64_t> sent_ms;
	std::vector<HeldGrant> held;
	std::deque<uint64_t> waiting; // until when
	uint64_t recent = 0;

	uint64_t rest(uint64_t now_ms) const
	{
		uint64_t sum = 0;

		for (const HeldGrant &grant : held)
			if (grant.expires_ms > now_ms)
				sum += grant.rest();
		return sum;
	}
	bool use(uint64_t now_ms)
	{
		for (HeldGrant &grant : held)
			if (grant.expires_ms > now_ms && grant.rest()) {
				grant.use.used++;
				return true;
			}
		return false;
	}
	void apply(const GrantBox &grant)
	{
		if (std::make_pair(grant.term, grant.sequence) <=
		    std::make_pair(term, applied))
			return;
		term = grant.term;
		applied = grant.sequence;
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
	uint64_t admitted = 0, refused = 0, wrongful = 0;
};

// A planned change of leader: the old one has stopped, its buckets are on the
// way or with an instance that has not won yet.
struct Handover {
	std::mt19937_64 rng; // leaves the draws of the schedule as they are
	bool planned = false;
	struct buf state = BUF_INIT;
	uint64_t received_ms = 0, begin_ms = 0; // 0: somebody leads

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

// Returns false when more was admitted than the customer may have.
bool token_schedule(uint64_t seed, bool calm, Totals *totals,
		    bool planned = false)
{
	std::mt19937_64 rng(seed);
	Handover handover;
	struct clk *clk = clk_create_paused(1000000 + rng() % 1000);
	uint64_t rate = 5 + rng() % 60, burst = 1 + rng() % (2 * rate);
	int loss = calm ? 0 : (int)(rng() % 30);
	uint64_t delay = calm ? 60 : 1 + rng() % 300, term = 1, next_inc = 1;
	uint64_t load_percent = calm ? 80 : 50 + rng() % 250;
	struct alloc_tokens *leader = alloc_tokens_create(clk, term);
	Reference limit(rate * 1000, burst, clk_now_ms(clk));
	Reference caller = limit;
	std::vector<TokenAgent> agents(kInstances);
	Net<ReportBox> reports;
	Net<GrantBox> grants;
	Gate gate;
	bool good = true;
	uint64_t credit = 0;

	handover.rng.seed(seed);
	alloc_tokens_set(leader, AW__BUCKET_KIND__BUCKET_CUSTOMER, "c",
			 rate * 1000, burst);
	for (TokenAgent &agent : agents)
		agent.incarnation = next_inc++;
	for (int step = 0; step < 500 && good; step++) {
		uint64_t now = clk_now_ms(clk);

		bool change = !calm && rng() % 400 == 0;

		if (planned && !handover.begin_ms && handover.rng() % 60 == 0) {
			handover.start(leader, now);
			change = false;
		}
		if (handover.begin_ms ? now >= handover.begin_ms : change) {
			alloc_tokens_destroy(leader);
			leader = alloc_tokens_create(clk, ++term);
			gate.last.clear();
			if (handover.begin_ms)
				handover.finish(leader);
			alloc_tokens_set(leader,
					 AW__BUCKET_KIND__BUCKET_CUSTOMER, "c",
					 rate * 1000, burst);
		}
		if (!calm && rng() % 300 == 0) {
			TokenAgent fresh;

			fresh.incarnation = next_inc++;
			agents[rng() % kInstances] = fresh;
		}
		// Requests of the customer arrive anywhere, often after a lull.
		bool lull = !calm && step / 100 % 2;

		credit += rate * load_percent * 10;
		for (; !lull && credit >= 100000; credit -= 100000) {
			size_t to = rng() % 3 ? rng() % kInstances : 0;
			TokenAgent &agent = agents[to];

			agent.recent++;
			if (agent.use(now)) {
				totals->admitted++;
				good = good && limit.admit(now);
				if (caller.level_micro)
					caller.admit(now);
			} else {
				agent.waiting.push_back(now + 2000);
			}
		}
		for (int i = 0; i < kInstances; i++) {
			TokenAgent &agent = agents[i];
			bool ask = !agent.waiting.empty() && rng() % 8 == 0;

			while (!agent.waiting.empty() && agent.use(now)) {
				totals->admitted++;
				good = good && limit.admit(now);
				agent.waiting.pop_front();
			}
			while (!agent.waiting.empty() &&
			       agent.waiting.front() <= now) {
				agent.waiting.pop_front();
				totals->refused++;
				totals->wrongful += caller.admit(now);
			}
			if (now < agent.next_report_ms && !ask)
				continue;
			std::vector<Aw__TokenUse> uses;
			for (HeldGrant &grant : agent.held) {
				// What would expire before the next Report.
				if (grant.expires_ms > now &&
				    (rng() % 20 == 0 ||
				     (calm && grant.expires_ms < now + 600)))
					grant.use.returned += grant.rest();
				uses.push_back(grant.use);
			}
			while (!agent.held.empty() &&
			       agent.held.front().expires_ms + 500 < now)
				agent.held.erase(agent.held.begin());
			uint64_t want = agent.waiting.size() + agent.recent;
			uint64_t have = agent.rest(now);

			if (!calm && rng() % 4 == 0)
				want += rng() % burst; // held in store
			auto box = std::make_shared<ReportBox>(
				"i" + std::to_string(i), "z", agent.incarnation,
				++agent.sequence);
			box->token("c", want > have ? want - have : 0, uses);
			agent.sent_ms[agent.sequence] = now;
			agent.recent /= 2;
			agent.next_report_ms = now + REPORT_INTERVAL_MS;
			reports.send(rng, now, loss, delay,
				     { i, agent.incarnation, box });
		}
		Mail<ReportBox> report;
		while (reports.receive(now, &report)) {
			Aw__TokenGrant out;
			auto box = std::make_shared<GrantBox>();

			if (handover.begin_ms ||
			    !gate.take(report.instance, report.box->report))
				continue;
			EXPECT_EQ(ALLOC_OK,
				  alloc_tokens_report(
					  leader, &report.box->report, &out));
			box->term = term;
			box->sequence = report.box->report.sequence;
			box->tokens = out.tokens;
			box->retry_after_ms = out.retry_after_ms;
			grants.send(
				rng, now, loss, delay,
				{ report.instance, report.incarnation, box });
			uint64_t level, outstanding;
			alloc_tokens_level(leader,
					   AW__BUCKET_KIND__BUCKET_CUSTOMER,
					   "c", &level, &outstanding);
			good = good && level + outstanding <= burst;
		}
		Mail<GrantBox> grant;
		while (grants.receive(now, &grant)) {
			TokenAgent &agent = agents[grant.instance];

			if (agent.incarnation != grant.incarnation)
				continue;
			agent.apply(*grant.box);
			// Requests that could not wait so long are refused.
			while (!agent.waiting.empty() &&
			       agent.waiting.front() <
				       now + grant.box->retry_after_ms) {
				agent.waiting.pop_front();
				totals->refused++;
				totals->wrongful += caller.admit(now);
			}
		}
		clk_advance_ms(clk, 10);
	}
	alloc_tokens_destroy(leader);
	clk_destroy(clk);
	return good;
}

// A new leader once started with empty buckets after a planned change too, and
// refused customers inside their rate for a second.
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
	ReportBox first("i", "z", 1, 1);
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
	EXPECT_EQ(5u, level); // the burst less what is outstanding
	EXPECT_EQ(15u, outstanding);
	ReportBox second("i", "z", 1, 2);
	second.token("c", 5);
	ASSERT_EQ(ALLOC_OK, alloc_tokens_report(next, &second.report, &out));
	EXPECT_EQ(5u, out.tokens);
	clk_advance_ms(clk, 399); // 600 ms after the receipt less 1
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(20u, outstanding);
	clk_advance_ms(clk, 1);
	alloc_tokens_level(next, kind, "c", &level, &outstanding);
	EXPECT_EQ(5u, outstanding);
	// A wait of the old leader after a crash goes on at the next one.
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

	for (int i = 0; i < schedules(1000); i++) {
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

// Reported as a figure: refusals of a customer that stays at 80% of its rate,
// without faults.
TEST(Tokens, WrongfulRefusalsFigure)
{
	Totals totals;

	for (int i = 0; i < schedules(200); i++)
		ASSERT_TRUE(token_schedule(first_seed() + (uint64_t)i, true,
					   &totals));
	printf("admitted %llu, refused within the rate %llu\n",
	       (unsigned long long)totals.admitted,
	       (unsigned long long)totals.wrongful);
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
	Aw__TokenGrant ask(const std::string &who, uint64_t wanted,
			   const std::vector<Aw__TokenUse> &uses = {})
	{
		ReportBox box(who, "z", 1, ++sequence[who]);
		Aw__TokenGrant out;

		box.token("c", wanted, uses);
		EXPECT_EQ(ALLOC_OK,
			  alloc_tokens_report(leader, &box.report, &out));
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

// A new leader must not hand out a second burst.
TEST_F(TokenCase, NewLeaderStartsEmptyAfterTheTokenLifetime)
{
	set(1000, 5);
	EXPECT_EQ(0u, ask("a", 3).tokens);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	expect_level(0, 0);
	clk_advance_ms(clk, 1000);
	expect_level(1, 0);
}

// Rounding must neither lose nor make tokens over a long time.
TEST_F(TokenCase, FractionsDoNotDrift)
{
	uint64_t got = 0;

	set(333, 100); // a third of a token a second
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	for (int i = 0; i < 30000; i++) {
		clk_advance_ms(clk, 100);
		got += ask("a", 1, { use("a", 1, 0) }).tokens;
	}
	EXPECT_EQ(999u, got);
}

TEST_F(TokenCase, UsedReturnedAndExpiredTokens)
{
	Aw__TokenUse first;

	set(10000, 10);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS + 1000);
	expect_level(10, 0);
	EXPECT_EQ(8u, ask("a", 8).tokens);
	expect_level(2, 8);
	first = use("a", 3, 2);
	ask("a", 0, { first });
	expect_level(4, 3);
	ask("a", 0, { first }); // totals: a repetition changes nothing
	expect_level(4, 3);
	first.returned = 3; // one more than before
	ask("a", 0, { first });
	expect_level(5, 2);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS - 1);
	expect_level(8, 2); // no refill above burst less outstanding
	clk_advance_ms(clk, 1);
	expect_level(8, 0); // expired, not returned
	first.returned = 5;
	ask("a", 0, { first }); // too late
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

// Scarce tokens: every instance that waits is served within one round.
TEST_F(TokenCase, NobodyStarvesAgainstALargeDemand)
{
	std::map<std::string, uint64_t> got;

	set(10000, 10);
	clk_advance_ms(clk, TOKEN_LIFETIME_MS);
	for (int round = 0; round < 100; round++) {
		clk_advance_ms(clk, 100);
		got["large"] += ask("large", 1000).tokens;
		for (int i = 0; i < 5; i++) {
			std::string who = "small" + std::to_string(i);

			got[who] += ask(who, 1).tokens;
		}
	}
	for (int i = 0; i < 5; i++)
		EXPECT_GE(got["small" + std::to_string(i)], 10u) << i;
	EXPECT_GE(got["large"], 10u);
}

// The time to come back is when a token is there, not earlier, not later.
TEST_F(TokenCase, RetryAfterIsTheTimeOfTheNextToken)
{
	Aw__TokenGrant out;

	set(4000, 4);
	out = ask("a", 1);
	EXPECT_EQ(TOKEN_LIFETIME_MS + 250u, out.retry_after_ms);
	clk_advance_ms(clk, out.retry_after_ms - 1);
	EXPECT_EQ(0u, ask("a", 1).tokens);
	clk_advance_ms(clk, 1);
	EXPECT_EQ(1u, ask("a", 1).tokens);
	clk_advance_ms(clk, 5000);
	EXPECT_EQ(4u, ask("a", 4).tokens);
	out = ask("b", 1); // a whole burst is outstanding: refill after expiry
	EXPECT_EQ(TOKEN_LIFETIME_MS + 250u, out.retry_after_ms);
}

TEST_F(TokenCase, LinkBucketIsPartOfTheCap)
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

struct SlotAgent {
	struct Held {
		uint32_t held = 0, in_use = 0;
	};
	struct Running {
		std::string address;
		uint64_t ends_ms;
	};
	uint64_t incarnation = 0, sequence = 0, term = 0, applied = 0;
	uint64_t next_report_ms = 0, lease_ms = 0, cut_until_ms = 0;
	// Not heard by the current leader before it may raise targets.
	bool unknown_to_leader = false;
	bool heard = false;
	uint32_t wanted = 0;
	std::map<uint64_t, uint64_t> sent_ms;
	std::map<std::string, Held> slots;
	std::vector<Running> running;

	void settle(Held &held, uint32_t target)
	{
		held.held = std::max(target, held.in_use);
	}
	std::map<std::string, uint32_t> targets;

	void apply(const GrantBox &grant, uint64_t now_ms)
	{
		uint64_t lease = sent_ms[grant.sequence] + FLEET_LEASE_MS;

		if (std::make_pair(grant.term, grant.sequence) <=
			    std::make_pair(term, applied) ||
		    lease <= now_ms)
			return;
		term = grant.term;
		applied = grant.sequence;
		lease_ms = std::max(lease_ms, lease);
		for (const auto &target : grant.targets) {
			targets[target.first] = target.second;
			settle(slots[target.first], target.second);
		}
	}
	void work(std::mt19937_64 &rng, uint64_t now_ms)
	{
		for (size_t i = 0; i < running.size();) {
			if (running[i].ends_ms > now_ms) {
				i++;
				continue;
			}
			Held &held = slots[running[i].address];
			held.in_use--;
			settle(held, targets[running[i].address]);
			running.erase(running.begin() + (long)i);
		}
		if (lease_ms <= now_ms) {
			// Free slots end with the lease: the leader may
			// have given them to others.
			targets.clear();
			for (auto &slot : slots)
				settle(slot.second, 0);
			return;
		}
		for (auto &slot : slots)
			while (slot.second.in_use < slot.second.held &&
			       running.size() < wanted) {
				slot.second.in_use++;
				running.push_back(
					{ slot.first,
					  now_ms + 1 + rng() % kDeadlineMs });
			}
	}
	// What may reach the server now or without another Grant.
	uint32_t usage(const std::string &address, uint64_t now_ms)
	{
		const Held &held = slots[address];

		return lease_ms > now_ms ? held.held : held.in_use;
	}
};

struct SlotWorld {
	std::vector<std::string> addresses;
	uint32_t per_server;
	std::vector<SlotAgent> agents;
	std::vector<SlotAgent> dead; // their requests may still run
	std::map<std::string, uint32_t> found; // excess at the last change

	uint32_t usage(const std::string &address, uint64_t now, bool all)
	{
		uint32_t sum = 0;

		for (SlotAgent &agent : agents)
			if (all || !agent.unknown_to_leader)
				sum += agent.usage(address, now);
		for (SlotAgent &agent : dead)
			if (all || !agent.unknown_to_leader)
				for (const auto &run : agent.running)
					sum += run.address == address &&
					       run.ends_ms > now;
		return sum;
	}
};

bool slot_schedule(uint64_t seed, uint64_t *served)
{
	std::mt19937_64 rng(seed);
	struct clk *clk = clk_create_paused(1000000);
	uint64_t begun = clk_now_ms(clk), term = 1, next_inc = 1;
	int loss = (int)(rng() % 20);
	uint64_t delay = 1 + rng() % 200;
	struct alloc_slots *leader = alloc_slots_create(clk, term);
	SlotWorld world;
	Net<ReportBox> reports;
	Net<GrantBox> grants;
	Gate gate;
	bool good = true;
	std::vector<struct alloc_server> servers;
	struct alloc_upstream up = { "u", 0, true };

	world.per_server = 1 + (uint32_t)(rng() % 7);
	for (int i = 0; i < 4; i++)
		world.addresses.push_back("10.0.0." + std::to_string(i) +
					  ":80");
	for (size_t i = 0; i < world.addresses.size(); i++)
		servers.push_back({ "u", world.addresses[i].c_str(),
				    i % 2 ? "z1" : "z0", "r", 1,
				    world.per_server, world.per_server });
	alloc_slots_set_deadline(leader, kDeadlineMs);
	alloc_slots_set_upstreams(leader, &up, 1);
	alloc_slots_set_servers(leader, servers.data(), servers.size());
	world.agents.resize(kInstances);
	for (SlotAgent &agent : world.agents)
		agent.incarnation = next_inc++;
	for (int step = 0; step < 900 && good; step++) {
		uint64_t now = clk_now_ms(clk);

		if (rng() % 500 == 0) {
			alloc_slots_destroy(leader);
			leader = alloc_slots_create(clk, ++term);
			alloc_slots_set_deadline(leader, kDeadlineMs);
			alloc_slots_set_upstreams(leader, &up, 1);
			alloc_slots_set_servers(leader, servers.data(),
						servers.size());
			gate.last.clear();
			begun = now;
			for (const std::string &address : world.addresses)
				world.found[address] =
					world.usage(address, now, true);
			for (SlotAgent &agent : world.agents)
				agent.heard = agent.unknown_to_leader = false;
			for (SlotAgent &agent : world.dead)
				agent.unknown_to_leader = true;
		}
		if (now == begun + FLEET_LEASE_MS) {
			for (SlotAgent &agent : world.agents)
				agent.unknown_to_leader = !agent.heard;
			for (SlotAgent &agent : world.dead)
				agent.unknown_to_leader |= !agent.heard;
		}
		if (rng() % 300 == 0) {
			size_t i = rng() % kInstances;

			world.dead.push_back(world.agents[i]);
			world.agents[i] = SlotAgent();
			world.agents[i].incarnation = next_inc++;
		}
		if (rng() % 300 == 0)
			world.agents[rng() % kInstances].cut_until_ms =
				now + rng() % 8000;
		if (rng() % 100 == 0) {
			for (struct alloc_server &server : servers)
				server.usable = rng() % 4 ? world.per_server :
							    0;
			alloc_slots_set_servers(leader, servers.data(),
						servers.size());
		}
		for (int i = 0; i < kInstances; i++) {
			SlotAgent &agent = world.agents[(size_t)i];

			if (rng() % 50 == 0)
				agent.wanted = (uint32_t)(rng() % 6);
			agent.work(rng, now);
			if (now < agent.next_report_ms && rng() % 30)
				continue;
			auto box = std::make_shared<ReportBox>(
				"i" + std::to_string(i), i % 2 ? "z1" : "z0",
				agent.incarnation, ++agent.sequence);
			for (const auto &slot : agent.slots)
				box->slot(slot.first, 1, slot.second.held);
			box->demand(
				"u", (uint32_t)agent.running.size(),
				agent.wanted - std::min(agent.wanted,
							(uint32_t)agent.running
								.size()));
			box->report.grant_term = agent.term;
			box->report.grant_sequence = agent.applied;
			agent.sent_ms[agent.sequence] = now;
			agent.next_report_ms = now + REPORT_INTERVAL_MS;
			if (now >= agent.cut_until_ms)
				reports.send(rng, now, loss, delay,
					     { i, agent.incarnation, box });
		}
		Mail<ReportBox> report;
		while (reports.receive(now, &report)) {
			auto box = std::make_shared<GrantBox>();
			const Aw__SlotGrant *out;
			size_t nr;

			if (!gate.take(report.instance, report.box->report))
				continue;
			SlotAgent &agent =
				world.agents[(size_t)report.instance];
			if (agent.incarnation == report.incarnation)
				agent.heard = true;
			EXPECT_EQ(ALLOC_OK, alloc_slots_report(
						    leader, &report.box->report,
						    "r", &out, &nr));
			box->term = term;
			box->sequence = report.box->report.sequence;
			for (size_t i = 0; i < nr; i++)
				box->targets[out[i].address] = out[i].slots;
			if (now >= agent.cut_until_ms)
				grants.send(rng, now, loss, delay,
					    { report.instance,
					      report.incarnation, box });
		}
		Mail<GrantBox> grant;
		while (grants.receive(now, &grant)) {
			SlotAgent &agent = world.agents[(size_t)grant.instance];

			if (agent.incarnation == grant.incarnation &&
			    now >= agent.cut_until_ms)
				agent.apply(*grant.box, now);
		}
		for (const std::string &address : world.addresses) {
			uint32_t usage = world.usage(address, now, false);
			uint32_t &found = world.found[address];

			// Only what a new leader finds may be above the slots.
			found = std::min(found,
					 std::max(usage, world.per_server));
			good = good &&
			       usage <= std::max(found, world.per_server);
			*served += usage;
		}
		clk_advance_ms(clk, 10);
	}
	alloc_slots_destroy(leader);
	clk_destroy(clk);
	return good;
}

TEST(Slots, NeverAboveTheSlotsOfAServerOverAllInstances)
{
	uint64_t served = 0;

	for (int i = 0; i < schedules(1000); i++) {
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
	// An instance that applies each Grant at once.
	std::map<std::string, uint32_t> report(const std::string &who,
					       const std::string &zone,
					       const std::string &region,
					       uint32_t demand)
	{
		uint64_t seq = ++sequence[who];
		ReportBox box(who, zone, 1, seq);
		const Aw__SlotGrant *out;
		size_t nr;

		for (const auto &slot : held[who])
			box.slot(slot.first, 1, slot.second);
		box.demand("u", demand, 0);
		box.report.grant_term = 7;
		box.report.grant_sequence = seq - 1;
		EXPECT_EQ(ALLOC_OK,
			  alloc_slots_report(leader, &box.report,
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

// All instances must have reported before a new leader raises a target.
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

// A Grant of the leader before may have raised what "a" holds after its Report.
TEST_F(SlotCase, RaisesWaitForInstancesThatHaveNotAppliedAGrant)
{
	ReportBox box("a", "z1", 1, 1);
	const Aw__SlotGrant *out;
	size_t nr;

	setup({ { "u", "s1", "z1", "r1", 1, 4, 4 } });
	box.report.grant_term = 6;
	box.report.grant_sequence = 5;
	alloc_slots_report(leader, &box.report, "r1", &out, &nr);
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
	EXPECT_GE(total("c"), 6u); // the rest from the other region
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

// A silent instance may still run requests until lease and deadline are over.
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
