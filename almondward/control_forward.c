#include <stdlib.h>

#include "control_cluster.h"

/*
 * Timeout of operations from the HTTP API. Its clients try the next control
 * instance after one second without a response.
 */
#define FORWARD_TIMEOUT_MS 900

static void finish(struct ctl *ctl, struct cluster_forward *pending,
		   Aw__ProposeStatus status, const Aw__OpResult *result)
{
	struct cluster_forward finished = *pending;

	HASH_DEL(ctl->cluster->forwards, pending);
	free(pending);
	finished.done(finished.arg, status, result);
}

static Aw__ProposeStatus forward(struct ctl *ctl, Aw__Op *op, ctl_done_fn done,
				 void *arg)
{
	struct peer_link *link =
		ctl_find_control_link(ctl, raft_leader(ctl->raft));
	Aw__Propose propose = AW__PROPOSE__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	struct cluster_forward *pending;

	if (!link)
		return AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER;
	pending = calloc(1, sizeof(*pending));
	if (!pending)
		return AW__PROPOSE_STATUS__PROPOSE_REFUSED;
	pending->call = ++ctl->cluster->next_call;
	pending->since_ms = clk_now_ms(ctl->clk);
	pending->done = done;
	pending->arg = arg;
	propose.call = pending->call;
	propose.op = op;
	frame.body_case = AW__FRAME__BODY_PROPOSE;
	frame.propose = &propose;
	if (peer_send(link, &frame)) {
		free(pending);
		return AW__PROPOSE_STATUS__PROPOSE_REFUSED;
	}
	HASH_ADD(hh, ctl->cluster->forwards, call, sizeof(pending->call),
		 pending);
	return AW__PROPOSE_STATUS__PROPOSE_APPLIED;
}

void ctl_submit(struct ctl *ctl, Aw__Op *op, ctl_done_fn done, void *arg)
{
	Aw__ProposeStatus status;

	if (ctl_leads(ctl))
		status = ctl_propose(ctl, op, FORWARD_TIMEOUT_MS, done, arg);
	else
		status = forward(ctl, op, done, arg);
	if (status != AW__PROPOSE_STATUS__PROPOSE_APPLIED)
		done(arg, status, NULL);
}

void ctl_forward_on_reply(struct ctl *ctl, const Aw__ProposeReply *reply)
{
	struct cluster_forward *pending;

	HASH_FIND(hh, ctl->cluster->forwards, &reply->call, sizeof(reply->call),
		  pending);
	if (!pending)
		return;
	if (reply->status == AW__PROPOSE_STATUS__PROPOSE_APPLIED &&
	    !reply->result)
		finish(ctl, pending, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN, NULL);
	else
		finish(ctl, pending, reply->status, reply->result);
}

void ctl_forward_tick(struct ctl *ctl)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	struct cluster_forward *pending, *next;

	HASH_ITER(hh, ctl->cluster->forwards, pending, next)
	{
		if (now_ms < pending->since_ms + FORWARD_TIMEOUT_MS)
			continue;
		ctl_count(ctl, "proposals_unknown", "no_answer_of_leader");
		finish(ctl, pending, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN, NULL);
	}
}

/*
 * Discards the pending operations without calling done: the process is about to
 * exit.
 */
void ctl_forward_drop(struct ctl *ctl)
{
	struct cluster_forward *pending, *next;

	HASH_ITER(hh, ctl->cluster->forwards, pending, next)
	{
		HASH_DEL(ctl->cluster->forwards, pending);
		free(pending);
	}
}
