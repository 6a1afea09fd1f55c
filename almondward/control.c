#include "control_cluster.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "log.h"

#define TICK_MS 10
#define SNAPSHOT_ENTRIES 20000 /* log entries between snapshots */
/* A complete configuration of 1,400 routes takes about 0.5 MB. The largest log
 * is four times this, see raft_snapshot.c, a quarter of the 256 MB of a small
 * control machine. */
#define SNAPSHOT_LOG_BYTES ((uint64_t)16 << 20)
#define STOP_PROPOSALS_MS 1000 /* from the stop request, for proposals */
#define STOP_HANDOVER_MS 3000 /* from the stop request, for the handover */
/*
 * A replaced voter waits for its removal until this time before the end of the
 * period of grace.
 */
#define STOP_MARGIN_MS 1000
#define STOP_SEND_MS 100 /* then, for sending queued messages */
#define STEPS_MAX 64 /* drain steps proposed at once */
#define NOTIFY_INTERVAL_MS 20 /* one notification for several changes */

#define OPERATOR_BODY_BYTES_MAX ((size_t)8 * 1024 * 1024)
#define OPERATOR_CONNECTIONS_MAX 256
#define OPERATOR_IDLE_TIMEOUT_MS 60000
#define OPERATOR_HEAD_TIMEOUT_MS 15000
#define OPERATOR_BODY_TIMEOUT_MS 15000

void ctl_count(struct ctl *ctl, const char *name, const char *label)
{
	ctr_add(ctr_get(ctl->counters, name, label), 1);
}

void ctl_fail(struct ctl *ctl, const char *cause)
{
	if (ctl->failed)
		return;
	log_error("control", "%s; exiting", cause);
	ctl->failed = true;
	loop_stop(ctl->loop);
}

void ctl_raft_error(struct ctl *ctl, enum raft_error err)
{
	switch (err) {
	case RAFT_OK:
	case RAFT_ERR_NOT_LEADER:
		return;
	case RAFT_ERR_FAILED:
		ctl_fail(ctl, "the store in the data directory failed");
		return;
	case RAFT_ERR_MEMORY:
		ctl_count(ctl, "raft_errors", "memory");
		return;
	case RAFT_ERR_STORE:
		ctl_count(ctl, "raft_errors", "store");
		return;
	case RAFT_ERR_MESSAGE:
		ctl_count(ctl, "raft_errors", "message");
		return;
	}
}

void ctl_flush_soon(struct ctl *ctl)
{
	loop_timer_set(ctl->flush_timer, 0);
}

static void flush(void *arg)
{
	struct ctl *ctl = arg;

	if (!ctl->failed)
		ctl_raft_error(ctl, raft_flush(ctl->raft));
}

/* ---- leadership ---- */

static void end_leadership(struct ctl *ctl)
{
	ctl->leadership_lost = false;
	if (ctl->soft) {
		log_info("control", "leadership of term %llu ended",
			 (unsigned long long)ctl->soft_term);
		ctl->next_table_version = soft_table_version(ctl->soft) + 1;
		soft_destroy(ctl->soft);
		ctl->soft = NULL;
	}
	ctl_proposals_abandon(ctl);
}

static void begin_leadership(struct ctl *ctl)
{
	uint64_t term = raft_term(ctl->raft);

	ctl->soft = soft_create(ctl->clk, term, ctl->next_table_version,
				ctl->counters);
	if (!ctl->soft || soft_load_handover(ctl->soft, &ctl->handover)) {
		soft_destroy(ctl->soft);
		ctl->soft = NULL;
		ctl_fail(ctl, "out of memory for the leader state");
		return;
	}
	if (!ctl->cluster)
		ctl_quarantine_restore(ctl, soft_quarantine(ctl->soft));
	buf_release(&ctl->handover.state);
	ctl->handover.term = 0;
	ctl->soft_term = term;
	ctl->steps_pending = 0;
	ctl->last_steps_ms = clk_now_ms(ctl->clk);
	ctl_count(ctl, "leaderships", "");
	log_info("control", "became leader in term %llu",
		 (unsigned long long)term);
}

