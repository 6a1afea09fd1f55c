#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <cjson/cJSON.h>
#include <utlist.h>

#include "gateway_internal.h"

/*
 * Relays: an instance that cannot reach the servers passes requests on to
 * another entry instance, which handles them like requests of its own callers.
 */

/* Stops a second relay; never sent to servers. */
#define RELAYED_HEADER "Almondward-Relayed"
#define HEADERS_MAX 64
#define CONNECT_TIMEOUT_MS 700
/* Instances close idle connections of their callers, when they stop after 1 s. */
#define IDLE_MAX_MS 800
#define IDLE_CONNECTIONS_MAX 8 /* to one instance */
/* An instance that failed gets no relays for this long. */
#define FAILED_AVOID_MS 1500
/* Instances after which a request that was refused is tried once more. */
#define BUSY_TRIED_MAX 1
/* With less time left another relay is of no use. */
#define RELAY_TIME_MIN_MS 100
/* Errors with a longer body were not sent by an instance itself. */
#define REFUSAL_BYTES_MAX 2048

struct idle_relay_conn {
	struct http_conn *conn;
	struct idle_relay_conn *prev, *next; /* newest first */
};

/* An instance that got relays. */
struct gw_relay_peer {
	char name[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	struct idle_relay_conn *idle;
	size_t nr_idle;
	uint64_t avoid_until_ms;
	struct gw_relay_peer *prev, *next;
};

static void on_done(void *arg, struct http_conn *conn,
		    const struct http_outcome *outcome);

bool gw_relay_was_relayed(const struct http_request *req)
{
	return http_header_value(req->headers, req->nr_headers,
				 RELAYED_HEADER) != NULL;
}

bool gw_relay_is_own_header(const char *name)
{
	return !strcasecmp(name, RELAYED_HEADER);
}

/* ---- connections ---- */

static void close_idle(struct gw_relay_peer *peer, struct idle_relay_conn *at)
{
	DL_DELETE(peer->idle, at);
	peer->nr_idle--;
	http_conn_destroy(at->conn);
	free(at);
}

static void close_all_idle(struct gw_relay_peer *peer)
{
	while (peer->idle)
		close_idle(peer, peer->idle);
}

static struct gw_relay_peer *find_peer(const struct gw *gw, const char *name)
{
	struct gw_relay_peer *at;

	DL_FOREACH(gw->relay_peers, at)
	{
		if (!strcmp(at->name, name))
			return at;
	}
	return NULL;
}

static struct gw_relay_peer *get_peer(struct gw *gw,
				      const Aw__Instance *instance)
{
	struct gw_relay_peer *peer = find_peer(gw, instance->name);

	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			return NULL;
		snprintf(peer->name, sizeof(peer->name), "%s", instance->name);
		DL_APPEND(gw->relay_peers, peer);
	}
	if (strcmp(peer->address, instance->address) != 0) {
		close_all_idle(peer);
		snprintf(peer->address, sizeof(peer->address), "%s",
			 instance->address);
	}
	return peer;
}

static bool is_usable(const struct gw *gw, const struct http_conn *conn)
{
	return http_conn_reusable(conn) &&
	       gw_now_ms(gw) <= http_conn_idle_since_ms(conn) + IDLE_MAX_MS;
}

static struct http_conn *take_idle(struct gw *gw, struct gw_relay_peer *peer)
{
	struct idle_relay_conn *at, *next;
	struct http_conn *conn;

	DL_FOREACH_SAFE(peer->idle, at, next)
	{
		if (!is_usable(gw, at->conn) || http_conn_has_input(at->conn)) {
			close_idle(peer, at);
			continue;
		}
		conn = at->conn;
		DL_DELETE(peer->idle, at);
		peer->nr_idle--;
		free(at);
		return conn;
	}
	return NULL;
}

