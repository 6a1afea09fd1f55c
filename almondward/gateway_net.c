#include <stdio.h>
#include <string.h>

#include "gateway_internal.h"

/*
 * Records what the network link of this instance carries, and how long messages
 * wait for it.
 */

#define LOG_INTERVAL_MS 1000
#define MEASURE_INTERVAL_MS 100
/* A full link delivers unevenly: a busy interval counts for this long. */
#define BUSY_HOLD_MS 500
/*
 * The link counts as full when messages have waited FULL_MS for FULL_BEGIN_MS,
 * until they have waited less than FULL_END_MS for FULL_MIN_MS. A burst of large
 * bodies is over sooner, and sending callers to another region for it costs
 * more than it saves.
 */
#define FULL_MS 300
#define FULL_BEGIN_MS 1000
#define FULL_END_MS 100
#define FULL_MIN_MS 2000
#define PROBE_INTERVAL_MS 100 /* while the link is busy */
/* Logged above one of these: bytes in either direction in percent of the rate,
 * or time that a message waits. */
#define BUSY_PERCENT 50
#define SLOW_MS 50
/* "out_datagrams=18446744073709551615 " for each use. */
#define TRAFFIC_TEXT_BYTES 512

static uint64_t add_traffic(struct gw *gw, char *text, size_t text_bytes,
			    bool sent)
{
	uint64_t total = 0, bytes;
	size_t used = 0;

	for (int use = 0; use < LOOP_USE_COUNT; use++) {
		const struct loop_traffic *now =
			loop_traffic(gw->loop, (enum loop_use)use);
		const struct loop_traffic *last = &gw->net.logged[use];

		bytes = sent ? now->sent_bytes - last->sent_bytes :
			       now->received_bytes - last->received_bytes;
		total += bytes;
		used += (size_t)snprintf(text + used, text_bytes - used,
					 "%s_%s=%llu ", sent ? "out" : "in",
					 loop_use_name((enum loop_use)use),
					 (unsigned long long)bytes);
	}
	return total;
}

/*
 * Returns whether more than BUSY_PERCENT of the rate was used in one direction.
 */
static bool is_busy(const struct gw *gw, uint64_t bytes, uint64_t span_ms)
{
	return bytes * 8 * 100 >
	       (uint64_t)gw->settings->cluster.bounds.link_kbit_per_s *
		       span_ms * BUSY_PERCENT;
}

static void log_net(struct gw *gw, uint64_t span_ms)
{
	char in_text[TRAFFIC_TEXT_BYTES], out_text[TRAFFIC_TEXT_BYTES];
	uint32_t backlog_ms = loop_backlog_ms(gw->loop);
	struct gw_net *net = &gw->net;
	uint64_t in_bytes, out_bytes;

	in_bytes = add_traffic(gw, in_text, sizeof(in_text), false);
	out_bytes = add_traffic(gw, out_text, sizeof(out_text), true);
	if (!is_busy(gw, in_bytes, span_ms) &&
	    !is_busy(gw, out_bytes, span_ms) && backlog_ms < SLOW_MS &&
	    gw_net_delay_ms(gw) < SLOW_MS)
		return;
	event_log(EVENT_NET,
		  "span_ms=%llu in=%llu out=%llu %s%sdelay_ms=%u backlog_ms=%u "
		  "connects=%u connect_min_ms=%u connect_max_ms=%u "
		  "requests=%zu connections=%zu",
		  (unsigned long long)span_ms, (unsigned long long)in_bytes,
		  (unsigned long long)out_bytes, in_text, out_text,
		  gw_net_delay_ms(gw), backlog_ms, net->nr_connects,
		  net->connect_min_ms, net->connect_max_ms, gw->nr_requests,
		  http_server_connections(gw->callers));
}

static void get_bytes(const struct gw *gw, uint64_t *received_bytes,
		      uint64_t *sent_bytes)
{
	*received_bytes = 0;
	*sent_bytes = 0;
	for (int use = 0; use < LOOP_USE_COUNT; use++) {
		const struct loop_traffic *traffic =
			loop_traffic(gw->loop, (enum loop_use)use);

		*received_bytes += traffic->received_bytes;
		*sent_bytes += traffic->sent_bytes;
	}
}

