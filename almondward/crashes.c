#include "crashes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "hash.h"

/* requests that this instance may suspect at one time */
#define OWN_REQUESTS_MAX 1000
/* Recorded responses: enough for 60 a second during QUAR_RECENT_ANSWER_MS, if
 * no two requests share a slot. */
#define ANSWERED_MAX 4096

/* unanswered attempts of the last seconds */
#define UNANSWERED_MAX 256

struct report {
	uint8_t fingerprint[HASH_BYTES];
	char server_id[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t at_ms;
	uint32_t took_ms;
	bool ambiguous;
	bool exited;
	bool for_leader; /* pending for the leader */
	bool for_peers; /* pending for the other instances */
};

struct answer {
	uint8_t fingerprint[HASH_BYTES];
	uint64_t at_ms;
	bool for_peers;
};

/* A request that got a response; the table keeps one for each slot. */
struct answered {
	uint64_t hash;
	uint64_t at_ms;
};

struct listed {
	uint8_t fingerprint[HASH_BYTES];
	enum quar_state state; /* of the leader; QUAR_NONE: own trial only */
	uint64_t expires_ms;
	uint64_t last_crash_ms; /* when a server last crashed */
	uint64_t trial_from_ms; /* no trial before this time */
	uint64_t last_trial_turn; /* in which this instance sent one */
	bool in_feed; /* in the feed that is being applied */
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
	/* Storage of the messages that crs_pending_reports() and
	 * crs_peer_reports() return. */
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

static void remove_listed(struct crs *crs, struct listed *at)
{
	HASH_DEL(crs->listed, at);
	free(at);
}

void crs_destroy(struct crs *crs)
{
	if (!crs)
		return;
	while (crs->listed)
		remove_listed(crs, crs->listed);
	quar_destroy(crs->own);
	free(crs);
}

/* ---- answered requests ---- */

static struct answered *answered_slot(struct crs *crs,
				      const uint8_t *fingerprint,
				      uint64_t *hash)
{
	memcpy(hash, fingerprint, sizeof(*hash));
	return &crs->answered[*hash % ANSWERED_MAX];
}

/*
 * Returns when the request got its last response, 0 if none is recorded.
 */
static uint64_t last_answered_ms(struct crs *crs, const uint8_t *fingerprint)
{
	uint64_t hash;
	const struct answered *at = answered_slot(crs, fingerprint, &hash);

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
 * Queues a response for the leader and, unless another instance reported it,
 * for the other instances.
 */
static void queue_answer(struct crs *crs, const uint8_t *fingerprint,
			 uint64_t at_ms, bool from_peer)
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
	to->for_peers = !from_peer;
	if (i == crs->nr_answers)
		crs->nr_answers++;
}

void crs_answered(struct crs *crs, const uint8_t fingerprint[HASH_BYTES])
{
	uint64_t hash;
	struct answered *at = answered_slot(crs, fingerprint, &hash);
	const struct listed *listed = find_listed(crs, fingerprint);

	at->hash = hash;
	at->at_ms = clk_now_ms(crs->clk);
	if (!quar_has_request(crs->own, fingerprint) &&
	    !(listed && listed->state))
		return;
	quar_answered(crs->own, fingerprint, 0);
	drop_reports(crs, fingerprint);
	queue_answer(crs, fingerprint, at->at_ms, false);
}

/* ---- broken connections ---- */

/*
 * Finds an earlier report of a crash of the same process under the same
 * request. Copies of a request on one server fail together and share a report.
 * A report older than QUAR_EXIT_CONFIRM_MS whose server did not exit is about
 * another failure.
 */
static struct report *find_report(struct crs *crs,
				  const struct crs_failed_attempt *attempt)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	size_t i;

	for (i = 0; i < crs->nr_reports; i++) {
		struct report *at = &crs->reports[i];

		if (at->at_ms &&
		    (at->exited || now_ms < at->at_ms + QUAR_EXIT_CONFIRM_MS) &&
		    at->incarnation == attempt->incarnation &&
		    !memcmp(at->fingerprint, attempt->fingerprint,
			    HASH_BYTES) &&
		    !strcmp(at->address, attempt->address))
			return at;
	}
	return NULL;
}

/*
 * Returns a free or overwritten report, the oldest first. Reports of a known
 * exit are overwritten only if there are no others.
 */
static struct report *add_report(struct crs *crs)
{
	struct report *to = &crs->reports[crs->next_report];
	size_t i;

