#include "doc.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEPTH_MAX 16

bool doc_fail(struct doc *doc, size_t line, const char *fmt, ...)
{
	char cause[1024], *pos;
	va_list args;

	if (doc->failed)
		return false;
	doc->failed = true;
	va_start(args, fmt);
	vsnprintf(cause, sizeof(cause), fmt, args);
	va_end(args);
	/* A message may contain text from the file. */
	for (pos = cause; *pos; pos++) {
		if ((unsigned char)*pos < ' ' || *pos == 0x7f)
			*pos = '?';
	}
	snprintf(doc->error_text, doc->error_text_bytes, "%s:%zu: %s",
		 doc->file_name, line, cause);
	return false;
}

static bool fail_parser(struct doc *doc, const yaml_parser_t *parser)
{
	if (parser->error == YAML_MEMORY_ERROR)
		return doc_fail(doc, 1, "memory is exhausted");
	return doc_fail(doc, parser->problem_mark.line + 1, "not YAML: %s",
			parser->problem ? parser->problem : "unknown cause");
}

static void set_input(yaml_parser_t *parser, const char *text, size_t len_bytes)
{
	yaml_parser_set_encoding(parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(parser, (const unsigned char *)text,
				     len_bytes);
}

static bool check_event(struct doc *doc, const yaml_event_t *event,
			size_t *depth, size_t *nr_documents)
{
	size_t line = event->start_mark.line + 1;

	switch (event->type) {
	case YAML_ALIAS_EVENT:
		return doc_fail(doc, line, "aliases are not supported");
	case YAML_DOCUMENT_START_EVENT:
		if (++*nr_documents > 1)
			return doc_fail(doc, line,
					"more than one document in the file");
		return true;
	case YAML_SEQUENCE_START_EVENT:
	case YAML_MAPPING_START_EVENT:
		if (++*depth > DEPTH_MAX)
			return doc_fail(doc, line, "nested deeper than %d",
					DEPTH_MAX);
		return true;
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		--*depth;
		return true;
	default:
		return true;
	}
}

/*
 * Checks all parser events before a document is built from them.
 */
static bool validate_events(struct doc *doc, const char *text, size_t len_bytes)
{
	size_t depth = 0, nr_documents = 0;
	yaml_parser_t parser;
	yaml_event_t event;
	bool at_end = false;

	if (!yaml_parser_initialize(&parser))
		return doc_fail(doc, 1, "memory is exhausted");
	set_input(&parser, text, len_bytes);
	while (!at_end && !doc->failed) {
		if (!yaml_parser_parse(&parser, &event)) {
			fail_parser(doc, &parser);
			break;
		}
		at_end = event.type == YAML_STREAM_END_EVENT;
		check_event(doc, &event, &depth, &nr_documents);
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
	if (!doc->failed && !nr_documents)
		doc_fail(doc, 1, "the file is empty");
	return !doc->failed;
}

bool doc_load(struct doc *doc, const char *file_name, const char *text,
	      size_t len_bytes, char *error_text, size_t error_text_bytes)
{
	yaml_parser_t parser;

	memset(doc, 0, sizeof(*doc));
	doc->file_name = file_name;
	doc->error_text = error_text;
	doc->error_text_bytes = error_text_bytes;
	if (!validate_events(doc, text, len_bytes))
		return false;
	if (!yaml_parser_initialize(&parser))
		return doc_fail(doc, 1, "memory is exhausted");
	set_input(&parser, text, len_bytes);
	if (yaml_parser_load(&parser, &doc->yaml))
		doc->loaded = true;
	else
		fail_parser(doc, &parser);
	yaml_parser_delete(&parser);
	return doc->loaded;
}

void doc_release(struct doc *doc)
{
	if (doc->loaded)
		yaml_document_delete(&doc->yaml);
	doc->loaded = false;
}

const yaml_node_t *doc_root(struct doc *doc)
{
	return yaml_document_get_root_node(&doc->yaml);
}

size_t doc_line(const yaml_node_t *node)
{
	return node->start_mark.line + 1;
}

static const char *scalar_text(const yaml_node_t *node)
{
	return (const char *)node->data.scalar.value;
}

/*
 * Returns false for a scalar that contains a NUL: code that uses its text as a
 * C string would see only a part of it.
 */
static bool is_text(const yaml_node_t *node)
{
	return node->type == YAML_SCALAR_NODE &&
	       strlen(scalar_text(node)) == node->data.scalar.length;
}

static size_t name_index(const char *text, const char *const *names,
			 size_t nr_names)
{
	size_t i;

	for (i = 0; i < nr_names; i++) {
		if (!strcmp(text, names[i]))
			break;
	}
	return i;
}

bool doc_pairs(struct doc *doc, const yaml_node_t *node, const char *what,
	       size_t *nr)
{
	if (node->type != YAML_MAPPING_NODE)
		return doc_fail(doc, doc_line(node),
				"%s must be a mapping of names to values",
				what);
	*nr = (size_t)(node->data.mapping.pairs.top -
		       node->data.mapping.pairs.start);
	return true;
}

bool doc_items(struct doc *doc, const yaml_node_t *node, const char *what,
	       size_t *nr)
{
	if (node->type != YAML_SEQUENCE_NODE)
		return doc_fail(doc, doc_line(node), "%s must be a list", what);
	*nr = (size_t)(node->data.sequence.items.top -
		       node->data.sequence.items.start);
	return true;
}

const yaml_node_t *doc_item(struct doc *doc, const yaml_node_t *node,
			    size_t index)
{
	return yaml_document_get_node(&doc->yaml,
				      node->data.sequence.items.start[index]);
}

const yaml_node_t *doc_pair(struct doc *doc, const yaml_node_t *node,
			    size_t index, const yaml_node_t **key)
{
	const yaml_node_pair_t *pair = &node->data.mapping.pairs.start[index];

	*key = yaml_document_get_node(&doc->yaml, pair->key);
	return yaml_document_get_node(&doc->yaml, pair->value);
}

bool doc_fields(struct doc *doc, const yaml_node_t *node, const char *what,
		const char *const *names, size_t nr_names,
		const yaml_node_t **values)
{
	const yaml_node_t *key, *value;
	size_t i, index, nr_pairs = 0;

	for (i = 0; i < nr_names; i++)
		values[i] = NULL;
	if (!doc_pairs(doc, node, what, &nr_pairs))
		return false;
	for (i = 0; i < nr_pairs; i++) {
		value = doc_pair(doc, node, i, &key);
		if (!is_text(key))
			return doc_fail(doc, doc_line(key),
					"a name in %s must be text", what);
		index = name_index(scalar_text(key), names, nr_names);
		if (index == nr_names)
			return doc_fail(doc, doc_line(key),
					"unknown name \"%.64s\" in %s",
					scalar_text(key), what);
		if (values[index])
			return doc_fail(doc, doc_line(key),
					"\"%s\" is repeated in %s",
					names[index], what);
		values[index] = value;
	}
	return true;
}

const yaml_node_t *doc_find(struct doc *doc, const yaml_node_t *node,
			    const char *name)
{
	const yaml_node_t *key, *value;
	size_t i, nr_pairs;

	if (!node || node->type != YAML_MAPPING_NODE)
		return NULL;
	nr_pairs = (size_t)(node->data.mapping.pairs.top -
			    node->data.mapping.pairs.start);
	for (i = 0; i < nr_pairs; i++) {
		value = doc_pair(doc, node, i, &key);
		if (is_text(key) && !strcmp(scalar_text(key), name))
			return value;
	}
	return NULL;
}

bool doc_string(struct doc *doc, const yaml_node_t *node, const char *what,
		const char **value)
{
	*value = "";
	if (!is_text(node))
		return doc_fail(doc, doc_line(node),
				"%s must be text without NUL", what);
	*value = scalar_text(node);
	return true;
}

bool doc_uint(struct doc *doc, const yaml_node_t *node, const char *what,
	      uint64_t min, uint64_t max, uint64_t *value)
{
	const char *text = "";
	char *end;

	if (!doc_string(doc, node, what, &text))
		return false;
	errno = 0;
	*value = strtoull(text, &end, 10);
	/* strtoull() accepts leading white space and signs. */
	if (*text < '0' || *text > '9' || *end || errno || *value < min ||
	    *value > max)
		return doc_fail(doc, doc_line(node),
				"%s is \"%.64s\", must be a whole number from "
				"%llu to %llu",
				what, text, (unsigned long long)min,
				(unsigned long long)max);
	return true;
}

bool doc_choice(struct doc *doc, const yaml_node_t *node, const char *what,
		const char *const *choices, size_t nr_choices, size_t *index)
{
	char list[256] = "";
	const char *text = "";
	size_t i, used = 0;

	if (!doc_string(doc, node, what, &text))
		return false;
	*index = name_index(text, choices, nr_choices);
	if (*index < nr_choices)
		return true;
	for (i = 0; i < nr_choices && used < sizeof(list); i++)
		used += (size_t)snprintf(list + used, sizeof(list) - used,
					 "%s%s", i ? ", " : "", choices[i]);
	return doc_fail(doc, doc_line(node),
			"%s is \"%.64s\", must be one of %s", what, text, list);
}
