/*
 * hash: hashes with the same result on all instances, used to choose servers
 * and instances. They are not cryptographic.
 */
#ifndef HASH_H
#define HASH_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* The offset basis of FNV-1a. */
#define HASH_START UINT64_C(0xcbf29ce484222325)

/*
 * Mixes the bits, so that similar values give very different results.
 */
uint64_t hash_mix(uint64_t value);

/*
 * Adds a text to an FNV-1a hash that begins with HASH_START; returns the new
 * hash.
 */
uint64_t hash_add(uint64_t hash, const char *text);

/*
 * Returns the hash of one text, mixed by hash_mix().
 */
uint64_t hash_text(const char *text);

#ifdef __cplusplus
}
#endif

#endif
