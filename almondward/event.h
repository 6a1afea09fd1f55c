/*
 * event: structured log lines on standard output.
 *
 * A line consists of "key=value" pairs: ts (wall-clock time in UTC), up
 * (milliseconds of the monotonic clock), instance, event, and the pairs of the
 * event. Values with spaces are quoted. Each kind of event is rate-limited; the
 * number of suppressed lines is logged as left_out with the next line of that
 * kind. Lines that standard output does not accept at once are queued; when
 * EVENT_QUEUE_BYTES are queued, further lines are dropped and counted. Logging
 * never blocks the process.
 */
#ifndef EVENT_H
#define EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A few seconds of lines at the full rate. */
#define EVENT_QUEUE_BYTES 262144
/* Lines per second and kind; a small instance handles under 60 requests/s. */
#define EVENT_RATE_PER_S 100

enum event_kind {
	EVENT_START,
	EVENT_STOP,
	EVENT_RELOAD,
	EVENT_DEPENDENCY, /* connection to an instance lost or regained */
	EVENT_REQUEST, /* a request finished */
	EVENT_ATTEMPT, /* an attempt at a backend server failed */
	EVENT_PLAN, /* another version of the plan is in use */
	EVENT_CHANGE, /* an operator's change got its response */
	EVENT_ZONE, /* a zone is evacuated, or no longer evacuated */
	EVENT_SERVER, /* a backend server joined, left or changed state */
	EVENT_INSTANCE, /* the list of entry instances changed */
	EVENT_LEADER, /* the leader changed */
	EVENT_SHARE, /* a customer's share was used up */
	EVENT_HEARTBEAT, /* a heartbeat was refused */
	EVENT_READ, /* a read of the plan was refused */
	EVENT_CRASH, /* a server exited, or a request is suspected of a crash */
	EVENT_LOOP, /* the event loop handled nothing for some time */
	EVENT_REACH, /* servers cannot be reached, or can be again */
	EVENT_NET, /* the network link is busy, or messages wait for it */
	EVENT_COUNT
};

/*
 * Sets clock and instance name; events before that are discarded. clk is not
 * owned and must outlive the last event.
 */
void event_init(struct clk *clk, const char *instance);

/*
 * Writes one line. fmt gives the pairs, such as "id=%s outcome=%s". Values must
 * not contain spaces or quotes unless they come from event_quote().
 */
void event_log(enum event_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Makes a value from untrusted text: quotes it, replaces control characters,
 * quotes and backslashes with '?', and truncates it to fit. Returns out.
 */
#define EVENT_TEXT_BYTES 160
const char *event_quote(const char *text, char out[EVENT_TEXT_BYTES]);

/*
 * Writes queued lines as far as standard output accepts them. Call frequently.
 */
void event_flush(void);

/*
 * Returns the number of lines dropped because the queue was full.
 */
uint64_t event_dropped(void);

/*
 * For tests: passes lines to fn instead of standard output; NULL restores it.
 */
void event_capture(void (*fn)(void *arg, const char *line), void *arg);

#ifdef __cplusplus
}
#endif

#endif
