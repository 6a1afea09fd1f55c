#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

#define CLEANUP_MS 100

struct agent *agent_create(const struct agent_settings *settings,
			   const struct agent_ops *ops, void *arg)
{
	struct agent *agent = calloc(1, sizeof(*agent));
	struct ctr_set *set = settings->counters;

	if (!agent)
		return NULL;
	snprintf(agent->name, sizeof(agent->name), "%s", settings->name);
	snprintf(agent->zone, sizeof(agent->zone), "%s", settings->zone);
	snprintf(agent->address, sizeof(agent->address), "%s",
		 settings->address);
	agent->incarnation = settings->incarnation;
	agent->clk = settings->clk;
	agent->ops = *ops;
	agent->arg = arg;
	if (set) {
		agent->reports = ctr_get(set, "agent", "reports");
		agent->grants = ctr_get(set, "agent", "grants");
		agent->grants_ignored = ctr_get(set, "agent", "grants_ignored");
		agent->lease_losses = ctr_get(set, "agent", "lease_losses");
		agent->tokens_expired = ctr_get(set, "agent", "tokens_expired");
		agent->tokens_returned =
			ctr_get(set, "agent", "tokens_returned");
		agent->call_resends = ctr_get(set, "agent", "call_resends");
	}
	return agent;
}

void agent_destroy(struct agent *agent)
{
	if (!agent)
		return;
	tokens_destroy(agent);
	slots_destroy(agent);
	servers_destroy(agent);
	crashes_destroy(agent);
	calls_destroy(agent);
	if (agent->instance_table)
		aw__grant__free_unpacked(agent->instance_table, NULL);
	view_destroy(agent->view);
	free(agent);
}

/*
 * Drops the slots if the lease has expired, since the leader may then grant
 * them to others. Must run before a frame is handled, which may have arrived
 * after the expiry.
 */
static void check_lease(struct agent *agent)
{
	if (!agent->lease_held ||
	    clk_now_ms(agent->clk) < agent->lease_until_ms)
		return;
	agent->lease_held = false;
	ctr_add(agent->lease_losses, 1);
	log_warn("agent",
		 "lease expired, last answered report sent %llu ms ago",
		 (unsigned long long)agent_answered_report_age_ms(agent));
	slots_drop_all(agent);
}

bool agent_lease_ok(struct agent *agent)
{
	check_lease(agent);
	return agent->lease_held;
}

const struct view *agent_view(const struct agent *agent)
{
	return agent->view;
}

uint64_t agent_answered_report_age_ms(const struct agent *agent)
{
	return clk_now_ms(agent->clk) - agent->answered_report_sent_ms;
}

const Aw__Instance *const *agent_instances(const struct agent *agent,
					   size_t *nr)
{
	*nr = agent->instance_table ? agent->instance_table->n_instances : 0;
	return *nr ? (const Aw__Instance *const *)
			       agent->instance_table->instances :
		     NULL;
}

void agent_set_leaving(struct agent *agent)
{
	agent->leaving = true;
	agent_report_soon(agent);
}

void agent_report_soon(struct agent *agent)
{
	agent->report_wanted = true;
}

/* ---- leader ---- */

const char *agent_leader(const struct agent *agent)
{
	return agent->leader ? agent->leader->name : "";
}

static struct control *find_control(struct agent *agent, const char *name)
{
	size_t i;

	for (i = 0; i < agent->nr_controls; i++) {
		if (!strcmp(agent->controls[i].name, name))
			return &agent->controls[i];
	}
	if (agent->nr_controls == SET_CONTROLS_MAX)
		return NULL;
	snprintf(agent->controls[i].name, NAME_BYTES_MAX, "%s", name);
	agent->nr_controls++;
	return &agent->controls[i];
}

static void choose_leader(struct agent *agent)
{
	struct control *best = NULL;
	size_t i;

	for (i = 0; i < agent->nr_controls; i++) {
		struct control *control = &agent->controls[i];

		if (control->is_leader && (!best || control->term > best->term))
			best = control;
	}
	if (best == agent->leader)
		return;
	agent->leader = best;
	/* No Grants are expected for reports to the previous leader. */
	agent->nr_unanswered = 0;
	agent->report_wanted = true;
	calls_leader_changed(agent);
	log_info("agent", "leader is \"%s\"", agent_leader(agent));
}

