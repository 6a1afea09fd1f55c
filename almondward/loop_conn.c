#include "loop_private.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>

#include "buf.h"
#include "log.h"

/* The system closes a connection with data unacknowledged for this time. */
#define USER_TIMEOUT_MS 5000
/*
 * Time that the other end has to close the connection after the last byte was
 * sent. Closing at once would reset the connection if unread data is left, and
 * the reset can destroy a response that is still in transit.
 */
#define LINGER_MS 1000
/* A closing connection that sends none of its data for this time is closed. */
#define LINGER_STALL_MS 5000
/* Limits the time that a large queue delays other connections. */
#define SEND_BYTES_PER_TURN 262144
/*
 * Bytes of a large body that are sent at once even if the pace does not allow
 * its first part yet: about one packet.
 */
#define FIRST_PART_BYTES 1024
/* Limit of the memory that an empty queue keeps. */
#define QUEUE_KEEP_BYTES 65536

enum conn_state {
	CONN_CONNECTING,
	CONN_OPEN,
	CONN_LINGER /* closed by the owner, queued data is still sent */
};

struct loop_conn {
	struct loop *loop;
	struct lws *wsi;
	int fd;
	enum conn_state state;
	const struct loop_conn_ops *ops;
	void *arg;
	struct buf out; /* send queue */
	size_t out_offset_bytes; /* bytes of out already sent */
	uint64_t sent_bytes;
	enum loop_use use;
	size_t linger_queued_bytes; /* at the last check for progress */
	struct loop_timer timer; /* connect timeout, later limit for closing */
	bool waits_for_pace; /* is in loop->pace_waiting */
	bool has_pace_turn; /* has waited longest */
	uint32_t callback_depth; /* running callbacks; freed only at 0 */
	bool dead; /* closed, to be freed */
	bool write_failed;
	bool write_shut; /* shutdown(SHUT_WR) was called */
	bool paused; /* reading is stopped */
	bool notify_drained; /* call ops->drained when the queue is empty */
	char peer[ADDRESS_BYTES_MAX];
	struct loop_conn *prev, *next;
	struct loop_conn *pace_prev, *pace_next;
};

static void stop_pace_wait(struct loop_conn *conn)
{
	if (conn->waits_for_pace)
		DL_DELETE2(conn->loop->pace_waiting, conn, pace_prev,
			   pace_next);
	conn->waits_for_pace = false;
}

static void conn_free(struct loop_conn *conn)
{
	loop_timer_release(&conn->timer);
	stop_pace_wait(conn);
	buf_release(&conn->out);
	free(conn);
}

static void enter_callback(struct loop_conn *conn)
{
	conn->callback_depth++;
}

/*
 * Returns true if the connection was closed by a callback. It is freed then,
 * unless an outer callback is running.
 */
static bool leave_callback(struct loop_conn *conn)
{
	conn->callback_depth--;
	if (!conn->dead)
		return false;
	if (!conn->callback_depth)
		conn_free(conn);
	return true;
}

/*
 * Lets libwebsockets close the socket in the next loop iteration, which is safe
 * also within a callback of that socket. The shutdown makes the socket
 * writable, so that it is closed even if the timeout of libwebsockets does not
 * wake the loop. Nothing is read any more: bytes that are discarded would be
 * acknowledged, while closing a socket with unread bytes resets the connection,
 * which tells the other end that they were not handled.
 */
static void kill_wsi(struct loop_conn *conn)
{
	lws_set_opaque_user_data(conn->wsi, NULL);
	if (!conn->paused)
		lws_rx_flow_control(conn->wsi, 0);
	shutdown(conn->fd, SHUT_RDWR);
	lws_callback_on_writable(conn->wsi);
	lws_set_timeout(conn->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
			LWS_TO_KILL_ASYNC);
}

void loop_conn_close(struct loop_conn *conn)
{
	if (conn->dead)
		return;
	conn->dead = true;
	stop_pace_wait(conn);
	if (conn->wsi) {
		kill_wsi(conn);
		DL_DELETE(conn->loop->conns, conn);
	}
	if (!conn->callback_depth)
		conn_free(conn);
}

