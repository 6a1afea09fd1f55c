/*
 * dir: chooses the entry instances for callers in a zone or region, and the
 * control instance for the heartbeats of servers.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DIR_ADDRESSES_MAX 64
/* Short, so that callers soon stop using a failed instance. */
#define DIR_TTL_MS 1000

/*
 * Fills in the addresses of active instances in the region, or only in the zone
 * if the region has more than DIR_ADDRESSES_MAX, or of all regions if the
 * region has none. Instances that reach no backend server count only if all
 * active ones of all regions reach none. An empty region stands for that of the
 * zone. Returns the number of addresses; they are owned by the instances.
 */
size_t dir_choose_instances(const struct set_cluster *cluster,
			    const Aw__Instance *const *instances,
			    size_t nr_instances, const char *zone,
			    const char *region,
			    const char *addresses[DIR_ADDRESSES_MAX]);

struct dir_control {
	const char *address;
	const char *zone;
};

/*
 * Chooses the control instance for the heartbeats of servers in a zone: one in
 * the zone, or else in its region, since heartbeats are most of the traffic
 * between zones while there are few requests. Returns its index, or nr if there
 * is none.
 */
size_t dir_choose_control(const struct set_cluster *cluster,
			  const struct dir_control *controls, size_t nr,
			  const char *zone);

#ifdef __cplusplus
}
#endif

#endif
