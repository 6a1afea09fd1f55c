#include "directory.h"

#include <stdbool.h>
#include <string.h>

#include "hash.h"

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

/*
 * Adds instances of other regions with room on their links, as many as there
 * are full ones among those that were chosen. Callers choose at random, so this
 * halves the traffic of a region whose links are all full.
 */
static size_t add_others(const struct location *location,
			 const Aw__Instance *const *instances,
			 size_t nr_instances, size_t nr_full, size_t nr,
			 const char *addresses[DIR_ADDRESSES_MAX])
{
	size_t start = nr_instances ? hash_text(location->zone) % nr_instances :
				      0;

	for (size_t i = 0; i < nr_instances && nr_full; i++) {
		const Aw__Instance *at = instances[(start + i) % nr_instances];

		if (nr == DIR_ADDRESSES_MAX)
			break;
		if (at->link_full || !is_within(location, DISTANCE_ANY, at) ||
		    is_within(location, DISTANCE_REGION, at))
			continue;
		addresses[nr++] = at->address;
		nr_full--;
	}
	return nr;
}

size_t dir_choose_instances(const struct set_cluster *cluster,
			    const Aw__Instance *const *instances,
			    size_t nr_instances, const char *zone,
			    const char *region,
			    const char *addresses[DIR_ADDRESSES_MAX])
{
	struct location location = { cluster, zone, region, false };
	enum distance distance;
	size_t i, nr = 0, nr_full = 0;

	if (!*region)
		location.region = set_region(cluster, zone);
	location.any_reach =
		!count_within(&location, DISTANCE_ANY, instances, nr_instances);
	distance = choose_distance(&location, instances, nr_instances);
	for (i = 0; i < nr_instances && nr < DIR_ADDRESSES_MAX; i++) {
		if (!is_within(&location, distance, instances[i]))
			continue;
		addresses[nr++] = instances[i]->address;
		nr_full += instances[i]->link_full;
	}
	if (distance == DISTANCE_ANY)
		return nr;
	return add_others(&location, instances, nr_instances, nr_full, nr,
			  addresses);
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
