#include "agent_internal.h"

#include <stdlib.h>
#include <string.h>

#define RESEND_MS 2000 /* without reply; a commit across regions is faster */
#define RETRY_MS 100 /* after a reply that the call was not applied */

static Aw__Op *copy_op(const Aw__Op *op)
{
	size_t len_bytes = aw__op__get_packed_size(op);
	uint8_t *packed = malloc(len_bytes + 1);
	Aw__Op *copy;

	if (!packed)
		return NULL;
	aw__op__pack(op, packed);
	copy = aw__op__unpack(NULL, len_bytes, packed);
	free(packed);
	return copy;
}

static void destroy_call(struct agent *agent, struct call *call)
{
	HASH_DEL(agent->calls, call);
	aw__op__free_unpacked(call->op, NULL);
	free(call);
}

static void send_call(struct agent *agent, struct call *call)
{
	Aw__Propose propose = AW__PROPOSE__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	uint64_t now_ms = clk_now_ms(agent->clk);

	call->next_send_ms = now_ms + RETRY_MS;
	if (!agent->leader)
		return;
	propose.call = call->id;
	propose.op = call->op;
	frame.body_case = AW__FRAME__BODY_PROPOSE;
	frame.propose = &propose;
	if (!agent->ops.send(agent->arg, agent->leader->name, &frame))
		return;
	if (call->sent)
		ctr_add(agent->call_resends, 1);
	call->sent = true;
	call->next_send_ms = now_ms + RESEND_MS;
}

uint64_t agent_propose(struct agent *agent, const Aw__Op *op,
		       uint64_t deadline_ms, bool end_if_refused,
		       agent_call_fn done, void *arg)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		return 0;
	call->op = copy_op(op);
	if (!call->op) {
		free(call);
		return 0;
	}
	call->id = ++agent->next_call;
	call->deadline_ms = deadline_ms;
	call->end_if_refused = end_if_refused;
	call->done = done;
	call->arg = arg;
	HASH_ADD(hh, agent->calls, id, sizeof(call->id), call);
	send_call(agent, call);
	return call->id;
}

static struct call *find_call(struct agent *agent, uint64_t id)
{
	struct call *call;

	HASH_FIND(hh, agent->calls, &id, sizeof(id), call);
	return call;
}

bool agent_call_cancel(struct agent *agent, uint64_t id)
{
	struct call *call = find_call(agent, id);
	bool sent;

	if (!call)
		return false;
	sent = call->sent;
	destroy_call(agent, call);
	return sent;
}

size_t agent_open_calls(const struct agent *agent)
{
	return HASH_COUNT(agent->calls);
}

static void finish_call(struct agent *agent, struct call *call,
			const Aw__OpResult *result)
{
	agent_call_fn done = call->done;
	void *arg = call->arg;
	bool sent = call->sent;

	destroy_call(agent, call);
	if (done)
		done(arg, result, sent);
}

void calls_reply(struct agent *agent, const Aw__ProposeReply *reply)
{
	struct call *call = find_call(agent, reply->call);

	if (!call)
		return;
	if (reply->status == AW__PROPOSE_STATUS__PROPOSE_APPLIED &&
	    reply->result) {
		finish_call(agent, call, reply->result);
		return;
	}
	if (reply->status == AW__PROPOSE_STATUS__PROPOSE_REFUSED &&
	    call->end_if_refused)
		finish_call(agent, call, NULL);
	else
		call->next_send_ms = clk_now_ms(agent->clk) + RETRY_MS;
}

void calls_leader_changed(struct agent *agent)
{
	struct call *call, *next;

	if (!agent->leader)
		return;
	HASH_ITER(hh, agent->calls, call, next)
	{
		call->next_send_ms = 0;
	}
}

static struct call *next_overdue(struct agent *agent, uint64_t now_ms)
{
	struct call *call, *next;

	HASH_ITER(hh, agent->calls, call, next)
	{
		if (call->deadline_ms <= now_ms)
			return call;
	}
	return NULL;
}

void calls_tick(struct agent *agent)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct call *call, *next;

	/* Callbacks may add and cancel calls, so each search starts over. */
	while ((call = next_overdue(agent, now_ms)))
		finish_call(agent, call, NULL);
	HASH_ITER(hh, agent->calls, call, next)
	{
		if (call->next_send_ms <= now_ms)
			send_call(agent, call);
	}
}

void calls_destroy(struct agent *agent)
{
	struct call *call, *next;

	HASH_ITER(hh, agent->calls, call, next)
	{
		destroy_call(agent, call);
	}
}
