/*
 * budget: limits retries to a fraction of the admitted requests.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BUDGET_SECONDS 10
#define BUDGET_RETRIES_MIN 3
#define BUDGET_RETRIES_PERCENT 10

/*
 * Retries allowed in BUDGET_SECONDS: a fixed number plus a fraction of the
 * admitted requests.
 */
struct budget_limit {
	uint32_t retries_min;
	uint32_t permille;
};

/*
 * Counts per second for the last BUDGET_SECONDS. Initialized with zeros.
 */
struct budget {
	uint64_t second;
	uint32_t admitted[BUDGET_SECONDS];
	uint32_t retries[BUDGET_SECONDS];
};

void budget_admit(struct budget *budget, uint64_t now_ms);

/*
 * Both functions count a retry and return true if the budget allows it.
 * budget_retry() uses BUDGET_RETRIES_MIN and BUDGET_RETRIES_PERCENT.
 */
bool budget_retry(struct budget *budget, uint64_t now_ms);
bool budget_retry_within(struct budget *budget,
			 const struct budget_limit *limit, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
