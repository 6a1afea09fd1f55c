#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings_internal.h"

/*
 * Reads the "cluster" table: the settings of a seeded cluster.
 */

#define NUMBER_MAX 86400
#define DEFAULT_FAILURES 2
#define FAILURES_MAX 1000
#define FAILURES_VARIABLE "ALMONDWARD_FAILURES"

enum field {
	F_REASON,
	F_SEEDS,
	F_PEER_PORT,
	F_BOOTSTRAP,
	F_REGION,
	F_REGIONS,
	F_LISTEN,
	F_CONNECT_FROM,
	F_MEMORY_MB,
	F_FAILURES,
	F_BOUNDS,
	NR_FIELDS
};

static const char *const field_names[NR_FIELDS] = {
	[F_REASON] = "reason",	     [F_SEEDS] = "seeds",
	[F_PEER_PORT] = "peer_port", [F_BOOTSTRAP] = "bootstrap",
	[F_REGION] = "region",	     [F_REGIONS] = "regions",
	[F_LISTEN] = "listen",	     [F_MEMORY_MB] = "memory_mb",
	[F_BOUNDS] = "bounds",	     [F_CONNECT_FROM] = "connect_from",
	[F_FAILURES] = "failures",
};

/*
 * One value of the "bounds" table, which a platform guarantees to its users.
 * The comments below have the default in brackets.
 */
struct bound_info {
	const char *name;
	size_t offset;
	uint32_t default_milli;
};

#define BOUND(name, field, value)                               \
	{                                                       \
		name, offsetof(struct set_bounds, field), value \
	}

static const struct bound_info bounds[] = {
	/*
	 * A change is in force everywhere at most this long after the response
	 * to it [2.5 s].
	 */
	BOUND("apply_s", apply_ms, 2500),
	/* After a signal to stop, the process exits within this time [6 s]. */
	BOUND("grace_s", grace_ms, 6000),
	/*
	 * Retries per request of a service [0.2], within a time window [10 s],
	 * and a fixed number of retries on top [50].
	 */
	BOUND("retry_ratio", retry_ratio_permille, 200),
	BOUND("retry_window_s", retry_window_ms, 10000),
	BOUND("retry_extra", retry_extra_milli, 50000),
	/*
	 * Time window in which customers' rates are checked [5 s], and what is
	 * tolerated above a rate: a part of it [10%] and a fixed number of
	 * requests [20].
	 */
	BOUND("rate_window_s", rate_window_ms, 5000),
	BOUND("rate_overage", rate_overage_permille, 100),
	BOUND("rate_slack", rate_slack_milli, 20000),
	/*
	 * Requests per second that a cold server tolerates above its rate [5].
	 */
	BOUND("cold_slack", cold_slack_milli, 5000),
	/*
	 * A server that announces its departure must not get any request later
	 * than this [2.5 s].
	 */
	BOUND("drain_s", drain_ms, 2500),
	/* Longest time for which callers cache a look-up [5 s]. */
	BOUND("lookup_ttl_s", lookup_ttl_ms, 5000),
	/*
	 * Part of a region's requests that may move to other regions within
	 * 2 s [0.15].
	 */
	BOUND("shift_max", shift_permille, 150),
	/*
	 * Rate of the machine's network link in megabits per second [0: not
	 * known].
	 */
	BOUND("link_mbit_per_s", link_kbit_per_s, 0),
};

#define NR_BOUNDS (sizeof(bounds) / sizeof(bounds[0]))

static bool is_absent_or_empty(const yaml_node_t *node)
{
	return !node ||
	       (node->type == YAML_SCALAR_NODE && !node->data.scalar.length);
}

/*
 * Reads a decimal number and rounds it to thousandths.
 */
static bool read_milli(struct set_reader *reader, const yaml_node_t *node,
		       const char *what, uint32_t *milli)
{
	const char *text;
	double value;
	char *end;

	if (!doc_string(&reader->doc, node, what, &text))
		return false;
	value = strtod(text, &end);
	if (*text < '0' || *text > '9' || *end || value > NUMBER_MAX)
		return doc_fail(&reader->doc, doc_line(node),
				"%s is \"%.64s\", must be a number from 0 to "
				"%d",
				what, text, NUMBER_MAX);
	*milli = (uint32_t)(value * 1000 + 0.5);
	return true;
}

