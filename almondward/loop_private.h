/*
 * Shared by loop.c, loop_conn.c and loop_listen.c.
 */
#ifndef LOOP_PRIVATE_H
#define LOOP_PRIVATE_H

#include <libwebsockets.h>
#include <ev.h>

#include "loop.h"
#include "pace.h"
#include "types.h"

#define LOOP_PART "loop"

struct loop {
	struct clk *clk;
	struct ev_loop *ev;
	struct lws_context *lws;
	struct loop_conn *conns;
	struct loop_listener *listeners;
	struct pace pace; /* of large bodies */
	ev_signal sigterm;
	ev_signal sigint;
	void (*stop_fn)(void *arg);
	void *stop_arg;
	ev_signal sighup;
	void (*reload_fn)(void *arg);
	void *reload_arg;
	bool reload; /* SIGHUP is watched */
	bool signals;
	bool stopped;
	bool destroying;
};

struct loop_timer {
	ev_timer watcher;
	struct loop *loop;
	void (*fn)(void *arg);
	void *arg;
	int64_t due_us; /* 0: not set */
	int64_t armed_us; /* 0: the watcher does not run */
};

union loop_sockaddr {
	struct sockaddr any;
	struct sockaddr_in in;
	struct sockaddr_in6 in6;
};

/*
 * Parses "IP:port" or "[IP6]:port". Returns LOOP_OK or LOOP_ERR_ADDRESS.
 */
enum loop_error loop_parse_address(const char *address, union loop_sockaddr *sa,
				   socklen_t *len);
void loop_format_address(const union loop_sockaddr *sa, char *out,
			 size_t out_bytes);

void loop_timer_init(struct loop_timer *timer, struct loop *loop,
		     void (*fn)(void *arg), void *arg);
void loop_timer_release(struct loop_timer *timer);

/*
 * Takes fd over; closes it on failure. Returns NULL on failure.
 */
struct loop_conn *loop_conn_adopt(struct loop *loop, int fd,
				  const union loop_sockaddr *peer,
				  bool connecting);

/*
 * Runs an accept callback on a new connection, which may close it.
 */
void loop_conn_accept(struct loop_conn *conn,
		      void (*fn)(void *arg, struct loop_conn *conn), void *arg);

/*
 * Frees connections without callbacks; used when the loop is destroyed.
 */
void loop_conn_free_all(struct loop *loop);

int loop_lws_callback(struct lws *wsi, enum lws_callback_reasons reason,
		      void *user, void *in, size_t len);

#endif
