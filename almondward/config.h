/*
 * cfg: the fleet's configuration, its rules, and policy values.
 *
 * Operators write the configuration as a YAML document; its replicated form is
 * the protobuf message Config. A policy value is a named number. It comes from
 * the first exception that matches, else from the fleet-wide default, else from
 * the built-in default; each of these has a written reason.
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

/* Policy values, by their names in cfg_setting_info. */
enum cfg_setting {
	CFG_DEADLINE_MS,
	CFG_ADMISSION_WAIT_MS,
	CFG_QUEUE_WAIT_MS,
	CFG_QUEUE_MAX, /* waiting requests per upstream and entry instance */
	CFG_ATTEMPTS_MAX,
	CFG_CROSS_REGION, /* 1: requests may go to another region, else 0 */
	CFG_BODY_MAX_BYTES,
	CFG_ANSWER_MAX_BYTES,
	CFG_LOOKUP_TTL_S,
	CFG_SHIFT_CAP_PERMILLE, /* part that a drain may move per second */
	CFG_HEADROOM_PERMILLE, /* slots left free where a drain moves load */
	CFG_EJECT_FAILURES, /* consecutive failures that eject a server */
	CFG_EJECT_MS,
	CFG_SETTING_COUNT
};

struct cfg_setting_info {
	const char *name;
	uint64_t min;
	uint64_t max;
	uint64_t value; /* built-in default */
	const char *reason; /* for the built-in default, shown to operators */
};

const struct cfg_setting_info *cfg_setting_info(enum cfg_setting setting);

/*
 * Returns the policy value of that name, or CFG_SETTING_COUNT.
 */
enum cfg_setting cfg_setting_by_name(const char *name);

/*
 * Returns whether name has 1 to 63 characters of a-z, 0-9, '.', '_' and '-'.
 */
bool cfg_name_valid(const char *name);

/*
 * Returns whether a written reason has 1 to 511 bytes of UTF-8 without control
 * characters, not only spaces.
 */
bool cfg_reason_valid(const char *reason);

enum cfg_error {
	CFG_OK,
	CFG_ERR_MEMORY,
	CFG_ERR_SYNTAX, /* not YAML, or not the expected structure */
	CFG_ERR_RULE /* violates a rule of the configuration */
};

/*
 * Parses a YAML document and checks it against the rules as cfg_check() does.
 * On error writes "file:line: cause" to error_text; the cause has the name of
 * the object and the allowed range. The version of the configuration is not
 * part of the document. The caller frees *config with
 * aw__config__free_unpacked(config, NULL).
 */
enum cfg_error cfg_parse_yaml(const char *file_name, const char *text,
			      size_t len_bytes, Aw__Config **config,
			      char *error_text, size_t error_text_bytes);

/*
 * Appends the configuration as YAML, which cfg_parse_yaml() reads back.
 */
enum cfg_error cfg_format_yaml(const Aw__Config *config, struct buf *out);

/*
 * Checks all rules: names are unique, references exist, numbers are in their
 * ranges, client blocks are valid, reasons are present. Writes the first
 * violation to error_text.
 */
enum cfg_error cfg_check(const Aw__Config *config, char *error_text,
			 size_t error_text_bytes);

/*
 * The properties of a request that the selectors of an exception are compared
 * with; NULL or "" where unknown.
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
 * Looks up a policy value. Strings in *decision belong to config or are
 * constants. Without config (NULL), built-in defaults apply; subject may be
 * NULL where nothing is known.
 */
void cfg_decide(const Aw__Config *config, enum cfg_setting setting,
		const struct cfg_subject *subject,
		struct cfg_decision *decision);

const char *cfg_origin_name(enum cfg_origin origin);

/*
 * Look-ups by name. They return NULL if the configuration has no such object.
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
