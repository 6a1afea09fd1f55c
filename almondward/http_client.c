#include "http_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* More 1xx responses to one request than this count as malformed. */
#define INFORMATIONAL_MAX 16
/*
 * Skipped responses of other requests on one connection; more count as
 * malformed. Some are tolerated since a server may send a response twice.
 */
#define SKIPPED_MAX 4
/* A body up to this size is sent in one write with the head. */
#define JOIN_BYTES_MAX 65536
/*
 * A response that is already in the socket at its time limit may take this long
 * to be read: the loop reads a part of it in each iteration.
 */
#define READ_MS 100

enum client_state {
	CLIENT_CONNECTING,
	CLIENT_IDLE,
	CLIENT_SETTLING, /* a request waits, see settle_ms */
	CLIENT_WAITING, /* for the response; may still be sending the request */
	CLIENT_FAILED, /* the timer will deliver the outcome */
	CLIENT_DEAD /* no connection */
};

struct http_conn {
	struct loop *loop;
	char address[ADDRESS_BYTES_MAX];
	struct loop_conn *loop_conn; /* NULL when closed */
	struct loop_timer *timer;
	struct loop_timer *settle_timer;
	enum client_state state;
	bool has_responded; /* to any request */
	bool busy; /* a call has no outcome yet */
	struct http_call call;
	uint64_t read_until_ms; /* after the time limit, 0: before it */
	struct buf head;
	uint64_t sent_before_bytes; /* sent on the connection before the call */
	bool bytes_sent;
	struct msg msg;
	bool has_msg;
	bool response_started; /* a byte of the final response has arrived */
	uint32_t nr_informational;
	enum http_result failure; /* in CLIENT_FAILED */
	uint64_t idle_since_ms;
	uint64_t created_ms;
	uint32_t connect_ms;
	uint32_t nr_skipped; /* responses of other requests */
};

static void drop_connection(struct http_conn *conn)
{
	if (conn->loop_conn)
		loop_conn_close(conn->loop_conn);
	conn->loop_conn = NULL;
	conn->state = CLIENT_DEAD;
}

static void update_bytes_sent(struct http_conn *conn)
{
	if (conn->loop_conn && conn->busy)
		conn->bytes_sent |= loop_conn_sent_bytes(conn->loop_conn) >
				    conn->sent_before_bytes;
}

static void reset_msg(struct http_conn *conn)
{
	if (conn->has_msg)
		msg_release(&conn->msg);
	conn->has_msg = false;
	conn->response_started = false;
}

static void begin_msg(struct http_conn *conn)
{
	reset_msg(conn);
	msg_init(&conn->msg, HTTP_RESPONSE, conn->call.response_memory);
	conn->msg.skip_body = !strcmp(conn->call.method, "HEAD");
	conn->has_msg = true;
}

/*
 * Delivers the outcome. The callback may destroy or reuse conn, so conn is not
 * accessed afterwards.
 */
static void deliver_outcome(struct http_conn *conn,
			    struct http_outcome *outcome)
{
	http_done_fn done = conn->call.done;
	void *arg = conn->call.arg;
	struct msg msg = conn->msg;
	bool has_msg = conn->has_msg;

	conn->has_msg = false;
	conn->busy = false;
	loop_timer_cancel(conn->timer);
	loop_timer_cancel(conn->settle_timer);
	buf_clear(&conn->head);
	done(arg, conn, outcome);
	if (has_msg)
		msg_release(&msg);
}

static void fill_response(const struct http_conn *conn,
			  struct http_response *response)
{
	response->status = conn->msg.parser.status_code;
	response->headers = conn->msg.headers;
	response->nr_headers = conn->msg.nr_headers;
	response->body = conn->msg.body;
	response->body_bytes = conn->msg.body_bytes;
}

static void fail(struct http_conn *conn, enum http_result result)
{
	struct http_outcome outcome = { .result = result };

	update_bytes_sent(conn);
	outcome.bytes_sent = conn->bytes_sent;
	if (conn->has_msg && conn->msg.head_done) {
		fill_response(conn, &outcome.failed_head);
		outcome.failed_head.body = NULL;
		outcome.failed_head.body_bytes = 0;
	}
	drop_connection(conn);
	deliver_outcome(conn, &outcome);
}

