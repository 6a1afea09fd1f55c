#include "view.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "log.h"

/*
 * An IP key is the address family and the address. The family comes first, so
 * that blocks of different families never nest.
 */
#define IP_KEY_BYTES 17
#define NO_PARENT SIZE_MAX

struct key_entry {
	const Aw__Key *key;
	UT_hash_handle hh;
};

struct route_entry {
	const Aw__Route *route;
};

struct block {
	uint8_t ip_key[IP_KEY_BYTES];
	uint32_t bits; /* prefix length, with the 8 bits of the family */
	const char *zone;
	size_t parent; /* smallest block that contains this one */
};

struct view {
	Aw__FleetState *state;
	struct key_entry *keys;
	struct key_entry *key_entries;
	struct route_entry *routes; /* longest prefix first */
	struct block *blocks; /* sorted by key, then by prefix length */
	size_t nr_blocks;
};

static const Aw__Config empty_config = AW__CONFIG__INIT;

static bool parse_ip_key(const char *text, uint8_t ip_key[IP_KEY_BYTES])
{
	struct in6_addr addr6;

	memset(ip_key, 0, IP_KEY_BYTES);
	if (inet_pton(AF_INET, text, ip_key + 1) == 1) {
		ip_key[0] = 4;
		return true;
	}
	if (inet_pton(AF_INET6, text, &addr6) != 1)
		return false;
	if (IN6_IS_ADDR_V4MAPPED(&addr6)) {
		ip_key[0] = 4;
		memcpy(ip_key + 1, addr6.s6_addr + 12, 4);
		return true;
	}
	ip_key[0] = 6;
	memcpy(ip_key + 1, addr6.s6_addr, 16);
	return true;
}

static void mask_ip_key(uint8_t ip_key[IP_KEY_BYTES], uint32_t bits)
{
	uint32_t i;

	for (i = 0; i < IP_KEY_BYTES; i++) {
		if (bits >= 8 * (i + 1))
			continue;
		if (bits <= 8 * i)
			ip_key[i] = 0;
		else
			ip_key[i] &= (uint8_t)(0xff << (8 * (i + 1) - bits));
	}
}

static bool parse_block(const Aw__ClientBlock *from, struct block *block)
{
	char text[INET6_ADDRSTRLEN + 8];
	unsigned long bits;
	char *slash, *end;

	if (snprintf(text, sizeof(text), "%s", from->prefix) >=
	    (int)sizeof(text))
		return false;
	slash = strchr(text, '/');
	if (!slash)
		return false;
	*slash = '\0';
	bits = strtoul(slash + 1, &end, 10);
	if (end == slash + 1 || *end || !parse_ip_key(text, block->ip_key))
		return false;
	if (bits > (block->ip_key[0] == 4 ? 32 : 128))
		return false;
	block->bits = (uint32_t)bits + 8;
	block->zone = from->zone;
	block->parent = NO_PARENT;
	mask_ip_key(block->ip_key, block->bits);
	return true;
}

static int compare_blocks(const void *a, const void *b)
{
	const struct block *left = a, *right = b;
	int order = memcmp(left->ip_key, right->ip_key, IP_KEY_BYTES);

	if (order)
		return order;
	return left->bits < right->bits ? -1 : left->bits > right->bits;
}

static bool contains(const struct block *block,
		     const uint8_t ip_key[IP_KEY_BYTES])
{
	uint8_t masked[IP_KEY_BYTES];

	memcpy(masked, ip_key, IP_KEY_BYTES);
	mask_ip_key(masked, block->bits);
	return !memcmp(masked, block->ip_key, IP_KEY_BYTES);
}

/*
 * Sets the parents of the sorted blocks. If any blocks contain a block, the
 * smallest of them is its predecessor or an ancestor of its predecessor.
 */
static void link_parents(struct view *view)
{
	size_t i, parent;

	for (i = 1; i < view->nr_blocks; i++) {
		parent = i - 1;
		while (parent != NO_PARENT &&
		       !contains(&view->blocks[parent], view->blocks[i].ip_key))
			parent = view->blocks[parent].parent;
		view->blocks[i].parent = parent;
	}
}

static int build_blocks(struct view *view)
{
	const Aw__Config *config = view_config(view);
	size_t i;

	view->blocks =
		calloc(config->n_client_blocks + 1, sizeof(*view->blocks));
	if (!view->blocks)
		return -1;
	for (i = 0; i < config->n_client_blocks; i++) {
		if (parse_block(config->client_blocks[i],
				&view->blocks[view->nr_blocks]))
			view->nr_blocks++;
		else
			log_warn("view", "client block \"%s\" is not a prefix",
				 config->client_blocks[i]->prefix);
	}
	qsort(view->blocks, view->nr_blocks, sizeof(*view->blocks),
	      compare_blocks);
	link_parents(view);
	return 0;
}

static int compare_prefix_lengths(const void *a, const void *b)
{
	const struct route_entry *left = a, *right = b;
	size_t left_bytes = strlen(left->route->path_prefix);
	size_t right_bytes = strlen(right->route->path_prefix);

	return left_bytes < right_bytes ? 1 : -(left_bytes > right_bytes);
}

static int build_routes(struct view *view)
{
	const Aw__Config *config = view_config(view);
	size_t i;

	view->routes = calloc(config->n_routes + 1, sizeof(*view->routes));
	if (!view->routes)
		return -1;
	for (i = 0; i < config->n_routes; i++)
		view->routes[i].route = config->routes[i];
	qsort(view->routes, config->n_routes, sizeof(*view->routes),
	      compare_prefix_lengths);
	return 0;
}

