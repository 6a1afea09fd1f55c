/*
 * raft_state: internal types and functions of the raft module.
 */
#ifndef RAFT_STATE_H
#define RAFT_STATE_H

#include "buf.h"
#include "raft.h"
#include "store.h"

/*
 * Time after the leader's last message during which a voter refuses votes. It
 * exceeds the lease to cover rounding to milliseconds and clock rates that
 * differ by up to 6%.
 */
#define RAFT_VOTE_REFUSAL_MS (RAFT_LEASE_MS + 50)

#define RAFT_BATCH_ENTRIES_MAX 512
#define RAFT_WINDOW 8 /* unacknowledged append messages per peer, at most */

#define RAFT_CHUNK_BYTES (UINT64_C(256) << 10)
#define RAFT_SNAPSHOT_BYTES_MAX (UINT64_C(2) << 30)
#define RAFT_CHUNK_RETRY_MS 500 /* several round trips between regions */
#define RAFT_SNAPSHOT_RETRY_MS 10000 /* after a failure, e.g. disk full */

/* A learner that lags the leader's log by at most this becomes a voter. */
#define RAFT_CAUGHT_UP_ENTRIES 256
#define RAFT_VOTERS_MAX 15
#define RAFT_FORMER_VOTERS_MAX 16

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

struct raft_peer {
	char name[NAME_BYTES_MAX];
	uint64_t incarnation; /* 0: not known yet */
	uint64_t first_seen_ms; /* when this incarnation was first seen */
	char zone[NAME_BYTES_MAX]; /* "": not known */
	bool vote_granted; /* to this instance in the current election */

	/* Valid only while this instance leads. */
	uint64_t match_index;
	uint64_t next_index;
	uint64_t acked_ms; /* when the latest acknowledged round was sent */
	bool stopping; /* its process is about to exit */
	bool probing; /* searching for the last index at which logs match */
	uint64_t window[RAFT_WINDOW]; /* last index of each message in flight */
	size_t nr_window;
	bool receiving_snapshot;
	uint64_t chunk_offset;
	uint64_t chunk_sent_ms;
};

struct raft_voters {
	Aw__Voter **list;
	size_t nr;
	Aw__Voter **former; /* removed, but remembered in case they return */
	size_t nr_former;
	uint64_t index; /* log index of this list */
};

struct raft {
	char name[NAME_BYTES_MAX];
	struct raft_peer peers[RAFT_PEERS_MAX]; /* without this instance */
	size_t nr_peers;
	struct clk *clk;
	struct store *store;
	struct raft_ops ops;
	void *arg;
	unsigned short random_state[3];
	uint32_t snapshot_entries;
	uint64_t snapshot_log_bytes;
	char zone[NAME_BYTES_MAX];
	uint32_t nr_voters_min;
	uint32_t replaced_voter_removal_ms;
	uint32_t silent_voter_removal_ms;
	bool stopping; /* raft_set_stopping() was called */

	bool failed; /* permanently, see RAFT_ERR_FAILED */
	bool applying; /* raft_apply_committed() is running */
	bool disk_full; /* and this was logged */
	enum raft_role role;
	char leader[NAME_BYTES_MAX];
	uint64_t start_ms;
	uint64_t leader_contact_ms; /* last message of a leader, 0: none */
	uint64_t election_due_ms; /* when the election timeout ends */
	uint64_t commit_index;
	uint64_t applied_index;
	uint64_t synced_index;
	struct raft_voters voters; /* latest in the log, used for majorities */
	struct raft_voters applied_voters; /* latest applied, for snapshots */
	uint64_t snapshot_retry_ms; /* no snapshot attempt before this time */

	/* Leader. */
	bool leadership_reported; /* leader_changed(true) was called */
	uint64_t leader_since_ms;
	uint64_t next_heartbeat_ms;
	uint64_t term_start_index; /* of the no-op entry of this term */
	struct raft_peer *handover_target; /* NULL: no handover in progress */
	uint64_t handover_deadline_ms;
	struct buf outgoing; /* packed snapshot that is sent to peers */
	uint64_t outgoing_index; /* its last log index, 0: none packed */

	/* Follower. */
	struct buf incoming; /* received part of a packed snapshot */
	uint64_t incoming_index; /* last log index of the snapshot, 0: none */
	uint64_t incoming_term; /* term of the leader that sends it */
	uint64_t incoming_bytes; /* total size of the packed snapshot */
};

