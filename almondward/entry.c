#include "entry.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "agent.h"
#include "config.h"
#include "decision.h"
#include "entry_core.h"
#include "entry_http.h"
#include "log.h"
#include "loop.h"
#include "peer.h"
#include "pool.h"

#define TICK_MS 10
#define LEAVE_EXTRA_MS 2000 /* for look-up answers in transit */
/*
 * Maximum wait after the last answer, for operations that are not committed and
 * for callers that read slowly.
 */
#define STOP_WAIT_MS 10000
/* Limits of the listeners for backend servers and operators. */
#define SMALL_BODY_BYTES 65536
#define SMALL_CONNECTIONS_MAX 1000
#define IDLE_TIMEOUT_MS 60000
#define HEAD_TIMEOUT_MS 15000
#define BODY_TIMEOUT_MS 15000

enum stage {
	STAGE_RUNNING,
	STAGE_LEAVING, /* omitted from look-ups, still serves requests */
	STAGE_DRAINING /* finishes active requests */
};

struct entry {
	const struct set_settings *settings;
	struct clk *clk;
	struct loop *loop;
	struct loop_timer *timer;
	struct ctr_set *counters;
	struct dec_ring *decisions;
	struct agent *agent;
	struct core *core;
	struct pool *pool;
	struct peer_node *peers;
	struct peer_link *links[SET_CONTROLS_MAX]; /* NULL: not connected */
	struct http_server *callers; /* NULL before the first lease */
	struct http_server *servers; /* for announcements */
	struct http_server *operators;
	struct http_context context;
	uint64_t incarnation; /* random, drawn at process start */
	enum stage stage;
	bool failed; /* stopping after an error */
	uint64_t leave_until_ms;
	uint64_t idle_since_ms; /* no request active since; 0: some are */
	uint64_t config_version; /* last version that was applied */
};

/* ---- control instances ---- */

static int control_index(const struct entry *entry, const char *name)
{
	size_t i;

	for (i = 0; i < entry->settings->nr_controls; i++) {
		if (!strcmp(entry->settings->controls[i].name, name))
			return (int)i;
	}
	return -1;
}

static void link_up(void *arg, struct peer_link *link)
{
	struct entry *entry = arg;
	int i = control_index(entry, peer_link_name(link));

	if (i >= 0)
		entry->links[i] = link;
}

static void link_down(void *arg, struct peer_link *link)
{
	struct entry *entry = arg;
	int i = control_index(entry, peer_link_name(link));

	if (i < 0 || entry->links[i] != link)
		return;
	entry->links[i] = NULL;
	agent_control_down(entry->agent, peer_link_name(link));
}

static void link_frame(void *arg, struct peer_link *link,
		       const Aw__Frame *frame)
{
	struct entry *entry = arg;

	if (peer_link_role(link) == AW__ROLE__ROLE_CONTROL)
		agent_handle_frame(entry->agent, peer_link_name(link), frame);
}

static void link_ping(void *arg, struct peer_link *link, const Aw__Ping *ping)
{
	struct entry *entry = arg;

	if (peer_link_role(link) == AW__ROLE__ROLE_CONTROL)
		agent_control_ping(entry->agent, peer_link_name(link),
				   ping->leader, ping->term);
}

static bool send_to_control(void *arg, const char *control,
			    const Aw__Frame *frame)
{
	struct entry *entry = arg;
	int i = control_index(entry, control);

	return i >= 0 && entry->links[i] &&
	       peer_send(entry->links[i], frame) == LOOP_OK;
}

/* ---- configuration ---- */

/*
 * Returns the largest body that any request may have. The request pipeline
 * checks the limit that applies to each request.
 */
static uint64_t largest_body_bytes(const Aw__Config *config)
{
	const char *name = cfg_setting_info(CFG_BODY_MAX_BYTES)->name;
	struct cfg_subject nobody = { 0 };
	struct cfg_decision decision;
	uint64_t largest;
	size_t i;

	cfg_decide(config, CFG_BODY_MAX_BYTES, &nobody, &decision);
	largest = decision.value;
	for (i = 0; config && i < config->n_exceptions; i++) {
		const Aw__Exception *exception = config->exceptions[i];

		if (!strcmp(exception->setting, name) &&
		    exception->value > largest)
			largest = exception->value;
	}
	return largest;
}

