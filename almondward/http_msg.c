#include "http_private.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define BODY_BYTES_MIN 4096
/* Longer lengths do not occur and would need overflow checks. */
#define LENGTH_DIGITS_MAX 15
/* Positions in "HTTP/1.1 200 OK". */
#define STATUS_START 9
#define STATUS_END 12

void msg_init(struct msg *msg, enum http_parser_type type,
	      struct http_memory *memory)
{
	memset(msg, 0, sizeof(*msg));
	msg->type = type;
	msg->memory = memory;
	http_parser_init(&msg->parser, type);
	msg->parser.data = msg;
}

void msg_release(struct msg *msg)
{
	buf_release(&msg->head);
	free(msg->headers);
	free(msg->value_bytes);
	free(msg->body);
	msg_unreserve(msg);
}

void msg_unreserve(struct msg *msg)
{
	if (msg->memory)
		msg->memory->used_bytes -= msg->reserved_bytes;
	msg->memory = NULL;
	msg->reserved_bytes = 0;
}

const char *http_header_value(const struct http_header *headers,
			      size_t nr_headers, const char *name)
{
	size_t i;

	for (i = 0; i < nr_headers; i++) {
		if (!strcasecmp(headers[i].name, name))
			return headers[i].value;
	}
	return NULL;
}

size_t msg_count_headers(const struct msg *msg, const char *name)
{
	size_t i, nr = 0;

	for (i = 0; i < msg->nr_headers; i++)
		nr += !strcasecmp(msg->headers[i].name, name);
	return nr;
}

/* ---- callbacks of http_parser ---- */

static int grow_headers(struct msg *msg)
{
	size_t size = msg->headers_size ? msg->headers_size * 2 : 16;
	struct http_header *headers;
	size_t *value_bytes;

	headers = realloc(msg->headers, size * sizeof(*headers));
	if (!headers)
		return -1;
	msg->headers = headers;
	value_bytes = realloc(msg->value_bytes, size * sizeof(*value_bytes));
	if (!value_bytes)
		return -1;
	msg->value_bytes = value_bytes;
	msg->headers_size = size;
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = parser->data;

	msg->target = at;
	msg->target_bytes = len;
	return 0;
}

/*
 * The whole head is parsed in one call, so each name and each value is passed
 * in one piece.
 */
static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = parser->data;

	if (msg->head_done) /* a trailer */
		return 0;
	/* http_parser is not built in strict mode and accepts spaces here. */
	if (!len || memchr(at, ' ', len)) {
		msg->error = MSG_ERR_MALFORMED;
		return -1;
	}
	if (msg->nr_headers == msg->headers_size && grow_headers(msg)) {
		msg->error = MSG_ERR_MEMORY;
		return -1;
	}
	msg->headers[msg->nr_headers].name = at;
	msg->headers[msg->nr_headers].value = "";
	msg->value_bytes[msg->nr_headers++] = 0;
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = parser->data;

	if (msg->head_done || !msg->nr_headers)
		return 0;
	while (len && (at[len - 1] == ' ' || at[len - 1] == '\t'))
		len--;
	/* For an empty value the parser passes a pointer into the next line. */
	if (!len)
		return 0;
	msg->headers[msg->nr_headers - 1].value = at;
	msg->value_bytes[msg->nr_headers - 1] = len;
	return 0;
}

static bool response_has_no_body(const struct msg *msg)
{
	uint32_t status = msg->parser.status_code;

	return msg->skip_body || status < 200 || status == 204 || status == 304;
}

static int on_headers_complete(http_parser *parser)
{
	struct msg *msg = parser->data;

	msg->head_parsed = true;
	msg->chunked = (parser->flags & F_CHUNKED) != 0;
	return msg->type == HTTP_RESPONSE && response_has_no_body(msg);
}

static int on_message_complete(http_parser *parser)
{
	struct msg *msg = parser->data;

	msg->complete = true;
	/* Bytes of the next message are left to the caller of msg_feed(). */
	http_parser_pause(parser, 1);
	return 0;
}

/*
 * Checks that all lines between the data of chunks end with CR LF. http_parser
 * is not built in strict mode and accepts any byte in place of some CRs and
 * LFs; two recipients could then disagree about where a message ends.
 */
static bool chunk_lines_ok(struct msg *msg, const uint8_t *end)
{
	const uint8_t *pos;

	for (pos = msg->framing_pos; pos < end; pos++) {
		if (msg->expect_cr && *pos != '\r')
			return false;
		msg->expect_cr = false;
		if ((*pos == '\n') != (msg->framing_last_byte == '\r'))
			return false;
		msg->framing_last_byte = *pos;
	}
	msg->framing_pos = end;
	return true;
}

static int on_chunk_header(http_parser *parser)
{
	struct msg *msg = parser->data;

	msg->chunk_left_bytes = parser->content_length;
	return 0;
}