/* raft.c */
uint64_t raft_now_ms(const struct raft *raft);
/* Converts an error of the store; logs a full disk and a failed store. */
enum raft_error raft_store_error(struct raft *raft, enum store_error error);
/* Logs the cause, disables this instance and returns RAFT_ERR_FAILED. */
enum raft_error raft_fail(struct raft *raft, const char *cause);
struct raft_peer *raft_find_peer(struct raft *raft, const char *name);
/* Sets the incarnation of a peer and resets its replication state. */
void raft_reset_peer(struct raft *raft, struct raft_peer *peer,
		     uint64_t incarnation);
/* Sends a message. to_incarnation 0 addresses any incarnation. */
void raft_send(struct raft *raft, const struct raft_peer *peer,
	       uint64_t to_incarnation, Aw__RaftMessage *msg);
enum raft_error raft_sync(struct raft *raft);
enum raft_error raft_apply_committed(struct raft *raft);

/* raft_election.c */
void raft_become_follower(struct raft *raft, const char *leader);
enum raft_error raft_set_term(struct raft *raft, uint64_t term);
void raft_reset_election(struct raft *raft);
enum raft_error raft_election_tick(struct raft *raft);
enum raft_error raft_on_vote(struct raft *raft, struct raft_peer *peer,
			     const Aw__RaftMessage *msg);
enum raft_error raft_on_vote_reply(struct raft *raft, struct raft_peer *peer,
				   const Aw__RaftMessage *msg);
enum raft_error raft_on_step_down(struct raft *raft, struct raft_peer *peer,
				  const Aw__RaftMessage *msg);

/* raft_leader.c */
enum raft_error raft_become_leader(struct raft *raft);
enum raft_error raft_leader_tick(struct raft *raft);
bool raft_has_lease(const struct raft *raft);
/* True if the peer acknowledged nothing for RAFT_LEASE_MS. */
bool raft_is_silent(const struct raft *raft, const struct raft_peer *peer);
bool raft_record_ack(struct raft *raft, struct raft_peer *peer,
		     uint64_t incarnation, uint64_t round);
void raft_replicate(struct raft *raft, struct raft_peer *peer);
enum raft_error raft_advance_commit(struct raft *raft);
enum raft_error raft_append_entry(struct raft *raft, Aw__LogEntry *entry);
enum raft_error raft_on_append_reply(struct raft *raft, struct raft_peer *peer,
				     const Aw__RaftMessage *msg);

/* raft_follower.c */
enum raft_error raft_accept_leader(struct raft *raft, struct raft_peer *peer,
				   uint64_t term, bool *stale);
enum raft_error raft_on_append(struct raft *raft, struct raft_peer *peer,
			       const Aw__RaftMessage *msg);

/* raft_snapshot.c */
enum raft_error raft_take_snapshot(struct raft *raft);
enum raft_error raft_send_snapshot_chunk(struct raft *raft,
					 struct raft_peer *peer,
					 bool with_data);
enum raft_error raft_start_snapshot_transfer(struct raft *raft,
					     struct raft_peer *peer);
enum raft_error raft_on_snapshot(struct raft *raft, struct raft_peer *peer,
				 const Aw__RaftMessage *msg);
enum raft_error raft_on_snapshot_reply(struct raft *raft,
				       struct raft_peer *peer,
				       const Aw__RaftMessage *msg);

/* raft_voters.c */
/* Replaces *voters by a copy of those of the entry; unchanged on error. */
int raft_voters_copy(struct raft_voters *voters, const Aw__LogEntry *entry);
int raft_voters_copy_snapshot(struct raft_voters *voters,
			      const Aw__Snapshot *snapshot);
void raft_voters_release(struct raft_voters *voters);
/* Returns the voter of that name, whatever its incarnation, or NULL. */
const Aw__Voter *raft_find_voter(const struct raft *raft, const char *name);
bool raft_is_voter(const struct raft *raft);
/* Sets the voters to the latest list in the log, or else in the snapshot. */
int raft_reload_voters(struct raft *raft);
/* Returns the highest value that a majority of the voters has reached. */
uint64_t raft_majority_value(const struct raft *raft,
			     uint64_t (*value)(const struct raft *raft,
					       const struct raft_peer *peer),
			     uint64_t own_value);
enum raft_error raft_change_voters(struct raft *raft);

#endif
