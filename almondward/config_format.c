#include "config_internal.h"

#include <stdio.h>
#include <string.h>

#include <yaml.h>

/*
 * Writes events to a libyaml emitter. After the first failure it writes nothing
 * more.
 */
struct writer {
	yaml_emitter_t emitter;
	bool failed;
};

static int write_output(void *out, unsigned char *data, size_t len_bytes)
{
	return !buf_append(out, data, len_bytes);
}

static void emit(struct writer *writer, yaml_event_t *event, int initialized)
{
	if (!initialized) {
		writer->failed = true;
		return;
	}
	if (writer->failed) {
		yaml_event_delete(event);
		return;
	}
	/* The emitter takes ownership of the event, also when it fails. */
	if (!yaml_emitter_emit(&writer->emitter, event))
		writer->failed = true;
}

static void emit_text(struct writer *writer, const char *text)
{
	yaml_event_t event;

	emit(writer, &event,
	     yaml_scalar_event_initialize(
		     &event, NULL, NULL,
		     (const yaml_char_t *)(text ? text : ""), -1, 1, 1,
		     YAML_ANY_SCALAR_STYLE));
}

static void emit_field(struct writer *writer, const char *name,
		       const char *value)
{
	emit_text(writer, name);
	emit_text(writer, value);
}

static void emit_field_if_set(struct writer *writer, const char *name,
			      const char *value)
{
	if (value && *value)
		emit_field(writer, name, value);
}

static void emit_number(struct writer *writer, const char *name, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	emit_field(writer, name, text);
}

static void begin_mapping(struct writer *writer, yaml_mapping_style_t style)
{
	yaml_event_t event;

	emit(writer, &event,
	     yaml_mapping_start_event_initialize(&event, NULL, NULL, 1, style));
}

static void end_mapping(struct writer *writer)
{
	yaml_event_t event;

	emit(writer, &event, yaml_mapping_end_event_initialize(&event));
}

static void begin_sequence(struct writer *writer, yaml_sequence_style_t style)
{
	yaml_event_t event;

	emit(writer, &event,
	     yaml_sequence_start_event_initialize(&event, NULL, NULL, 1,
						  style));
}

static void end_sequence(struct writer *writer)
{
	yaml_event_t event;

	emit(writer, &event, yaml_sequence_end_event_initialize(&event));
}

/*
 * Begins an item. Each item is written on one line, so that documents can be
 * compared line by line.
 */
static void begin_item(struct writer *writer)
{
	begin_mapping(writer, YAML_FLOW_MAPPING_STYLE);
}

static void emit_zone(struct writer *writer, const Aw__Config *config, size_t i)
{
	emit_field(writer, "name", config->zones[i]->name);
	emit_field(writer, "region", config->zones[i]->region);
}

static void emit_customer(struct writer *writer, const Aw__Config *config,
			  size_t i)
{
	const Aw__Customer *customer = config->customers[i];

	emit_field(writer, "name", customer->name);
	emit_number(writer, "rate_per_s", customer->rate_per_s);
	emit_number(writer, "burst", customer->burst);
	emit_number(writer, "weight", customer->weight);
}

static void emit_upstream(struct writer *writer, const Aw__Config *config,
			  size_t i)
{
	emit_field(writer, "name", config->upstreams[i]->name);
	emit_number(writer, "connections_max",
		    config->upstreams[i]->connections_max);
}

static void emit_route(struct writer *writer, const Aw__Config *config,
		       size_t i)
{
	const Aw__Route *route = config->routes[i];
	size_t j;

	emit_field(writer, "name", route->name);
	emit_field(writer, "path_prefix", route->path_prefix);
	emit_text(writer, "methods");
	begin_sequence(writer, YAML_FLOW_SEQUENCE_STYLE);
	for (j = 0; j < route->n_methods; j++)
		emit_text(writer, route->methods[j]);
	end_sequence(writer);
	emit_field(writer, "upstream", route->upstream);
	emit_field(writer, "kind",
		   route->kind == AW__REQUEST_KIND__NON_IDEMPOTENT ?
			   "non_idempotent" :
			   "idempotent");
	emit_field(writer, "open", route->open ? "true" : "false");
}

