#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#define SUSPECTS_MAX 8 /* server processes remembered for one request */
#define LOSSES_MAX 1024
/* Losses count in halves: a cold server may end by too many requests, and one
 * that broke no connection by anything. */
#define UNITS 2
#define UNITS_WEAK 1
/* Servers lost under sendings that were under way together count for so many,
 * as a failure of more than one server ends them together too. */
#define TOGETHER_MAX 2
/* In which processes end that are ended together. */
#define TOGETHER_MS 100

const struct quar_limits quar_leased = {
	.servers = QUARANTINE_SERVERS,
	.processes = QUARANTINE_SERVERS + 1,
	.requests_max = QUAR_REQUESTS_MAX,
};

const struct quar_limits quar_seeded = {
	.servers = 3,
	.processes = 3,
	.watched = 2,
	.needs_end = true,
	.requests_max = QUAR_REQUESTS_MAX,
};

/* A server process that a request may have crashed. */
struct suspect {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t sent_ms; /* the request */
	uint64_t at_ms; /* when the connection broke */
	bool ended; /* the process */
	bool weak;
	bool cleared; /* lost in a failure of its zone */
};

struct request {
	uint8_t fingerprint[HASH_BYTES];
	struct suspect suspects[SUSPECTS_MAX]; /* by at_ms */
	uint32_t nr_suspects;
	uint32_t told; /* servers crashed, as an earlier leader counted */
	enum quar_state held; /* as an earlier leader decided */
	uint64_t decided_ms; /* when it did */
	enum quar_state state;
	uint64_t until_ms; /* of the state, 0: none */
	uint64_t last_ms; /* of the last loss */
	uint64_t answered_ms; /* 0: not */
	UT_hash_handle hh;
};

/* A server process that was lost. */
struct loss {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t at_ms;
	struct loss *prev, *next;
};