/*
 * The soft state is kept when the lease expires and is renewed within the same
 * term: it could not be renewed if a later term had a leader.
 */
bool ctl_leads(struct ctl *ctl)
{
	if (ctl->failed)
		return false;
	if (ctl->leadership_lost ||
	    (ctl->soft && ctl->soft_term != raft_term(ctl->raft)))
		end_leadership(ctl);
	if (!raft_is_leader(ctl->raft))
		return false;
	if (!ctl->soft)
		begin_leadership(ctl);
	return ctl->soft != NULL;
}

/*
 * Updates the cached copy of the state for entry instances.
 */
static int refresh_state(struct ctl *ctl)
{
	uint64_t version = fleet_state_version(ctl->fleet);
	struct buf packed = BUF_INIT;
	Aw__FleetState *state = NULL;

	if (ctl->state && ctl->state_version == version)
		return 0;
	if (!fleet_pack_for_entry(ctl->fleet, &packed))
		state = aw__fleet_state__unpack(NULL, packed.len_bytes,
						packed.data);
	buf_release(&packed);
	if (!state)
		return -1;
	if (ctl->state)
		aw__fleet_state__free_unpacked(ctl->state, NULL);
	ctl->state = state;
	ctl->state_version = version;
	return 0;
}

int ctl_fill_view(struct ctl *ctl, struct soft_view *view)
{
	memset(view, 0, sizeof(*view));
	if (refresh_state(ctl))
		return -1;
	view->config = fleet_config(ctl->fleet);
	view->drains = fleet_drains(ctl->fleet, &view->nr_drains);
	view->state_version = ctl->state_version;
	view->state = ctl->state;
	return 0;
}

/* ---- drains ---- */

static void step_done(void *arg, Aw__ProposeStatus status,
		      const Aw__OpResult *result)
{
	struct ctl *ctl = arg;

	if (ctl->steps_pending)
		ctl->steps_pending--;
	ctl->last_steps_ms = clk_now_ms(ctl->clk);
	if (status == AW__PROPOSE_STATUS__PROPOSE_APPLIED &&
	    result->code == AW__OP_CODE__OP_DONE)
		ctl_count(ctl, "drain_steps", "");
	else
		ctl_count(ctl, "drain_steps_failed", "");
}

static void propose_step(struct ctl *ctl, const struct soft_step *step)
{
	Aw__OpDrainStep body = AW__OP_DRAIN_STEP__INIT;
	Aw__Op op = AW__OP__INIT;

	body.name = (char *)step->name;
	body.share_permille = step->share_permille;
	op.body_case = AW__OP__BODY_DRAIN_STEP;
	op.drain_step = &body;
	ctl->steps_pending++;
	if (ctl_propose(ctl, &op, 0, step_done, ctl) !=
	    AW__PROPOSE_STATUS__PROPOSE_APPLIED)
		ctl->steps_pending--;
}

/*
 * The interval between rounds starts when the steps are committed, so that two
 * steps do not follow each other closely after a slow commit.
 */
static void propose_due_steps(struct ctl *ctl)
{
	struct soft_step steps[STEPS_MAX];
	struct soft_view view;
	size_t nr, i;

	if (ctl->steps_pending ||
	    clk_now_ms(ctl->clk) < ctl->last_steps_ms + DRAIN_STEP_MS)
		return;
	ctl->last_steps_ms = clk_now_ms(ctl->clk);
	if (ctl_fill_view(ctl, &view) ||
	    soft_due_steps(ctl->soft, &view, steps, STEPS_MAX, &nr)) {
		ctl_fail(ctl, "out of memory for the leader state");
		return;
	}
	for (i = 0; i < nr; i++)
		propose_step(ctl, &steps[i]);
}

/* ---- peers ---- */

static void link_up(void *arg, struct peer_link *link)
{
	struct ctl_link *state = calloc(1, sizeof(*state));
	struct ctl *ctl = arg;

	if (!state) {
		ctl_fail(ctl, "out of memory for a connection");
		return;
	}
	state->link = link;
	/* The newest connection to a peer is found first and used. */
	DL_PREPEND(ctl->links, state);
	if (ctl->cluster)
		ctl_cluster_link_up(ctl, link);
}

