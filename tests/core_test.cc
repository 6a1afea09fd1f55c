// Guards the request pipeline: what may be said, sent and retried.
#include <gtest/gtest.h>

#include "core_fake.h"
#include "budget.h"
#include "queue.h"

// A key or an unlisted header must not reach a backend server.
TEST(Dispatch, ForwardsListedHeadersAndNeverTheKey)
{
	CoreFake f;
	Headers headers = { { "Authorization", "Bearer " + f.key },
			    { "Cookie", "a=b" },
			    { "X-Other", "1" },
			    { "Almondward-Customer", "forged" },
			    { "Almondward-Request", "forged" },
			    { "Connection", "keep-alive" },
			    { "Accept", "text/plain" },
			    { "content-type", "text/plain" },
			    { "Almondward-Deadline-Ms", "700" } };

	f.up();
	f.ask("PUT", "/look/1?q=2", headers, "body");
	ASSERT_EQ(1u, f.backends.size());
	struct backend *b = f.last();
	EXPECT_EQ("PUT", b->method);
	EXPECT_EQ("/look/1?q=2", b->target);
	EXPECT_EQ("body", b->body);
	EXPECT_EQ("m", b->headers["Almondward-Customer"]);
	EXPECT_EQ("s1", b->headers["Host"]);
	EXPECT_EQ("700", b->headers["Almondward-Deadline-Ms"]);
	EXPECT_EQ("text/plain", b->headers["Accept"]);
	EXPECT_EQ("text/plain", b->headers["Content-Type"]);
	EXPECT_EQ(0u, b->headers["Almondward-Request"].find("e1-"));
	for (auto &one : b->headers) {
		EXPECT_EQ(std::string::npos, one.second.find(f.key));
		EXPECT_NE("Authorization", one.first);
		EXPECT_NE("Cookie", one.first);
		EXPECT_NE("X-Other", one.first);
		EXPECT_NE("Connection", one.first);
	}
}

// The key must not be hidden in another part of the request.
TEST(Admission, RefusesMisplacedKeys)
{
	CoreFake f;
	std::string encoded = f.key, all_encoded;
	Headers with_key = { { "Authorization", "Bearer " + f.key } };
	char hex[4];

	encoded.replace(3, 1, "%5F");
	for (char c : f.key) {
		snprintf(hex, sizeof(hex), "%%%02x", c);
		all_encoded += hex;
	}
	f.up();
	for (const std::string &text : { f.key, encoded, all_encoded }) {
		EXPECT_EQ(REFUSAL_KEY_MISPLACED,
			  f.ask("GET", ("/look?k=" + text).c_str(), with_key)
				  .refusal);
		EXPECT_EQ(
			REFUSAL_KEY_MISPLACED,
			f.ask("POST", "/look", with_key, "x=" + text).refusal);
		Headers twice = with_key;
		twice.push_back({ "User-Agent", "a/" + text });
		EXPECT_EQ(REFUSAL_KEY_MISPLACED,
			  f.ask("GET", "/look", twice).refusal);
	}
	EXPECT_EQ(
		REFUSAL_KEY_MISPLACED,
		f.ask("GET", "/open", { { "Authorization", "Basic " + f.key } })
			.refusal);
	EXPECT_EQ(0u, f.backends.size());
	// On open routes a key in its place is dropped, not forwarded.
	f.ask("GET", "/open", with_key);
	ASSERT_EQ(1u, f.backends.size());
	EXPECT_EQ("-", f.last()->headers["Almondward-Customer"]);
}

