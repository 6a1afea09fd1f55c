/*
 * store_state: types and functions shared by the files of the store module.
 */
#ifndef STORE_STATE_H
#define STORE_STATE_H

#include <limits.h>

#include "store.h"
#include "store_file.h"

#define STORE_LOG_NAME "log"
#define STORE_SNAPSHOT_NAME "snapshot"
#define STORE_HARD_STATE_NAME "hard-state"

struct log_record {
	Aw__LogEntry *entry;
	uint64_t offset_bytes; /* of its record in the log file */
};

struct store {
	char dir[PATH_MAX];
	struct store_io io;
	int dir_fd;
	int lock_fd;
	int log_fd;
	bool failed; /* see store_fail() */
	uint64_t term;
	char voted_for[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t cluster_id;
	Aw__Snapshot *snapshot;
	struct log_record *records; /* entries after the snapshot, in order */
	size_t nr_records;
	size_t records_capacity;
	uint64_t first_index;
	uint64_t log_bytes; /* valid length of the log file */
};

/* Marks the store as unusable until it is opened again. */
enum store_error store_fail(struct store *store, const char *what);
/* path has PATH_MAX bytes. Returns -1 if the path does not fit. */
int store_path(const struct store *store, const char *name, char *path);
int store_reserve_records(struct store *store, size_t extra);
void store_drop_front(struct store *store, size_t nr);
void store_drop_back(struct store *store, size_t nr_kept);
enum store_error store_truncate_log(struct store *store, uint64_t len_bytes);
size_t store_nr_replaced(const struct store *store,
			 const Aw__Snapshot *snapshot);
enum store_error store_save_hard_state(struct store *store, uint64_t term,
				       const char *voted_for,
				       uint64_t cluster_id);

#endif
