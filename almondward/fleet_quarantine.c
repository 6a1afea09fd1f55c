#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"

/*
 * Records of quarantined requests, oldest first. They are replicated so that
 * such a request is not sent to servers again after a change of leader or a
 * restart of all instances.
 */

/* Each of them has crashed servers. When full, the oldest is discarded. */
#define QUARANTINE_RECORDS_MAX 1024

static void discard_record(struct fleet *fleet, size_t nth)
{
	message_free(fleet->quarantines[nth]);
	fleet->nr_quarantines--;
	memmove(&fleet->quarantines[nth], &fleet->quarantines[nth + 1],
		(fleet->nr_quarantines - nth) * sizeof(Aw__QuarantineRecord *));
}

static bool record_is_valid(const Aw__QuarantineRecord *record)
{
	return record->fingerprint.len == HASH_BYTES;
}

static size_t find_record(const struct fleet *fleet,
			  const Aw__QuarantineRecord *record)
{
	size_t i = 0;

	while (i < fleet->nr_quarantines &&
	       memcmp(fleet->quarantines[i]->fingerprint.data,
		      record->fingerprint.data, HASH_BYTES) != 0)
		i++;
	return i;
}

/*
 * Adds a record, takes ownership of it and frees it on error.
 */
static enum fleet_error add_record(struct fleet *fleet,
				   Aw__QuarantineRecord *record)
{
	Aw__QuarantineRecord **list;

	if (!record)
		return FLEET_ERR_MEMORY;
	if (fleet->nr_quarantines == QUARANTINE_RECORDS_MAX)
		discard_record(fleet, 0);
	list = realloc(
		fleet->quarantines,
		(fleet->nr_quarantines + 1) * sizeof(Aw__QuarantineRecord *));
	if (!list) {
		message_free(record);
		return FLEET_ERR_MEMORY;
	}
	fleet->quarantines = list;
	list[fleet->nr_quarantines++] = record;
	return FLEET_OK;
}

enum fleet_error fleet_quarantine(struct fleet *fleet,
				  const Aw__QuarantineRecord *op,
				  Aw__OpResult *result)
{
	enum fleet_error error = FLEET_OK;
	size_t at;

	if (!record_is_valid(op))
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the fingerprint is not valid");
	at = find_record(fleet, op);
	if (at < fleet->nr_quarantines)
		discard_record(fleet, at);
	if (op->until_ms > fleet->time_ms)
		error = add_record(fleet, message_copy(&op->base));
	return error ? error :
		       fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

void fleet_quarantines_expire(struct fleet *fleet)
{
	size_t i = 0;

	while (i < fleet->nr_quarantines) {
		if (fleet->quarantines[i]->until_ms <= fleet->time_ms)
			discard_record(fleet, i);
		else
			i++;
	}
}

const Aw__QuarantineRecord *const *fleet_quarantines(const struct fleet *fleet,
						     size_t *nr)
{
	*nr = fleet->nr_quarantines;
	return (const Aw__QuarantineRecord *const *)fleet->quarantines;
}

enum fleet_error fleet_quarantines_load(struct fleet *fleet,
					Aw__FleetState *state)
{
	enum fleet_error error;
	size_t i;

	if (state->n_quarantines > QUARANTINE_RECORDS_MAX)
		return FLEET_ERR_MALFORMED;
	for (i = 0; i < state->n_quarantines; i++) {
		if (!record_is_valid(state->quarantines[i]))
			return FLEET_ERR_MALFORMED;
		error = add_record(fleet, state->quarantines[i]);
		state->quarantines[i] = NULL;
		if (error)
			return error;
	}
	return FLEET_OK;
}

void fleet_quarantines_clear(struct fleet *fleet)
{
	while (fleet->nr_quarantines)
		discard_record(fleet, fleet->nr_quarantines - 1);
	free(fleet->quarantines);
}
