#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"
#include "hash.h"

/*
 * Queries the coordinator of a server before a request is sent there, and
 * replies to queries as the coordinator of other servers. See coord.h.
 */

/* Added to the round-trip time for a coordinator that is slow to reply. */
#define REPLY_MARGIN_MS 40
/* A coordinator that did not reply gets no queries for this time. A failed
 * instance is removed from the list after a second. */
#define SKIP_MS 500
/* An instance of an earlier version is not asked for permits for this time; it
 * may be replaced by a later version at the same address. */
#define NO_PERMITS_MS 5000

/* ---- instances ---- */

/*
 * Returns NULL if no instance has the address.
 */
static struct gw_instance *find_instance(const struct gw_slots *slots,
					 const char *address)
{
	for (size_t i = 0; i < slots->nr_instances; i++)
		if (!strcmp(slots->instances[i].address, address))
			return &slots->instances[i];
	return NULL;
}

/*
 * Copies the list of instances when it has changed. All instances compute the
 * same coordinators from the same list.
 */
static void sync_instances(struct gw *gw)
{
	const struct set_cluster *cluster = &gw->settings->cluster;
	struct gw_slots *slots = &gw->slots;
	const Aw__Instance *const *list;
	struct gw_instance *instances;
	const struct gw_instance *old;
	size_t nr, used = 0;

	if (slots->instances_version == topo_instances_version(gw->topo))
		return;
	list = topo_instances(gw->topo, &nr);
	instances = calloc(nr + 1, sizeof(*instances));
	if (!instances) {
		gw_fail(gw, "out of memory for the list of instances");
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
		old = find_instance(slots, to->address);
		if (old) {
			to->skip_until_ms = old->skip_until_ms;
			to->no_permits_until_ms = old->no_permits_until_ms;
		}
		used++;
	}
	free(slots->instances);
	slots->instances = instances;
	slots->nr_instances = used;
	slots->instances_version = topo_instances_version(gw->topo);
}

/*
 * Chooses an instance in the server's region by rendezvous hashing, or in any
 * region if that one has none. For a server with a limit it is the first one
 * that grants permits. Returns NULL if there are no instances.
 */
static struct gw_instance *choose_coordinator(struct gw *gw,
					      const struct steer_server *server)
{
	const char *region = steer_server_region(server);
	uint64_t hash = steer_server_hash(server), score, best_score = 0;
	struct gw_instance *best = NULL;
	bool best_in_region = false;

	sync_instances(gw);
	for (size_t i = 0; i < gw->slots.nr_instances; i++) {
		struct gw_instance *at = &gw->slots.instances[i];
		bool in_region = !strcmp(at->region, region);

		if (steer_server_is_limited(server) &&
		    gw_now_ms(gw) < at->no_permits_until_ms)
			continue;
		score = hash_mix(at->hash ^ hash * UINT64_C(0x9e3779b1));
		if (best &&
		    (in_region < best_in_region ||
		     (in_region == best_in_region && score <= best_score)))
			continue;
		best = at;
		best_in_region = in_region;
		best_score = score;
	}
	return best;
}

/* ---- limits in messages ---- */

