#include "control_drain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Slots of one server that drains withhold from use. */
struct withheld {
	char address[ADDRESS_BYTES_MAX];
	uint32_t slots;
	UT_hash_handle hh;
};

/* Slots of one upstream that may still be moved in this round. */
struct budget {
	char upstream[NAME_BYTES_MAX];
	uint64_t milli_slots;
	UT_hash_handle hh;
};

/* When the share of a drain was last raised. */
struct last_step {
	char drain[NAME_BYTES_MAX];
	uint64_t at_ms;
	UT_hash_handle hh;
};

struct drain_state {
	struct withheld *withheld;
	struct budget *budgets;
	struct last_step *steps;
	bool applied; /* drain_apply() was called */
};

struct drain_state *drain_create(void)
{
	return calloc(1, sizeof(struct drain_state));
}

void drain_destroy(struct drain_state *state)
{
	struct withheld *withheld;
	struct budget *budget;
	struct last_step *step;

	if (!state)
		return;
	while ((withheld = state->withheld)) {
		HASH_DEL(state->withheld, withheld);
		free(withheld);
	}
	while ((budget = state->budgets)) {
		HASH_DEL(state->budgets, budget);
		free(budget);
	}
	while ((step = state->steps)) {
		HASH_DEL(state->steps, step);
		free(step);
	}
	free(state);
}

static bool is_target(const Aw__Drain *drain, const struct alloc_server *server)
{
	switch (drain->target_kind) {
	case AW__DRAIN_TARGET__DRAIN_SERVER:
		return !strcmp(drain->target, server->address);
	case AW__DRAIN_TARGET__DRAIN_ZONE:
		return !strcmp(drain->target, server->zone);
	case AW__DRAIN_TARGET__DRAIN_REGION:
		return !strcmp(drain->target, server->region);
	default:
		return false;
	}
}

/*
 * Slots of an upstream, or of its servers that a drain matches.
 */
static uint64_t count_slots(const struct alloc_server *servers, size_t nr,
			    const char *upstream, const Aw__Drain *drain)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < nr; i++)
		if (!strcmp(servers[i].upstream, upstream) &&
		    (!drain || is_target(drain, &servers[i])))
			sum += servers[i].slots;
	return sum;
}

/*
 * Adds to drained[] the share of the slots that a drain matches in one
 * upstream. Slots are drained one by one from the server with the most slots
 * left, so a higher share includes every slot of a lower one and the sum never
 * exceeds the share.
 */
static void drain_share(const struct alloc_server *servers, size_t nr,
			const char *upstream, const Aw__Drain *drain,
			uint32_t share, uint32_t *drained)
{
	uint64_t remaining =
		count_slots(servers, nr, upstream, drain) * share / 1000;
	size_t i, best;

	for (; remaining; remaining--) {
		best = nr;
		for (i = 0; i < nr; i++) {
			if (strcmp(servers[i].upstream, upstream) != 0 ||
			    !is_target(drain, &servers[i]) ||
			    drained[i] >= servers[i].slots)
				continue;
			if (best == nr ||
			    servers[i].slots - drained[i] >
				    servers[best].slots - drained[best])
				best = i;
		}
		if (best == nr)
			return;
		drained[best]++;
	}
}

/*
 * Computes the slots that all drains together take from each server. Where
 * drains overlap, the one that takes the most slots counts. Uses the current
 * shares of the drains if shares is NULL.
 */
static int drain_all(const struct alloc_server *servers, size_t nr,
		     const Aw__Drain *const *drains, const uint32_t *shares,
		     size_t nr_drains, uint32_t *drained)
{
	uint32_t *by_drain = calloc(nr + 1, sizeof(*by_drain));
	size_t d, i, j;

	if (!by_drain)
		return -1;
	for (d = 0; d < nr_drains; d++) {
		memset(by_drain, 0, nr * sizeof(*by_drain));
		for (i = 0; i < nr; i++) {
			for (j = 0; j < i; j++)
				if (!strcmp(servers[j].upstream,
					    servers[i].upstream))
					break;
			if (j < i)
				continue;
			drain_share(servers, nr, servers[i].upstream, drains[d],
				    shares ? shares[d] :
					     drains[d]->share_permille,
				    by_drain);
		}
		for (i = 0; i < nr; i++)
			if (by_drain[i] > drained[i])
				drained[i] = by_drain[i];
	}
	free(by_drain);
	return 0;
}

static struct budget *find_budget(struct drain_state *state,
				  const char *upstream)
{
	struct budget *budget;

	HASH_FIND_STR(state->budgets, upstream, budget);
	return budget;
}

