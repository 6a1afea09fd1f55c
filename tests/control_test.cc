// Tests the leader's decisions: drains under their cap and with headroom,
// Grants, the replicated time, and the outcome of proposals when leadership
// changes. The functions of raft, fleet, peer and config that they call are
// replaced by fakes.
#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "config.h"
#include "control_cluster.h"
}

namespace
{

bool leads = true;
enum raft_error propose_result = RAFT_OK;
uint64_t next_index, current_term = 3;
std::vector<std::pair<uint64_t, Aw__ProposeStatus>> replies;
Aw__Op *last_op;
uint64_t cap_permille = 100, headroom_permille = 150;

} // namespace

extern "C" {

bool ctl_leads(struct ctl *)
{
	return leads;
}
void ctl_count(struct ctl *, const char *, const char *)
{
}
void ctl_flush_soon(struct ctl *)
{
}
void ctl_raft_error(struct ctl *ctl, enum raft_error)
{
	ctl->failed = true;
}
enum raft_error raft_propose(struct raft *, const uint8_t *op, size_t op_bytes,
			     uint64_t *index, uint64_t *term)
{
	if (last_op)
		aw__op__free_unpacked(last_op, NULL);
	last_op = aw__op__unpack(NULL, op_bytes, op);
	*index = ++next_index;
	*term = current_term;
	return propose_result;
}
const char *raft_leader(const struct raft *)
{
	return "c2";
}
enum loop_error peer_send(struct peer_link *, const Aw__Frame *frame)
{
	replies.push_back(
		{ frame->propose_reply->call, frame->propose_reply->status });
	return LOOP_OK;
}
uint64_t fleet_time_ms(const struct fleet *fleet)
{
	return *(const uint64_t *)fleet;
}
Aw__Role peer_link_role(const struct peer_link *link)
{
	return *(const Aw__Role *)link;
}

static const struct cfg_setting_info infos[CFG_SETTING_COUNT] = {
	{ "deadline_ms", 1, 100000, 10000, "" }, {}, {}, {}, {},
	{ "cross_region", 0, 1, 1, "" },
};

const struct cfg_setting_info *cfg_setting_info(enum cfg_setting setting)
{
	return &infos[setting];
}
void cfg_decide(const Aw__Config *, enum cfg_setting setting,
		const struct cfg_subject *, struct cfg_decision *decision)
{
	decision->value =
		setting == CFG_SHIFT_CAP_PERMILLE ? cap_permille :
		setting == CFG_HEADROOM_PERMILLE  ? headroom_permille :
						    infos[setting].value;
}
enum cfg_error cfg_parse_yaml(const char *, const char *, size_t, Aw__Config **,
			      char *text, size_t text_bytes)
{
	snprintf(text, text_bytes, "configuration:1: bad");
	return CFG_ERR_SYNTAX;
}
const char *cfg_region_of_zone(const Aw__Config *, const char *zone)
{
	return zone[1] == '3' ? "r2" : "r1";
}

} // extern "C"

namespace
{

// ---- drains ----

struct DrainCase : testing::Test {
	struct clk *clk = clk_create_paused(100000);
	struct drain_state *state = drain_create();
	struct alloc_slots *slots = alloc_slots_create(clk, 1);
	std::vector<struct alloc_server> servers;
	struct drain_upstream up = { "u", 100, 150, true };
	Aw__Drain drain;

