// An entry instance for tests that take the part of the caller and the server.
#ifndef GATEWAY_FIXTURE_H
#define GATEWAY_FIXTURE_H

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "gateway_internal.h"
}
#include "net_fixture.h"
#include "platform.h"

const uint32_t ROUTE_TIMEOUT_MS = 2500;
const uint64_t LOST_MS = 10000; // for which the processor is taken away
// The time of the instance is ahead of that of the loop, which tells when a
// request came: the request seems to have come earlier, but never later.
const uint64_t AHEAD_MS = 500;

struct Server {
	struct http_server *server = nullptr;
	std::string address;
	std::vector<std::string> deadlines; // of the requests, "": none
	std::map<std::string, int> runs; // by the id of the expected server
	bool answers = true; // false: requests stay without a response

	explicit Server(Net &net)
	{
		struct http_server_settings settings = {};

		settings.address = "127.0.0.1:0";
		settings.body_max_bytes = 100000;
		settings.connections_max = 100;
		settings.idle_timeout_ms = 15000;
		settings.head_timeout_ms = 5000;
		settings.body_timeout_ms = 5000;
		EXPECT_EQ(LOOP_OK,
			  http_server_create(net.loop, &settings, on_request,
					     this, &server));
		address = http_server_address(server);
	}

	~Server()
	{
		http_server_destroy(server);
	}

	static void on_request(void *arg, struct http_exchange *exchange,
			       const struct http_request *req)
	{
		const char *deadline = http_header_value(
			req->headers, req->nr_headers, "X-Deadline-Ms");
		const char *id = http_header_value(
			req->headers, req->nr_headers, "X-Request-Id");
		struct http_header headers[] = { { "X-Request-Id", id } };
		struct http_response response = {};

		((Server *)arg)->deadlines.push_back(deadline ? deadline : "");
		((Server *)arg)
			->runs[http_header_value(req->headers, req->nr_headers,
						 "X-Expect-Instance")]++;
		if (!((Server *)arg)->answers)
			return;
		response.status = 200;
		response.headers = headers;
		response.nr_headers = 1;
		response.body = (const uint8_t *)"ok";
		response.body_bytes = 2;
		http_respond(exchange, &response);
	}
};

// An entry instance with one server.
struct Gateway {
	Net net;
	struct clk *clk;
	Server server{ net };
	struct set_settings settings = {};
	struct gw gw = {};
	int readings = 0, lost_at = 0; // reading before which time is lost
	uint64_t version = 0; // of the plan

	// With link_kbit_per_s the clock of the instance runs. The loop has no
	// link rate, since callers and servers share it.
	explicit Gateway(uint64_t ahead_ms = AHEAD_MS,
			 uint32_t link_kbit_per_s = 0)
	{
		struct set_cluster *cluster = &settings.cluster;
		struct http_server_settings callers = {};

		if (link_kbit_per_s)
			clk = clk_create_system();
		else
			clk = clk_create_paused(clk_now_ms(net.clk) + ahead_ms);
		cluster->bounds.link_kbit_per_s = link_kbit_per_s;
		snprintf(settings.name, sizeof(settings.name), "entry-0");
		snprintf(settings.zone, sizeof(settings.zone), "a1");
		snprintf(cluster->region, sizeof(cluster->region), "ra");
		snprintf(cluster->zones[0].name, NAME_BYTES_MAX, "a1");
		snprintf(cluster->zones[0].region, NAME_BYTES_MAX, "ra");
		cluster->nr_zones = 1;
		cluster->bounds.rate_window_ms = 5000;
		gw.settings = &settings;
		gw.adapter = platform_adapter();
		gw.clk = clk;
		gw.loop = net.loop;
		gw.response_memory.max_bytes = 1 << 20;
		gw.counters = ctr_set_create();
		gw.plan = plan_create();
		gw.topo = topo_create(clk);
		gw.steer = steer_create(clk, cluster, "a1", "entry-0");
		gw.latency = hist_create("answer_seconds");
		gw.wait_time = hist_create("wait_seconds");
		steer_on_drop(gw.steer, gw_backend_drop, &gw);
		EXPECT_EQ(0, gw_slots_open(&gw));
		EXPECT_EQ(0, gw_crash_open(&gw));
		EXPECT_EQ(0, gw_reach_open(&gw));
		callers.address = "127.0.0.1:0";
		callers.body_max_bytes = 4000000;
		callers.connections_max = 100;
		callers.idle_timeout_ms = 15000;
		callers.head_timeout_ms = 5000;
		callers.body_timeout_ms = 5000;
		callers.check_head = gw_check_head;
		callers.use = LOOP_USE_CALLERS;
		EXPECT_EQ(LOOP_OK,
			  http_server_create(net.loop, &callers, gw_on_request,
					     &gw, &gw.callers));
		sync();
	}

