/*
 * store_file: record format and file access of the store.
 *
 * A record is a header of two little-endian 32-bit numbers, the payload length
 * and a CRC-32 of that length and the payload, followed by the payload.
 */
#ifndef STORE_FILE_H
#define STORE_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "store.h"

#define STORE_RECORD_HEADER_BYTES 8
#define STORE_LOG_RECORD_BYTES_MAX (UINT32_C(4) << 20)

extern const struct store_io store_system_io;

/*
 * Appends one record. Returns 0, or -1 if memory is exhausted or the payload
 * is 4 GiB or more.
 */
int store_record_append(struct buf *out, const uint8_t *payload,
			size_t payload_bytes);

/*
 * Returns the payload length that a record header of STORE_RECORD_HEADER_BYTES
 * names. It cannot be trusted before store_record_check().
 */
uint32_t store_record_payload_bytes(const uint8_t *header);

/*
 * Returns the payload length of the record at the start of data, or 0 if there
 * is no complete and valid record. A record never has an empty payload.
 */
size_t store_record_check(const uint8_t *data, size_t len_bytes);

/*
 * Writes all bytes. On error, a part of them may have been written.
 */
enum store_error store_write_all(const struct store_io *io, int fd,
				 const uint8_t *data, size_t len_bytes);

/*
 * Appends the contents of a file from an offset on to out. Returns 0 or an errno
 * value.
 */
int store_read_file(const char *path, uint64_t offset_bytes, struct buf *out);

/*
 * Atomically replaces the contents of dir/name: writes a temporary file, syncs
 * it, renames it and syncs the directory. After STORE_ERR_FULL and
 * STORE_ERR_MEMORY the old contents are unchanged.
 */
enum store_error store_replace_file(const struct store_io *io, const char *dir,
				    int dir_fd, const char *name,
				    const uint8_t *data, size_t len_bytes);

#endif
