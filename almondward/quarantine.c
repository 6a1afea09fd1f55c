#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#define CRASHES_MAX 8 /* server processes recorded for one request */
#define EXITS_MAX 1024
/* Evidence is counted in halves of a crash: a cold server may exit because of
 * too many requests, and one whose exit broke no connection may have exited for
 * any reason. */
#define CRASH_UNITS 2
#define AMBIGUOUS_UNITS 1
/* Servers that crash while attempts are in flight at the same time count as at
 * most this many, since a failure of several servers also makes them exit
 * together. */
#define CONCURRENT_MAX 2
/* Processes that one event terminates exit within this time. */
#define CONCURRENT_MS 100

const struct quar_limits quar_leased = {
	.servers = QUARANTINE_SERVERS,
	.processes = QUARANTINE_SERVERS + 1,
	.requests_max = QUAR_REQUESTS_MAX,
};

const struct quar_limits quar_seeded = {
	.servers = 3,
	.processes = 3,
	.watch_processes = 2,
	.needs_exit = true,
	.requests_max = QUAR_REQUESTS_MAX,
};

/* A server process that a request may have crashed. */
struct crash {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t sent_ms; /* start of the attempt */
	uint64_t at_ms; /* when the connection broke or the attempt finished */
	bool exited; /* the process is known to have exited */
	bool ambiguous; /* it may be no crash */
	bool by_zone_failure; /* does not count: its zone failed */
};

struct request {
	uint8_t fingerprint[HASH_BYTES];
	struct crash crashes[CRASHES_MAX]; /* ordered by at_ms */
	uint32_t nr_crashes;
	uint32_t restored_servers; /* crashed, counted by an earlier leader */
	enum quar_state restored_state; /* as decided by an earlier leader */
	uint64_t decided_ms; /* when the earlier leader decided */
	enum quar_state state;
	uint64_t expires_ms; /* when the state ends, 0: never */
	uint64_t last_crash_ms; /* last crash, confirmed or not */
	uint64_t answered_ms; /* last response, 0: none */
	UT_hash_handle hh;
};

/* A server process that exited under a request. */
struct server_exit {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t at_ms;
	struct server_exit *prev, *next;
};

struct quar {
	struct clk *clk;
	struct quar_limits limits;
	uint64_t version;
	size_t nr_listed; /* requests whose state is not QUAR_NONE */
	size_t nr_unconfirmed; /* crashes without a known exit, at most */
	struct request *requests;
	struct server_exit *exits; /* in the order of their reports */
	size_t nr_exits;
};

struct quar *quar_create(struct clk *clk, uint64_t first_version,
			 const struct quar_limits *limits)
{
	struct quar *quar = calloc(1, sizeof(*quar));

	if (!quar)
		return NULL;
	quar->clk = clk;
	quar->limits = *limits;
	quar->version = first_version;
	return quar;
}

static void drop_exit(struct quar *quar, struct server_exit *server_exit)
{
	DL_DELETE(quar->exits, server_exit);
	quar->nr_exits--;
	free(server_exit);
}

void quar_destroy(struct quar *quar)
{
	struct request *request;

	if (!quar)
		return;
	while ((request = quar->requests)) {
		HASH_DEL(quar->requests, request);
		free(request);
	}
	while (quar->exits)
		drop_exit(quar, quar->exits);
	free(quar);
}

static void set_state(struct quar *quar, struct request *request,
		      enum quar_state state, uint64_t expires_ms)
{
	if (request->state == state && request->expires_ms == expires_ms)
		return;
	quar->nr_listed -= request->state != QUAR_NONE;
	quar->nr_listed += state != QUAR_NONE;
	request->state = state;
	request->expires_ms = expires_ms;
	quar->version++;
}

static void drop_request(struct quar *quar, struct request *request)
{
	set_state(quar, request, QUAR_NONE, 0);
	HASH_DEL(quar->requests, request);
	free(request);
}

