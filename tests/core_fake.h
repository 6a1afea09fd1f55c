/*
 * Runs the request pipeline with an agent on a paused clock; the test takes the
 * part of the leader, the callers and the backend servers.
 */
#ifndef CORE_FAKE_H
#define CORE_FAKE_H

#include <map>
#include <memory>

#include <strings.h>

#include "agent_fake.h"
#include "config_fake.h"
#include "entry_core.h"

WEAK const char *http_header_value(const struct http_header *headers,
				   size_t nr_headers, const char *name)
{
	for (size_t i = 0; i < nr_headers; i++) {
		if (!strcasecmp(headers[i].name, name))
			return headers[i].value;
	}
	return nullptr;
}

typedef std::vector<std::pair<std::string, std::string>> Headers;

struct Caller {
	std::string method, target, body;
	Headers headers;
	std::vector<struct http_header> list;
	struct http_request request;
	void (*abort)(void *arg) = nullptr;
	void *abort_arg = nullptr;

	bool answered = false;
	enum refusal refusal = REFUSAL_NONE;
	bool not_run = false;
	uint32_t retry_after_ms = 0;
	uint32_t status = 0;
	std::string answer;
	std::map<std::string, std::string> answer_headers;
};

struct backend {
	struct backend_call call;
	std::string address, target, method, body;
	std::map<std::string, std::string> headers;
	bool sent = false, closed = false, finished = false;
	bool responding = false; // a byte of the response has arrived

	bool is_cancel() const
	{
		return target.rfind("/almondward/cancel/", 0) == 0;
	}
};

class CoreFake
{
	static CoreFake *self(void *arg)
	{
		return (CoreFake *)arg;
	}

	static void respond(void *, struct http_exchange *exchange,
			    const struct http_response *response)
	{
		Caller *caller = (Caller *)exchange;

		EXPECT_FALSE(caller->answered);
		caller->answered = true;
		caller->status = response->status;
		caller->answer.assign((const char *)response->body,
				      response->body_bytes);
		for (size_t i = 0; i < response->nr_headers; i++)
			caller->answer_headers[response->headers[i].name] =
				response->headers[i].value;
	}

	static void refuse(void *, struct http_exchange *exchange,
			   enum refusal refusal, const char *, const char *,
			   bool not_run, uint32_t retry_after_ms)
	{
		Caller *caller = (Caller *)exchange;

		EXPECT_FALSE(caller->answered);
		caller->answered = true;
		caller->refusal = refusal;
		caller->not_run = not_run;
		caller->retry_after_ms = retry_after_ms;
		caller->status = refusal_status(refusal);
	}

	static void on_abort(void *, struct http_exchange *exchange,
			     void (*fn)(void *arg), void *fn_arg)
	{
		Caller *caller = (Caller *)exchange;

		caller->abort = fn;
		caller->abort_arg = fn_arg;
	}

	static struct backend *send(void *arg, const struct backend_call *call)
	{
		CoreFake *fake = self(arg);

		if (fake->refuse_send)
			return nullptr;
		fake->backends.emplace_back(new struct backend);
		struct backend *made = fake->backends.back().get();
		made->call = *call;
		made->address = call->address;
		made->target = call->http.target;
		made->method = call->http.method;
		made->body.assign((const char *)call->http.body,
				  call->http.body_bytes);
		for (size_t i = 0; i < call->http.nr_headers; i++)
			made->headers[call->http.headers[i].name] =
				call->http.headers[i].value;
		return made;
	}

	static void abort(void *, struct backend *backend)
	{
		backend->closed = true;
	}

	static bool responding(void *, const struct backend *backend)
	{
		return backend->responding;
	}

public:
	AgentFake agent_fake;
	struct dec_ring *decisions = dec_create(100);
	struct core *core;
	std::vector<std::unique_ptr<struct backend>> backends;
	std::vector<std::unique_ptr<Caller>> callers;
	bool refuse_send = false;
	const std::string key = "aw1_" + std::string(43, 'k');
	const std::string other_key = "aw1_" + std::string(43, 'o');
	Aw__Key *key_record;
	Aw__Customer *customer_record;
	uint64_t state_version = 1;

	CoreFake()
	{
		static const uint64_t policy[CFG_SETTING_COUNT] = {
			9000,	 500, 1000, 8,	 3, 0,	 1000,
			1 << 20, 10,  50,   100, 3, 5000
		};
		struct core_settings settings = { "e1",
						  "z1",
						  agent_fake.agent,
						  agent_fake.clk,
						  agent_fake.counters,
						  decisions };
		struct core_io io = { respond, refuse, on_abort,
				      send,    abort,  responding };

		memcpy(fake_policy, policy, sizeof(policy));
		core = core_create(&settings, &io, this);
		agent_fake.on_changed = [this] { core_state_changed(core); };
		agent_fake.fake.zone("z1", "r1");
		agent_fake.fake.zone("z2", "r1");
		agent_fake.fake.zone("z9", "r9");
		customer_record = agent_fake.fake.customer("m", 1);
		agent_fake.fake.customer("big", 3);
		key_record = agent_fake.fake.key("k1", "m", key);
		agent_fake.fake.key("k2", "big", other_key);
		agent_fake.fake.route("look", "/look", "u", false);
		agent_fake.fake.route("order", "/order", "u", false, false);
		agent_fake.fake.route("open", "/open", "u", true);
		agent_fake.fake.route("empty", "/empty", "none", true);
	}

	~CoreFake()
	{
		core_destroy(core);
		dec_destroy(decisions);
	}

