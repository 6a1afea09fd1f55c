#include "http_private.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <utlist.h>

/* Reading pauses above this: bytes received while a response is pending. */
#define PIPELINE_BYTES_MAX 65536
/*
 * While draining, a connection that stays idle for this time is closed.
 * Requests that are already on their way when draining starts are still
 * handled.
 */
#define DRAIN_IDLE_MS 1000
/* Retry-After of refusals for lack of resources. */
#define RETRY_AFTER_MS 1000

enum server_conn_state {
	SERVER_IDLE, /* between requests */
	SERVER_HEAD, /* receiving the head */
	SERVER_BODY, /* receiving the body */
	SERVER_HANDLING, /* the handler has the request */
	SERVER_WRITING /* the system has not accepted the whole response */
};

struct http_exchange {
	struct http_server *server;
	struct server_conn *conn; /* NULL when the connection is closed */
	struct msg msg;
	struct http_request req;
	bool dispatched; /* passed to the handler */
	void (*abort)(void *arg);
	void *abort_arg;
	struct http_exchange *prev, *next;
};

struct server_conn {
	struct http_server *server;
	struct loop_conn *loop_conn;
	struct loop_timer *timer;
	enum server_conn_state state;
	struct http_exchange *exchange;
	struct buf pipelined; /* received after the current request */
	uint64_t received_ms; /* when the unprocessed bytes were first read */
	size_t queued_bytes; /* of the response, at the last progress check */
	uint64_t idle_start_ms; /* in SERVER_IDLE */
	uint64_t response_due_ms; /* of the current request, 0: no limit */
	uint64_t accepted_ms; /* 0: a head was complete since */
	bool close; /* after the response */
	bool resume; /* the timer will process pipelined bytes */
	bool in_process; /* process() is running; it frees dead connections */
	bool more_bytes; /* process() has bytes after the current request */
	bool dead; /* unlinked, waits for process() to free it */
	struct server_conn *prev, *next;
};

struct http_server {
	struct loop *loop;
	struct http_server_settings settings;
	char address[ADDRESS_BYTES_MAX];
	http_handler_fn handler;
	void *arg;
	struct loop_listener *listener;
	struct server_conn *conns;
	struct http_exchange *exchanges;
	size_t nr_conns;
	size_t nr_active; /* requests that the handler has not responded to */
	struct http_memory body_memory;
	bool draining;
	struct ctr *requests;
	struct ctr *aborts;
	struct ctr *connections;
};

static void count_refusal(struct http_server *server, enum refusal refusal)
{
	if (server->settings.counters)
		ctr_add(ctr_get(server->settings.counters, "http_refusals",
				refusal_name(refusal)),
			1);
}

/* ---- exchanges ---- */

static struct http_exchange *exchange_create(struct server_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_exchange *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return NULL;
	exchange->server = server;
	exchange->conn = conn;
	exchange->req.received_ms = conn->received_ms;
	msg_init(&exchange->msg, HTTP_REQUEST, &server->body_memory);
	DL_APPEND(server->exchanges, exchange);
	conn->exchange = exchange;
	return exchange;
}

static void exchange_free(struct http_exchange *exchange)
{
	struct http_server *server = exchange->server;

	if (exchange->conn)
		exchange->conn->exchange = NULL;
	if (exchange->dispatched)
		server->nr_active--;
	DL_DELETE(server->exchanges, exchange);
	msg_release(&exchange->msg);
	free(exchange);
}

static void exchange_abort(struct http_exchange *exchange)
{
	exchange->conn = NULL;
	if (!exchange->dispatched) {
		exchange_free(exchange);
		return;
	}
	ctr_add(exchange->server->aborts, 1);
	/* Without a callback it stays valid until http_respond(). */
	if (!exchange->abort)
		return;
	/* Unlinked first: the callback may destroy the server. */
	exchange->server->nr_active--;
	msg_unreserve(&exchange->msg);
	DL_DELETE(exchange->server->exchanges, exchange);
	exchange->abort(exchange->abort_arg);
	msg_release(&exchange->msg);
	free(exchange);
}

void http_exchange_on_abort(struct http_exchange *exchange,
			    void (*fn)(void *arg), void *arg)
{
	exchange->abort = fn;
	exchange->abort_arg = arg;
}