static void keep_or_close(const struct gw_relay *relay, struct http_conn *conn)
{
	struct gw_relay_peer *peer = find_peer(relay->gw, relay->via);
	struct idle_relay_conn *at;

	if (!peer || strcmp(peer->address, relay->address) != 0 ||
	    peer->nr_idle >= IDLE_CONNECTIONS_MAX ||
	    !http_conn_reusable(conn)) {
		http_conn_destroy(conn);
		return;
	}
	at = calloc(1, sizeof(*at));
	if (!at) {
		http_conn_destroy(conn);
		return;
	}
	at->conn = conn;
	DL_PREPEND(peer->idle, at);
	peer->nr_idle++;
}

static void avoid(const struct gw_relay *relay)
{
	struct gw_relay_peer *peer = find_peer(relay->gw, relay->via);

	if (!peer)
		return;
	peer->avoid_until_ms = gw_now_ms(relay->gw) + FAILED_AVOID_MS;
	close_all_idle(peer);
}

/* ---- choice of the instance ---- */

static bool is_listed(char *const *regions, size_t nr, const char *region)
{
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(regions[i], region))
			return true;
	return !nr;
}

static bool was_tried(const struct gw_relay *relay, const char *name)
{
	for (size_t i = 0; i < relay->nr_tried; i++)
		if (!strcmp(relay->tried[i], name))
			return true;
	return false;
}

/*
 * Requests with home regions may be sent only to instances there.
 */
static bool may_take(const struct gw_relay *relay, const Aw__Instance *instance)
{
	const struct gw *gw = relay->gw;
	const char *region = set_region(&gw->settings->cluster, instance->zone);
	const struct gw_relay_peer *peer = find_peer(gw, instance->name);

	if (instance->state != AW__INSTANCE_STATE__INSTANCE_ACTIVE ||
	    instance->servers_unreachable ||
	    !strcmp(instance->name, gw->settings->name) ||
	    strlen(instance->name) >= NAME_BYTES_MAX ||
	    strlen(instance->address) >= ADDRESS_BYTES_MAX)
		return false;
	if (peer && gw_now_ms(gw) < peer->avoid_until_ms)
		return false;
	return !was_tried(relay, instance->name) &&
	       is_listed(relay->regions, relay->nr_regions, region) &&
	       is_listed(relay->more_regions, relay->nr_more_regions, region);
}

/*
 * A relay to a full link would wait there; one to another region takes a longer
 * way.
 */
static int preference(const struct gw *gw, const Aw__Instance *instance)
{
	const struct set_cluster *cluster = &gw->settings->cluster;
	bool is_near =
		!strcmp(set_region(cluster, instance->zone), cluster->region);

	return (instance->link_full ? 0 : 2) + is_near;
}

/*
 * Chooses at random among the preferred instances.
 */
static const Aw__Instance *choose_instance(const struct gw_relay *relay)
{
	struct gw *gw = relay->gw;
	const Aw__Instance *const *all, *chosen = NULL;
	int best = -1, at_preference;
	size_t nr, nr_equal = 0;

	all = topo_instances(gw->topo, &nr);
	for (size_t i = 0; i < nr; i++) {
		if (!may_take(relay, all[i]))
			continue;
		at_preference = preference(gw, all[i]);
		if (at_preference < best)
			continue;
		if (at_preference > best)
			nr_equal = 0;
		best = at_preference;
		if (erand48(gw->random_state) * (double)++nr_equal < 1)
			chosen = all[i];
	}
	return chosen;
}

/* ---- requests ---- */

static bool is_own_response(void *arg, const struct http_response *response)
{
	const struct gw_relay *relay = arg;
	struct svc_answer read;

	relay->gw->adapter->read_answer(response, &read);
	if (!read.request_id || !relay->id ||
	    !strcmp(read.request_id, relay->id))
		return true;
	gw_count(relay->gw, "answers_skipped", "other_relay");
	return false;
}

static void on_body_sent(void *arg)
{
	const struct gw_relay *relay = arg;

	relay->body_sent(relay->arg);
}

/*
 * The caller's own headers, with its key and id, and the time that is left.
 */
