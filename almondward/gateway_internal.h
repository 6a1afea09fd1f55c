/*
 * Internal declarations shared by the files of the gateway.
 */
#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include <uthash.h>

#include "budget.h"
#include "coord.h"
#include "counter.h"
#include "crashes.h"
#include "delay.h"
#include "event.h"
#include "gateway.h"
#include "gossip.h"
#include "histogram.h"
#include "http.h"
#include "loop.h"
#include "pace.h"
#include "peer.h"
#include "plan.h"
#include "reach.h"
#include "share.h"
#include "steer.h"
#include "topo.h"

struct gw;

/* Limits for callers where the plan names none. */
#define GW_BODY_MAX_BYTES ((size_t)64 << 20)
#define GW_IDLE_TIMEOUT_MS 15000

/* A customer's share of its rate at this instance. */
struct gw_customer {
	char name[NAME_BYTES_MAX];
	struct share_bucket bucket;
	bool planned; /* is in the plan */
	uint64_t removed_ms; /* when it was removed from the plan */
	uint32_t report_phase; /* spreads idle customers over the reports */
	struct gw_request *waiting; /* for a token, oldest first */
	uint32_t nr_waiting;
	/* Those of the waiting requests whose token was requested. */
	uint32_t nr_token_requests;
	UT_hash_handle hh;
};

/* Request and retry counts of one upstream, for its retry budget. */
struct gw_upstream {
	char name[NAME_BYTES_MAX];
	struct budget budget;
	UT_hash_handle hh;
};

/* State of one weighted upstream of a route. */
struct gw_round_robin_part {
	uint32_t weight;
	int64_t current_weight; /* as large as the weights */
};

/* Smooth weighted round robin over the weighted upstreams of a route. */
struct gw_round_robin {
	uint64_t route_hash; /* of its name, which may be of any length */
	uint64_t plan_index; /* for which the weights were compared */
	struct gw_round_robin_part *parts;
	size_t nr;
	bool has_started; /* with these weights */
	UT_hash_handle hh;
};

/* An established connection to a control instance. */
struct gw_link {
	struct peer_link *link;
	struct gw_link *prev, *next;
};

/* A control instance to connect to. */
struct gw_control {
	char address[ADDRESS_BYTES_MAX];
	/* When the seeds or a control instance last named it. */
	uint64_t last_listed_ms;
	/* Kept when the connection is lost: the next one may be established
	 * while the link is full. */
	struct delay_path path;
	struct gw_control *prev, *next;
};

/* An entry instance that may coordinate servers. */
struct gw_instance {
	char address[ADDRESS_BYTES_MAX]; /* for datagrams */
	char region[NAME_BYTES_MAX];
	uint64_t hash;
	bool is_self;
	/* It left a query unanswered; none is sent to it until then. */
	uint64_t skip_until_ms;
	/* It runs an earlier version and grants no permits. */
	uint64_t no_permits_until_ms;
};

/* A request as reported to the coordinator of the server it is meant for. */
struct gw_slot {
	struct gw_request *request;
	uint64_t token; /* identifies the request at the coordinator */
	uint32_t server; /* hash of its id */
	char coordinator[ADDRESS_BYTES_MAX];
	bool counted; /* the coordinator may count the request */
	bool is_local; /* the coordinator is this instance */
	bool awaits_reply; /* the request is not sent before the reply */
	/* Time limit of the reply; 0: it was received, or is not expected. */
	uint64_t reply_due_ms;
	/* The request may be sent although the server has a limit. */
	bool has_permit;
	struct limit observed; /* the limit that the response named */
	UT_hash_handle hh;
};

enum gw_slot_state {
	GW_SLOT_REPLIED, /* steer has the coordinator's reply */
	GW_SLOT_DENIED, /* the server has a limit and there is no permit */
	GW_SLOT_PENDING, /* gw_request_on_slot_reply() will be called */
	GW_SLOT_PROCEED /* the request goes on without a reply */
};

