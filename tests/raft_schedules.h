// Seeded schedules of faults on a whole cluster. RAFT_SEED runs one seed again,
// RAFT_SEEDS sets how many are run, RAFT_LOG shows what raft logs.
#ifndef RAFT_SCHEDULES_H
#define RAFT_SCHEDULES_H

#include <cstdlib>

#include <gtest/gtest.h>

#include "log.h"
#include "raft_cluster.h"

inline void inject(Cluster &cluster)
{
	Node &node = cluster.nodes[cluster.rng() % cluster.nodes.size()];
	size_t from = cluster.rng() % cluster.nodes.size();

	switch (cluster.rng() % 12) {
	case 0:
		cluster.crash(node, cluster.rng() % 3000);
		break;
	case 1: // all at once: everything not synced is lost
		for (Node &each : cluster.nodes)
			cluster.crash(each, cluster.rng() % 500);
		break;
	case 2:
	case 3:
		if (cluster.may_lose(node))
			cluster.wipe(node, cluster.rng() % 1000);
		break;
	case 4:
		node.frozen_until_ms = cluster.now() + cluster.rng() % 3000;
		break;
	case 5: // one direction
		cluster.cut[from][node.id] ^= true;
		break;
	case 6: // cut off in both directions
		for (size_t i = 0; i < cluster.nodes.size(); i++)
			cluster.cut[i][node.id] = cluster.cut[node.id][i] =
				true;
		break;
	case 7:
	case 8:
		memset(cluster.cut, 0, sizeof(cluster.cut));
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

inline std::string run_schedule(uint64_t seed, size_t nr)
{
	Cluster cluster(seed, nr, 5 + seed % 100);
	uint64_t rate_permille = 20 + cluster.rng() % 300;
	uint64_t fault_permille = 5 + cluster.rng() % 25;

	cluster.loss_permille = cluster.rng() % 2 ? cluster.rng() % 200 : 0;
	cluster.duplicate_permille = cluster.rng() % 200;
	cluster.delay_ms = 1 + cluster.rng() % 80;
	cluster.tail_ms = cluster.rng() % 2 ? cluster.rng() % 3000 : 0;
	if (seed % 16 == 0)
		cluster.state_bytes = 600000; // three chunks
	cluster.run(1500 + cluster.rng() % 3000);
	for (int i = 0; i < 1000 && cluster.error.empty(); i++) {
		if (cluster.chance(rate_permille))
			cluster.propose();
		if (cluster.chance(fault_permille))
			inject(cluster);
		cluster.step();
	}
	cluster.heal();
	if (!cluster.run_until_whole(30000) && cluster.error.empty())
		cluster.error = "not whole after the faults ended:" +
				cluster.describe();
	return cluster.error;
}

inline void run_schedules(size_t nr, uint64_t nr_seeds)
{
	log_set_level(getenv("RAFT_LOG") ? LOG_LEVEL_DEBUG : LOG_LEVEL_ERROR);
	const char *only = getenv("RAFT_SEED");
	const char *more = getenv("RAFT_SEEDS");
	uint64_t first = only ? strtoull(only, nullptr, 10) : 1;
	uint64_t last = only ? first :
			more ? strtoull(more, nullptr, 10) :
			       nr_seeds;

	for (uint64_t seed = first; seed <= last; seed++) {
		std::string error = run_schedule(seed, nr);

		ASSERT_EQ("", error) << "seed " << seed << ", " << nr
				     << " instances (RAFT_SEED=" << seed << ")";
	}
}

#endif