static bool reserve(struct msg *msg, size_t size_bytes)
{
	struct http_memory *memory = msg->memory;
	uint64_t more_bytes = size_bytes - msg->reserved_bytes;

	if (!memory)
		return true;
	if (memory->max_bytes && size_bytes > memory->small_bytes &&
	    (memory->used_bytes > memory->max_bytes ||
	     more_bytes > memory->max_bytes - memory->used_bytes))
		return false;
	memory->used_bytes += more_bytes;
	msg->reserved_bytes = size_bytes;
	return true;
}

static enum msg_status grow_body(struct msg *msg, size_t size_bytes)
{
	uint8_t *body;

	if (!reserve(msg, size_bytes))
		return MSG_ERR_BODY_MEMORY;
	body = realloc(msg->body, size_bytes);
	if (!body)
		return MSG_ERR_MEMORY;
	msg->body = body;
	msg->body_size_bytes = size_bytes;
	return MSG_MORE;
}

static enum msg_status append_body(struct msg *msg, const char *at, size_t len)
{
	size_t required_bytes = msg->body_bytes + len, size_bytes;
	enum msg_status status;

	if (len > msg->body_max_bytes - msg->body_bytes)
		return MSG_ERR_BODY_TOO_LARGE;
	if (required_bytes > msg->body_size_bytes) {
		size_bytes = msg->body_size_bytes * 2;
		if (size_bytes < BODY_BYTES_MIN)
			size_bytes = BODY_BYTES_MIN;
		if (size_bytes < required_bytes)
			size_bytes = required_bytes;
		if (size_bytes > msg->body_max_bytes)
			size_bytes = msg->body_max_bytes;
		status = grow_body(msg, size_bytes);
		if (status != MSG_MORE)
			return status;
	}
	memcpy(msg->body + msg->body_bytes, at, len);
	msg->body_bytes = required_bytes;
	return MSG_MORE;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = parser->data;
	enum msg_status status;

	if (!len)
		return 0;
	if (msg->chunked) {
		if (!chunk_lines_ok(msg, (const uint8_t *)at) ||
		    len > msg->chunk_left_bytes) {
			msg->error = MSG_ERR_MALFORMED;
			return -1;
		}
		msg->chunk_left_bytes -= len;
		msg->framing_pos = (const uint8_t *)at + len;
		if (!msg->chunk_left_bytes) {
			msg->expect_cr = true;
			msg->framing_last_byte = 0;
		}
	}
	status = append_body(msg, at, len);
	if (status == MSG_MORE)
		return 0;
	msg->error = status;
	return -1;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
	.on_chunk_header = on_chunk_header,
};

/* ---- head ---- */

/*
 * Accepts only lines that end with CR LF, and no line folding: http_parser
 * tolerates other line ends and folded lines, and intermediaries differ on how
 * they read them.
 */
static bool head_byte_ok(const struct msg *msg, uint8_t byte)
{
	if (!byte || (byte == '\n') != (msg->head_last_byte == '\r'))
		return false;
	return msg->line_bytes || (byte != ' ' && byte != '\t');
}

/*
 * Appends bytes to the head, up to the empty line at its end.
 */
static enum msg_status collect_head(struct msg *msg, const uint8_t *data,
				    size_t len_bytes, size_t *used_bytes)
{
	enum msg_status status = MSG_MORE;
	size_t i, skipped_bytes = 0;

	for (i = 0; i < len_bytes && status == MSG_MORE; i++) {
		uint8_t byte = data[i];

		if (msg->head.len_bytes + i + 1 - skipped_bytes >
		    HTTP_HEAD_BYTES_MAX)
			status = MSG_ERR_HEAD_TOO_LARGE;
		else if (!head_byte_ok(msg, byte))
			status = MSG_ERR_MALFORMED;
		else if (byte == '\n' && msg->line_bytes == 1) {
			/* An empty line before a request is ignored. */
			if (msg->type == HTTP_REQUEST &&
			    msg->head.len_bytes + i - skipped_bytes == 1) {
				msg->head.len_bytes = 0;
				skipped_bytes = i + 1;
			} else {
				status = MSG_HEAD;
			}
		}
		msg->line_bytes = byte == '\n' ? 0 : msg->line_bytes + 1;
		msg->head_last_byte = byte;
	}
	*used_bytes = i;
	if (status != MSG_MORE && status != MSG_HEAD)
		return status;
	if (buf_append(&msg->head, data + skipped_bytes, i - skipped_bytes))
		return MSG_ERR_MEMORY;
	return status;
}

static void terminate_strings(struct msg *msg)
{
	char *text = (char *)msg->head.data;
	size_t i;

	for (i = 0; i < msg->nr_headers; i++) {
		struct http_header *header = &msg->headers[i];
		size_t name_bytes = strcspn(header->name, ":");

		text[header->name - text + (ptrdiff_t)name_bytes] = '\0';
		if (msg->value_bytes[i])
			text[header->value - text +
			     (ptrdiff_t)msg->value_bytes[i]] = '\0';
	}
	if (msg->target)
		text[msg->target - text + (ptrdiff_t)msg->target_bytes] = '\0';
}

