#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"

static size_t find_drain(const struct fleet *fleet, const char *name)
{
	size_t i = 0;

	while (i < fleet->nr_drains &&
	       strcmp(fleet->drains[i]->name, name) != 0)
		i++;
	return i;
}

static const Aw__Drain *find_drain_of_target(const struct fleet *fleet,
					     const Aw__Drain *drain)
{
	for (size_t i = 0; i < fleet->nr_drains; i++)
		if (fleet->drains[i]->target_kind == drain->target_kind &&
		    !strcmp(fleet->drains[i]->target, drain->target))
			return fleet->drains[i];
	return NULL;
}

/*
 * Returns true if the target of a drain exists. Only zones and regions can be
 * checked: backend servers announce themselves and are not part of this state.
 */
static bool target_exists(const Aw__Config *config, const Aw__Drain *drain)
{
	if (drain->target_kind == AW__DRAIN_TARGET__DRAIN_SERVER)
		return true;
	for (size_t i = 0; i < config->n_zones; i++) {
		const Aw__Zone *zone = config->zones[i];
		bool is_zone =
			drain->target_kind == AW__DRAIN_TARGET__DRAIN_ZONE;

		if (!strcmp(is_zone ? zone->name : zone->region, drain->target))
			return true;
	}
	return false;
}

static const char *check_drain(const Aw__Drain *drain)
{
	if (!fleet_is_valid_id(drain->name, NAME_BYTES_MAX))
		return "the name of the drain is empty, too long or has spaces";
	if (!drain->reason[0])
		return "the drain has no reason";
	if (strlen(drain->reason) >= REASON_BYTES_MAX)
		return "the reason of the drain is too long";
	if (drain->target_kind != AW__DRAIN_TARGET__DRAIN_SERVER &&
	    drain->target_kind != AW__DRAIN_TARGET__DRAIN_ZONE &&
	    drain->target_kind != AW__DRAIN_TARGET__DRAIN_REGION)
		return "the kind of the drain is unknown";
	if (!fleet_is_valid_id(drain->target, ADDRESS_BYTES_MAX))
		return "the target of the drain is missing or too long";
	if (drain->ramp_s > FLEET_RAMP_S_MAX)
		return "the ramp of the drain is over 86400 s";
	if (drain->share_permille > FLEET_SHARE_PERMILLE_MAX)
		return "the share of the drain is over 1000 permille";
	return NULL;
}

enum fleet_error fleet_drain_plan(struct fleet *fleet, uint64_t index,
				  const Aw__OpDrainPlan *op,
				  Aw__OpResult *result)
{
	const char *cause = op->drain ? check_drain(op->drain) :
					"the drain is missing";
	Aw__Drain **list;
	Aw__Drain *drain;

	if (cause)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID, "%s",
					cause);
	if (!target_exists(fleet->config, op->drain))
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"the target \"%s\" does not exist",
					op->drain->target);
	if (find_drain(fleet, op->drain->name) < fleet->nr_drains)
		return fleet_set_result(result, AW__OP_CODE__OP_EXISTS,
					"drain \"%s\" exists already",
					op->drain->name);
	if (find_drain_of_target(fleet, op->drain))
		return fleet_set_result(
			result, AW__OP_CODE__OP_EXISTS,
			"drain \"%s\" has the same target",
			find_drain_of_target(fleet, op->drain)->name);
	if (fleet->nr_drains >= FLEET_DRAINS_MAX)
		return fleet_set_result(result, AW__OP_CODE__OP_INVALID,
					"there are %d drains already",
					FLEET_DRAINS_MAX);
	drain = message_copy(&op->drain->base);
	if (!drain)
		return FLEET_ERR_MEMORY;
	list = realloc(fleet->drains,
		       (fleet->nr_drains + 1) * sizeof(Aw__Drain *));
	if (!list) {
		message_free(drain);
		return FLEET_ERR_MEMORY;
	}
	drain->share_permille = 0;
	list[fleet->nr_drains++] = drain;
	fleet->drains = list;
	fleet_record_operator_change(fleet, index);
	return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

enum fleet_error fleet_drain_cancel(struct fleet *fleet, uint64_t index,
				    const Aw__OpDrainCancel *op,
				    Aw__OpResult *result)
{
	size_t at = find_drain(fleet, op->name);

	if (at == fleet->nr_drains)
		return fleet_set_result(result, AW__OP_CODE__OP_NOT_FOUND,
					"drain \"%s\" does not exist",
					op->name);
	message_free(fleet->drains[at]);
	fleet->nr_drains--;
	for (; at < fleet->nr_drains; at++)
		fleet->drains[at] = fleet->drains[at + 1];
	fleet_record_operator_change(fleet, index);
	return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

enum fleet_error fleet_drain_step(struct fleet *fleet, uint64_t index,
				  const Aw__OpDrainStep *op,
				  Aw__OpResult *result)
{
	size_t at = find_drain(fleet, op->name);
	Aw__Drain *drain;

	if (at == fleet->nr_drains)
		return fleet_set_result(result, AW__OP_CODE__OP_NOT_FOUND,
					"drain \"%s\" does not exist",
					op->name);
	drain = fleet->drains[at];
	if (op->share_permille <= drain->share_permille ||
	    op->share_permille > FLEET_SHARE_PERMILLE_MAX)
		return fleet_set_result(
			result, AW__OP_CODE__OP_INVALID,
			"the share of drain \"%s\" cannot go from %u "
			"to %u permille",
			op->name, drain->share_permille, op->share_permille);
	drain->share_permille = op->share_permille;
	fleet->state_version = index;
	return fleet_set_result(result, AW__OP_CODE__OP_DONE, "%s", "");
}

bool fleet_drains_are_valid(Aw__Drain *const *drains, size_t nr)
{
	if (nr > FLEET_DRAINS_MAX)
		return false;
	for (size_t i = 0; i < nr; i++)
		if (check_drain(drains[i]))
			return false;
	return true;
}