/*
 * Like fail(), but done is called later, by the timer: http_conn_call() must
 * not call it.
 */
static void fail_later(struct http_conn *conn, enum http_result result)
{
	update_bytes_sent(conn);
	drop_connection(conn);
	conn->state = CLIENT_FAILED;
	conn->failure = result;
	loop_timer_set(conn->timer, 0);
}

static void succeed(struct http_conn *conn, bool more_bytes)
{
	struct http_outcome outcome = { .result = HTTP_OK };

	update_bytes_sent(conn);
	outcome.bytes_sent = conn->bytes_sent;
	conn->has_responded = true;
	fill_response(conn, &outcome.response);
	conn->idle_since_ms = clk_now_ms(loop_clock(conn->loop));
	conn->state = CLIENT_IDLE;
	/*
	 * If the response came before the whole request was sent, the rest of
	 * the request would precede the next one.
	 */
	if (more_bytes || conn->nr_skipped ||
	    !http_should_keep_alive(&conn->msg.parser) ||
	    loop_conn_queued_bytes(conn->loop_conn))
		drop_connection(conn);
	deliver_outcome(conn, &outcome);
}

/* ---- request ---- */

static bool build_head(struct http_conn *conn)
{
	const struct http_call *call = &conn->call;
	bool has_length = call->body_bytes ||
			  (strcmp(call->method, "GET") != 0 &&
			   strcmp(call->method, "HEAD") != 0);

	buf_clear(&conn->head);
	if (buf_printf(&conn->head, "%s %s HTTP/1.1\r\n", call->method,
		       call->target) ||
	    http_append_headers(&conn->head, call->headers, call->nr_headers))
		return false;
	if (!http_header_value(call->headers, call->nr_headers, "Host") &&
	    buf_printf(&conn->head, "Host: %s\r\n", conn->address))
		return false;
	if (has_length && buf_printf(&conn->head, "Content-Length: %zu\r\n",
				     call->body_bytes))
		return false;
	return !buf_append_str(&conn->head, "\r\n");
}

static enum loop_error send_bytes(struct http_conn *conn)
{
	const struct http_call *call = &conn->call;
	enum loop_error err;

	if (call->body_bytes <= JOIN_BYTES_MAX) {
		if (buf_append(&conn->head, call->body, call->body_bytes))
			return LOOP_ERR_MEMORY;
		return loop_conn_send(conn->loop_conn, conn->head.data,
				      conn->head.len_bytes);
	}
	err = loop_conn_send(conn->loop_conn, conn->head.data,
			     conn->head.len_bytes);
	if (err)
		return err;
	return loop_conn_send(conn->loop_conn, call->body, call->body_bytes);
}

/*
 * Returns HTTP_OK when the system has accepted at least one byte, otherwise the
 * failure.
 */
static enum http_result send_request(struct http_conn *conn)
{
	enum loop_error err;

	conn->sent_before_bytes = loop_conn_sent_bytes(conn->loop_conn);
	if (conn->call.may_send && !conn->call.may_send(conn->call.arg))
		return HTTP_CLOSED;
	conn->state = CLIENT_WAITING;
	begin_msg(conn);
	err = send_bytes(conn);
	update_bytes_sent(conn);
	if (err == LOOP_ERR_MEMORY)
		return HTTP_MEMORY;
	/*
	 * Bytes that are only queued would be sent long after may_send() was
	 * checked. The socket of an idle connection accepts some bytes at once,
	 * unless the connection is broken.
	 */
	return conn->bytes_sent ? HTTP_OK : HTTP_CLOSED;
}

/*
 * Lets the request wait if the established connection has to settle. Returns
 * false if it can be sent at once.
 */
static bool begin_settling(struct http_conn *conn)
{
	uint64_t now_ms = clk_now_ms(loop_clock(conn->loop));
	uint64_t settled_ms = conn->idle_since_ms + conn->call.settle_ms;

	if (conn->has_responded || now_ms >= settled_ms)
		return false;
	conn->state = CLIENT_SETTLING;
	loop_timer_set(conn->settle_timer, (uint32_t)(settled_ms - now_ms));
	return true;
}

