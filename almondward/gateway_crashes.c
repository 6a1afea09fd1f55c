#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "exit_check.h"
#include "fingerprint.h"
#include "gateway_internal.h"

/*
 * Requests that crash servers: finds out whether a server has exited, and
 * exchanges the evidence that crashes.c evaluates with the leader.
 */

#define PROBES_MAX 64

/* A server that shows whether this instance reaches servers. */
struct other_server {
	struct gw_probe *owner;
	struct loop_probe *probe; /* NULL: finished */
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
};

/* Checks whether a server has exited. */
struct gw_probe {
	struct gw *gw;
	struct exit_check *check;
	struct loop_probe *probe; /* NULL: none at present */
	char server_id[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	struct other_server others[EXIT_CHECK_OTHERS_MAX];
	size_t nr_others;
	struct gw_probe *prev, *next;
};

static void probe_free(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	loop_probe_destroy(at->probe);
	for (size_t i = 0; i < at->nr_others; i++)
		loop_probe_destroy(at->others[i].probe);
	exit_check_destroy(at->check);
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

/* ---- choice of other servers ---- */

struct choice {
	const struct gw_probe *probe;
	const struct topo_server *server;
	double score;
};

static bool is_chosen(const struct gw_probe *at, const char *address)
{
	for (size_t i = 0; i < at->nr_others; i++)
		if (!strcmp(at->others[i].address, address))
			return true;
	return !strcmp(at->address, address);
}

static bool is_zone_chosen(const struct gw_probe *at, const char *zone)
{
	for (size_t i = 0; i < at->nr_others; i++)
		if (!strcmp(at->others[i].zone, zone))
			return true;
	return false;
}

/*
 * A request that crashes servers has often crashed several of them when one is
 * checked.
 */
static bool may_be_down(struct gw *gw, const struct topo_server *server)
{
	const struct steer_server *known = steer_find(gw->steer, server->id);

	return crs_may_have_exited(gw->crs, server->address,
				   server->incarnation) ||
	       (known && steer_server_is_unreached(gw->steer, known));
}

/*
 * Prefers servers that are not known to be down, then those that send
 * heartbeats, then further zones, then the own region, whose servers respond
 * sooner, then other zones than that of the suspected server.
 */
static void consider(void *arg, const struct topo_server *server)
{
	struct choice *choice = arg;
	const struct gw_probe *at = choice->probe;
	const struct set_cluster *cluster = &at->gw->settings->cluster;
	double score = erand48(at->gw->random_state);

	if (server->state == AW__SERVER_STATE__SERVER_LEAVING ||
	    is_chosen(at, server->address))
		return;
	if (strcmp(server->zone, at->zone) != 0)
		score += 1;
	if (!strcmp(set_region(cluster, server->zone), cluster->region))
		score += 2;
	if (!is_zone_chosen(at, server->zone))
		score += 4;
	if (server->state == AW__SERVER_STATE__SERVER_ACTIVE)
		score += 8;
	if (!may_be_down(at->gw, server))
		score += 16;
	if (choice->server && score <= choice->score)
		return;
	choice->server = server;
	choice->score = score;
}

/* ---- checks whether a server has exited ---- */

static void on_other_probed(void *arg, enum loop_probe_result result);

static int probe_other_server(struct gw_probe *at)
{
	struct other_server *other = &at->others[at->nr_others];
	struct choice choice = { .probe = at };

	topo_each(at->gw->topo, consider, &choice);
	if (!choice.server)
		return -1;
	other->owner = at;
	snprintf(other->address, sizeof(other->address), "%s",
		 choice.server->address);
	snprintf(other->zone, sizeof(other->zone), "%s", choice.server->zone);
	if (loop_probe(at->gw->loop, other->address,
		       gw_connect_timeout_ms(at->gw), on_other_probed, other,
		       &other->probe))
		return -1;
	at->nr_others++;
	return 0;
}

/*
 * Reports the exit if it is proved. Frees the probe when it has finished.
 */
static void finish_if_decided(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	switch (exit_check_state(at->check)) {
	case EXIT_CHECK_PENDING:
		return;
	case EXIT_CHECK_EXITED:
		report_exit(gw, at->server_id, at->address, at->incarnation);
		break;
	case EXIT_CHECK_UNPROVEN:
		break;
	case EXIT_CHECK_NO_LINKS:
		gw_count(gw, "server_probes_left_out", "links");
		break;
	}
	probe_free(at);
}

static void continue_probe(struct gw_probe *at)
{
	size_t nr = exit_check_begin_others(at->check);

	while (nr--)
		if (probe_other_server(at))
			exit_check_other_done(at->check, LOOP_PROBE_NO_ANSWER);
	finish_if_decided(at);
}

static void on_other_probed(void *arg, enum loop_probe_result result)
{
	struct other_server *other = arg;

	other->probe = NULL;
	exit_check_other_done(other->owner->check, result);
	continue_probe(other->owner);
}

static void on_probed(void *arg, enum loop_probe_result result)
{
	struct gw_probe *at = arg;

	at->probe = NULL;
	exit_check_server_done(at->check, result);
	continue_probe(at);
}

static void send_probe(struct gw_probe *at)
{
	struct gw *gw = at->gw;

	gw_count(gw, "server_probes", "");
	if (loop_probe(gw->loop, at->address, gw_connect_timeout_ms(gw),
		       on_probed, at, &at->probe))
		exit_check_server_done(at->check, LOOP_PROBE_NO_ANSWER);
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
	if (at)
		at->check = exit_check_create(gw->clk, gw_reach(gw));
	if (!at || !at->check) {
		free(at);
		gw_count(gw, "server_probes_left_out", "");
		return;
	}
	at->gw = gw;
	at->incarnation = incarnation;
	snprintf(at->server_id, sizeof(at->server_id), "%s",
		 steer_server_id(server));
	snprintf(at->address, sizeof(at->address), "%s", address);
	snprintf(at->zone, sizeof(at->zone), "%s", steer_server_zone(server));
	DL_APPEND(gw->probes, at);
	gw->nr_probes++;
	if (exit_check_begin_server(at->check))
		send_probe(at);
	continue_probe(at);
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
		finish_if_decided(at);
	}
}

void gw_crash_tick(struct gw *gw)
{
	struct gw_probe *at, *next;

	crs_tick(gw->crs);
	DL_FOREACH_SAFE(gw->probes, at, next)
	{
		if (exit_check_begin_server(at->check))
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
