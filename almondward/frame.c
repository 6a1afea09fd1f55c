#include "frame.h"

#include <arpa/inet.h>
#include <endian.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

/* A larger body buffer is freed after its frame. */
#define BODY_KEEP_BYTES_MAX 65536

_Static_assert(FRAME_MAC_BYTES == crypto_auth_BYTES, "size of the MAC");
_Static_assert(FRAME_KEY_BYTES == crypto_auth_KEYBYTES, "size of the key");

struct frame_reader {
	struct frame_key key;
	size_t body_bytes_max;
	uint64_t sequence;
	/* Updated with each read, so a large frame does not block the loop. */
	crypto_auth_hmacsha512256_state mac;
	uint8_t header[FRAME_HEADER_BYTES];
	size_t header_bytes;
	size_t body_bytes; /* from the header */
	struct buf body;
	uint8_t received_mac[FRAME_MAC_BYTES];
	size_t mac_bytes;
	bool complete;
};

const char *frame_error_name(enum frame_error error)
{
	static const char *const names[] = {
		[FRAME_OK] = "ok",
		[FRAME_MORE] = "more",
		[FRAME_ERR_MEMORY] = "memory",
		[FRAME_ERR_LENGTH] = "frame_length",
		[FRAME_ERR_VERSION] = "frame_version",
		[FRAME_ERR_SEQUENCE] = "frame_sequence",
		[FRAME_ERR_MAC] = "frame_mac",
	};

	return names[error];
}

void frame_derive_key(struct frame_key *key, const uint8_t *secret,
		      size_t secret_bytes, const char *purpose,
		      const struct buf *context)
{
	uint8_t master[crypto_generichash_KEYBYTES];
	crypto_generichash_state state;

	/* Hashed, as it may be longer than a key of crypto_generichash(). */
	crypto_generichash(master, sizeof(master), secret, secret_bytes, NULL,
			   0);
	crypto_generichash_init(&state, master, sizeof(master),
				sizeof(key->bytes));
	/* With its NUL, so that no purpose is a prefix of another. */
	crypto_generichash_update(&state, (const uint8_t *)purpose,
				  strlen(purpose) + 1);
	crypto_generichash_update(&state, context->data, context->len_bytes);
	crypto_generichash_final(&state, key->bytes, sizeof(key->bytes));
	sodium_memzero(master, sizeof(master));
	sodium_memzero(&state, sizeof(state));
}

/*
 * Appends header and body to out, and reserves space for the MAC after its end.
 */
static enum frame_error append_frame(const struct frame_writer *writer,
				     const Aw__Frame *message, struct buf *out)
{
	size_t body_bytes = aw__frame__get_packed_size(message);
	uint64_t sequence = htobe64(writer->sequence);
	uint32_t length;
	uint8_t *pos;

	if (body_bytes > FRAME_BODY_BYTES_MAX)
		return FRAME_ERR_LENGTH;
	if (buf_reserve(out, FRAME_HEADER_BYTES + body_bytes + FRAME_MAC_BYTES))
		return FRAME_ERR_MEMORY;
	pos = out->data + out->len_bytes;
	length = htonl((uint32_t)body_bytes);
	memcpy(pos, &length, sizeof(length));
	pos[4] = FRAME_VERSION;
	memcpy(pos + 5, &sequence, sizeof(sequence));
	aw__frame__pack(message, pos + FRAME_HEADER_BYTES);
	out->len_bytes += FRAME_HEADER_BYTES + body_bytes;
	return FRAME_OK;
}

enum frame_error frame_write(struct frame_writer *writer,
			     const Aw__Frame *message, struct buf *out)
{
	size_t start_bytes = out->len_bytes;
	enum frame_error err = append_frame(writer, message, out);

	if (err)
		return err;
	crypto_auth(out->data + out->len_bytes, out->data + start_bytes,
		    out->len_bytes - start_bytes, writer->key.bytes);
	out->len_bytes += FRAME_MAC_BYTES;
	writer->sequence++;
	return FRAME_OK;
}

struct frame_out {
	struct buf frame; /* the MAC is written after its end */
	size_t offset_bytes;
	crypto_auth_hmacsha512256_state mac;
};

enum frame_error frame_out_create(struct frame_writer *writer,
				  const Aw__Frame *message,
				  struct frame_out **out)
{
	struct frame_out *new = calloc(1, sizeof(*new));
	enum frame_error err;

	if (!new)
		return FRAME_ERR_MEMORY;
	err = append_frame(writer, message, &new->frame);
	if (err) {
		frame_out_destroy(new);
		return err;
	}
	crypto_auth_hmacsha512256_init(&new->mac, writer->key.bytes,
				       sizeof(writer->key.bytes));
	writer->sequence++;
	*out = new;
	return FRAME_OK;
}

void frame_out_destroy(struct frame_out *out)
{
	if (!out)
		return;
	buf_release(&out->frame);
	sodium_memzero(out, sizeof(*out));
	free(out);
}

size_t frame_out_remaining_bytes(const struct frame_out *out)
{
	return out->frame.len_bytes - out->offset_bytes;
}