enum loop_error http_conn_call(struct http_conn *conn,
			       const struct http_call *call)
{
	enum http_result result;

	if (conn->busy || conn->state == CLIENT_DEAD)
		return LOOP_ERR_CLOSED;
	conn->call = *call;
	if (!build_head(conn))
		return LOOP_ERR_MEMORY;
	conn->busy = true;
	conn->bytes_sent = false;
	conn->nr_informational = 0;
	conn->read_until_ms = 0;
	loop_timer_set(conn->timer, call->timeout_ms);
	if (conn->state == CLIENT_CONNECTING || begin_settling(conn))
		return LOOP_OK;
	result = send_request(conn);
	if (result)
		fail_later(conn, result);
	return LOOP_OK;
}

/* ---- response ---- */

static enum http_result result_for_status(enum msg_status status)
{
	switch (status) {
	case MSG_ERR_BODY_TOO_LARGE:
		return HTTP_TOO_LARGE;
	case MSG_ERR_BODY_MEMORY:
	case MSG_ERR_MEMORY:
		return HTTP_MEMORY;
	default:
		return HTTP_MALFORMED;
	}
}

static enum msg_status check_head(struct http_conn *conn)
{
	uint32_t status = conn->msg.parser.status_code;

	if (status < 100 || status > 599 || status == 101)
		return MSG_ERR_MALFORMED;
	if (status < 200 && ++conn->nr_informational > INFORMATIONAL_MAX)
		return MSG_ERR_MALFORMED;
	return msg_begin_body(&conn->msg, conn->call.response_max_bytes);
}

static bool response_matches(struct http_conn *conn)
{
	struct http_response response;

	if (!conn->call.matches_request)
		return true;
	fill_response(conn, &response);
	return conn->call.matches_request(conn->call.arg, &response);
}

static void receive_response(struct http_conn *conn, const uint8_t *data,
			     size_t len_bytes)
{
	enum msg_status status = MSG_MORE;
	size_t used_bytes;

	while (status == MSG_MORE && len_bytes) {
		conn->response_started = true;
		status = msg_feed(&conn->msg, data, len_bytes, &used_bytes);
		data += used_bytes;
		len_bytes -= used_bytes;
		if (status == MSG_HEAD)
			status = check_head(conn);
		if (status == MSG_MORE && conn->msg.complete)
			status = MSG_DONE;
		if (status == MSG_DONE && conn->msg.parser.status_code < 200) {
			begin_msg(conn);
			status = MSG_MORE;
		}
		if (status == MSG_DONE && !response_matches(conn)) {
			begin_msg(conn);
			status = ++conn->nr_skipped > SKIPPED_MAX ?
					 MSG_ERR_MALFORMED :
					 MSG_MORE;
		}
	}
	if (status == MSG_DONE)
		succeed(conn, len_bytes > 0);
	else if (status != MSG_MORE)
		fail(conn, result_for_status(status));
}

/* ---- events ---- */

static void on_drained(void *arg, struct loop_conn *loop_conn)
{
	struct http_conn *conn = arg;

	if (conn->state == CLIENT_WAITING && conn->call.request_sent &&
	    !loop_conn_queued_bytes(loop_conn))
		conn->call.request_sent(conn->call.arg);
}

static void send_settled(struct http_conn *conn)
{
	enum http_result result = send_request(conn);

	if (result)
		fail(conn, result);
	else
		on_drained(conn, conn->loop_conn);
}

static void on_settled(void *arg)
{
	struct http_conn *conn = arg;

	if (conn->state != CLIENT_SETTLING)
		return;
	if (loop_conn_has_input(conn->loop_conn))
		fail(conn, HTTP_CLOSED);
	else
		send_settled(conn);
}

static void on_opened(void *arg, struct loop_conn *loop_conn)
{
	struct http_conn *conn = arg;

	(void)loop_conn;
	conn->state = CLIENT_IDLE;
	conn->idle_since_ms = clk_now_ms(loop_clock(conn->loop));
	conn->connect_ms = (uint32_t)(conn->idle_since_ms - conn->created_ms);
	if (conn->busy && !begin_settling(conn))
		send_settled(conn);
}

static void on_data(void *arg, struct loop_conn *loop_conn, const uint8_t *data,
		    size_t len_bytes)
{
	struct http_conn *conn = arg;

	(void)loop_conn;
	if (conn->state == CLIENT_WAITING)
		receive_response(conn, data, len_bytes);
	else if (conn->state == CLIENT_SETTLING)
		fail(conn, HTTP_CLOSED);
	else /* no request waits for these bytes */
		drop_connection(conn);
}