static bool read_bounds(struct set_reader *reader, const yaml_node_t *node)
{
	struct set_bounds *target = &reader->settings->cluster.bounds;
	const yaml_node_t *values[NR_BOUNDS] = { NULL };
	const char *names[NR_BOUNDS];
	uint32_t *field;
	size_t i;

	for (i = 0; i < NR_BOUNDS; i++)
		names[i] = bounds[i].name;
	if (node && !doc_fields(&reader->doc, node, "cluster.bounds", names,
				NR_BOUNDS, values))
		return false;
	for (i = 0; i < NR_BOUNDS; i++) {
		field = (uint32_t *)((uint8_t *)target + bounds[i].offset);
		*field = bounds[i].default_milli;
		if (!is_absent_or_empty(values[i]) &&
		    !read_milli(reader, values[i], bounds[i].name, field))
			return false;
	}
	return true;
}

static bool read_listen(struct set_reader *reader, const yaml_node_t *node)
{
	static const char *const names[] = { "callers", "ready", "control",
					     "directory", "metrics" };
	struct set_cluster *cluster = &reader->settings->cluster;
	char *const addresses[] = { cluster->listen_callers,
				    cluster->listen_ready,
				    cluster->listen_control,
				    cluster->listen_directory,
				    cluster->listen_metrics };
	const yaml_node_t *values[5];
	char what[64];
	size_t i;

	if (!node)
		return doc_fail(&reader->doc, 1,
				"\"cluster.listen\" is missing");
	if (!doc_fields(&reader->doc, node, "cluster.listen", names, 5, values))
		return false;
	for (i = 0; i < 5; i++) {
		snprintf(what, sizeof(what), "cluster.listen.%s", names[i]);
		if (!is_absent_or_empty(values[i]) &&
		    !set_read_address(reader, values[i], what, false,
				      addresses[i]))
			return false;
	}
	return true;
}

static bool is_unspecified(const struct in6_addr *address, int family)
{
	return family == AF_INET ? !address->s6_addr32[0] :
				   IN6_IS_ADDR_UNSPECIFIED(address);
}

static bool read_connect_from(struct set_reader *reader,
			      const yaml_node_t *node)
{
	struct set_cluster *cluster = &reader->settings->cluster;
	struct in6_addr address = IN6ADDR_ANY_INIT;
	const char *text;
	int family;

	if (is_absent_or_empty(node))
		return true;
	if (!doc_string(&reader->doc, node, "cluster.connect_from", &text))
		return false;
	family = strchr(text, ':') ? AF_INET6 : AF_INET;
	if (inet_pton(family, text, &address) != 1 ||
	    is_unspecified(&address, family))
		return doc_fail(&reader->doc, doc_line(node),
				"cluster.connect_from is \"%.64s\", must be "
				"an IP address of this machine without a port",
				text);
	snprintf(cluster->connect_from, sizeof(cluster->connect_from), "%s",
		 text);
	return true;
}

static bool read_seeds(struct set_reader *reader, const yaml_node_t *node)
{
	struct set_cluster *cluster = &reader->settings->cluster;
	size_t i, nr;

	if (!node || !doc_items(&reader->doc, node, "cluster.seeds", &nr))
		return doc_fail(&reader->doc, 1,
				"\"cluster.seeds\" is missing");
	if (!nr || nr > SET_SEEDS_MAX)
		return doc_fail(&reader->doc, doc_line(node),
				"cluster.seeds has %zu items, must have 1 to "
				"%d",
				nr, SET_SEEDS_MAX);
	for (i = 0; i < nr; i++)
		if (!set_read_address(reader, doc_item(&reader->doc, node, i),
				      "cluster.seeds", false,
				      cluster->seeds[i]))
			return false;
	cluster->nr_seeds = nr;
	return true;
}

static bool read_regions(struct set_reader *reader, const yaml_node_t *node)
{
	struct set_cluster *cluster = &reader->settings->cluster;
	const yaml_node_t *key, *value;
	size_t i, nr = 0;

	if (node && !doc_pairs(&reader->doc, node, "cluster.regions", &nr))
		return false;
	if (nr > SET_ZONES_MAX)
		return doc_fail(&reader->doc, doc_line(node),
				"cluster.regions has %zu items, must have up "
				"to %d",
				nr, SET_ZONES_MAX);
	for (i = 0; i < nr; i++) {
		struct set_zone *zone = &cluster->zones[i];

		value = doc_pair(&reader->doc, node, i, &key);
		if (!set_read_name(reader, key, "a zone of cluster.regions",
				   zone->name) ||
		    !set_read_name(reader, value, "a region", zone->region))
			return false;
	}
	cluster->nr_zones = nr;
	return true;
}

/*
 * Reads the environment variable that replaces cluster.failures. A settings
 * file without that name can be read by earlier builds too, which refuse names
 * that they do not know.
 */
