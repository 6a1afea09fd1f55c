/*
 * doc: YAML documents with a fixed structure.
 *
 * Reads one document of mappings, sequences and scalars. A function that
 * returns false has recorded the error as "file:line: cause", unless an earlier
 * error is already recorded. Messages use the names that the file uses.
 */
#ifndef DOC_H
#define DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <yaml.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DOC_FIELDS_MAX 16

struct doc {
	yaml_document_t yaml;
	const char *file_name;
	char *error_text;
	size_t error_text_bytes;
	bool loaded;
	bool failed;
};

/*
 * Parses text. error_text receives the first error until doc_release().
 * Aliases, more than one document and deep nesting are errors: no file of
 * almondward needs them, and aliases can make a small file expand without
 * limit.
 */
bool doc_load(struct doc *doc, const char *file_name, const char *text,
	      size_t len_bytes, char *error_text, size_t error_text_bytes);
void doc_release(struct doc *doc);

const yaml_node_t *doc_root(struct doc *doc);

/*
 * Returns the line number of a node, from 1.
 */
size_t doc_line(const yaml_node_t *node);

/*
 * Records an error unless one is already recorded; returns false.
 */
bool doc_fail(struct doc *doc, size_t line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Finds the values of a mapping's fields: sets values[i] to the value of
 * names[i] or, if it is absent, to NULL. Unknown and repeated names are errors.
 * what describes the node in messages, here and below.
 */
bool doc_fields(struct doc *doc, const yaml_node_t *node, const char *what,
		const char *const *names, size_t nr_names,
		const yaml_node_t **values);

/*
 * Returns the value of a mapping's field, or NULL; records no error.
 */
const yaml_node_t *doc_find(struct doc *doc, const yaml_node_t *node,
			    const char *name);

/*
 * Get the number of items of a sequence or of pairs of a mapping. A node of
 * another type is an error.
 */
bool doc_items(struct doc *doc, const yaml_node_t *node, const char *what,
	       size_t *nr);
bool doc_pairs(struct doc *doc, const yaml_node_t *node, const char *what,
	       size_t *nr);

/*
 * Return the item, or the value of the pair, at a valid index.
 */
const yaml_node_t *doc_item(struct doc *doc, const yaml_node_t *node,
			    size_t index);
const yaml_node_t *doc_pair(struct doc *doc, const yaml_node_t *node,
			    size_t index, const yaml_node_t **key);

/*
 * Read scalars. A string belongs to the document. doc_uint() accepts only
 * decimal digits. doc_choice() sets index to the position in choices.
 */
bool doc_string(struct doc *doc, const yaml_node_t *node, const char *what,
		const char **value);
bool doc_uint(struct doc *doc, const yaml_node_t *node, const char *what,
	      uint64_t min, uint64_t max, uint64_t *value);
bool doc_choice(struct doc *doc, const yaml_node_t *node, const char *what,
		const char *const *choices, size_t nr_choices, size_t *index);

#ifdef __cplusplus
}
#endif

#endif
