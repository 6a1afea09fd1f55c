#include "notice.h"

#include <stdio.h>
#include <stdlib.h>

#include <uthash.h>

#include "log.h"

struct kept {
	char server_id[NAME_BYTES_MAX];
	uint64_t incarnation;
	struct notice notice;
	uint64_t put_ms;
	UT_hash_handle hh; /* oldest first */
};

struct notice_store {
	struct kept *kept;
};

bool notice_leave(struct notice *notice, uint64_t now_ms)
{
	if (notice->leaving_ms)
		return false;
	notice->leaving_ms = now_ms;
	return true;
}

void notice_pause(struct notice *notice, uint32_t pause_ms, double chance,
		  uint64_t now_ms)
{
	uint32_t spread_ms = pause_ms / 100 * NOTICE_SPREAD_PERCENT;
	uint64_t until_ms;

	if (spread_ms > NOTICE_SPREAD_MAX_MS)
		spread_ms = NOTICE_SPREAD_MAX_MS;
	until_ms = now_ms + pause_ms + (uint64_t)(spread_ms * chance);
	if (pause_ms && until_ms > notice->quiet_until_ms)
		notice->quiet_until_ms = until_ms;
}

enum notice_state notice_state(const struct notice *notice, uint32_t drain_ms,
			       uint64_t now_ms)
{
	if (notice->leaving_ms && now_ms >= notice->leaving_ms + drain_ms / 2)
		return NOTICE_LEFT;
	if (now_ms < notice->quiet_until_ms)
		return NOTICE_QUIET;
	return notice->leaving_ms ? NOTICE_LEAVING : NOTICE_NONE;
}

/* ---- store ---- */

struct notice_store *notice_store_create(void)
{
	return calloc(1, sizeof(struct notice_store));
}

static void forget(struct notice_store *store, struct kept *at)
{
	HASH_DEL(store->kept, at);
	free(at);
}

void notice_store_destroy(struct notice_store *store)
{
	if (!store)
		return;
	while (store->kept)
		forget(store, store->kept);
	free(store);
}

static struct kept *find(struct notice_store *store, const char *server_id)
{
	struct kept *at;

	HASH_FIND_STR(store->kept, server_id, at);
	return at;
}

void notice_store_put(struct notice_store *store, const char *server_id,
		      uint64_t incarnation, const struct notice *notice,
		      uint64_t now_ms)
{
	struct kept *at;

	while (store->kept && (now_ms >= store->kept->put_ms + NOTICE_KEEP_MS ||
			       HASH_COUNT(store->kept) >= NOTICE_KEPT_MAX))
		forget(store, store->kept);
	if (!notice->leaving_ms && now_ms >= notice->quiet_until_ms)
		return;
	at = find(store, server_id);
	if (at && at->incarnation > incarnation)
		return;
	if (at)
		forget(store, at);
	at = calloc(1, sizeof(*at));
	if (!at) {
		log_error("notice",
			  "no memory for what server %s said of itself",
			  server_id);
		return;
	}
	snprintf(at->server_id, sizeof(at->server_id), "%s", server_id);
	at->incarnation = incarnation;
	at->notice = *notice;
	at->put_ms = now_ms;
	HASH_ADD_STR(store->kept, server_id, at);
}

void notice_store_take(struct notice_store *store, const char *server_id,
		       uint64_t incarnation, struct notice *notice)
{
	struct kept *at = find(store, server_id);

	*notice = (struct notice){ 0 };
	if (!at || at->incarnation != incarnation)
		return;
	*notice = at->notice;
	forget(store, at);
}
