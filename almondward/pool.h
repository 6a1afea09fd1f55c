/*
 * pool: connections to backend servers, at most one for each held slot.
 */
#ifndef POOL_H
#define POOL_H

#include "agent.h"
#include "counter.h"
#include "entry_core.h"
#include "loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The other end may have dropped a connection that is idle for longer, without
 * this instance having noticed. */
#define POOL_IDLE_MS 10000
#define POOL_CONNECT_TIMEOUT_MS 1000

struct pool;

struct pool_settings {
	struct loop *loop;
	struct agent *agent; /* has the number of held slots */
	struct ctr_set *counters;
	uint64_t response_memory_bytes; /* of all responses, 0: no limit */
	/* A call has finished, and its connection is idle or closed. */
	void (*call_finished)(void *arg);
	void *arg;
};

/*
 * Returns NULL when memory is exhausted.
 */
struct pool *pool_create(const struct pool_settings *settings);
void pool_destroy(struct pool *pool);

/*
 * Closes connections that are idle for too long or exceed the held slots. Call
 * about every 10 ms.
 */
void pool_tick(struct pool *pool);

/*
 * See struct core_io.
 */
bool pool_responding(const struct backend *backend);

/*
 * See struct core_io. The caller must have taken a slot of the server.
 */
struct backend *pool_send(struct pool *pool, const struct backend_call *call);
void pool_abort(struct pool *pool, struct backend *backend);

#ifdef __cplusplus
}
#endif

#endif
