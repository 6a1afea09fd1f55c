/*
 * zord: the latest orders of operators to evacuate zones and to take them back.
 *
 * An order has no identity: the same one may arrive several times, and a copy
 * that was delayed may arrive after a later order that reverses it. An order is
 * therefore carried out only if no opposite order for its zone has been
 * recorded since it arrived. The module keeps, for each zone, the latest order
 * of each kind with its log index and the local time at which it became known.
 * This is derived from the log and neither stored nor sent.
 */
#ifndef ZONE_ORDERS_H
#define ZONE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Zones whose orders are kept. Beyond that, the zone with the oldest orders
 * counts as one for which orders of both kinds were recorded lately.
 */
#define ZORD_ZONES_MAX 128

struct zord;

/*
 * Returns NULL when memory is exhausted.
 */
struct zord *zord_create(void);
void zord_destroy(struct zord *zord);

/*
 * Records that an order is in the log at this index, which became known at
 * now_ms. evacuated: true to evacuate the zone, false to take it back.
 */
void zord_record(struct zord *zord, const char *name, bool evacuated,
		 uint64_t index, uint64_t now_ms);

/*
 * Forgets all orders. Up to this index, any may have been recorded.
 */
void zord_reset(struct zord *zord, uint64_t index, uint64_t now_ms);

/*
 * Returns whether an opposite order for the zone was recorded above a log
 * index, or became known at a time or later. zord_is_replaced_since() serves
 * the instance that received the order, zord_is_replaced_above() the leader,
 * with the index that the receiver had applied by then.
 */
bool zord_is_replaced_above(const struct zord *zord, const char *zone,
			    bool evacuated, uint64_t index);
bool zord_is_replaced_since(const struct zord *zord, const char *zone,
			    bool evacuated, uint64_t since_ms);

#ifdef __cplusplus
}
#endif

#endif