TEST(Admission, RefusesBeforeAnythingRuns)
{
	CoreFake f;
	Headers auth = { { "Authorization", "Bearer " + f.key } };
	auto check = [&](enum refusal refusal, Caller &caller) {
		EXPECT_TRUE(caller.answered);
		EXPECT_EQ(refusal, caller.refusal) << refusal_name(refusal);
		EXPECT_TRUE(caller.not_run) << refusal_name(refusal);
	};

	check(REFUSAL_NO_LEASE, f.look());
	check(REFUSAL_NO_LEASE, f.ask("GET", "/open", {}));
	EXPECT_EQ(1000u, f.callers.back()->retry_after_ms);
	f.up();
	check(REFUSAL_BAD_REQUEST, f.look("/look/../x"));
	check(REFUSAL_NO_ROUTE, f.look("/other"));
	check(REFUSAL_KEY_MISSING, f.ask("GET", "/look", {}));
	check(REFUSAL_KEY_UNKNOWN,
	      f.ask("GET", "/look", { { "Authorization", "Bearer x" } }));
	check(REFUSAL_KEY_UNKNOWN,
	      f.ask("GET", "/look",
		    { { "Authorization",
			"Bearer aw1_" + std::string(43, 'z') } }));
	check(REFUSAL_BODY_TOO_LARGE,
	      f.ask("POST", "/look", auth, std::string(1001, 'x')));
	check(REFUSAL_IDEMPOTENCY_KEY_MISSING, f.ask("POST", "/order", auth));
	check(REFUSAL_IDEMPOTENCY_KEY_BAD, f.order("a b"));
	check(REFUSAL_IDEMPOTENCY_KEY_BAD,
	      f.order(std::string(129, 'x').c_str()));
	check(REFUSAL_NO_SERVER, f.ask("GET", "/empty", {}));
	Headers late = auth, bad = auth;
	late.push_back({ "Almondward-Deadline-Ms", "0" });
	bad.push_back({ "Almondward-Deadline-Ms", "-5" });
	check(REFUSAL_DEADLINE, f.ask("GET", "/look", late));
	check(REFUSAL_BAD_REQUEST, f.ask("GET", "/look", bad));
	f.key_record->withdrawn = 1;
	f.state_version = 2;
	f.a.pass(500);
	f.a.grant(f.usual());
	check(REFUSAL_KEY_WITHDRAWN, f.look());
	EXPECT_EQ(0u, f.backends.size());
	EXPECT_EQ(0u, core_active(f.core));
}

// A caller must not reach what almondward itself sends to backend servers: a
// forwarded cancellation would stop the work of another caller.
TEST(Admission, NeverForwardsReservedTargets)
{
	CoreFake f;

	f.a.fake.route("all", "/", "u", true);
	f.up();
	for (const char *target :
	     { "/almondward/cancel/e1-1.1", "/almondward", "/almondward/",
	       "/AlmondWard/cancel/e1-1.1", "/almondward;a=b/cancel/e1-1.1",
	       "/almondward%20/cancel/e1-1.1", "/almondward?x=1" }) {
		Caller &caller = f.ask("POST", target, {});
		EXPECT_EQ(REFUSAL_NO_ROUTE, caller.refusal) << target;
		EXPECT_TRUE(caller.not_run) << target;
	}
	EXPECT_EQ(0u, f.backends.size());
	f.ask("GET", "/almondwards/1", {});
	EXPECT_EQ(1u, f.backends.size());
}

// A request waits for tokens only until the leader has refused or the
// admission wait is over; the answer then names the time to come back.
TEST(Admission, WaitsForTokensAndAnswersAtOnceWhenRefused)
{
	CoreFake f;

	f.up(4, 0);
	Caller &served = f.look();
	EXPECT_FALSE(served.answered);
	f.pass(10);
	ASSERT_EQ(1u, f.a.report()->n_tokens);
	EXPECT_EQ(1u, f.a.report()->tokens[0]->wanted);
	AgentFake::GrantParts one;
	one.token("m", 1);
	f.a.grant(one);
	EXPECT_EQ(1u, f.backends.size());
	Caller &refused = f.look();
	f.pass(10);
	AgentFake::GrantParts none;
	none.token("m", 0, 270);
	f.a.grant(none);
	EXPECT_EQ(REFUSAL_RATE, refused.refusal);
	EXPECT_EQ(270u, refused.retry_after_ms);
	EXPECT_TRUE(refused.not_run);
	Caller &again = f.look();
	EXPECT_EQ(REFUSAL_RATE, again.refusal);
	f.pass(300);
	Caller &unknown = f.look();
	f.pass(490);
	EXPECT_FALSE(unknown.answered);
	f.pass(10);
	EXPECT_EQ(REFUSAL_RATE_UNKNOWN, unknown.refusal);
	EXPECT_GT(unknown.retry_after_ms, 0u);
}

