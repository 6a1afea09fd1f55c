#include "shift.h"

#include <string.h>

/* Share of the limit that the allowed share may change by within a window, and
 * the widths of the bands around it in which short deviations are let through.
 * The rest is for objects that change their region and for the time until a
 * change is noticed. */
#define SLEW_SHARE 0.3
#define LEAVE_BAND_SHARE 0.2
#define RETURN_BAND_SHARE 0.28
/* Number of requests over which the shares are averaged. A return of all
 * requests has to be noticed sooner, since the requests are not limited until
 * then. */
#define WANTED_REQUESTS 20.0
#define RECENT_REQUESTS 8.0

void shift_init(struct shift *shift, uint32_t max_milli)
{
	memset(shift, 0, sizeof(*shift));
	shift->max_share = max_milli / 1000.0;
}

static void record(struct shift *shift, bool leaves)
{
	double sample = leaves ? 1 : 0;

	shift->wanted += (sample - shift->wanted) / WANTED_REQUESTS;
	shift->wanted_recent +=
		(sample - shift->wanted_recent) / RECENT_REQUESTS;
}

static void step_allowed(struct shift *shift, uint64_t now_ms)
{
	double gap = shift->wanted - shift->allowed, step;

	if (now_ms <= shift->allowed_at_ms)
		return;
	step = shift->max_share * SLEW_SHARE *
	       (double)(now_ms - shift->allowed_at_ms) / SHIFT_WINDOW_MS;
	shift->allowed_at_ms = now_ms;
	if (gap > step)
		gap = step;
	if (gap < -step)
		gap = -step;
	shift->allowed += gap;
}

bool shift_decide_again(const struct shift *shift, bool leaves, double draw)
{
	double most = shift->allowed + shift->max_share * LEAVE_BAND_SHARE;
	double least = shift->allowed - shift->max_share * RETURN_BAND_SHARE;

	if (shift->max_share <= 0)
		return leaves;
	if (leaves)
		return shift->wanted <= most || draw < most / shift->wanted;
	return shift->wanted_recent < least &&
	       draw < (least - shift->wanted_recent) /
			       (1 - shift->wanted_recent);
}

bool shift_decide(struct shift *shift, bool leaves, double draw,
		  uint64_t now_ms)
{
	record(shift, leaves);
	step_allowed(shift, now_ms);
	return shift_decide_again(shift, leaves, draw);
}

bool shift_track(struct shift *shift, bool leaves, uint64_t now_ms)
{
	record(shift, leaves);
	shift->allowed = shift->wanted;
	shift->allowed_at_ms = now_ms;
	return leaves;
}