	DrainCase()
	{
		const char *zones[] = { "z1", "z1", "z2", "z2", "z3", "z3" };
		static const char *const names[] = { "s1", "s2", "s3",
						     "s4", "s5", "s6" };

		for (int i = 0; i < 6; i++)
			servers.push_back({ "u", names[i], zones[i],
					    i < 4 ? "r1" : "r2", 1, 5, 5 });
		aw__drain__init(&drain);
		drain.name = (char *)"d";
		drain.target_kind = AW__DRAIN_TARGET__DRAIN_ZONE;
		drain.target = (char *)"z1";
	}
	~DrainCase() override
	{
		drain_destroy(state);
		alloc_slots_destroy(slots);
		clk_destroy(clk);
	}
	uint32_t usable_slots(const std::vector<Aw__Drain *> &drains)
	{
		std::vector<struct alloc_server> now = servers;
		uint32_t sum = 0;

		EXPECT_EQ(0, drain_apply(state, now.data(), now.size(),
					 drains.data(), drains.size()));
		for (const auto &server : now)
			sum += server.usable;
		return sum;
	}
	void begin_round()
	{
		clk_advance_ms(clk, DRAIN_STEP_MS);
		ASSERT_EQ(0, drain_begin_round(state, servers.data(),
					       servers.size(), &up, 1));
	}
	void report_load(uint32_t demand)
	{
		std::string name = "i", zone = "z1", upstream = "u";
		Aw__Instance instance;
		Aw__SlotDemand part, *list[] = { &part };
		Aw__Report report;
		const Aw__SlotGrant *grants;
		size_t nr;

		aw__instance__init(&instance);
		aw__slot_demand__init(&part);
		aw__report__init(&report);
		instance.name = &name[0];
		instance.zone = &zone[0];
		part.upstream = &upstream[0];
		part.in_use = demand;
		report.instance = &instance;
		report.instance_incarnation = 1;
		report.demands = list;
		report.n_demands = 1;
		ASSERT_EQ(ALLOC_OK, alloc_slots_report(slots, &report, "r1",
						       &grants, &nr));
	}
	bool has_capacity(std::string *text)
	{
		const Aw__Drain *list[] = { &drain };
		uint32_t shares[] = { 1000 };
		char figures[512] = "";
		bool good = drain_has_capacity(servers.data(), servers.size(),
					       list, shares, 1, 0, &up, 1,
					       slots, figures, sizeof(figures));

		*text = figures;
		return good;
	}
};

// 30 slots and a cap of 100 permille: 3 slots per second, whatever the ramp.
TEST_F(DrainCase, NoRoundMovesMoreThanTheCap)
{
	uint32_t before = usable_slots({ &drain }), now;
	int rounds = 0;

	while (drain.share_permille < 1000 && ++rounds < 50) {
		begin_round();
		drain.share_permille =
			drain_next_share(state, &drain, clk_now_ms(clk),
					 servers.data(), servers.size());
		now = usable_slots({ &drain });
		EXPECT_LE(before - now, 3u);
		before = now;
	}
	EXPECT_EQ(20u, before);
	EXPECT_EQ(4, rounds); // 10 slots
}

// Two drains share the cap of the upstream.
TEST_F(DrainCase, CapCoversAllDrainsOfAnUpstream)
{
	Aw__Drain other = drain;
	uint32_t before = usable_slots({ &drain, &other }), now;

	other.name = (char *)"d2";
	other.target = (char *)"z3";
	for (int i = 0; i < 20; i++) {
		begin_round();
		for (Aw__Drain *at : { &drain, &other })
			at->share_permille = drain_next_share(
				state, at, clk_now_ms(clk), servers.data(),
				servers.size());
		now = usable_slots({ &drain, &other });
		EXPECT_LE(before - now, 3u);
		before = now;
	}
	EXPECT_EQ(10u, before);
}

TEST_F(DrainCase, RampIsNotShorterThanPlanned)
{
	int rounds = 0;

	drain.ramp_s = 20;
	usable_slots({ &drain });
	while (drain.share_permille < 1000 && ++rounds < 100) {
		begin_round();
		drain.share_permille =
			drain_next_share(state, &drain, clk_now_ms(clk),
					 servers.data(), servers.size());
	}
	EXPECT_EQ(20, rounds);
}

// Cancelling must not move the whole load back at once.
TEST_F(DrainCase, CancelledDrainReturnsUnderTheCap)
{
	uint32_t before, now;

	drain.share_permille = 1000;
	before = usable_slots({ &drain });
	EXPECT_EQ(20u, before);
	EXPECT_EQ(20u, usable_slots({}));
	for (int i = 0; i < 4; i++) {
		begin_round();
		now = usable_slots({});
		EXPECT_LE(now - before, 3u);
		EXPECT_EQ(now, usable_slots({})) << "second call in a round";
		before = now;
	}
	EXPECT_EQ(30u, before);
}

TEST_F(DrainCase, RefusedWithFiguresWhenTooFewSlotsRemain)
{
	std::string text;

	report_load(17);
	EXPECT_TRUE(has_capacity(&text)); // 20 slots less 150 permille: 17
	report_load(18);
	EXPECT_FALSE(has_capacity(&text));
	EXPECT_NE(std::string::npos,
		  text.find("20 of 30 slots remain, the load is 18"))
		<< text;
	report_load(9);
	clk_advance_ms(clk, 10000);
	report_load(9);
	up.cross_region = false; // 10 slots remain in the region of z1
	EXPECT_FALSE(has_capacity(&text));
	EXPECT_NE(std::string::npos, text.find("region r1")) << text;
}

// ---- Report and Grant ----

TEST(Soft, GrantsIncludeStateAndTableOnlyWhenChanged)
{
	struct clk *clk = clk_create_paused(100000);
	struct soft *soft = soft_create(clk, 4, 10, NULL);
	Aw__Config config;
	Aw__FleetState state;
	struct soft_view view = {};
	Aw__Instance instance;
	Aw__Report report;
	const Aw__Grant *grant;

	aw__config__init(&config);
	aw__fleet_state__init(&state);
	aw__instance__init(&instance);
	aw__report__init(&report);
	instance.name = (char *)"i";
	instance.zone = (char *)"z1";
	instance.address = (char *)"10.0.0.1:80";
	report.instance = &instance;
	report.instance_incarnation = 9;
	view.config = &config;
	view.state = &state;
	view.state_version = 20;

	report.sequence = 1;
	ASSERT_EQ(0, soft_handle_report(soft, &view, &report, &grant));
	ASSERT_NE(nullptr, grant);
	EXPECT_EQ(&state, grant->state);
	EXPECT_EQ((uint32_t)FLEET_LEASE_MS, grant->lease_ms);
	EXPECT_FALSE(grant->table_included); // others may not have reported yet
	ASSERT_EQ(0, soft_handle_report(soft, &view, &report, &grant));
	EXPECT_EQ(nullptr, grant); // repeated Report

	clk_advance_ms(clk, SOFT_TABLE_WAIT_MS);
	report.sequence = 2;
	report.known_state_version = 20;
	// The same version by chance, but of another term.
	report.known_table_version = soft_table_version(soft);
	report.grant_term = 3;
	ASSERT_EQ(0, soft_handle_report(soft, &view, &report, &grant));
	EXPECT_EQ(nullptr, grant->state);
	ASSERT_TRUE(grant->table_included);
	EXPECT_EQ(1u, grant->n_instances);

	report.sequence = 3;
	report.grant_term = 4;
	report.known_table_version = grant->table_version;
	ASSERT_EQ(0, soft_handle_report(soft, &view, &report, &grant));
	EXPECT_FALSE(grant->table_included);
	soft_destroy(soft);
	clk_destroy(clk);
}

// Handed-over state is used only by the leader of the next term, within
// SOFT_HANDOVER_MS. Any other leader must start with empty buckets.
TEST(Soft, OnlyTheNextLeaderUsesTheHandover)
{
	static const struct {
		uint64_t term, delay_ms, term_given;
		bool used;
	} rows[] = {
		{ 5, SOFT_HANDOVER_MS, 4, true },
		{ 5, SOFT_HANDOVER_MS + 1, 4, false }, // too old
		{ 6, 100, 4, false }, // another leader in between
		{ 5, 100, 0, false }, // none received
	};
	struct clk *clk = clk_create_paused(100000);
	struct soft *old = soft_create(clk, 4, 10, NULL);
	Aw__Config config;
	Aw__FleetState state;
	Aw__Customer customer, *customers[] = { &customer };
	Aw__Instance instance;
	Aw__TokenReport part, *parts[] = { &part };
	Aw__Report report;
	struct soft_view view = {};
	const Aw__Grant *grant;

	aw__config__init(&config);
	aw__fleet_state__init(&state);
	aw__customer__init(&customer);
	aw__instance__init(&instance);
	aw__token_report__init(&part);
	aw__report__init(&report);
	customer.name = part.name = (char *)"c";
	customer.rate_per_s = 10;
	customer.burst = 20;
	config.customers = customers;
	config.n_customers = 1;
	view.config = &config;
	view.state = &state;
	view.state_version = 20;
	instance.name = (char *)"i";
	instance.zone = (char *)"z1";
	instance.address = (char *)"10.0.0.1:80";
	report.instance = &instance;
	report.instance_incarnation = 9;
	report.sequence = 1;
	report.tokens = parts;
	report.n_tokens = 1;
	ASSERT_EQ(0, soft_handle_report(old, &view, &report, &grant));
	clk_advance_ms(clk, 5000);
	for (const auto &row : rows) {
		struct soft_handover handover = { row.term_given,
						  clk_now_ms(clk), BUF_INIT };

		ASSERT_EQ(0, soft_save_handover(old, &handover.state));
		clk_advance_ms(clk, row.delay_ms);
		struct soft *next = soft_create(clk, row.term, 10, NULL);

		ASSERT_EQ(0, soft_load_handover(next, &handover));
		part.wanted = 20;
		ASSERT_EQ(0, soft_handle_report(next, &view, &report, &grant));
		EXPECT_EQ(row.used ? 20u : 0u, grant->tokens[0]->tokens)
			<< row.term << " " << row.delay_ms;
		soft_destroy(next);
		buf_release(&handover.state);
	}
	soft_destroy(old);
	clk_destroy(clk);
}

// ---- replicated time ----

// Guards against time stamps from a wall clock: one that stepped a day ahead
// expired all claims at once, so that a request could be executed twice.
TEST(Time, FollowsElapsedTimeAndNotTheWallClock)
{
	const uint64_t day_ms = 86400000, start_ms = 100000000;
	struct ctl old = {}, next = {};
	Aw__Op op;
	Aw__OpNoop noop;
	uint64_t applied_ms = 0, last_ms = 0, passed_ms = 0;

	aw__op__init(&op);
	aw__op_noop__init(&noop);
	op.body_case = AW__OP__BODY_NOOP;
	op.noop = &noop;
	for (struct ctl *ctl : { &old, &next }) {
		ctl->clk = clk_create_paused(start_ms);
		ctl->fleet = (struct fleet *)&applied_ms;
	}
	// The clock of the next leader is a day ahead.
	clk_step_wall_ms(next.clk, (int64_t)day_ms);
	for (int i = 0; i < 40; i++) {
		struct ctl *leader = i < 20 ? &old : &next;

		EXPECT_EQ(AW__PROPOSE_STATUS__PROPOSE_APPLIED,
			  ctl_propose(
				  leader, &op, 0,
				  [](void *, Aw__ProposeStatus,
				     const Aw__OpResult *) {},
				  NULL));
		EXPECT_GE(op.time_ms, last_ms);
		EXPECT_LE(op.time_ms, start_ms + passed_ms) << i;
		// The replicated time lags by two commits of 100 ms at most.
		EXPECT_GE(op.time_ms + 200, start_ms + passed_ms) << i;
		last_ms = op.time_ms;
		applied_ms = op.time_ms;
		for (struct ctl *ctl : { &old, &next }) {
			clk_advance_ms(ctl->clk, 100);
			clk_step_wall_ms(ctl->clk,
					 i % 2 ? (int64_t)day_ms :
						 -(int64_t)day_ms / 2);
			ctl_time_applied(ctl);
		}
		passed_ms += 100;
		ctl_proposals_abandon(leader);
	}
	clk_destroy(old.clk);
	clk_destroy(next.clk);
}

// ---- proposals ----

struct ProposeCase : testing::Test {
	struct ctl ctl = {};
	Aw__Role entry = AW__ROLE__ROLE_ENTRY, control = AW__ROLE__ROLE_CONTROL;
	Aw__OpClaim claim;
	Aw__Op op;
	Aw__Propose propose;
	Aw__OpResult result;

