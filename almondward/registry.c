#include "registry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define PAST_PROCESSES 8 /* of one instance name, kept to tell late Reports */

struct server {
	Aw__Server msg; /* first: reg_servers() hands out pointers to it */
	char upstream[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	bool left;
	uint64_t heard_ms; /* last heartbeat, or when it left */
	UT_hash_handle hh;
};

struct instance {
	Aw__Instance msg;
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t past[PAST_PROCESSES];
	size_t next_past;
	uint64_t heard_ms;
	bool listed;
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

static bool fits(const char *text, size_t max_bytes)
{
	return text && *text && strlen(text) < max_bytes;
}

/*
 * Makes room in a list of pointers, so that rebuilding it cannot fail.
 */
static int reserve(void **list, size_t *max, size_t need)
{
	size_t more = need + need / 2 + 16;
	void *grown;

	if (need <= *max)
		return 0;
	grown = realloc(*list, more * sizeof(void *));
	if (!grown)
		return -1;
	*list = grown;
	*max = more;
	return 0;
}

static void list_servers(struct reg *reg)
{
	const struct server *server;

	reg->nr_servers = 0;
	for (server = reg->servers; server; server = server->hh.next)
		reg->server_list[reg->nr_servers++] = &server->msg;
}

static void list_instances(struct reg *reg)
{
	const struct instance *instance;

	reg->nr_instances = 0;
	for (instance = reg->instances; instance; instance = instance->hh.next)
		if (instance->listed)
			reg->instance_list[reg->nr_instances++] =
				&instance->msg;
}

/* ---- entry instances ---- */

static bool is_past(const struct instance *instance, uint64_t incarnation)
{
	size_t i;

	for (i = 0; i < PAST_PROCESSES; i++)
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

static bool take_process(struct instance *instance, const Aw__Report *report)
{
	if (instance->incarnation == report->instance_incarnation)
		return true;
	if (is_past(instance, report->instance_incarnation))
		return false;
	instance->past[instance->next_past++ % PAST_PROCESSES] =
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

enum reg_error reg_report(struct reg *reg, const Aw__Report *report)
{
	const Aw__Instance *from = report->instance;
	struct instance *instance;

	if (!from || !fits(from->name, NAME_BYTES_MAX) ||
	    !fits(from->zone, NAME_BYTES_MAX) ||
	    !fits(from->address, ADDRESS_BYTES_MAX) ||
	    !report->instance_incarnation || !report->sequence)
		return REG_ERR_INVALID;
	HASH_FIND_STR(reg->instances, from->name, instance);
	if (!instance)
		instance = add_instance(reg, from->name);
	if (!instance)
		return REG_ERR_MEMORY;
	if (!take_process(instance, report))
		return REG_ERR_REPLACED;
	if (report->sequence <= instance->sequence)
		return REG_ERR_STALE;
	instance->sequence = report->sequence;
	instance->heard_ms = clk_now_ms(reg->clk);
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
	list_instances(reg);
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
 * A leave counts for its incarnation whatever its sequence is, since messages
 * of one server take different ways.
 */
static enum reg_error check_order(const struct server *server,
				  const Aw__Server *from, bool leaves)
{
	if (from->incarnation < server->msg.incarnation)
		return REG_ERR_STALE;
	if (from->incarnation == server->msg.incarnation) {
		if (server->left)
			return REG_ERR_LEFT;
		if (!leaves && from->sequence < server->msg.sequence)
			return REG_ERR_STALE;
	}
	return REG_OK;
}

static bool server_differs(const struct server *server, const Aw__Server *from,
			   bool leaves)
{
	return server->msg.incarnation != from->incarnation ||
	       server->left != leaves || server->msg.slots != from->slots ||
	       strcmp(server->upstream, from->upstream) != 0 ||
	       strcmp(server->zone, from->zone) != 0;
}

static bool is_valid(const Aw__Server *server, bool leaves)
{
	if (!fits(server->address, ADDRESS_BYTES_MAX) || !server->incarnation)
		return false;
	/* A leave needs to name only the address and the incarnation. */
	if (leaves)
		return strlen(server->upstream) < NAME_BYTES_MAX &&
		       strlen(server->zone) < NAME_BYTES_MAX;
	return fits(server->upstream, NAME_BYTES_MAX) &&
	       fits(server->zone, NAME_BYTES_MAX) && server->slots > 0 &&
	       server->slots <= REG_SLOTS_MAX;
}

static void store(struct server *server, const Aw__Server *from, bool leaves)
{
	if (!leaves || *from->upstream)
		snprintf(server->upstream, sizeof(server->upstream), "%s",
			 from->upstream);
	if (!leaves || *from->zone)
		snprintf(server->zone, sizeof(server->zone), "%s", from->zone);
	if (!leaves || from->slots)
		server->msg.slots = from->slots;
	server->msg.incarnation = from->incarnation;
	server->left = leaves;
	server->msg.state = leaves ? AW__SERVER_STATE__SERVER_LEAVING :
				     AW__SERVER_STATE__SERVER_ACTIVE;
}

enum reg_error reg_server(struct reg *reg, const Aw__Server *from)
{
	bool leaves = from->state == AW__SERVER_STATE__SERVER_LEAVING;
	uint64_t now_ms = clk_now_ms(reg->clk);
	uint64_t at_ms = now_ms > from->age_ms ? now_ms - from->age_ms : 0;
	struct server *server;
	enum reg_error err;

	if (!is_valid(from, leaves))
		return REG_ERR_INVALID;
	if (from->age_ms > TOMBSTONE_MS)
		return REG_ERR_STALE;
	HASH_FIND_STR(reg->servers, from->address, server);
	if (server) {
		err = check_order(server, from, leaves);
		if (err)
			return err;
	} else {
		server = add_server(reg, from->address);
		if (!server)
			return REG_ERR_MEMORY;
	}
	if (at_ms > server->heard_ms ||
	    from->incarnation > server->msg.incarnation)
		server->heard_ms = at_ms;
	if (server_differs(server, from, leaves)) {
		store(server, from, leaves);
		reg->version++;
		list_servers(reg);
	}
	if (is_newer(server, from))
		server->msg.sequence = from->sequence;
	return REG_OK;
}

/* ---- silence ---- */

static bool is_quiet(const struct reg *reg, const struct server *server)
{
	return !server->left &&
	       server->heard_ms + SERVER_SILENT_MS < clk_now_ms(reg->clk);
}

/*
 * When more than half of an upstream is without heartbeats, the announcements
 * are taken as lost on their way rather than the servers.
 */
static bool trust_silence(const struct reg *reg, const char *upstream)
{
	const struct server *server;
	size_t all = 0, quiet = 0;

	for (server = reg->servers; server; server = server->hh.next) {
		if (server->left || strcmp(server->upstream, upstream) != 0)
			continue;
		all++;
		quiet += is_quiet(reg, server) ? 1 : 0;
	}
	return 2 * quiet <= all;
}

static bool judge_servers(struct reg *reg)
{
	struct server *server;
	Aw__ServerState state;
	bool changed = false;

	for (server = reg->servers; server; server = server->hh.next) {
		server->msg.age_ms =
			(uint32_t)(clk_now_ms(reg->clk) - server->heard_ms);
		if (server->left)
			continue;
		state = AW__SERVER_STATE__SERVER_ACTIVE;
		if (is_quiet(reg, server) &&
		    trust_silence(reg, server->upstream))
			state = AW__SERVER_STATE__SERVER_SILENT;
		if (state != server->msg.state)
			changed = true;
		server->msg.state = state;
	}
	return changed;
}

static bool drop_servers(struct reg *reg)
{
	uint64_t now_ms = clk_now_ms(reg->clk);
	struct server *server, *next;
	bool changed = false;

	HASH_ITER(hh, reg->servers, server, next)
	{
		if (server->msg.state == AW__SERVER_STATE__SERVER_ACTIVE ||
		    server->heard_ms + TOMBSTONE_MS > now_ms)
			continue;
		HASH_DEL(reg->servers, server);
		free(server);
		changed = true;
	}
	return changed;
}

/*
 * An instance without a lease cannot serve. More than half of them silent at
 * once means that this process stood still or was cut off, so none is dropped.
 */
static bool judge_instances(struct reg *reg)
{
	uint64_t now_ms = clk_now_ms(reg->clk);
	struct instance *instance;
	size_t listed = 0, quiet = 0;

	for (instance = reg->instances; instance;
	     instance = instance->hh.next) {
		if (!instance->listed)
			continue;
		listed++;
		quiet += instance->heard_ms + FLEET_LEASE_MS < now_ms ? 1 : 0;
	}
	if (!quiet || 2 * quiet > listed)
		return false;
	for (instance = reg->instances; instance; instance = instance->hh.next)
		if (instance->heard_ms + FLEET_LEASE_MS < now_ms)
			instance->listed = false;
	return true;
}

static void drop_instances(struct reg *reg)
{
	uint64_t now_ms = clk_now_ms(reg->clk);
	struct instance *instance, *next;

	HASH_ITER(hh, reg->instances, instance, next)
	{
		if (instance->listed ||
		    instance->heard_ms + TOMBSTONE_MS > now_ms)
			continue;
		HASH_DEL(reg->instances, instance);
		free(instance);
	}
}

void reg_tick(struct reg *reg)
{
	bool changed = judge_servers(reg);

	if (drop_servers(reg)) {
		list_servers(reg);
		changed = true;
	}
	if (judge_instances(reg)) {
		list_instances(reg);
		changed = true;
	}
	drop_instances(reg);
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
	return instance ? clk_now_ms(reg->clk) - instance->heard_ms :
			  UINT64_MAX;
}
