// Tests which entry instances callers get, and the control instance for
// heartbeats.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "directory.h"

class Directory : public ::testing::Test
{
protected:
	struct set_cluster cluster = {};
	std::vector<Aw__Instance> instances;

	void SetUp() override
	{
		const char *zones[][2] = { { "a1", "ra" },
					   { "a2", "ra" },
					   { "b1", "rb" } };

		for (const auto &zone : zones) {
			struct set_zone *to =
				&cluster.zones[cluster.nr_zones++];

			snprintf(to->name, sizeof(to->name), "%s", zone[0]);
			snprintf(to->region, sizeof(to->region), "%s", zone[1]);
		}
		instances.reserve(10);
	}

	Aw__Instance &add(const char *zone, const char *address)
	{
		Aw__Instance instance = AW__INSTANCE__INIT;

		instance.zone = (char *)zone;
		instance.address = (char *)address;
		instances.push_back(instance);
		return instances.back();
	}

	std::string choose(const char *zone, const char *region = "")
	{
		const char *addresses[DIR_ADDRESSES_MAX];
		std::vector<const Aw__Instance *> list;
		std::string all;

		for (auto &instance : instances)
			list.push_back(&instance);
		size_t nr =
			dir_choose_instances(&cluster, list.data(), list.size(),
					     zone, region, addresses);
		for (size_t i = 0; i < nr; i++)
			all += std::string(i ? " " : "") + addresses[i];
		return all;
	}
};

// Callers get the instances of the nearest distance that has any.
TEST_F(Directory, NearestInstances)
{
	add("a1", "1");
	add("a2", "2");
	add("b1", "3");
	EXPECT_EQ("1 2", choose("a1"));
	EXPECT_EQ("3", choose("b1"));
	EXPECT_EQ("1 2", choose("a3", "ra"));
	EXPECT_EQ("1 2 3", choose("unknown"));
}

// With more instances than fit into the response, the first ones in the list
// must not get the requests of the whole region.
TEST_F(Directory, LargeRegionIsDividedByZones)
{
	std::vector<std::string> names(80);
	std::string own;

	for (size_t i = 0; i < names.size(); i++) {
		names[i] = std::to_string(i);
		add(i % 2 ? "a2" : "a1", names[i].c_str());
		if (i % 2)
			own += (own.empty() ? "" : " ") + names[i];
	}
	EXPECT_EQ(own, choose("a2"));
}

// A leaving instance must not be listed: callers that use it would lose their
// connections.
TEST_F(Directory, LeavingInstanceIsNotListed)
{
	add("a1", "1").state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	add("a2", "2");
	add("b1", "3");
	EXPECT_EQ("2", choose("a1"));
	instances[1].state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	EXPECT_EQ("3", choose("a1"));
}

// Callers of an instance that reaches no backend server are served worse than
// those of any other one, even in another region.
TEST_F(Directory, InstanceWithoutServersIsNotListed)
{
	add("a1", "1").servers_unreachable = true;
	add("a2", "2");
	add("b1", "3");
	EXPECT_EQ("2", choose("a1"));
	instances[1].servers_unreachable = true;
	EXPECT_EQ("3", choose("a1"));
	EXPECT_EQ("3", choose("b1"));
}

// Where the links of a region are full, callers waited for seconds while
// instances of other regions had room. Those are named beside the full ones, as
// many as there are of these.
TEST_F(Directory, OthersAreNamedBesideFullLinks)
{
	add("a1", "1");
	add("a2", "2");
	add("b1", "3");
	add("b1", "4");
	EXPECT_EQ("1 2", choose("a1"));
	instances[1].link_full = true;
	EXPECT_TRUE(choose("a1") == "1 2 3" || choose("a1") == "1 2 4");
	instances[0].link_full = true;
	EXPECT_EQ(7u, choose("a1").size());
	EXPECT_EQ("3 4", choose("b1"));
	instances[2].link_full = true;
	EXPECT_EQ("1 2 4", choose("a1"));
	EXPECT_EQ("3 4", choose("b1"));
	instances[3].link_full = true;
	EXPECT_EQ("1 2", choose("a1"));
	// Nor those that reach no server, or that leave.
	instances[3].link_full = false;
	instances[3].servers_unreachable = true;
	EXPECT_EQ("1 2", choose("a1"));
	instances[3].servers_unreachable = false;
	instances[3].state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	EXPECT_EQ("1 2", choose("a1"));
}

// Without any other instance, callers must get one that answers them.
TEST_F(Directory, InstancesWithoutServersAreListedIfAllAre)
{
	add("a1", "1").servers_unreachable = true;
	add("a2", "2").servers_unreachable = true;
	add("b1", "3").servers_unreachable = true;
	EXPECT_EQ("1 2", choose("a1"));
	EXPECT_EQ("3", choose("b1"));
	instances[1].state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	EXPECT_EQ("1", choose("a1"));
	add("b1", "4").state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	EXPECT_EQ("1", choose("a1"));
}

// A zone of a large region that is cut off must not hide the rest of the region.
TEST_F(Directory, ZoneOfALargeRegionWithoutServers)
{
	std::vector<std::string> names(140);
	std::string others;

	instances.reserve(names.size());
	for (size_t i = 0; i < names.size(); i++) {
		names[i] = std::to_string(i);
		add(i % 2 ? "a2" : "a1", names[i].c_str()).servers_unreachable =
			i % 2;
		if (i % 2 == 0 && i < 2 * DIR_ADDRESSES_MAX)
			others += (others.empty() ? "" : " ") + names[i];
	}
	EXPECT_EQ(others, choose("a2"));
}

// Heartbeats stay in the zone or region of their server if possible.
TEST_F(Directory, HeartbeatsGoToControlInstanceOfTheZone)
{
	const struct dir_control controls[] = { { "1", "b1" }, { "2", "a2" } };

	EXPECT_EQ(1u, dir_choose_control(&cluster, controls, 2, "a2"));
	EXPECT_EQ(1u, dir_choose_control(&cluster, controls, 2, "a1"));
	EXPECT_EQ(0u, dir_choose_control(&cluster, controls, 2, "b1"));
	EXPECT_EQ(1u, dir_choose_control(&cluster, controls, 1, "a1"));
	EXPECT_EQ(2u, dir_choose_control(&cluster, controls, 2, "unknown"));
	EXPECT_EQ(0u, dir_choose_control(&cluster, controls, 0, "a1"));
}
