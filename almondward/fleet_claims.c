#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "fleet_state.h"

/*
 * Builds the id of a claim record. There is one record for the running or
 * finished claim of an idempotency key, and one for each released request, so
 * that a claim of that request which arrives late is recognized and refused.
 */
static char *make_record_id(const char *customer, const char *key,
			    const char *released_request)
{
	char *id;

	/* No part contains the separator: all are visible characters. */
	if (asprintf(&id, "%s\n%s\n%s", customer, key, released_request) < 0)
		return NULL;
	return id;
}

static enum fleet_error find_record(const struct fleet *fleet,
				    const char *customer, const char *key,
				    const char *released_request,
				    struct fleet_claim **found)
{
	char *id = make_record_id(customer, key, released_request);

	if (!id)
		return FLEET_ERR_MEMORY;
	HASH_FIND_STR(fleet->claims, id, *found);
	free(id);
	return FLEET_OK;
}

/* ---- records ---- */

static void discard_answer(struct fleet *fleet, struct fleet_claim *record)
{
	Aw__Claim *claim = record->claim;

	if (!claim->answer_kept)
		return;
	DL_DELETE(fleet->answers, record);
	fleet->answers_bytes -= claim->answer.len;
	free(claim->answer.data);
	claim->answer.data = NULL;
	claim->answer.len = 0;
	claim->answer_kept = false;
}

static void store_answer(struct fleet *fleet, struct fleet_claim *record)
{
	if (!record->claim->answer_kept)
		return;
	DL_APPEND(fleet->answers, record);
	fleet->answers_bytes += record->claim->answer.len;
	while (fleet->answers_bytes > FLEET_ANSWERS_BYTES_MAX)
		discard_answer(fleet, fleet->answers);
}

static void discard_record(struct fleet *fleet, struct fleet_claim *record)
{
	discard_answer(fleet, record);
	HASH_DEL(fleet->claims, record);
	message_free(record->claim);
	free(record->id);
	free(record);
}

/*
 * Appends a record, which keeps the records in order of expiry. Takes ownership
 * of the claim unless memory is exhausted.
 */
static enum fleet_error add_record(struct fleet *fleet, Aw__Claim *claim)
{
	bool released = claim->state == AW__CLAIM_STATE__CLAIM_RELEASED;
	struct fleet_claim *record = calloc(1, sizeof(*record));

	if (!record)
		return FLEET_ERR_MEMORY;
	record->id = make_record_id(claim->customer, claim->idempotency_key,
				    released ? claim->request_id : "");
	if (!record->id) {
		free(record);
		return FLEET_ERR_MEMORY;
	}
	record->claim = claim;
	HASH_ADD_KEYPTR(hh, fleet->claims, record->id, strlen(record->id),
			record);
	store_answer(fleet, record);
	return FLEET_OK;
}

static enum fleet_error add_record_copy(struct fleet *fleet, Aw__Claim *claim)
{
	Aw__Claim *copy;
	enum fleet_error error;

	claim->expires_ms = fleet->time_ms + CLAIM_LIFETIME_MS;
	copy = message_copy(&claim->base);
	if (!copy)
		return FLEET_ERR_MEMORY;
	error = add_record(fleet, copy);
	if (error)
		message_free(copy);
	return error;
}

/* ---- operations ---- */

static const char *check_claim_ids(const char *customer, const char *key,
				   const char *request_id)
{
	if (!fleet_is_valid_id(customer, NAME_BYTES_MAX))
		return "the customer of the claim is missing or too long";
	if (!fleet_is_valid_id(key, IDEMPOTENCY_KEY_BYTES_MAX))
		return "the idempotency key is not 1 to 128 visible characters";
	if (!fleet_is_valid_id(request_id, REQUEST_ID_BYTES_MAX))
		return "the request id of the claim is missing or too long";
	return NULL;
}

