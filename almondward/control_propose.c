#include "control_internal.h"

#include <stdlib.h>

#include <utlist.h>

#define PROPOSALS_MAX 8192 /* pending proposals */

static Aw__ProposeStatus count_refusal(struct ctl *ctl,
				       Aw__ProposeStatus status,
				       const char *reason)
{
	ctl_count(ctl, "proposals_refused", reason);
	return status;
}

static Aw__ProposeStatus append(struct ctl *ctl, const Aw__Op *op,
				uint64_t *index, uint64_t *term)
{
	size_t len_bytes = aw__op__get_packed_size(op);
	uint8_t *packed = malloc(len_bytes + 1);
	enum raft_error err;

	if (!packed)
		return count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_REFUSED,
				     "memory");
	aw__op__pack(op, packed);
	err = raft_propose(ctl->raft, packed, len_bytes, index, term);
	free(packed);
	switch (err) {
	case RAFT_OK:
		return AW__PROPOSE_STATUS__PROPOSE_APPLIED;
	case RAFT_ERR_NOT_LEADER:
		return count_refusal(ctl,
				     AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER,
				     "not_leader");
	case RAFT_ERR_STORE:
		return count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_REFUSED,
				     "store");
	case RAFT_ERR_FAILED:
		ctl_raft_error(ctl, err);
		return count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN,
				     "store_failed");
	default:
		return count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_REFUSED,
				     "memory");
	}
}

uint64_t ctl_time_ms(const struct ctl *ctl)
{
	if (!ctl->time.time_ms)
		return clk_wall_ms(ctl->clk);
	return ctl->time.time_ms + (clk_now_ms(ctl->clk) - ctl->time.local_ms);
}

/*
 * An applied time that is behind the local estimate belongs to an entry that
 * was slow to commit; it does not set the time back.
 */
void ctl_time_applied(struct ctl *ctl)
{
	uint64_t applied_ms = fleet_time_ms(ctl->fleet);

	if (ctl->time.time_ms && applied_ms <= ctl_time_ms(ctl))
		return;
	ctl->time.time_ms = applied_ms;
	ctl->time.local_ms = clk_now_ms(ctl->clk);
}

Aw__ProposeStatus ctl_propose(struct ctl *ctl, Aw__Op *op, uint64_t timeout_ms,
			      ctl_done_fn done, void *arg)
{
	Aw__ProposeStatus status;
	struct ctl_proposal *proposal;

	if (!ctl_leads(ctl))
		return count_refusal(ctl,
				     AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER,
				     "not_leader");
	if (ctl->stop_requested_ms)
		return count_refusal(ctl,
				     AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER,
				     "stopping");
	if (HASH_COUNT(ctl->proposals) >= PROPOSALS_MAX)
		return count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_REFUSED,
				     "overload");
	proposal = calloc(1, sizeof(*proposal));
	if (!proposal)
		return count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_REFUSED,
				     "memory");
	op->time_ms = ctl_time_ms(ctl);
	status = append(ctl, op, &proposal->index, &proposal->term);
	if (status != AW__PROPOSE_STATUS__PROPOSE_APPLIED) {
		free(proposal);
		return status;
	}
	if (ctl->cluster)
		ctl_orders_recorded(ctl, op, proposal->index);
	proposal->since_ms = clk_now_ms(ctl->clk);
	proposal->timeout_ms = timeout_ms;
	proposal->done = done;
	proposal->arg = arg;
	HASH_ADD(hh, ctl->proposals, index, sizeof(proposal->index), proposal);
	ctl_count(ctl, "proposals", "");
	ctl_flush_soon(ctl);
	return status;
}

/*
 * Removes the proposal from the table before calling done, so that done can
 * propose again.
 */
static void finish(struct ctl *ctl, struct ctl_proposal *proposal,
		   Aw__ProposeStatus status, const Aw__OpResult *result)
{
	struct ctl_proposal finished = *proposal;

	HASH_DEL(ctl->proposals, proposal);
	free(proposal);
	finished.done(finished.arg, status, result);
}

void ctl_entry_applied(struct ctl *ctl, uint64_t index, uint64_t term,
		       const Aw__OpResult *result)
{
	struct ctl_proposal *proposal;

	HASH_FIND(hh, ctl->proposals, &index, sizeof(index), proposal);
	if (!proposal)
		return;
	/* An entry of another term is at this index: the proposal was lost. */
	if (proposal->term != term || !result)
		finish(ctl, proposal, AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER,
		       NULL);
	else
		finish(ctl, proposal, AW__PROPOSE_STATUS__PROPOSE_APPLIED,
		       result);
}

void ctl_proposals_abandon(struct ctl *ctl)
{
	struct ctl_proposal *proposal;

	while ((proposal = ctl->proposals)) {
		ctl_count(ctl, "proposals_unknown", "leadership_lost");
		finish(ctl, proposal, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN,
		       NULL);
	}
}

