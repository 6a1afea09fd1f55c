/*
 * hash: hashes that all instances compute alike. They choose servers and
 * instances and keep no secrets.
 */
#ifndef HASH_H
#define HASH_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define HASH_START UINT64_C(0xcbf29ce484222325)

/*
 * Spreads similar values far apart.
 */
uint64_t hash_mix(uint64_t value);

/*
 * Continues with a text (FNV-1a), from HASH_START on.
 */
uint64_t hash_add(uint64_t hash, const char *text);

/*
 * Hash of one text, spread.
 */
uint64_t hash_text(const char *text);

#ifdef __cplusplus
}
#endif

#endif