/*
 * Makes room by dropping the request with the oldest crash, listed requests
 * last.
 */
static void drop_oldest(struct quar *quar)
{
	struct request *request, *oldest = NULL;

	for (request = quar->requests; request; request = request->hh.next) {
		if (oldest && request->state > oldest->state)
			continue;
		if (oldest && request->state == oldest->state &&
		    request->last_crash_ms >= oldest->last_crash_ms)
			continue;
		oldest = request;
	}
	if (oldest)
		drop_request(quar, oldest);
}

static struct request *find_request(const struct quar *quar,
				    const uint8_t *fingerprint)
{
	struct request *request;

	HASH_FIND(hh, quar->requests, fingerprint, HASH_BYTES, request);
	return request;
}

static struct request *get_request(struct quar *quar,
				   const ProtobufCBinaryData *fingerprint)
{
	struct request *request = find_request(quar, fingerprint->data);

	if (request)
		return request;
	if (HASH_COUNT(quar->requests) >= quar->limits.requests_max)
		drop_oldest(quar);
	request = calloc(1, sizeof(*request));
	if (!request)
		return NULL;
	memcpy(request->fingerprint, fingerprint->data, HASH_BYTES);
	HASH_ADD(hh, quar->requests, fingerprint, HASH_BYTES, request);
	return request;
}

/*
 * Records each process once, however often its exit is reported.
 */
static enum quar_error record_exit(struct quar *quar,
				   const struct crash *reported)
{
	struct server_exit *server_exit;

	DL_FOREACH(quar->exits, server_exit)
	{
		if (server_exit->incarnation == reported->incarnation &&
		    !strcmp(server_exit->address, reported->address))
			return QUAR_OK;
	}
	if (quar->nr_exits == EXITS_MAX)
		drop_exit(quar, quar->exits);
	server_exit = calloc(1, sizeof(*server_exit));
	if (!server_exit)
		return QUAR_ERR_MEMORY;
	memcpy(server_exit->address, reported->address,
	       sizeof(server_exit->address));
	memcpy(server_exit->zone, reported->zone, sizeof(server_exit->zone));
	server_exit->incarnation = reported->incarnation;
	server_exit->at_ms = reported->at_ms;
	DL_APPEND(quar->exits, server_exit);
	quar->nr_exits++;
	return QUAR_OK;
}

static size_t exits_within(const struct quar *quar, const char *zone,
			   uint64_t from_ms)
{
	const struct server_exit *server_exit, *earlier;
	size_t nr = 0;

	DL_FOREACH(quar->exits, server_exit)
	{
		if (strcmp(server_exit->zone, zone) != 0 ||
		    server_exit->at_ms < from_ms ||
		    server_exit->at_ms > from_ms + QUAR_ZONE_FAILURE_MS)
			continue;
		for (earlier = quar->exits; earlier != server_exit;
		     earlier = earlier->next)
			if (!strcmp(earlier->address, server_exit->address) &&
			    earlier->at_ms >= from_ms &&
			    earlier->at_ms <= from_ms + QUAR_ZONE_FAILURE_MS)
				break;
		nr += earlier == server_exit ? 1 : 0;
	}
	return nr;
}

/*
 * Searches for a time span around at_ms in which at least
 * QUAR_ZONE_FAILURE_SERVERS servers of the zone exited, so that the zone must
 * have failed.
 */
static bool zone_failed(const struct quar *quar, const char *zone,
			uint64_t at_ms, uint64_t *from_ms, size_t *nr_exited)
{
	const struct server_exit *server_exit;

	if (!*zone)
		return false;
	DL_FOREACH(quar->exits, server_exit)
	{
		if (server_exit->at_ms > at_ms ||
		    server_exit->at_ms + QUAR_ZONE_FAILURE_MS < at_ms ||
		    strcmp(server_exit->zone, zone) != 0)
			continue;
		*from_ms = server_exit->at_ms;
		*nr_exited = exits_within(quar, zone, *from_ms);
		if (*nr_exited >= QUAR_ZONE_FAILURE_SERVERS)
			return true;
	}
	return false;
}

