#include "control_soft.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "log.h"

/* Memory blocks that the current Grant points into. */
struct scratch {
	void **blocks;
	size_t nr;
	size_t max;
};

struct soft {
	struct clk *clk;
	struct ctr_set *counters;
	uint64_t term;
	uint64_t created_ms;
	/* State version that was last applied by soft_configure(). */
	uint64_t configured_state_version;
	/* Registry version that was last passed to the slots. */
	uint64_t seen_registry_version;
	bool configured;
	struct alloc_tokens *tokens;
	struct alloc_slots *slots;
	struct reg *reg;
	struct quar *quar;
	struct drain_state *drains;
	struct alloc_server *servers;
	size_t nr_servers;
	struct drain_upstream *upstreams;
	size_t nr_upstreams;
	Aw__Grant grant;
	struct scratch scratch;
};

struct soft *soft_create(struct clk *clk, uint64_t term, uint64_t first_version,
			 struct ctr_set *counters)
{
	struct soft *soft = calloc(1, sizeof(*soft));

	if (!soft)
		return NULL;
	soft->clk = clk;
	soft->counters = counters;
	soft->term = term;
	soft->created_ms = clk_now_ms(clk);
	soft->tokens = alloc_tokens_create(clk, term);
	soft->slots = alloc_slots_create(clk, term);
	soft->reg = reg_create(clk, first_version);
	soft->quar = quar_create(clk, 0, &quar_leased);
	soft->drains = drain_create();
	if (!soft->tokens || !soft->slots || !soft->reg || !soft->quar ||
	    !soft->drains) {
		soft_destroy(soft);
		return NULL;
	}
	return soft;
}

static void clear_scratch(struct scratch *scratch)
{
	size_t i;

	for (i = 0; i < scratch->nr; i++)
		free(scratch->blocks[i]);
	scratch->nr = 0;
}

void soft_destroy(struct soft *soft)
{
	if (!soft)
		return;
	clear_scratch(&soft->scratch);
	free(soft->scratch.blocks);
	free(soft->servers);
	free(soft->upstreams);
	alloc_tokens_destroy(soft->tokens);
	alloc_slots_destroy(soft->slots);
	reg_destroy(soft->reg);
	quar_destroy(soft->quar);
	drain_destroy(soft->drains);
	free(soft);
}

/*
 * Returns zeroed memory that is freed when the next Grant is built.
 */
static void *scratch_alloc(struct scratch *scratch, size_t nr, size_t size)
{
	void **grown, *block;

	if (scratch->nr == scratch->max) {
		size_t max = scratch->max ? 2 * scratch->max : 16;

		grown = realloc(scratch->blocks, max * sizeof(*grown));
		if (!grown)
			return NULL;
		scratch->blocks = grown;
		scratch->max = max;
	}
	block = calloc(nr + 1, size);
	if (block)
		scratch->blocks[scratch->nr++] = block;
	return block;
}

static void count(struct soft *soft, const char *name, const char *label)
{
	if (soft->counters)
		ctr_add(ctr_get(soft->counters, name, label), 1);
}

int soft_save_handover(struct soft *soft, struct buf *out)
{
	return alloc_tokens_save(soft->tokens, out) ? -1 : 0;
}

int soft_load_handover(struct soft *soft, const struct soft_handover *from)
{
	enum alloc_error err;

	if (!from->term || from->term + 1 != soft->term ||
	    soft->created_ms > from->received_ms + SOFT_HANDOVER_MS) {
		count(soft, "handovers", "none");
		return 0;
	}
	err = alloc_tokens_restore(soft->tokens, from->state.data,
				   from->state.len_bytes, from->received_ms);
	if (err == ALLOC_ERR_MEMORY)
		return -1;
	count(soft, "handovers", err ? "malformed" : "used");
	return 0;
}

uint64_t soft_table_version(const struct soft *soft)
{
	return reg_version(soft->reg) + quar_version(soft->quar);
}

/* ---- configuration ---- */

