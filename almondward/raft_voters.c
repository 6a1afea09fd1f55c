#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

static void release_list(Aw__Voter **list, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		aw__voter__free_unpacked(list[i], NULL);
	free(list);
}

void raft_voters_release(struct raft_voters *voters)
{
	release_list(voters->list, voters->nr);
	release_list(voters->former, voters->nr_former);
	memset(voters, 0, sizeof(*voters));
}

static Aw__Voter *new_voter(const Aw__Voter *from)
{
	Aw__Voter *voter = malloc(sizeof(*voter));

	if (!voter)
		return NULL;
	aw__voter__init(voter);
	voter->incarnation = from->incarnation;
	voter->joined_index = from->joined_index;
	voter->name = strdup(from->name);
	voter->zone = strdup(from->zone);
	if (!voter->name || !voter->zone) {
		aw__voter__free_unpacked(voter, NULL);
		return NULL;
	}
	return voter;
}

/*
 * Returns a copy of the list, or NULL if memory is exhausted.
 */
static Aw__Voter **copy_list(Aw__Voter *const *list, size_t nr)
{
	Aw__Voter **copy = calloc(nr + 1, sizeof(Aw__Voter *));

	for (size_t i = 0; copy && i < nr; i++) {
		copy[i] = new_voter(list[i]);
		if (!copy[i]) {
			release_list(copy, i);
			return NULL;
		}
	}
	return copy;
}

int raft_voters_copy(struct raft_voters *voters, const Aw__LogEntry *entry)
{
	struct raft_voters copy = { .index = entry->index };

	if (entry->n_voters > RAFT_VOTERS_MAX)
		return -1;
	copy.list = copy_list(entry->voters, entry->n_voters);
	if (!copy.list)
		return -1;
	copy.nr = entry->n_voters;
	copy.former = copy_list(entry->former_voters, entry->n_former_voters);
	if (!copy.former) {
		raft_voters_release(&copy);
		return -1;
	}
	copy.nr_former = entry->n_former_voters;
	raft_voters_release(voters);
	*voters = copy;
	return 0;
}

int raft_voters_copy_snapshot(struct raft_voters *voters,
			      const Aw__Snapshot *snapshot)
{
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;

	entry.index = snapshot->last_index;
	entry.voters = snapshot->voters;
	entry.n_voters = snapshot->n_voters;
	entry.former_voters = snapshot->former_voters;
	entry.n_former_voters = snapshot->n_former_voters;
	return raft_voters_copy(voters, &entry);
}

int raft_reload_voters(struct raft *raft)
{
	const Aw__Snapshot *snapshot = store_snapshot(raft->store);
	uint64_t first = store_first_index(raft->store);

	for (uint64_t i = store_last_index(raft->store); i >= first; i--) {
		const Aw__LogEntry *entry = store_entry(raft->store, i);

		if (entry->kind == AW__ENTRY_KIND__ENTRY_VOTERS)
			return raft_voters_copy(&raft->voters, entry);
	}
	if (snapshot)
		return raft_voters_copy_snapshot(&raft->voters, snapshot);
	raft_voters_release(&raft->voters);
	return 0;
}

static const Aw__Voter *find_by_name(Aw__Voter *const *list, size_t nr,
				     const char *name)
{
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(list[i]->name, name))
			return list[i];
	return NULL;
}

