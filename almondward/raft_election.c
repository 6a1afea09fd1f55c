#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "raft_state.h"

/*
 * Returns the position of this instance in the voter list, which is the same
 * at all voters, or 0 if its name is not in the list.
 */
static uint64_t voter_position(const struct raft *raft)
{
	size_t i;

	for (i = 0; i < raft->voters.nr; i++)
		if (!strcmp(raft->voters.list[i]->name, raft->name))
			return i;
	return 0;
}

/*
 * Restarts the election timeout. Each voter draws it from its own part of the
 * range: with a random timeout over the whole range, two voters with a delay of
 * 110 ms between them split the vote in about four of ten elections.
 */
void raft_reset_election(struct raft *raft)
{
	uint64_t range_ms = RAFT_ELECTION_MAX_MS - RAFT_ELECTION_MIN_MS;
	uint64_t nr = raft->voters.nr ? raft->voters.nr : 1;
	uint64_t part_ms = range_ms / nr;

	raft->election_due_ms =
		raft_now_ms(raft) + RAFT_ELECTION_MIN_MS +
		voter_position(raft) * part_ms +
		(uint64_t)nrand48(raft->random_state) % (part_ms / 2 + 1);
}

void raft_become_follower(struct raft *raft, const char *leader)
{
	bool leadership_reported = raft->leadership_reported;

	if (raft->role == RAFT_LEADER)
		log_info("raft", "%s: no longer leader of term %llu",
			 raft->name,
			 (unsigned long long)store_term(raft->store));
	if (raft->role != RAFT_FOLLOWER)
		raft_reset_election(raft);
	raft->role = RAFT_FOLLOWER;
	raft->handover_target = NULL;
	raft->leadership_reported = false;
	buf_release(&raft->outgoing);
	raft->outgoing_index = 0;
	if (raft->leader != leader)
		snprintf(raft->leader, sizeof(raft->leader), "%s", leader);
	if (leadership_reported)
		raft->ops.leader_changed(raft->arg, false);
}

enum raft_error raft_set_term(struct raft *raft, uint64_t term)
{
	enum raft_error error =
		raft_store_error(raft, store_set_vote(raft->store, term, ""));

	if (!error)
		raft_become_follower(raft, "");
	return error;
}

/*
 * Refuses votes while a leader may still have its lease: this instance itself,
 * or a leader whose last message is recent. After a start it is not known when
 * the last message arrived, so votes are refused for the same time.
 */
static bool must_refuse_votes(const struct raft *raft)
{
	uint64_t now_ms = raft_now_ms(raft);

	if (now_ms < raft->start_ms + RAFT_VOTE_REFUSAL_MS)
		return true;
	if (raft->leader_contact_ms &&
	    now_ms < raft->leader_contact_ms + RAFT_VOTE_REFUSAL_MS)
		return true;
	return raft_has_lease(raft);
}

static bool candidate_is_up_to_date(const struct raft *raft,
				    const Aw__RaftVote *vote)
{
	uint64_t last_index = store_last_index(raft->store);
	uint64_t last_term = store_entry_term(raft->store, last_index);

	if (vote->last_term != last_term)
		return vote->last_term > last_term;
	return vote->last_index >= last_index;
}

/* ---- candidate ---- */

static uint64_t granted_vote(const struct raft *raft,
			     const struct raft_peer *peer)
{
	(void)raft;
	return peer->vote_granted;
}

static void request_votes(struct raft *raft, uint64_t term, bool pre_vote,
			  bool handover)
{
	for (size_t i = 0; i < raft->nr_peers; i++) {
		struct raft_peer *peer = &raft->peers[i];
		const Aw__Voter *voter = raft_find_voter(raft, peer->name);
		Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
		Aw__RaftVote vote = AW__RAFT_VOTE__INIT;

		peer->vote_granted = false;
		if (!voter)
			continue;
		peer->incarnation = voter->incarnation;
		vote.term = term;
		vote.last_index = store_last_index(raft->store);
		vote.last_term = store_entry_term(raft->store, vote.last_index);
		vote.pre_vote = pre_vote;
		vote.handover = handover;
		msg.body_case = AW__RAFT_MESSAGE__BODY_VOTE;
		msg.vote = &vote;
		raft_send(raft, peer, voter->incarnation, &msg);
	}
}

static enum raft_error start_election(struct raft *raft, bool handover)
{
	uint64_t term = store_term(raft->store) + 1;
	enum raft_error error;

	raft_reset_election(raft);
	error = raft_store_error(raft,
				 store_set_vote(raft->store, term, raft->name));
	if (error)
		return error;
	raft->role = RAFT_CANDIDATE;
	raft->leader[0] = '\0';
	log_debug("raft", "%s: candidate in term %llu", raft->name,
		  (unsigned long long)term);
	request_votes(raft, term, false, handover);
	if (raft_majority_value(raft, granted_vote, 1))
		return raft_become_leader(raft);
	return RAFT_OK;
}

/*
 * Starts a pre-vote, which asks whether a majority would grant its vote.
 * Without it, an instance that returns after a network partition would increase
 * the term and depose a working leader.
 */
