/*
 * clk: time in milliseconds.
 *
 * The system clock includes the time for which the machine was suspended
 * (CLOCK_BOOTTIME), so a lease also expires while the process cannot run. Tests
 * use a paused clock that advances only by clk_advance_ms().
 */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct clk;

/*
 * Both functions return NULL when memory is exhausted.
 */
struct clk *clk_create_system(void);
struct clk *clk_create_paused(uint64_t now_ms);
void clk_destroy(struct clk *clk);

/*
 * Return the time since an arbitrary start; it never decreases.
 */
uint64_t clk_now_ms(const struct clk *clk);
uint64_t clk_now_us(const struct clk *clk);

/*
 * Returns the wall-clock time in milliseconds since 1970. It may jump in either
 * direction: use it only for timestamps in logs and records.
 */
uint64_t clk_wall_ms(const struct clk *clk);

/*
 * Changes the wall-clock time of a paused clock. Has no effect on a system
 * clock.
 */
void clk_step_wall_ms(struct clk *clk, int64_t delta_ms);

/*
 * Advances a paused clock. Has no effect on a system clock.
 */
void clk_advance_ms(struct clk *clk, uint64_t delta_ms);

/*
 * Calls fn before each reading of a paused clock, which fn may advance: so a
 * test can let time pass between two readings of one function. NULL: none. Has
 * no effect on a system clock.
 */
void clk_on_read(struct clk *clk, void (*fn)(void *arg), void *arg);

#ifdef __cplusplus
}
#endif

#endif