	// A Grant with the state, servers s1 and s2 with the given number of
	// slots each, and tokens for both customers.
	AgentFake::GrantParts default_grant(uint32_t slots = 1,
					    uint64_t tokens = 50)
	{
		AgentFake::GrantParts parts;

		parts.state_version = state_version;
		parts.with_state = true;
		parts.table_version = 1;
		parts.server("u", "s1", "z1", 1, 1);
		parts.server("u", "s2", "z2", 1, 1);
		if (slots) {
			parts.slot("s1", 1, slots);
			parts.slot("s2", 1, slots);
		}
		if (tokens) {
			parts.token("m", tokens);
			parts.token("big", tokens);
		}
		return parts;
	}

	// Elects a leader and applies default_grant().
	void start(uint32_t slots = 1, uint64_t tokens = 50)
	{
		agent_fake.lead();
		agent_fake.grant(default_grant(slots, tokens));
	}

	// Advances the clock in steps of 10 ms with a tick after each.
	void advance(uint64_t ms)
	{
		for (; ms; ms -= std::min<uint64_t>(ms, 10)) {
			clk_advance_ms(agent_fake.clk,
				       std::min<uint64_t>(ms, 10));
			agent_tick(agent_fake.agent);
			core_tick(core);
		}
	}

	// Like advance(), with a Grant every 500 ms that renews the lease.
	void advance_with_lease(uint64_t ms)
	{
		for (uint64_t done = 0; done < ms; done += 500) {
			advance(std::min<uint64_t>(ms - done, 500));
			agent_report_soon(agent_fake.agent);
			agent_tick(agent_fake.agent);
			agent_fake.grant(default_grant());
		}
	}

	Caller &send_request(const char *method, const char *target,
			     Headers headers, const std::string &body = "")
	{
		callers.emplace_back(new Caller);
		Caller &caller = *callers.back();

		caller.method = method;
		caller.target = target;
		caller.body = body;
		caller.headers = headers;
		for (auto &one : caller.headers)
			caller.list.push_back(
				{ one.first.c_str(), one.second.c_str() });
		caller.request = { caller.method.c_str(),
				   caller.target.c_str(),
				   caller.list.data(),
				   caller.list.size(),
				   (const uint8_t *)caller.body.data(),
				   caller.body.size(),
				   "127.0.0.1:5",
				   clk_now_ms(agent_fake.clk) };
		core_start(core, (struct http_exchange *)&caller,
			   &caller.request);
		return caller;
	}

	// Starts an idempotent request.
	Caller &lookup(const char *target = "/look/1")
	{
		return send_request("GET", target,
				    { { "Authorization", "Bearer " + key } });
	}

	// Starts a non-idempotent request.
	Caller &order(const char *id = "id1", const std::string &body = "{}")
	{
		return send_request("POST", "/order",
				    { { "Authorization", "Bearer " + key },
				      { "Idempotency-Key", id } },
				    body);
	}

	// Returns the newest backend call that is not a cancellation.
	struct backend *last_call()
	{
		for (size_t i = backends.size(); i--;) {
			if (!backends[i]->is_cancel())
				return backends[i].get();
		}
		return nullptr;
	}

	// Returns the newest cancellation.
	struct backend *last_cancel()
	{
		for (size_t i = backends.size(); i--;) {
			if (backends[i]->is_cancel())
				return backends[i].get();
		}
		return nullptr;
	}

	// Sends the first byte if may_send() allows it. Returns its result.
	bool send_first_byte(struct backend *backend)
	{
		backend->sent =
			!backend->call.http.may_send ||
			backend->call.http.may_send(backend->call.http.arg);
		if (!backend->sent)
			finish_call(backend, HTTP_CLOSED);
		return backend->sent;
	}

	// Completes a backend call with this outcome. Returns true if the
	// pipeline allows the connection to be used again.
	bool finish_call(struct backend *backend, enum http_result result,
			 uint32_t status = 200, const std::string &body = "ok",
			 Headers headers = {}, const char *echo = nullptr)
	{
		struct http_outcome outcome = {};
		std::vector<struct http_header> list;
		std::string value =
			echo ? echo : backend->headers["Almondward-Request"];

		EXPECT_FALSE(backend->closed || backend->finished);
		backend->finished = true;
		headers.push_back({ "Almondward-Request", value });
		for (auto &one : headers)
			list.push_back(
				{ one.first.c_str(), one.second.c_str() });
		outcome.result = result;
		outcome.bytes_sent = backend->sent;
		outcome.response.status = status;
		outcome.response.headers = list.data();
		outcome.response.nr_headers = list.size();
		outcome.response.body = (const uint8_t *)body.data();
		outcome.response.body_bytes = body.size();
		bool keep =
			backend->call.done(backend->call.http.arg, &outcome);
		core_process_pending(core);
		return keep;
	}

	// Returns the newest proposed operation of this kind.
	Aw__Op *last_proposal(Aw__Op__BodyCase kind, uint64_t *call = nullptr)
	{
		for (size_t i = agent_fake.sent.size(); i--;) {
			Aw__Frame *frame = agent_fake.sent[i];

			if (frame->body_case != AW__FRAME__BODY_PROPOSE ||
			    frame->propose->op->body_case != kind)
				continue;
			if (call)
				*call = frame->propose->call;
			return frame->propose->op;
		}
		return nullptr;
	}

	void reply_to_claim(Aw__OpCode code)
	{
		uint64_t call = 0;

		ASSERT_NE(nullptr, last_proposal(AW__OP__BODY_CLAIM, &call));
		agent_fake.reply(call, AW__PROPOSE_STATUS__PROPOSE_APPLIED,
				 code);
	}

	std::string counter(const char *name, const char *label)
	{
		return std::to_string(
			ctr_value(ctr_get(agent_fake.counters, name, label)));
	}
};

#endif
