// Guards what coordinators are for, without a network: many instances that each
// see few of the requests for a server. Compared are instances that know only
// their own requests and what servers said last, and ones that ask first.
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
const size_t KEEPS = 8; // objects that a server knows
const uint64_t WARM_MS = 300, COLD_MS = 900, AIM_MS = 800;

struct Server {
	std::vector<uint64_t> free_at = std::vector<uint64_t>(SLOTS);
	std::vector<uint64_t> known; // newest last
	uint32_t running = 0;

	// When the answer of a request that arrives now is made.
	uint64_t serve(uint64_t object, uint64_t now, bool *knew)
	{
		auto slot = std::min_element(free_at.begin(), free_at.end());
		auto at = std::find(known.begin(), known.end(), object);

		*knew = at != known.end();
		if (*knew)
			known.erase(at);
		known.push_back(object);
		if (known.size() > KEEPS)
			known.erase(known.begin());
		*slot = std::max(*slot, now) + (*knew ? WARM_MS : COLD_MS);
		running++;
		return *slot;
	}
};

struct Running {
	uint64_t end_ms, token;
	size_t instance;
	struct steer_choice choice;
	struct steer_query query;
	struct steer_sending sending;

	bool operator<(const Running &other) const
	{
		return end_ms > other.end_ms;
	}
};

struct Outcome {
	double in_time; // share of all requests
	double knew; // share of those sent
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
	std::priority_queue<Running> running;
	std::mt19937 random{ 17 };
	uint64_t next_token = 1;
	bool asks;

public:
	explicit Region(bool asks) : asks(asks)
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

	// Objects are asked for unevenly, as by callers.
	Outcome run(double per_s, size_t nr_objects, uint64_t seconds)
	{
		std::exponential_distribution<double> gap(per_s / 1000);
		std::geometric_distribution<size_t> popular(4.0 /
							    (double)nr_objects);
		double at = (double)clk_now_ms(clk);
		uint64_t start = clk_now_ms(clk), end = start + seconds * 1000;
		size_t nr = 0, sent = 0, in_time = 0, knew = 0;

		while (at < (double)end) {
			at += gap(random);
			advance((uint64_t)at);
			bool counts = clk_now_ms(clk) > start + 5000;
			Running request = make(popular(random) % nr_objects);
			bool known;

			nr += counts;
			if (!choose(request))
				continue;
			auto &server = servers[index(request.choice)];
			request.end_ms = server.serve(request.query.object,
						      clk_now_ms(clk), &known);
			in_time += counts &&
				   request.end_ms <= clk_now_ms(clk) + AIM_MS;
			sent += counts;
			knew += counts && known;
			request.sending = { clk_now_ms(clk),
					    request.choice.load };
			steer_sent(instances[request.instance],
				   request.choice.server, &request.query);
			steer_server_set_idle(request.choice.server, 1);
			running.push(request);
		}
		return { (double)in_time / (double)nr,
			 (double)knew / (double)sent };
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

	Running make(size_t object)
	{
		Running request = {};

		request.instance = random() % NR_INSTANCES;
		request.query.upstream = "u";
		request.query.has_object = true;
		request.query.object = hash_mix(object + 1);
		request.query.aim_left_ms = AIM_MS;
		request.query.left_ms = 4000;
		request.query.idempotent = true;
		request.query.chance = (double)random() / 4294967296.0;
		return request;
	}

	// As an entry instance does it; the answers of coordinators take no
	// time here.
	bool choose(Running &request)
	{
		struct steer *steer = instances[request.instance];
		struct steer_query &query = request.query;
		const struct steer_server *agreed = nullptr;

		while (true) {
			steer_pick(steer, &query, &request.choice);
			bool send = request.choice.verdict == STEER_SEND;
			if (send && (!asks || request.choice.server == agreed))
				return true;
			if (request.token)
				coord_end(coord, request.token, COORD_NOT_SENT);
			request.token = 0;
			if (!send)
				return false;
			ask(steer, request);
			agreed = request.choice.server;
			query.again = true;
			if (query.nr_asked == STEER_ASKED_MAX)
				return true;
			query.asked[query.nr_asked++] =
				steer_server_hash(agreed);
		}
	}

	void ask(struct steer *steer, Running &request)
	{
		struct coord_ask ask = {};
		struct coord_told told;

		request.token = next_token++;
		ask.token = request.token;
		ask.server = steer_server_hash(request.choice.server);
		ask.upstream = steer_upstream_hash(request.choice.server);
		ask.has_object = true;
		ask.object = request.query.object;
		ask.left_ms = 4000;
		ASSERT_EQ(0, coord_ask(coord, &ask, &told));
		steer_told(steer, request.choice.server, &request.query, &told);
	}

	void advance(uint64_t to)
	{
		while (!running.empty() && running.top().end_ms <= to) {
			Running at = running.top();
			auto &server = servers[index(at.choice)];

			running.pop();
			clk_advance_ms(clk, at.end_ms - clk_now_ms(clk));
			server.running--;
			struct steer_load load = {
				true, std::min(server.running, SLOTS),
				server.running > SLOTS ?
					server.running - SLOTS :
					0,
				SLOTS
			};
			enum coord_end end = steer_ended(
				instances[at.instance], at.choice.server,
				&at.query, STEER_SUCCESS, &at.sending, &load);
			if (at.token)
				coord_end(coord, at.token, end);
		}
		clk_advance_ms(clk, to - clk_now_ms(clk));
	}
};

} // namespace

// Pattern: each of 40 instances sends a server a request every few seconds, and
// a few objects are asked for much more often than others. What an instance
// knows of a server is older than the work there, so servers were believed idle
// that had twice their slots under way.
TEST(CoordLoad, ManyInstancesShareFewRequestsForAServer)
{
	// Three quarters of what the servers can do on known objects.
	Outcome alone = Region(false).run(240, 96, 40);
	Outcome asked = Region(true).run(240, 96, 40);

	EXPECT_GT(asked.in_time, 0.85);
	EXPECT_GT(asked.in_time, alone.in_time + 0.2)
		<< "without coordinators " << alone.in_time;
	EXPECT_GT(asked.knew, 0.85);
}

// Pattern: more is asked for than can be served. What is taken on must be
// served in time, and most of it by servers that know the object: with unknown
// ones the capacity falls to a third.
TEST(CoordLoad, OverloadDoesNotCollapse)
{
	// 24 servers of 4 slots serve 320 requests a second on known objects.
	Outcome asked = Region(true).run(640, 96, 30);

	EXPECT_GT(asked.in_time * 640, 320 * 0.6);
	EXPECT_GT(asked.knew, 0.9);
}
