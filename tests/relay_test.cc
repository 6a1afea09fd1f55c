// Tests how a request is passed on to another entry instance: whole, at most
// once unless it was not run, and only to instances that may take it.
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "gateway_internal.h"
}
#include "net_fixture.h"
#include "platform.h"

namespace
{

// Another entry instance, which answers as the test says.
struct Instance {
	std::string name, zone;
	struct http_server *server = nullptr;
	Aw__InstanceState state = AW__INSTANCE_STATE__INSTANCE_ACTIVE;
	bool unreachable = false;
	bool link_full = false;
	std::string address;
	uint32_t status = 200;
	std::string error; // of a refusal, "": none
	bool names_server = false;
	size_t nr_requests = 0;
	size_t nr_open = 0; // connections, at the last request
	std::string method, target, body;
	std::map<std::string, std::string> headers;

	Instance(Net &net, const std::string &name, const std::string &zone)
	    : name(name), zone(zone)
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

	~Instance()
	{
		http_server_destroy(server);
	}

	static void on_request(void *arg, struct http_exchange *exchange,
			       const struct http_request *req)
	{
		auto self = (Instance *)arg;
		std::string text =
			"{\"error\":\"" + self->error + "\",\"not_run\":true}";
		struct http_header headers[2] = { { "Retry-After", "1.5" },
						  { "X-Instance-Id", "s" } };
		struct http_response response = {};

		self->nr_requests++;
		self->nr_open = http_server_connections(self->server);
		self->method = req->method;
		self->target = req->target;
		self->body.assign((const char *)req->body, req->body_bytes);
		self->headers.clear();
		for (size_t i = 0; i < req->nr_headers; i++)
			self->headers[req->headers[i].name] =
				req->headers[i].value;
		if (self->error.empty())
			text = "from " + self->name;
		response.status = self->status;
		response.headers = headers;
		response.nr_headers = self->names_server ? 2 : 1;
		response.body = (const uint8_t *)text.data();
		response.body_bytes = text.size();
		http_respond(exchange, &response);
	}

	void refuse(uint32_t with_status, const std::string &with_error)
	{
		status = with_status;
		error = with_error;
	}
};

class Relay : public ::testing::Test
{
protected:
	Net net;
	struct set_settings settings = {};
	struct gw gw = {};
	std::vector<std::unique_ptr<Instance>> instances;
	uint64_t term = 0;

	struct http_header headers[6] = {
		{ "Host", "t.example" },       { "X-Key", "key-kim" },
		{ "X-Request-Id", "id-1" },    { "X-Deadline-Ms", "9000" },
		{ "Connection", "X-Private" }, { "X-Private", "1" },
	};
	struct http_request req = {};
	struct gw_relay relay = {};
	bool done = false;
	enum gw_relay_result result = GW_RELAY_ANSWERED;
	uint32_t status = 0;
	std::string body, retry_after;

	void SetUp() override
	{
		const char *zones[][2] = { { "a1", "ra" },
					   { "a2", "ra" },
					   { "b1", "rb" },
					   { "c1", "rc" } };

		for (const auto &zone : zones) {
			struct set_cluster *cluster = &settings.cluster;
			struct set_zone *to =
				&cluster->zones[cluster->nr_zones++];

			snprintf(to->name, sizeof(to->name), "%s", zone[0]);
			snprintf(to->region, sizeof(to->region), "%s", zone[1]);
		}
		snprintf(settings.name, sizeof(settings.name), "self");
		snprintf(settings.zone, sizeof(settings.zone), "a1");
		snprintf(settings.cluster.region,
			 sizeof(settings.cluster.region), "ra");
		gw.settings = &settings;
		gw.adapter = platform_adapter();
		gw.clk = net.clk;
		gw.loop = net.loop;
		gw.counters = ctr_set_create();
		gw.topo = topo_create(net.clk);
		gw.random_state[0] = 7;
		req.method = "POST";
		req.target = "/write/1?a=b";
		req.headers = headers;
		req.nr_headers = 6;
		req.body = (const uint8_t *)"body";
		req.body_bytes = 4;
		add("self", "a1");
	}

	void TearDown() override
	{
		gw_relay_cancel(&relay);
		gw_relay_close(&gw);
		topo_destroy(gw.topo);
		ctr_set_destroy(gw.counters);
	}

	Instance *add(const std::string &name, const std::string &zone)
	{
		instances.push_back(
			std::make_unique<Instance>(net, name, zone));
		return instances.back().get();
	}

