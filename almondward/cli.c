#include "cli_internal.h"

#include <argp.h>
#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define OPTIONS_READ \
	(OPT_BIT(OPT_CONTROL) | OPT_BIT(OPT_TOKEN_FILE) | OPT_BIT(OPT_JSON))
#define OPTIONS_CHANGE \
	(OPTIONS_READ | OPT_BIT(OPT_REQUEST_ID) | OPT_BIT(OPT_VERSION_EXPECTED))
#define CALL_REQUIRED (OPT_BIT(OPT_CONTROL) | OPT_BIT(OPT_TOKEN_FILE))
#define OPTIONS_SELECT                                                        \
	(OPT_BIT(OPT_CUSTOMER) | OPT_BIT(OPT_ROUTE) | OPT_BIT(OPT_UPSTREAM) | \
	 OPT_BIT(OPT_ZONE) | OPT_BIT(OPT_REGION))

static const struct cli_command commands[] = {
	{ "run", NULL, "Run the instance that the settings file describes.",
	  OPT_BIT(OPT_SETTINGS), OPT_BIT(OPT_SETTINGS), cli_run },
	{ "init", NULL, "Found a cluster, once, on its first control instance.",
	  OPT_BIT(OPT_SETTINGS), OPT_BIT(OPT_SETTINGS), cli_init },
	{ "check", NULL, "Check a settings file or a configuration document.",
	  OPT_BIT(OPT_SETTINGS) | OPT_BIT(OPT_FLEET), 0, cli_check },
	{ "config apply", "FILE", "Put a configuration document in force.",
	  OPTIONS_CHANGE, CALL_REQUIRED | OPT_BIT(OPT_VERSION_EXPECTED),
	  cli_config_apply },
	{ "config show", NULL, "Print the configuration in force.",
	  OPTIONS_READ, CALL_REQUIRED, cli_config_show },
	{ "config diff", "FILE",
	  "Compare the configuration in force with a document.", OPTIONS_READ,
	  CALL_REQUIRED, cli_config_diff },
	{ "exception add", "NAME", "Add an exception to a policy value.",
	  OPTIONS_CHANGE | OPTIONS_SELECT | OPT_BIT(OPT_SETTING) |
		  OPT_BIT(OPT_VALUE) | OPT_BIT(OPT_REASON),
	  CALL_REQUIRED | OPT_BIT(OPT_SETTING) | OPT_BIT(OPT_VALUE) |
		  OPT_BIT(OPT_REASON),
	  cli_exception_add },
	{ "exception remove", "NAME", "Remove an exception.",
	  OPTIONS_CHANGE | OPT_BIT(OPT_REASON),
	  CALL_REQUIRED | OPT_BIT(OPT_REASON), cli_exception_remove },
	{ "key grant", "CUSTOMER", "Make a key and print it once.",
	  OPTIONS_READ | OPT_BIT(OPT_VERSION_EXPECTED) | OPT_BIT(OPT_ID),
	  CALL_REQUIRED | OPT_BIT(OPT_ID), cli_key_grant },
	{ "key withdraw", "ID", "Withdraw a key.", OPTIONS_CHANGE,
	  CALL_REQUIRED, cli_key_withdraw },
	{ "key list", NULL, "List the keys.", OPTIONS_READ, CALL_REQUIRED,
	  cli_key_list },
	{ "drain plan", "NAME", "Plan to move traffic away.",
	  OPTIONS_CHANGE | OPT_BIT(OPT_KIND) | OPT_BIT(OPT_TARGET) |
		  OPT_BIT(OPT_RAMP) | OPT_BIT(OPT_REASON) | OPT_BIT(OPT_FORCE),
	  CALL_REQUIRED | OPT_BIT(OPT_KIND) | OPT_BIT(OPT_TARGET) |
		  OPT_BIT(OPT_RAMP) | OPT_BIT(OPT_REASON),
	  cli_drain_plan },
	{ "drain show", NULL, "List the drains.", OPTIONS_READ, CALL_REQUIRED,
	  cli_drain_show },
	{ "drain cancel", "NAME", "Cancel a drain.", OPTIONS_CHANGE,
	  CALL_REQUIRED, cli_drain_cancel },
	{ "explain", "REQUEST-ID", "Show the decisions of a request.",
	  OPTIONS_READ | OPT_BIT(OPT_ENTRY),
	  OPT_BIT(OPT_ENTRY) | OPT_BIT(OPT_TOKEN_FILE), cli_explain },
	{ "status", NULL, "Show the state of the fleet.", OPTIONS_READ,
	  CALL_REQUIRED, cli_status },
};

