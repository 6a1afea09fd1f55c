/*
 * Parts of the gateway that its files share.
 */
#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include <uthash.h>

#include "budget.h"
#include "coord.h"
#include "counter.h"
#include "crashes.h"
#include "event.h"
#include "gateway.h"
#include "gossip.h"
#include "histogram.h"
#include "http.h"
#include "loop.h"
#include "pace.h"
#include "peer.h"
#include "plan.h"
#include "share.h"
#include "steer.h"
#include "topo.h"

struct gw;

/* A customer's share of its rate at this instance. */
struct gw_customer {
	char name[NAME_BYTES_MAX];
	struct share_bucket bucket;
	bool planned; /* is in the plan */
	uint32_t turn; /* spreads the reports of idle ones */
	struct gw_request *waiting; /* for a token, oldest first */
	uint32_t nr_waiting;
	uint32_t nr_asked; /* of them, tokens asked for at the leader */
	UT_hash_handle hh;
};

/* Counts of one upstream, for its retry budget. */
struct gw_upstream {
	char name[NAME_BYTES_MAX];
	struct budget budget;
	UT_hash_handle hh;
};

/* Weighted parts of a route in smooth turns. */
struct gw_turns {
	char route[NAME_BYTES_MAX];
	uint64_t plan_index; /* of the weights */
	int64_t *credits; /* one for each part */
	size_t nr;
	UT_hash_handle hh;
};

struct gw_link {
	struct peer_link *link;
	struct gw_link *prev, *next;
};

struct gw_control {
	char address[ADDRESS_BYTES_MAX];
	uint64_t named_ms;
	struct gw_control *prev, *next;
};

/* An entry instance that may coordinate servers. */
struct gw_instance {
	char address[ADDRESS_BYTES_MAX]; /* for datagrams */
	char region[NAME_BYTES_MAX];
	uint64_t hash;
	bool is_self;
	uint64_t silent_until_ms; /* it did not answer */
};

/* A request at the coordinator of the server that it is meant for. */
struct gw_slot {
	struct gw_request *request;
	uint64_t token;
	uint32_t server; /* hash of its id */
	char coordinator[ADDRESS_BYTES_MAX];
	bool held; /* the coordinator may count it */
	bool is_local; /* the coordinator is this instance */
	bool waits; /* the request waits for the answer */
	uint64_t until_ms; /* for the answer, 0: it has come or is given up */
	UT_hash_handle hh;
};

enum gw_slot_state {
	GW_SLOT_TOLD, /* steer knows what the coordinator knows */
	GW_SLOT_WAITS, /* gw_request_told() will be called */
	GW_SLOT_UNTOLD /* the request goes on without an answer */
};

struct gw_slots {
	struct coord *coord; /* of the servers that this instance coordinates */
	struct gw_instance *instances;
	size_t nr_instances;
	uint64_t version; /* of the list that they are from */
	struct gw_slot *asked; /* at other instances, by token */
	uint64_t next_token;
};

struct gw {
	struct set_settings *settings; /* own copy, see SIGHUP */
	const char *settings_path;
	const struct svc_adapter *adapter;
	struct clk *clk;
	struct loop *loop;
	struct ctr_set *counters;
	struct hist *latency; /* of answered requests */
	struct hist *waited; /* until the first sending */
	struct peer_node *peers;
	struct http_server *callers;
	struct http_server *ready;
	struct http_server *metrics;
	struct loop_timer *tick_timer;
	uint64_t incarnation; /* of this process */
	struct plan *plan;
	uint64_t plan_ms; /* when the plan was last confirmed by a leader */
	struct topo *topo;
	struct steer *steer;
	struct gossip *gossip;
	struct gw_slots slots;
	unsigned short random_state[3];
	char **evacuated_zones;
	size_t nr_evacuated_zones;
	struct gw_customer *customers;
	struct gw_upstream *upstreams;
	struct gw_turns *turns;
	struct gw_request *requests;
	struct gw_backend *backends; /* connections to servers */
	size_t nr_requests;
	struct http_memory answers; /* that are being received */
	/* Large bodies: those being sent, and those that wait for their turn. */
	struct gw_request *large; /* oldest first */
	uint32_t nr_large_sent;

	/* Links to control instances. */
	struct gw_link *links;
	struct gw_control *controls;
	struct peer_link *leader_link;
	char leader[NAME_BYTES_MAX];
	uint64_t leader_term;
	bool fed; /* by the leader link in use */
	uint64_t subscribe_ms;
	uint64_t fed_term;
	uint64_t fed_version; /* of the table */
	uint64_t report_ms;
	uint64_t report_sequence;
	uint32_t nr_reports; /* periodic ones */
	uint64_t granted_sequence;
	uint64_t granted_term;
	bool ask; /* tokens are to be asked for */
	uint64_t ask_ms; /* when they were last asked for */

