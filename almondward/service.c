#include "service.h"

#include "message.h"

void svc_call_release(struct svc_call *call)
{
	switch (call->kind) {
	case SVC_CALL_PLAN_CHANGE:
		message_free(call->u.change);
		break;
	case SVC_CALL_HEARTBEAT:
		message_free(call->u.server);
		break;
	default:
		break;
	}
	call->kind = SVC_CALL_UNKNOWN;
}
