/*
 * coord: counts the requests of all entry instances at a backend server.
 *
 * Hundreds of instances share the requests to hundreds of servers, so each
 * instance sees too few of them to know how busy a server is or which objects
 * it has cached. Each server has one instance as its coordinator. An instance
 * queries the coordinator before it sends a request; the coordinator replies
 * with the requests in flight and counts the new one until it is reported
 * finished. The cost of a request does not depend on the number of instances.
 *
 * A coordinator reports, and the instance that queried it decides; only where
 * the server has named a limit, the coordinator grants or denies a permit.
 * Without a reply an instance goes by what it has seen itself. The module only
 * makes decisions; time comes from a clock.
 */
#ifndef COORD_H
#define COORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "limit.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The report that a request has finished may be lost; the request is discarded
 * after this time at the latest. */
#define COORD_LIFETIME_MAX_MS 6000
/* A server without requests is discarded after this time. */
#define COORD_SERVER_IDLE_MS 60000
/* Objects per server that are tracked in the order of their last use. For a
 * server that can cache more, the rest counts as not cached. */
#define COORD_OBJECTS_MAX 32

/* Load that an instance which knows no permits is given when there is none: more
 * than any server has slots, so that it chooses another server. */
#define COORD_LOAD_FULL 1000

struct coord;

struct coord_query {
	uint64_t token; /* identifies the request at this coordinator */
	uint32_t server; /* hash of its id */
	uint32_t upstream; /* hash of its name */
	bool has_object;
	uint64_t object;
	uint32_t left_ms; /* until the caller's deadline */
	bool supports_limits; /* false: an instance of an earlier version */
	bool is_sent; /* the request is sent without awaiting the reply */
	struct limit limit; /* of the server, as known to the instance */
};

enum coord_permit {
	COORD_PERMIT_UNSUPPORTED, /* the coordinator knows no limits */
	COORD_PERMIT_GRANTED, /* also where the server has no limit */
	COORD_PERMIT_DENIED /* the request must not be sent; not counted */
};

struct coord_reply {
	uint32_t in_flight; /* other requests in flight at the server */
	bool cached; /* the server probably has the object cached */
	enum coord_permit permit;
	uint32_t retry_ms; /* until the next permit, if denied */
	struct limit limit; /* as known to the coordinator */
};

/* What a finished request shows about the cache of its server. */
enum coord_end_result {
	COORD_CACHE_UNKNOWN, /* cancelled, failed, or without a measurement */
	COORD_CACHE_HIT, /* as fast as with a cached object */
	COORD_CACHE_MISS,
	COORD_NOT_SENT
};

/*
 * Returns NULL when memory is exhausted.
 */
struct coord *coord_create(struct clk *clk);
void coord_destroy(struct coord *coord);

/*
 * Counts a request and replies with the load of its server. A query that
 * repeats a token replaces the earlier one. Returns -1 when memory is
 * exhausted.
 */
int coord_query(struct coord *coord, const struct coord_query *query,
		struct coord_reply *reply);

/*
 * Takes the limit that the response to a request named. An unknown token is
 * ignored; the next query has the limit again.
 */
void coord_observe_limit(struct coord *coord, uint64_t token,
			 const struct limit *observed);

/*
 * The request has finished. An unknown token is ignored: the request may have
 * expired, or another coordinator was queried.
 */
void coord_end(struct coord *coord, uint64_t token, enum coord_end_result end);

/*
 * Discards requests and servers that have expired. Call several times a second.
 */
void coord_tick(struct coord *coord);

#ifdef __cplusplus
}
#endif

#endif
