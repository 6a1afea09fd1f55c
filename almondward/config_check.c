#include "config_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The message Grant carries the whole state in one frame of at most 8 MiB. The
 * frame also has to contain keys, drains and the server table.
 */
#define PACKED_BYTES_MAX 4194304

static const char *const section_names[CFG_SECTION_COUNT] = {
	[CFG_ZONES] = "zones",	       [CFG_CUSTOMERS] = "customers",
	[CFG_UPSTREAMS] = "upstreams", [CFG_ROUTES] = "routes",
	[CFG_LINKS] = "links",	       [CFG_CLIENT_BLOCKS] = "client_blocks",
	[CFG_DEFAULTS] = "defaults",   [CFG_EXCEPTIONS] = "exceptions",
};

static const char *const methods[] = { "GET",	"HEAD",	  "POST",   "PUT",
				       "PATCH", "DELETE", "OPTIONS" };

struct name_item {
	const char *name;
	size_t index; /* in the section */
};

/*
 * Names of one section; sorted once all are added.
 */
struct name_list {
	struct name_item *items;
	size_t nr;
};

struct check {
	const Aw__Config *config;
	struct cfg_violation *violation;
	struct name_list zones, regions, customers, upstreams, routes;
	bool out_of_memory;
};

const char *cfg_section_name(enum cfg_section section)
{
	return section_names[section];
}

static const char *text_or_empty(const char *text)
{
	return text ? text : "";
}

