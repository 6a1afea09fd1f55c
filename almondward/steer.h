/*
 * steer: which backend server a request goes to, or that none can serve it.
 *
 * A server that has handled an object lately handles it faster, so requests
 * for an object go to few servers, chosen by rendezvous hashing, near ones
 * first. The choice is the server with the least expected time: way, waiting
 * and work. A request that no server can serve in time is refused, so that
 * those that can be served in time do not wait behind it. Decisions only: time
 * comes from a clock, there is no I/O.
 */
#ifndef STEER_H
#define STEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "coord.h"
#include "need.h"
#include "plan.h"
#include "settings.h"
#include "topo.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define STEER_TRIED_MAX 8
/* Coordinators that are asked before one sending: each may tell that another
 * server is better. */
#define STEER_ASKED_MAX 3

struct steer;
struct steer_server;

/*
 * Place of a server in the order of an object, which tells how likely it knows
 * the object.
 */
enum steer_place {
	STEER_PLACE_OTHER,
	STEER_PLACE_KNOWN, /* it has handled the object from here */
	STEER_PLACE_FIRST, /* where the object belongs */
	STEER_PLACE_SECOND, /* of the near ones */
	STEER_PLACE_NEXT, /* the first of the near or the far ones, if the
			     object belongs to the others */
	STEER_PLACE_COUNT
};

struct steer_query {
	const char *upstream;
	bool has_object;
	uint64_t object; /* hash of what the request is about */
	int64_t aim_left_ms; /* until the answer counts as late; may be past */
	uint64_t left_ms; /* until nobody waits any more */
	uint32_t priority; /* 0 is the most urgent */
	uint64_t body_bytes;
	bool idempotent;
	double chance; /* uniform in [0, 1), the same for all its choices */
	bool again; /* not the first choice for the request */
	bool is_new; /* the server was told not to know the object */
	/* Servers whose coordinator was asked. */
	uint32_t asked[STEER_ASKED_MAX];
	size_t nr_asked;
	/* Regions in which the request may run; none: anywhere. */
	char *const *regions;
	size_t nr_regions;
	char *const *more_regions; /* a second list that binds too */
	size_t nr_more_regions;
	const struct steer_server *tried[STEER_TRIED_MAX];
	size_t nr_tried;
};

enum steer_verdict {
	STEER_SEND,
	STEER_NO_SERVER, /* no server of the upstream may be used */
	STEER_BUSY, /* none can serve the request in time */
	STEER_COLD, /* only cold servers, which bear no more now */
	STEER_PAUSED, /* the servers asked for no requests for some time */
	STEER_SHIFT /* would move too much traffic between regions at once */
};

struct steer_choice {
	enum steer_verdict verdict;
	struct steer_server *server;
	uint32_t expected_ms; /* until the answer */
	uint32_t wait_ms; /* part of it before the work begins */
	uint32_t retry_after_ms; /* when refused */
	uint32_t load; /* of the chosen or least loaded server */
	uint32_t slots;
	uint64_t load_age_ms; /* since that server said its load */
	enum steer_place place;
	bool moved; /* to another region than that of the object */
};

/* How one sending ended. */
enum steer_outcome {
	STEER_SUCCESS,
	STEER_FAILURE, /* the server's own failure, or no proper answer */
	STEER_BROKEN, /* the connection broke before the whole answer */
	STEER_SHED, /* the server did not run it for lack of room */
	STEER_UNREACHED, /* no connection, nothing was sent */
	STEER_GONE, /* another server has the address */
	STEER_WITHDRAWN, /* not sent: the server must get none any more */
	STEER_CANCELLED /* the caller left, or the time was up */
};

