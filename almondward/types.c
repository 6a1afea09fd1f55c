#include "types.h"

struct refusal_entry {
	const char *name;
	uint32_t status;
};

static const struct refusal_entry refusals[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = { "none", 200 },
	[REFUSAL_BAD_REQUEST] = { "bad_request", 400 },
	[REFUSAL_HEAD_TOO_LARGE] = { "head_too_large", 431 },
	[REFUSAL_BODY_TOO_LARGE] = { "body_too_large", 413 },
	[REFUSAL_EXPECTATION] = { "expectation", 417 },
	[REFUSAL_MEMORY] = { "memory", 503 },
	[REFUSAL_NO_LEASE] = { "no_lease", 503 },
	[REFUSAL_NO_ROUTE] = { "no_route", 404 },
	[REFUSAL_METHOD] = { "method", 405 },
	[REFUSAL_KEY_MISSING] = { "key_missing", 401 },
	[REFUSAL_KEY_UNKNOWN] = { "key_unknown", 401 },
	[REFUSAL_KEY_WITHDRAWN] = { "key_withdrawn", 401 },
	[REFUSAL_KEY_MISPLACED] = { "key_misplaced", 400 },
	[REFUSAL_RATE] = { "rate", 429 },
	[REFUSAL_RATE_UNKNOWN] = { "rate_unknown", 503 },
	[REFUSAL_QUEUE_FULL] = { "queue_full", 503 },
	[REFUSAL_QUEUE_TIMEOUT] = { "queue_timeout", 503 },
	[REFUSAL_SERVER_LIMIT] = { "server_limit", 503 },
	[REFUSAL_NO_SERVER] = { "no_server", 503 },
	[REFUSAL_UNREACHABLE] = { "servers_unreachable", 503 },
	[REFUSAL_LINK_BUDGET] = { "link_budget", 503 },
	[REFUSAL_IDEMPOTENCY_KEY_MISSING] = { "idempotency_key_missing", 400 },
	[REFUSAL_IDEMPOTENCY_KEY_BAD] = { "idempotency_key_bad", 400 },
	[REFUSAL_CLAIM_IN_DOUBT] = { "claim_in_doubt", 409 },
	[REFUSAL_CLAIM_MISMATCH] = { "claim_mismatch", 422 },
	[REFUSAL_CLAIM_UNAVAILABLE] = { "claim_unavailable", 503 },
	[REFUSAL_QUARANTINED] = { "quarantined", 422 },
	[REFUSAL_CRASHES] = { "crashes_servers", 503 },
	[REFUSAL_DEADLINE] = { "deadline", 504 },
	[REFUSAL_CONNECT] = { "connect", 502 },
	[REFUSAL_SERVER_LOST] = { "server_lost", 502 },
	[REFUSAL_ANSWER_CUT] = { "answer_cut", 502 },
	[REFUSAL_ANSWER_CROSSED] = { "answer_crossed", 502 },
	[REFUSAL_ANSWER_MALFORMED] = { "answer_malformed", 502 },
	[REFUSAL_ANSWER_TOO_LARGE] = { "answer_too_large", 502 },
	[REFUSAL_DRAINING] = { "draining", 503 },
};

const char *refusal_name(enum refusal refusal)
{
	return refusals[refusal].name;
}

uint32_t refusal_status(enum refusal refusal)
{
	return refusals[refusal].status;
}

bool name_is_valid(const char *name)
{
	size_t len_bytes = 0;

	for (; name[len_bytes]; len_bytes++)
		if ((unsigned char)name[len_bytes] < ' ' ||
		    name[len_bytes] == 0x7f)
			return false;
	return len_bytes && len_bytes < NAME_BYTES_MAX;
}
