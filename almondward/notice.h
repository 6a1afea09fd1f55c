/*
 * notice: what backend servers announce about themselves in their responses.
 *
 * A server that is about to exit announces this in each of its responses, and
 * one that refuses a request may ask for a backoff. Both are stored per
 * incarnation of a server, also while the server is not in the table: a table
 * that is rebuilt may list a server that has announced its departure.
 *
 * Notices are not forwarded to other instances. A server that leaves also
 * informs the control instances, which inform all others, and a backoff
 * concerns only the instance that received the response. The module only makes
 * decisions; time is passed in.
 */
#ifndef NOTICE_H
#define NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Notices of a server that is no longer in the table are kept for this time.
 * The longest observed time for which a leaving server kept running is about
 * ten seconds. */
#define NOTICE_STORE_MS 600000
#define NOTICE_STORED_MAX 4096 /* servers; the oldest are discarded first */
/* At the end of a backoff the instances resume at times spread over this part
 * of it, and over at most this time. */
#define NOTICE_SPREAD_PERCENT 25
#define NOTICE_SPREAD_MAX_MS 1000

struct notice {
	uint64_t leaving_ms; /* when it was first announced, 0: never */
	uint64_t backoff_until_ms; /* 0: none was requested */
};

enum notice_state {
	NOTICE_NONE,
	NOTICE_LEAVING, /* gets requests for a short time, as the last choice */
	NOTICE_LEFT, /* must not get any more requests */
	NOTICE_BACKOFF /* has asked for a backoff */
};

/*
 * The server announced that it leaves. Returns true if this was not known.
 */
bool notice_leave(struct notice *notice, uint64_t now_ms);

/*
 * The server asked for a backoff of backoff_ms. draw, from 0 to 1, selects the
 * time within the spread at which this instance resumes. A shorter backoff does
 * not end a longer one.
 */
void notice_backoff(struct notice *notice, uint32_t backoff_ms, double draw,
		    uint64_t now_ms);

/*
 * drain_ms is the time after its announcement from which a leaving server must
 * not receive requests. New requests are sent to it only during the first half,
 * which leaves the other half for requests in transit.
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
 * Stores the notices of one incarnation of a server if there are any. Without
 * memory they are lost, which is logged.
 */
void notice_store_put(struct notice_store *store, const char *server_id,
		      uint64_t incarnation, const struct notice *notice,
		      uint64_t now_ms);

/*
 * Removes the notices of the given incarnation from the store and returns them
 * in notice, which is empty if there are none.
 */
void notice_store_take(struct notice_store *store, const char *server_id,
		       uint64_t incarnation, struct notice *notice);

#ifdef __cplusplus
}
#endif

#endif
