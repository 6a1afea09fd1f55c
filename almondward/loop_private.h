/*
 * loop_private: types and functions shared by the files of the loop module.
 */
#ifndef LOOP_PRIVATE_H
#define LOOP_PRIVATE_H

#include <libwebsockets.h>
#include <ev.h>

#include "loop.h"
#include "pace.h"
#include "types.h"

#define LOOP_LOG_COMPONENT "loop"

union loop_sockaddr {
	struct sockaddr any;
	struct sockaddr_in in;
	struct sockaddr_in6 in6;
};

struct loop_timer {
	ev_timer watcher;
	struct loop *loop;
	void (*fn)(void *arg);
	void *arg;
	int64_t due_us; /* 0: not set */
	int64_t armed_us; /* due time of the watcher, 0: not started */
	bool polled; /* late, and sockets were polled again */
};

struct loop {
	struct clk *clk;
	struct ev_loop *ev;
	struct lws_context *lws;
	struct loop_conn *conns;
	struct loop_listener *listeners;
	struct pace pace; /* send rate of large bodies */
	struct loop_conn *pace_waiting; /* longest waiting first */
	struct loop_timer pace_timer;
	struct loop_traffic traffic[LOOP_USE_COUNT];
	/* The tables of libwebsockets have entries for descriptors below it. */
	int descriptors_max;
	union loop_sockaddr source; /* of connections, AF_UNSPEC: any */
	ev_signal sigterm;
	ev_signal sigint;
	void (*stop_fn)(void *arg);
	void *stop_arg;
	ev_signal sighup;
	void (*reload_fn)(void *arg);
	void *reload_arg;
	bool watches_reload_signal; /* sighup is started */
	bool watches_stop_signals; /* sigterm and sigint are started */
	bool stopped;
	bool destroying;
};

/*
 * Parses "IP:port" or "[IP6]:port". Returns LOOP_OK or LOOP_ERR_ADDRESS.
 */
enum loop_error loop_parse_address(const char *address, union loop_sockaddr *sa,
				   socklen_t *len);
void loop_format_address(const union loop_sockaddr *sa, char *out,
			 size_t out_bytes);

/*
 * Opens a non-blocking TCP socket that connects to this family from the address
 * set with loop_set_source(). Returns -1 on failure, with the cause in errno.
 */
int loop_open_socket(const struct loop *loop, int family);

/*
 * For a timer that is embedded in another struct.
 */
void loop_timer_init(struct loop_timer *timer, struct loop *loop,
		     void (*fn)(void *arg), void *arg);
void loop_timer_release(struct loop_timer *timer);

/*
 * Makes a connection of fd and takes ownership of fd. On failure, closes fd and
 * returns NULL.
 */
struct loop_conn *loop_conn_adopt(struct loop *loop, int fd,
				  const union loop_sockaddr *peer,
				  bool connecting);

/*
 * Calls an accept callback with a new connection, which the callback may close.
 */
void loop_conn_accept(struct loop_conn *conn,
		      void (*fn)(void *arg, struct loop_conn *conn), void *arg);

/*
 * Sends a part of the large body that has waited longest for the pace.
 */
void loop_conn_on_pace_timer(void *arg);

/*
 * Frees all connections without calling callbacks, for loop_destroy().
 */
void loop_conn_free_all(struct loop *loop);

int loop_lws_callback(struct lws *wsi, enum lws_callback_reasons reason,
		      void *user, void *in, size_t len);

#endif
