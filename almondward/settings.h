/*
 * set: the settings file of one process, see almondward.conf(5).
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "log.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SET_CONTROLS_MAX 7
#define SET_SECRET_BYTES_MAX 256 /* with the terminating NUL */

enum set_error {
	SET_OK,
	SET_ERR_READ, /* the settings file cannot be read */
	SET_ERR_INVALID /* wrong content, or a secret file is unusable */
};

struct set_control {
	char name[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX]; /* where peers connect to it */
};

#define SET_SEEDS_MAX 16
#define SET_ZONES_MAX 64

struct set_zone {
	char name[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
};

/*
 * The "bounds" table: limits that the platform guarantees to its users and
 * expects them to keep. The file has seconds and plain numbers; here they are
 * thousandths, so times are in milliseconds. settings_cluster.c describes each
 * one.
 */
struct set_bounds {
	uint32_t apply_ms;
	uint32_t grace_ms;
	uint32_t retry_ratio_permille;
	uint32_t retry_window_ms;
	uint32_t retry_extra_milli;
	uint32_t rate_window_ms;
	uint32_t rate_overage_permille;
	uint32_t rate_slack_milli;
	uint32_t cold_slack_milli;
	uint32_t drain_ms;
	uint32_t lookup_ttl_ms;
	uint32_t shift_permille;
	uint32_t link_kbit_per_s; /* 0: not known */
};

/*
 * The "cluster" table: settings of a seeded cluster, in which instances find
 * each other through the addresses of a few of them, the seeds. Addresses are
 * "" where not set.
 */
struct set_cluster {
	bool enabled; /* the file has a "cluster" table */
	char reason[REASON_BYTES_MAX]; /* why the cluster needs no secret */
	char seeds[SET_SEEDS_MAX][ADDRESS_BYTES_MAX]; /* ports are ignored */
	size_t nr_seeds;
	uint16_t peer_port; /* the same for all instances */
	bool bootstrap; /* the whole cluster starts for the first time */
	char region[NAME_BYTES_MAX];
	struct set_zone zones[SET_ZONES_MAX];
	size_t nr_zones;
	char listen_callers[ADDRESS_BYTES_MAX];
	char listen_ready[ADDRESS_BYTES_MAX];
	char listen_control[ADDRESS_BYTES_MAX];
	char listen_directory[ADDRESS_BYTES_MAX];
	char listen_metrics[ADDRESS_BYTES_MAX];
	/* IP address that outgoing connections have, "": any */
	char connect_from[INET6_ADDRSTRLEN];
	uint64_t memory_bytes; /* limit for the process, 0: no limit */
	/* Control instances that may be lost at once, 0: keep all voters. */
	uint32_t failures;
	struct set_bounds bounds;
};

struct set_settings {
	char path[4096]; /* of the settings file */
	struct set_cluster cluster;
	Aw__Role role;
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char listen_callers[ADDRESS_BYTES_MAX]; /* entry only */
	char advertise_callers[ADDRESS_BYTES_MAX]; /* default: listen_callers */
	/* Entry only: backend servers announce themselves here. */
	char listen_servers[ADDRESS_BYTES_MAX];
	char listen_operators[ADDRESS_BYTES_MAX];
	char listen_peers[ADDRESS_BYTES_MAX]; /* control only */
	char data_dir[4096]; /* control only */
	struct set_control controls[SET_CONTROLS_MAX];
	size_t nr_controls;
	uint8_t cluster_secret[SET_SECRET_BYTES_MAX];
	size_t cluster_secret_bytes;
	char operator_token[SET_SECRET_BYTES_MAX];
	char announce_token[SET_SECRET_BYTES_MAX]; /* entry only */
	uint64_t body_memory_bytes; /* entry only: for all request bodies */
	uint32_t connections_max; /* entry only: connections of callers */
	enum log_level log_level;
};

/*
 * Reads and checks the whole settings file, including the secret files that it
 * names. Unknown names are errors. On error writes "file:line: cause" to
 * error_text; the cause has the name of the setting and its allowed values.
 */
enum set_error set_load(const char *path, struct set_settings *settings,
			char *error_text, size_t error_text_bytes);

/*
 * Returns the region of a zone, or "" if the settings do not list the zone.
 */
const char *set_region(const struct set_cluster *cluster, const char *zone);

/*
 * Writes the address at which an instance listens for its peers: the IP of
 * address, which may be any of its addresses, with the peer port, which is the
 * same for all instances. address must have a port.
 */
void set_peer_address(const struct set_cluster *cluster, const char *address,
		      char out[ADDRESS_BYTES_MAX]);

/*
 * Returns why text is not "IP:port" or "[IP6]:port" with a port from 1 to
 * 65535, or NULL if it is. *is_wildcard tells whether the IP is 0.0.0.0 or ::,
 * which stands for all interfaces.
 */
const char *set_address_error(const char *text, bool *is_wildcard);

#ifdef __cplusplus
}
#endif

#endif
