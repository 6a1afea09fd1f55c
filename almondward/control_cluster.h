/*
 * Parts of the control role that only seeded clusters use.
 */
#ifndef CONTROL_CLUSTER_H
#define CONTROL_CLUSTER_H

#include "control_internal.h"
#include "event.h"
#include "service.h"
#include "share.h"
#include "topo.h"

/* A voter this long silent whose replacement has joined is removed. */
#define CLUSTER_REPLACE_SILENT_MS 1000
/* Accepted changes that are sent on one by one; older ones need the whole. */
#define CLUSTER_CHANGES_MAX 64

struct cluster_change {
	Aw__PlanChange *change; /* without sources, NULL: free */
	uint64_t base_index; /* of the plan that it was applied to */
};

/* An operation that waits for the leader's answer. */
struct cluster_forward {
	uint64_t call;
	uint64_t since_ms;
	ctl_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

/* A read of the plan that waits until it can be answered. */
struct cluster_read {
	struct ctl *ctl;
	struct http_exchange *exchange;
	uint64_t call; /* to the leader, 0: answered */
	uint64_t index; /* the read waits for this one */
	uint64_t since_ms;
	struct cluster_read *prev, *next;
};

struct ctl_cluster {
	const struct svc_adapter *adapter;
	char self[ADDRESS_BYTES_MAX]; /* peer address, the name in raft */
	struct topo *topo;
	struct share_pool *shares; /* while leading */
	uint64_t led_term;
	struct http_server *control;
	struct http_server *directory;
	struct http_server *metrics;
	struct cluster_forward *forwards;
	struct cluster_read *reads;
	uint64_t next_call;
	struct cluster_change changes[CLUSTER_CHANGES_MAX];
	size_t next_change;
	uint64_t plan_index; /* of the last change that was seen */
	Aw__Plan *stripped; /* the plan without sources */
	uint64_t lists_version; /* of what feeds name beside the servers */
	uint64_t seen_service_index;
	uint64_t seen_instances_version;
	/* Heartbeats for the leader, taken since the last message to it. */
	Aw__Server **heartbeats;
	size_t nr_heartbeats;
	uint64_t heartbeats_ms;
	/* As a subscriber. */
	struct peer_link *leader_link;
	uint64_t subscribed_term;
	uint64_t followed_table_version;
	uint64_t subscribed_ms; /* when the leader was asked last */
	bool feed_received; /* by the leader link in use */
	uint64_t quar_tick_ms; /* when it was last gone through */
	struct quar *quar; /* requests that crash servers, while leading */
	uint64_t
		controls_updated_ms; /* when the addresses were last looked at */
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
/* After an operation was applied. */
void ctl_cluster_on_applied(struct ctl *ctl, const Aw__LogEntry *entry,
			    const Aw__Op *op, const Aw__OpResult *result);
void ctl_cluster_stop(struct ctl *ctl);
/* On SIGHUP, with the struct ctl. */
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
/* As a subscriber of the leader. */
void ctl_feed_receive(struct ctl *ctl, const Aw__Feed *feed);
void ctl_feed_follower_tick(struct ctl *ctl);

/* ---- control_crashes.c ---- */

int ctl_crashes_begin_term(struct ctl *ctl);
void ctl_crashes_tick(struct ctl *ctl);
void ctl_crashes_on_reports(struct ctl *ctl, const Aw__CrashNews *news);
/* A heartbeat, before the table takes it. */
void ctl_crashes_on_heartbeat(struct ctl *ctl, const Aw__Server *server);
uint64_t ctl_crashes_version(const struct ctl *ctl);
/* Returns -1 when memory is exhausted. */
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
 * Proposes an operation here or at the leader. done is called once, later.
 */
void ctl_submit(struct ctl *ctl, Aw__Op *op, ctl_done_fn done, void *arg);
void ctl_forward_on_reply(struct ctl *ctl, const Aw__ProposeReply *reply);
void ctl_forward_tick(struct ctl *ctl);
void ctl_forward_drop(struct ctl *ctl);

#endif
