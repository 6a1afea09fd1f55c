#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <sodium.h>
#include <utlist.h>

#include "control_cluster.h"
#include "directory.h"
#include "log.h"
#include "message.h"

/*
 * HTTP API of a seeded cluster for operators, backend servers and look-ups, in
 * the formats of the platform's adapter.
 */

#define BODY_BYTES_MAX ((size_t)16 << 20)
#define CONNECTIONS_MAX 1024
#define IDLE_TIMEOUT_MS 30000
#define HEAD_TIMEOUT_MS 5000
#define BODY_TIMEOUT_MS 10000
/* Clients try the next control instance after one second without a response. */
#define READ_TIMEOUT_MS 900
#define RETRY_AFTER_S "0.3"
/*
 * Heartbeats queued for the leader. Senders of further ones get an error and
 * use another control instance.
 */
#define HEARTBEATS_MAX 4096
#define OP_TIME_BYTES_MAX 16 /* what the leader adds to an operation */
#define CONTROLS_MAX 32 /* candidates for receiving heartbeats */
/*
 * An order for a zone, or a departure that does not name a process, is refused
 * if it may have waited this long: its sender calls another instance after one
 * second without a response, and what it says may not hold any more.
 */
#define CHANGE_WAIT_MAX_MS 500

/*
 * A change requested by a backend server or an operator whose outcome is
 * pending.
 */
struct pending_change {
	struct ctl *ctl;
	struct http_exchange *exchange; /* NULL after the client disconnected */
	const char *kind; /* for the event log, as object */
	char object[EVENT_TEXT_BYTES]; /* what it changes; method of a plan */
	uint64_t version; /* of a plan, as base_version; 0 for other kinds */
	uint64_t base_version;
	uint64_t since_ms; /* when it was received */
};

/* ---- responses ---- */

static void respond(struct http_exchange *exchange, uint32_t status,
		    const void *body, size_t body_bytes)
{
	const struct http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Retry-After", RETRY_AFTER_S },
	};
	const struct http_response response = {
		.status = status,
		.headers = headers,
		.nr_headers = status == 503 ? 2 : 1,
		.body = body,
		.body_bytes = body_bytes,
	};

	http_respond(exchange, &response);
}

static void respond_error(struct ctl *ctl, struct http_exchange *exchange,
			  uint32_t status, const char *error,
			  const char *detail)
{
	cJSON *json = cJSON_CreateObject();
	char *text;

	cJSON_AddStringToObject(json, "error", error);
	cJSON_AddStringToObject(json, "detail", detail);
	text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	ctl_count(ctl, "service_errors", error);
	respond(exchange, status, text, text ? strlen(text) : 0);
	cJSON_free(text);
}

/*
 * Returns the HTTP status for the outcome of a change, and its reason.
 */
static uint32_t http_status(Aw__ProposeStatus status,
			    const Aw__OpResult *result, const char **reason)
{
	if (status != AW__PROPOSE_STATUS__PROPOSE_APPLIED) {
		*reason = status == AW__PROPOSE_STATUS__PROPOSE_NOT_LEADER ?
				  "no_leader" :
			  status == AW__PROPOSE_STATUS__PROPOSE_REFUSED ?
				  "not_recorded" :
				  "outcome_unknown";
		return 503;
	}
	switch (result->code) {
	case AW__OP_CODE__OP_DONE:
		*reason = "done";
		return 200;
	case AW__OP_CODE__OP_VERSION_CONFLICT:
		*reason = "version_conflict";
		return 412;
	default:
		*reason = "invalid";
		return 400;
	}
}

/* ---- changes ---- */

static void on_client_abort(void *arg)
{
	((struct pending_change *)arg)->exchange = NULL;
}

static struct pending_change *pending_change_create(
	struct ctl *ctl, struct http_exchange *exchange, const char *kind,
	const char *object)
{
	struct pending_change *pending = calloc(1, sizeof(*pending));

	if (!pending) {
		respond_error(ctl, exchange, 503, "memory", "out of memory");
		return NULL;
	}
	pending->ctl = ctl;
	pending->exchange = exchange;
	pending->kind = kind;
	event_quote(object, pending->object);
	pending->since_ms = clk_now_ms(ctl->clk);
	http_exchange_on_abort(exchange, on_client_abort, pending);
	return pending;
}

