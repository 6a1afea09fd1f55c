#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

/* ---- taking snapshots ---- */

static bool is_sending_snapshot(const struct raft *raft)
{
	for (size_t i = 0; i < raft->nr_peers; i++)
		if (raft->peers[i].receiving_snapshot &&
		    !raft_is_silent(raft, &raft->peers[i]))
			return true;
	return false;
}

/*
 * Returns whether the applied entries that follow the last snapshot exceed the
 * limit of their number or of their bytes by this factor.
 */
static bool log_is_long(const struct raft *raft, uint32_t factor)
{
	const Aw__Snapshot *last = store_snapshot(raft->store);
	uint64_t nr = raft->applied_index - (last ? last->last_index : 0);
	uint64_t bytes = store_bytes_through(raft->store, raft->applied_index);

	if (!nr)
		return false;
	if (nr / factor >= raft->snapshot_entries)
		return true;
	return raft->snapshot_log_bytes &&
	       bytes / factor >= raft->snapshot_log_bytes &&
	       (!last || bytes / factor >= last->state.len);
}

/*
 * A peer that is receiving a snapshot needs the entries that follow it, so the
 * leader delays its next snapshot, at most until the log is four times as long
 * as usual.
 */
static bool snapshot_is_due(const struct raft *raft)
{
	if (raft_now_ms(raft) < raft->snapshot_retry_ms ||
	    !log_is_long(raft, 1))
		return false;
	return raft->role != RAFT_LEADER || !is_sending_snapshot(raft) ||
	       log_is_long(raft, 4);
}

enum raft_error raft_take_snapshot(struct raft *raft)
{
	Aw__Snapshot snapshot = AW__SNAPSHOT__INIT;
	struct buf state = BUF_INIT;
	enum raft_error error;

	if (!snapshot_is_due(raft))
		return RAFT_OK;
	raft->snapshot_retry_ms = raft_now_ms(raft) + RAFT_SNAPSHOT_RETRY_MS;
	if (raft->ops.save_state(raft->arg, &state)) {
		buf_release(&state);
		log_error("raft", "%s: cannot pack the state for a snapshot",
			  raft->name);
		return RAFT_ERR_MEMORY;
	}
	snapshot.last_index = raft->applied_index;
	snapshot.last_term = store_entry_term(raft->store, raft->applied_index);
	snapshot.voters = raft->applied_voters.list;
	snapshot.n_voters = raft->applied_voters.nr;
	snapshot.former_voters = raft->applied_voters.former;
	snapshot.n_former_voters = raft->applied_voters.nr_former;
	snapshot.state.data = state.data;
	snapshot.state.len = state.len_bytes;
	error = raft_store_error(raft,
				 store_save_snapshot(raft->store, &snapshot));
	buf_release(&state);
	if (!error)
		raft->snapshot_retry_ms = 0;
	return error;
}

/* ---- sending ---- */

static enum raft_error pack_outgoing_snapshot(struct raft *raft)
{
	const Aw__Snapshot *snapshot = store_snapshot(raft->store);
	size_t len_bytes;

	if (raft->outgoing_index == snapshot->last_index)
		return RAFT_OK;
	raft->outgoing_index = 0;
	buf_clear(&raft->outgoing);
	len_bytes = aw__snapshot__get_packed_size(snapshot);
	if (buf_reserve(&raft->outgoing, len_bytes))
		return RAFT_ERR_MEMORY;
	aw__snapshot__pack(snapshot, raft->outgoing.data);
	raft->outgoing.len_bytes = len_bytes;
	raft->outgoing_index = snapshot->last_index;
	/*
	 * The entries that followed an older snapshot have been removed, so
	 * peers that are receiving it start again with this one.
	 */
	for (size_t i = 0; i < raft->nr_peers; i++)
		raft->peers[i].chunk_offset = 0;
	return RAFT_OK;
}

enum raft_error raft_send_snapshot_chunk(struct raft *raft,
					 struct raft_peer *peer, bool with_data)
{
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftSnapshot chunk = AW__RAFT_SNAPSHOT__INIT;
	uint64_t remaining_bytes =
		raft->outgoing.len_bytes - peer->chunk_offset;

	chunk.term = store_term(raft->store);
	chunk.last_index = raft->outgoing_index;
	chunk.offset = peer->chunk_offset;
	chunk.total_bytes = raft->outgoing.len_bytes;
	chunk.round = raft_now_ms(raft);
	if (with_data) {
		chunk.data.data = raft->outgoing.data + peer->chunk_offset;
		chunk.data.len = remaining_bytes < RAFT_CHUNK_BYTES ?
					 remaining_bytes :
					 RAFT_CHUNK_BYTES;
		peer->chunk_sent_ms = chunk.round;
	}
	msg.body_case = AW__RAFT_MESSAGE__BODY_SNAPSHOT;
	msg.snapshot = &chunk;
	raft_send(raft, peer, peer->incarnation, &msg);
	return RAFT_OK;
}

enum raft_error raft_start_snapshot_transfer(struct raft *raft,
					     struct raft_peer *peer)
{
	enum raft_error error = pack_outgoing_snapshot(raft);

	if (error)
		return error;
	peer->receiving_snapshot = true;
	peer->chunk_offset = 0;
	return raft_send_snapshot_chunk(raft, peer, true);
}

