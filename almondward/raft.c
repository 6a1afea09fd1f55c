#include "raft.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

uint64_t raft_now_ms(const struct raft *raft)
{
	return clk_now_ms(raft->clk);
}

enum raft_error raft_fail(struct raft *raft, const char *cause)
{
	log_error("raft", "%s: %s, the process must exit", raft->name, cause);
	raft->failed = true;
	return RAFT_ERR_FAILED;
}

enum raft_error raft_store_error(struct raft *raft, enum store_error error)
{
	switch (error) {
	case STORE_OK:
		raft->disk_full = false;
		return RAFT_OK;
	case STORE_ERR_FULL:
		if (!raft->disk_full)
			log_warn("raft", "%s: the disk is full", raft->name);
		raft->disk_full = true;
		return RAFT_ERR_STORE;
	case STORE_ERR_MEMORY:
		return RAFT_ERR_MEMORY;
	default:
		return raft_fail(raft, "the store failed");
	}
}

struct raft_peer *raft_find_peer(struct raft *raft, const char *name)
{
	for (size_t i = 0; i < raft->nr_peers; i++)
		if (!strcmp(raft->peers[i].name, name))
			return &raft->peers[i];
	return NULL;
}

void raft_send(struct raft *raft, const struct raft_peer *peer,
	       uint64_t to_incarnation, Aw__RaftMessage *msg)
{
	if (raft->failed)
		return;
	msg->from_incarnation = store_incarnation(raft->store);
	msg->to_incarnation = to_incarnation;
	msg->cluster_id = store_cluster_id(raft->store);
	raft->ops.send(raft->arg, peer->name, msg);
}

enum raft_error raft_sync(struct raft *raft)
{
	uint64_t last_index = store_last_index(raft->store);
	enum raft_error error;

	if (raft->synced_index >= last_index)
		return RAFT_OK;
	error = raft_store_error(raft, store_sync(raft->store));
	if (!error)
		raft->synced_index = last_index;
	return error;
}

enum raft_error raft_apply_committed(struct raft *raft)
{
	if (raft->applying)
		return RAFT_OK; /* nested call, the outer loop continues */
	raft->applying = true;
	while (raft->applied_index < raft->commit_index) {
		const Aw__LogEntry *entry =
			store_entry(raft->store, raft->applied_index + 1);

		raft->applied_index++;
		if (entry->kind == AW__ENTRY_KIND__ENTRY_VOTERS &&
		    raft_voters_copy(&raft->applied_voters, entry))
			return raft_fail(raft, "out of memory");
		raft->ops.apply(raft->arg, entry);
	}
	raft->applying = false;
	if (raft->role == RAFT_LEADER && !raft->leadership_reported &&
	    raft->applied_index >= raft->term_start_index) {
		raft->leadership_reported = true;
		raft->ops.leader_changed(raft->arg, true);
	}
	return RAFT_OK;
}

/* ---- create and destroy ---- */

static int load_snapshot(struct raft *raft)
{
	const Aw__Snapshot *snapshot = store_snapshot(raft->store);

	if (!snapshot)
		return 0;
	if (raft->ops.load_state(raft->arg, snapshot->last_index,
				 snapshot->state.data, snapshot->state.len)) {
		log_error("raft", "%s: cannot load the snapshot at index %llu",
			  raft->name, (unsigned long long)snapshot->last_index);
		return -1;
	}
	raft->commit_index = snapshot->last_index;
	raft->applied_index = snapshot->last_index;
	return raft_voters_copy_snapshot(&raft->applied_voters, snapshot);
}

/*
 * Returns a slot for a new peer, if necessary that of the non-voter which
 * acknowledged least recently. Returns NULL if none is free or replaceable.
 */
static struct raft_peer *peer_slot(struct raft *raft)
{
	struct raft_peer *replaceable = NULL;

	if (raft->nr_peers < RAFT_PEERS_MAX)
		return &raft->peers[raft->nr_peers++];
	for (size_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];

		if (peer == raft->handover_target ||
		    raft_find_voter(raft, peer->name))
			continue;
		if (!replaceable || peer->acked_ms < replaceable->acked_ms)
			replaceable = peer;
	}
	return replaceable;
}

void raft_add_peer(struct raft *raft, const char *name)
{
	struct raft_peer *peer;

	if (!strcmp(name, raft->name) || raft_find_peer(raft, name))
		return;
	peer = peer_slot(raft);
	if (!peer)
		return;
	memset(peer, 0, sizeof(*peer));
	snprintf(peer->name, sizeof(peer->name), "%s", name);
	raft_reset_peer(raft, peer, 0);
}

void raft_set_peer_zone(struct raft *raft, const char *name, const char *zone)
{
	struct raft_peer *peer = raft_find_peer(raft, name);

	if (peer)
		snprintf(peer->zone, sizeof(peer->zone), "%s", zone);
}

static void add_initial_peers(struct raft *raft,
			      const struct raft_settings *settings)
{
	for (size_t i = 0; i < settings->nr_controls; i++)
		raft_add_peer(raft, settings->controls[i]);
	for (size_t i = 0; i < raft->voters.nr; i++)
		raft_add_peer(raft, raft->voters.list[i]->name);
}