static bool fail(struct check *check, enum cfg_section section, size_t index,
		 const char *field, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

static bool fail(struct check *check, enum cfg_section section, size_t index,
		 const char *field, const char *fmt, ...)
{
	va_list args;

	check->violation->section = section;
	check->violation->index = index;
	check->violation->field = field;
	va_start(args, fmt);
	vsnprintf(check->violation->text, sizeof(check->violation->text), fmt,
		  args);
	va_end(args);
	return false;
}

static bool check_name(struct check *check, enum cfg_section section,
		       size_t index, const char *field, const char *name)
{
	if (cfg_name_valid(text_or_empty(name)))
		return true;
	return fail(check, section, index, field,
		    "%s \"%.80s\" in %s must have 1 to %d characters of a-z, "
		    "0-9, '.', '_' and '-'",
		    field, text_or_empty(name), section_names[section],
		    NAME_BYTES_MAX - 1);
}

static bool check_range(struct check *check, enum cfg_section section,
			size_t index, const char *name, const char *field,
			uint64_t value, uint64_t min, uint64_t max)
{
	if (value >= min && value <= max)
		return true;
	return fail(check, section, index, field,
		    "%s of \"%s\" in %s is %llu, must be %llu to %llu", field,
		    name, section_names[section], (unsigned long long)value,
		    (unsigned long long)min, (unsigned long long)max);
}

static bool check_reason(struct check *check, enum cfg_section section,
			 size_t index, const char *name, const char *reason)
{
	if (cfg_reason_valid(text_or_empty(reason)))
		return true;
	return fail(check, section, index, "reason",
		    "reason of \"%s\" in %s must have 1 to %d bytes of UTF-8 "
		    "without control characters",
		    name, section_names[section], REASON_BYTES_MAX - 1);
}

static int compare_names(const void *a, const void *b)
{
	const struct name_item *left = a, *right = b;
	int order = strcmp(left->name, right->name);

	if (order)
		return order;
	return (left->index > right->index) - (left->index < right->index);
}

static int compare_to_name(const void *name, const void *item)
{
	return strcmp(name, ((const struct name_item *)item)->name);
}

static bool list_contains(const struct name_list *list, const char *name)
{
	return list->nr && bsearch(name, list->items, list->nr,
				   sizeof(*list->items), compare_to_name);
}

static bool list_create(struct check *check, struct name_list *list, size_t nr)
{
	list->items = calloc(nr ? nr : 1, sizeof(*list->items));
	if (!list->items)
		check->out_of_memory = true;
	return !check->out_of_memory;
}

static void list_add(struct name_list *list, const char *name)
{
	list->items[list->nr].name = name;
	list->items[list->nr].index = list->nr;
	list->nr++;
}

static void list_sort(struct name_list *list)
{
	qsort(list->items, list->nr, sizeof(*list->items), compare_names);
}

/*
 * Sorts the list and checks that no name is repeated. The violation is at the
 * first name in the document that an earlier item already has.
 */
static bool sort_and_check_unique(struct check *check, struct name_list *list,
				  enum cfg_section section, const char *field)
{
	const struct name_item *first = NULL, *item;
	size_t i;

	list_sort(list);
	for (i = 1; i < list->nr; i++) {
		item = &list->items[i];
		if (strcmp(item->name, list->items[i - 1].name) != 0)
			continue;
		if (!first || item->index < first->index)
			first = item;
	}
	if (!first)
		return true;
	return fail(check, section, first->index, field,
		    "%s \"%s\" is repeated in %s", field, first->name,
		    section_names[section]);
}

static bool check_reference(struct check *check, enum cfg_section section,
			    size_t index, const char *owner, const char *field,
			    const char *name, const struct name_list *list)
{
	if (list_contains(list, text_or_empty(name)))
		return true;
	return fail(check, section, index, field,
		    "%s \"%.80s\" of \"%s\" in %s does not exist", field,
		    text_or_empty(name), owner, section_names[section]);
}

static bool check_zones(struct check *check)
{
	const Aw__Config *config = check->config;
	size_t i;

	if (!list_create(check, &check->zones, config->n_zones) ||
	    !list_create(check, &check->regions, config->n_zones))
		return false;
	for (i = 0; i < config->n_zones; i++) {
		const Aw__Zone *zone = config->zones[i];

		if (!check_name(check, CFG_ZONES, i, "name", zone->name) ||
		    !check_name(check, CFG_ZONES, i, "region", zone->region))
			return false;
		list_add(&check->zones, zone->name);
		list_add(&check->regions, zone->region);
	}
	list_sort(&check->regions);
	return sort_and_check_unique(check, &check->zones, CFG_ZONES, "name");
}

static bool check_customer(struct check *check, size_t i)
{
	const Aw__Customer *customer = check->config->customers[i];
	const char *name = customer->name;

	if (!check_name(check, CFG_CUSTOMERS, i, "name", name))
		return false;
	if (!strcmp(name, "-"))
		return fail(check, CFG_CUSTOMERS, i, "name",
			    "name \"-\" in customers is reserved for open "
			    "routes");
	list_add(&check->customers, name);
	return check_range(check, CFG_CUSTOMERS, i, name, "rate_per_s",
			   customer->rate_per_s, 1, CFG_RATE_MAX) &&
	       check_range(check, CFG_CUSTOMERS, i, name, "burst",
			   customer->burst, 1, CFG_BURST_MAX) &&
	       check_range(check, CFG_CUSTOMERS, i, name, "weight",
			   customer->weight, 1, CFG_WEIGHT_MAX);
}

static bool check_customers(struct check *check)
{
	size_t i, nr = check->config->n_customers;

	if (!list_create(check, &check->customers, nr))
		return false;
	for (i = 0; i < nr; i++) {
		if (!check_customer(check, i))
			return false;
	}
	return sort_and_check_unique(check, &check->customers, CFG_CUSTOMERS,
				     "name");
}

static bool check_upstreams(struct check *check)
{
	size_t i, nr = check->config->n_upstreams;

	if (!list_create(check, &check->upstreams, nr))
		return false;
	for (i = 0; i < nr; i++) {
		const Aw__Upstream *upstream = check->config->upstreams[i];

		if (!check_name(check, CFG_UPSTREAMS, i, "name",
				upstream->name) ||
		    !check_range(check, CFG_UPSTREAMS, i, upstream->name,
				 "connections_max", upstream->connections_max,
				 1, CFG_CONNECTIONS_MAX))
			return false;
		list_add(&check->upstreams, upstream->name);
	}
	return sort_and_check_unique(check, &check->upstreams, CFG_UPSTREAMS,
				     "name");
}

static bool is_method(const char *text)
{
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		if (!strcmp(text, methods[i]))
			return true;
	}
	return false;
}

