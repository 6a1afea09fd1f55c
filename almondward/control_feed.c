#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "control_cluster.h"
#include "message.h"

/* A new leader refuses subscriptions until it holds its lease. */
#define SUBSCRIBE_RETRY_MS 300
/* Heartbeats are forwarded to the leader in batches. */
#define HEARTBEATS_INTERVAL_MS 100

/* ---- the plan for entry instances ---- */

static void clear_bytes(ProtobufCBinaryData *bytes)
{
	free(bytes->data);
	bytes->data = NULL;
	bytes->len = 0;
}

static void strip_items(Aw__PlanRoute **routes, size_t nr_routes,
			Aw__PlanUpstream **upstreams, size_t nr_upstreams,
			Aw__PlanCustomer **customers, size_t nr_customers,
			Aw__PlanLimits *limits)
{
	size_t i;

	for (i = 0; i < nr_routes; i++)
		clear_bytes(&routes[i]->source);
	for (i = 0; i < nr_upstreams; i++)
		clear_bytes(&upstreams[i]->source);
	for (i = 0; i < nr_customers; i++)
		clear_bytes(&customers[i]->source);
	if (limits)
		clear_bytes(&limits->source);
}

/*
 * Returns a copy of a change without sources, which entry instances do not need
 * and which are most of its bytes.
 */
static Aw__PlanChange *strip_change(const Aw__PlanChange *from)
{
	Aw__PlanChange *change = message_copy(&from->base);
	size_t i;

	if (!change)
		return NULL;
	strip_items(change->routes, change->n_routes, change->upstreams,
		    change->n_upstreams, change->customers, change->n_customers,
		    change->limits);
	clear_bytes(&change->digest);
	for (i = 0; i < change->n_extras; i++)
		clear_bytes(&change->extras[i]->source);
	return change;
}

/*
 * Returns the cached plan without sources, or NULL when memory is exhausted.
 */
static const Aw__Plan *stripped_plan(struct ctl *ctl)
{
	const Aw__Plan *from = plan_message(fleet_plan(ctl->fleet));
	Aw__Plan *plan = ctl->cluster->stripped;

	if (plan && plan->index == from->index)
		return plan;
	message_free(plan);
	plan = message_copy(&from->base);
	ctl->cluster->stripped = plan;
	if (plan)
		strip_items(plan->routes, plan->n_routes, plan->upstreams,
			    plan->n_upstreams, plan->customers,
			    plan->n_customers, plan->limits);
	return plan;
}

static void drop_change(struct ctl_cluster *cluster,
			struct cluster_change *slot)
{
	if (!slot->change)
		return;
	cluster->changes_bytes -= slot->packed_bytes;
	message_free(slot->change);
	slot->change = NULL;
}

/*
 * Drops the oldest changes while all of them together are too large.
 */
static void limit_changes(struct ctl_cluster *cluster)
{
	for (size_t i = 0; i < CLUSTER_CHANGES_MAX &&
			   cluster->changes_bytes > CLUSTER_CHANGES_BYTES_MAX;
	     i++)
		drop_change(cluster,
			    &cluster->changes[(cluster->next_change + i) %
					      CLUSTER_CHANGES_MAX]);
}

void ctl_feed_plan_changed(struct ctl *ctl, const Aw__PlanChange *change,
			   uint64_t index)
{
	struct ctl_cluster *cluster = ctl->cluster;
	struct cluster_change *slot = &cluster->changes[cluster->next_change];

	drop_change(cluster, slot);
	slot->change = strip_change(change);
	slot->base_index = cluster->plan_index;
	if (slot->change) {
		slot->change->index = index;
		slot->packed_bytes =
			aw__plan_change__get_packed_size(slot->change);
		cluster->changes_bytes += slot->packed_bytes;
	}
	cluster->next_change = (cluster->next_change + 1) % CLUSTER_CHANGES_MAX;
	limit_changes(cluster);
	cluster->plan_index = index;
	event_log(EVENT_PLAN, "version=%llu base=%llu index=%llu whole=%s",
		  (unsigned long long)change->version,
		  (unsigned long long)change->base_version,
		  (unsigned long long)index, change->whole ? "true" : "false");
}

/*
 * Adds the changes between two log indexes of the plan to the feed. Returns
 * false if one of them is missing.
 */
