#include "lookup.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <sodium.h>

#include "config.h"

enum group { GROUP_ZONE, GROUP_REGION, GROUP_OTHER, GROUP_COUNT };

struct ranked {
	const Aw__Instance *instance;
	enum group group;
	uint64_t spread;
};

static int by_rank(const void *a, const void *b)
{
	const struct ranked *left = a, *right = b;

	if (left->group != right->group)
		return left->group < right->group ? -1 : 1;
	if (left->spread != right->spread)
		return left->spread < right->spread ? -1 : 1;
	return strcmp(left->instance->name, right->instance->name);
}

static enum group group_of(const Aw__Config *config, const char *client_zone,
			   const char *zone)
{
	const char *client_region, *region;

	if (!strcmp(client_zone, zone))
		return GROUP_ZONE;
	client_region = cfg_region_of_zone(config, client_zone);
	region = cfg_region_of_zone(config, zone);
	if (client_region && region && !strcmp(client_region, region))
		return GROUP_REGION;
	return GROUP_OTHER;
}

/*
 * The hash only spreads load, so a fixed key does: nobody gains by steering
 * itself to one instance that it could also name directly.
 */
static uint64_t spread_of(const char *client, const char *name)
{
	static const uint8_t key[crypto_shorthash_KEYBYTES];
	char text[ADDRESS_BYTES_MAX + NAME_BYTES_MAX];
	uint8_t hash[crypto_shorthash_BYTES];
	size_t client_bytes = strlen(client);
	const char *bracket = strrchr(client, ']');
	const char *colon = strchr(client, ':');
	uint64_t value;

	/* The port changes with each connection. */
	if (bracket)
		client_bytes = (size_t)(bracket - client);
	else if (colon && !strchr(colon + 1, ':'))
		client_bytes = (size_t)(colon - client);
	snprintf(text, sizeof(text), "%.*s %s", (int)client_bytes, client,
		 name);
	crypto_shorthash(hash, (const uint8_t *)text, strlen(text), key);
	memcpy(&value, hash, sizeof(value));
	return value;
}

static size_t rank_all(const struct look_question *question,
		       const char *client_zone, struct ranked *ranked)
{
	const Aw__Config *config = view_config(question->view);
	size_t i, nr = 0;

	for (i = 0; i < question->nr_instances; i++) {
		const Aw__Instance *instance = question->instances[i];

		if (instance->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE)
			continue;
		if (question->omit_self &&
		    !strcmp(instance->name, question->own_name))
			continue;
		ranked[nr].instance = instance;
		ranked[nr].group =
			group_of(config, client_zone, instance->zone);
		ranked[nr].spread = spread_of(question->client, instance->name);
		nr++;
	}
	qsort(ranked, nr, sizeof(*ranked), by_rank);
	return nr;
}

static bool add_instance(cJSON *list, const Aw__Instance *instance)
{
	cJSON *item = cJSON_CreateObject();

	if (!item || !cJSON_AddItemToArray(list, item))
		return false;
	return cJSON_AddStringToObject(item, "name", instance->name) &&
	       cJSON_AddStringToObject(item, "zone", instance->zone) &&
	       cJSON_AddStringToObject(item, "address", instance->address);
}

enum look_error look_answer(const struct look_question *question,
			    struct buf *out)
{
	const char *client_zone;
	uint32_t nr_named[GROUP_COUNT] = { 0 };
	struct ranked *ranked;
	enum look_error error = LOOK_ERR_MEMORY;
	cJSON *root = NULL, *list;
	char *text = NULL;
	size_t i, nr;

	client_zone = view_client_zone(question->view, question->client);
	if (!client_zone)
		return LOOK_ERR_CLIENT;
	if (!*client_zone)
		client_zone = question->own_zone;
	ranked = calloc(question->nr_instances + 1, sizeof(*ranked));
	if (!ranked)
		return LOOK_ERR_MEMORY;
	nr = rank_all(question, client_zone, ranked);
	root = cJSON_CreateObject();
	if (!cJSON_AddNumberToObject(root, "ttl_s", question->ttl_s))
		goto out;
	list = cJSON_AddArrayToObject(root, "instances");
	if (!list)
		goto out;
	for (i = 0; i < nr; i++) {
		if (nr_named[ranked[i].group]++ >= LOOK_GROUP_MAX)
			continue;
		if (!add_instance(list, ranked[i].instance))
			goto out;
	}
	text = cJSON_PrintUnformatted(root);
	if (text && !buf_append_str(out, text))
		error = LOOK_OK;
out:
	cJSON_free(text);
	cJSON_Delete(root);
	free(ranked);
	return error;
}
