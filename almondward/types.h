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
#define HASH_BYTES 32 /* key hashes, body hashes, fingerprints */
#define IDEMPOTENCY_KEY_BYTES_MAX 129 /* with NUL */
#define REASON_BYTES_MAX 512 /* written reason, with NUL */

#define REPORT_INTERVAL_MS 500 /* entry instance to leader */
#define FLEET_LEASE_MS 3000 /* bounds how long a withdrawn key can work */
#define TOKEN_LIFETIME_MS 1000 /* from the sending of the report */
#define CLAIM_DISPATCH_MS 5000 /* a claim granted later is not dispatched */
#define CLAIM_LIFETIME_MS 86400000 /* 24 h */
#define SERVER_SILENT_MS 3000 /* without heartbeat: no new work */
#define TOMBSTONE_MS 600000 /* a server that left stays known */
#define QUARANTINE_MS 600000
#define QUARANTINE_SERVERS 2 /* servers crashed before quarantine */
#define PEER_PING_MS 500
#define PEER_SILENT_MS 2000

/*
 * Why a request was refused or failed. Each has a name, a status and a counter.
 */
enum refusal {
	REFUSAL_NONE,
	REFUSAL_BAD_REQUEST,
	REFUSAL_HEAD_TOO_LARGE,
	REFUSAL_BODY_TOO_LARGE,
	REFUSAL_EXPECTATION,
	REFUSAL_MEMORY, /* bodies in flight exceed the memory limit */
	REFUSAL_NO_LEASE,
	REFUSAL_NO_ROUTE,
	REFUSAL_METHOD,
	REFUSAL_KEY_MISSING,
	REFUSAL_KEY_UNKNOWN,
	REFUSAL_KEY_WITHDRAWN,
	REFUSAL_KEY_MISPLACED,
	REFUSAL_RATE,
	REFUSAL_RATE_UNKNOWN, /* no answer from the leader in time */
	REFUSAL_QUEUE_FULL,
	REFUSAL_QUEUE_TIMEOUT,
	REFUSAL_NO_SERVER,
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
	REFUSAL_SERVER_LOST, /* connection broke before the answer */
	REFUSAL_ANSWER_CUT,
	REFUSAL_ANSWER_CROSSED,
	REFUSAL_ANSWER_MALFORMED,
	REFUSAL_ANSWER_TOO_LARGE,
	REFUSAL_DRAINING,
	REFUSAL_COUNT
};

/*
 * Name for counters, logs and the "error" field of answers, in lower_case.
 */
const char *refusal_name(enum refusal refusal);

/*
 * HTTP status of an answer that carries this refusal.
 */
uint32_t refusal_status(enum refusal refusal);

#ifdef __cplusplus
}
#endif

#endif