// A short refusal, as after a change of the leader, must not cost a customer
// within its rate an answer. No more than a quarter of a second's requests wait
// for it, so a customer above its rate is still refused at once.
TEST(Admission, WaitsOutShortRefusalsWithinBounds)
{
	CoreFake f;
	AgentFake::GrantParts refused, two, too_long;

	refused.token("m", 0, 200);
	refused.token("big", 1);
	two.token("m", 2);
	too_long.token("m", 0, 251);
	f.customer_record->rate_per_s = 8;
	f.up(4, 0);
	Caller &first = f.look();
	Caller &second = f.look();
	Caller &third = f.look();
	f.pass(10);
	f.a.grant(refused);
	EXPECT_FALSE(first.answered || second.answered);
	EXPECT_EQ(REFUSAL_RATE, third.refusal);
	EXPECT_EQ(200u, third.retry_after_ms);
	EXPECT_EQ(REFUSAL_RATE, f.look().refusal);
	// Another customer is not held back.
	f.ask("GET", "/look/1",
	      { { "Authorization", "Bearer " + f.other_key } });
	EXPECT_EQ(1u, f.backends.size());
	// The refusal is over, but those that wait have not been served yet.
	f.pass(210);
	Caller &fourth = f.look();
	EXPECT_EQ(REFUSAL_RATE, fourth.refusal);
	EXPECT_GE(fourth.retry_after_ms, 250u);
	f.a.grant(two);
	EXPECT_EQ(3u, f.backends.size());
	Caller &fifth = f.look();
	f.pass(10);
	f.a.grant(too_long);
	EXPECT_EQ(REFUSAL_RATE, fifth.refusal);
	EXPECT_EQ(251u, fifth.retry_after_ms);
}

// A request must not wait for a token that comes after its deadline.
TEST(Admission, ShortRefusalBeyondTheDeadlineIsAnsweredAtOnce)
{
	CoreFake f;
	AgentFake::GrantParts refused;
	Headers headers = { { "Authorization", "Bearer " + f.key },
			    { "Almondward-Deadline-Ms", "150" } };

	refused.token("m", 0, 200);
	f.up(4, 0);
	Caller &waits = f.look();
	Caller &late = f.ask("GET", "/look", headers);
	f.pass(10);
	f.a.grant(refused);
	EXPECT_FALSE(waits.answered);
	EXPECT_EQ(REFUSAL_RATE, late.refusal);
	EXPECT_EQ(200u, late.retry_after_ms);
	// Without an answer it is refused for the rate, which is what is known.
	f.pass(500);
	EXPECT_EQ(REFUSAL_RATE, waits.refusal);
	EXPECT_GT(waits.retry_after_ms, 0u);
}

// Lease, key, route and claim can change between admission and the first
// byte; then no byte may leave and the answer says "not run".
TEST(Dispatch, ChecksAgainJustBeforeTheFirstByte)
{
	{
		CoreFake f;
		f.up();
		Caller &caller = f.look();
		clk_advance_ms(f.a.clk, FLEET_LEASE_MS);
		EXPECT_FALSE(f.let_send(f.last()));
		EXPECT_EQ(REFUSAL_NO_LEASE, caller.refusal);
		EXPECT_TRUE(caller.not_run);
	}
	{
		CoreFake f;
		f.up();
		Caller &caller = f.look();
		f.a.pass(500);
		f.key_record->withdrawn = 1;
		f.state_version = 2;
		f.a.grant(f.usual());
		EXPECT_FALSE(f.let_send(f.last()));
		EXPECT_EQ(REFUSAL_KEY_WITHDRAWN, caller.refusal);
		EXPECT_TRUE(caller.not_run);
	}
	{
		CoreFake f;
		f.up();
		Caller &caller = f.look();
		f.a.pass(500);
		f.a.fake.route("deeper", "/look/1", "u", false);
		f.state_version = 2;
		f.a.grant(f.usual());
		EXPECT_FALSE(f.let_send(f.last()));
		EXPECT_EQ(REFUSAL_NO_ROUTE, caller.refusal);
	}
	{
		CoreFake f;
		f.up();
		f.look();
		agent_leave(f.a.agent, "s1", 1, 2);
		EXPECT_FALSE(f.let_send(f.last()));
		EXPECT_EQ("s2", f.last()->address);
		EXPECT_TRUE(f.let_send(f.last()));
	}
	{
		CoreFake f;
		f.up(0);
		Caller &caller = f.order();
		f.pass_leased(100);
		f.claim_result(AW__OP_CODE__OP_CLAIM_GRANTED);
		EXPECT_EQ(1u, f.backends.size());
		// The lease is kept, so only the age of the claim counts.
		for (int i = 0; i < 10; i++) {
			clk_advance_ms(f.a.clk, 500);
			agent_tick(f.a.agent);
			f.a.grant(f.usual());
		}
		EXPECT_FALSE(f.let_send(f.last()));
		EXPECT_EQ(REFUSAL_CLAIM_UNAVAILABLE, caller.refusal);
		EXPECT_TRUE(caller.not_run);
		EXPECT_NE(nullptr, f.op(AW__OP__BODY_CLAIM_RELEASE));
	}
}

