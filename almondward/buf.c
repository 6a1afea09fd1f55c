#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int buf_reserve(struct buf *buf, size_t extra_bytes)
{
	size_t required_bytes, size_bytes;
	uint8_t *data;

	if (extra_bytes > SIZE_MAX / 2 - buf->len_bytes)
		return -1;
	required_bytes = buf->len_bytes + extra_bytes;
	if (required_bytes <= buf->size_bytes)
		return 0;
	size_bytes = buf->size_bytes ? buf->size_bytes : 256;
	while (size_bytes < required_bytes)
		size_bytes *= 2;
	data = realloc(buf->data, size_bytes);
	if (!data)
		return -1;
	buf->data = data;
	buf->size_bytes = size_bytes;
	return 0;
}

int buf_append(struct buf *buf, const void *data, size_t len_bytes)
{
	if (!len_bytes)
		return 0;
	if (buf_reserve(buf, len_bytes))
		return -1;
	memcpy(buf->data + buf->len_bytes, data, len_bytes);
	buf->len_bytes += len_bytes;
	return 0;
}

int buf_append_str(struct buf *buf, const char *str)
{
	return buf_append(buf, str, strlen(str));
}

int buf_printf(struct buf *buf, const char *fmt, ...)
{
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(NULL, 0, fmt, args);
	va_end(args);
	if (len < 0 || buf_reserve(buf, (size_t)len + 1))
		return -1;
	va_start(args, fmt);
	vsnprintf((char *)buf->data + buf->len_bytes, (size_t)len + 1, fmt,
		  args);
	va_end(args);
	buf->len_bytes += (size_t)len;
	return 0;
}

void buf_consume(struct buf *buf, size_t len_bytes)
{
	if (!len_bytes)
		return;
	memmove(buf->data, buf->data + len_bytes, buf->len_bytes - len_bytes);
	buf->len_bytes -= len_bytes;
}

void buf_clear(struct buf *buf)
{
	buf->len_bytes = 0;
}

void buf_release(struct buf *buf)
{
	free(buf->data);
	buf->data = NULL;
	buf->len_bytes = 0;
	buf->size_bytes = 0;
}
