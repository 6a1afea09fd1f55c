/*
 * msg: parser for one incoming HTTP/1.1 message, for server and client.
 */
#ifndef HTTP_PRIVATE_H
#define HTTP_PRIVATE_H

#include <http_parser.h>

#include "buf.h"
#include "http.h"

#ifdef __cplusplus
extern "C" {
#endif

enum msg_status {
	MSG_MORE, /* all bytes were consumed, the message is not complete */
	MSG_HEAD, /* the head has just become complete */
	MSG_DONE, /* the message is complete */
	MSG_ERR_MALFORMED,
	MSG_ERR_HEAD_TOO_LARGE,
	MSG_ERR_BODY_TOO_LARGE,
	MSG_ERR_BODY_MEMORY, /* the shared limit of all bodies is reached */
	MSG_ERR_MEMORY /* allocation failed */
};

struct msg {
	http_parser parser;
	enum http_parser_type type;
	bool skip_body; /* response to HEAD */
	bool head_parsed; /* set by the parser's callback */
	bool head_done; /* parsed and strings NUL-terminated */
	bool complete;
	enum msg_status error; /* set by the parser's callbacks */

	struct buf head;
	size_t line_bytes; /* length so far of the current line of the head */
	uint8_t head_last_byte;
	const char *target;
	size_t target_bytes;
	struct http_header *headers;
	size_t *value_bytes; /* value lengths, until they are terminated */
	size_t nr_headers;
	size_t headers_size; /* allocated entries */

	uint8_t *body;
	size_t body_bytes;
	size_t body_size_bytes; /* allocated */
	size_t body_max_bytes;
	struct http_memory *memory; /* may be NULL */
	size_t reserved_bytes; /* share of memory that this body uses */

	/* A copy: the parser changes its own flag while it reads trailers. */
	bool chunked;
	const uint8_t *framing_pos; /* chunk lines are checked up to here */
	uint64_t body_input_bytes; /* received for the body, with framing */
	uint64_t chunk_left_bytes; /* of the data of the current chunk */
	uint8_t framing_last_byte; /* the byte before framing_pos, 0: none */
	bool expect_cr; /* chunk data has ended, CR LF must follow */
};

/*
 * Limit for the framing of a chunked body (chunk size lines, extensions,
 * trailers): a fixed part, and a part for each byte of the body. A chunk with
 * one byte of data has five bytes of framing. Extensions and trailers are
 * ignored.
 */
#define MSG_FRAMING_BYTES_MAX 16384
#define MSG_FRAMING_PER_BODY_BYTE 8

/*
 * Starts a message. memory, if not NULL, is the limit that its body shares with
 * others.
 */
void msg_init(struct msg *msg, enum http_parser_type type,
	      struct http_memory *memory);
void msg_release(struct msg *msg);

/*
 * Returns this body's share of the shared memory, before the owner of that
 * memory is destroyed.
 */
void msg_unreserve(struct msg *msg);

/*
 * Consumes bytes until the head or the message is complete. After MSG_HEAD call
 * msg_begin_body() and then msg_feed() again, even if no bytes are left.
 */
enum msg_status msg_feed(struct msg *msg, const uint8_t *data, size_t len_bytes,
			 size_t *used_bytes);

/*
 * Sets the limit for the body, and allocates a body of known length.
 */
enum msg_status msg_begin_body(struct msg *msg, size_t body_max_bytes);

/*
 * Returns true if a body follows the head. Call it before the body is fed.
 */
bool msg_has_body(const struct msg *msg);

/*
 * Returns the number of headers with that name, compared case-insensitively.
 */
size_t msg_count_headers(const struct msg *msg, const char *name);

/*
 * Appends header lines, except framing headers and hop-by-hop headers. Headers
 * with an invalid name, or with CR or LF in the value, are dropped, since they
 * could inject further lines. Returns 0, or -1 when memory is exhausted.
 */
int http_append_headers(struct buf *out, const struct http_header *headers,
			size_t nr_headers);

#define REQUEST_ID_HEADER "Almondward-Request-Id"

/*
 * Appends the status line and headers. Returns false when memory is exhausted.
 */
bool http_append_head(struct buf *out, const struct http_response *response,
		      const char *request_id, bool head_only, bool close_conn);

/*
 * A refusal response with the memory that its headers and body refer to. The
 * caller frees json.
 */
struct http_refusal {
	struct http_header headers[5];
	char seconds[16];
	char milliseconds[16];
	char *json;
	struct http_response response;
};

/*
 * Fills r as described at http_respond_refusal(), but generates no request id.
 */
void http_build_refusal(struct http_refusal *r, enum refusal refusal,
			const char *detail, const char *request_id,
			bool not_run, uint32_t retry_after_ms);

#ifdef __cplusplus
}
#endif

#endif
