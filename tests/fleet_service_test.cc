// Guards the replicated parts of a seeded cluster: plan, evacuated zones and
// departures, also through a snapshot.
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

	Aw__OpCode zone(const char *name, bool evacuated)
	{
		Aw__OpZone body = AW__OP_ZONE__INIT;
		Aw__Op op = AW__OP__INIT;

		body.zone = (char *)name;
		body.evacuated = evacuated;
		op.body_case = AW__OP__BODY_ZONE;
		op.zone = &body;
		return apply(op);
	}

	Aw__OpCode depart(const char *id, uint64_t incarnation)
	{
		Aw__OpDeparture body = AW__OP_DEPARTURE__INIT;
		Aw__Op op = AW__OP__INIT;

		body.server_id = (char *)id;
		body.incarnation = incarnation;
		op.body_case = AW__OP__BODY_DEPARTURE;
		op.departure = &body;
		return apply(op);
	}

	Aw__OpCode change(uint64_t base, uint64_t version)
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

TEST_F(FleetService, ZonesAreEvacuatedAndTakenBack)
{
	EXPECT_EQ(AW__OP_CODE__OP_DONE, zone("z1", true));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, zone("z1", true));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, zone("z2", true));
	EXPECT_EQ(2u, nr_zones());
	EXPECT_EQ(AW__OP_CODE__OP_DONE, zone("z1", false));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, zone("z1", false));
	EXPECT_EQ(1u, nr_zones());
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, zone("", true));
}

// A server that starts again under its id has not left.
TEST_F(FleetService, DepartureIsOfOneStart)
{
	depart("s1", 10);
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 10));
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 9));
	EXPECT_FALSE(fleet_has_departed(fleet, "s1", 11));
	EXPECT_FALSE(fleet_has_departed(fleet, "s2", 10));
	depart("s1", 5);
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 10));
}

TEST_F(FleetService, SnapshotKeepsWhatWasAcknowledged)
{
	struct buf packed = BUF_INIT;
	struct fleet *loaded = fleet_create();

	EXPECT_EQ(AW__OP_CODE__OP_DONE, change(0, 4));
	EXPECT_EQ(AW__OP_CODE__OP_VERSION_CONFLICT, change(0, 5));
	zone("z1", true);
	depart("s1", 10);
	ASSERT_EQ(FLEET_OK, fleet_pack(fleet, &packed));
	ASSERT_EQ(FLEET_OK, fleet_load(loaded, packed.data, packed.len_bytes));
	std::swap(fleet, loaded);
	EXPECT_EQ(4u, plan_version(fleet_plan(fleet)));
	EXPECT_EQ(1u, nr_zones());
	EXPECT_TRUE(fleet_has_departed(fleet, "s1", 10));
	// The same change again is known after the snapshot too.
	EXPECT_EQ(AW__OP_CODE__OP_DONE, change(0, 4));
	EXPECT_EQ(4u, plan_version(fleet_plan(fleet)));
	buf_release(&packed);
	fleet_destroy(loaded);
}

class FleetQuarantine : public FleetService
{
protected:
	Aw__OpCode quarantine(uint32_t request, uint64_t until_ms,
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

	size_t count()
	{
		size_t nr;

		fleet_quarantines(fleet, &nr);
		return nr;
	}
};

// A restart of everything must not send a request to servers that is known to
// crash them, nor keep it for ever.
TEST_F(FleetQuarantine, OutlivesASnapshotAndEnds)
{
	struct buf packed = BUF_INIT;
	size_t nr;

	EXPECT_EQ(AW__OP_CODE__OP_DONE, quarantine(1, 5000, 1000, true));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, quarantine(2, 9000, 1000));
	EXPECT_EQ(AW__OP_CODE__OP_DONE, quarantine(1, 6000, 1000));
	ASSERT_EQ(FLEET_OK, fleet_pack(fleet, &packed));
	ASSERT_EQ(FLEET_OK, fleet_load(fleet, packed.data, packed.len_bytes));
	buf_release(&packed);
	ASSERT_EQ(2u, count());
	EXPECT_EQ(6000u, fleet_quarantines(fleet, &nr)[1]->until_ms);
	EXPECT_FALSE(fleet_quarantines(fleet, &nr)[1]->trial);
	EXPECT_EQ(AW__OP_CODE__OP_DONE, quarantine(2, 0, 1000));
	EXPECT_EQ(1u, count());
	EXPECT_EQ(AW__OP_CODE__OP_DONE, quarantine(3, 5999, 6000));
	EXPECT_EQ(0u, count());
}

TEST_F(FleetQuarantine, OldestIsForgottenFirst)
{
	size_t nr;

	for (uint32_t request = 0; request < 3000; request++)
		EXPECT_EQ(AW__OP_CODE__OP_DONE, quarantine(request, 2, 1));
	EXPECT_EQ(1024u, count());
	EXPECT_EQ((3000u - 1024u) & 255,
		  fleet_quarantines(fleet, &nr)[0]->fingerprint.data[0]);
	EXPECT_EQ(AW__OP_CODE__OP_INVALID, quarantine(1, 2, 1, false, 3));
}
