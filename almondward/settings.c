#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "config.h"
#include "secret.h"
#include "settings_internal.h"

#define FILE_BYTES_MAX 65536
#define PATH_BYTES_MAX 4096

#define BODY_MEMORY_BYTES_MIN 1048576ULL
#define BODY_MEMORY_BYTES_MAX 1099511627776ULL
#define BODY_MEMORY_BYTES_DEFAULT 268435456ULL
#define CONNECTIONS_MIN 1
#define CONNECTIONS_MAX 1000000
#define CONNECTIONS_DEFAULT 10000

/* Names at the top level of the file. */
enum field {
	F_ROLE,
	F_NAME,
	F_ZONE,
	F_LISTEN,
	F_ADVERTISE,
	F_DATA_DIR,
	F_CONTROLS,
	F_SECRETS,
	F_LIMITS,
	F_LOG,
	F_CLUSTER,
	NR_FIELDS
};

static const char *const field_names[NR_FIELDS] = {
	[F_ROLE] = "role",	     [F_NAME] = "name",
	[F_ZONE] = "zone",	     [F_LISTEN] = "listen",
	[F_ADVERTISE] = "advertise", [F_DATA_DIR] = "data_dir",
	[F_CONTROLS] = "controls",   [F_SECRETS] = "secrets",
	[F_LIMITS] = "limits",	     [F_LOG] = "log",
	[F_CLUSTER] = "cluster",
};

struct reader {
	struct set_reader base;
	const yaml_node_t *fields[NR_FIELDS]; /* NULL where not in the file */
};

const char *set_address_error(const char *text, bool *is_wildcard)
{
	char host[ADDRESS_BYTES_MAX];
	const char *colon = strrchr(text, ':');
	size_t len_bytes;
	uint8_t ip[16];
	unsigned long port;
	char *end;

	if (strlen(text) >= ADDRESS_BYTES_MAX)
		return "is too long";
	if (!colon || colon[1] < '1' || colon[1] > '9')
		return "must be IP:port or [IP6]:port";
	errno = 0;
	port = strtoul(colon + 1, &end, 10);
	if (*end || errno || port > 65535)
		return "must have a port from 1 to 65535";
	len_bytes = (size_t)(colon - text);
	memcpy(host, text, len_bytes);
	host[len_bytes] = '\0';
	if (inet_pton(AF_INET, host, ip) == 1) {
		*is_wildcard = sodium_is_zero(ip, 4);
		return NULL;
	}
	if (len_bytes < 2 || host[0] != '[' || host[len_bytes - 1] != ']')
		return "must be IP:port or [IP6]:port";
	host[len_bytes - 1] = '\0';
	if (inet_pton(AF_INET6, host + 1, ip) != 1)
		return "must be IP:port or [IP6]:port";
	*is_wildcard = sodium_is_zero(ip, 16);
	return NULL;
}

bool set_read_address(struct set_reader *reader, const yaml_node_t *node,
		      const char *what, bool allow_wildcard,
		      char address[ADDRESS_BYTES_MAX])
{
	const char *text, *cause;
	bool is_wildcard = false;

	if (!doc_string(&reader->doc, node, what, &text))
		return false;
	cause = set_address_error(text, &is_wildcard);
	if (!cause && is_wildcard && !allow_wildcard)
		cause = "must be an address that others can connect to";
	if (cause)
		return doc_fail(&reader->doc, doc_line(node), "%s \"%.80s\" %s",
				what, text, cause);
	memcpy(address, text, strlen(text) + 1);
	return true;
}

bool set_read_name(struct set_reader *reader, const yaml_node_t *node,
		   const char *what, char name[NAME_BYTES_MAX])
{
	const char *text;

	if (!doc_string(&reader->doc, node, what, &text))
		return false;
	if (!cfg_name_valid(text))
		return doc_fail(&reader->doc, doc_line(node),
				"%s \"%.80s\" must have 1 to %d characters of "
				"a-z, 0-9, '.', '_' and '-'",
				what, text, NAME_BYTES_MAX - 1);
	memcpy(name, text, strlen(text) + 1);
	return true;
}

