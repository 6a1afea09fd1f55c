/*
 * steer: chooses the backend server of a request, or decides that none can
 * serve it.
 *
 * A server that handled an object lately has it cached and handles it faster,
 * so requests for an object go to few servers. These are chosen by rendezvous
 * hashing, with near servers before far ones: near is the instance's own
 * region, or its own zone for requests with large bodies. Among them the server
 * with the least expected time is chosen, the sum of round-trip time, queueing
 * and work. A request that no server can serve in time is refused, so that
 * requests which can be served in time do not queue behind it.
 *
 * The module only makes decisions: there is no I/O, time comes from a clock.
 */
#ifndef STEER_H
#define STEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "coord.h"
#include "limit.h"
#include "need.h"
#include "plan.h"
#include "settings.h"
#include "topo.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define STEER_TRIED_MAX 8
/* Coordinators that are queried before one attempt: the reply of each may show
 * that another server is better. */
#define STEER_QUERIED_MAX 3

struct steer;
struct steer_server;

/*
 * Rank of a server in the order of preference of an object. It determines how
 * likely the server has the object cached.
 */
enum steer_rank {
	STEER_RANK_OTHER,
	STEER_RANK_CACHED, /* this instance sent it the object lately */
	STEER_RANK_FIRST, /* the object belongs to it */
	STEER_RANK_SECOND, /* the second of the near servers */
	/* The first near or the first far server, where the object belongs to
	 * one of the other group. */
	STEER_RANK_FALLBACK,
	STEER_RANK_COUNT
};

struct steer_query {
	const char *upstream;
	bool has_object;
	uint64_t object; /* hash of the affinity key */
	/* Until the response counts as late; negative if it does already. */
	int64_t aim_left_ms;
	uint64_t left_ms; /* until the caller's deadline */
	uint32_t priority; /* 0 is the most urgent */
	uint64_t body_bytes;
	bool idempotent;
	/* Uniform in [0, 1), the same for all choices for one request. */
	double draw;
	bool chosen_before; /* a server was chosen for this request before */
	/* The coordinator of the chosen server reported the object as not
	 * cached there. */
	bool not_cached;
	/* Servers whose coordinators were queried for this attempt. */
	uint32_t queried[STEER_QUERIED_MAX];
	size_t nr_queried;
	/* Hash of the id of the server for which the request has a permit,
	 * 0: none. */
	uint32_t permit_server;
	/* No more permits are requested for this request. */
	bool denials_exhausted;
	/* Regions in which the request may be handled; none: all. */
	char *const *regions;
	size_t nr_regions;
	/* A second list, which applies in addition. */
	char *const *more_regions;
	size_t nr_more_regions;
	const struct steer_server *tried[STEER_TRIED_MAX];
	size_t nr_tried;
};

enum steer_verdict {
	STEER_SEND,
	STEER_NO_SERVER, /* no server of the upstream may be used */
	STEER_BUSY, /* no server can serve the request in time */
	/* Only cold servers are left, and they take no more requests now. */
	STEER_COLD,
	STEER_BACKOFF, /* the servers asked for a backoff */
	/* The servers limit their requests, and there is no permit now. */
	STEER_LIMITED,
	STEER_SHIFT /* would move too much traffic between regions at once */
};

struct steer_choice {
	enum steer_verdict verdict;
	struct steer_server *server;
	uint32_t expected_ms; /* until the response */
	uint32_t wait_ms; /* part of expected_ms that the request is queued */
	uint32_t retry_after_ms; /* for refused requests */
	/* Of the chosen server, otherwise of the one with the least cost. */
	uint32_t load;
	uint32_t slots;
	/* Since the server or its coordinator last reported its load. */
	uint64_t load_age_ms;
	enum steer_rank rank;
	bool other_region; /* not in the region that the object belongs to */
};

/* Outcome of an attempt. */
enum steer_outcome {
	STEER_SUCCESS,
	STEER_FAILURE, /* an error of the server, or no valid response */
	/* The connection closed before the whole response. */
	STEER_BROKEN_CONNECTION,
	STEER_SHED, /* the server did not execute it for lack of capacity */
	STEER_UNREACHED, /* no connection was established, nothing was sent */
	STEER_REPLACED, /* another process has the address now */
	/* Not sent, since the server may get no more requests. */
	STEER_WITHDRAWN,
	STEER_CANCELLED /* the caller disconnected, or its deadline passed */
};

