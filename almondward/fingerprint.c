#include "fingerprint.h"

#include <string.h>

#include <sodium.h>

static void hash_string(crypto_generichash_state *state, const char *text)
{
	/* The NUL separates the strings. */
	crypto_generichash_update(state, (const uint8_t *)text,
				  strlen(text) + 1);
}

void fpr_make(uint64_t host, const char *customer,
	      const struct http_request *req, uint8_t body_hash[HASH_BYTES],
	      uint8_t out[HASH_BYTES])
{
	crypto_generichash_state state;
	uint8_t local_hash[HASH_BYTES];

	if (!body_hash)
		body_hash = local_hash;
	crypto_generichash(body_hash, HASH_BYTES, req->body, req->body_bytes,
			   NULL, 0);
	crypto_generichash_init(&state, NULL, 0, HASH_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)&host, sizeof(host));
	hash_string(&state, customer);
	hash_string(&state, req->method);
	hash_string(&state, req->target);
	crypto_generichash_update(&state, body_hash, HASH_BYTES);
	crypto_generichash_final(&state, out, HASH_BYTES);
}

const char *fpr_text(const uint8_t fingerprint[HASH_BYTES],
		     char text[FPR_TEXT_BYTES])
{
	return sodium_bin2hex(text, FPR_TEXT_BYTES, fingerprint,
			      (FPR_TEXT_BYTES - 1) / 2);
}