bool http_exchange_is_abandoned(const struct http_exchange *exchange)
{
	return !exchange->conn ||
	       loop_conn_has_ended(exchange->conn->loop_conn);
}

/* ---- connections ---- */

static void conn_unlink(struct server_conn *conn)
{
	struct http_server *server = conn->server;

	conn->dead = true;
	loop_timer_destroy(conn->timer);
	DL_DELETE(server->conns, conn);
	server->nr_conns--;
	ctr_set_value(server->connections, server->nr_conns);
}

static void conn_free(struct server_conn *conn)
{
	buf_release(&conn->pipelined);
	free(conn);
}

/*
 * Ends a connection whose loop connection is already closed, or closes by
 * itself after sending. The abort callback may destroy the server.
 */
static void conn_finish(struct server_conn *conn)
{
	struct http_exchange *exchange = conn->exchange;
	bool in_process = conn->in_process;

	conn_unlink(conn);
	conn->exchange = NULL;
	if (exchange)
		exchange_abort(exchange);
	if (!in_process)
		conn_free(conn);
}

static void conn_close(struct server_conn *conn)
{
	loop_conn_close(conn->loop_conn);
	conn_finish(conn);
}

static void conn_close_after_send(struct server_conn *conn)
{
	loop_conn_close_after_send(conn->loop_conn);
	conn_finish(conn);
}

static void set_timer(struct server_conn *conn, uint32_t delay_ms)
{
	if (delay_ms)
		loop_timer_set(conn->timer, delay_ms);
	else
		loop_timer_cancel(conn->timer);
}

static uint32_t idle_timeout_ms(const struct http_server *server)
{
	uint32_t timeout_ms = server->settings.idle_timeout_ms;

	if (server->draining && (!timeout_ms || timeout_ms > DRAIN_IDLE_MS))
		return DRAIN_IDLE_MS;
	return timeout_ms;
}

static void enter_idle(struct server_conn *conn)
{
	conn->state = SERVER_IDLE;
	conn->idle_start_ms = clk_now_ms(loop_clock(conn->server->loop));
	set_timer(conn, idle_timeout_ms(conn->server));
}

/*
 * Closes an idle connection, unless its timeout was raised in the meantime.
 */
static void on_idle_timer(struct server_conn *conn)
{
	uint32_t timeout_ms = idle_timeout_ms(conn->server);
	uint64_t idle_ms = clk_now_ms(loop_clock(conn->server->loop)) -
			   conn->idle_start_ms;

	if (!timeout_ms)
		return;
	if (idle_ms < timeout_ms)
		set_timer(conn, timeout_ms - (uint32_t)idle_ms);
	else
		conn_close(conn);
}

/* ---- responses ---- */

/*
 * Generates a request id; leaves it empty when the settings have no make_id.
 */
static void make_id(const struct http_server *server,
		    char id[REQUEST_ID_BYTES_MAX])
{
	*id = '\0';
	if (server->settings.make_id)
		server->settings.make_id(server->arg, id);
}

/*
 * Returns false if the response cannot be built or queued for sending.
 */
static bool send_response(struct server_conn *conn,
			  const struct http_response *response, bool head_only)
{
	uint32_t status = response->status;
	bool has_body = !head_only && status != 204 && status != 304 &&
			response->body_bytes;
	char id[REQUEST_ID_BYTES_MAX] = "";
	struct buf out = BUF_INIT;
	enum loop_error err = LOOP_ERR_MEMORY;

	if (!http_header_value(response->headers, response->nr_headers,
			       REQUEST_ID_HEADER))
		make_id(conn->server, id);
	if (http_append_head(&out, response, id, head_only, conn->close) &&
	    (!has_body ||
	     !buf_append(&out, response->body, response->body_bytes)))
		err = loop_conn_send(conn->loop_conn, out.data, out.len_bytes);
	buf_release(&out);
	return err == LOOP_OK;
}

/*
 * Called when the system has accepted the whole response.
 */
static void on_response_sent(struct server_conn *conn)
{
	enter_idle(conn);
	if (conn->in_process || !conn->pipelined.len_bytes)
		return;
	/* Not now: the handler may still be in http_respond(). */
	conn->resume = true;
	loop_timer_set(conn->timer, 0);
}