static struct withheld *get_withheld(struct drain_state *state,
				     const char *address)
{
	struct withheld *withheld;

	HASH_FIND_STR(state->withheld, address, withheld);
	if (withheld)
		return withheld;
	withheld = calloc(1, sizeof(*withheld));
	if (!withheld)
		return NULL;
	snprintf(withheld->address, sizeof(withheld->address), "%s", address);
	HASH_ADD_STR(state->withheld, address, withheld);
	return withheld;
}

/*
 * Updates the withheld slots of a server. An increase takes effect at once,
 * because the step is already in the log; a decrease only as far as the budget
 * of the round allows. The first drain_apply() takes over the drains as they
 * are.
 */
static void update_withheld(struct drain_state *state,
			    struct withheld *withheld, const char *upstream,
			    uint32_t drained)
{
	struct budget *budget = find_budget(state, upstream);
	uint64_t returned;

	if (!state->applied || drained >= withheld->slots) {
		withheld->slots = drained;
		return;
	}
	returned = withheld->slots - drained;
	if (!budget || returned > budget->milli_slots / 1000)
		returned = budget ? budget->milli_slots / 1000 : 0;
	withheld->slots -= (uint32_t)returned;
	if (budget)
		budget->milli_slots -= returned * 1000;
}

int drain_apply(struct drain_state *state, struct alloc_server *servers,
		size_t nr, const Aw__Drain *const *drains, size_t nr_drains)
{
	uint32_t *drained = calloc(nr + 1, sizeof(*drained)), left;
	struct withheld *withheld;
	size_t i;

	if (!drained ||
	    drain_all(servers, nr, drains, NULL, nr_drains, drained)) {
		free(drained);
		return -1;
	}
	for (i = 0; i < nr; i++) {
		withheld = get_withheld(state, servers[i].address);
		if (!withheld) {
			free(drained);
			return -1;
		}
		update_withheld(state, withheld, servers[i].upstream,
				drained[i]);
		left = servers[i].slots > withheld->slots ?
			       servers[i].slots - withheld->slots :
			       0;
		if (servers[i].usable > left)
			servers[i].usable = left;
	}
	state->applied = true;
	free(drained);
	return 0;
}

int drain_begin_round(struct drain_state *state,
		      const struct alloc_server *servers, size_t nr,
		      const struct drain_upstream *upstreams,
		      size_t nr_upstreams)
{
	uint64_t milli_slots_per_s, limit;
	struct budget *budget;
	size_t i;

	for (i = 0; i < nr_upstreams; i++) {
		budget = find_budget(state, upstreams[i].name);
		if (!budget) {
			budget = calloc(1, sizeof(*budget));
			if (!budget)
				return -1;
			snprintf(budget->upstream, sizeof(budget->upstream),
				 "%s", upstreams[i].name);
			HASH_ADD_STR(state->budgets, upstream, budget);
		}
		/*
		 * A cap below one slot per second accumulates until it reaches
		 * one slot. Otherwise nothing carries over, so that no more
		 * than the cap moves in any second.
		 */
		milli_slots_per_s =
			count_slots(servers, nr, upstreams[i].name, NULL) *
			upstreams[i].cap_permille;
		limit = milli_slots_per_s > 1000 ? milli_slots_per_s : 1000;
		budget->milli_slots += milli_slots_per_s;
		if (budget->milli_slots > limit)
			budget->milli_slots = limit;
	}
	return 0;
}

/*
 * Returns the maximum increase of the share in one step, and sets the time
 * between two steps, so that the ramp is not shorter than planned.
 */
static uint32_t ramp_step(const Aw__Drain *drain, uint64_t *interval_ms)
{
	*interval_ms = DRAIN_STEP_MS;
	if (drain->ramp_s >= 1000) {
		*interval_ms = drain->ramp_s;
		return 1;
	}
	return drain->ramp_s ? 1000 / drain->ramp_s : 1000;
}

/*
 * Slots of an upstream that move when the drain is raised to the share.
 */
static uint64_t moved_slots(const struct alloc_server *servers, size_t nr,
			    const char *upstream, const Aw__Drain *drain,
			    uint32_t share)
{
	uint64_t slots = count_slots(servers, nr, upstream, drain);

	return slots * share / 1000 - slots * drain->share_permille / 1000;
}

static bool within_budgets(struct drain_state *state, const Aw__Drain *drain,
			   uint32_t share, const struct alloc_server *servers,
			   size_t nr)
{
	const struct budget *budget;
	uint64_t nr_targets = 0;
	size_t i;

	for (i = 0; i < nr; i++)
		nr_targets += is_target(drain, &servers[i]) ? 1 : 0;
	for (budget = state->budgets; budget && nr_targets;
	     budget = budget->hh.next)
		if (moved_slots(servers, nr, budget->upstream, drain, share) *
			    1000 >
		    budget->milli_slots)
			return false;
	return true;
}

static struct last_step *get_step(struct drain_state *state, const char *name)
{
	struct last_step *step;

