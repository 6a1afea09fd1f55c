#include "pace.h"

#include <string.h>

/* Part of the link's rate that is left for bodies and messages; the rest are
 * headers of packets and acknowledgements. */
#define PAYLOAD_PERCENT 92
/* Small messages may wait so long behind parts of large bodies. The next part
 * is sent when less waits than the lower time: timers are some ms late, and the
 * link must not be idle then. */
#define WAITING_MAX_MS 24
#define WAITING_LOW_MS 10

void pace_init(struct pace *pace, uint32_t rate_milli_mbit)
{
	memset(pace, 0, sizeof(*pace));
	/* A thousandth of a megabit per second is an eighth of a byte per ms. */
	pace->bytes_per_ms =
		(uint32_t)((uint64_t)rate_milli_mbit * PAYLOAD_PERCENT / 800);
}

static void drain(struct pace *pace, uint64_t now_ms)
{
	if (now_ms <= pace->at_ms)
		return;
	pace->waiting_bytes -=
		(double)(now_ms - pace->at_ms) * pace->bytes_per_ms;
	if (pace->waiting_bytes < 0)
		pace->waiting_bytes = 0;
	pace->at_ms = now_ms;
}

void pace_sent(struct pace *pace, size_t len_bytes, uint64_t now_ms)
{
	if (!pace->bytes_per_ms)
		return;
	drain(pace, now_ms);
	pace->waiting_bytes += (double)len_bytes;
}

uint32_t pace_wait_ms(struct pace *pace, uint64_t now_ms)
{
	double over_bytes;

	if (!pace->bytes_per_ms)
		return 0;
	drain(pace, now_ms);
	over_bytes = pace->waiting_bytes -
		     (double)pace->bytes_per_ms * WAITING_LOW_MS;
	if (over_bytes <= 0)
		return 0;
	return (uint32_t)(over_bytes / pace->bytes_per_ms) + 1;
}

size_t pace_allowed_bytes(struct pace *pace, uint64_t now_ms)
{
	if (!pace->bytes_per_ms)
		return SIZE_MAX;
	if (pace_wait_ms(pace, now_ms))
		return 0;
	return (size_t)((double)pace->bytes_per_ms * WAITING_MAX_MS -
			pace->waiting_bytes);
}
