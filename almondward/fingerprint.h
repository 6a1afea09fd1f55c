/*
 * fpr: fingerprints, which are the same for all attempts of a request.
 *
 * A caller that repeats a request uses a new request id. The host, customer,
 * method, target and body stay the same; other headers are ignored.
 */
#ifndef FINGERPRINT_H
#define FINGERPRINT_H

#include <stdint.h>

#include "http.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FPR_TEXT_BYTES 17 /* including the NUL */

/*
 * Computes the fingerprint of a request. host is a hash of the route's host,
 * since callers may spell it in several ways, or 0 if the route has none.
 * customer is "" on routes without keys. body_hash receives the hash of the
 * body and may be NULL.
 */
void fpr_make(uint64_t host, const char *customer,
	      const struct http_request *req, uint8_t body_hash[HASH_BYTES],
	      uint8_t out[HASH_BYTES]);

/*
 * Writes the first bytes in hexadecimal, for the log. Returns text.
 */
const char *fpr_text(const uint8_t fingerprint[HASH_BYTES],
		     char text[FPR_TEXT_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
