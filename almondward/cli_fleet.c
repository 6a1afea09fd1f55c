#include "cli_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "config.h"
#include "key.h"

#define RAMP_MAX_S 86400

static void print_granted_key(struct cli *cli, const char *key,
			      const struct cli_reply *reply)
{
	cJSON *json = cJSON_Parse((const char *)reply->body.data);
	char *text = NULL;

	if (!cJSON_IsObject(json)) {
		cJSON_Delete(json);
		json = cJSON_CreateObject();
	}
	cJSON_AddStringToObject(json, "id", cli->options[OPT_ID]);
	cJSON_AddStringToObject(json, "customer", cli->operand);
	cJSON_AddStringToObject(json, "key", key);
	if (cli->options[OPT_JSON]) {
		text = cJSON_PrintUnformatted(json);
		fprintf(cli->env->out, "%s\n", text ? text : key);
		cJSON_free(text);
	} else {
		cli_print_text(cli->env->out, json);
	}
	cJSON_Delete(json);
}

static char *create_grant_body(struct cli *cli, const char *key)
{
	char hex[2 * HASH_BYTES + 1], *text;
	uint8_t hash[HASH_BYTES];
	cJSON *json = cJSON_CreateObject();

	key_hash(key, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	cJSON_AddStringToObject(json, "id", cli->options[OPT_ID]);
	cJSON_AddStringToObject(json, "customer", cli->operand);
	cJSON_AddStringToObject(json, "hash", hex);
	text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	return text;
}

/*
 * A grant cannot be repeated with its request id by a second command, since the
 * command does not store the key. If the outcome is unknown, the key is printed
 * as well, so that it can be used if the grant turns out to have been made.
 */
int cli_key_grant(struct cli *cli)
{
	struct cli_request request = { .method = "POST",
				       .target = "/v1/keys",
				       .request_id = cli->request_id,
				       .if_match = cli->if_match,
				       .content_type = "application/json" };
	struct cli_reply reply = { .status = 0 };
	char key[KEY_TEXT_BYTES], *body = NULL;
	bool unknown = false;
	int status;

	if (cli_check_name(cli, "customer", cli->operand) ||
	    cli_check_name(cli, "--id", cli->options[OPT_ID]))
		return CLI_USAGE;
	if (!key_generate(key))
		body = create_grant_body(cli, key);
	if (!body)
		return cli_fail(cli, CLI_REFUSED,
				"the key cannot be generated");
	request.body = body;
	request.body_bytes = strlen(body);
	status = cli_send(cli, &request, &reply, &unknown);
	if (!status || unknown)
		print_granted_key(cli, key, &reply);
	if (unknown)
		cli_fail(cli, 0,
			 "the key is valid only if \"key list\" shows id "
			 "\"%s\"",
			 cli->options[OPT_ID]);
	cJSON_free(body);
	sodium_memzero(key, sizeof(key));
	buf_release(&reply.body);
	return status;
}

static int delete_named(struct cli *cli, const char *what, const char *prefix)
{
	char target[32 + NAME_BYTES_MAX];

	if (cli_check_name(cli, what, cli->operand))
		return CLI_USAGE;
	snprintf(target, sizeof(target), "%s%s", prefix, cli->operand);
	return cli_change(cli, "DELETE", target, NULL);
}

int cli_key_withdraw(struct cli *cli)
{
	return delete_named(cli, "key id", "/v1/keys/");
}

int cli_key_list(struct cli *cli)
{
	return cli_show(cli, "/v1/keys");
}

static int check_drain_target(struct cli *cli, const char *kind,
			      const char *target)
{
	bool is_wildcard = false;
	const char *cause;

	if (strcmp(kind, "server") != 0) {
		if (!strcmp(kind, "zone") || !strcmp(kind, "region"))
			return cli_check_name(cli, kind, target);
		return cli_fail(cli, CLI_USAGE,
				"--kind is \"%s\", must be one of server, "
				"zone, region",
				kind);
	}
	cause = set_address_error(target, &is_wildcard);
	if (!cause)
		return CLI_DONE;
	return cli_fail(cli, CLI_USAGE, "server \"%s\" %s", target, cause);
}

int cli_drain_plan(struct cli *cli)
{
	const char *ramp = cli->options[OPT_RAMP];
	unsigned long ramp_s;
	cJSON *body;
	char *end;

	if (cli_check_name(cli, "drain", cli->operand) ||
	    check_drain_target(cli, cli->options[OPT_KIND],
			       cli->options[OPT_TARGET]))
		return CLI_USAGE;
	errno = 0;
	ramp_s = strtoul(ramp, &end, 10);
	if (*ramp < '0' || *ramp > '9' || *end || errno || ramp_s > RAMP_MAX_S)
		return cli_fail(cli, CLI_USAGE,
				"--ramp-s \"%s\" must be a whole number from 0 "
				"to %d",
				ramp, RAMP_MAX_S);
	body = cJSON_CreateObject();
	cJSON_AddStringToObject(body, "name", cli->operand);
	cJSON_AddStringToObject(body, "kind", cli->options[OPT_KIND]);
	cJSON_AddStringToObject(body, "target", cli->options[OPT_TARGET]);
	cJSON_AddNumberToObject(body, "ramp_s", (double)ramp_s);
	cJSON_AddStringToObject(body, "reason", cli->options[OPT_REASON]);
	if (cli->options[OPT_FORCE])
		cJSON_AddTrueToObject(body, "forced");
	return cli_change(cli, "POST", "/v1/drains", body);
}

int cli_drain_show(struct cli *cli)
{
	return cli_show(cli, "/v1/drains");
}

int cli_drain_cancel(struct cli *cli)
{
	return delete_named(cli, "drain", "/v1/drains/");
}

/*
 * Queries all entry instances: only the one that received the request has its
 * decisions. The request id starts with the name of that instance, but the
 * names of the instances at the given addresses are not known here.
 */
int cli_explain(struct cli *cli)
{
	char target[32 + REQUEST_ID_BYTES_MAX];
	struct cli_request request = { .method = "GET",
				       .target = target,
				       .token = cli->token };
	struct cli_reply reply = { .status = 0 };
	int status = CLI_REFUSED;
	size_t i, nr_unanswered = 0;

	if (strlen(cli->operand) >= REQUEST_ID_BYTES_MAX ||
	    strspn(cli->operand, "abcdefghijklmnopqrstuvwxyz"
				 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") !=
		    strlen(cli->operand))
		return cli_fail(cli, CLI_USAGE,
				"\"%s\" is not a valid request id",
				cli->operand);
	snprintf(target, sizeof(target), "/v1/decisions/%s", cli->operand);
	for (i = 0; i < cli->nr_addresses; i++) {
		buf_release(&reply.body);
		if (cli->env->call(cli->env->arg, cli->addresses[i], &request,
				   &reply) != CLI_CALL_DONE) {
			cli_fail(cli, 0, "no response from %s",
				 cli->addresses[i]);
			nr_unanswered++;
			continue;
		}
		if (reply.status == 404)
			continue;
		status = reply.status == 200 ? cli_print_reply(cli, &reply) :
					       cli_report_refusal(cli, &reply);
		goto out;
	}
	if (nr_unanswered)
		status = cli_fail(cli, CLI_UNREACHABLE,
				  "no decision for \"%s\" at the %zu of %zu "
				  "instances that responded",
				  cli->operand,
				  cli->nr_addresses - nr_unanswered,
				  cli->nr_addresses);
	else
		status = cli_fail(cli, CLI_REFUSED,
				  "no instance has a decision for \"%s\"",
				  cli->operand);
out:
	buf_release(&reply.body);
	return status;
}

/*
 * Prints what each instance reports about itself, which helps an operator when
 * there is no leader to query.
 */
static void print_health(struct cli *cli)
{
	struct cli_request request = { .method = "GET",
				       .target = "/v1/health" };
	struct cli_reply reply = { .status = 0 };
	size_t i;

	for (i = 0; i < cli->nr_addresses; i++) {
		buf_release(&reply.body);
		if (cli->env->call(cli->env->arg, cli->addresses[i], &request,
				   &reply) == CLI_CALL_DONE)
			fprintf(cli->env->err, "%s: %s\n", cli->addresses[i],
				(char *)reply.body.data);
		else
			fprintf(cli->env->err, "%s: no response\n",
				cli->addresses[i]);
	}
	buf_release(&reply.body);
}

int cli_status(struct cli *cli)
{
	int status = cli_show(cli, "/v1/status");

	if (status == CLI_UNREACHABLE)
		print_health(cli);
	return status;
}
