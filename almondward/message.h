/*
 * message: copies of protobuf messages.
 */
#ifndef MESSAGE_H
#define MESSAGE_H

#include <protobuf-c/protobuf-c.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns a deep copy, to be freed with message_free(), or NULL when memory is
 * exhausted.
 */
void *message_copy(const ProtobufCMessage *message);

/*
 * Frees a copy or an unpacked message. NULL is ignored.
 */
void message_free(void *message);

#ifdef __cplusplus
}
#endif

#endif