static void respond(struct server_conn *conn,
		    const struct http_response *response, bool head_only)
{
	if (!send_response(conn, response, head_only)) {
		conn_close(conn);
		return;
	}
	if (conn->close) {
		conn_close_after_send(conn);
		return;
	}
	conn->queued_bytes = loop_conn_queued_bytes(conn->loop_conn);
	if (!conn->queued_bytes) {
		on_response_sent(conn);
		return;
	}
	conn->state = SERVER_WRITING;
	set_timer(conn, conn->server->settings.body_timeout_ms);
}

/*
 * Returns true if bytes were received after the current request, also if they
 * have not been read yet.
 */
static bool has_pipelined(const struct server_conn *conn)
{
	return (conn->in_process ? conn->more_bytes :
				   conn->pipelined.len_bytes > 0) ||
	       loop_conn_has_input(conn->loop_conn);
}

void http_respond(struct http_exchange *exchange,
		  const struct http_response *response)
{
	struct server_conn *conn = exchange->conn;
	bool head_only = exchange->msg.parser.method == HTTP_HEAD;

	if (conn && conn->server->draining && !has_pipelined(conn))
		conn->close = true;
	/* The response may refer to the request, so that is freed last. */
	if (conn) {
		conn->exchange = NULL;
		exchange->conn = NULL;
		respond(conn, response, head_only);
	}
	exchange_free(exchange);
}

void http_respond_refusal(struct http_exchange *exchange, enum refusal refusal,
			  const char *detail, const char *request_id,
			  bool not_run, uint32_t retry_after_ms)
{
	char id[REQUEST_ID_BYTES_MAX];
	struct http_refusal r;

	if (!request_id || !*request_id) {
		make_id(exchange->server, id);
		request_id = id;
	}
	http_build_refusal(&r, refusal, detail, request_id, not_run,
			   retry_after_ms);
	http_respond(exchange, &r.response);
	free(r.json);
}

/*
 * Refuses a request that was not passed to the handler, and closes the
 * connection: the bytes that follow cannot be distinguished from the rest of
 * the refused request.
 */
static void refuse_with(struct server_conn *conn, enum refusal refusal,
			const char *detail, uint32_t retry_after_ms)
{
	char id[REQUEST_ID_BYTES_MAX];
	struct http_refusal r;
	bool head_only = conn->exchange && conn->exchange->msg.head_done &&
			 conn->exchange->msg.parser.method == HTTP_HEAD;

	count_refusal(conn->server, refusal);
	conn->close = true;
	make_id(conn->server, id);
	http_build_refusal(&r, refusal, detail, id, true,
			   refusal_status(refusal) == 503 ? retry_after_ms : 0);
	respond(conn, &r.response, head_only);
	free(r.json);
}

static void refuse(struct server_conn *conn, enum refusal refusal,
		   const char *detail)
{
	refuse_with(conn, refusal, detail, RETRY_AFTER_MS);
}

/* ---- requests ---- */

static bool target_ok(const struct msg *msg)
{
	size_t i;

	if (!msg->target || msg->target[0] != '/')
		return false;
	for (i = 0; i < msg->target_bytes; i++) {
		uint8_t byte = (uint8_t)msg->target[i];

		if (byte <= ' ' || byte >= 0x7f || byte == '#')
			return false;
	}
	return true;
}

/*
 * Returns the reason why the head is a bad request, or NULL.
 */
static const char *head_error(const struct msg *msg)
{
	size_t nr_hosts = msg_count_headers(msg, "Host");

	if (!target_ok(msg))
		return "target is not in origin form";
	if (nr_hosts > 1)
		return "duplicate Host";
	if (!nr_hosts && msg->parser.http_minor == 1)
		return "Host is missing";
	if (msg_count_headers(msg, "Authorization") > 1)
		return "duplicate Authorization";
	return NULL;
}

static void fill_request(struct server_conn *conn)
{
	struct http_request *req = &conn->exchange->req;
	const struct msg *msg = &conn->exchange->msg;

	req->method = http_method_str((enum http_method)msg->parser.method);
	req->target = msg->target;
	req->headers = msg->headers;
	req->nr_headers = msg->nr_headers;
	req->peer = loop_conn_peer(conn->loop_conn);
	req->head_ms = clk_now_ms(loop_clock(conn->server->loop));
	req->accepted_ms = conn->accepted_ms;
	conn->accepted_ms = 0;
}

