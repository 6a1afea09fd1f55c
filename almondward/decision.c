#include "decision.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cjson/cJSON.h>
#include <uthash.h>

/*
 * A reference-counted string. Names and reasons repeat in thousands of records,
 * so each is stored once.
 */
struct text {
	char *str;
	uint32_t refs;
	UT_hash_handle hh;
};

struct policy {
	uint64_t value;
	struct text *name;
	struct text *reason;
	uint8_t setting;
	uint8_t origin;
};

struct alternative {
	struct text *address;
	uint64_t latency_us;
	uint64_t latency_age_ms;
	uint32_t held_slots;
	uint32_t used_slots;
	uint32_t drained_permille;
	uint8_t group;
	uint8_t verdict;
};

struct choice {
	struct alternative alternatives[DEC_ALTERNATIVES_MAX];
	uint32_t nr_alternatives;
	uint32_t nr_candidates;
	uint64_t seen_age_ms;
};

struct record {
	char request_id[REQUEST_ID_BYTES_MAX];
	uint64_t wall_ms;
	uint64_t duration_ms;
	struct text *customer;
	struct text *route;
	struct text *upstream;
	struct policy policies[DEC_POLICIES_MAX];
	uint32_t nr_policies;
	struct choice *choices; /* allocated with the first one */
	uint32_t nr_choices;
	uint32_t status;
	uint32_t attempts;
	uint8_t refusal;
	bool not_run;
	bool finished;
	char note[DEC_NOTE_BYTES_MAX];
	UT_hash_handle hh;
};

struct dec_ring {
	struct record *records;
	size_t nr_records;
	size_t next;
	struct record *by_id;
	struct text *texts;
};

static struct text *intern_text(struct dec_ring *ring, const char *str)
{
	struct text *text;

	if (!str)
		str = "";
	HASH_FIND_STR(ring->texts, str, text);
	if (text) {
		text->refs++;
		return text;
	}
	text = calloc(1, sizeof(*text));
	if (!text)
		return NULL;
	text->str = strdup(str);
	if (!text->str) {
		free(text);
		return NULL;
	}
	text->refs = 1;
	HASH_ADD_KEYPTR(hh, ring->texts, text->str, strlen(text->str), text);
	return text;
}

static void release_text(struct dec_ring *ring, struct text *text)
{
	if (!text || --text->refs)
		return;
	HASH_DEL(ring->texts, text);
	free(text->str);
	free(text);
}

static const char *text_str(const struct text *text)
{
	return text ? text->str : "";
}

static void clear_record(struct dec_ring *ring, struct record *record)
{
	uint32_t i, j;

	if (!*record->request_id)
		return;
	HASH_DEL(ring->by_id, record);
	release_text(ring, record->customer);
	release_text(ring, record->route);
	release_text(ring, record->upstream);
	for (i = 0; i < record->nr_policies; i++) {
		release_text(ring, record->policies[i].name);
		release_text(ring, record->policies[i].reason);
	}
	for (i = 0; i < record->nr_choices; i++) {
		for (j = 0; j < record->choices[i].nr_alternatives; j++)
			release_text(
				ring,
				record->choices[i].alternatives[j].address);
	}
	free(record->choices);
	memset(record, 0, sizeof(*record));
}

struct dec_ring *dec_create(size_t nr_records)
{
	struct dec_ring *ring = calloc(1, sizeof(*ring));

	if (!ring)
		return NULL;
	ring->nr_records = nr_records;
	ring->records = calloc(nr_records, sizeof(*ring->records));
	if (!ring->records) {
		free(ring);
		return NULL;
	}
	return ring;
}

void dec_destroy(struct dec_ring *ring)
{
	size_t i;

	if (!ring)
		return;
	for (i = 0; i < ring->nr_records; i++)
		clear_record(ring, &ring->records[i]);
	free(ring->records);
	free(ring);
}

static struct record *find_record(const struct dec_ring *ring,
				  const char *request_id)
{
	struct record *record;

	HASH_FIND_STR(ring->by_id, request_id, record);
	return record;
}

