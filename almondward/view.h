/*
 * view: one version of the replicated state, indexed for look-ups on the
 * request path. Immutable.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct view;

/*
 * Copies the state. Returns NULL when memory is exhausted.
 */
struct view *view_create(const Aw__FleetState *state);
void view_destroy(struct view *view);

uint64_t view_version(const struct view *view);

/*
 * Returns the configuration, an empty one if the state has none; NULL if view
 * is NULL.
 */
const Aw__Config *view_config(const struct view *view);

/*
 * Returns the key with a hash, also if it is withdrawn, or NULL.
 */
const Aw__Key *view_key(const struct view *view,
			const uint8_t hash[HASH_BYTES]);

/*
 * Returns the route with the longest path prefix that ends at a segment
 * boundary of the target, or NULL. The target must have passed
 * route_target_ok().
 */
const Aw__Route *view_route(const struct view *view, const char *target);

/*
 * Returns the zone of the client block with the longest prefix that contains
 * the address ("IP", "IP:port" or "[IP6]:port"), "" if no block does, NULL if
 * it is not an address.
 */
const char *view_client_zone(const struct view *view, const char *address);

/*
 * Returns the share of traffic that drains have moved away from a server: the
 * largest of the shares for the server, its zone and its region.
 */
uint32_t view_drained_permille(const struct view *view, const char *address,
			       const char *zone, const char *region);

#ifdef __cplusplus
}
#endif

#endif