/*
 * Called when the socket is closed: calls ops->closed and frees the connection.
 */
static void on_socket_closed(struct loop_conn *conn, enum loop_close reason)
{
	DL_DELETE(conn->loop->conns, conn);
	conn->wsi = NULL;
	stop_pace_wait(conn);
	loop_timer_cancel(&conn->timer);
	enter_callback(conn);
	if (conn->state == CONN_CONNECTING)
		reason = LOOP_CLOSE_CONNECT_FAILED;
	if (conn->state != CONN_LINGER && conn->ops)
		conn->ops->closed(conn->arg, conn, reason);
	conn->dead = true;
	leave_callback(conn);
}

/*
 * Closes the connection at its connect timeout, after a failed write, or when
 * lingering has taken too long. A lingering connection that has sent some of
 * its queue since the last check gets more time.
 */
static void on_conn_timer(void *arg)
{
	struct loop_conn *conn = arg;
	size_t queued_bytes = loop_conn_queued_bytes(conn);

	if (conn->state == CONN_LINGER && !conn->write_shut &&
	    queued_bytes < conn->linger_queued_bytes) {
		conn->linger_queued_bytes = queued_bytes;
		loop_timer_set(&conn->timer, LINGER_STALL_MS);
		return;
	}
	if (conn->state == CONN_LINGER) {
		loop_conn_close(conn);
		return;
	}
	kill_wsi(conn);
	on_socket_closed(conn, LOOP_CLOSE_ERROR);
}

static int set_options(int fd)
{
	unsigned int timeout_ms = USER_TIMEOUT_MS;
	int on = 1;

	if (setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)))
		return -1;
	return setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
			  sizeof(timeout_ms));
}

struct loop_conn *loop_conn_adopt(struct loop *loop, int fd,
				  const union loop_sockaddr *peer,
				  bool connecting)
{
	struct loop_conn *conn = calloc(1, sizeof(*conn));
	lws_adopt_desc_t desc = { .type = LWS_ADOPT_SOCKET };

	/* libwebsockets writes beyond its tables for such a descriptor. */
	if (!conn || fd >= loop->descriptors_max || set_options(fd)) {
		free(conn);
		close(fd);
		return NULL;
	}
	conn->loop = loop;
	conn->fd = fd;
	conn->state = connecting ? CONN_CONNECTING : CONN_OPEN;
	loop_format_address(peer, conn->peer, sizeof(conn->peer));
	loop_timer_init(&conn->timer, loop, on_conn_timer, conn);
	desc.vh = lws_get_vhost_by_name(loop->lws, "default");
	desc.fd.sockfd = fd;
	desc.vh_prot_name = "almondward";
	/* Closes fd on failure, for example at the limit of open files. */
	conn->wsi = lws_adopt_descriptor_vhost_via_info(&desc);
	if (!conn->wsi) {
		free(conn);
		return NULL;
	}
	/* Not earlier: a failed adoption calls the close callback as well. */
	lws_set_opaque_user_data(conn->wsi, conn);
	DL_APPEND(loop->conns, conn);
	if (connecting)
		lws_callback_on_writable(conn->wsi);
	return conn;
}

void loop_conn_accept(struct loop_conn *conn,
		      void (*fn)(void *arg, struct loop_conn *conn), void *arg)
{
	enter_callback(conn);
	fn(arg, conn);
	leave_callback(conn);
}

void loop_conn_free_all(struct loop *loop)
{
	struct loop_conn *conn, *next;

	DL_FOREACH_SAFE(loop->conns, conn, next)
	{
		lws_set_opaque_user_data(conn->wsi, NULL);
		conn_free(conn);
	}
	loop->conns = NULL;
}

/*
 * Connects the socket itself, since lws_client_connect_via_info() reports some
 * failures before it returns and cannot be cancelled by its caller.
 */
enum loop_error loop_connect(struct loop *loop, const char *address,
			     uint32_t timeout_ms,
			     const struct loop_conn_ops *ops, void *arg,
			     struct loop_conn **conn)
{
	union loop_sockaddr sa;
	enum loop_error err;
	socklen_t len;
	bool failed;
	int fd;

