/*
 * look: the ordered list of entry instances for a client.
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
 * Instances named of the client's zone, of its region, and of other regions,
 * each. A caller that lost a zone or a region finds the next one in its list,
 * and the answer does not grow with the fleet.
 */
#define LOOK_GROUP_MAX 4

struct look_question {
	const struct view *view;
	const Aw__Instance *const *instances; /* as the leader listed them */
	size_t nr_instances;
	const char *client; /* IP with or without port */
	const char *own_name;
	const char *own_zone; /* stands for the client's zone if unknown */
	bool omit_self; /* no lease, or leaving */
	uint32_t ttl_s;
};

enum look_error { LOOK_OK, LOOK_ERR_MEMORY, LOOK_ERR_CLIENT };

/*
 * Appends {"ttl_s", "instances": [...]}: the client's zone, then its region,
 * then others, at most LOOK_GROUP_MAX of each. Within a group the order differs by client, so that the clients
 * of a zone spread over its instances, and is the same at every instance.
 */
enum look_error look_answer(const struct look_question *question,
			    struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