static size_t fill_headers(const struct gw_relay *relay,
			   const struct http_header *deadline,
			   struct http_header *headers)
{
	const struct http_request *req = relay->req;
	size_t nr = 0;

	for (size_t i = 0; i < req->nr_headers && nr < HEADERS_MAX; i++) {
		const char *name = req->headers[i].name;

		if (strcasecmp(name, deadline->name) != 0 &&
		    strcasecmp(name, "Expect") != 0 &&
		    !gw_is_named_by_connection(req, name))
			headers[nr++] = req->headers[i];
	}
	headers[nr++] = *deadline;
	headers[nr++] = (struct http_header){ RELAYED_HEADER, "1" };
	return nr;
}

static bool send_to(struct gw_relay *relay, struct gw_relay_peer *peer,
		    uint32_t left_ms)
{
	struct gw *gw = relay->gw;
	struct http_header headers[HEADERS_MAX + 2];
	struct svc_forward_text text;
	struct http_header deadline =
		gw->adapter->relay_deadline(left_ms, &text);
	struct http_call call = {
		.method = relay->req->method,
		.target = relay->req->target,
		.headers = headers,
		.nr_headers = fill_headers(relay, &deadline, headers),
		.body = relay->req->body,
		.body_bytes = relay->req->body_bytes,
		.response_max_bytes = relay->response_max_bytes,
		.response_memory = &gw->response_memory,
		.timeout_ms = left_ms,
		.matches_request = is_own_response,
		.request_sent = on_body_sent,
		.done = on_done,
		.arg = relay,
	};
	struct http_conn *conn = take_idle(gw, peer);

	if (!conn &&
	    http_conn_create(gw->loop, peer->address,
			     CONNECT_TIMEOUT_MS + gw_net_delay_ms(gw), &conn))
		return false;
	http_conn_set_use(conn, LOOP_USE_RELAYS);
	if (http_conn_call(conn, &call)) {
		http_conn_destroy(conn);
		return false;
	}
	relay->conn = conn;
	return true;
}

/*
 * Returns the time left, or 0 if it is not enough for a relay.
 */
static uint32_t usable_time_ms(const struct gw_relay *relay)
{
	uint64_t now_ms = gw_now_ms(relay->gw);

	if (now_ms + RELAY_TIME_MIN_MS >= relay->deadline_ms ||
	    !gw_stop_allows(relay->gw, relay->deadline_ms, 0))
		return 0;
	return (uint32_t)(relay->deadline_ms - now_ms);
}

bool gw_relay_possible(const struct gw_relay *relay)
{
	return relay->nr_tried < GW_RELAY_TRIED_MAX && usable_time_ms(relay) &&
	       choose_instance(relay);
}

bool gw_relay_start(struct gw_relay *relay)
{
	const Aw__Instance *instance;
	struct gw_relay_peer *peer;
	uint32_t left_ms;

	while (relay->nr_tried < GW_RELAY_TRIED_MAX &&
	       (instance = choose_instance(relay)) != NULL) {
		/* The clock is read once for the check and the time left. */
		left_ms = usable_time_ms(relay);
		peer = left_ms ? get_peer(relay->gw, instance) : NULL;
		if (!peer)
			return false;
		snprintf(relay->via, sizeof(relay->via), "%s", peer->name);
		snprintf(relay->address, sizeof(relay->address), "%s",
			 peer->address);
		memcpy(relay->tried[relay->nr_tried++], relay->via,
		       sizeof(relay->via));
		if (send_to(relay, peer, left_ms)) {
			gw_count(relay->gw, "relays", "sent");
			return true;
		}
		gw_count(relay->gw, "relays", "no_connection");
		avoid(relay);
	}
	return false;
}

void gw_relay_cancel(struct gw_relay *relay)
{
	http_conn_destroy(relay->conn);
	relay->conn = NULL;
}

/*
 * Returns the error that an instance's own refusal of a request names, if the
 * request was not run; otherwise false. A server's response with the same
 * status names the server.
 */
