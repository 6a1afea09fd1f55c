#include "route.h"

#include <ctype.h>
#include <string.h>

/* Weight of the newest value in the moving average of the latency: 1/8. */
#define LATENCY_SHIFT 3
#define LATENCY_VALID_MS 10000

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/*
 * Position points at '%' within the path.
 */
static bool encoding_ok(const char *pos)
{
	int high = hex_value(pos[1]);
	int low = high < 0 ? -1 : hex_value(pos[2]);
	int c;

	if (low < 0)
		return false;
	c = high * 16 + low;
	if (c < ' ' || c == 0x7f || c == '/' || c == '\\' || c == ';')
		return false;
	/* An encoded encoding would be decoded by servers that decode twice. */
	if (c == '%')
		return hex_value(pos[3]) < 0 || hex_value(pos[4]) < 0;
	return !isalnum(c) && !strchr("-._~", c);
}

/*
 * Parameters after ';' are not part of the segment for some servers.
 */
static bool segment_ok(const char *segment, size_t len_bytes, bool last)
{
	const char *semicolon = memchr(segment, ';', len_bytes);

	if (semicolon)
		len_bytes = (size_t)(semicolon - segment);
	if (!len_bytes)
		return last && !semicolon;
	if (len_bytes == 1)
		return segment[0] != '.';
	return len_bytes != 2 || segment[0] != '.' || segment[1] != '.';
}

bool route_target_ok(const char *target)
{
	size_t path_bytes = strcspn(target, "?");
	const char *end = target + path_bytes, *pos, *slash;

	if (*target != '/' || strchr(target, '#'))
		return false;
	for (pos = target; *pos; pos++) {
		if ((unsigned char)*pos <= ' ' || (unsigned char)*pos >= 0x7f)
			return false;
		if (pos >= end)
			continue;
		if (*pos == '\\' || (*pos == '%' && !encoding_ok(pos)))
			return false;
	}
	for (pos = target + 1; pos <= end; pos = slash + 1) {
		slash = memchr(pos, '/', (size_t)(end - pos));
		if (!slash)
			return segment_ok(pos, (size_t)(end - pos), true);
		if (!segment_ok(pos, (size_t)(slash - pos), false))
			return false;
	}
	return true;
}

bool route_method_ok(const Aw__Route *route, const char *method)
{
	size_t i;

	for (i = 0; i < route->n_methods; i++) {
		if (!strcmp(route->methods[i], method))
			return true;
	}
	return !route->n_methods;
}

void route_stats_success(struct route_stats *stats, uint64_t latency_us,
			 uint64_t now_ms)
{
	stats->failures = 0;
	stats->failing_until_ms = 0;
	stats->latency_at_ms = now_ms;
	if (!stats->latency_us) {
		stats->latency_us = latency_us;
		return;
	}
	stats->latency_us -= stats->latency_us >> LATENCY_SHIFT;
	stats->latency_us += latency_us >> LATENCY_SHIFT;
}

bool route_stats_failure(struct route_stats *stats, uint32_t eject_failures)
{
	stats->failures++;
	return stats->failures >= eject_failures;
}

static const char *const verdict_names[] = {
	[ROUTE_CHOSEN] = "chosen",
	[ROUTE_LEAVING] = "leaving",
	[ROUTE_SILENT] = "silent",
	[ROUTE_EJECTED] = "ejected",
	[ROUTE_SHEDDING] = "shedding",
	[ROUTE_DRAINED] = "drained",
	[ROUTE_CROSS_REGION] = "cross_region",
	[ROUTE_NO_SLOT] = "no_slot",
	[ROUTE_NO_LINK_TOKENS] = "no_link_tokens",
	[ROUTE_FARTHER] = "farther",
	[ROUTE_SLOWER] = "slower",
	[ROUTE_TRIED] = "tried",
	[ROUTE_FAILING] = "failing",
};

const char *route_verdict_name(enum route_verdict verdict)
{
	return verdict_names[verdict];
}

struct judgement {
	size_t members; /* servers that are not leaving */
	size_t silent;
	size_t ejected;
};

static bool is_ejected(const struct route_candidate *candidate, uint64_t now_ms)
{
	return candidate->stats.ejected_until_ms > now_ms;
}

static void judge(const struct route_candidate *candidates, size_t nr,
		  uint64_t now_ms, struct judgement *judgement)
{
	size_t i;

	memset(judgement, 0, sizeof(*judgement));
	for (i = 0; i < nr; i++) {
		if (candidates[i].leaving)
			continue;
		judgement->members++;
		if (is_ejected(&candidates[i], now_ms))
			judgement->ejected++;
		else if (candidates[i].silent)
			judgement->silent++;
	}
}

bool route_may_eject(const struct route_candidate *candidates, size_t nr,
		     uint64_t now_ms)
{
	struct judgement now;

	judge(candidates, nr, now_ms, &now);
	return now.silent + now.ejected + 1 <= now.members / 2;
}

struct floor {
	bool use_silent;
	bool use_ejected;
};

/*
 * More than half of the servers silent or ejected is taken as a failed
 * measurement. Ejections are limited when they are made, so they exceed the
 * half only after servers have left.
 */
static void find_floor(const struct route_candidate *candidates, size_t nr,
		       uint64_t now_ms, struct floor *floor)
{
	struct judgement now;

	judge(candidates, nr, now_ms, &now);
	floor->use_silent = now.silent + now.ejected > now.members / 2;
	floor->use_ejected = now.ejected > now.members / 2;
}

struct summary {
	bool waits; /* a server may be used later */
	bool drained;
	bool ejected;
};

