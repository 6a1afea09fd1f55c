#include "store.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "store_state.h"

enum store_error store_fail(struct store *store, const char *what)
{
	log_error("store", "%s: %s failed, store is unusable until restart",
		  store->dir, what);
	store->failed = true;
	return STORE_ERR_FAILED;
}

int store_path(const struct store *store, const char *name, char *path)
{
	return snprintf(path, PATH_MAX, "%s/%s", store->dir, name) >= PATH_MAX ?
		       -1 :
		       0;
}

/*
 * A full disk and exhausted memory leave the file unchanged. After any other
 * error it is unknown what is on disk, so the store is marked as failed.
 */
static enum store_error replace_file(struct store *store, const char *name,
				     const struct buf *data)
{
	enum store_error error =
		store_replace_file(&store->io, store->dir, store->dir_fd, name,
				   data->data, data->len_bytes);

	if (error == STORE_ERR_FAILED)
		return store_fail(store, name);
	return error;
}

static enum store_error replace_record(struct store *store, const char *name,
				       const ProtobufCMessage *message)
{
	size_t len_bytes = protobuf_c_message_get_packed_size(message);
	struct buf record = BUF_INIT;
	uint8_t *packed = malloc(len_bytes + 1);
	enum store_error error = STORE_ERR_MEMORY;

	if (!packed)
		return STORE_ERR_MEMORY;
	protobuf_c_message_pack(message, packed);
	if (!store_record_append(&record, packed, len_bytes))
		error = replace_file(store, name, &record);
	free(packed);
	buf_release(&record);
	return error;
}

enum store_error store_save_hard_state(struct store *store, uint64_t term,
				       const char *voted_for,
				       uint64_t cluster_id)
{
	Aw__HardState hard = AW__HARD_STATE__INIT;
	char voted[NAME_BYTES_MAX];
	enum store_error error;

	if (store->failed)
		return STORE_ERR_FAILED;
	snprintf(voted, sizeof(voted), "%s", voted_for);
	hard.term = term;
	hard.voted_for = voted;
	hard.incarnation = store->incarnation;
	hard.cluster_id = cluster_id;
	error = replace_record(store, STORE_HARD_STATE_NAME, &hard.base);
	if (error)
		return error;
	store->term = term;
	memcpy(store->voted_for, voted, sizeof(voted));
	store->cluster_id = cluster_id;
	return STORE_OK;
}

int store_reserve_records(struct store *store, size_t extra)
{
	size_t size = store->records_capacity ? store->records_capacity : 64;
	struct log_record *records;

	while (size < store->nr_records + extra)
		size *= 2;
	if (size == store->records_capacity)
		return 0;
	records = realloc(store->records, size * sizeof(*records));
	if (!records)
		return -1;
	store->records = records;
	store->records_capacity = size;
	return 0;
}

void store_drop_front(struct store *store, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		aw__log_entry__free_unpacked(store->records[i].entry, NULL);
	store->nr_records -= nr;
	if (store->nr_records)
		memmove(store->records, store->records + nr,
			store->nr_records * sizeof(*store->records));
}

void store_drop_back(struct store *store, size_t nr_kept)
{
	while (store->nr_records > nr_kept)
		aw__log_entry__free_unpacked(
			store->records[--store->nr_records].entry, NULL);
}

/*
 * Truncates the log file and syncs it. Without the sync, removed entries could
 * reappear after a crash beside other entries with the same index and term.
 */
enum store_error store_truncate_log(struct store *store, uint64_t len_bytes)
{
	if (store->io.ftruncate(store->io.arg, store->log_fd, (off_t)len_bytes))
		return store_fail(store, "truncation of the log");
	if (store->io.fsync(store->io.arg, store->log_fd))
		return store_fail(store, "sync of the log");
	store->log_bytes = len_bytes;
	return STORE_OK;
}

/*
 * Returns the number of entries at the front of the log that a snapshot
 * replaces: all of them if the log ends before the last index of the snapshot
 * or has another term there.
 */
