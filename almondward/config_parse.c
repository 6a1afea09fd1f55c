#include "config_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc.h"

#define ARRAY_LEN(array) (sizeof(array) / sizeof((array)[0]))

enum value_type { TYPE_STRING, TYPE_UINT32, TYPE_UINT64 };

/*
 * One field of an item, and the field of the protobuf message that it sets.
 */
struct member {
	const char *name;
	enum value_type type;
	bool required;
	size_t offset; /* in the protobuf message */
	uint64_t min, max; /* range, for numbers only */
};

struct parser {
	struct doc doc;
	Aw__Config *config;
	bool out_of_memory;
};

static bool fail_out_of_memory(struct parser *parser)
{
	parser->out_of_memory = true;
	return false;
}

static bool replace_string(struct parser *parser, char **target,
			   const char *text)
{
	char *copy = strdup(text);

	if (!copy)
		return fail_out_of_memory(parser);
	if (*target != protobuf_c_empty_string)
		free(*target);
	*target = copy;
	return true;
}

static bool read_member(struct parser *parser, const struct member *member,
			const char *section, const yaml_node_t *node,
			void *message)
{
	void *target = (char *)message + member->offset;
	char what[128];
	const char *text;
	uint64_t number;

	snprintf(what, sizeof(what), "%s in %s", member->name, section);
	if (member->type == TYPE_STRING)
		return doc_string(&parser->doc, node, what, &text) &&
		       replace_string(parser, target, text);
	if (!doc_uint(&parser->doc, node, what, member->min, member->max,
		      &number))
		return false;
	if (member->type == TYPE_UINT32)
		*(uint32_t *)target = (uint32_t)number;
	else
		*(uint64_t *)target = number;
	return true;
}

/*
 * Reads one item: sets the members of the message, and returns the nodes of
 * the names in extra_names, which the caller reads, in extra.
 */
static bool read_item(struct parser *parser, const yaml_node_t *node,
		      const char *section, const struct member *members,
		      size_t nr_members, const char *const *extra_names,
		      size_t nr_extra, const yaml_node_t **extra, void *message)
{
	const char *names[DOC_FIELDS_MAX];
	const yaml_node_t *values[DOC_FIELDS_MAX];
	char what[64];
	size_t i;

	for (i = 0; i < nr_members; i++)
		names[i] = members[i].name;
	for (i = 0; i < nr_extra; i++)
		names[nr_members + i] = extra_names[i];
	snprintf(what, sizeof(what), "an item of %s", section);
	if (!doc_fields(&parser->doc, node, what, names, nr_members + nr_extra,
			values))
		return false;
	for (i = 0; i < nr_members; i++) {
		if (!values[i] && members[i].required)
			return doc_fail(&parser->doc, doc_line(node),
					"\"%s\" is missing in %s",
					members[i].name, what);
		if (values[i] && !read_member(parser, &members[i], section,
					      values[i], message))
			return false;
	}
	for (i = 0; i < nr_extra; i++)
		extra[i] = values[nr_members + i];
	return true;
}

static bool read_zone(struct parser *parser, const yaml_node_t *node,
		      void *message)
{
	static const struct member members[] = {
		{ "name", TYPE_STRING, true, offsetof(Aw__Zone, name), 0, 0 },
		{ "region", TYPE_STRING, true, offsetof(Aw__Zone, region), 0,
		  0 },
	};

	aw__zone__init(message);
	return read_item(parser, node, "zones", members, ARRAY_LEN(members),
			 NULL, 0, NULL, message);
}

static bool read_customer(struct parser *parser, const yaml_node_t *node,
			  void *message)
{
	static const struct member members[] = {
		{ "name", TYPE_STRING, true, offsetof(Aw__Customer, name), 0,
		  0 },
		{ "rate_per_s", TYPE_UINT32, true,
		  offsetof(Aw__Customer, rate_per_s), 1, CFG_RATE_MAX },
		{ "burst", TYPE_UINT32, true, offsetof(Aw__Customer, burst), 1,
		  CFG_BURST_MAX },
		{ "weight", TYPE_UINT32, false, offsetof(Aw__Customer, weight),
		  1, CFG_WEIGHT_MAX },
	};
	Aw__Customer *customer = message;

	aw__customer__init(customer);
	customer->weight = 1;
	return read_item(parser, node, "customers", members, ARRAY_LEN(members),
			 NULL, 0, NULL, message);
}

