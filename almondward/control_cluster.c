#include "control_cluster.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <utlist.h>

#include "log.h"
#include "message.h"

/* Interval between updates of the connections to control instances. */
#define CONTROLS_INTERVAL_MS 200
#define CONTROLS_MAX RAFT_PEERS_MAX

struct ctl_link *ctl_find_link(struct ctl *ctl, const struct peer_link *link)
{
	struct ctl_link *state;

	DL_FOREACH(ctl->links, state)
	{
		if (state->link == link)
			return state;
	}
	return NULL;
}

/*
 * Until there is a plan, every upstream counts as planned.
 */
static bool is_planned(void *arg, const char *upstream)
{
	const struct ctl *ctl = arg;
	const struct plan *plan = fleet_plan(ctl->fleet);

	return !plan_version(plan) || plan_upstream(plan, upstream);
}

int ctl_cluster_create(struct ctl *ctl, const struct svc_adapter *adapter)
{
	struct ctl_cluster *cluster = calloc(1, sizeof(*cluster));

	ctl->cluster = cluster;
	if (!cluster)
		return -1;
	cluster->adapter = adapter;
	set_peer_address(&ctl->settings->cluster,
			 ctl->settings->cluster.listen_control, cluster->self);
	cluster->topo = topo_create(ctl->clk);
	cluster->zone_orders = zord_create();
	cluster->arrival = arrival_create(ctl->clk);
	cluster->lists_version = 1;
	if (!cluster->topo || !cluster->zone_orders || !cluster->arrival)
		return -1;
	topo_set_planned(cluster->topo, is_planned, ctl);
	return 0;
}

static void drop_heartbeats(struct ctl_cluster *cluster)
{
	size_t i;

	for (i = 0; i < cluster->nr_heartbeats; i++)
		message_free(cluster->heartbeats[i]);
	cluster->nr_heartbeats = 0;
}

void ctl_cluster_destroy(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	size_t i;

	if (!cluster)
		return;
	ctl_service_close(ctl);
	ctl_forward_drop(ctl);
	drop_heartbeats(cluster);
	free(cluster->heartbeats);
	for (i = 0; i < CLUSTER_CHANGES_MAX; i++)
		message_free(cluster->changes[i].change);
	message_free(cluster->stripped);
	share_pool_destroy(cluster->shares);
	quar_destroy(cluster->quar);
	topo_destroy(cluster->topo);
	zord_destroy(cluster->zone_orders);
	arrival_destroy(cluster->arrival);
	while (ctl->controls) {
		struct ctl_control *control = ctl->controls;

		DL_DELETE(ctl->controls, control);
		free(control);
	}
	free(cluster);
	ctl->cluster = NULL;
}

/* ---- bootstrap and discovery of control instances ---- */

/*
 * Returns whether this instance founds the cluster. At the first start all
 * instances have the same seeds, so taking the smallest address selects a
 * single founder without communication.
 */
static bool is_founder(const struct ctl *ctl)
{
	const struct set_cluster *settings = &ctl->settings->cluster;
	char seed[ADDRESS_BYTES_MAX], smallest[ADDRESS_BYTES_MAX] = "";
	size_t i;

	for (i = 0; i < settings->nr_seeds; i++) {
		set_peer_address(settings, settings->seeds[i], seed);
		if (!*smallest || strcmp(seed, smallest) < 0)
			memcpy(smallest, seed, sizeof(smallest));
	}
	return !strcmp(smallest, ctl->cluster->self);
}

/*
 * Creates the data directory and, on the founder, the initial store. A
 * directory that has data is left as it is, because the process was restarted.
 */
int ctl_cluster_bootstrap(struct ctl *ctl)
{
	const char *dir = ctl->settings->data_dir;
	enum store_error error;
	char text[512];

	if (mkdir(dir, 0700) && errno != EEXIST) {
		log_error("control", "cannot create %s: %s", dir,
			  strerror(errno));
		return -1;
	}
	if (!ctl->settings->cluster.bootstrap || !is_founder(ctl))
		return 0;
	error = store_create_cluster(dir, ctl->cluster->self, NULL, text,
				     sizeof(text));
	if (error && error != STORE_ERR_NOT_EMPTY) {
		log_error("control", "%s", text);
		return -1;
	}
	event_log(EVENT_LEADER, "outcome=%s address=%s",
		  error ? "founded_before" : "founded", ctl->cluster->self);
	return 0;
}

