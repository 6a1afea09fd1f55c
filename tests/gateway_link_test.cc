// Tests what an entry instance reports to the leader and how it applies the
// leader's grants. The test takes the part of the leader.
#include <cstring>
#include <string>

extern "C" {
#include "gateway_internal.h"
}
#include "net_fixture.h"

namespace
{

const uint32_t RATE_MILLI = 40000;
const uint32_t SHARE = 60;
const uint64_t TERM = 3;

// The leader: counts the reports, and sends feeds and grants when told to.
struct Leader {
	struct peer_node *node = nullptr;
	struct peer_link *link = nullptr;
	std::string address;
	int subscriptions = 0, reports = 0;
	uint64_t sequence = 0; // of the last report
	uint32_t held = 0; // in the last report
	uint32_t rate_milli = RATE_MILLI; // in the plan

	explicit Leader(Net &net)
	{
		// The name of a control instance is its address, which has to
		// be known before the node listens on it.
		struct loop_listener *listener;

		EXPECT_EQ(LOOP_OK, loop_listen(net.loop, "127.0.0.1:0",
					       RawServer::on_accept, nullptr,
					       &listener));
		address = loop_listener_address(listener);
		loop_listener_destroy(listener);

		const struct peer_ops ops = { on_up, on_down, on_frame,
					      nullptr };
		struct peer_settings settings = {};

		settings.name = address.c_str();
		settings.role = AW__ROLE__ROLE_CONTROL;
		settings.zone = "a1";
		settings.incarnation = 7;
		settings.secret = (const uint8_t *)"";
		settings.listen_address = address.c_str();
		EXPECT_EQ(LOOP_OK, peer_node_create(net.loop, &settings, &ops,
						    this, &node));
		peer_node_set_leader(node, address.c_str(), TERM);
	}

	~Leader()
	{
		peer_node_destroy(node);
	}

	static void on_up(void *arg, struct peer_link *link)
	{
		((Leader *)arg)->link = link;
	}

	static void on_down(void *arg, struct peer_link *)
	{
		((Leader *)arg)->link = nullptr;
	}

	static void on_frame(void *arg, struct peer_link *,
			     const Aw__Frame *frame)
	{
		auto self = (Leader *)arg;

		if (frame->body_case == AW__FRAME__BODY_SUBSCRIBE)
			self->subscriptions++;
		if (frame->body_case != AW__FRAME__BODY_RATE_REPORT)
			return;
		self->reports++;
		self->sequence = frame->rate_report->sequence;
		if (frame->rate_report->n_shares)
			self->held = frame->rate_report->shares[0]->held;
	}

	// Sends a plan with one customer.
	void send_plan(uint64_t index)
	{
		Aw__PlanCustomer customer = AW__PLAN_CUSTOMER__INIT;
		Aw__PlanCustomer *customers[] = { &customer };
		Aw__Plan plan = AW__PLAN__INIT;
		Aw__Frame frame = AW__FRAME__INIT;
		Aw__Feed feed = AW__FEED__INIT;

		customer.name = (char *)"kim";
		customer.rate_milli_per_s = rate_milli;
		plan.index = plan.version = index;
		plan.customers = customers;
		plan.n_customers = 1;
		feed.term = TERM;
		feed.plan = &plan;
		feed.plan_index = index;
		frame.body_case = AW__FRAME__BODY_FEED;
		frame.feed = &feed;
		ASSERT_EQ(LOOP_OK, peer_send(link, &frame));
	}

	void grant(uint64_t to_report, uint32_t share)
	{
		Aw__RateShare granted = AW__RATE_SHARE__INIT;
		Aw__RateShare *shares[] = { &granted };
		Aw__RateGrant grant = AW__RATE_GRANT__INIT;
		Aw__Frame frame = AW__FRAME__INIT;

		granted.customer = (char *)"kim";
		granted.held = share;
		grant.term = TERM;
		grant.sequence = to_report;
		grant.shares = shares;
		grant.n_shares = 1;
		frame.body_case = AW__FRAME__BODY_RATE_GRANT;
		frame.rate_grant = &grant;
		ASSERT_EQ(LOOP_OK, peer_send(link, &frame));
	}
};

class GatewayLink : public ::testing::Test
{
protected:
	Net net;
	// The clock of the instance; the connections use the clock of the loop.
	struct clk *clk = clk_create_paused(1000000);
	Leader leader{ net };
	struct set_settings settings = {};
	struct gw gw = {};

