#include "control_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <sodium.h>

#include "config.h"

#define NUMBER_MAX 9007199254740991.0 /* largest integer exact in JSON */

/* Reads the members of a JSON object and keeps the first error. */
struct reader {
	const cJSON *object;
	char *text;
	size_t text_bytes;
	bool failed; /* text has the error */
};

static void reject(struct reader *reader, const char *name,
		   const char *expected)
{
	if (!reader->failed)
		snprintf(reader->text, reader->text_bytes, "%s: expected %s",
			 name, expected);
	reader->failed = true;
}

/*
 * Returns a copy of a string member, or NULL if it is missing or invalid. The
 * protobuf fields of missing optional members keep their defaults.
 */
static char *read_string(struct reader *reader, const char *name, bool required)
{
	const cJSON *item =
		cJSON_GetObjectItemCaseSensitive(reader->object, name);
	char *copy;

	if (!item && !required)
		return NULL;
	if (!item || !cJSON_IsString(item) ||
	    (required && !*item->valuestring)) {
		reject(reader, name, "a string");
		return NULL;
	}
	copy = strdup(item->valuestring);
	if (!copy)
		reject(reader, name, "memory");
	return copy;
}

static void set_string(struct reader *reader, char **field, const char *name,
		       bool required)
{
	char *value = read_string(reader, name, required);

	if (value)
		*field = value;
}

static uint64_t read_number(struct reader *reader, const char *name, double max)
{
	const cJSON *item =
		cJSON_GetObjectItemCaseSensitive(reader->object, name);

	if (!cJSON_IsNumber(item) || !(item->valuedouble >= 0) ||
	    item->valuedouble > max ||
	    item->valuedouble != floor(item->valuedouble)) {
		reject(reader, name, "a whole number in range");
		return 0;
	}
	return (uint64_t)item->valuedouble;
}

static void reject_unknown_members(struct reader *reader,
				   const char *const *members)
{
	const cJSON *item, *other;
	size_t i;

	cJSON_ArrayForEach(item, reader->object)
	{
		for (i = 0; members[i]; i++)
			if (!strcmp(members[i], item->string))
				break;
		if (!members[i])
			reject(reader, item->string, "no such member");
		for (other = item->next; other; other = other->next)
			if (!strcmp(other->string, item->string))
				reject(reader, item->string, "it only once");
	}
}

static void make_exception(struct reader *reader, Aw__Op *op)
{
	static const char *const members[] = { "name",	   "setting",  "value",
					       "reason",   "customer", "route",
					       "upstream", "zone",     "region",
					       NULL };
	Aw__Exception *to = calloc(1, sizeof(*to));

	op->exception_add = calloc(1, sizeof(*op->exception_add));
	if (!to || !op->exception_add) {
		free(to);
		reject(reader, "exception", "memory");
		return;
	}
	aw__op_exception_add__init(op->exception_add);
	aw__exception__init(to);
	op->body_case = AW__OP__BODY_EXCEPTION_ADD;
	op->exception_add->exception = to;
	reject_unknown_members(reader, members);
	set_string(reader, &to->name, "name", true);
	set_string(reader, &to->setting, "setting", true);
	to->value = read_number(reader, "value", NUMBER_MAX);
	set_string(reader, &to->reason, "reason", true);
	set_string(reader, &to->customer, "customer", false);
	set_string(reader, &to->route, "route", false);
	set_string(reader, &to->upstream, "upstream", false);
	set_string(reader, &to->zone, "zone", false);
	set_string(reader, &to->region, "region", false);
}

static void copy_name(struct reader *reader, char **field, const char *name)
{
	char *copy = strdup(name);

	if (copy)
		*field = copy;
	else
		reject(reader, name, "memory");
}

static void make_exception_remove(struct reader *reader, const char *name,
				  Aw__Op *op)
{
	static const char *const members[] = { "reason", NULL };

	op->exception_remove = calloc(1, sizeof(*op->exception_remove));
	if (!op->exception_remove) {
		reject(reader, name, "memory");
		return;
	}
	aw__op_exception_remove__init(op->exception_remove);
	op->body_case = AW__OP__BODY_EXCEPTION_REMOVE;
	reject_unknown_members(reader, members);
	copy_name(reader, &op->exception_remove->name, name);
	set_string(reader, &op->exception_remove->reason, "reason", true);
}

static void read_hash(struct reader *reader, ProtobufCBinaryData *hash)
{
	const cJSON *item =
		cJSON_GetObjectItemCaseSensitive(reader->object, "hash");
	size_t len_bytes;

	hash->data = calloc(1, HASH_BYTES);
	if (!hash->data) {
		reject(reader, "hash", "memory");
		return;
	}
	hash->len = HASH_BYTES;
	if (!cJSON_IsString(item) ||
	    strlen(item->valuestring) != (size_t)2 * HASH_BYTES ||
	    sodium_hex2bin(hash->data, HASH_BYTES, item->valuestring,
			   strlen(item->valuestring), NULL, &len_bytes, NULL) ||
	    len_bytes != HASH_BYTES)
		reject(reader, "hash", "64 hexadecimal digits");
}

static void make_key(struct reader *reader, Aw__Op *op)
{
	static const char *const members[] = { "id", "customer", "hash", NULL };
	Aw__Key *to = calloc(1, sizeof(*to));

	op->key_grant = calloc(1, sizeof(*op->key_grant));
	if (!to || !op->key_grant) {
		free(to);
		reject(reader, "key", "memory");
		return;
	}
	aw__op_key_grant__init(op->key_grant);
	aw__key__init(to);
	op->body_case = AW__OP__BODY_KEY_GRANT;
	op->key_grant->key = to;
	reject_unknown_members(reader, members);
	set_string(reader, &to->id, "id", true);
	set_string(reader, &to->customer, "customer", true);
	read_hash(reader, &to->hash);
}