struct quar {
	struct clk *clk;
	struct quar_limits limits;
	uint64_t version;
	size_t count; /* requests that are listed */
	size_t nr_unknown; /* suspects whose end is not known, at most */
	struct request *requests;
	struct loss *losses; /* in the order of their reports */
	size_t nr_losses;
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

static void drop_loss(struct quar *quar, struct loss *loss)
{
	DL_DELETE(quar->losses, loss);
	quar->nr_losses--;
	free(loss);
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
	while (quar->losses)
		drop_loss(quar, quar->losses);
	free(quar);
}

static void set_state(struct quar *quar, struct request *request,
		      enum quar_state state, uint64_t until_ms)
{
	if (request->state == state && request->until_ms == until_ms)
		return;
	quar->count -= request->state != QUAR_NONE;
	quar->count += state != QUAR_NONE;
	request->state = state;
	request->until_ms = until_ms;
	quar->version++;
}

static void drop_request(struct quar *quar, struct request *request)
{
	set_state(quar, request, QUAR_NONE, 0);
	HASH_DEL(quar->requests, request);
	free(request);
}

/*
 * Makes room by the request that was suspected longest ago, listed ones last.
 */
static void drop_oldest(struct quar *quar)
{
	struct request *request, *oldest = NULL;

	for (request = quar->requests; request; request = request->hh.next) {
		if (oldest && request->state > oldest->state)
			continue;
		if (oldest && request->state == oldest->state &&
		    request->last_ms >= oldest->last_ms)
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
 * A process can be lost only once, however often that is reported.
 */
static enum quar_error note_loss(struct quar *quar, const struct suspect *lost)
{
	struct loss *loss;

	DL_FOREACH(quar->losses, loss)
	{
		if (loss->incarnation == lost->incarnation &&
		    !strcmp(loss->address, lost->address))
			return QUAR_OK;
	}
	if (quar->nr_losses == LOSSES_MAX)
		drop_loss(quar, quar->losses);
	loss = calloc(1, sizeof(*loss));
	if (!loss)
		return QUAR_ERR_MEMORY;
	memcpy(loss->address, lost->address, sizeof(loss->address));
	memcpy(loss->zone, lost->zone, sizeof(loss->zone));
	loss->incarnation = lost->incarnation;
	loss->at_ms = lost->at_ms;
	DL_APPEND(quar->losses, loss);
	quar->nr_losses++;
	return QUAR_OK;
}

static size_t losses_within(const struct quar *quar, const char *zone,
			    uint64_t from_ms)
{
	const struct loss *loss, *same;
	size_t nr = 0;

	DL_FOREACH(quar->losses, loss)
	{
		if (strcmp(loss->zone, zone) != 0 || loss->at_ms < from_ms ||
		    loss->at_ms > from_ms + QUAR_ZONE_FAILURE_MS)
			continue;
		for (same = quar->losses; same != loss; same = same->next)
			if (!strcmp(same->address, loss->address) &&
			    same->at_ms >= from_ms &&
			    same->at_ms <= from_ms + QUAR_ZONE_FAILURE_MS)
				break;
		nr += same == loss ? 1 : 0;
	}
	return nr;
}

/*
 * Finds the begin of a span around that time in which so many servers of the
 * zone were lost that the zone must have failed.
 */
static bool zone_failed(const struct quar *quar, const char *zone,
			uint64_t at_ms, uint64_t *from_ms, size_t *nr_lost)
{
	const struct loss *loss;

	if (!*zone)
		return false;
	DL_FOREACH(quar->losses, loss)
	{
		if (loss->at_ms > at_ms ||
		    loss->at_ms + QUAR_ZONE_FAILURE_MS < at_ms ||
		    strcmp(loss->zone, zone) != 0)
			continue;
		*from_ms = loss->at_ms;
		*nr_lost = losses_within(quar, zone, *from_ms);
		if (*nr_lost >= QUAR_ZONE_FAILURE_SERVERS)
			return true;
	}
	return false;
}

static bool counts(const struct suspect *suspect)
{
	return suspect->ended && !suspect->cleared;
}

/*
 * The sending got no answer, and its server may yet turn out to have ended.
 */
static bool is_unresolved(const struct suspect *suspect, uint64_t now_ms)
{
	return !suspect->ended && suspect->weak &&
	       now_ms < suspect->at_ms + QUAR_EXIT_CONFIRM_MS;
}

static uint32_t nr_unresolved(const struct request *request, uint64_t now_ms)
{
	uint32_t i, nr = 0;

	for (i = 0; i < request->nr_suspects; i++)
		nr += is_unresolved(&request->suspects[i], now_ms);
	return nr;
}

static uint32_t nr_lost(const struct request *request)
{
	uint32_t i, nr = 0;

	for (i = 0; i < request->nr_suspects; i++)
		nr += counts(&request->suspects[i]);
	return nr;
}

static bool is_first_of_server(const struct request *request, uint32_t nth)
{
	const char *address = request->suspects[nth].address;
	uint32_t i;

	for (i = 0; i < nth; i++)
		if (counts(&request->suspects[i]) &&
		    !strcmp(request->suspects[i].address, address))
			return false;
	return true;
}

static bool was_harmless(const struct request *request,
			 const struct suspect *suspect)
{
	return request->answered_ms &&
	       suspect->at_ms <= request->answered_ms + QUAR_RECENT_ANSWER_MS;
}

/*
 * How much the losses show, in UNITS for each server. A sending that began
 * after the others had broken shows more than one that was under way with them.
 */
static uint32_t weigh(const struct request *request, bool each_process,
		      uint32_t together_max)
{
	uint32_t i, most, sum = 0, together = 0;
	uint64_t first_ms = 0;

	for (i = 0; i < request->nr_suspects; i++) {
		const struct suspect *at = &request->suspects[i];

		if (!counts(at) ||
		    (!each_process && !is_first_of_server(request, i)))
			continue;
		if (!first_ms || at->sent_ms >= first_ms + TOGETHER_MS) {
			first_ms = at->at_ms;
			together = 0;
		}
		most = was_harmless(request, at) ? UNITS : together_max;
		if (together >= most)
			continue;
		together += at->weak ? UNITS_WEAK : UNITS;
		sum += at->weak ? UNITS_WEAK : UNITS;
	}
	return sum;
}

/*
 * Whether a sending that began after an earlier leader had decided on a trial
 * ended its server. The instances tell of the losses before it once more.
 */
static bool is_confirmed(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->nr_suspects; i++)
		if (counts(&request->suspects[i]) &&
		    request->suspects[i].sent_ms > request->decided_ms)
			return true;
	return false;
}

static enum quar_state judged(const struct quar *quar,
			      const struct request *request)
{
	const struct quar_limits *limits = &quar->limits;
	const uint32_t most = TOGETHER_MAX * UNITS;
	uint32_t sum, unresolved;

	if (weigh(request, false, most) >= limits->servers * UNITS ||
	    weigh(request, true, most) >= limits->processes * UNITS)
		return QUAR_REFUSED;
	if (request->held == QUAR_TRIAL && is_confirmed(request))
		return QUAR_REFUSED;
	if (!limits->watched)
		return QUAR_NONE;
	sum = weigh(request, true, UINT32_MAX);
	if (!sum)
		return QUAR_NONE;
	unresolved = nr_unresolved(request, clk_now_ms(quar->clk));
	if (sum + unresolved * UNITS_WEAK >= limits->processes * UNITS)
		return QUAR_TRIAL;
	return sum >= limits->watched * UNITS ? QUAR_WATCHED : QUAR_NONE;
}

static void judge(struct quar *quar, struct request *request, uint64_t now_ms)
{
	enum quar_state state = judged(quar, request);

	if (state < request->held)
		state = request->held;
	if (state != request->state)
		set_state(quar, request, state,
			  state ? now_ms + QUARANTINE_MS : 0);
	else if (state == QUAR_TRIAL)
		quar->version++; /* the next trial is later */
}

static bool is_within(const struct suspect *suspect, const char *zone,
		      uint64_t from_ms)
{
	return !strcmp(suspect->zone, zone) && suspect->at_ms >= from_ms &&
	       suspect->at_ms <= from_ms + QUAR_ZONE_FAILURE_MS;
}

/*
 * The losses of a failed zone say nothing about a request that ran on at most
 * half of the servers lost. A request that ran on more of them may have caused
 * them: near servers are preferred, so it crashes several of one zone.
 */
static void clear_zone(struct quar *quar, const char *zone, uint64_t from_ms,
		       size_t nr_lost, uint64_t now_ms)
{
	struct request *request;
	uint32_t i;
	size_t nr;

	for (request = quar->requests; request; request = request->hh.next) {
		nr = 0;
		for (i = 0; i < request->nr_suspects; i++)
			nr += is_within(&request->suspects[i], zone, from_ms);
		if (2 * nr > nr_lost)
			continue;
		for (i = 0; i < request->nr_suspects; i++)
			if (is_within(&request->suspects[i], zone, from_ms))
				request->suspects[i].cleared = true;
		judge(quar, request, now_ms);
	}
}

static void remove_suspect(struct request *request, uint32_t nth)
{
	uint32_t i;

	request->nr_suspects--;
	for (i = nth; i < request->nr_suspects; i++)
		request->suspects[i] = request->suspects[i + 1];
}

/*
 * The first and the last losses tell those apart that were together.
 */
static uint32_t least_telling(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->nr_suspects; i++)
		if (!request->suspects[i].ended)
			return i;
	return 1;
}

static struct suspect *get_suspect(struct request *request,
				   const struct suspect *lost)
{
	struct suspect *at;
	uint32_t i;

	for (i = 0; i < request->nr_suspects; i++) {
		at = &request->suspects[i];
		if (at->incarnation == lost->incarnation &&
		    !strcmp(at->address, lost->address))
			return at;
	}
	if (request->nr_suspects == SUSPECTS_MAX)
		remove_suspect(request, least_telling(request));
	for (i = request->nr_suspects;
	     i && request->suspects[i - 1].at_ms > lost->at_ms; i--)
		request->suspects[i] = request->suspects[i - 1];
	request->nr_suspects++;
	at = &request->suspects[i];
	*at = *lost;
	at->ended = false;
	return at;
}

/*
 * The end of a server under a request is known.
 */
static enum quar_error note_end(struct quar *quar, struct request *request,
				struct suspect *suspect)
{
	uint64_t now_ms = clk_now_ms(quar->clk), from_ms;
	size_t nr;

