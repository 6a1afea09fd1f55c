#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "fleet_state.h"

/*
 * Hashes everything that the operator sent. The time, which the leader sets, is
 * excluded because it differs when the same request is sent again.
 */
enum fleet_error fleet_op_digest(const Aw__Op *op, uint8_t *digest)
{
	Aw__Op op_without_time = *op;
	size_t len_bytes;
	uint8_t *packed;

	op_without_time.time_ms = 0;
	len_bytes = aw__op__get_packed_size(&op_without_time);
	packed = malloc(len_bytes + 1);
	if (!packed)
		return FLEET_ERR_MEMORY;
	aw__op__pack(&op_without_time, packed);
	crypto_generichash(digest, HASH_BYTES, packed, len_bytes, NULL, 0);
	free(packed);
	return FLEET_OK;
}

static struct fleet_result *find_result(const struct fleet *fleet,
					const char *id)
{
	struct fleet_result *found;

	HASH_FIND_STR(fleet->results, id, found);
	return found;
}

const Aw__OperatorResult *fleet_result_find(const struct fleet *fleet,
					    const char *id)
{
	struct fleet_result *found = find_result(fleet, id);

	return found ? found->record : NULL;
}

static void discard_result(struct fleet *fleet, struct fleet_result *result)
{
	HASH_DEL(fleet->results, result);
	message_free(result->record);
	free(result);
}

static enum fleet_error add_record(struct fleet *fleet,
				   Aw__OperatorResult *record)
{
	struct fleet_result *result = calloc(1, sizeof(*result));

	if (!result)
		return FLEET_ERR_MEMORY;
	result->record = record;
	HASH_ADD_KEYPTR(hh, fleet->results, record->operator_request_id,
			strlen(record->operator_request_id), result);
	if (HASH_COUNT(fleet->results) > FLEET_RESULTS_MAX)
		discard_result(fleet, fleet->results);
	return FLEET_OK;
}

enum fleet_error fleet_result_add(struct fleet *fleet, const char *id,
				  const uint8_t *digest,
				  const Aw__OpResult *result)
{
	Aw__OperatorResult record = AW__OPERATOR_RESULT__INIT;
	Aw__OperatorResult *copy;
	enum fleet_error error;

	record.operator_request_id = (char *)id;
	record.result = (Aw__OpResult *)result;
	record.digest.data = (uint8_t *)digest;
	record.digest.len = HASH_BYTES;
	copy = message_copy(&record.base);
	if (!copy)
		return FLEET_ERR_MEMORY;
	error = add_record(fleet, copy);
	if (error)
		message_free(copy);
	return error;
}

enum fleet_error fleet_results_load(struct fleet *fleet,
				    Aw__OperatorResult *record)
{
	if (!fleet_is_valid_id(record->operator_request_id,
			       FLEET_REQUEST_ID_BYTES_MAX) ||
	    record->digest.len != HASH_BYTES || !record->result ||
	    find_result(fleet, record->operator_request_id))
		return FLEET_ERR_MALFORMED;
	return add_record(fleet, record);
}

void fleet_results_clear(struct fleet *fleet)
{
	struct fleet_result *result, *next;

	HASH_ITER(hh, fleet->results, result, next)
	{
		discard_result(fleet, result);
	}
}
