#include "loop_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>

#include "log.h"

#define BACKLOG 1024
/* Limits the time that a burst of new connections delays established ones. */
#define ACCEPTS_PER_TURN 64
/* Pause in accepting when the limit of open files is reached. */
#define ACCEPT_RETRY_MS 50

struct loop_listener {
	struct loop *loop;
	int fd;
	ev_io io;
	struct loop_timer *retry_timer;
	void (*accept)(void *arg, struct loop_conn *conn);
	void *arg;
	uint32_t callback_depth; /* running accept callbacks */
	bool dead; /* destroyed, freed when callback_depth is 0 */
	bool out_of_files; /* already logged */
	char address[ADDRESS_BYTES_MAX];
	struct loop_listener *prev, *next;
};

static void pause_accepting(struct loop_listener *listener, int cause)
{
	if (!listener->out_of_files)
		log_warn(LOOP_LOG_COMPONENT, "cannot accept on %s: %s",
			 listener->address, strerror(cause));
	listener->out_of_files = true;
	ev_io_stop(listener->loop->ev, &listener->io);
	loop_timer_set(listener->retry_timer, ACCEPT_RETRY_MS);
}

/*
 * Accepts one connection. Returns false and sets errno if there is none or on
 * failure.
 */
static bool accept_one(struct loop_listener *listener)
{
	union loop_sockaddr sa;
	socklen_t len = sizeof(sa);
	struct loop_conn *conn;
	int fd;

	fd = accept4(listener->fd, &sa.any, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return false;
	conn = loop_conn_adopt(listener->loop, fd, &sa, false);
	if (!conn) {
		errno = EMFILE;
		return false;
	}
	listener->out_of_files = false;
	loop_conn_accept(conn, listener->accept, listener->arg);
	return true;
}

static bool is_out_of_files(int cause)
{
	return cause == EMFILE || cause == ENFILE || cause == ENOBUFS ||
	       cause == ENOMEM;
}

static void listener_free(struct loop_listener *listener)
{
	close(listener->fd);
	loop_timer_destroy(listener->retry_timer);
	free(listener);
}

static void accept_pending(struct loop_listener *listener)
{
	int i;

	listener->callback_depth++;
	for (i = 0; i < ACCEPTS_PER_TURN && !listener->dead; i++) {
		if (accept_one(listener) || errno == ECONNABORTED ||
		    errno == EINTR)
			continue;
		if (is_out_of_files(errno) && !listener->dead)
			pause_accepting(listener, errno);
		break;
	}
	listener->callback_depth--;
	if (listener->dead && !listener->callback_depth)
		listener_free(listener);
}

static void on_readable(struct ev_loop *ev, ev_io *io, int revents)
{
	(void)ev;
	(void)revents;
	accept_pending(io->data);
}

static void on_retry(void *arg)
{
	struct loop_listener *listener = arg;

	ev_io_start(listener->loop->ev, &listener->io);
}

static int open_socket(const union loop_sockaddr *sa, socklen_t len)
{
	int on = 1, cause;
	int fd = socket(sa->any.sa_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)))
		goto fail;
	if (sa->any.sa_family == AF_INET6 &&
	    setsockopt(fd, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof(on)))
		goto fail;
	if (bind(fd, &sa->any, len) || listen(fd, BACKLOG))
		goto fail;
	return fd;

fail:
	cause = errno;
	close(fd);
	errno = cause;
	return -1;
}

/*
 * The listening socket is watched by libev and not owned by a vhost of
 * libwebsockets: destroying a vhost also closes the connections that it
 * accepted, but a graceful shutdown must stop listening and keep them.
 */
enum loop_error loop_listen(struct loop *loop, const char *address,
			    void (*accept)(void *arg, struct loop_conn *conn),
			    void *arg, struct loop_listener **listener)
{
	struct loop_listener *new;
	union loop_sockaddr sa;
	enum loop_error err;
	socklen_t len;

	err = loop_parse_address(address, &sa, &len);
	if (err)
		return err;
	new = calloc(1, sizeof(*new));
	if (!new)
		return LOOP_ERR_MEMORY;
	new->loop = loop;
	new->accept = accept;
	new->arg = arg;
	new->retry_timer = loop_timer_create(loop, on_retry, new);
	if (!new->retry_timer) {
		free(new);
		return LOOP_ERR_MEMORY;
	}
	new->fd = open_socket(&sa, len);
	if (new->fd < 0) {
		int cause = errno;

		loop_timer_destroy(new->retry_timer);
		free(new);
		errno = cause;
		return LOOP_ERR_SYSTEM;
	}
	len = sizeof(sa);
	getsockname(new->fd, &sa.any, &len);
	loop_format_address(&sa, new->address, sizeof(new->address));
	ev_io_init(&new->io, on_readable, new->fd, EV_READ);
	new->io.data = new;
	ev_io_start(loop->ev, &new->io);
	DL_APPEND(loop->listeners, new);
	*listener = new;
	return LOOP_OK;
}

/*
 * Accepts the connections in the backlog first, since closing the socket would
 * reset them.
 */
void loop_listener_destroy(struct loop_listener *listener)
{
	struct loop *loop;

	if (!listener || listener->dead)
		return;
	loop = listener->loop;
	if (!loop->destroying && !listener->callback_depth) {
		listener->callback_depth++;
		while (!listener->dead && accept_one(listener))
			;
		listener->callback_depth--;
	}
	listener->dead = true;
	ev_io_stop(loop->ev, &listener->io);
	loop_timer_cancel(listener->retry_timer);
	DL_DELETE(loop->listeners, listener);
	if (!listener->callback_depth)
		listener_free(listener);
}

const char *loop_listener_address(const struct loop_listener *listener)
{
	return listener->address;
}
