/*
 * pace: limits how fast large bodies are handed to a slow link.
 *
 * A link sends in order, so a large body that is handed over at once delays
 * every small request and response behind it. The backlog of the link is
 * estimated from the bytes handed over and from the link's rate; parts of large
 * bodies are sent only while it is short. This module only decides and does no
 * I/O; the time is passed in.
 */
#ifndef PACE_H
#define PACE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A body with more unsent bytes than this is large. */
#define PACE_LARGE_BYTES 8192

struct pace {
	uint32_t bytes_per_ms; /* rate of the link, 0: unknown, no limit */
	double backlog_bytes;
	uint64_t updated_ms;
};

/*
 * Sets the rate of the link; 0 means no limit.
 */
void pace_init(struct pace *pace, uint32_t rate_kbit_per_s);

/*
 * Records that bytes were handed to the link.
 */
void pace_sent(struct pace *pace, size_t len_bytes, uint64_t now_ms);

/*
 * Returns the milliseconds that the link needs to send its backlog.
 */
uint32_t pace_backlog_ms(struct pace *pace, uint64_t now_ms);

/*
 * Returns how many bytes of a large body may be sent now, 0 if none.
 */
size_t pace_allowed_bytes(struct pace *pace, uint64_t now_ms);

/*
 * Returns the milliseconds until the next part of a large body may be sent.
 */
uint32_t pace_wait_ms(struct pace *pace, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