struct steer_load {
	bool known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

/*
 * zone is the availability zone of this instance. Returns NULL when memory is
 * exhausted.
 */
struct steer *steer_create(struct clk *clk, const struct set_cluster *cluster,
			   const char *zone, const char *instance);
void steer_destroy(struct steer *steer);

/*
 * Updates the servers from the table. Servers that are no longer in the table
 * stay valid until their last attempt has finished. Returns -1 when memory is
 * exhausted.
 */
int steer_sync(struct steer *steer, const struct topo *topo,
	       const struct plan *plan, char *const *evacuated_zones,
	       size_t nr_evacuated_zones);

void steer_pick(struct steer *steer, const struct steer_query *query,
		struct steer_choice *choice);

/* State at the time when an attempt began. */
struct steer_attempt {
	uint64_t sent_ms;
	uint32_t load; /* copied from the choice */
	/* Part of the time since sent_ms that messages waited for the own link,
	 * which says nothing about the server. */
	uint32_t link_ms;
};

/*
 * Returns whether a current reply of the server's coordinator says that the
 * server does not have the object cached.
 */
bool steer_is_reported_uncached(struct steer *steer,
				const struct steer_server *server,
				const struct steer_query *query);

/*
 * Call steer_attempt_begin() immediately before the request is sent, and
 * steer_attempt_end() once when the attempt has finished. The latter returns
 * what the attempt showed about the server's cache.
 */
void steer_attempt_begin(struct steer *steer, struct steer_server *server,
			 const struct steer_query *query);
enum coord_end_result steer_attempt_end(struct steer *steer,
					struct steer_server *server,
					const struct steer_query *query,
					enum steer_outcome outcome,
					const struct steer_attempt *attempt,
					const struct steer_load *load);

/*
 * Record what a server announced in a response, see notice.h. Call them before
 * steer_attempt_end(). They return true if the server had not announced it
 * already.
 */
bool steer_server_set_leaving(struct steer *steer, struct steer_server *server);
bool steer_server_set_backoff(struct steer *steer, struct steer_server *server,
			      uint32_t backoff_ms);

/*
 * Records an observation of the server's limit. Returns true if the limit has
 * changed.
 */
bool steer_server_update_limit(struct steer *steer, struct steer_server *server,
			       const struct limit *observed);
const struct limit *steer_server_limit(const struct steer_server *server);
bool steer_server_is_limited(const struct steer_server *server);

/*
 * Takes a permit from this instance's equal share of the server's limit, for
 * use without a coordinator. Returns false if there is none; the server is then
 * not chosen for a short time.
 */
bool steer_take_own_permit(struct steer *steer, struct steer_server *server,
			   uint32_t nr_instances);

/*
 * These return whether the server may exit for another reason than the requests
 * that it executes: it announced that it leaves, or it is cold and receives too
 * many requests.
 */
bool steer_server_is_leaving(struct steer *steer,
			     const struct steer_server *server);
bool steer_server_is_cold(struct steer *steer,
			  const struct steer_server *server);

/*
 * Returns whether a request that was assigned to the server may still be sent
 * to it.
 */
bool steer_may_send(struct steer *steer, const struct steer_server *server);

/*
 * A server that could not be reached gets no requests while there are others.
 * This ends when it is reached again, by a request or otherwise. Report each
 * connection that fails, as otherwise the server is tried again after a while.
 */
void steer_server_set_unreached(struct steer *steer,
				struct steer_server *server, bool unreached);
bool steer_server_is_unreached(struct steer *steer,
			       const struct steer_server *server);

/*
 * Takes the time that a new connection to the server took to be established.
 */
void steer_connected(struct steer *steer, struct steer_server *server,
		     uint32_t connect_ms);

/*
 * steer_demand() fills in the requests that this instance has in flight at each
 * upstream and returns the number of entries. steer_peer_demand() takes the
 * entries of another instance of the region.
 */
size_t steer_demand(struct steer *steer, struct need_entry *entries,
		    size_t max);
void steer_peer_demand(struct steer *steer, const char *instance,
		       uint64_t incarnation, uint64_t sequence,
		       const struct need_entry *entries, size_t nr);

/*
 * Takes the reply of the server's coordinator to a query for this request.
 */
void steer_coord_reply(struct steer *steer, struct steer_server *server,
		       const struct steer_query *query,
		       const struct coord_reply *reply);

/*
 * Call about every 100 ms.
 */
void steer_tick(struct steer *steer);

/*
 * Returns NULL if the table has no such server.
 */
struct steer_server *steer_find(const struct steer *steer, const char *id);

/*
 * Returns the round-trip time to the server.
 */
uint32_t steer_rtt_ms(struct steer *steer, const struct steer_server *server);
const char *steer_server_id(const struct steer_server *server);
uint64_t steer_server_incarnation(const struct steer_server *server);
const char *steer_server_address(const struct steer_server *server);
const char *steer_server_zone(const struct steer_server *server);
const char *steer_server_region(const struct steer_server *server);
uint32_t steer_server_hash(const struct steer_server *server);
uint32_t steer_upstream_hash(const struct steer_server *server);

/*
 * Returns whether a connection to the server should be open before it is
 * needed. This is so for servers in other regions, to which connecting takes
 * long, if they may get requests.
 */
bool steer_wants_connection(struct steer *steer,
			    const struct steer_server *server);

/*
 * Number of idle connections to the server.
 */
void steer_server_set_idle(struct steer_server *server, size_t nr_idle);
size_t steer_server_idle(const struct steer_server *server);

/*
 * The owner's data of a server, such as its connections. drop is called with
 * the data when the server is freed.
 */
void steer_on_drop(struct steer *steer, void (*drop)(void *arg, void *data),
		   void *arg);
void *steer_server_data(const struct steer_server *server);
void steer_server_set_data(struct steer_server *server, void *data);

const char *steer_verdict_name(enum steer_verdict verdict);
const char *steer_outcome_name(enum steer_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
