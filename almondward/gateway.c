#include "gateway_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "log.h"

#define TICK_MS 20
/* Interval of work that goes through all connections or servers. */
#define SLOW_TICK_MS 200
/* A tick that is late by this time is logged: what arrived meanwhile was not
 * read, and callers expect their requests to be read within a few hundred ms. */
#define LATE_TICK_MS 100
/* Bodies are buffered whole in a third of the memory limit; the rest is for
 * responses and connections. */
#define BODY_MEMORY_DIVISOR 3
#define BODY_MEMORY_BYTES ((uint64_t)64 << 20) /* without a memory limit */
/* Part of the memory limit for responses, which are copied for the caller. */
#define RESPONSE_MEMORY_DIVISOR 5
#define RESPONSE_MEMORY_BYTES ((uint64_t)256 << 20) /* without a memory limit */
#define CONNECTIONS_MAX 2000 /* leaves half of 4,100 descriptors for servers */
#define HEAD_TIMEOUT_MS 5000
#define BODY_TIMEOUT_MS 5000
/*
 * Graceful stop. Callers may use the address until the lifetime of their last
 * look-up has passed, so the instance listens for STOP_LISTEN_MS. After that
 * the process exits when no request, connection or unsent response is left and
 * STOP_IDLE_MS have passed, or at the latest STOP_MARGIN_MS before the platform kills it.
 */
#define STOP_LISTEN_MS 2600
#define STOP_MARGIN_MS 400
#define STOP_IDLE_MS 300
/* Time to send the last responses before the process exits. */
#define STOP_SEND_MS 100
/* A request rarely takes longer than this many times what is expected. */
#define STOP_EXPECTED_FACTOR 2

uint64_t gw_now_ms(const struct gw *gw)
{
	return clk_now_ms(gw->clk);
}

void gw_count(struct gw *gw, const char *name, const char *label)
{
	ctr_add(ctr_get(gw->counters, name, label), 1);
}

void gw_fail(struct gw *gw, const char *cause)
{
	if (gw->failed)
		return;
	log_error("gateway", "%s; exiting", cause);
	event_log(EVENT_STOP, "outcome=failed");
	gw->failed = true;
	loop_stop(gw->loop);
}

/* ---- readiness and metrics ---- */

static void respond_text(struct http_exchange *exchange, uint32_t status,
			 const void *text, size_t text_bytes)
{
	const struct http_header type = { "Content-Type", "text/plain" };
	const struct http_response response = {
		.status = status,
		.headers = &type,
		.nr_headers = 1,
		.body = text,
		.body_bytes = text_bytes,
	};

	http_respond(exchange, &response);
}

static bool is_ready(const struct gw *gw)
{
	return plan_version(gw->plan) && !gw->stop_requested_ms;
}

static void on_ready(void *arg, struct http_exchange *exchange,
		     const struct http_request *req)
{
	struct gw *gw = arg;
	struct svc_call call;

	gw->adapter->read_call(req, &call);
	if (call.kind != SVC_CALL_READY)
		respond_text(exchange, 404, "", 0);
	else
		respond_text(exchange, is_ready(gw) ? 200 : 503, "", 0);
	svc_call_release(&call);
}

static void on_metrics(void *arg, struct http_exchange *exchange,
		       const struct http_request *req)
{
	struct buf text = BUF_INIT;
	struct gw *gw = arg;

	(void)req;
	ctr_set_value(ctr_get(gw->counters, "requests_running", ""),
		      gw->nr_requests);
	ctr_set_value(ctr_get(gw->counters, "log_lines_dropped", ""),
		      event_dropped());
	if (ctr_format(gw->counters, &text) ||
	    hist_format(gw->latency, &text) ||
	    hist_format(gw->wait_time, &text))
		respond_text(exchange, 503, "", 0);
	else
		respond_text(exchange, 200, text.data, text.len_bytes);
	buf_release(&text);
}

/* ---- periodic work and signals ---- */

/*
 * Returns the time from SIGTERM until the process exits, whatever is in
 * progress; 0: it waits until nothing is.
 */
static uint32_t stop_max_ms(const struct gw *gw)
{
	uint32_t grace_ms = gw->settings->cluster.bounds.grace_ms;

	return grace_ms > STOP_MARGIN_MS ? grace_ms - STOP_MARGIN_MS : 0;
}

bool gw_stop_allows(const struct gw *gw, uint64_t deadline_ms,
		    uint32_t expected_ms)
{
	uint64_t now_ms = gw_now_ms(gw), last_answer_ms;

	if (!gw->stop_requested_ms || !stop_max_ms(gw))
		return true;
	last_answer_ms = gw->stop_requested_ms + stop_max_ms(gw) - STOP_SEND_MS;
	if (deadline_ms <= last_answer_ms)
		return true;
	return now_ms < gw->stop_requested_ms + STOP_LISTEN_MS &&
	       now_ms + (uint64_t)STOP_EXPECTED_FACTOR * expected_ms <=
		       last_answer_ms;
}

