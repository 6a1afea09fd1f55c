// Tests the replicated state of a seeded cluster: service plan, evacuated
// zones, departures and quarantines, also after loading a snapshot.
#include <string>

#include <gtest/gtest.h>

#include "fleet.h"

class FleetService : public ::testing::Test
{
protected:
	struct fleet *fleet = fleet_create();
	uint64_t index = 0;

	~FleetService() override
	{
		fleet_destroy(fleet);
	}

	Aw__OpCode apply(Aw__Op &op)
	{
		Aw__OpResult *result;

		EXPECT_EQ(FLEET_OK, fleet_apply(fleet, ++index, &op, &result));
		Aw__OpCode code = result->code;
		aw__op_result__free_unpacked(result, nullptr);
		return code;
	}

	Aw__OpCode set_zone(const char *name, bool evacuated)
	{
		Aw__OpZone body = AW__OP_ZONE__INIT;
		Aw__Op op = AW__OP__INIT;

		body.zone = (char *)name;
		body.evacuated = evacuated;
		op.body_case = AW__OP__BODY_ZONE;
		op.zone = &body;
		return apply(op);
	}

	Aw__OpCode record_departure(const char *id, uint64_t incarnation)
	{
		Aw__OpDeparture body = AW__OP_DEPARTURE__INIT;
		Aw__Op op = AW__OP__INIT;

		body.server_id = (char *)id;
		body.incarnation = incarnation;
		op.body_case = AW__OP__BODY_DEPARTURE;
		op.departure = &body;
		return apply(op);
	}

	Aw__OpCode change_plan(uint64_t base, uint64_t version)
	{
		Aw__PlanChange body = AW__PLAN_CHANGE__INIT;
		uint8_t digest[HASH_BYTES] = { (uint8_t)version };
		Aw__Op op = AW__OP__INIT;

		body.base_version = base;
		body.version = version;
		body.whole = true;
		body.digest.data = digest;
		body.digest.len = sizeof(digest);
		op.body_case = AW__OP__BODY_PLAN_CHANGE;
		op.plan_change = &body;
		return apply(op);
	}

	size_t nr_zones() const
	{
		size_t nr;

		fleet_evacuated_zones(fleet, &nr);
		return nr;
	}
};

TEST_F(FleetService, ZonesAreEvacuatedAndRestored)
{
	EXPECT_EQ(AW__OP_CODE__OP_DONE, set_zone("z1", true));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, set_zone("z1", true));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, set_zone("z2", true));
	EXPECT_EQ(2u, nr_zones());
	EXPECT_EQ(AW__OP_CODE__OP_DONE, set_zone("z1", false));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, set_zone("z1", false));
	EXPECT_EQ(1u, nr_zones());
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, set_zone("", true));
}

// A server that has restarted with the same id has not departed.
TEST_F(FleetService, DepartureAppliesToOneIncarnation)
{
	record_departure("s1", 10);
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 10));
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 9));
	EXPECT_FALSE(fleet_has_departed(fleet, "s1", 11));
	EXPECT_FALSE(fleet_has_departed(fleet, "s2", 10));
	record_departure("s1", 5);
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 10));
}

TEST_F(FleetService, SnapshotKeepsPlanZonesAndDepartures)
{
	struct buf packed = BUF_INIT;
	struct fleet *loaded = fleet_create();

	EXPECT_EQ(AW__OP_CODE__OP_DONE, change_plan(0, 4));
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, change_plan(0, 5));
	set_zone("z1", true);
	record_departure("s1", 10);
	ASSERT_EQ(FLEET_OK, fleet_pack(fleet, &packed));
	ASSERT_EQ(FLEET_OK, fleet_load(loaded, packed.data, packed.len_bytes));
	std::swap(fleet, loaded);
	EXPECT_EQ(4u, plan_version(fleet_plan(fleet)));
	EXPECT_EQ(1u, nr_zones());
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 10));
	// A repeated change is recognized after loading the snapshot too.
	EXPECT_EQ(AW__OP_CODE__OP_DONE, change_plan(0, 4));
	EXPECT_EQ(4u, plan_version(fleet_plan(fleet)));
	buf_release(&packed);
	fleet_destroy(loaded);
}

