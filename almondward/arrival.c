#include "arrival.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* The newest turns that are kept: those that a search may need, and some since
 * the message was read. */
#define TURNS_KEPT (ARRIVAL_LATE_TURNS + 22)
/* A message that has arrived is read within this many turns. */
#define READ_TURNS 3

struct arrival {
	struct clk *clk;
	uint64_t turns_ms[TURNS_KEPT]; /* newest first */
	size_t nr_turns;
};

struct arrival *arrival_create(struct clk *clk)
{
	struct arrival *arrival = calloc(1, sizeof(*arrival));

	if (arrival)
		arrival->clk = clk;
	return arrival;
}

void arrival_destroy(struct arrival *arrival)
{
	free(arrival);
}

void arrival_turn(struct arrival *arrival)
{
	memmove(arrival->turns_ms + 1, arrival->turns_ms,
		(TURNS_KEPT - 1) * sizeof(*arrival->turns_ms));
	arrival->turns_ms[0] = clk_now_ms(arrival->clk);
	if (arrival->nr_turns < TURNS_KEPT)
		arrival->nr_turns++;
}

uint64_t arrival_earliest_ms(const struct arrival *arrival, uint64_t read_ms)
{
	const uint64_t *turns_ms = arrival->turns_ms;
	uint64_t next_ms = read_ms;
	size_t first = 0, needed = READ_TURNS, i;

	while (first < arrival->nr_turns && turns_ms[first] > read_ms)
		first++;
	if (first + ARRIVAL_LATE_TURNS + READ_TURNS > arrival->nr_turns)
		return 0;
	for (i = 0; i < ARRIVAL_LATE_TURNS; i++) {
		if (next_ms - turns_ms[first + i] > ARRIVAL_PAUSE_MS)
			needed = i + READ_TURNS;
		next_ms = turns_ms[first + i];
	}
	return turns_ms[first + needed - 1];
}
