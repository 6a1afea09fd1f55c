#include "directory.h"

#include <stdbool.h>
#include <string.h>

/* How far from a location an instance may be. */
enum distance { DISTANCE_ZONE, DISTANCE_REGION, DISTANCE_ANY };

struct location {
	const struct set_cluster *cluster;
	const char *zone;
	const char *region;
	bool any_reach; /* also instances that reach no backend server */
};

static bool is_within(const struct location *location, enum distance distance,
		      const Aw__Instance *instance)
{
	if (instance->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE ||
	    (instance->servers_unreachable && !location->any_reach))
		return false;
	switch (distance) {
	case DISTANCE_ZONE:
		return !strcmp(instance->zone, location->zone);
	case DISTANCE_REGION:
		return !strcmp(set_region(location->cluster, instance->zone),
			       location->region);
	case DISTANCE_ANY:
		break;
	}
	return true;
}

static size_t count_within(const struct location *location,
			   enum distance distance,
			   const Aw__Instance *const *instances,
			   size_t nr_instances)
{
	size_t i, nr = 0;

	for (i = 0; i < nr_instances; i++)
		nr += is_within(location, distance, instances[i]);
	return nr;
}

/*
 * Chooses all zones of the region, so that their links are used evenly, but
 * only the zone if the region has too many instances.
 */
static enum distance choose_distance(const struct location *location,
				     const Aw__Instance *const *instances,
				     size_t nr_instances)
{
	size_t nr = count_within(location, DISTANCE_REGION, instances,
				 nr_instances);

	if (!nr)
		return DISTANCE_ANY;
	if (nr > DIR_ADDRESSES_MAX &&
	    count_within(location, DISTANCE_ZONE, instances, nr_instances))
		return DISTANCE_ZONE;
	return DISTANCE_REGION;
}

size_t dir_choose_instances(const struct set_cluster *cluster,
			    const Aw__Instance *const *instances,
			    size_t nr_instances, const char *zone,
			    const char *region,
			    const char *addresses[DIR_ADDRESSES_MAX])
{
	struct location location = { cluster, zone, region, false };
	enum distance distance;
	size_t i, nr = 0;

	if (!*region)
		location.region = set_region(cluster, zone);
	location.any_reach =
		!count_within(&location, DISTANCE_ANY, instances, nr_instances);
	distance = choose_distance(&location, instances, nr_instances);
	for (i = 0; i < nr_instances && nr < DIR_ADDRESSES_MAX; i++)
		if (is_within(&location, distance, instances[i]))
			addresses[nr++] = instances[i]->address;
	return nr;
}

size_t dir_choose_control(const struct set_cluster *cluster,
			  const struct dir_control *controls, size_t nr,
			  const char *zone)
{
	const char *region = set_region(cluster, zone);
	size_t best = nr;

	for (size_t i = 0; i < nr; i++) {
		if (!strcmp(controls[i].zone, zone))
			return i;
		if (best == nr && *region &&
		    !strcmp(set_region(cluster, controls[i].zone), region))
			best = i;
	}
	return best;
}