	~Gateway()
	{
		clk_on_read(clk, nullptr, nullptr);
		gw_request_drop_all(&gw);
		gw_relay_close(&gw);
		gw_reach_close(&gw);
		http_server_destroy(gw.callers);
		gw_slots_close(&gw);
		gw_crash_close(&gw);
		steer_destroy(gw.steer);
		topo_destroy(gw.topo);
		plan_destroy(gw.plan);
		while (gw.upstreams) {
			struct gw_upstream *upstream = gw.upstreams;

			HASH_DEL(gw.upstreams, upstream);
			free(upstream);
		}
		while (gw.round_robins) {
			struct gw_round_robin *round_robin = gw.round_robins;

			HASH_DEL(gw.round_robins, round_robin);
			free(round_robin->parts);
			free(round_robin);
		}
		hist_destroy(gw.latency);
		hist_destroy(gw.wait_time);
		ctr_set_destroy(gw.counters);
		clk_destroy(clk);
	}

	// Replaces the plan. The route has an upstream with one server for each
	// weight; all servers have the same address.
	void sync(const std::vector<uint32_t> &weights = { 1 },
		  Aw__PlanLimits *limits = nullptr)
	{
		size_t nr = weights.size();
		std::vector<std::string> names, ids;
		std::vector<Aw__PlanUpstream> upstreams(nr);
		std::vector<Aw__PlanUpstream *> upstream_list;
		std::vector<Aw__PlanPart> parts(nr);
		std::vector<Aw__PlanPart *> part_list;
		std::vector<Aw__Server> servers(nr);
		std::vector<Aw__Server *> server_list;
		Aw__PlanRoute route = AW__PLAN_ROUTE__INIT;
		Aw__PlanRoute *routes[] = { &route };
		Aw__Plan plan = AW__PLAN__INIT;
		Aw__Instance instance = AW__INSTANCE__INIT;
		Aw__Instance *instances[] = { &instance };
		Aw__Feed feed = AW__FEED__INIT;

		for (size_t i = 0; i < nr; i++) {
			names.push_back("desk-" + std::to_string(i));
			ids.push_back("server-" + std::to_string(i));
		}
		for (size_t i = 0; i < nr; i++) {
			aw__plan_upstream__init(&upstreams[i]);
			upstreams[i].name = (char *)names[i].c_str();
			upstream_list.push_back(&upstreams[i]);
			aw__plan_part__init(&parts[i]);
			parts[i].upstream = upstreams[i].name;
			parts[i].weight = weights[i];
			part_list.push_back(&parts[i]);
			aw__server__init(&servers[i]);
			servers[i].id = (char *)ids[i].c_str();
			servers[i].upstream = upstreams[i].name;
			servers[i].zone = (char *)"a1";
			servers[i].address = (char *)server.address.c_str();
			servers[i].slots = 8;
			servers[i].incarnation = servers[i].sequence = 1;
			servers[i].state = AW__SERVER_STATE__SERVER_ACTIVE;
			server_list.push_back(&servers[i]);
		}
		route.name = (char *)"read";
		route.host = (char *)"t.example";
		route.path_prefix = (char *)"/read/";
		route.timeout_ms = ROUTE_TIMEOUT_MS;
		route.attempts_max = 2;
		route.parts = part_list.data();
		route.n_parts = nr;
		plan.index = plan.version = ++version;
		plan.upstreams = upstream_list.data();
		plan.n_upstreams = nr;
		plan.routes = routes;
		plan.n_routes = 1;
		plan.limits = limits;
		ASSERT_EQ(0, plan_replace(gw.plan, &plan));
		instance.name = settings.name;
		instance.zone = (char *)"a1";
		instance.address = (char *)http_server_address(gw.callers);
		instance.state = AW__INSTANCE_STATE__INSTANCE_ACTIVE;
		feed.term = 1;
		feed.table_version = version;
		feed.table_whole = feed.lists_included = true;
		feed.servers = server_list.data();
		feed.n_servers = nr;
		feed.instances = instances;
		feed.n_instances = 1;
		ASSERT_EQ(0, topo_apply_feed(gw.topo, &feed));
		ASSERT_EQ(0,
			  steer_sync(gw.steer, gw.topo, gw.plan, nullptr, 0));
	}

	static void on_read(void *arg)
	{
		auto self = (Gateway *)arg;

		if (++self->readings == self->lost_at)
			clk_advance_ms(self->clk, LOST_MS);
	}

	// Sends requests one after the other. Returns the part of them that the
	// server of the first upstream got.
	double share_of_first(int nr)
	{
		server.runs.clear();
		for (int i = 0; i < nr; i++)
			request(0);
		return server.runs["server-0"] / (double)nr;
	}

	// Sends a request. The processor is taken away before the given reading
	// of the clock. Returns the response.
	std::string request(int at_reading, uint32_t deadline_ms = 4000)
	{
		RawConn caller(net, http_server_address(gw.callers));

		readings = 0;
		lost_at = at_reading;
		clk_on_read(clk, on_read, this);
		caller.send("GET /read/1 HTTP/1.1\r\nHost: t.example\r\n"
			    "X-Request-Id: id-1\r\nX-Deadline-Ms: " +
			    std::to_string(deadline_ms) + "\r\n\r\n");
		EXPECT_TRUE(net.until([&] {
			return caller.received.find("\r\n\r\n") !=
			       std::string::npos;
		})) << "no response, time lost at reading "
		    << at_reading;
		clk_on_read(clk, nullptr, nullptr);
		return caller.received;
	}
};

#endif
