/*
 * notice: what backend servers say of themselves in their answers, beside the
 * answer.
 *
 * A server that is about to end says so in each of its answers, and one that
 * turns a request away may say for how long it wants none. Both are kept for
 * one start of a server, also while the table of servers does not have it: a
 * table that is built anew may name a server that has said that it leaves.
 *
 * Notices are not told to other instances. A server that leaves also tells the
 * control instances, which tell all; and a pause concerns the instance that
 * the server answered. Decisions only: time is passed in.
 */
#ifndef NOTICE_H
#define NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The notices of a server that is not in the table any more are kept for so
 * long; the longest seen stay of a server that leaves is some ten seconds. */
#define NOTICE_KEEP_MS 600000
#define NOTICE_KEPT_MAX 4096 /* servers; the oldest are forgotten first */
/* The return of requests is spread over this part of a pause, and over this
 * time at most. */
#define NOTICE_SPREAD_PERCENT 25
#define NOTICE_SPREAD_MAX_MS 1000

struct notice {
	uint64_t leaving_ms; /* when it was first said, 0: never */
	uint64_t quiet_until_ms; /* 0: no pause was asked for */
};

enum notice_state {
	NOTICE_NONE,
	NOTICE_LEAVING, /* takes requests for a short time, as the last choice */
	NOTICE_LEFT, /* must get no more requests */
	NOTICE_QUIET /* wants no requests now */
};

/*
 * The server says that it leaves. Returns true when that is news.
 */
bool notice_leave(struct notice *notice, uint64_t now_ms);

/*
 * The server wants no requests for pause_ms. chance, from 0 to 1, places the
 * return of this instance. A shorter pause does not end a longer one.
 */
void notice_pause(struct notice *notice, uint32_t pause_ms, double chance,
		  uint64_t now_ms);

/*
 * drain_ms: a server that leaves must get no request that comes later. Half of
 * it is used, for requests on their way.
 */
enum notice_state notice_state(const struct notice *notice, uint32_t drain_ms,
			       uint64_t now_ms);

/* Notices of servers that are not in the table. */
struct notice_store;

/*
 * Returns NULL when memory is exhausted.
 */
struct notice_store *notice_store_create(void);
void notice_store_destroy(struct notice_store *store);

/*
 * Keeps the notices of one start of a server, unless there are none. Without
 * memory they are lost, which is logged.
 */
void notice_store_put(struct notice_store *store, const char *server_id,
		      uint64_t incarnation, const struct notice *notice,
		      uint64_t now_ms);

/*
 * Takes the notices of that start of the server out of the store. Without any
 * the notice is empty.
 */
void notice_store_take(struct notice_store *store, const char *server_id,
		       uint64_t incarnation, struct notice *notice);

#ifdef __cplusplus
}
#endif

#endif
