#include "cli_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

#define DOCUMENT_BYTES_MAX 67108864
#define CAUSE_BYTES 1536

int cli_read_file(struct cli *cli, const char *path, struct buf *out)
{
	int status = CLI_DONE;
	FILE *file = fopen(path, "re");
	char chunk[4096];
	size_t nr_bytes;

	if (!file)
		return cli_fail(cli, CLI_USAGE, "%s: cannot be read: %s", path,
				strerror(errno));
	while (!status && (nr_bytes = fread(chunk, 1, sizeof(chunk), file))) {
		if (out->len_bytes > DOCUMENT_BYTES_MAX)
			status = cli_fail(cli, CLI_USAGE,
					  "%s: the file has more than %d bytes",
					  path, DOCUMENT_BYTES_MAX);
		else if (buf_append(out, chunk, nr_bytes))
			status = cli_fail(cli, CLI_REFUSED,
					  "memory is exhausted");
	}
	if (!status && ferror(file))
		status = cli_fail(cli, CLI_USAGE, "%s: cannot be read: %s",
				  path, strerror(errno));
	fclose(file);
	return status;
}

/*
 * Reads and parses a configuration document. Appends its text to text, which
 * may be NULL.
 */
static int load_document(struct cli *cli, const char *path, struct buf *text,
			 Aw__Config **config)
{
	struct buf own_text = BUF_INIT;
	char cause[CAUSE_BYTES];
	int status;

	if (!text)
		text = &own_text;
	status = cli_read_file(cli, path, text);
	if (!status &&
	    cfg_parse_yaml(path, (const char *)text->data, text->len_bytes,
			   config, cause, sizeof(cause)))
		status = cli_fail(cli, CLI_USAGE, "%s", cause);
	buf_release(&own_text);
	return status;
}

int cli_check(struct cli *cli)
{
	const char *settings_path = cli->options[OPT_SETTINGS];
	const char *fleet_path = cli->options[OPT_FLEET];
	struct set_settings settings;
	Aw__Config *config = NULL;
	char cause[8192];
	int status;

	if (!settings_path && !fleet_path)
		return cli_fail(cli, CLI_USAGE,
				"check needs -c FILE or --fleet FILE");
	if (settings_path) {
		if (set_load(settings_path, &settings, cause, sizeof(cause)))
			return cli_fail(cli, CLI_USAGE, "%s", cause);
		fprintf(cli->env->out, "%s: ok, %s instance \"%s\"\n",
			settings_path,
			settings.role == AW__ROLE__ROLE_ENTRY ? "entry" :
								"control",
			settings.name);
	}
	if (!fleet_path)
		return CLI_DONE;
	status = load_document(cli, fleet_path, NULL, &config);
	if (status)
		return status;
	fprintf(cli->env->out,
		"%s: ok, %zu zones, %zu customers, %zu routes, %zu client "
		"blocks\n",
		fleet_path, config->n_zones, config->n_customers,
		config->n_routes, config->n_client_blocks);
	aw__config__free_unpacked(config, NULL);
	return CLI_DONE;
}

int cli_config_apply(struct cli *cli)
{
	struct cli_request request = { .method = "PUT",
				       .target = "/v1/config",
				       .content_type = "application/yaml" };
	struct buf text = BUF_INIT;
	Aw__Config *config = NULL;
	int status;

	status = load_document(cli, cli->operand, &text, &config);
	if (!status) {
		request.body = (const char *)text.data;
		request.body_bytes = text.len_bytes;
		status = cli_send_change(cli, &request);
	}
	if (config)
		aw__config__free_unpacked(config, NULL);
	buf_release(&text);
	return status;
}

static int fetch_config(struct cli *cli, struct cli_reply *reply)
{
	struct cli_request request = { .method = "GET",
				       .target = "/v1/config" };

	return cli_send(cli, &request, reply, NULL);
}

