#include "config_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

/* Paths that almondward serves itself and never forwards. */
static const char *const reserved_paths[] = { "/v1", "/almondward" };

bool cfg_name_valid(const char *name)
{
	size_t len_bytes = strlen(name);

	return len_bytes && len_bytes < NAME_BYTES_MAX &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789._-") ==
		       len_bytes;
}

static bool has_control_character(const char *text)
{
	const unsigned char *pos = (const unsigned char *)text;

	for (; *pos; pos++) {
		if (*pos < ' ' || *pos == 0x7f)
			return true;
		/* U+0080 to U+009F: terminals interpret these, too. */
		if (pos[0] == 0xc2 && pos[1] >= 0x80 && pos[1] <= 0x9f)
			return true;
	}
	return false;
}

/*
 * Uses that libyaml refuses to create an event from text that is not UTF-8.
 */
static bool is_utf8(const char *text)
{
	yaml_event_t event;

	if (!yaml_scalar_event_initialize(
		    &event, NULL, NULL, (const yaml_char_t *)text,
		    (int)strlen(text), 1, 1, YAML_ANY_SCALAR_STYLE))
		return false;
	yaml_event_delete(&event);
	return true;
}

bool cfg_reason_valid(const char *reason)
{
	size_t len_bytes = strlen(reason);

	return len_bytes && len_bytes < REASON_BYTES_MAX &&
	       strspn(reason, " ") != len_bytes &&
	       !has_control_character(reason) && is_utf8(reason);
}

static bool has_dot_segment(const char *path)
{
	size_t len_bytes;

	for (; *path; path += len_bytes) {
		path++;
		len_bytes = strcspn(path, "/");
		if ((len_bytes == 1 && path[0] == '.') ||
		    (len_bytes == 2 && path[0] == '.' && path[1] == '.'))
			return true;
	}
	return false;
}

const char *cfg_path_prefix_error(const char *path)
{
	const char *pos;
	size_t i, len_bytes;

	if (*path != '/')
		return "must begin with /";
	if (strlen(path) > 255)
		return "must have 1 to 255 bytes";
	for (pos = path; *pos; pos++) {
		if (*pos <= ' ' || *pos > '~' || strchr("?#%\\\"", *pos))
			return "must be visible ASCII without ? # % \\ and \"";
	}
	if (has_dot_segment(path))
		return "must have no . or .. segment";
	for (i = 0; i < sizeof(reserved_paths) / sizeof(reserved_paths[0]);
	     i++) {
		len_bytes = strlen(reserved_paths[i]);
		if (!strncmp(path, reserved_paths[i], len_bytes) &&
		    (!path[len_bytes] || path[len_bytes] == '/'))
			return "is a path of the system itself";
	}
	return NULL;
}

static bool host_bits_are_zero(const uint8_t *ip, size_t ip_bytes,
			       unsigned long length)
{
	size_t i;

	for (i = 0; i < ip_bytes; i++) {
		unsigned bits = length >= 8 * (i + 1) ? 8 :
				length <= 8 * i	      ? 0 :
							(unsigned)length % 8;

		if (ip[i] & (0xffU >> bits))
			return false;
	}
	return true;
}

const char *cfg_client_block_error(const char *text,
				   char canonical[CFG_BLOCK_BYTES_MAX])
{
	char host[INET6_ADDRSTRLEN];
	const char *slash = strchr(text, '/');
	int family = strchr(text, ':') ? AF_INET6 : AF_INET;
	size_t len_bytes, ip_bytes = family == AF_INET6 ? 16 : 4;
	unsigned long length;
	uint8_t ip[16];
	char *end;

	len_bytes = slash ? (size_t)(slash - text) : 0;
	if (!slash || len_bytes >= sizeof(host))
		return "must be ADDRESS/LENGTH";
	memcpy(host, text, len_bytes);
	host[len_bytes] = '\0';
	if (inet_pton(family, host, ip) != 1)
		return "has no valid IPv4 or IPv6 address";
	length = strtoul(slash + 1, &end, 10);
	if (slash[1] < '0' || slash[1] > '9' || *end ||
	    (slash[1] == '0' && slash[2]) || length > 8 * ip_bytes)
		return family == AF_INET6 ? "must have a length from 0 to 128" :
					    "must have a length from 0 to 32";
	if (!host_bits_are_zero(ip, ip_bytes, length))
		return "has address bits beyond its length";
	inet_ntop(family, ip, host, sizeof(host));
	snprintf(canonical, CFG_BLOCK_BYTES_MAX, "%s/%lu", host, length);
	return NULL;
}
