/*
 * msg: one HTTP/1.1 message that is being received, for server and client.
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
	MSG_MORE, /* all bytes are used, the message is not complete */
	MSG_HEAD, /* the head has just become complete */
	MSG_DONE,
	MSG_ERR_MALFORMED,
	MSG_ERR_HEAD_TOO_LARGE,
	MSG_ERR_BODY_TOO_LARGE,
	MSG_ERR_BODY_MEMORY, /* the bodies together have no more */
	MSG_ERR_MEMORY
};

struct msg {
	http_parser parser;
	enum http_parser_type type;
	bool skip_body; /* response to HEAD */
	bool head_parsed; /* set by the parser */
	bool head_done; /* parsed, strings terminated */
	bool complete;
	enum msg_status error; /* set by callbacks of the parser */

	struct buf head;
	size_t line_bytes; /* of the current line of the head */
	uint8_t last_byte;
	const char *target;
	size_t target_bytes;
	struct http_header *headers;
	size_t *value_bytes; /* lengths, until the strings are terminated */
	size_t nr_headers;
	size_t headers_size;

	uint8_t *body;
	size_t body_bytes;
	size_t body_size_bytes;
	size_t body_max_bytes;
	struct http_memory *memory; /* may be NULL */
	size_t reserved_bytes;

	/* Kept here: the parser changes its flag when it reads trailers. */
	bool chunked;
	const uint8_t *framing; /* bytes of chunk lines not checked yet */
	uint64_t fed_bytes; /* of the body with what frames it */
	uint64_t chunk_left_bytes;
	uint8_t framing_last;
	bool expect_cr; /* the line end after the data of a chunk */
};

/* Bytes around the chunks of a body: so many, and for each byte of the body so
 * many more. A chunk of one byte takes five; extensions and trailers are of no
 * use here. */
#define MSG_FRAMING_BYTES_MAX 16384
#define MSG_FRAMING_PER_BODY_BYTE 8

/*
 * memory, if not NULL, limits the body together with others.
 */
void msg_init(struct msg *msg, enum http_parser_type type,
	      struct http_memory *memory);
void msg_release(struct msg *msg);

/*
 * Gives the part of the shared memory back, before its owner goes.
 */
void msg_unreserve(struct msg *msg);

/*
 * Takes bytes until the head or the message is complete. After MSG_HEAD the
 * owner calls msg_begin_body() and then msg_feed() again, also with no bytes.
 */
enum msg_status msg_feed(struct msg *msg, const uint8_t *data, size_t len_bytes,
			 size_t *used_bytes);

/*
 * Sets the limit and reserves memory for a body of known length.
 */
enum msg_status msg_begin_body(struct msg *msg, size_t body_max_bytes);

/*
 * True when a body follows the head.
 */
bool msg_has_body(const struct msg *msg);

size_t msg_count_headers(const struct msg *msg, const char *name);

/*
 * Appends header lines, without those that frame a message or belong to one
 * connection. Lines that could not be sent as one line are dropped.
 */
int http_append_headers(struct buf *out, const struct http_header *headers,
			size_t nr_headers);

#define REQUEST_ID_HEADER "Almondward-Request-Id"

/*
 * Appends status line and headers. Returns false when memory is exhausted.
 */
bool http_append_head(struct buf *out, const struct http_response *response,
		      const char *request_id, bool head_only, bool close_conn);

/*
 * A refusal with the memory that its headers and body refer to. json is freed
 * by the caller.
 */
struct http_refusal {
	struct http_header headers[5];
	char seconds[16];
	char milliseconds[16];
	char *json;
	struct http_response response;
};

void http_build_refusal(struct http_refusal *r, enum refusal refusal,
			const char *detail, const char *request_id,
			bool not_run, uint32_t retry_after_ms);

#ifdef __cplusplus
}
#endif

#endif