static void make_key_withdraw(struct reader *reader, const char *name,
			      Aw__Op *op)
{
	op->key_withdraw = calloc(1, sizeof(*op->key_withdraw));
	if (!op->key_withdraw) {
		reject(reader, name, "memory");
		return;
	}
	aw__op_key_withdraw__init(op->key_withdraw);
	op->body_case = AW__OP__BODY_KEY_WITHDRAW;
	copy_name(reader, &op->key_withdraw->id, name);
}

static void read_kind(struct reader *reader, Aw__DrainTarget *kind)
{
	const cJSON *item =
		cJSON_GetObjectItemCaseSensitive(reader->object, "kind");
	const char *text = cJSON_IsString(item) ? item->valuestring : "";

	if (!strcmp(text, "server"))
		*kind = AW__DRAIN_TARGET__DRAIN_SERVER;
	else if (!strcmp(text, "zone"))
		*kind = AW__DRAIN_TARGET__DRAIN_ZONE;
	else if (!strcmp(text, "region"))
		*kind = AW__DRAIN_TARGET__DRAIN_REGION;
	else
		reject(reader, "kind", "server, zone or region");
}

static void make_drain(struct reader *reader, Aw__Op *op)
{
	static const char *const members[] = { "name",	 "kind",   "target",
					       "ramp_s", "reason", "forced",
					       NULL };
	const cJSON *forced =
		cJSON_GetObjectItemCaseSensitive(reader->object, "forced");
	Aw__Drain *to = calloc(1, sizeof(*to));

	op->drain_plan = calloc(1, sizeof(*op->drain_plan));
	if (!to || !op->drain_plan) {
		free(to);
		reject(reader, "drain", "memory");
		return;
	}
	aw__op_drain_plan__init(op->drain_plan);
	aw__drain__init(to);
	op->body_case = AW__OP__BODY_DRAIN_PLAN;
	op->drain_plan->drain = to;
	reject_unknown_members(reader, members);
	set_string(reader, &to->name, "name", true);
	read_kind(reader, &to->target_kind);
	set_string(reader, &to->target, "target", true);
	to->ramp_s = (uint32_t)read_number(reader, "ramp_s", UINT32_MAX);
	set_string(reader, &to->reason, "reason", true);
	if (forced && !cJSON_IsBool(forced))
		reject(reader, "forced", "true or false");
	to->forced = cJSON_IsTrue(forced);
}

static void make_drain_cancel(struct reader *reader, const char *name,
			      Aw__Op *op)
{
	op->drain_cancel = calloc(1, sizeof(*op->drain_cancel));
	if (!op->drain_cancel) {
		reject(reader, name, "memory");
		return;
	}
	aw__op_drain_cancel__init(op->drain_cancel);
	op->body_case = AW__OP__BODY_DRAIN_CANCEL;
	copy_name(reader, &op->drain_cancel->name, name);
}

static void make_config(struct reader *reader, const uint8_t *body,
			size_t body_bytes, Aw__Op *op)
{
	op->config = calloc(1, sizeof(*op->config));
	if (!op->config) {
		reject(reader, "configuration", "memory");
		return;
	}
	aw__op_config__init(op->config);
	op->body_case = AW__OP__BODY_CONFIG;
	if (cfg_parse_yaml("configuration", (const char *)body, body_bytes,
			   &op->config->config, reader->text,
			   reader->text_bytes))
		reader->failed = true;
}

static void make_from_json(struct reader *reader, enum ctl_change change,
			   const char *name, Aw__Op *op)
{
	switch (change) {
	case CTL_CHANGE_EXCEPTION_ADD:
		make_exception(reader, op);
		break;
	case CTL_CHANGE_EXCEPTION_REMOVE:
		make_exception_remove(reader, name, op);
		break;
	case CTL_CHANGE_KEY_GRANT:
		make_key(reader, op);
		break;
	case CTL_CHANGE_DRAIN_PLAN:
		make_drain(reader, op);
		break;
	case CTL_CHANGE_KEY_WITHDRAW:
		make_key_withdraw(reader, name, op);
		break;
	case CTL_CHANGE_DRAIN_CANCEL:
		make_drain_cancel(reader, name, op);
		break;
	case CTL_CHANGE_CONFIG:
		break;
	}
}

static bool needs_body(enum ctl_change change)
{
	return change != CTL_CHANGE_KEY_WITHDRAW &&
	       change != CTL_CHANGE_DRAIN_CANCEL;
}

int ctl_parse_change(enum ctl_change change, const char *name,
		     const uint8_t *body, size_t body_bytes, Aw__Op **op,
		     char *text, size_t text_bytes)
{
	struct reader reader = { NULL, text, text_bytes, false };
	cJSON *json = NULL;

	*op = calloc(1, sizeof(**op));
	if (!*op) {
		snprintf(text, text_bytes, "out of memory");
		return -1;
	}
	aw__op__init(*op);
	if (change == CTL_CHANGE_CONFIG) {
		make_config(&reader, body, body_bytes, *op);
	} else if (needs_body(change)) {
		json = cJSON_ParseWithLength((const char *)body, body_bytes);
		if (cJSON_IsObject(json))
			reader.object = json;
		else
			reject(&reader, "body", "a JSON object");
	}
	if (!reader.failed)
		make_from_json(&reader, change, name, *op);
	cJSON_Delete(json);
	if (!reader.failed)
		return 0;
	aw__op__free_unpacked(*op, NULL);
	*op = NULL;
	return -1;
}
