#include "store_file.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <zlib.h>

static ssize_t system_write(void *arg, int fd, const void *data,
			    size_t len_bytes)
{
	(void)arg;
	return write(fd, data, len_bytes);
}

static int system_fsync(void *arg, int fd)
{
	(void)arg;
	return fsync(fd);
}

static int system_rename(void *arg, const char *from, const char *to)
{
	(void)arg;
	return rename(from, to);
}

static int system_ftruncate(void *arg, int fd, off_t len_bytes)
{
	(void)arg;
	return ftruncate(fd, len_bytes);
}

const struct store_io store_system_io = {
	.write = system_write,
	.fsync = system_fsync,
	.rename = system_rename,
	.ftruncate = system_ftruncate,
};

static uint32_t record_crc(uint32_t len_le, const uint8_t *payload,
			   size_t payload_bytes)
{
	uLong crc = crc32_z(0, (const uint8_t *)&len_le, sizeof(len_le));

	return (uint32_t)crc32_z(crc, payload, payload_bytes);
}

int store_record_append(struct buf *out, const uint8_t *payload,
			size_t payload_bytes)
{
	uint32_t header[2];

	if (payload_bytes > UINT32_MAX ||
	    buf_reserve(out, sizeof(header) + payload_bytes))
		return -1;
	header[0] = htole32((uint32_t)payload_bytes);
	header[1] = htole32(record_crc(header[0], payload, payload_bytes));
	buf_append(out, header, sizeof(header));
	buf_append(out, payload, payload_bytes);
	return 0;
}

uint32_t store_record_payload_bytes(const uint8_t *header)
{
	uint32_t len_le;

	memcpy(&len_le, header, sizeof(len_le));
	return le32toh(len_le);
}

size_t store_record_check(const uint8_t *data, size_t len_bytes)
{
	uint32_t header[2];
	size_t payload_bytes;

	if (len_bytes <= sizeof(header))
		return 0;
	memcpy(header, data, sizeof(header));
	payload_bytes = le32toh(header[0]);
	if (!payload_bytes || payload_bytes > len_bytes - sizeof(header))
		return 0;
	if (le32toh(header[1]) !=
	    record_crc(header[0], data + sizeof(header), payload_bytes))
		return 0;
	return payload_bytes;
}

enum store_error store_write_all(const struct store_io *io, int fd,
				 const uint8_t *data, size_t len_bytes)
{
	while (len_bytes) {
		ssize_t nr = io->write(io->arg, fd, data, len_bytes);

		if (nr > 0) {
			data += nr;
			len_bytes -= (size_t)nr;
			continue;
		}
		if (nr < 0 && errno == EINTR)
			continue;
		if (nr < 0 &&
		    (errno == ENOSPC || errno == EDQUOT || errno == EFBIG))
			return STORE_ERR_FULL;
		return STORE_ERR_FAILED;
	}
	return STORE_OK;
}

int store_read_file(const char *path, uint64_t offset_bytes, struct buf *out)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	struct stat st;
	int error = 0;

	if (fd < 0)
		return errno;
	if (fstat(fd, &st) || lseek(fd, (off_t)offset_bytes, SEEK_SET) < 0) {
		error = errno;
		goto out;
	}
	if ((uint64_t)st.st_size > offset_bytes &&
	    buf_reserve(out, (size_t)st.st_size - offset_bytes + 1)) {
		error = ENOMEM;
		goto out;
	}
	for (;;) {
		ssize_t nr;

		if (buf_reserve(out, 4096)) {
			error = ENOMEM;
			break;
		}
		nr = read(fd, out->data + out->len_bytes,
			  out->size_bytes - out->len_bytes);
		if (nr < 0 && errno == EINTR)
			continue;
		if (nr < 0)
			error = errno;
		if (nr <= 0)
			break;
		out->len_bytes += (size_t)nr;
	}
out:
	close(fd);
	return error;
}

enum store_error store_replace_file(const struct store_io *io, const char *dir,
				    int dir_fd, const char *name,
				    const uint8_t *data, size_t len_bytes)
{
	char path[PATH_MAX], tmp[PATH_MAX];
	enum store_error error;
	int fd;

	if (snprintf(path, sizeof(path), "%s/%s", dir, name) >=
		    (int)sizeof(path) ||
	    snprintf(tmp, sizeof(tmp), "%s/%s.tmp", dir, name) >=
		    (int)sizeof(tmp))
		return STORE_ERR_FAILED;
	fd = open(tmp, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	if (fd < 0)
		return errno == ENOSPC || errno == EDQUOT ? STORE_ERR_FULL :
							    STORE_ERR_FAILED;
	error = store_write_all(io, fd, data, len_bytes);
	if (!error && io->fsync(io->arg, fd))
		error = STORE_ERR_FAILED;
	if (close(fd) && !error)
		error = STORE_ERR_FAILED;
	if (error) {
		unlink(tmp);
		return error;
	}
	if (io->rename(io->arg, tmp, path) || io->fsync(io->arg, dir_fd))
		return STORE_ERR_FAILED;
	return STORE_OK;
}
