#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#define SUSPECTS_MAX 8 /* server processes remembered for one request */
#define LOSSES_MAX 1024

/* A server process that a request may have crashed. */
struct suspect {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t incarnation;
	uint64_t at_ms;
	bool cleared; /* lost in a failure of its zone */
};

struct request {
	uint8_t fingerprint[HASH_BYTES];
	struct suspect suspects[SUSPECTS_MAX];
	uint32_t nr_suspects;
	uint32_t told; /* servers crashed, as an earlier leader counted */
	uint64_t until_ms; /* quarantined until, 0: not */
	uint64_t last_ms;
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
	uint64_t version;
	size_t count;
	struct request *requests;
	struct loss *losses; /* in the order of their reports */
	size_t nr_losses;
};

struct quar *quar_create(struct clk *clk, uint64_t first_version)
{
	struct quar *quar = calloc(1, sizeof(*quar));

	if (!quar)
		return NULL;
	quar->clk = clk;
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

static void set_until(struct quar *quar, struct request *request,
		      uint64_t until_ms)
{
	if (request->until_ms == until_ms)
		return;
	if (!request->until_ms)
		quar->count++;
	if (!until_ms)
		quar->count--;
	request->until_ms = until_ms;
	quar->version++;
}

static void drop_request(struct quar *quar, struct request *request)
{
	set_until(quar, request, 0);
	HASH_DEL(quar->requests, request);
	free(request);
}

/*
 * Makes room by the request that was suspected longest ago, quarantined ones
 * last.
 */
static void drop_oldest(struct quar *quar)
{
	struct request *request, *oldest = NULL;

	for (request = quar->requests; request; request = request->hh.next) {
		if (oldest && !request->until_ms < !oldest->until_ms)
			continue;
		if (oldest && !request->until_ms == !oldest->until_ms &&
		    request->last_ms >= oldest->last_ms)
			continue;
		oldest = request;
	}
	if (oldest)
		drop_request(quar, oldest);
}

static struct request *get_request(struct quar *quar,
				   const ProtobufCBinaryData *fingerprint)
{
	struct request *request;

	HASH_FIND(hh, quar->requests, fingerprint->data, HASH_BYTES, request);
	if (request)
		return request;
	if (HASH_COUNT(quar->requests) >= QUAR_REQUESTS_MAX)
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
		    loss->at_ms > from_ms + QUAR_ZONE_MS)
			continue;
		for (same = quar->losses; same != loss; same = same->next)
			if (!strcmp(same->address, loss->address) &&
			    same->at_ms >= from_ms &&
			    same->at_ms <= from_ms + QUAR_ZONE_MS)
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
		if (loss->at_ms > at_ms || loss->at_ms + QUAR_ZONE_MS < at_ms ||
		    strcmp(loss->zone, zone) != 0)
			continue;
		*from_ms = loss->at_ms;
		*nr_lost = losses_within(quar, zone, *from_ms);
		if (*nr_lost >= QUAR_ZONE_SERVERS)
			return true;
	}
	return false;
}

static uint32_t servers_suspected(const struct request *request)
{
	uint32_t i, j, nr = 0;

	for (i = 0; i < request->nr_suspects; i++) {
		const struct suspect *at = &request->suspects[i];

		if (at->cleared)
			continue;
		for (j = 0; j < i; j++)
			if (!request->suspects[j].cleared &&
			    !strcmp(request->suspects[j].address, at->address))
				break;
		nr += j == i ? 1 : 0;
	}
	return nr;
}

static void judge(struct quar *quar, struct request *request, uint64_t now_ms)
{
	if (request->told >= QUARANTINE_SERVERS)
		return;
	if (servers_suspected(request) < QUARANTINE_SERVERS)
		set_until(quar, request, 0);
	else if (!request->until_ms)
		set_until(quar, request, now_ms + QUARANTINE_MS);
}

static bool is_within(const struct suspect *suspect, const char *zone,
		      uint64_t from_ms)
{
	return !strcmp(suspect->zone, zone) && suspect->at_ms >= from_ms &&
	       suspect->at_ms <= from_ms + QUAR_ZONE_MS;
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

static bool add_suspect(struct request *request, const struct suspect *lost)
{
	uint32_t i;

	for (i = 0; i < request->nr_suspects; i++)
		if (request->suspects[i].incarnation == lost->incarnation &&
		    !strcmp(request->suspects[i].address, lost->address))
			return false;
	if (request->nr_suspects == SUSPECTS_MAX)
		return false;
	request->suspects[request->nr_suspects++] = *lost;
	return true;
}

enum quar_error quar_crash(struct quar *quar, const Aw__CrashReport *crash,
			   const char *zone)
{
	uint64_t now_ms = clk_now_ms(quar->clk), from_ms;
	size_t nr_lost;
	struct suspect lost = { 0 };
	struct request *request;

	if (crash->fingerprint.len != HASH_BYTES || !*crash->server_address ||
	    strlen(crash->server_address) >= ADDRESS_BYTES_MAX)
		return QUAR_ERR_INVALID;
	if (crash->age_ms >= QUARANTINE_MS || crash->age_ms > now_ms)
		return QUAR_OK;
	snprintf(lost.address, sizeof(lost.address), "%s",
		 crash->server_address);
	snprintf(lost.zone, sizeof(lost.zone), "%s", zone);
	lost.incarnation = crash->server_incarnation;
	lost.at_ms = now_ms - crash->age_ms;
	request = get_request(quar, &crash->fingerprint);
	if (!request)
		return QUAR_ERR_MEMORY;
	if (!add_suspect(request, &lost))
		return QUAR_OK;
	if (lost.at_ms > request->last_ms)
		request->last_ms = lost.at_ms;
	if (note_loss(quar, &lost))
		return QUAR_ERR_MEMORY;
	if (zone_failed(quar, zone, lost.at_ms, &from_ms, &nr_lost))
		clear_zone(quar, zone, from_ms, nr_lost, now_ms);
	judge(quar, request, now_ms);
	return QUAR_OK;
}

enum quar_error quar_hold(struct quar *quar, const Aw__Quarantine *held)
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
	request->last_ms = now_ms;
	request->told = held->servers_crashed > QUARANTINE_SERVERS ?
				held->servers_crashed :
				QUARANTINE_SERVERS;
	if (until_ms > request->until_ms)
		set_until(quar, request, until_ms);
	return QUAR_OK;
}

void quar_tick(struct quar *quar)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request, *next;
	struct loss *loss, *next_loss;

	DL_FOREACH_SAFE(quar->losses, loss, next_loss)
	{
		if (loss->at_ms + QUARANTINE_MS <= now_ms)
			drop_loss(quar, loss);
	}
	HASH_ITER(hh, quar->requests, request, next)
	{
		if (request->until_ms ?
			    request->until_ms <= now_ms :
			    request->last_ms + QUARANTINE_MS <= now_ms)
			drop_request(quar, request);
	}
}

uint64_t quar_version(const struct quar *quar)
{
	return quar->version;
}

size_t quar_count(const struct quar *quar)
{
	return quar->count;
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
		list[nr].servers_crashed = servers_suspected(request);
		if (list[nr].servers_crashed < request->told)
			list[nr].servers_crashed = request->told;
		nr++;
	}
	return nr;
}
