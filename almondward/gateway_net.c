#include <stdio.h>
#include <string.h>

#include "gateway_internal.h"

/*
 * Records what the network link of this instance carries, and how long messages
 * wait for it.
 */

#define LOG_INTERVAL_MS 1000
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
	    net->connect_max_ms < SLOW_MS)
		return;
	event_log(EVENT_NET,
		  "span_ms=%llu in=%llu out=%llu %s%sbacklog_ms=%u "
		  "connects=%u connect_min_ms=%u connect_max_ms=%u "
		  "requests=%zu connections=%zu",
		  (unsigned long long)span_ms, (unsigned long long)in_bytes,
		  (unsigned long long)out_bytes, in_text, out_text, backlog_ms,
		  net->nr_connects, net->connect_min_ms, net->connect_max_ms,
		  gw->nr_requests, http_server_connections(gw->callers));
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
