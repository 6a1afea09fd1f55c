// Tests the table of servers: delayed and reordered heartbeats, reused
// addresses, silent servers, and feeds to followers.
#include <cstring>
#include <string>

#include <gtest/gtest.h>

#include "topo.h"

class Topo : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(1000000);
	struct topo *topo = topo_create(clk);
	struct topo *follower = topo_create(clk);
	uint64_t fed_version = 0;

	void SetUp() override
	{
		topo_become_leader(topo, 1);
	}

	~Topo() override
	{
		topo_destroy(topo);
		topo_destroy(follower);
		clk_destroy(clk);
	}

	enum topo_heartbeat_result heartbeat(
		const char *id, uint64_t incarnation, uint64_t sequence,
		const char *address = "10.0.0.1:80", uint32_t cold_ms = 0)
	{
		Aw__Server server = AW__SERVER__INIT;

		server.id = (char *)id;
		server.upstream = (char *)"u";
		server.address = (char *)address;
		server.zone = (char *)"z1";
		server.slots = 4;
		server.incarnation = incarnation;
		server.sequence = sequence;
		server.cold_left_ms = cold_ms;
		return topo_heartbeat(topo, &server);
	}

	void feed()
	{
		Aw__Feed message = AW__FEED__INIT;

		message.term = topo_term(topo);
		ASSERT_EQ(0, topo_fill_feed(topo, fed_version, &message));
		ASSERT_EQ(0, topo_apply_feed(follower, &message));
		fed_version = topo_version(topo);
		topo_feed_release(&message);
	}
};

TEST_F(Topo, DelayedHeartbeatChangesNothing)
{
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 10, 2));
	EXPECT_EQ(TOPO_STALE, heartbeat("s1", 10, 2));
	EXPECT_EQ(TOPO_STALE, heartbeat("s1", 10, 1));
	EXPECT_EQ(TOPO_STALE, heartbeat("s1", 9, 5));
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 11, 1));
}

// A heartbeat that a network partition delayed must not give the address back
// to the old server after another one has started there.
TEST_F(Topo, LatestServerAtAnAddressOwnsIt)
{
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("old", 10, 1));
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("new", 20, 1));
	EXPECT_EQ(nullptr, topo_find(topo, "old"));
	EXPECT_EQ(TOPO_STALE, heartbeat("old", 10, 2));
	EXPECT_NE(nullptr, topo_find(topo, "new"));
}

// Another writer's entry of a service that no plan names must not displace a
// server that requests are sent to, whenever it claims to have started.
TEST_F(Topo, UnplannedServerTakesNoIdOrAddress)
{
	auto unplanned = [&](const char *id, uint64_t incarnation) {
		Aw__Server server = AW__SERVER__INIT;

		server.id = (char *)id;
		server.upstream = (char *)"unnamed";
		server.address = (char *)"10.0.0.1:80";
		server.zone = (char *)"z1";
		server.slots = 4;
		server.incarnation = incarnation;
		server.sequence = 1000;
		return topo_heartbeat(topo, &server);
	};

	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 10, 1));
	EXPECT_EQ(TOPO_ACCEPTED, unplanned("odd", 20)) << "all are planned";
	topo_set_planned(
		topo,
		[](void *, const char *upstream) {
			return !strcmp(upstream, "u");
		},
		nullptr);
	// A planned one takes both back.
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 10, 2));
	EXPECT_EQ(nullptr, topo_find(topo, "odd"));
	EXPECT_EQ(TOPO_STALE, unplanned("odd", 20));
	EXPECT_EQ(TOPO_STALE, unplanned("s1", 20));
	EXPECT_STREQ("u", topo_find(topo, "s1")->upstream);
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 10, 3));
	EXPECT_EQ(TOPO_STALE, heartbeat("s1", 10, 3));
	EXPECT_EQ(TOPO_STALE, heartbeat("s0", 9, 4));
	topo_leave(topo, "s1", 10);
	EXPECT_EQ(TOPO_ACCEPTED, unplanned("s1", 20));
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 10, 4));
	EXPECT_STREQ("u", topo_find(topo, "s1")->upstream);
}

