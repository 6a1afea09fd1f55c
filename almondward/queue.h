/*
 * queue: a bounded queue with weighted fair queueing among customers.
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
 * Embedded in the queued object. lane is NULL while it is not queued.
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
 * Adds an item. If the queue then exceeds max items, removes and returns the
 * newest item of the customer with the most items in proportion to its weight,
 * which may be the added one; the caller has to refuse it. Otherwise returns
 * NULL. Returns the added item when memory is exhausted.
 */
struct queue_item *queue_push(struct queue *queue, struct queue_item *item,
			      const char *customer, uint32_t weight,
			      size_t max);
void queue_remove(struct queue *queue, struct queue_item *item);
size_t queue_length(const struct queue *queue);

/*
 * Offers items to try_item() until it accepts one; removes and returns that
 * item, or returns NULL. Customers take weighted turns, and the items of each
 * are offered in order. Only QUEUE_LOOK_AHEAD items of a customer are offered:
 * more than one, so that a request that needs a particular server does not
 * block those behind it. try_item() must not change the queue.
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