static uint64_t setting_value(const Aw__Config *config,
			      enum cfg_setting setting, const char *upstream)
{
	struct cfg_subject subject = { .upstream = upstream };
	struct cfg_decision decision;

	cfg_decide(config, setting, &subject, &decision);
	return decision.value;
}

/*
 * Returns whether any request to the upstream may go to another region, by the
 * default or by an exception for some customer, route or zone.
 */
static bool may_cross_region(const Aw__Config *config, const char *upstream)
{
	const char *name = cfg_setting_info(CFG_CROSS_REGION)->name;
	size_t i;

	if (setting_value(config, CFG_CROSS_REGION, upstream))
		return true;
	for (i = 0; i < config->n_exceptions; i++) {
		const Aw__Exception *exception = config->exceptions[i];

		if (!strcmp(exception->setting, name) && exception->value &&
		    (!*exception->upstream ||
		     !strcmp(exception->upstream, upstream)))
			return true;
	}
	return false;
}

static uint64_t longest_deadline_ms(const Aw__Config *config)
{
	const char *name = cfg_setting_info(CFG_DEADLINE_MS)->name;
	uint64_t longest_ms = setting_value(config, CFG_DEADLINE_MS, NULL);
	size_t i;

	for (i = 0; i < config->n_exceptions; i++)
		if (!strcmp(config->exceptions[i]->setting, name) &&
		    config->exceptions[i]->value > longest_ms)
			longest_ms = config->exceptions[i]->value;
	return longest_ms;
}

static int configure_tokens(struct soft *soft, const Aw__Config *config)
{
	size_t i;

	for (i = 0; i < config->n_customers; i++) {
		const Aw__Customer *customer = config->customers[i];

		if (alloc_tokens_set(soft->tokens,
				     AW__BUCKET_KIND__BUCKET_CUSTOMER,
				     customer->name,
				     (uint64_t)customer->rate_per_s * 1000,
				     customer->burst))
			return -1;
	}
	for (i = 0; i < config->n_links; i++) {
		const Aw__Link *link = config->links[i];

		if (alloc_tokens_set_link(soft->tokens, link->from_region,
					  link->to_region,
					  link->cap_kbit_per_s))
			return -1;
	}
	alloc_tokens_sweep(soft->tokens);
	return 0;
}

static int configure_upstreams(struct soft *soft, const Aw__Config *config)
{
	size_t nr = config->n_upstreams, i;
	struct alloc_upstream *upstreams = calloc(nr + 1, sizeof(*upstreams));
	struct drain_upstream *limits = calloc(nr + 1, sizeof(*limits));
	enum alloc_error err;

	if (!upstreams || !limits) {
		free(upstreams);
		free(limits);
		return -1;
	}
	for (i = 0; i < nr; i++) {
		const Aw__Upstream *from = config->upstreams[i];

		upstreams[i].name = from->name;
		upstreams[i].connections_max = from->connections_max;
		upstreams[i].cross_region =
			may_cross_region(config, from->name);
		limits[i].name = from->name;
		limits[i].cross_region = upstreams[i].cross_region;
		limits[i].cap_permille = (uint32_t)setting_value(
			config, CFG_SHIFT_CAP_PERMILLE, from->name);
		limits[i].headroom_permille = (uint32_t)setting_value(
			config, CFG_HEADROOM_PERMILLE, from->name);
	}
	err = alloc_slots_set_upstreams(soft->slots, upstreams, nr);
	free(upstreams);
	free(soft->upstreams);
	soft->upstreams = limits;
	soft->nr_upstreams = nr;
	return err ? -1 : 0;
}

static const char *region_of(const struct soft_view *view, const char *zone)
{
	const char *region = cfg_region_of_zone(view->config, zone);

	return region ? region : "";
}

/*
 * Passes the servers to the slots, with the slots that drains and silent or
 * leaving servers leave usable.
 */