void agent_control_ping(struct agent *agent, const char *control,
			const char *leader, uint64_t term)
{
	struct control *from = find_control(agent, control);

	if (!from)
		return;
	from->is_leader = !strcmp(leader, control);
	from->term = term;
	choose_leader(agent);
}

void agent_control_down(struct agent *agent, const char *control)
{
	struct control *from = find_control(agent, control);

	if (!from)
		return;
	from->is_leader = false;
	choose_leader(agent);
}

/* ---- grants ---- */

/*
 * Finds the unanswered report that a Grant answers, and removes it and those
 * before it.
 */
static bool take_unanswered(struct agent *agent, uint64_t sequence,
			    uint64_t *sent_ms)
{
	size_t i, nr_left = 0;
	bool found = false;

	for (i = 0; i < agent->nr_unanswered; i++) {
		if (agent->unanswered[i].sequence == sequence) {
			*sent_ms = agent->unanswered[i].sent_ms;
			found = true;
		}
	}
	if (!found)
		return false;
	for (i = 0; i < agent->nr_unanswered; i++) {
		if (agent->unanswered[i].sequence > sequence)
			agent->unanswered[nr_left++] = agent->unanswered[i];
	}
	agent->nr_unanswered = nr_left;
	return true;
}

static bool grant_is_newer(const struct agent *agent, const Aw__Grant *grant)
{
	if (grant->term != agent->grant_term)
		return grant->term > agent->grant_term;
	return grant->sequence > agent->grant_sequence;
}

/*
 * Applies the state in the Grant, if there is one. Returns true if the state
 * version that the Grant names is in use now.
 */
static bool apply_state(struct agent *agent, const Aw__Grant *grant)
{
	uint64_t version = view_version(agent->view);
	struct view *view;

	if (grant->state &&
	    (!agent->view || grant->state->state_version > version)) {
		view = view_create(grant->state);
		if (!view)
			return false;
		view_destroy(agent->view);
		agent->view = view;
		version = view_version(view);
	}
	if (!agent->view)
		return false;
	if (version > grant->state_version) {
		log_warn("agent",
			 "state %llu of the leader is older than %llu here",
			 (unsigned long long)grant->state_version,
			 (unsigned long long)version);
		return false;
	}
	return version == grant->state_version;
}

static void apply_instances(struct agent *agent, const Aw__Grant *grant)
{
	Aw__Grant part = AW__GRANT__INIT, *copy;
	uint8_t *packed;
	size_t len_bytes;

	part.instances = grant->instances;
	part.n_instances = grant->n_instances;
	len_bytes = aw__grant__get_packed_size(&part);
	packed = malloc(len_bytes + 1);
	if (!packed)
		return;
	aw__grant__pack(&part, packed);
	copy = aw__grant__unpack(NULL, len_bytes, packed);
	free(packed);
	if (!copy)
		return;
	if (agent->instance_table)
		aw__grant__free_unpacked(agent->instance_table, NULL);
	agent->instance_table = copy;
}

static void apply_table(struct agent *agent, const Aw__Grant *grant)
{
	if (!grant->table_included)
		return;
	apply_instances(agent, grant);
	servers_apply(agent, grant);
	crashes_apply(agent, grant);
	agent->table_version = grant->table_version;
}

static void apply_lease(struct agent *agent, const Aw__Grant *grant,
			uint64_t sent_ms)
{
	uint64_t lease_ms = grant->lease_ms;
	uint64_t until_ms;

	if (lease_ms > FLEET_LEASE_MS)
		lease_ms = FLEET_LEASE_MS;
	until_ms = sent_ms + lease_ms;
	/* Tokens and slots of an expired lease may be granted to others. */
	if (until_ms <= clk_now_ms(agent->clk))
		return;
	if (until_ms > agent->lease_until_ms)
		agent->lease_until_ms = until_ms;
	if (!agent->lease_held)
		log_info("agent", "lease from term %llu",
			 (unsigned long long)grant->term);
	agent->lease_held = true;
	tokens_apply(agent, grant, sent_ms);
	slots_apply(agent, grant);
}

static void update_round_trip(struct agent *agent, uint64_t round_trip_ms)
{
	if (!agent->round_trip_ms)
		agent->round_trip_ms = round_trip_ms;
	agent->round_trip_ms = (agent->round_trip_ms * 3 + round_trip_ms) / 4;
}

