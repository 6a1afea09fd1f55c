/*
 * event: structured log lines on standard output.
 *
 * A line is "key=value" pairs: ts (time of day), up (milliseconds on the
 * clock), instance, event, and the pairs of the event. Values with spaces are
 * quoted. Each kind of event has a rate; the lines left out are counted and
 * told with the next line of that kind. Lines that standard output cannot take
 * at once are kept up to EVENT_QUEUE_BYTES and then dropped and counted: the
 * process never waits.
 */
#ifndef EVENT_H
#define EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Some seconds of lines at full rate. */
#define EVENT_QUEUE_BYTES 262144
/* Lines a second of one kind; a small instance takes under 60 requests/s. */
#define EVENT_RATE_PER_S 100

enum event_kind {
	EVENT_START,
	EVENT_STOP,
	EVENT_RELOAD,
	EVENT_DEPENDENCY, /* lost or regained */
	EVENT_REQUEST, /* the end of a request */
	EVENT_ATTEMPT, /* one sending to a backend server that failed */
	EVENT_PLAN, /* another version is in force */
	EVENT_CHANGE, /* an operator's change was answered */
	EVENT_ZONE, /* a zone is evacuated or taken back */
	EVENT_SERVER, /* a backend server joined, left or is judged otherwise */
	EVENT_INSTANCE, /* the list of entry instances changed */
	EVENT_LEADER,
	EVENT_SHARE, /* a customer's share ran out */
	EVENT_HEARTBEAT, /* refused */
	EVENT_READ, /* a read of the plan that was refused */
	EVENT_CRASH, /* a server ended, or a request is suspected of that */
	EVENT_COUNT
};

/*
 * clk is not owned and must outlive the last event.
 */
void event_init(struct clk *clk, const char *instance);

/*
 * Writes one line. fmt gives the pairs, such as "id=%s outcome=%s"; the
 * caller's values must not hold spaces or quotes unless event_text() made them.
 */
void event_log(enum event_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Text from outside as a value: quoted if needed, control characters replaced,
 * cut to fit. Returns out.
 */
#define EVENT_TEXT_BYTES 160
const char *event_text(const char *text, char out[EVENT_TEXT_BYTES]);

/*
 * Hands on what standard output could not take before. To be called often.
 */
void event_flush(void);
uint64_t event_dropped(void);

/*
 * For tests: lines go to a function instead; NULL ends that.
 */
void event_capture(void (*fn)(void *arg, const char *line), void *arg);

#ifdef __cplusplus
}
#endif

#endif
