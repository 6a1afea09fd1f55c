#include "cli_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * How long a request is retried: long enough for several elections, each of
 * which takes about 2 s, and for one instance that twice does not respond.
 */
#define RETRY_TIME_MAX_MS 15000
#define RETRY_PAUSE_MS 500

/* Outcome of sending a request to one instance. */
enum outcome {
	OUTCOME_NOT_SENT,
	OUTCOME_UNKNOWN, /* sent, but the change may or may not be made */
	OUTCOME_NOT_LEADER,
	OUTCOME_FINAL /* the response is the result */
};

/* State of a request over all instances and retries. */
struct progress {
	bool unknown; /* a change may have been made */
	bool not_leader; /* an instance responded that it is not the leader */
	uint32_t waited_ms; /* in pauses and for missing responses */
	char leader[NAME_BYTES_MAX]; /* by the latest such response */
};

/*
 * Copies a string member of a JSON response, "" if there is none.
 */
static void json_member(const struct cli_reply *reply, const char *name,
			char *text, size_t text_bytes)
{
	cJSON *json = cJSON_Parse((const char *)reply->body.data);
	const char *value = cJSON_GetStringValue(
		cJSON_GetObjectItemCaseSensitive(json, name));

	snprintf(text, text_bytes, "%s", value ? value : "");
	cJSON_Delete(json);
}

static enum outcome classify_reply(const struct cli_reply *reply,
				   struct progress *progress)
{
	char error[64];

	if (reply->status != 503 && reply->status != 504)
		return OUTCOME_FINAL;
	json_member(reply, "error", error, sizeof(error));
	if (!strcmp(error, "not_leader")) {
		json_member(reply, "leader", progress->leader,
			    sizeof(progress->leader));
		return OUTCOME_NOT_LEADER;
	}
	if (!strcmp(error, "outcome_unknown"))
		return OUTCOME_UNKNOWN;
	/*
	 * "refused" is about this attempt only; an earlier one may have been
	 * accepted.
	 */
	return progress->unknown ? OUTCOME_UNKNOWN : OUTCOME_FINAL;
}

static enum outcome send_to(struct cli *cli, const char *address,
			    const struct cli_request *request,
			    struct cli_reply *reply, struct progress *progress)
{
	buf_release(&reply->body);
	memset(reply, 0, sizeof(*reply));
	switch (cli->env->call(cli->env->arg, address, request, reply)) {
	case CLI_CALL_NOT_SENT:
		return OUTCOME_NOT_SENT;
	case CLI_CALL_NO_RESPONSE:
		progress->waited_ms += CLI_CALL_TIMEOUT_MS;
		return OUTCOME_UNKNOWN;
	case CLI_CALL_DONE:
		return classify_reply(reply, progress);
	}
	return OUTCOME_NOT_SENT;
}

/*
 * Sends the request to each instance once, until one gives a final response.
 * Returns whether one did.
 */
static bool send_to_all(struct cli *cli, const struct cli_request *request,
			struct cli_reply *reply, struct progress *progress)
{
	size_t i;

	for (i = 0; i < cli->nr_addresses; i++) {
		switch (send_to(cli, cli->addresses[i], request, reply,
				progress)) {
		case OUTCOME_FINAL:
			return true;
		case OUTCOME_UNKNOWN:
			progress->unknown = true;
			break;
		case OUTCOME_NOT_LEADER:
			progress->not_leader = true;
			break;
		case OUTCOME_NOT_SENT:
			break;
		}
	}
	return false;
}

static int report_no_final_reply(struct cli *cli,
				 const struct cli_request *request,
				 const struct progress *progress)
{
	const char *list = cli->options[OPT_CONTROL];

	if (progress->unknown && request->request_id)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the outcome is unknown: the change may or may "
				"not have been made (request id %s)",
				request->request_id);
	if (progress->not_leader && *progress->leader)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the leader is reported to be \"%s\", which "
				"did not respond at any of %s",
				progress->leader, list);
	if (progress->not_leader)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the control instances at %s have no leader",
				list);
	return cli_fail(cli, CLI_UNREACHABLE,
			"no control instance responded at any of %s", list);
}

int cli_report_refusal(struct cli *cli, const struct cli_reply *reply)
{
	char error[64], detail[1024], *pos;

	json_member(reply, "error", error, sizeof(error));
	json_member(reply, "detail", detail, sizeof(detail));
	for (pos = detail; *pos; pos++) {
		if ((unsigned char)*pos < ' ' || *pos == 0x7f)
			*pos = '?';
	}
	if (cli->options[OPT_JSON])
		fprintf(cli->env->out, "%s\n", (char *)reply->body.data);
	return cli_fail(cli, CLI_REFUSED, "refused with status %u: %s%s%s",
			reply->status, *error ? error : "no error code",
			*detail ? ": " : "", detail);
}

int cli_send(struct cli *cli, struct cli_request *request,
	     struct cli_reply *reply, bool *unknown)
{
	struct progress progress = { .unknown = false };
	bool final;

	request->token = cli->token;
	for (;;) {
		final = send_to_all(cli, request, reply, &progress);
		if (final || (!progress.not_leader && !progress.unknown) ||
		    progress.waited_ms >= RETRY_TIME_MAX_MS)
			break;
		cli->env->pause(cli->env->arg, RETRY_PAUSE_MS);
		progress.waited_ms += RETRY_PAUSE_MS;
	}
	if (unknown)
		*unknown = !final && progress.unknown;
	if (!final)
		return report_no_final_reply(cli, request, &progress);
	if (reply->status == 200)
		return CLI_DONE;
	return cli_report_refusal(cli, reply);
}

int cli_send_change(struct cli *cli, struct cli_request *request)
{
	struct cli_reply reply = { .status = 0 };
	bool unknown;
	int status;

	request->request_id = cli->request_id;
	request->if_match = cli->if_match;
	status = cli_send(cli, request, &reply, &unknown);
	if (!status)
		status = cli_print_reply(cli, &reply);
	else if (unknown)
		cli_fail(cli, 0,
			 "run the same command with --request-id %s to learn "
			 "the outcome",
			 cli->request_id);
	buf_release(&reply.body);
	return status;
}

int cli_change(struct cli *cli, const char *method, const char *target,
	       cJSON *body)
{
	struct cli_request request = { .method = method, .target = target };
	char *text = NULL;
	int status;

	if (body) {
		text = cJSON_PrintUnformatted(body);
		cJSON_Delete(body);
		if (!text)
			return cli_fail(cli, CLI_REFUSED,
					"memory is exhausted");
		request.content_type = "application/json";
		request.body = text;
		request.body_bytes = strlen(text);
	}
	status = cli_send_change(cli, &request);
	cJSON_free(text);
	return status;
}

int cli_show(struct cli *cli, const char *target)
{
	struct cli_request request = { .method = "GET", .target = target };
	struct cli_reply reply = { .status = 0 };
	int status;

	status = cli_send(cli, &request, &reply, NULL);
	if (!status)
		status = cli_print_reply(cli, &reply);
	buf_release(&reply.body);
	return status;
}
