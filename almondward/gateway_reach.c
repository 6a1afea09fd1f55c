#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"
#include "log.h"

/*
 * Probes servers for reach, and applies changes of its state.
 */

struct gw_reach_probe {
	struct http_conn *conn; /* NULL: unused */
	char server_id[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
};

struct gw_reach {
	struct reach *reach;
	enum reach_state state; /* that was applied last */
	struct gw_reach_probe probes[REACH_PROBES_MAX];
	/* Of the current round, with ids and zones only. */
	struct gw_reach_probe round[REACH_ROUND_PROBES];
	size_t nr_round;
	uint64_t nr_probes; /* since the start */
};

int gw_reach_open(struct gw *gw)
{
	gw->reach = calloc(1, sizeof(*gw->reach));
	if (!gw->reach)
		return -1;
	gw->reach->reach = reach_create(gw->clk);
	return gw->reach->reach ? 0 : -1;
}

void gw_reach_close(struct gw *gw)
{
	if (!gw->reach)
		return;
	for (size_t i = 0; i < REACH_PROBES_MAX; i++)
		http_conn_destroy(gw->reach->probes[i].conn);
	reach_destroy(gw->reach->reach);
	free(gw->reach);
}

struct reach *gw_reach(const struct gw *gw)
{
	return gw->reach->reach;
}

/* ---- choice of servers to probe ---- */

struct choice {
	struct gw *gw;
	const struct topo_server *server;
	double score;
};

static bool is_probed(const struct gw_reach *reach, const char *id)
{
	for (size_t i = 0; i < REACH_PROBES_MAX; i++)
		if (reach->probes[i].conn &&
		    !strcmp(reach->probes[i].server_id, id))
			return true;
	for (size_t i = 0; i < reach->nr_round; i++)
		if (!strcmp(reach->round[i].server_id, id))
			return true;
	return false;
}

static bool is_zone_of_round(const struct gw_reach *reach, const char *zone)
{
	for (size_t i = 0; i < reach->nr_round; i++)
		if (!strcmp(reach->round[i].zone, zone))
			return true;
	return false;
}

/*
 * Prefers servers that send heartbeats, then other zones than those of the
 * round, then every other time the own region, whose servers respond sooner.
 */
static void consider(void *arg, const struct topo_server *server)
{
	struct choice *choice = arg;
	struct gw *gw = choice->gw;
	const struct gw_reach *reach = gw->reach;
	const struct set_cluster *cluster = &gw->settings->cluster;
	double score = erand48(gw->random_state);

	if (server->state == AW__SERVER_STATE__SERVER_LEAVING ||
	    is_probed(reach, server->id))
		return;
	if (reach->nr_probes % 2 == 0 &&
	    !strcmp(set_region(cluster, server->zone), cluster->region))
		score += 1;
	if (!is_zone_of_round(reach, server->zone))
		score += 2;
	if (server->state == AW__SERVER_STATE__SERVER_ACTIVE)
		score += 4;
	if (choice->server && score <= choice->score)
		return;
	choice->server = server;
	choice->score = score;
}

/* ---- probes ---- */

static struct gw_reach_probe *find_unused(struct gw_reach *reach)
{
	for (size_t i = 0; i < REACH_PROBES_MAX; i++)
		if (!reach->probes[i].conn)
			return &reach->probes[i];
	return NULL;
}

static void start_probe(struct gw *gw)
{
	struct gw_reach *reach = gw->reach;
	struct gw_reach_probe *probe = find_unused(reach);
	struct choice choice = { .gw = gw };
	const struct steer_server *server;
	uint32_t timeout_ms = gw_connect_timeout_ms(gw);

	topo_each(gw->topo, consider, &choice);
	reach_probe_begin(reach->reach);
	if (!probe || !choice.server) {
		reach_probe_end(reach->reach, false);
		return;
	}
	reach->nr_probes++;
	gw_count(gw, "reach_probes", "");
	snprintf(probe->server_id, sizeof(probe->server_id), "%s",
		 choice.server->id);
	snprintf(probe->zone, sizeof(probe->zone), "%s", choice.server->zone);
	if (reach->nr_round < REACH_ROUND_PROBES) {
		reach->round[reach->nr_round] = *probe;
		reach->round[reach->nr_round++].conn = NULL;
	}
	server = steer_find(gw->steer, probe->server_id);
	if (server)
		timeout_ms += 2 * steer_rtt_ms(gw->steer, server);
	if (http_conn_create(gw->loop, choice.server->address, timeout_ms,
			     &probe->conn)) {
		probe->conn = NULL;
		reach_probe_end(reach->reach, false);
		return;
	}
	http_conn_set_use(probe->conn, LOOP_USE_SERVERS);
}

/*
 * Keeps the connection of a probe that succeeded: the next request to the
 * server uses it.
 */
static void check_probe(struct gw *gw, struct gw_reach_probe *probe)
{
	struct http_conn *conn = probe->conn;
	bool connected = http_conn_reusable(conn);
	struct steer_server *server;

	if (http_conn_opening(conn) ||
	    (connected &&
	     gw_now_ms(gw) < http_conn_idle_since_ms(conn) + GW_SETTLE_MS))
		return;
	probe->conn = NULL;
	server = connected ? steer_find(gw->steer, probe->server_id) : NULL;
	if (server)
		gw_backend_keep(gw, server, conn);
	else
		http_conn_destroy(conn);
	reach_probe_end(gw->reach->reach, connected);
}

static void apply_state(struct gw *gw, enum reach_state state)
{
	bool was_ok = gw->reach->state == REACH_OK;

	gw->reach->state = state;
	gw_count(gw, "reach_changes", reach_state_name(state));
	event_log(EVENT_REACH, "state=%s probes=%llu running=%zu",
		  reach_state_name(state),
		  (unsigned long long)gw->reach->nr_probes, gw->nr_requests);
	if (was_ok != (state == REACH_OK))
		gw_link_announce(gw);
	if (state == REACH_CUT) {
		gw_backend_close_idle(gw);
		gw_request_on_cut(gw);
	}
}

void gw_reach_tick(struct gw *gw)
{
	struct gw_reach *reach = gw->reach;
	bool new_round;
	size_t nr;

	gw_request_check_connected(gw);
	for (size_t i = 0; i < REACH_PROBES_MAX; i++)
		if (reach->probes[i].conn)
			check_probe(gw, &reach->probes[i]);
	nr = reach_tick(reach->reach, topo_nr_servers(gw->topo), &new_round);
	if (new_round)
		reach->nr_round = 0;
	while (nr--)
		start_probe(gw);
	if (reach_state(reach->reach) != reach->state)
		apply_state(gw, reach_state(reach->reach));
}
