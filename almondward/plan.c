#include "plan.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <uthash.h>

#include "message.h"

#define HOST_BYTES_MAX 256

struct plan_digest {
	uint8_t bytes[HASH_BYTES];
	UT_hash_handle hh; /* oldest first */
};

/* Routes of one host, longest prefix first. */
struct plan_host {
	char name[HOST_BYTES_MAX];
	const Aw__PlanRoute **routes;
	size_t nr_routes;
	UT_hash_handle hh;
};

struct plan_key {
	const char *key;
	const Aw__PlanCustomer *customer;
	UT_hash_handle hh;
};

struct plan_upstream_entry {
	const char *name;
	const Aw__PlanUpstream *upstream;
	UT_hash_handle hh;
};

/* Look-up tables of one plan; they point into its message. */
struct plan_tables {
	struct plan_host *hosts;
	struct plan_key *keys;
	struct plan_upstream_entry *upstreams;
};

struct plan {
	Aw__Plan *message;
	struct plan_tables tables;
	struct plan_digest *digests;
};

/* ---- tables ---- */

static void tables_release(struct plan_tables *tables)
{
	struct plan_host *host, *next_host;
	struct plan_key *key, *next_key;
	struct plan_upstream_entry *entry, *next_entry;

	HASH_ITER(hh, tables->hosts, host, next_host)
	{
		HASH_DEL(tables->hosts, host);
		free(host->routes);
		free(host);
	}
	HASH_ITER(hh, tables->keys, key, next_key)
	{
		HASH_DEL(tables->keys, key);
		free(key);
	}
	HASH_ITER(hh, tables->upstreams, entry, next_entry)
	{
		HASH_DEL(tables->upstreams, entry);
		free(entry);
	}
}

/*
 * Writes the host in lower case and without a port. Returns false if it is too
 * long.
 */
static bool normalize_host(const char *host, char out[HOST_BYTES_MAX])
{
	size_t i, len_bytes = strcspn(host, ":");

	if (len_bytes >= HOST_BYTES_MAX)
		return false;
	for (i = 0; i < len_bytes; i++)
		out[i] = (char)tolower((unsigned char)host[i]);
	out[len_bytes] = '\0';
	return true;
}

static int append_route(struct plan_host *host, const Aw__PlanRoute *route)
{
	size_t nr = host->nr_routes;
	const Aw__PlanRoute **routes;

	/* The array doubles each time its size, a power of two, is reached. */
	if (!(nr & (nr - 1))) {
		routes = realloc(host->routes,
				 (nr ? 2 * nr : 1) * sizeof(Aw__PlanRoute *));
		if (!routes)
			return -1;
		host->routes = routes;
	}
	host->routes[host->nr_routes++] = route;
	return 0;
}

static int add_route(struct plan_tables *tables, const Aw__PlanRoute *route)
{
	char name[HOST_BYTES_MAX] = "";
	struct plan_host *host;

	if (!normalize_host(route->host, name))
		return 0;
	HASH_FIND_STR(tables->hosts, name, host);
	if (!host) {
		host = calloc(1, sizeof(*host));
		if (!host)
			return -1;
		memcpy(host->name, name, sizeof(name));
		HASH_ADD_STR(tables->hosts, name, host);
	}
	return append_route(host, route);
}

static int longest_first(const void *a, const void *b)
{
	const Aw__PlanRoute *x = *(const Aw__PlanRoute *const *)a;
	const Aw__PlanRoute *y = *(const Aw__PlanRoute *const *)b;
	size_t x_bytes = strlen(x->path_prefix);
	size_t y_bytes = strlen(y->path_prefix);

	return x_bytes < y_bytes ? 1 : x_bytes > y_bytes ? -1 : 0;
}

static int index_routes(struct plan_tables *tables, const Aw__Plan *message)
{
	struct plan_host *host, *next;
	size_t i;

	for (i = 0; i < message->n_routes; i++)
		if (add_route(tables, message->routes[i]))
			return -1;
	HASH_ITER(hh, tables->hosts, host, next)
	{
		qsort(host->routes, host->nr_routes, sizeof(Aw__PlanRoute *),
		      longest_first);
	}
	return 0;
}

