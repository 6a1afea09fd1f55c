/*
 * http: HTTP/1.1 server and client.
 *
 * Parsing is by http_parser, connections by loop. Both directions hand on only
 * messages that are complete. What is ambiguous is refused: see docs/http.md.
 */
#ifndef HTTP_H
#define HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "counter.h"
#include "loop.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define HTTP_HEAD_BYTES_MAX 16384

struct http_header {
	const char *name;
	const char *value;
};

struct http_request {
	const char *method;
	const char *target; /* exactly as received, origin form only */
	const struct http_header *headers;
	size_t nr_headers;
	const uint8_t *body;
	size_t body_bytes;
	const char *peer; /* "IP:port" of the other end */
	uint64_t head_ms; /* clock when the head was complete */
};

struct http_response {
	uint32_t status;
	const struct http_header *headers; /* without framing headers */
	size_t nr_headers;
	const uint8_t *body;
	size_t body_bytes;
};

/*
 * Value of the first header of that name, compared without case, or NULL.
 */
const char *http_header_value(const struct http_header *headers,
			      size_t nr_headers, const char *name);

/* ---- server ---- */

struct http_server;
struct http_exchange; /* one request that waits for its response */

struct http_server_settings {
	const char *address; /* "IP:port" */
	size_t body_max_bytes;
	uint64_t body_memory_bytes; /* all bodies together, 0: no limit */
	uint32_t connections_max;
	uint32_t idle_timeout_ms;
	uint32_t head_timeout_ms;
	uint32_t body_timeout_ms; /* without progress */
	struct ctr_set *counters; /* may be NULL */
	/*
	 * Makes the request id of a response that has none, as refusals of the
	 * server itself; arg is that of the handler. NULL: such responses have
	 * no id.
	 */
	void (*make_id)(void *arg, char id[REQUEST_ID_BYTES_MAX]);
};

/*
 * Called with a complete request. req is valid until http_respond() or the
 * abort callback returns.
 */
typedef void (*http_handler_fn)(void *arg, struct http_exchange *exchange,
				const struct http_request *req);

enum loop_error http_server_create(struct loop *loop,
				   const struct http_server_settings *settings,
				   http_handler_fn handler, void *arg,
				   struct http_server **server);

/*
 * Closes all connections. Every exchange becomes invalid; abort callbacks are
 * not called.
 */
void http_server_destroy(struct http_server *server);
const char *http_server_address(const struct http_server *server);

/*
 * Answers the request; the exchange is invalid afterwards. The body is copied.
 */
void http_respond(struct http_exchange *exchange,
		  const struct http_response *response);

/*
 * Answers with {"error", "detail", "request_id", "not_run"} as JSON and, if
 * retry_after_ms is not 0, Retry-After in whole seconds, rounded up, and
 * Almondward-Retry-After-Ms. not_run also sets Almondward-Not-Run: 1. An empty
 * request_id is replaced by one of make_id.
 */
void http_respond_refusal(struct http_exchange *exchange, enum refusal refusal,
			  const char *detail, const char *request_id,
			  bool not_run, uint32_t retry_after_ms);

/*
 * fn is called when the caller's connection is gone before the response; the
 * exchange and its request are invalid after fn returns. To be set before the
 * handler returns. Without it the exchange stays valid until http_respond().
 * A caller that closes only its sending side counts as gone.
 */
void http_exchange_on_abort(struct http_exchange *exchange,
			    void (*fn)(void *arg), void *arg);

/*
 * Graceful shutdown: stops listening if stop_listening, answers with
 * Connection: close, and closes connections that have been idle for 1 s, so
 * that a request that is already under way is still served.
 */
void http_server_drain(struct http_server *server, bool stop_listening);

/*
 * Changes the time after which an idle connection of a caller is closed.
 */
void http_server_set_idle_timeout(struct http_server *server,
				  uint32_t idle_timeout_ms);

/*
 * Changes the limit for bodies that begin from now on.
 */
void http_server_set_body_max(struct http_server *server, size_t bytes);
size_t http_server_active(const struct http_server *server);
size_t http_server_connections(const struct http_server *server);

/* ---- client ---- */

struct http_conn;

enum http_result {
	HTTP_OK, /* response is complete and was framed by length or chunks */
	HTTP_CONNECT_FAILED,
	HTTP_CLOSED, /* before any byte of the response */
	HTTP_CUT, /* within the response */
	HTTP_TIMEOUT,
	HTTP_MALFORMED, /* includes responses without length and chunks */
	HTTP_TOO_LARGE,
	HTTP_MEMORY
};

struct http_outcome {
	enum http_result result;
	bool bytes_sent; /* a byte of the request was handed to the socket */
	struct http_response response; /* valid during the callback */
	/*
	 * Status and headers of a response that failed after its head, valid
	 * during the callback; status 0: there was none.
	 */
	struct http_response failed_head;
};

typedef void (*http_done_fn)(void *arg, struct http_conn *conn,
			     const struct http_outcome *outcome);

/*
 * Starts to connect. A request can be given at once; it is sent when the
 * connection is established.
 */
enum loop_error http_conn_create(struct loop *loop, const char *address,
				 uint32_t connect_timeout_ms,
				 struct http_conn **conn);

/*
 * Closes at once; the done callback of a running request is not called.
 */
void http_conn_destroy(struct http_conn *conn);

/*
 * Memory that bodies share.
 */
struct http_memory {
	uint64_t max_bytes; /* 0: no limit */
	uint64_t used_bytes;
};

struct http_call {
	const char *method;
	const char *target;
	const struct http_header *headers; /* without framing headers */
	size_t nr_headers;
	const uint8_t *body; /* not copied: valid until done */
	size_t body_bytes;
	size_t answer_max_bytes;
	struct http_memory *answer_memory; /* NULL: no limit beside that */
	uint32_t timeout_ms; /* until the response is complete */
	/*
	 * Called just before the first byte is handed to the socket; false
	 * gives the call up with HTTP_CLOSED and bytes_sent false. May be NULL.
	 */
	bool (*may_send)(void *arg);
	/*
	 * Called with a complete response; false skips it as one that belongs
	 * to no request, and the next one is waited for. The connection is not
	 * used again then. May be NULL.
	 */
	bool (*is_mine)(void *arg, const struct http_response *response);
	/*
	 * Called when a request that http_conn_sending() told of is handed
	 * over whole. May be NULL.
	 */
	void (*sent)(void *arg);
	http_done_fn done;
	void *arg;
};

/*
 * Sends one request. Only on a connection that is not busy. done is never
 * called from within this function. 1xx responses other than 101 are skipped;
 * redirects are handed on.
 */
enum loop_error http_conn_call(struct http_conn *conn,
			       const struct http_call *call);

/*
 * True when the connection is established, idle and clean, so that another
 * request can be sent.
 */
bool http_conn_reusable(const struct http_conn *conn);

/*
 * True while the connection is being established and has no request yet.
 */
bool http_conn_opening(const struct http_conn *conn);

/*
 * True if a request waits for its response and a byte of that has arrived;
 * 1xx responses do not count once they are complete.
 */
bool http_conn_responding(const struct http_conn *conn);

/*
 * Whether a part of the running request is not handed over to the system yet.
 */
bool http_conn_sending(const struct http_conn *conn);

/*
 * Time that it took to establish the connection, 0 before.
 */
uint32_t http_conn_connect_ms(const struct http_conn *conn);

/*
 * Clock when the last response was complete or the connection established.
 */
uint64_t http_conn_idle_since_ms(const struct http_conn *conn);

#ifdef __cplusplus
}
#endif

#endif
