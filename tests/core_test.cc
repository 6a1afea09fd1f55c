// Tests the request pipeline: admission, claims, queues, attempts, retries and
// the answers to callers.
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

	f.start();
	f.send_request("PUT", "/look/1?q=2", headers, "body");
	ASSERT_EQ(1u, f.backends.size());
	struct backend *b = f.last_call();
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

// A key in any part of the request other than the Authorization header could
// reach a backend server, in plain or percent-encoded form.
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
	f.start();
	for (const std::string &text : { f.key, encoded, all_encoded }) {
		EXPECT_EQ(REFUSAL_KEY_MISPLACED,
			  f.send_request("GET", ("/look?k=" + text).c_str(),
					 with_key)
				  .refusal);
		EXPECT_EQ(REFUSAL_KEY_MISPLACED,
			  f.send_request("POST", "/look", with_key, "x=" + text)
				  .refusal);
		Headers twice = with_key;
		twice.push_back({ "User-Agent", "a/" + text });
		EXPECT_EQ(REFUSAL_KEY_MISPLACED,
			  f.send_request("GET", "/look", twice).refusal);
	}
	EXPECT_EQ(REFUSAL_KEY_MISPLACED,
		  f.send_request("GET", "/open",
				 { { "Authorization", "Basic " + f.key } })
			  .refusal);
	EXPECT_EQ(0u, f.backends.size());
	// On open routes a key in the Authorization header is not forwarded.
	f.send_request("GET", "/open", with_key);
	ASSERT_EQ(1u, f.backends.size());
	EXPECT_EQ("-", f.last_call()->headers["Almondward-Customer"]);
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

	check(REFUSAL_NO_LEASE, f.lookup());
	check(REFUSAL_NO_LEASE, f.send_request("GET", "/open", {}));
	EXPECT_EQ(1000u, f.callers.back()->retry_after_ms);
	f.start();
	check(REFUSAL_BAD_REQUEST, f.lookup("/look/../x"));
	check(REFUSAL_NO_ROUTE, f.lookup("/other"));
	check(REFUSAL_KEY_MISSING, f.send_request("GET", "/look", {}));
	check(REFUSAL_KEY_UNKNOWN,
	      f.send_request("GET", "/look",
			     { { "Authorization", "Bearer x" } }));
	check(REFUSAL_KEY_UNKNOWN,
	      f.send_request("GET", "/look",
			     { { "Authorization",
				 "Bearer aw1_" + std::string(43, 'z') } }));
	check(REFUSAL_BODY_TOO_LARGE,
	      f.send_request("POST", "/look", auth, std::string(1001, 'x')));
	check(REFUSAL_IDEMPOTENCY_KEY_MISSING,
	      f.send_request("POST", "/order", auth));
	check(REFUSAL_IDEMPOTENCY_KEY_BAD, f.order("a b"));
	check(REFUSAL_IDEMPOTENCY_KEY_BAD,
	      f.order(std::string(129, 'x').c_str()));
	check(REFUSAL_NO_SERVER, f.send_request("GET", "/empty", {}));
	Headers late = auth, bad = auth;
	late.push_back({ "Almondward-Deadline-Ms", "0" });
	bad.push_back({ "Almondward-Deadline-Ms", "-5" });
	check(REFUSAL_DEADLINE, f.send_request("GET", "/look", late));
	check(REFUSAL_BAD_REQUEST, f.send_request("GET", "/look", bad));
	f.key_record->withdrawn = 1;
	f.state_version = 2;
	f.agent_fake.pass(500);
	f.agent_fake.grant(f.default_grant());
	check(REFUSAL_KEY_WITHDRAWN, f.lookup());
	EXPECT_EQ(0u, f.backends.size());
	EXPECT_EQ(0u, core_active(f.core));
}

