#include <stdio.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

/*
 * Takes the sender of a message of that term as the leader. *stale is set when
 * the term is over.
 */
enum raft_error raft_follow(struct raft *raft, struct raft_peer *peer,
			    uint64_t term, bool *stale)
{
	enum raft_error error;

	*stale = term < store_term(raft->store);
	if (*stale)
		return RAFT_OK;
	if (term > store_term(raft->store)) {
		error = raft_set_term(raft, term);
		if (error)
			return error;
	}
	if (raft->role == RAFT_LEADER) {
		log_error("raft", "%s: %s leads term %llu too", raft->name,
			  peer->name, (unsigned long long)term);
		return RAFT_ERR_MESSAGE;
	}
	raft_become_follower(raft, peer->name);
	raft->heard_ms = raft_now_ms(raft);
	raft_reset_election(raft);
	return RAFT_OK;
}

static bool is_well_formed(const Aw__RaftAppend *append)
{
	uint64_t index = append->prev_index, term = append->prev_term;

	if (!append->term || !index != !term)
		return false;
	for (size_t i = 0; i < append->n_entries; i++) {
		const Aw__LogEntry *entry = append->entries[i];
		bool voters = entry->kind == AW__ENTRY_KIND__ENTRY_VOTERS;

		if (entry->index != ++index || entry->term < term ||
		    !entry->term || entry->term > append->term)
			return false;
		if (!voters && entry->kind != AW__ENTRY_KIND__ENTRY_OP)
			return false;
		if (voters &&
		    (!entry->n_voters || entry->n_voters > RAFT_VOTERS_MAX))
			return false;
		term = entry->term;
	}
	return true;
}

/*
 * Last index at which the logs may match, given that they differ at
 * prev_index. Skips the whole term that differs; committed entries match.
 */
static uint64_t match_hint(const struct raft *raft, uint64_t prev_index)
{
	uint64_t last_index = store_last_index(raft->store), index, term;

	if (prev_index > last_index)
		return last_index;
	term = store_entry_term(raft->store, prev_index);
	index = prev_index - 1;
	while (index > raft->commit_index &&
	       store_entry_term(raft->store, index) == term)
		index--;
	return index > raft->commit_index ? index : raft->commit_index;
}

static bool matches(const struct raft *raft, uint64_t index, uint64_t term)
{
	/* Entries that a snapshot replaced were committed. */
	if (index + 1 < store_first_index(raft->store))
		return true;
	return !index || store_entry_term(raft->store, index) == term;
}

static enum raft_error cut(struct raft *raft, uint64_t index)
{
	enum raft_error error;

	if (index <= raft->commit_index) {
		log_error("raft", "%s: entry %llu is committed and differs",
			  raft->name, (unsigned long long)index);
		return raft_fail(raft, "committed entry contradicted");
	}
	error = raft_store_error(raft, store_truncate_from(raft->store, index));
	if (error)
		return error;
	raft->synced_index = index - 1;
	if (raft->voters.index >= index && raft_reload_voters(raft))
		return raft_fail(raft, "out of memory");
	return RAFT_OK;
}

/*
 * Adds the entries that are missing. *verified becomes the last index that is
 * known to match and durable, also when the rest could not be added.
 */
static enum raft_error add_entries(struct raft *raft,
				   const Aw__RaftAppend *append,
				   uint64_t *verified)
{
	enum raft_error error;
	size_t nr = 0;

	while (nr < append->n_entries &&
	       matches(raft, append->entries[nr]->index,
		       append->entries[nr]->term))
		nr++;
	*verified = append->prev_index + nr;
	if (nr == append->n_entries)
		return raft_sync(raft);
	if (append->entries[nr]->index <= store_last_index(raft->store)) {
		error = cut(raft, append->entries[nr]->index);
		if (error)
			return error;
	}
	error = raft_store_error(
		raft,
		store_append(raft->store,
			     (const Aw__LogEntry *const *)append->entries + nr,
			     append->n_entries - nr));
	if (error)
		return error;
	error = raft_sync(raft);
	if (error)
		return error;
	for (; nr < append->n_entries; nr++) {
		const Aw__LogEntry *entry = append->entries[nr];

		if (entry->kind == AW__ENTRY_KIND__ENTRY_VOTERS &&
		    raft_voters_copy(&raft->voters, entry->voters,
				     entry->n_voters, entry->index))
			return raft_fail(raft, "out of memory");
	}
	*verified = append->prev_index + append->n_entries;
	return RAFT_OK;
}

static void reply_append(struct raft *raft, struct raft_peer *peer,
			 const Aw__RaftMessage *request, bool success,
			 uint64_t match_index)
{
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftAppendReply reply = AW__RAFT_APPEND_REPLY__INIT;

	reply.term = store_term(raft->store);
	reply.success = success;
	reply.match_index = match_index;
	reply.round = request->append->round;
	msg.body_case = AW__RAFT_MESSAGE__BODY_APPEND_REPLY;
	msg.append_reply = &reply;
	raft_send(raft, peer, request->from_incarnation, &msg);
}

enum raft_error raft_on_append(struct raft *raft, struct raft_peer *peer,
			       const Aw__RaftMessage *msg)
{
	const Aw__RaftAppend *append = msg->append;
	uint64_t verified, commit_index;
	enum raft_error error, applied;
	bool stale;

	if (!is_well_formed(append))
		return RAFT_ERR_MESSAGE;
	error = raft_follow(raft, peer, append->term, &stale);
	if (error)
		return error;
	if (stale) {
		reply_append(raft, peer, msg, false, 0);
		return RAFT_OK;
	}
	if (!matches(raft, append->prev_index, append->prev_term)) {
		reply_append(raft, peer, msg, false,
			     match_hint(raft, append->prev_index));
		return RAFT_OK;
	}
	error = add_entries(raft, append, &verified);
	if (error == RAFT_ERR_FAILED)
		return error;
	/* A full disk stops the entries, not the heartbeat. */
	reply_append(raft, peer, msg, true, verified);
	commit_index = append->commit_index < verified ? append->commit_index :
							 verified;
	if (commit_index <= raft->commit_index)
		return error;
	raft->commit_index = commit_index;
	applied = raft_apply_committed(raft);
	return applied ? applied : error;
}
