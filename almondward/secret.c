#include "secret.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <sodium.h>

static bool is_visible_ascii(const char *text, size_t len_bytes)
{
	size_t i;

	for (i = 0; i < len_bytes; i++) {
		if (text[i] <= ' ' || text[i] > '~')
			return false;
	}
	return true;
}

/*
 * Reads until the end of the file or until the buffer is full. Returns the
 * number of bytes, or -1.
 */
static ssize_t read_prefix(int fd, char *data, size_t size_bytes)
{
	size_t len_bytes = 0;
	ssize_t nr_bytes;

	while (len_bytes < size_bytes) {
		nr_bytes = read(fd, data + len_bytes, size_bytes - len_bytes);
		if (nr_bytes < 0 && errno == EINTR)
			continue;
		if (nr_bytes < 0)
			return -1;
		if (!nr_bytes)
			break;
		len_bytes += (size_t)nr_bytes;
	}
	return (ssize_t)len_bytes;
}

bool sec_read(const char *path, bool is_token, char *secret, size_t size_bytes,
	      size_t *len_bytes, char *error_text, size_t error_text_bytes)
{
	struct stat st;
	ssize_t nr_bytes;
	const char *newline;
	bool ok = false;
	int fd;

	/* O_NONBLOCK: opening a FIFO must not block until a writer opens it. */
	fd = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK | O_NOCTTY);
	if (fd < 0 || fstat(fd, &st)) {
		snprintf(error_text, error_text_bytes,
			 "secret file \"%s\" cannot be read: %s", path,
			 strerror(errno));
		goto out;
	}
	if (!S_ISREG(st.st_mode)) {
		snprintf(error_text, error_text_bytes,
			 "secret file \"%s\" is not a regular file", path);
		goto out;
	}
	if (st.st_mode & 0007) {
		snprintf(error_text, error_text_bytes,
			 "secret file \"%s\" has mode %04o: access by others "
			 "than owner and group must be off",
			 path, (unsigned)st.st_mode & 07777);
		goto out;
	}
	nr_bytes = read_prefix(fd, secret, size_bytes);
	if (nr_bytes < 0) {
		snprintf(error_text, error_text_bytes,
			 "secret file \"%s\" cannot be read: %s", path,
			 strerror(errno));
		goto out;
	}
	newline = memchr(secret, '\n', (size_t)nr_bytes);
	*len_bytes = newline ? (size_t)(newline - secret) : (size_t)nr_bytes;
	if (*len_bytes < SEC_BYTES_MIN || *len_bytes >= size_bytes) {
		snprintf(error_text, error_text_bytes,
			 "first line of secret file \"%s\" must have %d to "
			 "%zu bytes",
			 path, SEC_BYTES_MIN, size_bytes - 1);
		goto out;
	}
	if (is_token && !is_visible_ascii(secret, *len_bytes)) {
		snprintf(error_text, error_text_bytes,
			 "first line of secret file \"%s\" must be visible "
			 "ASCII without spaces",
			 path);
		goto out;
	}
	sodium_memzero(secret + *len_bytes, size_bytes - *len_bytes);
	ok = true;
out:
	if (!ok)
		sodium_memzero(secret, size_bytes);
	if (fd >= 0)
		close(fd);
	return ok;
}