static int build_keys(struct view *view)
{
	size_t i, nr = view->state->n_keys;
	struct key_entry *entry;

	view->key_entries = calloc(nr + 1, sizeof(*view->key_entries));
	if (!view->key_entries)
		return -1;
	for (i = 0; i < nr; i++) {
		entry = &view->key_entries[i];
		entry->key = view->state->keys[i];
		if (entry->key->hash.len != HASH_BYTES)
			continue;
		HASH_ADD_KEYPTR(hh, view->keys, entry->key->hash.data,
				HASH_BYTES, entry);
	}
	return 0;
}

static Aw__FleetState *copy_state(const Aw__FleetState *state)
{
	size_t len_bytes = aw__fleet_state__get_packed_size(state);
	uint8_t *packed = malloc(len_bytes + 1);
	Aw__FleetState *copy;

	if (!packed)
		return NULL;
	aw__fleet_state__pack(state, packed);
	copy = aw__fleet_state__unpack(NULL, len_bytes, packed);
	free(packed);
	return copy;
}

struct view *view_create(const Aw__FleetState *state)
{
	struct view *view = calloc(1, sizeof(*view));

	if (!view)
		return NULL;
	view->state = copy_state(state);
	if (!view->state || build_keys(view) || build_routes(view) ||
	    build_blocks(view)) {
		view_destroy(view);
		return NULL;
	}
	return view;
}

void view_destroy(struct view *view)
{
	if (!view)
		return;
	HASH_CLEAR(hh, view->keys);
	free(view->key_entries);
	free(view->routes);
	free(view->blocks);
	aw__fleet_state__free_unpacked(view->state, NULL);
	free(view);
}

uint64_t view_version(const struct view *view)
{
	return view ? view->state->state_version : 0;
}

const Aw__Config *view_config(const struct view *view)
{
	if (!view)
		return NULL;
	return view->state->config ? view->state->config : &empty_config;
}

const Aw__Key *view_key(const struct view *view, const uint8_t hash[HASH_BYTES])
{
	struct key_entry *entry;

	HASH_FIND(hh, view->keys, hash, HASH_BYTES, entry);
	return entry ? entry->key : NULL;
}

static bool prefix_matches(const char *prefix, const char *target,
			   size_t path_bytes)
{
	size_t len_bytes = strlen(prefix);

	if (!len_bytes || len_bytes > path_bytes ||
	    memcmp(prefix, target, len_bytes) != 0)
		return false;
	return len_bytes == path_bytes || prefix[len_bytes - 1] == '/' ||
	       target[len_bytes] == '/' || target[len_bytes] == ';';
}

const Aw__Route *view_route(const struct view *view, const char *target)
{
	const Aw__Config *config = view_config(view);
	size_t i, path_bytes = strcspn(target, "?");

	for (i = 0; i < config->n_routes; i++) {
		if (prefix_matches(view->routes[i].route->path_prefix, target,
				   path_bytes))
			return view->routes[i].route;
	}
	return NULL;
}

/*
 * Copies the IP part of "IP", "IP:port", "[IP6]" or "[IP6]:port".
 */
static bool copy_ip(const char *address, char *ip, size_t ip_bytes)
{
	const char *end, *colon = strchr(address, ':');
	size_t len_bytes;

	if (*address == '[') {
		address++;
		end = strchr(address, ']');
		if (!end)
			return false;
	} else if (colon && !strchr(colon + 1, ':')) {
		end = colon;
	} else {
		end = address + strlen(address);
	}
	len_bytes = (size_t)(end - address);
	if (len_bytes >= ip_bytes)
		return false;
	memcpy(ip, address, len_bytes);
	ip[len_bytes] = '\0';
	return true;
}

const char *view_client_zone(const struct view *view, const char *address)
{
	char ip[INET6_ADDRSTRLEN + 1];
	uint8_t ip_key[IP_KEY_BYTES];
	size_t low = 0, high = view->nr_blocks, middle;

	if (!copy_ip(address, ip, sizeof(ip)) || !parse_ip_key(ip, ip_key))
		return NULL;
	/* Finds the last block that begins at or before the address. */
	while (low < high) {
		middle = low + (high - low) / 2;
		if (memcmp(view->blocks[middle].ip_key, ip_key, IP_KEY_BYTES) <=
		    0)
			low = middle + 1;
		else
			high = middle;
	}
	for (middle = low ? low - 1 : NO_PARENT; middle != NO_PARENT;
	     middle = view->blocks[middle].parent) {
		if (contains(&view->blocks[middle], ip_key))
			return view->blocks[middle].zone;
	}
	return "";
}

static bool drain_covers(const Aw__Drain *drain, const char *address,
			 const char *zone, const char *region)
{
	switch (drain->target_kind) {
	case AW__DRAIN_TARGET__DRAIN_SERVER:
		return !strcmp(drain->target, address);
	case AW__DRAIN_TARGET__DRAIN_ZONE:
		return !strcmp(drain->target, zone);
	case AW__DRAIN_TARGET__DRAIN_REGION:
		return !strcmp(drain->target, region);
	default:
		return false;
	}
}

uint32_t view_drained_permille(const struct view *view, const char *address,
			       const char *zone, const char *region)
{
	uint32_t share_permille = 0;
	size_t i;

	for (i = 0; i < view->state->n_drains; i++) {
		const Aw__Drain *drain = view->state->drains[i];

		if (drain_covers(drain, address, zone, region) &&
		    drain->share_permille > share_permille)
			share_permille = drain->share_permille;
	}
	return share_permille;
}
