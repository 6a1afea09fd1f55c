#include "quarantine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#define SUSPECTS_MAX 8 /* servers remembered for one request */

/* A server that a request may have crashed. */
struct suspect {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t at_ms;
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

/* A server that was lost lately. */
struct loss {
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint64_t at_ms;
	struct loss *prev, *next;
};

struct quar {
	struct clk *clk;
	uint64_t version;
	size_t count;
	struct request *requests;
	struct loss *losses; /* oldest first */
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

static enum quar_error note_loss(struct quar *quar, const char *address,
				 const char *zone, uint64_t now_ms)
{
	struct loss *loss, *next;

	DL_FOREACH_SAFE(quar->losses, loss, next)
	{
		if (loss->at_ms + QUAR_ZONE_MS < now_ms ||
		    !strcmp(loss->address, address))
			drop_loss(quar, loss);
	}
	loss = calloc(1, sizeof(*loss));
	if (!loss)
		return QUAR_ERR_MEMORY;
	snprintf(loss->address, sizeof(loss->address), "%s", address);
	snprintf(loss->zone, sizeof(loss->zone), "%s", zone);
	loss->at_ms = now_ms;
	DL_APPEND(quar->losses, loss);
	return QUAR_OK;
}

static bool zone_failed(const struct quar *quar, const char *zone)
{
	const struct loss *loss;
	size_t nr = 0;

	if (!*zone)
		return false;
	DL_FOREACH(quar->losses, loss)
	if (!strcmp(loss->zone, zone))
		nr++;
	return nr >= QUAR_ZONE_SERVERS;
}

static void judge(struct quar *quar, struct request *request, uint64_t now_ms)
{
	if (request->told >= QUARANTINE_SERVERS)
		return;
	if (request->nr_suspects < QUARANTINE_SERVERS)
		set_until(quar, request, 0);
	else if (!request->until_ms)
		set_until(quar, request, now_ms + QUARANTINE_MS);
}

static void clear_suspects(struct request *request, const char *zone,
			   uint64_t since_ms)
{
	uint32_t i, kept = 0;

	for (i = 0; i < request->nr_suspects; i++) {
		const struct suspect *suspect = &request->suspects[i];

		if (!strcmp(suspect->zone, zone) && suspect->at_ms >= since_ms)
			continue;
		request->suspects[kept++] = *suspect;
	}
	request->nr_suspects = kept;
}

/*
 * The losses of a failed zone say nothing about the requests that ran there.
 */
static void clear_zone(struct quar *quar, const char *zone, uint64_t now_ms)
{
	uint64_t since_ms = now_ms > QUAR_ZONE_MS ? now_ms - QUAR_ZONE_MS : 0;
	struct request *request;

	for (request = quar->requests; request; request = request->hh.next) {
		clear_suspects(request, zone, since_ms);
		judge(quar, request, now_ms);
	}
}

static void suspect(struct request *request, const char *address,
		    const char *zone, uint64_t now_ms)
{
	struct suspect *to;
	uint32_t i;

	request->last_ms = now_ms;
	for (i = 0; i < request->nr_suspects; i++)
		if (!strcmp(request->suspects[i].address, address))
			return;
	if (request->nr_suspects == SUSPECTS_MAX)
		return;
	to = &request->suspects[request->nr_suspects++];
	snprintf(to->address, sizeof(to->address), "%s", address);
	snprintf(to->zone, sizeof(to->zone), "%s", zone);
	to->at_ms = now_ms;
}

enum quar_error quar_crash(struct quar *quar, const Aw__CrashReport *crash,
			   const char *zone)
{
	uint64_t now_ms = clk_now_ms(quar->clk);
	struct request *request;

	if (crash->fingerprint.len != HASH_BYTES || !*crash->server_address ||
	    strlen(crash->server_address) >= ADDRESS_BYTES_MAX)
		return QUAR_ERR_INVALID;
	if (note_loss(quar, crash->server_address, zone, now_ms))
		return QUAR_ERR_MEMORY;
	if (zone_failed(quar, zone)) {
		clear_zone(quar, zone, now_ms);
		return QUAR_OK;
	}
	request = get_request(quar, &crash->fingerprint);
	if (!request)
		return QUAR_ERR_MEMORY;
	suspect(request, crash->server_address, zone, now_ms);
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
		list[nr].servers_crashed =
			request->nr_suspects > request->told ?
				request->nr_suspects :
				request->told;
		nr++;
	}
	return nr;
}
