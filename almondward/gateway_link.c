#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "gateway_internal.h"
#include "log.h"

/*
 * Connections to the control instances. The leader feeds the plan, the servers
 * and the list of instances, and grants shares of the customers' rates.
 */

/* Interval of subscriptions until a feed is received: a new leader accepts them
 * only when it has its lease. */
#define SUBSCRIBE_RETRY_MS 200
/* Tokens for all requests that begin to wait within this time are requested
 * together. */
#define TOKEN_REQUEST_INTERVAL_MS 20
/* A customer with at most IDLE_MILLI_PER_S thousandths of a request per second
 * and no request in the last window is idle and is included only in every
 * IDLE_REPORT_INTERVAL-th periodic report. Its share is valid for
 * SHARE_LIFETIME_MS, which is longer than the time between two of them. */
#define IDLE_MILLI_PER_S 50
#define IDLE_REPORT_INTERVAL 3
/* A control instance that neither the seeds nor another control instance named
 * for this long is given up. */
#define UNLISTED_MAX_MS 30000

static struct gw_control *find_control(struct gw *gw, const char *address)
{
	struct gw_control *at;

	DL_FOREACH(gw->controls, at)
	{
		if (!strcmp(at->address, address))
			return at;
	}
	return NULL;
}

static void add_control(struct gw *gw, const char *address)
{
	struct gw_control *at = find_control(gw, address);

	if (at) {
		at->last_listed_ms = gw_now_ms(gw);
		return;
	}
	at = calloc(1, sizeof(*at));
	if (!at || strlen(address) >= ADDRESS_BYTES_MAX ||
	    peer_node_add(gw->peers, address, address)) {
		log_warn("gateway", "cannot connect to control instance %s",
			 address);
		free(at);
		return;
	}
	snprintf(at->address, sizeof(at->address), "%s", address);
	at->last_listed_ms = gw_now_ms(gw);
	DL_APPEND(gw->controls, at);
}

static void add_seeds(struct gw *gw)
{
	const struct set_cluster *cluster = &gw->settings->cluster;
	char address[ADDRESS_BYTES_MAX];
	size_t i;

	for (i = 0; i < cluster->nr_seeds; i++) {
		set_peer_address(cluster, cluster->seeds[i], address);
		add_control(gw, address);
	}
}

static struct peer_link *find_link(struct gw *gw, const char *name)
{
	struct gw_link *at;

	DL_FOREACH(gw->links, at)
	{
		if (!strcmp(peer_link_name(at->link), name))
			return at->link;
	}
	return NULL;
}

static void fill_instance(const struct gw *gw, Aw__Instance *instance)
{
	aw__instance__init(instance);
	instance->name = (char *)gw->settings->name;
	instance->zone = (char *)gw->settings->zone;
	instance->address = (char *)gw->settings->cluster.listen_callers;
	instance->state = gw->stop_requested_ms ?
				  AW__INSTANCE_STATE__INSTANCE_LEAVING :
				  AW__INSTANCE_STATE__INSTANCE_ACTIVE;
	instance->servers_unreachable = reach_state(gw_reach(gw)) != REACH_OK;
	instance->link_full = gw->net.is_full;
}

static void subscribe(struct gw *gw, struct peer_link *link)
{
	Aw__Subscribe msg = AW__SUBSCRIBE__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	Aw__Instance instance;

	fill_instance(gw, &instance);
	msg.instance = &instance;
	msg.instance_incarnation = gw->incarnation;
	msg.known_plan_index = plan_index(gw->plan);
	msg.known_term = gw->feed_term;
	msg.known_table_version = gw->feed_table_version;
	msg.known_lists_version = gw->feed_lists_version;
	msg.known_quarantines_version = gw->feed_quarantines_version;
	frame.body_case = AW__FRAME__BODY_SUBSCRIBE;
	frame.subscribe = &msg;
	gw->subscribe_ms = gw_now_ms(gw);
	if (peer_send(link, &frame))
		gw_count(gw, "send_failed", "subscribe");
}

void gw_link_announce(struct gw *gw)
{
	if (gw->leader_link)
		subscribe(gw, gw->leader_link);
}

/* ---- feeds ---- */

static int replace_zones(struct gw *gw, const Aw__Feed *feed)
{
	char **zones = calloc(feed->n_evacuated_zones + 1, sizeof(char *));
	size_t i;

	if (!zones)
		return -1;
	for (i = 0; i < feed->n_evacuated_zones; i++) {
		zones[i] = strdup(feed->evacuated_zones[i]);
		if (!zones[i]) {
			while (i)
				free(zones[--i]);
			free(zones);
			return -1;
		}
	}
	for (i = 0; i < gw->nr_evacuated_zones; i++)
		free(gw->evacuated_zones[i]);
	free(gw->evacuated_zones);
	gw->evacuated_zones = zones;
	gw->nr_evacuated_zones = feed->n_evacuated_zones;
	return 0;
}