static bool read_upstream(struct parser *parser, const yaml_node_t *node,
			  void *message)
{
	static const struct member members[] = {
		{ "name", TYPE_STRING, true, offsetof(Aw__Upstream, name), 0,
		  0 },
		{ "connections_max", TYPE_UINT32, true,
		  offsetof(Aw__Upstream, connections_max), 1,
		  CFG_CONNECTIONS_MAX },
	};

	aw__upstream__init(message);
	return read_item(parser, node, "upstreams", members, ARRAY_LEN(members),
			 NULL, 0, NULL, message);
}

static bool read_methods(struct parser *parser, const yaml_node_t *node,
			 Aw__Route *route)
{
	const char *text;
	size_t i, nr;

	if (!doc_items(&parser->doc, node, "methods in routes", &nr))
		return false;
	route->methods = calloc(nr ? nr : 1, sizeof(*route->methods));
	if (!route->methods)
		return fail_out_of_memory(parser);
	for (i = 0; i < nr; i++) {
		if (!doc_string(&parser->doc, doc_item(&parser->doc, node, i),
				"a method in routes", &text))
			return false;
		route->methods[i] = strdup(text);
		if (!route->methods[i])
			return fail_out_of_memory(parser);
		route->n_methods++;
	}
	return true;
}

static bool read_route(struct parser *parser, const yaml_node_t *node,
		       void *message)
{
	static const struct member members[] = {
		{ "name", TYPE_STRING, true, offsetof(Aw__Route, name), 0, 0 },
		{ "path_prefix", TYPE_STRING, true,
		  offsetof(Aw__Route, path_prefix), 0, 0 },
		{ "upstream", TYPE_STRING, true, offsetof(Aw__Route, upstream),
		  0, 0 },
	};
	static const char *const extra_names[] = { "methods", "kind", "open" };
	static const char *const kinds[] = { "idempotent", "non_idempotent" };
	static const char *const booleans[] = { "false", "true" };
	const yaml_node_t *extra[3];
	Aw__Route *route = message;
	size_t i, index = 0;

	aw__route__init(route);
	if (!read_item(parser, node, "routes", members, ARRAY_LEN(members),
		       extra_names, 3, extra, route))
		return false;
	for (i = 0; i < 2; i++) {
		if (!extra[i])
			return doc_fail(&parser->doc, doc_line(node),
					"\"%s\" is missing in an item of "
					"routes",
					extra_names[i]);
	}
	if (!read_methods(parser, extra[0], route) ||
	    !doc_choice(&parser->doc, extra[1], "kind in routes", kinds, 2,
			&index))
		return false;
	route->kind = index ? AW__REQUEST_KIND__NON_IDEMPOTENT :
			      AW__REQUEST_KIND__IDEMPOTENT;
	if (!extra[2])
		return true;
	if (!doc_choice(&parser->doc, extra[2], "open in routes", booleans, 2,
			&index))
		return false;
	route->open = index == 1;
	return true;
}

static bool read_link(struct parser *parser, const yaml_node_t *node,
		      void *message)
{
	static const struct member members[] = {
		{ "from_region", TYPE_STRING, true,
		  offsetof(Aw__Link, from_region), 0, 0 },
		{ "to_region", TYPE_STRING, true, offsetof(Aw__Link, to_region),
		  0, 0 },
		{ "cap_kbit_per_s", TYPE_UINT32, true,
		  offsetof(Aw__Link, cap_kbit_per_s), 1, CFG_LINK_KBIT_MAX },
	};

	aw__link__init(message);
	return read_item(parser, node, "links", members, ARRAY_LEN(members),
			 NULL, 0, NULL, message);
}

