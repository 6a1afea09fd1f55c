// Tests the entry instance's side of Report and Grant.
#include <gtest/gtest.h>

#include "agent_fake.h"

#define CUSTOMER AW__BUCKET_KIND__BUCKET_CUSTOMER

// A lease that counts from the arrival of the Grant would let a withdrawn key
// work longer than FLEET_LEASE_MS.
TEST(Agent, LeaseCountsFromTheSendingOfTheReport)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	EXPECT_FALSE(agent_lease_ok(a.agent));
	a.lead();
	ASSERT_EQ(1u, a.sent.size());
	uint64_t first = a.report()->sequence;
	a.pass(400);
	parts.with_state = true;
	parts.sequence = first;
	a.grant(parts);
	EXPECT_TRUE(agent_lease_ok(a.agent));
	clk_advance_ms(a.clk, FLEET_LEASE_MS - 401);
	EXPECT_TRUE(agent_lease_ok(a.agent));
	clk_advance_ms(a.clk, 1);
	EXPECT_FALSE(agent_lease_ok(a.agent));
}

// After the process was frozen, a Grant for an old report must have no effect.
TEST(Agent, GrantAfterAFreezeHasNoEffect)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	parts.with_state = true;
	parts.table_version = 1;
	parts.server("u", "s1", "z1", 1, 1);
	parts.slot("s1", 1, 2);
	a.grant(parts);
	struct agent_slot *slot = agent_slot_take(a.agent, "s1");
	ASSERT_NE(nullptr, slot);
	a.pass(500);
	uint64_t before = a.report()->sequence;
	clk_advance_ms(a.clk, 60000);
	AgentFake::GrantParts late;
	late.sequence = before;
	late.token("m", 5);
	late.slot("s1", 1, 4);
	a.grant(late);
	EXPECT_FALSE(agent_lease_ok(a.agent));
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "m", 1));
	EXPECT_EQ(nullptr, agent_slot_take(a.agent, "s1"));
	// The slot in use is reported as held until it is released.
	agent_tick(a.agent);
	ASSERT_EQ(1u, a.report()->n_slots);
	EXPECT_EQ(1u, a.report()->slots[0]->held);
	agent_slot_release(a.agent, slot);
	a.pass(100);
	EXPECT_EQ(0u, a.report()->n_slots);
}

// Returning to an older state would let a withdrawn key work again.
TEST(Agent, OlderStateIsNotApplied)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	parts.with_state = true;
	parts.state_version = 9;
	a.grant(parts);
	a.pass(500);
	EXPECT_EQ(9u, a.report()->known_state_version);
	parts.state_version = 8;
	a.grant(parts);
	EXPECT_EQ(9u, view_version(agent_view(a.agent)));
	// The Grant with the older state did not extend the lease either.
	clk_advance_ms(a.clk, FLEET_LEASE_MS - 500);
	EXPECT_FALSE(agent_lease_ok(a.agent));
	a.pass(500);
	// A Grant that names a newer state without including it gives no lease.
	parts.with_state = false;
	parts.state_version = 10;
	a.grant(parts);
	EXPECT_FALSE(agent_lease_ok(a.agent));
	a.pass(500);
	parts.with_state = true;
	a.grant(parts);
	EXPECT_TRUE(agent_lease_ok(a.agent));
	EXPECT_EQ(10u, view_version(agent_view(a.agent)));
}

// Duplicate Grants, and Grants of an old term, of an unknown sequence or from
// another control instance must not add tokens.
TEST(Agent, GrantIsAppliedOnce)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead(2);
	parts.with_state = true;
	parts.term = 2;
	parts.token("m", 1);
	a.grant(parts);
	a.grant(parts);
	EXPECT_TRUE(agent_take_tokens(a.agent, CUSTOMER, "m", 1));
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "m", 1));
	a.pass(500);
	parts.term = 1;
	a.grant(parts);
	parts.term = 2;
	parts.sequence = 4711;
	a.grant(parts);
	parts.sequence = 0;
	parts.from = "c2";
	a.grant(parts);
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "m", 1));
}

// A token used after its expiry would exceed the burst of the customer.
TEST(Agent, TokensExpireFromTheSendingOfTheReport)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	uint64_t first = a.report()->sequence;
	clk_advance_ms(a.clk, 300);
	parts.with_state = true;
	parts.sequence = first;
	parts.token("m", 10);
	a.grant(parts);
	clk_advance_ms(a.clk, TOKEN_LIFETIME_MS - 301);
	EXPECT_TRUE(agent_take_tokens(a.agent, CUSTOMER, "m", 1));
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "m", 10));
	clk_advance_ms(a.clk, 1);
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "m", 1));
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "other", 1));
}