/*
 * Adds a control instance, or notes that a known one was listed again. Returns
 * -1 on failure.
 */
static int add_control(struct ctl *ctl, const char *address)
{
	struct ctl_control *control;

	if (!strcmp(address, ctl->cluster->self))
		return 0;
	DL_FOREACH(ctl->controls, control)
	{
		if (!strcmp(control->address, address)) {
			control->last_listed_ms = clk_now_ms(ctl->clk);
			return 0;
		}
	}
	control = calloc(1, sizeof(*control));
	if (!control || strlen(address) >= ADDRESS_BYTES_MAX ||
	    peer_node_add(ctl->peers, address, address)) {
		free(control);
		return -1;
	}
	snprintf(control->address, sizeof(control->address), "%s", address);
	control->last_listed_ms = clk_now_ms(ctl->clk);
	DL_APPEND(ctl->controls, control);
	raft_add_peer(ctl->raft, address);
	return 0;
}

int ctl_cluster_open(struct ctl *ctl)
{
	const struct set_cluster *settings = &ctl->settings->cluster;
	char address[ADDRESS_BYTES_MAX];
	size_t i;

	for (i = 0; i < settings->nr_seeds; i++) {
		set_peer_address(settings, settings->seeds[i], address);
		if (add_control(ctl, address))
			return -1;
	}
	return ctl_service_open(ctl);
}

void ctl_cluster_on_ping(struct ctl *ctl, const Aw__Ping *ping)
{
	size_t i;

	for (i = 0; i < ping->n_controls && i < CONTROLS_MAX; i++)
		if (add_control(ctl, ping->controls[i]))
			ctl_count(ctl, "controls_refused", "");
}

static bool is_seed(const struct ctl *ctl, const char *address)
{
	const struct set_cluster *settings = &ctl->settings->cluster;
	char seed[ADDRESS_BYTES_MAX];
	size_t i;

	for (i = 0; i < settings->nr_seeds; i++) {
		set_peer_address(settings, settings->seeds[i], seed);
		if (!strcmp(seed, address))
			return true;
	}
	return false;
}

/*
 * Time after which an unconnected address that is not a seed is removed, if
 * neither the voter list nor a ping contained it.
 */
#define UNLISTED_MS 20000

static void remove_unlisted(struct ctl *ctl)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	struct ctl_control *control, *next;

	DL_FOREACH_SAFE(ctl->controls, control, next)
	{
		if (now_ms < control->last_listed_ms + UNLISTED_MS ||
		    is_seed(ctl, control->address) ||
		    ctl_find_control_link(ctl, control->address))
			continue;
		peer_node_remove(ctl->peers, control->address);
		DL_DELETE(ctl->controls, control);
		free(control);
	}
}

static void add_raft_peer(struct ctl *ctl, const struct peer_link *link)
{
	const char *name = peer_link_name(link);

	raft_add_peer(ctl->raft, name);
	raft_set_peer_zone(ctl->raft, name, peer_link_zone(link));
}

/*
 * Connects to all voters and sends their addresses to all peers in pings.
 */
static void update_controls(struct ctl *ctl)
{
	const char *names[RAFT_PEERS_MAX];
	const Aw__Voter *const *voters;
	struct ctl_link *state;
	size_t nr, i;

	if (clk_now_ms(ctl->clk) <
	    ctl->cluster->controls_updated_ms + CONTROLS_INTERVAL_MS)
		return;
	ctl->cluster->controls_updated_ms = clk_now_ms(ctl->clk);
	/*
	 * Raft drops peers that are not voters beyond RAFT_PEERS_MAX; connected
	 * ones are added again.
	 */
	DL_FOREACH(ctl->links, state)
	{
		if (peer_link_role(state->link) == AW__ROLE__ROLE_CONTROL)
			add_raft_peer(ctl, state->link);
	}
	voters = raft_voters(ctl->raft, &nr);
	for (i = 0; i < nr && i < RAFT_PEERS_MAX; i++) {
		names[i] = voters[i]->name;
		if (add_control(ctl, names[i]))
			ctl_count(ctl, "controls_refused", "");
	}
	if (peer_node_set_controls(ctl->peers, names, i))
		ctl_count(ctl, "send_failed", "controls");
	remove_unlisted(ctl);
}

/* ---- peers ---- */