	if (suspect->ended)
		return QUAR_OK;
	suspect->ended = true;
	if (suspect->at_ms > request->last_ms)
		request->last_ms = suspect->at_ms;
	if (note_loss(quar, suspect))
		return QUAR_ERR_MEMORY;
	if (zone_failed(quar, suspect->zone, suspect->at_ms, &from_ms, &nr))
		clear_zone(quar, suspect->zone, from_ms, nr, now_ms);
	judge(quar, request, now_ms);
	return QUAR_OK;
}

static void read_crash(const Aw__CrashReport *crash, const char *zone,
		       uint64_t now_ms, struct suspect *lost)
{
	snprintf(lost->address, sizeof(lost->address), "%s",
		 crash->server_address);
	snprintf(lost->zone, sizeof(lost->zone), "%s", zone);
	lost->incarnation = crash->server_incarnation;
	lost->at_ms = now_ms - crash->age_ms;
	lost->sent_ms =
		crash->took_ms < lost->at_ms ? lost->at_ms - crash->took_ms : 0;
	lost->weak = crash->weak;
}

enum quar_error quar_add_crash(struct quar *quar, const Aw__CrashReport *crash,
			       const char *zone)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct suspect lost = { 0 }, *suspect;
	struct request *request;

	if (crash->fingerprint.len != HASH_BYTES || !*crash->server_address ||
	    strlen(crash->server_address) >= ADDRESS_BYTES_MAX)
		return QUAR_ERR_INVALID;
	if (crash->age_ms >= QUARANTINE_MS || crash->age_ms > now_ms)
		return QUAR_OK;
	read_crash(crash, zone, now_ms, &lost);
	request = get_request(quar, &crash->fingerprint);
	if (!request)
		return QUAR_ERR_MEMORY;
	if (request->answered_ms &&
	    lost.at_ms <= request->answered_ms + QUAR_ANSWER_GRACE_MS)
		return QUAR_OK;
	suspect = get_suspect(request, &lost);
	/* A copy may have told less. */
	if (suspect->weak && !lost.weak) {
		suspect->weak = false;
		judge(quar, request, now_ms);
	}
	if (crash->ended || !quar->limits.needs_end)
		return note_end(quar, request, suspect);
	if (suspect->ended)
		return QUAR_OK;
	if (request->last_ms < lost.at_ms)
		request->last_ms = lost.at_ms;
	quar->nr_unknown++;
	judge(quar, request, now_ms);
	return QUAR_OK;
}