	void sync()
	{
		std::vector<Aw__Instance> messages(instances.size());
		std::vector<Aw__Instance *> list;
		Aw__Feed feed = AW__FEED__INIT;

		for (size_t i = 0; i < instances.size(); i++) {
			aw__instance__init(&messages[i]);
			messages[i].name = (char *)instances[i]->name.c_str();
			messages[i].zone = (char *)instances[i]->zone.c_str();
			messages[i].address =
				(char *)instances[i]->address.c_str();
			messages[i].state = instances[i]->state;
			messages[i].servers_unreachable =
				instances[i]->unreachable;
			messages[i].link_full = instances[i]->link_full;
			list.push_back(&messages[i]);
		}
		feed.term = ++term;
		feed.lists_included = true;
		feed.instances = list.data();
		feed.n_instances = list.size();
		ASSERT_EQ(0, topo_apply_feed(gw.topo, &feed));
	}

	static void on_body_sent(void *)
	{
	}

	static void on_done(void *arg, enum gw_relay_result result,
			    const struct http_response *response)
	{
		auto self = (Relay *)arg;

		self->done = true;
		self->result = result;
		self->status = response ? response->status : 0;
		self->body.clear();
		if (!response)
			return;
		self->body.assign((const char *)response->body,
				  response->body_bytes);
		const char *value = http_header_value(
			response->headers, response->nr_headers, "Retry-After");
		self->retry_after = value ? value : "";
	}

	bool start()
	{
		relay = {};
		relay.gw = &gw;
		relay.req = &req;
		relay.id = "id-1";
		relay.deadline_ms = gw_now_ms(&gw) + 2000;
		relay.response_max_bytes = 100000;
		relay.body_sent = on_body_sent;
		relay.done = on_done;
		relay.arg = this;
		done = false;
		return gw_relay_start(&relay);
	}

	void run()
	{
		ASSERT_TRUE(start());
		ASSERT_TRUE(net.until([this] { return done; }));
	}

	size_t nr_requests()
	{
		size_t nr = 0;

		for (auto &instance : instances)
			nr += instance->nr_requests;
		return nr;
	}

