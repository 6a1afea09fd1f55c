#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"
#include "hash.h"

/*
 * Asks the coordinator of a server about it before a request is sent there,
 * and answers as the coordinator of others. See coord.h.
 */

/* Time beyond the way for a coordinator that is slow to answer. */
#define ANSWER_MS 40
/* A coordinator that did not answer is not asked for this time; an instance
 * that is lost is out of the list after a second. */
#define SILENT_MS 500

/* ---- instances ---- */

static uint64_t silent_until(const struct gw_slots *slots, const char *address)
{
	for (size_t i = 0; i < slots->nr_instances; i++)
		if (!strcmp(slots->instances[i].address, address))
			return slots->instances[i].silent_until_ms;
	return 0;
}

/*
 * All instances compute the same coordinators from the same list.
 */
static void sync_instances(struct gw *gw)
{
	const struct set_cluster *cluster = &gw->settings->cluster;
	struct gw_slots *slots = &gw->slots;
	const Aw__Instance *const *list;
	struct gw_instance *instances;
	size_t nr, used = 0;

	if (slots->version == topo_instances_version(gw->topo))
		return;
	list = topo_instances(gw->topo, &nr);
	instances = calloc(nr + 1, sizeof(*instances));
	if (!instances) {
		gw_fail(gw, "no memory for the list of instances");
		return;
	}
	for (size_t i = 0; i < nr; i++) {
		struct gw_instance *to = &instances[used];

		if (list[i]->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE ||
		    !strchr(list[i]->address, ':'))
			continue;
		set_peer_address(cluster, list[i]->address, to->address);
		to->hash = hash_text(list[i]->name);
		to->is_self = !strcmp(list[i]->name, gw->settings->name);
		snprintf(to->region, sizeof(to->region), "%s",
			 set_region(cluster, list[i]->zone));
		to->silent_until_ms = silent_until(slots, to->address);
		used++;
	}
	free(slots->instances);
	slots->instances = instances;
	slots->nr_instances = used;
	slots->version = topo_instances_version(gw->topo);
}

/*
 * An instance of the server's region, by rendezvous hash; of another one only
 * if that region has none.
 */
static struct gw_instance *coordinator_of(struct gw *gw,
					  const struct steer_server *server)
{
	const char *region = steer_server_region(server);
	uint64_t hash = steer_server_hash(server), score, best_score = 0;
	struct gw_instance *best = NULL;
	bool best_near = false;

	sync_instances(gw);
	for (size_t i = 0; i < gw->slots.nr_instances; i++) {
		struct gw_instance *at = &gw->slots.instances[i];
		bool near = !strcmp(at->region, region);

		score = hash_mix(at->hash ^ hash * UINT64_C(0x9e3779b1));
		if (best && (near < best_near ||
			     (near == best_near && score <= best_score)))
			continue;
		best = at;
		best_near = near;
		best_score = score;
	}
	return best;
}

/* ---- as the one that asks ---- */

static void send_ask(struct gw *gw, const struct gw_slot *slot,
		     const struct coord_query *ask)
{
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__SlotAsk msg = AW__SLOT_ASK__INIT;

	msg.token = ask->token;
	msg.server = ask->server;
	msg.upstream = ask->upstream;
	msg.has_object = ask->has_object;
	msg.object = ask->object;
	msg.left_ms = ask->left_ms;
	datagram.body_case = AW__DATAGRAM__BODY_SLOT_ASK;
	datagram.slot_ask = &msg;
	gossip_send(gw->gossip, slot->coordinator, &datagram);
}

enum gw_slot_state gw_slot_ask(struct gw *gw, struct gw_slot *slot,
			       struct steer_server *server,
			       const struct steer_query *query, bool waits)
{
	struct gw_instance *coordinator = coordinator_of(gw, server);
	uint64_t now_ms = gw_now_ms(gw);
	struct coord_query ask = {
		.token = gw->slots.next_token++,
		.server = steer_server_hash(server),
		.upstream = steer_upstream_hash(server),
		.has_object = query->has_object,
		.object = query->object,
		.left_ms = (uint32_t)query->left_ms,
	};
	struct coord_reply told;

	gw_slot_end(gw, slot, COORD_NOT_SENT);
	if (!coordinator || now_ms < coordinator->silent_until_ms)
		return GW_SLOT_UNTOLD;
	slot->token = ask.token;
	slot->server = ask.server;
	slot->is_local = coordinator->is_self;
	slot->waits = waits && !slot->is_local;
	slot->until_ms = now_ms + steer_rtt_ms(gw->steer, server) + ANSWER_MS;
	snprintf(slot->coordinator, sizeof(slot->coordinator), "%s",
		 coordinator->address);
	if (slot->is_local) {
		if (coord_query(gw->slots.coord, &ask, &told))
			return GW_SLOT_UNTOLD;
		slot->held = true;
		steer_coord_reply(gw->steer, server, query, &told);
		return GW_SLOT_TOLD;
	}
	slot->held = true;
	HASH_ADD(hh, gw->slots.asked, token, sizeof(slot->token), slot);
	send_ask(gw, slot, &ask);
	gw_count(gw, "slots_asked", waits ? "waits" : "tells");
	return slot->waits ? GW_SLOT_WAITS : GW_SLOT_UNTOLD;
}