// Callers must not reach the targets that almondward itself uses at backend
// servers: a forwarded cancellation would cancel another caller's request.
TEST(Admission, NeverForwardsReservedTargets)
{
	CoreFake f;

	f.agent_fake.fake.route("all", "/", "u", true);
	f.start();
	for (const char *target :
	     { "/almondward/cancel/e1-1.1", "/almondward", "/almondward/",
	       "/AlmondWard/cancel/e1-1.1", "/almondward;a=b/cancel/e1-1.1",
	       "/almondward%20/cancel/e1-1.1", "/almondward?x=1" }) {
		Caller &caller = f.send_request("POST", target, {});
		EXPECT_EQ(REFUSAL_NO_ROUTE, caller.refusal) << target;
		EXPECT_TRUE(caller.not_run) << target;
	}
	EXPECT_EQ(0u, f.backends.size());
	f.send_request("GET", "/almondwards/1", {});
	EXPECT_EQ(1u, f.backends.size());
}

// A request waits for a token only until the leader refuses it or the admission
// wait expires; the answer then contains the time after which to retry.
TEST(Admission, WaitsForTokensAndAnswersAtOnceWhenRefused)
{
	CoreFake f;

	f.start(4, 0);
	Caller &served = f.lookup();
	EXPECT_FALSE(served.answered);
	f.advance(10);
	ASSERT_EQ(1u, f.agent_fake.report()->n_tokens);
	EXPECT_EQ(1u, f.agent_fake.report()->tokens[0]->wanted);
	AgentFake::GrantParts one;
	one.token("m", 1);
	f.agent_fake.grant(one);
	EXPECT_EQ(1u, f.backends.size());
	Caller &refused = f.lookup();
	f.advance(10);
	AgentFake::GrantParts none;
	none.token("m", 0, 270);
	f.agent_fake.grant(none);
	EXPECT_EQ(REFUSAL_RATE, refused.refusal);
	EXPECT_EQ(270u, refused.retry_after_ms);
	EXPECT_TRUE(refused.not_run);
	Caller &again = f.lookup();
	EXPECT_EQ(REFUSAL_RATE, again.refusal);
	f.advance(300);
	Caller &unknown = f.lookup();
	f.advance(490);
	EXPECT_FALSE(unknown.answered);
	f.advance(10);
	EXPECT_EQ(REFUSAL_RATE_UNKNOWN, unknown.refusal);
	EXPECT_GT(unknown.retry_after_ms, 0u);
}

// After a change of the leader, tokens are refused for a short time; a customer
// within its rate must not get a refusal for that. Only as many requests wait
// as the rate serves in 250 ms, so a customer above its rate is still refused
// immediately.
TEST(Admission, WaitsOutShortRefusalsWithinBounds)
{
	CoreFake f;
	AgentFake::GrantParts refused, two, too_long;

	refused.token("m", 0, 200);
	refused.token("big", 1);
	two.token("m", 2);
	too_long.token("m", 0, 251);
	f.customer_record->rate_per_s = 8;
	f.start(4, 0);
	Caller &first = f.lookup();
	Caller &second = f.lookup();
	Caller &third = f.lookup();
	f.advance(10);
	f.agent_fake.grant(refused);
	EXPECT_FALSE(first.answered || second.answered);
	EXPECT_EQ(REFUSAL_RATE, third.refusal);
	EXPECT_EQ(200u, third.retry_after_ms);
	EXPECT_EQ(REFUSAL_RATE, f.lookup().refusal);
	// Requests of another customer are not delayed.
	f.send_request("GET", "/look/1",
		       { { "Authorization", "Bearer " + f.other_key } });
	EXPECT_EQ(1u, f.backends.size());
	// The refusal has expired, but the waiting requests have no token yet.
	f.advance(210);
	Caller &fourth = f.lookup();
	EXPECT_EQ(REFUSAL_RATE, fourth.refusal);
	EXPECT_GE(fourth.retry_after_ms, 250u);
	f.agent_fake.grant(two);
	EXPECT_EQ(3u, f.backends.size());
	Caller &fifth = f.lookup();
	f.advance(10);
	f.agent_fake.grant(too_long);
	EXPECT_EQ(REFUSAL_RATE, fifth.refusal);
	EXPECT_EQ(251u, fifth.retry_after_ms);
}

