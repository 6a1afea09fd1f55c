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

#ifdef __cplusplus
}
#endif

#endif
