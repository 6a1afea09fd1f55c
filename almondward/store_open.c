#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <sodium.h>

#include "log.h"
#include "store_state.h"

/* The log is read in parts of this size, as it may take half of the memory. */
#define READ_BYTES ((size_t)1 << 20)

struct error_text {
	char *text;
	size_t bytes;
};

/*
 * Writes file, offset and cause to out, and returns error.
 */
static enum store_error error_at_offset(const struct error_text *out,
					enum store_error error, const char *dir,
					const char *name, uint64_t offset_bytes,
					const char *cause)
{
	if (out->bytes)
		snprintf(out->text, out->bytes, "%s/%s: offset %llu: %s", dir,
			 name, (unsigned long long)offset_bytes, cause);
	return error;
}

/*
 * As error_at_offset(), for a whole file, or for the directory if name is "".
 */
static enum store_error error_in_file(const struct error_text *out,
				      enum store_error error, const char *dir,
				      const char *name, const char *cause)
{
	if (out->bytes)
		snprintf(out->text, out->bytes, "%s%s%s: %s", dir,
			 *name ? "/" : "", name, cause);
	return error;
}

/*
 * As error_in_file(), with the text of errno as the cause.
 */
static enum store_error error_from_errno(const struct error_text *out,
					 enum store_error error,
					 const char *dir, const char *name)
{
	if (out->bytes)
		snprintf(out->text, out->bytes, "%s/%s: %s", dir, name,
			 strerror(errno));
	return error;
}

/*
 * Reads a file that consists of a single record. Sets *payload_bytes to 0 if
 * the file does not exist.
 */
static enum store_error read_record_file(const struct store *store,
					 const char *name, struct buf *data,
					 size_t *payload_bytes,
					 const struct error_text *out)
{
	char path[PATH_MAX];
	int error;

	*payload_bytes = 0;
	if (store_path(store, name, path)) {
		errno = ENAMETOOLONG;
		return error_from_errno(out, STORE_ERR_FAILED, store->dir,
					name);
	}
	error = store_read_file(path, 0, data);
	if (error == ENOENT)
		return STORE_OK;
	if (error) {
		errno = error;
		return error_from_errno(out,
					error == ENOMEM ? STORE_ERR_MEMORY :
							  STORE_ERR_FAILED,
					store->dir, name);
	}
	*payload_bytes = store_record_check(data->data, data->len_bytes);
	if (!*payload_bytes ||
	    *payload_bytes + STORE_RECORD_HEADER_BYTES != data->len_bytes)
		return error_at_offset(out, STORE_ERR_CORRUPT, store->dir, name,
				       0, "damaged record");
	return STORE_OK;
}

