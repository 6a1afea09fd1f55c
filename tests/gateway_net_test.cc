// Tests what an entry instance does while its network link is full. The link
// carries what callers and control instances send to the instance.
#include <string>

#include "gateway_fixture.h"
#include "slow_link.h"

namespace
{

const uint32_t LINK_KBIT_PER_S = 4000;
const uint32_t BODY_BYTES = 200000; // 400 ms of the link
// Responses that are later than this after the limit of their route count as
// held.
const uint64_t HELD_MS = 250;

// A control instance that only replies to pings.
struct Control {
	struct peer_node *node = nullptr;

	Control(Net &net, const std::string &name, const std::string &address)
	{
		static const struct peer_ops ops = {
			[](void *, struct peer_link *) {},
			[](void *, struct peer_link *) {},
			[](void *, struct peer_link *, const Aw__Frame *) {},
			nullptr, nullptr
		};
		struct peer_settings settings = {};

		settings.name = name.c_str();
		settings.role = AW__ROLE__ROLE_CONTROL;
		settings.zone = "a1";
		settings.incarnation = 7;
		settings.secret = (const uint8_t *)"";
		settings.listen_address = address.c_str();
		EXPECT_EQ(LOOP_OK, peer_node_create(net.loop, &settings, &ops,
						    nullptr, &node));
	}

	~Control()
	{
		peer_node_destroy(node);
	}
};

std::string free_address(Net &net)
{
	RawServer server(net);

	return server.address();
}

// An entry instance behind a slow link, with a control instance.
struct Instance {
	Gateway gateway{ 0, LINK_KBIT_PER_S };
	Net &net = gateway.net;
	struct gw &gw = gateway.gw;
	SlowLink link{ net, LINK_KBIT_PER_S };
	std::string callers, seed;
	std::unique_ptr<Control> control;
	struct loop_timer *timer = loop_timer_create(net.loop, on_tick, this);

	Instance()
	{
		struct set_cluster *cluster = &gateway.settings.cluster;
		std::string address = free_address(net);

		callers = link.enter(http_server_address(gw.callers), true);
		seed = link.enter(address, false);
		control = std::make_unique<Control>(net, seed, address);
		snprintf(cluster->seeds[0], ADDRESS_BYTES_MAX, "%s",
			 seed.c_str());
		cluster->nr_seeds = 1;
		cluster->peer_port =
			(uint16_t)std::stoi(seed.substr(seed.rfind(':') + 1));
		gw.incarnation = 11;
		EXPECT_EQ(0, gw_link_open(&gw));
		loop_timer_set(timer, 0);
		EXPECT_TRUE(net.until([this] { return gw.links != nullptr; }));
		net.run_ms(300);
	}

	~Instance()
	{
		loop_timer_destroy(timer);
		gw_link_close(&gw);
	}

	static void on_tick(void *arg)
	{
		auto self = (Instance *)arg;

		loop_timer_set(self->timer, 20);
		gw_link_tick(&self->gw);
		gw_request_tick(&self->gw);
		gw_net_tick(&self->gw);
	}

	std::string upload(const std::string &id)
	{
		return "POST /read/" + id +
		       " HTTP/1.1\r\nHost: t.example\r\nX-Request-Id: " + id +
		       "\r\nX-Deadline-Ms: 10000\r\nContent-Length: " +
		       std::to_string(BODY_BYTES) + "\r\n\r\n" +
		       std::string(BODY_BYTES, 'x');
	}