static void change_done(void *arg, Aw__ProposeStatus status,
			const Aw__OpResult *result)
{
	char detail[EVENT_TEXT_BYTES];
	struct pending_change *pending = arg;
	struct ctl *ctl = pending->ctl;
	const char *reason;
	uint32_t code = http_status(status, result, &reason);

	event_log(
		EVENT_CHANGE,
		"kind=%s object=%s version=%llu base=%llu status=%u "
		"reason=%s detail=%s index=%llu took_ms=%llu",
		pending->kind, pending->object,
		(unsigned long long)pending->version,
		(unsigned long long)pending->base_version, code, reason,
		event_quote(result ? result->detail : "", detail),
		(unsigned long long)(result ? result->index : 0),
		(unsigned long long)(clk_now_ms(ctl->clk) - pending->since_ms));
	ctl_count(ctl, "service_changes", reason);
	if (pending->exchange && code == 200)
		respond(pending->exchange, 200, "{}", 2);
	else if (pending->exchange)
		respond_error(ctl, pending->exchange, code, reason,
			      result ? result->detail : "");
	free(pending);
}

/*
 * Computes a digest that is the same when the same change is sent again. It
 * covers only the method, the base version and the body, so it does not depend
 * on the control instance or on other parts of the request. Returns 0 on
 * success.
 */
static int compute_digest(const struct http_request *req, uint64_t base_version,
			  uint8_t digest[HASH_BYTES])
{
	crypto_generichash_state state;

	return crypto_generichash_init(&state, NULL, 0, HASH_BYTES) ||
	       crypto_generichash_update(&state, (const uint8_t *)req->method,
					 strlen(req->method) + 1) ||
	       crypto_generichash_update(&state, (const uint8_t *)&base_version,
					 sizeof(base_version)) ||
	       crypto_generichash_update(&state, req->body, req->body_bytes) ||
	       crypto_generichash_final(&state, digest, HASH_BYTES);
}

static void change_plan(struct ctl *ctl, struct http_exchange *exchange,
			const struct http_request *req, Aw__PlanChange *change)
{
	uint8_t digest[HASH_BYTES];
	struct pending_change *pending;
	Aw__Op op = AW__OP__INIT;

	if (compute_digest(req, change->base_version, digest)) {
		respond_error(ctl, exchange, 503, "memory", "no digest");
		return;
	}
	change->digest.data = digest;
	change->digest.len = sizeof(digest);
	op.body_case = AW__OP__BODY_PLAN_CHANGE;
	op.plan_change = change;
	if (aw__op__get_packed_size(&op) + OP_TIME_BYTES_MAX >
	    RAFT_OP_BYTES_MAX) {
		respond_error(ctl, exchange, 413, "too_large",
			      "the change is too large to be recorded");
		goto out;
	}
	pending = pending_change_create(ctl, exchange, "plan", req->method);
	if (!pending)
		goto out;
	pending->version = change->version;
	pending->base_version = change->base_version;
	ctl_submit(ctl, &op, change_done, pending);
out:
	/* On the stack, so it must not be freed with change. */
	change->digest.data = NULL;
	change->digest.len = 0;
}

/*
 * Refuses an order that its caller may have given up and that must not be
 * carried out any more. A caller that still waits sends it again.
 */
static void refuse_change(struct ctl *ctl, struct http_exchange *exchange,
			  const char *kind, const char *object,
			  const char *reason, uint64_t arrived_ms)
{
	char quoted[EVENT_TEXT_BYTES];

	event_log(EVENT_CHANGE,
		  "kind=%s object=%s status=503 reason=%s waited_max_ms=%llu",
		  kind, event_quote(object, quoted), reason,
		  (unsigned long long)(clk_now_ms(ctl->clk) - arrived_ms));
	ctl_count(ctl, "service_changes", reason);
	respond_error(ctl, exchange, 503, reason, "the order may be outdated");
}

/*
 * Refuses a change that may have waited for long, or whose caller has left.
 * Returns whether it was refused.
 */
static bool refuse_late_change(struct ctl *ctl, struct http_exchange *exchange,
			       const char *kind, const char *object,
			       uint64_t arrived_ms)
{
	bool is_late = clk_now_ms(ctl->clk) - arrived_ms > CHANGE_WAIT_MAX_MS;

	if (!is_late && !http_exchange_is_abandoned(exchange))
		return false;
	refuse_change(ctl, exchange, kind, object,
		      is_late ? "late" : "abandoned", arrived_ms);
	return true;
}

