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

#define POOL_IDLE_MS 10000 /* older ones may have gone silent */
#define POOL_CONNECT_TIMEOUT_MS 1000

struct pool;

struct pool_settings {
	struct loop *loop;
	struct agent *agent; /* tells the held slots */
	struct ctr_set *counters;
	/* Called after a call has ended and its connection was put away. */
	void (*settled)(void *arg);
	void *arg;
};

/*
 * Returns NULL when memory is exhausted.
 */
struct pool *pool_create(const struct pool_settings *settings);
void pool_destroy(struct pool *pool);

/*
 * Closes connections that were idle too long or exceed the held slots. To be
 * called about every 10 ms.
 */
void pool_tick(struct pool *pool);

/*
 * See struct core_io.
 */
bool pool_responding(const struct backend *backend);

/*
 * See struct core_io. The slot of the call must have been taken.
 */
struct backend *pool_send(struct pool *pool, const struct backend_call *call);
void pool_abort(struct pool *pool, struct backend *backend);

#ifdef __cplusplus
}
#endif

#endif
