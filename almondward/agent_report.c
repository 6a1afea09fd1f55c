#include "agent_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * A report that is being built, and its arrays. Strings point into the agent's
 * records.
 */
struct report_builder {
	Aw__Report report;
	Aw__Instance instance;
	Aw__TokenReport *tokens;
	Aw__TokenReport **token_list;
	Aw__TokenUse *uses;
	Aw__TokenUse **use_list;
	Aw__SlotReport *slots;
	Aw__SlotReport **slot_list;
	Aw__SlotDemand *demands;
	Aw__SlotDemand **demand_list;
	Aw__Server *servers;
	Aw__Server **server_list;
	Aw__CrashReport *crashes;
	Aw__CrashReport **crash_list;
	Aw__AnswerReport answers[CLEARED_REQUESTS_MAX];
	Aw__AnswerReport *answer_list[CLEARED_REQUESTS_MAX];
	Aw__Quarantine *quarantines;
	Aw__Quarantine **quarantine_list;
};

static size_t count_token_grants(struct agent *agent)
{
	struct bucket *bucket, *next;
	size_t nr = 0;

	HASH_ITER(hh, agent->buckets, bucket, next)
	{
		nr += bucket->nr_grants;
	}
	return nr;
}

static void free_builder(struct report_builder *builder)
{
	free(builder->tokens);
	free(builder->token_list);
	free(builder->uses);
	free(builder->use_list);
	free(builder->slots);
	free(builder->slot_list);
	free(builder->demands);
	free(builder->demand_list);
	free(builder->servers);
	free(builder->server_list);
	free(builder->crashes);
	free(builder->crash_list);
	free(builder->quarantines);
	free(builder->quarantine_list);
}

/* One element more than needed, so that no size is 0. */
#define ALLOC_ARRAY(nr, field) \
	(((field) = calloc((nr) + 1, sizeof(*(field)))) != NULL)
#define ALLOC_POINTERS(nr, field) \
	(((field) = calloc((nr) + 1, sizeof(void *))) != NULL)

static bool alloc_builder(struct agent *agent, struct report_builder *builder)
{
	size_t nr_buckets = HASH_COUNT(agent->buckets);
	size_t nr_uses = count_token_grants(agent);
	size_t nr_slots = HASH_COUNT(agent->slots);
	size_t nr_demands = HASH_COUNT(agent->demands);
	size_t nr_servers = HASH_COUNT(agent->servers);
	size_t nr_quarantines = HASH_COUNT(agent->quarantines);

	return ALLOC_ARRAY(nr_buckets, builder->tokens) &&
	       ALLOC_POINTERS(nr_buckets, builder->token_list) &&
	       ALLOC_ARRAY(nr_uses, builder->uses) &&
	       ALLOC_POINTERS(nr_uses, builder->use_list) &&
	       ALLOC_ARRAY(nr_slots, builder->slots) &&
	       ALLOC_POINTERS(nr_slots, builder->slot_list) &&
	       ALLOC_ARRAY(nr_demands, builder->demands) &&
	       ALLOC_POINTERS(nr_demands, builder->demand_list) &&
	       ALLOC_ARRAY(nr_servers, builder->servers) &&
	       ALLOC_POINTERS(nr_servers, builder->server_list) &&
	       ALLOC_ARRAY(agent->nr_crashes, builder->crashes) &&
	       ALLOC_POINTERS(agent->nr_crashes, builder->crash_list) &&
	       ALLOC_ARRAY(nr_quarantines, builder->quarantines) &&
	       ALLOC_POINTERS(nr_quarantines, builder->quarantine_list);
}

static void add_uses(struct report_builder *builder, struct bucket *bucket,
		     Aw__TokenReport *to, size_t *nr_uses)
{
	size_t i;

	to->uses = &builder->use_list[*nr_uses];
	for (i = 0; i < bucket->nr_grants; i++) {
		struct token_grant *grant = &bucket->grants[i];
		Aw__TokenUse *use = &builder->uses[*nr_uses];

		aw__token_use__init(use);
		use->term = grant->term;
		use->sequence = grant->sequence;
		use->used = grant->used;
		use->returned = grant->returned;
		grant->used_reported = grant->used;
		builder->use_list[(*nr_uses)++] = use;
		to->n_uses++;
	}
}

