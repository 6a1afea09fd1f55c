/*
 * Declarations that the files of the cfg module share.
 */
#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include <arpa/inet.h>

#include "config.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CFG_RATE_MAX 10000000
#define CFG_BURST_MAX 100000000
#define CFG_WEIGHT_MAX 1000
#define CFG_CONNECTIONS_MAX 1000000
#define CFG_LINK_KBIT_MAX 1000000000
#define CFG_BLOCK_BYTES_MAX (INET6_ADDRSTRLEN + 4) /* "ADDRESS/LENGTH" */

/* Sections of the document, in their order. */
enum cfg_section {
	CFG_ZONES,
	CFG_CUSTOMERS,
	CFG_UPSTREAMS,
	CFG_ROUTES,
	CFG_LINKS,
	CFG_CLIENT_BLOCKS,
	CFG_DEFAULTS,
	CFG_EXCEPTIONS,
	CFG_SECTION_COUNT
};

/*
 * Returns the name of the section in the document.
 */
const char *cfg_section_name(enum cfg_section section);

/*
 * Both return why the text is invalid, or NULL if it is valid. The second one
 * also writes the canonical form of the client block, which is the same for
 * all spellings of a block.
 */
const char *cfg_path_prefix_error(const char *path);
const char *cfg_client_block_error(const char *text,
				   char canonical[CFG_BLOCK_BYTES_MAX]);

/*
 * A violation of a rule and its place: an item of a section and its field.
 */
struct cfg_violation {
	enum cfg_section section;
	size_t index;
	const char *field; /* name in the document, NULL: no single field */
	char text[768]; /* the message */
};

/*
 * Checks all rules. Returns CFG_OK, CFG_ERR_MEMORY, or CFG_ERR_RULE with the
 * first violation in the order of the document's sections.
 */
enum cfg_error cfg_find_violation(const Aw__Config *config,
				  struct cfg_violation *violation);

#ifdef __cplusplus
}
#endif

#endif
