#include "topo.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "log.h"
#include "message.h"
#include "settings.h"

/*
 * Removals that are kept for incremental feeds. A follower that has missed more
 * gets the whole table.
 */
#define REMOVALS_MAX 4096
/* Time that entry instances need to subscribe to a new leader. */
#define SUBSCRIBE_MAX_MS 2500
/* A heartbeat that arrives after a zone takes traffic again can be this old. */
#define HEARTBEAT_DELAY_MAX_MS 1600
/* No server warms up longer; a heartbeat that reports more is invalid. */
#define WARM_UP_MAX_MS 3600000

struct server_entry {
	struct topo_server server;
	UT_hash_handle hh;
};

struct removal {
	char id[NAME_BYTES_MAX];
	uint64_t version;
};

struct instance {
	Aw__Instance *message;
	uint64_t incarnation;
	uint64_t link_lost_ms; /* 0: the link is up */
};

struct topo {
	struct clk *clk;
	uint64_t term;
	uint64_t version;
	struct server_entry *servers; /* by id */
	struct removal *removals; /* ring */
	size_t next_removal;
	/*
	 * Removals up to this version are discarded, so a follower at this
	 * version or an older one gets the whole table.
	 */
	uint64_t whole_feed_version;
	struct instance *instances;
	const Aw__Instance **list; /* the messages of the array instances */
	size_t nr_instances;
	uint64_t instances_version;
	bool (*is_planned)(void *arg, const char *upstream); /* NULL: all are */
	void *planned_arg;
};

static uint64_t now_ms(const struct topo *topo)
{
	return clk_now_ms(topo->clk);
}

struct topo *topo_create(struct clk *clk)
{
	struct topo *topo = calloc(1, sizeof(*topo));

	if (!topo)
		return NULL;
	topo->clk = clk;
	topo->version = 1;
	topo->instances_version = 1;
	topo->removals = calloc(REMOVALS_MAX, sizeof(*topo->removals));
	if (topo->removals)
		return topo;
	free(topo);
	return NULL;
}

static void clear_instances(struct topo *topo)
{
	size_t i;

	for (i = 0; i < topo->nr_instances; i++)
		message_free(topo->instances[i].message);
	topo->nr_instances = 0;
}

static void clear_servers(struct topo *topo)
{
	struct server_entry *entry;

	while ((entry = topo->servers)) {
		HASH_DEL(topo->servers, entry);
		free(entry);
	}
}

void topo_destroy(struct topo *topo)
{
	if (!topo)
		return;
	clear_servers(topo);
	clear_instances(topo);
	free(topo->instances);
	free(topo->list);
	free(topo->removals);
	free(topo);
}

void topo_set_planned(struct topo *topo,
		      bool (*is_planned)(void *arg, const char *upstream),
		      void *arg)
{
	topo->is_planned = is_planned;
	topo->planned_arg = arg;
}

static bool is_planned(const struct topo *topo, const char *upstream)
{
	return !topo->is_planned ||
	       topo->is_planned(topo->planned_arg, upstream);
}

static struct server_entry *find_server(const struct topo *topo, const char *id)
{
	struct server_entry *entry;

	HASH_FIND_STR(topo->servers, id, entry);
	return entry;
}

static void mark_changed(struct topo *topo, struct server_entry *entry)
{
	entry->server.changed_version = ++topo->version;
}

static void remove_server(struct topo *topo, struct server_entry *entry)
{
	struct removal *slot = &topo->removals[topo->next_removal];

	if (slot->version > topo->whole_feed_version)
		topo->whole_feed_version = slot->version;
	memcpy(slot->id, entry->server.id, sizeof(slot->id));
	slot->version = ++topo->version;
	topo->next_removal = (topo->next_removal + 1) % REMOVALS_MAX;
	/* False positive: the analyzer assumes that the hash table is empty. */
	// NOLINTNEXTLINE(clang-analyzer-core.NullDereference)
	HASH_DEL(topo->servers, entry);
	free(entry);
}

/* ---- heartbeats ---- */

