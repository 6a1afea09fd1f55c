#include "agent_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#define CRASHES_MAX 256

uint64_t agent_report_crash(struct agent *agent,
			    const uint8_t fingerprint[HASH_BYTES],
			    const char *address, uint64_t incarnation)
{
	struct crash *crash;

	if (agent->nr_crashes == CRASHES_MAX) {
		crash = agent->crashes;
		DL_DELETE(agent->crashes, crash);
		agent->nr_crashes--;
	} else {
		crash = malloc(sizeof(*crash));
		if (!crash)
			return 0;
	}
	memset(crash, 0, sizeof(*crash));
	crash->ticket = ++agent->next_ticket;
	memcpy(crash->fingerprint, fingerprint, HASH_BYTES);
	snprintf(crash->address, sizeof(crash->address), "%s", address);
	crash->incarnation = incarnation;
	crash->noted_ms = clk_now_ms(agent->clk);
	DL_APPEND(agent->crashes, crash);
	agent->nr_crashes++;
	agent_report_soon(agent);
	return crash->ticket;
}

/*
 * Drops the crashes that a request is suspected of. Returns true if there were
 * any.
 */
static bool drop_crashes(struct agent *agent, const uint8_t *fingerprint)
{
	struct crash *crash, *next;
	bool found = false;

	DL_FOREACH_SAFE(agent->crashes, crash, next)
	{
		if (memcmp(crash->fingerprint, fingerprint, HASH_BYTES) != 0)
			continue;
		found = true;
		DL_DELETE(agent->crashes, crash);
		agent->nr_crashes--;
		free(crash);
	}
	return found;
}

void agent_clear_suspicion(struct agent *agent,
			   const uint8_t fingerprint[HASH_BYTES])
{
	struct cleared_request *to;

	if (!agent->crashes && !agent->quarantines)
		return;
	if (!drop_crashes(agent, fingerprint) &&
	    !agent_is_quarantined(agent, fingerprint))
		return;
	if (agent->nr_cleared == CLEARED_REQUESTS_MAX)
		return;
	to = &agent->cleared_requests[agent->nr_cleared++];
	memcpy(to->fingerprint, fingerprint, HASH_BYTES);
	to->cleared_ms = clk_now_ms(agent->clk);
	to->reported_sequence = 0;
	agent_report_soon(agent);
}

bool agent_crash_decided(const struct agent *agent, uint64_t ticket)
{
	const struct crash *crash;

	for (crash = agent->crashes; crash; crash = crash->next) {
		if (crash->ticket == ticket)
			return crash->decided;
	}
	return true;
}

void crashes_confirm(struct agent *agent, uint64_t sequence)
{
	struct crash *crash;
	size_t i, nr = 0;

	for (i = 0; i < agent->nr_cleared; i++)
		if (!agent->cleared_requests[i].reported_sequence ||
		    agent->cleared_requests[i].reported_sequence > sequence)
			agent->cleared_requests[nr++] =
				agent->cleared_requests[i];
	agent->nr_cleared = nr;

	for (crash = agent->crashes; crash; crash = crash->next) {
		if (crash->reported_sequence &&
		    crash->reported_sequence <= sequence)
			crash->decided = true;
	}
}

/*
 * Replaces the quarantined requests by those in the Grant. Entries that the
 * Grant does not contain stay in force while a new leader has not received the
 * report with this instance's entries, since it may not know all of them.
 */
void crashes_apply(struct agent *agent, const Aw__Grant *grant)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct quarantine *entry, *next;
	size_t i;

	HASH_ITER(hh, agent->quarantines, entry, next)
	{
		if (!agent->whole_table_due)
			entry->until_ms = 0;
	}

	for (i = 0; i < grant->n_quarantines; i++) {
		const Aw__Quarantine *from = grant->quarantines[i];

		if (from->fingerprint.len != HASH_BYTES)
			continue;
		HASH_FIND(hh, agent->quarantines, from->fingerprint.data,
			  HASH_BYTES, entry);
		if (!entry) {
			entry = calloc(1, sizeof(*entry));
			if (!entry)
				return;
			memcpy(entry->fingerprint, from->fingerprint.data,
			       HASH_BYTES);
			HASH_ADD(hh, agent->quarantines, fingerprint,
				 HASH_BYTES, entry);
		}
		entry->until_ms = now_ms + from->expires_in_ms;
	}
}

bool agent_is_quarantined(const struct agent *agent,
			  const uint8_t fingerprint[HASH_BYTES])
{
	struct quarantine *entry;

	HASH_FIND(hh, agent->quarantines, fingerprint, HASH_BYTES, entry);
	return entry && entry->until_ms > clk_now_ms(agent->clk);
}

void crashes_cleanup(struct agent *agent)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct quarantine *entry, *next;
	struct crash *crash, *next_crash;

	HASH_ITER(hh, agent->quarantines, entry, next)
	{
		if (entry->until_ms > now_ms)
			continue;
		HASH_DEL(agent->quarantines, entry);
		free(entry);
	}
	DL_FOREACH_SAFE(agent->crashes, crash, next_crash)
	{
		if (crash->noted_ms + QUARANTINE_MS > now_ms)
			continue;
		DL_DELETE(agent->crashes, crash);
		agent->nr_crashes--;
		free(crash);
	}
}

void crashes_destroy(struct agent *agent)
{
	struct quarantine *entry, *next;
	struct crash *crash, *next_crash;

	HASH_ITER(hh, agent->quarantines, entry, next)
	{
		HASH_DEL(agent->quarantines, entry);
		free(entry);
	}
	DL_FOREACH_SAFE(agent->crashes, crash, next_crash)
	{
		DL_DELETE(agent->crashes, crash);
		free(crash);
	}
}