static bool read_client_block(struct parser *parser, const yaml_node_t *node,
			      void *message)
{
	static const struct member members[] = {
		{ "prefix", TYPE_STRING, true,
		  offsetof(Aw__ClientBlock, prefix), 0, 0 },
		{ "zone", TYPE_STRING, true, offsetof(Aw__ClientBlock, zone), 0,
		  0 },
	};

	aw__client_block__init(message);
	return read_item(parser, node, "client_blocks", members,
			 ARRAY_LEN(members), NULL, 0, NULL, message);
}

static bool read_exception(struct parser *parser, const yaml_node_t *node,
			   void *message)
{
	static const struct member members[] = {
		{ "name", TYPE_STRING, true, offsetof(Aw__Exception, name), 0,
		  0 },
		{ "setting", TYPE_STRING, true,
		  offsetof(Aw__Exception, setting), 0, 0 },
		{ "value", TYPE_UINT64, true, offsetof(Aw__Exception, value), 0,
		  UINT64_MAX },
		{ "reason", TYPE_STRING, true, offsetof(Aw__Exception, reason),
		  0, 0 },
		{ "customer", TYPE_STRING, false,
		  offsetof(Aw__Exception, customer), 0, 0 },
		{ "route", TYPE_STRING, false, offsetof(Aw__Exception, route),
		  0, 0 },
		{ "upstream", TYPE_STRING, false,
		  offsetof(Aw__Exception, upstream), 0, 0 },
		{ "zone", TYPE_STRING, false, offsetof(Aw__Exception, zone), 0,
		  0 },
		{ "region", TYPE_STRING, false, offsetof(Aw__Exception, region),
		  0, 0 },
	};

	aw__exception__init(message);
	return read_item(parser, node, "exceptions", members,
			 ARRAY_LEN(members), NULL, 0, NULL, message);
}

/*
 * Reads a list of items of one type. Each item is counted before it is read, so
 * that it is freed with the configuration also when reading fails.
 */
static bool read_list(struct parser *parser, const yaml_node_t *node,
		      enum cfg_section section, size_t item_bytes,
		      bool (*read)(struct parser *parser,
				   const yaml_node_t *node, void *message),
		      void ***items, size_t *nr_items)
{
	size_t i, nr;

	if (!node)
		return true;
	if (!doc_items(&parser->doc, node, cfg_section_name(section), &nr))
		return false;
	if (!nr)
		return true;
	*items = calloc(nr, sizeof(**items));
	if (!*items)
		return fail_out_of_memory(parser);
	for (i = 0; i < nr; i++) {
		(*items)[i] = calloc(1, item_bytes);
		if (!(*items)[i])
			return fail_out_of_memory(parser);
		*nr_items = i + 1;
		if (!read(parser, doc_item(&parser->doc, node, i), (*items)[i]))
			return false;
	}
	return true;
}

static bool read_default(struct parser *parser, const yaml_node_t *key,
			 const yaml_node_t *node, Aw__Default *dflt)
{
	static const struct member members[] = {
		{ "value", TYPE_UINT64, true, offsetof(Aw__Default, value), 0,
		  UINT64_MAX },
		{ "reason", TYPE_STRING, true, offsetof(Aw__Default, reason), 0,
		  0 },
	};
	const char *name;

	return doc_string(&parser->doc, key, "a name in defaults", &name) &&
	       replace_string(parser, &dflt->setting, name) &&
	       read_item(parser, node, "defaults", members, ARRAY_LEN(members),
			 NULL, 0, NULL, dflt);
}

static bool read_defaults(struct parser *parser, const yaml_node_t *node)
{
	Aw__Config *config = parser->config;
	const yaml_node_t *key, *value;
	size_t i, nr;

	if (!node)
		return true;
	if (!doc_pairs(&parser->doc, node, "defaults", &nr))
		return false;
	if (nr > CFG_SETTING_COUNT)
		return doc_fail(&parser->doc, doc_line(node),
				"defaults has %zu names, there are only %d "
				"settings",
				nr, CFG_SETTING_COUNT);
	config->defaults = calloc(nr ? nr : 1, sizeof(void *));
	if (!config->defaults)
		return fail_out_of_memory(parser);
	for (i = 0; i < nr; i++) {
		config->defaults[i] = calloc(1, sizeof(**config->defaults));
		if (!config->defaults[i])
			return fail_out_of_memory(parser);
		aw__default__init(config->defaults[i]);
		config->n_defaults = i + 1;
		value = doc_pair(&parser->doc, node, i, &key);
		if (!read_default(parser, key, value, config->defaults[i]))
			return false;
	}
	return true;
}