void topo_become_leader(struct topo *topo, uint64_t term)
{
	struct server_entry *entry, *next;

	topo->term = term;
	topo->version++;
	topo->instances_version++;
	topo->whole_feed_version = topo->version;
	HASH_ITER(hh, topo->servers, entry, next)
	{
		entry->server.last_heartbeat_ms = now_ms(topo);
		entry->server.changed_version = topo->version;
	}
	/*
	 * Each link counts as lost from SUBSCRIBE_MAX_MS from now: an instance
	 * that does not subscribe to this leader in time expires.
	 */
	for (size_t i = 0; i < topo->nr_instances; i++) {
		topo->instances[i].incarnation = 0;
		topo->instances[i].link_lost_ms =
			now_ms(topo) + SUBSCRIBE_MAX_MS;
	}
}

static bool is_valid_address(const char *address)
{
	bool is_wildcard = false;

	return !set_address_error(address, &is_wildcard) && !is_wildcard;
}

bool topo_is_valid(const Aw__Server *server)
{
	return name_is_valid(server->id) && name_is_valid(server->upstream) &&
	       name_is_valid(server->zone) &&
	       is_valid_address(server->address) && server->slots &&
	       server->slots <= TOPO_SLOTS_MAX &&
	       server->cold_left_ms <= WARM_UP_MAX_MS;
}

/*
 * Compares the claims of a heartbeat and of a table entry to the same id or
 * address: positive if the heartbeat's is better. The process that started last
 * owns them, but one of an upstream that is not planned never displaces one that
 * requests are sent to.
 */
static int compare_claims(const struct topo *topo, const Aw__Server *from,
			  const struct topo_server *server)
{
	bool planned = is_planned(topo, from->upstream);

	if (is_planned(topo, server->upstream) != planned)
		return planned ? 1 : -1;
	if (from->incarnation != server->incarnation)
		return from->incarnation > server->incarnation ? 1 : -1;
	return 0;
}

/*
 * Removes other servers at the address of a heartbeat: addresses are reused.
 * Returns false if the sender does not own it.
 */
static bool evict_from_address(struct topo *topo, const Aw__Server *from)
{
	struct server_entry *entry, *next;

	HASH_ITER(hh, topo->servers, entry, next)
	{
		if (strcmp(entry->server.address, from->address) != 0 ||
		    !strcmp(entry->server.id, from->id))
			continue;
		if (compare_claims(topo, from, &entry->server) < 0)
			return false;
		remove_server(topo, entry);
	}
	return true;
}

static struct server_entry *add_server(struct topo *topo,
				       const Aw__Server *from)
{
	struct server_entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	snprintf(entry->server.id, sizeof(entry->server.id), "%s", from->id);
	HASH_ADD_STR(topo->servers, server.id, entry);
	return entry;
}

/*
 * Copies the fields that a server reports; returns true if one of them differs.
 */
static bool copy_fields(struct topo_server *server, const Aw__Server *from)
{
	bool same = !strcmp(server->upstream, from->upstream) &&
		    !strcmp(server->address, from->address) &&
		    !strcmp(server->zone, from->zone) &&
		    server->slots == from->slots &&
		    server->incarnation == from->incarnation;

	snprintf(server->upstream, sizeof(server->upstream), "%s",
		 from->upstream);
	snprintf(server->address, sizeof(server->address), "%s", from->address);
	snprintf(server->zone, sizeof(server->zone), "%s", from->zone);
	server->slots = from->slots;
	server->incarnation = from->incarnation;
	return !same;
}

/*
 * Updates the end of the warm-up from a heartbeat. Differences of less than
 * 300 ms are jitter of the heartbeats and are ignored, and so is an earlier end
 * before keep_cold_until_ms. Returns true if the end was changed.
 */
static bool update_cold(struct topo_server *server, uint32_t cold_left_ms,
			uint64_t at_ms)
{
	uint64_t until_ms = cold_left_ms ? at_ms + cold_left_ms : 0;
	uint64_t old_ms = server->cold_until_ms;

	if (old_ms <= at_ms)
		old_ms = 0;
	if (until_ms < old_ms && at_ms < server->keep_cold_until_ms)
		return false;
	if ((!until_ms && !old_ms) ||
	    (until_ms && old_ms && until_ms < old_ms + 300 &&
	     old_ms < until_ms + 300))
		return false;
	server->cold_until_ms = until_ms;
	return true;
}