/*
 * Processes at that address with an incarnation from the first to the last.
 */
static void end_processes(struct quar *quar, const char *address,
			  uint64_t first, uint64_t last)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request;
	uint32_t i;

	if (!quar->nr_unknown)
		return;
	for (request = quar->requests; request; request = request->hh.next) {
		for (i = 0; i < request->nr_suspects; i++) {
			struct suspect *at = &request->suspects[i];

			if (at->ended || strcmp(at->address, address) != 0 ||
			    at->incarnation < first || at->incarnation > last ||
			    now_ms >= at->at_ms + QUAR_EXIT_CONFIRM_MS)
				continue;
			/* Without memory it is only not counted for its zone. */
			note_end(quar, request, at);
		}
	}
}

void quar_server_exited(struct quar *quar, const char *address,
			uint64_t incarnation)
{
	end_processes(quar, address, incarnation, incarnation);
}

void quar_server_started(struct quar *quar, const char *address,
			 uint64_t incarnation)
{
	if (incarnation)
		end_processes(quar, address, 0, incarnation - 1);
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
	while (i < request->nr_suspects) {
		if (request->suspects[i].at_ms <= at_ms + QUAR_ANSWER_GRACE_MS)
			remove_suspect(request, i);
		else
			i++;
	}
	if (at_ms + QUAR_ANSWER_GRACE_MS >= request->last_ms) {
		request->held = QUAR_NONE;
		request->told = 0;
	}
	judge(quar, request, now_ms);
}

enum quar_error quar_restore(struct quar *quar, const Aw__Quarantine *held)
{
	uint64_t now_ms = clk_now_ms(quar->clk), until_ms;
	struct request *request;

