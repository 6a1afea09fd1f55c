#include "crashes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "hash.h"

/* Requests of this instance that may be suspected at one time. */
#define OWN_REQUESTS_MAX 1000
/* Answers that are remembered: those of QUAR_RECENT_ANSWER_MS at 60 a second, if no
 * two have the same place. */
#define ANSWERED_MAX 4096

/* Sendings that ended without an answer or a break, of some seconds. */
#define UNANSWERED_MAX 256

struct report {
	uint8_t fingerprint[HASH_BYTES];
	char server_id[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t at_ms;
	uint32_t took_ms;
	bool weak;
	bool ended;
	bool is_news; /* for the leader */
	bool is_peer_news; /* for the other instances */
};

struct answer {
	uint8_t fingerprint[HASH_BYTES];
	uint64_t at_ms;
	bool is_peer_news;
};

/* An answered request; the table keeps one for each value of its hash. */
struct answered {
	uint64_t hash;
	uint64_t at_ms;
};

struct listed {
	uint8_t fingerprint[HASH_BYTES];
	enum quar_state state; /* by the leader; QUAR_NONE: own trial only */
	uint64_t until_ms;
	uint64_t last_ms; /* when a server was last lost */
	uint64_t resolved_ms; /* no trial before */
	uint64_t used_turn; /* in which a trial was sent */
	bool is_named; /* in the list that is being taken */
	UT_hash_handle hh;
};

struct crs {
	struct clk *clk;
	struct quar *own;
	struct report reports[CRS_REPORTS_MAX]; /* ring */
	size_t nr_reports;
	size_t next_report;
	struct report unanswered[UNANSWERED_MAX]; /* ring */
	size_t next_unanswered;
	struct answer answers[CRS_ANSWERS_MAX];
	size_t nr_answers;
	struct answered answered[ANSWERED_MAX];
	struct listed *listed;
	/* Of the news. */
	Aw__CrashReport crash_messages[CRS_REPORTS_MAX];
	Aw__CrashReport *crash_list[CRS_REPORTS_MAX];
	Aw__AnswerReport answer_messages[CRS_ANSWERS_MAX];
	Aw__AnswerReport *answer_list[CRS_ANSWERS_MAX];
};

struct crs *crs_create(struct clk *clk)
{
	struct crs *crs = calloc(1, sizeof(*crs));
	struct quar_limits limits = quar_seeded;