static bool listen_to_callers(struct entry *entry);

static void on_agent_changed(void *arg)
{
	struct entry *entry = arg;
	const Aw__Config *config = view_config(agent_view(entry->agent));

	if (!entry->callers && entry->stage == STAGE_RUNNING &&
	    agent_lease_ok(entry->agent) && !listen_to_callers(entry)) {
		entry->failed = true;
		loop_stop(entry->loop);
		return;
	}
	if (!entry->callers)
		return;
	if (config && config->version != entry->config_version) {
		entry->config_version = config->version;
		http_server_set_body_max(entry->callers,
					 largest_body_bytes(config));
		log_info("entry", "configuration version %llu applied",
			 (unsigned long long)config->version);
	}
	core_state_changed(entry->core);
}

/* ---- callers ---- */

static void handle_caller(void *arg, struct http_exchange *exchange,
			  const struct http_request *req)
{
	struct entry *entry = arg;

	if (!strcmp(req->method, "GET") && answer_path_is(req, "/v1/entry"))
		answer_lookup(&entry->context, exchange, req);
	else
		core_start(entry->core, exchange, req);
}

static void handle_server(void *arg, struct http_exchange *exchange,
			  const struct http_request *req)
{
	struct entry *entry = arg;

	answer_announcement(&entry->context, exchange, req);
}

static void handle_operator(void *arg, struct http_exchange *exchange,
			    const struct http_request *req)
{
	struct entry *entry = arg;

	answer_operator(&entry->context, exchange, req);
}

static void io_respond(void *arg, struct http_exchange *exchange,
		       const struct http_response *response)
{
	(void)arg;
	http_respond(exchange, response);
}

static void io_refuse(void *arg, struct http_exchange *exchange,
		      enum refusal refusal, const char *detail,
		      const char *request_id, bool not_run,
		      uint32_t retry_after_ms)
{
	(void)arg;
	http_respond_refusal(exchange, refusal, detail, request_id, not_run,
			     retry_after_ms);
}

static void io_on_abort(void *arg, struct http_exchange *exchange,
			void (*fn)(void *arg), void *fn_arg)
{
	(void)arg;
	http_exchange_on_abort(exchange, fn, fn_arg);
}

static struct backend *io_send(void *arg, const struct backend_call *call)
{
	struct entry *entry = arg;

	return pool_send(entry->pool, call);
}

static void io_abort(void *arg, struct backend *backend)
{
	struct entry *entry = arg;

	pool_abort(entry->pool, backend);
}

static bool io_responding(void *arg, const struct backend *backend)
{
	(void)arg;
	return pool_responding(backend);
}

static void after_backend_call(void *arg)
{
	struct entry *entry = arg;

	core_process_pending(entry->core);
}

/* ---- stopping ---- */

static void begin_draining(struct entry *entry)
{
	entry->stage = STAGE_DRAINING;
	log_info("entry", "draining: %zu requests active",
		 core_active(entry->core));
	if (entry->callers)
		http_server_drain(entry->callers, true);
}

/*
 * Starts a graceful shutdown. Callers that got this instance from a look-up may
 * use it until that answer expires, so requests are accepted until then. A
 * second signal skips this wait.
 */
static void stop_signal(void *arg)
{
	struct entry *entry = arg;

	switch (entry->stage) {
	case STAGE_RUNNING:
		entry->stage = STAGE_LEAVING;
		entry->context.leaving = true;
		entry->leave_until_ms =
			clk_now_ms(entry->clk) + LEAVE_EXTRA_MS +
			(uint64_t)answer_lookup_ttl_s(&entry->context) * 1000;
		agent_set_leaving(entry->agent);
		log_info("entry",
			 "leaving: look-ups no longer name this instance");
		return;
	case STAGE_LEAVING:
		begin_draining(entry);
		return;
	case STAGE_DRAINING:
		return;
	}
}