/*
 * Finds out whether the link was busy since the last call.
 */
static void measure(struct gw *gw, uint64_t now_ms)
{
	struct gw_net *net = &gw->net;
	uint64_t span_ms = now_ms - net->measured_ms, received_bytes,
		 sent_bytes;

	get_bytes(gw, &received_bytes, &sent_bytes);
	if (gw->settings->cluster.bounds.link_kbit_per_s &&
	    (is_busy(gw, received_bytes - net->measured_received_bytes,
		     span_ms) ||
	     is_busy(gw, sent_bytes - net->measured_sent_bytes, span_ms)))
		net->busy_ms = now_ms;
	net->measured_ms = now_ms;
	net->measured_received_bytes = received_bytes;
	net->measured_sent_bytes = sent_bytes;
}

static bool was_busy(const struct gw *gw)
{
	return gw->net.busy_ms &&
	       gw_now_ms(gw) < gw->net.busy_ms + BUSY_HOLD_MS;
}

uint32_t gw_net_delay_ms(const struct gw *gw)
{
	return was_busy(gw) ? delay_ms(&gw->net.delay, gw_now_ms(gw)) : 0;
}

/*
 * What this instance sends is known, so the rest of the delay is that of what
 * it receives.
 */
uint32_t gw_net_send_delay_ms(const struct gw *gw)
{
	uint32_t backlog_ms = loop_backlog_ms(gw->loop);
	uint32_t both_ms = gw_net_delay_ms(gw);

	return backlog_ms < both_ms ? backlog_ms : both_ms;
}

uint32_t gw_net_receive_delay_ms(const struct gw *gw)
{
	return gw_net_delay_ms(gw) - gw_net_send_delay_ms(gw);
}

/*
 * Reports to the leader when the link becomes full, and when it has had room
 * for some time.
 */
static void update_full(struct gw *gw, uint64_t now_ms)
{
	uint32_t delay_ms = gw_net_delay_ms(gw);
	struct gw_net *net = &gw->net;
	bool was_full = net->is_full;

	if (delay_ms < FULL_MS)
		net->below_full_ms = now_ms;
	if (delay_ms >= FULL_END_MS)
		net->delayed_ms = now_ms;
	if (was_full)
		net->is_full = now_ms < net->delayed_ms + FULL_MIN_MS;
	else
		net->is_full = now_ms >= net->below_full_ms + FULL_BEGIN_MS;
	if (net->is_full == was_full)
		return;
	gw_count(gw, "link_changes", net->is_full ? "full" : "free");
	gw_link_announce(gw);
}

void gw_net_connected(struct gw *gw, const struct steer_server *server,
		      uint32_t connect_ms)
{
	struct gw_net *net = &gw->net;

	if (strcmp(steer_server_region(server), gw->settings->cluster.region) !=
	    0)
		return;
	if (!net->nr_connects++ || connect_ms < net->connect_min_ms)
		net->connect_min_ms = connect_ms;
	if (connect_ms > net->connect_max_ms)
		net->connect_max_ms = connect_ms;
}

void gw_net_tick(struct gw *gw)
{
	struct gw_net *net = &gw->net;
	uint64_t now_ms = gw_now_ms(gw);

	if (now_ms >= net->measured_ms + MEASURE_INTERVAL_MS)
		measure(gw, now_ms);
	if (was_busy(gw) && now_ms >= net->probed_ms + PROBE_INTERVAL_MS) {
		net->probed_ms = now_ms;
		gw_link_probe(gw);
	}
	update_full(gw, now_ms);
	if (now_ms < net->logged_ms + LOG_INTERVAL_MS)
		return;
	if (net->logged_ms && gw->settings->cluster.bounds.link_kbit_per_s)
		log_net(gw, now_ms - net->logged_ms);
	for (int use = 0; use < LOOP_USE_COUNT; use++)
		net->logged[use] = *loop_traffic(gw->loop, (enum loop_use)use);
	net->logged_ms = now_ms;
	net->nr_connects = 0;
	net->connect_min_ms = 0;
	net->connect_max_ms = 0;
}
