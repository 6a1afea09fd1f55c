#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "gateway_internal.h"

/* Servers close idle connections after some seconds. A connection that was idle
 * for this long is closed here, before the server closes it. */
#define IDLE_MAX_MS 20000
/* Part of the idle timeout that a server announces for which a connection is
 * kept: the server's close needs time to arrive. */
#define SERVER_IDLE_PERCENT 70
#define IDLE_CONNECTIONS_MAX 32 /* to one server */
/* For a server in another region that was used within this time an idle
 * connection is kept open. */
#define RECENT_USE_MS 10000
#define PRECONNECT_INTERVAL_MS 1000 /* while connections fail */
/* Interval of the connections that find out whether a server that could not be
 * reached is there again; it doubles with each failure. */
#define CHECK_INTERVAL_MIN_MS 500
#define CHECK_INTERVAL_MAX_MS 2000

struct idle_conn {
	struct http_conn *conn;
	bool is_new; /* no call was made over it yet */
	uint64_t last_id_hash; /* id of its last request, 0: none */
	uint64_t expires_ms; /* when it is closed */
	struct idle_conn *prev, *next; /* newest first */
};

/* Idle connections to one server. */
struct gw_backend {
	struct idle_conn *idle;
	size_t nr_idle;
	struct steer_server *server; /* NULL: is being discarded */
	uint64_t last_used_ms; /* when the last call was made */
	uint64_t last_preconnect_ms; /* see PRECONNECT_INTERVAL_MS */
	/* A connection that checks whether the server can be reached, or NULL. */
	struct http_conn *check;
	uint64_t next_check_ms;
	uint64_t check_interval_ms;
	struct gw_backend *prev, *next;
};

static void remove_idle(struct gw_backend *backend, struct idle_conn *at)
{
	DL_DELETE(backend->idle, at);
	backend->nr_idle--;
	if (backend->server)
		steer_server_set_idle(backend->server, backend->nr_idle);
	free(at);
}

static void close_idle(struct gw_backend *backend, struct idle_conn *at)
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
 * Returns whether the connection is established, or is being established.
 */
static bool is_usable(const struct idle_conn *at)
{
	return http_conn_reusable(at->conn) || http_conn_opening(at->conn);
}

/*
 * Returns whether an established connection was closed by the server, or has
 * bytes that belong to no request. After a stall the request may be handled
 * before the event of the connection.
 */
static bool has_ended(const struct idle_conn *at)
{
	return http_conn_reusable(at->conn) && http_conn_has_input(at->conn);
}

static struct http_conn *take_idle(struct gw *gw, struct steer_server *server,
				   uint64_t id_hash, uint64_t idle_max_ms,
				   struct gw_conn_info *conn_info)
{
	struct gw_backend *backend = steer_server_data(server);
	uint64_t now_ms = gw_now_ms(gw), idle_ms;
	struct http_conn *conn;
	struct idle_conn *at, *next;

	if (!backend)
		return NULL;
	DL_FOREACH_SAFE(backend->idle, at, next)
	{
		if (!is_usable(at) || now_ms >= at->expires_ms ||
		    has_ended(at)) {
			close_idle(backend, at);
			continue;
		}
		idle_ms = http_conn_opening(at->conn) ?
				  0 :
				  now_ms - http_conn_idle_since_ms(at->conn);
		if (idle_ms > idle_max_ms)
			return NULL;
		/*
		 * An earlier response on the connection could not be
		 * distinguished from the response to a request without an id or
		 * with the same id.
		 */
		if (id_hash ? at->last_id_hash == id_hash : !at->is_new)
			continue;
		conn = at->conn;
		conn_info->is_new = at->is_new;
		conn_info->is_opening = http_conn_opening(conn);
		conn_info->idle_ms = idle_ms;
		remove_idle(backend, at);
		return conn;
	}
	return NULL;
}

uint32_t gw_connect_timeout_ms(const struct gw *gw)
{
	return GW_CONNECT_TIMEOUT_MS + gw_net_delay_ms(gw);
}