static void apply_grant(struct agent *agent, const Aw__Grant *grant)
{
	uint64_t sent_ms = 0;

	/* Not a reply to a report: the leader has changes and requests one. */
	if (!grant->sequence) {
		agent_report_soon(agent);
		agent_flush(agent);
		return;
	}
	if (!grant_is_newer(agent, grant) ||
	    !take_unanswered(agent, grant->sequence, &sent_ms)) {
		ctr_add(agent->grants_ignored, 1);
		return;
	}
	ctr_add(agent->grants, 1);
	if (grant->term != agent->grant_term) {
		log_info("agent", "first grant of term %llu",
			 (unsigned long long)grant->term);
		agent->whole_table_due = true;
		agent->whole_table_sequence = 0;
		agent->table_version = 0;
		agent->report_wanted = true;
	}
	agent->grant_term = grant->term;
	agent->grant_sequence = grant->sequence;
	agent->answered_report_sent_ms = sent_ms;
	update_round_trip(agent, clk_now_ms(agent->clk) - sent_ms);
	if (agent->whole_table_sequence &&
	    agent->whole_table_sequence <= grant->sequence)
		agent->whole_table_due = false;
	servers_confirm(agent, grant->sequence);
	crashes_confirm(agent, grant->sequence);
	apply_table(agent, grant);
	if (apply_state(agent, grant))
		apply_lease(agent, grant, sent_ms);
	if (agent->ops.changed)
		agent->ops.changed(agent->arg);
}

void agent_handle_frame(struct agent *agent, const char *control,
			const Aw__Frame *frame)
{
	check_lease(agent);
	switch (frame->body_case) {
	case AW__FRAME__BODY_GRANT:
		if (!strcmp(control, agent_leader(agent)))
			apply_grant(agent, frame->grant);
		else
			ctr_add(agent->grants_ignored, 1);
		return;
	case AW__FRAME__BODY_PROPOSE_REPLY:
		calls_reply(agent, frame->propose_reply);
		return;
	default:
		log_warn("agent", "unexpected message from \"%s\"", control);
	}
}

/* ---- time ---- */

static void expire_unanswered(struct agent *agent, uint64_t now_ms)
{
	size_t i, nr_left = 0;

	for (i = 0; i < agent->nr_unanswered; i++) {
		if (agent->unanswered[i].sent_ms + REPORT_TIMEOUT_MS > now_ms)
			agent->unanswered[nr_left++] = agent->unanswered[i];
	}
	agent->nr_unanswered = nr_left;
}

static bool tokens_are_wanted(struct agent *agent)
{
	struct bucket *bucket, *next;

	HASH_ITER(hh, agent->buckets, bucket, next)
	{
		if (bucket->waiting && tokens_wanted(agent, bucket) &&
		    !agent_tokens_retry_after_ms(agent, bucket->kind,
						 bucket->key + 1))
			return true;
	}
	return false;
}

static bool demand_is_due(const struct agent *agent, uint64_t now_ms)
{
	return agent->demand_report_wanted &&
	       now_ms >= agent->last_report_ms + DEMAND_REPORT_SPACING_MS;
}

static void report_if_due(struct agent *agent, uint64_t now_ms)
{
	bool periodic = now_ms >= agent->next_report_ms;

	if (!agent->leader || agent->nr_unanswered == REPORTS_UNANSWERED_MAX)
		return;
	if (agent->sequence &&
	    now_ms < agent->last_report_ms + REPORT_SPACING_MS)
		return;
	if (!periodic && !agent->report_wanted &&
	    !demand_is_due(agent, now_ms) && !tokens_are_wanted(agent))
		return;
	if (!agent_send_report(agent, periodic))
		return;
	agent->last_report_ms = now_ms;
	agent->report_wanted = false;
	agent->demand_report_wanted = false;
	if (periodic)
		agent->next_report_ms = now_ms + REPORT_INTERVAL_MS;
}

void agent_flush(struct agent *agent)
{
	report_if_due(agent, clk_now_ms(agent->clk));
}

void agent_tick(struct agent *agent)
{
	uint64_t now_ms = clk_now_ms(agent->clk);

	check_lease(agent);
	expire_unanswered(agent, now_ms);
	if (now_ms >= agent->next_cleanup_ms) {
		agent->next_cleanup_ms = now_ms + CLEANUP_MS;
		tokens_cleanup(agent);
		servers_cleanup(agent);
		crashes_cleanup(agent);
	}
	report_if_due(agent, now_ms);
	calls_tick(agent);
}
