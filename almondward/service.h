/*
 * svc: what an adapter translates between a platform and almondward.
 *
 * A platform has names, formats and calls of its own. An adapter decodes them
 * into these types and encodes the answers; it decides nothing.
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

/* ---- calls to the system itself ---- */

enum svc_call_kind {
	SVC_CALL_UNKNOWN, /* no such call */
	SVC_CALL_INVALID, /* cannot be read; detail says why */
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
	char zone[NAME_BYTES_MAX]; /* of the caller, "" if it does not say */
	char region[NAME_BYTES_MAX];
};

struct svc_call {
	enum svc_call_kind kind;
	char detail[256];
	union {
		Aw__PlanChange *change; /* without digest */
		struct svc_zone zone;
		Aw__Server *server; /* LEAVING: it says that it will end */
		struct svc_leave leave;
		struct svc_lookup lookup;
	} u;
};

/* ---- requests of callers ---- */

/* Strings belong to the request; NULL where it does not say. */
struct svc_request {
	const char *id;
	const char *key;
	const char *object; /* requests for the same object have the same */
	bool has_deadline;
	uint32_t deadline_ms; /* from the arrival of the request */
};

/* What is added to a request on its way to a backend server. */
struct svc_forward {
	const char *server_id;
	const char *customer; /* NULL on routes without key */
	uint32_t left_ms; /* 0: no deadline */
};

#define SVC_FORWARD_HEADERS 3

struct svc_forward_text {
	char left_ms[16];
};

/* ---- answers of backend servers ---- */

/* The longest time for which a server can want no requests. */
#define SVC_PAUSE_MAX_MS 3600000

/* Whether a server that turned a request away wants none for some time. */
enum svc_pause {
	SVC_PAUSE_NONE, /* does not say, or none at all */
	SVC_PAUSE_TIME, /* fractions are rounded up to milliseconds */
	SVC_PAUSE_CUT, /* more than SVC_PAUSE_MAX_MS, which is taken instead */
	SVC_PAUSE_UNREADABLE /* no number, or below 0: counts as none */
};

struct svc_answer {
	const char *request_id; /* NULL: does not say */
	const char *server_id;
	bool not_run; /* the server says that it has not run the request */
	bool misdirected; /* another server has the address */
	bool leaves; /* the server will end */
	bool is_coded; /* not the bytes of the server as they were asked for */
	bool has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t idle_max_ms; /* of the connection, 0: does not say */
	enum svc_pause pause;
	uint32_t pause_ms; /* SVC_PAUSE_TIME and SVC_PAUSE_CUT */
};

struct svc_adapter {
	/*
	 * Decodes a call. What it allocates is freed by svc_call_release().
	 */
	void (*read_call)(const struct http_request *req,
			  struct svc_call *call);
	/*
	 * Encode the answers to a read of the plan and to a look-up. Return -1
	 * when memory is exhausted.
	 */
	int (*format_plan)(const Aw__Plan *plan, struct buf *out);
	int (*format_lookup)(const char *const *addresses, size_t nr,
			     uint32_t ttl_ms, struct buf *out);
	/*
	 * Encodes the answer to a heartbeat. address is where the server had
	 * better send the next ones, NULL: nowhere else.
	 */
	int (*format_heartbeat)(const char *address, struct buf *out);
	void (*read_request)(const struct http_request *req,
			     struct svc_request *out);
	/*
	 * True for a header of a caller that must not reach a backend server:
	 * its key, and what almondward sets itself.
	 */
	bool (*is_withheld)(const char *name);
	/*
	 * Fills in up to SVC_FORWARD_HEADERS headers; their values may point
	 * into text and forward.
	 */
	size_t (*forward_headers)(const struct svc_forward *forward,
				  struct svc_forward_text *text,
				  struct http_header *out);
	void (*read_answer)(const struct http_response *response,
			    struct svc_answer *out);
	const char *request_id_header;
};

void svc_call_release(struct svc_call *call);

#ifdef __cplusplus
}
#endif

#endif