/*
 * Reads a path. A relative one starts at the directory of the settings file.
 */
static bool read_path(struct reader *reader, const yaml_node_t *node,
		      const char *what, char path[PATH_BYTES_MAX])
{
	const char *slash = strrchr(reader->base.path, '/');
	const char *text;
	int len = 0;

	if (!doc_string(&reader->base.doc, node, what, &text))
		return false;
	if (*text == '/' || !slash)
		len = snprintf(path, PATH_BYTES_MAX, "%s", text);
	else
		len = snprintf(path, PATH_BYTES_MAX, "%.*s/%s",
			       (int)(slash - reader->base.path),
			       reader->base.path, text);
	if (!*text || len >= PATH_BYTES_MAX)
		return doc_fail(&reader->base.doc, doc_line(node),
				"%s must have 1 to %d bytes", what,
				PATH_BYTES_MAX - 1);
	return true;
}

/*
 * Checks that a name is present if it is required with the role of this
 * instance, and absent if it is not allowed with it.
 */
static bool check_presence(struct reader *reader, const yaml_node_t *parent,
			   const yaml_node_t *node, const char *what,
			   bool allowed, bool required)
{
	const char *role = reader->base.settings->role == AW__ROLE__ROLE_ENTRY ?
				   "entry" :
				   "control";

	if (node && !allowed)
		return doc_fail(&reader->base.doc, doc_line(node),
				"\"%s\" is not allowed with role %s", what,
				role);
	if (!node && required)
		return doc_fail(&reader->base.doc, doc_line(parent),
				"\"%s\" is missing, required with role %s",
				what, role);
	return true;
}

static bool read_identity(struct reader *reader)
{
	static const char *const roles[] = { "control", "entry" };
	const yaml_node_t *root = doc_root(&reader->base.doc);
	struct set_settings *settings = reader->base.settings;
	size_t index;

	if (!reader->fields[F_ROLE])
		return doc_fail(&reader->base.doc, doc_line(root),
				"\"role\" is missing, must be control or "
				"entry");
	if (!doc_choice(&reader->base.doc, reader->fields[F_ROLE], "role",
			roles, 2, &index))
		return false;
	settings->role = index ? AW__ROLE__ROLE_ENTRY : AW__ROLE__ROLE_CONTROL;
	return check_presence(reader, root, reader->fields[F_NAME], "name",
			      true, true) &&
	       set_read_name(&reader->base, reader->fields[F_NAME], "name",
			     settings->name) &&
	       check_presence(reader, root, reader->fields[F_ZONE], "zone",
			      true, true) &&
	       set_read_name(&reader->base, reader->fields[F_ZONE], "zone",
			     settings->zone);
}

static bool read_listen(struct reader *reader)
{
	static const char *const names[] = { "callers", "servers", "operators",
					     "peers" };
	struct set_settings *settings = reader->base.settings;
	bool entry = settings->role == AW__ROLE__ROLE_ENTRY;
	const bool allowed[] = { entry, entry, true, !entry };
	char *const addresses[] = { settings->listen_callers,
				    settings->listen_servers,
				    settings->listen_operators,
				    settings->listen_peers };
	const yaml_node_t *node = reader->fields[F_LISTEN], *values[4];
	char what[64];
	size_t i, j;

	if (!check_presence(reader, doc_root(&reader->base.doc), node, "listen",
			    true, true) ||
	    !doc_fields(&reader->base.doc, node, "listen", names, 4, values))
		return false;
	for (i = 0; i < 4; i++) {
		snprintf(what, sizeof(what), "listen.%s", names[i]);
		if (!check_presence(reader, node, values[i], what, allowed[i],
				    allowed[i]))
			return false;
		if (!values[i])
			continue;
		if (!set_read_address(&reader->base, values[i], what, true,
				      addresses[i]))
			return false;
		for (j = 0; j < i; j++) {
			if (!strcmp(addresses[i], addresses[j]))
				return doc_fail(&reader->base.doc,
						doc_line(values[i]),
						"%s is the same address as "
						"listen.%s",
						what, names[j]);
		}
	}
	return true;
}