static enum loop_error open_conn(struct gw *gw,
				 const struct steer_server *server,
				 struct http_conn **conn)
{
	enum loop_error err =
		http_conn_create(gw->loop, steer_server_address(server),
				 gw_connect_timeout_ms(gw), conn);

	if (!err)
		http_conn_set_use(*conn, LOOP_USE_SERVERS);
	return err;
}

struct http_conn *gw_backend_call(struct gw *gw, struct steer_server *server,
				  const struct http_call *call,
				  uint64_t id_hash, uint64_t idle_max_ms,
				  struct gw_conn_info *conn_info)
{
	struct http_conn *conn =
		take_idle(gw, server, id_hash, idle_max_ms, conn_info);
	struct gw_backend *backend;

	if (!conn) {
		*conn_info = (struct gw_conn_info){ .is_new = true,
						    .is_opening = true };
		if (open_conn(gw, server, &conn))
			return NULL;
	}
	gw_count(gw, "backend_connections",
		 conn_info->is_new ? "new" : "reused");
	backend = get_backend(gw, server);
	if (backend)
		backend->last_used_ms = gw_now_ms(gw);
	if (!http_conn_call(conn, call))
		return conn;
	http_conn_destroy(conn);
	return NULL;
}

static void add_idle(struct gw *gw, struct steer_server *server,
		     struct http_conn *conn, uint64_t lifetime_ms, bool is_new,
		     uint64_t last_id_hash)
{
	struct gw_backend *backend = get_backend(gw, server);
	struct idle_conn *at =
		backend && backend->nr_idle < IDLE_CONNECTIONS_MAX ?
			calloc(1, sizeof(*at)) :
			NULL;

	if (!at) {
		http_conn_destroy(conn);
		return;
	}
	at->conn = conn;
	at->is_new = is_new;
	at->last_id_hash = last_id_hash;
	at->expires_ms = gw_now_ms(gw) + lifetime_ms;
	DL_PREPEND(backend->idle, at);
	backend->nr_idle++;
	steer_server_set_idle(server, backend->nr_idle);
}

void gw_backend_preconnect(struct gw *gw, struct steer_server *server)
{
	struct http_conn *conn;

	/* After a failure the call opens a connection itself. */
	if (!open_conn(gw, server, &conn))
		add_idle(gw, server, conn, IDLE_MAX_MS, true, 0);
}

void gw_backend_keep(struct gw *gw, struct steer_server *server,
		     struct http_conn *conn)
{
	add_idle(gw, server, conn, IDLE_MAX_MS, true, 0);
}

static void close_backend_idle(struct gw_backend *backend)
{
	while (backend->idle)
		close_idle(backend, backend->idle);
}

void gw_backend_close_idle(struct gw *gw)
{
	struct gw_backend *backend;

	DL_FOREACH(gw->backends, backend)
	{
		close_backend_idle(backend);
	}
}

void gw_backend_release(struct gw *gw, struct steer_server *server,
			struct http_conn *conn, uint64_t id_hash,
			uint32_t idle_max_ms)
{
	uint64_t lifetime_ms = IDLE_MAX_MS;

	if (idle_max_ms &&
	    lifetime_ms > (uint64_t)idle_max_ms * SERVER_IDLE_PERCENT / 100)
		lifetime_ms = (uint64_t)idle_max_ms * SERVER_IDLE_PERCENT / 100;
	if (http_conn_reusable(conn))
		add_idle(gw, server, conn, lifetime_ms, false, id_hash);
	else
		http_conn_destroy(conn);
}

/* ---- servers that cannot be reached ---- */

static void delay_check(struct gw *gw, struct gw_backend *backend)
{
	backend->check_interval_ms *= 2;
	if (backend->check_interval_ms < CHECK_INTERVAL_MIN_MS)
		backend->check_interval_ms = CHECK_INTERVAL_MIN_MS;
	if (backend->check_interval_ms > CHECK_INTERVAL_MAX_MS)
		backend->check_interval_ms = CHECK_INTERVAL_MAX_MS;
	backend->next_check_ms = gw_now_ms(gw) + backend->check_interval_ms;
}

