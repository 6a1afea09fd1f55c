/*
 * look: builds the ordered list of entry instances for a client.
 */
#ifndef LOOKUP_H
#define LOOKUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "buf.h"
#include "types.h"
#include "view.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Maximum number of instances listed of each group: the client's zone, the rest
 * of its region, and other regions. A caller that cannot reach a zone or region
 * finds the next one in its list, and the size of the response does not grow
 * with the fleet.
 */
#define LOOK_GROUP_MAX 4

struct look_request {
	const struct view *view;
	const Aw__Instance *const *instances; /* as the leader listed them */
	size_t nr_instances;
	const char *client; /* IP with or without port */
	const char *own_name;
	const char *own_zone; /* used if the client's zone is unknown */
	bool omit_self; /* if this instance has no lease or is leaving */
	uint32_t ttl_s;
};

enum look_error { LOOK_OK, LOOK_ERR_MEMORY, LOOK_ERR_CLIENT };

/*
 * Appends {"ttl_s", "instances": [...]} with the instances of the client's
 * zone, then of the rest of its region, then others, at most LOOK_GROUP_MAX of
 * each. Within a group the order differs by client, so that the clients of a
 * zone are distributed over its instances, but is the same in the responses of
 * all instances. Returns LOOK_ERR_CLIENT if client is not an IP address.
 */
enum look_error look_write_response(const struct look_request *request,
				    struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
