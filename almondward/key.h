/*
 * key: callers' keys: form, hash, and search for misplaced ones.
 */
#ifndef KEY_H
#define KEY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define KEY_TEXT_BYTES 47 /* "aw1_" and 43 base64url characters, without NUL */

/*
 * True if the whole text has the form of a key.
 */
bool key_has_form(const char *text, size_t len_bytes);

/*
 * Hash under which a key is stored.
 */
void key_hash(const char *key, uint8_t hash[HASH_BYTES]);

/*
 * True if anything that has the form of a key appears in the text, also after
 * up to KEY_DECODE_ROUNDS rounds of percent-decoding. True as well when memory
 * for decoding is exhausted: what cannot be checked is not forwarded.
 */
#define KEY_DECODE_ROUNDS 3
bool key_in_text(const char *text, size_t len_bytes);

/*
 * True if this key appears in the body, also percent-decoded or when memory
 * for decoding is exhausted.
 */
bool key_in_body(const char *key, const uint8_t *body, size_t body_bytes);

#ifdef __cplusplus
}
#endif

#endif