enum raft_error raft_on_snapshot_reply(struct raft *raft,
				       struct raft_peer *peer,
				       const Aw__RaftMessage *msg)
{
	const Aw__RaftSnapshotReply *reply = msg->snapshot_reply;
	uint64_t term = store_term(raft->store);

	if (reply->term > term)
		return raft_set_term(raft, reply->term);
	if (raft->role != RAFT_LEADER || reply->term != term ||
	    !raft_record_ack(raft, peer, msg->from_incarnation, reply->round))
		return RAFT_OK;
	if (!peer->receiving_snapshot ||
	    reply->last_index != raft->outgoing_index)
		return RAFT_OK;
	if (reply->received_bytes > raft->outgoing.len_bytes)
		return RAFT_ERR_MESSAGE;
	if (reply->received_bytes == raft->outgoing.len_bytes) {
		peer->receiving_snapshot = false;
		peer->probing = true;
		peer->nr_window = 0;
		if (peer->match_index < reply->last_index)
			peer->match_index = reply->last_index;
		peer->next_index = reply->last_index + 1;
		raft_replicate(raft, peer);
		return RAFT_OK;
	}
	/*
	 * One chunk is in flight at a time. The reply to a heartbeat does not
	 * trigger a retransmission before the chunk is presumed lost.
	 */
	if (reply->received_bytes <= peer->chunk_offset &&
	    raft_now_ms(raft) < peer->chunk_sent_ms + RAFT_CHUNK_RETRY_MS)
		return RAFT_OK;
	peer->chunk_offset = reply->received_bytes;
	return raft_send_snapshot_chunk(raft, peer, true);
}

/* ---- receiving ---- */

static void discard_incoming(struct raft *raft)
{
	buf_release(&raft->incoming);
	raft->incoming_index = 0;
}

static enum raft_error append_chunk(struct raft *raft,
				    const Aw__RaftSnapshot *chunk)
{
	if (!chunk->total_bytes ||
	    chunk->total_bytes > RAFT_SNAPSHOT_BYTES_MAX ||
	    chunk->data.len > chunk->total_bytes ||
	    chunk->offset > chunk->total_bytes - chunk->data.len)
		return RAFT_ERR_MESSAGE;
	if (raft->incoming_index != chunk->last_index ||
	    raft->incoming_term != chunk->term ||
	    raft->incoming_bytes != chunk->total_bytes) {
		discard_incoming(raft);
		raft->incoming_index = chunk->last_index;
		raft->incoming_term = chunk->term;
		raft->incoming_bytes = chunk->total_bytes;
	}
	if (chunk->offset != raft->incoming.len_bytes)
		return RAFT_OK;
	if (buf_append(&raft->incoming, chunk->data.data, chunk->data.len))
		return RAFT_ERR_MEMORY;
	return RAFT_OK;
}

static enum raft_error install_snapshot(struct raft *raft,
					const Aw__Snapshot *snapshot)
{
	enum raft_error error = raft_store_error(
		raft, store_save_snapshot(raft->store, snapshot));

	if (error)
		return error;
	if (raft->ops.load_state(raft->arg, snapshot->last_index,
				 snapshot->state.data, snapshot->state.len))
		return raft_fail(raft, "cannot load the state of a snapshot");
	raft->commit_index = snapshot->last_index;
	raft->applied_index = snapshot->last_index;
	raft->synced_index = store_last_index(raft->store);
	if (raft_voters_copy_snapshot(&raft->applied_voters, snapshot) ||
	    raft_reload_voters(raft))
		return raft_fail(raft, "out of memory");
	log_info("raft", "%s: installed snapshot at index %llu", raft->name,
		 (unsigned long long)snapshot->last_index);
	return RAFT_OK;
}

static enum raft_error install_incoming_snapshot(struct raft *raft)
{
	Aw__Snapshot *snapshot = aw__snapshot__unpack(
		NULL, raft->incoming.len_bytes, raft->incoming.data);
	enum raft_error error = RAFT_ERR_MESSAGE;

	if (snapshot && snapshot->last_index == raft->incoming_index &&
	    snapshot->last_term && snapshot->n_voters &&
	    snapshot->n_voters <= RAFT_VOTERS_MAX) {
		/* Entries appended before must be durable first. */
		error = raft_sync(raft);
		if (!error)
			error = install_snapshot(raft, snapshot);
	}
	if (snapshot)
		aw__snapshot__free_unpacked(snapshot, NULL);
	discard_incoming(raft);
	return error;
}

static void send_snapshot_reply(struct raft *raft, struct raft_peer *peer,
				const Aw__RaftMessage *request,
				uint64_t received_bytes)
{
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftSnapshotReply reply = AW__RAFT_SNAPSHOT_REPLY__INIT;

	reply.term = store_term(raft->store);
	reply.last_index = request->snapshot->last_index;
	reply.received_bytes = received_bytes;
	reply.round = request->snapshot->round;
	msg.body_case = AW__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY;
	msg.snapshot_reply = &reply;
	raft_send(raft, peer, request->from_incarnation, &msg);
}

enum raft_error raft_on_snapshot(struct raft *raft, struct raft_peer *peer,
				 const Aw__RaftMessage *msg)
{
	const Aw__RaftSnapshot *chunk = msg->snapshot;
	enum raft_error error;
	bool stale;

	error = raft_accept_leader(raft, peer, chunk->term, &stale);
	if (error)
		return error;
	if (stale) {
		send_snapshot_reply(raft, peer, msg, 0);
		return RAFT_OK;
	}
	if (chunk->last_index <= raft->commit_index) {
		discard_incoming(raft);
		send_snapshot_reply(raft, peer, msg, chunk->total_bytes);
		return RAFT_OK;
	}
	error = append_chunk(raft, chunk);
	if (error == RAFT_ERR_MESSAGE)
		return error;
	if (!error && raft->incoming.len_bytes == chunk->total_bytes)
		error = install_incoming_snapshot(raft);
	if (error == RAFT_ERR_FAILED)
		return error;
	send_snapshot_reply(raft, peer, msg,
			    raft->commit_index >= chunk->last_index ?
				    chunk->total_bytes :
				    raft->incoming.len_bytes);
	return error;
}
