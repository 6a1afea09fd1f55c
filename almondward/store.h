/*
 * store: log, snapshot, term and vote of one control instance on disk.
 *
 * Nothing counts before it is synced. Once a sync has failed the store is
 * failed for good, since the kernel may have dropped the data.
 */
#ifndef STORE_H
#define STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "almondward.pb-c.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct store;

enum store_error {
	STORE_OK,
	STORE_ERR_MEMORY,
	STORE_ERR_FULL, /* nothing was added, the store can be used */
	STORE_ERR_CORRUPT, /* damaged before the end, or not our file */
	STORE_ERR_FAILED, /* a write or sync failed: unusable */
	STORE_ERR_LOCKED, /* another process uses the directory */
	STORE_ERR_NOT_EMPTY
};

/*
 * System calls that tests replace to inject faults.
 */
struct store_io {
	void *arg;
	ssize_t (*write)(void *arg, int fd, const void *data, size_t len_bytes);
	int (*fsync)(void *arg, int fd);
	int (*rename)(void *arg, const char *from, const char *to);
	int (*ftruncate)(void *arg, int fd, off_t len_bytes);
};

/*
 * Opens or makes the store in an existing directory and takes its lock. An
 * empty directory gets a new random incarnation. io may be NULL. On error
 * writes file, offset and cause to error_text.
 */
enum store_error store_open(const char *dir, const struct store_io *io,
			    struct store **store, char *error_text,
			    size_t error_text_bytes);
void store_close(struct store *store);

/*
 * Founds a cluster in an empty directory: random cluster id and incarnation,
 * this name as the only voter (log entry 1). The store is closed again.
 */
enum store_error store_found(const char *dir, const char *name,
			     const struct store_io *io, char *error_text,
			     size_t error_text_bytes);

uint64_t store_incarnation(const struct store *store);

/*
 * 0 until founded or learned from a leader.
 */
uint64_t store_cluster_id(const struct store *store);
enum store_error store_set_cluster_id(struct store *store, uint64_t id);

uint64_t store_term(const struct store *store);
const char *store_voted_for(const struct store *store);
enum store_error store_set_vote(struct store *store, uint64_t term,
				const char *voted_for);

/*
 * Snapshot as loaded or last saved, or NULL.
 */
const Aw__Snapshot *store_snapshot(const struct store *store);

/*
 * Saves a snapshot and drops the log up to its last index.
 */
enum store_error store_save_snapshot(struct store *store,
				     const Aw__Snapshot *snapshot);

/*
 * Entries after the snapshot: first index, last index (first - 1 if none).
 */
uint64_t store_first_index(const struct store *store);
uint64_t store_last_index(const struct store *store);

/*
 * Valid until the entry is cut or dropped; NULL outside first to last.
 */
const Aw__LogEntry *store_entry(const struct store *store, uint64_t index);

/*
 * Term at an index, also for the last index of the snapshot; 0 if unknown.
 */
uint64_t store_entry_term(const struct store *store, uint64_t index);

/*
 * Appends entries that follow the last index. Not durable before
 * store_sync().
 */
enum store_error store_append(struct store *store,
			      const Aw__LogEntry *const *entries,
			      size_t nr_entries);
enum store_error store_sync(struct store *store);

/*
 * Removes all entries from index on, durably.
 */
enum store_error store_cut(struct store *store, uint64_t index);

#ifdef __cplusplus
}
#endif

#endif