/*
 * An order may have waited in the socket while this instance stood still, and
 * what happened meanwhile may be known here before the order is read, or not.
 * So the time at which it may have arrived decides about later orders that are
 * known here, and the leader decides about those that are not.
 */
static void change_zone(struct ctl *ctl, struct http_exchange *exchange,
			const struct http_request *req, struct svc_zone *zone)
{
	const char *kind = zone->evacuated ? "evacuate" : "take_back";
	uint64_t arrived_ms =
		arrival_earliest_ms(ctl->cluster->arrival, req->received_ms);
	Aw__OpZone body = AW__OP_ZONE__INIT;
	struct pending_change *pending;
	Aw__Op op = AW__OP__INIT;

	if (refuse_late_change(ctl, exchange, kind, zone->name, arrived_ms))
		return;
	if (zord_is_replaced_since(ctl->cluster->zone_orders, zone->name,
				   zone->evacuated, arrived_ms)) {
		refuse_change(ctl, exchange, kind, zone->name, "replaced",
			      arrived_ms);
		return;
	}
	pending = pending_change_create(ctl, exchange, kind, zone->name);
	if (!pending)
		return;
	body.zone = zone->name;
	body.evacuated = zone->evacuated;
	/* The leader itself knows all that is recorded. */
	if (!ctl_leads(ctl))
		body.known_index = fleet_applied_index(ctl->fleet);
	op.body_case = AW__OP__BODY_ZONE;
	op.zone = &body;
	ctl_submit(ctl, &op, change_done, pending);
}

/* ---- backend servers ---- */

/*
 * Acknowledges a departure only once a majority has recorded it, so that no
 * later leader can list the server to entry instances again.
 */
static void record_departure(struct ctl *ctl, struct http_exchange *exchange,
			     char *id, uint64_t incarnation)
{
	Aw__OpDeparture body = AW__OP_DEPARTURE__INIT;
	struct pending_change *pending;
	Aw__Op op = AW__OP__INIT;

	if (fleet_has_departed(ctl->fleet, id, incarnation)) {
		respond(exchange, 200, "{}", 2);
		return;
	}
	pending = pending_change_create(ctl, exchange, "departure", id);
	if (!pending)
		return;
	body.server_id = id;
	body.incarnation = incarnation;
	op.body_case = AW__OP__BODY_DEPARTURE;
	op.departure = &body;
	ctl_submit(ctl, &op, change_done, pending);
}

/*
 * A notice without an incarnation applies to the incarnation in the table, or,
 * if the server is not in the table, to all that began before now. One that is
 * read late would apply to a process that has started since.
 */
static void on_leave(struct ctl *ctl, struct http_exchange *exchange,
		     const struct http_request *req, struct svc_leave *leave)
{
	const struct topo_server *server =
		topo_find(ctl->cluster->topo, leave->server_id);
	uint64_t arrived_ms =
		arrival_earliest_ms(ctl->cluster->arrival, req->received_ms);

	if (!leave->has_incarnation &&
	    refuse_late_change(ctl, exchange, "departure", leave->server_id,
			       arrived_ms))
		return;
	if (!leave->has_incarnation)
		leave->incarnation = server ? server->incarnation :
					      clk_wall_ms(ctl->clk);
	record_departure(ctl, exchange, leave->server_id, leave->incarnation);
}

/*
 * Derives the HTTP address of a control instance from its peer address. All
 * control instances listen on the same HTTP port.
 */
static void set_control_address(const struct set_cluster *cluster,
				const char *peer_address,
				char out[ADDRESS_BYTES_MAX])
{
	const char *peer_port = strrchr(peer_address, ':');
	const char *port = strrchr(cluster->listen_control, ':');

	snprintf(out, ADDRESS_BYTES_MAX, "%.*s%s",
		 (int)(peer_port - peer_address), peer_address, port);
}

/*
 * Lists this control instance and those connected to it that have a peer
 * address as their name. Returns their number.
 */
static size_t list_controls(struct ctl *ctl,
			    struct dir_control controls[CONTROLS_MAX])
{
	struct ctl_link *state;
	size_t nr = 0;

