/*
 * raft: Raft consensus among the control instances.
 *
 * The module does no network I/O and reads no system clock: it uses the given
 * clock and store and sends messages through callbacks, so that tests can run
 * a cluster in one process on a paused clock. See docs/design.md, "Consensus".
 */
#ifndef RAFT_H
#define RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The leader's lease covers a round trip between regions (110 ms), two
 * heartbeats and a retransmission. A leader responds to operators' requests
 * only while it has the lease.
 */
#define RAFT_HEARTBEAT_MS 100
#define RAFT_LEASE_MS 500
#define RAFT_ELECTION_MIN_MS 650
#define RAFT_ELECTION_MAX_MS 1050
#define RAFT_HANDOVER_BYTES_MAX (512 << 10) /* fits a frame of 1 MiB */
/*
 * Limit of the entries in one message, which keeps messages under 1 MiB. A
 * single entry never exceeds it.
 */
#define RAFT_BATCH_BYTES_MAX (UINT64_C(960) << 10)
#define RAFT_ENTRY_HEAD_BYTES 64 /* index, term, kind and lengths */
/* raft_propose() refuses longer operations. */
#define RAFT_OP_BYTES_MAX (RAFT_BATCH_BYTES_MAX - RAFT_ENTRY_HEAD_BYTES)

struct raft;
struct store;

enum raft_error {
	RAFT_OK,
	RAFT_ERR_MEMORY,
	RAFT_ERR_NOT_LEADER,
	RAFT_ERR_STORE, /* store refused, e.g. disk full: nothing appended */
	RAFT_ERR_FAILED, /* e.g. the store failed: the process must exit */
	RAFT_ERR_MESSAGE /* malformed or inconsistent message */
};

struct raft_ops {
	/* Sends to the named control instance; the message may be lost. */
	void (*send)(void *arg, const char *to, const Aw__RaftMessage *msg);
	/* Called for each committed entry in log order, voter lists too. */
	void (*apply)(void *arg, const Aw__LogEntry *entry);
	/* Pack the applied state for a snapshot, or replace it by one. */
	int (*save_state)(void *arg, struct buf *out);
	int (*load_state)(void *arg, uint64_t last_index, const uint8_t *data,
			  size_t len_bytes);
	/*
	 * Called with true when this instance leads and has applied an entry
	 * of its own term, with false when it stops leading.
	 */
	void (*leader_changed)(void *arg, bool leader);
	/*
	 * Pass state from the leader to its successor in a handover (planned
	 * leadership transfer); both may be NULL. After save_handover the old
	 * leader must not base decisions on this state. load_handover is
	 * called at the receiver, with the old leader's term, before the
	 * receiver starts an election, which it may still lose.
	 */
	int (*save_handover)(void *arg, struct buf *out);
	void (*load_handover)(void *arg, uint64_t term, const uint8_t *data,
			      size_t len_bytes);
};

struct raft_settings {
	const char *name;
	/* Names of known control instances; raft_add_peer() adds more. */
	const char *const *controls;
	size_t nr_controls;
	struct clk *clk;
	struct store *store; /* opened, not owned */
	uint64_t seed; /* for the election timeout */
	uint32_t snapshot_entries; /* entries between two snapshots */
	/*
	 * A snapshot is also taken when the applied entries in the log take
	 * this many bytes, and as many as the last snapshot: all of them are
	 * kept in memory. 0: no limit.
	 */
	uint64_t snapshot_log_bytes;
	const char *zone; /* of this instance, "": not known */
	/*
	 * The leader removes voters that will not return, one at a time, as
	 * long as at least this many remain: 2 * F + 1 tolerate F failures.
	 * 0: never.
	 */
	uint32_t nr_voters_min;
	/*
	 * Time without an acknowledgement after which a voter is removed: one
	 * that has been replaced, i.e. its zone has a newer voter, and any
	 * other, which may only be disconnected.
	 */
	uint32_t replaced_voter_removal_ms;
	uint32_t silent_voter_removal_ms;
};

/*
 * Creates an instance with the state from the store. Returns NULL if memory is
 * exhausted or the state cannot be loaded; the latter is logged.
 */
struct raft *raft_create(const struct raft_settings *settings,
			 const struct raft_ops *ops, void *arg);
void raft_destroy(struct raft *raft);

/*
 * Adds a control instance that was discovered after raft_create(). Does nothing
 * for a known one. If there are RAFT_PEERS_MAX peers already, the new one
 * replaces the non-voter that acknowledged least recently; it is ignored if no
 * peer can be replaced.
 */
#define RAFT_PEERS_MAX 24
void raft_add_peer(struct raft *raft, const char *name);

/*
 * Sets the zone of a known control instance.
 */
void raft_set_peer_zone(struct raft *raft, const char *name, const char *zone);

/*
 * Runs the timers. Call about every 10 ms.
 */
enum raft_error raft_tick(struct raft *raft);
enum raft_error raft_receive(struct raft *raft, const char *from,
			     const Aw__RaftMessage *msg);

/*
 * Appends an operation to the leader's log and sets *index and *term to those
 * of its entry. If an entry of another term is applied at that index, the
 * proposal was lost. raft_flush() syncs all entries appended in one turn of the
 * event loop together.
 */
enum raft_error raft_propose(struct raft *raft, const uint8_t *op,
			     size_t op_bytes, uint64_t *index, uint64_t *term);

/*
 * Syncs appended entries to disk and replicates them. Call once per turn of the
 * event loop, after the proposals.
 */
enum raft_error raft_flush(struct raft *raft);

/*
 * Returns true while this instance leads, has applied an entry of its own term,
 * and a majority has acknowledged a heartbeat sent less than RAFT_LEASE_MS ago.
 */
bool raft_is_leader(const struct raft *raft);

/*
 * Returns the name of the leader, or "" if it is not known.
 */
const char *raft_leader(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_last_index(const struct raft *raft);

/*
 * Returns the latest voter list in the log (committed or not) or, if the log
 * has none, in the snapshot. Valid until the next call that changes the log.
 */
const Aw__Voter *const *raft_voters(const struct raft *raft, size_t *nr);

/*
 * Hands leadership over to the responding voter with the highest match index.
 * Used before a planned stop.
 */
void raft_step_down(struct raft *raft);

/*
 * Tells the leader that this instance is about to exit, so that it is removed
 * from the voters at once if it has been replaced.
 */
void raft_set_stopping(struct raft *raft);

/*
 * Returns true while this instance has been replaced and its removal from the
 * voters is not committed. A process that exits before counts as one of the
 * failures that the voters tolerate.
 */
bool raft_awaits_removal(const struct raft *raft);

#ifdef __cplusplus
}
#endif

#endif
