#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define LINE_BYTES_MAX 1024

static enum log_level max_level = LOG_LEVEL_INFO;

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

static void log_line(enum log_level level, const char *component,
		     const char *fmt, va_list args)
{
	char text[LINE_BYTES_MAX], timestamp[32];
	struct timespec now;
	struct tm tm;
	char *pos;

	if (level > max_level)
		return;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	vsnprintf(text, sizeof(text), fmt, args);
	/* A message may contain input from the network. */
	for (pos = text; *pos; pos++) {
		if ((unsigned char)*pos < ' ' || *pos == 0x7f)
			*pos = '?';
	}
	fprintf(stderr, "%s.%03ldZ %s %s: %s\n", timestamp,
		now.tv_nsec / 1000000, level_names[level], component, text);
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
