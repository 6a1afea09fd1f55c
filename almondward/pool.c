#include "pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

struct idle_conn {
	struct http_conn *conn;
};

struct pool_server {
	char address[ADDRESS_BYTES_MAX];
	struct idle_conn *idle; /* the most recently used last */
	uint32_t nr_idle;
	uint32_t idle_capacity;
	UT_hash_handle hh;
};

struct backend {
	struct pool *pool;
	struct http_conn *conn;
	struct backend_call call;
	char address[ADDRESS_BYTES_MAX];
	struct backend *prev, *next;
};

struct pool {
	struct pool_settings settings;
	struct http_memory response_memory; /* of responses being received */
	struct pool_server *servers;
	struct backend *backends;
	struct ctr *opened;
	struct ctr *reused;
	struct ctr *closed_idle;
	struct ctr *closed_excess;
};

struct pool *pool_create(const struct pool_settings *settings)
{
	struct pool *pool = calloc(1, sizeof(*pool));
	struct ctr_set *set = settings->counters;

	if (!pool)
		return NULL;
	pool->settings = *settings;
	pool->response_memory.max_bytes = settings->response_memory_bytes;
	pool->response_memory.small_bytes = HTTP_SMALL_BODY_BYTES;
	pool->opened = ctr_get(set, "backend_connections", "opened");
	pool->reused = ctr_get(set, "backend_connections", "reused");
	pool->closed_idle = ctr_get(set, "backend_connections", "closed_idle");
	pool->closed_excess =
		ctr_get(set, "backend_connections", "closed_excess");
	return pool;
}

static void close_idle(struct pool_server *server, uint32_t i)
{
	http_conn_destroy(server->idle[i].conn);
	server->nr_idle--;
	memmove(&server->idle[i], &server->idle[i + 1],
		(server->nr_idle - i) * sizeof(*server->idle));
}

static void destroy_server(struct pool *pool, struct pool_server *server)
{
	while (server->nr_idle)
		close_idle(server, server->nr_idle - 1);
	HASH_DEL(pool->servers, server);
	free(server->idle);
	free(server);
}

void pool_destroy(struct pool *pool)
{
	struct pool_server *server, *next;
	struct backend *backend, *next_backend;

	if (!pool)
		return;
	DL_FOREACH_SAFE(pool->backends, backend, next_backend)
	{
		pool_abort(pool, backend);
	}
	HASH_ITER(hh, pool->servers, server, next)
	{
		destroy_server(pool, server);
	}
	free(pool);
}

static struct pool_server *find_or_add_server(struct pool *pool,
					      const char *address)
{
	struct pool_server *server;

	HASH_FIND_STR(pool->servers, address, server);
	if (server)
		return server;
	server = calloc(1, sizeof(*server));
	if (!server)
		return NULL;
	snprintf(server->address, sizeof(server->address), "%s", address);
	HASH_ADD_STR(pool->servers, address, server);
	return server;
}

/*
 * Returns how many connections may be idle: one for each free held slot.
 */
static uint32_t max_idle(const struct pool *pool, const char *address)
{
	uint32_t held, used;

	agent_slot_count(pool->settings.agent, address, &held, &used);
	return held > used ? held - used : 0;
}

static void close_excess(struct pool *pool, struct pool_server *server)
{
	uint32_t max = max_idle(pool, server->address);

	while (server->nr_idle > max) {
		ctr_add(pool->closed_excess, 1);
		close_idle(server, 0);
	}
}

static bool is_usable(const struct pool *pool, const struct http_conn *conn)
{
	uint64_t now_ms = clk_now_ms(loop_clock(pool->settings.loop));

	return http_conn_reusable(conn) &&
	       http_conn_idle_since_ms(conn) + POOL_IDLE_MS > now_ms;
}