void dec_begin(struct dec_ring *ring, const char *request_id, uint64_t wall_ms)
{
	struct record *record = &ring->records[ring->next];

	ring->next = (ring->next + 1) % ring->nr_records;
	clear_record(ring, record);
	snprintf(record->request_id, sizeof(record->request_id), "%s",
		 request_id);
	record->wall_ms = wall_ms;
	HASH_ADD_STR(ring->by_id, request_id, record);
}

static void replace_text(struct dec_ring *ring, struct text **text,
			 const char *str)
{
	release_text(ring, *text);
	*text = intern_text(ring, str);
}

void dec_subject(struct dec_ring *ring, const char *request_id,
		 const char *customer, const char *route, const char *upstream)
{
	struct record *record = find_record(ring, request_id);

	if (!record)
		return;
	replace_text(ring, &record->customer, customer);
	replace_text(ring, &record->route, route);
	replace_text(ring, &record->upstream, upstream);
}

void dec_policy(struct dec_ring *ring, const char *request_id,
		enum cfg_setting setting, const struct cfg_decision *decision)
{
	struct record *record = find_record(ring, request_id);
	struct policy *policy;

	if (!record || record->nr_policies == DEC_POLICIES_MAX)
		return;
	policy = &record->policies[record->nr_policies++];
	policy->setting = (uint8_t)setting;
	policy->value = decision->value;
	policy->origin = (uint8_t)decision->origin;
	policy->name = intern_text(ring, decision->name);
	policy->reason = intern_text(ring, decision->reason);
}

static void add_alternative(struct dec_ring *ring, struct choice *choice,
			    const struct route_candidate *candidate,
			    enum route_verdict verdict, uint64_t now_ms)
{
	struct alternative *to;

	if (choice->nr_alternatives == DEC_ALTERNATIVES_MAX)
		return;
	to = &choice->alternatives[choice->nr_alternatives++];
	to->address = intern_text(ring, candidate->address);
	to->latency_us = candidate->stats.latency_us;
	to->latency_age_ms = now_ms - candidate->stats.latency_at_ms;
	to->held_slots = candidate->held_slots;
	to->used_slots = candidate->used_slots;
	to->drained_permille = candidate->drained_permille;
	to->group = (uint8_t)candidate->group;
	to->verdict = (uint8_t)verdict;
}

void dec_choice(struct dec_ring *ring, const char *request_id,
		const struct route_candidate *candidates,
		const enum route_verdict *verdicts, size_t nr, int chosen,
		uint64_t now_ms, uint64_t seen_age_ms)
{
	struct record *record = find_record(ring, request_id);
	struct choice *choice;
	size_t i;

	if (!record || record->nr_choices == DEC_CHOICES_MAX)
		return;
	if (!record->choices) {
		record->choices =
			calloc(DEC_CHOICES_MAX, sizeof(*record->choices));
		if (!record->choices)
			return;
	}
	choice = &record->choices[record->nr_choices++];
	choice->nr_candidates = (uint32_t)nr;
	choice->seen_age_ms = seen_age_ms;
	if (chosen >= 0)
		add_alternative(ring, choice, &candidates[chosen],
				verdicts[chosen], now_ms);
	for (i = 0; i < nr; i++) {
		if ((int)i != chosen)
			add_alternative(ring, choice, &candidates[i],
					verdicts[i], now_ms);
	}
}

void dec_end(struct dec_ring *ring, const char *request_id,
	     enum refusal refusal, uint32_t status, bool not_run,
	     uint32_t attempts, uint64_t duration_ms, const char *note)
{
	struct record *record = find_record(ring, request_id);

	if (!record)
		return;
	record->finished = true;
	record->refusal = (uint8_t)refusal;
	record->status = status;
	record->not_run = not_run;
	record->attempts = attempts;
	record->duration_ms = duration_ms;
	snprintf(record->note, sizeof(record->note), "%s", note);
}

static bool add_number(cJSON *object, const char *name, uint64_t value)
{
	return cJSON_AddNumberToObject(object, name, (double)value) != NULL;
}

static bool add_text(cJSON *object, const char *name, const char *value)
{
	return cJSON_AddStringToObject(object, name, value) != NULL;
}

