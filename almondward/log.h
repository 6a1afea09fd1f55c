/*
 * log: short messages on standard error.
 *
 * A line consists of the wall-clock time in UTC, the level, the component and
 * the message. The component is a fixed string such as "raft" or "entry". Never
 * pass secrets to these functions. Logging never blocks the process: a line that
 * standard error does not accept at once is dropped, and the number of dropped
 * lines is logged before the next one.
 */
#ifndef LOG_H
#define LOG_H

#ifdef __cplusplus
extern "C" {
#endif

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

/*
 * Discards messages that are less severe than this level. Default:
 * LOG_LEVEL_INFO.
 */
void log_set_level(enum log_level level);

void log_error(const char *component, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_warn(const char *component, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_info(const char *component, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_debug(const char *component, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#ifdef __cplusplus
}
#endif

#endif
