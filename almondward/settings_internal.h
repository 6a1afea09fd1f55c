/*
 * Declarations that the files of the settings module share.
 */
#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "doc.h"
#include "settings.h"

struct set_reader {
	struct doc doc;
	const char *path;
	struct set_settings *settings;
};

/*
 * Both read one value. what is the name of the setting in messages. They return
 * false with the error recorded in reader->doc.
 */
bool set_read_address(struct set_reader *reader, const yaml_node_t *node,
		      const char *what, bool allow_wildcard,
		      char address[ADDRESS_BYTES_MAX]);
bool set_read_name(struct set_reader *reader, const yaml_node_t *node,
		   const char *what, char name[NAME_BYTES_MAX]);

/*
 * Reads the "cluster" table, in settings_cluster.c.
 */
bool set_read_cluster(struct set_reader *reader, const yaml_node_t *node);

#endif
