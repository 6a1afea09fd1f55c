/*
 * dir: which entry instances a caller in some zone should use.
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
/* Short, so that callers leave a lost instance soon. */
#define DIR_TTL_MS 1000

/*
 * Fills in addresses of active instances: those of the region, of the zone
 * if the region has too many, or else all others. An empty region stands for
 * that of the zone. Returns the number; the addresses belong to the instances.
 */
size_t dir_choose(const struct set_cluster *cluster,
		  const Aw__Instance *const *instances, size_t nr_instances,
		  const char *zone, const char *region,
		  const char *addresses[DIR_ADDRESSES_MAX]);

struct dir_control {
	const char *address;
	const char *zone;
};

/*
 * The control instance for the heartbeats of servers in a zone: one of the
 * zone, or else of its region. Heartbeats are most of what crosses zones while
 * there are few requests. Returns its index, or nr if there is none.
 */
size_t dir_choose_control(const struct set_cluster *cluster,
			  const struct dir_control *controls, size_t nr,
			  const char *zone);

#ifdef __cplusplus
}
#endif

#endif
