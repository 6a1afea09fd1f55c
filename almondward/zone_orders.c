#include "zone_orders.h"

#include <stdlib.h>
#include <string.h>

#include "types.h"

/* The latest order of one kind; index 0: none. */
struct order {
	uint64_t index;
	uint64_t known_ms;
};

struct zone {
	char name[NAME_BYTES_MAX];
	struct order orders[2]; /* by evacuated */
};

struct zord {
	struct zone zones[ZORD_ZONES_MAX];
	size_t nr_zones;
	struct order forgotten; /* the latest one that was not kept */
};

struct zord *zord_create(void)
{
	return calloc(1, sizeof(struct zord));
}

void zord_destroy(struct zord *zord)
{
	free(zord);
}

static const struct zone *find_zone(const struct zord *zord, const char *name)
{
	size_t i;

	for (i = 0; i < zord->nr_zones; i++)
		if (!strcmp(zord->zones[i].name, name))
			return &zord->zones[i];
	return NULL;
}

static uint64_t last_index(const struct zone *zone)
{
	return zone->orders[0].index > zone->orders[1].index ?
		       zone->orders[0].index :
		       zone->orders[1].index;
}

static void update(struct order *order, uint64_t index, uint64_t now_ms)
{
	/*
	 * One with a lower index replaces an entry that a former leader lost.
	 */
	if (index > order->index)
		order->index = index;
	order->known_ms = now_ms;
}

/*
 * Returns an entry for another zone: an unused one, or that of the zone whose
 * orders are the oldest.
 */
static struct zone *take_entry(struct zord *zord, uint64_t now_ms)
{
	struct zone *oldest = &zord->zones[0];
	size_t i;

	if (zord->nr_zones < ZORD_ZONES_MAX)
		return &zord->zones[zord->nr_zones++];
	for (i = 1; i < ZORD_ZONES_MAX; i++)
		if (last_index(&zord->zones[i]) < last_index(oldest))
			oldest = &zord->zones[i];
	update(&zord->forgotten, last_index(oldest), now_ms);
	return oldest;
}

void zord_record(struct zord *zord, const char *name, bool evacuated,
		 uint64_t index, uint64_t now_ms)
{
	struct zone *zone = (struct zone *)find_zone(zord, name);

	if (!zone) {
		if (strlen(name) >= NAME_BYTES_MAX)
			return;
		zone = take_entry(zord, now_ms);
		memcpy(zone->name, name, strlen(name) + 1);
		zone->orders[0] = zord->forgotten;
		zone->orders[1] = zord->forgotten;
	}
	update(&zone->orders[evacuated], index, now_ms);
}

void zord_reset(struct zord *zord, uint64_t index, uint64_t now_ms)
{
	zord->nr_zones = 0;
	zord->forgotten = (struct order){ index, now_ms };
}

static const struct order *opposite_order(const struct zord *zord,
					  const char *name, bool evacuated)
{
	const struct zone *zone = find_zone(zord, name);

	return zone ? &zone->orders[!evacuated] : &zord->forgotten;
}

bool zord_is_replaced_above(const struct zord *zord, const char *zone,
			    bool evacuated, uint64_t index)
{
	return opposite_order(zord, zone, evacuated)->index > index;
}

bool zord_is_replaced_since(const struct zord *zord, const char *zone,
			    bool evacuated, uint64_t since_ms)
{
	const struct order *order = opposite_order(zord, zone, evacuated);

	return order->index && order->known_ms >= since_ms;
}