	if (!crs)
		return NULL;
	limits.requests_max = OWN_REQUESTS_MAX;
	crs->clk = clk;
	crs->own = quar_create(clk, 1, &limits);
	if (crs->own)
		return crs;
	free(crs);
	return NULL;
}

static void forget(struct crs *crs, struct listed *at)
{
	HASH_DEL(crs->listed, at);
	free(at);
}

void crs_destroy(struct crs *crs)
{
	if (!crs)
		return;
	while (crs->listed)
		forget(crs, crs->listed);
	quar_destroy(crs->own);
	free(crs);
}

/* ---- answered requests ---- */

static struct answered *answered_at(struct crs *crs, const uint8_t *fingerprint,
				    uint64_t *hash)
{
	memcpy(hash, fingerprint, sizeof(*hash));
	return &crs->answered[*hash % ANSWERED_MAX];
}

/*
 * 0: not known to have been answered.
 */
static uint64_t when_answered(struct crs *crs, const uint8_t *fingerprint)
{
	uint64_t hash;
	const struct answered *at = answered_at(crs, fingerprint, &hash);

	return at->hash == hash ? at->at_ms : 0;
}

static struct listed *find_listed(const struct crs *crs,
				  const uint8_t *fingerprint)
{
	struct listed *at;

	HASH_FIND(hh, crs->listed, fingerprint, HASH_BYTES, at);
	return at;
}

static void drop_reports(struct crs *crs, const uint8_t *fingerprint)
{
	size_t i;

	for (i = 0; i < crs->nr_reports; i++)
		if (!memcmp(crs->reports[i].fingerprint, fingerprint,
			    HASH_BYTES))
			crs->reports[i].at_ms = 0;
}

/*
 * What another instance told is only for the leader.
 */
static void tell_answer(struct crs *crs, const uint8_t *fingerprint,
			uint64_t at_ms, bool is_heard)
{
	struct answer *to;
	size_t i;

	for (i = 0; i < crs->nr_answers; i++)
		if (!memcmp(crs->answers[i].fingerprint, fingerprint,
			    HASH_BYTES))
			break;
	if (i == CRS_ANSWERS_MAX)
		return;
	to = &crs->answers[i];
	memcpy(to->fingerprint, fingerprint, HASH_BYTES);
	to->at_ms = at_ms;
	to->is_peer_news = !is_heard;
	if (i == crs->nr_answers)
		crs->nr_answers++;
}

void crs_answered(struct crs *crs, const uint8_t fingerprint[HASH_BYTES])
{
	uint64_t hash;
	struct answered *at = answered_at(crs, fingerprint, &hash);
	const struct listed *listed = find_listed(crs, fingerprint);

	at->hash = hash;
	at->at_ms = clk_now_ms(crs->clk);
	if (!quar_has_request(crs->own, fingerprint) &&
	    !(listed && listed->state))
		return;
	quar_answered(crs->own, fingerprint, 0);
	drop_reports(crs, fingerprint);
	tell_answer(crs, fingerprint, at->at_ms, false);
}

/* ---- broken connections ---- */

/*
 * Copies of a request that ran on one server break together. An earlier break
 * without an end of the server is another one.
 */
static struct report *find_report(struct crs *crs,
				  const struct crs_failed_attempt *broke)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	size_t i;

	for (i = 0; i < crs->nr_reports; i++) {
		struct report *at = &crs->reports[i];

		if (at->at_ms &&
		    (at->ended || now_ms < at->at_ms + QUAR_EXIT_CONFIRM_MS) &&
		    at->incarnation == broke->incarnation &&
		    !memcmp(at->fingerprint, broke->fingerprint, HASH_BYTES) &&
		    !strcmp(at->address, broke->address))
			return at;
	}
	return NULL;
}

/*
 * Takes the place of the oldest report, one of a known end last.
 */
static struct report *add_report(struct crs *crs)
{
	struct report *to = &crs->reports[crs->next_report];
	size_t i;

	for (i = 0; i < CRS_REPORTS_MAX && to->at_ms && to->ended; i++) {
		crs->next_report = (crs->next_report + 1) % CRS_REPORTS_MAX;
		to = &crs->reports[crs->next_report];
	}
	crs->next_report = (crs->next_report + 1) % CRS_REPORTS_MAX;
	if (crs->nr_reports < CRS_REPORTS_MAX)
		crs->nr_reports++;
	return to;
}

static void fill_message(const struct crs *crs, const struct report *from,
			 Aw__CrashReport *to)
{
	aw__crash_report__init(to);
	to->fingerprint.data = (uint8_t *)from->fingerprint;
	to->fingerprint.len = HASH_BYTES;
	to->server_address = (char *)from->address;
	to->server_incarnation = from->incarnation;
	to->age_ms = (uint32_t)(clk_now_ms(crs->clk) - from->at_ms);
	to->took_ms = from->took_ms;
	to->ended = from->ended;
	to->weak = from->weak;
	to->server_id = (char *)from->server_id;
	to->zone = (char *)from->zone;
}

static void fill_report(const struct crs *crs,
			const struct crs_failed_attempt *from,
			struct report *to)
{
	memcpy(to->fingerprint, from->fingerprint, HASH_BYTES);
	snprintf(to->server_id, sizeof(to->server_id), "%s", from->server_id);
	snprintf(to->address, sizeof(to->address), "%s", from->address);
	snprintf(to->zone, sizeof(to->zone), "%s", from->zone);
	to->incarnation = from->incarnation;
	to->at_ms = clk_now_ms(crs->clk);
	to->took_ms = from->took_ms;
	to->weak = from->weak;
	to->ended = false;
	to->is_news = false;
	to->is_peer_news = false;
}