static bool collect_changes(const struct ctl_cluster *cluster, uint64_t from,
			    uint64_t to, Aw__Feed *feed,
			    Aw__PlanChange *list[CLUSTER_CHANGES_MAX])
{
	uint64_t reached = from;
	size_t i;

	feed->changes = list;
	for (i = 0; i < CLUSTER_CHANGES_MAX; i++) {
		const struct cluster_change *change =
			&cluster->changes[(cluster->next_change + i) %
					  CLUSTER_CHANGES_MAX];

		if (!change->change || change->base_index != reached)
			continue;
		list[feed->n_changes++] = change->change;
		reached = change->change->index;
	}
	return reached == to;
}

/*
 * Adds what the subscriber lacks of the plan. Returns whether that is anything.
 */
static bool fill_plan(struct ctl *ctl, uint64_t known_index, Aw__Feed *feed,
		      Aw__PlanChange *list[CLUSTER_CHANGES_MAX])
{
	uint64_t index = plan_index(fleet_plan(ctl->fleet));

	feed->plan_index = index;
	if (known_index == index)
		return false;
	if (known_index &&
	    collect_changes(ctl->cluster, known_index, index, feed, list))
		return true;
	feed->n_changes = 0;
	feed->plan = (Aw__Plan *)stripped_plan(ctl);
	return feed->plan != NULL;
}

/* ---- feeds ---- */

static bool fill_lists(struct ctl *ctl, Aw__Feed *feed)
{
	const Aw__Voter *const *voters;
	size_t nr, i;

	feed->lists_included = true;
	feed->evacuated_zones = (char **)fleet_evacuated_zones(
		ctl->fleet, &feed->n_evacuated_zones);
	if (topo_fill_feed_instances(ctl->cluster->topo, feed))
		return false;
	voters = raft_voters(ctl->raft, &nr);
	feed->controls = calloc(nr + 1, sizeof(*feed->controls));
	if (!feed->controls)
		return false;
	for (i = 0; i < nr; i++)
		feed->controls[i] = voters[i]->name;
	feed->n_controls = nr;
	return true;
}

/*
 * Starts a new version of the lists when one of them has changed.
 */
static void update_lists_version(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	uint64_t service_index = fleet_service_index(ctl->fleet);
	uint64_t instances_version = topo_instances_version(cluster->topo);

	if (cluster->seen_service_index == service_index &&
	    cluster->seen_instances_version == instances_version)
		return;
	cluster->seen_service_index = service_index;
	cluster->seen_instances_version = instances_version;
	cluster->lists_version++;
}

/*
 * Sends the subscriber what it lacks. After a failure the next tick tries
 * again.
 */
static void send_feed(struct ctl *ctl, struct ctl_link *subscriber)
{
	struct ctl_cluster *cluster = ctl->cluster;
	bool is_entry =
		peer_link_role(subscriber->link) == AW__ROLE__ROLE_ENTRY;
	Aw__PlanChange *list[CLUSTER_CHANGES_MAX];
	Aw__Frame frame = AW__FRAME__INIT;
	Aw__Feed feed = AW__FEED__INIT;
	bool changed = subscriber->reply_due, failed = false;

	feed.term = cluster->led_term;
	feed.table_version = subscriber->sent_table_version;
	if (is_entry)
		changed |= fill_plan(ctl, subscriber->sent_plan_index, &feed,
				     list);
	if (subscriber->sent_table_version != topo_version(cluster->topo)) {
		failed |= topo_fill_feed(cluster->topo,
					 subscriber->sent_table_version,
					 &feed) != 0;
		changed = true;
	}
	if (subscriber->sent_lists_version != cluster->lists_version) {
		failed |= !fill_lists(ctl, &feed);
		changed = true;
	}
	if (is_entry &&
	    subscriber->sent_quarantines_version != ctl_crashes_version(ctl)) {
		failed |= ctl_crashes_fill_feed(ctl, &feed) != 0;
		changed = true;
	}
	feed.lists_version = feed.lists_included ?
				     cluster->lists_version :
				     subscriber->sent_lists_version;
	feed.quarantines_version = feed.quarantines_included ?
					   ctl_crashes_version(ctl) :
					   subscriber->sent_quarantines_version;
	frame.body_case = AW__FRAME__BODY_FEED;
	frame.feed = &feed;
	if (changed && (failed || peer_send(subscriber->link, &frame))) {
		ctl_count(ctl, "send_failed", "feed");
	} else if (changed) {
		subscriber->reply_due = false;
		subscriber->sent_plan_index = is_entry ? feed.plan_index : 0;
		subscriber->sent_table_version = topo_version(cluster->topo);
		subscriber->sent_lists_version = cluster->lists_version;
		subscriber->sent_quarantines_version = ctl_crashes_version(ctl);
	}
	ctl_crashes_release_feed(&feed);
	free(feed.controls);
	topo_feed_release(&feed);
}

