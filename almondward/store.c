#include "store.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include <sodium.h>

#include "log.h"
#include "store_file.h"

#define LOG_NAME "log"
#define SNAPSHOT_NAME "snapshot"
#define HARD_STATE_NAME "hard-state"

struct slot {
	Aw__LogEntry *entry;
	uint64_t offset_bytes; /* of its record in the log file */
};

struct store {
	char dir[PATH_MAX];
	struct store_io io;
	int dir_fd;
	int lock_fd;
	int log_fd;
	bool failed;
	uint64_t term;
	char voted_for[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t cluster_id;
	Aw__Snapshot *snapshot;
	struct slot *slots;
	size_t nr_slots;
	size_t size_slots;
	uint64_t first_index;
	uint64_t log_bytes;
};

struct error_text {
	char *text;
	size_t bytes;
};

static enum store_error explain(const struct error_text *out,
				enum store_error error, const char *dir,
				const char *name, uint64_t offset_bytes,
				const char *cause)
{
	if (out->bytes)
		snprintf(out->text, out->bytes, "%s/%s: offset %llu: %s", dir,
			 name, (unsigned long long)offset_bytes, cause);
	return error;
}

static enum store_error explain_errno(const struct error_text *out,
				      enum store_error error, const char *dir,
				      const char *name)
{
	if (out->bytes)
		snprintf(out->text, out->bytes, "%s/%s: %s", dir, name,
			 strerror(errno));
	return error;
}

static enum store_error fail(struct store *store, const char *what)
{
	log_error("store", "%s: %s failed, the store cannot be used any more",
		  store->dir, what);
	store->failed = true;
	return STORE_ERR_FAILED;
}

static int path_of(const struct store *store, const char *name, char *path)
{
	return snprintf(path, PATH_MAX, "%s/%s", store->dir, name) >= PATH_MAX ?
		       -1 :
		       0;
}

/*
 * A full disk and exhausted memory leave the store as it was; everything else
 * leaves it unknown what is on disk.
 */
static enum store_error replace_file(struct store *store, const char *name,
				     const struct buf *data)
{
	enum store_error error =
		store_replace_file(&store->io, store->dir, store->dir_fd, name,
				   data->data, data->len_bytes);

	if (error == STORE_ERR_FAILED)
		return fail(store, name);
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

/* ---- term, vote, identity ---- */

static enum store_error save_hard_state(struct store *store, uint64_t term,
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
	error = replace_record(store, HARD_STATE_NAME, &hard.base);
	if (error)
		return error;
	store->term = term;
	memcpy(store->voted_for, voted, sizeof(voted));
	store->cluster_id = cluster_id;
	return STORE_OK;
}

/*
 * Reads one file that holds a single record. *payload_bytes is 0 when the file
 * does not exist.
 */
static enum store_error read_record_file(const struct store *store,
					 const char *name, struct buf *data,
					 size_t *payload_bytes,
					 const struct error_text *out)
{
	char path[PATH_MAX];
	int error;

	*payload_bytes = 0;
	if (path_of(store, name, path)) {
		errno = ENAMETOOLONG;
		return explain_errno(out, STORE_ERR_FAILED, store->dir, name);
	}
	error = store_read_file(path, data);
	if (error == ENOENT)
		return STORE_OK;
	if (error) {
		errno = error;
		return explain_errno(out,
				     error == ENOMEM ? STORE_ERR_MEMORY :
						       STORE_ERR_FAILED,
				     store->dir, name);
	}
	*payload_bytes = store_record_check(data->data, data->len_bytes);
	if (!*payload_bytes ||
	    *payload_bytes + STORE_RECORD_HEAD_BYTES != data->len_bytes)
		return explain(out, STORE_ERR_CORRUPT, store->dir, name, 0,
			       "damaged record");
	return STORE_OK;
}

static enum store_error load_hard_state(struct store *store, bool *exists,
					const struct error_text *out)
{
	struct buf data = BUF_INIT;
	Aw__HardState *hard = NULL;
	size_t payload_bytes;
	enum store_error error = read_record_file(store, HARD_STATE_NAME, &data,
						  &payload_bytes, out);

	*exists = payload_bytes != 0;
	if (error || !*exists)
		goto out;
	hard = aw__hard_state__unpack(NULL, payload_bytes,
				      data.data + STORE_RECORD_HEAD_BYTES);
	if (!hard || !hard->incarnation ||
	    strlen(hard->voted_for) >= NAME_BYTES_MAX) {
		error = explain(out, STORE_ERR_CORRUPT, store->dir,
				HARD_STATE_NAME, 0, "malformed hard state");
		goto out;
	}
	store->term = hard->term;
	snprintf(store->voted_for, sizeof(store->voted_for), "%s",
		 hard->voted_for);
	store->incarnation = hard->incarnation;
	store->cluster_id = hard->cluster_id;
out:
	if (hard)
		aw__hard_state__free_unpacked(hard, NULL);
	buf_release(&data);
	return error;
}

static uint64_t random_id(void)
{
	uint64_t id;

	do
		randombytes_buf(&id, sizeof(id));
	while (!id);
	return id;
}

/* ---- log ---- */

static int reserve_slots(struct store *store, size_t extra)
{
	size_t size = store->size_slots ? store->size_slots : 64;
	struct slot *slots;

	while (size < store->nr_slots + extra)
		size *= 2;
	if (size == store->size_slots)
		return 0;
	slots = realloc(store->slots, size * sizeof(*slots));
	if (!slots)
		return -1;
	store->slots = slots;
	store->size_slots = size;
	return 0;
}

static void drop_front(struct store *store, size_t nr)
{
	for (size_t i = 0; i < nr; i++)
		aw__log_entry__free_unpacked(store->slots[i].entry, NULL);
	store->nr_slots -= nr;
	if (store->nr_slots)
		memmove(store->slots, store->slots + nr,
			store->nr_slots * sizeof(*store->slots));
}

static void drop_back(struct store *store, size_t nr_kept)
{
	while (store->nr_slots > nr_kept)
		aw__log_entry__free_unpacked(
			store->slots[--store->nr_slots].entry, NULL);
}

/*
 * Shortens the log file durably. Without the sync, cut entries could come back
 * after a crash next to others of the same index and term.
 */
static enum store_error truncate_log(struct store *store, uint64_t len_bytes)
{
	if (store->io.ftruncate(store->io.arg, store->log_fd, (off_t)len_bytes))
		return fail(store, "truncation of the log");
	if (store->io.fsync(store->io.arg, store->log_fd))
		return fail(store, "sync of the log");
	store->log_bytes = len_bytes;
	return STORE_OK;
}

/*
 * Offset of a valid log record after a damaged one, or 0. Any offset can be a
 * begin, as the length of the damaged record cannot be trusted.
 */
static size_t next_valid_record(const struct buf *data, size_t offset_bytes,
				uint64_t last_index)
{
	const uint8_t tag_of_index = 0x08; /* first byte of a packed entry */

	for (size_t at = offset_bytes + 1;
	     at + STORE_RECORD_HEAD_BYTES < data->len_bytes; at++) {
		const uint8_t *record = data->data + at;
		Aw__LogEntry *entry;
		size_t left_bytes = data->len_bytes - at;
		size_t payload_bytes;
		bool valid;

		if (record[STORE_RECORD_HEAD_BYTES] != tag_of_index)
			continue;
		if (left_bytes > STORE_LOG_RECORD_BYTES_MAX)
			left_bytes = STORE_LOG_RECORD_BYTES_MAX;
		payload_bytes = store_record_check(record, left_bytes);
		if (!payload_bytes)
			continue;
		entry = aw__log_entry__unpack(NULL, payload_bytes,
					      record + STORE_RECORD_HEAD_BYTES);
		valid = entry && entry->index > last_index;
		if (entry)
			aw__log_entry__free_unpacked(entry, NULL);
		if (valid)
			return at;
	}
	return 0;
}

static const char *check_entry(const Aw__LogEntry *entry, uint64_t last_index,
			       uint64_t last_term)
{
	if (!entry)
		return "malformed log entry";
	if (!entry->index || (last_index && entry->index != last_index + 1))
		return "log index out of order";
	if (!entry->term || entry->term < last_term)
		return "log term out of order";
	return NULL;
}

static enum store_error parse_log(struct store *store, const struct buf *data,
				  const struct error_text *out)
{
	uint64_t last_index = 0, last_term = 0;
	size_t at = 0;

	while (at < data->len_bytes) {
		size_t left_bytes = data->len_bytes - at;
		size_t payload_bytes =
			store_record_check(data->data + at, left_bytes);
		Aw__LogEntry *entry;
		const char *cause;

		if (!payload_bytes) {
			if (next_valid_record(data, at, last_index))
				return explain(out, STORE_ERR_CORRUPT,
					       store->dir, LOG_NAME, at,
					       "damaged record before a valid "
					       "one");
			log_warn("store", "%s/%s: cut %zu bytes at offset %zu",
				 store->dir, LOG_NAME, left_bytes, at);
			break;
		}
		if (reserve_slots(store, 1))
			return explain(out, STORE_ERR_MEMORY, store->dir,
				       LOG_NAME, at, "out of memory");
		entry = aw__log_entry__unpack(
			NULL, payload_bytes,
			data->data + at + STORE_RECORD_HEAD_BYTES);
		cause = check_entry(entry, last_index, last_term);
		if (cause) {
			if (entry)
				aw__log_entry__free_unpacked(entry, NULL);
			return explain(out, STORE_ERR_CORRUPT, store->dir,
				       LOG_NAME, at, cause);
		}
		last_index = entry->index;
		last_term = entry->term;
		store->slots[store->nr_slots].entry = entry;
		store->slots[store->nr_slots++].offset_bytes = at;
		at += STORE_RECORD_HEAD_BYTES + payload_bytes;
	}
	store->log_bytes = at;
	return STORE_OK;
}

/*
 * Number of entries at the front of the log that a snapshot replaces. When the
 * log differs from the snapshot at its last index, or ends before it, that is
 * all of them.
 */
static size_t nr_replaced(const struct store *store,
			  const Aw__Snapshot *snapshot)
{
	uint64_t first, offset;

	if (!store->nr_slots)
		return 0;
	first = store->slots[0].entry->index;
	if (snapshot->last_index < first)
		return 0;
	offset = snapshot->last_index - first;
	if (offset >= store->nr_slots ||
	    store->slots[offset].entry->term != snapshot->last_term)
		return store->nr_slots;
	return offset + 1;
}

static enum store_error load_log(struct store *store,
				 const struct error_text *out)
{
	struct buf data = BUF_INIT;
	char path[PATH_MAX];
	enum store_error error = STORE_ERR_FAILED;
	uint64_t snapshot_index = 0;
	int read_error;

	if (path_of(store, LOG_NAME, path))
		goto out;
	read_error = store_read_file(path, &data);
	if (read_error) {
		errno = read_error;
		error = explain_errno(out, STORE_ERR_FAILED, store->dir,
				      LOG_NAME);
		goto out;
	}
	error = parse_log(store, &data, out);
	if (error)
		goto out;
	if (store->snapshot) {
		snapshot_index = store->snapshot->last_index;
		drop_front(store, nr_replaced(store, store->snapshot));
	}
	store->first_index = snapshot_index + 1;
	if (store->nr_slots &&
	    store->slots[0].entry->index != store->first_index) {
		error = explain(out, STORE_ERR_CORRUPT, store->dir, LOG_NAME, 0,
				"entries are missing before the first one");
		goto out;
	}
	/*
	 * Also syncs what an earlier process wrote but did not sync, since it
	 * now counts. Entries that all precede the snapshot are removed, so
	 * that the next one does not leave a gap in the file.
	 */
	error = truncate_log(store, store->nr_slots ? store->log_bytes : 0);
	if (error)
		explain(out, error, store->dir, LOG_NAME, store->log_bytes,
			"cannot be truncated and synced");
out:
	buf_release(&data);
	return error;
}

static enum store_error load_snapshot(struct store *store,
				      const struct error_text *out)
{
	struct buf data = BUF_INIT;
	size_t payload_bytes;
	enum store_error error = read_record_file(store, SNAPSHOT_NAME, &data,
						  &payload_bytes, out);

	if (error || !payload_bytes)
		goto out;
	store->snapshot = aw__snapshot__unpack(
		NULL, payload_bytes, data.data + STORE_RECORD_HEAD_BYTES);
	if (!store->snapshot || !store->snapshot->last_index ||
	    !store->snapshot->last_term)
		error = explain(out, STORE_ERR_CORRUPT, store->dir,
				SNAPSHOT_NAME, 0, "malformed snapshot");
out:
	buf_release(&data);
	return error;
}

/* ---- open and close ---- */

static void remove_temporary(const struct store *store)
{
	static const char *const names[] = { LOG_NAME ".tmp",
					     SNAPSHOT_NAME ".tmp",
					     HARD_STATE_NAME ".tmp" };
	char path[PATH_MAX];

	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++)
		if (!path_of(store, names[i], path))
			unlink(path);
}

static enum store_error open_dir(const char *dir, const struct store_io *io,
				 struct store **result,
				 const struct error_text *out)
{
	struct store *store = calloc(1, sizeof(*store));
	char path[PATH_MAX];
	enum store_error error = STORE_ERR_FAILED;

	if (!store) {
		errno = ENOMEM;
		return explain_errno(out, STORE_ERR_MEMORY, dir, "");
	}
	store->io = io ? *io : store_system_io;
	store->dir_fd = store->lock_fd = store->log_fd = -1;
	store->first_index = 1;
	snprintf(store->dir, sizeof(store->dir), "%s", dir);
	store->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->dir_fd < 0 || path_of(store, "lock", path)) {
		explain_errno(out, error, dir, "");
		goto fail;
	}
	store->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (store->lock_fd < 0) {
		explain_errno(out, error, dir, "lock");
		goto fail;
	}
	if (flock(store->lock_fd, LOCK_EX | LOCK_NB)) {
		error = errno == EWOULDBLOCK ? STORE_ERR_LOCKED :
					       STORE_ERR_FAILED;
		explain_errno(out, error, dir, "lock");
		goto fail;
	}
	*result = store;
	return STORE_OK;
fail:
	store_close(store);
	return error;
}

