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

void delay_add(struct delay *delay, struct delay_path *path,
	       uint32_t round_trip_ms, uint64_t now_ms)
{
	uint32_t sample_ms;

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

uint32_t delay_ms(const struct delay *delay, uint64_t now_ms)
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