static void link_down(void *arg, struct peer_link *link)
{
	struct ctl *ctl = arg;
	struct ctl_link *state, *next;

	ctl_propose_link_down(ctl, link);
	DL_FOREACH_SAFE(ctl->links, state, next)
	{
		if (state->link != link)
			continue;
		if (ctl->cluster)
			ctl_cluster_link_down(ctl, state);
		DL_DELETE(ctl->links, state);
		free(state);
	}
}

static void on_raft(struct ctl *ctl, struct peer_link *link,
		    const Aw__RaftMessage *msg)
{
	if (peer_link_role(link) != AW__ROLE__ROLE_CONTROL) {
		ctl_count(ctl, "frames_refused", "raft");
		return;
	}
	ctl_raft_error(ctl, raft_receive(ctl->raft, peer_link_name(link), msg));
	ctl_flush_soon(ctl);
}

static bool is_report_allowed(struct ctl *ctl, struct peer_link *link,
			      const Aw__Report *report)
{
	if (peer_link_role(link) == AW__ROLE__ROLE_ENTRY && report->instance &&
	    !strcmp(report->instance->name, peer_link_name(link)) &&
	    report->instance_incarnation == peer_link_incarnation(link))
		return true;
	ctl_count(ctl, "reports_ignored", "not_allowed");
	return false;
}

static void on_report(struct ctl *ctl, struct peer_link *link,
		      const Aw__Report *report)
{
	Aw__Frame frame = AW__FRAME__INIT;
	const Aw__Grant *grant;
	struct soft_view view;

	if (!is_report_allowed(ctl, link, report))
		return;
	if (!ctl_leads(ctl)) {
		ctl_count(ctl, "reports_ignored", "not_leader");
		return;
	}
	if (ctl_fill_view(ctl, &view) ||
	    soft_handle_report(ctl->soft, &view, report, &grant)) {
		ctl_fail(ctl, "out of memory for the leader state");
		return;
	}
	if (!grant)
		return;
	/* The lease may have expired in the meantime. */
	if (!raft_is_leader(ctl->raft)) {
		ctl_count(ctl, "reports_ignored", "not_leader");
		return;
	}
	frame.body_case = AW__FRAME__BODY_GRANT;
	frame.grant = (Aw__Grant *)grant;
	if (peer_send(link, &frame))
		ctl_count(ctl, "send_failed", "grant");
}

/*
 * Asks entry instances to report at once when the state or the table has
 * changed: a withdrawn key, a quarantined request or a leaving server should
 * not wait for the next periodic Report.
 */
static void notify_entry_instances(struct ctl *ctl)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	uint64_t state_version = fleet_state_version(ctl->fleet);
	uint64_t table_version = soft_table_version(ctl->soft);
	Aw__Frame frame = AW__FRAME__INIT;
	Aw__Grant grant = AW__GRANT__INIT;
	struct ctl_link *state;

	if (ctl->notified_state_version == state_version &&
	    ctl->notified_table_version == table_version)
		return;
	if (now_ms < ctl->notified_ms + NOTIFY_INTERVAL_MS)
		return;
	ctl->notified_ms = now_ms;
	ctl->notified_state_version = state_version;
	ctl->notified_table_version = table_version;
	grant.term = ctl->soft_term;
	frame.body_case = AW__FRAME__BODY_GRANT;
	frame.grant = &grant;
	DL_FOREACH(ctl->links, state)
	{
		if (peer_link_role(state->link) != AW__ROLE__ROLE_ENTRY)
			continue;
		if (peer_send(state->link, &frame))
			ctl_count(ctl, "send_failed", "news");
	}
	ctl_count(ctl, "news", "");
}