// A request must not wait for a token that is due after its deadline.
TEST(Admission, ShortRefusalBeyondTheDeadlineIsAnsweredAtOnce)
{
	CoreFake f;
	AgentFake::GrantParts refused;
	Headers headers = { { "Authorization", "Bearer " + f.key },
			    { "Almondward-Deadline-Ms", "150" } };

	refused.token("m", 0, 200);
	f.start(4, 0);
	Caller &waits = f.lookup();
	Caller &late = f.send_request("GET", "/look", headers);
	f.advance(10);
	f.agent_fake.grant(refused);
	EXPECT_FALSE(waits.answered);
	EXPECT_EQ(REFUSAL_RATE, late.refusal);
	EXPECT_EQ(200u, late.retry_after_ms);
	// Without a further reply of the leader, its refusal is the last known
	// state, so the answer is REFUSAL_RATE.
	f.advance(500);
	EXPECT_EQ(REFUSAL_RATE, waits.refusal);
	EXPECT_GT(waits.retry_after_ms, 0u);
}

// Lease, key, route, server and claim can become invalid between admission and
// the first byte; then no byte may be sent and the answer has not_run set.
TEST(Dispatch, ChecksAgainJustBeforeTheFirstByte)
{
	{
		CoreFake f;
		f.start();
		Caller &caller = f.lookup();
		clk_advance_ms(f.agent_fake.clk, FLEET_LEASE_MS);
		EXPECT_FALSE(f.send_first_byte(f.last_call()));
		EXPECT_EQ(REFUSAL_NO_LEASE, caller.refusal);
		EXPECT_TRUE(caller.not_run);
	}
	{
		CoreFake f;
		f.start();
		Caller &caller = f.lookup();
		f.agent_fake.pass(500);
		f.key_record->withdrawn = 1;
		f.state_version = 2;
		f.agent_fake.grant(f.default_grant());
		EXPECT_FALSE(f.send_first_byte(f.last_call()));
		EXPECT_EQ(REFUSAL_KEY_WITHDRAWN, caller.refusal);
		EXPECT_TRUE(caller.not_run);
	}
	{
		CoreFake f;
		f.start();
		Caller &caller = f.lookup();
		f.agent_fake.pass(500);
		f.agent_fake.fake.route("deeper", "/look/1", "u", false);
		f.state_version = 2;
		f.agent_fake.grant(f.default_grant());
		EXPECT_FALSE(f.send_first_byte(f.last_call()));
		EXPECT_EQ(REFUSAL_NO_ROUTE, caller.refusal);
	}
	{
		CoreFake f;
		f.start();
		f.lookup();
		agent_leave(f.agent_fake.agent, "s1", 1, 2);
		EXPECT_FALSE(f.send_first_byte(f.last_call()));
		EXPECT_EQ("s2", f.last_call()->address);
		EXPECT_TRUE(f.send_first_byte(f.last_call()));
	}
	{
		CoreFake f;
		f.start(0);
		Caller &caller = f.order();
		f.advance_with_lease(100);
		f.reply_to_claim(AW__OP_CODE__OP_CLAIM_GRANTED);
		EXPECT_EQ(1u, f.backends.size());
		// The lease is renewed, so only the age of the claim matters.
		for (int i = 0; i < 10; i++) {
			clk_advance_ms(f.agent_fake.clk, 500);
			agent_tick(f.agent_fake.agent);
			f.agent_fake.grant(f.default_grant());
		}
		EXPECT_FALSE(f.send_first_byte(f.last_call()));
		EXPECT_EQ(REFUSAL_CLAIM_UNAVAILABLE, caller.refusal);
		EXPECT_TRUE(caller.not_run);
		EXPECT_NE(nullptr, f.last_proposal(AW__OP__BODY_CLAIM_RELEASE));
	}
}

