#include "control_cluster.h"

/*
 * Orders for zones, which have no identity: one that was delayed must not
 * reverse a later one. See zone_orders.h.
 */

bool ctl_orders_is_replaced(const struct ctl *ctl, const Aw__Op *op)
{
	const Aw__OpZone *zone = op->zone;

	return op->body_case == AW__OP__BODY_ZONE && zone->known_index &&
	       zord_is_replaced_above(ctl->cluster->zone_orders, zone->zone,
				      zone->evacuated, zone->known_index);
}

void ctl_orders_recorded(struct ctl *ctl, const Aw__Op *op, uint64_t index)
{
	if (op->body_case == AW__OP__BODY_ZONE)
		zord_record(ctl->cluster->zone_orders, op->zone->zone,
			    op->zone->evacuated, index, clk_now_ms(ctl->clk));
}