static bool is_response_due(const struct server_conn *conn)
{
	return conn->response_due_ms &&
	       clk_now_ms(loop_clock(conn->server->loop)) >=
		       conn->response_due_ms;
}

/*
 * Limits the time until more of the body is received, and until the response is
 * due: the handler gets the request only when its body is complete.
 */
static void set_body_timer(struct server_conn *conn)
{
	uint64_t now_ms = clk_now_ms(loop_clock(conn->server->loop));
	uint32_t timeout_ms = conn->server->settings.body_timeout_ms;
	uint64_t left_ms;

	if (conn->response_due_ms) {
		left_ms = conn->response_due_ms > now_ms ?
				  conn->response_due_ms - now_ms :
				  1;
		if (!timeout_ms || left_ms < timeout_ms)
			timeout_ms = (uint32_t)left_ms;
	}
	set_timer(conn, timeout_ms);
}

static uint64_t body_length(const struct msg *msg)
{
	return msg->parser.content_length == ULLONG_MAX ?
		       0 :
		       msg->parser.content_length;
}

/*
 * Lets the owner refuse a request before its body is received. Returns false if
 * it was refused.
 */
static bool check_head(struct server_conn *conn)
{
	const struct http_server *server = conn->server;
	struct http_head_check check = { 0 };

	if (server->settings.check_head)
		server->settings.check_head(server->arg, &conn->exchange->req,
					    body_length(&conn->exchange->msg),
					    &check);
	conn->response_due_ms = check.response_due_ms;
	if (!check.refusal)
		return true;
	refuse_with(conn, check.refusal, "refused before the body",
		    check.retry_after_ms);
	return false;
}

/*
 * Checks a complete head and prepares for the body. Returns false if the
 * request was refused.
 */
static bool head_complete(struct server_conn *conn, bool more_bytes)
{
	static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct msg *msg = &conn->exchange->msg;
	const char *error = head_error(msg), *expect;
	enum msg_status status;

	if (error) {
		refuse(conn, REFUSAL_BAD_REQUEST, error);
		return false;
	}
	expect = http_header_value(msg->headers, msg->nr_headers, "Expect");
	if (expect && (strcasecmp(expect, "100-continue") != 0 ||
		       msg_count_headers(msg, "Expect") > 1)) {
		refuse(conn, REFUSAL_EXPECTATION, "unknown expectation");
		return false;
	}
	status = msg_begin_body(msg, conn->server->settings.body_max_bytes);
	if (status == MSG_ERR_BODY_TOO_LARGE) {
		refuse(conn, REFUSAL_BODY_TOO_LARGE, "body is too large");
		return false;
	}
	if (status != MSG_MORE) {
		refuse(conn, REFUSAL_MEMORY, "no memory for the body");
		return false;
	}
	conn->close |= msg->parser.http_minor == 0 ||
		       !http_should_keep_alive(&msg->parser);
	fill_request(conn);
	if (!check_head(conn))
		return false;
	if (expect && msg_has_body(msg) && !more_bytes &&
	    msg->parser.http_minor == 1)
		loop_conn_send(conn->loop_conn, continue_response,
			       sizeof(continue_response) - 1);
	conn->state = SERVER_BODY;
	set_body_timer(conn);
	return true;
}

static void dispatch(struct server_conn *conn)
{
	struct http_exchange *exchange = conn->exchange;
	struct http_server *server = conn->server;

	exchange->req.body = exchange->msg.body;
	exchange->req.body_bytes = exchange->msg.body_bytes;
	exchange->dispatched = true;
	server->nr_active++;
	ctr_add(server->requests, 1);
	conn->state = SERVER_HANDLING;
	loop_timer_cancel(conn->timer);
	server->handler(server->arg, exchange, &exchange->req);
}

static void refuse_for_status(struct server_conn *conn, enum msg_status status)
{
	switch (status) {
	case MSG_ERR_HEAD_TOO_LARGE:
		refuse(conn, REFUSAL_HEAD_TOO_LARGE, "head is too large");
		return;
	case MSG_ERR_BODY_TOO_LARGE:
		refuse(conn, REFUSAL_BODY_TOO_LARGE, "body is too large");
		return;
	case MSG_ERR_BODY_MEMORY:
	case MSG_ERR_MEMORY:
		refuse(conn, REFUSAL_MEMORY, "no memory for the request");
		return;
	default:
		refuse(conn, REFUSAL_BAD_REQUEST, "malformed request");
		return;
	}
}