// Reported used and returned tokens are totals per Grant, so that a lost report
// does no harm.
TEST(Agent, ReportsUseAsTotalsAndReturnsExcessTokens)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	uint64_t first = a.report()->sequence;
	parts.with_state = true;
	parts.token("m", 10);
	a.grant(parts);
	a.pass(100);
	EXPECT_TRUE(agent_take_tokens(a.agent, CUSTOMER, "m", 3));
	for (int i = 0; i < 2; i++) {
		agent_report_soon(a.agent);
		a.pass(10);
		ASSERT_EQ(1u, a.report()->n_tokens);
		Aw__TokenReport *m = a.report()->tokens[0];
		ASSERT_EQ(1u, m->n_uses);
		EXPECT_EQ(first, m->uses[0]->sequence);
		EXPECT_EQ(1u, m->uses[0]->term);
		EXPECT_EQ(3u, m->uses[0]->used);
		EXPECT_EQ(0u, m->uses[0]->returned);
	}
	a.pass(500);
	Aw__TokenUse *use = a.report()->tokens[0]->uses[0];
	EXPECT_EQ(3u, use->used);
	EXPECT_GT(use->returned, 0u);
	uint64_t left = 10 - use->used - use->returned;
	EXPECT_FALSE(agent_take_tokens(a.agent, CUSTOMER, "m", left + 1));
	EXPECT_TRUE(agent_take_tokens(a.agent, CUSTOMER, "m", left));
}

// Tokens for waiting requests are requested at once, but not the same tokens
// twice, and none before the leader's retry time.
TEST(Agent, RequestsTokensOnDemandWithinTheLimits)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	parts.with_state = true;
	a.grant(parts);
	a.pass(100);
	a.grant(AgentFake::GrantParts());
	a.clear();
	agent_set_waiting_tokens(a.agent, CUSTOMER, "m", 2);
	a.pass(10, 1);
	ASSERT_EQ(1u, a.sent.size());
	EXPECT_EQ(2u, a.report()->tokens[0]->wanted);
	for (uint64_t n = 3; n < 20; n++) {
		agent_set_waiting_tokens(a.agent, CUSTOMER, "m", n);
		a.pass(1, 1);
	}
	// At most 4 reports are unanswered.
	a.pass(100, 1);
	EXPECT_EQ(4u, a.sent.size());
	AgentFake::GrantParts refused;
	refused.token("m", 0, 200);
	a.grant(refused);
	EXPECT_EQ(200u, agent_tokens_retry_after_ms(a.agent, CUSTOMER, "m"));
	a.clear();
	a.pass(199, 1);
	for (Aw__Frame *frame : a.sent) {
		for (size_t i = 0; i < frame->report->n_tokens; i++)
			EXPECT_EQ(0u, frame->report->tokens[i]->wanted);
	}
	a.pass(2, 1);
	EXPECT_EQ(0u, agent_tokens_retry_after_ms(a.agent, CUSTOMER, "m"));
	EXPECT_EQ(19u, a.report()->tokens[0]->wanted);
}

// Charged tokens that were not held are paid from the next Grant, so that the
// link budget is kept over time.
TEST(Agent, ChargesAndCreditsLinkTokens)
{
	const Aw__BucketKind link = AW__BUCKET_KIND__BUCKET_LINK;
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	parts.with_state = true;
	parts.token("a>b", 100, 0, link);
	a.grant(parts);
	EXPECT_TRUE(agent_take_tokens(a.agent, link, "a>b", 60));
	agent_credit_tokens(a.agent, link, "a>b", 10);
	EXPECT_TRUE(agent_take_tokens(a.agent, link, "a>b", 50));
	EXPECT_FALSE(agent_take_tokens(a.agent, link, "a>b", 1));
	agent_charge_tokens(a.agent, link, "a>b", 30);
	a.pass(500);
	// A later credit does not decrease reported totals.
	agent_credit_tokens(a.agent, link, "a>b", 5);
	AgentFake::GrantParts more;
	more.token("a>b", 40, 0, link);
	a.grant(more);
	EXPECT_FALSE(agent_take_tokens(a.agent, link, "a>b", 16));
	EXPECT_TRUE(agent_take_tokens(a.agent, link, "a>b", 15));
}

