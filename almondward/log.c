#include "log.h"

#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define TEXT_BYTES_MAX 1024
/* Below PIPE_BUF: a writable pipe accepts a whole line without blocking. */
#define LINE_BYTES_MAX (TEXT_BYTES_MAX + 256)

static enum log_level max_level = LOG_LEVEL_INFO;
static uint64_t nr_dropped; /* lines since the last one that was written */

static const char *const level_names[] = {
	[LOG_LEVEL_ERROR] = "error",
	[LOG_LEVEL_WARN] = "warn",
	[LOG_LEVEL_INFO] = "info",
	[LOG_LEVEL_DEBUG] = "debug",
};

void log_set_level(enum log_level level)
{
	max_level = level;
}

/*
 * Standard error may be shared with other processes, so it is not made
 * non-blocking. Returns false if it does not accept the line now.
 */
static bool write_line(const char *line)
{
	struct pollfd fd = { .fd = STDERR_FILENO, .events = POLLOUT };
	ssize_t written;

	if (poll(&fd, 1, 0) != 1 || !(fd.revents & POLLOUT))
		return false;
	do
		written = write(STDERR_FILENO, line, strlen(line));
	while (written < 0 && errno == EINTR);
	return written > 0;
}

static void write_or_drop(const char *timestamp, enum log_level level,
			  const char *component, const char *text)
{
	char line[LINE_BYTES_MAX];

	snprintf(line, sizeof(line), "%s %s log: %llu lines were dropped\n",
		 timestamp, level_names[LOG_LEVEL_WARN],
		 (unsigned long long)nr_dropped);
	if (nr_dropped && write_line(line))
		nr_dropped = 0;
	snprintf(line, sizeof(line), "%s %s %s: %s\n", timestamp,
		 level_names[level], component, text);
	if (nr_dropped || !write_line(line))
		nr_dropped++;
}

static void log_line(enum log_level level, const char *component,
		     const char *fmt, va_list args)
{
	char text[TEXT_BYTES_MAX], date[32], timestamp[64];
	struct timespec now;
	struct tm tm;
	char *pos;

	if (level > max_level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(timestamp, sizeof(timestamp), "%s.%03ldZ", date,
		 now.tv_nsec / 1000000);
	vsnprintf(text, sizeof(text), fmt, args);
	/* A message may contain input from the network. */
	for (pos = text; *pos; pos++) {
		if ((unsigned char)*pos < ' ' || *pos == 0x7f)
			*pos = '?';
	}
	write_or_drop(timestamp, level, component, text);
}

void log_error(const char *component, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	log_line(LOG_LEVEL_ERROR, component, fmt, args);
	va_end(args);
}

void log_warn(const char *component, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	log_line(LOG_LEVEL_WARN, component, fmt, args);
	va_end(args);
}

void log_info(const char *component, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	log_line(LOG_LEVEL_INFO, component, fmt, args);
	va_end(args);
}

void log_debug(const char *component, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	log_line(LOG_LEVEL_DEBUG, component, fmt, args);
	va_end(args);
}