static void record_token_request(struct agent *agent, struct bucket *bucket,
				 uint64_t wanted)
{
	struct token_request *oldest = &bucket->requests[0];
	size_t i;

	for (i = 1; i < REPORTS_UNANSWERED_MAX; i++) {
		if (bucket->requests[i].sequence < oldest->sequence)
			oldest = &bucket->requests[i];
	}
	oldest->sequence = agent->sequence;
	oldest->tokens = wanted;
}

static void add_tokens(struct agent *agent, struct report_builder *builder)
{
	struct bucket *bucket, *next;
	size_t nr = 0, nr_uses = 0;

	HASH_ITER(hh, agent->buckets, bucket, next)
	{
		Aw__TokenReport *to = &builder->tokens[nr];

		tokens_return_excess(agent, bucket);
		aw__token_report__init(to);
		to->kind = bucket->kind;
		to->name = bucket->key + 1;
		if (!agent_tokens_retry_after_ms(agent, bucket->kind, to->name))
			to->wanted = tokens_wanted(agent, bucket);
		add_uses(builder, bucket, to, &nr_uses);
		if (!to->wanted && !to->n_uses)
			continue;
		record_token_request(agent, bucket, to->wanted);
		builder->token_list[nr++] = to;
	}
	builder->report.tokens = builder->token_list;
	builder->report.n_tokens = nr;
}

static void add_slots(struct agent *agent, struct report_builder *builder)
{
	struct agent_slot *slot, *next_slot;
	struct demand *demand, *next;
	size_t nr = 0;

	HASH_ITER(hh, agent->slots, slot, next_slot)
	{
		Aw__SlotReport *to = &builder->slots[nr];

		aw__slot_report__init(to);
		to->address = slot->key.address;
		to->incarnation = slot->key.incarnation;
		to->held = slot->held;
		to->in_use = slot->used;
		builder->slot_list[nr++] = to;
	}
	builder->report.slots = builder->slot_list;
	builder->report.n_slots = nr;
	nr = 0;
	HASH_ITER(hh, agent->demands, demand, next)
	{
		Aw__SlotDemand *to = &builder->demands[nr];

		aw__slot_demand__init(to);
		to->upstream = demand->upstream;
		to->in_use = demand->used_peak +
			     count_unusable_slots(agent, demand->upstream);
		to->queued = demand->queued_peak;
		demand->used_peak = demand->used;
		demand->queued_peak = demand->queued;
		builder->demand_list[nr++] = to;
	}
	builder->report.demands = builder->demand_list;
	builder->report.n_demands = nr;
}

static void add_server(struct agent *agent, struct report_builder *builder,
		       struct agent_server *server)
{
	Aw__Server *to = &builder->servers[builder->report.n_servers];
	uint64_t age_ms = clk_now_ms(agent->clk) - server->announced_ms;

	aw__server__init(to);
	to->upstream = server->upstream;
	to->address = server->address;
	to->zone = server->zone;
	to->slots = server->slots;
	to->incarnation = server->incarnation;
	to->sequence = server->sequence;
	to->age_ms = age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
	if (server->leaving)
		to->state = AW__SERVER_STATE__SERVER_LEAVING;
	else if (server->silent)
		to->state = AW__SERVER_STATE__SERVER_SILENT;
	builder->server_list[builder->report.n_servers++] = to;
	if (server->unconfirmed && !server->reported_sequence)
		server->reported_sequence = agent->sequence;
}

static void add_servers(struct agent *agent, struct report_builder *builder)
{
	struct agent_server *server, *next;

	builder->report.servers = builder->server_list;
	HASH_ITER(hh, agent->servers, server, next)
	{
		if (server->unconfirmed || agent->whole_table_due)
			add_server(agent, builder, server);
	}
	builder->report.whole_table = agent->whole_table_due;
	if (agent->whole_table_due && !agent->whole_table_sequence)
		agent->whole_table_sequence = agent->sequence;
}