static void tell_report(struct crs *crs, struct report *report)
{
	Aw__CrashReport message;

	report->is_news = true;
	report->is_peer_news = report->ended;
	fill_message(crs, report, &message);
	/* Without memory only the leader counts it. */
	quar_add_crash(crs->own, &message, report->zone);
}

bool crs_connection_broken(struct crs *crs,
			   const struct crs_failed_attempt *broke)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	uint64_t answered_ms = when_answered(crs, broke->fingerprint);
	bool harmless = answered_ms &&
			now_ms <= answered_ms + QUAR_RECENT_ANSWER_MS;
	struct report *to;

	if (answered_ms && now_ms <= answered_ms + QUAR_ANSWER_GRACE_MS)
		return false;
	to = find_report(crs, broke);
	if (to && to->weak && !broke->weak) {
		to->weak = false;
		tell_report(crs, to);
	}
	if (to)
		return true;
	to = add_report(crs);
	fill_report(crs, broke, to);
	tell_report(crs, to);
	if (harmless) {
		quar_answered(crs->own, broke->fingerprint,
			      (uint32_t)(now_ms - answered_ms));
		tell_answer(crs, broke->fingerprint, answered_ms, false);
	}
	return true;
}

/*
 * NULL: the request was answered at that time.
 */
static struct report *report_unanswered(struct crs *crs,
					const struct report *from)
{
	struct crs_failed_attempt sending = {
		from->fingerprint, from->server_id, from->address, from->zone,
		from->incarnation, from->took_ms,   from->weak
	};
	uint64_t answered_ms = when_answered(crs, from->fingerprint);
	struct report *to = find_report(crs, &sending);

	if (to)
		return to;
	if (answered_ms && from->at_ms <= answered_ms + QUAR_ANSWER_GRACE_MS)
		return NULL;
	to = add_report(crs);
	*to = *from;
	tell_report(crs, to);
	return to;
}

static bool is_of(const struct crs *crs, const struct report *report,
		  const uint8_t *fingerprint)
{
	return report->at_ms &&
	       clk_now_ms(crs->clk) < report->at_ms + QUAR_EXIT_CONFIRM_MS &&
	       !memcmp(report->fingerprint, fingerprint, HASH_BYTES);
}

static void report_all_unanswered(struct crs *crs, const uint8_t *fingerprint)
{
	size_t i;

	for (i = 0; i < UNANSWERED_MAX; i++)
		if (is_of(crs, &crs->unanswered[i], fingerprint))
			report_unanswered(crs, &crs->unanswered[i]);
}

static bool is_unanswered_elsewhere(const struct crs *crs,
				    const struct crs_failed_attempt *sending)
{
	size_t i;

	for (i = 0; i < UNANSWERED_MAX; i++)
		if (is_of(crs, &crs->unanswered[i], sending->fingerprint) &&
		    strcmp(crs->unanswered[i].address, sending->address) != 0)
			return true;
	return false;
}

void crs_unanswered(struct crs *crs, const struct crs_failed_attempt *sending)
{
	struct report *to = &crs->unanswered[crs->next_unanswered];
	const struct listed *listed = find_listed(crs, sending->fingerprint);

	crs->next_unanswered = (crs->next_unanswered + 1) % UNANSWERED_MAX;
	fill_report(crs, sending, to);
	to->weak = true;
	if ((listed && listed->state) ||
	    quar_has_request(crs->own, sending->fingerprint) ||
	    is_unanswered_elsewhere(crs, sending))
		report_all_unanswered(crs, to->fingerprint);
}

/*
 * The process may have ended under the request, though nothing broke.
 */
static void suspect_unanswered(struct crs *crs, const struct report *from)
{
	struct report *to = report_unanswered(crs, from);

	if (!to || to->ended)
		return;
	to->ended = true;
	tell_report(crs, to);
	report_all_unanswered(crs, from->fingerprint);
}

