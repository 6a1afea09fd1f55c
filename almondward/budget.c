#include "budget.h"

#include <string.h>

static void advance_to(struct budget *budget, uint64_t now_ms)
{
	uint64_t second = now_ms / 1000;

	if (second - budget->second >= BUDGET_SECONDS) {
		memset(budget, 0, sizeof(*budget));
		budget->second = second;
		return;
	}
	while (budget->second < second) {
		budget->second++;
		budget->admitted[budget->second % BUDGET_SECONDS] = 0;
		budget->retries[budget->second % BUDGET_SECONDS] = 0;
	}
}

void budget_admit(struct budget *budget, uint64_t now_ms)
{
	advance_to(budget, now_ms);
	budget->admitted[budget->second % BUDGET_SECONDS]++;
}

bool budget_retry(struct budget *budget, uint64_t now_ms)
{
	static const struct budget_limit limit = {
		BUDGET_RETRIES_MIN, BUDGET_RETRIES_PERCENT * 10
	};

	return budget_retry_within(budget, &limit, now_ms);
}

bool budget_retry_within(struct budget *budget,
			 const struct budget_limit *limit, uint64_t now_ms)
{
	uint64_t admitted = 0, retries = 0;
	uint32_t i;

	advance_to(budget, now_ms);
	for (i = 0; i < BUDGET_SECONDS; i++) {
		admitted += budget->admitted[i];
		retries += budget->retries[i];
	}
	if (retries >= limit->retries_min + admitted * limit->permille / 1000)
		return false;
	budget->retries[budget->second % BUDGET_SECONDS]++;
	return true;
}