static bool read_refusal(const struct gw *gw,
			 const struct http_response *response,
			 char error[NAME_BYTES_MAX])
{
	const cJSON *name;
	struct svc_answer read;
	bool not_run;
	cJSON *json;

	if ((response->status != 503 && response->status != 429) ||
	    response->body_bytes > REFUSAL_BYTES_MAX)
		return false;
	gw->adapter->read_answer(response, &read);
	if (read.server_id)
		return false;
	json = cJSON_ParseWithLength((const char *)response->body,
				     response->body_bytes);
	name = cJSON_GetObjectItemCaseSensitive(json, "error");
	not_run =
		cJSON_IsString(name) &&
		cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "not_run"));
	if (not_run)
		snprintf(error, NAME_BYTES_MAX, "%s", name->valuestring);
	cJSON_Delete(json);
	return not_run;
}

static void finish(struct gw_relay *relay, enum gw_relay_result result,
		   const struct http_response *response)
{
	static const char *const names[] = {
		[GW_RELAY_ANSWERED] = "answered",
		[GW_RELAY_NOT_RUN] = "not_run",
		[GW_RELAY_LOST] = "lost",
		[GW_RELAY_TIMEOUT] = "timeout",
	};

	gw_count(relay->gw, "relays", names[result]);
	relay->done(relay->arg, result, response);
}

/*
 * The customer's rate is the same at all instances, and if the servers are busy,
 * many instances are likely to find them so.
 */
static bool may_try_again(const struct gw_relay *relay, const char *error,
			  bool is_unable)
{
	return is_unable || (relay->nr_tried <= BUSY_TRIED_MAX &&
			     strcmp(error, refusal_name(REFUSAL_RATE)) != 0);
}

static void on_answer(struct gw_relay *relay, struct http_conn *conn,
		      const struct http_response *response)
{
	char error[NAME_BYTES_MAX];
	bool is_unable;

	keep_or_close(relay, conn);
	if (!read_refusal(relay->gw, response, error)) {
		finish(relay, GW_RELAY_ANSWERED, response);
		return;
	}
	is_unable = !strcmp(error, refusal_name(REFUSAL_UNREACHABLE)) ||
		    !strcmp(error, refusal_name(REFUSAL_NO_LEASE)) ||
		    !strcmp(error, refusal_name(REFUSAL_DRAINING));
	if (is_unable)
		avoid(relay);
	if (may_try_again(relay, error, is_unable) && gw_relay_start(relay))
		return;
	finish(relay, GW_RELAY_ANSWERED, response);
}

static void on_done(void *arg, struct http_conn *conn,
		    const struct http_outcome *outcome)
{
	struct gw_relay *relay = arg;

	relay->conn = NULL;
	if (outcome->result == HTTP_OK) {
		on_answer(relay, conn, &outcome->response);
		return;
	}
	http_conn_destroy(conn);
	if (outcome->result == HTTP_TIMEOUT && outcome->bytes_sent) {
		finish(relay, GW_RELAY_TIMEOUT, NULL);
		return;
	}
	avoid(relay);
	if (outcome->bytes_sent)
		finish(relay, GW_RELAY_LOST, NULL);
	else if (!gw_relay_start(relay))
		finish(relay, GW_RELAY_NOT_RUN, NULL);
}

void gw_relay_tick(struct gw *gw)
{
	struct gw_relay_peer *peer, *next_peer;
	struct idle_relay_conn *at, *next;

	DL_FOREACH_SAFE(gw->relay_peers, peer, next_peer)
	{
		DL_FOREACH_SAFE(peer->idle, at, next)
		{
			if (!is_usable(gw, at->conn))
				close_idle(peer, at);
		}
		if (peer->idle || gw_now_ms(gw) < peer->avoid_until_ms)
			continue;
		DL_DELETE(gw->relay_peers, peer);
		free(peer);
	}
}

void gw_relay_close(struct gw *gw)
{
	struct gw_relay_peer *peer;

	while ((peer = gw->relay_peers)) {
		close_all_idle(peer);
		DL_DELETE(gw->relay_peers, peer);
		free(peer);
	}
}
