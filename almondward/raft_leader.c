#include <stdio.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

/* ---- lease ---- */

static uint64_t acked_ms(const struct raft *raft, const struct raft_peer *peer)
{
	(void)raft;
	return peer->acked_ms;
}

static uint64_t majority_acked_ms(const struct raft *raft)
{
	return raft_majority_value(raft, acked_ms, raft_now_ms(raft));
}

bool raft_has_lease(const struct raft *raft)
{
	return raft->role == RAFT_LEADER &&
	       raft_now_ms(raft) < majority_acked_ms(raft) + RAFT_LEASE_MS;
}

bool raft_is_silent(const struct raft *raft, const struct raft_peer *peer)
{
	uint64_t last_ack_ms = peer->acked_ms > raft->leader_since_ms ?
				       peer->acked_ms :
				       raft->leader_since_ms;

	return raft_now_ms(raft) >= last_ack_ms + RAFT_LEASE_MS;
}

/* ---- peers ---- */

void raft_reset_peer(struct raft *raft, struct raft_peer *peer,
		     uint64_t incarnation)
{
	peer->incarnation = incarnation;
	peer->first_seen_ms = raft_now_ms(raft);
	peer->match_index = 0;
	peer->next_index = store_last_index(raft->store) + 1;
	peer->acked_ms = 0;
	peer->probing = true;
	peer->nr_window = 0;
	peer->receiving_snapshot = false;
	peer->stopping = false;
}

/*
 * Records the acknowledgement of a round. Returns false for a reply that must
 * be ignored: its round is in the future, or it is from another incarnation
 * while the known one still responds.
 */
bool raft_record_ack(struct raft *raft, struct raft_peer *peer,
		     uint64_t incarnation, uint64_t round)
{
	if (round > raft_now_ms(raft))
		return false;
	if (peer->incarnation != incarnation) {
		if (peer->acked_ms && !raft_is_silent(raft, peer))
			return false;
		raft_reset_peer(raft, peer, incarnation);
	}
	if (round > peer->acked_ms)
		peer->acked_ms = round;
	return true;
}

/* ---- sending ---- */

/*
 * Collects entries from next_index on, up to the limits of a batch, and returns
 * their number.
 */
static size_t collect_entries(const struct raft *raft, uint64_t next_index,
			      Aw__LogEntry **batch)
{
	uint64_t bytes = 0;
	size_t nr = 0;

	while (nr < RAFT_BATCH_ENTRIES_MAX) {
		const Aw__LogEntry *entry =
			store_entry(raft->store, next_index + nr);

		if (!entry)
			break;
		bytes += aw__log_entry__get_packed_size(entry) + 8;
		if (nr && bytes > RAFT_BATCH_BYTES_MAX)
			break;
		/* protobuf-c has no const messages; it only reads this. */
		batch[nr++] = (Aw__LogEntry *)entry;
	}
	return nr;
}

static void send_append(struct raft *raft, struct raft_peer *peer,
			uint64_t prev_index, Aw__LogEntry **batch, size_t nr)
{
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftAppend append = AW__RAFT_APPEND__INIT;
	bool silent = raft_is_silent(raft, peer);

	append.term = store_term(raft->store);
	append.prev_index = prev_index;
	append.prev_term = store_entry_term(raft->store, prev_index);
	append.commit_index = raft->commit_index;
	append.round = raft_now_ms(raft);
	append.entries = batch;
	append.n_entries = nr;
	msg.body_case = AW__RAFT_MESSAGE__BODY_APPEND;
	msg.append = &append;
	/* A silent peer may have restarted with another incarnation. */
	raft_send(raft, peer, silent ? 0 : peer->incarnation, &msg);
}

static void send_heartbeat(struct raft *raft, struct raft_peer *peer)
{
	if (raft_is_silent(raft, peer)) {
		send_append(raft, peer, store_last_index(raft->store), NULL, 0);
		return;
	}
	if (peer->receiving_snapshot) {
		raft_send_snapshot_chunk(raft, peer, false);
		return;
	}
	if (peer->next_index < store_first_index(raft->store)) {
		raft_start_snapshot_transfer(raft, peer);
		return;
	}
	if (peer->probing) {
		peer->nr_window = 0;
		if (peer->next_index <= store_last_index(raft->store)) {
			raft_replicate(raft, peer);
			return;
		}
	}
	send_append(raft, peer, peer->next_index - 1, NULL, 0);
}

/*
 * Sends entries that the peer lacks, as far as the window allows. While
 * probing, at most one message is in flight and next_index does not advance.
 */