	controls[nr++] =
		(struct dir_control){ ctl->cluster->self, ctl->settings->zone };
	DL_FOREACH(ctl->links, state)
	{
		const char *name = peer_link_name(state->link);

		if (nr < CONTROLS_MAX && strchr(name, ':') &&
		    peer_link_role(state->link) == AW__ROLE__ROLE_CONTROL)
			controls[nr++] = (struct dir_control){
				name, peer_link_zone(state->link)
			};
	}
	return nr;
}

/*
 * Responds with the address of the control instance that heartbeats of the
 * server's zone should go to.
 */
static void respond_heartbeat(struct ctl *ctl, struct http_exchange *exchange,
			      const Aw__Server *server)
{
	const struct set_cluster *cluster = &ctl->settings->cluster;
	struct dir_control controls[CONTROLS_MAX];
	size_t nr = list_controls(ctl, controls);
	size_t chosen = dir_choose_control(cluster, controls, nr, server->zone);
	char address[ADDRESS_BYTES_MAX];
	struct buf body = BUF_INIT;

	if (chosen < nr)
		set_control_address(cluster, controls[chosen].address, address);
	if (ctl->cluster->adapter->format_heartbeat(
		    chosen < nr ? address : NULL, &body))
		respond_error(ctl, exchange, 503, "memory", "out of memory");
	else
		respond(exchange, 200, body.data, body.len_bytes);
	buf_release(&body);
}

static int queue_heartbeat(struct ctl_cluster *cluster, Aw__Server *server)
{
	Aw__Server **list;

	if (cluster->nr_heartbeats == HEARTBEATS_MAX)
		return -1;
	list = realloc(cluster->heartbeats,
		       (cluster->nr_heartbeats + 1) * sizeof(Aw__Server *));
	if (!list)
		return -1;
	cluster->heartbeats = list;
	list[cluster->nr_heartbeats] = message_copy(&server->base);
	if (!list[cluster->nr_heartbeats])
		return -1;
	cluster->nr_heartbeats++;
	return 0;
}

static void refuse_heartbeat(struct ctl *ctl, struct http_exchange *exchange,
			     const Aw__Server *server, const char *reason,
			     const char *detail)
{
	char id[EVENT_TEXT_BYTES];

	event_log(EVENT_HEARTBEAT, "server=%s reason=%s",
		  event_quote(server->id, id), reason);
	respond_error(ctl, exchange, 400, "heartbeat", detail);
}

static void receive_heartbeat(struct ctl *ctl, struct http_exchange *exchange,
			      Aw__Server *server)
{
	if (!ctl_leads(ctl)) {
		if (ctl->cluster->leader_link &&
		    !queue_heartbeat(ctl->cluster, server)) {
			respond_heartbeat(ctl, exchange, server);
			return;
		}
		event_log(EVENT_HEARTBEAT, "server=%s reason=no_leader",
			  server->id);
		respond_error(ctl, exchange, 503, "no_leader",
			      "no leader can be reached");
		return;
	}
	if (ctl_cluster_heartbeat(ctl, server) == TOPO_ERR_MEMORY) {
		event_log(EVENT_HEARTBEAT, "server=%s reason=memory",
			  server->id);
		respond_error(ctl, exchange, 503, "memory", "out of memory");
		return;
	}
	respond_heartbeat(ctl, exchange, server);
}

static void on_heartbeat(struct ctl *ctl, struct http_exchange *exchange,
			 Aw__Server *server)
{
	/*
	 * Checked before it is queued: heartbeats are forwarded together, and
	 * a frame that one of them makes too large would lose the others.
	 */
	if (!topo_is_valid(server)) {
		refuse_heartbeat(ctl, exchange, server, "invalid",
				 "a field is out of range");
		return;
	}
	/* A late heartbeat of a server that has announced its departure. */
	if (fleet_has_departed(ctl->fleet, server->id, server->incarnation)) {
		respond(exchange, 200, "{}", 2);
		return;
	}
	if (server->state == AW__SERVER_STATE__SERVER_LEAVING) {
		/* Not acknowledged, since it is not recorded. */
		if (topo_may_leave(ctl->cluster->topo, server))
			record_departure(ctl, exchange, server->id,
					 server->incarnation);
		else
			refuse_heartbeat(ctl, exchange, server, "not_planned",
					 "the service is not known");
		return;
	}
	receive_heartbeat(ctl, exchange, server);
}

/* ---- reads ---- */

static void read_destroy(struct cluster_read *read)
{
	DL_DELETE(read->ctl->cluster->reads, read);
	free(read);
}

