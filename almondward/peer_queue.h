/*
 * peer_queue: send queue of one connection between instances, used by peer.c.
 */
#ifndef PEER_QUEUE_H
#define PEER_QUEUE_H

#include "frame.h"
#include "loop.h"

struct peer_queue;

/*
 * Calls failed if the connection must be closed because a part of a frame could
 * not be queued; failed may destroy the queue. Returns NULL if memory is
 * exhausted.
 */
struct peer_queue *peer_queue_create(struct loop *loop,
				     const struct frame_key *key,
				     void (*failed)(void *arg), void *arg);
void peer_queue_destroy(struct peer_queue *queue);

/*
 * Sets the connection to send on, or NULL when it is closed. The queue does not
 * own it.
 */
void peer_queue_set_conn(struct peer_queue *queue, struct loop_conn *conn);

/*
 * Sets the key of all later frames. Sequence numbers continue.
 */
void peer_queue_set_key(struct peer_queue *queue, const struct frame_key *key);

/*
 * Sends or queues a frame. Returns LOOP_ERR_MEMORY also if the frame is over
 * the size limit or too much is queued; nothing has been sent then.
 */
enum loop_error peer_queue_send(struct peer_queue *queue,
				const Aw__Frame *frame);

/*
 * Call when the connection has sent all of its queued data.
 */
void peer_queue_drained(struct peer_queue *queue);

#endif
