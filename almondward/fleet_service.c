#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"

/*
 * Old departures are not needed: a server has a new incarnation after each
 * start. This is more than a day of releases needs.
 */
#define DEPARTURES_MAX 8192
#define EVACUATED_ZONES_MAX 64

/* ---- plan ---- */

static Aw__OpCode op_code_of_verdict(enum plan_result verdict)
{
	switch (verdict) {
	case PLAN_ACCEPTED:
	case PLAN_REPEATED:
		return AW__OP_CODE__OP_DONE;
	case PLAN_CONFLICT:
		return AW__OP_CODE__OP_VERSION_CONFLICT;
	default:
		return AW__OP_CODE__OP_INVALID;
	}
}

enum fleet_error fleet_plan_change(struct fleet *fleet, uint64_t index,
				   const Aw__PlanChange *change,
				   Aw__OpResult *result)
{
	char detail[256];
	enum plan_result verdict;

	verdict =
		plan_change(fleet->plan, index, change, detail, sizeof(detail));
	if (verdict == PLAN_ERR_MEMORY)
		return FLEET_ERR_MEMORY;
	if (verdict == PLAN_ACCEPTED)
		fleet->service_index = index;
	return fleet_set_result(result, op_code_of_verdict(verdict), "%s",
				detail);
}

/* ---- evacuated zones ---- */

static size_t find_zone(const struct fleet *fleet, const char *zone)
{
	size_t i = 0;

	while (i < fleet->nr_evacuated_zones &&
	       strcmp(fleet->evacuated_zones[i], zone) != 0)
		i++;
	return i;
}

static enum fleet_error add_zone(struct fleet *fleet, const char *zone)
{
	char **zones =
		realloc(fleet->evacuated_zones,
			(fleet->nr_evacuated_zones + 1) * sizeof(*zones));

	if (!zones)
		return FLEET_ERR_MEMORY;
	fleet->evacuated_zones = zones;
	zones[fleet->nr_evacuated_zones] = strdup(zone);
	if (!zones[fleet->nr_evacuated_zones])
		return FLEET_ERR_MEMORY;
	fleet->nr_evacuated_zones++;
	return FLEET_OK;
}