size_t store_nr_replaced(const struct store *store,
			 const Aw__Snapshot *snapshot)
{
	uint64_t first, offset;

	if (!store->nr_records)
		return 0;
	first = store->records[0].entry->index;
	if (snapshot->last_index < first)
		return 0;
	offset = snapshot->last_index - first;
	if (offset >= store->nr_records ||
	    store->records[offset].entry->term != snapshot->last_term)
		return store->nr_records;
	return offset + 1;
}

uint64_t store_incarnation(const struct store *store)
{
	return store->incarnation;
}

uint64_t store_cluster_id(const struct store *store)
{
	return store->cluster_id;
}

enum store_error store_set_cluster_id(struct store *store, uint64_t id)
{
	return store_save_hard_state(store, store->term, store->voted_for, id);
}

uint64_t store_term(const struct store *store)
{
	return store->term;
}

const char *store_voted_for(const struct store *store)
{
	return store->voted_for;
}

enum store_error store_set_vote(struct store *store, uint64_t term,
				const char *voted_for)
{
	return store_save_hard_state(store, term, voted_for, store->cluster_id);
}

const Aw__Snapshot *store_snapshot(const struct store *store)
{
	return store->snapshot;
}

uint64_t store_first_index(const struct store *store)
{
	return store->first_index;
}

uint64_t store_last_index(const struct store *store)
{
	return store->first_index + store->nr_records - 1;
}

uint64_t store_bytes_through(const struct store *store, uint64_t index)
{
	uint64_t end_bytes = store->log_bytes;

	if (!store->nr_records || index < store->first_index)
		return 0;
	if (index < store_last_index(store))
		end_bytes = store->records[index + 1 - store->first_index]
				    .offset_bytes;
	return end_bytes - store->records[0].offset_bytes;
}

const Aw__LogEntry *store_entry(const struct store *store, uint64_t index)
{
	if (index < store->first_index || index > store_last_index(store))
		return NULL;
	return store->records[index - store->first_index].entry;
}

uint64_t store_entry_term(const struct store *store, uint64_t index)
{
	const Aw__LogEntry *entry = store_entry(store, index);

	if (entry)
		return entry->term;
	if (store->snapshot && store->snapshot->last_index == index)
		return store->snapshot->last_term;
	return 0;
}

/*
 * Appends the entries as records to data, and copies of them to store->records,
 * which must have room for them.
 */
static enum store_error add_records(struct store *store,
				    const Aw__LogEntry *const *entries,
				    size_t nr_entries, struct buf *data)
{
	struct buf packed = BUF_INIT;
	enum store_error error = STORE_ERR_MEMORY;

	for (size_t i = 0; i < nr_entries; i++) {
		size_t len_bytes = aw__log_entry__get_packed_size(entries[i]);
		struct log_record *record = &store->records[store->nr_records];

		buf_clear(&packed);
		if (buf_reserve(&packed, len_bytes))
			goto out;
		aw__log_entry__pack(entries[i], packed.data);
		record->offset_bytes = store->log_bytes + data->len_bytes;
		if (store_record_append(data, packed.data, len_bytes))
			goto out;
		record->entry =
			aw__log_entry__unpack(NULL, len_bytes, packed.data);
		if (!record->entry)
			goto out;
		store->nr_records++;
	}
	error = STORE_OK;
out:
	buf_release(&packed);
	return error;
}

enum store_error store_append(struct store *store,
			      const Aw__LogEntry *const *entries,
			      size_t nr_entries)
{
	size_t nr_before = store->nr_records;
	struct buf data = BUF_INIT;
	enum store_error error;

	if (store->failed)
		return STORE_ERR_FAILED;
	if (store_reserve_records(store, nr_entries))
		return STORE_ERR_MEMORY;
	error = add_records(store, entries, nr_entries, &data);
	if (!error) {
		error = store_write_all(&store->io, store->log_fd, data.data,
					data.len_bytes);
		if (error == STORE_ERR_FAILED)
			store_fail(store, "write to the log");
		else if (error && store_truncate_log(store, store->log_bytes))
			error = STORE_ERR_FAILED;
	}
	if (error)
		store_drop_back(store, nr_before);
	else
		store->log_bytes += data.len_bytes;
	buf_release(&data);
	return error;
}