void raft_replicate(struct raft *raft, struct raft_peer *peer)
{
	Aw__LogEntry *batch[RAFT_BATCH_ENTRIES_MAX];
	uint64_t last_index = raft->synced_index;

	if (raft_is_silent(raft, peer) || peer->receiving_snapshot)
		return;
	if (peer->next_index < store_first_index(raft->store)) {
		raft_start_snapshot_transfer(raft, peer);
		return;
	}
	while (peer->next_index <= last_index &&
	       peer->nr_window < (peer->probing ? 1 : RAFT_WINDOW)) {
		size_t nr = collect_entries(raft, peer->next_index, batch);

		peer->window[peer->nr_window++] = peer->next_index + nr - 1;
		send_append(raft, peer, peer->next_index - 1, batch, nr);
		if (!peer->probing)
			peer->next_index += nr;
	}
}

static void replicate_all(struct raft *raft)
{
	for (size_t i = 0; i < raft->nr_peers; i++)
		raft_replicate(raft, &raft->peers[i]);
}

/* ---- commit ---- */

static uint64_t match_index(const struct raft *raft,
			    const struct raft_peer *peer)
{
	(void)raft;
	return peer->match_index;
}

/*
 * Commits entries that a majority has. Only entries of the current term are
 * committed by counting replicas; earlier ones are committed along with them.
 */
enum raft_error raft_advance_commit(struct raft *raft)
{
	uint64_t index =
		raft_majority_value(raft, match_index, raft->synced_index);

	if (index <= raft->commit_index || index < raft->term_start_index)
		return RAFT_OK;
	raft->commit_index = index;
	return raft_apply_committed(raft);
}

enum raft_error raft_append_entry(struct raft *raft, Aw__LogEntry *entry)
{
	const Aw__LogEntry *entries[] = { entry };
	enum raft_error error;

	entry->index = store_last_index(raft->store) + 1;
	entry->term = store_term(raft->store);
	error = raft_store_error(raft, store_append(raft->store, entries, 1));
	if (error || entry->kind != AW__ENTRY_KIND__ENTRY_VOTERS)
		return error;
	if (raft_voters_copy(&raft->voters, entry))
		return raft_fail(raft, "out of memory");
	return RAFT_OK;
}

enum raft_error raft_flush(struct raft *raft)
{
	enum raft_error error;

	if (raft->failed)
		return RAFT_ERR_FAILED;
	error = raft_sync(raft);
	if (error || raft->role != RAFT_LEADER)
		return error;
	replicate_all(raft);
	return raft_advance_commit(raft);
}

/* ---- leadership ---- */

static enum raft_error append_noop(struct raft *raft)
{
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
	Aw__Op op = AW__OP__INIT;
	Aw__OpNoop noop = AW__OP_NOOP__INIT;
	uint8_t packed[16];

	op.body_case = AW__OP__BODY_NOOP;
	op.noop = &noop;
	entry.kind = AW__ENTRY_KIND__ENTRY_OP;
	entry.op.data = packed;
	entry.op.len = aw__op__pack(&op, packed);
	return raft_append_entry(raft, &entry);
}

enum raft_error raft_become_leader(struct raft *raft)
{
	enum raft_error error;

	raft->role = RAFT_LEADER;
	snprintf(raft->leader, sizeof(raft->leader), "%s", raft->name);
	raft->leader_since_ms = raft_now_ms(raft);
	raft->next_heartbeat_ms = raft->leader_since_ms + RAFT_HEARTBEAT_MS;
	raft->term_start_index = store_last_index(raft->store) + 1;
	raft->handover_target = NULL;
	for (size_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];
		const Aw__Voter *voter = raft_find_voter(raft, peer->name);

		raft_reset_peer(raft, peer,
				voter ? voter->incarnation : peer->incarnation);
	}
	log_info("raft", "%s: leader of term %llu", raft->name,
		 (unsigned long long)store_term(raft->store));
	error = append_noop(raft);
	if (error) {
		/* Nothing can be committed without an entry of this term. */
		raft_become_follower(raft, "");
		return error;
	}
	return raft_flush(raft);
}

static bool handover_target_is_ready(const struct raft *raft)
{
	uint64_t last_index = store_last_index(raft->store);

	return raft->handover_target->match_index == last_index &&
	       raft->commit_index == last_index;
}

/*
 * Packs the state for the successor. If that fails, the successor starts with
 * the conservative assumptions that hold after a crash of the leader.
 */
static void save_handover(struct raft *raft, struct buf *state)
{
	if (!raft->ops.save_handover)
		return;
	if (raft->ops.save_handover(raft->arg, state) ||
	    state->len_bytes > RAFT_HANDOVER_BYTES_MAX) {
		log_warn("raft", "%s: handing over leadership without state",
			 raft->name);
		buf_clear(state);
	}
}

/*
 * Completes the handover when the target has the whole log, or abandons it, and
 * leadership, at the deadline. The lease is given up before the message is
 * sent, so the target and its voters can hold an election at once.
 */
