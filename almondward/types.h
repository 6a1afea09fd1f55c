/*
 * Types and limits shared by all modules.
 */
#ifndef TYPES_H
#define TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define NAME_BYTES_MAX 64 /* instance, zone, customer, route, ... with NUL */
#define ADDRESS_BYTES_MAX 64 /* "IP:port" or "[IP6]:port" with NUL */
#define REQUEST_ID_BYTES_MAX 96 /* with NUL */
#define HASH_BYTES 32 /* of key hashes, body hashes and fingerprints */
#define IDEMPOTENCY_KEY_BYTES_MAX 129 /* with NUL */
#define REASON_BYTES_MAX 512 /* reason given by an operator, with NUL */

#define REPORT_INTERVAL_MS 500 /* from entry instance to leader */
#define FLEET_LEASE_MS 3000 /* limits how long a withdrawn key still works */
#define TOKEN_LIFETIME_MS 1000 /* since the report was sent */
#define CLAIM_DISPATCH_MS 5000 /* a claim granted later is not dispatched */
#define CLAIM_LIFETIME_MS 86400000 /* 24 h */
#define SERVER_SILENT_MS 3000 /* without a heartbeat: no new requests */
#define TOMBSTONE_MS 600000 /* a departed server's record is kept */
#define QUARANTINE_MS 600000 /* duration of a quarantine */
#define QUARANTINE_SERVERS 2 /* crashed servers that cause a quarantine */
#define PEER_PING_MS 500 /* interval of pings between instances */
#define PEER_SILENT_MS 2000 /* without a frame: the connection is lost */

/*
 * Reasons why a request was refused or failed. Each has a name, an HTTP status
 * and a counter.
 */
enum refusal {
	REFUSAL_NONE,
	REFUSAL_BAD_REQUEST,
	REFUSAL_HEAD_TOO_LARGE,
	REFUSAL_BODY_TOO_LARGE,
	REFUSAL_EXPECTATION,
	REFUSAL_MEMORY, /* no memory, or limit of bodies or connections */
	REFUSAL_NO_LEASE,
	REFUSAL_NO_ROUTE,
	REFUSAL_METHOD,
	REFUSAL_KEY_MISSING,
	REFUSAL_KEY_UNKNOWN,
	REFUSAL_KEY_WITHDRAWN,
	REFUSAL_KEY_MISPLACED,
	REFUSAL_RATE,
	REFUSAL_RATE_UNKNOWN, /* no reply from the leader in time */
	REFUSAL_QUEUE_FULL,
	REFUSAL_QUEUE_TIMEOUT,
	REFUSAL_NO_SERVER,
	REFUSAL_UNREACHABLE, /* the instance has lost its links to the servers */
	REFUSAL_SERVER_LIMIT, /* the servers limit their requests a second */
	REFUSAL_LINK_BUDGET,
	REFUSAL_IDEMPOTENCY_KEY_MISSING,
	REFUSAL_IDEMPOTENCY_KEY_BAD,
	REFUSAL_CLAIM_IN_DOUBT,
	REFUSAL_CLAIM_MISMATCH,
	REFUSAL_CLAIM_UNAVAILABLE,
	REFUSAL_QUARANTINED,
	REFUSAL_CRASHES, /* quarantined, in a seeded cluster */
	REFUSAL_DEADLINE,
	REFUSAL_CONNECT,
	REFUSAL_SERVER_LOST, /* connection closed before the response */
	REFUSAL_ANSWER_CUT, /* connection closed within the response */
	REFUSAL_ANSWER_CROSSED, /* response of another request */
	REFUSAL_ANSWER_MALFORMED,
	REFUSAL_ANSWER_TOO_LARGE,
	REFUSAL_DRAINING,
	REFUSAL_COUNT
};

/*
 * Returns the name in counters, logs and the "error" field of responses, in
 * lower_case.
 */
const char *refusal_name(enum refusal refusal);

/*
 * Returns the HTTP status of a response with this refusal.
 */
uint32_t refusal_status(enum refusal refusal);

/*
 * Returns whether a name that others chose can be used: it is not empty, fits
 * into NAME_BYTES_MAX, and has no control characters, since names are written to
 * logs and request headers.
 */
bool name_is_valid(const char *name);

#ifdef __cplusplus
}
#endif

#endif
