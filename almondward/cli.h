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
 * How long a call waits for its answer. A commit across regions takes well
 * under 1 s.
 */
#define CLI_CALL_TIMEOUT_MS 5000

/*
 * Exit statuses.
 */
enum cli_status {
	CLI_DONE = 0,
	CLI_REFUSED = 1, /* by the system */
	CLI_USAGE = 2, /* wrong arguments or files */
	CLI_UNREACHABLE = 3 /* no answer, or its outcome is unknown */
};

struct cli_request {
	const char *method;
	const char *target;
	const char *token; /* NULL: none */
	const char *request_id; /* operator request id of a change, or NULL */
	const char *if_match; /* NULL: none */
	const char *content_type; /* of the body */
	const char *body;
	size_t body_bytes;
};

struct cli_reply {
	uint32_t status;
	char version[24]; /* Almondward-Version, "" if not there */
	struct buf body; /* ends with a NUL that is not counted */
};

enum cli_call_result {
	CLI_CALL_DONE, /* reply is set */
	CLI_CALL_NOT_SENT, /* no byte was sent */
	CLI_CALL_LOST /* sent, but there was no complete answer */
};

/*
 * What the commands need of the system; tests replace it.
 */
struct cli_env {
	void *arg;
	FILE *out;
	FILE *err;
	enum cli_call_result (*call)(void *arg, const char *address,
				     const struct cli_request *request,
				     struct cli_reply *reply);
	void (*pause)(void *arg, uint32_t pause_ms);
	/* True if something accepts connections on "IP:port". */
	bool (*accepts)(void *arg, const char *address);
	/* Runs the role of the settings; returns an exit status. */
	int (*run)(void *arg, const struct set_settings *settings);
	/* Founds a cluster in the data directory. */
	bool (*found)(void *arg, const struct set_settings *settings,
		      char *error_text, size_t error_text_bytes);
};

/*
 * Runs one command and returns its exit status. Exits with CLI_USAGE itself on
 * unknown options, and with 0 after --help.
 */
int cli_main(int argc, char **argv, const struct cli_env *env);

/*
 * The environment of a real process.
 */
const struct cli_env *cli_system_env(void);

#ifdef __cplusplus
}
#endif

#endif
