#include "loop_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"

/* Limits the time that a burst of datagrams delays connections. */
#define RECEIVES_PER_TURN 64

struct loop_udp {
	struct loop *loop;
	int fd;
	ev_io io;
	loop_datagram_fn fn;
	void *arg;
};

static void on_readable(struct ev_loop *ev, ev_io *io, int revents)
{
	struct loop_udp *udp = io->data;
	uint8_t data[LOOP_DATAGRAM_BYTES_MAX];
	char from[ADDRESS_BYTES_MAX];
	union loop_sockaddr sa;
	socklen_t sa_len;
	ssize_t len;
	int i;

	(void)ev;
	(void)revents;
	for (i = 0; i < RECEIVES_PER_TURN; i++) {
		sa_len = sizeof(sa);
		len = recvfrom(udp->fd, data, sizeof(data), MSG_DONTWAIT,
			       &sa.any, &sa_len);
		if (len < 0)
			return;
		udp->loop->traffic[LOOP_USE_DATAGRAMS].received_bytes +=
			(uint64_t)len;
		loop_format_address(&sa, from, sizeof(from));
		udp->fn(udp->arg, from, data, (size_t)len);
	}
}

enum loop_error loop_udp_create(struct loop *loop, const char *address,
				loop_datagram_fn fn, void *arg,
				struct loop_udp **udp)
{
	union loop_sockaddr sa;
	struct loop_udp *new;
	enum loop_error err;
	socklen_t len;

	err = loop_parse_address(address, &sa, &len);
	if (err)
		return err;
	new = calloc(1, sizeof(*new));
	if (!new)
		return LOOP_ERR_MEMORY;
	new->loop = loop;
	new->fn = fn;
	new->arg = arg;
	new->fd = socket(sa.any.sa_family,
			 SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (new->fd < 0 || bind(new->fd, &sa.any, len)) {
		log_error(LOOP_LOG_COMPONENT,
			  "cannot receive datagrams on %s: %s", address,
			  strerror(errno));
		if (new->fd >= 0)
			close(new->fd);
		free(new);
		return LOOP_ERR_SYSTEM;
	}
	ev_io_init(&new->io, on_readable, new->fd, EV_READ);
	new->io.data = new;
	ev_io_start(loop->ev, &new->io);
	*udp = new;
	return LOOP_OK;
}

void loop_udp_destroy(struct loop_udp *udp)
{
	if (!udp)
		return;
	ev_io_stop(udp->loop->ev, &udp->io);
	close(udp->fd);
	free(udp);
}

enum loop_error loop_udp_send(struct loop_udp *udp, const char *address,
			      const void *data, size_t len_bytes)
{
	union loop_sockaddr sa;
	enum loop_error err;
	socklen_t len;

	err = loop_parse_address(address, &sa, &len);
	if (err)
		return err;
	if (sendto(udp->fd, data, len_bytes, MSG_DONTWAIT, &sa.any, len) < 0)
		return LOOP_ERR_SYSTEM;
	udp->loop->traffic[LOOP_USE_DATAGRAMS].sent_bytes += len_bytes;
	return LOOP_OK;
}