static void on_frame(void *arg, struct peer_link *link, const Aw__Frame *frame)
{
	struct ctl *ctl = arg;

	if (ctl->failed ||
	    (ctl->cluster && ctl_cluster_on_frame(ctl, link, frame)))
		return;
	switch (frame->body_case) {
	case AW__FRAME__BODY_RAFT:
		on_raft(ctl, link, frame->raft);
		break;
	case AW__FRAME__BODY_REPORT:
		on_report(ctl, link, frame->report);
		break;
	case AW__FRAME__BODY_PROPOSE:
		ctl_on_propose(ctl, link, frame->propose);
		break;
	default:
		ctl_count(ctl, "frames_refused", "unexpected");
		break;
	}
}

static void on_ping(void *arg, struct peer_link *link, const Aw__Ping *ping)
{
	struct ctl *ctl = arg;

	(void)link;
	if (ctl->cluster)
		ctl_cluster_on_ping(ctl, ping);
}

static const struct peer_ops peer_ops = {
	.up = link_up,
	.down = link_down,
	.frame = on_frame,
	.ping = on_ping,
};

/* ---- periodic work and stop ---- */

/*
 * Waits for pending proposals, then hands over leadership, waits until it is no
 * voter if it has been replaced, sends queued messages and stops the event
 * loop. Each phase is limited in time.
 */
static void continue_stop(struct ctl *ctl, bool leads)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);

	if (leads && !ctl->stepped_down) {
		if (ctl->proposals &&
		    now_ms < ctl->stop_requested_ms + STOP_PROPOSALS_MS)
			return;
		log_info("control", "handing over leadership");
		raft_step_down(ctl->raft);
		ctl->stepped_down = true;
		ctl_flush_soon(ctl);
		return;
	}
	if (leads && now_ms < ctl->stop_requested_ms + STOP_HANDOVER_MS)
		return;
	if (!ctl->exit_ms && raft_awaits_removal(ctl->raft) &&
	    now_ms + STOP_MARGIN_MS <
		    ctl->stop_requested_ms +
			    ctl->settings->cluster.bounds.grace_ms)
		return;
	if (!ctl->exit_ms) {
		if (leads)
			log_warn("control",
				 "stopping without a successor as leader");
		ctl_proposals_abandon(ctl);
		ctl->exit_ms = now_ms + STOP_SEND_MS;
	}
	if (now_ms >= ctl->exit_ms)
		loop_stop(ctl->loop);
}

static void set_gauges(struct ctl *ctl, bool leads)
{
	ctr_set_value(ctr_get(ctl->counters, "leads", ""), leads ? 1 : 0);
	ctr_set_value(ctr_get(ctl->counters, "commit_index", ""),
		      raft_commit_index(ctl->raft));
	ctr_set_value(ctr_get(ctl->counters, "claims", ""),
		      fleet_nr_claims(ctl->fleet));
}

/*
 * Announces this instance as the leader only once it accepts Reports: it does
 * not reply to earlier ones, and entry instances would wait for the replies.
 */
static void announce_leader(struct ctl *ctl, bool leads)
{
	const char *leader = raft_leader(ctl->raft);

	if (!leads && !strcmp(leader, ctl->self))
		leader = "";
	peer_node_set_leader(ctl->peers, leader, raft_term(ctl->raft));
}

static void tick(void *arg)
{
	struct ctl *ctl = arg;
	bool leads;

	if (ctl->failed)
		return;
	loop_timer_set(ctl->tick_timer, TICK_MS);
	ctl_raft_error(ctl, raft_tick(ctl->raft));
	ctl_flush_soon(ctl);
	leads = ctl_leads(ctl);
	announce_leader(ctl, leads);
	ctl_proposals_expire(ctl);
	set_gauges(ctl, leads);
	if (ctl->cluster)
		ctl_cluster_tick(ctl, leads);
	else if (leads)
		ctl_quarantine_sync_records(ctl, soft_quarantine(ctl->soft));
	if (leads)
		notify_entry_instances(ctl);
	if (ctl->stop_requested_ms)
		continue_stop(ctl, leads);
	else if (leads)
		propose_due_steps(ctl);
}