/*
 * Consumes bytes of the current request. Returns the number of consumed bytes.
 */
static size_t consume_bytes(struct server_conn *conn, const uint8_t *data,
			    size_t len_bytes)
{
	enum msg_status status;
	size_t used_bytes, rest_bytes;

	if (!conn->exchange && !exchange_create(conn)) {
		refuse(conn, REFUSAL_MEMORY, "no memory for the request");
		return len_bytes;
	}
	if (conn->state == SERVER_IDLE) {
		conn->state = SERVER_HEAD;
		set_timer(conn, conn->server->settings.head_timeout_ms);
	}
	status = msg_feed(&conn->exchange->msg, data, len_bytes, &used_bytes);
	if (status == MSG_HEAD) {
		if (!head_complete(conn, used_bytes < len_bytes))
			return len_bytes;
		status = msg_feed(&conn->exchange->msg, data + used_bytes,
				  len_bytes - used_bytes, &rest_bytes);
		used_bytes += rest_bytes;
	} else if (conn->state == SERVER_BODY) {
		set_body_timer(conn);
	}
	conn->more_bytes = used_bytes < len_bytes;
	if (status == MSG_DONE)
		dispatch(conn);
	else if (status != MSG_MORE)
		refuse_for_status(conn, status);
	return used_bytes;
}

/*
 * Processes requests until one waits for its response; stores the remaining
 * bytes as pipelined.
 */
static void process(struct server_conn *conn, const uint8_t *data,
		    size_t len_bytes)
{
	size_t used_bytes = 0;

	conn->in_process = true;
	while (!conn->dead && used_bytes < len_bytes &&
	       conn->state != SERVER_HANDLING && conn->state != SERVER_WRITING)
		used_bytes += consume_bytes(conn, data + used_bytes,
					    len_bytes - used_bytes);
	conn->in_process = false;
	if (conn->dead) {
		conn_free(conn);
		return;
	}
	if (used_bytes < len_bytes &&
	    buf_append(&conn->pipelined, data + used_bytes,
		       len_bytes - used_bytes))
		conn_close(conn);
	else
		loop_conn_pause(conn->loop_conn,
				conn->pipelined.len_bytes > PIPELINE_BYTES_MAX);
}

static void process_pipelined(struct server_conn *conn)
{
	struct buf bytes = conn->pipelined;

	memset(&conn->pipelined, 0, sizeof(conn->pipelined));
	process(conn, bytes.data, bytes.len_bytes);
	buf_release(&bytes);
}

/* ---- events ---- */

static void on_data(void *arg, struct loop_conn *loop_conn, const uint8_t *data,
		    size_t len_bytes)
{
	struct server_conn *conn = arg;

	(void)loop_conn;
	if (!conn->pipelined.len_bytes)
		conn->received_ms = clk_now_ms(loop_clock(conn->server->loop));
	if (conn->state != SERVER_HANDLING && conn->state != SERVER_WRITING &&
	    !conn->pipelined.len_bytes) {
		process(conn, data, len_bytes);
		return;
	}
	if (buf_append(&conn->pipelined, data, len_bytes)) {
		conn_close(conn);
		return;
	}
	loop_conn_pause(conn->loop_conn,
			conn->pipelined.len_bytes > PIPELINE_BYTES_MAX);
}

static void on_drained(void *arg, struct loop_conn *loop_conn)
{
	struct server_conn *conn = arg;

	(void)loop_conn;
	if (conn->state == SERVER_WRITING)
		on_response_sent(conn);
}

static void on_closed(void *arg, struct loop_conn *loop_conn,
		      enum loop_close reason)
{
	(void)loop_conn;
	(void)reason;
	conn_finish(arg);
}

static const struct loop_conn_ops conn_ops = {
	.data = on_data,
	.drained = on_drained,
	.closed = on_closed,
};