enum topo_heartbeat_result topo_heartbeat(struct topo *topo,
					  const Aw__Server *from)
{
	struct topo_server *server;
	struct server_entry *entry;
	bool is_changed;
	int claim;

	if (!topo_is_valid(from))
		return TOPO_INVALID;
	entry = find_server(topo, from->id);
	claim = entry ? compare_claims(topo, from, &entry->server) : 1;
	if (claim < 0 ||
	    (claim == 0 && from->sequence <= entry->server.sequence))
		return TOPO_STALE;
	if (!evict_from_address(topo, from))
		return TOPO_STALE;
	is_changed = !entry;
	if (is_changed)
		entry = add_server(topo, from);
	if (!entry)
		return TOPO_ERR_MEMORY;
	server = &entry->server;
	server->sequence = from->sequence;
	server->last_heartbeat_ms = now_ms(topo) - from->age_ms;
	is_changed |= copy_fields(server, from);
	is_changed |= update_cold(server, from->cold_left_ms, now_ms(topo));
	is_changed |= server->state != AW__SERVER_STATE__SERVER_ACTIVE;
	server->state = AW__SERVER_STATE__SERVER_ACTIVE;
	if (is_changed)
		mark_changed(topo, entry);
	return TOPO_ACCEPTED;
}

bool topo_may_leave(const struct topo *topo, const Aw__Server *from)
{
	const struct server_entry *entry = find_server(topo, from->id);

	return is_planned(topo, from->upstream) ||
	       (entry && !strcmp(entry->server.upstream, from->upstream));
}

void topo_leave(struct topo *topo, const char *id, uint64_t incarnation)
{
	struct server_entry *entry = find_server(topo, id);

	if (entry && entry->server.incarnation <= incarnation)
		remove_server(topo, entry);
}

void topo_mark_zone_cold(struct topo *topo, const char *zone,
			 uint32_t (*cold_ms)(void *arg, const char *upstream),
			 void *arg)
{
	uint64_t at_ms = now_ms(topo);
	struct server_entry *entry, *next;

	HASH_ITER(hh, topo->servers, entry, next)
	{
		struct topo_server *server = &entry->server;
		uint32_t left_ms;

		if (strcmp(server->zone, zone) != 0)
			continue;
		left_ms = cold_ms(arg, server->upstream);
		server->keep_cold_until_ms = at_ms + HEARTBEAT_DELAY_MAX_MS;
		if (server->cold_until_ms < at_ms + left_ms)
			server->cold_until_ms = at_ms + left_ms;
		mark_changed(topo, entry);
	}
}

static void check_heartbeat_age(struct topo *topo, struct server_entry *entry)
{
	uint64_t age_ms = now_ms(topo) - entry->server.last_heartbeat_ms;

	if (age_ms >= TOPO_SERVER_EXPIRY_MS) {
		remove_server(topo, entry);
		return;
	}
	if (age_ms < TOPO_SILENT_MS ||
	    entry->server.state != AW__SERVER_STATE__SERVER_ACTIVE)
		return;
	entry->server.state = AW__SERVER_STATE__SERVER_SILENT;
	mark_changed(topo, entry);
}

static void remove_lost_instances(struct topo *topo)
{
	size_t i = 0;

	while (i < topo->nr_instances) {
		struct instance *instance = &topo->instances[i];

		if (!instance->link_lost_ms ||
		    now_ms(topo) <
			    instance->link_lost_ms + TOPO_INSTANCE_EXPIRY_MS) {
			i++;
			continue;
		}
		message_free(instance->message);
		topo->nr_instances--;
		memmove(instance, instance + 1,
			(topo->nr_instances - i) * sizeof(*instance));
		memmove(topo->list + i, topo->list + i + 1,
			(topo->nr_instances - i) * sizeof(Aw__Instance *));
		topo->instances_version++;
	}
}

void topo_tick(struct topo *topo)
{
	struct server_entry *entry, *next;

	HASH_ITER(hh, topo->servers, entry, next)
	{
		check_heartbeat_age(topo, entry);
	}
	remove_lost_instances(topo);
}

/* ---- instances ---- */

static struct instance *find_instance(const struct topo *topo, const char *name)
{
	size_t i;

	for (i = 0; i < topo->nr_instances; i++)
		if (!strcmp(topo->instances[i].message->name, name))
			return &topo->instances[i];
	return NULL;
}

static struct instance *add_instance(struct topo *topo)
{
	size_t nr = topo->nr_instances + 1;
	struct instance *instances;
	const Aw__Instance **list;