void pool_tick(struct pool *pool)
{
	struct pool_server *server, *next;
	uint32_t i;

	HASH_ITER(hh, pool->servers, server, next)
	{
		for (i = server->nr_idle; i--;) {
			if (is_usable(pool, server->idle[i].conn))
				continue;
			ctr_add(pool->closed_idle, 1);
			close_idle(server, i);
		}
		close_excess(pool, server);
		if (!server->nr_idle)
			destroy_server(pool, server);
	}
}

static bool grow_idle(struct pool_server *server)
{
	uint32_t size = server->idle_capacity ? 2 * server->idle_capacity : 4;
	struct idle_conn *conns;

	if (server->nr_idle < server->idle_capacity)
		return true;
	conns = realloc(server->idle, size * sizeof(*conns));
	if (!conns)
		return false;
	server->idle = conns;
	server->idle_capacity = size;
	return true;
}

static void store_idle(struct pool *pool, const char *address,
		       struct http_conn *conn)
{
	struct pool_server *server = find_or_add_server(pool, address);

	if (server && server->nr_idle < max_idle(pool, address) &&
	    grow_idle(server))
		server->idle[server->nr_idle++].conn = conn;
	else
		http_conn_destroy(conn);
}

static void call_done(void *arg, struct http_conn *conn,
		      const struct http_outcome *outcome)
{
	struct backend *backend = arg;
	struct pool *pool = backend->pool;
	bool reusable;

	DL_DELETE(pool->backends, backend);
	reusable = backend->call.done(backend->call.http.arg, outcome);
	if (reusable && http_conn_reusable(conn))
		store_idle(pool, backend->address, conn);
	else
		http_conn_destroy(conn);
	free(backend);
	pool->settings.call_finished(pool->settings.arg);
}

static bool call_may_send(void *arg)
{
	struct backend *backend = arg;

	if (!backend->call.http.may_send)
		return true;
	return backend->call.http.may_send(backend->call.http.arg);
}

/*
 * Sends on an idle connection. Returns false if there is no usable one.
 */
static bool send_on_idle(struct pool *pool, struct backend *backend,
			 const struct http_call *call)
{
	struct pool_server *server = find_or_add_server(pool, backend->address);
	struct http_conn *conn;

	while (server && server->nr_idle) {
		conn = server->idle[--server->nr_idle].conn;
		if (is_usable(pool, conn) &&
		    http_conn_call(conn, call) == LOOP_OK) {
			backend->conn = conn;
			ctr_add(pool->reused, 1);
			return true;
		}
		http_conn_destroy(conn);
	}
	return false;
}

static bool send_on_new(struct pool *pool, struct backend *backend,
			const struct http_call *call)
{
	struct pool_server *server = find_or_add_server(pool, backend->address);

	if (server)
		close_excess(pool, server);
	if (http_conn_create(pool->settings.loop, backend->address,
			     POOL_CONNECT_TIMEOUT_MS, &backend->conn))
		return false;
	ctr_add(pool->opened, 1);
	if (http_conn_call(backend->conn, call) == LOOP_OK)
		return true;
	http_conn_destroy(backend->conn);
	return false;
}

struct backend *pool_send(struct pool *pool, const struct backend_call *call)
{
	struct backend *backend = calloc(1, sizeof(*backend));
	struct http_call http = call->http;

	if (!backend)
		return NULL;
	backend->pool = pool;
	backend->call = *call;
	snprintf(backend->address, sizeof(backend->address), "%s",
		 call->address);
	http.may_send = call_may_send;
	http.done = call_done;
	http.arg = backend;
	http.response_memory = &pool->response_memory;
	if ((call->new_connection || !send_on_idle(pool, backend, &http)) &&
	    !send_on_new(pool, backend, &http)) {
		free(backend);
		return NULL;
	}
	DL_APPEND(pool->backends, backend);
	return backend;
}

bool pool_responding(const struct backend *backend)
{
	return http_conn_responding(backend->conn);
}

void pool_abort(struct pool *pool, struct backend *backend)
{
	DL_DELETE(pool->backends, backend);
	http_conn_destroy(backend->conn);
	free(backend);
}