	struct crs *crs; /* requests that crash servers */
	struct gw_probe *probes;
	size_t nr_probes;

	uint64_t stop_ms; /* when the stop was asked for, 0: not */
	/* Kept connections that were idle for longer may be forgotten. */
	uint64_t idle_doubt_ms;
	uint64_t idle_doubt_until_ms;
	uint64_t slow_ms; /* when the slow part of the tick last ran */
	bool failed;
};

uint64_t gw_now_ms(const struct gw *gw);
void gw_count(struct gw *gw, const char *name, const char *label);
/* Ends the process with an error. */
void gw_fail(struct gw *gw, const char *cause);

/* ---- gateway_link.c ---- */

int gw_link_open(struct gw *gw);
void gw_link_tick(struct gw *gw);
void gw_link_close(struct gw *gw);
/* Tells the leader the state of this instance. */
void gw_link_announce(struct gw *gw);
/* Whether the leader can be asked for a token. */
bool gw_link_can_ask(const struct gw *gw);
/* Has tokens asked for at once. */
void gw_link_ask(struct gw *gw);

/* ---- gateway_request.c ---- */

void gw_on_request(void *arg, struct http_exchange *exchange,
		   const struct http_request *req);
/* Forgets all requests without an answer. */
void gw_request_drop_all(struct gw *gw);
void gw_plan_changed(struct gw *gw);
/*
 * The leader's answer to a question for tokens: requests that it has none for
 * are refused at once.
 */
void gw_request_tokens(struct gw_customer *customer, uint32_t tokens,
		       uint32_t wanted);
/* Ends the waiting of those that waited too long. */
void gw_request_tick(struct gw *gw);
/* The coordinator's answer, NULL: none has come in time. */
void gw_request_told(struct gw_slot *slot, const struct coord_reply *told);

/* ---- gateway_slots.c ---- */

int gw_slots_open(struct gw *gw);
void gw_slots_close(struct gw *gw);
/*
 * Tells the coordinator of the server that a request will be sent there; what
 * the slot held before ends as not sent. Without waits the request goes on at
 * once and steer learns of the answer when it comes.
 */
enum gw_slot_state gw_slot_ask(struct gw *gw, struct gw_slot *slot,
			       struct steer_server *server,
			       const struct steer_query *query, bool waits);
/* Does nothing if the slot holds nothing. */
void gw_slot_end(struct gw *gw, struct gw_slot *slot, enum coord_end end);
void gw_slots_datagram(void *arg, const char *from,
		       const Aw__Datagram *datagram);
void gw_slots_tick(struct gw *gw);

/* ---- gateway_crashes.c ---- */

int gw_crash_open(struct gw *gw);
void gw_crash_close(struct gw *gw);
void gw_crash_tick(struct gw *gw);
/* The connection to the server broke after the request was sent. */
void gw_crash_broke(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
		    const struct steer_server *server, uint32_t took_ms);
/* The sending ended without an answer and without a break. */
void gw_crash_unanswered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
			 const struct steer_server *server, uint32_t took_ms);
/* The table has this start of a server. */
void gw_crash_started(struct gw *gw, const Aw__Server *server);
/* Another process has the address of the server. */
void gw_crash_replaced(struct gw *gw, const struct steer_server *server);
void gw_crash_answered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES]);
void gw_crash_judge(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
		    struct crs_verdict *verdict);
/* What another instance told. */
void gw_crash_heard(struct gw *gw, const Aw__CrashNews *news);
/* Tells the leader what it does not know. */
void gw_crash_tell(struct gw *gw);

/* ---- gateway_backend.c ---- */

struct gw_backend;

/* The connection that a call is sent over. */
struct gw_over {
	bool is_new;
	uint64_t idle_ms; /* before the call */
};

/*
 * Sends a call to a server over a connection that is kept, if there is one
 * that is idle for no longer than idle_max_ms, or a new one. A connection whose
 * last request had the same id is not used: a late copy of the answer to that
 * one could not be told from the answer. Returns NULL when no connection can be
 * made.
 */
struct http_conn *gw_backend_call(struct gw *gw, struct steer_server *server,
				  const struct http_call *call, uint64_t id,
				  uint64_t idle_max_ms, struct gw_over *over);
/*
 * Opens a connection for a call that is likely to follow.
 */
void gw_backend_prepare(struct gw *gw, struct steer_server *server);
/*
 * Takes back a connection whose call has ended. idle_max_ms is what the server
 * says of it, 0: nothing.
 */
void gw_backend_done(struct gw *gw, struct steer_server *server,
		     struct http_conn *conn, uint64_t id, uint32_t idle_max_ms);
void gw_backend_drop(void *arg, void *data);
void gw_backend_tick(struct gw *gw);

#endif
