#include "loop_private.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Does not use libwebsockets, which reads the error of a failed connection from
 * the socket (SO_ERROR) before its owner can.
 */
struct loop_probe {
	struct loop *loop;
	int fd;
	ev_io io;
	struct loop_timer timer;
	loop_probe_fn fn;
	void *arg;
	bool refused; /* by connect() itself */
};

void loop_probe_destroy(struct loop_probe *probe)
{
	if (!probe)
		return;
	ev_io_stop(probe->loop->ev, &probe->io);
	loop_timer_release(&probe->timer);
	close(probe->fd);
	free(probe);
}

static void finish(struct loop_probe *probe, enum loop_probe_result result)
{
	loop_probe_fn fn = probe->fn;
	void *arg = probe->arg;

	loop_probe_destroy(probe);
	fn(arg, result);
}

static void on_connected(struct ev_loop *ev, ev_io *io, int revents)
{
	struct loop_probe *probe = io->data;
	socklen_t len = sizeof(int);
	int cause = 0;

	(void)ev;
	(void)revents;
	if (getsockopt(probe->fd, SOL_SOCKET, SO_ERROR, &cause, &len))
		cause = errno;
	finish(probe, !cause		    ? LOOP_PROBE_ACCEPTED :
		      cause == ECONNREFUSED ? LOOP_PROBE_REFUSED :
					      LOOP_PROBE_NO_ANSWER);
}

static void on_timer(void *arg)
{
	struct loop_probe *probe = arg;

	finish(probe,
	       probe->refused ? LOOP_PROBE_REFUSED : LOOP_PROBE_NO_ANSWER);
}

enum loop_error loop_probe(struct loop *loop, const char *address,
			   uint32_t timeout_ms, loop_probe_fn fn, void *arg,
			   struct loop_probe **probe)
{
	union loop_sockaddr sa;
	struct loop_probe *new;
	enum loop_error err;
	socklen_t len;
	bool failed;

	err = loop_parse_address(address, &sa, &len);
	if (err)
		return err;
	new = calloc(1, sizeof(*new));
	if (!new)
		return LOOP_ERR_MEMORY;
	new->loop = loop;
	new->fn = fn;
	new->arg = arg;
	new->fd = loop_open_socket(loop, sa.any.sa_family);
	if (new->fd < 0) {
		free(new);
		return LOOP_ERR_SYSTEM;
	}
	failed = connect(new->fd, &sa.any, len) && errno != EINPROGRESS;
	new->refused = failed &&errno == ECONNREFUSED;
	loop_timer_init(&new->timer, loop, on_timer, new);
	ev_io_init(&new->io, on_connected, new->fd, EV_WRITE);
	new->io.data = new;
	if (!failed)
		ev_io_start(loop->ev, &new->io);
	loop_timer_set(&new->timer, failed ? 0 : timeout_ms);
	*probe = new;
	return LOOP_OK;
}