void ctl_feed_tick(struct ctl *ctl)
{
	struct ctl_link *subscriber;

	update_lists_version(ctl);
	/* A leader without a lease may have been replaced. */
	if (!raft_is_leader(ctl->raft))
		return;
	DL_FOREACH(ctl->links, subscriber)
	{
		if (subscriber->subscribed)
			send_feed(ctl, subscriber);
	}
}

void ctl_feed_begin_term(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	struct ctl_link *subscriber;

	topo_become_leader(cluster->topo, cluster->led_term);
	cluster->lists_version++;
	DL_FOREACH(ctl->links, subscriber)
	{
		subscriber->subscribed = false;
	}
}

void ctl_feed_subscribe(struct ctl *ctl, struct ctl_link *subscriber,
			const Aw__Subscribe *subscribe)
{
	struct ctl_cluster *cluster = ctl->cluster;
	bool is_entry =
		peer_link_role(subscriber->link) == AW__ROLE__ROLE_ENTRY;
	bool same_term;

	if (!ctl_leads(ctl) || !cluster->led_term) {
		ctl_count(ctl, "subscriptions_refused", "not_leader");
		return;
	}
	if (is_entry && subscribe->instance &&
	    topo_instance_up(cluster->topo, subscribe->instance,
			     subscribe->instance_incarnation)) {
		ctl_fail(ctl, "out of memory for the list of instances");
		return;
	}
	/*
	 * What was sent over this connection before may have been dropped by
	 * the subscriber, while it knew no leader.
	 */
	same_term = subscribe->known_term == cluster->led_term;
	subscriber->sent_plan_index = subscribe->known_plan_index;
	subscriber->sent_table_version =
		same_term ? subscribe->known_table_version : 0;
	subscriber->sent_lists_version =
		same_term ? subscribe->known_lists_version : 0;
	subscriber->sent_quarantines_version =
		same_term ? subscribe->known_quarantines_version : 0;
	subscriber->subscribed = true;
	subscriber->reply_due = true;
	send_feed(ctl, subscriber);
}

/* ---- rates ---- */

/*
 * Part of the tolerated overage that is added to the limit; the rest covers
 * grants that cross each other in transit.
 */
#define SLACK_PERCENT 60

/*
 * Fills in the limit of a customer. Returns false if it has none.
 */
static bool find_rate_limit(struct ctl *ctl, const char *customer,
			    struct share_limit *limit)
{
	const struct set_bounds *bounds = &ctl->settings->cluster.bounds;
	const Aw__Plan *plan = plan_message(fleet_plan(ctl->fleet));
	uint64_t allowed, slack;
	size_t i;

	for (i = 0; i < plan->n_customers; i++)
		if (!strcmp(plan->customers[i]->name, customer))
			break;
	if (i == plan->n_customers || !plan->customers[i]->rate_milli_per_s)
		return false;
	limit->window_ms = bounds->rate_window_ms;
	allowed = (uint64_t)plan->customers[i]->rate_milli_per_s *
			  limit->window_ms / 1000 +
		  plan->customers[i]->burst_milli;
	slack = allowed * bounds->rate_overage_permille / 1000 +
		bounds->rate_slack_milli;
	limit->requests =
		(uint32_t)((allowed + slack * SLACK_PERCENT / 100) / 1000);
	return true;
}