static int apply_plan(struct gw *gw, const Aw__Feed *feed)
{
	uint64_t index = plan_index(gw->plan);
	size_t i;

	if (feed->plan && plan_replace(gw->plan, feed->plan))
		return -1;
	for (i = 0; i < feed->n_changes; i++)
		if (plan_apply_accepted(gw->plan, feed->changes[i]))
			return -1;
	gw->plan_confirmed_ms = gw_now_ms(gw);
	if (plan_index(gw->plan) == index)
		return 0;
	event_log(EVENT_PLAN, "version=%llu index=%llu term=%llu whole=%s",
		  (unsigned long long)plan_version(gw->plan),
		  (unsigned long long)plan_index(gw->plan),
		  (unsigned long long)feed->term,
		  feed->plan ? "true" : "false");
	gw_plan_changed(gw);
	/* A new customer has almost no share before the next report. */
	gw->report_due = true;
	return 0;
}

static void apply_feed(struct gw *gw, const Aw__Feed *feed)
{
	bool is_first = !gw->has_feed;
	size_t i, nr;

	if (feed->term < gw->feed_term)
		return;
	gw->has_feed = true;
	gw->feed_term = feed->term;
	gw->feed_table_version = feed->table_version;
	gw->feed_lists_version = feed->lists_version;
	gw->feed_quarantines_version = feed->quarantines_version;
	if (apply_plan(gw, feed) || topo_apply_feed(gw->topo, feed) ||
	    (feed->lists_included && replace_zones(gw, feed)) ||
	    steer_sync(gw->steer, gw->topo, gw->plan, gw->evacuated_zones,
		       gw->nr_evacuated_zones) ||
	    (feed->quarantines_included && crs_apply_feed(gw->crs, feed))) {
		gw_fail(gw, "out of memory for the state of the cluster");
		return;
	}
	for (i = 0; i < feed->n_controls; i++)
		add_control(gw, feed->controls[i]);
	for (i = 0; i < feed->n_servers; i++)
		gw_crash_server_started(gw, feed->servers[i]);
	if (is_first)
		crs_report_again(gw->crs);
	gw_crash_report(gw);
	topo_instances(gw->topo, &nr);
	if (feed->n_servers || feed->n_removed_servers || feed->lists_included)
		event_log(EVENT_SERVER,
			  "term=%llu table=%llu servers=%zu changed=%zu "
			  "removed=%zu instances=%zu evacuated=%zu",
			  (unsigned long long)feed->term,
			  (unsigned long long)feed->table_version,
			  topo_nr_servers(gw->topo), feed->n_servers,
			  feed->n_removed_servers, nr, gw->nr_evacuated_zones);
}

/* ---- rates ---- */

static void apply_grant(struct gw *gw, const Aw__RateGrant *grant)
{
	struct share_grant granted;
	struct gw_customer *at;
	size_t i;

	if (grant->term != gw->leader_term ||
	    (grant->term == gw->granted_term &&
	     grant->sequence <= gw->granted_sequence))
		return;
	gw->granted_sequence = grant->sequence;
	gw->granted_term = grant->term;
	for (i = 0; i < grant->n_shares; i++) {
		const Aw__RateShare *share = grant->shares[i];

		HASH_FIND_STR(gw->customers, share->customer, at);
		if (!at)
			continue;
		granted.held = share->held;
		share_bucket_grant(&at->bucket, &granted, gw->last_report_ms);
		gw_request_grant_tokens(at, share->tokens, share->wanted);
	}
}

/*
 * Returns whether the report includes the customer. Idle customers are in every
 * third periodic report only: most instances get requests of only a few of a
 * hundred customers. A new leader gets all customers, as it knows none of their
 * shares yet.
 */
static bool report_includes(const struct gw *gw, struct gw_customer *at,
			    bool is_periodic)
{
	/* A report would renew a share that the leader does not know. */
	if (!at->planned)
		return false;
	if (at->nr_token_requests < at->nr_waiting)
		return true;
	return is_periodic &&
	       ((gw->nr_periodic_reports + at->report_phase) %
				IDLE_REPORT_INTERVAL ==
			0 ||
		gw->granted_term != gw->leader_term || /* new leader */
		at->bucket.has_no_grant ||
		share_bucket_used(&at->bucket, gw->last_token_request_ms) ||
		share_bucket_demand(&at->bucket, gw->last_token_request_ms) >
			IDLE_MILLI_PER_S);
}

/*
 * Reports the demand for each customer and requests tokens. A periodic report
 * covers all customers, though idle ones not every time; one in between covers
 * only those with waiting requests whose token was not requested yet.
 */