struct gw_slots {
	struct coord *coord; /* of the servers that this instance coordinates */
	struct gw_instance *instances;
	size_t nr_instances;
	uint64_t instances_version; /* of the list that they were copied from */
	struct gw_slot *queries; /* sent to other instances, by token */
	uint64_t next_token;
};

/* What the network link carried, and how long messages waited for it. */
struct gw_net {
	struct delay delay;
	/* Bytes received and sent, at the beginning of an interval. */
	uint64_t measured_ms;
	uint64_t measured_received_bytes;
	uint64_t measured_sent_bytes;
	uint64_t busy_ms; /* end of the last busy interval, 0: none */
	uint64_t probed_ms; /* when the last probe was sent */
	bool is_full; /* as reported to the leader */
	uint64_t below_full_ms; /* when they last waited less than FULL_MS */
	uint64_t delayed_ms; /* when they last waited FULL_END_MS */
	struct loop_traffic logged[LOOP_USE_COUNT]; /* at the last log line */
	uint64_t logged_ms;
	/* New connections to servers of the own region since then. */
	uint32_t nr_connects;
	uint32_t connect_min_ms;
	uint32_t connect_max_ms;
};

struct gw {
	struct set_settings *settings; /* own copy, which SIGHUP changes */
	const char *settings_path;
	const struct svc_adapter *adapter;
	struct clk *clk;
	struct loop *loop;
	struct ctr_set *counters;
	struct hist *latency; /* of answered requests */
	struct hist *wait_time; /* from arrival to the first attempt */
	struct peer_node *peers;
	struct http_server *callers;
	struct http_server *ready;
	struct http_server *metrics;
	struct loop_timer *tick_timer;
	uint64_t incarnation; /* of this process */
	struct plan *plan;
	/* When a leader last confirmed the plan. */
	uint64_t plan_confirmed_ms;
	struct topo *topo;
	struct steer *steer;
	struct gossip *gossip;
	struct gw_slots slots;
	struct gw_net net;
	unsigned short random_state[3];
	char **evacuated_zones;
	size_t nr_evacuated_zones;
	struct gw_customer *customers;
	struct gw_upstream *upstreams;
	struct gw_round_robin *round_robins; /* by route */
	struct gw_request *requests;
	struct gw_backend *backends; /* connections to servers */
	struct gw_relay_peer *relay_peers;
	struct gw_reach *reach;
	size_t nr_requests;
	struct http_memory response_memory; /* of responses being received */
	/* Requests with a large body that wait for the link, oldest first. */
	struct gw_request *large_waiting;
	uint32_t nr_large_sending; /* large bodies being sent */

	/* Links to control instances. */
	struct gw_link *links;
	struct gw_control *controls;
	struct peer_link *leader_link;
	char leader[NAME_BYTES_MAX];
	uint64_t leader_term;
	bool has_feed; /* leader_link has sent a feed */
	uint64_t subscribe_ms; /* when the last Subscribe was sent */
	uint64_t feed_term; /* of the last feed */
	uint64_t feed_table_version;
	uint64_t feed_lists_version;
	uint64_t feed_quarantines_version;
	uint64_t last_report_ms; /* of the periodic reports */
	uint64_t report_sequence;
	uint32_t nr_periodic_reports;
	uint64_t granted_sequence;
	uint64_t granted_term;
	bool tokens_needed; /* the next tick requests tokens */
	bool report_due; /* the next tick sends a report before its time */
	/* When the last report was sent; each requests tokens. */
	uint64_t last_token_request_ms;

	struct crs *crs; /* requests that crash servers */
	struct gw_probe *probes;
	size_t nr_probes;

