#include "cli_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Covers several elections, each of which takes about 2 s, and one instance
 * that is silent twice.
 */
#define PATIENCE_MS 15000
#define ROUND_PAUSE_MS 500

enum answer {
	ANSWER_NONE, /* nothing was sent */
	ANSWER_UNKNOWN, /* sent, outcome not known */
	ANSWER_NOT_LEADER,
	ANSWER_FINAL
};

struct attempt {
	bool unknown; /* a change may have been made */
	bool not_leader;
	uint32_t spent_ms; /* in pauses and in waiting for silent instances */
	char leader[NAME_BYTES_MAX]; /* as named by the last that is not */
};

/*
 * Copies a text member of a JSON response, "" if it is not there.
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

static enum answer classify(const struct cli_reply *reply,
			    struct attempt *attempt)
{
	char error[64];

	if (reply->status != 503 && reply->status != 504)
		return ANSWER_FINAL;
	json_member(reply, "error", error, sizeof(error));
	if (!strcmp(error, "not_leader")) {
		json_member(reply, "leader", attempt->leader,
			    sizeof(attempt->leader));
		return ANSWER_NOT_LEADER;
	}
	if (!strcmp(error, "outcome_unknown"))
		return ANSWER_UNKNOWN;
	/*
	 * "refused" speaks of this sending only; an earlier one may still have
	 * been accepted.
	 */
	return attempt->unknown ? ANSWER_UNKNOWN : ANSWER_FINAL;
}

static enum answer ask(struct cli *cli, const char *address,
		       const struct cli_request *request,
		       struct cli_reply *reply, struct attempt *attempt)
{
	buf_release(&reply->body);
	memset(reply, 0, sizeof(*reply));
	switch (cli->env->call(cli->env->arg, address, request, reply)) {
	case CLI_CALL_NOT_SENT:
		return ANSWER_NONE;
	case CLI_CALL_LOST:
		attempt->spent_ms += CLI_CALL_TIMEOUT_MS;
		return ANSWER_UNKNOWN;
	case CLI_CALL_DONE:
		return classify(reply, attempt);
	}
	return ANSWER_NONE;
}

/*
 * Asks each instance once; true when one gave a final answer.
 */
static bool ask_all(struct cli *cli, const struct cli_request *request,
		    struct cli_reply *reply, struct attempt *attempt)
{
	size_t i;

	for (i = 0; i < cli->nr_addresses; i++) {
		switch (ask(cli, cli->addresses[i], request, reply, attempt)) {
		case ANSWER_FINAL:
			return true;
		case ANSWER_UNKNOWN:
			attempt->unknown = true;
			break;
		case ANSWER_NOT_LEADER:
			attempt->not_leader = true;
			break;
		case ANSWER_NONE:
			break;
		}
	}
	return false;
}

static int report_unanswered(struct cli *cli, const struct cli_request *request,
			     const struct attempt *attempt)
{
	const char *list = cli->options[OPT_CONTROL];

	if (attempt->unknown && request->request_id)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the outcome is unknown: the change may or may "
				"not have been made (request id %s)",
				request->request_id);
	if (attempt->not_leader && *attempt->leader)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the leader is said to be \"%s\", which did "
				"not answer at any of %s",
				attempt->leader, list);
	if (attempt->not_leader)
		return cli_fail(cli, CLI_UNREACHABLE,
				"the control instances at %s have no leader",
				list);
	return cli_fail(cli, CLI_UNREACHABLE,
			"no control instance answered at any of %s", list);
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
			reply->status, *error ? error : "no error is named",
			*detail ? ": " : "", detail);
}

int cli_send(struct cli *cli, struct cli_request *request,
	     struct cli_reply *reply, bool *unknown)
{
	struct attempt attempt = { .unknown = false };
	bool final;

	request->token = cli->token;
	for (;;) {
		final = ask_all(cli, request, reply, &attempt);
		if (final || (!attempt.not_leader && !attempt.unknown) ||
		    attempt.spent_ms >= PATIENCE_MS)
			break;
		cli->env->pause(cli->env->arg, ROUND_PAUSE_MS);
		attempt.spent_ms += ROUND_PAUSE_MS;
	}
	if (unknown)
		*unknown = !final && attempt.unknown;
	if (!final)
		return report_unanswered(cli, request, &attempt);
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
