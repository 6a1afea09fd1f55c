/*
 * http: HTTP/1.1 server and client.
 *
 * Messages are parsed with http_parser, connections are those of loop. Server
 * and client pass on complete messages only, and reject messages with ambiguous
 * framing: see docs/http.md.
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
	const char *target; /* request target as received, origin form only */
	const struct http_header *headers;
	size_t nr_headers;
	const uint8_t *body;
	size_t body_bytes;
	const char *peer; /* "IP:port" of the client */
	uint64_t head_ms; /* time when the head was complete */
	/* When its connection was accepted, for the first one on it, else 0. */
	uint64_t accepted_ms;
	uint64_t received_ms; /* time when its first byte was read */
};

struct http_response {
	uint32_t status;
	/* framing and hop-by-hop headers are not sent */
	const struct http_header *headers;
	size_t nr_headers;
	const uint8_t *body;
	size_t body_bytes;
};

/*
 * Returns the value of the first header with that name, compared
 * case-insensitively, or NULL.
 */
const char *http_header_value(const struct http_header *headers,
			      size_t nr_headers, const char *name);

/* ---- server ---- */

struct http_server;
struct http_exchange; /* a request and its pending response */

/* Result of a check_head function, initially all 0. */
struct http_head_check {
	enum refusal refusal; /* REFUSAL_NONE: receive the body */
	uint32_t retry_after_ms;
	/*
	 * When the response is due at the latest, 0: no limit. A request whose
	 * body is not complete by then is refused.
	 */
	uint64_t response_due_ms;
};

