#include "coord.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

/* Servers are taken to know so many objects until it has been seen. */
#define KEEPS_FIRST 10
/* Weight of the newest request in how often a server knows an object. */
#define KNOWS_WEIGHT 0.1

struct server {
	uint32_t hash;
	uint32_t running;
	uint64_t used_ms;
	uint64_t objects[COORD_OBJECTS_MAX]; /* the latest first */
	size_t nr_objects;
	UT_hash_handle hh;
};

/*
 * Share of the requests that found their object known, by the number of other
 * objects that the server had handled in between.
 */
struct upstream {
	uint32_t hash;
	double knew[COORD_OBJECTS_MAX];
	UT_hash_handle hh;
};

struct request {
	uint64_t token;
	struct server *server;
	struct upstream *upstream;
	bool has_object;
	uint64_t object;
	size_t place; /* of the object, COORD_OBJECTS_MAX: was not there */
	uint64_t until_ms;
	UT_hash_handle hh;
};

struct coord {
	struct clk *clk;
	struct server *servers;
	struct upstream *upstreams;
	struct request *requests; /* by token, oldest first */
};

struct coord *coord_create(struct clk *clk)
{
	struct coord *coord = calloc(1, sizeof(*coord));

	if (coord)
		coord->clk = clk;
	return coord;
}

static void free_request(struct coord *coord, struct request *at)
{
	at->server->running--;
	HASH_DEL(coord->requests, at);
	free(at);
}

void coord_destroy(struct coord *coord)
{
	struct upstream *upstream;
	struct server *server;

	if (!coord)
		return;
	while (coord->requests)
		free_request(coord, coord->requests);
	while ((server = coord->servers)) {
		HASH_DEL(coord->servers, server);
		free(server);
	}
	while ((upstream = coord->upstreams)) {
		HASH_DEL(coord->upstreams, upstream);
		free(upstream);
	}
	free(coord);
}

static struct server *get_server(struct coord *coord, uint32_t hash)
{
	struct server *at;

	HASH_FIND(hh, coord->servers, &hash, sizeof(hash), at);
	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	at->hash = hash;
	HASH_ADD(hh, coord->servers, hash, sizeof(at->hash), at);
	return at;
}

static struct upstream *get_upstream(struct coord *coord, uint32_t hash)
{
	struct upstream *at;

	HASH_FIND(hh, coord->upstreams, &hash, sizeof(hash), at);
	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	at->hash = hash;
	for (size_t i = 0; i < KEEPS_FIRST; i++)
		at->knew[i] = 1;
	HASH_ADD(hh, coord->upstreams, hash, sizeof(at->hash), at);
	return at;
}

/* ---- objects ---- */

static size_t place_of(const struct server *server, uint64_t object)
{
	for (size_t i = 0; i < server->nr_objects; i++)
		if (server->objects[i] == object)
			return i;
	return COORD_OBJECTS_MAX;
}

static void remove_object(struct server *server, size_t place)
{
	server->nr_objects--;
	memmove(server->objects + place, server->objects + place + 1,
		(server->nr_objects - place) * sizeof(*server->objects));
}

static void use_object(struct server *server, size_t place, uint64_t object)
{
	if (place < COORD_OBJECTS_MAX)
		remove_object(server, place);
	else if (server->nr_objects == COORD_OBJECTS_MAX)
		server->nr_objects--;
	memmove(server->objects + 1, server->objects,
		server->nr_objects * sizeof(*server->objects));
	server->objects[0] = object;
	server->nr_objects++;
}

/* ---- requests ---- */

static struct request *find_request(struct coord *coord, uint64_t token)
{
	struct request *at;

	HASH_FIND(hh, coord->requests, &token, sizeof(token), at);
	return at;
}

int coord_ask(struct coord *coord, const struct coord_ask *ask,
	      struct coord_told *told)
{
	struct server *server = get_server(coord, ask->server);
	struct upstream *upstream = get_upstream(coord, ask->upstream);
	struct request *at = find_request(coord, ask->token);
	uint64_t now_ms = clk_now_ms(coord->clk);
	uint32_t lifetime_ms = ask->left_ms;

	if (!server || !upstream)
		return -1;
	if (at)
		free_request(coord, at);
	at = calloc(1, sizeof(*at));
	if (!at)
		return -1;
	if (lifetime_ms > COORD_LIFETIME_MAX_MS)
		lifetime_ms = COORD_LIFETIME_MAX_MS;
	at->token = ask->token;
	at->server = server;
	at->upstream = upstream;
	at->has_object = ask->has_object;
	at->object = ask->object;
	at->until_ms = now_ms + lifetime_ms;
	at->place = COORD_OBJECTS_MAX;
	if (ask->has_object) {
		at->place = place_of(server, ask->object);
		use_object(server, at->place, ask->object);
	}
	HASH_ADD(hh, coord->requests, token, sizeof(at->token), at);
	told->running = server->running++;
	told->knows = at->place < COORD_OBJECTS_MAX &&
		      upstream->knew[at->place] >= 0.5;
	server->used_ms = now_ms;
	return 0;
}

/*
 * The farther back the object was, the less likely it is known.
 */
static void learn(struct upstream *upstream, size_t place, bool knew)
{
	if (place == COORD_OBJECTS_MAX)
		return;
	upstream->knew[place] +=
		((knew ? 1 : 0) - upstream->knew[place]) * KNOWS_WEIGHT;
}

void coord_end(struct coord *coord, uint64_t token, enum coord_end end)
{
	struct request *at = find_request(coord, token);
	size_t place;

	if (!at)
		return;
	switch (end) {
	case COORD_KNEW:
	case COORD_DID_NOT_KNOW:
		learn(at->upstream, at->place, end == COORD_KNEW);
		break;
	case COORD_NOT_SENT:
		/* The server never saw the object. */
		place = at->has_object ? place_of(at->server, at->object) :
					 COORD_OBJECTS_MAX;
		if (at->place == COORD_OBJECTS_MAX && place < COORD_OBJECTS_MAX)
			remove_object(at->server, place);
		break;
	case COORD_UNTOLD:
		break;
	}
	free_request(coord, at);
}

void coord_tick(struct coord *coord)
{
	uint64_t now_ms = clk_now_ms(coord->clk);
	struct request *at, *next;
	struct server *server, *next_server;

	HASH_ITER(hh, coord->requests, at, next)
	{
		if (now_ms >= at->until_ms)
			free_request(coord, at);
	}
	HASH_ITER(hh, coord->servers, server, next_server)
	{
		if (server->running ||
		    now_ms < server->used_ms + COORD_SERVER_IDLE_MS)
			continue;
		HASH_DEL(coord->servers, server);
		free(server);
	}
}
