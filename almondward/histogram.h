/*
 * hist: histograms of durations with fixed buckets, for the metrics address.
 */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stdint.h>

#include "buf.h"

#ifdef __cplusplus
extern "C" {
#endif

struct hist;

/*
 * Creates a histogram with bucket bounds from 5 ms to 10 s. Returns NULL when
 * memory is exhausted.
 */
struct hist *hist_create(const char *name);
void hist_destroy(struct hist *hist);
void hist_add(struct hist *hist, uint64_t value_ms);

/*
 * Appends the lines of a Prometheus histogram, in seconds. Returns 0, or -1
 * when memory is exhausted.
 */
int hist_format(const struct hist *hist, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
