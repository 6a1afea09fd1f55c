/*
 * key: callers' keys.
 *
 * A key is "aw1_" and 32 random bytes in base64url without padding. Only its
 * hash is sent to the system and stored.
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

#define KEY_PREFIX "aw1_"
#define KEY_CHARS 47 /* prefix and 43 base64url characters */
#define KEY_TEXT_BYTES (KEY_CHARS + 1) /* with NUL */
#define KEY_DECODE_ROUNDS 3

/*
 * Writes a new random key. Returns 0, or -1 when libsodium cannot be
 * initialized.
 */
int key_generate(char text[KEY_TEXT_BYTES]);

/*
 * True if text has the form of a key.
 */
bool key_well_formed(const char *text);

/*
 * Hashes the whole text of the key, prefix included.
 */
void key_hash(const char *text, uint8_t hash[HASH_BYTES]);

/*
 * True if these characters have the form of a key.
 */
bool key_has_form(const char *text, size_t len_bytes);

/*
 * True if anything that has the form of a key appears in the text, also after
 * up to KEY_DECODE_ROUNDS rounds of percent-decoding. True as well when memory
 * for decoding is exhausted: what cannot be checked is not forwarded.
 */
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