// A lower target applies as slots become free: slots in use stay held.
TEST(Agent, LowerSlotTargetWaitsForFreeSlots)
{
	AgentFake a;
	AgentFake::GrantParts parts;
	uint32_t held, used;

	a.lead();
	parts.with_state = true;
	parts.table_version = 1;
	parts.server("u", "s1", "z1", 1, 1);
	parts.slot("s1", 1, 3);
	a.grant(parts);
	struct agent_slot *first = agent_slot_take(a.agent, "s1");
	struct agent_slot *second = agent_slot_take(a.agent, "s1");
	a.pass(500);
	AgentFake::GrantParts lower;
	lower.slot("s1", 1, 1);
	a.grant(lower);
	agent_slot_count(a.agent, "s1", &held, &used);
	EXPECT_EQ(2u, held);
	EXPECT_EQ(nullptr, agent_slot_take(a.agent, "s1"));
	agent_slot_release(a.agent, first);
	agent_slot_count(a.agent, "s1", &held, &used);
	EXPECT_EQ(1u, held);
	EXPECT_EQ(nullptr, agent_slot_take(a.agent, "s1"));
	// A new incarnation starts without slots.
	struct agent_announcement again = { "u", "s1", "z1", 4, 2, 1 };
	EXPECT_EQ(AGENT_ANNOUNCED, agent_announce(a.agent, &again));
	EXPECT_EQ(nullptr, agent_slot_take(a.agent, "s1"));
	agent_slot_release(a.agent, second);
	agent_slot_count(a.agent, "s1", &held, &used);
	EXPECT_EQ(0u, held);
}

// Without batches, each waiting request caused a report under load with full
// queues: up to 200 a second, which the leader would get from every instance.
TEST(Agent, DemandForSlotsIsReportedInBatches)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	parts.with_state = true;
	a.grant(parts);
	a.clear();
	for (int i = 0; i < 100; i++) {
		agent_set_queued_requests(a.agent, "u", 1);
		a.pass(10);
		if (a.sent.size())
			a.grant(AgentFake::GrantParts());
		agent_set_queued_requests(a.agent, "u", 0);
	}
	EXPECT_LE(a.sent.size(), 12u);
	EXPECT_GE(a.sent.size(), 9u);
}

// The leader must receive the peak of a burst between two reports.
TEST(Agent, DemandReportsPeaks)
{
	AgentFake a;
	AgentFake::GrantParts parts;

	a.lead();
	parts.with_state = true;
	parts.table_version = 1;
	parts.server("u", "s1", "z1", 1, 1);
	parts.slot("s1", 1, 3);
	a.grant(parts);
	struct agent_slot *slots[2] = { agent_slot_take(a.agent, "s1"),
					agent_slot_take(a.agent, "s1") };
	agent_set_queued_requests(a.agent, "u", 5);
	agent_set_queued_requests(a.agent, "u", 0);
	agent_slot_release(a.agent, slots[0]);
	a.pass(100);
	ASSERT_EQ(1u, a.report()->n_demands);
	EXPECT_EQ(2u, a.report()->demands[0]->in_use);
	EXPECT_EQ(5u, a.report()->demands[0]->queued);
	a.pass(500);
	EXPECT_EQ(1u, a.report()->demands[0]->in_use);
	EXPECT_EQ(0u, a.report()->demands[0]->queued);
	agent_slot_release(a.agent, slots[1]);
}

// A delayed old announcement must not make a server that has left active again.
TEST(Agent, LeaveIsFinalForItsIncarnation)
{
	AgentFake a;
	struct agent_announcement from = { "u", "s1", "z1", 4, 5, 10 };

	EXPECT_EQ(AGENT_ANNOUNCED, agent_announce(a.agent, &from));
	from.sequence = 9;
	EXPECT_EQ(AGENT_STALE, agent_announce(a.agent, &from));
	from.incarnation = 4;
	EXPECT_EQ(AGENT_STALE, agent_announce(a.agent, &from));
	EXPECT_EQ(AGENT_ANNOUNCED, agent_leave(a.agent, "s1", 5, 11));
	EXPECT_EQ(AGENT_ANNOUNCED, agent_leave(a.agent, "s1", 5, 11));
	from.incarnation = 5;
	from.sequence = 12;
	EXPECT_EQ(AGENT_LEFT, agent_announce(a.agent, &from));
	a.lead();
	AgentFake::GrantParts parts;
	parts.with_state = true;
	parts.table_version = 1;
	parts.server("u", "s1", "z1", 5, 12);
	a.grant(parts);
	EXPECT_TRUE(agent_server(a.agent, "s1")->leaving);
	// Tables without the server do not remove its tombstone for 10 min.
	a.pass(500);
	AgentFake::GrantParts empty;
	empty.table_version = 2;
	a.grant(empty);
	a.pass(TOMBSTONE_MS - 2000, 1000);
	EXPECT_NE(nullptr, agent_server(a.agent, "s1"));
	a.pass(3000, 1000);
	EXPECT_EQ(nullptr, agent_server(a.agent, "s1"));
	from.incarnation = 6;
	EXPECT_EQ(AGENT_ANNOUNCED, agent_announce(a.agent, &from));
}

