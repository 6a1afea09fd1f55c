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

struct set_settings {
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
 * Returns why text is not "IP:port" or "[IP6]:port" with a port from 1 to
 * 65535, or NULL. A wildcard is the address of all interfaces.
 */
const char *set_address_fault(const char *text, bool *is_wildcard);

#ifdef __cplusplus
}
#endif

#endif
