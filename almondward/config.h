/*
 * cfg: the fleet's configuration, its rules, and policy values.
 *
 * Operators write the configuration as a YAML document; the replicated form is
 * the protobuf message Config. Policy values are numbers with a name; each is
 * decided by the first exception that matches, else by the fleet-wide default,
 * else by the built-in default, and always has a written reason.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

enum cfg_setting {
	CFG_DEADLINE_MS,
	CFG_ADMISSION_WAIT_MS,
	CFG_QUEUE_WAIT_MS,
	CFG_QUEUE_MAX, /* waiting requests per upstream and entry instance */
	CFG_ATTEMPTS_MAX,
	CFG_CROSS_REGION, /* 0 or 1 */
	CFG_BODY_MAX_BYTES,
	CFG_ANSWER_MAX_BYTES,
	CFG_LOOKUP_TTL_S,
	CFG_SHIFT_CAP_PERMILLE, /* drained share per second */
	CFG_HEADROOM_PERMILLE, /* slots kept free when a drain moves load */
	CFG_EJECT_FAILURES, /* consecutive failures that eject a server */
	CFG_EJECT_MS,
	CFG_SETTING_COUNT
};

struct cfg_setting_info {
	const char *name;
	uint64_t min;
	uint64_t max;
	uint64_t value; /* built-in default */
	const char *reason; /* why this built-in default */
};

const struct cfg_setting_info *cfg_setting_info(enum cfg_setting setting);

/*
 * Returns the setting of that name, or CFG_SETTING_COUNT.
 */
enum cfg_setting cfg_setting_by_name(const char *name);

/*
 * True if name has 1 to 63 characters of a-z, 0-9, '.', '_' and '-'.
 */
bool cfg_name_valid(const char *name);

/*
 * Checks a written reason: 1 to 511 bytes of UTF-8 without control characters.
 */
bool cfg_reason_valid(const char *reason);

enum cfg_error {
	CFG_OK,
	CFG_ERR_MEMORY,
	CFG_ERR_SYNTAX, /* not YAML, or not the expected structure */
	CFG_ERR_RULE /* breaks a rule of the configuration */
};

/*
 * Parses a YAML document and checks its rules as cfg_check() does. On error
 * writes "file:line: cause" with the name of the object and the allowed range
 * to error_text. The version is not part of the document. *config is freed by
 * aw__config__free_unpacked(config, NULL).
 */
enum cfg_error cfg_parse_yaml(const char *file_name, const char *text,
			      size_t len_bytes, Aw__Config **config,
			      char *error_text, size_t error_text_bytes);

/*
 * Appends the YAML form, which cfg_parse_yaml() reads back.
 */
enum cfg_error cfg_format_yaml(const Aw__Config *config, struct buf *out);

/*
 * Checks all rules: unique names, references that exist, ranges, valid client
 * blocks, reasons present. Writes the cause to error_text.
 */
enum cfg_error cfg_check(const Aw__Config *config, char *error_text,
			 size_t error_text_bytes);

/*
 * What an exception can select by; NULL or "" where unknown.
 */
struct cfg_subject {
	const char *customer;
	const char *route;
	const char *upstream;
	const char *zone;
	const char *region;
};

enum cfg_origin {
	CFG_ORIGIN_BUILT_IN,
	CFG_ORIGIN_DEFAULT,
	CFG_ORIGIN_EXCEPTION
};

struct cfg_decision {
	uint64_t value;
	enum cfg_origin origin;
	const char *name; /* of the exception or of the setting */
	const char *reason;
};

/*
 * Looks a policy value up. Strings in *decision belong to config or are
 * constant. config may be NULL: built-in defaults apply.
 */
void cfg_decide(const Aw__Config *config, enum cfg_setting setting,
		const struct cfg_subject *subject,
		struct cfg_decision *decision);

const char *cfg_origin_name(enum cfg_origin origin);

/*
 * Look-ups by name; NULL if there is none.
 */
const Aw__Customer *cfg_customer(const Aw__Config *config, const char *name);
const Aw__Upstream *cfg_upstream(const Aw__Config *config, const char *name);
const char *cfg_region_of_zone(const Aw__Config *config, const char *zone);
const Aw__Link *cfg_link(const Aw__Config *config, const char *from_region,
			 const char *to_region);

#ifdef __cplusplus
}
#endif

#endif