	instances = realloc(topo->instances, nr * sizeof(*instances));
	if (!instances)
		return NULL;
	topo->instances = instances;
	list = realloc(topo->list, nr * sizeof(Aw__Instance *));
	if (!list)
		return NULL;
	topo->list = list;
	topo->nr_instances = nr;
	memset(&instances[nr - 1], 0, sizeof(*instances));
	return &instances[nr - 1];
}

int topo_instance_up(struct topo *topo, const Aw__Instance *instance,
		     uint64_t incarnation)
{
	struct instance *known = find_instance(topo, instance->name);
	Aw__Instance *copy;

	if (known && known->incarnation == incarnation &&
	    !known->link_lost_ms && known->message->state == instance->state &&
	    known->message->servers_unreachable ==
		    instance->servers_unreachable &&
	    known->message->link_full == instance->link_full &&
	    !strcmp(known->message->address, instance->address))
		return 0;
	copy = message_copy(&instance->base);
	if (!copy)
		return -1;
	if (!known)
		known = add_instance(topo);
	if (!known) {
		message_free(copy);
		return -1;
	}
	message_free(known->message);
	known->message = copy;
	known->incarnation = incarnation;
	known->link_lost_ms = 0;
	topo->list[known - topo->instances] = copy;
	topo->instances_version++;
	return 0;
}

void topo_instance_down(struct topo *topo, const char *name,
			uint64_t incarnation)
{
	struct instance *instance = find_instance(topo, name);

	if (instance && instance->incarnation == incarnation &&
	    !instance->link_lost_ms)
		instance->link_lost_ms = now_ms(topo);
}

const Aw__Instance *const *topo_instances(const struct topo *topo, size_t *nr)
{
	*nr = topo->nr_instances;
	return topo->list;
}

uint64_t topo_instances_version(const struct topo *topo)
{
	return topo->instances_version;
}

/* ---- feeds ---- */

static uint32_t left_ms(uint64_t until_ms, uint64_t at_ms)
{
	return until_ms > at_ms ? (uint32_t)(until_ms - at_ms) : 0;
}

static Aw__Server *server_message(const struct topo *topo,
				  const struct topo_server *from)
{
	Aw__Server *to = malloc(sizeof(*to));

	if (!to)
		return NULL;
	aw__server__init(to);
	to->id = (char *)from->id;
	to->upstream = (char *)from->upstream;
	to->address = (char *)from->address;
	to->zone = (char *)from->zone;
	to->slots = from->slots;
	to->incarnation = from->incarnation;
	to->sequence = from->sequence;
	to->state = from->state;
	to->cold_left_ms = left_ms(from->cold_until_ms, now_ms(topo));
	return to;
}

static const struct removal *nth_last_removal(const struct topo *topo,
					      size_t nth)
{
	size_t at = topo->next_removal + REMOVALS_MAX - 1 - nth;

	return &topo->removals[at % REMOVALS_MAX];
}

static size_t nr_removals_since(const struct topo *topo, uint64_t version)
{
	size_t nr = 0;

	while (nr < REMOVALS_MAX &&
	       nth_last_removal(topo, nr)->version > version)
		nr++;
	return nr;
}

int topo_fill_feed(const struct topo *topo, uint64_t since_version,
		   Aw__Feed *feed)
{
	struct server_entry *entry, *next;
	size_t i;

	feed->table_version = topo->version;
	feed->table_whole = since_version <= topo->whole_feed_version;
	if (feed->table_whole)
		since_version = 0;
	feed->servers =
		calloc(HASH_COUNT(topo->servers) + 1, sizeof(Aw__Server *));
	feed->removed_servers = calloc(
		nr_removals_since(topo, since_version) + 1, sizeof(char *));
	if (!feed->servers || !feed->removed_servers)
		return -1;
	HASH_ITER(hh, topo->servers, entry, next)
	{
		Aw__Server *message;

		if (entry->server.changed_version <= since_version)
			continue;
		message = server_message(topo, &entry->server);
		if (!message)
			return -1;
		feed->servers[feed->n_servers++] = message;
	}
	if (feed->table_whole)
		return 0;
	feed->n_removed_servers = nr_removals_since(topo, since_version);
	for (i = 0; i < feed->n_removed_servers; i++)
		feed->removed_servers[i] =
			(char *)nth_last_removal(topo, i)->id;
	return 0;
}