static void finish_handover(struct raft *raft)
{
	struct raft_peer *peer = raft->handover_target;
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftStepDown step_down = AW__RAFT_STEP_DOWN__INIT;
	bool ready = handover_target_is_ready(raft);
	struct buf state = BUF_INIT;

	if (!ready && raft_now_ms(raft) < raft->handover_deadline_ms)
		return;
	if (ready)
		save_handover(raft, &state);
	raft_become_follower(raft, "");
	if (!ready)
		return;
	step_down.term = store_term(raft->store);
	step_down.handover.data = state.data;
	step_down.handover.len = state.len_bytes;
	msg.body_case = AW__RAFT_MESSAGE__BODY_STEP_DOWN;
	msg.step_down = &step_down;
	raft_send(raft, peer, peer->incarnation, &msg);
	buf_release(&state);
}

/*
 * A successor that is about to exit would cost a second change of leader.
 */
static bool is_better_successor(const struct raft_peer *peer,
				const struct raft_peer *other)
{
	if (peer->stopping != other->stopping)
		return other->stopping;
	return peer->match_index > other->match_index;
}

void raft_step_down(struct raft *raft)
{
	struct raft_peer *target = NULL;

	if (raft->failed || raft->role != RAFT_LEADER || raft->handover_target)
		return;
	for (size_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];
		const Aw__Voter *voter = raft_find_voter(raft, peer->name);

		if (!voter || voter->incarnation != peer->incarnation ||
		    raft_is_silent(raft, peer))
			continue;
		if (!target || is_better_successor(peer, target))
			target = peer;
	}
	if (!target)
		return;
	raft->handover_target = target;
	raft->handover_deadline_ms = raft_now_ms(raft) + RAFT_ELECTION_MIN_MS;
	finish_handover(raft);
}

enum raft_error raft_leader_tick(struct raft *raft)
{
	uint64_t now_ms = raft_now_ms(raft);

	if (!raft_has_lease(raft) &&
	    now_ms >= raft->leader_since_ms + RAFT_ELECTION_MIN_MS) {
		raft_become_follower(raft, "");
		return RAFT_OK;
	}
	if (raft->handover_target) {
		finish_handover(raft);
		if (raft->role != RAFT_LEADER)
			return RAFT_OK;
	}
	if (now_ms >= raft->next_heartbeat_ms) {
		raft->next_heartbeat_ms = now_ms + RAFT_HEARTBEAT_MS;
		for (size_t i = 0; i < raft->nr_peers; i++)
			send_heartbeat(raft, &raft->peers[i]);
	}
	return raft_change_voters(raft);
}

/* ---- replies ---- */

static void remove_acked_from_window(struct raft_peer *peer)
{
	size_t nr = 0;

	while (nr < peer->nr_window && peer->window[nr] <= peer->match_index)
		nr++;
	peer->nr_window -= nr;
	memmove(peer->window, peer->window + nr,
		peer->nr_window * sizeof(*peer->window));
}

static enum raft_error on_append_success(struct raft *raft,
					 struct raft_peer *peer, uint64_t index)
{
	enum raft_error error;

	if (index > store_last_index(raft->store))
		return RAFT_ERR_MESSAGE;
	if (index > peer->match_index)
		peer->match_index = index;
	if (peer->next_index <= peer->match_index)
		peer->next_index = peer->match_index + 1;
	if (peer->probing && index + 1 >= peer->next_index) {
		peer->probing = false;
		peer->nr_window = 0;
	}
	remove_acked_from_window(peer);
	error = raft_advance_commit(raft);
	if (!error && raft->role == RAFT_LEADER)
		raft_replicate(raft, peer);
	return error;
}

/*
 * Steps back to the hint, the last index at which the logs may match, and sends
 * from there. A hint that would not lower next_index belongs to an earlier
 * message and is ignored.
 */
static void on_log_mismatch(struct raft *raft, struct raft_peer *peer,
			    uint64_t hint)
{
	if (hint + 1 >= peer->next_index)
		return;
	peer->next_index = hint + 1;
	peer->probing = true;
	peer->nr_window = 0;
	raft_replicate(raft, peer);
}

enum raft_error raft_on_append_reply(struct raft *raft, struct raft_peer *peer,
				     const Aw__RaftMessage *msg)
{
	const Aw__RaftAppendReply *reply = msg->append_reply;
	uint64_t term = store_term(raft->store);

	if (reply->term > term)
		return raft_set_term(raft, reply->term);
	if (raft->role != RAFT_LEADER || reply->term != term ||
	    !raft_record_ack(raft, peer, msg->from_incarnation, reply->round))
		return RAFT_OK;
	peer->stopping = reply->stopping;
	if (reply->success)
		return on_append_success(raft, peer, reply->match_index);
	on_log_mismatch(raft, peer, reply->match_index);
	return RAFT_OK;
}