/*
 * Returns whether a server exited under the request at another time than the
 * given crash, further apart than the exits of one zone failure.
 */
static bool has_other_crash(const struct request *request,
			    const struct crash *crash)
{
	uint32_t i;

	for (i = 0; i < request->nr_crashes; i++) {
		const struct crash *other = &request->crashes[i];

		if (other->exited &&
		    (other->at_ms > crash->at_ms + QUAR_ZONE_FAILURE_MS ||
		     other->at_ms + QUAR_ZONE_FAILURE_MS < crash->at_ms))
			return true;
	}
	return false;
}

/*
 * A zone failure explains the crashes of a request once: several requests that
 * crash one server each look like the failure of a zone, again and again.
 */
static bool is_counted(const struct request *request, const struct crash *crash)
{
	return crash->exited &&
	       (!crash->by_zone_failure || has_other_crash(request, crash));
}

/*
 * Returns whether the attempt was unanswered and its server may still turn out
 * to have exited.
 */
static bool is_unresolved(const struct crash *crash, uint64_t now_ms)
{
	return !crash->exited && crash->ambiguous &&
	       now_ms < crash->at_ms + QUAR_EXIT_CONFIRM_MS;
}

static uint32_t count_unresolved(const struct request *request, uint64_t now_ms)
{
	uint32_t i, nr = 0;

	for (i = 0; i < request->nr_crashes; i++)
		nr += is_unresolved(&request->crashes[i], now_ms);
	return nr;
}

static uint32_t count_crashes(const struct request *request)
{
	uint32_t i, nr = 0;

	for (i = 0; i < request->nr_crashes; i++)
		nr += is_counted(request, &request->crashes[i]);
	return nr;
}

static bool is_first_of_server(const struct request *request, uint32_t index)
{
	const char *address = request->crashes[index].address;
	uint32_t i;

	for (i = 0; i < index; i++)
		if (is_counted(request, &request->crashes[i]) &&
		    !strcmp(request->crashes[i].address, address))
			return false;
	return true;
}

static bool was_answered_recently(const struct request *request,
				  const struct crash *crash)
{
	return request->answered_ms &&
	       crash->at_ms <= request->answered_ms + QUAR_RECENT_ANSWER_MS;
}

/*
 * Returns the evidence against a request, with CRASH_UNITS for each unambiguous
 * crash. An attempt that began after the earlier crashes is better evidence
 * than one that was in flight at the same time.
 */
static uint32_t evidence(const struct request *request, bool each_process,
			 uint32_t concurrent_max)
{
	uint32_t i, max_units, sum = 0, concurrent = 0;
	uint64_t first_ms = 0;

	for (i = 0; i < request->nr_crashes; i++) {
		const struct crash *at = &request->crashes[i];

		if (!is_counted(request, at) ||
		    (!each_process && !is_first_of_server(request, i)))
			continue;
		if (!first_ms || at->sent_ms >= first_ms + CONCURRENT_MS) {
			first_ms = at->at_ms;
			concurrent = 0;
		}
		max_units = was_answered_recently(request, at) ? CRASH_UNITS :
								 concurrent_max;
		if (concurrent >= max_units)
			continue;
		concurrent += at->ambiguous ? AMBIGUOUS_UNITS : CRASH_UNITS;
		sum += at->ambiguous ? AMBIGUOUS_UNITS : CRASH_UNITS;
	}
	return sum;
}

/*
 * Returns whether an attempt that began after an earlier leader had decided on
 * a trial crashed its server. Instances report the crashes before that decision
 * again.
 */
static bool is_trial_confirmed(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->nr_crashes; i++)
		if (is_counted(request, &request->crashes[i]) &&
		    request->crashes[i].sent_ms > request->decided_ms)
			return true;
	return false;
}

