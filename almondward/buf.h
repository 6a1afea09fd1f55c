/*
 * buf: a byte buffer that grows as needed.
 *
 * Functions that grow the buffer return 0, or -1 when memory is exhausted or
 * the size would exceed SIZE_MAX / 2; the content is then unchanged.
 */
#ifndef BUF_H
#define BUF_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct buf {
	uint8_t *data;
	size_t len_bytes;
	size_t size_bytes; /* allocated */
};

#define BUF_INIT           \
	{                  \
		NULL, 0, 0 \
	}

/*
 * Ensures that extra_bytes more can be appended without an allocation.
 */
int buf_reserve(struct buf *buf, size_t extra_bytes);
int buf_append(struct buf *buf, const void *data, size_t len_bytes);
int buf_append_str(struct buf *buf, const char *str);

/*
 * Appends formatted text; the NUL at its end is not part of the content.
 */
int buf_printf(struct buf *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Removes len_bytes from the front.
 */
void buf_consume(struct buf *buf, size_t len_bytes);

/*
 * Empties the buffer and keeps its memory.
 */
void buf_clear(struct buf *buf);

/*
 * Frees the memory; the buffer can be used again.
 */
void buf_release(struct buf *buf);

#ifdef __cplusplus
}
#endif

#endif