void gw_backend_unreached(struct gw *gw, struct steer_server *server,
			  uint32_t took_ms)
{
	struct gw_backend *backend = get_backend(gw, server);

	if (!backend)
		return;
	/* Requests whose connections fail together count once. */
	if (gw_now_ms(gw) >= backend->next_check_ms)
		delay_check(gw, backend);
	if (took_ms >= GW_CONNECT_TIMEOUT_MS)
		close_backend_idle(backend);
}

static void start_check(struct gw *gw, struct gw_backend *backend)
{
	if (open_conn(gw, backend->server, &backend->check)) {
		backend->check = NULL;
		delay_check(gw, backend);
		return;
	}
	gw_count(gw, "server_checks", "");
}

void gw_backend_check(struct gw *gw, struct steer_server *server)
{
	struct gw_backend *backend = steer_server_data(server);

	if (backend && !backend->check &&
	    gw_now_ms(gw) >= backend->next_check_ms)
		start_check(gw, backend);
}

static void finish_check(struct gw *gw, struct gw_backend *backend)
{
	struct steer_server *server = backend->server;
	struct http_conn *conn = backend->check;
	uint64_t now_ms = gw_now_ms(gw);

	if (http_conn_opening(conn) ||
	    (http_conn_reusable(conn) &&
	     now_ms < http_conn_idle_since_ms(conn) + GW_SETTLE_MS))
		return;
	backend->check = NULL;
	if (http_conn_reusable(conn)) {
		gw_backend_keep(gw, server, conn);
		steer_server_set_unreached(gw->steer, server, false);
		reach_connected(gw_reach(gw));
		backend->check_interval_ms = 0;
		backend->next_check_ms = now_ms + CHECK_INTERVAL_MAX_MS;
		return;
	}
	http_conn_destroy(conn);
	delay_check(gw, backend);
	close_backend_idle(backend);
	if (!steer_server_is_unreached(gw->steer, server)) {
		reach_connect_failed(gw_reach(gw));
		event_log(EVENT_SERVER, "server=%s notice=unreached",
			  steer_server_id(server));
	}
	steer_server_set_unreached(gw->steer, server, true);
}

/*
 * While no server can be reached, the probes of reach find out.
 */
static void check_tick(struct gw *gw, struct gw_backend *backend)
{
	if (backend->check)
		finish_check(gw, backend);
	else if (reach_state(gw_reach(gw)) == REACH_OK &&
		 gw_now_ms(gw) >= backend->next_check_ms &&
		 steer_server_is_unreached(gw->steer, backend->server))
		start_check(gw, backend);
}

void gw_backend_drop(void *arg, void *data)
{
	struct gw_backend *backend = data;
	struct gw *gw = arg;

	backend->server = NULL;
	close_backend_idle(backend);
	http_conn_destroy(backend->check);
	DL_DELETE(gw->backends, backend);
	free(backend);
}

void gw_backend_tick(struct gw *gw)
{
	uint64_t now_ms = gw_now_ms(gw);
	struct gw_backend *backend;
	struct idle_conn *at, *next;

	DL_FOREACH(gw->backends, backend)
	{
		check_tick(gw, backend);
		DL_FOREACH_SAFE(backend->idle, at, next)
		{
			if (now_ms >= at->expires_ms || !is_usable(at))
				close_idle(backend, at);
		}
		if (reach_state(gw_reach(gw)) == REACH_OK &&
		    !backend->nr_idle &&
		    now_ms < backend->last_used_ms + RECENT_USE_MS &&
		    now_ms >= backend->last_preconnect_ms +
				      PRECONNECT_INTERVAL_MS &&
		    steer_wants_connection(gw->steer, backend->server)) {
			backend->last_preconnect_ms = now_ms;
			gw_backend_preconnect(gw, backend->server);
		}
	}
}
