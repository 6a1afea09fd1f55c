/*
 * ctr: counters by name and label, for example ("refusals", "rate").
 *
 * ctr_get() looks a counter up once; ctr_add() is then an addition. Handles
 * stay valid until ctr_set_destroy().
 */
#ifndef COUNTER_H
#define COUNTER_H

#include <stdint.h>

#include "buf.h"

#ifdef __cplusplus
extern "C" {
#endif

struct ctr;
struct ctr_set;

struct ctr_set *ctr_set_create(void);
void ctr_set_destroy(struct ctr_set *set);

/*
 * Finds or makes a counter. label may be "". Returns NULL when memory is
 * exhausted.
 */
struct ctr *ctr_get(struct ctr_set *set, const char *name, const char *label);

/*
 * A NULL counter is ignored, so a failed ctr_get() loses counts, not requests.
 */
void ctr_add(struct ctr *ctr, uint64_t n);
uint64_t ctr_value(const struct ctr *ctr);

/*
 * Sets a gauge, such as the number of open connections.
 */
void ctr_set_value(struct ctr *ctr, uint64_t value);

/*
 * Appends one line per counter, sorted: name{label} value. Returns 0, or -1
 * when memory is exhausted.
 */
int ctr_format(struct ctr_set *set, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