static enum quar_state evaluate_state(const struct quar *quar,
				      const struct request *request)
{
	const struct quar_limits *limits = &quar->limits;
	const uint32_t max_units = CONCURRENT_MAX * CRASH_UNITS;
	uint32_t sum, unresolved;

	if (evidence(request, false, max_units) >=
		    limits->servers * CRASH_UNITS ||
	    evidence(request, true, max_units) >=
		    limits->processes * CRASH_UNITS)
		return QUAR_REFUSED;
	if (request->restored_state == QUAR_TRIAL &&
	    is_trial_confirmed(request))
		return QUAR_REFUSED;
	if (!limits->watch_processes)
		return QUAR_NONE;
	sum = evidence(request, true, UINT32_MAX);
	if (!sum)
		return QUAR_NONE;
	unresolved = count_unresolved(request, clk_now_ms(quar->clk));
	if (sum + unresolved * AMBIGUOUS_UNITS >=
	    limits->processes * CRASH_UNITS)
		return QUAR_TRIAL;
	return sum >= limits->watch_processes * CRASH_UNITS ? QUAR_WATCHED :
							      QUAR_NONE;
}

static void update_state(struct quar *quar, struct request *request,
			 uint64_t now_ms)
{
	enum quar_state state = evaluate_state(quar, request);

	if (state < request->restored_state)
		state = request->restored_state;
	if (state != request->state)
		set_state(quar, request, state,
			  state ? now_ms + QUARANTINE_MS : 0);
	else if (state == QUAR_TRIAL)
		quar->version++; /* postpones the next trial */
}

static bool is_in_zone_failure(const struct crash *crash, const char *zone,
			       uint64_t from_ms)
{
	return !strcmp(crash->zone, zone) && crash->at_ms >= from_ms &&
	       crash->at_ms <= from_ms + QUAR_ZONE_FAILURE_MS;
}

/*
 * The exits in a failed zone are no evidence against a request that was in
 * flight on at most half of the servers that exited. A request on more of them
 * may have caused the failure: close servers are preferred, so such a request
 * crashes several servers of one zone.
 */
static void exclude_zone_failure(struct quar *quar, const char *zone,
				 uint64_t from_ms, size_t nr_exited,
				 uint64_t now_ms)
{
	struct request *request;
	uint32_t i;
	size_t nr;

	for (request = quar->requests; request; request = request->hh.next) {
		nr = 0;
		for (i = 0; i < request->nr_crashes; i++)
			nr += is_in_zone_failure(&request->crashes[i], zone,
						 from_ms);
		if (2 * nr > nr_exited)
			continue;
		for (i = 0; i < request->nr_crashes; i++)
			if (is_in_zone_failure(&request->crashes[i], zone,
					       from_ms))
				request->crashes[i].by_zone_failure = true;
		update_state(quar, request, now_ms);
	}
}

static void remove_crash(struct request *request, uint32_t index)
{
	uint32_t i;

	request->nr_crashes--;
	for (i = index; i < request->nr_crashes; i++)
		request->crashes[i] = request->crashes[i + 1];
}

/*
 * Returns the crash to drop. The first and the last crash show whether the
 * crashes were concurrent, so they are kept.
 */
static uint32_t least_informative(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->nr_crashes; i++)
		if (!request->crashes[i].exited)
			return i;
	return 1;
}

static struct crash *get_crash(struct request *request,
			       const struct crash *reported)
{
	struct crash *at;
	uint32_t i;

	for (i = 0; i < request->nr_crashes; i++) {
		at = &request->crashes[i];
		if (at->incarnation == reported->incarnation &&
		    !strcmp(at->address, reported->address))
			return at;
	}
	if (request->nr_crashes == CRASHES_MAX)
		remove_crash(request, least_informative(request));
	for (i = request->nr_crashes;
	     i && request->crashes[i - 1].at_ms > reported->at_ms; i--)
		request->crashes[i] = request->crashes[i - 1];
	request->nr_crashes++;
	at = &request->crashes[i];
	*at = *reported;
	at->exited = false;
	return at;
}

