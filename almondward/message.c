#include "message.h"

#include <stdlib.h>

void *message_copy(const ProtobufCMessage *message)
{
	size_t len_bytes = protobuf_c_message_get_packed_size(message);
	uint8_t *packed = malloc(len_bytes + 1);
	void *copy;

	if (!packed)
		return NULL;
	protobuf_c_message_pack(message, packed);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, len_bytes,
					 packed);
	free(packed);
	return copy;
}

void message_free(void *message)
{
	if (message)
		protobuf_c_message_free_unpacked(message, NULL);
}
