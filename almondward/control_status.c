#include "control_internal.h"

#include <stdio.h>

#include <cjson/cJSON.h>

/*
 * When memory is exhausted, cJSON calls return NULL and accept NULL as input;
 * the result then lacks items or is NULL.
 */

static const char *drain_kind(Aw__DrainTarget kind)
{
	switch (kind) {
	case AW__DRAIN_TARGET__DRAIN_SERVER:
		return "server";
	case AW__DRAIN_TARGET__DRAIN_ZONE:
		return "zone";
	case AW__DRAIN_TARGET__DRAIN_REGION:
		return "region";
	default:
		return "unknown";
	}
}

static const char *server_state(Aw__ServerState state)
{
	switch (state) {
	case AW__SERVER_STATE__SERVER_ACTIVE:
		return "active";
	case AW__SERVER_STATE__SERVER_LEAVING:
		return "leaving";
	case AW__SERVER_STATE__SERVER_SILENT:
		return "silent";
	default:
		return "unknown";
	}
}

static cJSON *add_object(cJSON *array)
{
	cJSON *object = cJSON_CreateObject();

	if (object && !cJSON_AddItemToArray(array, object)) {
		cJSON_Delete(object);
		return NULL;
	}
	return object;
}

static void add_drains(struct ctl *ctl, cJSON *to)
{
	cJSON *list = cJSON_AddArrayToObject(to, "drains"), *item;
	const Aw__Drain *const *drains;
	size_t nr, i;

	drains = fleet_drains(ctl->fleet, &nr);
	for (i = 0; i < nr; i++) {
		item = add_object(list);
		cJSON_AddStringToObject(item, "name", drains[i]->name);
		cJSON_AddStringToObject(item, "kind",
					drain_kind(drains[i]->target_kind));
		cJSON_AddStringToObject(item, "target", drains[i]->target);
		cJSON_AddNumberToObject(item, "ramp_s", drains[i]->ramp_s);
		cJSON_AddStringToObject(item, "reason", drains[i]->reason);
		cJSON_AddNumberToObject(item, "share_permille",
					drains[i]->share_permille);
		cJSON_AddBoolToObject(item, "forced", drains[i]->forced);
	}
}

cJSON *ctl_drains_json(struct ctl *ctl)
{
	cJSON *json = cJSON_CreateObject();

	add_drains(ctl, json);
	return json;
}

cJSON *ctl_keys_json(struct ctl *ctl)
{
	cJSON *json = cJSON_CreateObject(), *list, *item;
	const Aw__Key *const *keys;
	size_t nr, i;

	list = cJSON_AddArrayToObject(json, "keys");
	keys = fleet_keys(ctl->fleet, &nr);
	for (i = 0; i < nr; i++) {
		item = add_object(list);
		cJSON_AddStringToObject(item, "id", keys[i]->id);
		cJSON_AddStringToObject(item, "customer", keys[i]->customer);
		cJSON_AddBoolToObject(item, "withdrawn", keys[i]->withdrawn);
	}
	return json;
}

static void add_voters(struct ctl *ctl, cJSON *to)
{
	cJSON *list = cJSON_AddArrayToObject(to, "voters"), *item;
	const Aw__Voter *const *voters;
	char incarnation[17];
	size_t nr, i;

	voters = raft_voters(ctl->raft, &nr);
	for (i = 0; i < nr; i++) {
		/* JSON numbers lose digits of 64 bits. */
		snprintf(incarnation, sizeof(incarnation), "%016llx",
			 (unsigned long long)voters[i]->incarnation);
		item = add_object(list);
		cJSON_AddStringToObject(item, "name", voters[i]->name);
		cJSON_AddStringToObject(item, "incarnation", incarnation);
	}
}

static void add_instances(struct ctl *ctl, cJSON *to)
{
	cJSON *list = cJSON_AddArrayToObject(to, "instances"), *item;
	struct reg *reg = soft_registry(ctl->soft);
	const Aw__Instance *const *instances;
	size_t nr, i;

	instances = reg_instances(reg, &nr);
	for (i = 0; i < nr; i++) {
		const Aw__Instance *from = instances[i];

		item = add_object(list);
		cJSON_AddStringToObject(item, "name", from->name);
		cJSON_AddStringToObject(item, "zone", from->zone);
		cJSON_AddStringToObject(item, "address", from->address);
		cJSON_AddStringToObject(
			item, "state",
			from->state == AW__INSTANCE_STATE__INSTANCE_LEAVING ?
				"leaving" :
				"active");
		cJSON_AddNumberToObject(
			item, "age_ms",
			(double)reg_instance_age_ms(reg, from->name));
	}
}

static void add_servers(struct ctl *ctl, cJSON *to)
{
	cJSON *list = cJSON_AddArrayToObject(to, "servers"), *item;
	const Aw__Server *const *servers;
	size_t nr, i;

	servers = reg_servers(soft_registry(ctl->soft), &nr);
	for (i = 0; i < nr; i++) {
		const Aw__Server *from = servers[i];

		item = add_object(list);
		cJSON_AddStringToObject(item, "upstream", from->upstream);
		cJSON_AddStringToObject(item, "address", from->address);
		cJSON_AddStringToObject(item, "zone", from->zone);
		cJSON_AddNumberToObject(item, "slots", from->slots);
		cJSON_AddNumberToObject(
			item, "held",
			alloc_slots_held(soft_slots(ctl->soft), from->address));
		cJSON_AddStringToObject(item, "state",
					server_state(from->state));
		cJSON_AddNumberToObject(item, "age_ms", from->age_ms);
	}
}

static void add_slots(struct ctl *ctl, cJSON *to)
{
	cJSON *list = cJSON_AddArrayToObject(to, "slots"), *item;
	const Aw__Config *config = fleet_config(ctl->fleet);
	struct alloc_load load;
	size_t i;

	for (i = 0; i < config->n_upstreams; i++) {
		const char *name = config->upstreams[i]->name;

		alloc_slots_load(soft_slots(ctl->soft), name, NULL, &load);
		item = add_object(list);
		cJSON_AddStringToObject(item, "upstream", name);
		cJSON_AddNumberToObject(item, "held", load.held);
		cJSON_AddNumberToObject(item, "in_use", load.in_use);
		cJSON_AddNumberToObject(item, "demand", load.demand);
	}
}

cJSON *ctl_status(struct ctl *ctl)
{
	cJSON *json = cJSON_CreateObject();

	reg_tick(soft_registry(ctl->soft));
	quar_tick(soft_quarantine(ctl->soft));
	cJSON_AddStringToObject(json, "leader", ctl->settings->name);
	cJSON_AddNumberToObject(json, "term", (double)raft_term(ctl->raft));
	cJSON_AddNumberToObject(json, "commit_index",
				(double)raft_commit_index(ctl->raft));
	cJSON_AddNumberToObject(json, "version",
				(double)fleet_config(ctl->fleet)->version);
	add_voters(ctl, json);
	add_instances(ctl, json);
	add_servers(ctl, json);
	add_slots(ctl, json);
	add_drains(ctl, json);
	cJSON_AddNumberToObject(
		json, "quarantine",
		(double)quar_nr_listed(soft_quarantine(ctl->soft)));
	return json;
}
