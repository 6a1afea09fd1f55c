#include "loop_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netdb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "log.h"

/* A data callback gets at most this much at once. */
#define RECEIVE_BYTES_MAX 32768
/* Watchers of sockets have libev's default priority 0. */
#define TIMER_PRIORITY (-1)
/*
 * A timer that is later than this waits for another poll of the sockets: the
 * process was held up, possibly after the last poll.
 */
#define TIMER_LATE_US 5000

static const struct lws_protocols protocols[] = {
	{ .name = "almondward", .callback = loop_lws_callback },
	{ .name = NULL },
};

/*
 * Messages of libwebsockets are logged at debug level only: this module logs
 * failures itself, with the address concerned, and libwebsockets repeats its
 * messages for each connection at the limit of open files.
 */
static void on_lws_log(int level, const char *line)
{
	(void)level;
	log_debug(LOOP_LOG_COMPONENT, "libwebsockets: %.*s",
		  (int)strcspn(line, "\n"), line);
}

struct loop *loop_create(struct clk *clk)
{
	struct lws_context_creation_info info;
	struct loop *loop = calloc(1, sizeof(*loop));
	void *foreign[1];

	if (!loop)
		return NULL;
	loop->clk = clk;
	loop->ev = ev_loop_new(EVFLAG_AUTO);
	if (!loop->ev) {
		log_error(LOOP_LOG_COMPONENT, "cannot create an event loop: %s",
			  strerror(errno));
		goto fail;
	}
	lws_set_log_level(LLL_ERR | LLL_WARN, on_lws_log);
	memset(&info, 0, sizeof(info));
	foreign[0] = loop->ev;
	info.foreign_loops = foreign;
	info.port = CONTEXT_PORT_NO_LISTEN;
	info.protocols = protocols;
	info.gid = -1;
	info.uid = -1;
	info.pt_serv_buf_size = RECEIVE_BYTES_MAX;
	info.options = LWS_SERVER_OPTION_LIBEV | LWS_SERVER_OPTION_DISABLE_IPV6;
	loop->descriptors_max = getdtablesize();
	loop->lws = lws_create_context(&info);
	if (!loop->lws) {
		log_error(LOOP_LOG_COMPONENT,
			  "cannot create a libwebsockets context; "
			  "is its libev plugin installed?");
		goto fail;
	}
	/* A write to a closed connection must not terminate the process. */
	signal(SIGPIPE, SIG_IGN);
	loop_timer_init(&loop->pace_timer, loop, loop_conn_on_pace_timer, loop);
	return loop;

fail:
	if (loop->ev)
		ev_loop_destroy(loop->ev);
	free(loop);
	return NULL;
}

void loop_destroy(struct loop *loop)
{
	if (!loop)
		return;
	loop->destroying = true;
	while (loop->listeners)
		loop_listener_destroy(loop->listeners);
	loop_conn_free_all(loop);
	loop_timer_release(&loop->pace_timer);
	if (loop->watches_stop_signals) {
		ev_signal_stop(loop->ev, &loop->sigterm);
		ev_signal_stop(loop->ev, &loop->sigint);
	}
	if (loop->watches_reload_signal)
		ev_signal_stop(loop->ev, &loop->sighup);
	lws_context_destroy(loop->lws);
	ev_loop_destroy(loop->ev);
	free(loop);
}

void loop_set_link_rate(struct loop *loop, uint32_t rate_kbit_per_s)
{
	pace_init(&loop->pace, rate_kbit_per_s);
}

uint32_t loop_backlog_ms(struct loop *loop)
{
	return pace_backlog_ms(&loop->pace, clk_now_ms(loop->clk));
}

const struct loop_traffic *loop_traffic(const struct loop *loop,
					enum loop_use use)
{
	return &loop->traffic[use];
}

const char *loop_use_name(enum loop_use use)
{
	static const char *const names[LOOP_USE_COUNT] = {
		[LOOP_USE_OTHER] = "other",
		[LOOP_USE_CALLERS] = "callers",
		[LOOP_USE_SERVERS] = "servers",
		[LOOP_USE_RELAYS] = "relays",
		[LOOP_USE_CONTROL] = "control",
		[LOOP_USE_DATAGRAMS] = "datagrams",
	};

	return names[use];
}

