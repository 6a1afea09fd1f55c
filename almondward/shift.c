#include "shift.h"

#include <string.h>

/* Part of the limit that the slow movement uses in a window, and the bands for
 * short deviations; the rest is for objects that change their region and for
 * the time until a change is seen. */
#define SLEW_PART 0.3
#define BAND_PART 0.2
#define BACK_BAND_PART 0.28
/* The shares are those of about so many requests. A return of all requests has
 * to be seen sooner: until then they run where they want to. */
#define SAMPLE 20.0
#define BACK_SAMPLE 8.0

void shift_init(struct shift *shift, uint32_t max_milli)
{
	memset(shift, 0, sizeof(*shift));
	shift->max = max_milli / 1000.0;
}

static void note(struct shift *shift, bool leaves)
{
	double hit = leaves ? 1 : 0;

	shift->wanted += (hit - shift->wanted) / SAMPLE;
	shift->wanted_lately += (hit - shift->wanted_lately) / BACK_SAMPLE;
}

static void move(struct shift *shift, uint64_t now_ms)
{
	double gap = shift->wanted - shift->allowed, step;

	if (now_ms <= shift->moved_ms)
		return;
	step = shift->max * SLEW_PART * (double)(now_ms - shift->moved_ms) /
	       SHIFT_WINDOW_MS;
	shift->moved_ms = now_ms;
	if (gap > step)
		gap = step;
	if (gap < -step)
		gap = -step;
	shift->allowed += gap;
}

bool shift_judge(const struct shift *shift, bool leaves, double chance)
{
	double most = shift->allowed + shift->max * BAND_PART;
	double least = shift->allowed - shift->max * BACK_BAND_PART;

	if (shift->max <= 0)
		return leaves;
	if (leaves)
		return shift->wanted <= most || chance < most / shift->wanted;
	return shift->wanted_lately < least &&
	       chance < (least - shift->wanted_lately) /
				(1 - shift->wanted_lately);
}

bool shift_decide(struct shift *shift, bool leaves, double chance,
		  uint64_t now_ms)
{
	note(shift, leaves);
	move(shift, now_ms);
	return shift_judge(shift, leaves, chance);
}

bool shift_follow(struct shift *shift, bool leaves, uint64_t now_ms)
{
	note(shift, leaves);
	shift->allowed = shift->wanted;
	shift->moved_ms = now_ms;
	return leaves;
}