void gw_slot_end(struct gw *gw, struct gw_slot *slot, enum coord_end end)
{
	static const Aw__SlotEndKind kinds[] = {
		[COORD_CACHE_UNKNOWN] = AW__SLOT_END_KIND__SLOT_UNTOLD,
		[COORD_CACHE_HIT] = AW__SLOT_END_KIND__SLOT_KNEW,
		[COORD_CACHE_MISS] = AW__SLOT_END_KIND__SLOT_DID_NOT_KNOW,
		[COORD_NOT_SENT] = AW__SLOT_END_KIND__SLOT_NOT_SENT,
	};
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__SlotEnd msg = AW__SLOT_END__INIT;

	if (!slot->held)
		return;
	slot->held = false;
	slot->waits = false;
	if (slot->is_local) {
		coord_end(gw->slots.coord, slot->token, end);
		return;
	}
	HASH_DEL(gw->slots.asked, slot);
	msg.token = slot->token;
	msg.end = kinds[end];
	datagram.body_case = AW__DATAGRAM__BODY_SLOT_END;
	datagram.slot_end = &msg;
	gossip_send(gw->gossip, slot->coordinator, &datagram);
}

static void take_told(struct gw *gw, const Aw__SlotTold *msg)
{
	const struct coord_reply told = { .running = msg->running,
					  .knows = msg->knows };
	struct gw_slot *slot;

	HASH_FIND(hh, gw->slots.asked, &msg->token, sizeof(msg->token), slot);
	if (!slot)
		return;
	slot->until_ms = 0;
	gw_request_told(slot, &told);
}

/* ---- as the coordinator ---- */

static enum coord_end end_of(Aw__SlotEndKind kind)
{
	switch (kind) {
	case AW__SLOT_END_KIND__SLOT_KNEW:
		return COORD_CACHE_HIT;
	case AW__SLOT_END_KIND__SLOT_DID_NOT_KNOW:
		return COORD_CACHE_MISS;
	case AW__SLOT_END_KIND__SLOT_NOT_SENT:
		return COORD_NOT_SENT;
	default:
		return COORD_CACHE_UNKNOWN;
	}
}

static void take_ask(struct gw *gw, const char *from, const Aw__SlotAsk *msg)
{
	const struct coord_query ask = { .token = msg->token,
					 .server = msg->server,
					 .upstream = msg->upstream,
					 .has_object = msg->has_object,
					 .object = msg->object,
					 .left_ms = msg->left_ms };
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__SlotTold reply = AW__SLOT_TOLD__INIT;
	struct coord_reply told;

	/* Whoever asked goes on without an answer. */
	if (coord_query(gw->slots.coord, &ask, &told)) {
		gw_count(gw, "slots_not_told", "memory");
		return;
	}
	reply.token = msg->token;
	reply.running = told.running;
	reply.knows = told.knows;
	datagram.body_case = AW__DATAGRAM__BODY_SLOT_TOLD;
	datagram.slot_told = &reply;
	gossip_send(gw->gossip, from, &datagram);
}

void gw_slots_datagram(void *arg, const char *from,
		       const Aw__Datagram *datagram)
{
	struct gw *gw = arg;

	switch (datagram->body_case) {
	case AW__DATAGRAM__BODY_SLOT_ASK:
		take_ask(gw, from, datagram->slot_ask);
		break;
	case AW__DATAGRAM__BODY_SLOT_TOLD:
		take_told(gw, datagram->slot_told);
		break;
	case AW__DATAGRAM__BODY_SLOT_END:
		coord_end(gw->slots.coord, datagram->slot_end->token,
			  end_of(datagram->slot_end->end));
		break;
	case AW__DATAGRAM__BODY_CRASH_NEWS:
		gw_crash_heard(gw, datagram->crash_news);
		break;
	default:
		gw_count(gw, "datagrams_ignored", "unexpected");
		break;
	}
}

/* ---- time ---- */

static void note_silent(struct gw *gw, const struct gw_slot *slot)
{
	struct gw_slots *slots = &gw->slots;

	gw_count(gw, "slots_untold", slot->waits ? "waits" : "tells");
	for (size_t i = 0; i < slots->nr_instances; i++)
		if (!strcmp(slots->instances[i].address, slot->coordinator))
			slots->instances[i].silent_until_ms =
				gw_now_ms(gw) + SILENT_MS;
}

void gw_slots_tick(struct gw *gw)
{
	struct gw_slot *slot;
	bool found = true;

	/* A request that goes on may ask again or end others. */
	while (found) {
		found = false;
		for (slot = gw->slots.asked; slot; slot = slot->hh.next) {
			if (!slot->until_ms || gw_now_ms(gw) < slot->until_ms)
				continue;
			slot->until_ms = 0;
			note_silent(gw, slot);
			found = slot->waits;
			if (found) {
				gw_request_told(slot, NULL);
				break;
			}
		}
	}
}

int gw_slots_open(struct gw *gw)
{
	gw->slots.next_token = gw->incarnation;
	gw->slots.coord = coord_create(gw->clk);
	return gw->slots.coord ? 0 : -1;
}

void gw_slots_close(struct gw *gw)
{
	coord_destroy(gw->slots.coord);
	free(gw->slots.instances);
}
