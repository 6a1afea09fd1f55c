#include "config.h"

#include <string.h>

/* The maxima are low enough to refuse a value in a wrong unit. */
static const struct cfg_setting_info settings[CFG_SETTING_COUNT] = {
	[CFG_DEADLINE_MS] = { "deadline_ms", 100, 300000, 10000,
			      "callers give up after about 10 s" },
	[CFG_ADMISSION_WAIT_MS] = { "admission_wait_ms", 0, 30000, 2000,
				    "an election takes about 2 s" },
	[CFG_QUEUE_WAIT_MS] = { "queue_wait_ms", 0, 60000, 1000,
				"a longer queue only moves the refusal" },
	[CFG_QUEUE_MAX] = { "queue_max", 0, 100000, 200,
			    "bounds the memory of waiting requests" },
	[CFG_ATTEMPTS_MAX] = { "attempts_max", 1, 5, 2,
			       "one retry covers the loss of one server" },
	[CFG_CROSS_REGION] = { "cross_region", 0, 1, 1,
			       "a distant server is better than a refusal" },
	[CFG_BODY_MAX_BYTES] = { "body_max_bytes", 0, 1073741824, 16777216,
				 "request bodies are buffered in full" },
	[CFG_ANSWER_MAX_BYTES] = { "answer_max_bytes", 0, 1073741824, 16777216,
				   "responses are buffered in full" },
	[CFG_LOOKUP_TTL_S] = { "lookup_ttl_s", 1, 3600, 5,
			       "bounds how long callers use a stale list" },
	[CFG_SHIFT_CAP_PERMILLE] = { "shift_cap_permille", 1, 1000, 100,
				     "a whole drain takes at least 10 s" },
	[CFG_HEADROOM_PERMILLE] = { "headroom_permille", 0, 900, 150,
				    "a drain leaves room for the next loss" },
	[CFG_EJECT_FAILURES] = { "eject_failures", 1, 1000, 3,
				 "a single failure may be the request's" },
	[CFG_EJECT_MS] = { "eject_ms", 100, 600000, 10000,
			   "a server that restarts needs about 10 s" },
};

const struct cfg_setting_info *cfg_setting_info(enum cfg_setting setting)
{
	return &settings[setting];
}

enum cfg_setting cfg_setting_by_name(const char *name)
{
	int i;

	for (i = 0; i < CFG_SETTING_COUNT; i++) {
		if (!strcmp(settings[i].name, name))
			break;
	}
	return (enum cfg_setting)i;
}

/*
 * An empty selector matches every property. Any other selector matches only the
 * same property, never an unknown one.
 */
static bool selector_matches(const char *selector, const char *property)
{
	if (!selector || !*selector)
		return true;
	return property && !strcmp(selector, property);
}

static bool exception_matches(const Aw__Exception *exception, const char *name,
			      const struct cfg_subject *subject)
{
	return exception->setting && !strcmp(exception->setting, name) &&
	       selector_matches(exception->customer, subject->customer) &&
	       selector_matches(exception->route, subject->route) &&
	       selector_matches(exception->upstream, subject->upstream) &&
	       selector_matches(exception->zone, subject->zone) &&
	       selector_matches(exception->region, subject->region);
}

static void set_decision(struct cfg_decision *decision, uint64_t value,
			 enum cfg_origin origin, const char *name,
			 const char *reason)
{
	decision->value = value;
	decision->origin = origin;
	decision->name = name;
	decision->reason = reason;
}

void cfg_decide(const Aw__Config *config, enum cfg_setting setting,
		const struct cfg_subject *subject,
		struct cfg_decision *decision)
{
	static const struct cfg_subject empty_subject;
	const struct cfg_setting_info *info = &settings[setting];
	size_t i;

	if (!subject)
		subject = &empty_subject;
	for (i = 0; config && i < config->n_exceptions; i++) {
		const Aw__Exception *exception = config->exceptions[i];

		if (!exception_matches(exception, info->name, subject))
			continue;
		set_decision(decision, exception->value, CFG_ORIGIN_EXCEPTION,
			     exception->name, exception->reason);
		return;
	}
	for (i = 0; config && i < config->n_defaults; i++) {
		const Aw__Default *dflt = config->defaults[i];

		if (!dflt->setting || strcmp(dflt->setting, info->name) != 0)
			continue;
		set_decision(decision, dflt->value, CFG_ORIGIN_DEFAULT,
			     info->name, dflt->reason);
		return;
	}
	set_decision(decision, info->value, CFG_ORIGIN_BUILT_IN, info->name,
		     info->reason);
}

const char *cfg_origin_name(enum cfg_origin origin)
{
	switch (origin) {
	case CFG_ORIGIN_BUILT_IN:
		return "built_in";
	case CFG_ORIGIN_DEFAULT:
		return "default";
	case CFG_ORIGIN_EXCEPTION:
		return "exception";
	}
	return "unknown";
}

const Aw__Customer *cfg_customer(const Aw__Config *config, const char *name)
{
	size_t i;

	for (i = 0; i < config->n_customers; i++) {
		if (!strcmp(config->customers[i]->name, name))
			return config->customers[i];
	}
	return NULL;
}

const Aw__Upstream *cfg_upstream(const Aw__Config *config, const char *name)
{
	size_t i;

	for (i = 0; i < config->n_upstreams; i++) {
		if (!strcmp(config->upstreams[i]->name, name))
			return config->upstreams[i];
	}
	return NULL;
}

const char *cfg_region_of_zone(const Aw__Config *config, const char *zone)
{
	size_t i;

	for (i = 0; i < config->n_zones; i++) {
		if (!strcmp(config->zones[i]->name, zone))
			return config->zones[i]->region;
	}
	return NULL;
}

const Aw__Link *cfg_link(const Aw__Config *config, const char *from_region,
			 const char *to_region)
{
	size_t i;

	for (i = 0; i < config->n_links; i++) {
		const Aw__Link *link = config->links[i];

		if (!strcmp(link->from_region, from_region) &&
		    !strcmp(link->to_region, to_region))
			return config->links[i];
	}
	return NULL;
}
