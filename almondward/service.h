/*
 * svc: interface of the adapters between a platform and almondward.
 *
 * A platform has its own names, formats and API calls. An adapter decodes them
 * into these types and encodes the responses; it makes no decisions.
 */
#ifndef SERVICE_H
#define SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"
#include "http.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- API calls to almondward itself ---- */

enum svc_call_kind {
	SVC_CALL_UNKNOWN, /* no such call */
	SVC_CALL_INVALID, /* cannot be decoded; detail has the reason */
	SVC_CALL_PLAN_READ,
	SVC_CALL_PLAN_CHANGE,
	SVC_CALL_ZONE,
	SVC_CALL_HEARTBEAT,
	SVC_CALL_LEAVE,
	SVC_CALL_LOOKUP,
	SVC_CALL_READY
};

struct svc_zone {
	char name[NAME_BYTES_MAX];
	bool evacuated;
};

struct svc_leave {
	char server_id[NAME_BYTES_MAX];
	bool has_incarnation;
	uint64_t incarnation;
};

struct svc_lookup {
	char zone[NAME_BYTES_MAX]; /* of the caller, "" if not given */
	char region[NAME_BYTES_MAX]; /* likewise */
};

struct svc_call {
	enum svc_call_kind kind;
	char detail[256];
	union {
		Aw__PlanChange *change; /* its digest is not set */
		struct svc_zone zone;
		Aw__Server *server; /* state LEAVING: it will exit soon */
		struct svc_leave leave;
		struct svc_lookup lookup;
	} u;
};

/* ---- requests of callers ---- */

/* Strings belong to the HTTP request; NULL if it has no such header. */
struct svc_request {
	const char *id;
	const char *key;
	const char *object; /* affinity key */
	bool has_deadline;
	uint32_t deadline_ms; /* after the arrival of the request */
};

/* Values of the headers that are added to a forwarded request. */
struct svc_forward {
	const char *server_id;
	const char *customer; /* NULL on routes that need no key */
	uint32_t left_ms; /* 0: no deadline */
};

#define SVC_FORWARD_HEADERS 3

/* Storage for header values that have to be formatted. */
struct svc_forward_text {
	char left_ms[16];
};

/* ---- responses of backend servers ---- */

/* Longer backoffs are shortened to this time. */
#define SVC_BACKOFF_MAX_MS 3600000

/* Backoff that a server asks for when it refuses a request. */
enum svc_backoff {
	SVC_BACKOFF_NONE, /* not given, or 0 */
	SVC_BACKOFF_VALID, /* fractions are rounded up to milliseconds */
	SVC_BACKOFF_CAPPED, /* was longer than SVC_BACKOFF_MAX_MS */
	SVC_BACKOFF_UNREADABLE /* not a number, or negative: ignored */
};

/* Higher limits are lowered to this one, which no server needs. */
#define SVC_LIMIT_MAX_MILLI_PER_S 1000000000

/* Requests a second that a server takes from all instances together. */
enum svc_limit {
	SVC_LIMIT_NONE, /* not given */
	SVC_LIMIT_VALID, /* rounded to the nearest thousandth */
	SVC_LIMIT_UNREADABLE /* not a decimal number: ignored */
};

struct svc_answer {
	const char *request_id; /* NULL: not given, or not only one */
	const char *server_id; /* NULL: not given */
	bool not_run; /* the server states that it has not executed it */
	bool tells_not_run; /* callers read its status as "not run" */
	bool misdirected; /* the address belongs to another server now */
	bool leaving; /* the server will exit soon */
	bool has_content_encoding; /* so the body is not plain bytes */
	bool has_load;
	uint32_t running; /* requests */
	uint32_t waiting;
	uint32_t slots;
	uint32_t idle_max_ms; /* of the connection, 0: not given */
	enum svc_backoff backoff;
	uint32_t backoff_ms; /* if backoff is VALID or CAPPED */
	enum svc_limit limit;
	uint32_t limit_milli_per_s; /* if limit is VALID */
};

struct svc_adapter {
	/*
	 * Decodes an API call. The caller frees the result with
	 * svc_call_release().
	 */
	void (*read_call)(const struct http_request *req,
			  struct svc_call *call);
	/*
	 * Encode the responses to a read of the plan and to a look-up. Return
	 * -1 when memory is exhausted.
	 */
	int (*format_plan)(const Aw__Plan *plan, struct buf *out);
	/*
	 * Returns whether requests need a key, except on open routes: the
	 * document has a list of customers, which may be empty.
	 */
	bool (*needs_keys)(const Aw__Plan *plan);
	int (*format_lookup)(const char *const *addresses, size_t nr,
			     uint32_t ttl_ms, struct buf *out);
	/*
	 * Encodes the response to a heartbeat. The server should send its next
	 * heartbeats to address; NULL: to the same instance as before. Returns
	 * -1 when memory is exhausted.
	 */
	int (*format_heartbeat)(const char *address, struct buf *out);
	void (*read_request)(const struct http_request *req,
			     struct svc_request *out);
	/*
	 * Returns true for a request header that must not be forwarded to a
	 * backend server: the caller's key, and headers that almondward sets
	 * itself.
	 */
	bool (*is_withheld)(const char *name);
	/*
	 * Fills in up to SVC_FORWARD_HEADERS headers and returns their number.
	 * Their values may point into text and forward.
	 */
	size_t (*forward_headers)(const struct svc_forward *forward,
				  struct svc_forward_text *text,
				  struct http_header *out);
	/*
	 * Returns the header with which an instance passes on the time that is
	 * left when it relays a request to another instance. It replaces the
	 * caller's header of that name.
	 */
	struct http_header (*relay_deadline)(uint32_t left_ms,
					     struct svc_forward_text *text);
	void (*read_answer)(const struct http_response *response,
			    struct svc_answer *out);
	const char *request_id_header;
};

/*
 * Frees the message that read_call() allocated.
 */
void svc_call_release(struct svc_call *call);

#ifdef __cplusplus
}
#endif

#endif
