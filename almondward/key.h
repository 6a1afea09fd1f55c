/*
 * key: API keys of callers.
 *
 * A key is "aw1_" and 32 random bytes in base64url without padding. Only its
 * hash is registered with almondward and stored.
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
 * Returns true if text is a key that key_generate() can have written: unlike
 * key_has_format(), this decodes the base64url part.
 */
bool key_well_formed(const char *text);

/*
 * Hashes the text of a key, including the prefix.
 */
void key_hash(const char *text, uint8_t hash[HASH_BYTES]);

/*
 * Returns true if the text consists of the prefix and the right number of
 * base64url characters.
 */
bool key_has_format(const char *text, size_t len_bytes);

/*
 * Returns true if the text contains anything with the format of a key, as it
 * is or after up to KEY_DECODE_ROUNDS rounds of percent-decoding. Returns true
 * as well when memory for decoding is exhausted: a text that cannot be checked
 * must not be forwarded.
 */
bool key_in_text(const char *text, size_t len_bytes);

/*
 * Returns true if the body contains this key, as it is or percent-decoded, or
 * when memory for decoding is exhausted.
 */
bool key_in_body(const char *key, const uint8_t *body, size_t body_bytes);

#ifdef __cplusplus
}
#endif

#endif