struct raft *raft_create(const struct raft_settings *settings,
			 const struct raft_ops *ops, void *arg)
{
	struct raft *raft = calloc(1, sizeof(*raft));

	if (!raft)
		return NULL;
	snprintf(raft->name, sizeof(raft->name), "%s", settings->name);
	raft->clk = settings->clk;
	raft->store = settings->store;
	raft->ops = *ops;
	raft->arg = arg;
	raft->snapshot_entries = settings->snapshot_entries;
	raft->snapshot_log_bytes = settings->snapshot_log_bytes;
	snprintf(raft->zone, sizeof(raft->zone), "%s",
		 settings->zone ? settings->zone : "");
	raft->nr_voters_min = settings->nr_voters_min;
	raft->replaced_voter_removal_ms = settings->replaced_voter_removal_ms;
	raft->silent_voter_removal_ms = settings->silent_voter_removal_ms;
	for (size_t i = 0; i < 3; i++)
		raft->random_state[i] =
			(unsigned short)(settings->seed >> (16 * i));
	raft->start_ms = raft_now_ms(raft);
	raft->synced_index = store_last_index(raft->store);
	raft_reset_election(raft);
	if (load_snapshot(raft) || raft_reload_voters(raft)) {
		raft_destroy(raft);
		return NULL;
	}
	add_initial_peers(raft, settings);
	return raft;
}

void raft_destroy(struct raft *raft)
{
	if (!raft)
		return;
	raft_voters_release(&raft->voters);
	raft_voters_release(&raft->applied_voters);
	buf_release(&raft->incoming);
	buf_release(&raft->outgoing);
	free(raft);
}

/* ---- events ---- */

enum raft_error raft_tick(struct raft *raft)
{
	enum raft_error error;

	if (raft->failed)
		return RAFT_ERR_FAILED;
	error = raft->role == RAFT_LEADER ? raft_leader_tick(raft) :
					    raft_election_tick(raft);
	if (error)
		return error;
	return raft_take_snapshot(raft);
}

/*
 * A learner without a cluster id adopts that of the first leader which sends to
 * it.
 */
static enum raft_error adopt_cluster_id(struct raft *raft,
					const Aw__RaftMessage *msg)
{
	log_info("raft", "%s: joining cluster %llx", raft->name,
		 (unsigned long long)msg->cluster_id);
	return raft_store_error(
		raft, store_set_cluster_id(raft->store, msg->cluster_id));
}

static bool is_from_leader(const Aw__RaftMessage *msg)
{
	return msg->body_case == AW__RAFT_MESSAGE__BODY_APPEND ||
	       msg->body_case == AW__RAFT_MESSAGE__BODY_SNAPSHOT;
}

enum raft_error raft_receive(struct raft *raft, const char *from,
			     const Aw__RaftMessage *msg)
{
	struct raft_peer *peer = raft_find_peer(raft, from);
	uint64_t cluster_id = store_cluster_id(raft->store);
	enum raft_error error;

	if (raft->failed)
		return RAFT_ERR_FAILED;
	if (!peer || !msg->from_incarnation || !msg->cluster_id)
		return RAFT_ERR_MESSAGE;
	if (msg->to_incarnation &&
	    msg->to_incarnation != store_incarnation(raft->store))
		return RAFT_OK;
	if (!cluster_id && is_from_leader(msg)) {
		error = adopt_cluster_id(raft, msg);
		if (error)
			return error;
	} else if (msg->cluster_id != cluster_id) {
		return RAFT_OK;
	}
	switch (msg->body_case) {
	case AW__RAFT_MESSAGE__BODY_VOTE:
		return raft_on_vote(raft, peer, msg);
	case AW__RAFT_MESSAGE__BODY_VOTE_REPLY:
		return raft_on_vote_reply(raft, peer, msg);
	case AW__RAFT_MESSAGE__BODY_APPEND:
		return raft_on_append(raft, peer, msg);
	case AW__RAFT_MESSAGE__BODY_APPEND_REPLY:
		return raft_on_append_reply(raft, peer, msg);
	case AW__RAFT_MESSAGE__BODY_SNAPSHOT:
		return raft_on_snapshot(raft, peer, msg);
	case AW__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		return raft_on_snapshot_reply(raft, peer, msg);
	case AW__RAFT_MESSAGE__BODY_STEP_DOWN:
		return raft_on_step_down(raft, peer, msg);
	default:
		return RAFT_ERR_MESSAGE;
	}
}

enum raft_error raft_propose(struct raft *raft, const uint8_t *op,
			     size_t op_bytes, uint64_t *index, uint64_t *term)
{
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
	enum raft_error error;

	if (raft->failed)
		return RAFT_ERR_FAILED;
	if (!op_bytes || op_bytes > RAFT_OP_BYTES_MAX)
		return RAFT_ERR_MESSAGE;
	if (!raft_is_leader(raft) || raft->handover_target)
		return RAFT_ERR_NOT_LEADER;
	entry.kind = AW__ENTRY_KIND__ENTRY_OP;
	entry.op.data = (uint8_t *)op;
	entry.op.len = op_bytes;
	error = raft_append_entry(raft, &entry);
	if (error)
		return error;
	*index = entry.index;
	*term = entry.term;
	return RAFT_OK;
}

/* ---- access ---- */

bool raft_is_leader(const struct raft *raft)
{
	return !raft->failed && raft->role == RAFT_LEADER &&
	       raft->applied_index >= raft->term_start_index &&
	       raft_has_lease(raft);
}

void raft_set_stopping(struct raft *raft)
{
	raft->stopping = true;
}

const char *raft_leader(const struct raft *raft)
{
	return raft->leader;
}

uint64_t raft_term(const struct raft *raft)
{
	return store_term(raft->store);
}

uint64_t raft_commit_index(const struct raft *raft)
{
	return raft->commit_index;
}

uint64_t raft_last_index(const struct raft *raft)
{
	return store_last_index(raft->store);
}

const Aw__Voter *const *raft_voters(const struct raft *raft, size_t *nr)
{
	*nr = raft->voters.nr;
	return (const Aw__Voter *const *)raft->voters.list;
}