static enum fleet_error set_finished_result(const Aw__Claim *claim,
					    Aw__OpResult *result)
{
	result->status = claim->status;
	if (!claim->answer_kept)
		return fleet_set_result(
			result, AW__OP_CODE__OP_CLAIM_FINISHED,
			"finished with status %u, the response is not "
			"kept",
			claim->status);
	result->content_type = strdup(claim->content_type);
	result->answer.data = malloc(claim->answer.len + 1);
	if (!result->content_type || !result->answer.data)
		return FLEET_ERR_MEMORY;
	if (claim->answer.len)
		memcpy(result->answer.data, claim->answer.data,
		       claim->answer.len);
	result->answer.len = claim->answer.len;
	result->answer_kept = true;
	return fleet_set_result(result, AW__OP_CODE__OP_CLAIM_FINISHED, "%s",
				"");
}

static enum fleet_error repeat_claim(const Aw__Claim *claim,
				     const Aw__OpClaim *op,
				     Aw__OpResult *result)
{
	if (claim->body_hash.len != op->body_hash.len ||
	    memcmp(claim->body_hash.data, op->body_hash.data,
		   op->body_hash.len) != 0)
		return fleet_set_result(result, AW__OP_CODE__OP_CLAIM_MISMATCH,
					"the key was used with another body");
	if (claim->state == AW__CLAIM_STATE__CLAIM_FINISHED)
		return set_finished_result(claim, result);
	/* The request repeats its claim if the first reply was lost. */
	if (!strcmp(claim->request_id, op->request_id))
		return fleet_set_result(result, AW__OP_CODE__OP_CLAIM_GRANTED,
					"%s", "");
	return fleet_set_result(result, AW__OP_CODE__OP_CLAIM_IN_DOUBT,
				"request %s has the claim", claim->request_id);
}

enum fleet_error fleet_claim(struct fleet *fleet, const Aw__OpClaim *op,
			     Aw__OpResult *result)
{
	const char *cause = check_claim_ids(op->customer, op->idempotency_key,
					    op->request_id);
	Aw__Claim claim = AW__CLAIM__INIT;
	struct fleet_claim *current, *released;
	enum fleet_error error;

	if (!cause && op->body_hash.len != HASH_BYTES)
		cause = "the body hash is not 32 bytes long";
	if (cause)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID, "%s",
					cause);
	error = find_record(fleet, op->customer, op->idempotency_key,
			    op->request_id, &released);
	if (!error)
		error = find_record(fleet, op->customer, op->idempotency_key,
				    "", &current);
	if (error)
		return error;
	if (released)
		return fleet_set_result(result, AW__OP_CODE__OP_CLAIM_RELEASED,
					"request %s was released",
					op->request_id);
	if (current)
		return repeat_claim(current->claim, op, result);
	if (HASH_COUNT(fleet->claims) >= FLEET_CLAIMS_MAX)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"there are %d claims already",
					FLEET_CLAIMS_MAX);
	claim.customer = op->customer;
	claim.idempotency_key = op->idempotency_key;
	claim.body_hash = op->body_hash;
	claim.request_id = op->request_id;
	claim.state = AW__CLAIM_STATE__CLAIM_RUNNING;
	error = add_record_copy(fleet, &claim);
	if (error)
		return error;
	return fleet_set_result(result, AW__OP_CODE__OP_CLAIM_GRANTED, "%s",
				"");
}

