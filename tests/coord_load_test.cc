// Tests the effect of coordinators without a network: each of many instances
// sees few of the requests to a server. Instances that know only their own
// requests and the last load reported by servers are compared with ones that
// query coordinators first.
#include <algorithm>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "coord.h"
#include "hash.h"
#include "steer.h"

namespace
{

const size_t NR_INSTANCES = 40;
const size_t NR_SERVERS = 24;
const uint32_t SLOTS = 4;
const size_t CACHE_SIZE = 8; // objects that a server has cached
const uint64_t CACHED_MS = 300, UNCACHED_MS = 900, AIM_MS = 800;

struct Server {
	std::vector<uint64_t> free_at = std::vector<uint64_t>(SLOTS);
	std::vector<uint64_t> cached; // newest last
	uint32_t in_flight = 0;

	// Returns when the response to a request that arrives now is ready.
	uint64_t serve(uint64_t object, uint64_t now, bool *hit)
	{
		auto slot = std::min_element(free_at.begin(), free_at.end());
		auto at = std::find(cached.begin(), cached.end(), object);

		*hit = at != cached.end();
		if (*hit)
			cached.erase(at);
		cached.push_back(object);
		if (cached.size() > CACHE_SIZE)
			cached.erase(cached.begin());
		*slot = std::max(*slot, now) + (*hit ? CACHED_MS : UNCACHED_MS);
		in_flight++;
		return *slot;
	}
};

struct InFlight {
	uint64_t end_ms, token;
	size_t instance;
	struct steer_choice choice;
	struct steer_query query;
	struct steer_attempt attempt;

	bool operator<(const InFlight &other) const
	{
		return end_ms > other.end_ms;
	}
};

struct Outcome {
	double in_time; // share of all requests
	double hit_share; // cache hits as a share of the requests sent
};

class Region
{
	struct clk *clk = clk_create_paused(1000000);
	struct set_cluster cluster = {};
	struct topo *topo = topo_create(clk);
	struct plan *plan = plan_create();
	struct coord *coord = coord_create(clk);
	std::vector<struct steer *> instances;
	std::vector<Server> servers{ NR_SERVERS };
	std::priority_queue<InFlight> in_flight;
	std::mt19937 random{ 17 };
	uint64_t next_token = 1;
	bool uses_coordinators;

public:
	explicit Region(bool uses_coordinators)
	    : uses_coordinators(uses_coordinators)
	{
		snprintf(cluster.zones[0].name, NAME_BYTES_MAX, "a1");
		snprintf(cluster.zones[0].region, NAME_BYTES_MAX, "ra");
		cluster.nr_zones = 1;
		topo_become_leader(topo, 1);
		for (size_t i = 0; i < NR_SERVERS; i++)
			add_server(i);
		for (size_t i = 0; i < NR_INSTANCES; i++) {
			instances.push_back(steer_create(
				clk, &cluster, "a1",
				("entry-" + std::to_string(i)).c_str()));
			EXPECT_EQ(0, steer_sync(instances.back(), topo, plan,
						nullptr, 0));
		}
	}

	~Region()
	{
		for (auto instance : instances)
			steer_destroy(instance);
		coord_destroy(coord);
		plan_destroy(plan);
		topo_destroy(topo);
		clk_destroy(clk);
	}

	// Some objects are requested more often than others, as by real
	// callers.
	Outcome run(double per_s, size_t nr_objects, uint64_t seconds)
	{
		std::exponential_distribution<double> gap(per_s / 1000);
		std::geometric_distribution<size_t> popular(4.0 /
							    (double)nr_objects);
		double at = (double)clk_now_ms(clk);
		uint64_t start = clk_now_ms(clk), end = start + seconds * 1000;
		size_t nr = 0, sent = 0, in_time = 0, hits = 0;

		while (at < (double)end) {
			at += gap(random);
			advance((uint64_t)at);
			bool counts = clk_now_ms(clk) > start + 5000;
			InFlight request = make(popular(random) % nr_objects);
			bool hit;

			nr += counts;
			if (!choose(request))
				continue;
			auto &server = servers[index(request.choice)];
			request.end_ms = server.serve(request.query.object,
						      clk_now_ms(clk), &hit);
			in_time += counts &&
				   request.end_ms <= clk_now_ms(clk) + AIM_MS;
			sent += counts;
			hits += counts && hit;
			request.attempt = { clk_now_ms(clk),
					    request.choice.load };
			steer_attempt_begin(instances[request.instance],
					    request.choice.server,
					    &request.query);
			steer_server_set_idle(request.choice.server, 1);
			in_flight.push(request);
		}
		return { (double)in_time / (double)nr,
			 (double)hits / (double)sent };
	}

private:
	void add_server(size_t i)
	{
		std::string id = "s" + std::to_string(i);
		std::string address = "10.0.0.1:" + std::to_string(1000 + i);
		Aw__Server server = AW__SERVER__INIT;

		server.id = (char *)id.c_str();
		server.upstream = (char *)"u";
		server.address = (char *)address.c_str();
		server.zone = (char *)"a1";
		server.slots = SLOTS;
		server.incarnation = server.sequence = 1;
		EXPECT_EQ(TOPO_ACCEPTED, topo_heartbeat(topo, &server));
	}