static void emit_link(struct writer *writer, const Aw__Config *config, size_t i)
{
	const Aw__Link *link = config->links[i];

	emit_field(writer, "from_region", link->from_region);
	emit_field(writer, "to_region", link->to_region);
	emit_number(writer, "cap_kbit_per_s", link->cap_kbit_per_s);
}

static void emit_client_block(struct writer *writer, const Aw__Config *config,
			      size_t i)
{
	emit_field(writer, "prefix", config->client_blocks[i]->prefix);
	emit_field(writer, "zone", config->client_blocks[i]->zone);
}

static void emit_exception(struct writer *writer, const Aw__Config *config,
			   size_t i)
{
	const Aw__Exception *exception = config->exceptions[i];

	emit_field(writer, "name", exception->name);
	emit_field(writer, "setting", exception->setting);
	emit_number(writer, "value", exception->value);
	emit_field(writer, "reason", exception->reason);
	emit_field_if_set(writer, "customer", exception->customer);
	emit_field_if_set(writer, "route", exception->route);
	emit_field_if_set(writer, "upstream", exception->upstream);
	emit_field_if_set(writer, "zone", exception->zone);
	emit_field_if_set(writer, "region", exception->region);
}

static void emit_list(struct writer *writer, const Aw__Config *config,
		      enum cfg_section section, size_t nr,
		      void (*emit_item)(struct writer *writer,
					const Aw__Config *config, size_t i))
{
	size_t i;

	if (!nr)
		return;
	emit_text(writer, cfg_section_name(section));
	begin_sequence(writer, YAML_BLOCK_SEQUENCE_STYLE);
	for (i = 0; i < nr; i++) {
		begin_item(writer);
		emit_item(writer, config, i);
		end_mapping(writer);
	}
	end_sequence(writer);
}

static void emit_defaults(struct writer *writer, const Aw__Config *config)
{
	size_t i;

	if (!config->n_defaults)
		return;
	emit_text(writer, cfg_section_name(CFG_DEFAULTS));
	begin_mapping(writer, YAML_BLOCK_MAPPING_STYLE);
	for (i = 0; i < config->n_defaults; i++) {
		emit_text(writer, config->defaults[i]->setting);
		begin_item(writer);
		emit_number(writer, "value", config->defaults[i]->value);
		emit_field(writer, "reason", config->defaults[i]->reason);
		end_mapping(writer);
	}
	end_mapping(writer);
}

static void emit_config(struct writer *writer, const Aw__Config *config)
{
	emit_list(writer, config, CFG_ZONES, config->n_zones, emit_zone);
	emit_list(writer, config, CFG_CUSTOMERS, config->n_customers,
		  emit_customer);
	emit_list(writer, config, CFG_UPSTREAMS, config->n_upstreams,
		  emit_upstream);
	emit_list(writer, config, CFG_ROUTES, config->n_routes, emit_route);
	emit_list(writer, config, CFG_LINKS, config->n_links, emit_link);
	emit_list(writer, config, CFG_CLIENT_BLOCKS, config->n_client_blocks,
		  emit_client_block);
	emit_defaults(writer, config);
	emit_list(writer, config, CFG_EXCEPTIONS, config->n_exceptions,
		  emit_exception);
}

enum cfg_error cfg_format_yaml(const Aw__Config *config, struct buf *out)
{
	size_t start_bytes = out->len_bytes;
	struct writer writer = { .failed = false };
	yaml_event_t event;

	if (!yaml_emitter_initialize(&writer.emitter))
		return CFG_ERR_MEMORY;
	yaml_emitter_set_output(&writer.emitter, write_output, out);
	yaml_emitter_set_width(&writer.emitter, -1);
	yaml_emitter_set_unicode(&writer.emitter, 1);
	emit(&writer, &event,
	     yaml_stream_start_event_initialize(&event, YAML_UTF8_ENCODING));
	emit(&writer, &event,
	     yaml_document_start_event_initialize(&event, NULL, NULL, NULL, 1));
	begin_mapping(&writer, YAML_BLOCK_MAPPING_STYLE);
	emit_config(&writer, config);
	end_mapping(&writer);
	emit(&writer, &event, yaml_document_end_event_initialize(&event, 1));
	emit(&writer, &event, yaml_stream_end_event_initialize(&event));
	yaml_emitter_delete(&writer.emitter);
	if (!writer.failed)
		return CFG_OK;
	out->len_bytes = start_bytes;
	return CFG_ERR_MEMORY;
}