static void check_stop(struct entry *entry)
{
	uint64_t now_ms = clk_now_ms(entry->clk);

	if (entry->stage == STAGE_LEAVING && now_ms >= entry->leave_until_ms)
		begin_draining(entry);
	if (entry->stage != STAGE_DRAINING)
		return;
	if (!entry->callers) {
		loop_stop(entry->loop);
		return;
	}
	if (core_active(entry->core) || http_server_active(entry->callers)) {
		entry->idle_since_ms = 0;
		return;
	}
	if (!entry->idle_since_ms)
		entry->idle_since_ms = now_ms;
	if (!agent_open_calls(entry->agent) &&
	    !http_server_connections(entry->callers) &&
	    !loop_is_closing(entry->loop)) {
		loop_stop(entry->loop);
		return;
	}
	if (now_ms < entry->idle_since_ms + STOP_WAIT_MS)
		return;
	log_warn("entry",
		 "stopping with %zu uncommitted operations and "
		 "%zu open connections",
		 agent_open_calls(entry->agent),
		 http_server_connections(entry->callers));
	loop_stop(entry->loop);
}

static void tick(void *arg)
{
	struct entry *entry = arg;

	loop_timer_set(entry->timer, TICK_MS);
	agent_tick(entry->agent);
	core_tick(entry->core);
	pool_tick(entry->pool);
	check_stop(entry);
}

/* ---- start ---- */

static bool create_components(struct entry *entry)
{
	const struct set_settings *settings = entry->settings;
	struct agent_settings agent = {
		.name = settings->name,
		.zone = settings->zone,
		.address = settings->advertise_callers,
	};
	struct agent_ops agent_ops = { send_to_control, on_agent_changed };
	struct core_settings core = { .name = settings->name,
				      .zone = settings->zone };
	struct core_io io = { io_respond, io_refuse, io_on_abort,
			      io_send,	  io_abort,  io_responding };
	struct pool_settings pool = {
		.call_finished = after_backend_call,
		.response_memory_bytes = settings->body_memory_bytes,
		.arg = entry,
	};

	entry->clk = clk_create_system();
	entry->counters = ctr_set_create();
	entry->decisions = dec_create(DEC_RECORDS);
	if (!entry->clk || !entry->counters || !entry->decisions)
		return false;
	entry->loop = loop_create(entry->clk);
	if (!entry->loop)
		return false;
	agent.clk = core.clk = entry->clk;
	agent.counters = core.counters = pool.counters = entry->counters;
	core.decisions = entry->decisions;
	randombytes_buf(&entry->incarnation, sizeof(entry->incarnation));
	agent.incarnation = entry->incarnation;
	entry->agent = agent_create(&agent, &agent_ops, entry);
	if (!entry->agent)
		return false;
	core.agent = pool.agent = entry->agent;
	pool.loop = entry->loop;
	entry->pool = pool_create(&pool);
	entry->core = core_create(&core, &io, entry);
	entry->timer = loop_timer_create(entry->loop, tick, entry);
	entry->context.settings = settings;
	entry->context.agent = entry->agent;
	entry->context.counters = entry->counters;
	entry->context.decisions = entry->decisions;
	return entry->pool && entry->core && entry->timer;
}

static void make_id(void *arg, char id[REQUEST_ID_BYTES_MAX])
{
	const struct entry *entry = arg;

	core_make_id(entry->core, id);
}

static bool listen_on(struct entry *entry, const char *address,
		      struct http_server_settings *settings,
		      http_handler_fn handler, struct http_server **server)
{
	enum loop_error error;

	settings->address = address;
	settings->idle_timeout_ms = IDLE_TIMEOUT_MS;
	settings->head_timeout_ms = HEAD_TIMEOUT_MS;
	settings->body_timeout_ms = BODY_TIMEOUT_MS;
	settings->counters = entry->counters;
	settings->make_id = make_id;
	error = http_server_create(entry->loop, settings, handler, entry,
				   server);
	if (!error)
		return true;
	log_error("entry", "cannot listen on %s: %s", address,
		  error == LOOP_ERR_SYSTEM ?
			  strerror(errno) :
			  "invalid address or out of memory");
	return false;
}