// A departure that named an unknown upstream ended the server with that id.
TEST_F(Topo, UnplannedServerEndsNoOther)
{
	Aw__Server server = AW__SERVER__INIT;
	auto may_leave = [&](const char *id, const char *upstream) {
		server.id = (char *)id;
		server.upstream = (char *)upstream;
		return topo_may_leave(topo, &server);
	};

	server.address = (char *)"10.0.0.2:80";
	server.zone = (char *)"z1";
	server.slots = 4;
	server.incarnation = 20;
	topo_set_planned(
		topo,
		[](void *, const char *upstream) {
			return !strcmp(upstream, "u");
		},
		nullptr);
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 10, 1));
	EXPECT_FALSE(may_leave("s1", "unnamed"));
	EXPECT_FALSE(may_leave("s2", "unnamed")) << "may be listed later";
	EXPECT_TRUE(may_leave("s1", "u"));
	EXPECT_TRUE(may_leave("s2", "u"));
	server.id = (char *)"own";
	server.upstream = (char *)"unnamed";
	EXPECT_EQ(TOPO_ACCEPTED, topo_heartbeat(topo, &server));
	EXPECT_TRUE(may_leave("own", "unnamed"));
	EXPECT_FALSE(may_leave("own", "other"));
}

TEST_F(Topo, InvalidHeartbeatAddsNoServer)
{
	EXPECT_EQ(TOPO_INVALID, heartbeat("", 1, 1));
	EXPECT_EQ(TOPO_INVALID, heartbeat("s1", 1, 1, ""));
	EXPECT_EQ(0u, topo_nr_servers(topo));
}

// An entry instance can open no connection to such an address, so requests that
// were given to the server would be refused.
TEST_F(Topo, ServerWithoutUsableAddressIsNotAdded)
{
	const std::string addresses[] = { "10.0.0.1",
					  "10.0.0.1:",
					  "10.0.0.1:0",
					  "10.0.0.1:65536",
					  "10.0.0.1:99999",
					  "10.0.0.1:-1",
					  "10.0.0.1:8080x",
					  "10.0.0.1:1e3",
					  "10.0.0.1: 80",
					  ":80",
					  "host.example:80",
					  "10.0.0:80",
					  "10.0.0.256:80",
					  "::1:80",
					  "[::1]",
					  "[::1]:0",
					  "[::1:80",
					  "0.0.0.0:80",
					  "[::]:80",
					  "10.0.0.1:80\n",
					  " 10.0.0.1:80",
					  "10.0.0.1\xff:80",
					  std::string(ADDRESS_BYTES_MAX, '1') +
						  ":80",
					  "http://10.0.0.1:80" };

	for (const auto &address : addresses)
		EXPECT_EQ(TOPO_INVALID, heartbeat("s1", 1, 1, address.c_str()))
			<< address;
	EXPECT_EQ(0u, topo_nr_servers(topo));
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s1", 1, 1, "10.0.0.1:65535"));
	EXPECT_EQ(TOPO_ACCEPTED, heartbeat("s2", 1, 1, "[fd00::1]:1"));
}

// Names are written to logs and headers, and have limited space in the table.
TEST_F(Topo, ServerWithUnusableNameIsNotAdded)
{
	const std::string names[] = { "",     std::string(NAME_BYTES_MAX, 'n'),
				      "a\nb", "a\rb",
				      "a\tb", "a\x7f" };

	for (const auto &name : names) {
		EXPECT_EQ(TOPO_INVALID, heartbeat(name.c_str(), 1, 1)) << name;
		for (int field = 0; field < 2; field++) {
			Aw__Server server = AW__SERVER__INIT;

			server.id = (char *)"s1";
			server.upstream = (char *)"u";
			server.zone = (char *)"z1";
			server.address = (char *)"10.0.0.1:80";
			server.slots = 1;
			(field ? server.upstream : server.zone) =
				(char *)name.c_str();
			EXPECT_EQ(TOPO_INVALID, topo_heartbeat(topo, &server))
				<< name << " in field " << field;
		}
	}
	EXPECT_EQ(0u, topo_nr_servers(topo));
}