int topo_fill_feed_instances(const struct topo *topo, Aw__Feed *feed)
{
	size_t i;

	feed->instances =
		calloc(topo->nr_instances + 1, sizeof(Aw__Instance *));
	if (!feed->instances)
		return -1;
	for (i = 0; i < topo->nr_instances; i++)
		feed->instances[i] = topo->instances[i].message;
	feed->n_instances = topo->nr_instances;
	return 0;
}

void topo_feed_release(Aw__Feed *feed)
{
	size_t i;

	for (i = 0; i < feed->n_servers; i++)
		free(feed->servers[i]);
	free(feed->servers);
	free(feed->removed_servers);
	free(feed->instances);
	feed->servers = NULL;
	feed->removed_servers = NULL;
	feed->instances = NULL;
	feed->n_servers = feed->n_removed_servers = feed->n_instances = 0;
}

/*
 * A leader of another version may know other states, or accept fields that this
 * version does not.
 */
static bool is_usable(const Aw__Server *from)
{
	return topo_is_valid(from) &&
	       (from->state == AW__SERVER_STATE__SERVER_ACTIVE ||
		from->state == AW__SERVER_STATE__SERVER_SILENT);
}

static int apply_server(struct topo *topo, const Aw__Server *from)
{
	struct server_entry *entry = find_server(topo, from->id);
	uint64_t at_ms = now_ms(topo);

	if (!entry)
		entry = add_server(topo, from);
	if (!entry)
		return -1;
	copy_fields(&entry->server, from);
	entry->server.sequence = from->sequence;
	entry->server.state = from->state;
	entry->server.last_heartbeat_ms = at_ms;
	entry->server.cold_until_ms =
		from->cold_left_ms ? at_ms + from->cold_left_ms : 0;
	mark_changed(topo, entry);
	return 0;
}

static int apply_instances(struct topo *topo, const Aw__Feed *feed)
{
	size_t i;

	clear_instances(topo);
	for (i = 0; i < feed->n_instances; i++)
		if (topo_instance_up(topo, feed->instances[i], 0))
			return -1;
	topo->instances_version++;
	return 0;
}

/*
 * Removes the servers that a feed of the whole table, applied after version,
 * did not contain.
 */
static void remove_unlisted(struct topo *topo, uint64_t version)
{
	struct server_entry *entry, *next;

	HASH_ITER(hh, topo->servers, entry, next)
	{
		if (entry->server.changed_version <= version)
			remove_server(topo, entry);
	}
}

int topo_apply_feed(struct topo *topo, const Aw__Feed *feed)
{
	uint64_t version = topo->version;
	struct server_entry *entry;
	size_t i, nr_skipped = 0;

	if (feed->term < topo->term)
		return 0;
	topo->term = feed->term;
	for (i = 0; i < feed->n_servers; i++) {
		if (is_usable(feed->servers[i])) {
			if (apply_server(topo, feed->servers[i]))
				return -1;
			continue;
		}
		entry = find_server(topo, feed->servers[i]->id);
		if (entry)
			remove_server(topo, entry);
		nr_skipped++;
	}
	/* A feed has only servers that changed, so it is not logged again. */
	if (nr_skipped)
		log_warn("topo", "skipped %zu servers in a feed: not usable",
			 nr_skipped);
	if (feed->table_whole)
		remove_unlisted(topo, version);
	for (i = 0; i < feed->n_removed_servers; i++) {
		entry = find_server(topo, feed->removed_servers[i]);
		if (entry)
			remove_server(topo, entry);
	}
	return feed->lists_included ? apply_instances(topo, feed) : 0;
}

/* ---- access ---- */

uint64_t topo_term(const struct topo *topo)
{
	return topo->term;
}

uint64_t topo_version(const struct topo *topo)
{
	return topo->version;
}

const struct topo_server *topo_find(const struct topo *topo, const char *id)
{
	const struct server_entry *entry = find_server(topo, id);

	return entry ? &entry->server : NULL;
}

void topo_each(const struct topo *topo,
	       void (*fn)(void *arg, const struct topo_server *server),
	       void *arg)
{
	struct server_entry *entry, *next;

	HASH_ITER(hh, topo->servers, entry, next)
	{
		fn(arg, &entry->server);
	}
}

size_t topo_nr_servers(const struct topo *topo)
{
	return HASH_COUNT(topo->servers);
}