	ProposeCase()
	{
		ctl.clk = clk_create_paused(7000);
		leads = true;
		propose_result = RAFT_OK;
		replies.clear();
		aw__op_claim__init(&claim);
		aw__op__init(&op);
		aw__propose__init(&propose);
		aw__op_result__init(&result);
		op.body_case = AW__OP__BODY_CLAIM;
		op.claim = &claim;
		propose.op = &op;
	}
	~ProposeCase() override
	{
		ctl_proposals_abandon(&ctl);
		clk_destroy(ctl.clk);
		if (last_op)
			aw__op__free_unpacked(last_op, NULL);
		last_op = NULL;
	}
	void send_proposal(uint64_t call, Aw__Role *link)
	{
		propose.call = call;
		ctl_on_propose(&ctl, (struct peer_link *)link, &propose);
	}
	void expect_reply(size_t nr, uint64_t call, Aw__ProposeStatus status)
	{
		ASSERT_EQ(nr, replies.size());
		EXPECT_EQ(call, replies.back().first);
		EXPECT_EQ(status, replies.back().second);
	}
};

TEST_F(ProposeCase, RepliesOnlyWhenApplied)
{
	send_proposal(1, &entry);
	EXPECT_EQ(0u, replies.size());
	EXPECT_EQ(7000u, last_op->time_ms);
	ctl_entry_applied(&ctl, next_index, current_term, &result);
	expect_reply(1, 1, AW__PROPOSE_STATUS__PROPOSE_APPLIED);
	ctl_entry_applied(&ctl, next_index, current_term, &result);
	EXPECT_EQ(1u, replies.size());
}

// An entry of another term at the same index is not the proposed one.
TEST_F(ProposeCase, EntryOfAnotherTermIsNotTheProposal)
{
	send_proposal(1, &entry);
	ctl_entry_applied(&ctl, next_index, current_term + 1, &result);
	expect_reply(1, 1, AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER);
}

// A reply that nothing was appended would allow a second claim while the first
// one may still be applied.
TEST_F(ProposeCase, UnknownWhenLeadershipIsLost)
{
	send_proposal(1, &entry);
	ctl_proposals_abandon(&ctl);
	expect_reply(1, 1, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN);
}

TEST_F(ProposeCase, RefusedBeforeAnythingWasAppended)
{
	propose_result = RAFT_ERR_STORE;
	send_proposal(1, &entry);
	expect_reply(1, 1, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
	propose_result = RAFT_ERR_NOT_LEADER;
	send_proposal(2, &entry);
	expect_reply(2, 2, AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER);
	propose_result = RAFT_ERR_FAILED;
	send_proposal(3, &entry);
	expect_reply(3, 3, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN);
	EXPECT_TRUE(ctl.failed);
	leads = false;
	send_proposal(4, &entry);
	expect_reply(4, 4, AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER);
}

// Of the peers, only entry instances may propose, and only claim operations:
// all others are reserved for operators, who authenticate with a token.
TEST_F(ProposeCase, PeersProposeClaimsOnly)
{
	Aw__OpKeyWithdraw withdraw;

	send_proposal(1, &control);
	expect_reply(1, 1, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
	aw__op_key_withdraw__init(&withdraw);
	op.body_case = AW__OP__BODY_KEY_WITHDRAW;
	op.key_withdraw = &withdraw;
	send_proposal(2, &entry);
	expect_reply(2, 2, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
}

TEST_F(ProposeCase, ReplyToAClosedLinkIsDropped)
{
	send_proposal(1, &entry);
	ctl_propose_link_down(&ctl, (struct peer_link *)&entry);
	ctl_entry_applied(&ctl, next_index, current_term, &result);
	EXPECT_EQ(0u, replies.size());
}

struct OrderCase : ProposeCase {
	struct ctl_cluster cluster = {};
	Aw__OpZone zone;
	uint64_t call = 0;

	OrderCase()
	{
		next_index = 100;
		cluster.zone_orders = zord_create();
		ctl.cluster = &cluster;
		aw__op_zone__init(&zone);
		zone.zone = (char *)"a1";
		op.body_case = AW__OP__BODY_ZONE;
		op.zone = &zone;
	}
	~OrderCase() override
	{
		zord_destroy(cluster.zone_orders);
	}
	// Returns whether the leader appends an order that a control instance
	// forwards; known_index is what that one had applied.
	bool appends(bool evacuated, uint64_t known_index)
	{
		size_t nr_replies = replies.size();

		zone.evacuated = evacuated;
		zone.known_index = known_index;
		send_proposal(++call, &control);
		if (replies.size() == nr_replies)
			return true;
		expect_reply(nr_replies + 1, call,
			     AW__PROPOSE_STATUS__PROPOSE_REFUSED);
		return false;
	}
};

// A follower that stood still forwarded an order to take a zone back, which its
// sender had given up, and the leader carried it out after a later evacuation.
TEST_F(OrderCase, ForwardedOrderDoesNotReverseALaterOne)
{
	uint64_t before = next_index, taken_back;

	ASSERT_TRUE(appends(true, before));
	ASSERT_TRUE(appends(false, next_index));
	taken_back = next_index;
	// Not applied yet: what is in the log counts.
	ASSERT_TRUE(appends(true, taken_back));
	EXPECT_FALSE(appends(false, before));
	EXPECT_FALSE(appends(false, taken_back));
	EXPECT_TRUE(appends(false, next_index));
	EXPECT_FALSE(appends(true, taken_back));
}

// Another copy of an order may be in the log already; its sender must not be
// refused then.
TEST_F(OrderCase, RepeatedOrderIsAppended)
{
	uint64_t before = next_index;

	EXPECT_TRUE(appends(true, before));
	EXPECT_TRUE(appends(true, before));
}

// Earlier versions do not tell what they had applied, and a log with a field
// that they do not know is avoided.
TEST_F(OrderCase, KnownIndexIsNeitherNeededNorStored)
{
	ASSERT_TRUE(appends(true, next_index + 1));
	EXPECT_EQ(0u, last_op->zone->known_index);
	EXPECT_TRUE(appends(false, 0));
}

// ---- bodies of operators' changes ----

// No part of an operator's change may be ignored or misread.
TEST(Change, BodiesAreParsedCompletelyOrRefused)
{
	const struct {
		enum ctl_change change;
		const char *body;
		const char *cause; // "": accepted
	} rows[] = {
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","setting":"s","value":5,"reason":"r"})", "" },
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","setting":"s","value":5})", "reason" },
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","setting":"s","value":1.5,"reason":"r"})",
		  "value" },
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","setting":"s","value":-1,"reason":"r"})",
		  "value" },
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","setting":"s","value":1e30,"reason":"r"})",
		  "value" },
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","setting":"s","value":5,"reason":"r",)"
		  R"("custmer":"c"})",
		  "custmer" },
		{ CTL_CHANGE_EXCEPTION_ADD,
		  R"({"name":"e","name":"f","setting":"s","value":5,)"
		  R"("reason":"r"})",
		  "name" },
		{ CTL_CHANGE_EXCEPTION_REMOVE, R"({})", "reason" },
		{ CTL_CHANGE_EXCEPTION_REMOVE, R"([])", "body" },
		{ CTL_CHANGE_EXCEPTION_REMOVE, "", "body" },
		{ CTL_CHANGE_KEY_GRANT,
		  R"({"id":"k","customer":"c","hash":"00"})", "hash" },
		{ CTL_CHANGE_KEY_WITHDRAW, "", "" },
		{ CTL_CHANGE_DRAIN_PLAN,
		  R"({"name":"d","kind":"zone","target":"z","ramp_s":5,)"
		  R"("reason":"r","forced":true})",
		  "" },
		{ CTL_CHANGE_DRAIN_PLAN,
		  R"({"name":"d","kind":"zone","target":"z","ramp_s":5,)"
		  R"("reason":"r","forced":"no"})",
		  "forced" },
		{ CTL_CHANGE_DRAIN_PLAN,
		  R"({"name":"d","kind":"rack","target":"z","ramp_s":5,)"
		  R"("reason":"r"})",
		  "kind" },
		{ CTL_CHANGE_CONFIG, "x", "configuration:1: bad" },
	};

	for (const auto &row : rows) {
		char text[256] = "";
		Aw__Op *op;
		int got = ctl_parse_change(
			row.change, "n", (const uint8_t *)row.body,
			strlen(row.body), &op, text, sizeof(text));

		EXPECT_EQ(*row.cause ? -1 : 0, got) << row.body << text;
		EXPECT_EQ(0u, std::string(text).find(row.cause))
			<< row.body << ": " << text;
		if (!got)
			aw__op__free_unpacked(op, NULL);
	}
}

} // namespace