// Results of an attempt: what the caller is told, whether it is retried, and
// "not run" exactly if no byte left.
TEST(Dispatch, OutcomeTable)
{
	const struct {
		bool sent;
		enum http_result result;
		bool retried; /* idempotent */
		enum refusal refusal; /* non-idempotent */
	} table[] = {
		{ false, HTTP_CONNECT_FAILED, true, REFUSAL_CONNECT },
		{ false, HTTP_CLOSED, true, REFUSAL_CONNECT },
		{ true, HTTP_MALFORMED, true, REFUSAL_ANSWER_MALFORMED },
		{ true, HTTP_TOO_LARGE, false, REFUSAL_ANSWER_TOO_LARGE },
		{ true, HTTP_TIMEOUT, false, REFUSAL_DEADLINE },
		{ true, HTTP_MEMORY, false, REFUSAL_MEMORY },
		{ true, HTTP_CLOSED, true, REFUSAL_SERVER_LOST },
		{ true, HTTP_INCOMPLETE, true, REFUSAL_ANSWER_CUT },
	};

	for (auto &row : table) {
		CoreFake f;
		f.up();
		Caller &caller = f.look();
		if (row.sent) {
			EXPECT_TRUE(f.let_send(f.last()));
		}
		f.end(f.last(), row.result);
		bool crashed = row.refusal == REFUSAL_SERVER_LOST ||
			       row.refusal == REFUSAL_ANSWER_CUT;
		if (crashed) {
			// First the leader decides about the crash.
			EXPECT_EQ(1u, f.backends.size());
			f.pass(10);
			ASSERT_EQ(1u, f.a.report()->n_crashes);
			f.a.grant(f.usual());
			f.pass(10);
		}
		EXPECT_EQ(row.retried ? 2u : 1u,
			  f.backends.size() - (f.cancel() != nullptr))
			<< row.result;
		EXPECT_EQ(!row.retried, caller.answered) << row.result;
		if (row.retried) {
			EXPECT_EQ("s2", f.last()->address);
			f.let_send(f.last());
			f.end(f.last(), HTTP_OK);
			EXPECT_EQ(200u, caller.status);
		} else {
			EXPECT_EQ(row.refusal, caller.refusal);
			EXPECT_FALSE(caller.not_run);
		}
	}
	for (auto &row : table) {
		CoreFake f;
		f.up();
		Caller &caller = f.order();
		f.claim_result(AW__OP_CODE__OP_CLAIM_GRANTED);
		EXPECT_TRUE(f.last()->call.fresh);
		if (row.sent) {
			EXPECT_TRUE(f.let_send(f.last()));
		}
		f.end(f.last(), row.result);
		f.pass(10);
		if (row.sent) {
			// At most once: nothing after the first byte.
			EXPECT_EQ(row.refusal, caller.refusal);
			EXPECT_FALSE(caller.not_run);
			EXPECT_EQ(nullptr, f.op(AW__OP__BODY_CLAIM_RELEASE));
			EXPECT_EQ(nullptr, f.op(AW__OP__BODY_CLAIM_FINISH));
			EXPECT_EQ(1u,
				  f.backends.size() - (f.cancel() != nullptr));
			continue;
		}
		// Attempts of which no byte left are bounded, not endless.
		size_t ended = 1;
		for (int i = 0; i < 100 && !caller.answered; i++) {
			if (f.backends.size() > ended) {
				ended = f.backends.size();
				f.end(f.last(), row.result);
			}
			f.pass(10);
		}
		EXPECT_LE(ended, 8u);
		EXPECT_EQ(row.refusal, caller.refusal);
		EXPECT_TRUE(caller.not_run);
		EXPECT_NE(nullptr, f.op(AW__OP__BODY_CLAIM_RELEASE));
	}
}

