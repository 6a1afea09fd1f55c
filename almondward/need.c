#include "need.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "types.h"

struct instance {
	char name[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t received_ms;
	struct need_entry entries[NEED_UPSTREAMS_MAX];
	size_t nr;
	UT_hash_handle hh;
};

struct need {
	struct clk *clk;
	struct instance *instances;
};

struct need *need_create(struct clk *clk)
{
	struct need *need = calloc(1, sizeof(*need));

	if (need)
		need->clk = clk;
	return need;
}

static void discard(struct need *need, struct instance *at)
{
	HASH_DEL(need->instances, at);
	free(at);
}

void need_destroy(struct need *need)
{
	if (!need)
		return;
	while (need->instances)
		discard(need, need->instances);
	free(need);
}

static struct instance *get_instance(struct need *need, const char *name)
{
	struct instance *at;

	HASH_FIND_STR(need->instances, name, at);
	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	snprintf(at->name, sizeof(at->name), "%s", name);
	HASH_ADD_STR(need->instances, name, at);
	return at;
}

void need_receive(struct need *need, const char *instance, uint64_t incarnation,
		  uint64_t sequence, const struct need_entry *entries,
		  size_t nr)
{
	struct instance *at = get_instance(need, instance);

	/* Without memory the demand is underestimated until the next report. */
	if (!at || (at->incarnation == incarnation && sequence <= at->sequence))
		return;
	if (nr > NEED_UPSTREAMS_MAX)
		nr = NEED_UPSTREAMS_MAX;
	memcpy(at->entries, entries, nr * sizeof(*entries));
	at->nr = nr;
	at->incarnation = incarnation;
	at->sequence = sequence;
	at->received_ms = clk_now_ms(need->clk);
}

uint32_t need_total(const struct need *need, uint32_t upstream)
{
	struct instance *at, *next;
	uint32_t total = 0;

	HASH_ITER(hh, need->instances, at, next)
	{
		for (size_t i = 0; i < at->nr; i++)
			if (at->entries[i].upstream == upstream)
				total += at->entries[i].in_flight;
	}
	return total;
}

void need_tick(struct need *need)
{
	uint64_t now_ms = clk_now_ms(need->clk);
	struct instance *at, *next;

	HASH_ITER(hh, need->instances, at, next)
	{
		if (now_ms >= at->received_ms + NEED_LIFETIME_MS)
			discard(need, at);
	}
}
