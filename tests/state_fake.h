/*
 * Builds a FleetState for tests; owns all parts of it.
 */
#ifndef STATE_FAKE_H
#define STATE_FAKE_H

#include <cstring>
#include <deque>
#include <string>
#include <vector>

#include "almondward.pb-c.h"
#include "key.h"

class StateFake
{
	Aw__FleetState state_ = AW__FLEET_STATE__INIT;
	Aw__Config config_ = AW__CONFIG__INIT;
	std::deque<std::string> texts_;
	std::deque<Aw__Route> routes_;
	std::deque<Aw__Zone> zones_;
	std::deque<Aw__ClientBlock> blocks_;
	std::deque<Aw__Customer> customers_;
	std::deque<Aw__Link> links_;
	std::deque<Aw__Key> keys_;
	std::vector<Aw__Route *> route_list_;
	std::vector<Aw__Zone *> zone_list_;
	std::vector<Aw__ClientBlock *> block_list_;
	std::vector<Aw__Customer *> customer_list_;
	std::vector<Aw__Link *> link_list_;
	std::vector<Aw__Key *> key_list_;

	char *text(const std::string &value)
	{
		texts_.push_back(value);
		return &texts_.back()[0];
	}

	template <class T>
	T *add(std::deque<T> &all, std::vector<T *> &list, const T &init)
	{
		all.push_back(init);
		list.push_back(&all.back());
		return &all.back();
	}

public:
	void route(const char *name, const char *prefix, const char *upstream,
		   bool open, bool idempotent = true)
	{
		Aw__Route init = AW__ROUTE__INIT;
		Aw__Route *added = add(routes_, route_list_, init);

		added->name = text(name);
		added->path_prefix = text(prefix);
		added->upstream = text(upstream);
		added->open = open;
		if (!idempotent)
			added->kind = AW__REQUEST_KIND__NON_IDEMPOTENT;
	}

	void zone(const char *name, const char *region)
	{
		Aw__Zone init = AW__ZONE__INIT;
		Aw__Zone *added = add(zones_, zone_list_, init);

		added->name = text(name);
		added->region = text(region);
	}

	void block(const char *prefix, const char *zone)
	{
		Aw__ClientBlock init = AW__CLIENT_BLOCK__INIT;
		Aw__ClientBlock *added = add(blocks_, block_list_, init);

		added->prefix = text(prefix);
		added->zone = text(zone);
	}

	Aw__Customer *customer(const char *name, uint32_t weight)
	{
		Aw__Customer init = AW__CUSTOMER__INIT;
		Aw__Customer *added = add(customers_, customer_list_, init);

		added->name = text(name);
		added->rate_per_s = 100;
		added->burst = 100;
		added->weight = weight;
		return added;
	}

	void link(const char *from, const char *to)
	{
		Aw__Link init = AW__LINK__INIT;
		Aw__Link *added = add(links_, link_list_, init);

		added->from_region = text(from);
		added->to_region = text(to);
		added->cap_kbit_per_s = 1000;
	}

	Aw__Key *key(const char *id, const char *customer,
		     const std::string &secret)
	{
		Aw__Key init = AW__KEY__INIT;
		Aw__Key *added = add(keys_, key_list_, init);
		uint8_t hash[HASH_BYTES];

		key_hash(secret.c_str(), hash);
		added->id = text(id);
		added->customer = text(customer);
		added->hash.data = (uint8_t *)text(
			std::string((char *)hash, sizeof(hash)));
		added->hash.len = sizeof(hash);
		return added;
	}

	Aw__FleetState *state(uint64_t version = 1)
	{
		config_.routes = route_list_.data();
		config_.n_routes = route_list_.size();
		config_.zones = zone_list_.data();
		config_.n_zones = zone_list_.size();
		config_.client_blocks = block_list_.data();
		config_.n_client_blocks = block_list_.size();
		config_.customers = customer_list_.data();
		config_.n_customers = customer_list_.size();
		config_.links = link_list_.data();
		config_.n_links = link_list_.size();
		config_.version = version;
		state_.config = &config_;
		state_.keys = key_list_.data();
		state_.n_keys = key_list_.size();
		state_.state_version = version;
		state_.applied_index = version;
		return &state_;
	}
};

#endif