static int bind_source(const union loop_sockaddr *source, int fd)
{
	socklen_t len = source->any.sa_family == AF_INET ? sizeof(source->in) :
							   sizeof(source->in6);
	int on = 1;

	/* The port is chosen by connect(), as without bind(). */
	if (setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
		       sizeof(on)))
		return -1;
	return bind(fd, &source->any, len);
}

int loop_open_socket(const struct loop *loop, int family)
{
	int fd = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int cause;

	if (fd < 0 || loop->source.any.sa_family != family ||
	    !bind_source(&loop->source, fd))
		return fd;
	cause = errno;
	close(fd);
	errno = cause;
	return -1;
}

enum loop_error loop_set_source(struct loop *loop, const char *ip)
{
	char address[ADDRESS_BYTES_MAX];
	socklen_t len;
	int fd;

	snprintf(address, sizeof(address), strchr(ip, ':') ? "[%s]:0" : "%s:0",
		 ip);
	if (loop_parse_address(address, &loop->source, &len))
		return LOOP_ERR_ADDRESS;
	fd = loop_open_socket(loop, loop->source.any.sa_family);
	if (fd < 0)
		return LOOP_ERR_SYSTEM;
	close(fd);
	return LOOP_OK;
}

void loop_run(struct loop *loop)
{
	loop->stopped = false;
	while (!loop->stopped)
		ev_run(loop->ev, EVRUN_ONCE);
}

void loop_stop(struct loop *loop)
{
	loop->stopped = true;
	ev_break(loop->ev, EVBREAK_ALL);
}

struct clk *loop_clock(struct loop *loop)
{
	return loop->clk;
}

static void on_stop_signal(struct ev_loop *ev, ev_signal *watcher, int revents)
{
	struct loop *loop = watcher->data;

	(void)ev;
	(void)revents;
	loop->stop_fn(loop->stop_arg);
}

enum loop_error loop_on_stop_signal(struct loop *loop, void (*fn)(void *arg),
				    void *arg)
{
	loop->stop_fn = fn;
	loop->stop_arg = arg;
	if (loop->watches_stop_signals)
		return LOOP_OK;
	ev_signal_init(&loop->sigterm, on_stop_signal, SIGTERM);
	ev_signal_init(&loop->sigint, on_stop_signal, SIGINT);
	loop->sigterm.data = loop;
	loop->sigint.data = loop;
	ev_signal_start(loop->ev, &loop->sigterm);
	ev_signal_start(loop->ev, &loop->sigint);
	loop->watches_stop_signals = true;
	return LOOP_OK;
}

static void on_reload_signal(struct ev_loop *ev, ev_signal *watcher,
			     int revents)
{
	struct loop *loop = watcher->data;

	(void)ev;
	(void)revents;
	loop->reload_fn(loop->reload_arg);
}

enum loop_error loop_on_reload_signal(struct loop *loop, void (*fn)(void *arg),
				      void *arg)
{
	loop->reload_fn = fn;
	loop->reload_arg = arg;
	if (loop->watches_reload_signal)
		return LOOP_OK;
	ev_signal_init(&loop->sighup, on_reload_signal, SIGHUP);
	loop->sighup.data = loop;
	ev_signal_start(loop->ev, &loop->sighup);
	loop->watches_reload_signal = true;
	return LOOP_OK;
}

/* ---- timers ---- */

/*
 * Timers use libev. A timer of libwebsockets (lws_sul) that is set outside of
 * its callbacks does not wake a foreign libev loop: tests hung until some
 * socket became ready. Besides, lws_sul walks a list for each insertion.
 */
static void start_watcher(struct loop_timer *timer, int64_t now_us)
{
	struct ev_loop *ev = timer->loop->ev;
	int64_t delay_us = timer->due_us > now_us ? timer->due_us - now_us : 0;

	timer->armed_us = timer->due_us;
	ev_timer_stop(ev, &timer->watcher);
	ev_timer_set(&timer->watcher, (double)delay_us / 1e6, 0);
	ev_timer_start(ev, &timer->watcher);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	struct loop_timer *timer = watcher->data;
	int64_t now_us = lws_now_usecs();

	(void)ev;
	(void)revents;
	timer->armed_us = 0;
	if (!timer->due_us)
		return;
	/* Set to a later time, or libev's time was outdated at the start. */
	if (timer->due_us > now_us) {
		start_watcher(timer, now_us);
		return;
	}
	if (now_us - timer->due_us > TIMER_LATE_US && !timer->polled) {
		timer->polled = true;
		start_watcher(timer, now_us);
		return;
	}
	timer->due_us = 0;
	timer->fn(timer->arg);
}

