#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "gateway_internal.h"

/* A server on another continent answers a connect in under 300 ms; without an
 * answer in this time it is down or cut off. */
#define CONNECT_TIMEOUT_MS 700
/* Servers close idle connections after some seconds; a connection that is not
 * used for so long is closed first. */
#define IDLE_MAX_MS 20000
/* Part of the idle time that a server names, for the way of its close. */
#define IDLE_SHARE_PERCENT 70
#define IDLE_CONNECTIONS_MAX 32 /* of one server */
/* A far server that was used within this time has a connection ready. */
#define READY_MS 10000
#define PREPARE_INTERVAL_MS 1000 /* when connections do not come about */

struct idle {
	struct http_conn *conn;
	bool is_new; /* no call was made over it */
	uint64_t last_id; /* of its last request, 0: none */
	uint64_t until_ms;
	struct idle *prev, *next; /* newest first */
};

/* Idle connections to one server. */
struct gw_backend {
	struct idle *idle;
	size_t nr_idle;
	struct steer_server *server; /* NULL: is being forgotten */
	uint64_t used_ms; /* for a call */
	uint64_t prepared_ms; /* when a connection was last made ready */
	struct gw_backend *prev, *next;
};

static void remove_idle(struct gw_backend *backend, struct idle *at)
{
	DL_DELETE(backend->idle, at);
	backend->nr_idle--;
	if (backend->server)
		steer_server_set_idle(backend->server, backend->nr_idle);
	free(at);
}

static void close_idle(struct gw_backend *backend, struct idle *at)
{
	http_conn_destroy(at->conn);
	remove_idle(backend, at);
}

static struct gw_backend *get_backend(struct gw *gw,
				      struct steer_server *server)
{
	struct gw_backend *backend = steer_server_data(server);

	if (backend)
		return backend;
	backend = calloc(1, sizeof(*backend));
	if (!backend)
		return NULL;
	backend->server = server;
	DL_APPEND(gw->backends, backend);
	steer_server_set_data(server, backend);
	return backend;
}

/*
 * A connection that is established, or will be.
 */
static bool is_usable(const struct idle *at)
{
	return http_conn_reusable(at->conn) || http_conn_opening(at->conn);
}

static struct http_conn *take_idle(struct gw *gw, struct steer_server *server,
				   uint64_t id, uint64_t idle_max_ms,
				   struct gw_over *over)
{
	struct gw_backend *backend = steer_server_data(server);
	uint64_t now_ms = gw_now_ms(gw), idle_ms;
	struct http_conn *conn;
	struct idle *at, *next;

	if (!backend)
		return NULL;
	DL_FOREACH_SAFE(backend->idle, at, next)
	{
		if (!is_usable(at) || now_ms >= at->until_ms) {
			close_idle(backend, at);
			continue;
		}
		idle_ms = http_conn_opening(at->conn) ?
				  0 :
				  now_ms - http_conn_idle_since_ms(at->conn);
		if (idle_ms > idle_max_ms)
			return NULL;
		if (id && at->last_id == id)
			continue;
		conn = at->conn;
		over->is_new = at->is_new;
		over->idle_ms = idle_ms;
		remove_idle(backend, at);
		return conn;
	}
	return NULL;
}

struct http_conn *gw_backend_call(struct gw *gw, struct steer_server *server,
				  const struct http_call *call, uint64_t id,
				  uint64_t idle_max_ms, struct gw_over *over)
{
	struct http_conn *conn = take_idle(gw, server, id, idle_max_ms, over);
	struct gw_backend *backend;

	if (!conn) {
		*over = (struct gw_over){ .is_new = true };
		if (http_conn_create(gw->loop, steer_server_address(server),
				     CONNECT_TIMEOUT_MS, &conn))
			return NULL;
	}
	gw_count(gw, "backend_connections", over->is_new ? "new" : "reused");
	backend = get_backend(gw, server);
	if (backend)
		backend->used_ms = gw_now_ms(gw);
	if (!http_conn_call(conn, call))
		return conn;
	http_conn_destroy(conn);
	return NULL;
}

static void keep(struct gw *gw, struct steer_server *server,
		 struct http_conn *conn, uint64_t keep_ms, bool is_new,
		 uint64_t last_id)
{
	struct gw_backend *backend = get_backend(gw, server);
	struct idle *at = backend && backend->nr_idle < IDLE_CONNECTIONS_MAX ?
				  calloc(1, sizeof(*at)) :
				  NULL;

	if (!at) {
		http_conn_destroy(conn);
		return;
	}
	at->conn = conn;
	at->is_new = is_new;
	at->last_id = last_id;
	at->until_ms = gw_now_ms(gw) + keep_ms;
	DL_PREPEND(backend->idle, at);
	backend->nr_idle++;
	steer_server_set_idle(server, backend->nr_idle);
}

void gw_backend_prepare(struct gw *gw, struct steer_server *server)
{
	struct http_conn *conn;

	/* Without it the call opens one. */
	if (!http_conn_create(gw->loop, steer_server_address(server),
			      CONNECT_TIMEOUT_MS, &conn))
		keep(gw, server, conn, IDLE_MAX_MS, true, 0);
}

void gw_backend_done(struct gw *gw, struct steer_server *server,
		     struct http_conn *conn, uint64_t id, uint32_t idle_max_ms)
{
	uint64_t keep_ms = IDLE_MAX_MS;

	if (idle_max_ms &&
	    keep_ms > (uint64_t)idle_max_ms * IDLE_SHARE_PERCENT / 100)
		keep_ms = (uint64_t)idle_max_ms * IDLE_SHARE_PERCENT / 100;
	if (http_conn_reusable(conn))
		keep(gw, server, conn, keep_ms, false, id);
	else
		http_conn_destroy(conn);
}

void gw_backend_drop(void *arg, void *data)
{
	struct gw_backend *backend = data;
	struct gw *gw = arg;

	backend->server = NULL;
	while (backend->idle)
		close_idle(backend, backend->idle);
	DL_DELETE(gw->backends, backend);
	free(backend);
}

void gw_backend_tick(struct gw *gw)
{
	uint64_t now_ms = gw_now_ms(gw);
	struct gw_backend *backend;
	struct idle *at, *next;

	DL_FOREACH(gw->backends, backend)
	{
		DL_FOREACH_SAFE(backend->idle, at, next)
		{
			if (now_ms >= at->until_ms || !is_usable(at))
				close_idle(backend, at);
		}
		if (!backend->nr_idle && now_ms < backend->used_ms + READY_MS &&
		    now_ms >= backend->prepared_ms + PREPARE_INTERVAL_MS &&
		    steer_wants_connection(gw->steer, backend->server)) {
			backend->prepared_ms = now_ms;
			gw_backend_prepare(gw, backend->server);
		}
	}
}