void ctl_cluster_link_up(struct ctl *ctl, struct peer_link *link)
{
	if (peer_link_role(link) == AW__ROLE__ROLE_CONTROL)
		add_raft_peer(ctl, link);
	event_log(EVENT_DEPENDENCY, "peer=%s role=%s outcome=regained",
		  peer_link_name(link),
		  peer_link_role(link) == AW__ROLE__ROLE_CONTROL ? "control" :
								   "entry");
}

void ctl_cluster_link_down(struct ctl *ctl, struct ctl_link *state)
{
	struct ctl_cluster *cluster = ctl->cluster;

	if (cluster->leader_link == state->link) {
		cluster->leader_link = NULL;
		cluster->subscribed_term = 0;
	}
	if (state->subscribed &&
	    peer_link_role(state->link) == AW__ROLE__ROLE_ENTRY)
		topo_instance_down(cluster->topo, peer_link_name(state->link),
				   peer_link_incarnation(state->link));
	event_log(EVENT_DEPENDENCY, "peer=%s role=%s outcome=lost",
		  peer_link_name(state->link),
		  peer_link_role(state->link) == AW__ROLE__ROLE_CONTROL ?
			  "control" :
			  "entry");
}

enum topo_heartbeat_result ctl_cluster_heartbeat(struct ctl *ctl,
						 const Aw__Server *server)
{
	struct topo *topo = ctl->cluster->topo;
	const struct topo_server *known = topo_find(topo, server->id);
	bool is_start = !known || known->incarnation < server->incarnation;
	enum topo_heartbeat_result result = topo_heartbeat(topo, server);

	/* One that does not own its address says nothing about its owner. */
	if (result == TOPO_ACCEPTED && is_start)
		ctl_crashes_server_started(ctl, server);
	return result;
}

static void receive_heartbeats(struct ctl *ctl,
			       const Aw__Heartbeats *heartbeats)
{
	size_t i;

	if (!ctl_leads(ctl))
		return;
	for (i = 0; i < heartbeats->n_servers; i++) {
		const Aw__Server *server = heartbeats->servers[i];

		/* From a control instance of another version. */
		if (!topo_is_valid(server) ||
		    fleet_has_departed(ctl->fleet, server->id,
				       server->incarnation))
			continue;
		ctl_cluster_heartbeat(ctl, server);
	}
}

/*
 * Returns false for a frame that does not belong to a seeded cluster.
 */
bool ctl_cluster_on_frame(struct ctl *ctl, struct peer_link *link,
			  const Aw__Frame *frame)
{
	struct ctl_link *state = ctl_find_link(ctl, link);
	bool is_control = peer_link_role(link) == AW__ROLE__ROLE_CONTROL;

	switch (frame->body_case) {
	case AW__FRAME__BODY_SUBSCRIBE:
		if (state)
			ctl_feed_subscribe(ctl, state, frame->subscribe);
		return true;
	case AW__FRAME__BODY_RATE_REPORT:
		ctl_feed_on_rate_report(ctl, link, frame->rate_report);
		return true;
	case AW__FRAME__BODY_CRASH_NEWS:
		ctl_crashes_on_reports(ctl, frame->crash_news);
		return true;
	case AW__FRAME__BODY_FEED:
		if (is_control && link == ctl->cluster->leader_link)
			ctl_feed_receive(ctl, frame->feed);
		return true;
	case AW__FRAME__BODY_HEARTBEATS:
		if (is_control)
			receive_heartbeats(ctl, frame->heartbeats);
		return true;
	case AW__FRAME__BODY_PROPOSE_REPLY:
		ctl_forward_on_reply(ctl, frame->propose_reply);
		return true;
	case AW__FRAME__BODY_READ_INDEX:
		if (is_control)
			ctl_service_on_read_index(ctl, link, frame->read_index);
		return true;
	case AW__FRAME__BODY_READ_INDEX_REPLY:
		ctl_service_on_read_index_reply(ctl, frame->read_index_reply);
		return true;
	default:
		return false;
	}
}

/* ---- applied operations ---- */

static uint32_t cold_ms(void *arg, const char *upstream)
{
	const Aw__PlanUpstream *plan = plan_upstream(arg, upstream);

	return plan ? plan->cold_ms : 0;
}