	uint64_t stop_requested_ms; /* 0: no stop was requested */
	/*
	 * Until idle_limit_until_ms, idle connections are used only if they
	 * were idle for no longer than idle_limit_ms: the server may have
	 * dropped older ones.
	 */
	uint64_t idle_limit_ms;
	uint64_t idle_limit_until_ms;
	/* Until then new connections have to settle, see GW_SETTLE_MS. */
	uint64_t settle_until_ms;
	uint64_t last_slow_tick_ms; /* see SLOW_TICK_MS */
	uint64_t tick_due_ms; /* 0: before the first tick */
	bool failed;
};

uint64_t gw_now_ms(const struct gw *gw);
void gw_count(struct gw *gw, const char *name, const char *label);
/* Logs the cause and stops the process with an error. */
void gw_fail(struct gw *gw, const char *cause);
/*
 * Returns whether a request that takes until deadline_ms at the latest may be
 * sent to a server. In a graceful stop the response has to be received before
 * the process exits. While callers may still use the address, twice the
 * expected time, in milliseconds, is enough; later the deadline must pass
 * before the exit.
 */
bool gw_stop_allows(const struct gw *gw, uint64_t deadline_ms,
		    uint32_t expected_ms);

/* ---- gateway_net.c ---- */

/*
 * Returns the milliseconds that a message waits for the link on its way to
 * another machine and back, 0 if the link is not busy.
 */
uint32_t gw_net_delay_ms(const struct gw *gw);
/*
 * Returns the part of gw_net_delay_ms() that messages from others wait before
 * they are received, or that those to others wait before they are sent.
 */
uint32_t gw_net_receive_delay_ms(const struct gw *gw);
uint32_t gw_net_send_delay_ms(const struct gw *gw);
/* Records the time that it took to connect to a server. */
void gw_net_connected(struct gw *gw, const struct steer_server *server,
		      uint32_t connect_ms);
/* Logs what the link carried. Call every 20 ms. */
void gw_net_tick(struct gw *gw);

/* ---- gateway_link.c ---- */

int gw_link_open(struct gw *gw);
void gw_link_tick(struct gw *gw);
void gw_link_close(struct gw *gw);
/* Reports the state of this instance to the leader. */
void gw_link_announce(struct gw *gw);
/* Measures the round trip to one of the control instances. */
void gw_link_probe(struct gw *gw);
/* Returns whether tokens can be requested from the leader. */
bool gw_link_can_request_tokens(const struct gw *gw);
/* Requests tokens within TOKEN_REQUEST_INTERVAL_MS. */
void gw_link_request_tokens(struct gw *gw);

/* ---- gateway_request.c ---- */

void gw_on_request(void *arg, struct http_exchange *exchange,
		   const struct http_request *req);
/* See check_head of struct http_server_settings. */
void gw_check_head(void *arg, const struct http_request *req,
		   uint64_t body_bytes, struct http_head_check *check);
/*
 * Returns whether the caller's Connection header lists the header. Such headers
 * apply to the caller's connection only and are not forwarded.
 */
bool gw_is_named_by_connection(const struct http_request *req,
			       const char *name);
/* Discards all requests without a response. */
void gw_request_drop_all(struct gw *gw);
void gw_plan_changed(struct gw *gw);
/*
 * Applies the leader's reply to a request for tokens: of the oldest `wanted`
 * waiting requests the first `tokens` go on, and the others are refused.
 */
void gw_request_grant_tokens(struct gw_customer *customer, uint32_t tokens,
			     uint32_t wanted);
/* Relays requests that wait for servers which cannot be reached any more. */
void gw_request_on_cut(struct gw *gw);
/*
 * Checks the servers of requests that wait unusually long for a response. Those
 * of servers that cannot be reached are sent to other servers if they are
 * idempotent. Goes through all requests.
 */
void gw_request_check_silent(struct gw *gw);
/* Records new connections of requests that count as established. */
void gw_request_check_connected(struct gw *gw);
/* Handles requests that waited too long for a token or for the link. */
void gw_request_tick(struct gw *gw);
/* Takes the coordinator's reply; NULL: none was received in time. */
void gw_request_on_slot_reply(struct gw_slot *slot,
			      const struct coord_reply *reply);

