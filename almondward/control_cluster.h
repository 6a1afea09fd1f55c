/*
 * Parts of the control role that only seeded clusters use.
 */
#ifndef CONTROL_CLUSTER_H
#define CONTROL_CLUSTER_H

#include "arrival.h"
#include "control_internal.h"
#include "event.h"
#include "service.h"
#include "share.h"
#include "topo.h"
#include "zone_orders.h"

/*
 * Silence after which a voter is removed while there are more than needed. One
 * that no instance of its zone has replaced is probably disconnected, which
 * lasts seconds, and its removal may keep a voter that will not return.
 */
#define CLUSTER_REMOVE_REPLACED_VOTER_MS 1000
#define CLUSTER_REMOVE_SILENT_VOTER_MS 15000
/*
 * Recent plan changes that are kept to update subscribers; a subscriber that
 * lacks an older one is sent the whole plan. Those that one lacks are sent in a
 * single frame, of at most FRAME_BODY_BYTES_MAX.
 */
#define CLUSTER_CHANGES_MAX 64
#define CLUSTER_CHANGES_BYTES_MAX ((size_t)2 << 20)

struct cluster_change {
	Aw__PlanChange *change; /* without sources; NULL: unused */
	size_t packed_bytes; /* of the change */
	uint64_t base_index; /* log index of the plan before the change */
};