	// Three near instances refuse requests with this error: each gets one,
	// and further requests go to a far one, which is returned.
	Instance *expect_avoided(const char *error)
	{
		for (const char *name : { "n1", "n2", "n3" })
			add(name, "a1")->refuse(503, error);
		auto able = add("far", "b1");

		sync();
		run();
		EXPECT_EQ(200u, status);
		EXPECT_EQ(4u, nr_requests());
		run();
		EXPECT_EQ(5u, nr_requests());
		EXPECT_EQ(2u, able->nr_requests);
		return able;
	}
};

TEST_F(Relay, PassesTheRequestOnWhole)
{
	auto other = add("other", "a2");

	sync();
	run();
	EXPECT_EQ(GW_RELAY_ANSWERED, result);
	EXPECT_EQ(200u, status);
	EXPECT_EQ("from other", body);
	EXPECT_STREQ("other", relay.via);
	EXPECT_EQ("POST", other->method);
	EXPECT_EQ("/write/1?a=b", other->target);
	EXPECT_EQ("body", other->body);
	EXPECT_EQ("t.example", other->headers["Host"]);
	EXPECT_EQ("key-kim", other->headers["X-Key"]);
	EXPECT_EQ("id-1", other->headers["X-Request-Id"]);
	EXPECT_EQ("1", other->headers["Almondward-Relayed"]);
	EXPECT_EQ(0u, other->headers.count("X-Private"));
	int left_ms = std::stoi(other->headers["X-Deadline-Ms"]);
	EXPECT_GT(left_ms, 1000);
	EXPECT_LE(left_ms, 2000);
}

// The processor is taken away between any two readings of the clock. Between
// the check of the time left and the sending of the request, the time became
// negative: the other instance was given 49 days, and the request was held for
// as long.
TEST_F(Relay, NeverGivesMoreTimeThanIsLeft)
{
	struct Clock {
		struct clk *clk = clk_create_paused(1000000);
		int readings = 0, lost_at = 0;

		static void on_read(void *arg)
		{
			auto self = (Clock *)arg;

			if (++self->readings == self->lost_at)
				clk_advance_ms(self->clk, 10000);
		}
	};
	auto other = add("other", "a2");
	int last = 1, nr_started = 0;

	sync();
	for (int at = 1; at <= last; at++) {
		Clock clock;

		gw.clk = clock.clk;
		other->headers.clear();
		clock.lost_at = at + 1; // start() reads the deadline first
		clk_on_read(clock.clk, Clock::on_read, &clock);
		if (start()) {
			nr_started++;
			ASSERT_TRUE(net.until([this] { return done; }));
			EXPECT_GT(std::stoul(other->headers["X-Deadline-Ms"]),
				  0u)
				<< "time lost at reading " << at;
			EXPECT_LE(std::stoul(other->headers["X-Deadline-Ms"]),
				  2000u)
				<< "time lost at reading " << at;
		}
		last = clock.readings;
		gw_relay_cancel(&relay);
		gw_relay_close(&gw);
		gw.clk = net.clk;
		clk_destroy(clock.clk);
	}
	EXPECT_GE(last, 2) << "readings of the clock by one relay";
	EXPECT_GE(nr_started, 1);
}

// Otherwise two instances that reach no server would pass it on forever.
TEST_F(Relay, RelayedRequestsAreRecognized)
{
	struct http_header relayed = { "almondward-relayed", "1" };
	struct http_request from = {};

	EXPECT_FALSE(gw_relay_was_relayed(&req));
	from.headers = &relayed;
	from.nr_headers = 1;
	EXPECT_TRUE(gw_relay_was_relayed(&from));
	EXPECT_TRUE(gw_relay_is_own_header("almondward-RELAYED"));
	EXPECT_FALSE(gw_relay_is_own_header("X-Key"));
}

TEST_F(Relay, OnlyInstancesThatMayTakeIt)
{
	add("leaving", "a1")->state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	add("unreachable", "a2")->unreachable = true;
	sync();
	EXPECT_FALSE(start());
	EXPECT_EQ(0u, nr_requests());
	auto far = add("far", "b1");
	sync();
	run();
	EXPECT_EQ(1u, far->nr_requests);
}

TEST_F(Relay, NearInstancesShareTheRequests)
{
	std::vector<Instance *> near = { add("n1", "a1"), add("n2", "a2"),
					 add("n3", "a2") };
	auto far = add("far", "b1");

	sync();
	for (int i = 0; i < 60; i++)
		run();
	for (auto instance : near)
		EXPECT_GE(instance->nr_requests, 8u);
	EXPECT_EQ(0u, far->nr_requests);
}

// Relays filled links further that were full already, while other instances had
// room.
TEST_F(Relay, FullLinksComeLast)
{
	auto near = add("n1", "a1"), full = add("n2", "a2"),
	     far = add("far", "b1");

	full->link_full = true;
	sync();
	for (int i = 0; i < 10; i++)
		run();
	EXPECT_EQ(10u, near->nr_requests);
	near->link_full = true;
	sync();
	run();
	EXPECT_EQ(1u, far->nr_requests);
	far->link_full = true;
	sync();
	run();
	EXPECT_EQ(11u, near->nr_requests + full->nr_requests);
}

// The body of a request with home regions must not leave them.
TEST_F(Relay, HomeRegionsBind)
{
	char *ra = (char *)"ra", *rb = (char *)"rb", *rc = (char *)"rc";
	char *route[] = { ra, rb }, *customer[] = { rb, rc };

	add("n", "a2");
	add("c", "c1");
	auto home = add("h", "b1");
	sync();
	for (int i = 0; i < 10; i++) {
		start();
		gw_relay_cancel(&relay);
		relay.nr_tried = 0;
		relay.regions = route;
		relay.nr_regions = 2;
		relay.more_regions = customer;
		relay.nr_more_regions = 2;
		ASSERT_TRUE(gw_relay_start(&relay));
		EXPECT_STREQ("h", relay.via);
		ASSERT_TRUE(net.until([this] { return done; }));
	}
	EXPECT_EQ(10u, home->nr_requests);
	relay.nr_tried = 0;
	relay.nr_more_regions = 1;
	relay.more_regions = &rc;
	EXPECT_FALSE(gw_relay_start(&relay));
}

TEST_F(Relay, RefusedRequestsAreTriedOnceMore)
{
	for (const char *name : { "n1", "n2", "n3", "n4" })
		add(name, "a1")->refuse(503, "queue_full");
	sync();
	run();
	EXPECT_EQ(GW_RELAY_ANSWERED, result);
	EXPECT_EQ(503u, status);
	EXPECT_EQ("1.5", retry_after);
	EXPECT_EQ(2u, nr_requests());
	// Being busy is no reason to avoid an instance.
	run();
	EXPECT_EQ(4u, nr_requests());
}

TEST_F(Relay, RateRefusalsAreFinal)
{
	add("n1", "a1")->refuse(429, "rate");
	add("n2", "a1")->refuse(429, "rate");
	sync();
	run();
	EXPECT_EQ(GW_RELAY_ANSWERED, result);
	EXPECT_EQ(429u, status);
	EXPECT_EQ(1u, nr_requests());
}

// A server's own 503 does not say that the request was not run.
TEST_F(Relay, ResponsesOfServersAreNotRefusals)
{
	for (const char *name : { "n1", "n2" }) {
		auto instance = add(name, "a1");

		instance->refuse(503, "queue_full");
		instance->names_server = true;
	}
	sync();
	run();
	EXPECT_EQ(503u, status);
	EXPECT_EQ(1u, nr_requests());
	for (size_t i = 1; i < instances.size(); i++) {
		instances[i]->names_server = false;
		instances[i]->error.clear();
	}
	run();
	EXPECT_EQ(503u, status);
	EXPECT_EQ(2u, nr_requests());
}

TEST_F(Relay, InstancesWithoutLinksAreAvoided)
{
	auto able = expect_avoided("servers_unreachable");

	// Then they get requests again.
	net.run_ms(1600);
	for (auto &instance : instances)
		instance->refuse(200, "");
	run();
	EXPECT_EQ(2u, able->nr_requests);
}

// They would refuse further requests until they exit.
TEST_F(Relay, StoppingInstancesAreAvoided)
{
	expect_avoided("draining");
}

// Nothing was sent, so even a request that is not idempotent is sent again.
TEST_F(Relay, FailedConnectionsAreReplaced)
{
	auto gone = add("gone", "a1"), far = add("far", "b1");

	http_server_destroy(gone->server);
	gone->server = nullptr;
	sync();
	run();
	EXPECT_EQ(200u, status);
	EXPECT_EQ(1u, far->nr_requests);
	http_server_destroy(far->server);
	far->server = nullptr;
	net.run_ms(1600);
	gw_relay_close(&gw);
	run();
	EXPECT_EQ(GW_RELAY_NOT_RUN, result);
}

// It may have run.
TEST_F(Relay, LostResponsesAreNotRetried)
{
	RawServer silent{ net };
	auto near = add("near", "a1"), far = add("far", "b1");

	near->address = silent.address();
	sync();
	ASSERT_TRUE(start());
	ASSERT_TRUE(net.until([&] {
		return silent.last.received.find("body") != std::string::npos;
	}));
	silent.last.close();
	ASSERT_TRUE(net.until([this] { return done; }));
	EXPECT_EQ(GW_RELAY_LOST, result);
	EXPECT_EQ(0u, far->nr_requests);
	// The next request goes elsewhere.
	run();
	EXPECT_EQ(1u, far->nr_requests);
}

TEST_F(Relay, DeadlineEndsIt)
{
	RawServer silent{ net };

	add("near", "a1")->address = silent.address();
	sync();
	ASSERT_TRUE(start());
	gw_relay_cancel(&relay);
	relay.nr_tried = 0;
	relay.deadline_ms = gw_now_ms(&gw) + 300;
	ASSERT_TRUE(gw_relay_start(&relay));
	ASSERT_TRUE(net.until([this] { return done; }));
	EXPECT_EQ(GW_RELAY_TIMEOUT, result);
	relay.nr_tried = 0;
	relay.deadline_ms = gw_now_ms(&gw) + 50;
	EXPECT_FALSE(gw_relay_start(&relay));
}

// The other instance stops its work when the caller has left.
TEST_F(Relay, CancelClosesTheConnection)
{
	RawServer silent{ net };

	add("near", "a1")->address = silent.address();
	sync();
	ASSERT_TRUE(start());
	ASSERT_TRUE(net.until([&] { return !silent.last.received.empty(); }));
	gw_relay_cancel(&relay);
	EXPECT_TRUE(net.until([&] { return silent.last.closed; }));
	EXPECT_FALSE(done);
}

// The other instance may close a connection that was idle for longer.
TEST_F(Relay, ConnectionsAreKeptForAShortTime)
{
	auto other = add("other", "a2");

	sync();
	run();
	run();
	EXPECT_EQ(1u, other->nr_open);
	net.run_ms(1000);
	gw_relay_tick(&gw);
	EXPECT_TRUE(net.until(
		[&] { return !http_server_connections(other->server); }));
	run();
	EXPECT_EQ(3u, other->nr_requests);
}

} // namespace
