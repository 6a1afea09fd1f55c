/*
 * set: the settings file of one process, see almondward.conf(5).
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "log.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SET_CONTROLS_MAX 7
#define SET_SECRET_BYTES_MAX 256

enum set_error {
	SET_OK,
	SET_ERR_READ, /* file cannot be read */
	SET_ERR_INVALID
};

struct set_control {
	char name[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX]; /* of the peer protocol */
};

#define SET_SEEDS_MAX 16
#define SET_ZONES_MAX 64

struct set_zone {
	char name[NAME_BYTES_MAX];
	char region[NAME_BYTES_MAX];
};

/*
 * What the platform holds its users to, in thousandths. Times in seconds.
 */
struct set_bounds {
	uint32_t apply_milli_s;
	uint32_t grace_milli_s;
	uint32_t retry_ratio_milli;
	uint32_t retry_window_milli_s;
	uint32_t retry_extra_milli;
	uint32_t rate_window_milli_s;
	uint32_t rate_overage_milli;
	uint32_t rate_slack_milli;
	uint32_t cold_slack_milli;
	uint32_t drain_milli_s;
	uint32_t lookup_ttl_milli_s;
	uint32_t shift_milli;
	uint32_t link_milli_mbit; /* per second, 0: not known */
};

/*
 * Instances that find each other by seeds. Addresses are "" where not set.
 */
struct set_cluster {
	bool enabled;
	char reason[REASON_BYTES_MAX]; /* why there is no secret */
	char seeds[SET_SEEDS_MAX][ADDRESS_BYTES_MAX]; /* only the IP counts */
	size_t nr_seeds;
	uint16_t peer_port; /* the same at all instances */
	bool bootstrap; /* the whole cluster starts for the first time */
	char region[NAME_BYTES_MAX];
	struct set_zone zones[SET_ZONES_MAX];
	size_t nr_zones;
	char listen_callers[ADDRESS_BYTES_MAX];
	char listen_ready[ADDRESS_BYTES_MAX];
	char listen_control[ADDRESS_BYTES_MAX];
	char listen_directory[ADDRESS_BYTES_MAX];
	char listen_metrics[ADDRESS_BYTES_MAX];
	uint64_t memory_bytes; /* the process may use, 0: no limit */
	struct set_bounds bounds;
};

struct set_settings {
	char path[4096]; /* of the file */
	struct set_cluster cluster;
	Aw__Role role;
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	char listen_callers[ADDRESS_BYTES_MAX]; /* entry only */
	char advertise_callers[ADDRESS_BYTES_MAX]; /* default: listen_callers */
	char listen_servers[ADDRESS_BYTES_MAX]; /* entry: announcements */
	char listen_operators[ADDRESS_BYTES_MAX];
	char listen_peers[ADDRESS_BYTES_MAX]; /* control only */
	char data_dir[4096]; /* control only */
	struct set_control controls[SET_CONTROLS_MAX];
	size_t nr_controls;
	uint8_t cluster_secret[SET_SECRET_BYTES_MAX];
	size_t cluster_secret_bytes;
	char operator_token[SET_SECRET_BYTES_MAX];
	char announce_token[SET_SECRET_BYTES_MAX]; /* entry only */
	uint64_t body_memory_bytes; /* entry: all request bodies together */
	uint32_t connections_max; /* callers, entry only */
	enum log_level log_level;
};

/*
 * Reads and checks the whole file, including the secret files that it names.
 * On error writes "file:line: cause" with the name and the allowed range to
 * error_text. Unknown names are errors.
 */
enum set_error set_load(const char *path, struct set_settings *settings,
			char *error_text, size_t error_text_bytes);

/*
 * Region of a zone, or "".
 */
const char *set_region(const struct set_cluster *cluster, const char *zone);

/*
 * Where an instance listens for its peers, by any of its addresses: all use
 * the same port. address must have a port.
 */
void set_peer_address(const struct set_cluster *cluster, const char *address,
		      char out[ADDRESS_BYTES_MAX]);

/*
 * Returns why text is not "IP:port" or "[IP6]:port" with a port from 1 to
 * 65535, or NULL. A wildcard is the address of all interfaces.
 */
const char *set_address_fault(const char *text, bool *is_wildcard);

#ifdef __cplusplus
}
#endif

#endif
