/*
 * sec: files that contain a secret.
 */
#ifndef SECRET_H
#define SECRET_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SEC_BYTES_MIN 16

/*
 * Reads the first line of a file, without its newline, into secret and
 * terminates it with NUL. The file must be a regular file that only its owner
 * and group can access, and the line must have SEC_BYTES_MIN to size_bytes - 1
 * bytes. If is_token, only visible ASCII is allowed, since the secret is sent
 * in an HTTP header. On failure returns false, with a message that names the
 * file in error_text.
 */
bool sec_read(const char *path, bool is_token, char *secret, size_t size_bytes,
	      size_t *len_bytes, char *error_text, size_t error_text_bytes);

#ifdef __cplusplus
}
#endif

#endif