static bool read_advertise(struct reader *reader)
{
	static const char *const names[] = { "callers" };
	struct set_settings *settings = reader->base.settings;
	bool entry = settings->role == AW__ROLE__ROLE_ENTRY;
	const yaml_node_t *node = reader->fields[F_ADVERTISE], *value = NULL;
	bool is_wildcard = false;

	if (!check_presence(reader, doc_root(&reader->base.doc), node,
			    "advertise", entry, false))
		return false;
	if (node &&
	    !doc_fields(&reader->base.doc, node, "advertise", names, 1, &value))
		return false;
	if (value)
		return set_read_address(&reader->base, value,
					"advertise.callers", false,
					settings->advertise_callers);
	memcpy(settings->advertise_callers, settings->listen_callers,
	       ADDRESS_BYTES_MAX);
	if (!entry)
		return true;
	set_address_error(settings->advertise_callers, &is_wildcard);
	if (is_wildcard)
		return doc_fail(&reader->base.doc,
				doc_line(reader->fields[F_LISTEN]),
				"\"advertise.callers\" is missing, required "
				"when listen.callers is a wildcard address");
	return true;
}

static bool read_control(struct reader *reader, const yaml_node_t *node)
{
	static const char *const names[] = { "name", "address" };
	struct set_settings *settings = reader->base.settings;
	struct set_control *control =
		&settings->controls[settings->nr_controls];
	const yaml_node_t *values[2];
	size_t i;

	if (!doc_fields(&reader->base.doc, node, "an item of controls", names,
			2, values))
		return false;
	for (i = 0; i < 2; i++) {
		if (!values[i])
			return doc_fail(&reader->base.doc, doc_line(node),
					"\"%s\" is missing in an item of "
					"controls",
					names[i]);
	}
	if (!set_read_name(&reader->base, values[0], "controls.name",
			   control->name) ||
	    !set_read_address(&reader->base, values[1], "controls.address",
			      false, control->address))
		return false;
	for (i = 0; i < settings->nr_controls; i++) {
		if (!strcmp(settings->controls[i].name, control->name))
			return doc_fail(&reader->base.doc, doc_line(values[0]),
					"controls.name \"%s\" is repeated",
					control->name);
		if (!strcmp(settings->controls[i].address, control->address))
			return doc_fail(&reader->base.doc, doc_line(values[1]),
					"controls.address \"%s\" is repeated",
					control->address);
	}
	settings->nr_controls++;
	return true;
}

/*
 * Checks that controls lists this instance if it is a control instance, and
 * does not if it is an entry instance: peers identify instances by name.
 */
static bool check_controls_match_role(struct reader *reader)
{
	const struct set_settings *settings = reader->base.settings;
	bool control = settings->role == AW__ROLE__ROLE_CONTROL;
	bool found = false;
	size_t i;

	for (i = 0; i < settings->nr_controls; i++)
		found |= !strcmp(settings->controls[i].name, settings->name);
	if (found == control)
		return true;
	if (control)
		return doc_fail(&reader->base.doc,
				doc_line(reader->fields[F_CONTROLS]),
				"controls does not contain \"%s\", the name of "
				"this instance",
				settings->name);
	return doc_fail(&reader->base.doc, doc_line(reader->fields[F_NAME]),
			"name \"%s\" is that of a control instance",
			settings->name);
}

static bool read_controls(struct reader *reader)
{
	const yaml_node_t *node = reader->fields[F_CONTROLS];
	size_t i, nr;

	if (!check_presence(reader, doc_root(&reader->base.doc), node,
			    "controls", true, true) ||
	    !doc_items(&reader->base.doc, node, "controls", &nr))
		return false;
	if (!nr || nr > SET_CONTROLS_MAX)
		return doc_fail(&reader->base.doc, doc_line(node),
				"controls has %zu items, must have 1 to %d", nr,
				SET_CONTROLS_MAX);
	for (i = 0; i < nr; i++) {
		if (!read_control(reader, doc_item(&reader->base.doc, node, i)))
			return false;
	}
	return check_controls_match_role(reader);
}