static cJSON *json_with_version(const struct cli_reply *reply)
{
	cJSON *json = cJSON_CreateObject();
	const char *version = reply->version;
	size_t len_bytes = strlen(version);

	/*
	 * Added as raw text: a cJSON number cannot represent every version
	 * exactly.
	 */
	if (!len_bytes || strspn(version, "0123456789") != len_bytes)
		version = "null";
	cJSON_AddRawToObject(json, "version", version);
	return json;
}

/*
 * Prints and deletes json.
 */
static int print_json(struct cli *cli, cJSON *json)
{
	char *text = cJSON_PrintUnformatted(json);

	cJSON_Delete(json);
	if (!text)
		return cli_fail(cli, CLI_REFUSED, "memory is exhausted");
	fprintf(cli->env->out, "%s\n", text);
	cJSON_free(text);
	return CLI_DONE;
}

static int print_config_json(struct cli *cli, const struct cli_reply *reply)
{
	cJSON *json = json_with_version(reply);

	cJSON_AddStringToObject(json, "config", (char *)reply->body.data);
	return print_json(cli, json);
}

int cli_config_show(struct cli *cli)
{
	struct cli_reply reply = { .status = 0 };
	int status = fetch_config(cli, &reply);

	if (!status && cli->options[OPT_JSON])
		status = print_config_json(cli, &reply);
	else if (!status)
		fprintf(cli->env->out, "# version %s\n%s", reply.version,
			(char *)reply.body.data);
	buf_release(&reply.body);
	return status;
}

struct diff_output {
	FILE *out;
	char section[32]; /* the latest section whose name was printed */
	cJSON *json; /* array of differences */
};

/*
 * Prints a difference, and before it the name of its section if that is not the
 * one printed last. A line that is itself the name of a section gets no heading.
 */
static void print_difference(void *arg, const struct cli_difference *difference)
{
	struct diff_output *output = arg;
	char section[sizeof(output->section)];

	snprintf(section, sizeof(section), "%.*s",
		 (int)difference->section_bytes, difference->section);
	if (difference->section != difference->line &&
	    strcmp(section, output->section) != 0) {
		fprintf(output->out, "  %s:\n", section);
		memcpy(output->section, section, sizeof(section));
	}
	fprintf(output->out, "%c %.*s\n",
		difference->kind == CLI_ADDED ? '+' : '-',
		(int)difference->line_bytes, difference->line);
}

/*
 * Adds a difference to the JSON array.
 */
static void add_difference(void *arg, const struct cli_difference *difference)
{
	struct diff_output *output = arg;
	cJSON *item = cJSON_CreateObject();
	char *section = strndup(difference->section, difference->section_bytes);
	char *line = strndup(difference->line, difference->line_bytes);

	cJSON_AddStringToObject(item, "change",
				difference->kind == CLI_ADDED ? "added" :
								"removed");
	cJSON_AddStringToObject(item, "section", section ? section : "");
	cJSON_AddStringToObject(item, "line", line ? line : "");
	cJSON_AddItemToArray(output->json, item);
	free(section);
	free(line);
}

/*
 * Prints the differences between two documents, both in canonical form.
 */
static int print_diff(struct cli *cli, const struct cli_reply *reply,
		      const char *old_text, const char *new_text)
{
	struct diff_output output = { .out = cli->env->out };
	cJSON *json;

	if (cli->options[OPT_JSON]) {
		json = json_with_version(reply);
		output.json = cJSON_AddArrayToObject(json, "differences");
		cli_diff(old_text, new_text, add_difference, &output);
		return print_json(cli, json);
	}
	if (!cli_diff(old_text, new_text, print_difference, &output))
		fprintf(cli->env->out, "no difference from version %s\n",
			reply->version);
	return CLI_DONE;
}