static void on_closed(void *arg, struct loop_conn *loop_conn,
		      enum loop_close reason)
{
	struct http_conn *conn = arg;
	enum http_result result = HTTP_CLOSED;

	(void)loop_conn;
	update_bytes_sent(conn);
	conn->loop_conn = NULL;
	conn->state = CLIENT_DEAD;
	if (!conn->busy)
		return;
	if (reason == LOOP_CLOSE_CONNECT_FAILED)
		result = HTTP_CONNECT_FAILED;
	else if (conn->response_started)
		result = HTTP_INCOMPLETE;
	fail(conn, result);
}

static const struct loop_conn_ops conn_ops = {
	.opened = on_opened,
	.data = on_data,
	.drained = on_drained,
	.closed = on_closed,
};

/*
 * Returns whether the rest of the response may be in the socket. It is read for
 * READ_MS after the time limit was noticed.
 */
static bool may_have_response(const struct http_conn *conn, uint64_t now_ms)
{
	return conn->state == CLIENT_WAITING && now_ms < conn->read_until_ms &&
	       loop_conn_has_input(conn->loop_conn);
}

static void on_timer(void *arg)
{
	struct http_conn *conn = arg;
	uint64_t now_ms = clk_now_ms(loop_clock(conn->loop));

	if (!conn->busy)
		return;
	if (!conn->read_until_ms)
		conn->read_until_ms = now_ms + READ_MS;
	if (may_have_response(conn, now_ms))
		loop_timer_set(conn->timer, 0);
	else
		fail(conn, conn->state == CLIENT_FAILED ? conn->failure :
							  HTTP_TIMEOUT);
}

enum loop_error http_conn_create(struct loop *loop, const char *address,
				 uint32_t connect_timeout_ms,
				 struct http_conn **conn)
{
	struct http_conn *new = calloc(1, sizeof(*new));
	enum loop_error err = LOOP_ERR_MEMORY;

	if (!new)
		return LOOP_ERR_MEMORY;
	new->loop = loop;
	new->created_ms = clk_now_ms(loop_clock(loop));
	snprintf(new->address, sizeof(new->address), "%s", address);
	new->timer = loop_timer_create(loop, on_timer, new);
	new->settle_timer = loop_timer_create(loop, on_settled, new);
	if (!new->timer || !new->settle_timer)
		goto fail;
	err = loop_connect(loop, address, connect_timeout_ms, &conn_ops, new,
			   &new->loop_conn);
	if (err)
		goto fail;
	*conn = new;
	return LOOP_OK;

fail:
	loop_timer_destroy(new->timer);
	loop_timer_destroy(new->settle_timer);
	free(new);
	return err;
}

void http_conn_set_use(struct http_conn *conn, enum loop_use use)
{
	if (conn->loop_conn)
		loop_conn_set_use(conn->loop_conn, use);
}

void http_conn_destroy(struct http_conn *conn)
{
	if (!conn)
		return;
	drop_connection(conn);
	reset_msg(conn);
	buf_release(&conn->head);
	loop_timer_destroy(conn->timer);
	loop_timer_destroy(conn->settle_timer);
	free(conn);
}

bool http_conn_reusable(const struct http_conn *conn)
{
	return conn->state == CLIENT_IDLE && !conn->busy;
}

bool http_conn_has_input(const struct http_conn *conn)
{
	return conn->loop_conn && loop_conn_has_input(conn->loop_conn);
}

bool http_conn_opening(const struct http_conn *conn)
{
	return conn->state == CLIENT_CONNECTING && !conn->busy;
}

bool http_conn_responding(const struct http_conn *conn)
{
	return conn->busy && conn->response_started;
}

bool http_conn_sending(const struct http_conn *conn)
{
	return conn->busy && (conn->state == CLIENT_CONNECTING ||
			      conn->state == CLIENT_SETTLING ||
			      (conn->state == CLIENT_WAITING &&
			       loop_conn_queued_bytes(conn->loop_conn)));
}

uint32_t http_conn_connect_ms(const struct http_conn *conn)
{
	return conn->connect_ms;
}

uint64_t http_conn_idle_since_ms(const struct http_conn *conn)
{
	return conn->idle_since_ms;
}
