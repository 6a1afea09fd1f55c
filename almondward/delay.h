/*
 * delay: how long messages wait at the network link of this instance.
 *
 * A link that is slower than what others send over it queues the rest. An
 * instance sees the bytes only when they have passed, so the wait is missing in
 * all times that it measures itself. A round trip to another machine contains
 * it: what the round trip takes longer than the shortest one over the same path
 * is the wait in both directions. The least of several round trips counts, as a
 * single one may be long for other reasons; and only while the link is busy.
 *
 * The module does no I/O; times are milliseconds of a monotonic clock.
 */
#ifndef DELAY_H
#define DELAY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Samples of about this time are compared with each other. */
#define DELAY_SLOT_MS 100
/* The last sample holds for this long: while a link is full, round trips take
 * long, and connections that take too long are given up. */
#define DELAY_HOLD_MS 1000

/* Probes without a reply that are remembered; 3 s at the usual interval. */
#define DELAY_PENDING_MAX 32

struct delay_pending {
	uint64_t sent_ms;
	uint32_t expected_ms;
};

struct delay {
	uint64_t slot_start_ms;
	uint32_t slot_ms; /* least sample of the slot */
	uint32_t last_slot_ms; /* of the last slot that has samples */
	bool has_slot;
	bool has_last_slot;
	uint64_t last_sample_ms; /* when it was added */
	/* Sent later than the last probe with a reply, oldest first. */
	struct delay_pending pending[DELAY_PENDING_MAX];
	uint32_t nr_pending;
};

/* The shortest round trip over a path. */
struct delay_path {
	uint32_t shortest_ms;
	bool is_known;
};

void delay_init(struct delay *delay);

/*
 * Records that a probe was sent over a path. When a link becomes full at once,
 * the time for which a probe has no reply shows it before the reply does.
 */
void delay_probe_sent(struct delay *delay, const struct delay_path *path,
		      uint64_t now_ms);

/*
 * Adds a round trip over a path that took round_trip_ms. Probes that were sent
 * earlier are given up: their path may be lost.
 */
void delay_add(struct delay *delay, struct delay_path *path,
	       uint32_t round_trip_ms, uint64_t now_ms);

/*
 * Gives up all probes without a reply, since a path was lost.
 */
void delay_reset_probes(struct delay *delay);

/*
 * Returns the milliseconds that a message to and back from another machine
 * waits for the link at present; 0 if nothing is known.
 */
uint32_t delay_ms(const struct delay *delay, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
