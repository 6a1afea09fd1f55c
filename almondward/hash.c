#include "hash.h"

/* The 64-bit finalizer of MurmurHash3. */
uint64_t hash_mix(uint64_t value)
{
	value ^= value >> 33;
	value *= UINT64_C(0xff51afd7ed558ccd);
	value ^= value >> 33;
	value *= UINT64_C(0xc4ceb9fe1a85ec53);
	return value ^ (value >> 33);
}

uint64_t hash_add(uint64_t hash, const char *text)
{
	for (; *text; text++)
		hash = (hash ^ (uint8_t)*text) * UINT64_C(0x100000001b3);
	return hash;
}

uint64_t hash_text(const char *text)
{
	return hash_mix(hash_add(HASH_START, text));
}