// Seen with real processes: the slots of this instance were all at one server;
// when that died, the retry went to it again and the caller got 502 connect.
TEST(Dispatch, RetryWaitsForSlotsAtAnotherServer)
{
	for (bool granted : { true, false }) {
		CoreFake f;
		f.a.lead();
		AgentFake::GrantParts parts = f.usual(0);
		parts.slot("s1", 1, 7);
		f.a.grant(parts);
		Caller &caller = f.look();
		f.end(f.last(), HTTP_CONNECT_FAILED);
		EXPECT_FALSE(caller.answered);
		EXPECT_EQ(1u, f.backends.size());
		// The free slots of the failing server count as demand, in
		// addition to the peak of one.
		f.pass(10);
		ASSERT_EQ(1u, f.a.report()->n_demands);
		EXPECT_EQ(8u, f.a.report()->demands[0]->in_use);
		EXPECT_EQ(1u, f.a.report()->demands[0]->queued);
		// Others avoid the failing server as well.
		f.look();
		EXPECT_EQ(1u, f.backends.size());
		if (granted) {
			AgentFake::GrantParts more;
			more.slot("s2", 1, 2);
			f.a.grant(more);
			EXPECT_EQ(3u, f.backends.size());
			EXPECT_EQ("s2", f.last()->address);
			continue;
		}
		// Without other slots the server is tried again in the end.
		f.pass(470);
		EXPECT_EQ(1u, f.backends.size());
		f.pass(60);
		EXPECT_EQ(3u, f.backends.size());
		EXPECT_EQ("s1", f.last()->address);
	}
}

// Late or crossed responses must not reach the caller.
TEST(Dispatch, RefusesCrossedResponses)
{
	for (const char *echo : { "", "e1-0000000000000000.1" }) {
		CoreFake f;
		f.up();
		Caller &caller = f.look();
		f.let_send(f.last());
		EXPECT_FALSE(f.end(f.last(), HTTP_OK, 200, "x", {}, echo));
		EXPECT_EQ(REFUSAL_ANSWER_CROSSED, caller.refusal);
		EXPECT_FALSE(caller.not_run);
	}
}

// The caller gets the response without hop-by-hop and internal headers; load
// shedding is passed on and never retried.
TEST(Dispatch, PassesResponsesOn)
{
	CoreFake f;

	f.up();
	Caller &caller = f.look();
	f.let_send(f.last());
	EXPECT_TRUE(f.end(f.last(), HTTP_OK, 503, "busy",
			  { { "Connection", "X-Hop" },
			    { "X-Hop", "1" },
			    { "Almondward-Not-Run", "1" },
			    { "Retry-After", "2" },
			    { "Content-Type", "text/plain" } }));
	EXPECT_EQ(503u, caller.status);
	EXPECT_EQ("busy", caller.answer);
	EXPECT_EQ("2", caller.answer_headers["Retry-After"]);
	EXPECT_EQ(1u, caller.answer_headers.count("Almondward-Request-Id"));
	for (const char *name : { "Connection", "X-Hop", "Almondward-Not-Run",
				  "Almondward-Request" })
		EXPECT_EQ(0u, caller.answer_headers.count(name)) << name;
	EXPECT_EQ(1u, f.backends.size());
	// Others are used until its Retry-After.
	f.look();
	EXPECT_EQ("s2", f.last()->address);
}

TEST(Claim, ResultTable)
{
	const struct {
		Aw__OpCode code;
		enum refusal refusal;
		bool not_run;
	} table[] = {
		{ AW__OP_CODE__OP_CLAIM_FINISHED, REFUSAL_CLAIM_IN_DOUBT,
		  false },
		{ AW__OP_CODE__OP_CLAIM_IN_DOUBT, REFUSAL_CLAIM_IN_DOUBT,
		  false },
		{ AW__OP_CODE__OP_CLAIM_MISMATCH, REFUSAL_CLAIM_MISMATCH,
		  true },
		{ AW__OP_CODE__OP_CLAIM_RELEASED, REFUSAL_CLAIM_UNAVAILABLE,
		  true },
	};

	for (auto &row : table) {
		CoreFake f;
		f.up();
		Caller &caller = f.order();
		f.claim_result(row.code);
		EXPECT_EQ(row.refusal, caller.refusal);
		EXPECT_EQ(row.not_run, caller.not_run);
		EXPECT_EQ(0u, f.backends.size());
		// The claim belongs to another request.
		EXPECT_EQ(nullptr, f.op(AW__OP__BODY_CLAIM_RELEASE));
	}
}