void ctl_feed_on_rate_report(struct ctl *ctl, struct peer_link *link,
			     const Aw__RateReport *report)
{
	struct ctl_cluster *cluster = ctl->cluster;
	Aw__RateGrant grant = AW__RATE_GRANT__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	struct share_report from = { .instance = peer_link_name(link) };
	struct share_grant granted;
	struct share_limit limit;
	size_t nr_instances, i;

	if (!ctl_leads(ctl) || !cluster->shares)
		return;
	topo_instances(cluster->topo, &nr_instances);
	from.incarnation = report->instance_incarnation;
	from.confirmed = report->granted_term == cluster->led_term &&
			 report->granted_sequence + 1 == report->sequence;
	for (i = 0; i < report->n_shares; i++) {
		Aw__RateShare *share = report->shares[i];

		if (!find_rate_limit(ctl, share->customer, &limit))
			continue;
		from.customer = share->customer;
		from.demand_milli = share->demand_milli_per_s;
		from.held = share->held;
		from.used = share->used;
		from.wanted = share->wanted;
		granted = share_pool_report(cluster->shares, &from, &limit,
					    nr_instances ? nr_instances : 1);
		share->held = granted.held;
		share->tokens = granted.tokens;
	}
	/* The lease may have expired in the meantime. */
	if (!raft_is_leader(ctl->raft))
		return;
	grant.term = cluster->led_term;
	grant.sequence = report->sequence;
	grant.shares = report->shares;
	grant.n_shares = report->n_shares;
	frame.body_case = AW__FRAME__BODY_RATE_GRANT;
	frame.rate_grant = &grant;
	if (peer_send(link, &frame))
		ctl_count(ctl, "send_failed", "rate_grant");
}

/* ---- as a subscriber ---- */

void ctl_feed_receive(struct ctl *ctl, const Aw__Feed *feed)
{
	struct ctl_cluster *cluster = ctl->cluster;

	if (cluster->led_term)
		return;
	cluster->feed_received = true;
	cluster->subscribed_term = feed->term;
	cluster->followed_table_version = feed->table_version;
	cluster->followed_lists_version = feed->lists_version;
	if (topo_apply_feed(cluster->topo, feed))
		ctl_fail(ctl, "out of memory for the table of servers");
}

static void subscribe(struct ctl *ctl, struct peer_link *link)
{
	struct ctl_cluster *cluster = ctl->cluster;
	Aw__Subscribe msg = AW__SUBSCRIBE__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	msg.known_term = cluster->subscribed_term;
	msg.known_table_version = cluster->followed_table_version;
	msg.known_lists_version = cluster->followed_lists_version;
	frame.body_case = AW__FRAME__BODY_SUBSCRIBE;
	frame.subscribe = &msg;
	if (peer_send(link, &frame))
		return;
	cluster->leader_link = link;
	cluster->subscribed_ms = clk_now_ms(ctl->clk);
	cluster->feed_received = false;
}

static void forward_heartbeats(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	uint64_t now_ms = clk_now_ms(ctl->clk);
	Aw__Heartbeats msg = AW__HEARTBEATS__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	size_t i;

	if (!cluster->nr_heartbeats || !cluster->leader_link ||
	    now_ms < cluster->heartbeats_ms + HEARTBEATS_INTERVAL_MS)
		return;
	cluster->heartbeats_ms = now_ms;
	msg.servers = cluster->heartbeats;
	msg.n_servers = cluster->nr_heartbeats;
	frame.body_case = AW__FRAME__BODY_HEARTBEATS;
	frame.heartbeats = &msg;
	if (peer_send(cluster->leader_link, &frame))
		ctl_count(ctl, "send_failed", "heartbeats");
	for (i = 0; i < cluster->nr_heartbeats; i++)
		message_free(cluster->heartbeats[i]);
	cluster->nr_heartbeats = 0;
}

void ctl_feed_follower_tick(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	const char *leader = raft_leader(ctl->raft);
	struct peer_link *link = *leader ? ctl_find_control_link(ctl, leader) :
					   NULL;

	/*
	 * With several connections to the leader, the one in use stays in use.
	 */
	if (cluster->leader_link &&
	    (!*leader ||
	     strcmp(peer_link_name(cluster->leader_link), leader) != 0))
		cluster->leader_link = NULL;
	if (link && !cluster->leader_link)
		subscribe(ctl, link);
	else if (cluster->leader_link && !cluster->feed_received &&
		 clk_now_ms(ctl->clk) >=
			 cluster->subscribed_ms + SUBSCRIBE_RETRY_MS)
		subscribe(ctl, cluster->leader_link);
	forward_heartbeats(ctl);
}