struct http_server_settings {
	const char *address; /* "IP:port" */
	size_t body_max_bytes;
	uint64_t body_memory_bytes; /* of all bodies together, 0: no limit */
	size_t body_small_bytes; /* as small_bytes of struct http_memory */
	uint32_t connections_max;
	uint32_t idle_timeout_ms;
	uint32_t head_timeout_ms;
	uint32_t body_timeout_ms; /* without progress of a body or response */
	/*
	 * Called with a complete head, before its body is received; req has no
	 * body yet, and arg is that of the handler. body_bytes is its length, 0
	 * if that is not known. If check->refusal is set, the request is
	 * refused without receiving the body. May be NULL.
	 */
	void (*check_head)(void *arg, const struct http_request *req,
			   uint64_t body_bytes, struct http_head_check *check);
	struct ctr_set *counters; /* may be NULL */
	enum loop_use use; /* of the connections */
	/*
	 * Generates the request id of a response that has none, such as a
	 * refusal sent by the server itself; arg is that of the handler. NULL:
	 * such responses have no id.
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
 * Sends the response; the exchange is invalid afterwards. The body is copied.
 */
void http_respond(struct http_exchange *exchange,
		  const struct http_response *response);

/*
 * Responds with {"error", "detail", "request_id", "not_run"} as JSON and, if
 * retry_after_ms is not 0, with the headers Retry-After, in whole seconds
 * rounded up, and Almondward-Retry-After-Ms. not_run also sets
 * Almondward-Not-Run: 1. An empty request_id is replaced by one from make_id.
 */
void http_respond_refusal(struct http_exchange *exchange, enum refusal refusal,
			  const char *detail, const char *request_id,
			  bool not_run, uint32_t retry_after_ms);

/*
 * Sets the function that is called when the caller's connection closes before
 * the response; the exchange and its request are invalid after fn returns. Call
 * it before the handler returns. Without it the exchange stays valid until
 * http_respond(). A half-closed connection (the caller has shut down its
 * sending side) counts as closed.
 */
void http_exchange_on_abort(struct http_exchange *exchange,
			    void (*fn)(void *arg), void *arg);

/*
 * Returns true if the caller has closed its connection, although the abort
 * callback has not been called yet: a request and the end of its connection are
 * read one after the other.
 */
bool http_exchange_is_abandoned(const struct http_exchange *exchange);

/*
 * Starts a graceful shutdown: stops listening if stop_listening, responds with
 * Connection: close unless another request was received after this one, and
 * closes connections that have been idle for 1 s, so that a request that is
 * already on its way to the server is still handled. Can be called again, to
 * stop listening later.
 */
void http_server_drain(struct http_server *server, bool stop_listening);

/*
 * Sets the time after which an idle connection of a caller is closed; 0 means
 * never. A connection that is already idle gets the longer one of the old and
 * the new time, as its caller may rely on either.
 */
void http_server_set_idle_timeout(struct http_server *server,
				  uint32_t idle_timeout_ms);

/*
 * Sets the limit for bodies whose transfer has not started yet.
 */
void http_server_set_body_max(struct http_server *server, size_t bytes);

/*
 * Returns the number of requests that the handler has not responded to.
 */
size_t http_server_active(const struct http_server *server);
size_t http_server_connections(const struct http_server *server);

/* ---- client ---- */

struct http_conn;

enum http_result {
	HTTP_OK, /* complete response, with Content-Length or chunked */
	HTTP_CONNECT_FAILED,
	HTTP_CLOSED, /* closed before any byte of the response */
	HTTP_INCOMPLETE, /* closed within the response */
	HTTP_TIMEOUT,
	HTTP_MALFORMED, /* also a body that ends when the connection closes */
	HTTP_TOO_LARGE,
	HTTP_MEMORY
};

struct http_outcome {
	enum http_result result;
	bool bytes_sent; /* the socket accepted a byte of the request */
	struct http_response response; /* valid during the callback */
	/*
	 * Status and headers of a response that failed after its head was
	 * complete, valid during the callback; status 0: no complete head.
	 */
	struct http_response failed_head;
};

typedef void (*http_done_fn)(void *arg, struct http_conn *conn,
			     const struct http_outcome *outcome);

/*
 * Starts to connect. http_conn_call() can follow at once; its request is sent
 * when the connection is established.
 */
enum loop_error http_conn_create(struct loop *loop, const char *address,
				 uint32_t connect_timeout_ms,
				 struct http_conn **conn);

/*
 * Sets what the connection carries, see loop_conn_set_use().
 */
void http_conn_set_use(struct http_conn *conn, enum loop_use use);

/*
 * Closes at once; the done callback of a request in flight is not called.
 */
void http_conn_destroy(struct http_conn *conn);

/*
 * Memory limit that several bodies share.
 */
struct http_memory {
	uint64_t max_bytes; /* 0: no limit */
	uint64_t used_bytes;
	/* Bodies up to this are accepted although the limit is reached. */
	size_t small_bytes;
};

/*
 * For http_memory: a few long bodies that arrive slowly may use up the limit,
 * and all other messages would be refused.
 */
#define HTTP_SMALL_BODY_BYTES ((size_t)16384)

struct http_call {
	const char *method;
	const char *target;
	/* framing and hop-by-hop headers are not sent */
	const struct http_header *headers;
	size_t nr_headers;
	const uint8_t *body; /* not copied: must stay valid until done */
	size_t body_bytes;
	size_t response_max_bytes; /* of the body */
	struct http_memory *response_memory; /* NULL: no shared limit */
	uint32_t timeout_ms; /* until the response is complete */
	/*
	 * Over a connection without a response so far, the request is sent
	 * when it has been established for this long. If it is reset before,
	 * the call ends with HTTP_CLOSED and bytes_sent false.
	 */
	uint32_t settle_ms;
	/*
	 * Called just before the first byte is written to the socket; false
	 * ends the call with HTTP_CLOSED and bytes_sent false. May be NULL.
	 */
	bool (*may_send)(void *arg);
	/*
	 * Called with a complete response; false skips it as the response of
	 * another request, and the client waits for the next one. The
	 * connection is not reused in that case. May be NULL.
	 */
	bool (*matches_request)(void *arg,
				const struct http_response *response);
	/*
	 * Called when the system has accepted the last byte of a request for
	 * which http_conn_sending() was true. May be NULL.
	 */
	void (*request_sent)(void *arg);
	http_done_fn done;
	void *arg;
};

/*
 * Sends one request; the connection must not have another one. Never calls done
 * from within this function. 1xx responses other than 101 are skipped,
 * redirects are passed on.
 */
enum loop_error http_conn_call(struct http_conn *conn,
			       const struct http_call *call);

/*
 * Returns true if another request can be sent: the connection is established
 * and idle, and no unexpected bytes have arrived on it.
 */
bool http_conn_reusable(const struct http_conn *conn);

/*
 * Returns true if received bytes, or the end of the connection, have not been
 * read yet. An idle connection with input must not be used for a request.
 */
bool http_conn_has_input(const struct http_conn *conn);

/*
 * Returns true while the connection is being established and has no request.
 */
bool http_conn_opening(const struct http_conn *conn);

/*
 * Returns true if a request waits for its response and part of the response has
 * arrived. 1xx responses do not count once they are complete.
 */
bool http_conn_responding(const struct http_conn *conn);

/*
 * Returns true while the system has not accepted all bytes of the request.
 */
bool http_conn_sending(const struct http_conn *conn);

/*
 * Returns the time that it took to establish the connection, 0 before that.
 */
uint32_t http_conn_connect_ms(const struct http_conn *conn);

/*
 * Returns the time when the last response was complete or, before the first
 * response, when the connection was established.
 */
uint64_t http_conn_idle_since_ms(const struct http_conn *conn);

#ifdef __cplusplus
}
#endif

#endif