// For each outcome of an attempt: the answer, whether the request is retried,
// and that not_run is set if and only if no byte was sent.
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
		f.start();
		Caller &caller = f.lookup();
		if (row.sent) {
			EXPECT_TRUE(f.send_first_byte(f.last_call()));
		}
		f.finish_call(f.last_call(), row.result);
		bool crashed = row.refusal == REFUSAL_SERVER_LOST ||
			       row.refusal == REFUSAL_ANSWER_CUT;
		if (crashed) {
			// The retry waits for the leader's decision.
			EXPECT_EQ(1u, f.backends.size());
			f.advance(10);
			ASSERT_EQ(1u, f.agent_fake.report()->n_crashes);
			f.agent_fake.grant(f.default_grant());
			f.advance(10);
		}
		EXPECT_EQ(row.retried ? 2u : 1u,
			  f.backends.size() - (f.last_cancel() != nullptr))
			<< row.result;
		EXPECT_EQ(!row.retried, caller.answered) << row.result;
		if (row.retried) {
			EXPECT_EQ("s2", f.last_call()->address);
			f.send_first_byte(f.last_call());
			f.finish_call(f.last_call(), HTTP_OK);
			EXPECT_EQ(200u, caller.status);
		} else {
			EXPECT_EQ(row.refusal, caller.refusal);
			EXPECT_FALSE(caller.not_run);
		}
	}
	for (auto &row : table) {
		CoreFake f;
		f.start();
		Caller &caller = f.order();
		f.reply_to_claim(AW__OP_CODE__OP_CLAIM_GRANTED);
		EXPECT_TRUE(f.last_call()->call.new_connection);
		if (row.sent) {
			EXPECT_TRUE(f.send_first_byte(f.last_call()));
		}
		f.finish_call(f.last_call(), row.result);
		f.advance(10);
		if (row.sent) {
			// At most once: no retry after the first byte.
			EXPECT_EQ(row.refusal, caller.refusal);
			EXPECT_FALSE(caller.not_run);
			EXPECT_EQ(nullptr,
				  f.last_proposal(AW__OP__BODY_CLAIM_RELEASE));
			EXPECT_EQ(nullptr,
				  f.last_proposal(AW__OP__BODY_CLAIM_FINISH));
			EXPECT_EQ(1u, f.backends.size() -
					      (f.last_cancel() != nullptr));
			continue;
		}
		// The number of attempts without a byte sent is limited.
		size_t ended = 1;
		for (int i = 0; i < 100 && !caller.answered; i++) {
			if (f.backends.size() > ended) {
				ended = f.backends.size();
				f.finish_call(f.last_call(), row.result);
			}
			f.advance(10);
		}
		EXPECT_LE(ended, 8u);
		EXPECT_EQ(row.refusal, caller.refusal);
		EXPECT_TRUE(caller.not_run);
		EXPECT_NE(nullptr, f.last_proposal(AW__OP__BODY_CLAIM_RELEASE));
	}
}

// An instance may hold slots at one server only. When that server had exited,
// a test with real processes saw the retry go to it again, and the caller got
// 502 connect.
TEST(Dispatch, RetryWaitsForSlotsAtAnotherServer)
{
	for (bool granted : { true, false }) {
		CoreFake f;
		f.agent_fake.lead();
		AgentFake::GrantParts parts = f.default_grant(0);
		parts.slot("s1", 1, 7);
		f.agent_fake.grant(parts);
		Caller &caller = f.lookup();
		f.finish_call(f.last_call(), HTTP_CONNECT_FAILED);
		EXPECT_FALSE(caller.answered);
		EXPECT_EQ(1u, f.backends.size());
		// The free slots of the failing server are reported as in use,
		// in addition to the peak of one.
		f.advance(10);
		ASSERT_EQ(1u, f.agent_fake.report()->n_demands);
		EXPECT_EQ(8u, f.agent_fake.report()->demands[0]->in_use);
		EXPECT_EQ(1u, f.agent_fake.report()->demands[0]->queued);
		// Other requests avoid the failing server as well.
		f.lookup();
		EXPECT_EQ(1u, f.backends.size());
		if (granted) {
			AgentFake::GrantParts more;
			more.slot("s2", 1, 2);
			f.agent_fake.grant(more);
			EXPECT_EQ(3u, f.backends.size());
			EXPECT_EQ("s2", f.last_call()->address);
			continue;
		}
		// Without slots elsewhere it is used as a last resort.
		f.advance(470);
		EXPECT_EQ(1u, f.backends.size());
		f.advance(60);
		EXPECT_EQ(3u, f.backends.size());
		EXPECT_EQ("s1", f.last_call()->address);
	}
}

