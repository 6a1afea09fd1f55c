#include "delay.h"

#include <string.h>

void delay_init(struct delay *delay)
{
	memset(delay, 0, sizeof(*delay));
}

static void end_slot(struct delay *delay, uint64_t now_ms)
{
	if (delay->has_slot) {
		delay->last_slot_ms = delay->slot_ms;
		delay->has_last_slot = true;
	}
	delay->has_slot = false;
	delay->slot_start_ms = now_ms;
}

void delay_probe_sent(struct delay *delay, const struct delay_path *path,
		      uint64_t now_ms)
{
	if (delay->nr_pending == DELAY_PENDING_MAX)
		return;
	delay->pending[delay->nr_pending++] = (struct delay_pending){
		.sent_ms = now_ms,
		.expected_ms = path->shortest_ms,
	};
}

static void drop_pending(struct delay *delay, uint64_t until_ms)
{
	uint32_t nr = 0;

	while (nr < delay->nr_pending && delay->pending[nr].sent_ms <= until_ms)
		nr++;
	delay->nr_pending -= nr;
	memmove(delay->pending, delay->pending + nr,
		delay->nr_pending * sizeof(*delay->pending));
}

void delay_add(struct delay *delay, struct delay_path *path,
	       uint32_t round_trip_ms, uint64_t now_ms)
{
	uint32_t sample_ms;

	drop_pending(delay, now_ms - round_trip_ms);
	if (!path->is_known || round_trip_ms < path->shortest_ms)
		path->shortest_ms = round_trip_ms;
	path->is_known = true;
	sample_ms = round_trip_ms - path->shortest_ms;
	if (now_ms >= delay->slot_start_ms + DELAY_SLOT_MS)
		end_slot(delay, now_ms);
	if (!delay->has_slot || sample_ms < delay->slot_ms)
		delay->slot_ms = sample_ms;
	delay->has_slot = true;
	delay->last_sample_ms = now_ms;
}

static uint32_t sampled_ms(const struct delay *delay, uint64_t now_ms)
{
	if ((!delay->has_slot && !delay->has_last_slot) ||
	    now_ms >= delay->last_sample_ms + DELAY_HOLD_MS)
		return 0;
	if (!delay->has_slot)
		return delay->last_slot_ms;
	/* A slot that has just begun may have a single sample. */
	if (delay->has_last_slot &&
	    now_ms < delay->slot_start_ms + DELAY_SLOT_MS &&
	    delay->last_slot_ms < delay->slot_ms)
		return delay->last_slot_ms;
	return delay->slot_ms;
}

/*
 * Returns for how long the oldest probe has been overdue.
 */
static uint32_t overdue_ms(const struct delay *delay, uint64_t now_ms)
{
	uint64_t due_ms;

	if (!delay->nr_pending)
		return 0;
	due_ms = delay->pending[0].sent_ms + delay->pending[0].expected_ms;
	return now_ms > due_ms ? (uint32_t)(now_ms - due_ms) : 0;
}

uint32_t delay_ms(const struct delay *delay, uint64_t now_ms)
{
	uint32_t known_ms = sampled_ms(delay, now_ms);
	uint32_t pending_ms = overdue_ms(delay, now_ms);

	return known_ms > pending_ms ? known_ms : pending_ms;
}

void delay_reset_probes(struct delay *delay)
{
	delay->nr_pending = 0;
}