static enum store_error load_hard_state(struct store *store, bool *exists,
					const struct error_text *out)
{
	struct buf data = BUF_INIT;
	Aw__HardState *hard = NULL;
	size_t payload_bytes;
	enum store_error error = read_record_file(store, STORE_HARD_STATE_NAME,
						  &data, &payload_bytes, out);

	*exists = payload_bytes != 0;
	if (error || !*exists)
		goto out;
	hard = aw__hard_state__unpack(NULL, payload_bytes,
				      data.data + STORE_RECORD_HEADER_BYTES);
	if (!hard || !hard->incarnation ||
	    strlen(hard->voted_for) >= NAME_BYTES_MAX) {
		error = error_at_offset(out, STORE_ERR_CORRUPT, store->dir,
					STORE_HARD_STATE_NAME, 0,
					"malformed hard state");
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

/* Reads a file from its start on. */
struct reader {
	int fd;
	struct buf data; /* bytes that were read, some of them consumed */
	size_t consumed_bytes; /* at the front of data */
	uint64_t offset_bytes; /* in the file, of the first byte not consumed */
};

static const uint8_t *reader_data(const struct reader *reader)
{
	return reader->data.data + reader->consumed_bytes;
}

static size_t reader_bytes(const struct reader *reader)
{
	return reader->data.len_bytes - reader->consumed_bytes;
}

/*
 * Reads until len_bytes are available or the file ends. Returns 0 or an errno
 * value.
 */
static int reader_fill(struct reader *reader, size_t len_bytes)
{
	while (reader_bytes(reader) < len_bytes) {
		struct buf *data = &reader->data;
		ssize_t nr;

		buf_consume(data, reader->consumed_bytes);
		reader->consumed_bytes = 0;
		if (buf_reserve(data, READ_BYTES))
			return ENOMEM;
		nr = pread(reader->fd, data->data + data->len_bytes, READ_BYTES,
			   (off_t)(reader->offset_bytes + data->len_bytes));
		if (nr < 0 && errno == EINTR)
			continue;
		if (nr < 0)
			return errno;
		if (!nr)
			break;
		data->len_bytes += (size_t)nr;
	}
	return 0;
}

/*
 * Makes the record at the reader's position available as far as the file has
 * it. Returns 0 or an errno value.
 */
static int reader_fill_record(struct reader *reader)
{
	uint32_t payload_bytes;
	int error = reader_fill(reader, STORE_RECORD_HEADER_BYTES);

	if (error || reader_bytes(reader) < STORE_RECORD_HEADER_BYTES)
		return error;
	payload_bytes = store_record_payload_bytes(reader_data(reader));
	if (payload_bytes > STORE_LOG_RECORD_BYTES_MAX)
		payload_bytes = 0;
	return reader_fill(reader, STORE_RECORD_HEADER_BYTES + payload_bytes);
}

static void reader_consume(struct reader *reader, size_t len_bytes)
{
	reader->consumed_bytes += len_bytes;
	reader->offset_bytes += len_bytes;
}

static uint64_t random_id(void)
{
	uint64_t id;

	do
		randombytes_buf(&id, sizeof(id));
	while (!id);
	return id;
}

/*
 * Returns whether there is a valid log record after the damaged one at the start
 * of data. Tries every offset, since the length in the damaged record cannot be
 * trusted.
 */
static bool has_valid_record(const uint8_t *data, size_t len_bytes,
			     uint64_t last_index)
{
	const uint8_t tag_of_index = 0x08; /* first byte of a packed LogEntry */

	for (size_t at = 1; at + STORE_RECORD_HEADER_BYTES < len_bytes; at++) {
		const uint8_t *record = data + at;
		Aw__LogEntry *entry;
		size_t left_bytes = len_bytes - at;
		size_t payload_bytes;
		bool valid;

		if (record[STORE_RECORD_HEADER_BYTES] != tag_of_index)
			continue;
		if (left_bytes > STORE_LOG_RECORD_BYTES_MAX)
			left_bytes = STORE_LOG_RECORD_BYTES_MAX;
		payload_bytes = store_record_check(record, left_bytes);
		if (!payload_bytes)
			continue;
		entry = aw__log_entry__unpack(
			NULL, payload_bytes,
			record + STORE_RECORD_HEADER_BYTES);
		valid = entry && entry->index > last_index;
		if (entry)
			aw__log_entry__free_unpacked(entry, NULL);
		if (valid)
			return true;
	}
	return false;
}

static const char *check_log_entry(const Aw__LogEntry *entry,
				   uint64_t last_index, uint64_t last_term)
{
	if (!entry)
		return "malformed log entry";
	if (!entry->index || (last_index && entry->index != last_index + 1))
		return "log index out of order";
	if (!entry->term || entry->term < last_term)
		return "log term out of order";
	return NULL;
}

static enum store_error read_error(const struct store *store, int error,
				   const struct error_text *out)
{
	errno = error;
	return error_from_errno(
		out, error == ENOMEM ? STORE_ERR_MEMORY : STORE_ERR_FAILED,
		store->dir, STORE_LOG_NAME);
}

/*
 * Handles damaged bytes at the reader's position: at the end of the log they
 * are left out, with a warning; before a valid record they are an error.
 */
static enum store_error check_damage(const struct store *store,
				     struct reader *reader, uint64_t last_index,
				     const struct error_text *out)
{
	int error = reader_fill(reader, SIZE_MAX);

	if (error)
		return read_error(store, error, out);
	if (has_valid_record(reader_data(reader), reader_bytes(reader),
			     last_index))
		return error_at_offset(out, STORE_ERR_CORRUPT, store->dir,
				       STORE_LOG_NAME, reader->offset_bytes,
				       "damaged record before a valid one");
	log_warn("store", "%s/%s: removing %zu damaged bytes at offset %llu",
		 store->dir, STORE_LOG_NAME, reader_bytes(reader),
		 (unsigned long long)reader->offset_bytes);
	return STORE_OK;
}

/*
 * Reads the records of the log up to its end or the first damaged one.
 */
static enum store_error parse_log(struct store *store, struct reader *reader,
				  const struct error_text *out)
{
	uint64_t last_index = 0, last_term = 0;

	for (;;) {
		int fill_error = reader_fill_record(reader);
		Aw__LogEntry *entry;
		size_t payload_bytes;
		const char *cause;

		if (fill_error)
			return read_error(store, fill_error, out);
		store->log_bytes = reader->offset_bytes;
		if (!reader_bytes(reader))
			return STORE_OK;
		payload_bytes = store_record_check(reader_data(reader),
						   reader_bytes(reader));
		if (!payload_bytes)
			return check_damage(store, reader, last_index, out);
		if (store_reserve_records(store, 1))
			return read_error(store, ENOMEM, out);
		entry = aw__log_entry__unpack(
			NULL, payload_bytes,
			reader_data(reader) + STORE_RECORD_HEADER_BYTES);
		cause = check_log_entry(entry, last_index, last_term);
		if (cause) {
			if (entry)
				aw__log_entry__free_unpacked(entry, NULL);
			return error_at_offset(out, STORE_ERR_CORRUPT,
					       store->dir, STORE_LOG_NAME,
					       reader->offset_bytes, cause);
		}
		last_index = entry->index;
		last_term = entry->term;
		store->records[store->nr_records].entry = entry;
		store->records[store->nr_records++].offset_bytes =
			reader->offset_bytes;
		reader_consume(reader,
			       STORE_RECORD_HEADER_BYTES + payload_bytes);
	}
}

static enum store_error load_log(struct store *store,
				 const struct error_text *out)
{
	struct reader reader = { .fd = store->log_fd, .data = BUF_INIT };
	uint64_t snapshot_index = 0;
	enum store_error error = parse_log(store, &reader, out);

	buf_release(&reader.data);
	if (error)
		return error;
	if (store->snapshot) {
		snapshot_index = store->snapshot->last_index;
		store_drop_front(store,
				 store_nr_replaced(store, store->snapshot));
	}
	store->first_index = snapshot_index + 1;
	if (store->nr_records &&
	    store->records[0].entry->index != store->first_index)
		return error_at_offset(
			out, STORE_ERR_CORRUPT, store->dir, STORE_LOG_NAME, 0,
			"entries are missing before the first one");
	/*
	 * Also syncs records that an earlier process wrote but did not sync,
	 * since they are part of the log from now on. If the snapshot covers
	 * all entries, the file is emptied, so that the next entry does not
	 * leave a gap in its indexes.
	 */
	error = store_truncate_log(store,
				   store->nr_records ? store->log_bytes : 0);
	if (error)
		error_at_offset(out, error, store->dir, STORE_LOG_NAME,
				store->log_bytes,
				"cannot be truncated and synced");
	return error;
}

static enum store_error load_snapshot(struct store *store,
				      const struct error_text *out)
{
	struct buf data = BUF_INIT;
	size_t payload_bytes;
	enum store_error error = read_record_file(store, STORE_SNAPSHOT_NAME,
						  &data, &payload_bytes, out);

	if (error || !payload_bytes)
		goto out;
	store->snapshot = aw__snapshot__unpack(
		NULL, payload_bytes, data.data + STORE_RECORD_HEADER_BYTES);
	if (!store->snapshot || !store->snapshot->last_index ||
	    !store->snapshot->last_term)
		error = error_at_offset(out, STORE_ERR_CORRUPT, store->dir,
					STORE_SNAPSHOT_NAME, 0,
					"malformed snapshot");
out:
	buf_release(&data);
	return error;
}

static void remove_temporary_files(const struct store *store)
{
	static const char *const names[] = { STORE_LOG_NAME ".tmp",
					     STORE_SNAPSHOT_NAME ".tmp",
					     STORE_HARD_STATE_NAME ".tmp" };
	char path[PATH_MAX];

	for (size_t i = 0; i < sizeof(names) / sizeof(*names); i++)
		if (!store_path(store, names[i], path))
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
		return error_from_errno(out, STORE_ERR_MEMORY, dir, "");
	}
	store->io = io ? *io : store_system_io;
	store->dir_fd = store->lock_fd = store->log_fd = -1;
	store->first_index = 1;
	snprintf(store->dir, sizeof(store->dir), "%s", dir);
	store->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (store->dir_fd < 0 || store_path(store, "lock", path)) {
		error_from_errno(out, error, dir, "");
		goto fail;
	}
	store->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (store->lock_fd < 0) {
		error_from_errno(out, error, dir, "lock");
		goto fail;
	}
	if (flock(store->lock_fd, LOCK_EX | LOCK_NB)) {
		error = errno == EWOULDBLOCK ? STORE_ERR_LOCKED :
					       STORE_ERR_FAILED;
		error_from_errno(out, error, dir, "lock");
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

	if (store_path(store, STORE_LOG_NAME, path))
		return STORE_ERR_FAILED;
	store->log_fd =
		open(path, O_RDWR | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
	if (store->log_fd < 0)
		return error_from_errno(out,
					errno == ENOSPC ? STORE_ERR_FULL :
							  STORE_ERR_FAILED,
					store->dir, STORE_LOG_NAME);
	return STORE_OK;
}

/*
 * Returns the size of a file, 0 if it does not exist.
 */
static uint64_t file_bytes(const struct store *store, const char *name,
			   bool *exists)
{
	char path[PATH_MAX];
	struct stat st;

	*exists = !store_path(store, name, path) && !stat(path, &st);
	return *exists ? (uint64_t)st.st_size : 0;
}

/*
 * The hard state is the last file written when a directory is initialized, so a
 * directory without it is valid only if it has no other data.
 */
static bool is_empty(const struct store *store)
{
	bool hard_state, snapshot, log;
	uint64_t log_bytes;

	file_bytes(store, STORE_HARD_STATE_NAME, &hard_state);
	file_bytes(store, STORE_SNAPSHOT_NAME, &snapshot);
	log_bytes = file_bytes(store, STORE_LOG_NAME, &log);
	return !hard_state && !snapshot && !log_bytes;
}

static enum store_error sync_dir(struct store *store)
{
	if (store->io.fsync(store->io.arg, store->dir_fd))
		return store_fail(store, "sync of the directory");
	return STORE_OK;
}

static enum store_error init_dir(struct store *store,
				 const struct error_text *out)
{
	enum store_error error;

	if (!is_empty(store))
		return error_in_file(
			out, STORE_ERR_CORRUPT, store->dir,
			STORE_HARD_STATE_NAME,
			"missing although the directory is in use; an "
			"interrupted init must be repeated on an empty "
			"directory");
	error = open_log(store, out);
	if (error)
		return error;
	store->incarnation = random_id();
	error = store_save_hard_state(store, 0, "", 0);
	if (error)
		error_in_file(out, error, store->dir, STORE_HARD_STATE_NAME,
			      "cannot be written");
	return error;
}

/*
 * Loads the snapshot and the log of an initialized directory.
 */
static enum store_error load(struct store *store, const struct error_text *out)
{
	bool log_exists;
	enum store_error error;

	file_bytes(store, STORE_LOG_NAME, &log_exists);
	if (!log_exists)
		return error_in_file(out, STORE_ERR_CORRUPT, store->dir,
				     STORE_LOG_NAME, "missing");
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
	remove_temporary_files(opened);
	error = load_hard_state(opened, &exists, &out);
	if (!error)
		error = exists ? load(opened, &out) : init_dir(opened, &out);
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
	store_drop_back(store, 0);
	free(store->records);
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

enum store_error store_create_cluster(const char *dir, const char *name,
				      const struct store_io *io,
				      char *error_text, size_t error_text_bytes)
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
	remove_temporary_files(store);
	if (!is_empty(store)) {
		error = error_in_file(&out, STORE_ERR_NOT_EMPTY, dir, "",
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
		error = store_save_hard_state(store, 1, "", random_id());
	if (error)
		error_in_file(&out, error, dir, "", "cannot be written");
out:
	store_close(store);
	return error;
}
