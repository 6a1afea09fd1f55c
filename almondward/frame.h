/*
 * frame: framing and authentication of messages between instances.
 *
 * A frame consists of the length of the body (4 bytes), the version (1 byte),
 * the sequence number (8 bytes), the body (a packed Frame message) and a MAC of
 * all of these (32 bytes). Numbers are in network byte order. The MAC is
 * crypto_auth() of libsodium. Each direction has its own key and its own
 * sequence numbers, so frames that were replayed, dropped, reordered or sent
 * back to their sender are detected.
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
#define FRAME_HEADER_BYTES 13
#define FRAME_MAC_BYTES 32
#define FRAME_KEY_BYTES 32
#define FRAME_BODY_BYTES_MAX 8388608
#define FRAME_HELLO_BYTES_MAX 65536 /* body limit before authentication */

enum frame_error {
	FRAME_OK, /* a complete frame was read or written */
	FRAME_MORE, /* all bytes were read, the frame is incomplete */
	FRAME_ERR_MEMORY,
	FRAME_ERR_LENGTH, /* body over the limit */
	FRAME_ERR_VERSION,
	FRAME_ERR_SEQUENCE,
	FRAME_ERR_MAC
};

/*
 * Returns the name of an error as used in metrics.
 */
const char *frame_error_name(enum frame_error error);

struct frame_key {
	uint8_t bytes[FRAME_KEY_BYTES];
};

/*
 * Derives a key from the cluster secret. Another purpose or another context
 * gives another key. context may be empty.
 */
void frame_derive_key(struct frame_key *key, const uint8_t *secret,
		      size_t secret_bytes, const char *purpose,
		      const struct buf *context);

struct frame_writer {
	struct frame_key key;
	uint64_t sequence; /* number of the next frame */
};

/*
 * Appends a frame with this message to out. Returns FRAME_OK, FRAME_ERR_MEMORY
 * or FRAME_ERR_LENGTH. On error, out and the sequence number are unchanged.
 */
enum frame_error frame_write(struct frame_writer *writer,
			     const Aw__Frame *message, struct buf *out);

/*
 * An outgoing frame whose bytes are produced in parts. The MAC of 8 MiB takes
 * about 40 ms, which would block the event loop if it were computed at once.
 */
struct frame_out;

/*
 * Starts a frame with the next sequence number of the writer. Returns the same
 * errors as frame_write().
 */
enum frame_error frame_out_create(struct frame_writer *writer,
				  const Aw__Frame *message,
				  struct frame_out **out);
void frame_out_destroy(struct frame_out *out);
size_t frame_out_remaining_bytes(const struct frame_out *out);

/*
 * Returns the next part, which is valid until the next call: part_bytes, or
 * the remaining bytes followed by the MAC.
 */
const uint8_t *frame_out_next(struct frame_out *out, size_t part_bytes,
			      size_t *len_bytes);

struct frame_reader;

/*
 * Returns NULL if memory is exhausted.
 */
struct frame_reader *frame_reader_create(const struct frame_key *key,
					 size_t body_bytes_max);
void frame_reader_destroy(struct frame_reader *reader);

/*
 * Changes key and body limit; call between two frames. Sequence numbers
 * continue.
 */
void frame_reader_set_key(struct frame_reader *reader,
			  const struct frame_key *key, size_t body_bytes_max);

/*
 * Reads up to the end of one frame and sets *used_bytes to the number of bytes
 * read. After FRAME_OK the body is valid until the next call. After an error
 * the reader cannot be used any more.
 */
enum frame_error frame_read(struct frame_reader *reader, const uint8_t *data,
			    size_t len_bytes, size_t *used_bytes);
const uint8_t *frame_reader_body(const struct frame_reader *reader,
				 size_t *len_bytes);

#ifdef __cplusplus
}
#endif

#endif
