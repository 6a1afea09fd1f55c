#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "fingerprint.h"
#include "gateway_internal.h"

/*
 * Requests that crash servers: finds out whether a server has ended, and
 * exchanges with the leader what crashes.c decides by.
 */

/* As long as connections to servers get, see gateway_backend.c. */
#define PROBE_TIMEOUT_MS 700
/* A process that ends may close its connections before it stops listening. */
#define PROBE_AGAIN_MS 500
#define PROBES_MAX 64

/* Asks whether anything listens at the address of a server. */
struct gw_probe {
	struct gw *gw;
	struct loop_probe *probe; /* NULL: waits to ask again */
	char server_id[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	uint64_t incarnation;
	uint64_t again_ms; /* 0: this is the second time */
	struct gw_probe *prev, *next;
};

static void forget(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	loop_probe_destroy(at->probe);
	DL_DELETE(gw->probes, at);
	gw->nr_probes--;
	free(at);
}

/*
 * Without a leader the instances tell each other. What is lost on the way costs
 * a server more.
 */
static void tell_instances(struct gw *gw, Aw__CrashNews *news)
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

void gw_crash_heard(struct gw *gw, const Aw__CrashNews *news)
{
	gw_count(gw, "crash_news_heard", "");
	crs_receive_reports(gw->crs, news);
	gw_crash_tell(gw);
}

void gw_crash_tell(struct gw *gw)
{
	Aw__CrashNews news;
	Aw__Frame frame = AW__FRAME__INIT;

	if (!gw->leader_link || !gw->fed) {
		while (crs_peer_reports(gw->crs, &news))
			tell_instances(gw, &news);
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

static void process_ended(struct gw *gw, const char *server_id,
			  const char *address, uint64_t incarnation)
{
	gw_count(gw, "servers_ended", "");
	event_log(EVENT_CRASH, "server=%s address=%s outcome=ended", server_id,
		  address);
	crs_server_exited(gw->crs, address, incarnation);
	gw_crash_tell(gw);
}

static void on_probed(void *arg, enum loop_probe_result result)
{
	struct gw_probe *at = arg;
	struct gw *gw = at->gw;

	at->probe = NULL;
	switch (result) {
	case LOOP_PROBE_REFUSED:
		process_ended(gw, at->server_id, at->address, at->incarnation);
		break;
	case LOOP_PROBE_ACCEPTED:
		if (at->again_ms)
			return;
		break;
	case LOOP_PROBE_NO_ANSWER:
		break;
	}
	forget(at);
}

static void start_probe(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	gw_count(gw, "server_probes", "");
	if (loop_probe(gw->loop, at->address, PROBE_TIMEOUT_MS, on_probed, at,
		       &at->probe))
		forget(at);
}

static void probe(struct gw *gw, const struct steer_server *server)
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
	at->again_ms = gw_now_ms(gw) + PROBE_AGAIN_MS;
	snprintf(at->server_id, sizeof(at->server_id), "%s",
		 steer_server_id(server));
	snprintf(at->address, sizeof(at->address), "%s", address);
	DL_APPEND(gw->probes, at);
	gw->nr_probes++;
	start_probe(at);
}

static void describe(struct gw *gw, const uint8_t *fingerprint,
		     const struct steer_server *server, uint32_t took_ms,
		     struct crs_failed_attempt *out)
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
	struct crs_failed_attempt sending;

	if (steer_server_is_leaving(gw->steer, server))
		return;
	describe(gw, fingerprint, server, took_ms, &sending);
	crs_unanswered(gw->crs, &sending);
	gw_crash_tell(gw);
}

void gw_crash_started(struct gw *gw, const Aw__Server *server)
{
	if (crs_server_started(gw->crs, server->address, server->incarnation))
		gw_count(gw, "servers_ended", "unnoticed");
}

void gw_crash_broke(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
		    const struct steer_server *server, uint32_t took_ms)
{
	char text[FPR_TEXT_BYTES];
	struct crs_failed_attempt broke;
	bool suspected;

	/* It was going to end. */
	if (steer_server_is_leaving(gw->steer, server))
		return;
	describe(gw, fingerprint, server, took_ms, &broke);
	suspected = crs_connection_broken(gw->crs, &broke);
	event_log(EVENT_CRASH,
		  "request=%s server=%s outcome=%s took_ms=%u cold=%s",
		  fpr_text(fingerprint, text), broke.server_id,
		  suspected ? "suspected" : "answered_lately", took_ms,
		  broke.ambiguous ? "true" : "false");
	if (!suspected)
		return;
	gw_count(gw, "requests_suspected", "");
	probe(gw, server);
	gw_crash_tell(gw);
}

void gw_crash_replaced(struct gw *gw, const struct steer_server *server)
{
	if (crs_has_requests(gw->crs))
		process_ended(gw, steer_server_id(server),
			      steer_server_address(server),
			      steer_server_incarnation(server));
}

void gw_crash_answered(struct gw *gw, const uint8_t fingerprint[HASH_BYTES])
{
	crs_answered(gw->crs, fingerprint);
	gw_crash_tell(gw);
}

void gw_crash_judge(struct gw *gw, const uint8_t fingerprint[HASH_BYTES],
		    struct crs_verdict *verdict)
{
	struct crs_fleet place = { .instance = gw->settings->name,
				   .has_leader = gw->leader_link && gw->fed };

	place.instances = topo_instances(gw->topo, &place.nr_instances);
	crs_check(gw->crs, fingerprint, &place, verdict);
}

void gw_crash_tick(struct gw *gw)
{
	struct gw_probe *at, *next;

	crs_tick(gw->crs);
	DL_FOREACH_SAFE(gw->probes, at, next)
	{
		if (at->probe || gw_now_ms(gw) < at->again_ms)
			continue;
		at->again_ms = 0;
		start_probe(at);
	}
	gw_crash_tell(gw);
}

int gw_crash_open(struct gw *gw)
{
	gw->crs = crs_create(gw->clk);
	return gw->crs ? 0 : -1;
}

void gw_crash_close(struct gw *gw)
{
	while (gw->probes)
		forget(gw->probes);
	crs_destroy(gw->crs);
}
