#include "route.h"

#include <ctype.h>
#include <string.h>

/* Weight of the newest value in the moving average of the latency, as a power
 * of two: 1/8. */
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
 * pos points to a '%' in the path.
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
	/* A doubly encoded character would be decoded by servers that decode
	 * twice. */
	if (c == '%')
		return hex_value(pos[3]) < 0 || hex_value(pos[4]) < 0;
	return !isalnum(c) && !strchr("-._~", c);
}

/*
 * Some servers do not count parameters after ';' as part of the segment.
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

struct health_counts {
	size_t members; /* servers that are not leaving */
	size_t silent;
	size_t ejected;
};

static bool is_ejected(const struct route_candidate *candidate, uint64_t now_ms)
{
	return candidate->stats.ejected_until_ms > now_ms;
}

static void count_health(const struct route_candidate *candidates, size_t nr,
			 uint64_t now_ms, struct health_counts *health_counts)
{
	size_t i;

	memset(health_counts, 0, sizeof(*health_counts));
	for (i = 0; i < nr; i++) {
		if (candidates[i].leaving)
			continue;
		health_counts->members++;
		if (is_ejected(&candidates[i], now_ms))
			health_counts->ejected++;
		else if (candidates[i].silent)
			health_counts->silent++;
	}
}

bool route_may_eject(const struct route_candidate *candidates, size_t nr,
		     uint64_t now_ms)
{
	struct health_counts counts;

	count_health(candidates, nr, now_ms, &counts);
	return counts.silent + counts.ejected + 1 <= counts.members / 2;
}

struct fail_open {
	bool use_silent;
	bool use_ejected;
};

/*
 * If more than half of the servers are silent or ejected, the measurement is
 * assumed to be wrong and they are used anyway. Ejections are limited when they
 * are made, so they exceed half of the servers only after others have left.
 */
static void find_fail_open(const struct route_candidate *candidates, size_t nr,
			   uint64_t now_ms, struct fail_open *fail_open)
{
	struct health_counts counts;

	count_health(candidates, nr, now_ms, &counts);
	fail_open->use_silent =
		counts.silent + counts.ejected > counts.members / 2;
	fail_open->use_ejected = counts.ejected > counts.members / 2;
}

struct summary {
	bool can_wait; /* a server may become usable later */
	bool drained;
	bool ejected;
};

static enum route_verdict check_candidate(
	const struct route_candidate *candidate,
	const struct route_query *query, const struct fail_open *fail_open)
{
	if (candidate->leaving)
		return ROUTE_LEAVING;
	if (candidate->drained_permille > query->draw_permille)
		return ROUTE_DRAINED;
	if (is_ejected(candidate, query->now_ms) && !fail_open->use_ejected)
		return ROUTE_EJECTED;
	if (candidate->silent && !fail_open->use_silent)
		return ROUTE_SILENT;
	if (query->retry && candidate->stats.shed_until_ms > query->now_ms)
		return ROUTE_SHEDDING;
	if (candidate->group == ROUTE_OTHER_REGION && !query->cross_region)
		return ROUTE_CROSS_REGION;
	if (candidate->used_slots >= candidate->held_slots)
		return ROUTE_NO_SLOT;
	if (candidate->group == ROUTE_OTHER_REGION && !candidate->link_ok)
		return ROUTE_NO_LINK_TOKENS;
	return ROUTE_CHOSEN;
}

/*
 * A server without a recent latency counts as 1 ms, so that it is tried;
 * otherwise one slow response would keep it idle permanently.
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
 * Returns the reason for using a server only as the last choice, or
 * ROUTE_CHOSEN.
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
 * Returns the reason why a is a worse choice than b, or ROUTE_CHOSEN. First
 * attempts also avoid a server that sheds load while another is free.
 */
static enum route_verdict reason_against(const struct route_candidate *a,
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
		  const struct route_query *query,
		  const struct fail_open *fail_open, struct summary *summary,
		  enum route_verdict *verdicts)
{
	enum route_verdict verdict, against_best;
	int best = -1;
	size_t i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < nr; i++) {
		verdict = check_candidate(&candidates[i], query, fail_open);
		if (verdict == ROUTE_CHOSEN && best >= 0) {
			against_best =
				reason_against(&candidates[best],
					       &candidates[i], query->now_ms);
			if (against_best == ROUTE_CHOSEN) {
				verdict = reason_against(&candidates[i],
							 &candidates[best],
							 query->now_ms);
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
		summary->can_wait |= verdict == ROUTE_NO_SLOT ||
				     verdict == ROUTE_NO_LINK_TOKENS;
		summary->drained |= verdict == ROUTE_DRAINED;
		summary->ejected |= verdict == ROUTE_EJECTED;
	}
	return best;
}

int route_choose(const struct route_candidate *candidates, size_t nr,
		 const struct route_query *query, enum route_verdict *verdicts)
{
	struct route_query relaxed = *query;
	struct summary summary;
	enum route_verdict fault = ROUTE_CHOSEN;
	struct fail_open fail_open;
	int best;

	find_fail_open(candidates, nr, query->now_ms, &fail_open);
	best = choose(candidates, nr, &relaxed, &fail_open, &summary, verdicts);
	if (best < 0 && !summary.can_wait && summary.drained) {
		/* No other server can take the drained share of the requests,
		 * so it stays for now. */
		relaxed.draw_permille = ROUTE_DRAW_MAX;
		best = choose(candidates, nr, &relaxed, &fail_open, &summary,
			      verdicts);
	}
	if (best >= 0)
		fault = fault_of(&candidates[best], query->now_ms);
	if (summary.ejected && (!summary.can_wait || query->last_resort) &&
	    (best < 0 || fault)) {
		/* An ejection is an estimate; the failure of an attempt of this
		 * request is certain. */
		fail_open.use_ejected = true;
		best = choose(candidates, nr, &relaxed, &fail_open, &summary,
			      verdicts);
		fault = best < 0 ? ROUTE_CHOSEN :
				   fault_of(&candidates[best], query->now_ms);
	}
	if (!fault || !summary.can_wait || query->last_resort)
		return best;
	/* Another server may have a free slot soon. */
	if (verdicts)
		verdicts[best] = fault;
	return -1;
}