static bool read_failures_variable(struct set_reader *reader,
				   uint64_t *failures)
{
	const char *text = getenv(FAILURES_VARIABLE);
	unsigned long value;
	char *end;

	if (!text || !*text)
		return true;
	value = strtoul(text, &end, 10);
	if (*text < '0' || *text > '9' || *end || value > FAILURES_MAX)
		return doc_fail(&reader->doc, 1,
				"the environment variable %s is \"%.64s\", "
				"must be a number from 0 to %d",
				FAILURES_VARIABLE, text, FAILURES_MAX);
	*failures = value;
	return true;
}

static bool read_scalars(struct set_reader *reader,
			 const yaml_node_t *const *values)
{
	static const char *const choices[] = { "false", "true" };
	struct set_cluster *cluster = &reader->settings->cluster;
	const char *reason = "";
	size_t bootstrap = 0;
	uint64_t port, memory_mb = 0, failures = DEFAULT_FAILURES;

	if (!values[F_REASON] ||
	    !doc_string(&reader->doc, values[F_REASON], "cluster.reason",
			&reason) ||
	    !*reason || strlen(reason) >= REASON_BYTES_MAX)
		return doc_fail(&reader->doc, 1,
				"\"cluster.reason\" is missing: why processes "
				"are trusted without a secret");
	snprintf(cluster->reason, sizeof(cluster->reason), "%s", reason);
	if (!values[F_PEER_PORT])
		return doc_fail(&reader->doc, 1,
				"\"cluster.peer_port\" is missing");
	if (!doc_uint(&reader->doc, values[F_PEER_PORT], "cluster.peer_port", 1,
		      65535, &port))
		return false;
	cluster->peer_port = (uint16_t)port;
	if (!is_absent_or_empty(values[F_BOOTSTRAP]) &&
	    !doc_choice(&reader->doc, values[F_BOOTSTRAP], "cluster.bootstrap",
			choices, 2, &bootstrap))
		return false;
	cluster->bootstrap = bootstrap == 1;
	if (!is_absent_or_empty(values[F_MEMORY_MB]) &&
	    !doc_uint(&reader->doc, values[F_MEMORY_MB], "cluster.memory_mb",
		      16, 1048576, &memory_mb))
		return false;
	cluster->memory_bytes = memory_mb << 20;
	if (is_absent_or_empty(values[F_FAILURES])) {
		if (!read_failures_variable(reader, &failures))
			return false;
	} else if (!doc_uint(&reader->doc, values[F_FAILURES],
			     "cluster.failures", 0, FAILURES_MAX, &failures)) {
		return false;
	}
	cluster->failures = (uint32_t)failures;
	if (!values[F_REGION])
		return doc_fail(&reader->doc, 1,
				"\"cluster.region\" is missing");
	return set_read_name(reader, values[F_REGION], "cluster.region",
			     cluster->region);
}

static bool check_role(struct set_reader *reader, const yaml_node_t *node)
{
	const struct set_settings *settings = reader->settings;
	bool control = settings->role == AW__ROLE__ROLE_CONTROL;
	const struct set_cluster *cluster = &settings->cluster;

	if (control && !*cluster->listen_control)
		return doc_fail(&reader->doc, doc_line(node),
				"\"cluster.listen.control\" is missing, "
				"required with role control");
	if (!control && (!*cluster->listen_callers || !*cluster->listen_ready))
		return doc_fail(&reader->doc, doc_line(node),
				"\"cluster.listen.callers\" or "
				"\"cluster.listen.ready\" is missing, required "
				"with role entry");
	return true;
}

bool set_read_cluster(struct set_reader *reader, const yaml_node_t *node)
{
	const yaml_node_t *values[NR_FIELDS];

	reader->settings->cluster.enabled = true;
	return doc_fields(&reader->doc, node, "cluster", field_names, NR_FIELDS,
			  values) &&
	       read_scalars(reader, values) &&
	       read_seeds(reader, values[F_SEEDS]) &&
	       read_regions(reader, values[F_REGIONS]) &&
	       read_listen(reader, values[F_LISTEN]) &&
	       read_connect_from(reader, values[F_CONNECT_FROM]) &&
	       read_bounds(reader, values[F_BOUNDS]) &&
	       check_role(reader, node);
}

const char *set_region(const struct set_cluster *cluster, const char *zone)
{
	size_t i;

	for (i = 0; i < cluster->nr_zones; i++)
		if (!strcmp(cluster->zones[i].name, zone))
			return cluster->zones[i].region;
	return "";
}

void set_peer_address(const struct set_cluster *cluster, const char *address,
		      char out[ADDRESS_BYTES_MAX])
{
	const char *colon = strrchr(address, ':');

	snprintf(out, ADDRESS_BYTES_MAX, "%.*s:%u", (int)(colon - address),
		 address, cluster->peer_port);
}