	void SetUp() override
	{
		struct set_cluster *cluster = &settings.cluster;
		size_t colon = leader.address.rfind(':');

		snprintf(settings.name, sizeof(settings.name), "entry-0");
		snprintf(settings.zone, sizeof(settings.zone), "a1");
		snprintf(cluster->region, sizeof(cluster->region), "ra");
		snprintf(cluster->zones[0].name, NAME_BYTES_MAX, "a1");
		snprintf(cluster->zones[0].region, NAME_BYTES_MAX, "ra");
		cluster->nr_zones = 1;
		snprintf(cluster->seeds[0], ADDRESS_BYTES_MAX, "%s",
			 leader.address.c_str());
		cluster->nr_seeds = 1;
		cluster->peer_port =
			(uint16_t)std::stoi(leader.address.substr(colon + 1));
		cluster->bounds.rate_window_ms = 5000;
		gw.settings = &settings;
		gw.clk = clk;
		gw.loop = net.loop;
		gw.incarnation = 11;
		gw.counters = ctr_set_create();
		gw.plan = plan_create();
		gw.topo = topo_create(clk);
		gw.steer = steer_create(clk, cluster, "a1", "entry-0");
		ASSERT_EQ(0, gw_reach_open(&gw));
		ASSERT_EQ(0, gw_crash_open(&gw));
		ASSERT_EQ(0, gw_link_open(&gw));
	}

	void TearDown() override
	{
		struct gw_customer *customer, *next;

		gw_link_close(&gw);
		gw_crash_close(&gw);
		gw_reach_close(&gw);
		steer_destroy(gw.steer);
		topo_destroy(gw.topo);
		plan_destroy(gw.plan);
		HASH_ITER(hh, gw.customers, customer, next)
		{
			HASH_DEL(gw.customers, customer);
			free(customer);
		}
		ctr_set_destroy(gw.counters);
		clk_destroy(clk);
	}

	bool tick_until(std::function<bool()> condition)
	{
		return net.until([this, condition] {
			gw_link_tick(&gw);
			return condition();
		});
	}

	// Waits until the leader has a further report.
	bool is_reported()
	{
		int before = leader.reports;

		return tick_until(
			[this, before] { return leader.reports > before; });
	}

	void change_plan(uint64_t index)
	{
		leader.send_plan(index);
		ASSERT_TRUE(net.until([this, index] {
			return plan_index(gw.plan) == index;
		}));
	}

	void grant(uint64_t to_report)
	{
		leader.grant(to_report, SHARE);
		ASSERT_TRUE(net.until([this, to_report] {
			return gw.granted_sequence == to_report;
		}));
	}

	// Sends the first plan and waits for the first report.
	void begin()
	{
		ASSERT_TRUE(tick_until(
			[this] { return leader.subscriptions > 0; }));
		change_plan(1);
		ASSERT_TRUE(is_reported());
	}

	// Returns how many requests are admitted now.
	uint32_t admitted()
	{
		struct gw_customer *customer;
		uint32_t nr = 0;

		HASH_FIND_STR(gw.customers, "kim", customer);
		while (nr < 2 * SHARE &&
		       !share_bucket_take(&customer->bucket, gw_now_ms(&gw)))
			nr++;
		return nr;
	}
};

// The grant was taken for expired, and a tenth of the share was left: customers
// were refused for a window after a change of the plan.
TEST_F(GatewayLink, GrantInFlightDuringAPlanChangeIsValid)
{
	begin();
	clk_advance_ms(clk, 100);
	change_plan(2);
	grant(leader.sequence);
	EXPECT_EQ(SHARE, admitted());
	ASSERT_TRUE(is_reported());
	EXPECT_EQ(SHARE, leader.held) << "the share that the leader counts";
}

// A customer that the change added has almost no share before its first grant.
TEST_F(GatewayLink, PlanChangeIsReportedAtOnceAndOnce)
{
	begin();
	grant(leader.sequence);
	clk_advance_ms(clk, 20);
	int before = leader.reports;
	change_plan(2);
	ASSERT_TRUE(is_reported());
	for (int i = 0; i < 5; i++) {
		clk_advance_ms(clk, 20);
		gw_link_tick(&gw);
		net.run_ms(5);
	}
	EXPECT_EQ(before + 1, leader.reports);
}

// The leader gives the share to others SHARE_LIFETIME_MS after the last report
// that it has received. A change of the plan after that report does not make
// the share valid for longer, in any order of change and grant.
TEST_F(GatewayLink, PlanChangeDoesNotExtendAShare)
{
	begin();
	grant(leader.sequence);
	clk_advance_ms(clk, 600);
	ASSERT_TRUE(is_reported());
	clk_advance_ms(clk, 300);
	change_plan(2);
	grant(leader.sequence);
	change_plan(3);
	clk_advance_ms(clk, SHARE_LIFETIME_MS - 301);
	EXPECT_EQ(SHARE, admitted());
	clk_advance_ms(clk, 6000);
	EXPECT_LE(admitted(), SHARE / 10 + 1);
}

// A lower rate applies at once, also to a share that was granted before. The
// grant that is in flight was given under the new rate, as the leader sends its
// grants and feeds in order.
TEST_F(GatewayLink, LoweredRateLimitsTheShare)
{
	begin();
	grant(leader.sequence);
	clk_advance_ms(clk, 600);
	ASSERT_TRUE(is_reported());
	leader.rate_milli = RATE_MILLI / 4;
	change_plan(2);
	EXPECT_EQ(SHARE / 4, admitted());
	leader.grant(leader.sequence, SHARE / 4 + 2);
	ASSERT_TRUE(net.until(
		[this] { return gw.granted_sequence == leader.sequence; }));
	EXPECT_EQ(2u, admitted());
}

} // namespace
