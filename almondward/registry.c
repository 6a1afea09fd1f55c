#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Earlier incarnations kept per instance name to detect delayed Reports. */
#define PAST_INCARNATIONS 8

struct server {
	Aw__Server msg; /* first: reg_servers() hands out pointers to it */
	char upstream[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	bool left;
	uint64_t last_seen_ms; /* of the last heartbeat or the departure */
	UT_hash_handle hh;
};

struct instance {
	Aw__Instance msg;
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t past[PAST_INCARNATIONS]; /* ring */
	size_t next_past;
	uint64_t last_report_ms;
	bool listed; /* in instance_list */
	UT_hash_handle hh;
};

struct reg {
	struct clk *clk;
	uint64_t version;
	struct server *servers;
	struct instance *instances;
	const Aw__Server **server_list;
	size_t nr_servers;
	size_t max_servers;
	const Aw__Instance **instance_list;
	size_t nr_instances;
	size_t max_instances;
};

struct reg *reg_create(struct clk *clk, uint64_t first_version)
{
	struct reg *reg = calloc(1, sizeof(*reg));

	if (!reg)
		return NULL;
	reg->clk = clk;
	reg->version = first_version;
	return reg;
}

void reg_destroy(struct reg *reg)
{
	struct instance *instance;
	struct server *server;

	if (!reg)
		return;
	while ((server = reg->servers)) {
		HASH_DEL(reg->servers, server);
		free(server);
	}
	while ((instance = reg->instances)) {
		HASH_DEL(reg->instances, instance);
		free(instance);
	}
	free(reg->server_list);
	free(reg->instance_list);
	free(reg);
}

static bool has_valid_length(const char *text, size_t max_bytes)
{
	return text && *text && strlen(text) < max_bytes;
}

/*
 * Grows a list of pointers to at least needed elements, so that rebuilding it
 * later cannot fail.
 */
static int reserve(void **list, size_t *max, size_t needed)
{
	size_t new_max = needed + needed / 2 + 16;
	void *grown;

	if (needed <= *max)
		return 0;
	grown = realloc(*list, new_max * sizeof(void *));
	if (!grown)
		return -1;
	*list = grown;
	*max = new_max;
	return 0;
}

static void rebuild_server_list(struct reg *reg)
{
	const struct server *server;

	reg->nr_servers = 0;
	for (server = reg->servers; server; server = server->hh.next)
		reg->server_list[reg->nr_servers++] = &server->msg;
}

static void rebuild_instance_list(struct reg *reg)
{
	const struct instance *instance;

	reg->nr_instances = 0;
	for (instance = reg->instances; instance; instance = instance->hh.next)
		if (instance->listed)
			reg->instance_list[reg->nr_instances++] =
				&instance->msg;
}

/* ---- entry instances ---- */

static bool is_past_incarnation(const struct instance *instance,
				uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < PAST_INCARNATIONS; i++)
		if (instance->past[i] == incarnation)
			return true;
	return false;
}

static struct instance *add_instance(struct reg *reg, const char *name)
{
	struct instance *instance;

	if (reserve((void **)&reg->instance_list, &reg->max_instances,
		    HASH_COUNT(reg->instances) + 1))
		return NULL;
	instance = calloc(1, sizeof(*instance));
	if (!instance)
		return NULL;
	snprintf(instance->name, sizeof(instance->name), "%s", name);
	HASH_ADD_STR(reg->instances, name, instance);
	return instance;
}

static bool accept_incarnation(struct instance *instance,
			       const Aw__Report *report)
{
	if (instance->incarnation == report->instance_incarnation)
		return true;
	if (is_past_incarnation(instance, report->instance_incarnation))
		return false;
	instance->past[instance->next_past++ % PAST_INCARNATIONS] =
		instance->incarnation;
	instance->incarnation = report->instance_incarnation;
	instance->sequence = 0;
	return true;
}

static bool instance_differs(const struct instance *instance,
			     const Aw__Instance *from)
{
	return !instance->listed || instance->msg.state != from->state ||
	       strcmp(instance->zone, from->zone) != 0 ||
	       strcmp(instance->address, from->address) != 0;
}

enum reg_error reg_update_instance(struct reg *reg, const Aw__Report *report)
{
	const Aw__Instance *from = report->instance;
	struct instance *instance;

