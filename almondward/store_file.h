/*
 * store_file: records and files of the store.
 *
 * A record is a head of two little-endian 32-bit numbers, the payload length
 * and a crc32 over that length and the payload, followed by the payload.
 */
#ifndef STORE_FILE_H
#define STORE_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "store.h"

#define STORE_RECORD_HEAD_BYTES 8
#define STORE_LOG_RECORD_BYTES_MAX (UINT32_C(4) << 20)

extern const struct store_io store_system_io;

/*
 * Appends one record. Returns 0, or -1 when memory is exhausted or the payload
 * is 4 GiB or more.
 */
int store_record_append(struct buf *out, const uint8_t *payload,
			size_t payload_bytes);

/*
 * Payload length of the record at the begin of data, or 0 when there is no
 * whole valid record. Records with an empty payload do not exist.
 */
size_t store_record_check(const uint8_t *data, size_t len_bytes);

/*
 * Writes all bytes. A part may have been written on error.
 */
enum store_error store_write_all(const struct store_io *io, int fd,
				 const uint8_t *data, size_t len_bytes);

/*
 * Appends a whole file to out. Returns 0 or an errno value.
 */
int store_read_file(const char *path, struct buf *out);

/*
 * Replaces dir/name by data: temporary file, sync, rename, sync of the
 * directory. Nothing has changed on STORE_ERR_FULL and STORE_ERR_MEMORY.
 */
enum store_error store_replace_file(const struct store_io *io, const char *dir,
				    int dir_fd, const char *name,
				    const uint8_t *data, size_t len_bytes);

#endif
