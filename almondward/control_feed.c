#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "control_cluster.h"
#include "message.h"

/* A new leader takes subscriptions only once it holds its lease. */
#define SUBSCRIBE_RETRY_MS 300
/* Heartbeats are passed on together. */
#define HEARTBEATS_INTERVAL_MS 100

/* ---- the plan for entry instances ---- */

static void drop_bytes(ProtobufCBinaryData *bytes)
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
		drop_bytes(&routes[i]->source);
	for (i = 0; i < nr_upstreams; i++)
		drop_bytes(&upstreams[i]->source);
	for (i = 0; i < nr_customers; i++)
		drop_bytes(&customers[i]->source);
	if (limits)
		drop_bytes(&limits->source);
}

/*
 * Entry instances need no sources, which are most of the bytes.
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
	drop_bytes(&change->digest);
	for (i = 0; i < change->n_extras; i++)
		drop_bytes(&change->extras[i]->source);
	return change;
}

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

void ctl_feed_changed(struct ctl *ctl, const Aw__PlanChange *change,
		      uint64_t index)
{
	struct ctl_cluster *cluster = ctl->cluster;
	struct cluster_change *slot = &cluster->changes[cluster->changes_at];

	message_free(slot->change);
	slot->change = strip_change(change);
	slot->base_index = cluster->plan_index;
	if (slot->change)
		slot->change->index = index;
	cluster->changes_at = (cluster->changes_at + 1) % CLUSTER_CHANGES_MAX;
	cluster->plan_index = index;
	event_log(EVENT_PLAN, "version=%llu base=%llu index=%llu whole=%s",
		  (unsigned long long)change->version,
		  (unsigned long long)change->base_version,
		  (unsigned long long)index, change->whole ? "true" : "false");
}

/*
 * Collects the changes from an index to the plan; false if one is missing.
 */
static bool collect_changes(const struct ctl_cluster *cluster, uint64_t from,
			    uint64_t to, Aw__Feed *feed,
			    Aw__PlanChange *list[CLUSTER_CHANGES_MAX])
{
	uint64_t reached = from;
	size_t i;

	feed->changes = list;
	for (i = 0; i < CLUSTER_CHANGES_MAX; i++) {
		const struct cluster_change *at =
			&cluster->changes[(cluster->changes_at + i) %
					  CLUSTER_CHANGES_MAX];

		if (!at->change || at->base_index != reached)
			continue;
		list[feed->n_changes++] = at->change;
		reached = at->change->index;
	}
	return reached == to;
}