	if (!from || !has_valid_length(from->name, NAME_BYTES_MAX) ||
	    !has_valid_length(from->zone, NAME_BYTES_MAX) ||
	    !has_valid_length(from->address, ADDRESS_BYTES_MAX) ||
	    !report->instance_incarnation || !report->sequence)
		return REG_ERR_INVALID;
	HASH_FIND_STR(reg->instances, from->name, instance);
	if (!instance)
		instance = add_instance(reg, from->name);
	if (!instance)
		return REG_ERR_MEMORY;
	if (!accept_incarnation(instance, report))
		return REG_ERR_REPLACED;
	if (report->sequence <= instance->sequence)
		return REG_ERR_STALE;
	instance->sequence = report->sequence;
	instance->last_report_ms = clk_now_ms(reg->clk);
	if (!instance_differs(instance, from))
		return REG_OK;
	snprintf(instance->zone, sizeof(instance->zone), "%s", from->zone);
	snprintf(instance->address, sizeof(instance->address), "%s",
		 from->address);
	aw__instance__init(&instance->msg);
	instance->msg.name = instance->name;
	instance->msg.zone = instance->zone;
	instance->msg.address = instance->address;
	instance->msg.state = from->state;
	instance->listed = true;
	reg->version++;
	rebuild_instance_list(reg);
	return REG_OK;
}

/* ---- backend servers ---- */

static struct server *add_server(struct reg *reg, const char *address)
{
	struct server *server;

	if (reserve((void **)&reg->server_list, &reg->max_servers,
		    HASH_COUNT(reg->servers) + 1))
		return NULL;
	server = calloc(1, sizeof(*server));
	if (!server)
		return NULL;
	aw__server__init(&server->msg);
	snprintf(server->address, sizeof(server->address), "%s", address);
	server->msg.address = server->address;
	server->msg.upstream = server->upstream;
	server->msg.zone = server->zone;
	HASH_ADD_STR(reg->servers, address, server);
	return server;
}

static bool is_newer(const struct server *server, const Aw__Server *from)
{
	if (from->incarnation != server->msg.incarnation)
		return from->incarnation > server->msg.incarnation;
	return from->sequence > server->msg.sequence;
}

/*
 * A departure is accepted for its incarnation whatever its sequence: messages
 * of a server arrive through different entry instances and may be reordered.
 */
static enum reg_error check_order(const struct server *server,
				  const Aw__Server *from, bool leaving)
{
	if (from->incarnation < server->msg.incarnation)
		return REG_ERR_STALE;
	if (from->incarnation == server->msg.incarnation) {
		if (server->left)
			return REG_ERR_LEFT;
		if (!leaving && from->sequence < server->msg.sequence)
			return REG_ERR_STALE;
	}
	return REG_OK;
}

static bool server_differs(const struct server *server, const Aw__Server *from,
			   bool leaving)
{
	return server->msg.incarnation != from->incarnation ||
	       server->left != leaving || server->msg.slots != from->slots ||
	       strcmp(server->upstream, from->upstream) != 0 ||
	       strcmp(server->zone, from->zone) != 0;
}

static bool is_valid(const Aw__Server *server, bool leaving)
{
	if (!has_valid_length(server->address, ADDRESS_BYTES_MAX) ||
	    !server->incarnation)
		return false;
	/* A departure must have the address and the incarnation only. */
	if (leaving)
		return strlen(server->upstream) < NAME_BYTES_MAX &&
		       strlen(server->zone) < NAME_BYTES_MAX;
	return has_valid_length(server->upstream, NAME_BYTES_MAX) &&
	       has_valid_length(server->zone, NAME_BYTES_MAX) &&
	       server->slots > 0 && server->slots <= REG_SLOTS_MAX;
}

static void store_announcement(struct server *server, const Aw__Server *from,
			       bool leaving)
{
	if (!leaving || *from->upstream)
		snprintf(server->upstream, sizeof(server->upstream), "%s",
			 from->upstream);
	if (!leaving || *from->zone)
		snprintf(server->zone, sizeof(server->zone), "%s", from->zone);
	if (!leaving || from->slots)
		server->msg.slots = from->slots;
	server->msg.incarnation = from->incarnation;
	server->left = leaving;
	server->msg.state = leaving ? AW__SERVER_STATE__SERVER_LEAVING :
				      AW__SERVER_STATE__SERVER_ACTIVE;
}

enum reg_error reg_update_server(struct reg *reg, const Aw__Server *from)
{
	bool leaving = from->state == AW__SERVER_STATE__SERVER_LEAVING;
	uint64_t now_ms = clk_now_ms(reg->clk);
	uint64_t announced_ms = now_ms > from->age_ms ? now_ms - from->age_ms :
							0;
	struct server *server;
	enum reg_error err;

	if (!is_valid(from, leaving))
		return REG_ERR_INVALID;
	if (from->age_ms > TOMBSTONE_MS)
		return REG_ERR_STALE;
	HASH_FIND_STR(reg->servers, from->address, server);
	if (server) {
		err = check_order(server, from, leaving);
		if (err)
			return err;
	} else {
		server = add_server(reg, from->address);
		if (!server)
			return REG_ERR_MEMORY;
	}
	if (announced_ms > server->last_seen_ms ||
	    from->incarnation > server->msg.incarnation)
		server->last_seen_ms = announced_ms;
	if (server_differs(server, from, leaving)) {
		store_announcement(server, from, leaving);
		reg->version++;
		rebuild_server_list(reg);
	}
	if (is_newer(server, from))
		server->msg.sequence = from->sequence;
	return REG_OK;
}

