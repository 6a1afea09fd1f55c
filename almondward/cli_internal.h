/*
 * Parts of cli that only its own files use.
 */
#ifndef CLI_INTERNAL_H
#define CLI_INTERNAL_H

#include <cjson/cJSON.h>

#include "cli.h"

#define CLI_ADDRESSES_MAX 32
#define CLI_OPERANDS_MAX 1

enum cli_option {
	OPT_SETTINGS,
	OPT_FLEET,
	OPT_CONTROL,
	OPT_ENTRY,
	OPT_TOKEN_FILE,
	OPT_JSON,
	OPT_REQUEST_ID,
	OPT_VERSION_EXPECTED,
	OPT_REASON,
	OPT_SETTING,
	OPT_VALUE,
	OPT_CUSTOMER,
	OPT_ROUTE,
	OPT_UPSTREAM,
	OPT_ZONE,
	OPT_REGION,
	OPT_ID,
	OPT_KIND,
	OPT_TARGET,
	OPT_RAMP,
	OPT_FORCE,
	OPT_COUNT
};

#define OPT_BIT(option) (1U << (option))

struct cli;

struct cli_command {
	const char *words; /* "config apply" */
	const char *operand; /* name of its operand, or NULL */
	const char *doc;
	uint32_t options; /* OPT_BIT of each that it takes */
	uint32_t required; /* OPT_BIT of each that it must have */
	int (*run)(struct cli *cli);
};

struct cli {
	const struct cli_env *env;
	const struct cli_command *command;
	const char *options[OPT_COUNT]; /* NULL where not given */
	const char *operand;
	char token[SET_SECRET_BYTES_MAX];
	char addresses[CLI_ADDRESSES_MAX][ADDRESS_BYTES_MAX];
	size_t nr_addresses;
	char request_id[65];
	char if_match[24];
};

/*
 * Parses the options of one command and checks their form. Exits on unknown
 * options; otherwise returns CLI_DONE or CLI_USAGE with a message.
 */
int cli_parse_args(struct cli *cli, int argc, char **argv);

/*
 * Writes "almondward: MESSAGE" to the error stream and returns status.
 */
int cli_fail(struct cli *cli, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Sends a request to the control instances until one answers as the leader or
 * with a final error. Changes carry the operator request id and may be sent
 * several times. Returns CLI_DONE with a reply of status 200, or another
 * status with a message. *unknown tells whether a change may have been made
 * although the status is not CLI_DONE; may be NULL.
 */
int cli_send(struct cli *cli, struct cli_request *request,
	     struct cli_reply *reply, bool *unknown);

/*
 * Sends a change under the operator request id and prints the result. Sets the
 * fields of request that all changes have in common.
 */
int cli_send_change(struct cli *cli, struct cli_request *request);

/*
 * Sends a change with a JSON body, or none if body is NULL, and prints the
 * result. Deletes body.
 */
int cli_change(struct cli *cli, const char *method, const char *target,
	       cJSON *body);

/*
 * Sends a GET and prints the JSON that comes back.
 */
int cli_show(struct cli *cli, const char *target);

/*
 * Reports an error response; returns CLI_REFUSED.
 */
int cli_report_refusal(struct cli *cli, const struct cli_reply *reply);

/*
 * Prints a response's JSON as it came with --json, else as aligned text.
 */
int cli_print_reply(struct cli *cli, const struct cli_reply *reply);
void cli_print_text(FILE *out, const cJSON *value);

enum cli_change_kind { CLI_REMOVED, CLI_ADDED };

/*
 * One line of one of two documents that the other does not have, and the
 * section that it is in. The texts do not end with NUL.
 */
struct cli_difference {
	enum cli_change_kind kind;
	const char *section;
	size_t section_bytes;
	const char *line;
	size_t line_bytes;
};

typedef void (*cli_diff_fn)(void *arg, const struct cli_difference *difference);

/*
 * Calls fn for each difference, in the order of the documents. Returns how
 * many there are.
 */
size_t cli_diff(const char *old_text, const char *new_text, cli_diff_fn fn,
		void *arg);

/*
 * Reads a file into out. Returns CLI_DONE, or CLI_USAGE with a message.
 */
int cli_read_file(struct cli *cli, const char *path, struct buf *out);

/*
 * Names of objects go into targets, so only characters that need no escape
 * are allowed. Returns CLI_DONE, or CLI_USAGE with a message.
 */
int cli_check_name(struct cli *cli, const char *what, const char *name);

int cli_run(struct cli *cli);
int cli_init(struct cli *cli);
int cli_check(struct cli *cli);
int cli_config_apply(struct cli *cli);
int cli_config_show(struct cli *cli);
int cli_config_diff(struct cli *cli);
int cli_exception_add(struct cli *cli);
int cli_exception_remove(struct cli *cli);
int cli_key_grant(struct cli *cli);
int cli_key_withdraw(struct cli *cli);
int cli_key_list(struct cli *cli);
int cli_drain_plan(struct cli *cli);
int cli_drain_show(struct cli *cli);
int cli_drain_cancel(struct cli *cli);
int cli_explain(struct cli *cli);
int cli_status(struct cli *cli);

#endif
