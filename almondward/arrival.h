/*
 * arrival: when a message that is read now may have arrived.
 *
 * While a process stands still, the system receives messages for it. What it
 * reads after it goes on may have arrived at any time since it last read its
 * sockets, and its sender may have given up long ago. The owner reports each
 * turn of its event loop; the module finds the last turn that must have read a
 * message that had arrived by then.
 *
 * The module does no I/O and reads the time from a clock object.
 */
#ifndef ARRIVAL_H
#define ARRIVAL_H

#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A longer time between two turns counts as a pause. */
#define ARRIVAL_PAUSE_MS 50
/*
 * Turns after a pause in which messages from before it may still be read: a new
 * connection is accepted in one turn and read in a later one.
 */
#define ARRIVAL_LATE_TURNS 10

struct arrival;

/*
 * Returns NULL when memory is exhausted. clk must outlive the object.
 */
struct arrival *arrival_create(struct clk *clk);
void arrival_destroy(struct arrival *arrival);

/*
 * Call in each turn of the event loop, at least every ARRIVAL_PAUSE_MS.
 */
void arrival_turn(struct arrival *arrival);

/*
 * Returns the earliest time at which a message may have arrived whose first
 * byte was read at read_ms, a time of the clock that is not in the future.
 * Returns 0, any time, if too few turns are known: soon after the start, or for
 * a message that was read long ago.
 */
uint64_t arrival_earliest_ms(const struct arrival *arrival, uint64_t read_ms);

#ifdef __cplusplus
}
#endif

#endif
