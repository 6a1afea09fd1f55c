#include "coord.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

/* Servers are assumed to cache this number of objects until there are
 * measurements. */
#define INITIAL_CACHED_OBJECTS 10
/* Weight of the newest request in the hit rate. */
#define HIT_RATE_WEIGHT 0.1

struct server {
	uint32_t hash;
	uint32_t in_flight;
	uint64_t used_ms;
	uint64_t objects[COORD_OBJECTS_MAX]; /* most recently used first */
	size_t nr_objects;
	struct limit limit;
	struct limit_bucket permits; /* while the limit is named */
	UT_hash_handle hh;
};

/*
 * The hit rate, indexed by the number of other objects that the server has
 * handled since the object was last used.
 */
struct upstream {
	uint32_t hash;
	double hit_rate[COORD_OBJECTS_MAX];
	UT_hash_handle hh;
};

struct request {
	uint64_t token;
	struct server *server;
	struct upstream *upstream;
	bool has_object;
	uint64_t object;
	/* Of the object in server.objects, COORD_OBJECTS_MAX: not in it. */
	size_t position;
	uint64_t expires_ms;
	bool has_permit;
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
	at->server->in_flight--;
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
	for (size_t i = 0; i < INITIAL_CACHED_OBJECTS; i++)
		at->hit_rate[i] = 1;
	HASH_ADD(hh, coord->upstreams, hash, sizeof(at->hash), at);
	return at;
}

/* ---- objects ---- */

static size_t find_object(const struct server *server, uint64_t object)
{
	for (size_t i = 0; i < server->nr_objects; i++)
		if (server->objects[i] == object)
			return i;
	return COORD_OBJECTS_MAX;
}

static void remove_object(struct server *server, size_t position)
{
	server->nr_objects--;
	memmove(server->objects + position, server->objects + position + 1,
		(server->nr_objects - position) * sizeof(*server->objects));
}

static void touch_object(struct server *server, size_t position,
			 uint64_t object)
{
	if (position < COORD_OBJECTS_MAX)
		remove_object(server, position);
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

/*
 * A coordinator that learns of a limit does not know the requests before. There
 * were few if the last response is long ago.
 */
static void update_limit(struct server *server, const struct limit *observed)
{
	bool was_named = server->limit.state == LIMIT_NAMED;

	limit_update(&server->limit, observed);
	if (server->limit.state == LIMIT_NAMED && !was_named)
		limit_bucket_start(&server->permits, 0,
				   server->limit.observed_ms);
}

void coord_observe_limit(struct coord *coord, uint64_t token,
			 const struct limit *observed)
{
	struct request *at = find_request(coord, token);

	if (at)
		update_limit(at->server, observed);
}

/*
 * Decides whether the request may be sent if the server has a limit. Requests
 * that are sent anyway are counted, so that others make up for them.
 */
static void grant_permit(struct server *server, const struct coord_query *query,
			 uint64_t now_ms, struct coord_reply *reply)
{
	reply->permit = COORD_PERMIT_GRANTED;
	if (server->limit.state != LIMIT_NAMED)
		return;
	if (!query->supports_limits || query->is_sent) {
		if (!limit_bucket_charge(&server->permits, &server->limit,
					 now_ms) &&
		    !query->supports_limits)
			reply->in_flight += COORD_LOAD_FULL;
		return;
	}
	reply->retry_ms =
		limit_bucket_take(&server->permits, &server->limit, 1, now_ms);
	if (reply->retry_ms)
		reply->permit = COORD_PERMIT_DENIED;
}

/*
 * A query that was received twice counts once.
 */
static void replace_request(struct coord *coord, struct request *at)
{
	if (at->has_permit)
		limit_bucket_return(&at->server->permits);
	free_request(coord, at);
}

int coord_query(struct coord *coord, const struct coord_query *query,
		struct coord_reply *reply)
{
	struct server *server = get_server(coord, query->server);
	struct upstream *upstream = get_upstream(coord, query->upstream);
	struct request *at = find_request(coord, query->token);
	uint64_t now_ms = clk_now_ms(coord->clk);
	uint32_t lifetime_ms = query->left_ms;

	if (!server || !upstream)
		return -1;
	if (at)
		replace_request(coord, at);
	server->used_ms = now_ms;
	update_limit(server, &query->limit);
	*reply = (struct coord_reply){ .in_flight = server->in_flight,
				       .limit = server->limit };
	grant_permit(server, query, now_ms, reply);
	if (reply->permit == COORD_PERMIT_DENIED)
		return 0;
	at = calloc(1, sizeof(*at));
	if (!at)
		return -1;
	at->has_permit = server->limit.state == LIMIT_NAMED;
	if (lifetime_ms > COORD_LIFETIME_MAX_MS)
		lifetime_ms = COORD_LIFETIME_MAX_MS;
	at->token = query->token;
	at->server = server;
	at->upstream = upstream;
	at->has_object = query->has_object;
	at->object = query->object;
	at->expires_ms = now_ms + lifetime_ms;
	at->position = COORD_OBJECTS_MAX;
	if (query->has_object) {
		at->position = find_object(server, query->object);
		touch_object(server, at->position, query->object);
	}
	HASH_ADD(hh, coord->requests, token, sizeof(at->token), at);
	server->in_flight++;
	reply->cached = at->position < COORD_OBJECTS_MAX &&
			upstream->hit_rate[at->position] >= 0.5;
	return 0;
}

/*
 * The farther back an object is in the order of use, the less likely it is
 * still cached.
 */
static void learn(struct upstream *upstream, size_t position, bool hit)
{
	if (position == COORD_OBJECTS_MAX)
		return;
	upstream->hit_rate[position] +=
		((hit ? 1 : 0) - upstream->hit_rate[position]) *
		HIT_RATE_WEIGHT;
}

void coord_end(struct coord *coord, uint64_t token, enum coord_end_result end)
{
	struct request *at = find_request(coord, token);
	size_t position;

	if (!at)
		return;
	switch (end) {
	case COORD_CACHE_HIT:
	case COORD_CACHE_MISS:
		learn(at->upstream, at->position, end == COORD_CACHE_HIT);
		break;
	case COORD_NOT_SENT:
		/* The server has not received the object. */
		position = at->has_object ?
				   find_object(at->server, at->object) :
				   COORD_OBJECTS_MAX;
		if (at->position == COORD_OBJECTS_MAX &&
		    position < COORD_OBJECTS_MAX)
			remove_object(at->server, position);
		if (at->has_permit)
			limit_bucket_return(&at->server->permits);
		break;
	case COORD_CACHE_UNKNOWN:
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
		if (now_ms >= at->expires_ms)
			free_request(coord, at);
	}
	HASH_ITER(hh, coord->servers, server, next_server)
	{
		if (server->in_flight ||
		    now_ms < server->used_ms + COORD_SERVER_IDLE_MS)
			continue;
		HASH_DEL(coord->servers, server);
		free(server);
	}
}