static void send_report(struct gw *gw, bool is_periodic)
{
	size_t nr = HASH_COUNT(gw->customers), i = 0;
	Aw__RateReport msg = AW__RATE_REPORT__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	struct gw_customer *at, *next;
	Aw__RateShare *shares, **list;
	Aw__Instance instance;

	gw->tokens_needed = false;
	gw->last_token_request_ms = gw_now_ms(gw);
	if (is_periodic) {
		gw->last_report_ms = gw->last_token_request_ms;
		gw->report_due = false;
		gw->nr_periodic_reports++;
	}
	shares = calloc(nr + 1, sizeof(*shares));
	list = calloc(nr + 1, sizeof(Aw__RateShare *));
	if (!shares || !list)
		goto out;
	HASH_ITER(hh, gw->customers, at, next)
	{
		if (!report_includes(gw, at, is_periodic))
			continue;
		aw__rate_share__init(&shares[i]);
		shares[i].customer = at->name;
		shares[i].demand_milli_per_s = share_bucket_demand(
			&at->bucket, gw->last_token_request_ms);
		shares[i].wanted = at->nr_waiting - at->nr_token_requests;
		at->nr_token_requests = at->nr_waiting;
		shares[i].held = at->bucket.held;
		shares[i].used = share_bucket_used(&at->bucket,
						   gw->last_token_request_ms);
		list[i] = &shares[i];
		i++;
	}
	fill_instance(gw, &instance);
	msg.instance = &instance;
	msg.instance_incarnation = gw->incarnation;
	msg.sequence = ++gw->report_sequence;
	msg.granted_sequence = gw->granted_sequence;
	msg.granted_term = gw->granted_term;
	msg.shares = list;
	msg.n_shares = i;
	frame.body_case = AW__FRAME__BODY_RATE_REPORT;
	frame.rate_report = &msg;
	if (peer_send(gw->leader_link, &frame))
		gw_count(gw, "send_failed", "rate_report");
out:
	free(shares);
	free(list);
}

/* ---- peers ---- */

static void set_leader(struct gw *gw, const char *leader, uint64_t term)
{
	if (term < gw->leader_term ||
	    (term == gw->leader_term && (!*leader || *gw->leader)))
		return;
	if (!*leader)
		return;
	snprintf(gw->leader, sizeof(gw->leader), "%s", leader);
	gw->leader_term = term;
	gw->leader_link = NULL;
	gw->has_feed = false;
	event_log(EVENT_LEADER, "outcome=found leader=%s term=%llu", leader,
		  (unsigned long long)term);
}

static void follow_leader(struct gw *gw)
{
	struct peer_link *link;

	if (!*gw->leader)
		return;
	if (gw->leader_link) {
		if (!gw->has_feed &&
		    gw_now_ms(gw) >= gw->subscribe_ms + SUBSCRIBE_RETRY_MS)
			subscribe(gw, gw->leader_link);
		return;
	}
	link = find_link(gw, gw->leader);
	if (!link)
		return;
	gw->leader_link = link;
	gw->has_feed = false;
	subscribe(gw, link);
}

static void on_up(void *arg, struct peer_link *link)
{
	struct gw_link *at = calloc(1, sizeof(*at));
	struct gw *gw = arg;

	if (!at) {
		gw_fail(gw, "out of memory for a connection");
		return;
	}
	at->link = link;
	DL_PREPEND(gw->links, at);
	event_log(EVENT_DEPENDENCY, "peer=%s role=control outcome=regained",
		  peer_link_name(link));
	/* The shortest round trip must be known before the link is busy. */
	if (peer_probe(link))
		gw_count(gw, "send_failed", "probe");
	follow_leader(gw);
}

static void on_down(void *arg, struct peer_link *link)
{
	struct gw_link *at, *next;
	struct gw *gw = arg;

	DL_FOREACH_SAFE(gw->links, at, next)
	{
		if (at->link != link)
			continue;
		DL_DELETE(gw->links, at);
		free(at);
	}
	if (gw->leader_link == link)
		gw->leader_link = NULL;
	delay_reset_probes(&gw->net.delay);
	event_log(EVENT_DEPENDENCY, "peer=%s role=control outcome=lost",
		  peer_link_name(link));
}

static void on_frame(void *arg, struct peer_link *link, const Aw__Frame *frame)
{
	struct gw *gw = arg;

	/* An earlier leader may still send feeds and grants. */
	if (gw->failed || link != gw->leader_link) {
		gw_count(gw, "frames_ignored", "not_leader");
		return;
	}
	switch (frame->body_case) {
	case AW__FRAME__BODY_FEED:
		apply_feed(gw, frame->feed);
		break;
	case AW__FRAME__BODY_RATE_GRANT:
		apply_grant(gw, frame->rate_grant);
		break;
	default:
		gw_count(gw, "frames_ignored", "unexpected");
		break;
	}
}