static bool check_methods(struct check *check, size_t i)
{
	const Aw__Route *route = check->config->routes[i];
	size_t j, k;

	if (!route->n_methods)
		return fail(check, CFG_ROUTES, i, "methods",
			    "methods of \"%s\" in routes is empty",
			    route->name);
	for (j = 0; j < route->n_methods; j++) {
		const char *method = text_or_empty(route->methods[j]);

		if (!is_method(method))
			return fail(check, CFG_ROUTES, i, "methods",
				    "method \"%.32s\" of \"%s\" in routes must "
				    "be one of GET, HEAD, POST, PUT, PATCH, "
				    "DELETE, OPTIONS",
				    method, route->name);
		if (route->kind == AW__REQUEST_KIND__NON_IDEMPOTENT &&
		    (!strcmp(method, "GET") || !strcmp(method, "HEAD")))
			return fail(check, CFG_ROUTES, i, "methods",
				    "method %s of \"%s\" in routes cannot be "
				    "non_idempotent",
				    method, route->name);
		for (k = 0; k < j; k++) {
			if (!strcmp(route->methods[k], method))
				return fail(check, CFG_ROUTES, i, "methods",
					    "method %s of \"%s\" in routes is "
					    "repeated",
					    method, route->name);
		}
	}
	return true;
}

static bool have_common_method(const Aw__Route *a, const Aw__Route *b)
{
	size_t i, j;

	for (i = 0; i < a->n_methods; i++) {
		for (j = 0; j < b->n_methods; j++) {
			if (!strcmp(a->methods[i], b->methods[j]))
				return true;
		}
	}
	return false;
}

static bool check_route(struct check *check, size_t i)
{
	const Aw__Route *route = check->config->routes[i];
	const char *cause;
	size_t j;

	if (!check_name(check, CFG_ROUTES, i, "name", route->name))
		return false;
	list_add(&check->routes, route->name);
	cause = cfg_path_prefix_error(text_or_empty(route->path_prefix));
	if (cause)
		return fail(check, CFG_ROUTES, i, "path_prefix",
			    "path_prefix \"%.256s\" of \"%s\" in routes %s",
			    text_or_empty(route->path_prefix), route->name,
			    cause);
	if (route->kind != AW__REQUEST_KIND__IDEMPOTENT &&
	    route->kind != AW__REQUEST_KIND__NON_IDEMPOTENT)
		return fail(check, CFG_ROUTES, i, "kind",
			    "kind of \"%s\" in routes must be idempotent or "
			    "non_idempotent",
			    route->name);
	if (!check_methods(check, i) ||
	    !check_reference(check, CFG_ROUTES, i, route->name, "upstream",
			     route->upstream, &check->upstreams))
		return false;
	for (j = 0; j < i; j++) {
		const Aw__Route *other = check->config->routes[j];

		if (!strcmp(other->path_prefix, route->path_prefix) &&
		    have_common_method(other, route))
			return fail(check, CFG_ROUTES, i, "path_prefix",
				    "path_prefix \"%.256s\" of \"%s\" in "
				    "routes is that of \"%s\" with the same "
				    "method",
				    route->path_prefix, route->name,
				    other->name);
	}
	return true;
}

static bool check_routes(struct check *check)
{
	size_t i, nr = check->config->n_routes;

	if (!list_create(check, &check->routes, nr))
		return false;
	for (i = 0; i < nr; i++) {
		if (!check_route(check, i))
			return false;
	}
	return sort_and_check_unique(check, &check->routes, CFG_ROUTES, "name");
}

