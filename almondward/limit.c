#include "limit.h"

bool limit_update(struct limit *limit, const struct limit *observed)
{
	struct limit old = *limit;

	if (observed->state == LIMIT_UNKNOWN ||
	    observed->observed_ms < limit->observed_ms)
		return false;
	*limit = *observed;
	if (limit->state == LIMIT_NONE)
		return old.state == LIMIT_NAMED;
	return old.state != LIMIT_NAMED ||
	       old.milli_per_s != limit->milli_per_s;
}