/*
 * If two customers have the same key, it stays with the first one and
 * *conflicting_customer is set to the name of the second.
 */
static int index_keys(struct plan_tables *tables, const Aw__Plan *message,
		      const char **conflicting_customer)
{
	struct plan_key *key;
	size_t i, j;

	for (i = 0; i < message->n_customers; i++) {
		const Aw__PlanCustomer *customer = message->customers[i];

		for (j = 0; j < customer->n_keys; j++) {
			const char *text = customer->keys[j];

			HASH_FIND_STR(tables->keys, text, key);
			if (key && key->customer != customer)
				*conflicting_customer = customer->name;
			if (key)
				continue;
			key = calloc(1, sizeof(*key));
			if (!key)
				return -1;
			key->key = text;
			key->customer = customer;
			HASH_ADD_KEYPTR(hh, tables->keys, key->key,
					strlen(key->key), key);
		}
	}
	return 0;
}

static int index_upstreams(struct plan_tables *tables, const Aw__Plan *message)
{
	struct plan_upstream_entry *entry;
	size_t i;

	for (i = 0; i < message->n_upstreams; i++) {
		const char *name = message->upstreams[i]->name;

		HASH_FIND_STR(tables->upstreams, name, entry);
		if (entry)
			continue;
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			return -1;
		entry->name = name;
		entry->upstream = message->upstreams[i];
		HASH_ADD_KEYPTR(hh, tables->upstreams, entry->name,
				strlen(entry->name), entry);
	}
	return 0;
}

static int tables_build(struct plan_tables *tables, const Aw__Plan *message,
			const char **conflicting_customer)
{
	memset(tables, 0, sizeof(*tables));
	*conflicting_customer = NULL;
	if (!index_routes(tables, message) &&
	    !index_keys(tables, message, conflicting_customer) &&
	    !index_upstreams(tables, message))
		return 0;
	tables_release(tables);
	return -1;
}

/* ---- rules ---- */

static const char *find_route_error(const struct plan_tables *tables,
				    const Aw__PlanRoute *route)
{
	struct plan_upstream_entry *entry;
	uint64_t weight_sum = 0;
	size_t i;

	if (!*route->host)
		return "has no host";
	if (!route->attempts_max)
		return "allows no attempt";
	for (i = 0; i < route->n_parts; i++) {
		const char *upstream = route->parts[i]->upstream;

		HASH_FIND_STR(tables->upstreams, upstream, entry);
		if (!entry)
			return "names an upstream that does not exist";
		weight_sum += route->parts[i]->weight;
	}
	return weight_sum ? NULL : "has no part with a weight";
}

static bool is_valid(const Aw__Plan *message, const struct plan_tables *tables,
		     const char *conflicting_customer, char *detail,
		     size_t detail_bytes)
{
	const char *error;
	size_t i;

	if (conflicting_customer) {
		snprintf(detail, detail_bytes,
			 "customer \"%s\" has the key of another customer",
			 conflicting_customer);
		return false;
	}
	for (i = 0; i < message->n_routes; i++) {
		error = find_route_error(tables, message->routes[i]);
		if (!error)
			continue;
		snprintf(detail, detail_bytes, "route \"%s\" %s",
			 message->routes[i]->name, error);
		return false;
	}
	return true;
}

/* ---- merging ---- */

/*
 * Returns the name of a route, upstream, customer or extra: in each of these
 * messages it is the first field of the descriptor.
 */
static const char *item_name(const ProtobufCMessage *item)
{
	const ProtobufCFieldDescriptor *field = &item->descriptor->fields[0];

	return *(const char *const *)((const uint8_t *)item + field->offset);
}

/* A repeated field of named messages. */
struct items {
	ProtobufCMessage **list;
	size_t nr;
};