/*
 * Called with the first lease. Without a lease every request would be refused,
 * while a caller whose connection is refused uses the next instance of its
 * list.
 */
static bool listen_to_callers(struct entry *entry)
{
	const struct set_settings *settings = entry->settings;
	struct http_server_settings callers = {
		.body_max_bytes = largest_body_bytes(NULL),
		.body_memory_bytes = settings->body_memory_bytes,
		.body_small_bytes = HTTP_SMALL_BODY_BYTES,
		.connections_max = settings->connections_max,
	};

	if (!listen_on(entry, settings->listen_callers, &callers, handle_caller,
		       &entry->callers))
		return false;
	log_info("entry",
		 "instance \"%s\" in zone \"%s\" listens for callers on %s",
		 settings->name, settings->zone, settings->listen_callers);
	return true;
}

static bool listen_to_servers_and_operators(struct entry *entry)
{
	const struct set_settings *settings = entry->settings;
	struct http_server_settings small = {
		.body_max_bytes = SMALL_BODY_BYTES,
		.connections_max = SMALL_CONNECTIONS_MAX,
	};

	return listen_on(entry, settings->listen_servers, &small, handle_server,
			 &entry->servers) &&
	       listen_on(entry, settings->listen_operators, &small,
			 handle_operator, &entry->operators);
}

static bool connect_controls(struct entry *entry)
{
	const struct set_settings *settings = entry->settings;
	struct peer_settings peer = {
		.name = settings->name,
		.role = AW__ROLE__ROLE_ENTRY,
		.zone = settings->zone,
		.incarnation = entry->incarnation,
		.secret = settings->cluster_secret,
		.secret_bytes = settings->cluster_secret_bytes,
		.counters = entry->counters,
	};
	struct peer_ops ops = { .up = link_up,
				.down = link_down,
				.frame = link_frame,
				.ping = link_ping };
	size_t i;

	if (peer_node_create(entry->loop, &peer, &ops, entry, &entry->peers))
		return false;
	for (i = 0; i < settings->nr_controls; i++) {
		if (peer_node_add(entry->peers, settings->controls[i].name,
				  settings->controls[i].address))
			return false;
	}
	return true;
}

/*
 * Destroys core and pool before the HTTP servers, whose aborted exchanges would
 * call into them.
 */
static void destroy(struct entry *entry)
{
	if (entry->peers)
		peer_node_destroy(entry->peers);
	core_destroy(entry->core);
	pool_destroy(entry->pool);
	if (entry->callers)
		http_server_destroy(entry->callers);
	if (entry->servers)
		http_server_destroy(entry->servers);
	if (entry->operators)
		http_server_destroy(entry->operators);
	agent_destroy(entry->agent);
	if (entry->timer)
		loop_timer_destroy(entry->timer);
	if (entry->loop)
		loop_destroy(entry->loop);
	dec_destroy(entry->decisions);
	ctr_set_destroy(entry->counters);
	clk_destroy(entry->clk);
}

int entry_run(const struct set_settings *settings)
{
	struct entry entry = { .settings = settings };
	int status = 1;

	if (sodium_init() < 0) {
		log_error("entry", "libsodium cannot be initialized");
		return 1;
	}
	if (!create_components(&entry)) {
		log_error("entry", "cannot create components: out of memory or "
				   "no event loop");
		goto out;
	}
	if (!listen_to_servers_and_operators(&entry))
		goto out;
	if (!connect_controls(&entry) ||
	    loop_on_stop_signal(entry.loop, stop_signal, &entry)) {
		log_error("entry",
			  "cannot set up peer connections or signal handlers");
		goto out;
	}
	loop_timer_set(entry.timer, TICK_MS);
	loop_run(entry.loop);
	log_info("entry", "stopped");
	status = entry.failed ? 1 : 0;
out:
	destroy(&entry);
	return status;
}
