#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "fingerprint.h"
#include "gateway_internal.h"

/*
 * Requests that crash servers: finds out whether a server has exited, and
 * exchanges the evidence that crashes.c evaluates with the leader.
 */

/* The same as CONNECT_TIMEOUT_MS in gateway_backend.c. */
#define PROBE_TIMEOUT_MS 700
/* An exiting process may close its connections before it stops listening, so an
 * accepted probe is repeated once after this time. */
#define PROBE_REPEAT_MS 500
#define PROBES_MAX 64

/* Checks whether anything listens on the address of a server. */
struct gw_probe {
	struct gw *gw;
	struct loop_probe *probe; /* NULL: waits for the repetition */
	char server_id[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t repeat_ms; /* time of the repetition, 0: this is it */
	uint64_t refused_ms; /* when it was refused, 0: not yet */
	/* Checks whether another server can be reached, NULL: finished. */
	struct loop_probe *other;
	bool other_accepted;
	struct gw_probe *prev, *next;
};

static void probe_free(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	loop_probe_destroy(at->probe);
	loop_probe_destroy(at->other);
	DL_DELETE(gw->probes, at);
	gw->nr_probes--;
	free(at);
}

/*
 * Sends a report to the other instances, for use without a leader. If the
 * datagram is lost, the request may crash one server more.
 */
static void report_to_instances(struct gw *gw, Aw__CrashNews *news)
{
	const struct set_cluster *cluster = &gw->settings->cluster;
	Aw__Datagram datagram = AW__DATAGRAM__INIT;
	const Aw__Instance *const *instances;
	char address[ADDRESS_BYTES_MAX];
	size_t nr;

	datagram.body_case = AW__DATAGRAM__BODY_CRASH_NEWS;
	datagram.crash_news = news;
	instances = topo_instances(gw->topo, &nr);
	for (size_t i = 0; i < nr; i++) {
		if (!strcmp(instances[i]->name, gw->settings->name) ||
		    !strchr(instances[i]->address, ':'))
			continue;
		set_peer_address(cluster, instances[i]->address, address);
		gossip_send(gw->gossip, address, &datagram);
	}
}

void gw_crash_receive(struct gw *gw, const Aw__CrashNews *news)
{
	gw_count(gw, "crash_news_heard", "");
	crs_receive_reports(gw->crs, news);
	gw_crash_report(gw);
}

void gw_crash_report(struct gw *gw)
{
	Aw__CrashNews news;
	Aw__Frame frame = AW__FRAME__INIT;

	if (!gw->leader_link || !gw->has_feed) {
		while (crs_peer_reports(gw->crs, &news))
			report_to_instances(gw, &news);
		return;
	}
	if (!crs_pending_reports(gw->crs, &news))
		return;
	frame.body_case = AW__FRAME__BODY_CRASH_NEWS;
	frame.crash_news = &news;
	if (peer_send(gw->leader_link, &frame)) {
		gw_count(gw, "send_failed", "crash_news");
		return;
	}
	crs_reports_sent(gw->crs);
}

static void report_exit(struct gw *gw, const char *server_id,
			const char *address, uint64_t incarnation)
{
	gw_count(gw, "servers_ended", "");
	event_log(EVENT_CRASH, "server=%s address=%s outcome=ended", server_id,
		  address);
	crs_server_exited(gw->crs, address, incarnation);
	gw_crash_report(gw);
}

/*
 * An instance that has lost its links to the servers may have all connections
 * refused; that does not mean that the servers have exited. If the other server
 * cannot be reached either, the probes of reach decide.
 */
static void judge_refused(struct gw_probe *at)
{
	const struct reach *reach = gw_reach(at->gw);

	if (at->other_accepted || (reach_state(reach) == REACH_OK &&
				   reach_connected_ms(reach) >= at->refused_ms))
		report_exit(at->gw, at->server_id, at->address,
			    at->incarnation);
	else if (!at->other && reach_state(reach) != REACH_OK)
		gw_count(at->gw, "server_probes_left_out", "links");
	else
		return;
	probe_free(at);
}

static void on_other_probed(void *arg, enum loop_probe_result result)
{
	struct gw_probe *at = arg;

	at->other = NULL;
	at->other_accepted = result == LOOP_PROBE_ACCEPTED;
	if (!at->other_accepted)
		reach_check(gw_reach(at->gw));
	if (at->refused_ms)
		judge_refused(at);
}

static void probe_other_server(struct gw_probe *at)
{
	const char *address = gw_reach_other_server(at->gw, at->address);

	if (!address || loop_probe(at->gw->loop, address, PROBE_TIMEOUT_MS,
				   on_other_probed, at, &at->other)) {
		at->other = NULL;
		reach_check(gw_reach(at->gw));
	}
}

static void on_probed(void *arg, enum loop_probe_result result)
{
	struct gw_probe *at = arg;
	struct gw *gw = at->gw;

	at->probe = NULL;
	switch (result) {
	case LOOP_PROBE_REFUSED:
		at->refused_ms = gw_now_ms(gw);
		if (!at->other && !at->other_accepted)
			reach_check(gw_reach(gw));
		judge_refused(at);
		return;
	case LOOP_PROBE_ACCEPTED:
		if (at->repeat_ms)
			return;
		break;
	case LOOP_PROBE_NO_ANSWER:
		break;
	}
	probe_free(at);
}

static void send_probe(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	gw_count(gw, "server_probes", "");
	if (loop_probe(gw->loop, at->address, PROBE_TIMEOUT_MS, on_probed, at,
		       &at->probe))
		probe_free(at);
}

static void probe_server(struct gw *gw, const struct steer_server *server)
{
	const char *address = steer_server_address(server);
	uint64_t incarnation = steer_server_incarnation(server);
	struct gw_probe *at;

	DL_FOREACH(gw->probes, at)
	{
		if (at->incarnation == incarnation &&
		    !strcmp(at->address, address))
			return;
	}
	at = gw->nr_probes < PROBES_MAX ? calloc(1, sizeof(*at)) : NULL;
	if (!at) {
		gw_count(gw, "server_probes_left_out", "");
		return;
	}
	at->gw = gw;
	at->incarnation = incarnation;
	at->repeat_ms = gw_now_ms(gw) + PROBE_REPEAT_MS;
	snprintf(at->server_id, sizeof(at->server_id), "%s",
		 steer_server_id(server));
	snprintf(at->address, sizeof(at->address), "%s", address);
	DL_APPEND(gw->probes, at);
	gw->nr_probes++;
	probe_other_server(at);
	send_probe(at);
}

static void describe_attempt(struct gw *gw, const uint8_t *fingerprint,
			     const struct steer_server *server,
			     uint32_t took_ms, struct crs_failed_attempt *out)
{
	out->fingerprint = fingerprint;
	out->server_id = steer_server_id(server);
	out->address = steer_server_address(server);
	out->zone = steer_server_zone(server);
	out->incarnation = steer_server_incarnation(server);
	out->took_ms = took_ms;
	out->ambiguous = steer_server_is_cold(gw->steer, server);
}

void gw_crash_unanswered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
			 const struct steer_server *server, uint32_t took_ms)
{
	struct crs_failed_attempt attempt;

	if (steer_server_is_leaving(gw->steer, server))
		return;
	describe_attempt(gw, fingerprint, server, took_ms, &attempt);
	crs_unanswered(gw->crs, &attempt);
	gw_crash_report(gw);
}

