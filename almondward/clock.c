#include "clock.h"

#include <stdbool.h>
#include <stdlib.h>
#include <time.h>

struct clk {
	bool paused;
	uint64_t now_ms;
	int64_t wall_offset_ms; /* paused clock: wall-clock time minus now_ms */
	void (*on_read)(void *arg); /* paused clock: see clk_on_read() */
	void *on_read_arg;
};

struct clk *clk_create_system(void)
{
	return calloc(1, sizeof(struct clk));
}

struct clk *clk_create_paused(uint64_t now_ms)
{
	struct clk *clk = calloc(1, sizeof(*clk));

	if (!clk)
		return NULL;
	clk->paused = true;
	clk->now_ms = now_ms;
	return clk;
}

void clk_destroy(struct clk *clk)
{
	free(clk);
}

static uint64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t clk_now_ms(const struct clk *clk)
{
	return clk_now_us(clk) / 1000;
}

uint64_t clk_now_us(const struct clk *clk)
{
	if (!clk->paused)
		return read_us(CLOCK_BOOTTIME);
	if (clk->on_read)
		clk->on_read(clk->on_read_arg);
	return clk->now_ms * 1000;
}

uint64_t clk_wall_ms(const struct clk *clk)
{
	return clk->paused ? clk->now_ms + (uint64_t)clk->wall_offset_ms :
			     read_us(CLOCK_REALTIME) / 1000;
}

void clk_step_wall_ms(struct clk *clk, int64_t delta_ms)
{
	clk->wall_offset_ms += delta_ms;
}

void clk_advance_ms(struct clk *clk, uint64_t delta_ms)
{
	clk->now_ms += delta_ms;
}

void clk_on_read(struct clk *clk, void (*fn)(void *arg), void *arg)
{
	clk->on_read = fn;
	clk->on_read_arg = arg;
}
