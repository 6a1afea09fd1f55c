#include "lookup.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <sodium.h>

#include "config.h"

enum group { GROUP_ZONE, GROUP_REGION, GROUP_OTHER, GROUP_COUNT };

struct candidate {
	const Aw__Instance *instance;
	enum group group;
	uint64_t order_hash;
};

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *left = a, *right = b;

	if (left->group != right->group)
		return left->group < right->group ? -1 : 1;
	if (left->order_hash != right->order_hash)
		return left->order_hash < right->order_hash ? -1 : 1;
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
 * Returns a hash of the client's IP address and the name of an instance. A
 * fixed key is enough, since the hash only distributes load: a client gains
 * nothing by choosing its instance, which it could also address directly.
 */
static uint64_t compute_order_hash(const char *client, const char *name)
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

static size_t collect_candidates(const struct look_request *request,
				 const char *client_zone,
				 struct candidate *candidates)
{
	const Aw__Config *config = view_config(request->view);
	size_t i, nr = 0;

	for (i = 0; i < request->nr_instances; i++) {
		const Aw__Instance *instance = request->instances[i];

		if (instance->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE)
			continue;
		if (request->omit_self &&
		    !strcmp(instance->name, request->own_name))
			continue;
		candidates[nr].instance = instance;
		candidates[nr].group =
			group_of(config, client_zone, instance->zone);
		candidates[nr].order_hash =
			compute_order_hash(request->client, instance->name);
		nr++;
	}
	qsort(candidates, nr, sizeof(*candidates), compare_candidates);
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

enum look_error look_write_response(const struct look_request *request,
				    struct buf *out)
{
	const char *client_zone;
	uint32_t nr_listed[GROUP_COUNT] = { 0 };
	struct candidate *candidates;
	enum look_error error = LOOK_ERR_MEMORY;
	cJSON *root = NULL, *list;
	char *text = NULL;
	size_t i, nr;

	client_zone = view_client_zone(request->view, request->client);
	if (!client_zone)
		return LOOK_ERR_CLIENT;
	if (!*client_zone)
		client_zone = request->own_zone;
	candidates = calloc(request->nr_instances + 1, sizeof(*candidates));
	if (!candidates)
		return LOOK_ERR_MEMORY;
	nr = collect_candidates(request, client_zone, candidates);
	root = cJSON_CreateObject();
	if (!cJSON_AddNumberToObject(root, "ttl_s", request->ttl_s))
		goto out;
	list = cJSON_AddArrayToObject(root, "instances");
	if (!list)
		goto out;
	for (i = 0; i < nr; i++) {
		if (nr_listed[candidates[i].group]++ >= LOOK_GROUP_MAX)
			continue;
		if (!add_instance(list, candidates[i].instance))
			goto out;
	}
	text = cJSON_PrintUnformatted(root);
	if (text && !buf_append_str(out, text))
		error = LOOK_OK;
out:
	cJSON_free(text);
	cJSON_Delete(root);
	free(candidates);
	return error;
}