// A leader of another version may accept entries that this one does not. The
// other entries of its feed still apply.
TEST_F(Topo, UnusableServersInAFeedAreSkipped)
{
	Aw__Server servers[6], *list[6];
	Aw__Feed message = AW__FEED__INIT;

	for (size_t i = 0; i < 6; i++) {
		aw__server__init(&servers[i]);
		servers[i].id = (char *)(i ? "odd" : "good");
		servers[i].upstream = (char *)"u";
		servers[i].zone = (char *)"z1";
		servers[i].address = (char *)"10.0.0.1:80";
		servers[i].slots = 1;
		list[5 - i] = &servers[i];
	}
	servers[1].address = (char *)"10.0.0.1:99999";
	servers[2].slots = UINT32_MAX;
	servers[3].cold_left_ms = UINT32_MAX;
	servers[4].state = (Aw__ServerState)99;
	aw__server__init(&servers[5]);
	message.term = 1;
	message.table_whole = true;
	message.servers = list;
	message.n_servers = 6;
	EXPECT_EQ(0, topo_apply_feed(follower, &message));
	EXPECT_EQ(1u, topo_nr_servers(follower));
	EXPECT_NE(nullptr, topo_find(follower, "good"));
}

TEST_F(Topo, SilentServersAreMarkedAndExpire)
{
	heartbeat("s1", 1, 1);
	clk_advance_ms(clk, TOPO_SILENT_MS);
	topo_tick(topo);
	ASSERT_NE(nullptr, topo_find(topo, "s1"));
	EXPECT_EQ(AW__SERVER_STATE__SERVER_SILENT,
		  topo_find(topo, "s1")->state);
	heartbeat("s1", 1, 2);
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE,
		  topo_find(topo, "s1")->state);
	clk_advance_ms(clk, TOPO_SERVER_EXPIRY_MS);
	topo_tick(topo);
	EXPECT_EQ(nullptr, topo_find(topo, "s1"));
}

TEST_F(Topo, FollowerReachesTheSameServers)
{
	heartbeat("s1", 1, 1, "10.0.0.1:80");
	heartbeat("s2", 1, 1, "10.0.0.2:80");
	feed();
	EXPECT_EQ(2u, topo_nr_servers(follower));
	topo_leave(topo, "s1", 1);
	heartbeat("s3", 1, 1, "10.0.0.3:80", 3000);
	feed();
	EXPECT_EQ(nullptr, topo_find(follower, "s1"));
	ASSERT_NE(nullptr, topo_find(follower, "s3"));
	EXPECT_EQ(clk_now_ms(clk) + 3000,
		  topo_find(follower, "s3")->cold_until_ms);
}

// A follower that becomes the leader must not lose servers whose heartbeats
// it has never received itself.
TEST_F(Topo, NewLeaderContinuesWithItsCopy)
{
	heartbeat("s1", 1, 1);
	feed();
	clk_advance_ms(clk, TOPO_SILENT_MS - 100);
	topo_become_leader(follower, 2);
	topo_tick(follower);
	clk_advance_ms(clk, TOPO_SILENT_MS - 100);
	topo_tick(follower);
	ASSERT_NE(nullptr, topo_find(follower, "s1"));
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE,
		  topo_find(follower, "s1")->state);
}

TEST_F(Topo, FeedOfAnOlderTermIsIgnored)
{
	Aw__Feed message = AW__FEED__INIT;

	heartbeat("s1", 1, 1);
	topo_become_leader(topo, 5);
	feed();
	message.term = 4;
	message.table_whole = true;
	ASSERT_EQ(0, topo_apply_feed(follower, &message));
	EXPECT_EQ(1u, topo_nr_servers(follower));
}