static void read_refuse(struct cluster_read *read, const char *reason)
{
	event_log(EVENT_READ, "reason=%s applied=%llu", reason,
		  (unsigned long long)fleet_applied_index(read->ctl->fleet));
	if (read->exchange)
		respond_error(read->ctl, read->exchange, 503, reason,
			      "which version is the newest is not known");
	read_destroy(read);
}

static void read_respond(struct cluster_read *read)
{
	struct ctl *ctl = read->ctl;
	struct buf body = BUF_INIT;
	int failed;

	failed = ctl->cluster->adapter->format_plan(
		plan_message(fleet_plan(ctl->fleet)), &body);
	if (failed) {
		read_refuse(read, "memory");
	} else {
		if (read->exchange)
			respond(read->exchange, 200, body.data, body.len_bytes);
		read_destroy(read);
	}
	buf_release(&body);
}

static void on_reader_abort(void *arg)
{
	((struct cluster_read *)arg)->exchange = NULL;
}

/*
 * Queries the leader for its commit index. Returns -1 if that is not possible.
 */
static int query_leader(struct ctl *ctl, struct cluster_read *read)
{
	struct peer_link *link =
		ctl_find_control_link(ctl, raft_leader(ctl->raft));
	Aw__ReadIndex msg = AW__READ_INDEX__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	if (!link)
		return -1;
	read->call = ++ctl->cluster->next_call;
	msg.call = read->call;
	frame.body_case = AW__FRAME__BODY_READ_INDEX;
	frame.read_index = &msg;
	return peer_send(link, &frame) ? -1 : 0;
}

/*
 * Responds with the plan. A leader that holds its lease has applied all
 * acknowledged changes. Any other instance queries the leader for the index up
 * to which it must have applied the log.
 */
static void read_plan(struct ctl *ctl, struct http_exchange *exchange)
{
	struct cluster_read *read = calloc(1, sizeof(*read));

	if (!read) {
		respond_error(ctl, exchange, 503, "memory", "out of memory");
		return;
	}
	read->ctl = ctl;
	read->exchange = exchange;
	read->since_ms = clk_now_ms(ctl->clk);
	DL_APPEND(ctl->cluster->reads, read);
	if (ctl_leads(ctl)) {
		read_respond(read);
		return;
	}
	http_exchange_on_abort(exchange, on_reader_abort, read);
	if (query_leader(ctl, read))
		read_refuse(read, "no_leader");
}

void ctl_service_on_read_index(struct ctl *ctl, struct peer_link *link,
			       const Aw__ReadIndex *read)
{
	Aw__ReadIndexReply msg = AW__READ_INDEX_REPLY__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	msg.call = read->call;
	msg.known = ctl_leads(ctl);
	msg.index = raft_commit_index(ctl->raft);
	frame.body_case = AW__FRAME__BODY_READ_INDEX_REPLY;
	frame.read_index_reply = &msg;
	if (peer_send(link, &frame))
		ctl_count(ctl, "send_failed", "read_index_reply");
}

void ctl_service_on_read_index_reply(struct ctl *ctl,
				     const Aw__ReadIndexReply *reply)
{
	struct cluster_read *read;

	DL_FOREACH(ctl->cluster->reads, read)
	{
		if (read->call != reply->call)
			continue;
		read->call = 0;
		read->index = reply->index;
		if (!reply->known)
			read_refuse(read, "no_leader");
		else if (fleet_applied_index(ctl->fleet) >= read->index)
			read_respond(read);
		return;
	}
}

void ctl_service_tick(struct ctl *ctl)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	struct cluster_read *read, *next;

	DL_FOREACH_SAFE(ctl->cluster->reads, read, next)
	{
		if (now_ms >= read->since_ms + READ_TIMEOUT_MS)
			read_refuse(read, "no_answer_of_leader");
		else if (!read->call &&
			 fleet_applied_index(ctl->fleet) >= read->index)
			read_respond(read);
	}
}

/* ---- look-ups ---- */