// Operations with odd values, also such that earlier versions recorded, must not
// end the instances that apply them: apply() expects no error. A snapshot with
// them can be loaded, and the next operation is applied.
TEST_F(FleetService, OddOperationsAreRefusedOrApplied)
{
	const std::string names[] = { "",
				      std::string(NAME_BYTES_MAX, 'n'),
				      std::string(100000, 'n'),
				      "a b",
				      "a\nb",
				      "\xff\xfe",
				      "\x7f" };
	struct buf packed = BUF_INIT;
	struct fleet *loaded = fleet_create();
	Aw__Op empty = AW__OP__INIT;

	for (const auto &name : names) {
		EXPECT_EQ(AW__OP_CODE__OP_INVALID, set_zone(name.c_str(), true))
			<< name.substr(0, 80);
		set_zone(name.c_str(), false);
		EXPECT_EQ(AW__OP_CODE__OP_INVALID,
			  record_departure(name.c_str(), 1))
			<< name.substr(0, 80);
	}
	record_departure("s1", UINT64_MAX);
	record_departure("s1", 5);
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", UINT64_MAX));
	record_departure("s2", 0);
	EXPECT_EQ(AW__OP_CODE__OP_DONE, change_plan(0, UINT64_MAX));
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, change_plan(UINT64_MAX, 3));
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, change_plan(3, 4));
	apply(empty);
	for (int i = 0; i < 100; i++)
		set_zone(("z" + std::to_string(i)).c_str(), true);
	ASSERT_EQ(FLEET_OK, fleet_pack(fleet, &packed));
	ASSERT_EQ(FLEET_OK, fleet_load(loaded, packed.data, packed.len_bytes));
	std::swap(fleet, loaded);
	EXPECT_EQ(64u, nr_zones());
	EXPECT_EQ(UINT64_MAX, plan_version(fleet_plan(fleet)));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, set_zone("z1", false));
	buf_release(&packed);
	fleet_destroy(loaded);
}

class FleetQuarantine : public FleetService
{
protected:
	Aw__OpCode record_quarantine(uint32_t request, uint64_t until_ms,
				     uint64_t now_ms, bool trial = false,
				     size_t len_bytes = HASH_BYTES)
	{
		Aw__QuarantineRecord body = AW__QUARANTINE_RECORD__INIT;
		uint8_t fingerprint[HASH_BYTES] = { (uint8_t)request,
						    (uint8_t)(request >> 8) };
		Aw__Op op = AW__OP__INIT;

		body.fingerprint.data = fingerprint;
		body.fingerprint.len = len_bytes;
		body.until_ms = until_ms;
		body.trial = trial;
		op.time_ms = now_ms;
		op.body_case = AW__OP__BODY_QUARANTINE;
		op.quarantine = &body;
		return apply(op);
	}

	size_t nr_quarantines()
	{
		size_t nr;

		fleet_quarantines(fleet, &nr);
		return nr;
	}
};

// After a restart of all instances, a request that crashes servers must stay in
// quarantine, but not after it has expired.
TEST_F(FleetQuarantine, SurvivesSnapshotAndExpires)
{
	struct buf packed = BUF_INIT;
	size_t nr;

	EXPECT_EQ(AW__OP_CODE__OP_DONE, record_quarantine(1, 5000, 1000, true));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, record_quarantine(2, 9000, 1000));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, record_quarantine(1, 6000, 1000));
	ASSERT_EQ(FLEET_OK, fleet_pack(fleet, &packed));
	ASSERT_EQ(FLEET_OK, fleet_load(fleet, packed.data, packed.len_bytes));
	buf_release(&packed);
	ASSERT_EQ(2u, nr_quarantines());
	EXPECT_EQ(6000u, fleet_quarantines(fleet, &nr)[1]->until_ms);
	EXPECT_FALSE(fleet_quarantines(fleet, &nr)[1]->trial);
	EXPECT_EQ(AW__OP_CODE__OP_DONE, record_quarantine(2, 0, 1000));
	EXPECT_EQ(1u, nr_quarantines());
	EXPECT_EQ(AW__OP_CODE__OP_DONE, record_quarantine(3, 5999, 6000));
	EXPECT_EQ(0u, nr_quarantines());
}

TEST_F(FleetQuarantine, OldestIsDiscardedFirst)
{
	size_t nr;

	for (uint32_t request = 0; request < 3000; request++)
		EXPECT_EQ(AW__OP_CODE__OP_DONE,
			  record_quarantine(request, 2, 1));
	EXPECT_EQ(1024u, nr_quarantines());
	EXPECT_EQ((3000u - 1024u) & 255,
		  fleet_quarantines(fleet, &nr)[0]->fingerprint.data[0]);
	EXPECT_EQ(AW__OP_CODE__OP_INVALID,
		  record_quarantine(1, 2, 1, false, 3));
}