	err = loop_parse_address(address, &sa, &len);
	if (err)
		return err;
	fd = loop_open_socket(loop, sa.any.sa_family);
	if (fd < 0)
		return LOOP_ERR_SYSTEM;
	failed = connect(fd, &sa.any, len) && errno != EINPROGRESS;
	*conn = loop_conn_adopt(loop, fd, &sa, true);
	if (!*conn) {
		errno = EMFILE;
		return LOOP_ERR_SYSTEM;
	}
	(*conn)->ops = ops;
	(*conn)->arg = arg;
	/* The timer also reports an immediate failure, after this returns. */
	loop_timer_set(&(*conn)->timer, failed ? 0 : timeout_ms);
	return LOOP_OK;
}

void loop_conn_set_ops(struct loop_conn *conn, const struct loop_conn_ops *ops,
		       void *arg)
{
	conn->ops = ops;
	conn->arg = arg;
}

void loop_conn_set_use(struct loop_conn *conn, enum loop_use use)
{
	conn->use = use;
}

/* ---- sending ---- */

/*
 * Discards the queue. Data that was received before the failure can still be
 * read, so the connection is closed when reading ends, at the latest after a
 * timeout.
 */
static void write_failed(struct loop_conn *conn)
{
	conn->write_failed = true;
	stop_pace_wait(conn);
	buf_release(&conn->out);
	conn->out_offset_bytes = 0;
	loop_timer_set(&conn->timer, LINGER_MS);
}

/*
 * Sends directly to the socket: lws_write() keeps the rest of a partly sent
 * buffer and reads nothing until it is sent, so two ends that both send much
 * data would block each other. Returns the number of bytes sent.
 */
