#include "key.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define PREFIX_BYTES (sizeof(KEY_PREFIX) - 1)

static bool is_base64url(unsigned char c)
{
	return isalnum(c) || c == '-' || c == '_';
}

bool key_has_format(const char *text, size_t len_bytes)
{
	size_t i;

	if (len_bytes != KEY_CHARS ||
	    memcmp(text, KEY_PREFIX, PREFIX_BYTES) != 0)
		return false;
	for (i = PREFIX_BYTES; i < len_bytes; i++) {
		if (!is_base64url((unsigned char)text[i]))
			return false;
	}
	return true;
}

static bool contains_key_format(const char *text, size_t len_bytes)
{
	const char *pos = text, *end = text + len_bytes;

	while ((size_t)(end - pos) >= KEY_CHARS) {
		pos = memmem(pos, (size_t)(end - pos), KEY_PREFIX,
			     PREFIX_BYTES);
		if (!pos || (size_t)(end - pos) < KEY_CHARS)
			return false;
		if (key_has_format(pos, KEY_CHARS))
			return true;
		pos++;
	}
	return false;
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/*
 * Decodes all percent escapes once, in place, and returns the new length.
 */
static size_t percent_decode(char *text, size_t len_bytes)
{
	size_t from, to = 0;

	for (from = 0; from < len_bytes; from++) {
		if (text[from] == '%' && from + 2 < len_bytes) {
			int high = hex_value(text[from + 1]);
			int low = hex_value(text[from + 2]);

			if (high >= 0 && low >= 0) {
				text[to++] = (char)(high * 16 + low);
				from += 2;
				continue;
			}
		}
		text[to++] = text[from];
	}
	return to;
}

/*
 * Applies check to the text as it is and after each round of decoding; returns
 * true as soon as check does.
 */
static bool check_decode_rounds(const char *text, size_t len_bytes,
				bool (*check)(const char *key, const char *text,
					      size_t len_bytes),
				const char *key)
{
	char *decoded;
	bool found = false;
	size_t before_bytes;
	int round;

	if (check(key, text, len_bytes))
		return true;
	if (!len_bytes || !memchr(text, '%', len_bytes))
		return false;
	decoded = malloc(len_bytes);
	if (!decoded)
		return true;
	memcpy(decoded, text, len_bytes);
	for (round = 0; round < KEY_DECODE_ROUNDS && !found; round++) {
		before_bytes = len_bytes;
		len_bytes = percent_decode(decoded, len_bytes);
		found = check(key, decoded, len_bytes);
		if (len_bytes == before_bytes)
			break;
	}
	sodium_memzero(decoded, len_bytes);
	free(decoded);
	return found;
}

static bool contains_any_key(const char *key, const char *text,
			     size_t len_bytes)
{
	(void)key;
	return contains_key_format(text, len_bytes);
}

static bool contains_this_key(const char *key, const char *text,
			      size_t len_bytes)
{
	return memmem(text, len_bytes, key, strlen(key)) != NULL;
}

bool key_in_text(const char *text, size_t len_bytes)
{
	return check_decode_rounds(text, len_bytes, contains_any_key, NULL);
}

bool key_in_body(const char *key, const uint8_t *body, size_t body_bytes)
{
	if (!*key || !body_bytes)
		return false;
	return check_decode_rounds((const char *)body, body_bytes,
				   contains_this_key, key);
}
