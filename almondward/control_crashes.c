#include <stdlib.h>
#include <string.h>

#include "control_cluster.h"
#include "fingerprint.h"
#include "quarantine.h"

/*
 * Requests that crash servers, at the leader: replicates which requests are
 * quarantined and, in a seeded cluster, evaluates the crash reports of all
 * entry instances and distributes the list of requests that they must refuse.
 */

/* Entries of the quarantine list, which is sent in a single message. */
#define LIST_MAX 1024
/* Not a valid list version: the records must be compared with the list. */
#define UNRECORDED UINT64_MAX
/* Interval between checks for expired entries. */
#define QUAR_TICK_MS 200
/* A list that changed less than this long after the last one waits for the next
 * tick: many reports may arrive at once, and each list goes to all instances. */
#define QUAR_FEED_INTERVAL_MS 5

static Aw__Quarantine *list_create(const struct quar *quar, size_t *nr)
{
	Aw__Quarantine *list =
		calloc(quar_nr_listed(quar) + 1, sizeof(Aw__Quarantine));

	*nr = list ? quar_list(quar, list,
			       quar_nr_listed(quar) < LIST_MAX ?
				       quar_nr_listed(quar) :
				       LIST_MAX) :
		     0;
	return list;
}

/* ---- the list for entry instances ---- */

int ctl_crashes_fill_feed(struct ctl *ctl, Aw__Feed *feed)
{
	Aw__Quarantine *list, **pointers;
	size_t nr, i;

	list = list_create(ctl->cluster->quar, &nr);
	pointers = calloc(nr + 1, sizeof(Aw__Quarantine *));
	if (!list || !pointers) {
		free(list);
		free(pointers);
		return -1;
	}
	for (i = 0; i < nr; i++)
		pointers[i] = &list[i];
	pointers[nr] = list;
	feed->quarantines = pointers;
	feed->n_quarantines = nr;
	feed->quarantines_included = true;
	return 0;
}

void ctl_crashes_release_feed(Aw__Feed *feed)
{
	if (feed->quarantines)
		free(feed->quarantines[feed->n_quarantines]);
	free(feed->quarantines);
}

uint64_t ctl_crashes_version(const struct ctl *ctl)
{
	return quar_version(ctl->cluster->quar);
}

/* ---- records ---- */

static void record_done(void *arg, Aw__ProposeStatus status,
			const Aw__OpResult *result)
{
	struct ctl *ctl = arg;

	(void)result;
	ctl->nr_quarantine_ops--;
	if (status != AW__PROPOSE_STATUS__PROPOSE_APPLIED)
		ctl->recorded_quarantines_version = UNRECORDED;
}

static void propose_record(struct ctl *ctl, const Aw__QuarantineRecord *record)
{
	Aw__Op op = AW__OP__INIT;
	char text[FPR_TEXT_BYTES];

	op.body_case = AW__OP__BODY_QUARANTINE;
	op.quarantine = (Aw__QuarantineRecord *)record;
	if (ctl_propose(ctl, &op, 0, record_done, ctl) !=
	    AW__PROPOSE_STATUS__PROPOSE_APPLIED) {
		ctl->recorded_quarantines_version = UNRECORDED;
		return;
	}
	ctl->nr_quarantine_ops++;
	ctl_count(ctl, "quarantines",
		  !record->until_ms ? "ended" :
		  record->trial	    ? "trial" :
				      "refused");
	event_log(EVENT_CRASH, "request=%s outcome=%s",
		  fpr_text(record->fingerprint.data, text),
		  !record->until_ms ? "released" :
		  record->trial	    ? "trial" :
				      "refused");
}

static bool is_recorded(const struct ctl *ctl, const Aw__Quarantine *listed)
{
	const Aw__QuarantineRecord *const *records;
	size_t nr, i;

	records = fleet_quarantines(ctl->fleet, &nr);
	for (i = 0; i < nr; i++)
		if (!memcmp(records[i]->fingerprint.data,
			    listed->fingerprint.data, HASH_BYTES))
			return records[i]->trial ==
			       (listed->state ==
				AW__QUARANTINE_STATE__QUARANTINE_TRIAL);
	return false;
}

static bool is_quarantined(const Aw__Quarantine *listed)
{
	return listed->state != AW__QUARANTINE_STATE__QUARANTINE_WATCHED;
}

/*
 * Proposes records for quarantined requests that have none yet.
 */
static void record_new(struct ctl *ctl, const Aw__Quarantine *list, size_t nr)
{
	Aw__QuarantineRecord msg = AW__QUARANTINE_RECORD__INIT;
	size_t i;

	for (i = 0; i < nr; i++) {
		if (!is_quarantined(&list[i]) || is_recorded(ctl, &list[i]))
			continue;
		msg.fingerprint = list[i].fingerprint;
		msg.until_ms = ctl_time_ms(ctl) + list[i].expires_in_ms;
		msg.trial =
			list[i].state == AW__QUARANTINE_STATE__QUARANTINE_TRIAL;
		propose_record(ctl, &msg);
	}
}

/*
 * Proposes the removal of records whose requests are no longer quarantined.
 */
static void record_released(struct ctl *ctl, const Aw__Quarantine *list,
			    size_t nr)
{
	const Aw__QuarantineRecord *const *records;
	Aw__QuarantineRecord msg = AW__QUARANTINE_RECORD__INIT;
	size_t nr_records, i, j;

	records = fleet_quarantines(ctl->fleet, &nr_records);
	for (i = 0; i < nr_records; i++) {
		for (j = 0; j < nr; j++)
			if (is_quarantined(&list[j]) &&
			    !memcmp(list[j].fingerprint.data,
				    records[i]->fingerprint.data, HASH_BYTES))
				break;
		if (j < nr)
			continue;
		msg.fingerprint = records[i]->fingerprint;
		propose_record(ctl, &msg);
	}
}