static enum raft_error start_pre_vote(struct raft *raft)
{
	raft_reset_election(raft);
	raft->role = RAFT_PRE_CANDIDATE;
	raft->leader[0] = '\0';
	request_votes(raft, store_term(raft->store) + 1, true, false);
	if (raft_majority_value(raft, granted_vote, 1))
		return start_election(raft, false);
	return RAFT_OK;
}

enum raft_error raft_election_tick(struct raft *raft)
{
	if (raft_now_ms(raft) < raft->election_due_ms)
		return RAFT_OK;
	if (!raft_is_voter(raft)) {
		raft_reset_election(raft);
		raft->leader[0] = '\0';
		return RAFT_OK;
	}
	return start_pre_vote(raft);
}

enum raft_error raft_on_vote_reply(struct raft *raft, struct raft_peer *peer,
				   const Aw__RaftMessage *msg)
{
	const Aw__RaftVoteReply *reply = msg->vote_reply;
	const Aw__Voter *voter = raft_find_voter(raft, peer->name);
	uint64_t term = store_term(raft->store);

	if (reply->term > term && !(reply->pre_vote && reply->granted))
		return raft_set_term(raft, reply->term);
	if (!reply->granted || !voter ||
	    voter->incarnation != msg->from_incarnation)
		return RAFT_OK;
	if (raft->role == RAFT_PRE_CANDIDATE && reply->pre_vote &&
	    reply->term == term + 1) {
		peer->vote_granted = true;
		if (raft_majority_value(raft, granted_vote, 1))
			return start_election(raft, false);
	} else if (raft->role == RAFT_CANDIDATE && !reply->pre_vote &&
		   reply->term == term) {
		peer->vote_granted = true;
		if (raft_majority_value(raft, granted_vote, 1))
			return raft_become_leader(raft);
	}
	return RAFT_OK;
}

/* ---- voter ---- */

static void send_vote_reply(struct raft *raft, struct raft_peer *peer,
			    const Aw__RaftMessage *request, bool granted,
			    uint64_t term)
{
	Aw__RaftMessage msg = AW__RAFT_MESSAGE__INIT;
	Aw__RaftVoteReply reply = AW__RAFT_VOTE_REPLY__INIT;

	reply.term = term;
	reply.granted = granted;
	reply.pre_vote = request->vote->pre_vote;
	msg.body_case = AW__RAFT_MESSAGE__BODY_VOTE_REPLY;
	msg.vote_reply = &reply;
	raft_send(raft, peer, request->from_incarnation, &msg);
}

static bool can_vote_for(const struct raft *raft, const char *name)
{
	const char *voted_for = store_voted_for(raft->store);

	return raft->role != RAFT_LEADER && !raft->leader[0] &&
	       (!*voted_for || !strcmp(voted_for, name));
}

enum raft_error raft_on_vote(struct raft *raft, struct raft_peer *peer,
			     const Aw__RaftMessage *msg)
{
	const Aw__RaftVote *vote = msg->vote;
	uint64_t term = store_term(raft->store);
	bool refuse, granted = false;
	enum raft_error error;

	/*
	 * A candidate requests the vote of one incarnation, the one in its
	 * voter list.
	 */
	if (!msg->to_incarnation)
		return RAFT_ERR_MESSAGE;
	/*
	 * A vote request after a handover proves that the leader of the
	 * preceding term has given up its lease. Leases of earlier leaders had
	 * expired before that leader was elected.
	 */
	refuse = !(vote->handover && vote->term > term) &&
		 must_refuse_votes(raft);
	if (vote->pre_vote) {
		granted = vote->term > term && !refuse &&
			  candidate_is_up_to_date(raft, vote);
		/* Gives the candidate time for its real vote request. */
		if (granted && raft->role == RAFT_FOLLOWER)
			raft_reset_election(raft);
		send_vote_reply(raft, peer, msg, granted,
				granted ? vote->term : term);
		return RAFT_OK;
	}
	if (vote->term > term && !refuse) {
		error = raft_set_term(raft, vote->term);
		if (error)
			return error;
	}
	if (vote->term == store_term(raft->store) && !refuse &&
	    can_vote_for(raft, peer->name) &&
	    candidate_is_up_to_date(raft, vote)) {
		error = raft_store_error(
			raft,
			store_set_vote(raft->store, vote->term, peer->name));
		if (error)
			return error;
		granted = true;
		raft_become_follower(raft, "");
		raft_reset_election(raft);
	}
	send_vote_reply(raft, peer, msg, granted, store_term(raft->store));
	return RAFT_OK;
}

/* ---- handover (planned leadership transfer) ---- */

enum raft_error raft_on_step_down(struct raft *raft, struct raft_peer *peer,
				  const Aw__RaftMessage *msg)
{
	if (raft->role != RAFT_FOLLOWER ||
	    msg->step_down->term != store_term(raft->store) ||
	    strcmp(raft->leader, peer->name) != 0 || !raft_is_voter(raft))
		return RAFT_OK;
	if (raft->ops.load_handover)
		raft->ops.load_handover(raft->arg, msg->step_down->term,
					msg->step_down->handover.data,
					msg->step_down->handover.len);
	return start_election(raft, true);
}
