// Tests the leader's table of backend servers and entry instances with messages
// that are delayed, repeated or lost, and the decision which requests crash
// servers.
#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "quarantine.h"
#include "registry.h"

namespace
{

struct RegCase : testing::Test {
	struct clk *clk = clk_create_paused(10000000);
	struct reg *reg = reg_create(clk, 5);

	~RegCase() override
	{
		reg_destroy(reg);
		clk_destroy(clk);
	}
	enum reg_error server(const char *address, uint64_t incarnation,
			      uint64_t sequence, bool leaves = false,
			      uint32_t age_ms = 0)
	{
		std::string up = "u", zone = "z", addr = address;
		Aw__Server msg;

		aw__server__init(&msg);
		msg.upstream = &up[0];
		msg.zone = &zone[0];
		msg.address = &addr[0];
		msg.slots = 4;
		msg.incarnation = incarnation;
		msg.sequence = sequence;
		msg.age_ms = age_ms;
		msg.state = leaves ? AW__SERVER_STATE__SERVER_LEAVING :
				     AW__SERVER_STATE__SERVER_ACTIVE;
		return reg_update_server(reg, &msg);
	}
	enum reg_error report(const char *name, uint64_t incarnation,
			      uint64_t sequence)
	{
		std::string text = name, zone = "z", address = "10.0.0.1:1";
		Aw__Instance instance;
		Aw__Report msg;

		aw__instance__init(&instance);
		aw__report__init(&msg);
		instance.name = &text[0];
		instance.zone = &zone[0];
		instance.address = &address[0];
		msg.instance = &instance;
		msg.instance_incarnation = incarnation;
		msg.sequence = sequence;
		return reg_update_instance(reg, &msg);
	}
	size_t servers()
	{
		size_t nr;

		reg_tick(reg);
		reg_servers(reg, &nr);
		return nr;
	}
	size_t instances()
	{
		size_t nr;

		reg_tick(reg);
		reg_instances(reg, &nr);
		return nr;
	}
	Aw__ServerState state(const char *address)
	{
		reg_tick(reg);
		return reg_find_server(reg, address)->state;
	}
};

// Each row is an announcement after one with incarnation 5 and sequence 10.
TEST_F(RegCase, HigherIncarnationAndSequenceWin)
{
	const struct {
		uint64_t incarnation, sequence;
		bool leaves;
		enum reg_error expected;
		uint64_t then_incarnation;
		Aw__ServerState then_state;
	} rows[] = {
		{ 5, 11, false, REG_OK, 5, AW__SERVER_STATE__SERVER_ACTIVE },
		{ 5, 10, false, REG_OK, 5, AW__SERVER_STATE__SERVER_ACTIVE },
		{ 5, 9, false, REG_ERR_STALE, 5,
		  AW__SERVER_STATE__SERVER_ACTIVE },
		{ 4, 99, false, REG_ERR_STALE, 5,
		  AW__SERVER_STATE__SERVER_ACTIVE },
		{ 4, 99, true, REG_ERR_STALE, 5,
		  AW__SERVER_STATE__SERVER_ACTIVE },
		{ 6, 1, false, REG_OK, 6, AW__SERVER_STATE__SERVER_ACTIVE },
		{ 5, 11, true, REG_OK, 5, AW__SERVER_STATE__SERVER_LEAVING },
		{ 5, 2, true, REG_OK, 5, AW__SERVER_STATE__SERVER_LEAVING },
		{ 6, 1, true, REG_OK, 6, AW__SERVER_STATE__SERVER_LEAVING },
	};
	int n = 0;

	for (const auto &row : rows) {
		std::string address = "s" + std::to_string(n++);

		ASSERT_EQ(REG_OK, server(address.c_str(), 5, 10));
		EXPECT_EQ(row.expected, server(address.c_str(), row.incarnation,
					       row.sequence, row.leaves))
			<< "row " << n;
		const Aw__Server *now = reg_find_server(reg, address.c_str());
		EXPECT_EQ(row.then_incarnation, now->incarnation) << n;
		EXPECT_EQ(row.then_state, now->state) << n;
	}
}

// One odd entry must change nothing but itself.
TEST_F(RegCase, OddEntriesAreRefused)
{
	const uint64_t version = reg_version(reg);

	EXPECT_EQ(REG_ERR_INVALID, server("", 1, 1));
	EXPECT_EQ(REG_ERR_INVALID, server("10.0.0.1:1", 0, 1));
	EXPECT_EQ(REG_ERR_INVALID, server("", 1, 1, true));
	EXPECT_EQ(REG_ERR_INVALID,
		  server(std::string(5000, '1').c_str(), 1, 1));
	EXPECT_EQ(REG_ERR_STALE, server("10.0.0.1:1", 1, 1, false, UINT32_MAX));
	for (uint32_t slots : { 0u, REG_SLOTS_MAX + 1u, UINT32_MAX }) {
		Aw__Server msg = AW__SERVER__INIT;

		msg.upstream = (char *)"u";
		msg.zone = (char *)"z";
		msg.address = (char *)"10.0.0.1:1";
		msg.incarnation = 1;
		msg.slots = slots;
		EXPECT_EQ(REG_ERR_INVALID, reg_update_server(reg, &msg));
	}
	EXPECT_EQ(REG_ERR_INVALID, report("", 1, 1));
	EXPECT_EQ(REG_ERR_INVALID, report("e1", 0, 1));
	EXPECT_EQ(version, reg_version(reg));
	EXPECT_EQ(REG_OK, server("10.0.0.1:1", UINT64_MAX, UINT64_MAX));
	EXPECT_EQ(REG_OK, server("10.0.0.2:1", 1, 1));
	reg_tick(reg);
	EXPECT_NE(nullptr, reg_find_server(reg, "10.0.0.2:1"));
}

// A delayed announcement must not reactivate a server that has left.
TEST_F(RegCase, LeaveIsFinalForItsIncarnation)
{
	ASSERT_EQ(REG_OK, server("s", 5, 10));
	ASSERT_EQ(REG_OK, server("s", 5, 11, true));
	EXPECT_EQ(REG_ERR_LEFT, server("s", 5, 12));
	EXPECT_EQ(REG_ERR_LEFT, server("s", 5, 12, true));
	EXPECT_EQ(AW__SERVER_STATE__SERVER_LEAVING, state("s"));
	EXPECT_EQ(REG_OK, server("s", 6, 1));
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE, state("s"));
}

