#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

void raft_voters_release(struct raft_voters *voters)
{
	for (size_t i = 0; i < voters->nr; i++)
		aw__voter__free_unpacked(voters->list[i], NULL);
	free(voters->list);
	voters->list = NULL;
	voters->nr = 0;
	voters->index = 0;
}

static Aw__Voter *new_voter(const char *name, uint64_t incarnation)
{
	Aw__Voter *voter = malloc(sizeof(*voter));

	if (!voter)
		return NULL;
	aw__voter__init(voter);
	voter->incarnation = incarnation;
	voter->name = strdup(name);
	if (!voter->name) {
		free(voter);
		return NULL;
	}
	return voter;
}

int raft_voters_copy(struct raft_voters *voters, Aw__Voter *const *list,
		     size_t nr, uint64_t index)
{
	struct raft_voters copy = { NULL, 0, index };

	if (nr > RAFT_VOTERS_MAX)
		return -1;
	copy.list = calloc(nr + 1, sizeof(Aw__Voter *));
	if (!copy.list)
		return -1;
	for (; copy.nr < nr; copy.nr++) {
		copy.list[copy.nr] = new_voter(list[copy.nr]->name,
					       list[copy.nr]->incarnation);
		if (!copy.list[copy.nr]) {
			raft_voters_release(&copy);
			return -1;
		}
	}
	raft_voters_release(voters);
	*voters = copy;
	return 0;
}

int raft_reload_voters(struct raft *raft)
{
	const Aw__Snapshot *snapshot = store_snapshot(raft->store);
	uint64_t first = store_first_index(raft->store);

	for (uint64_t i = store_last_index(raft->store); i >= first; i--) {
		const Aw__LogEntry *entry = store_entry(raft->store, i);

		if (entry->kind == AW__ENTRY_KIND__ENTRY_VOTERS)
			return raft_voters_copy(&raft->voters, entry->voters,
						entry->n_voters, i);
	}
	if (snapshot)
		return raft_voters_copy(&raft->voters, snapshot->voters,
					snapshot->n_voters,
					snapshot->last_index);
	raft_voters_release(&raft->voters);
	return 0;
}

const Aw__Voter *raft_find_voter(const struct raft *raft, const char *name)
{
	for (size_t i = 0; i < raft->voters.nr; i++)
		if (!strcmp(raft->voters.list[i]->name, name))
			return raft->voters.list[i];
	return NULL;
}

static bool is_self(const struct raft *raft, const Aw__Voter *voter)
{
	return voter && !strcmp(voter->name, raft->name) &&
	       voter->incarnation == store_incarnation(raft->store);
}

bool raft_is_voter(const struct raft *raft)
{
	return is_self(raft, raft_find_voter(raft, raft->name));
}

static const struct raft_peer *peer_of_voter(const struct raft *raft,
					     const Aw__Voter *voter)
{
	for (size_t i = 0; i < raft->nr_peers; i++)
		if (!strcmp(raft->peers[i].name, voter->name))
			return &raft->peers[i];
	return NULL;
}

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

uint64_t raft_majority_value(const struct raft *raft,
			     uint64_t (*value)(const struct raft *raft,
					       const struct raft_peer *peer),
			     uint64_t own_value)
{
	uint64_t values[RAFT_VOTERS_MAX] = { 0 };

	if (!raft->voters.nr)
		return 0;
	for (size_t i = 0; i < raft->voters.nr; i++) {
		const Aw__Voter *voter = raft->voters.list[i];
		const struct raft_peer *peer = peer_of_voter(raft, voter);

		/* State of another incarnation does not count for the voter. */
		if (is_self(raft, voter))
			values[i] = own_value;
		else if (peer && peer->incarnation == voter->incarnation)
			values[i] = value(raft, peer);
	}
	qsort(values, raft->voters.nr, sizeof(*values), compare_descending);
	return values[raft->voters.nr / 2];
}

/* ---- automatic membership changes by the leader ---- */

/*
 * Returns true if the peer is running and its log is nearly complete. It is
 * running if it acknowledged a round sent after this incarnation was first
 * seen; a single delayed message of an earlier incarnation does not prove that.
 */