enum fleet_error fleet_zone(struct fleet *fleet, uint64_t index,
			    const Aw__OpZone *op, Aw__OpResult *result)
{
	size_t at = find_zone(fleet, op->zone);
	bool is_evacuated = at < fleet->nr_evacuated_zones;
	enum fleet_error error = FLEET_OK;

	if (!fleet_is_valid_id(op->zone, NAME_BYTES_MAX) ||
	    (!is_evacuated && fleet->nr_evacuated_zones == EVACUATED_ZONES_MAX))
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the name of the zone is not valid");
	if (is_evacuated == op->evacuated)
		return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
	fleet->service_index = index;
	if (op->evacuated) {
		error = add_zone(fleet, op->zone);
	} else {
		free(fleet->evacuated_zones[at]);
		fleet->evacuated_zones[at] =
			fleet->evacuated_zones[--fleet->nr_evacuated_zones];
	}
	return error ? error :
		       fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

const char *const *fleet_evacuated_zones(const struct fleet *fleet, size_t *nr)
{
	*nr = fleet->nr_evacuated_zones;
	return (const char *const *)fleet->evacuated_zones;
}

/* ---- departures ---- */

static struct fleet_departure *find_departure(const struct fleet *fleet,
					      const char *server_id)
{
	struct fleet_departure *departure;

	HASH_FIND_STR(fleet->departures, server_id, departure);
	return departure;
}

/*
 * A server that restarts with the same id has a higher incarnation.
 */
bool fleet_has_departed(const struct fleet *fleet, const char *server_id,
			uint64_t incarnation)
{
	const struct fleet_departure *departure =
		find_departure(fleet, server_id);

	return departure && incarnation <= departure->record->incarnation;
}

static void discard_departure(struct fleet *fleet,
			      struct fleet_departure *departure)
{
	HASH_DEL(fleet->departures, departure);
	message_free(departure->record);
	free(departure);
}

static enum fleet_error add_departure(struct fleet *fleet,
				      Aw__Departure *record)
{
	struct fleet_departure *departure = calloc(1, sizeof(*departure));

	if (!departure || !record) {
		free(departure);
		message_free(record);
		return FLEET_ERR_MEMORY;
	}
	departure->record = record;
	HASH_ADD_KEYPTR(hh, fleet->departures, record->server_id,
			strlen(record->server_id), departure);
	if (HASH_COUNT(fleet->departures) > DEPARTURES_MAX)
		discard_departure(fleet, fleet->departures);
	return FLEET_OK;
}

enum fleet_error fleet_departure(struct fleet *fleet, uint64_t index,
				 const Aw__OpDeparture *op,
				 Aw__OpResult *result)
{
	Aw__Departure record = AW__DEPARTURE__INIT;
	struct fleet_departure *previous = find_departure(fleet, op->server_id);
	enum fleet_error error;

	if (!fleet_is_valid_id(op->server_id, NAME_BYTES_MAX))
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the id of the server is not valid");
	if (previous && previous->record->incarnation >= op->incarnation)
		return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
	if (previous)
		discard_departure(fleet, previous);
	record.server_id = op->server_id;
	record.incarnation = op->incarnation;
	record.index = index;
	error = add_departure(fleet, message_copy(&record.base));
	return error ? error :
		       fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

/* ---- pack and load ---- */

void fleet_service_fill(const struct fleet *fleet, Aw__FleetState *state,
			struct fleet_service_lists *lists)
{
	struct fleet_departure *departure, *next;

	state->plan = (Aw__Plan *)plan_message(fleet->plan);
	state->plan_digests = lists->digests;
	state->n_plan_digests =
		plan_digests(fleet->plan, lists->digests, PLAN_DIGESTS_MAX);
	state->evacuated_zones = fleet->evacuated_zones;
	state->n_evacuated_zones = fleet->nr_evacuated_zones;
	state->departures = lists->departures;
	HASH_ITER(hh, fleet->departures, departure, next)
	{
		state->departures[state->n_departures++] = departure->record;
	}
}

int fleet_service_lists_create(const struct fleet *fleet,
			       struct fleet_service_lists *lists)
{
	lists->digests = calloc(PLAN_DIGESTS_MAX, sizeof(*lists->digests));
	lists->departures = calloc(HASH_COUNT(fleet->departures) + 1,
				   sizeof(Aw__Departure *));
	return lists->digests && lists->departures ? 0 : -1;
}

void fleet_service_lists_release(struct fleet_service_lists *lists)
{
	free(lists->digests);
	free(lists->departures);
}

enum fleet_error fleet_service_load(struct fleet *fleet, Aw__FleetState *state)
{
	size_t i;

	fleet->plan = plan_create();
	if (!fleet->plan)
		return FLEET_ERR_MEMORY;
	if (state->plan && plan_replace(fleet->plan, state->plan))
		return FLEET_ERR_MEMORY;
	for (i = 0; i < state->n_plan_digests; i++)
		if (plan_load_digest(fleet->plan, &state->plan_digests[i]))
			return FLEET_ERR_MEMORY;
	for (i = 0; i < state->n_evacuated_zones; i++)
		if (add_zone(fleet, state->evacuated_zones[i]))
			return FLEET_ERR_MEMORY;
	for (i = 0; i < state->n_departures; i++) {
		if (add_departure(fleet, state->departures[i]))
			return FLEET_ERR_MEMORY;
		state->departures[i] = NULL;
	}
	fleet->service_index = state->applied_index;
	return FLEET_OK;
}

void fleet_service_clear(struct fleet *fleet)
{
	size_t i;

	plan_destroy(fleet->plan);
	for (i = 0; i < fleet->nr_evacuated_zones; i++)
		free(fleet->evacuated_zones[i]);
	free(fleet->evacuated_zones);
	while (fleet->departures)
		discard_departure(fleet, fleet->departures);
}
