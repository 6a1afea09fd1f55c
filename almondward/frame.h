/*
 * frame: framing and authentication of messages between processes.
 *
 * A frame is: 4 bytes length of the body, 1 byte version, 8 bytes sequence, the
 * body (a packed Frame message), 32 bytes MAC over all of these. Numbers are in
 * network byte order. The MAC is crypto_auth() of libsodium; each direction has
 * its own key and counts its own frames, so a frame that is replayed, dropped,
 * reordered or sent back to its sender is noticed.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FRAME_VERSION 1
#define FRAME_HEAD_BYTES 13
#define FRAME_MAC_BYTES 32
#define FRAME_KEY_BYTES 32
#define FRAME_BODY_BYTES_MAX 8388608
#define FRAME_HELLO_BYTES_MAX 65536 /* before authentication */

enum frame_error {
	FRAME_OK, /* a frame is complete */
	FRAME_MORE, /* all bytes are used, the frame is not complete */
	FRAME_ERR_MEMORY,
	FRAME_ERR_LENGTH, /* over the limit */
	FRAME_ERR_VERSION,
	FRAME_ERR_SEQUENCE,
	FRAME_ERR_MAC
};

const char *frame_error_name(enum frame_error error);

struct frame_key {
	uint8_t bytes[FRAME_KEY_BYTES];
};

/*
 * Derives a key from the cluster secret for one purpose. context is what the
 * key is bound to; it may be empty.
 */
void frame_derive_key(struct frame_key *key, const uint8_t *secret,
		      size_t secret_bytes, const char *purpose,
		      const struct buf *context);

struct frame_writer {
	struct frame_key key;
	uint64_t sequence; /* of the next frame */
};

/*
 * Appends a frame with this message. Returns FRAME_OK, FRAME_ERR_MEMORY or
 * FRAME_ERR_LENGTH; the buffer and the sequence are unchanged on error.
 */
enum frame_error frame_write(struct frame_writer *writer,
			     const Aw__Frame *message, struct buf *out);

/*
 * A frame that is handed out in parts. The MAC of 8 MiB takes about 40 ms,
 * which would hold up the loop if it was computed at once.
 */
struct frame_out;

/*
 * Takes the next sequence of the writer. Errors as of frame_write().
 */
enum frame_error frame_out_create(struct frame_writer *writer,
				  const Aw__Frame *message,
				  struct frame_out **out);
void frame_out_destroy(struct frame_out *out);
size_t frame_out_left_bytes(const struct frame_out *out);

/*
 * Next part of about part_bytes, valid until the next call.
 */
const uint8_t *frame_out_next(struct frame_out *out, size_t part_bytes,
			      size_t *len_bytes);

struct frame_reader;

/*
 * Returns NULL when memory is exhausted.
 */
struct frame_reader *frame_reader_create(const struct frame_key *key,
					 size_t body_bytes_max);
void frame_reader_destroy(struct frame_reader *reader);

/*
 * Changes key and limit between two frames. The sequence goes on.
 */
void frame_reader_set_key(struct frame_reader *reader,
			  const struct frame_key *key, size_t body_bytes_max);

/*
 * Takes bytes up to the end of one frame. After FRAME_OK the body is valid
 * until the next call. After an error the reader cannot be used.
 */
enum frame_error frame_read(struct frame_reader *reader, const uint8_t *data,
			    size_t len_bytes, size_t *used_bytes);
const uint8_t *frame_reader_body(const struct frame_reader *reader,
				 size_t *len_bytes);

#ifdef __cplusplus
}
#endif

#endif