static void on_timer(void *arg)
{
	struct server_conn *conn = arg;
	size_t queued_bytes;

	if (conn->resume) {
		conn->resume = false;
		enter_idle(conn);
		process_pipelined(conn);
		return;
	}
	switch (conn->state) {
	case SERVER_HEAD:
		refuse(conn, REFUSAL_BAD_REQUEST, "head came too slowly");
		return;
	case SERVER_BODY:
		if (is_response_due(conn))
			refuse(conn, REFUSAL_QUEUE_TIMEOUT,
			       "time is up before the body is complete");
		else
			refuse(conn, REFUSAL_BAD_REQUEST,
			       "body came too slowly");
		return;
	case SERVER_WRITING:
		queued_bytes = loop_conn_queued_bytes(conn->loop_conn);
		if (queued_bytes < conn->queued_bytes) {
			conn->queued_bytes = queued_bytes;
			set_timer(conn, conn->server->settings.body_timeout_ms);
			return;
		}
		conn_close(conn);
		return;
	case SERVER_HANDLING:
		return;
	case SERVER_IDLE:
		on_idle_timer(conn);
		return;
	}
}

static void on_accept(void *arg, struct loop_conn *loop_conn)
{
	struct http_server *server = arg;
	struct server_conn *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		loop_conn_close(loop_conn);
		return;
	}
	conn->server = server;
	conn->loop_conn = loop_conn;
	conn->timer = loop_timer_create(server->loop, on_timer, conn);
	if (!conn->timer) {
		free(conn);
		loop_conn_close(loop_conn);
		return;
	}
	loop_conn_set_ops(loop_conn, &conn_ops, conn);
	loop_conn_set_use(loop_conn, server->settings.use);
	DL_APPEND(server->conns, conn);
	server->nr_conns++;
	ctr_set_value(server->connections, server->nr_conns);
	enter_idle(conn);
	conn->accepted_ms = conn->idle_start_ms;
	if (server->settings.connections_max &&
	    server->nr_conns > server->settings.connections_max)
		refuse(conn, REFUSAL_MEMORY, "too many connections");
}

/* ---- server ---- */

enum loop_error http_server_create(struct loop *loop,
				   const struct http_server_settings *settings,
				   http_handler_fn handler, void *arg,
				   struct http_server **server)
{
	struct http_server *new = calloc(1, sizeof(*new));
	enum loop_error err;

	if (!new)
		return LOOP_ERR_MEMORY;
	new->loop = loop;
	new->settings = *settings;
	new->body_memory.max_bytes = settings->body_memory_bytes;
	new->body_memory.small_bytes = settings->body_small_bytes;
	new->handler = handler;
	new->arg = arg;
	err = loop_listen(loop, settings->address, on_accept, new,
			  &new->listener);
	if (err) {
		free(new);
		return err;
	}
	snprintf(new->address, sizeof(new->address), "%s",
		 loop_listener_address(new->listener));
	new->settings.address = new->address;
	if (settings->counters) {
		new->requests = ctr_get(settings->counters, "http_requests",
					new->address);
		new->aborts = ctr_get(settings->counters, "http_aborts",
				      new->address);
		new->connections = ctr_get(settings->counters,
					   "http_connections", new->address);
	}
	*server = new;
	return LOOP_OK;
}

void http_server_destroy(struct http_server *server)
{
	if (!server)
		return;
	/* This may accept further connections; they are closed below. */
	loop_listener_destroy(server->listener);
	while (server->exchanges)
		exchange_free(server->exchanges);
	while (server->conns)
		conn_close(server->conns);
	free(server);
}

const char *http_server_address(const struct http_server *server)
{
	return server->address;
}

void http_server_drain(struct http_server *server, bool stop_listening)
{
	bool began = server->draining;
	struct server_conn *conn;

	server->draining = true;
	if (stop_listening) {
		loop_listener_destroy(server->listener);
		server->listener = NULL;
	}
	/* Later calls must not restart the idle time of the connections. */
	if (began)
		return;
	DL_FOREACH(server->conns, conn)
	{
		if (conn->state == SERVER_IDLE && !conn->resume)
			enter_idle(conn);
	}
}

void http_server_set_idle_timeout(struct http_server *server,
				  uint32_t idle_timeout_ms)
{
	server->settings.idle_timeout_ms = idle_timeout_ms;
}

void http_server_set_body_max(struct http_server *server, size_t bytes)
{
	server->settings.body_max_bytes = bytes;
}

size_t http_server_active(const struct http_server *server)
{
	return server->nr_active;
}

size_t http_server_connections(const struct http_server *server)
{
	return server->nr_conns;
}
