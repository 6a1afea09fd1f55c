/*
 * ctr: counters by name and label, for example ("refusals", "rate").
 *
 * Look a counter up once with ctr_get(); ctr_add() is then a plain addition.
 * Counters stay valid until ctr_set_destroy().
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
 * Finds or creates a counter. label may be "". Returns NULL when memory is
 * exhausted.
 */
struct ctr *ctr_get(struct ctr_set *set, const char *name, const char *label);

/*
 * Ignores a NULL counter, so a failed ctr_get() loses counts but fails no
 * request.
 */
void ctr_add(struct ctr *ctr, uint64_t n);

/*
 * Returns 0 for a NULL counter.
 */
uint64_t ctr_value(const struct ctr *ctr);

/*
 * Sets the value of a gauge, such as the number of open connections.
 */
void ctr_set_value(struct ctr *ctr, uint64_t value);

/*
 * Appends one line "name{label} value" per counter, sorted by name and label.
 * Returns 0, or -1 when memory is exhausted.
 */
int ctr_format(struct ctr_set *set, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