static void stop_tick(struct gw *gw)
{
	uint64_t elapsed_ms = gw_now_ms(gw) - gw->stop_requested_ms;

	if (elapsed_ms < STOP_LISTEN_MS)
		return;
	http_server_drain(gw->callers, true);
	/* A connection may carry an incomplete request, or none yet. */
	if (!gw->nr_requests && !http_server_connections(gw->callers) &&
	    !loop_is_closing(gw->loop) &&
	    elapsed_ms >= STOP_LISTEN_MS + STOP_IDLE_MS)
		loop_stop(gw->loop);
	if (stop_max_ms(gw) && elapsed_ms >= stop_max_ms(gw))
		loop_stop(gw->loop);
}

/*
 * The process did not get the processor, or one callback took long.
 */
static void log_late_tick(struct gw *gw, uint64_t now_ms)
{
	uint64_t due_ms = gw->tick_due_ms;

	gw->tick_due_ms = now_ms + TICK_MS;
	if (!due_ms || now_ms < due_ms + LATE_TICK_MS)
		return;
	gw_count(gw, "late_ticks", "");
	event_log(EVENT_LOOP,
		  "outcome=late late_ms=%llu requests=%zu plan=%llu",
		  (unsigned long long)(now_ms - due_ms), gw->nr_requests,
		  (unsigned long long)plan_version(gw->plan));
}

static void tick(void *arg)
{
	struct gw *gw = arg;
	uint64_t now_ms = gw_now_ms(gw);

	if (gw->failed)
		return;
	loop_timer_set(gw->tick_timer, TICK_MS);
	log_late_tick(gw, now_ms);
	gw_link_tick(gw);
	gw_request_tick(gw);
	gossip_tick(gw->gossip);
	gw_reach_tick(gw);
	gw_crash_check_probes(gw);
	gw_slots_tick(gw);
	gw_net_tick(gw);
	if (now_ms >= gw->last_slow_tick_ms + SLOW_TICK_MS) {
		gw->last_slow_tick_ms = now_ms;
		gw_backend_tick(gw);
		gw_request_check_silent(gw);
		gw_relay_tick(gw);
		steer_tick(gw->steer);
		coord_tick(gw->slots.coord);
		gw_crash_tick(gw);
	}
	if (gw->stop_requested_ms)
		stop_tick(gw);
	event_flush();
}

static void on_stop(void *arg)
{
	struct gw *gw = arg;

	if (gw->stop_requested_ms)
		return;
	gw->stop_requested_ms = gw_now_ms(gw);
	event_log(EVENT_STOP, "outcome=begins running=%zu", gw->nr_requests);
	http_server_drain(gw->callers, false);
	gw_link_announce(gw);
}

static void on_reload(void *arg)
{
	struct gw *gw = arg;
	struct set_settings *next = malloc(sizeof(*next));
	char cause[8192] = "out of memory";

	if (!next || set_load(gw->settings_path, next, cause, sizeof(cause))) {
		log_warn("gateway",
			 "reload failed, keeping the old settings: %s", cause);
		event_log(EVENT_RELOAD, "outcome=kept");
	} else {
		memcpy(gw->settings->cluster.seeds, next->cluster.seeds,
		       sizeof(next->cluster.seeds));
		gw->settings->cluster.nr_seeds = next->cluster.nr_seeds;
		event_log(EVENT_RELOAD, "outcome=done seeds=%zu",
			  next->cluster.nr_seeds);
	}
	free(next);
}

/* ---- startup and shutdown ---- */

static int open_server(struct gw *gw, const char *address,
		       http_handler_fn handler, uint32_t connections_max,
		       struct http_server **server)
{
	struct http_server_settings http = {
		.address = address,
		.use = handler == gw_on_request ? LOOP_USE_CALLERS :
						  LOOP_USE_OTHER,
		.body_max_bytes = GW_BODY_MAX_BYTES,
		.body_memory_bytes =
			gw->settings->cluster.memory_bytes ?
				gw->settings->cluster.memory_bytes /
					BODY_MEMORY_DIVISOR :
				BODY_MEMORY_BYTES,
		.body_small_bytes = HTTP_SMALL_BODY_BYTES,
		.connections_max = connections_max,
		.idle_timeout_ms = GW_IDLE_TIMEOUT_MS,
		.head_timeout_ms = HEAD_TIMEOUT_MS,
		.body_timeout_ms = BODY_TIMEOUT_MS,
		.check_head = handler == gw_on_request ? gw_check_head : NULL,
		.counters = gw->counters,
	};

	if (!*address ||
	    !http_server_create(gw->loop, &http, handler, gw, server))
		return 0;
	log_error("gateway", "cannot listen on %s", address);
	return -1;
}

static int open_state(struct gw *gw)
{
	const struct set_settings *settings = gw->settings;

	gw->plan = plan_create();
	gw->topo = topo_create(gw->clk);
	gw->steer = steer_create(gw->clk, &settings->cluster, settings->zone,
				 settings->name);
	gw->latency = hist_create("answer_seconds");
	gw->wait_time = hist_create("wait_seconds");
	if (!gw->plan || !gw->topo || !gw->steer || !gw->latency ||
	    !gw->wait_time)
		return -1;
	steer_on_drop(gw->steer, gw_backend_drop, gw);
	return 0;
}