static enum store_error open_log(struct store *store,
				 const struct error_text *out)
{
	char path[PATH_MAX];

	if (path_of(store, LOG_NAME, path))
		return STORE_ERR_FAILED;
	store->log_fd =
		open(path, O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
	if (store->log_fd < 0)
		return explain_errno(out,
				     errno == ENOSPC ? STORE_ERR_FULL :
						       STORE_ERR_FAILED,
				     store->dir, LOG_NAME);
	return STORE_OK;
}

static uint64_t file_bytes(const struct store *store, const char *name,
			   bool *exists)
{
	char path[PATH_MAX];
	struct buf data = BUF_INIT;
	uint64_t len_bytes;

	*exists = !path_of(store, name, path) && !access(path, F_OK);
	if (*exists)
		store_read_file(path, &data);
	len_bytes = data.len_bytes;
	buf_release(&data);
	return len_bytes;
}

/*
 * The hard state is written last when a directory is set up, so a directory
 * without it must not hold anything else.
 */
static bool is_empty(const struct store *store)
{
	bool hard_state, snapshot, log;
	uint64_t log_bytes;

	file_bytes(store, HARD_STATE_NAME, &hard_state);
	file_bytes(store, SNAPSHOT_NAME, &snapshot);
	log_bytes = file_bytes(store, LOG_NAME, &log);
	return !hard_state && !snapshot && !log_bytes;
}

static enum store_error sync_dir(struct store *store)
{
	if (store->io.fsync(store->io.arg, store->dir_fd))
		return fail(store, "sync of the directory");
	return STORE_OK;
}

static enum store_error set_up(struct store *store,
			       const struct error_text *out)
{
	enum store_error error;

	if (!is_empty(store))
		return explain(out, STORE_ERR_CORRUPT, store->dir,
			       HARD_STATE_NAME, 0,
			       "missing although the directory is in use; an "
			       "interrupted init must be repeated on an empty "
			       "directory");
	error = open_log(store, out);
	if (error)
		return error;
	store->incarnation = random_id();
	error = save_hard_state(store, 0, "", 0);
	if (error)
		explain(out, error, store->dir, HARD_STATE_NAME, 0,
			"cannot be written");
	return error;
}

static enum store_error load(struct store *store, const struct error_text *out)
{
	bool log_exists;
	enum store_error error;

	file_bytes(store, LOG_NAME, &log_exists);
	if (!log_exists)
		return explain(out, STORE_ERR_CORRUPT, store->dir, LOG_NAME, 0,
			       "missing");
	error = open_log(store, out);
	if (!error)
		error = load_snapshot(store, out);
	if (!error)
		error = load_log(store, out);
	if (!error)
		error = sync_dir(store);
	return error;
}

enum store_error store_open(const char *dir, const struct store_io *io,
			    struct store **store, char *error_text,
			    size_t error_text_bytes)
{
	const struct error_text out = { error_text, error_text_bytes };
	struct store *opened;
	enum store_error error;
	bool exists;

	if (error_text_bytes)
		*error_text = '\0';
	error = open_dir(dir, io, &opened, &out);
	if (error)
		return error;
	remove_temporary(opened);
	error = load_hard_state(opened, &exists, &out);
	if (!error)
		error = exists ? load(opened, &out) : set_up(opened, &out);
	if (error) {
		store_close(opened);
		return error;
	}
	*store = opened;
	return STORE_OK;
}

void store_close(struct store *store)
{
	if (!store)
		return;
	drop_back(store, 0);
	free(store->slots);
	if (store->snapshot)
		aw__snapshot__free_unpacked(store->snapshot, NULL);
	if (store->log_fd >= 0)
		close(store->log_fd);
	if (store->lock_fd >= 0)
		close(store->lock_fd);
	if (store->dir_fd >= 0)
		close(store->dir_fd);
	free(store);
}

enum store_error store_found(const char *dir, const char *name,
			     const struct store_io *io, char *error_text,
			     size_t error_text_bytes)
{
	const struct error_text out = { error_text, error_text_bytes };
	char voter_name[NAME_BYTES_MAX];
	Aw__Voter voter = AW__VOTER__INIT;
	Aw__Voter *voters[] = { &voter };
	Aw__LogEntry entry = AW__LOG_ENTRY__INIT;
	const Aw__LogEntry *entries[] = { &entry };
	struct store *store;
	enum store_error error;

	if (error_text_bytes)
		*error_text = '\0';
	error = open_dir(dir, io, &store, &out);
	if (error)
		return error;
	remove_temporary(store);
	if (!is_empty(store)) {
		error = explain(&out, STORE_ERR_NOT_EMPTY, dir, "", 0,
				"the directory is not empty");
		goto out;
	}
	error = open_log(store, &out);
	if (error)
		goto out;
	store->incarnation = random_id();
	snprintf(voter_name, sizeof(voter_name), "%s", name);
	voter.name = voter_name;
	voter.incarnation = store->incarnation;
	entry.index = 1;
	entry.term = 1;
	entry.kind = AW__ENTRY_KIND__ENTRY_VOTERS;
	entry.n_voters = 1;
	entry.voters = voters;
	error = store_append(store, entries, 1);
	if (!error)
		error = store_sync(store);
	if (!error)
		error = save_hard_state(store, 1, "", random_id());
	if (error)
		explain(&out, error, dir, "", 0, "cannot be written");
out:
	store_close(store);
	return error;
}

/* ---- access ---- */

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
	return save_hard_state(store, store->term, store->voted_for, id);
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
	return save_hard_state(store, term, voted_for, store->cluster_id);
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
	return store->first_index + store->nr_slots - 1;
}