// A new leader knows no servers, so reports contain all servers, tombstones
// included, until it has confirmed one of them.
TEST(Agent, NewTermGetsTheWholeTable)
{
	AgentFake a;
	AgentFake::GrantParts parts;
	struct agent_announcement from = { "u", "s1", "z1", 4, 1, 1 };

	a.lead();
	agent_leave(a.agent, "gone", 1, 1);
	agent_announce(a.agent, &from);
	parts.with_state = true;
	parts.table_version = 7;
	a.grant(parts);
	a.pass(10);
	EXPECT_TRUE(a.report()->whole_table);
	EXPECT_EQ(2u, a.report()->n_servers);
	parts.table_version = 8;
	parts.server("u", "s1", "z1", 1, 1);
	parts.server("u", "gone", "z1", 1, 1, AW__SERVER_STATE__SERVER_LEAVING);
	a.grant(parts);
	a.pass(500);
	EXPECT_FALSE(a.report()->whole_table);
	EXPECT_EQ(0u, a.report()->n_servers);
	EXPECT_EQ(8u, a.report()->known_table_version);
	a.lead(2, "c2");
	AgentFake::GrantParts next;
	next.term = 2;
	next.from = "c2";
	next.table_version = 8;
	a.grant(next);
	// The empty table of the new leader does not remove servers yet.
	EXPECT_NE(nullptr, agent_server(a.agent, "s1"));
	a.pass(10);
	EXPECT_EQ("c2", a.sent_to.back());
	EXPECT_TRUE(a.report()->whole_table);
	EXPECT_EQ(2u, a.report()->n_servers);
	a.pass(500);
	EXPECT_TRUE(a.report()->whole_table);
}

// A retry waits for the leader's decision on the crash, which is the Grant for
// the report with the crash.
TEST(Agent, CrashIsDecidedByTheGrantForItsReport)
{
	AgentFake a;
	AgentFake::GrantParts parts;
	uint8_t fingerprint[HASH_BYTES] = { 1 };

	a.lead();
	parts.with_state = true;
	uint64_t before = a.report()->sequence;
	uint64_t ticket = agent_report_crash(a.agent, fingerprint, "s1", 1);
	a.pass(10);
	ASSERT_EQ(1u, a.report()->n_crashes);
	parts.sequence = before;
	a.grant(parts);
	EXPECT_FALSE(agent_crash_decided(a.agent, ticket));
	Aw__Quarantine one = AW__QUARANTINE__INIT;
	one.fingerprint.data = fingerprint;
	one.fingerprint.len = HASH_BYTES;
	one.expires_in_ms = 1000;
	AgentFake::GrantParts decided;
	decided.table_version = 1;
	decided.quarantines.push_back(one);
	a.grant(decided);
	EXPECT_TRUE(agent_crash_decided(a.agent, ticket));
	EXPECT_TRUE(agent_is_quarantined(a.agent, fingerprint));
	// A new leader receives both, with their ages.
	clk_advance_ms(a.clk, 400);
	a.lead(2, "c2");
	AgentFake::GrantParts next;
	next.term = 2;
	next.from = "c2";
	a.grant(next);
	a.pass(10);
	ASSERT_EQ(1u, a.report()->n_crashes);
	EXPECT_EQ(420u, a.report()->crashes[0]->age_ms);
	ASSERT_EQ(1u, a.report()->n_quarantines);
	EXPECT_EQ(590u, a.report()->quarantines[0]->expires_in_ms);
	clk_advance_ms(a.clk, 590);
	EXPECT_FALSE(agent_is_quarantined(a.agent, fingerprint));
}