static cJSON *add_item(cJSON *list)
{
	cJSON *item = cJSON_CreateObject();

	if (!cJSON_AddItemToArray(list, item)) {
		cJSON_Delete(item);
		return NULL;
	}
	return item;
}

static bool add_policies(cJSON *root, const struct record *record)
{
	cJSON *list = cJSON_AddArrayToObject(root, "decisions"), *item;
	const struct policy *policy;
	uint32_t i;

	for (i = 0; list && i < record->nr_policies; i++) {
		policy = &record->policies[i];
		item = add_item(list);
		if (!item ||
		    !add_text(
			    item, "setting",
			    cfg_setting_info((enum cfg_setting)policy->setting)
				    ->name) ||
		    !add_number(item, "value", policy->value) ||
		    !add_text(
			    item, "origin",
			    cfg_origin_name((enum cfg_origin)policy->origin)) ||
		    !add_text(item, "name", text_str(policy->name)) ||
		    !add_text(item, "reason", text_str(policy->reason)))
			return false;
	}
	return list != NULL;
}

static const char *const group_names[] = {
	[ROUTE_SAME_ZONE] = "same_zone",
	[ROUTE_SAME_REGION] = "same_region",
	[ROUTE_OTHER_REGION] = "other_region",
};

static bool add_server(cJSON *list, const struct alternative *from)
{
	cJSON *item = add_item(list);

	if (!item || !add_text(item, "server", text_str(from->address)) ||
	    !add_text(item, "verdict",
		      route_verdict_name((enum route_verdict)from->verdict)) ||
	    !add_text(item, "group", group_names[from->group]) ||
	    !add_number(item, "held_slots", from->held_slots) ||
	    !add_number(item, "used_slots", from->used_slots) ||
	    !add_number(item, "drained_permille", from->drained_permille))
		return false;
	if (!from->latency_us)
		return true;
	return add_number(item, "latency_us", from->latency_us) &&
	       add_number(item, "latency_age_ms", from->latency_age_ms);
}

static bool add_choices(cJSON *root, const struct record *record)
{
	cJSON *list = cJSON_AddArrayToObject(root, "choices"), *item, *servers;
	const struct choice *choice;
	uint32_t i, j;

	for (i = 0; list && i < record->nr_choices; i++) {
		choice = &record->choices[i];
		item = add_item(list);
		if (!item ||
		    !add_number(item, "candidates", choice->nr_candidates) ||
		    !add_number(item, "seen_age_ms", choice->seen_age_ms))
			return false;
		servers = cJSON_AddArrayToObject(item, "servers");
		for (j = 0; j < choice->nr_alternatives; j++) {
			if (!add_server(servers, &choice->alternatives[j]))
				return false;
		}
	}
	return list != NULL;
}

static bool add_outcome(cJSON *root, const struct record *record)
{
	if (!record->finished)
		return cJSON_AddBoolToObject(root, "running", true) != NULL;
	return add_text(root, "refusal",
			refusal_name((enum refusal)record->refusal)) &&
	       add_number(root, "status", record->status) &&
	       cJSON_AddBoolToObject(root, "not_run", record->not_run) &&
	       add_number(root, "attempts", record->attempts) &&
	       add_number(root, "duration_ms", record->duration_ms) &&
	       add_text(root, "note", record->note);
}

enum dec_error dec_format(const struct dec_ring *ring, const char *request_id,
			  struct buf *out)
{
	const struct record *record = find_record(ring, request_id);
	enum dec_error error = DEC_ERR_MEMORY;
	char *text = NULL;
	cJSON *root;

	if (!record)
		return DEC_ERR_NOT_FOUND;
	root = cJSON_CreateObject();
	if (root && add_text(root, "request_id", record->request_id) &&
	    add_number(root, "time_ms", record->wall_ms) &&
	    add_text(root, "customer", text_str(record->customer)) &&
	    add_text(root, "route", text_str(record->route)) &&
	    add_text(root, "upstream", text_str(record->upstream)) &&
	    add_policies(root, record) && add_choices(root, record) &&
	    add_outcome(root, record))
		text = cJSON_PrintUnformatted(root);
	if (text && !buf_append_str(out, text))
		error = DEC_OK;
	cJSON_free(text);
	cJSON_Delete(root);
	return error;
}