	static size_t index(const struct steer_choice &choice)
	{
		return std::stoul(steer_server_id(choice.server) + 1);
	}

	InFlight make(size_t object)
	{
		InFlight request = {};

		request.instance = random() % NR_INSTANCES;
		request.query.upstream = "u";
		request.query.has_object = true;
		request.query.object = hash_mix(object + 1);
		request.query.aim_left_ms = AIM_MS;
		request.query.left_ms = 4000;
		request.query.idempotent = true;
		request.query.draw = (double)random() / 4294967296.0;
		return request;
	}

	// Chooses as an entry instance does; the replies of coordinators take
	// no time here.
	bool choose(InFlight &request)
	{
		struct steer *steer = instances[request.instance];
		struct steer_query &query = request.query;
		const struct steer_server *agreed = nullptr;

		while (true) {
			steer_pick(steer, &query, &request.choice);
			bool send = request.choice.verdict == STEER_SEND;
			if (send && (!uses_coordinators ||
				     request.choice.server == agreed))
				return true;
			if (request.token)
				coord_end(coord, request.token, COORD_NOT_SENT);
			request.token = 0;
			if (!send)
				return false;
			query_coordinator(steer, request);
			agreed = request.choice.server;
			query.chosen_before = true;
			if (query.nr_queried == STEER_QUERIED_MAX)
				return true;
			query.queried[query.nr_queried++] =
				steer_server_hash(agreed);
		}
	}

	void query_coordinator(struct steer *steer, InFlight &request)
	{
		struct coord_query query = {};
		struct coord_reply reply;

		request.token = next_token++;
		query.token = request.token;
		query.server = steer_server_hash(request.choice.server);
		query.upstream = steer_upstream_hash(request.choice.server);
		query.has_object = true;
		query.object = request.query.object;
		query.left_ms = 4000;
		ASSERT_EQ(0, coord_query(coord, &query, &reply));
		steer_coord_reply(steer, request.choice.server, &request.query,
				  &reply);
	}

	void advance(uint64_t to)
	{
		while (!in_flight.empty() && in_flight.top().end_ms <= to) {
			InFlight at = in_flight.top();
			auto &server = servers[index(at.choice)];

			in_flight.pop();
			clk_advance_ms(clk, at.end_ms - clk_now_ms(clk));
			server.in_flight--;
			struct steer_load load = {
				true, std::min(server.in_flight, SLOTS),
				server.in_flight > SLOTS ?
					server.in_flight - SLOTS :
					0,
				SLOTS
			};
			enum coord_end_result end = steer_attempt_end(
				instances[at.instance], at.choice.server,
				&at.query, STEER_SUCCESS, &at.attempt, &load);
			if (at.token)
				coord_end(coord, at.token, end);
		}
		clk_advance_ms(clk, to - clk_now_ms(clk));
	}
};

} // namespace

// Each of 40 instances sends a server a request every few seconds, and a few
// objects are requested much more often than others. What an instance knows
// about a server is older than the duration of the work there, so servers with
// twice as many requests as slots were taken for idle.
TEST(CoordLoad, ManyInstancesShareFewRequestsForAServer)
{
	// Three quarters of the servers' capacity for cached objects.
	Outcome without_coord = Region(false).run(240, 96, 40);
	Outcome with_coord = Region(true).run(240, 96, 40);

	EXPECT_GT(with_coord.in_time, 0.85);
	EXPECT_GT(with_coord.in_time, without_coord.in_time + 0.2)
		<< "without coordinators " << without_coord.in_time;
	EXPECT_GT(with_coord.hit_share, 0.85);
}

// More requests arrive than can be served. Those that are accepted must be
// served in time, and most of them by servers that have the object cached:
// without caching the capacity falls to a third.
TEST(CoordLoad, OverloadDoesNotCollapse)
{
	// 24 servers of 4 slots serve 320 requests a second on cached objects.
	Outcome with_coord = Region(true).run(640, 96, 30);

	EXPECT_GT(with_coord.in_time * 640, 320 * 0.6);
	EXPECT_GT(with_coord.hit_share, 0.9);
}