static bool fill_plan(struct ctl *ctl, uint64_t known, Aw__Feed *feed,
		      Aw__PlanChange *list[CLUSTER_CHANGES_MAX])
{
	uint64_t index = plan_index(fleet_plan(ctl->fleet));

	feed->plan_index = index;
	if (known == index)
		return false;
	if (known && collect_changes(ctl->cluster, known, index, feed, list))
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
	if (topo_feed_instances(ctl->cluster->topo, feed))
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

static void note_lists(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	uint64_t service = fleet_service_index(ctl->fleet);
	uint64_t instances = topo_instances_version(cluster->topo);

	if (cluster->seen_service_index == service &&
	    cluster->seen_instances == instances)
		return;
	cluster->seen_service_index = service;
	cluster->seen_instances = instances;
	cluster->lists_version++;
}

/*
 * Sends what the subscriber lacks. What could not be sent is tried again.
 */
static void feed_link(struct ctl *ctl, struct ctl_link *at)
{
	struct ctl_cluster *cluster = ctl->cluster;
	bool entry = peer_link_role(at->link) == AW__ROLE__ROLE_ENTRY;
	Aw__PlanChange *list[CLUSTER_CHANGES_MAX];
	Aw__Frame frame = AW__FRAME__INIT;
	Aw__Feed feed = AW__FEED__INIT;
	bool news = false, failed = false;

	feed.term = cluster->led_term;
	feed.table_version = at->fed_table_version;
	if (entry)
		news |= fill_plan(ctl, at->fed_plan_index, &feed, list);
	if (at->fed_table_version != topo_version(cluster->topo)) {
		failed |= topo_feed(cluster->topo, at->fed_table_version,
				    &feed) != 0;
		news = true;
	}
	if (at->fed_lists_version != cluster->lists_version) {
		failed |= !fill_lists(ctl, &feed);
		news = true;
	}
	if (entry && at->fed_quarantines != ctl_crashes_version(ctl)) {
		failed |= ctl_crashes_fill(ctl, &feed) != 0;
		news = true;
	}
	frame.body_case = AW__FRAME__BODY_FEED;
	frame.feed = &feed;
	if (news && (failed || peer_send(at->link, &frame))) {
		ctl_count(ctl, "send_failed", "feed");
	} else if (news) {
		at->fed_plan_index = entry ? feed.plan_index : 0;
		at->fed_table_version = topo_version(cluster->topo);
		at->fed_lists_version = cluster->lists_version;
		at->fed_quarantines = ctl_crashes_version(ctl);
	}
	ctl_crashes_release(&feed);
	free(feed.controls);
	topo_feed_release(&feed);
}

void ctl_feed_tick(struct ctl *ctl)
{
	struct ctl_link *at;

	note_lists(ctl);
	/* A leader without lease may have been replaced. */
	if (!raft_is_leader(ctl->raft))
		return;
	DL_FOREACH(ctl->links, at)
	{
		if (at->subscribed)
			feed_link(ctl, at);
	}
}

void ctl_feed_lead(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	struct ctl_link *at;

	topo_lead(cluster->topo, cluster->led_term);
	cluster->lists_version++;
	DL_FOREACH(ctl->links, at)
	{
		at->subscribed = false;
	}
}

void ctl_feed_subscribe(struct ctl *ctl, struct ctl_link *at,
			const Aw__Subscribe *subscribe)
{
	struct ctl_cluster *cluster = ctl->cluster;
	bool entry = peer_link_role(at->link) == AW__ROLE__ROLE_ENTRY;

	if (!ctl_leads(ctl) || !cluster->led_term) {
		ctl_count(ctl, "subscriptions_refused", "not_leader");
		return;
	}
	if (entry && subscribe->instance &&
	    topo_instance_up(cluster->topo, subscribe->instance,
			     subscribe->instance_incarnation)) {
		ctl_fail(ctl, "no memory for the list of instances");
		return;
	}
	if (!at->subscribed) {
		bool same = subscribe->known_term == cluster->led_term;

		at->fed_plan_index = subscribe->known_plan_index;
		at->fed_table_version = same ? subscribe->known_table_version :
					       0;
		at->fed_lists_version = 0;
		at->fed_quarantines = 0;
	}
	at->subscribed = true;
	feed_link(ctl, at);
}

/* ---- rates ---- */

/* Part of what is borne above the limit that is used; the rest covers grants
 * that cross on their way. */
#define SLACK_PERCENT 60

/*
 * Returns false for a customer without limit.
 */
static bool limit_of(struct ctl *ctl, const char *customer,
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

void ctl_feed_rates(struct ctl *ctl, struct peer_link *link,
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

		if (!limit_of(ctl, share->customer, &limit))
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
	/* The lease may have ended meanwhile. */
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

void ctl_feed_follow(struct ctl *ctl, const Aw__Feed *feed)
{
	struct ctl_cluster *cluster = ctl->cluster;

	if (cluster->led_term)
		return;
	cluster->fed = true;
	cluster->subscribed_term = feed->term;
	cluster->fed_version = feed->table_version;
	if (topo_follow(cluster->topo, feed))
		ctl_fail(ctl, "no memory for the table of servers");
}

static void subscribe(struct ctl *ctl, struct peer_link *link)
{
	struct ctl_cluster *cluster = ctl->cluster;
	Aw__Subscribe msg = AW__SUBSCRIBE__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	msg.known_term = cluster->subscribed_term;
	msg.known_table_version = cluster->fed_version;
	frame.body_case = AW__FRAME__BODY_SUBSCRIBE;
	frame.subscribe = &msg;
	if (peer_send(link, &frame))
		return;
	cluster->leader_link = link;
	cluster->subscribe_ms = clk_now_ms(ctl->clk);
	cluster->fed = false;
}

static void pass_heartbeats_on(struct ctl *ctl)
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
	struct peer_link *link = *leader ? ctl_find_control(ctl, leader) : NULL;

	/* Of several connections to the leader the one in use is kept. */
	if (cluster->leader_link &&
	    (!*leader ||
	     strcmp(peer_link_name(cluster->leader_link), leader) != 0))
		cluster->leader_link = NULL;
	if (link && !cluster->leader_link)
		subscribe(ctl, link);
	else if (cluster->leader_link && !cluster->fed &&
		 clk_now_ms(ctl->clk) >=
			 cluster->subscribe_ms + SUBSCRIBE_RETRY_MS)
		subscribe(ctl, cluster->leader_link);
	pass_heartbeats_on(ctl);
}