static bool read_secret(struct reader *reader, const yaml_node_t *node,
			const char *what, bool is_token, char *secret,
			size_t *len_bytes)
{
	char path[PATH_BYTES_MAX], cause[PATH_BYTES_MAX + 256];

	if (!node)
		return true;
	if (!read_path(reader, node, what, path))
		return false;
	if (sec_read(path, is_token, secret, SET_SECRET_BYTES_MAX, len_bytes,
		     cause, sizeof(cause)))
		return true;
	return doc_fail(&reader->base.doc, doc_line(node), "%s: %s", what,
			cause);
}

/*
 * Checks that no two secrets are equal. If the operator token was also the
 * announce token, a backend server could act as an operator.
 */
static bool check_secrets_differ(struct reader *reader)
{
	const struct set_settings *settings = reader->base.settings;
	const char *cluster = (const char *)settings->cluster_secret;
	const char *tokens[] = { settings->operator_token,
				 settings->announce_token };
	size_t i;

	for (i = 0; i < 2; i++) {
		if (*tokens[i] &&
		    strlen(tokens[i]) == settings->cluster_secret_bytes &&
		    !memcmp(tokens[i], cluster, strlen(tokens[i])))
			break;
	}
	if (i == 2 && strcmp(tokens[0], tokens[1]) != 0)
		return true;
	return doc_fail(&reader->base.doc, doc_line(reader->fields[F_SECRETS]),
			"two secret files contain the same secret");
}

static bool read_secrets(struct reader *reader)
{
	static const char *const names[] = { "cluster_file", "operator_file",
					     "announce_file" };
	struct set_settings *settings = reader->base.settings;
	bool entry = settings->role == AW__ROLE__ROLE_ENTRY;
	const bool allowed[] = { true, true, entry };
	const yaml_node_t *node = reader->fields[F_SECRETS], *values[3];
	char what[64];
	size_t i, len_bytes;

	if (!check_presence(reader, doc_root(&reader->base.doc), node,
			    "secrets", true, true) ||
	    !doc_fields(&reader->base.doc, node, "secrets", names, 3, values))
		return false;
	for (i = 0; i < 3; i++) {
		snprintf(what, sizeof(what), "secrets.%s", names[i]);
		if (!check_presence(reader, node, values[i], what, allowed[i],
				    allowed[i]))
			return false;
	}
	return read_secret(reader, values[0], "secrets.cluster_file", false,
			   (char *)settings->cluster_secret,
			   &settings->cluster_secret_bytes) &&
	       read_secret(reader, values[1], "secrets.operator_file", true,
			   settings->operator_token, &len_bytes) &&
	       read_secret(reader, values[2], "secrets.announce_file", true,
			   settings->announce_token, &len_bytes) &&
	       check_secrets_differ(reader);
}

static bool read_limits(struct reader *reader)
{
	static const char *const names[] = { "body_memory_bytes",
					     "connections_max" };
	struct set_settings *settings = reader->base.settings;
	bool entry = settings->role == AW__ROLE__ROLE_ENTRY;
	const yaml_node_t *node = reader->fields[F_LIMITS], *values[2];
	uint64_t value;

	settings->body_memory_bytes = BODY_MEMORY_BYTES_DEFAULT;
	settings->connections_max = CONNECTIONS_DEFAULT;
	if (!check_presence(reader, doc_root(&reader->base.doc), node, "limits",
			    entry, false))
		return false;
	if (!node)
		return true;
	if (!doc_fields(&reader->base.doc, node, "limits", names, 2, values))
		return false;
	if (values[0] &&
	    !doc_uint(&reader->base.doc, values[0], "limits.body_memory_bytes",
		      BODY_MEMORY_BYTES_MIN, BODY_MEMORY_BYTES_MAX,
		      &settings->body_memory_bytes))
		return false;
	if (!values[1])
		return true;
	if (!doc_uint(&reader->base.doc, values[1], "limits.connections_max",
		      CONNECTIONS_MIN, CONNECTIONS_MAX, &value))
		return false;
	settings->connections_max = (uint32_t)value;
	return true;
}