const Aw__LogEntry *store_entry(const struct store *store, uint64_t index)
{
	if (index < store->first_index || index > store_last_index(store))
		return NULL;
	return store->slots[index - store->first_index].entry;
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

/* ---- changes ---- */

/*
 * Packs entries as records and keeps copies of them in the free slots.
 */
static enum store_error add_records(struct store *store,
				    const Aw__LogEntry *const *entries,
				    size_t nr_entries, struct buf *records)
{
	struct buf packed = BUF_INIT;
	enum store_error error = STORE_ERR_MEMORY;

	for (size_t i = 0; i < nr_entries; i++) {
		size_t len_bytes = aw__log_entry__get_packed_size(entries[i]);
		struct slot *slot = &store->slots[store->nr_slots];

		buf_clear(&packed);
		if (buf_reserve(&packed, len_bytes))
			goto out;
		aw__log_entry__pack(entries[i], packed.data);
		slot->offset_bytes = store->log_bytes + records->len_bytes;
		if (store_record_append(records, packed.data, len_bytes))
			goto out;
		slot->entry =
			aw__log_entry__unpack(NULL, len_bytes, packed.data);
		if (!slot->entry)
			goto out;
		store->nr_slots++;
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
	size_t nr_before = store->nr_slots;
	struct buf records = BUF_INIT;
	enum store_error error;

	if (store->failed)
		return STORE_ERR_FAILED;
	if (reserve_slots(store, nr_entries))
		return STORE_ERR_MEMORY;
	error = add_records(store, entries, nr_entries, &records);
	if (!error) {
		error = store_write_all(&store->io, store->log_fd, records.data,
					records.len_bytes);
		if (error == STORE_ERR_FAILED)
			fail(store, "write to the log");
		else if (error && truncate_log(store, store->log_bytes))
			error = STORE_ERR_FAILED;
	}
	if (error)
		drop_back(store, nr_before);
	else
		store->log_bytes += records.len_bytes;
	buf_release(&records);
	return error;
}

enum store_error store_sync(struct store *store)
{
	if (store->failed)
		return STORE_ERR_FAILED;
	if (store->io.fsync(store->io.arg, store->log_fd))
		return fail(store, "sync of the log");
	return STORE_OK;
}

enum store_error store_cut(struct store *store, uint64_t index)
{
	uint64_t nr_kept;
	enum store_error error;

	if (store->failed)
		return STORE_ERR_FAILED;
	if (index > store_last_index(store))
		return STORE_OK;
	if (index < store->first_index)
		return fail(store, "cut before the first entry");
	nr_kept = index - store->first_index;
	error = truncate_log(store, store->slots[nr_kept].offset_bytes);
	if (!error)
		drop_back(store, nr_kept);
	return error;
}

/*
 * Writes the remaining entries to a new log file. On a full disk the old file
 * stays in use: it only has more entries at its front, which the next start
 * skips.
 */
static enum store_error rewrite_log(struct store *store)
{
	uint64_t start_bytes = store->slots[0].offset_bytes;
	uint64_t kept_bytes = store->log_bytes - start_bytes;
	struct buf data = BUF_INIT;
	char path[PATH_MAX];
	enum store_error error;
	int old_fd = store->log_fd;

	if (path_of(store, LOG_NAME, path) || store_read_file(path, &data) ||
	    data.len_bytes < store->log_bytes) {
		buf_release(&data);
		return fail(store, "read of the log");
	}
	buf_consume(&data, start_bytes);
	data.len_bytes = kept_bytes;
	error = replace_file(store, LOG_NAME, &data);
	buf_release(&data);
	if (error)
		return error == STORE_ERR_FAILED ? error : STORE_OK;
	store->log_fd = open(path, O_RDWR | O_APPEND | O_CLOEXEC);
	close(old_fd);
	if (store->log_fd < 0)
		return fail(store, "opening the new log");
	store->log_bytes = kept_bytes;
	for (size_t i = 0; i < store->nr_slots; i++)
		store->slots[i].offset_bytes -= start_bytes;
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
	error = replace_record(store, SNAPSHOT_NAME, &snapshot->base);
	if (error) {
		aw__snapshot__free_unpacked(copy, NULL);
		return error;
	}
	if (store->snapshot)
		aw__snapshot__free_unpacked(store->snapshot, NULL);
	store->snapshot = copy;
	nr = nr_replaced(store, copy);
	drop_front(store, nr);
	store->first_index = copy->last_index + 1;
	return store->nr_slots ? rewrite_log(store) : truncate_log(store, 0);
}