static void look_up(struct ctl *ctl, struct http_exchange *exchange,
		    const struct svc_lookup *lookup)
{
	const char *addresses[DIR_ADDRESSES_MAX];
	const Aw__Instance *const *instances;
	struct buf body = BUF_INIT;
	size_t nr_instances, nr;
	uint32_t ttl_ms = DIR_TTL_MS;
	uint32_t ttl_max_ms = ctl->settings->cluster.bounds.lookup_ttl_ms;

	instances = topo_instances(ctl->cluster->topo, &nr_instances);
	nr = dir_choose_instances(&ctl->settings->cluster, instances,
				  nr_instances, lookup->zone, lookup->region,
				  addresses);
	if (ttl_max_ms && ttl_ms > ttl_max_ms)
		ttl_ms = ttl_max_ms;
	if (!nr)
		respond_error(ctl, exchange, 503, "no_instance",
			      "no entry instance is known");
	else if (ctl->cluster->adapter->format_lookup(addresses, nr, ttl_ms,
						      &body))
		respond_error(ctl, exchange, 503, "memory", "out of memory");
	else
		respond(exchange, 200, body.data, body.len_bytes);
	buf_release(&body);
}

/* ---- request handlers ---- */

static void on_control(void *arg, struct http_exchange *exchange,
		       const struct http_request *req)
{
	struct svc_call call;
	struct ctl *ctl = arg;

	ctl->cluster->adapter->read_call(req, &call);
	switch (call.kind) {
	case SVC_CALL_PLAN_READ:
		read_plan(ctl, exchange);
		break;
	case SVC_CALL_PLAN_CHANGE:
		change_plan(ctl, exchange, req, call.u.change);
		break;
	case SVC_CALL_ZONE:
		change_zone(ctl, exchange, req, &call.u.zone);
		break;
	case SVC_CALL_HEARTBEAT:
		on_heartbeat(ctl, exchange, call.u.server);
		break;
	case SVC_CALL_LEAVE:
		on_leave(ctl, exchange, req, &call.u.leave);
		break;
	case SVC_CALL_INVALID:
		event_log(EVENT_CHANGE, "kind=unreadable status=400 detail=%s",
			  call.detail);
		respond_error(ctl, exchange, 400, "invalid", call.detail);
		break;
	default:
		respond_error(ctl, exchange, 404, "no_such_call", "");
		break;
	}
	svc_call_release(&call);
}

static void on_directory(void *arg, struct http_exchange *exchange,
			 const struct http_request *req)
{
	struct svc_call call;
	struct ctl *ctl = arg;

	ctl->cluster->adapter->read_call(req, &call);
	if (call.kind == SVC_CALL_LOOKUP)
		look_up(ctl, exchange, &call.u.lookup);
	else
		respond_error(ctl, exchange, 404, "no_such_call", "");
	svc_call_release(&call);
}

static void on_metrics(void *arg, struct http_exchange *exchange,
		       const struct http_request *req)
{
	struct buf body = BUF_INIT;
	struct ctl *ctl = arg;

	(void)req;
	if (ctr_format(ctl->counters, &body))
		respond_error(ctl, exchange, 503, "memory", "out of memory");
	else
		respond(exchange, 200, body.data, body.len_bytes);
	buf_release(&body);
}

/*
 * Starts an HTTP server. Does nothing if address is empty.
 */
static int open_server(struct ctl *ctl, const char *address,
		       http_handler_fn handler, struct http_server **server)
{
	struct http_server_settings http = {
		.address = address,
		.body_max_bytes = BODY_BYTES_MAX,
		.body_memory_bytes = 4 * BODY_BYTES_MAX,
		.connections_max = CONNECTIONS_MAX,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.head_timeout_ms = HEAD_TIMEOUT_MS,
		.body_timeout_ms = BODY_TIMEOUT_MS,
		.counters = ctl->counters,
	};

	if (!*address ||
	    !http_server_create(ctl->loop, &http, handler, ctl, server))
		return 0;
	log_error("control", "cannot listen on %s", address);
	return -1;
}

int ctl_service_open(struct ctl *ctl)
{
	const struct set_cluster *cluster = &ctl->settings->cluster;

	return open_server(ctl, cluster->listen_control, on_control,
			   &ctl->cluster->control) ||
			       open_server(ctl, cluster->listen_directory,
					   on_directory,
					   &ctl->cluster->directory) ||
			       open_server(ctl, cluster->listen_metrics,
					   on_metrics, &ctl->cluster->metrics) ?
		       -1 :
		       0;
}

void ctl_service_close(struct ctl *ctl)
{
	while (ctl->cluster->reads)
		read_destroy(ctl->cluster->reads);
	http_server_destroy(ctl->cluster->control);
	http_server_destroy(ctl->cluster->directory);
	http_server_destroy(ctl->cluster->metrics);
}