static int refresh_servers(struct soft *soft, const struct soft_view *view)
{
	const Aw__Server *const *announced;
	struct alloc_server *servers;
	size_t nr, i;

	announced = reg_servers(soft->reg, &nr);
	servers = calloc(nr + 1, sizeof(*servers));
	if (!servers)
		return -1;
	for (i = 0; i < nr; i++) {
		struct alloc_server *to = &servers[i];

		to->upstream = announced[i]->upstream;
		to->address = announced[i]->address;
		to->zone = announced[i]->zone;
		to->region = region_of(view, announced[i]->zone);
		to->incarnation = announced[i]->incarnation;
		/* A leaving server does not count for the shares of drains. */
		if (announced[i]->state != AW__SERVER_STATE__SERVER_LEAVING)
			to->slots = announced[i]->slots;
		if (announced[i]->state == AW__SERVER_STATE__SERVER_ACTIVE)
			to->usable = announced[i]->slots;
	}
	free(soft->servers);
	soft->servers = servers;
	soft->nr_servers = nr;
	soft->seen_registry_version = reg_version(soft->reg);
	if (drain_apply(soft->drains, servers, nr, view->drains,
			view->nr_drains))
		return -1;
	return alloc_slots_set_servers(soft->slots, servers, nr) ? -1 : 0;
}

int soft_configure(struct soft *soft, const struct soft_view *view)
{
	if (configure_tokens(soft, view->config) ||
	    configure_upstreams(soft, view->config))
		return -1;
	alloc_slots_set_deadline(soft->slots,
				 longest_deadline_ms(view->config));
	soft->configured_state_version = view->state_version;
	soft->configured = true;
	return refresh_servers(soft, view);
}

static int refresh(struct soft *soft, const struct soft_view *view)
{
	reg_tick(soft->reg);
	quar_tick(soft->quar);
	if (!soft->configured ||
	    soft->configured_state_version != view->state_version)
		return soft_configure(soft, view);
	if (soft->seen_registry_version != reg_version(soft->reg))
		return refresh_servers(soft, view);
	return 0;
}

/* ---- Report and Grant ---- */

static const char *reg_error_name(enum reg_error err)
{
	switch (err) {
	case REG_OK:
		return "ok";
	case REG_ERR_MEMORY:
		return "memory";
	case REG_ERR_INVALID:
		return "invalid";
	case REG_ERR_STALE:
		return "stale";
	case REG_ERR_LEFT:
		return "left";
	case REG_ERR_REPLACED:
		return "replaced";
	}
	return "unknown";
}

static void add_crash_reports(struct soft *soft, const Aw__Report *report)
{
	bool is_new_leader =
		clk_now_ms(soft->clk) < soft->created_ms + FLEET_LEASE_MS;
	const Aw__Server *server;
	size_t i;

	for (i = 0; i < report->n_crashes; i++) {
		const Aw__CrashReport *crash = report->crashes[i];

		server = reg_find_server(soft->reg, crash->server_address);
		/*
		 * Without the server's zone, a crash cannot be distinguished
		 * from a failure of the zone. The report will be repeated, and
		 * a new leader learns the zone soon.
		 */
		if (!server && is_new_leader)
			continue;
		if (quar_add_crash(soft->quar, crash,
				   server ? server->zone : ""))
			count(soft, "crash_reports_refused", "");
	}
	for (i = 0; i < report->n_answers; i++)
		if (report->answers[i]->fingerprint.len == HASH_BYTES)
			quar_answered(soft->quar,
				      report->answers[i]->fingerprint.data,
				      report->answers[i]->age_ms);
	for (i = 0; report->whole_table && i < report->n_quarantines; i++)
		if (quar_restore(soft->quar, report->quarantines[i]))
			count(soft, "quarantines_refused", "");
}

static int process_report(struct soft *soft, const Aw__Report *report)
{
	enum reg_error err;
	size_t i;

	for (i = 0; i < report->n_servers; i++) {
		err = reg_update_server(soft->reg, report->servers[i]);
		if (err == REG_ERR_MEMORY)
			return -1;
		if (err)
			count(soft, "announcements_ignored",
			      reg_error_name(err));
	}
	reg_tick(soft->reg);
	add_crash_reports(soft, report);
	return 0;
}