// A server has responded to a request after another server was lost while it
// handled it: the suspicion is dropped and this is reported to the leader. A
// quarantine that the leader removes ends here too.
TEST(Agent, ResponseClearsTheSuspicion)
{
	AgentFake a;
	AgentFake::GrantParts parts;
	uint8_t fingerprint[HASH_BYTES] = { 1 }, other[HASH_BYTES] = { 2 };

	a.lead();
	parts.with_state = true;
	a.grant(parts);
	agent_clear_suspicion(a.agent, fingerprint); // not suspected
	agent_report_crash(a.agent, fingerprint, "s1", 1);
	agent_clear_suspicion(a.agent, other);
	agent_clear_suspicion(a.agent, fingerprint);
	a.pass(10);
	EXPECT_EQ(0u, a.report()->n_crashes);
	ASSERT_EQ(1u, a.report()->n_answers);
	EXPECT_EQ(1, a.report()->answers[0]->fingerprint.data[0]);
	Aw__Quarantine one = AW__QUARANTINE__INIT;
	one.fingerprint.data = fingerprint;
	one.fingerprint.len = HASH_BYTES;
	one.expires_in_ms = 60000;
	AgentFake::GrantParts decided;
	decided.table_version = 1;
	decided.quarantines.push_back(one);
	a.grant(decided);
	EXPECT_TRUE(agent_is_quarantined(a.agent, fingerprint));
	agent_clear_suspicion(a.agent, fingerprint); // by another attempt
	a.pass(10);
	ASSERT_EQ(1u, a.report()->n_answers);
	AgentFake::GrantParts lifted;
	lifted.table_version = 2;
	a.grant(lifted);
	EXPECT_FALSE(agent_is_quarantined(a.agent, fingerprint));
	a.pass(500);
	EXPECT_EQ(0u, a.report()->n_answers);
}

// A quarantine or a withdrawal must not wait for the next periodic report.
TEST(Agent, GrantWithoutSequenceAsksForAReport)
{
	AgentFake a;
	AgentFake::GrantParts parts;
	Aw__Grant hint = AW__GRANT__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	a.lead();
	parts.with_state = true;
	a.grant(parts);
	a.pass(50);
	a.grant(AgentFake::GrantParts());
	a.clear();
	hint.term = 1;
	hint.lease_ms = FLEET_LEASE_MS;
	frame.body_case = AW__FRAME__BODY_GRANT;
	frame.grant = &hint;
	agent_handle_frame(a.agent, "c2", &frame);
	EXPECT_EQ(0u, a.sent.size());
	agent_handle_frame(a.agent, "c1", &frame);
	EXPECT_EQ(1u, a.sent.size());
	// It does not extend the lease.
	clk_advance_ms(a.clk, FLEET_LEASE_MS - 30);
	EXPECT_FALSE(agent_lease_ok(a.agent));
}

static void store_result(void *arg, const Aw__OpResult *result, bool sent)
{
	*(int *)arg = result ? (int)result->code : sent ? -1 : -2;
}

// A lost reply or a change of leader must not lose a release or a claim.
TEST(Agent, CallsAreResentUntilApplied)
{
	AgentFake a;
	Aw__Op op = AW__OP__INIT;
	Aw__OpNoop noop = AW__OP_NOOP__INIT;
	int first = 100, second = 100, third = 100;

	op.body_case = AW__OP__BODY_NOOP;
	op.noop = &noop;
	agent_propose(a.agent, &op, 1500, false, store_result, &first);
	a.pass(500);
	EXPECT_EQ(-2, first);
	uint64_t call = agent_propose(a.agent, &op, 60000, false, store_result,
				      &second);
	a.lead();
	EXPECT_EQ(1u, a.count(AW__FRAME__BODY_PROPOSE));
	a.reply(call, AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER);
	a.pass(100);
	EXPECT_EQ(2u, a.count(AW__FRAME__BODY_PROPOSE));
	a.lead(2, "c2");
	EXPECT_EQ(3u, a.count(AW__FRAME__BODY_PROPOSE));
	EXPECT_EQ("c2", a.sent_to.back());
	a.pass(2000);
	EXPECT_EQ(4u, a.count(AW__FRAME__BODY_PROPOSE));
	a.reply(call, AW__PROPOSE_STATUS__PROPOSE_APPLIED);
	EXPECT_EQ((int)AW__OP_CODE__OP_DONE, second);
	a.reply(call, AW__PROPOSE_STATUS__PROPOSE_APPLIED);
	agent_propose(a.agent, &op, clk_now_ms(a.clk) + 50, false, store_result,
		      &third);
	a.pass(50);
	EXPECT_EQ(-1, third);
	// A refusal ends only calls with end_if_refused.
	int refused = 100, still_open = 100;
	call = agent_propose(a.agent, &op, 60000, true, store_result, &refused);
	a.reply(call, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
	EXPECT_EQ(-1, refused);
	call = agent_propose(a.agent, &op, 60000, false, store_result,
			     &still_open);
	a.reply(call, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
	EXPECT_EQ(100, still_open);
	EXPECT_TRUE(agent_call_cancel(a.agent, call));
	EXPECT_EQ(0u, agent_open_calls(a.agent));
}