const Aw__Voter *raft_find_voter(const struct raft *raft, const char *name)
{
	return find_by_name(raft->voters.list, raft->voters.nr, name);
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

static const char *voter_zone(const struct raft *raft, const Aw__Voter *voter)
{
	const struct raft_peer *peer = peer_of_voter(raft, voter);
	const char *zone = is_self(raft, voter) ? raft->zone :
			   peer			? peer->zone :
						  "";

	return *zone ? zone : voter->zone;
}

/*
 * Adds to the entry the voters that are not in its list but in the present
 * ones, and earlier ones, up to the limit.
 */
static void add_former_voters(const struct raft *raft, Aw__LogEntry *entry,
			      Aw__Voter **former)
{
	const struct raft_voters *from = &raft->voters;

	entry->former_voters = former;
	for (size_t i = 0; i < from->nr; i++)
		if (!find_by_name(entry->voters, entry->n_voters,
				  from->list[i]->name))
			former[entry->n_former_voters++] = from->list[i];
	for (size_t i = 0; i < from->nr_former &&
			   entry->n_former_voters < RAFT_FORMER_VOTERS_MAX;
	     i++)
		if (!find_by_name(entry->voters, entry->n_voters,
				  from->former[i]->name))
			former[entry->n_former_voters++] = from->former[i];
}

/*
 * Appends a voter list. Adds the zones that are known by now, so that a later
 * leader knows those of voters which it has not met.
 */
static enum raft_error append_voters(struct raft *raft,
				     const Aw__Voter *const *list, size_t nr)
{
	Aw__Voter voters[RAFT_VOTERS_MAX], *pointers[RAFT_VOTERS_MAX];
	Aw__Voter *former[RAFT_FORMER_VOTERS_MAX];
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
	enum raft_error error;

	for (size_t i = 0; i < nr; i++) {
		voters[i] = *list[i];
		/* Packing only reads the strings. */
		voters[i].zone = (char *)voter_zone(raft, list[i]);
		pointers[i] = &voters[i];
	}
	entry.kind = AW__ENTRY_KIND__ENTRY_VOTERS;
	entry.voters = pointers;
	entry.n_voters = nr;
	add_former_voters(raft, &entry, former);
	error = raft_append_entry(raft, &entry);
	return error ? error : raft_flush(raft);
}

static enum raft_error remove_voter(struct raft *raft, const Aw__Voter *voter,
				    const char *cause)
{
	const Aw__Voter *list[RAFT_VOTERS_MAX];
	size_t nr = 0;

	for (size_t i = 0; i < raft->voters.nr; i++)
		if (raft->voters.list[i] != voter)
			list[nr++] = raft->voters.list[i];
	log_info("raft", "%s: removing voter %s, incarnation %llx, %s",
		 raft->name, voter->name,
		 (unsigned long long)voter->incarnation, cause);
	return append_voters(raft, list, nr);
}

static enum raft_error add_voter(struct raft *raft, struct raft_peer *peer)
{
	const Aw__Voter *former = find_by_name(
		raft->voters.former, raft->voters.nr_former, peer->name);
	const Aw__Voter *list[RAFT_VOTERS_MAX];
	Aw__Voter voter = AW__VOTER__INIT;
	size_t nr = raft->voters.nr;

	if (nr == RAFT_VOTERS_MAX)
		return RAFT_OK;
	for (size_t i = 0; i < nr; i++)
		list[i] = raft->voters.list[i];
	voter.name = peer->name;
	voter.incarnation = peer->incarnation;
	voter.joined_index = former ? former->joined_index :
				      store_last_index(raft->store) + 1;
	list[nr++] = &voter;
	log_info("raft", "%s: adding voter %s, incarnation %llx", raft->name,
		 peer->name, (unsigned long long)peer->incarnation);
	return append_voters(raft, list, nr);
}

/*
 * Returns whether one voter joined after the other. Those that an instance of
 * an earlier version added have no index; they are listed in order.
 */
static bool is_newer(const struct raft *raft, size_t i, size_t than)
{
	uint64_t index = raft->voters.list[i]->joined_index;
	uint64_t other = raft->voters.list[than]->joined_index;

	return index != other ? index > other : i > than;
}

/*
 * Returns whether a newer voter has joined in the zone of this one. A voter
 * whose zone is not known counts as replaced.
 */
static bool is_replaced(const struct raft *raft, const Aw__Voter *voter)
{
	const char *zone = voter_zone(raft, voter);
	size_t position = 0;

	if (!*zone)
		return true;
	while (raft->voters.list[position] != voter)
		position++;
	for (size_t i = 0; i < raft->voters.nr; i++)
		if (is_newer(raft, i, position) &&
		    !strcmp(voter_zone(raft, raft->voters.list[i]), zone))
			return true;
	return false;
}

/*
 * Returns when a voter last acknowledged a round, or else when this instance
 * became leader.
 */
static uint64_t voter_acked_ms(const struct raft *raft, const Aw__Voter *voter)
{
	const struct raft_peer *peer = peer_of_voter(raft, voter);

	if (is_self(raft, voter))
		return raft_now_ms(raft);
	if (peer && peer->incarnation == voter->incarnation &&
	    peer->acked_ms > raft->leader_since_ms)
		return peer->acked_ms;
	return raft->leader_since_ms;
}

static bool is_responding(const struct raft *raft, const Aw__Voter *voter)
{
	return raft_now_ms(raft) < voter_acked_ms(raft, voter) + RAFT_LEASE_MS;
}

/*
 * Returns whether a voter that still responds may be removed: it has been
 * replaced, its process is about to exit, and a majority of the others responds.
 */
static bool can_retire(const struct raft *raft, const Aw__Voter *voter)
{
	const struct raft_peer *peer = peer_of_voter(raft, voter);
	size_t nr = 0;

	if (!peer || peer->incarnation != voter->incarnation ||
	    !peer->stopping || !is_replaced(raft, voter))
		return false;
	for (size_t i = 0; i < raft->voters.nr; i++)
		nr += raft->voters.list[i] != voter &&
		      is_responding(raft, raft->voters.list[i]);
	return nr > (raft->voters.nr - 1) / 2;
}

/*
 * Returns the time without an acknowledgement after which a voter is removed
 * while there are more voters than necessary.
 */
static uint32_t removal_limit_ms(const struct raft *raft,
				 const Aw__Voter *voter)
{
	return is_replaced(raft, voter) ? raft->replaced_voter_removal_ms :
					  raft->silent_voter_removal_ms;
}

/*
 * Returns a voter to remove, or NULL. More voters than nr_voters_min indicate
 * that instances of other names have joined as replacements; each replaced
 * voter that stays counts as one of the failures that the voters tolerate. It
 * cannot be told from one that is only disconnected, except by its zone: its
 * replacement is in the same one. A voter that was only disconnected is added
 * again when it responds.
 */
static const Aw__Voter *find_excess_voter(const struct raft *raft)
{
	const Aw__Voter *best = NULL, *retiring = NULL;
	uint64_t best_limit_ms = UINT64_MAX, best_acked_ms = UINT64_MAX;

	if (!raft->nr_voters_min || raft->voters.nr <= raft->nr_voters_min)
		return NULL;
	for (size_t i = 0; i < raft->voters.nr; i++) {
		const Aw__Voter *voter = raft->voters.list[i];
		uint64_t acked_ms = voter_acked_ms(raft, voter);
		uint64_t limit_ms = removal_limit_ms(raft, voter);

		if (can_retire(raft, voter))
			retiring = voter;
		if (raft_now_ms(raft) - acked_ms < limit_ms)
			continue;
		if (limit_ms > best_limit_ms ||
		    (limit_ms == best_limit_ms && acked_ms >= best_acked_ms))
			continue;
		best = voter;
		best_limit_ms = limit_ms;
		best_acked_ms = acked_ms;
	}
	if (retiring && best_limit_ms != raft->replaced_voter_removal_ms)
		return retiring;
	return best;
}

/*
 * Removes a voter that was replaced or restarted with another incarnation, or
 * adds a learner that has caught up. Makes one change at a time, and only
 * after the previous change and an entry of the current term are committed:
 * otherwise two majorities without a common member could exist.
 */
enum raft_error raft_change_voters(struct raft *raft)
{
	const Aw__Voter *excess;

	if (!raft_is_leader(raft) || raft->handover_target ||
	    raft->voters.index > raft->commit_index)
		return RAFT_OK;
	excess = find_excess_voter(raft);
	if (excess)
		return remove_voter(raft, excess,
				    is_replaced(raft, excess) ? "replaced" :
								"silent");
	for (size_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];
		const Aw__Voter *voter = raft_find_voter(raft, peer->name);

		if (!is_caught_up(raft, peer))
			continue;
		if (voter && voter->incarnation != peer->incarnation)
			return remove_voter(raft, voter, "lost its disk");
		if (!voter && !peer->stopping)
			return add_voter(raft, peer);
	}
	return RAFT_OK;
}

bool raft_awaits_removal(const struct raft *raft)
{
	const Aw__Voter *voter = raft_find_voter(raft, raft->name);

	if (!raft->nr_voters_min)
		return false;
	if (!voter)
		return raft->voters.index > raft->commit_index;
	return raft->voters.nr > raft->nr_voters_min &&
	       is_replaced(raft, voter);
}