	static bool has_response(const RawConn &caller)
	{
		return caller.received.find("\r\n\r\n") != std::string::npos;
	}
};

// A full link delays the head of a request. The time that it waits there
// belongs to the time limit of its route, though this instance cannot see it:
// requests were held as much longer as the head had waited.
TEST(GatewayNet, TimeLimitCountsTheWaitForAFullLink)
{
	Instance instance;
	Net &net = instance.net;
	RawConn first(net, instance.callers.c_str());
	RawConn second(net, instance.callers.c_str());
	RawConn third(net, instance.callers.c_str());
	RawConn caller(net, instance.callers.c_str());
	uint64_t start_ms, took_ms;

	instance.gateway.server.answers = false;
	// The caller has used its connection before.
	caller.send("GET /none HTTP/1.1\r\nHost: t.example\r\n\r\n");
	ASSERT_TRUE(net.until([&] { return Instance::has_response(caller); }));
	caller.received.clear();
	first.send(instance.upload("large-1"));
	second.send(instance.upload("large-2"));
	third.send(instance.upload("large-3"));
	ASSERT_TRUE(net.until(
		[&] { return instance.link.longest_bytes > 2 * BODY_BYTES; }));
	net.run_ms(100);
	EXPECT_GT(instance.link.wait_ms(), 2 * HELD_MS) << "the link is full";
	start_ms = clk_now_ms(net.clk);
	caller.send("GET /read/1 HTTP/1.1\r\nHost: t.example\r\n"
		    "X-Request-Id: id-1\r\nX-Deadline-Ms: 8000\r\n\r\n");
	ASSERT_TRUE(net.until([&] { return Instance::has_response(caller); },
			      2 * ROUTE_TIMEOUT_MS));
	EXPECT_NE(std::string::npos, caller.received.find(" 504 "))
		<< caller.received;
	took_ms = clk_now_ms(net.clk) - start_ms;
	EXPECT_LE(took_ms, ROUTE_TIMEOUT_MS + HELD_MS);
	EXPECT_GE(took_ms, ROUTE_TIMEOUT_MS - HELD_MS);
}

// Packets that wait for the own link were taken for servers that cannot be
// reached: instances relayed their requests, which filled more links. Callers
// were sent to full instances while others had room.
TEST(GatewayNet, FullLinkIsNoticedAndReported)
{
	Instance instance;
	Net &net = instance.net;
	RawConn first(net, instance.callers.c_str());
	RawConn second(net, instance.callers.c_str());
	RawConn third(net, instance.callers.c_str());
	RawConn fourth(net, instance.callers.c_str());

	EXPECT_EQ((uint32_t)GW_CONNECT_TIMEOUT_MS,
		  gw_connect_timeout_ms(&instance.gw));
	first.send(instance.upload("large-1"));
	second.send(instance.upload("large-2"));
	ASSERT_TRUE(net.until([&] {
		return gw_connect_timeout_ms(&instance.gw) >=
		       GW_CONNECT_TIMEOUT_MS + 300;
	}));
	// A burst does not count; one that lasts does.
	EXPECT_FALSE(instance.gw.net.is_full);
	third.send(instance.upload("large-3"));
	fourth.send(instance.upload("large-4"));
	ASSERT_TRUE(net.until([&] { return instance.gw.net.is_full; }));
	EXPECT_GT(instance.link.longest_bytes, BODY_BYTES);
	ASSERT_TRUE(net.until([&] { return !instance.gw.net.is_full; }));
	EXPECT_EQ((uint32_t)GW_CONNECT_TIMEOUT_MS,
		  gw_connect_timeout_ms(&instance.gw));
}

// A body that the link cannot carry to a server in time was received, waited
// for the link and was refused when its time was up.
TEST(GatewayNet, BodyThatCannotBeCarriedInTimeIsRefusedAtOnce)
{
	Instance instance;
	Net &net = instance.net;
	RawConn caller(net, instance.callers.c_str());
	std::string upload = instance.upload("large-1");
	const std::string deadline = "X-Deadline-Ms: 10000";
	uint64_t start_ms = clk_now_ms(net.clk);

	// The link needs 400 ms in each direction.
	upload.replace(upload.find(deadline), deadline.size(),
		       "X-Deadline-Ms: 700");
	caller.send(upload);
	ASSERT_TRUE(net.until([&] { return Instance::has_response(caller); }));
	EXPECT_NE(std::string::npos, caller.received.find(" 503 "));
	EXPECT_LE(clk_now_ms(net.clk) - start_ms, 250u);
	EXPECT_TRUE(instance.gateway.server.runs.empty());
}

// A connection to control that is established while the link is full takes
// long: measured against itself it showed no wait.
TEST(GatewayNet, NewConnectionKnowsTheShortestRoundTrip)
{
	Instance instance;
	Net &net = instance.net;
	std::vector<std::unique_ptr<RawConn>> callers;
	struct peer_link *link = instance.gw.links->link;
	auto fill = [&] {
		if (instance.link.wait_ms() > 600)
			return true;
		callers.push_back(std::make_unique<RawConn>(
			net, instance.callers.c_str()));
		callers.back()->send(instance.upload("large"));
		return false;
	};

	ASSERT_TRUE(net.until([&] { return fill(); }));
	for (auto &path : instance.link.paths)
		if (!path->to_inner && path->inner) {
			loop_conn_close(path->inner);
			SlowLink::on_inner_closed(path.get(), nullptr,
						  LOOP_CLOSE_BY_PEER);
		}
	ASSERT_TRUE(net.until([&] {
		fill();
		return instance.gw.links && instance.gw.links->link != link;
	}));
	ASSERT_TRUE(net.until([&] {
		fill();
		return gw_net_delay_ms(&instance.gw) > HELD_MS;
	}));
}

} // namespace