	if (held->fingerprint.len != HASH_BYTES || !held->expires_in_ms ||
	    held->expires_in_ms > QUARANTINE_MS)
		return QUAR_ERR_INVALID;
	request = get_request(quar, &held->fingerprint);
	if (!request)
		return QUAR_ERR_MEMORY;
	until_ms = now_ms + held->expires_in_ms;
	request->decided_ms =
		until_ms > QUARANTINE_MS ? until_ms - QUARANTINE_MS : 0;
	request->last_ms = now_ms;
	request->told = held->servers_crashed > quar->limits.servers ?
				held->servers_crashed :
				quar->limits.servers;
	request->held = held->state == AW__QUARANTINE_STATE__QUARANTINE_TRIAL ?
				QUAR_TRIAL :
				QUAR_REFUSED;
	if (request->held > request->state || until_ms > request->until_ms)
		set_state(quar, request,
			  request->held > request->state ? request->held :
							   request->state,
			  until_ms > request->until_ms ? until_ms :
							 request->until_ms);
	return QUAR_OK;
}

/*
 * A connection that broke while its server went on shows nothing.
 */
static void drop_unknown(struct quar *quar, struct request *request,
			 uint64_t now_ms)
{
	uint32_t i = 0, nr = request->nr_suspects;

	while (i < request->nr_suspects) {
		if (!request->suspects[i].ended &&
		    now_ms >= request->suspects[i].at_ms + QUAR_EXIT_CONFIRM_MS)
			remove_suspect(request, i);
		else
			i++;
	}
	if (request->nr_suspects < nr)
		judge(quar, request, now_ms);
}

static bool is_over(const struct request *request, uint64_t now_ms)
{
	if (request->state)
		return request->until_ms <= now_ms;
	if (!request->nr_suspects)
		return request->answered_ms + QUAR_RECENT_ANSWER_MS <= now_ms;
	return request->last_ms + QUARANTINE_MS <= now_ms;
}

void quar_tick(struct quar *quar)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request, *next;
	struct loss *loss, *next_loss;
	size_t nr_unknown = 0;
	uint32_t i;

	DL_FOREACH_SAFE(quar->losses, loss, next_loss)
	{
		if (loss->at_ms + QUARANTINE_MS <= now_ms)
			drop_loss(quar, loss);
	}
	HASH_ITER(hh, quar->requests, request, next)
	{
		drop_unknown(quar, request, now_ms);
		if (is_over(request, now_ms)) {
			drop_request(quar, request);
			continue;
		}
		for (i = 0; i < request->nr_suspects; i++)
			nr_unknown += !request->suspects[i].ended;
	}
	quar->nr_unknown = nr_unknown;
}

enum quar_state quar_state(const struct quar *quar,
			   const uint8_t fingerprint[HASH_BYTES],
			   uint64_t *last_ms)
{
	const struct request *request = find_request(quar, fingerprint);

	if (!request || request->until_ms <= clk_now_ms(quar->clk))
		return QUAR_NONE;
	if (last_ms)
		*last_ms = request->last_ms;
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
	return quar->count;
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
 * When the first server was lost that counts.
 */
static uint64_t first_lost_ms(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->nr_suspects; i++)
		if (counts(&request->suspects[i]))
			return request->suspects[i].at_ms;
	return request->last_ms;
}

/*
 * Once two servers have ended under a request, a trial beside sendings that may
 * turn out to have ended more of them is put off.
 */
static uint32_t unresolved_for_ms(const struct quar *quar,
				  const struct request *request)
{
	uint64_t now_ms = clk_now_ms(quar->clk), until_ms = now_ms;
	uint32_t i;

	if (request->state != QUAR_TRIAL ||
	    weigh(request, true, UINT32_MAX) < quar->limits.watched * UNITS)
		return 0;
	for (i = 0; i < request->nr_suspects; i++) {
		const struct suspect *at = &request->suspects[i];

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
		if (request->until_ms <= now_ms)
			continue;
		aw__quarantine__init(&list[nr]);
		list[nr].fingerprint.data = request->fingerprint;
		list[nr].fingerprint.len = HASH_BYTES;
		list[nr].expires_in_ms = (uint32_t)(request->until_ms - now_ms);
		list[nr].servers_crashed = nr_lost(request);
		if (list[nr].servers_crashed < request->told)
			list[nr].servers_crashed = request->told;
		list[nr].state = state_message(request->state);
		list[nr].first_age_ms =
			(uint32_t)(now_ms - first_lost_ms(request));
		list[nr].last_age_ms = (uint32_t)(now_ms - request->last_ms);
		list[nr].unresolved_for_ms = unresolved_for_ms(quar, request);
		nr++;
	}
	return nr;
}
