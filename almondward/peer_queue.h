/*
 * Sending side of one connection between processes, used by peer.c.
 */
#ifndef PEER_QUEUE_H
#define PEER_QUEUE_H

#include "frame.h"
#include "loop.h"

struct peer_queue;

/*
 * failed is called when the connection must be closed because a part of a
 * frame is lost; it may destroy the queue. Returns NULL when memory is
 * exhausted.
 */
struct peer_queue *peer_queue_create(struct loop *loop,
				     const struct frame_key *key,
				     void (*failed)(void *arg), void *arg);
void peer_queue_destroy(struct peer_queue *queue);

/*
 * conn is not owned; NULL once it is closed.
 */
void peer_queue_set_conn(struct peer_queue *queue, struct loop_conn *conn);

/*
 * Key of the frames that follow. The sequence goes on.
 */
void peer_queue_set_key(struct peer_queue *queue, const struct frame_key *key);

/*
 * Returns LOOP_ERR_MEMORY also for a frame over the limit or when too much is
 * queued; nothing was sent then.
 */
enum loop_error peer_queue_send(struct peer_queue *queue,
				const Aw__Frame *frame);

/*
 * To be called when the connection has sent all that it had.
 */
void peer_queue_drained(struct peer_queue *queue);

#endif
