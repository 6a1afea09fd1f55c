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
#define KEY_TEXT_BYTES 48 /* with NUL */

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

#ifdef __cplusplus
}
#endif

#endif