static bool check_link(struct check *check, size_t i)
{
	const Aw__Link *link = check->config->links[i], *other;
	char name[2 * NAME_BYTES_MAX];
	size_t j;

	snprintf(name, sizeof(name), "%s>%s", text_or_empty(link->from_region),
		 text_or_empty(link->to_region));
	if (!check_reference(check, CFG_LINKS, i, name, "from_region",
			     link->from_region, &check->regions) ||
	    !check_reference(check, CFG_LINKS, i, name, "to_region",
			     link->to_region, &check->regions) ||
	    !check_range(check, CFG_LINKS, i, name, "cap_kbit_per_s",
			 link->cap_kbit_per_s, 1, CFG_LINK_KBIT_MAX))
		return false;
	if (!strcmp(link->from_region, link->to_region))
		return fail(check, CFG_LINKS, i, "to_region",
			    "link \"%s\" does not join different regions",
			    name);
	for (j = 0; j < i; j++) {
		other = check->config->links[j];
		if (!strcmp(other->from_region, link->from_region) &&
		    !strcmp(other->to_region, link->to_region))
			return fail(check, CFG_LINKS, i, "from_region",
				    "link \"%s\" is repeated", name);
	}
	return true;
}

static bool check_links(struct check *check)
{
	size_t i;

	for (i = 0; i < check->config->n_links; i++) {
		if (!check_link(check, i))
			return false;
	}
	return true;
}

static bool check_block_list(struct check *check, struct name_list *list,
			     char (*texts)[CFG_BLOCK_BYTES_MAX])
{
	const Aw__Config *config = check->config;
	const char *cause;
	size_t i;

	for (i = 0; i < config->n_client_blocks; i++) {
		const Aw__ClientBlock *block = config->client_blocks[i];

		cause = cfg_client_block_error(text_or_empty(block->prefix),
					       texts[i]);
		if (cause)
			return fail(check, CFG_CLIENT_BLOCKS, i, "prefix",
				    "prefix \"%.80s\" in client_blocks %s",
				    text_or_empty(block->prefix), cause);
		list_add(list, texts[i]);
		if (!check_reference(check, CFG_CLIENT_BLOCKS, i, block->prefix,
				     "zone", block->zone, &check->zones))
			return false;
	}
	return sort_and_check_unique(check, list, CFG_CLIENT_BLOCKS, "prefix");
}

static bool check_client_blocks(struct check *check)
{
	size_t nr = check->config->n_client_blocks;
	struct name_list list = { NULL, 0 };
	char(*texts)[CFG_BLOCK_BYTES_MAX];
	bool ok = false;

	texts = calloc(nr ? nr : 1, sizeof(*texts));
	if (!texts)
		check->out_of_memory = true;
	else if (list_create(check, &list, nr))
		ok = check_block_list(check, &list, texts);
	free(list.items);
	free(texts);
	return ok;
}

/*
 * Checks that a policy value exists under that name and that the value is in
 * its range.
 */
static bool check_setting(struct check *check, enum cfg_section section,
			  size_t index, const char *owner, const char *setting,
			  uint64_t value)
{
	enum cfg_setting policy = cfg_setting_by_name(text_or_empty(setting));
	const struct cfg_setting_info *info;

	if (policy == CFG_SETTING_COUNT)
		return fail(check, section, index, "setting",
			    "setting \"%.80s\" in %s does not exist",
			    text_or_empty(setting), section_names[section]);
	info = cfg_setting_info(policy);
	if (value >= info->min && value <= info->max)
		return true;
	return fail(check, section, index, "value",
		    "value of \"%s\" in %s is %llu, must be %llu to %llu for "
		    "%s",
		    owner, section_names[section], (unsigned long long)value,
		    (unsigned long long)info->min,
		    (unsigned long long)info->max, info->name);
}

