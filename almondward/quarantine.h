/*
 * quar: requests that crash the backend servers that run them.
 *
 * Counts crash reports by request fingerprint. Decisions only: time comes from
 * a clock. See docs/design.md, "Requests that crash servers".
 */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QUAR_ZONE_SERVERS 3 /* lost in one zone: a failure of the zone */
#define QUAR_ZONE_MS 2000
#define QUAR_REQUESTS_MAX 10000

struct quar;

enum quar_error { QUAR_OK, QUAR_ERR_MEMORY, QUAR_ERR_INVALID };

/*
 * first_version is the version of the empty list; versions only grow.
 */
struct quar *quar_create(struct clk *clk, uint64_t first_version);
void quar_destroy(struct quar *quar);

/*
 * A connection broke after the request was sent. Repeating a report changes
 * nothing. zone is "" when the server is not known.
 */
enum quar_error quar_crash(struct quar *quar, const Aw__CrashReport *crash,
			   const char *zone);

/*
 * A quarantine that an earlier leader decided.
 */
enum quar_error quar_hold(struct quar *quar, const Aw__Quarantine *held);

/*
 * Drops what has expired. To be called before the list is used.
 */
void quar_tick(struct quar *quar);

/*
 * Changes when the list for entry instances changes.
 */
uint64_t quar_version(const struct quar *quar);
size_t quar_count(const struct quar *quar);

/*
 * Fills up to max elements; fingerprints point into quar. Returns the number.
 */
size_t quar_list(const struct quar *quar, Aw__Quarantine *list, size_t max);

#ifdef __cplusplus
}
#endif

#endif
