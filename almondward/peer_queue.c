#include "peer_queue.h"

#include <stdlib.h>

#include <sodium.h>
#include <utlist.h>

/* Twice the largest frame: reached only if the other end does not read. */
#define QUEUE_BYTES_MAX (2 * (size_t)FRAME_BODY_BYTES_MAX + 65536)
/* Larger frames are sent in parts of this size. */
#define PART_BYTES 131072

struct peer_pending {
	struct frame_out *frame;
	struct peer_pending *next;
};

struct peer_queue {
	struct loop_conn *conn;
	struct frame_writer writer;
	struct peer_pending *pending; /* frames that are sent in parts */
	size_t pending_bytes;
	struct loop_timer *timer; /* sends the next part */
	void (*failed)(void *arg);
	void *arg;
};

static void remove_first_pending(struct peer_queue *queue)
{
	struct peer_pending *pending = queue->pending;

	LL_DELETE(queue->pending, pending);
	frame_out_destroy(pending->frame);
	free(pending);
}

/*
 * Sends the next part of a large frame. The part after it is sent once this one
 * has left the queue of the connection, and not before the next loop iteration.
 */
static void send_part(void *arg)
{
	struct peer_queue *queue = arg;
	enum loop_error err;
	const uint8_t *part;
	size_t part_bytes;

	if (!queue->conn || !queue->pending ||
	    loop_conn_queued_bytes(queue->conn))
		return;
	part = frame_out_next(queue->pending->frame, PART_BYTES, &part_bytes);
	queue->pending_bytes -= part_bytes;
	err = loop_conn_send(queue->conn, part, part_bytes);
	if (err == LOOP_ERR_MEMORY) {
		queue->failed(queue->arg);
		return;
	}
	if (!frame_out_remaining_bytes(queue->pending->frame))
		remove_first_pending(queue);
	if (!err && queue->pending && !loop_conn_queued_bytes(queue->conn))
		loop_timer_set(queue->timer, 0);
}

static enum loop_error send_in_parts(struct peer_queue *queue,
				     const Aw__Frame *frame)
{
	struct peer_pending *pending = calloc(1, sizeof(*pending));

	if (!pending)
		return LOOP_ERR_MEMORY;
	if (frame_out_create(&queue->writer, frame, &pending->frame)) {
		free(pending);
		return LOOP_ERR_MEMORY;
	}
	queue->pending_bytes +=
		frame_out_remaining_bytes(pending->frame) + FRAME_MAC_BYTES;
	LL_APPEND(queue->pending, pending);
	if (queue->pending == pending)
		loop_timer_set(queue->timer, 0);
	return LOOP_OK;
}

static enum loop_error send_whole(struct peer_queue *queue,
				  const Aw__Frame *frame)
{
	struct buf out = BUF_INIT;
	enum loop_error err = LOOP_ERR_MEMORY;

	if (frame_write(&queue->writer, frame, &out) == FRAME_OK) {
		err = loop_conn_send(queue->conn, out.data, out.len_bytes);
		/* Nothing was sent: the next frame uses its sequence number. */
		if (err == LOOP_ERR_MEMORY)
			queue->writer.sequence--;
	}
	buf_release(&out);
	return err;
}

enum loop_error peer_queue_send(struct peer_queue *queue,
				const Aw__Frame *frame)
{
	size_t packed_bytes = aw__frame__get_packed_size(frame);

	if (!queue->conn)
		return LOOP_ERR_CLOSED;
	if (loop_conn_queued_bytes(queue->conn) + queue->pending_bytes +
		    packed_bytes >
	    QUEUE_BYTES_MAX)
		return LOOP_ERR_MEMORY;
	if (queue->pending || packed_bytes > PART_BYTES)
		return send_in_parts(queue, frame);
	return send_whole(queue, frame);
}

void peer_queue_drained(struct peer_queue *queue)
{
	send_part(queue);
}

struct peer_queue *peer_queue_create(struct loop *loop,
				     const struct frame_key *key,
				     void (*failed)(void *arg), void *arg)
{
	struct peer_queue *queue = calloc(1, sizeof(*queue));

	if (!queue)
		return NULL;
	queue->writer.key = *key;
	queue->failed = failed;
	queue->arg = arg;
	queue->timer = loop_timer_create(loop, send_part, queue);
	if (queue->timer)
		return queue;
	free(queue);
	return NULL;
}

void peer_queue_destroy(struct peer_queue *queue)
{
	if (!queue)
		return;
	while (queue->pending)
		remove_first_pending(queue);
	loop_timer_destroy(queue->timer);
	sodium_memzero(queue, sizeof(*queue));
	free(queue);
}

void peer_queue_set_conn(struct peer_queue *queue, struct loop_conn *conn)
{
	queue->conn = conn;
}

void peer_queue_set_key(struct peer_queue *queue, const struct frame_key *key)
{
	queue->writer.key = *key;
}