const uint8_t *frame_out_next(struct frame_out *out, size_t part_bytes,
			      size_t *len_bytes)
{
	uint8_t *part = out->frame.data + out->offset_bytes;
	size_t remaining_bytes = frame_out_remaining_bytes(out);

	*len_bytes = remaining_bytes < part_bytes ? remaining_bytes :
						    part_bytes;
	out->offset_bytes += *len_bytes;
	crypto_auth_hmacsha512256_update(&out->mac, part, *len_bytes);
	if (!frame_out_remaining_bytes(out)) {
		crypto_auth_hmacsha512256_final(&out->mac, part + *len_bytes);
		*len_bytes += FRAME_MAC_BYTES;
	}
	return part;
}

struct frame_reader *frame_reader_create(const struct frame_key *key,
					 size_t body_bytes_max)
{
	struct frame_reader *reader = calloc(1, sizeof(*reader));

	if (reader)
		frame_reader_set_key(reader, key, body_bytes_max);
	return reader;
}

void frame_reader_destroy(struct frame_reader *reader)
{
	if (!reader)
		return;
	buf_release(&reader->body);
	sodium_memzero(reader, sizeof(*reader));
	free(reader);
}

void frame_reader_set_key(struct frame_reader *reader,
			  const struct frame_key *key, size_t body_bytes_max)
{
	reader->key = *key;
	reader->body_bytes_max = body_bytes_max;
}

static void reset_for_next_frame(struct frame_reader *reader)
{
	buf_clear(&reader->body);
	if (reader->body.size_bytes > BODY_KEEP_BYTES_MAX)
		buf_release(&reader->body);
	reader->header_bytes = 0;
	reader->mac_bytes = 0;
	reader->complete = false;
}

static enum frame_error check_header(struct frame_reader *reader)
{
	uint64_t sequence;
	uint32_t length;

	memcpy(&length, reader->header, sizeof(length));
	memcpy(&sequence, reader->header + 5, sizeof(sequence));
	if (reader->header[4] != FRAME_VERSION)
		return FRAME_ERR_VERSION;
	reader->body_bytes = ntohl(length);
	if (reader->body_bytes > reader->body_bytes_max)
		return FRAME_ERR_LENGTH;
	if (be64toh(sequence) != reader->sequence)
		return FRAME_ERR_SEQUENCE;
	crypto_auth_hmacsha512256_init(&reader->mac, reader->key.bytes,
				       sizeof(reader->key.bytes));
	crypto_auth_hmacsha512256_update(&reader->mac, reader->header,
					 sizeof(reader->header));
	return FRAME_OK;
}

static enum frame_error check_mac(struct frame_reader *reader)
{
	uint8_t mac[FRAME_MAC_BYTES];

	crypto_auth_hmacsha512256_final(&reader->mac, mac);
	if (sodium_memcmp(mac, reader->received_mac, sizeof(mac)))
		return FRAME_ERR_MAC;
	reader->sequence++;
	reader->complete = true;
	return FRAME_OK;
}

static size_t fill(uint8_t *to, size_t *filled_bytes, size_t total_bytes,
		   const uint8_t *data, size_t len_bytes)
{
	size_t part_bytes = total_bytes - *filled_bytes;

	if (part_bytes > len_bytes)
		part_bytes = len_bytes;
	memcpy(to + *filled_bytes, data, part_bytes);
	*filled_bytes += part_bytes;
	return part_bytes;
}

static enum frame_error read_body(struct frame_reader *reader,
				  const uint8_t *data, size_t len_bytes,
				  size_t *used_bytes)
{
	size_t part_bytes = reader->body_bytes - reader->body.len_bytes;

	if (part_bytes > len_bytes)
		part_bytes = len_bytes;
	/* Memory grows with the bytes received, not by the announced length. */
	if (buf_append(&reader->body, data, part_bytes))
		return FRAME_ERR_MEMORY;
	crypto_auth_hmacsha512256_update(&reader->mac, data, part_bytes);
	*used_bytes += part_bytes;
	return FRAME_OK;
}

enum frame_error frame_read(struct frame_reader *reader, const uint8_t *data,
			    size_t len_bytes, size_t *used_bytes)
{
	enum frame_error err;
	size_t used = 0;

	*used_bytes = len_bytes;
	if (reader->complete)
		reset_for_next_frame(reader);
	if (reader->header_bytes < FRAME_HEADER_BYTES) {
		used += fill(reader->header, &reader->header_bytes,
			     FRAME_HEADER_BYTES, data, len_bytes);
		if (reader->header_bytes < FRAME_HEADER_BYTES)
			return FRAME_MORE;
		err = check_header(reader);
		if (err)
			return err;
	}
	err = read_body(reader, data + used, len_bytes - used, &used);
	if (err)
		return err;
	if (reader->body.len_bytes < reader->body_bytes)
		return FRAME_MORE;
	used += fill(reader->received_mac, &reader->mac_bytes, FRAME_MAC_BYTES,
		     data + used, len_bytes - used);
	if (reader->mac_bytes < FRAME_MAC_BYTES)
		return FRAME_MORE;
	*used_bytes = used;
	return check_mac(reader);
}

const uint8_t *frame_reader_body(const struct frame_reader *reader,
				 size_t *len_bytes)
{
	*len_bytes = reader->body.len_bytes;
	return reader->body.data;
}
