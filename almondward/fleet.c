#include "fleet.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"

/* ---- functions for all aggregates ---- */

enum fleet_error fleet_set_result(Aw__OpResult *result, Aw__OpCode code,
				  const char *fmt, ...)
{
	char *detail;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vasprintf(&detail, fmt, args);
	va_end(args);
	if (len < 0)
		return FLEET_ERR_MEMORY;
	result->code = code;
	result->detail = detail;
	return FLEET_OK;
}

bool fleet_is_valid_id(const char *text, size_t bytes_max)
{
	size_t len_bytes = strlen(text);

	if (!len_bytes || len_bytes >= bytes_max)
		return false;
	for (size_t i = 0; i < len_bytes; i++)
		if (text[i] <= ' ' || text[i] > '~')
			return false;
	return true;
}

void fleet_record_operator_change(struct fleet *fleet, uint64_t index)
{
	fleet->config->version++;
	fleet->state_version = index;
}

/* ---- create and destroy ---- */

struct fleet *fleet_create(void)
{
	Aw__Config empty = AW__CONFIG__INIT;
	struct fleet *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		return NULL;
	/* Starts at 1: in an operation, version 0 means "any version". */
	empty.version = 1;
	fleet->config = message_copy(&empty.base);
	fleet->plan = plan_create();
	if (!fleet->config || !fleet->plan) {
		message_free(fleet->config);
		plan_destroy(fleet->plan);
		free(fleet);
		return NULL;
	}
	return fleet;
}

static void release_state(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->nr_keys; i++)
		message_free(fleet->keys[i]);
	for (size_t i = 0; i < fleet->nr_drains; i++)
		message_free(fleet->drains[i]);
	free(fleet->keys);
	free(fleet->drains);
	fleet_claims_clear(fleet);
	fleet_results_clear(fleet);
	fleet_service_clear(fleet);
	fleet_quarantines_clear(fleet);
	message_free(fleet->config);
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	release_state(fleet);
	free(fleet);
}

/* ---- apply ---- */

static enum fleet_error execute_op(struct fleet *fleet, uint64_t index,
				   const Aw__Op *op, Aw__OpResult *result)
{
	switch (op->body_case) {
	case AW__OP__BODY_NOOP:
		return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
	case AW__OP__BODY_CONFIG:
		return fleet_config_replace(fleet, index, op->config, result);
	case AW__OP__BODY_EXCEPTION_ADD:
		return fleet_exception_add(fleet, index, op->exception_add,
					   result);
	case AW__OP__BODY_EXCEPTION_REMOVE:
		return fleet_exception_remove(fleet, index,
					      op->exception_remove, result);
	case AW__OP__BODY_KEY_GRANT:
		return fleet_key_grant(fleet, index, op->key_grant, result);
	case AW__OP__BODY_KEY_WITHDRAW:
		return fleet_key_withdraw(fleet, index, op->key_withdraw,
					  result);
	case AW__OP__BODY_DRAIN_PLAN:
		return fleet_drain_plan(fleet, index, op->drain_plan, result);
	case AW__OP__BODY_DRAIN_CANCEL:
		return fleet_drain_cancel(fleet, index, op->drain_cancel,
					  result);
	case AW__OP__BODY_DRAIN_STEP:
		return fleet_drain_step(fleet, index, op->drain_step, result);
	case AW__OP__BODY_CLAIM:
		return fleet_claim(fleet, op->claim, result);
	case AW__OP__BODY_CLAIM_FINISH:
		return fleet_claim_finish(fleet, op->claim_finish, result);
	case AW__OP__BODY_CLAIM_RELEASE:
		return fleet_claim_release(fleet, op->claim_release, result);
	case AW__OP__BODY_PLAN_CHANGE:
		return fleet_plan_change(fleet, index, op->plan_change, result);
	case AW__OP__BODY_ZONE:
		return fleet_zone(fleet, index, op->zone, result);
	case AW__OP__BODY_DEPARTURE:
		return fleet_departure(fleet, index, op->departure, result);
	case AW__OP__BODY_QUARANTINE:
		return fleet_quarantine(fleet, op->quarantine, result);
	default:
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the operation is unknown");
	}
}

static bool is_operator_change(const Aw__Op *op)
{
	switch (op->body_case) {
	case AW__OP__BODY_CONFIG:
	case AW__OP__BODY_EXCEPTION_ADD:
	case AW__OP__BODY_EXCEPTION_REMOVE:
	case AW__OP__BODY_KEY_GRANT:
	case AW__OP__BODY_KEY_WITHDRAW:
	case AW__OP__BODY_DRAIN_PLAN:
	case AW__OP__BODY_DRAIN_CANCEL:
		return true;
	default:
		return false;
	}
}

