#include <stdlib.h>
#include <string.h>

#include "control_cluster.h"
#include "fingerprint.h"
#include "quarantine.h"

/*
 * Requests that crash servers, at the leader: records which are quarantined and,
 * in a seeded cluster, counts what all entry instances report and lists what
 * they have to refuse.
 */

/* One message has them all. */
#define LISTED_MAX 1024
/* No version of a list: the records are to be compared with it. */
#define UNRECORDED UINT64_MAX
/* What has expired is looked for this often. */
#define TICK_MS 200

static Aw__Quarantine *list_create(const struct quar *quar, size_t *nr)
{
	Aw__Quarantine *list =
		calloc(quar_count(quar) + 1, sizeof(Aw__Quarantine));

	*nr = list ? quar_list(quar, list,
			       quar_count(quar) < LISTED_MAX ?
				       quar_count(quar) :
				       LISTED_MAX) :
		     0;
	return list;
}

/* ---- the list for entry instances ---- */

int ctl_crashes_fill(struct ctl *ctl, Aw__Feed *feed)
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

void ctl_crashes_release(Aw__Feed *feed)
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
		ctl->seen_quarantines = UNRECORDED;
}

static void record(struct ctl *ctl, const Aw__QuarantineRecord *record)
{
	Aw__Op op = AW__OP__INIT;
	char text[FPR_TEXT_BYTES];

	op.body_case = AW__OP__BODY_QUARANTINE;
	op.quarantine = (Aw__QuarantineRecord *)record;
	if (ctl_propose(ctl, &op, 0, record_done, ctl) !=
	    AW__PROPOSE_STATUS__PROPOSE_APPLIED) {
		ctl->seen_quarantines = UNRECORDED;
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

static bool is_kept(const Aw__Quarantine *listed)
{
	return listed->state != AW__QUARANTINE_STATE__QUARANTINE_WATCHED;
}

static void record_new(struct ctl *ctl, const Aw__Quarantine *list, size_t nr)
{
	Aw__QuarantineRecord msg = AW__QUARANTINE_RECORD__INIT;
	size_t i;

	for (i = 0; i < nr; i++) {
		if (!is_kept(&list[i]) || is_recorded(ctl, &list[i]))
			continue;
		msg.fingerprint = list[i].fingerprint;
		msg.until_ms = ctl_time_ms(ctl) + list[i].expires_in_ms;
		msg.trial =
			list[i].state == AW__QUARANTINE_STATE__QUARANTINE_TRIAL;
		record(ctl, &msg);
	}
}

static void record_ended(struct ctl *ctl, const Aw__Quarantine *list, size_t nr)
{
	const Aw__QuarantineRecord *const *records;
	Aw__QuarantineRecord msg = AW__QUARANTINE_RECORD__INIT;
	size_t nr_records, i, at;

	records = fleet_quarantines(ctl->fleet, &nr_records);
	for (i = 0; i < nr_records; i++) {
		for (at = 0; at < nr; at++)
			if (is_kept(&list[at]) &&
			    !memcmp(list[at].fingerprint.data,
				    records[i]->fingerprint.data, HASH_BYTES))
				break;
		if (at < nr)
			continue;
		msg.fingerprint = records[i]->fingerprint;
		record(ctl, &msg);
	}
}

void ctl_quarantine_record(struct ctl *ctl, const struct quar *quar)
{
	uint64_t version = quar_version(quar);
	Aw__Quarantine *list;
	size_t nr;

	if (ctl->seen_quarantines == version || ctl->nr_quarantine_ops)
		return;
	list = list_create(quar, &nr);
	if (!list)
		return;
	ctl->seen_quarantines = version;
	record_new(ctl, list, nr);
	record_ended(ctl, list, nr);
	free(list);
}

static void hold(struct ctl *ctl, struct quar *quar,
		 const Aw__QuarantineRecord *record)
{
	Aw__Quarantine held = AW__QUARANTINE__INIT;
	uint64_t now_ms = ctl_time_ms(ctl);

	if (record->until_ms <= now_ms)
		return;
	held.fingerprint = record->fingerprint;
	held.expires_in_ms = record->until_ms - now_ms < QUARANTINE_MS ?
				     (uint32_t)(record->until_ms - now_ms) :
				     QUARANTINE_MS;
	held.state = record->trial ? AW__QUARANTINE_STATE__QUARANTINE_TRIAL :
				     AW__QUARANTINE_STATE__QUARANTINE_REFUSED;
	if (quar_hold(quar, &held))
		ctl_count(ctl, "quarantines", "lost");
}

void ctl_quarantine_hold(struct ctl *ctl, struct quar *quar)
{
	const Aw__QuarantineRecord *const *records;
	size_t nr, i;

	ctl->seen_quarantines = UNRECORDED;
	records = fleet_quarantines(ctl->fleet, &nr);
	for (i = 0; i < nr; i++)
		hold(ctl, quar, records[i]);
}

/* ---- what is reported ---- */

/*
 * Whether the process is known to have been replaced.
 */
static bool is_replaced(const struct topo_server *known,
			const Aw__CrashReport *crash)
{
	return known && known->incarnation > crash->server_incarnation;
}

/*
 * A server that was silent before the request was sent had ended by then, or
 * was cut off.
 */
static bool was_silent(const struct ctl *ctl, const struct topo_server *known,
		       const Aw__CrashReport *crash)
{
	uint64_t now_ms = clk_now_ms(ctl->clk);
	uint64_t age_ms = (uint64_t)crash->age_ms + crash->took_ms;

	return known && known->incarnation == crash->server_incarnation &&
	       now_ms >= age_ms &&
	       known->last_heartbeat_ms + TOPO_SILENT_MS <= now_ms - age_ms;
}

static void take_crash(struct ctl *ctl, Aw__CrashReport *crash)
{
	struct ctl_cluster *cluster = ctl->cluster;
	const struct topo_server *known =
		topo_find(cluster->topo, crash->server_id);

	/* A server that leaves ends anyway. */
	if (fleet_has_departed(ctl->fleet, crash->server_id,
			       crash->server_incarnation) ||
	    was_silent(ctl, known, crash)) {
		ctl_count(ctl, "crash_reports", "expected");
		return;
	}
	if (is_replaced(known, crash))
		crash->ended = true;
	if (quar_crash(cluster->quar, crash, crash->zone))
		ctl_count(ctl, "crash_reports", "refused");
	else
		ctl_count(ctl, "crash_reports",
			  crash->ended ? "ended" : "broke");
}

void ctl_crashes_news(struct ctl *ctl, const Aw__CrashNews *news)
{
	size_t i;

	if (!ctl_leads(ctl) || !ctl->cluster->quar)
		return;
	for (i = 0; i < news->n_crashes; i++)
		take_crash(ctl, news->crashes[i]);
	for (i = 0; i < news->n_answers; i++)
		if (news->answers[i]->fingerprint.len == HASH_BYTES)
			quar_answered(ctl->cluster->quar,
				      news->answers[i]->fingerprint.data,
				      news->answers[i]->age_ms);
}

void ctl_crashes_heard(struct ctl *ctl, const Aw__Server *server)
{
	const struct topo_server *known =
		topo_find(ctl->cluster->topo, server->id);

	if (ctl->cluster->quar &&
	    (!known || known->incarnation < server->incarnation))
		quar_started(ctl->cluster->quar, server->address,
			     server->incarnation);
}

/* ---- time ---- */

void ctl_crashes_tick(struct ctl *ctl)
{
	if (clk_now_ms(ctl->clk) >= ctl->cluster->quar_ms + TICK_MS) {
		ctl->cluster->quar_ms = clk_now_ms(ctl->clk);
		quar_tick(ctl->cluster->quar);
	}
	ctl_quarantine_record(ctl, ctl->cluster->quar);
}

int ctl_crashes_lead(struct ctl *ctl)
{
	struct ctl_cluster *cluster = ctl->cluster;

	quar_destroy(cluster->quar);
	cluster->quar = quar_create(ctl->clk, 1, &quar_seeded);
	if (!cluster->quar)
		return -1;
	ctl_quarantine_hold(ctl, cluster->quar);
	return 0;
}