static void add_quarantines(struct agent *agent, struct report_builder *builder)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct quarantine *entry, *next;
	size_t nr = 0;

	if (!agent->whole_table_due)
		return;
	HASH_ITER(hh, agent->quarantines, entry, next)
	{
		Aw__Quarantine *to = &builder->quarantines[nr];

		if (entry->until_ms <= now_ms)
			continue;
		aw__quarantine__init(to);
		to->fingerprint.data = entry->fingerprint;
		to->fingerprint.len = HASH_BYTES;
		to->expires_in_ms = (uint32_t)(entry->until_ms - now_ms);
		builder->quarantine_list[nr++] = to;
	}
	builder->report.quarantines = builder->quarantine_list;
	builder->report.n_quarantines = nr;
}

static void add_crashes(struct agent *agent, struct report_builder *builder)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	struct crash *crash;
	size_t nr = 0;

	for (crash = agent->crashes; crash; crash = crash->next) {
		Aw__CrashReport *to = &builder->crashes[nr];

		/* A new leader receives all crashes, decided ones too. */
		if (crash->decided && !agent->whole_table_due)
			continue;
		aw__crash_report__init(to);
		to->fingerprint.data = crash->fingerprint;
		to->fingerprint.len = HASH_BYTES;
		to->server_address = crash->address;
		to->server_incarnation = crash->incarnation;
		to->age_ms = (uint32_t)(now_ms - crash->noted_ms);
		if (!crash->reported_sequence)
			crash->reported_sequence = agent->sequence;
		builder->crash_list[nr++] = to;
	}
	builder->report.crashes = builder->crash_list;
	builder->report.n_crashes = nr;
}

static void add_cleared_requests(struct agent *agent,
				 struct report_builder *builder)
{
	uint64_t now_ms = clk_now_ms(agent->clk);
	size_t i;

	for (i = 0; i < agent->nr_cleared; i++) {
		struct cleared_request *from = &agent->cleared_requests[i];
		Aw__AnswerReport *to = &builder->answers[i];

		aw__answer_report__init(to);
		to->fingerprint.data = from->fingerprint;
		to->fingerprint.len = HASH_BYTES;
		to->age_ms = (uint32_t)(now_ms - from->cleared_ms);
		if (!from->reported_sequence)
			from->reported_sequence = agent->sequence;
		builder->answer_list[i] = to;
	}
	builder->report.answers = builder->answer_list;
	builder->report.n_answers = agent->nr_cleared;
}

static void add_header(struct agent *agent, struct report_builder *builder)
{
	Aw__Report *report = &builder->report;

	builder->instance = (Aw__Instance)AW__INSTANCE__INIT;
	builder->instance.name = agent->name;
	builder->instance.zone = agent->zone;
	builder->instance.address = agent->address;
	if (agent->leaving)
		builder->instance.state = AW__INSTANCE_STATE__INSTANCE_LEAVING;
	report->sequence = agent->sequence;
	report->known_state_version = view_version(agent->view);
	report->instance = &builder->instance;
	report->instance_incarnation = agent->incarnation;
	report->grant_term = agent->grant_term;
	report->grant_sequence = agent->grant_sequence;
	report->known_table_version = agent->table_version;
}

bool agent_send_report(struct agent *agent, bool periodic)
{
	struct report_builder builder = { .report = AW__REPORT__INIT };
	Aw__Frame frame = AW__FRAME__INIT;
	struct sent_report *sent;
	bool done = false;

	if (!alloc_builder(agent, &builder))
		goto out;
	agent->sequence++;
	if (periodic)
		tokens_end_interval(agent);
	add_header(agent, &builder);
	add_tokens(agent, &builder);
	add_slots(agent, &builder);
	add_servers(agent, &builder);
	add_crashes(agent, &builder);
	add_cleared_requests(agent, &builder);
	add_quarantines(agent, &builder);
	frame.body_case = AW__FRAME__BODY_REPORT;
	frame.report = &builder.report;
	/* The lease counts from before the frame can reach the leader. */
	sent = &agent->unanswered[agent->nr_unanswered];
	sent->sequence = agent->sequence;
	sent->sent_ms = clk_now_ms(agent->clk);
	if (!agent->ops.send(agent->arg, agent->leader->name, &frame))
		goto out;
	agent->nr_unanswered++;
	ctr_add(agent->reports, 1);
	done = true;
out:
	free_builder(&builder);
	return done;
}