void gw_crash_server_started(struct gw *gw, const Aw__Server *server)
{
	if (crs_server_started(gw->crs, server->address, server->incarnation))
		gw_count(gw, "servers_ended", "unnoticed");
}

void gw_crash_connection_broken(struct gw *gw,
				const uint8_t fingerprint[HASH_BYTES],
				const struct steer_server *server,
				uint32_t took_ms)
{
	char text[FPR_TEXT_BYTES];
	struct crs_failed_attempt attempt;
	bool suspected;

	/* A server that is leaving closes connections when it exits. */
	if (steer_server_is_leaving(gw->steer, server))
		return;
	describe_attempt(gw, fingerprint, server, took_ms, &attempt);
	suspected = crs_connection_broken(gw->crs, &attempt);
	event_log(EVENT_CRASH,
		  "request=%s server=%s outcome=%s took_ms=%u cold=%s",
		  fpr_text(fingerprint, text), attempt.server_id,
		  suspected ? "suspected" : "answered_lately", took_ms,
		  attempt.ambiguous ? "true" : "false");
	if (!suspected)
		return;
	gw_count(gw, "requests_suspected", "");
	probe_server(gw, server);
	gw_crash_report(gw);
}

void gw_crash_server_replaced(struct gw *gw, const struct steer_server *server)
{
	if (crs_has_requests(gw->crs))
		report_exit(gw, steer_server_id(server),
			    steer_server_address(server),
			    steer_server_incarnation(server));
}

void gw_crash_answered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES])
{
	crs_answered(gw->crs, fingerprint);
	gw_crash_report(gw);
}

void gw_crash_check(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
		    struct crs_verdict *verdict)
{
	struct crs_fleet place = { .instance = gw->settings->name,
				   .has_leader = gw->leader_link &&
						 gw->has_feed };

	place.instances = topo_instances(gw->topo, &place.nr_instances);
	crs_check(gw->crs, fingerprint, &place, verdict);
}

void gw_crash_check_probes(struct gw *gw)
{
	struct gw_probe *at, *next;

	DL_FOREACH_SAFE(gw->probes, at, next)
	{
		if (at->refused_ms)
			judge_refused(at);
	}
}

void gw_crash_tick(struct gw *gw)
{
	struct gw_probe *at, *next;

	crs_tick(gw->crs);
	DL_FOREACH_SAFE(gw->probes, at, next)
	{
		if (at->probe || at->refused_ms ||
		    gw_now_ms(gw) < at->repeat_ms)
			continue;
		at->repeat_ms = 0;
		send_probe(at);
	}
	gw_crash_report(gw);
}

int gw_crash_open(struct gw *gw)
{
	gw->crs = crs_create(gw->clk);
	return gw->crs ? 0 : -1;
}

void gw_crash_close(struct gw *gw)
{
	while (gw->probes)
		probe_free(gw->probes);
	crs_destroy(gw->crs);
}