static bool check_defaults(struct check *check)
{
	const Aw__Config *config = check->config;
	size_t i, j;

	for (i = 0; i < config->n_defaults; i++) {
		const Aw__Default *dflt = config->defaults[i];

		if (!check_setting(check, CFG_DEFAULTS, i,
				   text_or_empty(dflt->setting), dflt->setting,
				   dflt->value) ||
		    !check_reason(check, CFG_DEFAULTS, i, dflt->setting,
				  dflt->reason))
			return false;
		for (j = 0; j < i; j++) {
			if (!strcmp(config->defaults[j]->setting,
				    dflt->setting))
				return fail(check, CFG_DEFAULTS, i, "setting",
					    "setting \"%s\" is repeated in "
					    "defaults",
					    dflt->setting);
		}
	}
	return true;
}

static bool check_exception(struct check *check, size_t i)
{
	const Aw__Exception *exception = check->config->exceptions[i];
	const struct {
		const char *field;
		const char *value;
		const struct name_list *list;
	} selectors[] = {
		{ "customer", exception->customer, &check->customers },
		{ "route", exception->route, &check->routes },
		{ "upstream", exception->upstream, &check->upstreams },
		{ "zone", exception->zone, &check->zones },
		{ "region", exception->region, &check->regions },
	};
	const char *name = exception->name;
	size_t j;

	if (!check_name(check, CFG_EXCEPTIONS, i, "name", name) ||
	    !check_setting(check, CFG_EXCEPTIONS, i, name, exception->setting,
			   exception->value) ||
	    !check_reason(check, CFG_EXCEPTIONS, i, name, exception->reason))
		return false;
	for (j = 0; j < sizeof(selectors) / sizeof(selectors[0]); j++) {
		if (*text_or_empty(selectors[j].value) &&
		    !check_reference(check, CFG_EXCEPTIONS, i, name,
				     selectors[j].field, selectors[j].value,
				     selectors[j].list))
			return false;
	}
	return true;
}

static bool check_exceptions(struct check *check)
{
	size_t i, nr = check->config->n_exceptions;
	struct name_list list = { NULL, 0 };
	bool ok = list_create(check, &list, nr);

	for (i = 0; ok && i < nr; i++) {
		ok = check_exception(check, i);
		if (ok)
			list_add(&list, check->config->exceptions[i]->name);
	}
	ok = ok && sort_and_check_unique(check, &list, CFG_EXCEPTIONS, "name");
	free(list.items);
	return ok;
}

static bool check_size(struct check *check)
{
	size_t size_bytes = aw__config__get_packed_size(check->config);

	if (size_bytes <= PACKED_BYTES_MAX)
		return true;
	return fail(check, CFG_CLIENT_BLOCKS, 0, NULL,
		    "the configuration has %zu bytes packed, must have at "
		    "most %d",
		    size_bytes, PACKED_BYTES_MAX);
}

enum cfg_error cfg_find_violation(const Aw__Config *config,
				  struct cfg_violation *violation)
{
	struct check check = { .config = config, .violation = violation };
	bool ok;

	ok = check_zones(&check) && check_customers(&check) &&
	     check_upstreams(&check) && check_routes(&check) &&
	     check_links(&check) && check_client_blocks(&check) &&
	     check_defaults(&check) && check_exceptions(&check) &&
	     check_size(&check);
	free(check.zones.items);
	free(check.regions.items);
	free(check.customers.items);
	free(check.upstreams.items);
	free(check.routes.items);
	if (ok)
		return CFG_OK;
	return check.out_of_memory ? CFG_ERR_MEMORY : CFG_ERR_RULE;
}

enum cfg_error cfg_check(const Aw__Config *config, char *error_text,
			 size_t error_text_bytes)
{
	struct cfg_violation violation;
	enum cfg_error error = cfg_find_violation(config, &violation);

	if (error == CFG_ERR_RULE)
		snprintf(error_text, error_text_bytes, "%s", violation.text);
	else if (error == CFG_ERR_MEMORY)
		snprintf(error_text, error_text_bytes, "memory is exhausted");
	return error;
}