static int add_tokens(struct soft *soft, const Aw__Report *report)
{
	size_t nr = report->n_tokens, i;
	Aw__TokenGrant *list, **pointers;

	list = scratch_alloc(&soft->scratch, nr, sizeof(*list));
	pointers = scratch_alloc(&soft->scratch, nr, sizeof(void *));
	if (!list || !pointers ||
	    alloc_tokens_report(soft->tokens, report, list))
		return -1;
	for (i = 0; i < nr; i++) {
		pointers[i] = &list[i];
		if (list[i].retry_after_ms)
			count(soft, "tokens_refused",
			      list[i].kind == AW__BUCKET_KIND__BUCKET_LINK ?
				      "link" :
				      "customer");
	}
	soft->grant.tokens = pointers;
	soft->grant.n_tokens = nr;
	return 0;
}

static int add_slots(struct soft *soft, const struct soft_view *view,
		     const Aw__Report *report)
{
	const Aw__SlotGrant *list;
	Aw__SlotGrant **pointers;
	size_t nr, i;

	if (alloc_slots_report(soft->slots, report,
			       region_of(view, report->instance->zone), &list,
			       &nr))
		return -1;
	pointers = scratch_alloc(&soft->scratch, nr, sizeof(void *));
	if (!pointers)
		return -1;
	for (i = 0; i < nr; i++)
		pointers[i] = (Aw__SlotGrant *)&list[i];
	soft->grant.slots = pointers;
	soft->grant.n_slots = nr;
	return 0;
}

static int add_quarantines(struct soft *soft)
{
	size_t nr = quar_nr_listed(soft->quar), i;
	Aw__Quarantine *list, **pointers;

	list = scratch_alloc(&soft->scratch, nr, sizeof(*list));
	pointers = scratch_alloc(&soft->scratch, nr, sizeof(void *));
	if (!list || !pointers)
		return -1;
	nr = quar_list(soft->quar, list, nr);
	for (i = 0; i < nr; i++)
		pointers[i] = &list[i];
	soft->grant.quarantines = pointers;
	soft->grant.n_quarantines = nr;
	return 0;
}

static int add_table(struct soft *soft, const Aw__Report *report)
{
	uint64_t version = soft_table_version(soft);
	const Aw__Instance *const *instances;
	const Aw__Server *const *servers;

	soft->grant.table_version = version;
	if (clk_now_ms(soft->clk) < soft->created_ms + SOFT_TABLE_WAIT_MS) {
		/*
		 * No table is included, so this must not be a version whose
		 * table the instance does not have.
		 */
		soft->grant.table_version = report->known_table_version;
		return 0;
	}
	if (report->grant_term == soft->term &&
	    report->known_table_version == version)
		return 0;
	instances = reg_instances(soft->reg, &soft->grant.n_instances);
	soft->grant.instances = (Aw__Instance **)instances;
	servers = reg_servers(soft->reg, &soft->grant.n_servers);
	soft->grant.servers = (Aw__Server **)servers;
	soft->grant.table_included = true;
	return add_quarantines(soft);
}

int soft_handle_report(struct soft *soft, const struct soft_view *view,
		       const Aw__Report *report, const Aw__Grant **grant)
{
	enum reg_error err;

	*grant = NULL;
	err = reg_update_instance(soft->reg, report);
	if (err == REG_ERR_MEMORY)
		return -1;
	if (err) {
		count(soft, "reports_ignored", reg_error_name(err));
		return 0;
	}
	clear_scratch(&soft->scratch);
	aw__grant__init(&soft->grant);
	soft->grant.sequence = report->sequence;
	soft->grant.term = soft->term;
	soft->grant.lease_ms = FLEET_LEASE_MS;
	soft->grant.state_version = view->state_version;
	if (report->known_state_version < view->state_version)
		soft->grant.state = view->state;
	if (process_report(soft, report) || refresh(soft, view) ||
	    add_tokens(soft, report) || add_slots(soft, view, report) ||
	    add_table(soft, report))
		return -1;
	count(soft, "grants", "");
	*grant = &soft->grant;
	return 0;
}