static enum fleet_error repeat_result(const Aw__OperatorResult *record,
				      const uint8_t *digest,
				      Aw__OpResult **result)
{
	if (memcmp(record->digest.data, digest, HASH_BYTES) != 0)
		return fleet_set_result(
			*result, AW__OP_CODE__OP_ID_REUSED,
			"operator request id \"%s\" was used for "
			"another change",
			record->operator_request_id);
	message_free(*result);
	*result = message_copy(&record->result->base);
	return *result ? FLEET_OK : FLEET_ERR_MEMORY;
}

static enum fleet_error apply_operator_change(struct fleet *fleet,
					      uint64_t index, const Aw__Op *op,
					      Aw__OpResult **result)
{
	uint8_t digest[HASH_BYTES];
	const Aw__OperatorResult *record;
	enum fleet_error error;

	if (!fleet_is_valid_id(op->operator_request_id,
			       FLEET_REQUEST_ID_BYTES_MAX))
		return fleet_set_result(
			*result, AW__OP_CODE__OP_INVALID,
			"the operator request id is not 1 to 64 "
			"visible characters");
	error = fleet_op_digest(op, digest);
	if (error)
		return error;
	record = fleet_result_find(fleet, op->operator_request_id);
	if (record)
		return repeat_result(record, digest, result);
	if (op->expected_version &&
	    op->expected_version != fleet->config->version)
		error = fleet_set_result(
			*result, AW__OP_CODE__OP_VERSION_CONFLICT,
			"the version is %llu, not %llu",
			(unsigned long long)fleet->config->version,
			(unsigned long long)op->expected_version);
	else
		error = execute_op(fleet, index, op, *result);
	if (error)
		return error;
	(*result)->config_version = fleet->config->version;
	(*result)->index = index;
	return fleet_result_add(fleet, op->operator_request_id, digest,
				*result);
}

enum fleet_error fleet_apply(struct fleet *fleet, uint64_t index,
			     const Aw__Op *op, Aw__OpResult **result)
{
	const Aw__OpResult empty = AW__OP_RESULT__INIT;
	enum fleet_error error;

	if (index != fleet->applied_index + 1)
		return FLEET_ERR_MALFORMED;
	*result = message_copy(&empty.base);
	if (!*result)
		return FLEET_ERR_MEMORY;
	fleet->applied_index = index;
	if (op->time_ms > fleet->time_ms)
		fleet->time_ms = op->time_ms;
	fleet_claims_expire(fleet);
	fleet_quarantines_expire(fleet);
	if (is_operator_change(op))
		error = apply_operator_change(fleet, index, op, result);
	else
		error = execute_op(fleet, index, op, *result);
	if (error) {
		message_free(*result);
		*result = NULL;
		return error;
	}
	if (!(*result)->index) {
		(*result)->config_version = fleet->config->version;
		(*result)->index = index;
	}
	return FLEET_OK;
}

void fleet_skip_entry(struct fleet *fleet, uint64_t index)
{
	fleet->applied_index = index;
}

/* ---- access ---- */

uint64_t fleet_applied_index(const struct fleet *fleet)
{
	return fleet->applied_index;
}

uint64_t fleet_time_ms(const struct fleet *fleet)
{
	return fleet->time_ms;
}

uint64_t fleet_state_version(const struct fleet *fleet)
{
	return fleet->state_version;
}

const Aw__Config *fleet_config(const struct fleet *fleet)
{
	return fleet->config;
}

const Aw__Key *const *fleet_keys(const struct fleet *fleet, size_t *nr)
{
	*nr = fleet->nr_keys;
	return (const Aw__Key *const *)fleet->keys;
}

const Aw__Drain *const *fleet_drains(const struct fleet *fleet, size_t *nr)
{
	*nr = fleet->nr_drains;
	return (const Aw__Drain *const *)fleet->drains;
}

const struct plan *fleet_plan(const struct fleet *fleet)
{
	return fleet->plan;
}

uint64_t fleet_service_index(const struct fleet *fleet)
{
	return fleet->service_index;
}

size_t fleet_nr_claims(const struct fleet *fleet)
{
	return HASH_COUNT(fleet->claims);
}

/* ---- pack and load ---- */