static bool length_ok(const char *value)
{
	size_t nr_digits = strspn(value, "0123456789");

	return nr_digits && nr_digits <= LENGTH_DIGITS_MAX && !value[nr_digits];
}

/*
 * Rejects every message whose length two recipients could read differently, as
 * in request smuggling.
 */
static bool framing_ok(const struct msg *msg)
{
	size_t nr_lengths = msg_count_headers(msg, "Content-Length");
	size_t nr_codings = msg_count_headers(msg, "Transfer-Encoding");

	if (nr_lengths + nr_codings > 1)
		return false;
	if (nr_lengths &&
	    !length_ok(http_header_value(msg->headers, msg->nr_headers,
					 "Content-Length")))
		return false;
	if (!nr_codings)
		return true;
	return msg->parser.http_minor == 1 &&
	       !strcasecmp(http_header_value(msg->headers, msg->nr_headers,
					     "Transfer-Encoding"),
			   "chunked");
}

/*
 * http_parser accepts several spaces before the status and a status with
 * leading zeros; a caller could read another status then.
 */
static bool status_line_ok(const struct msg *msg)
{
	const uint8_t *line = msg->head.data;

	if (msg->type != HTTP_RESPONSE)
		return true;
	return msg->head.len_bytes > STATUS_END &&
	       line[STATUS_START - 1] == ' ' &&
	       strspn((const char *)line + STATUS_START, "0123456789") ==
		       STATUS_END - STATUS_START &&
	       (line[STATUS_END] == ' ' || line[STATUS_END] == '\r');
}

static enum msg_status parse_head(struct msg *msg)
{
	const http_parser *parser = &msg->parser;
	size_t parsed;

	/* collect_head() limits the size: http_parser's limit is global. */
	parsed = http_parser_execute(&msg->parser, &parser_settings,
				     (const char *)msg->head.data,
				     msg->head.len_bytes);
	if (msg->error)
		return msg->error;
	if (parsed != msg->head.len_bytes || !msg->head_parsed ||
	    (HTTP_PARSER_ERRNO(parser) != HPE_OK &&
	     HTTP_PARSER_ERRNO(parser) != HPE_PAUSED))
		return MSG_ERR_MALFORMED;
	terminate_strings(msg);
	msg->head_done = true;
	if (parser->http_major != 1 || parser->http_minor > 1 ||
	    !status_line_ok(msg) || !framing_ok(msg))
		return MSG_ERR_MALFORMED;
	return MSG_HEAD;
}

/* ---- body ---- */

bool msg_has_body(const struct msg *msg)
{
	return !msg->complete;
}

enum msg_status msg_begin_body(struct msg *msg, size_t body_max_bytes)
{
	uint64_t len_bytes = msg->parser.content_length;

	msg->body_max_bytes = body_max_bytes;
	if (msg->complete || msg->chunked)
		return MSG_MORE;
	if (len_bytes == ULLONG_MAX) /* body ends when the connection closes */
		return MSG_ERR_MALFORMED;
	if (len_bytes > body_max_bytes)
		return MSG_ERR_BODY_TOO_LARGE;
	return grow_body(msg, (size_t)len_bytes);
}

static bool framing_too_large(const struct msg *msg)
{
	uint64_t framing_bytes = msg->body_input_bytes - msg->body_bytes;

	return msg->chunked &&
	       framing_bytes > MSG_FRAMING_BYTES_MAX +
				       MSG_FRAMING_PER_BODY_BYTE *
					       (uint64_t)msg->body_bytes;
}

static enum msg_status feed_body(struct msg *msg, const uint8_t *data,
				 size_t len_bytes, size_t *used_bytes)
{
	size_t parsed;

	msg->framing_pos = data;
	parsed = http_parser_execute(&msg->parser, &parser_settings,
				     (const char *)data, len_bytes);
	*used_bytes = parsed;
	msg->body_input_bytes += parsed;
	if (msg->error)
		return msg->error;
	if (msg->chunked && !chunk_lines_ok(msg, data + parsed))
		return MSG_ERR_MALFORMED;
	if (msg->complete)
		return MSG_DONE;
	if (framing_too_large(msg))
		return MSG_ERR_BODY_TOO_LARGE;
	if (parsed != len_bytes || HTTP_PARSER_ERRNO(&msg->parser) != HPE_OK)
		return MSG_ERR_MALFORMED;
	return MSG_MORE;
}

enum msg_status msg_feed(struct msg *msg, const uint8_t *data, size_t len_bytes,
			 size_t *used_bytes)
{
	enum msg_status status;

	*used_bytes = 0;
	if (msg->complete)
		return MSG_DONE;
	if (!len_bytes)
		return MSG_MORE;
	if (msg->head_done)
		return feed_body(msg, data, len_bytes, used_bytes);
	status = collect_head(msg, data, len_bytes, used_bytes);
	return status == MSG_HEAD ? parse_head(msg) : status;
}