/* ---- drains ---- */

/*
 * Returns whether all instances have had time to report their load to this
 * leader.
 */
static bool is_load_known(const struct soft *soft)
{
	return clk_now_ms(soft->clk) >= soft->created_ms + FLEET_LEASE_MS;
}

static bool step_has_capacity(struct soft *soft, const struct soft_view *view,
			      size_t subject, uint32_t share)
{
	uint32_t *shares = calloc(view->nr_drains + 1, sizeof(*shares));
	char text[REASON_BYTES_MAX];
	bool sufficient;
	size_t i;

	if (!shares)
		return false;
	for (i = 0; i < view->nr_drains; i++)
		shares[i] = view->drains[i]->share_permille;
	shares[subject] = share;
	sufficient = drain_has_capacity(
		soft->servers, soft->nr_servers, view->drains, shares,
		view->nr_drains, subject, soft->upstreams, soft->nr_upstreams,
		soft->slots, text, sizeof(text));
	free(shares);
	if (!sufficient) {
		count(soft, "drain_steps_held", "headroom");
		log_debug("control", "drain %s: step postponed: %s",
			  view->drains[subject]->name, text);
	}
	return sufficient;
}

int soft_due_steps(struct soft *soft, const struct soft_view *view,
		   struct soft_step *steps, size_t max, size_t *nr)
{
	uint64_t now_ms = clk_now_ms(soft->clk);
	const Aw__Drain *drain;
	uint32_t share;
	size_t i;

	*nr = 0;
	if (!is_load_known(soft))
		return 0;
	if (refresh(soft, view) ||
	    drain_begin_round(soft->drains, soft->servers, soft->nr_servers,
			      soft->upstreams, soft->nr_upstreams))
		return -1;
	for (i = 0; i < view->nr_drains && *nr < max; i++) {
		drain = view->drains[i];
		if (drain->share_permille >= 1000)
			continue;
		share = drain_next_share(soft->drains, drain, now_ms,
					 soft->servers, soft->nr_servers);
		if (share <= drain->share_permille)
			continue;
		if (!drain->forced && !step_has_capacity(soft, view, i, share))
			continue;
		steps[*nr].name = drain->name;
		steps[*nr].share_permille = share;
		(*nr)++;
	}
	/*
	 * The rest of the budget is used to return slots of cancelled drains.
	 */
	return refresh_servers(soft, view);
}

bool soft_can_drain(struct soft *soft, const struct soft_view *view,
		    const Aw__Drain *drain, char *text, size_t text_bytes)
{
	size_t nr = view->nr_drains + 1, i;
	const Aw__Drain **drains = calloc(nr, sizeof(void *));
	uint32_t *shares = calloc(nr, sizeof(*shares));
	bool sufficient = false;

	if (!drains || !shares || refresh(soft, view)) {
		snprintf(text, text_bytes, "out of memory");
		goto out;
	}
	if (!is_load_known(soft)) {
		snprintf(text, text_bytes,
			 "the load is not known yet, a new leader began less "
			 "than %d ms ago",
			 FLEET_LEASE_MS);
		goto out;
	}
	/* Drains in progress will reach their full share. */
	for (i = 0; i < view->nr_drains; i++) {
		drains[i] = view->drains[i];
		shares[i] = 1000;
	}
	drains[i] = drain;
	shares[i] = 1000;
	sufficient = drain_has_capacity(soft->servers, soft->nr_servers, drains,
					shares, nr, i, soft->upstreams,
					soft->nr_upstreams, soft->slots, text,
					text_bytes);
out:
	free(drains);
	free(shares);
	return sufficient;
}

struct reg *soft_registry(struct soft *soft)
{
	return soft->reg;
}

struct quar *soft_quarantine(struct soft *soft)
{
	return soft->quar;
}

struct alloc_slots *soft_slots(struct soft *soft)
{
	return soft->slots;
}