void loop_timer_init(struct loop_timer *timer, struct loop *loop,
		     void (*fn)(void *arg), void *arg)
{
	memset(timer, 0, sizeof(*timer));
	timer->loop = loop;
	timer->fn = fn;
	timer->arg = arg;
	ev_timer_init(&timer->watcher, on_timer, 0, 0);
	/*
	 * Below that of the sockets: after a stall, data that arrived in time
	 * is read before the timeout that waits for it is reported.
	 */
	ev_set_priority(&timer->watcher, TIMER_PRIORITY);
	timer->watcher.data = timer;
}

void loop_timer_release(struct loop_timer *timer)
{
	ev_timer_stop(timer->loop->ev, &timer->watcher);
}

struct loop_timer *loop_timer_create(struct loop *loop, void (*fn)(void *arg),
				     void *arg)
{
	struct loop_timer *timer = malloc(sizeof(*timer));

	if (timer)
		loop_timer_init(timer, loop, fn, arg);
	return timer;
}

void loop_timer_destroy(struct loop_timer *timer)
{
	if (!timer)
		return;
	loop_timer_release(timer);
	free(timer);
}

/*
 * A watcher that would fire before the new time is not changed; it is started
 * again when it fires. This saves work for idle timeouts, which are set to a
 * later time with each request.
 */
void loop_timer_set(struct loop_timer *timer, uint64_t delay_ms)
{
	int64_t now_us = lws_now_usecs();

	timer->polled = false;
	timer->due_us = now_us + (int64_t)(delay_ms * 1000);
	if (timer->armed_us && timer->armed_us <= timer->due_us)
		return;
	start_watcher(timer, now_us);
}

void loop_timer_cancel(struct loop_timer *timer)
{
	timer->due_us = 0;
}

/* ---- addresses ---- */

enum loop_error loop_parse_address(const char *address, union loop_sockaddr *sa,
				   socklen_t *len)
{
	struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
				  .ai_socktype = SOCK_STREAM };
	char host[ADDRESS_BYTES_MAX];
	const char *colon = strrchr(address, ':');
	size_t host_bytes;
	struct addrinfo *info;

	if (!colon || !colon[1])
		return LOOP_ERR_ADDRESS;
	host_bytes = (size_t)(colon - address);
	if (!host_bytes || host_bytes >= sizeof(host))
		return LOOP_ERR_ADDRESS;
	if (address[0] == '[') {
		if (host_bytes < 3 || colon[-1] != ']')
			return LOOP_ERR_ADDRESS;
		address++;
		host_bytes -= 2;
	} else if (memchr(address, ':', host_bytes)) {
		return LOOP_ERR_ADDRESS;
	}
	memcpy(host, address, host_bytes);
	host[host_bytes] = '\0';
	/* Checks the port number, since getaddrinfo() converts 65536 to 0. */
	if (strlen(colon + 1) > 5 ||
	    strspn(colon + 1, "0123456789") != strlen(colon + 1) ||
	    strtoul(colon + 1, NULL, 10) > UINT16_MAX)
		return LOOP_ERR_ADDRESS;
	if (getaddrinfo(host, colon + 1, &hints, &info))
		return LOOP_ERR_ADDRESS;
	memcpy(sa, info->ai_addr, info->ai_addrlen);
	*len = info->ai_addrlen;
	freeaddrinfo(info);
	return LOOP_OK;
}

void loop_format_address(const union loop_sockaddr *sa, char *out,
			 size_t out_bytes)
{
	char host[INET6_ADDRSTRLEN];

	if (sa->any.sa_family == AF_INET6) {
		inet_ntop(AF_INET6, &sa->in6.sin6_addr, host, sizeof(host));
		snprintf(out, out_bytes, "[%s]:%u", host,
			 ntohs(sa->in6.sin6_port));
		return;
	}
	inet_ntop(AF_INET, &sa->in.sin_addr, host, sizeof(host));
	snprintf(out, out_bytes, "%s:%u", host, ntohs(sa->in.sin_port));
}