enum fleet_error fleet_claim_finish(struct fleet *fleet,
				    const Aw__OpClaimFinish *op,
				    Aw__OpResult *result)
{
	const char *cause = check_claim_ids(op->customer, op->idempotency_key,
					    op->request_id);
	struct fleet_claim *record;
	Aw__Claim claim;
	enum fleet_error error;

	if (!cause && (op->status < 100 || op->status > 599))
		cause = "the status is not 100 to 599";
	if (cause)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID, "%s",
					cause);
	error = find_record(fleet, op->customer, op->idempotency_key, "",
			    &record);
	if (error)
		return error;
	if (!record || strcmp(record->claim->request_id, op->request_id) != 0)
		return fleet_set_result(result, AW__OP_CODE__OP_NOT_FOUND,
					"request %s does not have the claim",
					op->request_id);
	if (record->claim->state == AW__CLAIM_STATE__CLAIM_FINISHED)
		return fleet_set_result(result, AW__OP_CODE__OP_DONE,
					"the claim was finished before");
	claim = *record->claim;
	claim.state = AW__CLAIM_STATE__CLAIM_FINISHED;
	claim.status = op->status;
	if (op->answer_kept && op->answer.len <= FLEET_ANSWER_BYTES_MAX &&
	    strlen(op->content_type) < FLEET_CONTENT_TYPE_BYTES_MAX) {
		claim.content_type = op->content_type;
		claim.answer = op->answer;
		claim.answer_kept = true;
	}
	/* Adds a new record to keep the records in order of expiry. */
	HASH_DEL(fleet->claims, record);
	error = add_record_copy(fleet, &claim);
	message_free(record->claim);
	free(record->id);
	free(record);
	return error ? error :
		       fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

enum fleet_error fleet_claim_release(struct fleet *fleet,
				     const Aw__OpClaimRelease *op,
				     Aw__OpResult *result)
{
	const char *cause = check_claim_ids(op->customer, op->idempotency_key,
					    op->request_id);
	Aw__Claim claim = AW__CLAIM__INIT;
	struct fleet_claim *current, *released;
	enum fleet_error error;

	if (cause)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID, "%s",
					cause);
	error = find_record(fleet, op->customer, op->idempotency_key,
			    op->request_id, &released);
	if (!error)
		error = find_record(fleet, op->customer, op->idempotency_key,
				    "", &current);
	if (error)
		return error;
	if (released)
		return fleet_set_result(result, AW__OP_CODE__OP_DONE,
					"the request was released before");
	if (current && !strcmp(current->claim->request_id, op->request_id)) {
		if (current->claim->state == AW__CLAIM_STATE__CLAIM_FINISHED)
			return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
						"request %s has finished",
						op->request_id);
		discard_record(fleet, current);
	}
	claim.customer = op->customer;
	claim.idempotency_key = op->idempotency_key;
	claim.request_id = op->request_id;
	claim.state = AW__CLAIM_STATE__CLAIM_RELEASED;
	error = add_record_copy(fleet, &claim);
	return error ? error :
		       fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

void fleet_claims_expire(struct fleet *fleet)
{
	while (fleet->claims &&
	       fleet->claims->claim->expires_ms <= fleet->time_ms)
		discard_record(fleet, fleet->claims);
}

/* ---- load ---- */

static bool claim_is_valid(const Aw__Claim *claim)
{
	if (check_claim_ids(claim->customer, claim->idempotency_key,
			    claim->request_id))
		return false;
	if (claim->answer.len > FLEET_ANSWER_BYTES_MAX ||
	    strlen(claim->content_type) >= FLEET_CONTENT_TYPE_BYTES_MAX)
		return false;
	switch (claim->state) {
	case AW__CLAIM_STATE__CLAIM_RELEASED:
		return !claim->answer_kept;
	case AW__CLAIM_STATE__CLAIM_RUNNING:
		return !claim->answer_kept &&
		       claim->body_hash.len == HASH_BYTES;
	case AW__CLAIM_STATE__CLAIM_FINISHED:
		return claim->body_hash.len == HASH_BYTES;
	default:
		return false;
	}
}

enum fleet_error fleet_claims_load(struct fleet *fleet, Aw__Claim *claim)
{
	bool released = claim->state == AW__CLAIM_STATE__CLAIM_RELEASED;
	struct fleet_claim *record;
	enum fleet_error error;

	if (!claim_is_valid(claim))
		return FLEET_ERR_MALFORMED;
	error = find_record(fleet, claim->customer, claim->idempotency_key,
			    released ? claim->request_id : "", &record);
	if (error)
		return error;
	return record ? FLEET_ERR_MALFORMED : add_record(fleet, claim);
}

void fleet_claims_clear(struct fleet *fleet)
{
	struct fleet_claim *record, *next;

	HASH_ITER(hh, fleet->claims, record, next)
	{
		discard_record(fleet, record);
	}
}