static void fill_limit(struct gw *gw, const struct limit *limit,
		       Aw__ServerLimit *msg)
{
	static const Aw__LimitState states[] = {
		[LIMIT_UNKNOWN] = AW__LIMIT_STATE__LIMIT_STATE_UNKNOWN,
		[LIMIT_NONE] = AW__LIMIT_STATE__LIMIT_STATE_NONE,
		[LIMIT_NAMED] = AW__LIMIT_STATE__LIMIT_STATE_NAMED,
	};
	uint64_t age_ms = gw_now_ms(gw) - limit->observed_ms;

	aw__server_limit__init(msg);
	msg->state = states[limit->state];
	if (limit->state == LIMIT_UNKNOWN)
		return;
	msg->milli_per_s = limit->milli_per_s;
	msg->age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

static void read_limit(struct gw *gw, const Aw__ServerLimit *msg,
		       struct limit *limit)
{
	uint64_t now_ms = gw_now_ms(gw);

	*limit = (struct limit){ .state = LIMIT_UNKNOWN };
	if (!msg)
		return;
	limit->milli_per_s = msg->milli_per_s;
	/* The sender may have been running for longer than this machine. */
	limit->observed_ms = msg->age_ms < now_ms ? now_ms - msg->age_ms : 0;
	switch (msg->state) {
	case AW__LIMIT_STATE__LIMIT_STATE_NONE:
		limit->state = LIMIT_NONE;
		break;
	case AW__LIMIT_STATE__LIMIT_STATE_NAMED:
		limit->state = LIMIT_NAMED;
		break;
	default:
		break;
	}
}

/* ---- queries to coordinators ---- */

static void send_query(struct gw *gw, const struct gw_slot *slot,
		       const struct coord_query *query)
{
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__SlotAsk msg = AW__SLOT_ASK__INIT;
	Aw__ServerLimit limit;

	fill_limit(gw, &query->limit, &limit);
	msg.limit = &limit;
	msg.sent = query->is_sent;
	msg.token = query->token;
	msg.server = query->server;
	msg.upstream = query->upstream;
	msg.has_object = query->has_object;
	msg.object = query->object;
	msg.left_ms = query->left_ms;
	datagram.body_case = AW__DATAGRAM__BODY_SLOT_ASK;
	datagram.slot_ask = &msg;
	gossip_send(gw->gossip, slot->coordinator, &datagram);
}

enum gw_slot_state gw_slot_query(struct gw *gw, struct gw_slot *slot,
				 struct steer_server *server,
				 const struct steer_query *query,
				 bool await_reply)
{
	struct gw_instance *coordinator = choose_coordinator(gw, server);
	uint64_t now_ms = gw_now_ms(gw);
	struct coord_query coordinator_query = {
		.token = gw->slots.next_token++,
		.server = steer_server_hash(server),
		.upstream = steer_upstream_hash(server),
		.has_object = query->has_object,
		.object = query->object,
		.left_ms = (uint32_t)query->left_ms,
		.supports_limits = true,
		.is_sent = !await_reply,
		.limit = *steer_server_limit(server),
	};
	struct coord_reply reply;

	gw_slot_end(gw, slot, COORD_NOT_SENT);
	slot->observed = (struct limit){ .state = LIMIT_UNKNOWN };
	if (!coordinator || now_ms < coordinator->skip_until_ms)
		return GW_SLOT_PROCEED;
	slot->token = coordinator_query.token;
	slot->server = coordinator_query.server;
	slot->is_local = coordinator->is_self;
	slot->awaits_reply = await_reply && !slot->is_local;
	slot->reply_due_ms =
		now_ms + steer_rtt_ms(gw->steer, server) + REPLY_MARGIN_MS;
	snprintf(slot->coordinator, sizeof(slot->coordinator), "%s",
		 coordinator->address);
	if (slot->is_local) {
		coordinator_query.is_sent = false;
		if (coord_query(gw->slots.coord, &coordinator_query, &reply))
			return GW_SLOT_PROCEED;
		steer_coord_reply(gw->steer, server, query, &reply);
		if (reply.permit == COORD_PERMIT_DENIED)
			return GW_SLOT_DENIED;
		slot->counted = slot->has_permit = true;
		return GW_SLOT_REPLIED;
	}
	slot->counted = true;
	HASH_ADD(hh, gw->slots.queries, token, sizeof(slot->token), slot);
	send_query(gw, slot, &coordinator_query);
	gw_count(gw, "slots_asked", await_reply ? "waits" : "tells");
	return slot->awaits_reply ? GW_SLOT_PENDING : GW_SLOT_PROCEED;
}

void gw_slot_end(struct gw *gw, struct gw_slot *slot, enum coord_end_result end)
{
	static const Aw__SlotEndKind kinds[] = {
		[COORD_CACHE_UNKNOWN] = AW__SLOT_END_KIND__SLOT_UNTOLD,
		[COORD_CACHE_HIT] = AW__SLOT_END_KIND__SLOT_KNEW,
		[COORD_CACHE_MISS] = AW__SLOT_END_KIND__SLOT_DID_NOT_KNOW,
		[COORD_NOT_SENT] = AW__SLOT_END_KIND__SLOT_NOT_SENT,
	};
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__SlotEnd msg = AW__SLOT_END__INIT;
	Aw__ServerLimit limit;

	slot->has_permit = false;
	if (!slot->counted)
		return;
	slot->counted = false;
	slot->awaits_reply = false;
	if (slot->is_local) {
		coord_observe_limit(gw->slots.coord, slot->token,
				    &slot->observed);
		coord_end(gw->slots.coord, slot->token, end);
		return;
	}
	HASH_DEL(gw->slots.queries, slot);
	if (slot->observed.state != LIMIT_UNKNOWN) {
		fill_limit(gw, &slot->observed, &limit);
		msg.limit = &limit;
	}
	msg.token = slot->token;
	msg.end = kinds[end];
	datagram.body_case = AW__DATAGRAM__BODY_SLOT_END;
	datagram.slot_end = &msg;
	gossip_send(gw->gossip, slot->coordinator, &datagram);
}

/*
 * A request that was denied is not counted by the coordinator. One that did not
 * wait for the reply is never denied.
 */
static void apply_permit(struct gw *gw, struct gw_slot *slot,
			 const struct coord_reply *reply)
{
	struct gw_instance *coordinator;

	switch (reply->permit) {
	case COORD_PERMIT_UNSUPPORTED:
		coordinator = find_instance(&gw->slots, slot->coordinator);
		if (coordinator)
			coordinator->no_permits_until_ms =
				gw_now_ms(gw) + NO_PERMITS_MS;
		break;
	case COORD_PERMIT_GRANTED:
		slot->has_permit = true;
		break;
	case COORD_PERMIT_DENIED:
		if (!slot->awaits_reply)
			break;
		HASH_DEL(gw->slots.queries, slot);
		slot->counted = false;
		break;
	}
}

static void receive_reply(struct gw *gw, const Aw__SlotTold *msg)
{
	struct coord_reply reply = { .in_flight = msg->running,
				     .cached = msg->knows,
				     .retry_ms = msg->retry_ms };
	struct gw_slot *slot;

	HASH_FIND(hh, gw->slots.queries, &msg->token, sizeof(msg->token), slot);
	if (!slot)
		return;
	if (msg->limit)
		reply.permit = msg->denied ? COORD_PERMIT_DENIED :
					     COORD_PERMIT_GRANTED;
	read_limit(gw, msg->limit, &reply.limit);
	slot->reply_due_ms = 0;
	apply_permit(gw, slot, &reply);
	gw_request_on_slot_reply(slot, &reply);
}

/* ---- replies as a coordinator ---- */

static enum coord_end_result end_from_message(Aw__SlotEndKind kind)
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

static void receive_query(struct gw *gw, const char *from,
			  const Aw__SlotAsk *msg)
{
	struct coord_query query = { .token = msg->token,
				     .server = msg->server,
				     .upstream = msg->upstream,
				     .has_object = msg->has_object,
				     .object = msg->object,
				     .left_ms = msg->left_ms,
				     .supports_limits = msg->limit != NULL,
				     .is_sent = msg->sent };
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	Aw__SlotTold reply_msg = AW__SLOT_TOLD__INIT;
	struct coord_reply reply;
	Aw__ServerLimit limit;

	read_limit(gw, msg->limit, &query.limit);
	/* The querying instance goes on without a reply. */
	if (coord_query(gw->slots.coord, &query, &reply)) {
		gw_count(gw, "slots_not_told", "memory");
		return;
	}
	reply_msg.token = msg->token;
	reply_msg.running = reply.in_flight;
	reply_msg.knows = reply.cached;
	reply_msg.denied = reply.permit == COORD_PERMIT_DENIED;
	reply_msg.retry_ms = reply.retry_ms;
	fill_limit(gw, &reply.limit, &limit);
	reply_msg.limit = &limit;
	datagram.body_case = AW__DATAGRAM__BODY_SLOT_TOLD;
	datagram.slot_told = &reply_msg;
	gossip_send(gw->gossip, from, &datagram);
}

static void receive_end(struct gw *gw, const Aw__SlotEnd *msg)
{
	struct limit observed;

	read_limit(gw, msg->limit, &observed);
	coord_observe_limit(gw->slots.coord, msg->token, &observed);
	coord_end(gw->slots.coord, msg->token, end_from_message(msg->end));
}

void gw_slots_datagram(void *arg, const char *from,
		       const Aw__Datagram *datagram)
{
	struct gw *gw = arg;

	switch (datagram->body_case) {
	case AW__DATAGRAM__BODY_SLOT_ASK:
		receive_query(gw, from, datagram->slot_ask);
		break;
	case AW__DATAGRAM__BODY_SLOT_TOLD:
		receive_reply(gw, datagram->slot_told);
		break;
	case AW__DATAGRAM__BODY_SLOT_END:
		receive_end(gw, datagram->slot_end);
		break;
	case AW__DATAGRAM__BODY_CRASH_NEWS:
		gw_crash_receive(gw, datagram->crash_news);
		break;
	default:
		gw_count(gw, "datagrams_ignored", "unexpected");
		break;
	}
}

/* ---- timeouts ---- */

static void skip_coordinator(struct gw *gw, const struct gw_slot *slot)
{
	struct gw_instance *at = find_instance(&gw->slots, slot->coordinator);

	gw_count(gw, "slots_untold", slot->awaits_reply ? "waits" : "tells");
	if (at)
		at->skip_until_ms = gw_now_ms(gw) + SKIP_MS;
}

void gw_slots_tick(struct gw *gw)
{
	struct gw_slot *slot;
	bool resumed = true;

	/*
	 * A resumed request may send a query or finish others, which changes
	 * the table, so the search starts again.
	 */
	while (resumed) {
		resumed = false;
		for (slot = gw->slots.queries; slot; slot = slot->hh.next) {
			if (!slot->reply_due_ms ||
			    gw_now_ms(gw) < slot->reply_due_ms)
				continue;
			slot->reply_due_ms = 0;
			skip_coordinator(gw, slot);
			resumed = slot->awaits_reply;
			if (resumed) {
				gw_request_on_slot_reply(slot, NULL);
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
