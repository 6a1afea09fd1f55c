#include "event.h"

#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "buf.h"

#define LINE_BYTES_MAX 1024
/* PIPE_BUF: a writable pipe accepts this many bytes without blocking. */
#define WRITE_BYTES_MAX ((size_t)4096)

static const char *const names[EVENT_COUNT] = {
	[EVENT_START] = "start",       [EVENT_STOP] = "stop",
	[EVENT_RELOAD] = "reload",     [EVENT_DEPENDENCY] = "dependency",
	[EVENT_REQUEST] = "request",   [EVENT_ATTEMPT] = "attempt",
	[EVENT_PLAN] = "plan",	       [EVENT_CHANGE] = "change",
	[EVENT_ZONE] = "zone",	       [EVENT_SERVER] = "server",
	[EVENT_INSTANCE] = "instance", [EVENT_LEADER] = "leader",
	[EVENT_SHARE] = "share",       [EVENT_HEARTBEAT] = "heartbeat",
	[EVENT_READ] = "read",	       [EVENT_CRASH] = "crash",
	[EVENT_LOOP] = "loop",	       [EVENT_REACH] = "reach",
	[EVENT_NET] = "net",
};

struct rate {
	uint64_t second; /* the current one */
	uint32_t nr; /* lines in this second, including suppressed ones */
	uint64_t nr_suppressed; /* since the last line that was written */
};

static struct {
	struct clk *clk;
	char instance[64];
	struct rate rates[EVENT_COUNT];
	struct buf queue;
	uint64_t nr_dropped;
	void (*capture)(void *arg, const char *line);
	void *capture_arg;
} state;

void event_init(struct clk *clk, const char *instance)
{
	state.clk = clk;
	snprintf(state.instance, sizeof(state.instance), "%s", instance);
}

void event_capture(void (*fn)(void *arg, const char *line), void *arg)
{
	state.capture = fn;
	state.capture_arg = arg;
}

uint64_t event_dropped(void)
{
	return state.nr_dropped;
}

const char *event_quote(const char *text, char out[EVENT_TEXT_BYTES])
{
	size_t used = 0;

	if (!text)
		text = "";
	out[used++] = '"';
	for (; *text && used < EVENT_TEXT_BYTES - 2; text++) {
		char c = *text;

		if ((unsigned char)c < ' ' || c == 0x7f || c == '"' ||
		    c == '\\')
			c = '?';
		out[used++] = c;
	}
	out[used++] = '"';
	out[used] = '\0';
	return out;
}

/*
 * Standard output may be shared with other processes, so it is not made
 * non-blocking. A pipe that poll() reports as writable accepts PIPE_BUF bytes
 * without blocking.
 */
void event_flush(void)
{
	struct pollfd fd = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t len_bytes;
	ssize_t written;

	while (state.queue.len_bytes) {
		if (poll(&fd, 1, 0) != 1 || !(fd.revents & POLLOUT))
			return;
		len_bytes = state.queue.len_bytes;
		if (len_bytes > WRITE_BYTES_MAX)
			len_bytes = WRITE_BYTES_MAX;
		written = write(STDOUT_FILENO, state.queue.data, len_bytes);
		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			return;
		buf_consume(&state.queue, (size_t)written);
	}
}

static bool within_rate(enum event_kind kind, uint64_t now_ms)
{
	struct rate *rate = &state.rates[kind];

	if (rate->second != now_ms / 1000) {
		rate->second = now_ms / 1000;
		rate->nr = 0;
	}
	if (rate->nr++ < EVENT_RATE_PER_S)
		return true;
	rate->nr_suppressed++;
	return false;
}

static int format_prefix(char *line, size_t line_bytes, enum event_kind kind,
			 uint64_t now_ms)
{
	uint64_t wall_ms = clk_wall_ms(state.clk);
	time_t seconds = (time_t)(wall_ms / 1000);
	uint64_t nr_suppressed = state.rates[kind].nr_suppressed;
	char timestamp[32];
	struct tm tm;
	int used;

	gmtime_r(&seconds, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	used = snprintf(
		line, line_bytes, "ts=%s.%03uZ up=%llu instance=%s event=%s ",
		timestamp, (unsigned int)(wall_ms % 1000),
		(unsigned long long)now_ms, state.instance, names[kind]);
	if (nr_suppressed)
		used += snprintf(line + used, line_bytes - (size_t)used,
				 "left_out=%llu ",
				 (unsigned long long)nr_suppressed);
	state.rates[kind].nr_suppressed = 0;
	return used;
}

void event_log(enum event_kind kind, const char *fmt, ...)
{
	char line[LINE_BYTES_MAX];
	uint64_t now_ms;
	va_list args;
	int used;

	if (!state.clk)
		return;
	now_ms = clk_now_ms(state.clk);
	if (!within_rate(kind, now_ms))
		return;
	used = format_prefix(line, sizeof(line) - 1, kind, now_ms);
	va_start(args, fmt);
	used += vsnprintf(line + used, sizeof(line) - 1 - (size_t)used, fmt,
			  args);
	va_end(args);
	if (used > (int)sizeof(line) - 2)
		used = (int)sizeof(line) - 2;
	if (state.capture) {
		state.capture(state.capture_arg, line);
		return;
	}
	line[used++] = '\n';
	if (state.queue.len_bytes + (size_t)used > EVENT_QUEUE_BYTES ||
	    buf_append(&state.queue, line, (size_t)used))
		state.nr_dropped++;
	else if (state.queue.len_bytes > WRITE_BYTES_MAX)
		event_flush();
}