#define NR_COMMANDS (sizeof(commands) / sizeof(commands[0]))

int cli_fail(struct cli *cli, int status, const char *fmt, ...)
{
	va_list args;

	fputs("almondward: ", cli->env->err);
	va_start(args, fmt);
	vfprintf(cli->env->err, fmt, args);
	va_end(args);
	fputc('\n', cli->env->err);
	return status;
}

/*
 * Parses the options before the command. Stops at the first argument that is
 * not an option, which is the command.
 */
static error_t parse_global(int key, char *arg, struct argp_state *state)
{
	int *first = state->input;

	(void)arg;
	switch (key) {
	case ARGP_KEY_ARG:
		*first = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a command is missing");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/*
 * Returns the index of the command in argv. Exits if there is no command.
 */
static int find_command_index(int argc, char **argv)
{
	struct buf doc = BUF_INIT;
	struct argp argp = { .parser = parse_global,
			     .args_doc = "COMMAND ..." };
	int first = 0;
	size_t i;

	buf_append_str(&doc, "Global traffic steering.\v"
			     "Commands, each with its own --help:\n");
	for (i = 0; i < NR_COMMANDS; i++)
		buf_printf(&doc, "  %s%s%s: %s\n", commands[i].words,
			   commands[i].operand ? " " : "",
			   commands[i].operand ? commands[i].operand : "",
			   commands[i].doc);
	buf_append(&doc, "", 1);
	argp.doc = (char *)doc.data;
	argp_err_exit_status = CLI_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &first);
	buf_release(&doc);
	return first;
}

/*
 * Returns how many arguments the words of the command take up, or 0 if the
 * arguments are not this command.
 */
static int match_command(const struct cli_command *command, int argc,
			 char **argv)
{
	const char *space = strchr(command->words, ' ');
	size_t len_bytes = strcspn(command->words, " ");

	if (argc < 1 || strlen(argv[0]) != len_bytes ||
	    strncmp(argv[0], command->words, len_bytes) != 0)
		return 0;
	if (!space)
		return 1;
	return argc > 1 && !strcmp(argv[1], space + 1) ? 2 : 0;
}

static int run_command(struct cli *cli, int nr_words, int argc, char **argv)
{
	char name[64];
	int status;

	snprintf(name, sizeof(name), "almondward %s", cli->command->words);
	argc -= nr_words - 1;
	argv += nr_words - 1;
	argv[0] = name;
	status = cli_parse_args(cli, argc, argv);
	if (!status)
		status = cli->command->run(cli);
	/*
	 * The key that "key grant" generates is nowhere but in the output: if
	 * that cannot be written, the key is lost, so the command must fail.
	 */
	if (fflush(cli->env->out) || ferror(cli->env->out)) {
		cli_fail(cli, 0, "cannot write the output: %s",
			 strerror(errno));
		status = status ? status : CLI_REFUSED;
	}
	return status;
}

int cli_main(int argc, char **argv, const struct cli_env *env)
{
	struct cli cli = { .env = env };
	int first, nr_words, status;
	size_t i;

	if (sodium_init() < 0)
		return cli_fail(&cli, CLI_REFUSED,
				"random numbers are not available");
	first = find_command_index(argc, argv);
	for (i = 0; i < NR_COMMANDS; i++) {
		nr_words =
			match_command(&commands[i], argc - first, argv + first);
		if (!nr_words)
			continue;
		cli.command = &commands[i];
		status =
			run_command(&cli, nr_words, argc - first, argv + first);
		sodium_memzero(cli.token, sizeof(cli.token));
		return status;
	}
	return cli_fail(&cli, CLI_USAGE,
			"unknown command \"%s\"; \"almondward --help\" lists "
			"the commands",
			argv[first]);
}
