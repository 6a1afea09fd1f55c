/*
 * log: short messages on standard error.
 *
 * Line: time of day, level, part, message. The part is a fixed prefix such as
 * "raft" or "entry". Secrets are never passed to these functions.
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
 * Drops messages above this level. Default: LOG_LEVEL_INFO.
 */
void log_set_level(enum log_level level);

void log_error(const char *part, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_warn(const char *part, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_info(const char *part, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void log_debug(const char *part, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#ifdef __cplusplus
}
#endif

#endif
