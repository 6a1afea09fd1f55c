/*
 * loop: event loop of one thread, with timers, TCP connections and datagrams.
 *
 * Built on libev and on the raw socket role of libwebsockets. Callbacks run on
 * the loop and may call any function of this module.
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
	LOOP_ERR_ADDRESS, /* not of the form IP:port */
	LOOP_ERR_SYSTEM, /* the cause is in errno */
	LOOP_ERR_CLOSED
};

enum loop_close {
	LOOP_CLOSE_BY_PEER,
	LOOP_CLOSE_CONNECT_FAILED,
	LOOP_CLOSE_ERROR
};

/*
 * Returns NULL on failure and logs the cause. The loop does not own clk.
 */
struct loop *loop_create(struct clk *clk);

/*
 * Sends large bodies in parts and at most at this rate, so that small messages
 * do not wait behind them on the network link. A rate of 0 means no limit.
 */
void loop_set_link_rate(struct loop *loop, uint32_t rate_kbit_per_s);

/*
 * Returns the milliseconds that the link needs, by estimate, to send what was
 * passed to the system so far; 0 without a known rate.
 */
uint32_t loop_backlog_ms(struct loop *loop);

/*
 * Connects from this local IP address to addresses of the same family. Returns
 * LOOP_ERR_ADDRESS if ip is not an IP address, and LOOP_ERR_SYSTEM if the
 * machine does not have it.
 */
enum loop_error loop_set_source(struct loop *loop, const char *ip);

/*
 * Closes all connections and listeners without calling any callback.
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
 * Calls the timer's function once after delay_ms. Replaces an earlier setting.
 * Sockets that became ready before the loop noticed the time are handled first.
 */
void loop_timer_set(struct loop_timer *timer, uint64_t delay_ms);
void loop_timer_cancel(struct loop_timer *timer);

/*
 * What a connection carries, for the counts of loop_traffic(). Datagrams count
 * by themselves.
 */
enum loop_use {
	LOOP_USE_OTHER,
	LOOP_USE_CALLERS, /* also other entry instances that relay */
	LOOP_USE_SERVERS,
	LOOP_USE_RELAYS, /* to other entry instances */
	LOOP_USE_CONTROL,
	LOOP_USE_DATAGRAMS,
	LOOP_USE_COUNT
};

/* Payload bytes since the start of the loop. */
struct loop_traffic {
	uint64_t received_bytes;
	uint64_t sent_bytes;
};

const struct loop_traffic *loop_traffic(const struct loop *loop,
					enum loop_use use);
const char *loop_use_name(enum loop_use use);

struct loop_conn_ops {
	/* An outgoing connection is established. May be NULL. */
	void (*opened)(void *arg, struct loop_conn *conn);
	void (*data)(void *arg, struct loop_conn *conn, const uint8_t *data,
		     size_t len_bytes);
	/*
	 * All queued data has been passed to the system. Not called if
	 * loop_conn_send() could pass everything at once. May be NULL.
	 */
	void (*drained)(void *arg, struct loop_conn *conn);
	/*
	 * The connection is closed; conn is invalid after the return. Not
	 * called after loop_conn_close().
	 */
	void (*closed)(void *arg, struct loop_conn *conn,
		       enum loop_close reason);
};

/*
 * Accepts connections on "IP:port". Calls accept with each new connection,
 * which must call loop_conn_set_ops() or loop_conn_close(). Port 0 selects a
 * free port, see loop_listener_address().
 */
enum loop_error loop_listen(struct loop *loop, const char *address,
			    void (*accept)(void *arg, struct loop_conn *conn),
			    void *arg, struct loop_listener **listener);
void loop_listener_destroy(struct loop_listener *listener);
const char *loop_listener_address(const struct loop_listener *listener);

/*
 * Connects to "IP:port". The result is reported by ops->opened or ops->closed,
 * never from within this call.
 */
enum loop_error loop_connect(struct loop *loop, const char *address,
			     uint32_t timeout_ms,
			     const struct loop_conn_ops *ops, void *arg,
			     struct loop_conn **conn);

/*
 * Larger received datagrams are truncated.
 */
#define LOOP_DATAGRAM_BYTES_MAX 1400

struct loop_udp;

/* from is the sender's "IP:port". */
typedef void (*loop_datagram_fn)(void *arg, const char *from,
				 const uint8_t *data, size_t len_bytes);

/*
 * Calls fn with each datagram received on "IP:port".
 */
enum loop_error loop_udp_create(struct loop *loop, const char *address,
				loop_datagram_fn fn, void *arg,
				struct loop_udp **udp);
void loop_udp_destroy(struct loop_udp *udp);
enum loop_error loop_udp_send(struct loop_udp *udp, const char *address,
			      const void *data, size_t len_bytes);

/*
 * Result of a connection attempt that checks whether a process listens.
 */
enum loop_probe_result {
	LOOP_PROBE_ACCEPTED,
	LOOP_PROBE_REFUSED, /* the host runs, but no process listens */
	LOOP_PROBE_NO_ANSWER /* timeout or another error */
};

struct loop_probe;

typedef void (*loop_probe_fn)(void *arg, enum loop_probe_result result);

/*
 * Checks whether a process listens on "IP:port". Calls fn once with the result,
 * never from within this call, and not if the probe is destroyed before. The
 * probe is freed before fn is called.
 */
enum loop_error loop_probe(struct loop *loop, const char *address,
			   uint32_t timeout_ms, loop_probe_fn fn, void *arg,
			   struct loop_probe **probe);
void loop_probe_destroy(struct loop_probe *probe);

/*
 * Sets the callbacks of a connection and their argument.
 */
void loop_conn_set_ops(struct loop_conn *conn, const struct loop_conn_ops *ops,
		       void *arg);

/*
 * Sets what the connection carries; LOOP_USE_OTHER before.
 */
void loop_conn_set_use(struct loop_conn *conn, enum loop_use use);

/*
 * Sends data, and queues what the system does not take at once. On
 * LOOP_ERR_MEMORY nothing was sent. On LOOP_ERR_CLOSED the connection cannot
 * send any more.
 */
enum loop_error loop_conn_send(struct loop_conn *conn, const void *data,
			       size_t len_bytes);
size_t loop_conn_queued_bytes(const struct loop_conn *conn);

/*
 * Returns the bytes passed to the system since the connection was established.
 */
uint64_t loop_conn_sent_bytes(const struct loop_conn *conn);

/*
 * Returns true if received data, or the end of it, has not been read yet. A
 * data callback gets a part of what was received.
 */
bool loop_conn_has_input(const struct loop_conn *conn);

/*
 * Returns true if the other end has closed the connection, or its sending side,
 * although the closed callback has not been called yet. Unread data hides this.
 */
bool loop_conn_has_ended(const struct loop_conn *conn);

/*
 * Stops or resumes reading.
 */
void loop_conn_pause(struct loop_conn *conn, bool paused);

/*
 * loop_conn_close() closes at once; conn is invalid afterwards.
 * loop_conn_close_after_send() closes when all queued data has been sent; no
 * callback of conn is called any more.
 */
void loop_conn_close(struct loop_conn *conn);
void loop_conn_close_after_send(struct loop_conn *conn);

/*
 * Returns true while a connection that was closed with
 * loop_conn_close_after_send() is open. What it has not sent by the time of
 * loop_destroy() is lost.
 */
bool loop_is_closing(const struct loop *loop);

/*
 * Returns the address of the other end as "IP:port".
 */
const char *loop_conn_peer(const struct loop_conn *conn);

#ifdef __cplusplus
}
#endif

#endif