	HASH_FIND_STR(state->steps, name, step);
	if (step)
		return step;
	step = calloc(1, sizeof(*step));
	if (!step)
		return NULL;
	snprintf(step->drain, sizeof(step->drain), "%s", name);
	HASH_ADD_STR(state->steps, drain, step);
	return step;
}

uint32_t drain_next_share(struct drain_state *state, const Aw__Drain *drain,
			  uint64_t now_ms, const struct alloc_server *servers,
			  size_t nr)
{
	struct last_step *step = get_step(state, drain->name);
	uint64_t interval_ms;
	uint32_t increase = ramp_step(drain, &interval_ms), share;
	struct budget *budget;

	if (!step || drain->share_permille >= 1000 ||
	    (step->at_ms && now_ms < step->at_ms + interval_ms))
		return drain->share_permille;
	if (increase > 1000 - drain->share_permille)
		increase = 1000 - drain->share_permille;
	share = drain->share_permille + increase;
	while (share > drain->share_permille &&
	       !within_budgets(state, drain, share, servers, nr))
		share--;
	if (share == drain->share_permille)
		return share;
	for (budget = state->budgets; budget; budget = budget->hh.next)
		budget->milli_slots -=
			1000 * moved_slots(servers, nr, budget->upstream, drain,
					   share);
	step->at_ms = now_ms;
	return share;
}

/* Slots of servers, and those that drains leave in use. */
struct remaining {
	uint64_t total;
	uint64_t left;
};

static struct remaining remaining_slots(const struct alloc_server *servers,
					size_t nr, const uint32_t *drained,
					const char *upstream,
					const char *region)
{
	struct remaining sum = { 0, 0 };
	size_t i;

	for (i = 0; i < nr; i++) {
		if (strcmp(servers[i].upstream, upstream) != 0 ||
		    (region && strcmp(servers[i].region, region) != 0))
			continue;
		sum.total += servers[i].slots;
		/* The slots of silent and leaving servers are not usable. */
		if (servers[i].usable && drained[i] < servers[i].slots)
			sum.left += servers[i].slots - drained[i];
	}
	return sum;
}

/*
 * Checks one upstream, in one region or in all if region is NULL.
 */
static bool has_capacity(const struct alloc_server *servers, size_t nr,
			 const uint32_t *drained,
			 const struct drain_upstream *up, const char *region,
			 struct alloc_slots *slots, char *text,
			 size_t text_bytes)
{
	struct remaining sum =
		remaining_slots(servers, nr, drained, up->name, region);
	struct alloc_load load;

	alloc_slots_load(slots, up->name, region, &load);
	if ((uint64_t)load.demand * 1000 <=
	    sum.left * (1000 - up->headroom_permille))
		return true;
	snprintf(text, text_bytes,
		 "upstream %s%s%s: %llu of %llu slots remain, the load is %u "
		 "and %u permille must stay free",
		 up->name, region ? " in region " : "", region ? region : "",
		 (unsigned long long)sum.left, (unsigned long long)sum.total,
		 load.demand, up->headroom_permille);
	return false;
}

static bool upstream_has_capacity(const struct alloc_server *servers, size_t nr,
				  const uint32_t *drained,
				  const Aw__Drain *drain,
				  const struct drain_upstream *up,
				  struct alloc_slots *slots, char *text,
				  size_t text_bytes)
{
	size_t i;

	if (!count_slots(servers, nr, up->name, drain))
		return true;
	if (!has_capacity(servers, nr, drained, up, NULL, slots, text,
			  text_bytes))
		return false;
	if (up->cross_region)
		return true;
	for (i = 0; i < nr; i++)
		if (!strcmp(servers[i].upstream, up->name) &&
		    is_target(drain, &servers[i]) &&
		    !has_capacity(servers, nr, drained, up, servers[i].region,
				  slots, text, text_bytes))
			return false;
	return true;
}

bool drain_has_capacity(const struct alloc_server *servers, size_t nr,
			const Aw__Drain *const *drains, const uint32_t *shares,
			size_t nr_drains, size_t subject,
			const struct drain_upstream *upstreams,
			size_t nr_upstreams, struct alloc_slots *slots,
			char *text, size_t text_bytes)
{
	uint32_t *drained = calloc(nr + 1, sizeof(*drained));
	bool sufficient = true;
	size_t i;

	if (!drained ||
	    drain_all(servers, nr, drains, shares, nr_drains, drained)) {
		free(drained);
		snprintf(text, text_bytes, "out of memory");
		return false;
	}
	for (i = 0; i < nr_upstreams && sufficient; i++)
		sufficient = upstream_has_capacity(
			servers, nr, drained, drains[subject], &upstreams[i],
			slots, text, text_bytes);
	free(drained);
	return sufficient;
}