/* An item of a change, by its name. */
struct named {
	const char *name;
	const ProtobufCMessage *item; /* NULL: is removed */
	bool is_placed; /* the list has a copy */
	UT_hash_handle hh; /* in the order of the change */
};

/*
 * The table stays small beside a large plan, as it has the names of the change.
 */
static void add_named(struct named **table, struct named *entry,
		      const char *name, const ProtobufCMessage *item)
{
	struct named *at;

	HASH_FIND_STR(*table, name, at);
	if (!at) {
		at = entry;
		at->name = name;
		HASH_ADD_KEYPTR(hh, *table, at->name, strlen(at->name), at);
	}
	at->item = item;
}

static void items_remove(struct items *items, const struct named *table)
{
	const struct named *at;
	size_t i, kept = 0;

	for (i = 0; i < items->nr; i++) {
		HASH_FIND_STR(table, item_name(items->list[i]), at);
		if (!at)
			items->list[kept++] = items->list[i];
		else
			message_free(items->list[i]);
	}
	items->nr = kept;
}

/*
 * Replaces the first item of each name in the table.
 */
static int items_replace(struct items *items, const struct named *table)
{
	ProtobufCMessage *copy;
	struct named *at;
	size_t i;

	for (i = 0; i < items->nr; i++) {
		HASH_FIND_STR(table, item_name(items->list[i]), at);
		if (!at || at->is_placed)
			continue;
		copy = message_copy(at->item);
		if (!copy)
			return -1;
		message_free(items->list[i]);
		items->list[i] = copy;
		at->is_placed = true;
	}
	return 0;
}

static int items_append(struct items *items, struct named *table)
{
	ProtobufCMessage **list =
		realloc(items->list, (items->nr + HASH_COUNT(table) + 1) *
					     sizeof(ProtobufCMessage *));
	struct named *at;

	if (!list)
		return -1;
	items->list = list;
	for (at = table; at; at = at->hh.next) {
		if (at->is_placed)
			continue;
		list[items->nr] = message_copy(at->item);
		if (!list[items->nr])
			return -1;
		items->nr++;
	}
	return 0;
}

/*
 * Applies removals and upserts to one repeated field. protobuf-c gives each
 * such field a pointer type of its own, but all are arrays of pointers to
 * messages.
 */
static int merge_items(void *list, size_t *nr, void *upserts, size_t nr_upserts,
		       char **removed, size_t nr_removed)
{
	struct items items = { *(ProtobufCMessage ***)list, *nr };
	struct named *entries, *removals = NULL, *puts = NULL;
	ProtobufCMessage **from = upserts;
	int ret = 0;
	size_t i;

	if (!nr_removed && !nr_upserts)
		return 0;
	entries = calloc(nr_removed + nr_upserts, sizeof(*entries));
	if (!entries)
		return -1;
	for (i = 0; i < nr_removed; i++)
		add_named(&removals, &entries[i], removed[i], NULL);
	for (i = 0; i < nr_upserts; i++)
		add_named(&puts, &entries[nr_removed + i], item_name(from[i]),
			  from[i]);
	if (removals)
		items_remove(&items, removals);
	if (puts)
		ret = items_replace(&items, puts) || items_append(&items, puts);
	HASH_CLEAR(hh, removals);
	HASH_CLEAR(hh, puts);
	free(entries);
	*(ProtobufCMessage ***)list = items.list;
	*nr = items.nr;
	return ret ? -1 : 0;
}

static int merge(Aw__Plan *to, const Aw__PlanChange *change)
{
	if (merge_items((void *)&to->routes, &to->n_routes, change->routes,
			change->n_routes, change->removed_routes,
			change->n_removed_routes) ||
	    merge_items((void *)&to->upstreams, &to->n_upstreams,
			change->upstreams, change->n_upstreams,
			change->removed_upstreams,
			change->n_removed_upstreams) ||
	    merge_items((void *)&to->customers, &to->n_customers,
			change->customers, change->n_customers,
			change->removed_customers,
			change->n_removed_customers) ||
	    merge_items((void *)&to->extras, &to->n_extras, change->extras,
			change->n_extras, NULL, 0))
		return -1;
	if (!change->limits)
		return 0;
	message_free(to->limits);
	to->limits = message_copy(&change->limits->base);
	return to->limits ? 0 : -1;
}

