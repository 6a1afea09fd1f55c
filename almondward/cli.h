/*
 * cli: the command line, see almondward(8).
 */
#ifndef CLI_H
#define CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "buf.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How long a call waits for its response. A commit across regions takes well
 * under 1 s.
 */
#define CLI_CALL_TIMEOUT_MS 5000

/*
 * Exit statuses of commands.
 */
enum cli_status {
	CLI_DONE = 0,
	CLI_REFUSED = 1, /* refused by the fleet, or failed locally */
	CLI_USAGE = 2, /* wrong arguments or files */
	CLI_UNREACHABLE = 3 /* no usable response, or outcome unknown */
};

struct cli_request {
	const char *method;
	const char *target;
	const char *token; /* NULL: none */
	const char *request_id; /* operator request id of a change, or NULL */
	const char *if_match; /* value of the If-Match header, NULL: none */
	const char *content_type; /* of the body */
	const char *body;
	size_t body_bytes;
};

struct cli_reply {
	uint32_t status;
	char version[24]; /* Almondward-Version header, "" if absent */
	struct buf body; /* followed by a NUL that len_bytes does not count */
};

enum cli_call_result {
	CLI_CALL_DONE, /* reply is set */
	CLI_CALL_NOT_SENT, /* no byte was sent */
	CLI_CALL_NO_RESPONSE /* sent, but no complete response came back */
};

/*
 * Functions of the operating system that the commands use, and their output
 * streams. Tests replace them. arg is passed to each function.
 */
struct cli_env {
	void *arg;
	FILE *out;
	FILE *err;
	enum cli_call_result (*call)(void *arg, const char *address,
				     const struct cli_request *request,
				     struct cli_reply *reply);
	void (*pause)(void *arg, uint32_t pause_ms);
	/* Returns whether a process accepts connections at "IP:port". */
	bool (*accepts)(void *arg, const char *address);
	/* Runs the instance of the settings; returns its exit status. */
	int (*run)(void *arg, const struct set_settings *settings);
	/* Creates the state of a new cluster in the data directory. */
	bool (*create_cluster)(void *arg, const struct set_settings *settings,
			       char *error_text, size_t error_text_bytes);
};

/*
 * Runs one command and returns its exit status. Does not return on unknown
 * options, where it exits with CLI_USAGE, and after --help, where it exits
 * with 0.
 */
int cli_main(int argc, char **argv, const struct cli_env *env);

/*
 * Returns the environment of a real process.
 */
const struct cli_env *cli_system_env(void);

#ifdef __cplusplus
}
#endif

#endif
