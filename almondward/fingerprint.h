/*
 * fpr: what all sendings of one request have in common.
 *
 * A caller that repeats a request does so under a new id. Its host, customer,
 * method, target and body are the same; other headers do not count.
 */
#ifndef FINGERPRINT_H
#define FINGERPRINT_H

#include <stdint.h>

#include "http.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FPR_TEXT_BYTES 17 /* with NUL */

/*
 * host is a hash of the route's host, since callers may write it in several
 * ways, and 0 where routes have none. customer is "" on routes without key.
 * body_hash may be NULL if the hash of the body is not needed otherwise.
 */
void fpr_make(uint64_t host, const char *customer,
	      const struct http_request *req, uint8_t body_hash[HASH_BYTES],
	      uint8_t out[HASH_BYTES]);

/*
 * The first bytes in hexadecimal digits, for the log. Returns text.
 */
const char *fpr_text(const uint8_t fingerprint[HASH_BYTES],
		     char text[FPR_TEXT_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