/*
 * Unlike a merge, this keeps a whole document as it was written, even if two
 * items have the same name.
 */
static Aw__Plan *plan_from_document(const Aw__PlanChange *change)
{
	Aw__Plan borrowed = AW__PLAN__INIT;

	borrowed.routes = change->routes;
	borrowed.n_routes = change->n_routes;
	borrowed.upstreams = change->upstreams;
	borrowed.n_upstreams = change->n_upstreams;
	borrowed.customers = change->customers;
	borrowed.n_customers = change->n_customers;
	borrowed.limits = change->limits;
	borrowed.extras = change->extras;
	borrowed.n_extras = change->n_extras;
	return message_copy(&borrowed.base);
}

static Aw__Plan *make_next_plan(const struct plan *plan,
				const Aw__PlanChange *change, uint64_t index)
{
	Aw__Plan *next = change->whole ? plan_from_document(change) :
					 message_copy(&plan->message->base);

	if (!next)
		return NULL;
	if (!change->whole && merge(next, change)) {
		message_free(next);
		return NULL;
	}
	next->version = change->version;
	next->index = index;
	return next;
}

static void install_plan(struct plan *plan, Aw__Plan *message,
			 const struct plan_tables *tables)
{
	tables_release(&plan->tables);
	message_free(plan->message);
	plan->message = message;
	plan->tables = *tables;
}

/* ---- digests ---- */

int plan_load_digest(struct plan *plan, const ProtobufCBinaryData *digest)
{
	struct plan_digest *record, *oldest;

	if (digest->len != HASH_BYTES)
		return 0;
	HASH_FIND(hh, plan->digests, digest->data, HASH_BYTES, record);
	if (record)
		return 0;
	record = calloc(1, sizeof(*record));
	if (!record)
		return -1;
	memcpy(record->bytes, digest->data, HASH_BYTES);
	HASH_ADD(hh, plan->digests, bytes, HASH_BYTES, record);
	if (HASH_COUNT(plan->digests) > PLAN_DIGESTS_MAX) {
		oldest = plan->digests;
		HASH_DEL(plan->digests, oldest);
		free(oldest);
	}
	return 0;
}

static bool is_repeated(const struct plan *plan, const Aw__PlanChange *change)
{
	struct plan_digest *record = NULL;

	if (change->digest.len == HASH_BYTES)
		HASH_FIND(hh, plan->digests, change->digest.data, HASH_BYTES,
			  record);
	return record != NULL;
}

size_t plan_digests(const struct plan *plan, ProtobufCBinaryData *digests,
		    size_t max)
{
	struct plan_digest *record, *next;
	size_t nr = 0;

	HASH_ITER(hh, plan->digests, record, next)
	{
		if (nr == max)
			break;
		digests[nr].data = record->bytes;
		digests[nr++].len = HASH_BYTES;
	}
	return nr;
}

/* ---- create and destroy ---- */

struct plan *plan_create(void)
{
	Aw__Plan empty = AW__PLAN__INIT;
	struct plan *plan = calloc(1, sizeof(*plan));

	if (!plan)
		return NULL;
	plan->message = message_copy(&empty.base);
	if (plan->message)
		return plan;
	free(plan);
	return NULL;
}

void plan_destroy(struct plan *plan)
{
	struct plan_digest *record, *next;

	if (!plan)
		return;
	tables_release(&plan->tables);
	message_free(plan->message);
	HASH_ITER(hh, plan->digests, record, next)
	{
		HASH_DEL(plan->digests, record);
		free(record);
	}
	free(plan);
}

/* ---- changes ---- */