TEST_F(RegCase, TombstonesExpireAndAreNotRenewedByRelays)
{
	ASSERT_EQ(REG_OK, server("s", 5, 1, true));
	clk_advance_ms(clk, TOMBSTONE_MS - 1);
	EXPECT_EQ(REG_ERR_LEFT, server("s", 5, 1, true, TOMBSTONE_MS - 1));
	EXPECT_EQ(1u, servers());
	clk_advance_ms(clk, 1);
	EXPECT_EQ(0u, servers());
	EXPECT_EQ(REG_ERR_STALE, server("s", 5, 1, true, TOMBSTONE_MS + 1));
}

// Lost announcements must not make more than half of an upstream unusable.
TEST_F(RegCase, AtMostHalfOfAnUpstreamIsMarkedSilent)
{
	for (const char *address : { "s1", "s2", "s3", "s4" })
		ASSERT_EQ(REG_OK, server(address, 1, 1));
	clk_advance_ms(clk, SERVER_SILENT_MS + 1);
	server("s1", 1, 2);
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE, state("s2"));
	server("s2", 1, 2);
	EXPECT_EQ(AW__SERVER_STATE__SERVER_SILENT, state("s3"));
	EXPECT_EQ(AW__SERVER_STATE__SERVER_SILENT, state("s4"));
	uint64_t version = reg_version(reg);
	server("s3", 1, 2);
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE, state("s3"));
	EXPECT_GT(reg_version(reg), version);
	// A leaving server stays LEAVING even when no silent server is marked.
	server("s1", 1, 3, true);
	clk_advance_ms(clk, SERVER_SILENT_MS + 1);
	EXPECT_EQ(AW__SERVER_STATE__SERVER_LEAVING, state("s1"));
	EXPECT_EQ(AW__SERVER_STATE__SERVER_ACTIVE, state("s2"));
}

TEST_F(RegCase, HeartbeatsDoNotChangeTheTableVersion)
{
	server("s", 1, 1);
	report("i", 1, 1);
	uint64_t version = reg_version(reg);
	EXPECT_GT(version, 5u);
	for (uint64_t i = 2; i < 50; i++) {
		clk_advance_ms(clk, 1000);
		server("s", 1, i);
		report("i", 1, i);
		reg_tick(reg);
	}
	EXPECT_EQ(version, reg_version(reg));
}

TEST_F(RegCase, ReportsOfOldIncarnationsAndOldSequencesAreIgnored)
{
	EXPECT_EQ(REG_OK, report("i", 77, 5));
	EXPECT_EQ(REG_ERR_STALE, report("i", 77, 5));
	EXPECT_EQ(REG_ERR_STALE, report("i", 77, 4));
	EXPECT_EQ(REG_OK, report("i", 33, 1));
	EXPECT_EQ(REG_ERR_REPLACED, report("i", 77, 6));
	EXPECT_EQ(REG_OK, report("i", 33, 2));
	EXPECT_EQ(REG_ERR_INVALID, report("", 33, 3));
}

TEST_F(RegCase, SilentInstanceIsRemovedFromTheList)
{
	report("i1", 1, 1);
	report("i2", 1, 1);
	clk_advance_ms(clk, FLEET_LEASE_MS + 1);
	EXPECT_EQ(2u, instances()); // all silent: this process was suspended
	report("i1", 1, 2);
	EXPECT_EQ(1u, instances());
	report("i2", 1, 2);
	EXPECT_EQ(2u, instances());
}