void ctl_quarantine_sync_records(struct ctl *ctl, const struct quar *quar)
{
	uint64_t version = quar_version(quar);
	Aw__Quarantine *list;
	size_t nr;

	if (ctl->recorded_quarantines_version == version ||
	    ctl->nr_quarantine_ops)
		return;
	list = list_create(quar, &nr);
	if (!list)
		return;
	ctl->recorded_quarantines_version = version;
	record_new(ctl, list, nr);
	record_released(ctl, list, nr);
	free(list);
}

static void restore(struct ctl *ctl, struct quar *quar,
		    const Aw__QuarantineRecord *record)
{
	Aw__Quarantine restored = AW__QUARANTINE__INIT;
	uint64_t now_ms = ctl_time_ms(ctl);

	if (record->until_ms <= now_ms)
		return;
	restored.fingerprint = record->fingerprint;
	restored.expires_in_ms = record->until_ms - now_ms < QUARANTINE_MS ?
					 (uint32_t)(record->until_ms - now_ms) :
					 QUARANTINE_MS;
	restored.state = record->trial ?
				 AW__QUARANTINE_STATE__QUARANTINE_TRIAL :
				 AW__QUARANTINE_STATE__QUARANTINE_REFUSED;
	if (quar_restore(quar, &restored))
		ctl_count(ctl, "quarantines", "lost");
}

void ctl_quarantine_restore(struct ctl *ctl, struct quar *quar)
{
	const Aw__QuarantineRecord *const *records;
	size_t nr, i;

	ctl->recorded_quarantines_version = UNRECORDED;
	records = fleet_quarantines(ctl->fleet, &nr);
	for (i = 0; i < nr; i++)
		restore(ctl, quar, records[i]);
}

/* ---- crash reports ---- */

/*
 * Returns whether a later process is known to have replaced the reported one.
 */
static bool is_replaced(const struct topo_server *server,
			const Aw__CrashReport *crash)
{
	return server && server->incarnation > crash->server_incarnation;
}

/*
 * Returns whether the server was already silent when the request was sent: then
 * it had exited before, or it was unreachable.
 */
static bool was_silent_before(const struct ctl *ctl,
			      const struct topo_server *server,
			      const Aw__CrashReport *crash)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	uint64_t age_ms = (uint64_t)crash->age_ms + crash->took_ms;

	return server && server->incarnation == crash->server_incarnation &&
	       now_ms >= age_ms &&
	       server->last_heartbeat_ms + TOPO_SILENT_MS <= now_ms - age_ms;
}

static void add_crash_report(struct ctl *ctl, Aw__CrashReport *crash)
{
	struct ctl_cluster *cluster = ctl->cluster;
	const struct topo_server *server =
		topo_find(cluster->topo, crash->server_id);

	/* A leaving server exits anyway: no evidence of a crash. */
	if (fleet_has_departed(ctl->fleet, crash->server_id,
			       crash->server_incarnation) ||
	    was_silent_before(ctl, server, crash)) {
		ctl_count(ctl, "crash_reports", "expected");
		return;
	}
	if (is_replaced(server, crash))
		crash->ended = true;
	if (quar_add_crash(cluster->quar, crash, crash->zone))
		ctl_count(ctl, "crash_reports", "refused");
	else
		ctl_count(ctl, "crash_reports",
			  crash->ended ? "ended" : "broke");
}

/*
 * Sends the changed list at once: a caller may repeat the request without a
 * pause, and each repeat crashes a further server.
 */
static void send_list(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;
	uint64_t now_ms = clk_now_ms(ctl->clk);

	/* Before the first tick of a term the list is that of an earlier one. */
	if (cluster->led_term != ctl->soft_term ||
	    now_ms < cluster->quar_feed_ms + QUAR_FEED_INTERVAL_MS)
		return;
	cluster->quar_feed_ms = now_ms;
	ctl_feed_tick(ctl);
}

void ctl_crashes_on_reports(struct ctl *ctl, const Aw__CrashNews *news)
{
	uint64_t version;
	size_t i;

	if (!ctl_leads(ctl) || !ctl->cluster->quar)
		return;
	version = quar_version(ctl->cluster->quar);
	for (i = 0; i < news->n_crashes; i++)
		add_crash_report(ctl, news->crashes[i]);
	for (i = 0; i < news->n_answers; i++)
		if (news->answers[i]->fingerprint.len == HASH_BYTES)
			quar_answered(ctl->cluster->quar,
				      news->answers[i]->fingerprint.data,
				      news->answers[i]->age_ms);
	if (quar_version(ctl->cluster->quar) != version)
		send_list(ctl);
}

void ctl_crashes_server_started(struct ctl *ctl, const Aw__Server *server)
{
	if (ctl->cluster->quar)
		quar_server_started(ctl->cluster->quar, server->address,
				    server->incarnation);
}

/* ---- leadership and periodic work ---- */

void ctl_crashes_tick(struct ctl *ctl)
{
	if (clk_now_ms(ctl->clk) >= ctl->cluster->quar_tick_ms + QUAR_TICK_MS) {
		ctl->cluster->quar_tick_ms = clk_now_ms(ctl->clk);
		quar_tick(ctl->cluster->quar);
	}
	ctl_quarantine_sync_records(ctl, ctl->cluster->quar);
}

int ctl_crashes_begin_term(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;

	quar_destroy(cluster->quar);
	cluster->quar = quar_create(ctl->clk, 1, &quar_seeded);
	if (!cluster->quar)
		return -1;
	ctl_quarantine_restore(ctl, cluster->quar);
	return 0;
}
