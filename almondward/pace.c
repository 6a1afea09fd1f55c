#include "pace.h"

#include <string.h>

/* Part of the link's rate that carries bodies and messages; the rest is packet
 * headers and acknowledgements. */
#define PAYLOAD_PERCENT 92
/* Backlog of the link, as the time it takes to send. A small message waits at
 * most BACKLOG_MAX_MS behind parts of large bodies. The next part is sent when
 * the backlog is below BACKLOG_LOW_MS and not only when it is empty: timers are
 * some milliseconds late, and the link must not be idle then. */
#define BACKLOG_MAX_MS 24
#define BACKLOG_LOW_MS 10

void pace_init(struct pace *pace, uint32_t rate_kbit_per_s)
{
	memset(pace, 0, sizeof(*pace));
	/* 1 kbit/s is an eighth of a byte per ms. */
	pace->bytes_per_ms =
		(uint32_t)((uint64_t)rate_kbit_per_s * PAYLOAD_PERCENT / 800);
}

static void update_backlog(struct pace *pace, uint64_t now_ms)
{
	if (now_ms <= pace->updated_ms)
		return;
	pace->backlog_bytes -=
		(double)(now_ms - pace->updated_ms) * pace->bytes_per_ms;
	if (pace->backlog_bytes < 0)
		pace->backlog_bytes = 0;
	pace->updated_ms = now_ms;
}

void pace_sent(struct pace *pace, size_t len_bytes, uint64_t now_ms)
{
	if (!pace->bytes_per_ms)
		return;
	update_backlog(pace, now_ms);
	pace->backlog_bytes += (double)len_bytes;
}

uint32_t pace_backlog_ms(struct pace *pace, uint64_t now_ms)
{
	if (!pace->bytes_per_ms)
		return 0;
	update_backlog(pace, now_ms);
	return (uint32_t)(pace->backlog_bytes / pace->bytes_per_ms);
}

uint32_t pace_wait_ms(struct pace *pace, uint64_t now_ms)
{
	double excess_bytes;

	if (!pace->bytes_per_ms)
		return 0;
	update_backlog(pace, now_ms);
	excess_bytes = pace->backlog_bytes -
		       (double)pace->bytes_per_ms * BACKLOG_LOW_MS;
	if (excess_bytes <= 0)
		return 0;
	return (uint32_t)(excess_bytes / pace->bytes_per_ms) + 1;
}

size_t pace_allowed_bytes(struct pace *pace, uint64_t now_ms)
{
	if (!pace->bytes_per_ms)
		return SIZE_MAX;
	if (pace_wait_ms(pace, now_ms))
		return 0;
	return (size_t)((double)pace->bytes_per_ms * BACKLOG_MAX_MS -
			pace->backlog_bytes);
}