/*
 * Records that the server of a crash has exited.
 */
static enum quar_error confirm_crash(struct quar *quar, struct request *request,
				     struct crash *crash)
{
	uint64_t now_ms = clk_now_ms(quar->clk), from_ms;
	size_t nr;

	if (crash->exited)
		return QUAR_OK;
	crash->exited = true;
	if (crash->at_ms > request->last_crash_ms)
		request->last_crash_ms = crash->at_ms;
	if (record_exit(quar, crash))
		return QUAR_ERR_MEMORY;
	if (zone_failed(quar, crash->zone, crash->at_ms, &from_ms, &nr))
		exclude_zone_failure(quar, crash->zone, from_ms, nr, now_ms);
	update_state(quar, request, now_ms);
	return QUAR_OK;
}

static void parse_report(const Aw__CrashReport *report, const char *zone,
			 uint64_t now_ms, struct crash *reported)
{
	snprintf(reported->address, sizeof(reported->address), "%s",
		 report->server_address);
	snprintf(reported->zone, sizeof(reported->zone), "%s", zone);
	reported->incarnation = report->server_incarnation;
	reported->at_ms = now_ms - report->age_ms;
	reported->sent_ms = report->took_ms < reported->at_ms ?
				    reported->at_ms - report->took_ms :
				    0;
	reported->ambiguous = report->weak;
}

enum quar_error quar_add_crash(struct quar *quar, const Aw__CrashReport *report,
			       const char *zone)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct crash reported = { 0 }, *crash;
	struct request *request;

	if (report->fingerprint.len != HASH_BYTES || !*report->server_address ||
	    strlen(report->server_address) >= ADDRESS_BYTES_MAX)
		return QUAR_ERR_INVALID;
	if (report->age_ms >= QUARANTINE_MS || report->age_ms > now_ms)
		return QUAR_OK;
	parse_report(report, zone, now_ms, &reported);
	request = get_request(quar, &report->fingerprint);
	if (!request)
		return QUAR_ERR_MEMORY;
	if (request->answered_ms &&
	    reported.at_ms <= request->answered_ms + QUAR_ANSWER_GRACE_MS)
		return QUAR_OK;
	crash = get_crash(request, &reported);
	/* An earlier copy of the report may have been ambiguous. */
	if (crash->ambiguous && !reported.ambiguous) {
		crash->ambiguous = false;
		update_state(quar, request, now_ms);
	}
	if (report->ended || !quar->limits.needs_exit)
		return confirm_crash(quar, request, crash);
	if (crash->exited)
		return QUAR_OK;
	if (request->last_crash_ms < reported.at_ms)
		request->last_crash_ms = reported.at_ms;
	quar->nr_unconfirmed++;
	update_state(quar, request, now_ms);
	return QUAR_OK;
}

/*
 * Confirms the crashes of the processes at that address whose incarnation is
 * between first and last.
 */
static void confirm_exits(struct quar *quar, const char *address,
			  uint64_t first, uint64_t last)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request;
	uint32_t i;

	if (!quar->nr_unconfirmed)
		return;
	for (request = quar->requests; request; request = request->hh.next) {
		for (i = 0; i < request->nr_crashes; i++) {
			struct crash *at = &request->crashes[i];

			if (at->exited || strcmp(at->address, address) != 0 ||
			    at->incarnation < first || at->incarnation > last ||
			    now_ms >= at->at_ms + QUAR_EXIT_CONFIRM_MS)
				continue;
			/* Without memory the exit is only missing from the
			 * search for a zone failure. */
			confirm_crash(quar, request, at);
		}
	}
}

void quar_server_exited(struct quar *quar, const char *address,
			uint64_t incarnation)
{
	confirm_exits(quar, address, incarnation, incarnation);
}

