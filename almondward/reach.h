/*
 * reach: whether this instance reaches the backend servers.
 *
 * An instance can lose its links to all servers while callers and other
 * instances still reach it. Connections then hang, are reset, or live on while
 * new ones fail. When a connection fails, or no server responds although
 * requests wait, the owner opens probe connections to a few servers, which
 * decide. A server that is down cannot be mistaken for lost links, since several
 * servers must be unreachable at once; nor can servers that are too busy for most
 * new connections, since no connection at all may have been established lately.
 *
 * The module does no I/O and reads the time from a clock object.
 */
#ifndef REACH_H
#define REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Servers that must be unreachable at once, or all, if there are fewer. */
#define REACH_ROUND_PROBES 3
/* Unfinished probes at any time. Those of a round may still be unfinished when
 * the next one begins. */
#define REACH_PROBES_MAX 6

enum reach_state {
	REACH_OK,
	REACH_NO_NEW, /* new connections fail, established ones respond */
	REACH_CUT /* no server responds */
};

struct reach;

/*
 * Returns NULL when memory is exhausted.
 */
struct reach *reach_create(struct clk *clk);
void reach_destroy(struct reach *reach);

/*
 * Call reach_attempt_begin() when a request is sent to a server or a connection
 * is opened for it, and reach_attempt_end() once when this has finished.
 */
void reach_attempt_begin(struct reach *reach);
void reach_attempt_end(struct reach *reach);

/* Records that bytes of a response arrived. */
void reach_received(struct reach *reach);
/*
 * Record the outcome of opening a connection that is not a probe. It is
 * connected when it was established and not reset at once; the response to its
 * request may take much longer.
 */
void reach_connected(struct reach *reach);
void reach_connect_failed(struct reach *reach);

/*
 * Starts a round of probes with the next reach_tick(). It has found nothing
 * when reach_connected_ms() is not before the call; otherwise the state
 * changes.
 */
void reach_check(struct reach *reach);
/* Returns when a connection was last established, 0: never. */
uint64_t reach_connected_ms(const struct reach *reach);

/*
 * Updates the state and returns the number of probes to start now. Call about
 * every 20 ms. nr_servers is the number of servers that can be probed. If
 * *new_round is set, the probes may go to any server, otherwise to other
 * servers than those before them.
 */
size_t reach_tick(struct reach *reach, size_t nr_servers, bool *new_round);
void reach_probe_begin(struct reach *reach);
void reach_probe_end(struct reach *reach, bool connected);

enum reach_state reach_state(const struct reach *reach);
const char *reach_state_name(enum reach_state state);

/*
 * Returns whether a request may be sent over an established connection. If new
 * ones fail and none has responded lately, a single idempotent request finds
 * out.
 */
bool reach_may_use_established(const struct reach *reach, bool idempotent);

#ifdef __cplusplus
}
#endif

#endif