static void on_zone_applied(struct ctl *ctl, const Aw__OpZone *op)
{
	struct ctl_cluster *cluster = ctl->cluster;

	if (!op->evacuated)
		topo_mark_zone_cold(cluster->topo, op->zone, cold_ms,
				    (void *)fleet_plan(ctl->fleet));
	event_log(EVENT_ZONE, "zone=%s evacuated=%s index=%llu", op->zone,
		  op->evacuated ? "true" : "false",
		  (unsigned long long)fleet_applied_index(ctl->fleet));
}

void ctl_cluster_on_applied(struct ctl *ctl, const Aw__LogEntry *entry,
			    const Aw__Op *op, const Aw__OpResult *result)
{
	struct ctl_cluster *cluster = ctl->cluster;

	if (result->code != AW__OP_CODE__OP_DONE)
		return;
	switch (op->body_case) {
	case AW__OP__BODY_PLAN_CHANGE:
		if (plan_index(fleet_plan(ctl->fleet)) == entry->index)
			ctl_feed_plan_changed(ctl, op->plan_change,
					      entry->index);
		break;
	case AW__OP__BODY_ZONE:
		ctl_orders_recorded(ctl, op, entry->index);
		if (fleet_service_index(ctl->fleet) == entry->index)
			on_zone_applied(ctl, op->zone);
		break;
	case AW__OP__BODY_DEPARTURE:
		topo_leave(cluster->topo, op->departure->server_id,
			   op->departure->incarnation);
		event_log(EVENT_SERVER, "server=%s outcome=leaves index=%llu",
			  op->departure->server_id,
			  (unsigned long long)entry->index);
		break;
	default:
		break;
	}
}

/* ---- leadership and periodic work ---- */

static void begin_term(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	size_t nr_instances;

	if (cluster->led_term == ctl->soft_term)
		return;
	cluster->led_term = ctl->soft_term;
	cluster->leader_link = NULL;
	cluster->subscribed_term = 0;
	drop_heartbeats(cluster);
	share_pool_destroy(cluster->shares);
	topo_instances(cluster->topo, &nr_instances);
	cluster->shares = share_pool_create(ctl->clk, nr_instances > 0);
	if (!cluster->shares || ctl_crashes_begin_term(ctl)) {
		ctl_fail(ctl, "out of memory for the leader state");
		return;
	}
	ctl_feed_begin_term(ctl);
	event_log(EVENT_LEADER, "outcome=leads term=%llu index=%llu",
		  (unsigned long long)ctl->soft_term,
		  (unsigned long long)fleet_applied_index(ctl->fleet));
}

void ctl_cluster_tick(struct ctl *ctl, bool leads)
{
	struct ctl_cluster *cluster = ctl->cluster;

	arrival_turn(cluster->arrival);
	update_controls(ctl);
	ctl_forward_tick(ctl);
	ctl_service_tick(ctl);
	if (leads) {
		begin_term(ctl);
		if (ctl->failed)
			return;
		topo_tick(cluster->topo);
		if (cluster->shares)
			share_pool_tick(cluster->shares);
		ctl_crashes_tick(ctl);
		ctl_feed_tick(ctl);
	} else {
		if (cluster->led_term) {
			event_log(EVENT_LEADER, "outcome=ends term=%llu",
				  (unsigned long long)cluster->led_term);
			cluster->led_term = 0;
		}
		ctl_feed_follower_tick(ctl);
	}
	event_flush();
}

/*
 * Reloads the settings; only changed seeds take effect without a restart.
 */
void ctl_cluster_reload(void *arg)
{
	struct ctl *ctl = arg;
	struct set_settings *settings = malloc(sizeof(*settings));
	char cause[8192] = "out of memory", address[ADDRESS_BYTES_MAX];
	size_t i;

	if (!settings ||
	    set_load(ctl->settings->path, settings, cause, sizeof(cause))) {
		log_warn("control",
			 "reload failed, keeping the old settings: %s", cause);
		event_log(EVENT_RELOAD, "outcome=kept");
		free(settings);
		return;
	}
	for (i = 0; i < settings->cluster.nr_seeds; i++) {
		set_peer_address(&settings->cluster, settings->cluster.seeds[i],
				 address);
		if (add_control(ctl, address))
			ctl_count(ctl, "controls_refused", "");
	}
	event_log(EVENT_RELOAD, "outcome=done seeds=%zu",
		  settings->cluster.nr_seeds);
	free(settings);
}

void ctl_cluster_stop(struct ctl *ctl)
{
	http_server_drain(ctl->cluster->control, true);
	if (ctl->cluster->directory)
		http_server_drain(ctl->cluster->directory, true);
}
