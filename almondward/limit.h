/*
 * limit: the requests a second that a backend server in need takes from all
 * instances together.
 *
 * A server names its limit in its responses for as long as it applies. Each
 * instance receives only some of the responses, so what instances know of a
 * limit has the time at which it was observed, and the newest observation
 * replaces older ones, whoever made it.
 *
 * The module only makes decisions; time is passed in.
 */
#ifndef LIMIT_H
#define LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum limit_state {
	LIMIT_UNKNOWN, /* nothing was observed yet */
	LIMIT_NONE, /* the server takes any number of requests */
	LIMIT_NAMED
};

struct limit {
	enum limit_state state;
	uint32_t milli_per_s; /* if state is LIMIT_NAMED */
	uint64_t observed_ms;
};

/*
 * Takes an observation unless it is older than the known one. Returns true if
 * the limit has changed.
 */
bool limit_update(struct limit *limit, const struct limit *observed);

#ifdef __cplusplus
}
#endif

#endif