struct steer_load {
	bool known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

/*
 * zone is that of this instance. Returns NULL when memory is exhausted.
 */
struct steer *steer_create(struct clk *clk, const struct set_cluster *cluster,
			   const char *zone, const char *instance);
void steer_destroy(struct steer *steer);

/*
 * Takes the table of servers over. Servers that are not in it any more stay
 * valid until their last request has ended. Returns -1 when memory is
 * exhausted.
 */
int steer_sync(struct steer *steer, const struct topo *topo,
	       const struct plan *plan, char *const *evacuated_zones,
	       size_t nr_evacuated_zones);

void steer_pick(struct steer *steer, const struct steer_query *query,
		struct steer_choice *choice);

/* What was known when a request was sent. */
struct steer_sending {
	uint64_t sent_ms;
	uint32_t load; /* of the choice */
};

/*
 * Whether the coordinator of the server has just told that the server does not
 * know the object.
 */
bool steer_is_told_new(struct steer *steer, const struct steer_server *server,
		       const struct steer_query *query);

/*
 * To be called just before the request is sent, and once when it has ended. The
 * latter returns what the request showed of the server.
 */
void steer_sent(struct steer *steer, struct steer_server *server,
		const struct steer_query *query);
enum coord_end steer_ended(struct steer *steer, struct steer_server *server,
			   const struct steer_query *query,
			   enum steer_outcome outcome,
			   const struct steer_sending *sending,
			   const struct steer_load *load);

/*
 * What a server said of itself in an answer, see notice.h. To be called before
 * steer_ended(). Return whether that is news.
 */
bool steer_server_leaves(struct steer *steer, struct steer_server *server);
bool steer_server_pauses(struct steer *steer, struct steer_server *server,
			 uint32_t pause_ms);

/*
 * What may end a server beside the requests that it runs: it said that it
 * leaves, or it is cold and too many requests come.
 */
bool steer_server_is_leaving(struct steer *steer,
			     const struct steer_server *server);
bool steer_server_is_cold(struct steer *steer,
			  const struct steer_server *server);

/*
 * Whether a request that was meant for the server may be sent now.
 */
bool steer_may_send(struct steer *steer, const struct steer_server *server);

/*
 * A connection to the server took so long to be established.
 */
void steer_connected(struct steer *steer, struct steer_server *server,
		     uint32_t connect_ms);

/*
 * Fills in the requests of this instance by upstream and returns how many
 * upstreams there are; takes those of another instance of the region.
 */
size_t steer_needs(struct steer *steer, struct need_entry *needs, size_t max);
void steer_peer_needs(struct steer *steer, const char *instance,
		      uint64_t incarnation, uint64_t sequence,
		      const struct need_entry *needs, size_t nr);

/*
 * What the coordinator of a server told before a request is sent there.
 */
void steer_told(struct steer *steer, struct steer_server *server,
		const struct steer_query *query, const struct coord_told *told);

/*
 * To be called about every 100 ms.
 */
void steer_tick(struct steer *steer);

/*
 * Returns NULL when the table does not have it.
 */
struct steer_server *steer_find(const struct steer *steer, const char *id);

/*
 * Round trip to the server.
 */
uint32_t steer_way_ms(struct steer *steer, const struct steer_server *server);
const char *steer_server_id(const struct steer_server *server);
uint64_t steer_server_incarnation(const struct steer_server *server);
const char *steer_server_address(const struct steer_server *server);
const char *steer_server_zone(const struct steer_server *server);
const char *steer_server_region(const struct steer_server *server);
uint32_t steer_server_hash(const struct steer_server *server);
uint32_t steer_upstream_hash(const struct steer_server *server);

/*
 * Whether a connection to the server should be ready before there is a request:
 * it is far, so that a new one takes long, and may get requests.
 */
bool steer_wants_connection(struct steer *steer,
			    const struct steer_server *server);

/*
 * How many connections to the server can be used at once.
 */
void steer_server_set_idle(struct steer_server *server, size_t nr_idle);
size_t steer_server_idle(const struct steer_server *server);

/*
 * Whatever the owner keeps with a server, such as connections. drop is called
 * when the server is forgotten.
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