static bool read_log(struct reader *reader)
{
	static const char *const names[] = { "level" };
	static const char *const levels[] = { "error", "warn", "info",
					      "debug" };
	const yaml_node_t *node = reader->fields[F_LOG], *value = NULL;
	size_t index;

	reader->base.settings->log_level = LOG_LEVEL_INFO;
	if (!node)
		return true;
	if (!doc_fields(&reader->base.doc, node, "log", names, 1, &value))
		return false;
	if (!value)
		return true;
	if (!doc_choice(&reader->base.doc, value, "log.level", levels, 4,
			&index))
		return false;
	reader->base.settings->log_level = (enum log_level)index;
	return true;
}

static bool read_data_dir(struct reader *reader)
{
	bool control = reader->base.settings->role == AW__ROLE__ROLE_CONTROL;
	const yaml_node_t *node = reader->fields[F_DATA_DIR];

	if (!check_presence(reader, doc_root(&reader->base.doc), node,
			    "data_dir", control, control))
		return false;
	return !node || read_path(reader, node, "data_dir",
				  reader->base.settings->data_dir);
}

/*
 * Reads the "cluster" table, and refuses the top-level names whose settings it
 * replaces.
 */
static bool read_cluster(struct reader *reader)
{
	static const enum field replaced[] = { F_LISTEN, F_ADVERTISE,
					       F_CONTROLS, F_SECRETS };
	size_t i;

	for (i = 0; i < sizeof(replaced) / sizeof(replaced[0]); i++) {
		const yaml_node_t *node = reader->fields[replaced[i]];

		if (node)
			return doc_fail(&reader->base.doc, doc_line(node),
					"\"%s\" is not allowed beside "
					"\"cluster\"",
					field_names[replaced[i]]);
	}
	return set_read_cluster(&reader->base, reader->fields[F_CLUSTER]);
}

static bool read_all(struct reader *reader)
{
	const yaml_node_t *root = doc_root(&reader->base.doc);

	if (!doc_fields(&reader->base.doc, root, "the settings", field_names,
			NR_FIELDS, reader->fields) ||
	    !read_identity(reader))
		return false;
	if (reader->fields[F_CLUSTER])
		return read_cluster(reader) && read_data_dir(reader) &&
		       read_limits(reader) && read_log(reader);
	return read_listen(reader) && read_advertise(reader) &&
	       read_data_dir(reader) && read_controls(reader) &&
	       read_limits(reader) && read_log(reader) && read_secrets(reader);
}

static enum set_error read_file(const char *path, char *text, size_t *len_bytes,
				char *error_text, size_t error_text_bytes)
{
	enum set_error error = SET_OK;
	FILE *file = fopen(path, "re");

	if (!file) {
		snprintf(error_text, error_text_bytes, "%s: cannot be read: %s",
			 path, strerror(errno));
		return SET_ERR_READ;
	}
	*len_bytes = fread(text, 1, FILE_BYTES_MAX + 1, file);
	if (ferror(file)) {
		snprintf(error_text, error_text_bytes, "%s: cannot be read: %s",
			 path, strerror(errno));
		error = SET_ERR_READ;
	} else if (*len_bytes > FILE_BYTES_MAX) {
		snprintf(error_text, error_text_bytes,
			 "%s:1: the file has more than %d bytes", path,
			 FILE_BYTES_MAX);
		error = SET_ERR_INVALID;
	}
	fclose(file);
	return error;
}

enum set_error set_load(const char *path, struct set_settings *settings,
			char *error_text, size_t error_text_bytes)
{
	struct reader reader = { .base = { .path = path,
					   .settings = settings } };
	char text[FILE_BYTES_MAX + 1];
	size_t len_bytes;
	enum set_error error;

	memset(settings, 0, sizeof(*settings));
	snprintf(settings->path, sizeof(settings->path), "%s", path);
	error = read_file(path, text, &len_bytes, error_text, error_text_bytes);
	if (error)
		return error;
	if (!doc_load(&reader.base.doc, path, text, len_bytes, error_text,
		      error_text_bytes) ||
	    !read_all(&reader)) {
		sodium_memzero(settings, sizeof(*settings));
		error = SET_ERR_INVALID;
	}
	doc_release(&reader.base.doc);
	return error;
}