#define READ_LIST(section, type, fn, member)                          \
	read_list(parser, values[section], section, sizeof(type), fn, \
		  (void ***)&config->member, &config->n_##member)

static bool read_document(struct parser *parser)
{
	const yaml_node_t *values[CFG_SECTION_COUNT];
	const char *names[CFG_SECTION_COUNT];
	Aw__Config *config = parser->config;
	int i;

	for (i = 0; i < CFG_SECTION_COUNT; i++)
		names[i] = cfg_section_name((enum cfg_section)i);
	return doc_fields(&parser->doc, doc_root(&parser->doc),
			  "the configuration", names, CFG_SECTION_COUNT,
			  values) &&
	       READ_LIST(CFG_ZONES, Aw__Zone, read_zone, zones) &&
	       READ_LIST(CFG_CUSTOMERS, Aw__Customer, read_customer,
			 customers) &&
	       READ_LIST(CFG_UPSTREAMS, Aw__Upstream, read_upstream,
			 upstreams) &&
	       READ_LIST(CFG_ROUTES, Aw__Route, read_route, routes) &&
	       READ_LIST(CFG_LINKS, Aw__Link, read_link, links) &&
	       READ_LIST(CFG_CLIENT_BLOCKS, Aw__ClientBlock, read_client_block,
			 client_blocks) &&
	       read_defaults(parser, values[CFG_DEFAULTS]) &&
	       READ_LIST(CFG_EXCEPTIONS, Aw__Exception, read_exception,
			 exceptions);
}

/*
 * Returns the line of the field that violates a rule. If the document does not
 * have the field, returns the line of its item, or else of the document.
 */
static size_t violation_line(struct parser *parser,
			     const struct cfg_violation *violation)
{
	const yaml_node_t *root = doc_root(&parser->doc), *key = NULL;
	const yaml_node_t *node, *field;

	node = doc_find(&parser->doc, root,
			cfg_section_name(violation->section));
	if (!node || !violation->field)
		return doc_line(root);
	if (violation->section == CFG_DEFAULTS)
		node = doc_pair(&parser->doc, node, violation->index, &key);
	else
		node = doc_item(&parser->doc, node, violation->index);
	field = doc_find(&parser->doc, node, violation->field);
	if (field)
		return doc_line(field);
	/* The name of a default is its key in the mapping. */
	return doc_line(key ? key : node);
}

enum cfg_error cfg_parse_yaml(const char *file_name, const char *text,
			      size_t len_bytes, Aw__Config **config,
			      char *error_text, size_t error_text_bytes)
{
	struct parser parser = { .config = NULL };
	enum cfg_error error = CFG_ERR_SYNTAX;
	struct cfg_violation violation;

	*config = NULL;
	if (!doc_load(&parser.doc, file_name, text, len_bytes, error_text,
		      error_text_bytes))
		goto out;
	parser.config = calloc(1, sizeof(*parser.config));
	if (!parser.config) {
		parser.out_of_memory = true;
		goto out;
	}
	aw__config__init(parser.config);
	if (!read_document(&parser))
		goto out;
	error = cfg_find_violation(parser.config, &violation);
	if (error == CFG_ERR_RULE)
		doc_fail(&parser.doc, violation_line(&parser, &violation), "%s",
			 violation.text);
out:
	if (parser.out_of_memory)
		error = CFG_ERR_MEMORY;
	if (error == CFG_ERR_MEMORY)
		snprintf(error_text, error_text_bytes,
			 "%s:1: memory is exhausted", file_name);
	if (!error)
		*config = parser.config;
	else if (parser.config)
		aw__config__free_unpacked(parser.config, NULL);
	doc_release(&parser.doc);
	return error;
}