void quar_server_started(struct quar *quar, const char *address,
			 uint64_t incarnation)
{
	if (incarnation)
		confirm_exits(quar, address, 0, incarnation - 1);
}

void quar_answered(struct quar *quar, const uint8_t fingerprint[HASH_BYTES],
		   uint32_t age_ms)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	uint64_t at_ms = age_ms < now_ms ? now_ms - age_ms : 0;
	struct request *request = find_request(quar, fingerprint);
	uint32_t i = 0;

	if (!request || at_ms <= request->answered_ms)
		return;
	request->answered_ms = at_ms;
	while (i < request->nr_crashes) {
		if (request->crashes[i].at_ms <= at_ms + QUAR_ANSWER_GRACE_MS)
			remove_crash(request, i);
		else
			i++;
	}
	if (at_ms + QUAR_ANSWER_GRACE_MS >= request->last_crash_ms) {
		request->restored_state = QUAR_NONE;
		request->restored_servers = 0;
	}
	update_state(quar, request, now_ms);
}

enum quar_error quar_restore(struct quar *quar, const Aw__Quarantine *record)
{
	uint64_t now_ms = clk_now_ms(quar->clk), expires_ms;
	struct request *request;

	if (record->fingerprint.len != HASH_BYTES || !record->expires_in_ms ||
	    record->expires_in_ms > QUARANTINE_MS)
		return QUAR_ERR_INVALID;
	request = get_request(quar, &record->fingerprint);
	if (!request)
		return QUAR_ERR_MEMORY;
	expires_ms = now_ms + record->expires_in_ms;
	request->decided_ms =
		expires_ms > QUARANTINE_MS ? expires_ms - QUARANTINE_MS : 0;
	request->last_crash_ms = now_ms;
	request->restored_servers =
		record->servers_crashed > quar->limits.servers ?
			record->servers_crashed :
			quar->limits.servers;
	request->restored_state =
		record->state == AW__QUARANTINE_STATE__QUARANTINE_TRIAL ?
			QUAR_TRIAL :
			QUAR_REFUSED;
	if (request->restored_state > request->state ||
	    expires_ms > request->expires_ms)
		set_state(quar, request,
			  request->restored_state > request->state ?
				  request->restored_state :
				  request->state,
			  expires_ms > request->expires_ms ?
				  expires_ms :
				  request->expires_ms);
	return QUAR_OK;
}

/*
 * Drops broken connections and unanswered attempts whose server did not exit:
 * they are no evidence.
 */
static void drop_unconfirmed(struct quar *quar, struct request *request,
			     uint64_t now_ms)
{
	uint32_t i = 0, nr = request->nr_crashes;

	while (i < request->nr_crashes) {
		if (!request->crashes[i].exited &&
		    now_ms >= request->crashes[i].at_ms + QUAR_EXIT_CONFIRM_MS)
			remove_crash(request, i);
		else
			i++;
	}
	if (request->nr_crashes < nr)
		update_state(quar, request, now_ms);
}

static bool has_expired(const struct request *request, uint64_t now_ms)
{
	if (request->state)
		return request->expires_ms <= now_ms;
	if (!request->nr_crashes)
		return request->answered_ms + QUAR_RECENT_ANSWER_MS <= now_ms;
	return request->last_crash_ms + QUARANTINE_MS <= now_ms;
}

void quar_tick(struct quar *quar)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request, *next;
	struct server_exit *server_exit, *next_exit;
	size_t nr_unconfirmed = 0;
	uint32_t i;

	DL_FOREACH_SAFE(quar->exits, server_exit, next_exit)
	{
		if (server_exit->at_ms + QUARANTINE_MS <= now_ms)
			drop_exit(quar, server_exit);
	}
	HASH_ITER(hh, quar->requests, request, next)
	{
		drop_unconfirmed(quar, request, now_ms);
		if (has_expired(request, now_ms)) {
			drop_request(quar, request);
			continue;
		}
		for (i = 0; i < request->nr_crashes; i++)
			nr_unconfirmed += !request->crashes[i].exited;
	}
	quar->nr_unconfirmed = nr_unconfirmed;
}