static int diff_configs(struct cli *cli, const Aw__Config *config,
			const struct cli_reply *reply)
{
	struct buf old_text = BUF_INIT, new_text = BUF_INIT;
	Aw__Config *current = NULL;
	char cause[CAUSE_BYTES];
	int status = CLI_DONE;

	if (cfg_parse_yaml(
		    "configuration in force", (const char *)reply->body.data,
		    reply->body.len_bytes, &current, cause, sizeof(cause))) {
		status = cli_fail(cli, CLI_REFUSED, "%s", cause);
		goto out;
	}
	if (cfg_format_yaml(current, &old_text) ||
	    cfg_format_yaml(config, &new_text) ||
	    buf_append(&old_text, "", 1) || buf_append(&new_text, "", 1)) {
		status = cli_fail(cli, CLI_REFUSED, "memory is exhausted");
		goto out;
	}
	status = print_diff(cli, reply, (char *)old_text.data,
			    (char *)new_text.data);
out:
	if (current)
		aw__config__free_unpacked(current, NULL);
	buf_release(&old_text);
	buf_release(&new_text);
	return status;
}

int cli_config_diff(struct cli *cli)
{
	struct cli_reply reply = { .status = 0 };
	Aw__Config *config = NULL;
	int status = load_document(cli, cli->operand, NULL, &config);

	if (!status)
		status = fetch_config(cli, &reply);
	if (!status)
		status = diff_configs(cli, config, &reply);
	if (config)
		aw__config__free_unpacked(config, NULL);
	buf_release(&reply.body);
	return status;
}

/*
 * Checks the setting of an exception and parses its value, before anything is
 * sent.
 */
static int parse_setting(struct cli *cli, uint64_t *value)
{
	const char *name = cli->options[OPT_SETTING];
	const char *text = cli->options[OPT_VALUE];
	enum cfg_setting setting = cfg_setting_by_name(name);
	const struct cfg_setting_info *info;
	char *end;

	if (setting == CFG_SETTING_COUNT)
		return cli_fail(cli, CLI_USAGE, "setting \"%s\" does not exist",
				name);
	info = cfg_setting_info(setting);
	errno = 0;
	*value = strtoull(text, &end, 10);
	if (*text >= '0' && *text <= '9' && !*end && !errno &&
	    *value >= info->min && *value <= info->max)
		return CLI_DONE;
	return cli_fail(cli, CLI_USAGE,
			"value \"%s\" of %s must be a whole number from %llu "
			"to %llu",
			text, name, (unsigned long long)info->min,
			(unsigned long long)info->max);
}

int cli_exception_add(struct cli *cli)
{
	static const struct {
		enum cli_option option;
		const char *name;
	} selectors[] = {
		{ OPT_CUSTOMER, "customer" }, { OPT_ROUTE, "route" },
		{ OPT_UPSTREAM, "upstream" }, { OPT_ZONE, "zone" },
		{ OPT_REGION, "region" },
	};
	uint64_t value = 0;
	cJSON *body;
	size_t i;

	if (cli_check_name(cli, "exception", cli->operand) ||
	    parse_setting(cli, &value))
		return CLI_USAGE;
	for (i = 0; i < sizeof(selectors) / sizeof(selectors[0]); i++) {
		const char *name = cli->options[selectors[i].option];

		if (name && cli_check_name(cli, selectors[i].name, name))
			return CLI_USAGE;
	}
	body = cJSON_CreateObject();
	cJSON_AddStringToObject(body, "name", cli->operand);
	cJSON_AddStringToObject(body, "setting", cli->options[OPT_SETTING]);
	cJSON_AddNumberToObject(body, "value", (double)value);
	cJSON_AddStringToObject(body, "reason", cli->options[OPT_REASON]);
	for (i = 0; i < sizeof(selectors) / sizeof(selectors[0]); i++) {
		const char *name = cli->options[selectors[i].option];

		if (name)
			cJSON_AddStringToObject(body, selectors[i].name, name);
	}
	return cli_change(cli, "POST", "/v1/exceptions", body);
}

int cli_exception_remove(struct cli *cli)
{
	char target[32 + NAME_BYTES_MAX];
	cJSON *body;

	if (cli_check_name(cli, "exception", cli->operand))
		return CLI_USAGE;
	snprintf(target, sizeof(target), "/v1/exceptions/%s", cli->operand);
	body = cJSON_CreateObject();
	cJSON_AddStringToObject(body, "reason", cli->options[OPT_REASON]);
	return cli_change(cli, "DELETE", target, body);
}