struct QuarCase : testing::Test {
	struct clk *clk = clk_create_paused(10000000);
	struct quar *quar = quar_create(clk, 1, &quar_leased);

	~QuarCase() override
	{
		quar_destroy(quar);
		clk_destroy(clk);
	}
	void crash(uint8_t request, const char *address, const char *zone,
		   uint32_t age_ms = 0)
	{
		std::string text = address;
		uint8_t fingerprint[HASH_BYTES];
		Aw__CrashReport msg;

		memset(fingerprint, request, sizeof(fingerprint));
		aw__crash_report__init(&msg);
		msg.fingerprint.data = fingerprint;
		msg.fingerprint.len = sizeof(fingerprint);
		msg.server_address = &text[0];
		msg.server_incarnation = 1;
		msg.age_ms = age_ms;
		ASSERT_EQ(QUAR_OK, quar_add_crash(quar, &msg, zone));
	}
};

TEST_F(QuarCase, QuarantineNeedsCrashesOfTwoDifferentServers)
{
	crash(1, "s1", "z1");
	crash(1, "s1", "z1");
	crash(2, "s2", "z2");
	EXPECT_EQ(0u, quar_nr_listed(quar));
	crash(1, "s2", "z2");
	EXPECT_EQ(1u, quar_nr_listed(quar));
	clk_advance_ms(clk, QUARANTINE_MS);
	quar_tick(quar);
	EXPECT_EQ(0u, quar_nr_listed(quar));
}

// When a zone fails, the requests in flight there must not be quarantined.
TEST_F(QuarCase, ZoneFailureQuarantinesNoRequest)
{
	crash(1, "s1", "z1");
	crash(1, "s2", "z1");
	EXPECT_EQ(1u, quar_nr_listed(quar));
	uint64_t version = quar_version(quar);
	clk_advance_ms(clk, 1000);
	crash(2, "s3", "z1");
	crash(3, "s4", "z1");
	EXPECT_EQ(0u, quar_nr_listed(quar));
	EXPECT_GT(quar_version(quar), version);
	crash(2, "s5", "z1");
	crash(1, "s6", "z2");
	EXPECT_EQ(0u, quar_nr_listed(quar)); // only the crash of s6 counts
	clk_advance_ms(clk, QUAR_ZONE_FAILURE_MS + 1);
	crash(1, "s7", "z1");
	EXPECT_EQ(1u, quar_nr_listed(quar));
}

// When one request causes most of the crashes in a zone, this must not count as
// a zone failure: the request was forwarded further and crashed four of six
// servers.
TEST_F(QuarCase, CrashesOfOneRequestAreNoZoneFailure)
{
	crash(2, "s1", "z1");
	crash(1, "s2", "z1");
	crash(1, "s3", "z1");
	EXPECT_EQ(1u, quar_nr_listed(quar));
	crash(1, "s4", "z1");
	EXPECT_EQ(1u, quar_nr_listed(quar));
}

TEST_F(QuarCase, SpacedCrashesInOneZoneAreNoZoneFailure)
{
	for (const char *address : { "s1", "s2", "s3" }) {
		crash(1, address, "z1");
		clk_advance_ms(clk, QUAR_ZONE_FAILURE_MS + 1);
	}
	EXPECT_EQ(1u, quar_nr_listed(quar));
}

// Entry instances repeat their crash reports for QUARANTINE_MS. Repeated
// reports of old crashes must not add up to a zone failure, and crashes that a
// zone failure has cleared must not count later.
TEST_F(QuarCase, RepeatedCrashReportsChangeNothing)
{
	for (int round = 0; round < 3; round++) {
		crash(1, "s1", "z1", 30000);
		crash(1, "s2", "z1", 20000);
		crash(2, "s3", "z1", 10000);
		EXPECT_EQ(1u, quar_nr_listed(quar));
		for (const char *address : { "s4", "s5", "s6" })
			crash(address[1], address, "z2", 1000);
		EXPECT_EQ(1u, quar_nr_listed(quar));
	}
}

TEST_F(QuarCase, NewLeaderRestoresReportedQuarantines)
{
	uint8_t fingerprint[HASH_BYTES] = { 9 };
	Aw__Quarantine held, list[2];

	aw__quarantine__init(&held);
	held.fingerprint.data = fingerprint;
	held.fingerprint.len = sizeof(fingerprint);
	held.expires_in_ms = 5000;
	held.servers_crashed = 2;
	ASSERT_EQ(QUAR_OK, quar_restore(quar, &held));
	held.expires_in_ms = 4000;
	ASSERT_EQ(QUAR_OK, quar_restore(quar, &held));
	ASSERT_EQ(1u, quar_list(quar, list, 2));
	EXPECT_EQ(5000u, list[0].expires_in_ms);
	held.expires_in_ms = QUARANTINE_MS + 1;
	EXPECT_EQ(QUAR_ERR_INVALID, quar_restore(quar, &held));
}

} // namespace
