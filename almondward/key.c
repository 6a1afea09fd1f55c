#include "key.h"

#include <stdio.h>
#include <string.h>

#include <sodium.h>

#define RANDOM_BYTES 32

int key_generate(char text[KEY_TEXT_BYTES])
{
	const size_t prefix_bytes = strlen(KEY_PREFIX);
	uint8_t random[RANDOM_BYTES];

	if (sodium_init() < 0)
		return -1;
	randombytes_buf(random, sizeof(random));
	snprintf(text, KEY_TEXT_BYTES, "%s", KEY_PREFIX);
	sodium_bin2base64(text + prefix_bytes, KEY_TEXT_BYTES - prefix_bytes,
			  random, sizeof(random),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(random, sizeof(random));
	return 0;
}

bool key_well_formed(const char *text)
{
	const size_t prefix_bytes = strlen(KEY_PREFIX);
	uint8_t random[RANDOM_BYTES];
	size_t nr_bytes;
	bool well_formed;

	if (strlen(text) != KEY_TEXT_BYTES - 1 ||
	    strncmp(text, KEY_PREFIX, prefix_bytes) != 0)
		return false;
	well_formed =
		!sodium_base642bin(random, sizeof(random), text + prefix_bytes,
				   KEY_TEXT_BYTES - 1 - prefix_bytes, NULL,
				   &nr_bytes, NULL,
				   sodium_base64_VARIANT_URLSAFE_NO_PADDING) &&
		nr_bytes == RANDOM_BYTES;
	sodium_memzero(random, sizeof(random));
	return well_formed;
}

void key_hash(const char *text, uint8_t hash[HASH_BYTES])
{
	crypto_generichash(hash, HASH_BYTES, (const uint8_t *)text,
			   strlen(text), NULL, 0);
}