/* ---- gateway_slots.c ---- */

int gw_slots_open(struct gw *gw);
void gw_slots_close(struct gw *gw);
/*
 * Reports to the coordinator of the server that a request will be sent there,
 * and queries it for what the server has in flight. A request that the slot
 * was used for before is reported as not sent. Without await_reply the request
 * goes on at once, and steer is given the reply when it is received.
 */
enum gw_slot_state gw_slot_query(struct gw *gw, struct gw_slot *slot,
				 struct steer_server *server,
				 const struct steer_query *query,
				 bool await_reply);
/*
 * Reports to the coordinator that the request has finished. Does nothing if
 * the coordinator does not count it.
 */
void gw_slot_end(struct gw *gw, struct gw_slot *slot,
		 enum coord_end_result end);
void gw_slots_datagram(void *arg, const char *from,
		       const Aw__Datagram *datagram);
void gw_slots_tick(struct gw *gw);

/* ---- gateway_crashes.c ---- */

int gw_crash_open(struct gw *gw);
void gw_crash_close(struct gw *gw);
void gw_crash_tick(struct gw *gw);
/* Evaluates checks whether servers have exited. Call every 20 ms. */
void gw_crash_check_probes(struct gw *gw);
/* Records that the connection broke after the request was sent. */
void gw_crash_connection_broken(struct gw *gw,
				const uint8_t fingerprint[HASH_BYTES],
				const struct steer_server *server,
				uint32_t took_ms);
/* Records an unanswered attempt: no response and no broken connection. */
void gw_crash_unanswered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
			 const struct steer_server *server, uint32_t took_ms);
/*
 * Takes a server of the table. If it started at the address of an earlier
 * process, that one has exited.
 */
void gw_crash_server_started(struct gw *gw, const Aw__Server *server);
/* Records that another process now has the address of the server. */
void gw_crash_server_replaced(struct gw *gw, const struct steer_server *server);
/* Records that a server answered the request and so survived it. */
void gw_crash_answered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES]);
/* Decides whether a request with this fingerprint may be sent now. */
void gw_crash_check(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
		    struct crs_verdict *verdict);
/* Takes a report of another instance. */
void gw_crash_receive(struct gw *gw, const Aw__CrashNews *news);
/* Sends pending reports to the leader, or to the instances without one. */
void gw_crash_report(struct gw *gw);

/*
 * A server on another continent accepts a connection in less than 300 ms; one
 * that takes longer than this is down or unreachable. Probes wait as long as
 * connections of requests, so that they do not fail where those succeed.
 */
#define GW_CONNECT_TIMEOUT_MS 700

/*
 * Returns GW_CONNECT_TIMEOUT_MS and the time that the packets wait for the own
 * link: a full link must not be taken for servers that cannot be reached.
 */
uint32_t gw_connect_timeout_ms(const struct gw *gw);

/* ---- gateway_reach.c ---- */

/* A connection that is reset within this time, and within the round-trip time
 * if a request was sent, was not accepted by the server. */
#define GW_SETTLE_MS 50

int gw_reach_open(struct gw *gw);
void gw_reach_close(struct gw *gw);
/* Returns what is known about the links to the servers. */
struct reach *gw_reach(const struct gw *gw);
/* Call every 20 ms. */
void gw_reach_tick(struct gw *gw);

/* ---- gateway_relay.c ---- */

/* Instances that one request is relayed to, one after the other. */
#define GW_RELAY_TRIED_MAX 4

enum gw_relay_result {
	GW_RELAY_ANSWERED, /* also with a refusal, when no instance is left */
	GW_RELAY_NOT_RUN, /* no byte of it was sent */
	GW_RELAY_LOST, /* it may have run, and the response was lost */
	GW_RELAY_TIMEOUT /* it may have run, and the time is up */
};

