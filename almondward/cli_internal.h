/*
 * Declarations that the files of the cli module share.
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
	const char *words; /* as typed, for example "config apply" */
	const char *operand; /* name of its operand in messages, or NULL */
	const char *doc; /* one line for --help */
	uint32_t options; /* OPT_BIT of each option that it accepts */
	uint32_t required; /* OPT_BIT of each option that it requires */
	int (*run)(struct cli *cli);
};

/* One run of a command. */
struct cli {
	const struct cli_env *env;
	const struct cli_command *command;
	const char *options[OPT_COUNT]; /* NULL where not given */
	const char *operand;
	char token[SET_SECRET_BYTES_MAX];
	/* Operator addresses of the instances to call. */
	char addresses[CLI_ADDRESSES_MAX][ADDRESS_BYTES_MAX];
	size_t nr_addresses;
	char request_id[65]; /* given, or else random */
	char if_match[24]; /* expected configuration version, or "*" */
};

/*
 * Parses the options of one command, checks their syntax and reads the token
 * file. Exits on unknown, missing or repeated options. Otherwise returns
 * CLI_DONE, or another status after it has printed a message.
 */
int cli_parse_args(struct cli *cli, int argc, char **argv);

/*
 * Writes "almondward: MESSAGE" to the error stream and returns status.
 */
int cli_fail(struct cli *cli, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Sends a request to the control instances in turn until one responds as the
 * leader or with a final error. A change may be sent several times, always with
 * the same operator request id. Returns CLI_DONE with a reply of status 200, or
 * another status after it has printed a message. *unknown tells whether a
 * change may have been made although the returned status is not CLI_DONE;
 * unknown may be NULL.
 */
int cli_send(struct cli *cli, struct cli_request *request,
	     struct cli_reply *reply, bool *unknown);

/*
 * Sends a change with the operator request id and prints the result. Sets the
 * fields of request that are the same for all changes.
 */
int cli_send_change(struct cli *cli, struct cli_request *request);

/*
 * Sends a change with a JSON body, or without a body if body is NULL, and
 * prints the result. Deletes body.
 */
int cli_change(struct cli *cli, const char *method, const char *target,
	       cJSON *body);

/*
 * Sends a GET and prints the JSON of the response.
 */
int cli_show(struct cli *cli, const char *target);

/*
 * Reports an error response; returns CLI_REFUSED.
 */
int cli_report_refusal(struct cli *cli, const struct cli_reply *reply);

/*
 * Prints the JSON of a response: unchanged with --json, else as aligned text.
 */
int cli_print_reply(struct cli *cli, const struct cli_reply *reply);
void cli_print_text(FILE *out, const cJSON *value);

enum cli_change_kind { CLI_REMOVED, CLI_ADDED };

/*
 * A line that only one of two documents contains, and the section that it
 * belongs to. The texts do not end with NUL.
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
 * Calls fn for each difference, in the order of the documents. Returns the
 * number of differences.
 */
size_t cli_diff(const char *old_text, const char *new_text, cli_diff_fn fn,
		void *arg);

/*
 * Reads a file into out. Returns CLI_DONE, or another status after it has
 * printed a message.
 */
int cli_read_file(struct cli *cli, const char *path, struct buf *out);

/*
 * Checks the name of an object. Names become part of request targets, so only
 * characters that need no percent-encoding are allowed. Returns CLI_DONE, or
 * CLI_USAGE after it has printed a message.
 */
int cli_check_name(struct cli *cli, const char *what, const char *name);

/*
 * The commands. Each returns an exit status.
 */
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