static int open_gossip(struct gw *gw)
{
	const struct set_cluster *cluster = &gw->settings->cluster;
	char address[ADDRESS_BYTES_MAX];
	const struct gossip_settings settings = {
		.loop = gw->loop,
		.cluster = cluster,
		.name = gw->settings->name,
		.incarnation = gw->incarnation,
		.address = address,
		.steer = gw->steer,
		.topo = gw->topo,
		.counters = gw->counters,
		.datagram = gw_slots_datagram,
		.arg = gw,
	};

	set_peer_address(cluster, cluster->listen_callers, address);
	gw->gossip = gossip_create(&settings);
	return gw->gossip ? 0 : -1;
}

static int open_all(struct gw *gw)
{
	const struct set_cluster *cluster = &gw->settings->cluster;

	if (sodium_init() < 0)
		return -1;
	randombytes_buf(&gw->incarnation, sizeof(gw->incarnation));
	randombytes_buf(gw->random_state, sizeof(gw->random_state));
	gw->clk = clk_create_system();
	gw->counters = ctr_set_create();
	if (!gw->clk || !gw->counters)
		return -1;
	event_init(gw->clk, gw->settings->name);
	event_log(EVENT_START, "role=entry zone=%s callers=%s",
		  gw->settings->zone, cluster->listen_callers);
	gw->loop = loop_create(gw->clk);
	if (!gw->loop)
		return -1;
	gw->response_memory.max_bytes =
		cluster->memory_bytes ?
			cluster->memory_bytes / RESPONSE_MEMORY_DIVISOR :
			RESPONSE_MEMORY_BYTES;
	gw->response_memory.small_bytes = HTTP_SMALL_BODY_BYTES;
	loop_set_link_rate(gw->loop, cluster->bounds.link_kbit_per_s);
	if (*cluster->connect_from &&
	    loop_set_source(gw->loop, cluster->connect_from)) {
		log_error("gateway", "cannot connect from %s: %s",
			  cluster->connect_from, strerror(errno));
		return -1;
	}
	gw->tick_timer = loop_timer_create(gw->loop, tick, gw);
	if (!gw->tick_timer || open_state(gw) ||
	    open_server(gw, cluster->listen_callers, gw_on_request,
			CONNECTIONS_MAX, &gw->callers) ||
	    open_server(gw, cluster->listen_ready, on_ready, CONNECTIONS_MAX,
			&gw->ready) ||
	    open_server(gw, cluster->listen_metrics, on_metrics,
			CONNECTIONS_MAX, &gw->metrics) ||
	    gw_link_open(gw) || gw_slots_open(gw) || gw_crash_open(gw) ||
	    gw_reach_open(gw) || open_gossip(gw))
		return -1;
	if (loop_on_stop_signal(gw->loop, on_stop, gw) ||
	    loop_on_reload_signal(gw->loop, on_reload, gw))
		return -1;
	return 0;
}

static void free_tables(struct gw *gw)
{
	struct gw_customer *customer, *next_customer;
	struct gw_upstream *upstream, *next_upstream;
	struct gw_round_robin *round_robin, *next_round_robin;

	HASH_ITER(hh, gw->customers, customer, next_customer)
	{
		HASH_DEL(gw->customers, customer);
		free(customer);
	}
	HASH_ITER(hh, gw->upstreams, upstream, next_upstream)
	{
		HASH_DEL(gw->upstreams, upstream);
		free(upstream);
	}
	HASH_ITER(hh, gw->round_robins, round_robin, next_round_robin)
	{
		HASH_DEL(gw->round_robins, round_robin);
		free(round_robin->parts);
		free(round_robin);
	}
}

static void close_all(struct gw *gw)
{
	gw_request_drop_all(gw);
	gw_relay_close(gw);
	gw_reach_close(gw);
	http_server_destroy(gw->callers);
	http_server_destroy(gw->ready);
	http_server_destroy(gw->metrics);
	gw_link_close(gw);
	gossip_destroy(gw->gossip);
	gw_slots_close(gw);
	gw_crash_close(gw);
	steer_destroy(gw->steer);
	topo_destroy(gw->topo);
	plan_destroy(gw->plan);
	free_tables(gw);
	hist_destroy(gw->latency);
	hist_destroy(gw->wait_time);
	loop_timer_destroy(gw->tick_timer);
	loop_destroy(gw->loop);
	event_log(EVENT_STOP, "outcome=ended failed=%d", gw->failed);
	event_flush();
	ctr_set_destroy(gw->counters);
	clk_destroy(gw->clk);
}

int gw_run(const struct set_settings *settings,
	   const struct svc_adapter *adapter)
{
	struct set_settings own_settings = *settings;
	struct gw gw = { .settings = &own_settings, .adapter = adapter };
	int status = 1;

	gw.settings_path = settings->path;
	if (!open_all(&gw) && !gw.failed) {
		loop_timer_set(gw.tick_timer, 0);
		loop_run(gw.loop);
		status = gw.failed ? 1 : 0;
	}
	close_all(&gw);
	return status;
}