// A claim whose outcome is unknown must be released, or the caller's key
// stays blocked though nothing ran.
TEST(Claim, IsReleasedWhenNothingLeft)
{
	for (bool abandoned : { false, true }) {
		CoreFake f;
		f.up();
		Caller &caller = f.order();
		std::string id = f.op(AW__OP__BODY_CLAIM)->claim->request_id;
		if (abandoned) {
			caller.abort(caller.abort_arg);
		} else {
			for (int i = 0; i < 10; i++)
				f.pass_leased(500);
			EXPECT_EQ(REFUSAL_CLAIM_UNAVAILABLE, caller.refusal);
			EXPECT_TRUE(caller.not_run);
		}
		ASSERT_NE(nullptr, f.op(AW__OP__BODY_CLAIM_RELEASE));
		EXPECT_EQ(id, f.op(AW__OP__BODY_CLAIM_RELEASE)
				      ->claim_release->request_id);
	}
}

// With a full disk the caller is told at once, not at its deadline.
TEST(Claim, RefusalByTheLeaderIsAnsweredAtOnce)
{
	CoreFake f;
	uint64_t call = 0;

	f.up();
	Caller &caller = f.order();
	ASSERT_NE(nullptr, f.op(AW__OP__BODY_CLAIM, &call));
	f.a.reply(call, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
	EXPECT_EQ(REFUSAL_CLAIM_UNAVAILABLE, caller.refusal);
	EXPECT_TRUE(caller.not_run);
	EXPECT_EQ(1000u, caller.retry_after_ms);
}

TEST(Claim, FinishStoresSmallResponses)
{
	for (size_t size : { 8192, 8193 }) {
		CoreFake f;
		f.up();
		Caller &caller = f.order();
		f.claim_result(AW__OP_CODE__OP_CLAIM_GRANTED);
		f.let_send(f.last());
		f.end(f.last(), HTTP_OK, 201, std::string(size, 'x'),
		      { { "Content-Type", "a/b" } });
		EXPECT_EQ(201u, caller.status);
		Aw__OpClaimFinish *finish =
			f.op(AW__OP__BODY_CLAIM_FINISH)->claim_finish;
		EXPECT_EQ(201u, finish->status);
		EXPECT_STREQ("a/b", finish->content_type);
		EXPECT_EQ(size == 8192, (bool)finish->answer_kept);
		EXPECT_EQ(size == 8192 ? size : 0, finish->answer.len);
	}
}

// A slot is busy until the server has confirmed the cancellation or the
// deadline has passed; else a server would get more work than its slots.
TEST(Dispatch, CancelledWorkKeepsItsSlot)
{
	for (bool confirmed : { true, false }) {
		CoreFake f;
		uint32_t held, used;
		f.up();
		Caller &caller = f.look();
		struct backend *first = f.last();
		f.let_send(first);
		std::string value = first->headers["Almondward-Request"];
		caller.abort(caller.abort_arg);
		EXPECT_TRUE(first->closed);
		ASSERT_NE(nullptr, f.cancel());
		EXPECT_EQ("/almondward/cancel/" + value, f.cancel()->target);
		EXPECT_EQ("s1", f.cancel()->address);
		agent_slot_count(f.a.agent, "s1", &held, &used);
		EXPECT_EQ(1u, used);
		f.cancel()->sent = true;
		f.end(f.cancel(), HTTP_OK, confirmed ? 200 : 404);
		agent_slot_count(f.a.agent, "s1", &held, &used);
		EXPECT_EQ(confirmed ? 0u : 1u, used);
		f.pass_leased(8500);
		EXPECT_EQ(confirmed ? 0u : 1u, core_active(f.core));
		f.pass_leased(500);
		EXPECT_EQ(0u, core_active(f.core));
	}
}

// A response that is still arriving must not be given up as silent.
TEST(Dispatch, ArrivingResponseIsNotTriedElsewhere)
{
	CoreFake f;

	f.up();
	Caller &caller = f.look();
	f.let_send(f.last());
	f.last()->responding = true;
	f.pass_leased(8000);
	ASSERT_EQ(1u, f.backends.size());
	f.end(f.last(), HTTP_OK);
	EXPECT_EQ(200u, caller.status);
	EXPECT_EQ("0", f.counter("retries", "silent"));
}

// Connections that went silent are given up after a third of the deadline.
TEST(Dispatch, SilentAttemptIsTriedElsewhere)
{
	CoreFake f;

	f.up();
	Caller &caller = f.look();
	struct backend *first = f.last();
	f.let_send(first);
	f.pass_leased(2900);
	EXPECT_FALSE(first->closed);
	f.pass_leased(100);
	EXPECT_TRUE(first->closed);
	EXPECT_NE(nullptr, f.cancel());
	ASSERT_EQ("s2", f.last()->address);
	f.let_send(f.last());
	f.end(f.last(), HTTP_OK);
	EXPECT_EQ(200u, caller.status);
	EXPECT_EQ("1", f.counter("retries", "silent"));
	// Without another server the attempt goes on.
	CoreFake alone;
	alone.up();
	agent_leave(alone.a.agent, "s2", 1, 2);
	alone.look();
	alone.let_send(alone.last());
	alone.pass_leased(4000);
	EXPECT_FALSE(alone.last()->closed);
}

// A request that crashes servers must not reach a third one.
TEST(Dispatch, QuarantineStopsTheRetry)
{
	for (bool decided : { true, false }) {
		CoreFake f;
		f.up();
		Caller &caller = f.look();
		f.let_send(f.last());
		f.end(f.last(), HTTP_CLOSED);
		f.pass(10);
		ASSERT_EQ(1u, f.a.report()->n_crashes);
		if (decided) {
			AgentFake::GrantParts parts = f.usual();
			Aw__Quarantine one = AW__QUARANTINE__INIT;
			one.fingerprint = f.a.report()->crashes[0]->fingerprint;
			one.expires_in_ms = QUARANTINE_MS;
			parts.quarantines.push_back(one);
			f.a.grant(parts);
			f.pass(10);
			EXPECT_EQ(REFUSAL_QUARANTINED, caller.refusal);
			EXPECT_FALSE(caller.not_run);
			EXPECT_EQ(REFUSAL_QUARANTINED, f.look().refusal);
			EXPECT_TRUE(f.callers.back()->not_run);
			EXPECT_EQ(1u, f.backends.size());
			continue;
		}
		// Without an answer one more server is risked, not a third.
		f.pass(480);
		EXPECT_EQ(1u, f.backends.size());
		f.pass(10);
		ASSERT_EQ(2u, f.backends.size());
		f.let_send(f.last());
		f.end(f.last(), HTTP_CLOSED);
		EXPECT_EQ(REFUSAL_SERVER_LOST, caller.refusal);
		EXPECT_EQ(2u, f.backends.size());
	}
}

// Waiting is bounded, and who is refused is told at once.
TEST(Queue, PipelineRefusesWhenFullAndWhenLate)
{
	CoreFake f;
	std::vector<Caller *> waiting;

	fake_policy[CFG_QUEUE_MAX] = 3;
	f.up(1);
	f.look();
	f.look();
	EXPECT_EQ(2u, f.backends.size());
	for (int i = 0; i < 4; i++)
		waiting.push_back(&f.look());
	EXPECT_EQ(REFUSAL_QUEUE_FULL, waiting[3]->refusal);
	EXPECT_TRUE(waiting[3]->not_run);
	EXPECT_GT(waiting[3]->retry_after_ms, 0u);
	f.let_send(f.backends[0].get());
	f.end(f.backends[0].get(), HTTP_OK);
	EXPECT_EQ(3u, f.backends.size());
	f.pass_leased(1000);
	for (int i = 1; i < 3; i++) {
		EXPECT_EQ(REFUSAL_QUEUE_TIMEOUT, waiting[i]->refusal);
		EXPECT_TRUE(waiting[i]->not_run);
	}
	EXPECT_FALSE(waiting[0]->answered);
}

// Requests to another region need the policy and the links' tokens.
TEST(Queue, OtherRegionNeedsPolicyAndLinkTokens)
{
	const Aw__BucketKind link = AW__BUCKET_KIND__BUCKET_LINK;

	for (int row = 0; row < 3; row++) {
		CoreFake f;
		fake_policy[CFG_CROSS_REGION] = row > 0;
		f.a.fake.link("r1", "r9");
		f.a.fake.link("r9", "r1");
		AgentFake::GrantParts parts = f.usual(0);
		parts.server("u", "s9", "z9", 1, 1);
		parts.slot("s9", 1, 1);
		if (row == 2) {
			parts.token("r1>r9", 5000, 0, link);
			parts.token("r9>r1", 5000, 0, link);
		}
		f.a.lead();
		f.a.grant(parts);
		Caller &caller = f.look();
		if (row == 2) {
			ASSERT_EQ(1u, f.backends.size());
			f.let_send(f.last());
			f.end(f.last(), HTTP_OK, 200, std::string(6000, 'x'));
			EXPECT_EQ(200u, caller.status);
			// The larger response is charged to later tokens.
			EXPECT_FALSE(agent_take(f.a.agent, link, "r9>r1", 1));
			EXPECT_TRUE(agent_take(f.a.agent, link, "r1>r9", 1));
			continue;
		}
		f.pass(1000);
		EXPECT_EQ(0u, f.backends.size());
		EXPECT_EQ(row ? REFUSAL_LINK_BUDGET : REFUSAL_QUEUE_TIMEOUT,
			  caller.refusal);
		EXPECT_TRUE(caller.not_run);
		// Nobody waits any more, so no link tokens are asked for.
		f.pass_leased(500);
		f.a.clear();
		f.pass_leased(500);
		for (Aw__Frame *frame : f.a.sent) {
			for (size_t i = 0; i < frame->report->n_tokens; i++)
				EXPECT_EQ(0u, frame->report->tokens[i]->wanted);
		}
	}
}

// Failing servers are ejected, but never more than half of them.
TEST(Dispatch, EjectionKeepsTheFloor)
{
	CoreFake f;

	fake_policy[CFG_ATTEMPTS_MAX] = 1;
	f.up(4);
	for (int i = 0; i < 12; i++) {
		f.look();
		f.let_send(f.last());
		f.end(f.last(), HTTP_OK, 500);
	}
	EXPECT_EQ("1", f.counter("ejections", ""));
	EXPECT_NE("0", f.counter("ejections_withheld", ""));
	EXPECT_EQ("12", f.counter("answers", "5xx"));
}

struct Item {
	struct queue_item item = {};
	std::string customer;
};

static bool accept(void *arg, struct queue_item *)
{
	return arg == nullptr;
}

// A customer with many requests must not keep the others waiting.
TEST(Queue, ServesCustomersByWeight)
{
	struct queue *queue = queue_create();
	std::vector<Item> items(90);
	std::map<std::string, int> served;

	for (size_t i = 0; i < items.size(); i++) {
		items[i].customer = i < 40 ? "loud" : i < 80 ? "big" : "small";
		EXPECT_EQ(nullptr, queue_push(queue, &items[i].item,
					      items[i].customer.c_str(),
					      i >= 40 && i < 80 ? 3 : 1, 100));
	}
	for (int i = 0; i < 25; i++)
		served[((Item *)queue_serve(queue, accept, nullptr))
			       ->customer]++;
	EXPECT_EQ(5, served["loud"]);
	EXPECT_EQ(15, served["big"]);
	EXPECT_EQ(5, served["small"]);
	// Refused first: most items in proportion to the weight.
	Item more;
	struct queue_item *victim =
		queue_push(queue, &more.item, "small", 1, 65);
	EXPECT_EQ("loud", ((Item *)victim)->customer);
	EXPECT_EQ(nullptr, queue_serve(queue, accept, queue));
	EXPECT_EQ(65u, queue_length(queue));
	while (queue_serve(queue, accept, nullptr))
		;
	queue_destroy(queue);
}

// Retries must not multiply the load of a failing upstream.
TEST(Budget, AllowsThreeAndTenPercent)
{
	struct budget budget = {};
	uint64_t now_ms = 123456789;

	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(budget_retry(&budget, now_ms));
	EXPECT_FALSE(budget_retry(&budget, now_ms));
	for (int i = 0; i < 100; i++)
		budget_admit(&budget, now_ms + i * 90);
	for (int i = 0; i < 10; i++)
		EXPECT_TRUE(budget_retry(&budget, now_ms + 9000));
	EXPECT_FALSE(budget_retry(&budget, now_ms + 9000));
	EXPECT_TRUE(budget_retry(&budget, now_ms + 30000));
}

// The answer to the caller and the record of decisions must agree and must
// not contain a key.
TEST(Decision, RecordsARefusalWithoutTheKey)
{
	CoreFake f;
	struct buf out = BUF_INIT;

	f.up();
	f.look();
	f.let_send(f.last());
	std::string id = f.last()->headers["Almondward-Request"];
	id.resize(id.size() - 2);
	f.end(f.last(), HTTP_TOO_LARGE);
	ASSERT_EQ(DEC_OK, dec_format(f.decisions, id.c_str(), &out));
	std::string text((char *)out.data, out.len_bytes);
	for (const char *part :
	     { "answer_too_large", "\"not_run\":false", "\"server\":\"s1\"",
	       "farther", "value of the test", "\"customer\":\"m\"" })
		EXPECT_NE(std::string::npos, text.find(part)) << part;
	EXPECT_EQ(std::string::npos, text.find(f.key));
	buf_release(&out);
}