/* A request that is passed on to another entry instance. */
struct gw_relay {
	struct gw *gw;
	const struct http_request *req;
	const char *id; /* NULL: none */
	uint64_t deadline_ms;
	size_t response_max_bytes;
	/* Regions to which the request may be sent, see struct steer_query. */
	char *const *regions;
	size_t nr_regions;
	char *const *more_regions;
	size_t nr_more_regions;
	/* Called when the last byte of a large body was sent. */
	void (*body_sent)(void *arg);
	/* response is NULL unless the result is GW_RELAY_ANSWERED. */
	void (*done)(void *arg, enum gw_relay_result result,
		     const struct http_response *response);
	void *arg;

	struct http_conn *conn; /* NULL: none is running */
	char via[NAME_BYTES_MAX]; /* name of the current or last instance */
	char address[ADDRESS_BYTES_MAX];
	char tried[GW_RELAY_TRIED_MAX][NAME_BYTES_MAX];
	size_t nr_tried;
};

/*
 * Sends the request to an instance that was not tried yet. An instance that
 * refuses it, or cannot be reached, is replaced by another one. Returns false
 * if there is none; done is then not called.
 */
bool gw_relay_start(struct gw_relay *relay);
/* Returns whether there is an instance that the request can be sent to. */
bool gw_relay_possible(const struct gw_relay *relay);
/* Closes the connection to the other instance. */
void gw_relay_cancel(struct gw_relay *relay);
/* Returns whether the request comes from another instance. */
bool gw_relay_was_relayed(const struct http_request *req);
/* Returns whether the header is for instances only. */
bool gw_relay_is_own_header(const char *name);
void gw_relay_tick(struct gw *gw);
void gw_relay_close(struct gw *gw);

/* ---- gateway_backend.c ---- */

struct gw_backend;

/* The connection that a call is sent over. */
struct gw_conn_info {
	bool is_new; /* no call was made over it before */
	bool is_opening; /* it was not established when the call was made */
	uint64_t idle_ms; /* before the call */
};

/*
 * Sends a call to a server over an idle connection, if there is one that was
 * idle for no longer than idle_max_ms, or over a new one. id_hash is the hash
 * of the request's id, 0 if it has none. A connection whose last request had
 * the same id is not used: a late duplicate of the response to that one could
 * not be distinguished from the response to this one. A request without an id
 * needs a connection without any earlier request. Returns NULL when no
 * connection can be made.
 */
struct http_conn *gw_backend_call(struct gw *gw, struct steer_server *server,
				  const struct http_call *call,
				  uint64_t id_hash, uint64_t idle_max_ms,
				  struct gw_conn_info *conn_info);
/* Opens a connection for a call that is likely to follow. */
void gw_backend_preconnect(struct gw *gw, struct steer_server *server);
/*
 * Takes back a connection whose call has finished. idle_max_ms is the idle
 * timeout that the server announced, 0: none.
 */
void gw_backend_release(struct gw *gw, struct steer_server *server,
			struct http_conn *conn, uint64_t id_hash,
			uint32_t idle_max_ms);
/* Takes a connection that was just established. */
void gw_backend_keep(struct gw *gw, struct steer_server *server,
		     struct http_conn *conn);
/*
 * Records that a connection to the server failed after took_ms. Further ones are
 * tried in the background until one succeeds. Idle connections are closed if
 * the failed one got no reply.
 */
void gw_backend_unreached(struct gw *gw, struct steer_server *server,
			  uint32_t took_ms);
/*
 * Opens a connection in the background to find out whether the server can be
 * reached, at most every two seconds.
 */
void gw_backend_check(struct gw *gw, struct steer_server *server);
/* Closes all idle connections. */
void gw_backend_close_idle(struct gw *gw);
/* Closes the idle connections to a server that steer discards. */
void gw_backend_drop(void *arg, void *data);
void gw_backend_tick(struct gw *gw);

#endif