/* An operation forwarded to the leader whose reply is pending. */
struct cluster_forward {
	uint64_t call;
	uint64_t since_ms;
	ctl_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

/* A read of the plan that waits for the commit index of the leader. */
struct cluster_read {
	struct ctl *ctl;
	struct http_exchange *exchange; /* NULL after the client closed */
	uint64_t call; /* ID of the query to the leader, 0: replied */
	uint64_t index; /* log index that must be applied first */
	uint64_t since_ms;
	struct cluster_read *prev, *next;
};

struct ctl_cluster {
	const struct svc_adapter *adapter;
	char self[ADDRESS_BYTES_MAX]; /* peer address, also the name in Raft */
	struct topo *topo;
	struct zord *zone_orders;
	struct arrival *arrival;
	struct share_pool *shares; /* NULL unless it has led */
	uint64_t led_term; /* term in which this instance leads, 0: none */
	struct http_server *control; /* operators and backend servers */
	struct http_server *directory; /* look-ups; NULL: not configured */
	struct http_server *metrics; /* NULL: not configured */
	struct cluster_forward *forwards;
	struct cluster_read *reads;
	uint64_t next_call;
	struct cluster_change changes[CLUSTER_CHANGES_MAX];
	size_t next_change; /* ring index of the oldest change */
	size_t changes_bytes; /* packed size of all of them */
	uint64_t plan_index; /* log index of the last applied plan change */
	Aw__Plan *stripped; /* copy of the plan without sources */
	/*
	 * Version of the lists that feeds carry beside the servers: entry
	 * instances, evacuated zones and control instances.
	 */
	uint64_t lists_version;
	uint64_t seen_service_index;
	uint64_t seen_instances_version;
	/* Heartbeats of backend servers to forward to the leader. */
	Aw__Server **heartbeats;
	size_t nr_heartbeats;
	uint64_t heartbeats_ms; /* when they were last forwarded */
	/* State of this instance as a subscriber of the leader. */
	struct peer_link *leader_link;
	uint64_t subscribed_term;
	uint64_t followed_table_version;
	uint64_t followed_lists_version;
	uint64_t subscribed_ms; /* last Subscribe message */
	bool feed_received; /* over leader_link since the last Subscribe */
	uint64_t quar_tick_ms; /* last quar_tick() */
	uint64_t quar_feed_ms; /* when a changed list was last sent at once */
	/* Requests that crash servers; NULL unless it has led. */
	struct quar *quar;
	uint64_t controls_updated_ms; /* last update_controls() */
};

/* ---- control_cluster.c ---- */

int ctl_cluster_create(struct ctl *ctl, const struct svc_adapter *adapter);
void ctl_cluster_destroy(struct ctl *ctl);
int ctl_cluster_bootstrap(struct ctl *ctl);
int ctl_cluster_open(struct ctl *ctl);
void ctl_cluster_tick(struct ctl *ctl, bool leads);
void ctl_cluster_link_up(struct ctl *ctl, struct peer_link *link);
void ctl_cluster_link_down(struct ctl *ctl, struct ctl_link *state);
void ctl_cluster_on_ping(struct ctl *ctl, const Aw__Ping *ping);
bool ctl_cluster_on_frame(struct ctl *ctl, struct peer_link *link,
			  const Aw__Frame *frame);
/*
 * Passes a heartbeat that topo_is_valid() accepts to the table. For the leader.
 */
enum topo_heartbeat_result ctl_cluster_heartbeat(struct ctl *ctl,
						 const Aw__Server *server);
/* Call after an operation was applied. */
void ctl_cluster_on_applied(struct ctl *ctl, const Aw__LogEntry *entry,
			    const Aw__Op *op, const Aw__OpResult *result);
void ctl_cluster_stop(struct ctl *ctl);
/* Handles SIGHUP; arg is the struct ctl. */
void ctl_cluster_reload(void *arg);
struct ctl_link *ctl_find_link(struct ctl *ctl, const struct peer_link *link);
struct peer_link *ctl_find_control_link(struct ctl *ctl, const char *name);

/* ---- control_feed.c ---- */

void ctl_feed_tick(struct ctl *ctl);
void ctl_feed_subscribe(struct ctl *ctl, struct ctl_link *subscriber,
			const Aw__Subscribe *subscribe);
void ctl_feed_on_rate_report(struct ctl *ctl, struct peer_link *link,
			     const Aw__RateReport *report);
void ctl_feed_plan_changed(struct ctl *ctl, const Aw__PlanChange *change,
			   uint64_t index);
void ctl_feed_begin_term(struct ctl *ctl);
/* The subscriber side: control instances that do not lead. */
void ctl_feed_receive(struct ctl *ctl, const Aw__Feed *feed);
void ctl_feed_follower_tick(struct ctl *ctl);

/* ---- control_crashes.c ---- */

int ctl_crashes_begin_term(struct ctl *ctl);
void ctl_crashes_tick(struct ctl *ctl);
void ctl_crashes_on_reports(struct ctl *ctl, const Aw__CrashNews *news);
/* Call for the first heartbeat of each process. */
void ctl_crashes_server_started(struct ctl *ctl, const Aw__Server *server);
uint64_t ctl_crashes_version(const struct ctl *ctl);
/* Adds the quarantine list to a feed. Returns -1 when memory is exhausted. */
int ctl_crashes_fill_feed(struct ctl *ctl, Aw__Feed *feed);
void ctl_crashes_release_feed(Aw__Feed *feed);

/* ---- control_service.c ---- */

int ctl_service_open(struct ctl *ctl);
void ctl_service_close(struct ctl *ctl);
void ctl_service_tick(struct ctl *ctl);
void ctl_service_on_read_index(struct ctl *ctl, struct peer_link *link,
			       const Aw__ReadIndex *read);
void ctl_service_on_read_index_reply(struct ctl *ctl,
				     const Aw__ReadIndexReply *reply);

/* ---- control_forward.c ---- */

/*
 * Proposes an operation, or forwards it to the leader. done is called once,
 * possibly before the function returns.
 */
void ctl_submit(struct ctl *ctl, Aw__Op *op, ctl_done_fn done, void *arg);
void ctl_forward_on_reply(struct ctl *ctl, const Aw__ProposeReply *reply);
void ctl_forward_tick(struct ctl *ctl);
void ctl_forward_drop(struct ctl *ctl);

#endif