static enum route_verdict judge_one(const struct route_candidate *candidate,
				    const struct route_question *question,
				    const struct floor *floor)
{
	if (candidate->leaving)
		return ROUTE_LEAVING;
	if (candidate->drained_permille > question->draw_permille)
		return ROUTE_DRAINED;
	if (is_ejected(candidate, question->now_ms) && !floor->use_ejected)
		return ROUTE_EJECTED;
	if (candidate->silent && !floor->use_silent)
		return ROUTE_SILENT;
	if (question->retry &&
	    candidate->stats.shed_until_ms > question->now_ms)
		return ROUTE_SHEDDING;
	if (candidate->group == ROUTE_OTHER_REGION && !question->cross_region)
		return ROUTE_CROSS_REGION;
	if (candidate->used_slots >= candidate->held_slots)
		return ROUTE_NO_SLOT;
	if (candidate->group == ROUTE_OTHER_REGION && !candidate->link_ok)
		return ROUTE_NO_LINK_TOKENS;
	return ROUTE_CHOSEN;
}

/*
 * A server without a recent latency counts as 1 ms, so that it is tried; one
 * slow response would otherwise keep it idle for good.
 */
static uint64_t cost(const struct route_candidate *candidate, uint64_t now_ms)
{
	uint64_t latency_us = candidate->stats.latency_us;

	if (!latency_us ||
	    now_ms - candidate->stats.latency_at_ms > LATENCY_VALID_MS)
		latency_us = 1000;
	return latency_us * (candidate->used_slots + 1);
}

/*
 * What makes a server the last choice, or ROUTE_CHOSEN.
 */
static enum route_verdict fault_of(const struct route_candidate *candidate,
				   uint64_t now_ms)
{
	if (candidate->tried)
		return ROUTE_TRIED;
	return candidate->stats.failing_until_ms > now_ms ? ROUTE_FAILING :
							    ROUTE_CHOSEN;
}

/*
 * Returns what is against a in comparison with b, or ROUTE_CHOSEN. A server
 * that sheds load is avoided by first attempts too while another is free.
 */
static enum route_verdict compare(const struct route_candidate *a,
				  const struct route_candidate *b,
				  uint64_t now_ms)
{
	bool a_sheds = a->stats.shed_until_ms > now_ms;
	bool b_sheds = b->stats.shed_until_ms > now_ms;
	enum route_verdict a_fault = fault_of(a, now_ms);
	enum route_verdict b_fault = fault_of(b, now_ms);

	if (a_fault != b_fault && (!a_fault || !b_fault))
		return a_fault;
	if (a_sheds != b_sheds)
		return a_sheds ? ROUTE_SHEDDING : ROUTE_CHOSEN;
	if (a->group != b->group)
		return a->group > b->group ? ROUTE_FARTHER : ROUTE_CHOSEN;
	return cost(a, now_ms) > cost(b, now_ms) ? ROUTE_SLOWER : ROUTE_CHOSEN;
}

static int choose(const struct route_candidate *candidates, size_t nr,
		  const struct route_question *question,
		  const struct floor *floor, struct summary *summary,
		  enum route_verdict *verdicts)
{
	enum route_verdict verdict, against_best;
	int best = -1;
	size_t i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < nr; i++) {
		verdict = judge_one(&candidates[i], question, floor);
		if (verdict == ROUTE_CHOSEN && best >= 0) {
			against_best =
				compare(&candidates[best], &candidates[i],
					question->now_ms);
			if (against_best == ROUTE_CHOSEN) {
				verdict = compare(&candidates[i],
						  &candidates[best],
						  question->now_ms);
				if (verdict == ROUTE_CHOSEN)
					verdict = ROUTE_SLOWER;
			} else if (verdicts) {
				verdicts[best] = against_best;
			}
		}
		if (verdicts)
			verdicts[i] = verdict;
		if (verdict == ROUTE_CHOSEN)
			best = (int)i;
		summary->waits |= verdict == ROUTE_NO_SLOT ||
				  verdict == ROUTE_NO_LINK_TOKENS;
		summary->drained |= verdict == ROUTE_DRAINED;
		summary->ejected |= verdict == ROUTE_EJECTED;
	}
	return best;
}

int route_choose(const struct route_candidate *candidates, size_t nr,
		 const struct route_question *question,
		 enum route_verdict *verdicts)
{
	struct route_question relaxed = *question;
	struct summary summary;
	enum route_verdict fault = ROUTE_CHOSEN;
	struct floor floor;
	int best;

	find_floor(candidates, nr, question->now_ms, &floor);
	best = choose(candidates, nr, &relaxed, &floor, &summary, verdicts);
	if (best < 0 && !summary.waits && summary.drained) {
		/* Nothing else serves the moved share: it is not moved yet. */
		relaxed.draw_permille = ROUTE_DRAW_MAX;
		best = choose(candidates, nr, &relaxed, &floor, &summary,
			      verdicts);
	}
	if (best >= 0)
		fault = fault_of(&candidates[best], question->now_ms);
	if (summary.ejected && (!summary.waits || question->last_resort) &&
	    (best < 0 || fault)) {
		/* An ejection is a judgement, a failure just now a fact. */
		floor.use_ejected = true;
		best = choose(candidates, nr, &relaxed, &floor, &summary,
			      verdicts);
		fault = best < 0 ?
				ROUTE_CHOSEN :
				fault_of(&candidates[best], question->now_ms);
	}
	if (!fault || !summary.waits || question->last_resort)
		return best;
	/* Another server may have a slot soon. */
	if (verdicts)
		verdicts[best] = fault;
	return -1;
}
