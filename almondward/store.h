/*
 * store: log, snapshot, term and vote of one control instance on disk.
 *
 * Data is durable only after a sync. After a failed sync the store refuses all
 * further writes until it is opened again, since the kernel may have dropped
 * the unwritten data.
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
	STORE_ERR_FULL, /* disk full; nothing was added, store still usable */
	STORE_ERR_CORRUPT, /* damaged before its end, or not a store file */
	STORE_ERR_FAILED, /* a write or sync failed; store unusable */
	STORE_ERR_LOCKED, /* another process uses the directory */
	STORE_ERR_NOT_EMPTY
};

/*
 * System calls of the store. Tests replace them to inject faults.
 */
struct store_io {
	void *arg;
	ssize_t (*write)(void *arg, int fd, const void *data, size_t len_bytes);
	int (*fsync)(void *arg, int fd);
	int (*rename)(void *arg, const char *from, const char *to);
	int (*ftruncate)(void *arg, int fd, off_t len_bytes);
};

/*
 * Opens the store in an existing directory and locks the directory. If the
 * directory is empty, creates the store with a new random incarnation. io may
 * be NULL for the system's own calls. On error, writes file, offset and cause
 * to error_text.
 */
enum store_error store_open(const char *dir, const struct store_io *io,
			    struct store **store, char *error_text,
			    size_t error_text_bytes);
void store_close(struct store *store);

/*
 * Creates the store of a new cluster in an empty directory: random cluster id
 * and incarnation, and a log whose entry 1 names this instance as the only
 * voter. Closes the store before it returns.
 */
enum store_error store_create_cluster(const char *dir, const char *name,
				      const struct store_io *io,
				      char *error_text,
				      size_t error_text_bytes);

uint64_t store_incarnation(const struct store *store);

/*
 * Returns 0 until the cluster is created here or its id was received from a
 * leader.
 */
uint64_t store_cluster_id(const struct store *store);
enum store_error store_set_cluster_id(struct store *store, uint64_t id);

uint64_t store_term(const struct store *store);
const char *store_voted_for(const struct store *store);
enum store_error store_set_vote(struct store *store, uint64_t term,
				const char *voted_for);

/*
 * Returns the snapshot that was loaded or last saved, or NULL.
 */
const Aw__Snapshot *store_snapshot(const struct store *store);

/*
 * Saves a snapshot and removes the log entries that it covers.
 */
enum store_error store_save_snapshot(struct store *store,
				     const Aw__Snapshot *snapshot);

/*
 * Indexes of the first and the last entry after the snapshot. Without entries
 * the last index is the first index - 1.
 */
uint64_t store_first_index(const struct store *store);
uint64_t store_last_index(const struct store *store);

/*
 * Returns the number of bytes that the entries from the first index through
 * this one take in the log, 0 if there are none.
 */
uint64_t store_bytes_through(const struct store *store, uint64_t index);

/*
 * Returns NULL outside of first to last index. The entry is valid until it is
 * removed by store_truncate_from() or a snapshot.
 */
const Aw__LogEntry *store_entry(const struct store *store, uint64_t index);

/*
 * Returns the term of the entry at an index, also for the last index of the
 * snapshot, or 0 if it is unknown.
 */
uint64_t store_entry_term(const struct store *store, uint64_t index);

/*
 * Appends entries whose indexes follow the last index. They are durable only
 * after store_sync().
 */
enum store_error store_append(struct store *store,
			      const Aw__LogEntry *const *entries,
			      size_t nr_entries);
enum store_error store_sync(struct store *store);

/*
 * Removes the entry at index and all later ones, and syncs the log.
 */
enum store_error store_truncate_from(struct store *store, uint64_t index);

#ifdef __cplusplus
}
#endif

#endif
