/*
 * loop: one event loop on one thread, timers and TCP connections.
 *
 * Built on libwebsockets: its libev event loop, its timers, and its raw role.
 * Callbacks run on the loop; they may call any function of this module.
 */
#ifndef LOOP_H
#define LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

struct loop;
struct loop_timer;
struct loop_listener;
struct loop_conn;

enum loop_error {
	LOOP_OK,
	LOOP_ERR_MEMORY,
	LOOP_ERR_ADDRESS, /* not an IP:port */
	LOOP_ERR_SYSTEM, /* errno tells the cause */
	LOOP_ERR_CLOSED
};

enum loop_close {
	LOOP_CLOSE_BY_PEER,
	LOOP_CLOSE_CONNECT_FAILED,
	LOOP_CLOSE_ERROR
};

/*
 * Returns NULL with a logged cause on failure. clk is not owned.
 */
struct loop *loop_create(struct clk *clk);

/*
 * Sends large bodies in parts, so that small messages do not wait behind them
 * at the link. rate_milli_mbit: thousandths of a megabit per second, 0: no
 * limit.
 */
void loop_set_link_rate(struct loop *loop, uint32_t rate_milli_mbit);

/*
 * Closes what is still open; no callbacks run.
 */
void loop_destroy(struct loop *loop);

/*
 * Runs until loop_stop().
 */
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
struct clk *loop_clock(struct loop *loop);

/*
 * Calls fn on SIGTERM and SIGINT.
 */
enum loop_error loop_on_stop_signal(struct loop *loop, void (*fn)(void *arg),
				    void *arg);

/*
 * Calls fn on SIGHUP.
 */
enum loop_error loop_on_reload_signal(struct loop *loop, void (*fn)(void *arg),
				      void *arg);

struct loop_timer *loop_timer_create(struct loop *loop, void (*fn)(void *arg),
				     void *arg);
void loop_timer_destroy(struct loop_timer *timer);

/*
 * Fires once after delay_ms; replaces an earlier time.
 */
void loop_timer_set(struct loop_timer *timer, uint64_t delay_ms);
void loop_timer_cancel(struct loop_timer *timer);

struct loop_conn_ops {
	/* An outgoing connection is established. */
	void (*opened)(void *arg, struct loop_conn *conn);
	void (*data)(void *arg, struct loop_conn *conn, const uint8_t *data,
		     size_t len_bytes);
	/*
	 * All that was queued has been handed to the system. Not called when
	 * loop_conn_send() could hand everything over at once. May be NULL.
	 */
	void (*drained)(void *arg, struct loop_conn *conn);
	/*
	 * The connection is gone; conn is invalid after the return. Not called
	 * after loop_conn_close().
	 */
	void (*closed)(void *arg, struct loop_conn *conn,
		       enum loop_close reason);
};

/*
 * Accepts connections on "IP:port". accept is called with each new connection
 * and must call loop_conn_set_ops() or loop_conn_close(). Port 0 takes a free
 * port, see loop_listener_address().
 */
enum loop_error loop_listen(struct loop *loop, const char *address,
			    void (*accept)(void *arg, struct loop_conn *conn),
			    void *arg, struct loop_listener **listener);
void loop_listener_destroy(struct loop_listener *listener);
const char *loop_listener_address(const struct loop_listener *listener);

/*
 * Connects to "IP:port". The outcome comes by ops->opened or ops->closed,
 * never from within this call.
 */
enum loop_error loop_connect(struct loop *loop, const char *address,
			     uint32_t timeout_ms,
			     const struct loop_conn_ops *ops, void *arg,
			     struct loop_conn **conn);
/*
 * Datagrams. Larger ones than this are cut off.
 */
#define LOOP_DATAGRAM_BYTES_MAX 1400

struct loop_udp;

/* from is the sender's "IP:port". */
typedef void (*loop_datagram_fn)(void *arg, const char *from,
				 const uint8_t *data, size_t len_bytes);

/*
 * Calls fn with each datagram that comes to "IP:port".
 */
enum loop_error loop_udp_create(struct loop *loop, const char *address,
				loop_datagram_fn fn, void *arg,
				struct loop_udp **udp);
void loop_udp_destroy(struct loop_udp *udp);
enum loop_error loop_udp_send(struct loop_udp *udp, const char *address,
			      const void *data, size_t len_bytes);

/*
 * Whether anything listens at "IP:port". fn is called once, never from within
 * this call, unless the probe is destroyed before; the probe is gone then.
 */
enum loop_probe_result {
	LOOP_PROBE_ACCEPTED,
	LOOP_PROBE_REFUSED, /* the host runs, and nothing listens */
	LOOP_PROBE_NO_ANSWER
};

struct loop_probe;

typedef void (*loop_probe_fn)(void *arg, enum loop_probe_result result);

enum loop_error loop_probe(struct loop *loop, const char *address,
			   uint32_t timeout_ms, loop_probe_fn fn, void *arg,
			   struct loop_probe **probe);
void loop_probe_destroy(struct loop_probe *probe);

void loop_conn_set_ops(struct loop_conn *conn, const struct loop_conn_ops *ops,
		       void *arg);

/*
 * Queues data for sending. Returns LOOP_ERR_MEMORY or LOOP_ERR_CLOSED.
 */
enum loop_error loop_conn_send(struct loop_conn *conn, const void *data,
			       size_t len_bytes);
size_t loop_conn_queued_bytes(const struct loop_conn *conn);

/*
 * Bytes that the system has taken since the connection was established.
 */
uint64_t loop_conn_sent_bytes(const struct loop_conn *conn);

/*
 * Stops or resumes reading.
 */
void loop_conn_pause(struct loop_conn *conn, bool paused);

/*
 * Closes at once, or once all queued data has been sent. conn is invalid after
 * the first; after the second neither data nor closed is called again.
 */
void loop_conn_close(struct loop_conn *conn);
void loop_conn_close_after_send(struct loop_conn *conn);

/*
 * Address of the other end as "IP:port".
 */
const char *loop_conn_peer(const struct loop_conn *conn);

#ifdef __cplusplus
}
#endif

#endif