static void on_stop(void *arg)
{
	struct ctl *ctl = arg;

	if (ctl->stop_requested_ms)
		return;
	log_info("control", "stopping");
	ctl->stop_requested_ms = clk_now_ms(ctl->clk);
	raft_set_stopping(ctl->raft);
	if (ctl->cluster)
		ctl_cluster_stop(ctl);
	else
		http_server_drain(ctl->http, true);
}

/* ---- start ---- */

static int open_state(struct ctl *ctl)
{
	const char *names[SET_CONTROLS_MAX];
	struct raft_settings raft = { 0 };
	char text[512];
	size_t i;

	if (store_open(ctl->settings->data_dir, NULL, &ctl->store, text,
		       sizeof(text))) {
		log_error("control", "%s", text);
		return -1;
	}
	ctl->fleet = fleet_create();
	if (!ctl->fleet)
		return -1;
	for (i = 0; i < ctl->settings->nr_controls; i++)
		names[i] = ctl->settings->controls[i].name;
	raft.name = ctl->self;
	raft.controls = names;
	raft.nr_controls = ctl->settings->nr_controls;
	raft.clk = ctl->clk;
	raft.store = ctl->store;
	randombytes_buf(&raft.seed, sizeof(raft.seed));
	raft.snapshot_entries = SNAPSHOT_ENTRIES;
	raft.snapshot_log_bytes = SNAPSHOT_LOG_BYTES;
	if (ctl->cluster) {
		uint32_t failures = ctl->settings->cluster.failures;

		raft.zone = ctl->settings->zone;
		raft.nr_voters_min = failures ? 2 * failures + 1 : 0;
		raft.replaced_voter_removal_ms =
			CLUSTER_REMOVE_REPLACED_VOTER_MS;
		raft.silent_voter_removal_ms = CLUSTER_REMOVE_SILENT_VOTER_MS;
	}
	ctl->raft = raft_create(&raft, &ctl_raft_ops, ctl);
	return ctl->raft ? 0 : -1;
}

static int open_peers(struct ctl *ctl)
{
	const struct set_settings *from = ctl->settings;
	struct peer_settings peer = { 0 };
	size_t i;

	peer.name = ctl->self;
	peer.role = AW__ROLE__ROLE_CONTROL;
	peer.zone = from->zone;
	peer.incarnation = store_incarnation(ctl->store);
	peer.secret = from->cluster_secret;
	peer.secret_bytes = from->cluster_secret_bytes;
	peer.listen_address = ctl->cluster ? ctl->self : from->listen_peers;
	peer.counters = ctl->counters;
	if (peer_node_create(ctl->loop, &peer, &peer_ops, ctl, &ctl->peers)) {
		log_error("control", "cannot listen on %s",
			  peer.listen_address);
		return -1;
	}
	for (i = 0; i < from->nr_controls; i++)
		if (strcmp(from->controls[i].name, from->name) != 0 &&
		    peer_node_add(ctl->peers, from->controls[i].name,
				  from->controls[i].address)) {
			log_error("control", "cannot connect to %s",
				  from->controls[i].address);
			return -1;
		}
	return 0;
}

static int open_http(struct ctl *ctl)
{
	struct http_server_settings http = {
		.address = ctl->settings->listen_operators,
		.body_max_bytes = OPERATOR_BODY_BYTES_MAX,
		.body_memory_bytes = 4 * OPERATOR_BODY_BYTES_MAX,
		.connections_max = OPERATOR_CONNECTIONS_MAX,
		.idle_timeout_ms = OPERATOR_IDLE_TIMEOUT_MS,
		.head_timeout_ms = OPERATOR_HEAD_TIMEOUT_MS,
		.body_timeout_ms = OPERATOR_BODY_TIMEOUT_MS,
		.counters = ctl->counters,
	};

	if (!http_server_create(ctl->loop, &http, ctl_on_request, ctl,
				&ctl->http))
		return 0;
	log_error("control", "cannot listen on %s", http.address);
	return -1;
}