bool crs_server_started(struct crs *crs, const char *address,
			uint64_t incarnation)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	bool found = false;
	size_t i;

	for (i = 0; i < UNANSWERED_MAX; i++) {
		struct report *at = &crs->unanswered[i];

		if (!at->at_ms || at->incarnation >= incarnation ||
		    now_ms >= at->at_ms + QUAR_EXIT_CONFIRM_MS ||
		    strcmp(at->address, address) != 0)
			continue;
		suspect_unanswered(crs, at);
		at->at_ms = 0;
		found = true;
	}
	return found;
}

void crs_server_exited(struct crs *crs, const char *address,
		       uint64_t incarnation)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	size_t i;

	quar_server_exited(crs->own, address, incarnation);
	for (i = 0; i < crs->nr_reports; i++) {
		struct report *at = &crs->reports[i];

		if (!at->at_ms || at->ended || at->incarnation != incarnation ||
		    now_ms >= at->at_ms + QUAR_EXIT_CONFIRM_MS ||
		    strcmp(at->address, address) != 0)
			continue;
		at->ended = true;
		at->is_news = true;
		at->is_peer_news = true;
	}
}

/* ---- the list of the leader ---- */

static struct listed *get_listed(struct crs *crs, const uint8_t *fingerprint)
{
	struct listed *at = find_listed(crs, fingerprint);

	if (at)
		return at;
	at = calloc(1, sizeof(*at));
	if (!at)
		return NULL;
	memcpy(at->fingerprint, fingerprint, HASH_BYTES);
	HASH_ADD(hh, crs->listed, fingerprint, HASH_BYTES, at);
	return at;
}

static enum quar_state read_state(Aw__QuarantineState state)
{
	switch (state) {
	case AW__QUARANTINE_STATE__QUARANTINE_WATCHED:
		return QUAR_WATCHED;
	case AW__QUARANTINE_STATE__QUARANTINE_TRIAL:
		return QUAR_TRIAL;
	default:
		return QUAR_REFUSED;
	}
}

static int take_listed(struct crs *crs, const Aw__Quarantine *from)
{
	uint64_t now_ms = clk_now_ms(crs->clk), answered_ms, first_ms;
	struct listed *at;

	if (from->fingerprint.len != HASH_BYTES)
		return 0;
	at = get_listed(crs, from->fingerprint.data);
	if (!at)
		return -1;
	at->is_named = true;
	at->state = read_state(from->state);
	at->until_ms = now_ms + (from->expires_in_ms < QUARANTINE_MS ?
					 from->expires_in_ms :
					 QUARANTINE_MS);
	at->last_ms = from->last_age_ms < now_ms ? now_ms - from->last_age_ms :
						   0;
	at->resolved_ms =
		now_ms + (from->unresolved_for_ms < QUAR_EXIT_CONFIRM_MS ?
				  from->unresolved_for_ms :
				  QUAR_EXIT_CONFIRM_MS);
	answered_ms = when_answered(crs, at->fingerprint);
	first_ms = from->first_age_ms < now_ms ? now_ms - from->first_age_ms :
						 0;
	if (answered_ms && answered_ms + QUAR_RECENT_ANSWER_MS >= first_ms)
		tell_answer(crs, at->fingerprint, answered_ms, false);
	return 0;
}

int crs_apply_feed(struct crs *crs, const Aw__Feed *feed)
{
	struct listed *at, *next;
	size_t i;

	HASH_ITER(hh, crs->listed, at, next)
	{
		at->is_named = false;
	}
	for (i = 0; i < feed->n_quarantines && i < CRS_LISTED_MAX; i++)
		if (take_listed(crs, feed->quarantines[i]))
			return -1;
	HASH_ITER(hh, crs->listed, at, next)
	{
		if (!at->is_named && at->state)
			forget(crs, at);
	}
	return 0;
}

/* ---- decisions ---- */

bool crs_has_requests(const struct crs *crs)
{
	return crs->listed || quar_nr_requests(crs->own);
}

/*
 * Place in an order of the instances that is another one for each request.
 */