enum quar_state quar_state(const struct quar *quar,
			   const uint8_t fingerprint[HASH_BYTES],
			   uint64_t *last_crash_ms)
{
	const struct request *request = find_request(quar, fingerprint);

	if (!request || request->expires_ms <= clk_now_ms(quar->clk))
		return QUAR_NONE;
	if (last_crash_ms)
		*last_crash_ms = request->last_crash_ms;
	return request->state;
}

bool quar_has_request(const struct quar *quar,
		      const uint8_t fingerprint[HASH_BYTES])
{
	return find_request(quar, fingerprint) != NULL;
}

size_t quar_nr_requests(const struct quar *quar)
{
	return HASH_COUNT(quar->requests);
}

uint64_t quar_version(const struct quar *quar)
{
	return quar->version;
}

size_t quar_nr_listed(const struct quar *quar)
{
	return quar->nr_listed;
}

static Aw__QuarantineState state_message(enum quar_state state)
{
	switch (state) {
	case QUAR_WATCHED:
		return AW__QUARANTINE_STATE__QUARANTINE_WATCHED;
	case QUAR_TRIAL:
		return AW__QUARANTINE_STATE__QUARANTINE_TRIAL;
	default:
		return AW__QUARANTINE_STATE__QUARANTINE_REFUSED;
	}
}

/*
 * Returns the time of the first crash that counts.
 */
static uint64_t first_crash_ms(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->nr_crashes; i++)
		if (is_counted(request, &request->crashes[i]))
			return request->crashes[i].at_ms;
	return request->last_crash_ms;
}

/*
 * Returns the time until all unanswered attempts are resolved, or 0. Once two
 * servers have crashed under a request, its trial waits for them: they may have
 * crashed more servers, and the trial would cost another one.
 */
static uint32_t unresolved_for_ms(const struct quar *quar,
				  const struct request *request)
{
	uint64_t now_ms = clk_now_ms(quar->clk), until_ms = now_ms;
	uint32_t i;

	if (request->state != QUAR_TRIAL ||
	    evidence(request, true, UINT32_MAX) <
		    quar->limits.watch_processes * CRASH_UNITS)
		return 0;
	for (i = 0; i < request->nr_crashes; i++) {
		const struct crash *at = &request->crashes[i];

		if (is_unresolved(at, now_ms) &&
		    at->at_ms + QUAR_EXIT_CONFIRM_MS > until_ms)
			until_ms = at->at_ms + QUAR_EXIT_CONFIRM_MS;
	}
	return (uint32_t)(until_ms - now_ms);
}

size_t quar_list(const struct quar *quar, Aw__Quarantine *list, size_t max)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request;
	size_t nr = 0;

	for (request = quar->requests; request && nr < max;
	     request = request->hh.next) {
		if (request->expires_ms <= now_ms)
			continue;
		aw__quarantine__init(&list[nr]);
		list[nr].fingerprint.data = request->fingerprint;
		list[nr].fingerprint.len = HASH_BYTES;
		list[nr].expires_in_ms =
			(uint32_t)(request->expires_ms - now_ms);
		list[nr].servers_crashed = count_crashes(request);
		if (list[nr].servers_crashed < request->restored_servers)
			list[nr].servers_crashed = request->restored_servers;
		list[nr].state = state_message(request->state);
		list[nr].first_age_ms =
			(uint32_t)(now_ms - first_crash_ms(request));
		list[nr].last_age_ms =
			(uint32_t)(now_ms - request->last_crash_ms);
		list[nr].unresolved_for_ms = unresolved_for_ms(quar, request);
		nr++;
	}
	return nr;
}