/* ---- silent and expired entries ---- */

static bool is_silent(const struct reg *reg, const struct server *server)
{
	return !server->left &&
	       server->last_seen_ms + SERVER_SILENT_MS < clk_now_ms(reg->clk);
}

/*
 * If more than half of an upstream lacks heartbeats, it is more likely that
 * the announcements were lost on the network than that the servers failed.
 */
static bool can_mark_silent(const struct reg *reg, const char *upstream)
{
	const struct server *server;
	size_t total = 0, silent = 0;

	for (server = reg->servers; server; server = server->hh.next) {
		if (server->left || strcmp(server->upstream, upstream) != 0)
			continue;
		total++;
		silent += is_silent(reg, server) ? 1 : 0;
	}
	return 2 * silent <= total;
}

static bool update_server_states(struct reg *reg)
{
	struct server *server;
	Aw__ServerState state;
	bool changed = false;

	for (server = reg->servers; server; server = server->hh.next) {
		server->msg.age_ms =
			(uint32_t)(clk_now_ms(reg->clk) - server->last_seen_ms);
		if (server->left)
			continue;
		state = AW__SERVER_STATE__SERVER_ACTIVE;
		if (is_silent(reg, server) &&
		    can_mark_silent(reg, server->upstream))
			state = AW__SERVER_STATE__SERVER_SILENT;
		if (state != server->msg.state)
			changed = true;
		server->msg.state = state;
	}
	return changed;
}

static bool remove_expired_servers(struct reg *reg)
{
	uint64_t now_ms = clk_now_ms(reg->clk);
	struct server *server, *next;
	bool changed = false;

	HASH_ITER(hh, reg->servers, server, next)
	{
		if (server->msg.state == AW__SERVER_STATE__SERVER_ACTIVE ||
		    server->last_seen_ms + TOMBSTONE_MS > now_ms)
			continue;
		HASH_DEL(reg->servers, server);
		free(server);
		changed = true;
	}
	return changed;
}

/*
 * Takes entry instances off the list whose lease has expired, since they
 * refuse requests without one. If more than half are silent at once, this
 * process was suspended or disconnected, so none is taken off.
 */
static bool unlist_silent_instances(struct reg *reg)
{
	uint64_t now_ms = clk_now_ms(reg->clk);
	struct instance *instance;
	size_t listed = 0, silent = 0;

	for (instance = reg->instances; instance;
	     instance = instance->hh.next) {
		if (!instance->listed)
			continue;
		listed++;
		silent += instance->last_report_ms + FLEET_LEASE_MS < now_ms ?
				  1 :
				  0;
	}
	if (!silent || 2 * silent > listed)
		return false;
	for (instance = reg->instances; instance; instance = instance->hh.next)
		if (instance->last_report_ms + FLEET_LEASE_MS < now_ms)
			instance->listed = false;
	return true;
}

static void remove_expired_instances(struct reg *reg)
{
	uint64_t now_ms = clk_now_ms(reg->clk);
	struct instance *instance, *next;

	HASH_ITER(hh, reg->instances, instance, next)
	{
		if (instance->listed ||
		    instance->last_report_ms + TOMBSTONE_MS > now_ms)
			continue;
		HASH_DEL(reg->instances, instance);
		free(instance);
	}
}

void reg_tick(struct reg *reg)
{
	bool changed = update_server_states(reg);

	if (remove_expired_servers(reg)) {
		rebuild_server_list(reg);
		changed = true;
	}
	if (unlist_silent_instances(reg)) {
		rebuild_instance_list(reg);
		changed = true;
	}
	remove_expired_instances(reg);
	if (changed)
		reg->version++;
}

uint64_t reg_version(const struct reg *reg)
{
	return reg->version;
}

const Aw__Server *const *reg_servers(const struct reg *reg, size_t *nr)
{
	*nr = reg->nr_servers;
	return reg->server_list;
}

const Aw__Instance *const *reg_instances(const struct reg *reg, size_t *nr)
{
	*nr = reg->nr_instances;
	return reg->instance_list;
}

const Aw__Server *reg_find_server(const struct reg *reg, const char *address)
{
	struct server *server;

	HASH_FIND_STR(reg->servers, address, server);
	return server ? &server->msg : NULL;
}

uint64_t reg_instance_age_ms(const struct reg *reg, const char *name)
{
	struct instance *instance;

	HASH_FIND_STR(reg->instances, name, instance);
	return instance ? clk_now_ms(reg->clk) - instance->last_report_ms :
			  UINT64_MAX;
}