static size_t place_of(const struct crs_fleet *place,
		       const uint8_t *fingerprint)
{
	uint64_t seed, own;
	size_t i, before = 0;

	memcpy(&seed, fingerprint, sizeof(seed));
	own = hash_mix(hash_text(place->instance) ^ seed);
	for (i = 0; i < place->nr_instances; i++)
		before += hash_mix(hash_text(place->instances[i]->name) ^
				   seed) < own;
	return before;
}

/*
 * Instances take turns, so that one sending at a time shows whether the request
 * crashes its server.
 */
static bool take_trial(struct crs *crs, const uint8_t *fingerprint,
		       const struct crs_fleet *place, uint64_t last_ms)
{
	uint64_t now_ms = clk_now_ms(crs->clk), turn;
	struct listed *at;

	if (now_ms < last_ms + QUAR_TRIAL_DELAY_MS)
		return false;
	turn = (now_ms - last_ms - QUAR_TRIAL_DELAY_MS) / CRS_TRIAL_TURN_MS;
	if (place->nr_instances &&
	    turn % place->nr_instances != place_of(place, fingerprint))
		return false;
	at = get_listed(crs, fingerprint);
	if (!at)
		return false;
	/* Names the turn also when the times of loss change. */
	turn += last_ms / CRS_TRIAL_TURN_MS + 1;
	if (at->used_turn == turn)
		return false;
	at->used_turn = turn;
	if (!at->state)
		at->until_ms = now_ms + QUAR_TRIAL_DELAY_MS;
	return true;
}

void crs_check(struct crs *crs, const uint8_t fingerprint[HASH_BYTES],
	       const struct crs_fleet *place, struct crs_verdict *verdict)
{
	uint64_t now_ms = clk_now_ms(crs->clk), own_ms = 0, last_ms = 0;
	const struct listed *at = find_listed(crs, fingerprint);
	enum quar_state own = quar_state(crs->own, fingerprint, &own_ms);

	*verdict = (struct crs_verdict){ .state = QUAR_NONE };
	if (at && now_ms < at->until_ms && at->state) {
		verdict->state = at->state;
		verdict->retry_after_ms = (uint32_t)(at->until_ms - now_ms);
		last_ms = at->last_ms;
	}
	if (own > verdict->state &&
	    (!place->in_touch || now_ms < own_ms + CRS_OWN_DECISION_MS)) {
		verdict->state = own;
		verdict->retry_after_ms = QUAR_TRIAL_DELAY_MS;
	}
	if (own_ms > last_ms)
		last_ms = own_ms;
	if (at && at->resolved_ms > last_ms + QUAR_TRIAL_DELAY_MS)
		last_ms = at->resolved_ms - QUAR_TRIAL_DELAY_MS;
	if (verdict->state != QUAR_TRIAL)
		return;
	if (take_trial(crs, fingerprint, place, last_ms))
		return;
	verdict->state = QUAR_REFUSED;
	verdict->retry_after_ms = CRS_TRIAL_TURN_MS;
	if (last_ms + QUAR_TRIAL_DELAY_MS > now_ms + CRS_TRIAL_TURN_MS)
		verdict->retry_after_ms =
			(uint32_t)(last_ms + QUAR_TRIAL_DELAY_MS - now_ms);
}

/* ---- news for the leader ---- */

static void add_crash(struct crs *crs, const struct report *from,
		      Aw__CrashNews *news)
{
	Aw__CrashReport *to = &crs->crash_messages[news->n_crashes];

	fill_message(crs, from, to);
	crs->crash_list[news->n_crashes++] = to;
}

static void add_answer(struct crs *crs, const struct answer *from,
		       Aw__CrashNews *news)
{
	Aw__AnswerReport *to = &crs->answer_messages[news->n_answers];

	aw__answer_report__init(to);
	to->fingerprint.data = (uint8_t *)from->fingerprint;
	to->fingerprint.len = HASH_BYTES;
	to->age_ms = (uint32_t)(clk_now_ms(crs->clk) - from->at_ms);
	crs->answer_list[news->n_answers++] = to;
}

