#include "cli_internal.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "config.h"
#include "secret.h"

#define LONG_OPTION_BASE 256 /* above all characters: no short option */
#define REQUEST_ID_RANDOM_BYTES 16

/* In the order of enum cli_option. */
static const struct argp_option all_options[OPT_COUNT] = {
	[OPT_SETTINGS] = { "settings", 'c', "FILE", 0, "Settings file", 0 },
	[OPT_FLEET] = { "fleet", LONG_OPTION_BASE + OPT_FLEET, "FILE", 0,
			"Configuration document", 0 },
	[OPT_CONTROL] = { "control", LONG_OPTION_BASE + OPT_CONTROL,
			  "IP:PORT,...", 0,
			  "Operator addresses of control instances", 0 },
	[OPT_ENTRY] = { "entry", LONG_OPTION_BASE + OPT_ENTRY, "IP:PORT,...", 0,
			"Operator addresses of entry instances", 0 },
	[OPT_TOKEN_FILE] = { "token-file", LONG_OPTION_BASE + OPT_TOKEN_FILE,
			     "FILE", 0, "File with the operator token", 0 },
	[OPT_JSON] = { "json", LONG_OPTION_BASE + OPT_JSON, NULL, 0,
		       "Print the response as JSON", 0 },
	[OPT_REQUEST_ID] = { "request-id", LONG_OPTION_BASE + OPT_REQUEST_ID,
			     "ID", 0, "Send the change again under this id",
			     0 },
	[OPT_VERSION_EXPECTED] = { "version-expected",
				   LONG_OPTION_BASE + OPT_VERSION_EXPECTED,
				   "N|any", 0,
				   "Change only this configuration version",
				   0 },
	[OPT_REASON] = { "reason", LONG_OPTION_BASE + OPT_REASON, "TEXT", 0,
			 "Why, kept with the decisions", 0 },
	[OPT_SETTING] = { "setting", LONG_OPTION_BASE + OPT_SETTING, "NAME", 0,
			  "Policy value", 0 },
	[OPT_VALUE] = { "value", LONG_OPTION_BASE + OPT_VALUE, "NUMBER", 0,
			"Its value", 0 },
	[OPT_CUSTOMER] = { "customer", LONG_OPTION_BASE + OPT_CUSTOMER, "NAME",
			   0, "Only for this customer", 0 },
	[OPT_ROUTE] = { "route", LONG_OPTION_BASE + OPT_ROUTE, "NAME", 0,
			"Only for this route", 0 },
	[OPT_UPSTREAM] = { "upstream", LONG_OPTION_BASE + OPT_UPSTREAM, "NAME",
			   0, "Only for this upstream", 0 },
	[OPT_ZONE] = { "zone", LONG_OPTION_BASE + OPT_ZONE, "NAME", 0,
		       "Only in this availability zone", 0 },
	[OPT_REGION] = { "region", LONG_OPTION_BASE + OPT_REGION, "NAME", 0,
			 "Only in this region", 0 },
	[OPT_ID] = { "id", LONG_OPTION_BASE + OPT_ID, "ID", 0,
		     "Public name of the key", 0 },
	[OPT_KIND] = { "kind", LONG_OPTION_BASE + OPT_KIND,
		       "server|zone|region", 0, "What is drained", 0 },
	[OPT_TARGET] = { "target", LONG_OPTION_BASE + OPT_TARGET, "NAME", 0,
			 "Its address or name", 0 },
	[OPT_RAMP] = { "ramp-s", LONG_OPTION_BASE + OPT_RAMP, "SECONDS", 0,
		       "Time over which traffic moves, 0 to 86400", 0 },
	[OPT_FORCE] = { "force", LONG_OPTION_BASE + OPT_FORCE, NULL, 0,
			"Plan it although the rest cannot carry the load", 0 },
};

static int option_of_key(int key)
{
	if (key == 'c')
		return OPT_SETTINGS;
	return key >= LONG_OPTION_BASE && key < LONG_OPTION_BASE + OPT_COUNT ?
		       key - LONG_OPTION_BASE :
		       -1;
}