// Servers of a zone that takes traffic again count as cold, although a
// heartbeat that was sent before reports them as warm.
TEST_F(Topo, ServersOfAReturningZoneCountAsCold)
{
	heartbeat("s1", 1, 1);
	topo_mark_zone_cold(
		topo, "z1", [](void *, const char *) { return 3000u; },
		nullptr);
	heartbeat("s1", 1, 2);
	EXPECT_GT(topo_find(topo, "s1")->cold_until_ms, clk_now_ms(clk));
	clk_advance_ms(clk, 1700);
	heartbeat("s1", 1, 3);
	EXPECT_EQ(0u, topo_find(topo, "s1")->cold_until_ms);
}

// An instance that loses or regains its servers must reach the look-ups of all
// control instances at once: callers of the others are served better.
TEST_F(Topo, LostServersOfAnInstanceAreFed)
{
	Aw__Instance instance = AW__INSTANCE__INIT;

	instance.name = (char *)"e1";
	instance.zone = (char *)"z1";
	instance.address = (char *)"10.0.0.9:80";
	const struct {
		bool unreachable;
		bool changed;
	} reports[] = { { false, true },
			{ true, true },
			{ true, false },
			{ false, true } };
	for (const auto &report : reports) {
		uint64_t version = topo_instances_version(topo);
		Aw__Feed message = AW__FEED__INIT;
		size_t nr;

		instance.servers_unreachable = report.unreachable;
		ASSERT_EQ(0, topo_instance_up(topo, &instance, 7));
		EXPECT_EQ(report.changed,
			  topo_instances_version(topo) != version);
		message.term = topo_term(topo);
		message.lists_included = true;
		ASSERT_EQ(0, topo_fill_feed_instances(topo, &message));
		ASSERT_EQ(0, topo_apply_feed(follower, &message));
		topo_feed_release(&message);
		auto listed = topo_instances(follower, &nr);
		ASSERT_EQ(1u, nr);
		EXPECT_EQ(report.unreachable, listed[0]->servers_unreachable);
	}
}

// Look-ups avoid full links only if every change of them is passed on.
TEST_F(Topo, FullLinkIsPassedOn)
{
	Aw__Instance instance = AW__INSTANCE__INIT;
	uint64_t version;
	size_t nr;

	instance.name = (char *)"e1";
	instance.zone = (char *)"z";
	instance.address = (char *)"10.0.0.9:80";
	ASSERT_EQ(0, topo_instance_up(topo, &instance, 7));
	for (bool full : { true, false }) {
		version = topo_instances_version(topo);
		instance.link_full = full;
		ASSERT_EQ(0, topo_instance_up(topo, &instance, 7));
		EXPECT_NE(version, topo_instances_version(topo));
		EXPECT_EQ(full, topo_instances(topo, &nr)[0]->link_full);
	}
}

TEST_F(Topo, LostInstanceStaysListedForAShortTime)
{
	Aw__Instance instance = AW__INSTANCE__INIT;
	size_t nr;

	instance.name = (char *)"e1";
	ASSERT_EQ(0, topo_instance_up(topo, &instance, 7));
	topo_instance_down(topo, "e1", 6);
	clk_advance_ms(clk, TOPO_INSTANCE_EXPIRY_MS);
	topo_tick(topo);
	topo_instances(topo, &nr);
	EXPECT_EQ(1u, nr)
		<< "the link of an older process with this name was lost";
	topo_instance_down(topo, "e1", 7);
	clk_advance_ms(clk, TOPO_INSTANCE_EXPIRY_MS - 1);
	topo_tick(topo);
	topo_instances(topo, &nr);
	EXPECT_EQ(1u, nr);
	clk_advance_ms(clk, 1);
	topo_tick(topo);
	topo_instances(topo, &nr);
	EXPECT_EQ(0u, nr);
}
