/*
 * doc: YAML documents with a fixed structure.
 *
 * Reads one document of mappings, sequences and scalars. The functions that
 * return false have recorded the first error as "file:line: cause"; later ones
 * are dropped. Names in messages are those of the file.
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
 * Aliases, more than one document and deep nesting are errors: no file of ours
 * needs them, and aliases can make a small file expand without bound.
 */
bool doc_load(struct doc *doc, const char *file_name, const char *text,
	      size_t len_bytes, char *error_text, size_t error_text_bytes);
void doc_release(struct doc *doc);

const yaml_node_t *doc_root(struct doc *doc);
size_t doc_line(const yaml_node_t *node);

/*
 * Records an error unless there is one already; returns false.
 */
bool doc_fail(struct doc *doc, size_t line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Finds the values of a mapping's fields: values[i] belongs to names[i] and is
 * NULL if it is not there. Other and repeated names are errors. what describes
 * the mapping in messages.
 */
bool doc_fields(struct doc *doc, const yaml_node_t *node, const char *what,
		const char *const *names, size_t nr_names,
		const yaml_node_t **values);

/*
 * Value of a mapping's field or NULL; reports nothing.
 */
const yaml_node_t *doc_find(struct doc *doc, const yaml_node_t *node,
			    const char *name);

/*
 * Number of items of a sequence or pairs of a mapping.
 */
bool doc_items(struct doc *doc, const yaml_node_t *node, const char *what,
	       size_t *nr);
bool doc_pairs(struct doc *doc, const yaml_node_t *node, const char *what,
	       size_t *nr);
const yaml_node_t *doc_item(struct doc *doc, const yaml_node_t *node,
			    size_t index);
const yaml_node_t *doc_pair(struct doc *doc, const yaml_node_t *node,
			    size_t index, const yaml_node_t **key);

/*
 * Scalars. The string belongs to the document.
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