static size_t send_some(struct loop_conn *conn, const void *data,
			size_t len_bytes)
{
	ssize_t sent;

	do
		sent = send(conn->fd, data, len_bytes,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
	while (sent < 0 && errno == EINTR);
	if (sent >= 0) {
		conn->sent_bytes += (uint64_t)sent;
		conn->loop->traffic[conn->use].sent_bytes += (uint64_t)sent;
		if (conn->loop->pace.bytes_per_ms)
			pace_sent(&conn->loop->pace, (size_t)sent,
				  clk_now_ms(conn->loop->clk));
		return (size_t)sent;
	}
	if (errno != EAGAIN && errno != EWOULDBLOCK)
		write_failed(conn);
	return 0;
}

static void wait_for_pace(struct loop_conn *conn)
{
	struct loop *loop = conn->loop;

	if (!loop->pace_waiting)
		loop_timer_set(
			&loop->pace_timer,
			pace_wait_ms(&loop->pace, clk_now_ms(loop->clk)));
	conn->waits_for_pace = true;
	DL_APPEND2(loop->pace_waiting, conn, pace_prev, pace_next);
}

/*
 * Returns how many of len_bytes unsent bytes may be sent now. For a large body
 * this can be 0; it then waits until the next part may be sent, behind those
 * that wait already.
 */
static size_t sendable_bytes(struct loop_conn *conn, size_t len_bytes)
{
	struct loop *loop = conn->loop;
	size_t part_bytes = 0;

	if (len_bytes > SEND_BYTES_PER_TURN)
		len_bytes = SEND_BYTES_PER_TURN;
	if (!loop->pace.bytes_per_ms || len_bytes <= PACE_LARGE_BYTES)
		return len_bytes;
	if (conn->waits_for_pace)
		return 0;
	if (conn->has_pace_turn || !loop->pace_waiting)
		part_bytes =
			pace_allowed_bytes(&loop->pace, clk_now_ms(loop->clk));
	if (part_bytes)
		return len_bytes < part_bytes ? len_bytes : part_bytes;
	wait_for_pace(conn);
	return 0;
}

static enum loop_error append_to_queue(struct loop_conn *conn, const void *data,
				       size_t len_bytes)
{
	if (conn->out_offset_bytes > conn->out.len_bytes / 2) {
		buf_consume(&conn->out, conn->out_offset_bytes);
		conn->out_offset_bytes = 0;
	}
	if (buf_append(&conn->out, data, len_bytes))
		return LOOP_ERR_MEMORY;
	return LOOP_OK;
}

enum loop_error loop_conn_send(struct loop_conn *conn, const void *data,
			       size_t len_bytes)
{
	size_t sent_bytes = 0, first_bytes;
	enum loop_error err;

	if (conn->dead || !conn->wsi || conn->write_failed ||
	    conn->state == CONN_LINGER)
		return LOOP_ERR_CLOSED;
	if (conn->state == CONN_OPEN && !loop_conn_queued_bytes(conn)) {
		/*
		 * At least one packet: callers treat a connection on which
		 * nothing arrives as broken.
		 */
		first_bytes = sendable_bytes(conn, len_bytes);
		if (!first_bytes && len_bytes > FIRST_PART_BYTES)
			first_bytes = FIRST_PART_BYTES;
		sent_bytes = send_some(conn, data, first_bytes);
	}
	if (conn->write_failed)
		return LOOP_ERR_CLOSED;
	if (sent_bytes < len_bytes) {
		err = append_to_queue(conn, (const uint8_t *)data + sent_bytes,
				      len_bytes - sent_bytes);
		if (err && !sent_bytes)
			return err;
		/* No data may follow after an incomplete message. */
		if (err) {
			write_failed(conn);
			return LOOP_ERR_CLOSED;
		}
	}
	if (loop_conn_queued_bytes(conn)) {
		conn->notify_drained = true;
		if (!conn->waits_for_pace)
			lws_callback_on_writable(conn->wsi);
	}
	return LOOP_OK;
}

size_t loop_conn_queued_bytes(const struct loop_conn *conn)
{
	return conn->out.len_bytes - conn->out_offset_bytes;
}

uint64_t loop_conn_sent_bytes(const struct loop_conn *conn)
{
	return conn->sent_bytes;
}

static void send_queue(struct loop_conn *conn)
{
	size_t len_bytes = sendable_bytes(conn, loop_conn_queued_bytes(conn));

	if (!len_bytes)
		return;
	conn->out_offset_bytes += send_some(
		conn, conn->out.data + conn->out_offset_bytes, len_bytes);
	if (conn->write_failed)
		conn->out_offset_bytes = 0;
	if (loop_conn_queued_bytes(conn))
		return;
	buf_clear(&conn->out);
	conn->out_offset_bytes = 0;
	if (conn->out.size_bytes > QUEUE_KEEP_BYTES)
		buf_release(&conn->out);
}

void loop_conn_on_pace_timer(void *arg)
{
	struct loop *loop = arg;
	struct loop_conn *conn = loop->pace_waiting;
	uint32_t wait_ms = pace_wait_ms(&loop->pace, clk_now_ms(loop->clk));

	if (conn && !wait_ms) {
		stop_pace_wait(conn);
		conn->has_pace_turn = true;
		send_queue(conn);
		conn->has_pace_turn = false;
		lws_callback_on_writable(conn->wsi);
		wait_ms = pace_wait_ms(&loop->pace, clk_now_ms(loop->clk));
	}
	if (loop->pace_waiting)
		loop_timer_set(&loop->pace_timer, wait_ms);
}

static void shut_down_writing(struct loop_conn *conn)
{
	conn->write_shut = true;
	shutdown(conn->fd, SHUT_WR);
	loop_timer_set(&conn->timer, LINGER_MS);
}

void loop_conn_close_after_send(struct loop_conn *conn)
{
	if (conn->dead)
		return;
	if (!conn->wsi || conn->state == CONN_CONNECTING ||
	    conn->write_failed) {
		loop_conn_close(conn);
		return;
	}
	conn->state = CONN_LINGER;
	conn->ops = NULL;
	loop_conn_pause(conn, false);
	conn->linger_queued_bytes = loop_conn_queued_bytes(conn);
	if (conn->linger_queued_bytes)
		loop_timer_set(&conn->timer, LINGER_STALL_MS);
	else
		shut_down_writing(conn);
}

bool loop_is_closing(const struct loop *loop)
{
	const struct loop_conn *conn;

	DL_FOREACH(loop->conns, conn)
	{
		if (conn->state == CONN_LINGER)
			return true;
	}
	return false;
}

void loop_conn_pause(struct loop_conn *conn, bool paused)
{
	if (conn->dead || !conn->wsi || conn->paused == paused)
		return;
	conn->paused = paused;
	lws_rx_flow_control(conn->wsi, !paused);
}

bool loop_conn_has_input(const struct loop_conn *conn)
{
	struct pollfd pollfd = { .fd = conn->fd, .events = POLLIN };

	return !conn->dead && conn->wsi && poll(&pollfd, 1, 0) > 0;
}

bool loop_conn_has_ended(const struct loop_conn *conn)
{
	ssize_t nr;
	char byte;

	if (conn->dead || !conn->wsi)
		return true;
	do
		nr = recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	while (nr < 0 && errno == EINTR);
	return !nr || (nr < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

const char *loop_conn_peer(const struct loop_conn *conn)
{
	return conn->peer;
}

/* ---- events of libwebsockets ---- */

/* These functions return -1 if libwebsockets has to close the socket. */

static int finish_connect(struct loop_conn *conn)
{
	socklen_t len = sizeof(int);
	int cause = 0;

	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &cause, &len) || cause)
		return -1;
	conn->state = CONN_OPEN;
	loop_timer_cancel(&conn->timer);
	enter_callback(conn);
	if (conn->ops->opened)
		conn->ops->opened(conn->arg, conn);
	return leave_callback(conn) ? -1 : 0;
}

static int on_writable(struct loop_conn *conn)
{
	if (conn->state == CONN_CONNECTING && finish_connect(conn))
		return -1;
	if (loop_conn_queued_bytes(conn) && !conn->write_failed)
		send_queue(conn);
	if (loop_conn_queued_bytes(conn)) {
		if (!conn->waits_for_pace)
			lws_callback_on_writable(conn->wsi);
		return 0;
	}
	if (conn->state == CONN_LINGER) {
		if (!conn->write_shut)
			shut_down_writing(conn);
		return 0;
	}
	if (!conn->notify_drained || conn->write_failed)
		return 0;
	conn->notify_drained = false;
	if (!conn->ops || !conn->ops->drained)
		return 0;
	enter_callback(conn);
	conn->ops->drained(conn->arg, conn);
	return leave_callback(conn) ? -1 : 0;
}

static int on_data(struct loop_conn *conn, const uint8_t *data,
		   size_t len_bytes)
{
	/* A readable socket is connected, even if not yet found writable. */
	if (conn->state == CONN_CONNECTING && finish_connect(conn))
		return -1;
	conn->loop->traffic[conn->use].received_bytes += len_bytes;
	if (conn->state == CONN_LINGER || !conn->ops)
		return 0;
	enter_callback(conn);
	conn->ops->data(conn->arg, conn, data, len_bytes);
	return leave_callback(conn) ? -1 : 0;
}

int loop_lws_callback(struct lws *wsi, enum lws_callback_reasons reason,
		      void *user, void *in, size_t len)
{
	struct loop_conn *conn;

	(void)user;
	switch (reason) {
	case LWS_CALLBACK_RAW_RX:
		conn = lws_get_opaque_user_data(wsi);
		return conn ? on_data(conn, in, len) : -1;
	case LWS_CALLBACK_RAW_WRITEABLE:
		conn = lws_get_opaque_user_data(wsi);
		return conn ? on_writable(conn) : -1;
	case LWS_CALLBACK_RAW_CLOSE:
		conn = lws_get_opaque_user_data(wsi);
		if (!conn)
			return 0;
		lws_set_opaque_user_data(wsi, NULL);
		on_socket_closed(conn, conn->write_failed ? LOOP_CLOSE_ERROR :
							    LOOP_CLOSE_BY_PEER);
		return 0;
	default:
		return 0;
	}
}