static void on_ping(void *arg, struct peer_link *link, const Aw__Ping *ping)
{
	struct gw *gw = arg;
	size_t i;

	for (i = 0; i < ping->n_controls; i++)
		add_control(gw, ping->controls[i]);
	/* Only an instance that names itself is certain to be the leader. */
	if (!strcmp(ping->leader, peer_link_name(link)))
		set_leader(gw, ping->leader, ping->term);
	if (link == gw->leader_link && gw->has_feed)
		gw->plan_confirmed_ms = gw_now_ms(gw);
	follow_leader(gw);
}

static void on_probed(void *arg, struct peer_link *link, uint32_t round_trip_ms)
{
	struct gw *gw = arg;
	struct gw_control *control = find_control(gw, peer_link_name(link));

	if (control)
		delay_add(&gw->net.delay, &control->path, round_trip_ms,
			  gw_now_ms(gw));
}

void gw_link_probe(struct gw *gw)
{
	struct gw_link *at = gw->links;
	const struct gw_control *control;

	if (!at)
		return;
	/* The next probe takes another link. */
	DL_DELETE(gw->links, at);
	DL_APPEND(gw->links, at);
	control = find_control(gw, peer_link_name(at->link));
	if (peer_probe(at->link))
		gw_count(gw, "send_failed", "probe");
	else if (control && control->path.is_known)
		delay_probe_sent(&gw->net.delay, &control->path, gw_now_ms(gw));
}

int gw_link_open(struct gw *gw)
{
	static const struct peer_ops ops = { .up = on_up,
					     .down = on_down,
					     .frame = on_frame,
					     .ping = on_ping,
					     .probed = on_probed };
	struct peer_settings peer = { 0 };

	peer.name = gw->settings->name;
	peer.role = AW__ROLE__ROLE_ENTRY;
	peer.zone = gw->settings->zone;
	peer.incarnation = gw->incarnation;
	peer.secret = (const uint8_t *)"";
	peer.counters = gw->counters;
	if (peer_node_create(gw->loop, &peer, &ops, gw, &gw->peers))
		return -1;
	add_seeds(gw);
	return 0;
}

static void remove_unlisted(struct gw *gw)
{
	struct gw_control *at, *next;

	DL_FOREACH_SAFE(gw->controls, at, next)
	{
		if (gw_now_ms(gw) < at->last_listed_ms + UNLISTED_MAX_MS ||
		    find_link(gw, at->address))
			continue;
		peer_node_remove(gw->peers, at->address);
		DL_DELETE(gw->controls, at);
		free(at);
	}
}

bool gw_link_can_request_tokens(const struct gw *gw)
{
	return gw->leader_link && gw->has_feed;
}

void gw_link_request_tokens(struct gw *gw)
{
	gw->tokens_needed = true;
	if (gw_now_ms(gw) >=
	    gw->last_token_request_ms + TOKEN_REQUEST_INTERVAL_MS)
		send_report(gw, false);
}

static uint64_t report_interval_ms(const struct gw *gw)
{
	uint64_t interval_ms;
	size_t nr;

	topo_instances(gw->topo, &nr);
	interval_ms = nr * SHARE_REPORT_PER_INSTANCE_MS;
	if (interval_ms < SHARE_REPORT_MS)
		return SHARE_REPORT_MS;
	return interval_ms < SHARE_REPORT_MAX_MS ? interval_ms :
						   SHARE_REPORT_MAX_MS;
}

static bool is_report_due(const struct gw *gw)
{
	return gw->report_due ||
	       gw_now_ms(gw) >= gw->last_report_ms + report_interval_ms(gw);
}

void gw_link_tick(struct gw *gw)
{
	follow_leader(gw);
	if (is_report_due(gw) && gw_link_can_request_tokens(gw))
		send_report(gw, true);
	else if (gw->tokens_needed && gw_link_can_request_tokens(gw) &&
		 gw_now_ms(gw) >=
			 gw->last_token_request_ms + TOKEN_REQUEST_INTERVAL_MS)
		send_report(gw, false);
	/* The seeds never expire: they are the last resort. */
	add_seeds(gw);
	remove_unlisted(gw);
}

void gw_link_close(struct gw *gw)
{
	struct gw_control *control;
	struct gw_link *link;
	size_t i;

	peer_node_destroy(gw->peers);
	while ((link = gw->links)) {
		DL_DELETE(gw->links, link);
		free(link);
	}
	while ((control = gw->controls)) {
		DL_DELETE(gw->controls, control);
		free(control);
	}
	for (i = 0; i < gw->nr_evacuated_zones; i++)
		free(gw->evacuated_zones[i]);
	free(gw->evacuated_zones);
}
