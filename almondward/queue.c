#include "queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

/* Virtual time that one item costs a customer of weight 1. Weighted fair
 * queueing: a customer of weight n advances n times more slowly. */
#define ITEM_COST 1000000

struct queue_lane {
	char customer[NAME_BYTES_MAX];
	uint32_t weight;
	uint64_t virtual_time; /* the lowest is served next */
	struct queue_item *items;
	size_t nr_items;
	bool tried; /* within one queue_serve() */
	UT_hash_handle hh;
};

struct queue {
	struct queue_lane *lanes; /* only those with items */
	size_t nr_items;
	uint64_t virtual_time; /* virtual time of the lane served last */
};

struct queue *queue_create(void)
{
	return calloc(1, sizeof(struct queue));
}

void queue_destroy(struct queue *queue)
{
	struct queue_lane *lane, *next;

	if (!queue)
		return;
	HASH_ITER(hh, queue->lanes, lane, next)
	{
		HASH_DEL(queue->lanes, lane);
		free(lane);
	}
	free(queue);
}

static struct queue_lane *find_or_add(struct queue *queue, const char *customer)
{
	struct queue_lane *lane;

	HASH_FIND_STR(queue->lanes, customer, lane);
	if (lane)
		return lane;
	lane = calloc(1, sizeof(*lane));
	if (!lane)
		return NULL;
	snprintf(lane->customer, sizeof(lane->customer), "%s", customer);
	/* A customer gets no credit for the time without queued items. */
	lane->virtual_time = queue->virtual_time;
	HASH_ADD_STR(queue->lanes, customer, lane);
	return lane;
}

void queue_remove(struct queue *queue, struct queue_item *item)
{
	struct queue_lane *lane = item->lane;

	if (!lane)
		return;
	DL_DELETE(lane->items, item);
	item->lane = NULL;
	lane->nr_items--;
	queue->nr_items--;
	if (lane->items)
		return;
	HASH_DEL(queue->lanes, lane);
	free(lane);
}

static struct queue_lane *longest_lane(struct queue *queue)
{
	struct queue_lane *lane, *next, *longest = NULL;

	HASH_ITER(hh, queue->lanes, lane, next)
	{
		if (!longest ||
		    (uint64_t)lane->nr_items * longest->weight >
			    (uint64_t)longest->nr_items * lane->weight)
			longest = lane;
	}
	return longest;
}

/*
 * Scales the lead of the lane, which is as large as the cost of an item by the
 * weight before, so that it does not count for many items by the new one.
 */
static void set_weight(const struct queue *queue, struct queue_lane *lane,
		       uint32_t weight)
{
	if (lane->weight && lane->virtual_time > queue->virtual_time)
		lane->virtual_time =
			queue->virtual_time +
			(lane->virtual_time - queue->virtual_time) *
				lane->weight / weight;
	lane->weight = weight;
}

struct queue_item *queue_push(struct queue *queue, struct queue_item *item,
			      const char *customer, uint32_t weight, size_t max)
{
	struct queue_lane *lane = find_or_add(queue, customer);

	item->lane = NULL;
	if (!lane)
		return item;
	set_weight(queue, lane, weight ? weight : 1);
	item->lane = lane;
	DL_APPEND(lane->items, item);
	lane->nr_items++;
	queue->nr_items++;
	if (queue->nr_items <= max)
		return NULL;
	lane = longest_lane(queue);
	/* The head's prev is the tail. */
	item = lane->items->prev;
	queue_remove(queue, item);
	return item;
}

size_t queue_length(const struct queue *queue)
{
	return queue->nr_items;
}

static struct queue_lane *next_lane(struct queue *queue)
{
	struct queue_lane *lane, *next, *best = NULL;

	HASH_ITER(hh, queue->lanes, lane, next)
	{
		if (!lane->tried &&
		    (!best || lane->virtual_time < best->virtual_time))
			best = lane;
	}
	return best;
}

static struct queue_item *serve_lane(struct queue_lane *lane,
				     bool (*try_item)(void *arg,
						      struct queue_item *item),
				     void *arg)
{
	struct queue_item *item;
	size_t nr = 0;

	DL_FOREACH(lane->items, item)
	{
		if (nr++ == QUEUE_LOOK_AHEAD)
			return NULL;
		if (try_item(arg, item))
			return item;
	}
	return NULL;
}

struct queue_item *queue_serve(struct queue *queue,
			       bool (*try_item)(void *arg,
						struct queue_item *item),
			       void *arg)
{
	struct queue_lane *lane, *next;
	struct queue_item *item = NULL;

	HASH_ITER(hh, queue->lanes, lane, next)
	{
		lane->tried = false;
	}
	while (!item && (lane = next_lane(queue))) {
		item = serve_lane(lane, try_item, arg);
		lane->tried = true;
	}
	if (!item)
		return NULL;
	lane = item->lane;
	if (lane->virtual_time > queue->virtual_time)
		queue->virtual_time = lane->virtual_time;
	lane->virtual_time += ITEM_COST / lane->weight;
	queue_remove(queue, item);
	return item;
}