enum plan_result plan_change(struct plan *plan, uint64_t index,
			     const Aw__PlanChange *change, char *detail,
			     size_t detail_bytes)
{
	uint64_t version = plan->message->version;
	struct plan_tables tables;
	const char *conflicting_customer;
	Aw__Plan *next;

	*detail = '\0';
	if (is_repeated(plan, change))
		return PLAN_REPEATED;
	if (change->base_version != version) {
		snprintf(detail, detail_bytes, "the version is %llu, not %llu",
			 (unsigned long long)version,
			 (unsigned long long)change->base_version);
		return PLAN_CONFLICT;
	}
	if (change->version <= version) {
		snprintf(detail, detail_bytes,
			 "version %llu is not above the current %llu",
			 (unsigned long long)change->version,
			 (unsigned long long)version);
		return PLAN_INVALID;
	}
	next = make_next_plan(plan, change, index);
	if (!next)
		return PLAN_ERR_MEMORY;
	if (tables_build(&tables, next, &conflicting_customer)) {
		message_free(next);
		return PLAN_ERR_MEMORY;
	}
	if (!is_valid(next, &tables, conflicting_customer, detail,
		      detail_bytes)) {
		tables_release(&tables);
		message_free(next);
		return PLAN_INVALID;
	}
	if (plan_load_digest(plan, &change->digest)) {
		tables_release(&tables);
		message_free(next);
		return PLAN_ERR_MEMORY;
	}
	install_plan(plan, next, &tables);
	return PLAN_ACCEPTED;
}

static int index_and_install(struct plan *plan, Aw__Plan *next)
{
	struct plan_tables tables;
	const char *conflicting_customer;

	if (!next)
		return -1;
	if (tables_build(&tables, next, &conflicting_customer)) {
		message_free(next);
		return -1;
	}
	install_plan(plan, next, &tables);
	return 0;
}

int plan_apply_accepted(struct plan *plan, const Aw__PlanChange *change)
{
	const char *conflicting_customer;

	if (change->index <= plan->message->index)
		return 0;
	if (change->whole)
		return index_and_install(
			plan, make_next_plan(plan, change, change->index));
	/* The tables point to items that the merge frees. */
	tables_release(&plan->tables);
	if (merge(plan->message, change))
		return -1;
	plan->message->version = change->version;
	plan->message->index = change->index;
	return tables_build(&plan->tables, plan->message,
			    &conflicting_customer);
}

int plan_replace(struct plan *plan, const Aw__Plan *from)
{
	if (from->index < plan->message->index)
		return 0;
	return index_and_install(plan, message_copy(&from->base));
}

/* ---- access ---- */

const Aw__Plan *plan_message(const struct plan *plan)
{
	return plan->message;
}

uint64_t plan_version(const struct plan *plan)
{
	return plan->message->version;
}

uint64_t plan_index(const struct plan *plan)
{
	return plan->message->index;
}

const Aw__PlanRoute *plan_route(const struct plan *plan, const char *host,
				const char *path)
{
	char name[HOST_BYTES_MAX] = "";
	struct plan_host *entry;
	size_t i;

	if (!normalize_host(host, name))
		return NULL;
	HASH_FIND_STR(plan->tables.hosts, name, entry);
	for (i = 0; entry && i < entry->nr_routes; i++) {
		const char *prefix = entry->routes[i]->path_prefix;

		if (!strncmp(path, prefix, strlen(prefix)))
			return entry->routes[i];
	}
	return NULL;
}

const Aw__PlanCustomer *plan_customer_by_key(const struct plan *plan,
					     const char *key)
{
	struct plan_key *entry;

	HASH_FIND_STR(plan->tables.keys, key, entry);
	return entry ? entry->customer : NULL;
}

const Aw__PlanUpstream *plan_upstream(const struct plan *plan, const char *name)
{
	struct plan_upstream_entry *entry;

	HASH_FIND_STR(plan->tables.upstreams, name, entry);
	return entry ? entry->upstream : NULL;
}
