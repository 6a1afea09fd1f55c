#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"

/*
 * Quarantined requests, oldest first. They are recorded so that neither a new
 * leader nor a restart of everything sends such a request to servers again.
 */

/* Each has cost servers; the oldest is forgotten first. */
#define QUARANTINES_MAX 1024

static void forget(struct fleet *fleet, size_t nth)
{
	message_free(fleet->quarantines[nth]);
	fleet->nr_quarantines--;
	memmove(&fleet->quarantines[nth], &fleet->quarantines[nth + 1],
		(fleet->nr_quarantines - nth) * sizeof(Aw__QuarantineRecord *));
}

static bool is_valid(const Aw__QuarantineRecord *record)
{
	return record->fingerprint.len == HASH_BYTES;
}

static size_t find(const struct fleet *fleet,
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
 * Takes the record over.
 */
static enum fleet_error add(struct fleet *fleet, Aw__QuarantineRecord *record)
{
	Aw__QuarantineRecord **list;

	if (!record)
		return FLEET_ERR_MEMORY;
	if (fleet->nr_quarantines == QUARANTINES_MAX)
		forget(fleet, 0);
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

	if (!is_valid(op))
		return fleet_set(result, AW__OP_CODE__OP_INVALID,
				 "the fingerprint is not valid");
	at = find(fleet, op);
	if (at < fleet->nr_quarantines)
		forget(fleet, at);
	if (op->until_ms > fleet->time_ms)
		error = add(fleet, message_copy(&op->base));
	return error ? error :
		       fleet_set(result, AW__OP_CODE__OP_DONE, "%s", "");
}

void fleet_quarantines_expire(struct fleet *fleet)
{
	size_t i = 0;

	while (i < fleet->nr_quarantines) {
		if (fleet->quarantines[i]->until_ms <= fleet->time_ms)
			forget(fleet, i);
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

	if (state->n_quarantines > QUARANTINES_MAX)
		return FLEET_ERR_MALFORMED;
	for (i = 0; i < state->n_quarantines; i++) {
		if (!is_valid(state->quarantines[i]))
			return FLEET_ERR_MALFORMED;
		error = add(fleet, state->quarantines[i]);
		state->quarantines[i] = NULL;
		if (error)
			return error;
	}
	return FLEET_OK;
}

void fleet_quarantines_clear(struct fleet *fleet)
{
	while (fleet->nr_quarantines)
		forget(fleet, fleet->nr_quarantines - 1);
	free(fleet->quarantines);
}