static bool is_kept(const struct crs *crs, const struct report *report)
{
	return report->at_ms &&
	       clk_now_ms(crs->clk) < report->at_ms + QUARANTINE_MS;
}

static void news_init(struct crs *crs, Aw__CrashNews *news)
{
	aw__crash_news__init(news);
	news->crashes = crs->crash_list;
	news->answers = crs->answer_list;
}

bool crs_pending_reports(struct crs *crs, Aw__CrashNews *news)
{
	size_t i;

	news_init(crs, news);
	for (i = 0; i < crs->nr_reports; i++)
		if (crs->reports[i].is_news && is_kept(crs, &crs->reports[i]))
			add_crash(crs, &crs->reports[i], news);
	for (i = 0; i < crs->nr_answers; i++)
		add_answer(crs, &crs->answers[i], news);
	return news->n_crashes || news->n_answers;
}

void crs_reports_sent(struct crs *crs)
{
	size_t i;

	crs->nr_answers = 0;
	for (i = 0; i < crs->nr_reports; i++) {
		crs->reports[i].is_news = false;
		crs->reports[i].is_peer_news = false;
	}
}

bool crs_peer_reports(struct crs *crs, Aw__CrashNews *news)
{
	size_t i;

	news_init(crs, news);
	for (i = 0; i < crs->nr_reports; i++) {
		struct report *from = &crs->reports[i];

		if (!from->is_peer_news || !is_kept(crs, from) ||
		    news->n_crashes == CRS_PEER_REPORTS_MAX)
			continue;
		from->is_peer_news = false;
		add_crash(crs, from, news);
	}
	for (i = 0; i < crs->nr_answers; i++) {
		struct answer *from = &crs->answers[i];

		if (!from->is_peer_news ||
		    news->n_answers == CRS_PEER_REPORTS_MAX)
			continue;
		from->is_peer_news = false;
		add_answer(crs, from, news);
	}
	return news->n_crashes || news->n_answers;
}

static void hear_crash(struct crs *crs, const Aw__CrashReport *from)
{
	struct crs_failed_attempt broke = { from->fingerprint.data,
					    from->server_id,
					    from->server_address,
					    from->zone,
					    from->server_incarnation,
					    from->took_ms,
					    from->weak };
	uint64_t now_ms = clk_now_ms(crs->clk);
	struct report *to;

	if (from->fingerprint.len != HASH_BYTES || !*from->server_address ||
	    strlen(from->server_address) >= ADDRESS_BYTES_MAX ||
	    from->age_ms >= QUARANTINE_MS || from->age_ms >= now_ms ||
	    !from->ended || quar_add_crash(crs->own, from, from->zone) ||
	    find_report(crs, &broke))
		return;
	to = add_report(crs);
	fill_report(crs, &broke, to);
	to->at_ms = now_ms - from->age_ms;
	to->ended = true;
	to->is_news = true;
}

void crs_receive_reports(struct crs *crs, const Aw__CrashNews *news)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	size_t i;

	for (i = 0; i < news->n_crashes; i++)
		hear_crash(crs, news->crashes[i]);
	for (i = 0; i < news->n_answers; i++) {
		const Aw__AnswerReport *from = news->answers[i];

		if (from->fingerprint.len != HASH_BYTES ||
		    from->age_ms >= now_ms ||
		    !quar_has_request(crs->own, from->fingerprint.data))
			continue;
		quar_answered(crs->own, from->fingerprint.data, from->age_ms);
		tell_answer(crs, from->fingerprint.data, now_ms - from->age_ms,
			    true);
	}
}

void crs_report_again(struct crs *crs)
{
	size_t i;

	for (i = 0; i < crs->nr_reports; i++)
		crs->reports[i].is_news = true;
}

void crs_tick(struct crs *crs)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	struct listed *at, *next;

	quar_tick(crs->own);
	HASH_ITER(hh, crs->listed, at, next)
	{
		if (now_ms >= at->until_ms)
			forget(crs, at);
	}
}