static int open_cluster(struct ctl *ctl)
{
	event_init(ctl->clk, ctl->settings->name);
	event_log(EVENT_START, "role=control zone=%s bootstrap=%s",
		  ctl->settings->zone,
		  ctl->settings->cluster.bootstrap ? "true" : "false");
	if (ctl_cluster_create(ctl, ctl->adapter))
		return -1;
	ctl->self = ctl->cluster->self;
	return ctl_cluster_bootstrap(ctl);
}

static int open_all(struct ctl *ctl)
{
	const char *connect_from = ctl->settings->cluster.connect_from;

	if (sodium_init() < 0)
		return -1;
	ctl->self = ctl->settings->name;
	ctl->clk = clk_create_system();
	ctl->counters = ctr_set_create();
	if (!ctl->clk || !ctl->counters)
		return -1;
	ctl->loop = loop_create(ctl->clk);
	if (!ctl->loop)
		return -1;
	if (*connect_from && loop_set_source(ctl->loop, connect_from)) {
		log_error("control", "cannot connect from %s: %s", connect_from,
			  strerror(errno));
		return -1;
	}
	ctl->tick_timer = loop_timer_create(ctl->loop, tick, ctl);
	ctl->flush_timer = loop_timer_create(ctl->loop, flush, ctl);
	if (!ctl->tick_timer || !ctl->flush_timer ||
	    (ctl->settings->cluster.enabled && open_cluster(ctl)) ||
	    open_state(ctl) || open_peers(ctl) ||
	    (ctl->cluster ? ctl_cluster_open(ctl) : open_http(ctl)))
		return -1;
	if (ctl->cluster &&
	    loop_on_reload_signal(ctl->loop, ctl_cluster_reload, ctl))
		return -1;
	return loop_on_stop_signal(ctl->loop, on_stop, ctl) ? -1 : 0;
}

static void drop_proposals(struct ctl *ctl)
{
	struct ctl_peer_proposal *peer_proposal;
	struct ctl_proposal *proposal;

	while ((proposal = ctl->proposals)) {
		HASH_DEL(ctl->proposals, proposal);
		free(proposal);
	}
	while ((peer_proposal = ctl->peer_proposals)) {
		DL_DELETE(ctl->peer_proposals, peer_proposal);
		free(peer_proposal);
	}
	ctl_http_drop_changes(ctl);
}

static void close_all(struct ctl *ctl)
{
	struct ctl_link *state;

	/* No replies are sent any more: the outcomes are unknown. */
	drop_proposals(ctl);
	if (ctl->http)
		http_server_destroy(ctl->http);
	if (ctl->peers)
		peer_node_destroy(ctl->peers);
	while ((state = ctl->links)) {
		DL_DELETE(ctl->links, state);
		free(state);
	}
	ctl_cluster_destroy(ctl);
	soft_destroy(ctl->soft);
	buf_release(&ctl->handover.state);
	if (ctl->raft)
		raft_destroy(ctl->raft);
	if (ctl->fleet)
		fleet_destroy(ctl->fleet);
	if (ctl->store)
		store_close(ctl->store);
	if (ctl->state)
		aw__fleet_state__free_unpacked(ctl->state, NULL);
	if (ctl->tick_timer)
		loop_timer_destroy(ctl->tick_timer);
	if (ctl->flush_timer)
		loop_timer_destroy(ctl->flush_timer);
	if (ctl->loop)
		loop_destroy(ctl->loop);
	ctr_set_destroy(ctl->counters);
	clk_destroy(ctl->clk);
}

int ctl_run(const struct set_settings *settings,
	    const struct svc_adapter *adapter)
{
	struct ctl ctl = { .settings = settings, .adapter = adapter };
	int status = 1;

	log_set_level(settings->log_level);
	if (!open_all(&ctl) && !ctl.failed) {
		log_info("control", "%s: peers on %s, operators on %s",
			 settings->name, peer_node_address(ctl.peers),
			 http_server_address(ctl.http ? ctl.http :
							ctl.cluster->control));
		loop_timer_set(ctl.tick_timer, 0);
		loop_run(ctl.loop);
		status = ctl.failed ? 1 : 0;
	}
	close_all(&ctl);
	return status;
}
