/*
 * An agent with a paused clock; the test acts as the leader.
 */
#ifndef AGENT_FAKE_H
#define AGENT_FAKE_H

#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "agent.h"
#include "state_fake.h"

class AgentFake
{
	static bool send(void *arg, const char *control, const Aw__Frame *frame)
	{
		AgentFake *self = (AgentFake *)arg;

		if (!self->connected)
			return false;
		size_t len = aw__frame__get_packed_size(frame);
		std::vector<uint8_t> packed(len + 1);
		aw__frame__pack(frame, packed.data());
		self->sent.push_back(
			aw__frame__unpack(nullptr, len, packed.data()));
		self->sent_to.push_back(control);
		return true;
	}

	static void changed(void *arg)
	{
		AgentFake *self = (AgentFake *)arg;

		if (self->on_changed)
			self->on_changed();
	}

public:
	struct clk *clk = clk_create_paused(1000);
	struct ctr_set *counters = ctr_set_create();
	struct agent *agent;
	std::vector<Aw__Frame *> sent;
	std::vector<std::string> sent_to;
	std::function<void()> on_changed;
	bool connected = true;
	StateFake fake;

	AgentFake()
	{
		struct agent_settings settings = { "e1", "z1", "127.0.0.1:80",
						   77,	 clk,  counters };
		struct agent_ops ops = { send, changed };

		agent = agent_create(&settings, &ops, this);
	}

	~AgentFake()
	{
		agent_destroy(agent);
		clear();
		ctr_set_destroy(counters);
		clk_destroy(clk);
	}

	// Discards the frames that the agent has sent.
	void clear()
	{
		for (Aw__Frame *frame : sent)
			aw__frame__free_unpacked(frame, nullptr);
		sent.clear();
		sent_to.clear();
	}

	// Advances the clock and runs the agent's tick after each step.
	void pass(uint64_t ms, uint64_t step_ms = 10)
	{
		for (; ms; ms -= std::min(ms, step_ms)) {
			clk_advance_ms(clk, std::min(ms, step_ms));
			agent_tick(agent);
		}
	}

	// Makes a control instance the leader.
	void lead(uint64_t term = 1, const char *name = "c1")
	{
		agent_control_ping(agent, name, name, term);
		agent_tick(agent);
	}

	// Returns the newest report.
	Aw__Report *report()
	{
		for (size_t i = sent.size(); i--;) {
			if (sent[i]->body_case == AW__FRAME__BODY_REPORT)
				return sent[i]->report;
		}
		return nullptr;
	}

	// Returns the number of sent frames of a kind.
	size_t count(Aw__Frame__BodyCase kind)
	{
		size_t nr = 0;

		for (Aw__Frame *frame : sent)
			nr += frame->body_case == kind;
		return nr;
	}

	// Content of a Grant; sequence 0 stands for that of the newest report.
	struct GrantParts {
		uint64_t sequence = 0, term = 1;
		uint32_t lease_ms = FLEET_LEASE_MS;
		uint64_t state_version = 1;
		bool with_state = false;
		std::vector<Aw__TokenGrant> tokens;
		std::vector<Aw__SlotGrant> slots;
		std::vector<Aw__Server> servers;
		std::vector<Aw__Quarantine> quarantines;
		uint64_t table_version = 0;
		const char *from = "c1";

		void token(
			const char *name, uint64_t n, uint32_t retry_ms = 0,
			Aw__BucketKind kind = AW__BUCKET_KIND__BUCKET_CUSTOMER)
		{
			Aw__TokenGrant one = AW__TOKEN_GRANT__INIT;

			one.kind = kind;
			one.name = (char *)name;
			one.tokens = n;
			one.retry_after_ms = retry_ms;
			tokens.push_back(one);
		}

		void slot(const char *address, uint64_t incarnation, uint32_t n)
		{
			Aw__SlotGrant one = AW__SLOT_GRANT__INIT;

			one.address = (char *)address;
			one.incarnation = incarnation;
			one.slots = n;
			slots.push_back(one);
		}

		void server(
			const char *upstream, const char *address,
			const char *zone, uint64_t incarnation,
			uint64_t sequence,
			Aw__ServerState state = AW__SERVER_STATE__SERVER_ACTIVE)
		{
			Aw__Server one = AW__SERVER__INIT;

			one.upstream = (char *)upstream;
			one.address = (char *)address;
			one.zone = (char *)zone;
			one.slots = 4;
			one.incarnation = incarnation;
			one.sequence = sequence;
			one.state = state;
			servers.push_back(one);
		}
	};

	// Delivers a Grant to the agent.
	void grant(GrantParts parts)
	{
		Aw__Grant grant = AW__GRANT__INIT;
		Aw__Frame frame = AW__FRAME__INIT;
		std::vector<Aw__TokenGrant *> tokens;
		std::vector<Aw__SlotGrant *> slots;
		std::vector<Aw__Server *> servers;
		std::vector<Aw__Quarantine *> quarantines;

		for (auto &one : parts.tokens)
			tokens.push_back(&one);
		for (auto &one : parts.slots)
			slots.push_back(&one);
		for (auto &one : parts.servers)
			servers.push_back(&one);
		for (auto &one : parts.quarantines)
			quarantines.push_back(&one);
		grant.sequence = parts.sequence ? parts.sequence :
						  report()->sequence;
		grant.term = parts.term;
		grant.lease_ms = parts.lease_ms;
		grant.state_version = parts.state_version;
		if (parts.with_state)
			grant.state = fake.state(parts.state_version);
		grant.tokens = tokens.data();
		grant.n_tokens = tokens.size();
		grant.slots = slots.data();
		grant.n_slots = slots.size();
		grant.servers = servers.data();
		grant.n_servers = servers.size();
		grant.quarantines = quarantines.data();
		grant.n_quarantines = quarantines.size();
		grant.table_version = parts.table_version;
		grant.table_included = parts.table_version != 0;
		frame.body_case = AW__FRAME__BODY_GRANT;
		frame.grant = &grant;
		agent_handle_frame(agent, parts.from, &frame);
	}

	// Delivers the reply to a proposal to the agent.
	void reply(uint64_t call, Aw__ProposeStatus status,
		   Aw__OpCode code = AW__OP_CODE__OP_DONE)
	{
		Aw__ProposeReply reply = AW__PROPOSE_REPLY__INIT;
		Aw__OpResult result = AW__OP_RESULT__INIT;
		Aw__Frame frame = AW__FRAME__INIT;

		result.code = code;
		reply.call = call;
		reply.status = status;
		if (status == AW__PROPOSE_STATUS__PROPOSE_APPLIED)
			reply.result = &result;
		frame.body_case = AW__FRAME__BODY_PROPOSE_REPLY;
		frame.propose_reply = &reply;
		agent_handle_frame(agent, "c1", &frame);
	}
};

#endif
