#include <stdio.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

/*
 * Accepts the sender of a message as the leader of its term. Sets *stale, and
 * changes nothing, if this instance's term is later.
 */
enum raft_error raft_accept_leader(struct raft *raft, struct raft_peer *peer,
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
		log_error("raft", "%s: %s is also leader of term %llu",
			  raft->name, peer->name, (unsigned long long)term);
		return RAFT_ERR_MESSAGE;
	}
	raft_become_follower(raft, peer->name);
	raft->leader_contact_ms = raft_now_ms(raft);
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
		    (!entry->n_voters || entry->n_voters > RAFT_VOTERS_MAX ||
		     entry->n_former_voters > RAFT_FORMER_VOTERS_MAX))
			return false;
		term = entry->term;
	}
	return true;
}

/*
 * Returns the last index at which the logs may match, given that they differ
 * at prev_index. Skips all entries of the conflicting term. Committed entries
 * always match.
 */
static uint64_t last_possible_match(const struct raft *raft,
				    uint64_t prev_index)
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

static bool log_matches(const struct raft *raft, uint64_t index, uint64_t term)
{
	/* Entries replaced by a snapshot were committed, so they match. */
	if (index + 1 < store_first_index(raft->store))
		return true;
	return !index || store_entry_term(raft->store, index) == term;
}

static enum raft_error truncate_log(struct raft *raft, uint64_t index)
{
	enum raft_error error;

	if (index <= raft->commit_index) {
		log_error("raft", "%s: leader contradicts committed entry %llu",
			  raft->name, (unsigned long long)index);
		return raft_fail(raft, "conflict with a committed entry");
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
 * Appends the entries that this log lacks and truncates conflicting ones
 * before. Sets *verified_index to the last index that is known to match and to
 * be durable, also if the remaining entries could not be appended.
 */
static enum raft_error append_missing_entries(struct raft *raft,
					      const Aw__RaftAppend *append,
					      uint64_t *verified_index)
{
	enum raft_error error;
	size_t nr = 0;

	while (nr < append->n_entries &&
	       log_matches(raft, append->entries[nr]->index,
			   append->entries[nr]->term))
		nr++;
	*verified_index = append->prev_index + nr;
	if (nr == append->n_entries)
		return raft_sync(raft);
	if (append->entries[nr]->index <= store_last_index(raft->store)) {
		error = truncate_log(raft, append->entries[nr]->index);
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
		    raft_voters_copy(&raft->voters, entry))
			return raft_fail(raft, "out of memory");
	}
	*verified_index = append->prev_index + append->n_entries;
	return RAFT_OK;
}

static void send_append_reply(struct raft *raft, struct raft_peer *peer,
			      const Aw__RaftMessage *request, bool success,
			      uint64_t match_index)
{
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftAppendReply reply = AW__RAFT_APPEND_REPLY__INIT;

	reply.term = store_term(raft->store);
	reply.success = success;
	reply.match_index = match_index;
	reply.round = request->append->round;
	reply.stopping = raft->stopping;
	msg.body_case = AW__RAFT_MESSAGE__BODY_APPEND_REPLY;
	msg.append_reply = &reply;
	raft_send(raft, peer, request->from_incarnation, &msg);
}

enum raft_error raft_on_append(struct raft *raft, struct raft_peer *peer,
			       const Aw__RaftMessage *msg)
{
	const Aw__RaftAppend *append = msg->append;
	uint64_t verified_index, commit_index;
	enum raft_error error, applied;
	bool stale;

	if (!is_well_formed(append))
		return RAFT_ERR_MESSAGE;
	error = raft_accept_leader(raft, peer, append->term, &stale);
	if (error)
		return error;
	if (stale) {
		send_append_reply(raft, peer, msg, false, 0);
		return RAFT_OK;
	}
	if (!log_matches(raft, append->prev_index, append->prev_term)) {
		send_append_reply(
			raft, peer, msg, false,
			last_possible_match(raft, append->prev_index));
		return RAFT_OK;
	}
	error = append_missing_entries(raft, append, &verified_index);
	if (error == RAFT_ERR_FAILED)
		return error;
	/* With a full disk, entries fail but heartbeats are acknowledged. */
	send_append_reply(raft, peer, msg, true, verified_index);
	commit_index = append->commit_index < verified_index ?
			       append->commit_index :
			       verified_index;
	if (commit_index <= raft->commit_index)
		return error;
	raft->commit_index = commit_index;
	applied = raft_apply_committed(raft);
	return applied ? applied : error;
}