	for (i = 0; i < CRS_REPORTS_MAX && to->at_ms && to->exited; i++) {
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
	to->ended = from->exited;
	to->weak = from->ambiguous;
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
	to->ambiguous = from->ambiguous;
	to->exited = false;
	to->for_leader = false;
	to->for_peers = false;
}

static void queue_report(struct crs *crs, struct report *report)
{
	Aw__CrashReport message;

	report->for_leader = true;
	report->for_peers = report->exited;
	fill_message(crs, report, &message);
	/* Without memory only the leader counts the crash. */
	quar_add_crash(crs->own, &message, report->zone);
}

bool crs_connection_broken(struct crs *crs,
			   const struct crs_failed_attempt *attempt)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	uint64_t answered_ms = last_answered_ms(crs, attempt->fingerprint);
	bool recently_answered = answered_ms &&
				 now_ms <= answered_ms + QUAR_RECENT_ANSWER_MS;
	struct report *to;

	if (answered_ms && now_ms <= answered_ms + QUAR_ANSWER_GRACE_MS)
		return false;
	to = find_report(crs, attempt);
	if (to && to->ambiguous && !attempt->ambiguous) {
		to->ambiguous = false;
		queue_report(crs, to);
	}
	if (to)
		return true;
	to = add_report(crs);
	fill_report(crs, attempt, to);
	queue_report(crs, to);
	if (recently_answered) {
		quar_answered(crs->own, attempt->fingerprint,
			      (uint32_t)(now_ms - answered_ms));
		queue_answer(crs, attempt->fingerprint, answered_ms, false);
	}
	return true;
}

/*
 * Returns NULL if the request got a response at about that time.
 */
static struct report *report_unanswered(struct crs *crs,
					const struct report *from)
{
	struct crs_failed_attempt attempt = {
		from->fingerprint, from->server_id, from->address,  from->zone,
		from->incarnation, from->took_ms,   from->ambiguous
	};
	uint64_t answered_ms = last_answered_ms(crs, from->fingerprint);
	struct report *to = find_report(crs, &attempt);

	if (to)
		return to;
	if (answered_ms && from->at_ms <= answered_ms + QUAR_ANSWER_GRACE_MS)
		return NULL;
	to = add_report(crs);
	*to = *from;
	queue_report(crs, to);
	return to;
}

static bool is_recent_report_of(const struct crs *crs,
				const struct report *report,
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
		if (is_recent_report_of(crs, &crs->unanswered[i], fingerprint))
			report_unanswered(crs, &crs->unanswered[i]);
}

static bool is_unanswered_elsewhere(const struct crs *crs,
				    const struct crs_failed_attempt *attempt)
{
	size_t i;

	for (i = 0; i < UNANSWERED_MAX; i++)
		if (is_recent_report_of(crs, &crs->unanswered[i],
					attempt->fingerprint) &&
		    strcmp(crs->unanswered[i].address, attempt->address) != 0)
			return true;
	return false;
}

void crs_unanswered(struct crs *crs, const struct crs_failed_attempt *attempt)
{
	struct report *to = &crs->unanswered[crs->next_unanswered];
	const struct listed *listed = find_listed(crs, attempt->fingerprint);

	crs->next_unanswered = (crs->next_unanswered + 1) % UNANSWERED_MAX;
	fill_report(crs, attempt, to);
	to->ambiguous = true;
	if ((listed && listed->state) ||
	    quar_has_request(crs->own, attempt->fingerprint) ||
	    is_unanswered_elsewhere(crs, attempt))
		report_all_unanswered(crs, to->fingerprint);
}

/*
 * Reports an unanswered attempt whose process has exited although no connection
 * broke.
 */
static void confirm_unanswered(struct crs *crs, const struct report *from)
{
	struct report *to = report_unanswered(crs, from);

	if (!to || to->exited)
		return;
	to->exited = true;
	queue_report(crs, to);
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
		confirm_unanswered(crs, at);
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

		if (!at->at_ms || at->exited ||
		    at->incarnation != incarnation ||
		    now_ms >= at->at_ms + QUAR_EXIT_CONFIRM_MS ||
		    strcmp(at->address, address) != 0)
			continue;
		at->exited = true;
		at->for_leader = true;
		at->for_peers = true;
	}
}

bool crs_may_have_exited(const struct crs *crs, const char *address,
			 uint64_t incarnation)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	size_t i;

	for (i = 0; i < crs->nr_reports; i++) {
		const struct report *at = &crs->reports[i];

		if (at->at_ms && at->incarnation == incarnation &&
		    (at->exited || now_ms < at->at_ms + QUAR_EXIT_CONFIRM_MS) &&
		    !strcmp(at->address, address))
			return true;
	}
	return false;
}

/* ---- leader's list ---- */

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

