/*
 * pace: when large bodies may be sent over a slow link.
 *
 * A link sends what it gets in order: a large body that is handed over at once
 * delays every small request and answer behind it. The bytes that still wait
 * at the link are estimated from what was sent and from its rate; large bodies
 * go on only while few wait. Decisions only: time is passed in.
 */
#ifndef PACE_H
#define PACE_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* More unsent bytes than that are a large body. */
#define PACE_LARGE_BYTES 8192

struct pace {
	uint32_t bytes_per_ms; /* of the link, 0: not known, no limit */
	double waiting_bytes;
	uint64_t at_ms;
};

/*
 * rate_milli_mbit: thousandths of a megabit per second, 0: no limit.
 */
void pace_init(struct pace *pace, uint32_t rate_milli_mbit);

/*
 * Bytes were handed over to the link.
 */
void pace_sent(struct pace *pace, size_t len_bytes, uint64_t now_ms);

/*
 * Returns how much of a large body may be sent now, 0: nothing.
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