static void check_complete(struct cli *cli, struct argp_state *state)
{
	const struct cli_command *command = cli->command;
	int i;

	if (command->operand && !cli->operand)
		argp_error(state, "%s is missing", command->operand);
	for (i = 0; i < OPT_COUNT; i++) {
		if (command->required & OPT_BIT(i) && !cli->options[i])
			argp_error(state, "--%s is required",
				   all_options[i].name);
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct cli *cli = state->input;
	int option;

	switch (key) {
	case ARGP_KEY_ARG:
		if (!cli->command->operand || cli->operand)
			argp_error(state, "unexpected argument \"%s\"", arg);
		cli->operand = arg;
		return 0;
	case ARGP_KEY_END:
		check_complete(cli, state);
		return 0;
	default:
		option = option_of_key(key);
		if (option < 0)
			return ARGP_ERR_UNKNOWN;
		if (cli->options[option])
			argp_error(state, "--%s is repeated",
				   all_options[option].name);
		cli->options[option] = arg ? arg : "";
		return 0;
	}
}

static int parse_addresses(struct cli *cli, const char *list)
{
	char *copy = strdup(list), *state = NULL, *address;
	const char *cause;
	bool is_wildcard;
	int status = CLI_DONE;

	if (!copy)
		return cli_fail(cli, CLI_REFUSED, "memory is exhausted");
	for (address = strtok_r(copy, ",", &state); address;
	     address = strtok_r(NULL, ",", &state)) {
		cause = set_address_error(address, &is_wildcard);
		if (!cause && cli->nr_addresses == CLI_ADDRESSES_MAX)
			cause = "is one too many, 32 are allowed";
		if (cause) {
			status = cli_fail(cli, CLI_USAGE, "address \"%s\" %s",
					  address, cause);
			goto out;
		}
		memcpy(cli->addresses[cli->nr_addresses], address,
		       strlen(address) + 1);
		cli->nr_addresses++;
	}
	if (!cli->nr_addresses)
		status = cli_fail(cli, CLI_USAGE, "no address is given");
out:
	free(copy);
	return status;
}

static int parse_version(struct cli *cli, const char *text)
{
	size_t len_bytes = text ? strlen(text) : 0;

	if (!text || !strcmp(text, "any")) {
		memcpy(cli->if_match, "*", 2);
		return CLI_DONE;
	}
	if (!len_bytes || len_bytes > 20 ||
	    strspn(text, "0123456789") != len_bytes ||
	    strspn(text, "0") == len_bytes)
		return cli_fail(cli, CLI_USAGE,
				"--version-expected \"%s\" must be a "
				"configuration version, from 1, or any",
				text);
	memcpy(cli->if_match, text, len_bytes + 1);
	return CLI_DONE;
}

static int parse_request_id(struct cli *cli, const char *text)
{
	uint8_t random[REQUEST_ID_RANDOM_BYTES];
	size_t i, len_bytes;

	if (!text) {
		randombytes_buf(random, sizeof(random));
		sodium_bin2hex(cli->request_id, sizeof(cli->request_id), random,
			       sizeof(random));
		return CLI_DONE;
	}
	len_bytes = strlen(text);
	for (i = 0; i < len_bytes && text[i] > ' ' && text[i] <= '~'; i++)
		;
	if (!len_bytes || len_bytes >= sizeof(cli->request_id) || i < len_bytes)
		return cli_fail(cli, CLI_USAGE,
				"--request-id must have 1 to %zu visible "
				"characters",
				sizeof(cli->request_id) - 1);
	memcpy(cli->request_id, text, len_bytes + 1);
	return CLI_DONE;
}

static int read_token(struct cli *cli, const char *path)
{
	char cause[4096 + 256];
	size_t len_bytes;

	if (sec_read(path, true, cli->token, sizeof(cli->token), &len_bytes,
		     cause, sizeof(cause)))
		return CLI_DONE;
	return cli_fail(cli, CLI_USAGE, "%s", cause);
}

static int check_reason(struct cli *cli, const char *reason)
{
	if (cfg_reason_valid(reason))
		return CLI_DONE;
	return cli_fail(cli, CLI_USAGE,
			"--reason must have 1 to %d bytes of UTF-8 without "
			"control characters",
			REASON_BYTES_MAX - 1);
}

int cli_parse_args(struct cli *cli, int argc, char **argv)
{
	struct argp_option options[OPT_COUNT + 1] = { 0 };
	struct argp argp = { .options = options,
			     .parser = parse_option,
			     .args_doc = cli->command->operand,
			     .doc = cli->command->doc };
	const char *list;
	size_t nr = 0;
	int i, status;

	for (i = 0; i < OPT_COUNT; i++) {
		if (cli->command->options & OPT_BIT(i))
			options[nr++] = all_options[i];
	}
	status = argp_parse(&argp, argc, argv, 0, NULL, cli);
	if (status)
		return cli_fail(cli, CLI_USAGE, "%s", strerror(status));
	/* "explain" accepts --control like other commands, but ignores it. */
	list = cli->options[OPT_ENTRY] ? cli->options[OPT_ENTRY] :
					 cli->options[OPT_CONTROL];
	if (list)
		status = parse_addresses(cli, list);
	if (!status)
		status = parse_version(cli, cli->options[OPT_VERSION_EXPECTED]);
	if (!status)
		status = parse_request_id(cli, cli->options[OPT_REQUEST_ID]);
	if (!status && cli->options[OPT_REASON])
		status = check_reason(cli, cli->options[OPT_REASON]);
	if (!status && cli->options[OPT_TOKEN_FILE])
		status = read_token(cli, cli->options[OPT_TOKEN_FILE]);
	return status;
}

int cli_check_name(struct cli *cli, const char *what, const char *name)
{
	if (cfg_name_valid(name))
		return CLI_DONE;
	return cli_fail(cli, CLI_USAGE,
			"%s \"%s\" must have 1 to %d characters of a-z, 0-9, "
			"'.', '_' and '-'",
			what, name, NAME_BYTES_MAX - 1);
}
