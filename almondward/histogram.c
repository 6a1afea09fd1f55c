#include "histogram.h"

#include <stdio.h>
#include <stdlib.h>

/* Upper bounds of the buckets, inclusive. */
static const uint32_t bounds_ms[] = { 5,   10,	25,   50,   100,  200,	400,
				      600, 800, 1000, 2000, 4000, 10000 };

#define NR_BOUNDS (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

struct hist {
	char name[64];
	uint64_t counts[NR_BOUNDS + 1]; /* the last one: above all bounds */
	uint64_t sum_ms;
	uint64_t nr; /* all values */
};

struct hist *hist_create(const char *name)
{
	struct hist *hist = calloc(1, sizeof(*hist));

	if (hist)
		snprintf(hist->name, sizeof(hist->name), "%s", name);
	return hist;
}

void hist_destroy(struct hist *hist)
{
	free(hist);
}

void hist_add(struct hist *hist, uint64_t value_ms)
{
	size_t i = 0;

	while (i < NR_BOUNDS && value_ms > bounds_ms[i])
		i++;
	hist->counts[i]++;
	hist->sum_ms += value_ms;
	hist->nr++;
}

int hist_format(const struct hist *hist, struct buf *out)
{
	uint64_t cumulative = 0;
	size_t i;

	for (i = 0; i < NR_BOUNDS; i++) {
		cumulative += hist->counts[i];
		if (buf_printf(out, "%s_bucket{le=\"%g\"} %llu\n", hist->name,
			       bounds_ms[i] / 1000.0,
			       (unsigned long long)cumulative))
			return -1;
	}
	if (buf_printf(out, "%s_bucket{le=\"+Inf\"} %llu\n", hist->name,
		       (unsigned long long)hist->nr) ||
	    buf_printf(out, "%s_sum %.3f\n", hist->name,
		       (double)hist->sum_ms / 1000) ||
	    buf_printf(out, "%s_count %llu\n", hist->name,
		       (unsigned long long)hist->nr))
		return -1;
	return 0;
}
