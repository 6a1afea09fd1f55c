// Random schedules of faults on a whole cluster. Environment: RAFT_SEED runs a
// single seed, RAFT_SEEDS sets the number of seeds, RAFT_LOG shows raft's log.
#ifndef RAFT_SCHEDULES_H
#define RAFT_SCHEDULES_H

#include <cstdlib>

#include <gtest/gtest.h>

#include "log.h"
#include "raft_cluster.h"

inline void inject_fault(Cluster &cluster)
{
	Node &node = cluster.nodes[cluster.rng() % cluster.nodes.size()];
	size_t from = cluster.rng() % cluster.nodes.size();

	switch (cluster.rng() % 12) {
	case 0:
		cluster.crash(node, cluster.rng() % 3000);
		break;
	case 1: // all instances at once: all unsynced data is lost
		for (Node &each : cluster.nodes)
			cluster.crash(each, cluster.rng() % 500);
		break;
	case 2:
	case 3:
		if (cluster.tolerates_loss_of(node))
			cluster.wipe(node, cluster.rng() % 1000);
		break;
	case 4:
		node.frozen_until_ms = cluster.now() + cluster.rng() % 3000;
		break;
	case 5: // breaks or restores a link in one direction
		cluster.link_down[from][node.id] ^= true;
		break;
	case 6: // isolates an instance in both directions
		for (size_t i = 0; i < cluster.nodes.size(); i++)
			cluster.link_down[i][node.id] =
				cluster.link_down[node.id][i] = true;
		break;
	case 7:
	case 8:
		memset(cluster.link_down, 0, sizeof(cluster.link_down));
		break;
	case 9:
		if (!node.raft)
			break;
		node.disk->fail_at = node.disk->calls + 1 + cluster.rng() % 9;
		node.disk->kind = cluster.chance(500) ? FAULT_CRASH : FAULT_EIO;
		break;
	case 10:
		node.disk->full = !node.disk->full;
		break;
	case 11:
		if (cluster.leader())
			raft_step_down(cluster.leader()->raft);
		break;
	}
}

inline std::string run_schedule(uint64_t seed, size_t nr_nodes)
{
	Cluster cluster(seed, nr_nodes, 5 + seed % 100);
	uint64_t rate_permille = 20 + cluster.rng() % 300;
	uint64_t fault_permille = 5 + cluster.rng() % 25;

	cluster.loss_permille = cluster.rng() % 2 ? cluster.rng() % 200 : 0;
	cluster.duplicate_permille = cluster.rng() % 200;
	cluster.delay_ms = 1 + cluster.rng() % 80;
	cluster.delay_tail_ms = cluster.rng() % 2 ? cluster.rng() % 3000 : 0;
	if (seed % 16 == 0)
		cluster.state_bytes = 600000; // three snapshot chunks
	cluster.run(1500 + cluster.rng() % 3000);
	for (int i = 0; i < 1000 && cluster.error.empty(); i++) {
		if (cluster.chance(rate_permille))
			cluster.propose();
		if (cluster.chance(fault_permille))
			inject_fault(cluster);
		cluster.step();
	}
	cluster.clear_faults();
	if (!cluster.run_until_converged(30000) && cluster.error.empty())
		cluster.error = "not converged after the faults ended:" +
				cluster.describe();
	return cluster.error;
}

inline void run_schedules(size_t nr_nodes, uint64_t nr_seeds)
{
	log_set_level(getenv("RAFT_LOG") ? LOG_LEVEL_DEBUG : LOG_LEVEL_ERROR);
	const char *single_seed = getenv("RAFT_SEED");
	const char *last_seed = getenv("RAFT_SEEDS");
	uint64_t first = single_seed ? strtoull(single_seed, nullptr, 10) : 1;
	uint64_t last = single_seed ? first :
			last_seed   ? strtoull(last_seed, nullptr, 10) :
				      nr_seeds;

	for (uint64_t seed = first; seed <= last; seed++) {
		std::string error = run_schedule(seed, nr_nodes);

		ASSERT_EQ("", error) << "seed " << seed << ", " << nr_nodes
				     << " instances (RAFT_SEED=" << seed << ")";
	}
}

#endif
