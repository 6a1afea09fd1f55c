/*
 * clk: time in milliseconds.
 *
 * The system clock counts the time that the machine was suspended
 * (CLOCK_BOOTTIME), so a lease ends also while the process cannot run. Tests
 * use a paused clock that only moves by clk_advance_ms().
 */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct clk;

/*
 * Both return NULL when memory is exhausted.
 */
struct clk *clk_create_system(void);
struct clk *clk_create_paused(uint64_t now_ms);
void clk_destroy(struct clk *clk);

/*
 * Never decreases; its zero point has no meaning.
 */
uint64_t clk_now_ms(const struct clk *clk);
uint64_t clk_now_us(const struct clk *clk);

/*
 * Milliseconds since 1970, may step; for stamps in logs and records only.
 */
uint64_t clk_wall_ms(const struct clk *clk);

/*
 * Steps the wall time of a paused clock. No effect on the system clock.
 */
void clk_step_wall_ms(struct clk *clk, int64_t delta_ms);

/*
 * Moves a paused clock. Has no effect on the system clock.
 */
void clk_advance_ms(struct clk *clk, uint64_t delta_ms);

#ifdef __cplusplus
}
#endif

#endif