static struct ctl_proposal *find_timed_out(struct ctl *ctl)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	struct ctl_proposal *proposal;

	for (proposal = ctl->proposals; proposal; proposal = proposal->hh.next)
		if (proposal->timeout_ms &&
		    proposal->since_ms + proposal->timeout_ms <= now_ms)
			return proposal;
	return NULL;
}

void ctl_proposals_expire(struct ctl *ctl)
{
	struct ctl_proposal *proposal;

	while ((proposal = find_timed_out(ctl))) {
		ctl_count(ctl, "proposals_unknown", "time_limit");
		finish(ctl, proposal, AW__PROPOSE_STATUS__PROPOSE_UNKNOWN,
		       NULL);
	}
}

/* ---- proposals of peers ---- */

static void reply(struct ctl *ctl, struct peer_link *link, uint64_t call,
		  Aw__ProposeStatus status, const Aw__OpResult *result)
{
	Aw__ProposeReply msg = AW__PROPOSE_REPLY__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	msg.call = call;
	msg.status = status;
	msg.result = (Aw__OpResult *)result;
	msg.leader = (char *)raft_leader(ctl->raft);
	frame.body_case = AW__FRAME__BODY_PROPOSE_REPLY;
	frame.propose_reply = &msg;
	if (peer_send(link, &frame))
		ctl_count(ctl, "send_failed", "propose_reply");
}

static void peer_proposal_done(void *arg, Aw__ProposeStatus status,
			       const Aw__OpResult *result)
{
	struct ctl_peer_proposal *proposal = arg;

	DL_DELETE(proposal->ctl->peer_proposals, proposal);
	if (proposal->link)
		reply(proposal->ctl, proposal->link, proposal->call, status,
		      result);
	free(proposal);
}

/*
 * Entry instances may only propose operations on claims; all others are
 * reserved for operators.
 */
static bool is_claim_op(const Aw__Op *op)
{
	switch (op->body_case) {
	case AW__OP__BODY_CLAIM:
	case AW__OP__BODY_CLAIM_FINISH:
	case AW__OP__BODY_CLAIM_RELEASE:
		return true;
	default:
		return false;
	}
}

/*
 * Control instances of a seeded cluster forward operations that they received
 * over HTTP.
 */
static bool is_service_op(const Aw__Op *op)
{
	switch (op->body_case) {
	case AW__OP__BODY_PLAN_CHANGE:
	case AW__OP__BODY_ZONE:
	case AW__OP__BODY_DEPARTURE:
		return true;
	default:
		return false;
	}
}

static bool is_allowed(const struct ctl *ctl, struct peer_link *link,
		       const Aw__Op *op)
{
	if (peer_link_role(link) == AW__ROLE__ROLE_ENTRY)
		return is_claim_op(op);
	return ctl->cluster && is_service_op(op);
}

void ctl_on_propose(struct ctl *ctl, struct peer_link *link,
		    const Aw__Propose *propose)
{
	struct ctl_peer_proposal *proposal;
	Aw__ProposeStatus status;
	Aw__OpZone zone;
	Aw__Op op;

	if (!propose->op || !is_allowed(ctl, link, propose->op)) {
		ctl_count(ctl, "proposals_refused", "not_allowed");
		reply(ctl, link, propose->call,
		      AW__PROPOSE_STATUS__PROPOSE_REFUSED, NULL);
		return;
	}
	if (ctl->cluster && ctl_orders_is_replaced(ctl, propose->op)) {
		count_refusal(ctl, AW__PROPOSE_STATUS__PROPOSE_REFUSED,
			      "replaced");
		reply(ctl, link, propose->call,
		      AW__PROPOSE_STATUS__PROPOSE_REFUSED, NULL);
		return;
	}
	proposal = calloc(1, sizeof(*proposal));
	if (!proposal) {
		reply(ctl, link, propose->call,
		      AW__PROPOSE_STATUS__PROPOSE_REFUSED, NULL);
		return;
	}
	proposal->ctl = ctl;
	proposal->link = link;
	proposal->call = propose->call;
	DL_APPEND(ctl->peer_proposals, proposal);
	op = *propose->op;
	op.operator_request_id = (char *)protobuf_c_empty_string;
	op.expected_version = 0;
	if (op.body_case == AW__OP__BODY_ZONE) {
		/* Not stored, so that earlier versions read the same log. */
		zone = *op.zone;
		zone.known_index = 0;
		op.zone = &zone;
	}
	status = ctl_propose(ctl, &op, 0, peer_proposal_done, proposal);
	if (status != AW__PROPOSE_STATUS__PROPOSE_APPLIED)
		peer_proposal_done(proposal, status, NULL);
}

void ctl_propose_link_down(struct ctl *ctl, const struct peer_link *link)
{
	struct ctl_peer_proposal *proposal;

	DL_FOREACH(ctl->peer_proposals, proposal)
	{
		if (proposal->link == link)
			proposal->link = NULL;
	}
}
