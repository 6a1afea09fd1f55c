/*
 * queue: a bounded queue that serves customers in weighted turns.
 */
#ifndef QUEUE_H
#define QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct queue;
struct queue_lane;

/*
 * Part of the waiting object; NULL lane: not queued.
 */
struct queue_item {
	struct queue_lane *lane;
	struct queue_item *prev, *next;
};

/*
 * Returns NULL when memory is exhausted.
 */
struct queue *queue_create(void);
void queue_destroy(struct queue *queue);

/*
 * Adds an item. If that makes more than max items, removes the newest item of
 * the customer with the most items in proportion to its weight, which may be
 * the added one, and returns it to be refused; else returns NULL. When memory
 * is exhausted the added item is returned.
 */
struct queue_item *queue_push(struct queue *queue, struct queue_item *item,
			      const char *customer, uint32_t weight,
			      size_t max);
void queue_remove(struct queue *queue, struct queue_item *item);
size_t queue_length(const struct queue *queue);

/*
 * Offers items to try(), customers in weighted turns and each customer's items
 * in order, until it accepts one; removes and returns that one, or NULL. Looks
 * at QUEUE_LOOK_AHEAD items of each customer, so that a request that needs a
 * particular server does not block those behind it. try() must not change the
 * queue.
 */
#define QUEUE_LOOK_AHEAD 8
struct queue_item *queue_serve(struct queue *queue,
			       bool (*try_item)(void *arg,
						struct queue_item *item),
			       void *arg);

#ifdef __cplusplus
}
#endif

#endif