// A late response to an earlier attempt, one that belongs to another request or
// one without a request id must not reach the caller.
TEST(Dispatch, RefusesCrossedResponses)
{
	for (const char *echo : { "", "e1-0000000000000000.1" }) {
		CoreFake f;
		f.start();
		Caller &caller = f.lookup();
		f.send_first_byte(f.last_call());
		EXPECT_FALSE(f.finish_call(f.last_call(), HTTP_OK, 200, "x", {},
					   echo));
		EXPECT_EQ(REFUSAL_ANSWER_CROSSED, caller.refusal);
		EXPECT_FALSE(caller.not_run);
	}
}

// The caller gets the response without hop-by-hop and internal headers. A
// response that sheds load is forwarded and never retried.
TEST(Dispatch, PassesResponsesOn)
{
	CoreFake f;

	f.start();
	Caller &caller = f.lookup();
	f.send_first_byte(f.last_call());
	EXPECT_TRUE(f.finish_call(f.last_call(), HTTP_OK, 503, "busy",
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
	// Other servers are used until its Retry-After has passed.
	f.lookup();
	EXPECT_EQ("s2", f.last_call()->address);
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
		f.start();
		Caller &caller = f.order();
		f.reply_to_claim(row.code);
		EXPECT_EQ(row.refusal, caller.refusal);
		EXPECT_EQ(row.not_run, caller.not_run);
		EXPECT_EQ(0u, f.backends.size());
		// The claim belongs to another request: it is not released.
		EXPECT_EQ(nullptr, f.last_proposal(AW__OP__BODY_CLAIM_RELEASE));
	}
}

// A claim whose outcome is unknown must be released; otherwise the caller's
// idempotency key stays blocked although no server got the request.
TEST(Claim, IsReleasedWhenNoByteWasSent)
{
	for (bool abandoned : { false, true }) {
		CoreFake f;
		f.start();
		Caller &caller = f.order();
		std::string id =
			f.last_proposal(AW__OP__BODY_CLAIM)->claim->request_id;
		if (abandoned) {
			caller.abort(caller.abort_arg);
		} else {
			for (int i = 0; i < 10; i++)
				f.advance_with_lease(500);
			EXPECT_EQ(REFUSAL_CLAIM_UNAVAILABLE, caller.refusal);
			EXPECT_TRUE(caller.not_run);
		}
		ASSERT_NE(nullptr, f.last_proposal(AW__OP__BODY_CLAIM_RELEASE));
		EXPECT_EQ(id, f.last_proposal(AW__OP__BODY_CLAIM_RELEASE)
				      ->claim_release->request_id);
	}
}

// If the leader refuses the claim, as with a full disk, the caller must get the
// refusal immediately and not at its deadline.
TEST(Claim, RefusalByTheLeaderIsAnsweredAtOnce)
{
	CoreFake f;
	uint64_t call = 0;

	f.start();
	Caller &caller = f.order();
	ASSERT_NE(nullptr, f.last_proposal(AW__OP__BODY_CLAIM, &call));
	f.agent_fake.reply(call, AW__PROPOSE_STATUS__PROPOSE_REFUSED);
	EXPECT_EQ(REFUSAL_CLAIM_UNAVAILABLE, caller.refusal);
	EXPECT_TRUE(caller.not_run);
	EXPECT_EQ(1000u, caller.retry_after_ms);
}

TEST(Claim, FinishStoresSmallResponses)
{
	for (size_t size : { 8192, 8193 }) {
		CoreFake f;
		f.start();
		Caller &caller = f.order();
		f.reply_to_claim(AW__OP_CODE__OP_CLAIM_GRANTED);
		f.send_first_byte(f.last_call());
		f.finish_call(f.last_call(), HTTP_OK, 201,
			      std::string(size, 'x'),
			      { { "Content-Type", "a/b" } });
		EXPECT_EQ(201u, caller.status);
		Aw__OpClaimFinish *finish =
			f.last_proposal(AW__OP__BODY_CLAIM_FINISH)
				->claim_finish;
		EXPECT_EQ(201u, finish->status);
		EXPECT_STREQ("a/b", finish->content_type);
		EXPECT_EQ(size == 8192, (bool)finish->answer_kept);
		EXPECT_EQ(size == 8192 ? size : 0, finish->answer.len);
	}
}

// The slot of a cancelled attempt stays in use until the server has confirmed
// the cancellation or the deadline has passed; otherwise the server could get
// more requests than it has slots.
TEST(Dispatch, CancelledWorkKeepsItsSlot)
{
	for (bool confirmed : { true, false }) {
		CoreFake f;
		uint32_t held, used;
		f.start();
		Caller &caller = f.lookup();
		struct backend *first = f.last_call();
		f.send_first_byte(first);
		std::string value = first->headers["Almondward-Request"];
		caller.abort(caller.abort_arg);
		EXPECT_TRUE(first->closed);
		ASSERT_NE(nullptr, f.last_cancel());
		EXPECT_EQ("/almondward/cancel/" + value,
			  f.last_cancel()->target);
		EXPECT_EQ("s1", f.last_cancel()->address);
		agent_slot_count(f.agent_fake.agent, "s1", &held, &used);
		EXPECT_EQ(1u, used);
		f.last_cancel()->sent = true;
		f.finish_call(f.last_cancel(), HTTP_OK, confirmed ? 200 : 404);
		agent_slot_count(f.agent_fake.agent, "s1", &held, &used);
		EXPECT_EQ(confirmed ? 0u : 1u, used);
		f.advance_with_lease(8500);
		EXPECT_EQ(confirmed ? 0u : 1u, core_active(f.core));
		f.advance_with_lease(500);
		EXPECT_EQ(0u, core_active(f.core));
	}
}

// An attempt whose response has begun to arrive must not be abandoned.
TEST(Dispatch, ArrivingResponseIsNotRetried)
{
	CoreFake f;

	f.start();
	Caller &caller = f.lookup();
	f.send_first_byte(f.last_call());
	f.last_call()->responding = true;
	f.advance_with_lease(8000);
	ASSERT_EQ(1u, f.backends.size());
	f.finish_call(f.last_call(), HTTP_OK);
	EXPECT_EQ(200u, caller.status);
	EXPECT_EQ("0", f.counter("retries", "silent"));
}

// An attempt without a response is abandoned after a third of the deadline, for
// instance because its connection stalled.
TEST(Dispatch, AttemptWithoutResponseIsRetriedElsewhere)
{
	CoreFake f;

	f.start();
	Caller &caller = f.lookup();
	struct backend *first = f.last_call();
	f.send_first_byte(first);
	f.advance_with_lease(2900);
	EXPECT_FALSE(first->closed);
	f.advance_with_lease(100);
	EXPECT_TRUE(first->closed);
	EXPECT_NE(nullptr, f.last_cancel());
	ASSERT_EQ("s2", f.last_call()->address);
	f.send_first_byte(f.last_call());
	f.finish_call(f.last_call(), HTTP_OK);
	EXPECT_EQ(200u, caller.status);
	EXPECT_EQ("1", f.counter("retries", "silent"));
	// Without another server the attempt continues.
	CoreFake alone;
	alone.start();
	agent_leave(alone.agent_fake.agent, "s2", 1, 2);
	alone.lookup();
	alone.send_first_byte(alone.last_call());
	alone.advance_with_lease(4000);
	EXPECT_FALSE(alone.last_call()->closed);
}

// A request that crashes servers must not reach a third one.
TEST(Dispatch, QuarantineStopsTheRetry)
{
	for (bool decided : { true, false }) {
		CoreFake f;
		f.start();
		Caller &caller = f.lookup();
		f.send_first_byte(f.last_call());
		f.finish_call(f.last_call(), HTTP_CLOSED);
		f.advance(10);
		ASSERT_EQ(1u, f.agent_fake.report()->n_crashes);
		if (decided) {
			AgentFake::GrantParts parts = f.default_grant();
			Aw__Quarantine one = AW__QUARANTINE__INIT;
			one.fingerprint =
				f.agent_fake.report()->crashes[0]->fingerprint;
			one.expires_in_ms = QUARANTINE_MS;
			parts.quarantines.push_back(one);
			f.agent_fake.grant(parts);
			f.advance(10);
			EXPECT_EQ(REFUSAL_QUARANTINED, caller.refusal);
			EXPECT_FALSE(caller.not_run);
			EXPECT_EQ(REFUSAL_QUARANTINED, f.lookup().refusal);
			EXPECT_TRUE(f.callers.back()->not_run);
			EXPECT_EQ(1u, f.backends.size());
			continue;
		}
		// Without a decision one more server is used, but no third.
		f.advance(480);
		EXPECT_EQ(1u, f.backends.size());
		f.advance(10);
		ASSERT_EQ(2u, f.backends.size());
		f.send_first_byte(f.last_call());
		f.finish_call(f.last_call(), HTTP_CLOSED);
		EXPECT_EQ(REFUSAL_SERVER_LOST, caller.refusal);
		EXPECT_EQ(2u, f.backends.size());
	}
}

// The queue is limited in length and time, and a request that it refuses is
// answered immediately.
TEST(Queue, RefusesWhenFullAndAfterTheWait)
{
	CoreFake f;
	std::vector<Caller *> waiting;

	fake_policy[CFG_QUEUE_MAX] = 3;
	f.start(1);
	f.lookup();
	f.lookup();
	EXPECT_EQ(2u, f.backends.size());
	for (int i = 0; i < 4; i++)
		waiting.push_back(&f.lookup());
	EXPECT_EQ(REFUSAL_QUEUE_FULL, waiting[3]->refusal);
	EXPECT_TRUE(waiting[3]->not_run);
	EXPECT_GT(waiting[3]->retry_after_ms, 0u);
	f.send_first_byte(f.backends[0].get());
	f.finish_call(f.backends[0].get(), HTTP_OK);
	EXPECT_EQ(3u, f.backends.size());
	f.advance_with_lease(1000);
	for (int i = 1; i < 3; i++) {
		EXPECT_EQ(REFUSAL_QUEUE_TIMEOUT, waiting[i]->refusal);
		EXPECT_TRUE(waiting[i]->not_run);
	}
	EXPECT_FALSE(waiting[0]->answered);
}

// Requests go to another region only with the policy and with link tokens.
TEST(Queue, OtherRegionNeedsPolicyAndLinkTokens)
{
	const Aw__BucketKind link = AW__BUCKET_KIND__BUCKET_LINK;

	for (int row = 0; row < 3; row++) {
		CoreFake f;
		fake_policy[CFG_CROSS_REGION] = row > 0;
		f.agent_fake.fake.link("r1", "r9");
		f.agent_fake.fake.link("r9", "r1");
		AgentFake::GrantParts parts = f.default_grant(0);
		parts.server("u", "s9", "z9", 1, 1);
		parts.slot("s9", 1, 1);
		if (row == 2) {
			parts.token("r1>r9", 5000, 0, link);
			parts.token("r9>r1", 5000, 0, link);
		}
		f.agent_fake.lead();
		f.agent_fake.grant(parts);
		Caller &caller = f.lookup();
		if (row == 2) {
			ASSERT_EQ(1u, f.backends.size());
			f.send_first_byte(f.last_call());
			f.finish_call(f.last_call(), HTTP_OK, 200,
				      std::string(6000, 'x'));
			EXPECT_EQ(200u, caller.status);
			// The excess of the response over the estimate is
			// charged to later tokens.
			EXPECT_FALSE(agent_take_tokens(f.agent_fake.agent, link,
						       "r9>r1", 1));
			EXPECT_TRUE(agent_take_tokens(f.agent_fake.agent, link,
						      "r1>r9", 1));
			continue;
		}
		f.advance(1000);
		EXPECT_EQ(0u, f.backends.size());
		EXPECT_EQ(row ? REFUSAL_LINK_BUDGET : REFUSAL_QUEUE_TIMEOUT,
			  caller.refusal);
		EXPECT_TRUE(caller.not_run);
		// No request waits any more, so no link tokens are requested.
		f.advance_with_lease(500);
		f.agent_fake.clear();
		f.advance_with_lease(500);
		for (Aw__Frame *frame : f.agent_fake.sent) {
			for (size_t i = 0; i < frame->report->n_tokens; i++)
				EXPECT_EQ(0u, frame->report->tokens[i]->wanted);
		}
	}
}

// Failing servers are ejected, but never more than half of them.
TEST(Dispatch, EjectsAtMostHalfOfTheServers)
{
	CoreFake f;

	fake_policy[CFG_ATTEMPTS_MAX] = 1;
	f.start(4);
	for (int i = 0; i < 12; i++) {
		f.lookup();
		f.send_first_byte(f.last_call());
		f.finish_call(f.last_call(), HTTP_OK, 500);
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

// A customer with many requests must not delay the others.
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
	// The customer with the most items per weight is refused first.
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

// A customer whose weight was raised waited until the others had been served as
// often as one item had cost by the weight before.
TEST(Queue, RaisedWeightCountsAtOnce)
{
	struct queue *queue = queue_create();
	std::vector<Item> items(90);
	int served = 0;

	for (size_t i = 0; i < 80; i++) {
		items[i].customer = i < 40 ? "raised" : "other";
		EXPECT_EQ(nullptr, queue_push(queue, &items[i].item,
					      items[i].customer.c_str(),
					      i < 40 ? 1 : 1000, 100));
	}
	for (int i = 0; i < 4; i++)
		queue_serve(queue, accept, nullptr);
	items[80].customer = "raised";
	EXPECT_EQ(nullptr,
		  queue_push(queue, &items[80].item, "raised", 1000, 100));
	for (int i = 0; i < 20; i++)
		served += ((Item *)queue_serve(queue, accept, nullptr))
				  ->customer == "raised";
	EXPECT_GE(served, 9);
	EXPECT_LE(served, 11);
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

// The decision record must agree with the answer to the caller and must not
// contain a key.
TEST(Decision, RecordsARefusalWithoutTheKey)
{
	CoreFake f;
	struct buf out = BUF_INIT;

	f.start();
	f.lookup();
	f.send_first_byte(f.last_call());
	std::string id = f.last_call()->headers["Almondward-Request"];
	id.resize(id.size() - 2);
	f.finish_call(f.last_call(), HTTP_TOO_LARGE);
	ASSERT_EQ(DEC_OK, dec_format(f.decisions, id.c_str(), &out));
	std::string text((char *)out.data, out.len_bytes);
	for (const char *part :
	     { "answer_too_large", "\"not_run\":false", "\"server\":\"s1\"",
	       "farther", "value of the test", "\"customer\":\"m\"" })
		EXPECT_NE(std::string::npos, text.find(part)) << part;
	EXPECT_EQ(std::string::npos, text.find(f.key));
	buf_release(&out);
}