static int update_listed(struct crs *crs, const Aw__Quarantine *from)
{
	uint64_t now_ms = clk_now_ms(crs->clk), answered_ms, first_ms;
	struct listed *at;

	if (from->fingerprint.len != HASH_BYTES)
		return 0;
	at = get_listed(crs, from->fingerprint.data);
	if (!at)
		return -1;
	at->in_feed = true;
	at->state = read_state(from->state);
	at->expires_ms = now_ms + (from->expires_in_ms < QUARANTINE_MS ?
					   from->expires_in_ms :
					   QUARANTINE_MS);
	at->last_crash_ms =
		from->last_age_ms < now_ms ? now_ms - from->last_age_ms : 0;
	at->trial_from_ms =
		now_ms + (from->unresolved_for_ms < QUAR_EXIT_CONFIRM_MS ?
				  from->unresolved_for_ms :
				  QUAR_EXIT_CONFIRM_MS);
	answered_ms = last_answered_ms(crs, at->fingerprint);
	first_ms = from->first_age_ms < now_ms ? now_ms - from->first_age_ms :
						 0;
	if (answered_ms && answered_ms + QUAR_RECENT_ANSWER_MS >= first_ms)
		queue_answer(crs, at->fingerprint, answered_ms, false);
	return 0;
}

int crs_apply_feed(struct crs *crs, const Aw__Feed *feed)
{
	struct listed *at, *next;
	size_t i;

	HASH_ITER(hh, crs->listed, at, next)
	{
		at->in_feed = false;
	}
	for (i = 0; i < feed->n_quarantines && i < CRS_LISTED_MAX; i++)
		if (update_listed(crs, feed->quarantines[i]))
			return -1;
	HASH_ITER(hh, crs->listed, at, next)
	{
		if (!at->in_feed && at->state)
			remove_listed(crs, at);
	}
	return 0;
}

/* ---- decisions ---- */

bool crs_has_requests(const struct crs *crs)
{
	return crs->listed || quar_nr_requests(crs->own);
}

/*
 * Returns the position of this instance in an order of the instances that
 * differs from request to request.
 */
static size_t rank_of(const struct crs_fleet *fleet, const uint8_t *fingerprint)
{
	uint64_t seed, own;
	size_t i, rank = 0;

	memcpy(&seed, fingerprint, sizeof(seed));
	own = hash_mix(hash_text(fleet->instance) ^ seed);
	for (i = 0; i < fleet->nr_instances; i++)
		rank += hash_mix(hash_text(fleet->instances[i]->name) ^ seed) <
			own;
	return rank;
}

/*
 * Decides whether this attempt is a trial. Instances take turns, so that one
 * attempt at a time shows whether the request crashes its server.
 */
static bool take_trial(struct crs *crs, const uint8_t *fingerprint,
		       const struct crs_fleet *fleet, uint64_t last_crash_ms)
{
	uint64_t now_ms = clk_now_ms(crs->clk), turn;
	struct listed *at;

	if (now_ms < last_crash_ms + QUAR_TRIAL_DELAY_MS)
		return false;
	turn = (now_ms - last_crash_ms - QUAR_TRIAL_DELAY_MS) /
	       CRS_TRIAL_TURN_MS;
	if (fleet->nr_instances &&
	    turn % fleet->nr_instances != rank_of(fleet, fingerprint))
		return false;
	at = get_listed(crs, fingerprint);
	if (!at)
		return false;
	/* Keeps turns distinct when last_crash_ms changes. */
	turn += last_crash_ms / CRS_TRIAL_TURN_MS + 1;
	if (at->last_trial_turn == turn)
		return false;
	at->last_trial_turn = turn;
	if (!at->state)
		at->expires_ms = now_ms + QUAR_TRIAL_DELAY_MS;
	return true;
}

void crs_check(struct crs *crs, const uint8_t fingerprint[HASH_BYTES],
	       const struct crs_fleet *fleet, struct crs_verdict *verdict)
{
	uint64_t now_ms = clk_now_ms(crs->clk), own_ms = 0, last_crash_ms = 0;
	const struct listed *at = find_listed(crs, fingerprint);
	enum quar_state own = quar_state(crs->own, fingerprint, &own_ms);

	*verdict = (struct crs_verdict){ .state = QUAR_NONE };
	if (at && now_ms < at->expires_ms && at->state) {
		verdict->state = at->state;
		verdict->retry_after_ms = (uint32_t)(at->expires_ms - now_ms);
		last_crash_ms = at->last_crash_ms;
	}
	if (own > verdict->state &&
	    (!fleet->has_leader || now_ms < own_ms + CRS_OWN_DECISION_MS)) {
		verdict->state = own;
		verdict->retry_after_ms = QUAR_TRIAL_DELAY_MS;
	}
	if (own_ms > last_crash_ms)
		last_crash_ms = own_ms;
	if (at && at->trial_from_ms > last_crash_ms + QUAR_TRIAL_DELAY_MS)
		last_crash_ms = at->trial_from_ms - QUAR_TRIAL_DELAY_MS;
	if (verdict->state != QUAR_TRIAL)
		return;
	if (take_trial(crs, fingerprint, fleet, last_crash_ms))
		return;
	verdict->state = QUAR_REFUSED;
	verdict->retry_after_ms = CRS_TRIAL_TURN_MS;
	if (last_crash_ms + QUAR_TRIAL_DELAY_MS > now_ms + CRS_TRIAL_TURN_MS)
		verdict->retry_after_ms =
			(uint32_t)(last_crash_ms + QUAR_TRIAL_DELAY_MS -
				   now_ms);
}