enum store_error store_sync(struct store *store)
{
	if (store->failed)
		return STORE_ERR_FAILED;
	if (store->io.fsync(store->io.arg, store->log_fd))
		return store_fail(store, "sync of the log");
	return STORE_OK;
}

enum store_error store_truncate_from(struct store *store, uint64_t index)
{
	uint64_t nr_kept;
	enum store_error error;

	if (store->failed)
		return STORE_ERR_FAILED;
	if (index > store_last_index(store))
		return STORE_OK;
	if (index < store->first_index)
		return store_fail(store, "truncation before the first entry");
	nr_kept = index - store->first_index;
	error = store_truncate_log(store, store->records[nr_kept].offset_bytes);
	if (!error)
		store_drop_back(store, nr_kept);
	return error;
}

/*
 * Writes the remaining entries to a new log file. If the disk is full, the old
 * file stays in use: it only has additional entries at its front, which
 * store_open() skips.
 */
static enum store_error rewrite_log(struct store *store)
{
	uint64_t start_bytes = store->records[0].offset_bytes;
	uint64_t kept_bytes = store->log_bytes - start_bytes;
	struct buf data = BUF_INIT;
	char path[PATH_MAX];
	enum store_error error;
	int old_fd = store->log_fd;

	if (store_path(store, STORE_LOG_NAME, path) ||
	    store_read_file(path, start_bytes, &data) ||
	    data.len_bytes < kept_bytes) {
		buf_release(&data);
		return store_fail(store, "read of the log");
	}
	data.len_bytes = kept_bytes;
	error = replace_file(store, STORE_LOG_NAME, &data);
	buf_release(&data);
	if (error)
		return error == STORE_ERR_FAILED ? error : STORE_OK;
	store->log_fd = open(path, O_RDWR | O_APPEND | O_CLOEXEC);
	close(old_fd);
	if (store->log_fd < 0)
		return store_fail(store, "opening the new log");
	store->log_bytes = kept_bytes;
	for (size_t i = 0; i < store->nr_records; i++)
		store->records[i].offset_bytes -= start_bytes;
	return STORE_OK;
}

static Aw__Snapshot *copy_snapshot(const Aw__Snapshot *snapshot)
{
	size_t len_bytes = aw__snapshot__get_packed_size(snapshot);
	uint8_t *packed = malloc(len_bytes + 1);
	Aw__Snapshot *copy;

	if (!packed)
		return NULL;
	aw__snapshot__pack(snapshot, packed);
	copy = aw__snapshot__unpack(NULL, len_bytes, packed);
	free(packed);
	return copy;
}

enum store_error store_save_snapshot(struct store *store,
				     const Aw__Snapshot *snapshot)
{
	Aw__Snapshot *copy;
	enum store_error error;
	size_t nr;

	if (store->failed)
		return STORE_ERR_FAILED;
	copy = copy_snapshot(snapshot);
	if (!copy)
		return STORE_ERR_MEMORY;
	error = replace_record(store, STORE_SNAPSHOT_NAME, &snapshot->base);
	if (error) {
		aw__snapshot__free_unpacked(copy, NULL);
		return error;
	}
	if (store->snapshot)
		aw__snapshot__free_unpacked(store->snapshot, NULL);
	store->snapshot = copy;
	nr = store_nr_replaced(store, copy);
	store_drop_front(store, nr);
	store->first_index = copy->last_index + 1;
	return store->nr_records ? rewrite_log(store) :
				   store_truncate_log(store, 0);
}