static void fill_entry_state(const struct fleet *fleet, Aw__FleetState *state)
{
	state->applied_index = fleet->applied_index;
	state->state_version = fleet->state_version;
	state->config = fleet->config;
	state->keys = fleet->keys;
	state->n_keys = fleet->nr_keys;
	state->drains = fleet->drains;
	state->n_drains = fleet->nr_drains;
}

static enum fleet_error append_packed(const Aw__FleetState *state,
				      struct buf *out)
{
	size_t len_bytes = aw__fleet_state__get_packed_size(state);

	if (buf_reserve(out, len_bytes))
		return FLEET_ERR_MEMORY;
	aw__fleet_state__pack(state, out->data + out->len_bytes);
	out->len_bytes += len_bytes;
	return FLEET_OK;
}

enum fleet_error fleet_pack_for_entry(const struct fleet *fleet,
				      struct buf *out)
{
	Aw__FleetState state = AW__FLEET_STATE__INIT;

	fill_entry_state(fleet, &state);
	return append_packed(&state, out);
}

enum fleet_error fleet_pack(const struct fleet *fleet, struct buf *out)
{
	Aw__FleetState state = AW__FLEET_STATE__INIT;
	struct fleet_service_lists lists;
	struct fleet_claim *claim, *next_claim;
	struct fleet_result *result, *next_result;
	enum fleet_error error = FLEET_ERR_MEMORY;

	if (fleet_service_lists_create(fleet, &lists)) {
		fleet_service_lists_release(&lists);
		return FLEET_ERR_MEMORY;
	}
	fill_entry_state(fleet, &state);
	fleet_service_fill(fleet, &state, &lists);
	state.time_ms = fleet->time_ms;
	state.quarantines = fleet->quarantines;
	state.n_quarantines = fleet->nr_quarantines;
	state.claims =
		calloc(HASH_COUNT(fleet->claims) + 1, sizeof(Aw__Claim *));
	state.results = calloc(HASH_COUNT(fleet->results) + 1,
			       sizeof(Aw__OperatorResult *));
	if (!state.claims || !state.results)
		goto out;
	HASH_ITER(hh, fleet->claims, claim, next_claim)
	{
		state.claims[state.n_claims++] = claim->claim;
	}
	HASH_ITER(hh, fleet->results, result, next_result)
	{
		state.results[state.n_results++] = result->record;
	}
	error = append_packed(&state, out);
out:
	fleet_service_lists_release(&lists);
	free(state.claims);
	free(state.results);
	return error;
}

/*
 * Moves the contents of a message to an empty fleet. After an error, what was
 * not moved still belongs to the message.
 */
static enum fleet_error move_from_message(struct fleet *fleet,
					  Aw__FleetState *state)
{
	enum fleet_error error;

	if (!state->config || state->n_results > FLEET_RESULTS_MAX ||
	    state->state_version > state->applied_index ||
	    !fleet_keys_are_valid(state->keys, state->n_keys) ||
	    !fleet_drains_are_valid(state->drains, state->n_drains))
		return FLEET_ERR_MALFORMED;
	for (size_t i = 0; i < state->n_claims; i++) {
		error = fleet_claims_load(fleet, state->claims[i]);
		if (error)
			return error;
		state->claims[i] = NULL;
	}
	for (size_t i = 0; i < state->n_results; i++) {
		error = fleet_results_load(fleet, state->results[i]);
		if (error)
			return error;
		state->results[i] = NULL;
	}
	error = fleet_service_load(fleet, state);
	if (error)
		return error;
	error = fleet_quarantines_load(fleet, state);
	if (error)
		return error;
	fleet->applied_index = state->applied_index;
	fleet->state_version = state->state_version;
	fleet->time_ms = state->time_ms;
	fleet->config = state->config;
	state->config = NULL;
	fleet->keys = state->keys;
	fleet->nr_keys = state->n_keys;
	state->keys = NULL;
	state->n_keys = 0;
	fleet->drains = state->drains;
	fleet->nr_drains = state->n_drains;
	state->drains = NULL;
	state->n_drains = 0;
	return FLEET_OK;
}

enum fleet_error fleet_load(struct fleet *fleet, const uint8_t *data,
			    size_t len_bytes)
{
	struct fleet loaded = { 0 };
	Aw__FleetState *state = aw__fleet_state__unpack(NULL, len_bytes, data);
	enum fleet_error error;

	if (!state)
		return FLEET_ERR_MALFORMED;
	error = move_from_message(&loaded, state);
	aw__fleet_state__free_unpacked(state, NULL);
	if (error) {
		release_state(&loaded);
		return error;
	}
	release_state(fleet);
	*fleet = loaded;
	return FLEET_OK;
}