/* ---- reports to the leader and other instances ---- */

static void add_crash_message(struct crs *crs, const struct report *from,
			      Aw__CrashNews *reports)
{
	Aw__CrashReport *to = &crs->crash_messages[reports->n_crashes];

	fill_message(crs, from, to);
	crs->crash_list[reports->n_crashes++] = to;
}

static void add_answer_message(struct crs *crs, const struct answer *from,
			       Aw__CrashNews *reports)
{
	Aw__AnswerReport *to = &crs->answer_messages[reports->n_answers];

	aw__answer_report__init(to);
	to->fingerprint.data = (uint8_t *)from->fingerprint;
	to->fingerprint.len = HASH_BYTES;
	to->age_ms = (uint32_t)(clk_now_ms(crs->clk) - from->at_ms);
	crs->answer_list[reports->n_answers++] = to;
}

static bool is_current(const struct crs *crs, const struct report *report)
{
	return report->at_ms &&
	       clk_now_ms(crs->clk) < report->at_ms + QUARANTINE_MS;
}

static void init_reports(struct crs *crs, Aw__CrashNews *reports)
{
	aw__crash_news__init(reports);
	reports->crashes = crs->crash_list;
	reports->answers = crs->answer_list;
}

bool crs_pending_reports(struct crs *crs, Aw__CrashNews *reports)
{
	size_t i;

	init_reports(crs, reports);
	for (i = 0; i < crs->nr_reports; i++)
		if (crs->reports[i].for_leader &&
		    is_current(crs, &crs->reports[i]))
			add_crash_message(crs, &crs->reports[i], reports);
	for (i = 0; i < crs->nr_answers; i++)
		add_answer_message(crs, &crs->answers[i], reports);
	return reports->n_crashes || reports->n_answers;
}

void crs_reports_sent(struct crs *crs)
{
	size_t i;

	crs->nr_answers = 0;
	for (i = 0; i < crs->nr_reports; i++) {
		crs->reports[i].for_leader = false;
		crs->reports[i].for_peers = false;
	}
}

bool crs_peer_reports(struct crs *crs, Aw__CrashNews *reports)
{
	size_t i;

	init_reports(crs, reports);
	for (i = 0; i < crs->nr_reports; i++) {
		struct report *from = &crs->reports[i];

		if (!from->for_peers || !is_current(crs, from) ||
		    reports->n_crashes == CRS_PEER_REPORTS_MAX)
			continue;
		from->for_peers = false;
		add_crash_message(crs, from, reports);
	}
	for (i = 0; i < crs->nr_answers; i++) {
		struct answer *from = &crs->answers[i];

		if (!from->for_peers ||
		    reports->n_answers == CRS_PEER_REPORTS_MAX)
			continue;
		from->for_peers = false;
		add_answer_message(crs, from, reports);
	}
	return reports->n_crashes || reports->n_answers;
}

static void receive_crash(struct crs *crs, const Aw__CrashReport *from)
{
	struct crs_failed_attempt attempt = { from->fingerprint.data,
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
	    find_report(crs, &attempt))
		return;
	to = add_report(crs);
	fill_report(crs, &attempt, to);
	to->at_ms = now_ms - from->age_ms;
	to->exited = true;
	to->for_leader = true;
}

void crs_receive_reports(struct crs *crs, const Aw__CrashNews *reports)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	size_t i;

	for (i = 0; i < reports->n_crashes; i++)
		receive_crash(crs, reports->crashes[i]);
	for (i = 0; i < reports->n_answers; i++) {
		const Aw__AnswerReport *from = reports->answers[i];

		if (from->fingerprint.len != HASH_BYTES ||
		    from->age_ms >= now_ms ||
		    !quar_has_request(crs->own, from->fingerprint.data))
			continue;
		quar_answered(crs->own, from->fingerprint.data, from->age_ms);
		queue_answer(crs, from->fingerprint.data, now_ms - from->age_ms,
			     true);
	}
}

void crs_report_again(struct crs *crs)
{
	size_t i;

	for (i = 0; i < crs->nr_reports; i++)
		crs->reports[i].for_leader = true;
}

void crs_tick(struct crs *crs)
{
	uint64_t now_ms = clk_now_ms(crs->clk);
	struct listed *at, *next;

	quar_tick(crs->own);
	HASH_ITER(hh, crs->listed, at, next)
	{
		if (now_ms >= at->expires_ms)
			remove_listed(crs, at);
	}
}