static bool is_caught_up(const struct raft *raft, const struct raft_peer *peer)
{
	return peer->incarnation && peer->acked_ms > peer->first_seen_ms &&
	       !raft_is_silent(raft, peer) &&
	       peer->match_index >= raft->term_start_index &&
	       peer->match_index + RAFT_CAUGHT_UP_ENTRIES >=
		       store_last_index(raft->store);
}

static enum raft_error append_voters(struct raft *raft, Aw__Voter **list,
				     size_t nr)
{
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
	enum raft_error error;

	entry.kind = AW__ENTRY_KIND__ENTRY_VOTERS;
	entry.voters = list;
	entry.n_voters = nr;
	error = raft_append_entry(raft, &entry);
	return error ? error : raft_flush(raft);
}

static enum raft_error remove_voter(struct raft *raft, const Aw__Voter *voter)
{
	Aw__Voter *list[RAFT_VOTERS_MAX];
	size_t nr = 0;

	for (size_t i = 0; i < raft->voters.nr; i++)
		if (raft->voters.list[i] != voter)
			list[nr++] = raft->voters.list[i];
	log_info("raft", "%s: removing voter %s, incarnation %llx", raft->name,
		 voter->name, (unsigned long long)voter->incarnation);
	return append_voters(raft, list, nr);
}

static enum raft_error add_voter(struct raft *raft, struct raft_peer *peer)
{
	Aw__Voter *list[RAFT_VOTERS_MAX];
	Aw__Voter voter = AW__VOTER__INIT;
	size_t nr = raft->voters.nr;

	if (nr == RAFT_VOTERS_MAX)
		return RAFT_OK;
	for (size_t i = 0; i < nr; i++)
		list[i] = raft->voters.list[i];
	voter.name = peer->name;
	voter.incarnation = peer->incarnation;
	list[nr++] = &voter;
	log_info("raft", "%s: adding voter %s, incarnation %llx", raft->name,
		 peer->name, (unsigned long long)peer->incarnation);
	return append_voters(raft, list, nr);
}

/*
 * Returns a silent voter to remove, or NULL. An even number of voters indicates
 * that an instance of another name has joined as a replacement, so that the
 * silent voter will not return. The remaining odd number of voters tolerates as
 * many failures as the even number did, and the silent voter no longer counts
 * as one of them. A voter that was only disconnected is added again when it
 * responds.
 */
static const Aw__Voter *find_replaced_voter(const struct raft *raft)
{
	uint64_t now_ms = raft_now_ms(raft);

	if (!raft->silent_voter_removal_ms || raft->voters.nr % 2 ||
	    raft->voters.nr < 4)
		return NULL;
	for (size_t i = 0; i < raft->voters.nr; i++) {
		const Aw__Voter *voter = raft->voters.list[i];
		const struct raft_peer *peer = peer_of_voter(raft, voter);
		uint64_t last_ack_ms = raft->leader_since_ms;

		if (is_self(raft, voter))
			continue;
		if (peer && peer->incarnation == voter->incarnation &&
		    peer->acked_ms > last_ack_ms)
			last_ack_ms = peer->acked_ms;
		if (now_ms >= last_ack_ms + raft->silent_voter_removal_ms)
			return voter;
	}
	return NULL;
}

/*
 * Adds a learner that has caught up, or removes a voter that was replaced or
 * restarted with another incarnation. Makes one change at a time, and only
 * after the previous change and an entry of the current term are committed:
 * otherwise two majorities without a common member could exist.
 */
enum raft_error raft_change_voters(struct raft *raft)
{
	const Aw__Voter *replaced;

	if (!raft_is_leader(raft) || raft->handover_target ||
	    raft->voters.index > raft->commit_index)
		return RAFT_OK;
	for (size_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];
		const Aw__Voter *voter = raft_find_voter(raft, peer->name);

		if (!is_caught_up(raft, peer))
			continue;
		if (!voter)
			return add_voter(raft, peer);
		if (voter->incarnation != peer->incarnation)
			return remove_voter(raft, voter);
	}
	replaced = find_replaced_voter(raft);
	if (replaced)
		return remove_voter(raft, replaced);
	return RAFT_OK;
}
