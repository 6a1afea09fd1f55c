/*
 * Fakes of the functions of config that the entry role calls: one value per
 * setting, look-ups by name. They are weak symbols, so the linker uses the real
 * functions in tests that link config as well.
 */
#ifndef CONFIG_FAKE_H
#define CONFIG_FAKE_H

#include <cstring>

#include "config.h"

static uint64_t fake_policy[CFG_SETTING_COUNT] = {
	10000, 500, 1000, 8, 3, 0, 1 << 20, 1 << 20, 10, 50, 100, 3, 5000
};

#define WEAK extern "C" __attribute__((weak))

WEAK const struct cfg_setting_info *cfg_setting_info(enum cfg_setting setting)
{
	static struct cfg_setting_info info = { "some_setting", 0, 1, 0, "" };

	(void)setting;
	return &info;
}

WEAK void cfg_decide(const Aw__Config *config, enum cfg_setting setting,
		     const struct cfg_subject *subject,
		     struct cfg_decision *decision)
{
	(void)config;
	(void)subject;
	decision->value = fake_policy[setting];
	decision->origin = CFG_ORIGIN_DEFAULT;
	decision->name = "some_setting";
	decision->reason = "value of the test";
}

WEAK const char *cfg_origin_name(enum cfg_origin origin)
{
	return origin == CFG_ORIGIN_DEFAULT ? "default" : "exception";
}

WEAK const Aw__Customer *cfg_customer(const Aw__Config *config,
				      const char *name)
{
	for (size_t i = 0; i < config->n_customers; i++) {
		if (!strcmp(config->customers[i]->name, name))
			return config->customers[i];
	}
	return nullptr;
}

WEAK const char *cfg_region_of_zone(const Aw__Config *config, const char *zone)
{
	for (size_t i = 0; i < config->n_zones; i++) {
		if (!strcmp(config->zones[i]->name, zone))
			return config->zones[i]->region;
	}
	return nullptr;
}

WEAK const Aw__Link *cfg_link(const Aw__Config *config, const char *from,
			      const char *to)
{
	for (size_t i = 0; i < config->n_links; i++) {
		if (!strcmp(config->links[i]->from_region, from) &&
		    !strcmp(config->links[i]->to_region, to))
			return config->links[i];
	}
	return nullptr;
}

#endif
