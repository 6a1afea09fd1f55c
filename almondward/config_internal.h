/*
 * Parts of cfg that only its own files use.
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
 * Name of the section in the document.
 */
const char *cfg_section_name(enum cfg_section section);

/*
 * Both return the cause why the text is refused, or NULL. The second writes
 * the only canonical form of a client block.
 */
const char *cfg_path_prefix_fault(const char *path);
const char *cfg_block_fault(const char *text,
			    char canonical[CFG_BLOCK_BYTES_MAX]);

/*
 * Where a configuration breaks a rule: the item of a section and its field.
 */
struct cfg_fault {
	enum cfg_section section;
	size_t index;
	const char *field; /* name in the document */
	char text[768];
};

/*
 * Returns CFG_ERR_RULE and the first fault, in the order of the document's
 * sections, CFG_ERR_MEMORY, or CFG_OK.
 */
enum cfg_error cfg_find_fault(const Aw__Config *config,
			      struct cfg_fault *fault);

#ifdef __cplusplus
}
#endif

#endif
