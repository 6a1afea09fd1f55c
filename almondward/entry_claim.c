#include "entry_internal.h"

#include <stdio.h>
#include <string.h>

static void handle_claim_result(struct request *request,
				const Aw__OpResult *result)
{
	char detail[96];

	switch (result->code) {
	case AW__OP_CODE__OP_CLAIM_GRANTED:
		request->claimed = true;
		queue_begin(request);
		return;
	case AW__OP_CODE__OP_CLAIM_FINISHED:
		if (result->answer_kept) {
			finish_replay(request, result);
			return;
		}
		snprintf(detail, sizeof(detail),
			 "finished with status %u, the response is not kept",
			 result->status);
		finish_refusal(request, REFUSAL_CLAIM_IN_DOUBT, 0, detail);
		return;
	case AW__OP_CODE__OP_CLAIM_IN_DOUBT:
		finish_refusal(request, REFUSAL_CLAIM_IN_DOUBT, 1000,
			       "a request with this key runs or may have run");
		return;
	case AW__OP_CODE__OP_CLAIM_MISMATCH:
		finish_refusal(request, REFUSAL_CLAIM_MISMATCH, 0,
			       "the idempotency key came with another body");
		return;
	default:
		finish_refusal(request, REFUSAL_CLAIM_UNAVAILABLE, 1000,
			       "the claim was refused");
		return;
	}
}

static void claim_done(void *arg, const Aw__OpResult *result, bool sent)
{
	struct request *request = arg;
	struct core *core = request->core;

	request->claim_call = 0;
	if (result) {
		handle_claim_result(request, result);
	} else {
		/* A claim that was sent may still be granted: release it. */
		request->claimed = sent;
		finish_refusal(request, REFUSAL_CLAIM_UNAVAILABLE, 1000,
			       "the claim was not committed");
	}
	core_process_pending(core);
}

void claim_begin(struct request *request)
{
	struct core *core = request->core;
	Aw__OpClaim claim = AW__OP_CLAIM__INIT;
	Aw__Op op = AW__OP__INIT;

	claim.customer = request->customer;
	claim.idempotency_key = request->idempotency_key;
	claim.body_hash.data = request->body_hash;
	claim.body_hash.len = HASH_BYTES;
	claim.request_id = request->id;
	op.body_case = AW__OP__BODY_CLAIM;
	op.claim = &claim;
	request->step = STEP_CLAIM;
	request->claim_proposed_ms = core_now_ms(core);
	request->wait_until_ms = request->claim_proposed_ms + CLAIM_DISPATCH_MS;
	if (request->wait_until_ms > request->deadline_ms)
		request->wait_until_ms = request->deadline_ms;
	request->claim_call =
		agent_propose(core->agent, &op, request->wait_until_ms, true,
			      claim_done, request);
	if (!request->claim_call)
		finish_refusal(request, REFUSAL_MEMORY, 1000,
			       "no memory for the claim");
}

/*
 * Proposes the operation until it is committed, for at most the lifetime of a
 * claim.
 */
static void propose_until_committed(struct core *core, const Aw__Op *op)
{
	uint64_t deadline_ms = core_now_ms(core) + CLAIM_LIFETIME_MS;

	if (!agent_propose(core->agent, op, deadline_ms, false, NULL, NULL))
		core_count(core, "claims_lost", "memory");
}

void claim_finish(struct request *request, const struct http_response *response)
{
	Aw__OpClaimFinish finish = AW__OP_CLAIM_FINISH__INIT;
	Aw__Op op = AW__OP__INIT;
	const char *content_type = http_header_value(
		response->headers, response->nr_headers, "Content-Type");

	if (!request->claimed)
		return;
	request->claimed = false;
	finish.customer = request->customer;
	finish.idempotency_key = request->idempotency_key;
	finish.request_id = request->id;
	finish.status = response->status;
	if (content_type)
		finish.content_type = (char *)content_type;
	if (response->body_bytes <= STORED_RESPONSE_BYTES_MAX) {
		finish.answer.data = (uint8_t *)response->body;
		finish.answer.len = response->body_bytes;
		finish.answer_kept = true;
	}
	op.body_case = AW__OP__BODY_CLAIM_FINISH;
	op.claim_finish = &finish;
	propose_until_committed(request->core, &op);
}

void claim_release(struct request *request)
{
	Aw__OpClaimRelease release = AW__OP_CLAIM_RELEASE__INIT;
	Aw__Op op = AW__OP__INIT;

	if (request->claim_call &&
	    agent_call_cancel(request->core->agent, request->claim_call))
		request->claimed = true;
	request->claim_call = 0;
	if (!request->claimed || request->byte_sent)
		return;
	request->claimed = false;
	release.customer = request->customer;
	release.idempotency_key = request->idempotency_key;
	release.request_id = request->id;
	op.body_case = AW__OP__BODY_CLAIM_RELEASE;
	op.claim_release = &release;
	propose_until_committed(request->core, &op);
}
