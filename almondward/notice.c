#include "notice.h"

#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "log.h"

struct stored_notice {
	char server_id[NAME_BYTES_MAX];
	uint64_t incarnation;
	struct notice notice;
	uint64_t stored_ms;
	UT_hash_handle hh; /* in the order in which they were stored */
};

struct notice_store {
	struct stored_notice *entries;
};

bool notice_leave(struct notice *notice, uint64_t now_ms)
{
	if (notice->leaving_ms)
		return false;
	notice->leaving_ms = now_ms;
	return true;
}

void notice_backoff(struct notice *notice, uint32_t backoff_ms, double draw,
		    uint64_t now_ms)
{
	uint32_t spread_ms = backoff_ms / 100 * NOTICE_SPREAD_PERCENT;
	uint64_t until_ms;

	if (spread_ms > NOTICE_SPREAD_MAX_MS)
		spread_ms = NOTICE_SPREAD_MAX_MS;
	until_ms = now_ms + backoff_ms + (uint64_t)(spread_ms * draw);
	if (backoff_ms && until_ms > notice->backoff_until_ms)
		notice->backoff_until_ms = until_ms;
}

enum notice_state notice_state(const struct notice *notice, uint32_t drain_ms,
			       uint64_t now_ms)
{
	if (notice->leaving_ms && now_ms >= notice->leaving_ms + drain_ms / 2)
		return NOTICE_LEFT;
	if (now_ms < notice->backoff_until_ms)
		return NOTICE_BACKOFF;
	return notice->leaving_ms ? NOTICE_LEAVING : NOTICE_NONE;
}

/* ---- store ---- */

struct notice_store *notice_store_create(void)
{
	return calloc(1, sizeof(struct notice_store));
}

static void discard(struct notice_store *store, struct stored_notice *at)
{
	HASH_DEL(store->entries, at);
	free(at);
}

void notice_store_destroy(struct notice_store *store)
{
	if (!store)
		return;
	while (store->entries)
		discard(store, store->entries);
	free(store);
}

static struct stored_notice *find(struct notice_store *store,
				  const char *server_id)
{
	struct stored_notice *at;

	HASH_FIND_STR(store->entries, server_id, at);
	return at;
}

void notice_store_put(struct notice_store *store, const char *server_id,
		      uint64_t incarnation, const struct notice *notice,
		      uint64_t now_ms)
{
	struct stored_notice *at;

	while (store->entries &&
	       (now_ms >= store->entries->stored_ms + NOTICE_STORE_MS ||
		HASH_COUNT(store->entries) >= NOTICE_STORED_MAX))
		discard(store, store->entries);
	if (!notice->leaving_ms && now_ms >= notice->backoff_until_ms)
		return;
	at = find(store, server_id);
	if (at && at->incarnation > incarnation)
		return;
	if (at)
		discard(store, at);
	at = calloc(1, sizeof(*at));
	if (!at) {
		log_error("notice",
			  "out of memory: notices of server %s are lost",
			  server_id);
		return;
	}
	snprintf(at->server_id, sizeof(at->server_id), "%s", server_id);
	at->incarnation = incarnation;
	at->notice = *notice;
	at->stored_ms = now_ms;
	HASH_ADD_STR(store->entries, server_id, at);
}

void notice_store_take(struct notice_store *store, const char *server_id,
		       uint64_t incarnation, struct notice *notice)
{
	struct stored_notice *at = find(store, server_id);

	*notice = (struct notice){ 0 };
	if (!at || at->incarnation != incarnation)
		return;
	*notice = at->notice;
	discard(store, at);
}
