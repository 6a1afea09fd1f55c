#include "control_drain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Slots of one server that are taken out of use. */
struct moved {
	char address[ADDRESS_BYTES_MAX];
	uint32_t slots;
	UT_hash_handle hh;
};

struct budget {
	char upstream[NAME_BYTES_MAX];
	uint64_t milli_slots;
	UT_hash_handle hh;
};

struct last_step {
	char drain[NAME_BYTES_MAX];
	uint64_t at_ms;
	UT_hash_handle hh;
};

struct drain_state {
	struct moved *moved;
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
	struct moved *moved;
	struct budget *budget;
	struct last_step *step;

	if (!state)
		return;
	while ((moved = state->moved)) {
		HASH_DEL(state->moved, moved);
		free(moved);
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

static bool matches(const Aw__Drain *drain, const struct alloc_server *server)
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

static uint64_t slots_of(const struct alloc_server *servers, size_t nr,
			 const char *upstream, const Aw__Drain *drain)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < nr; i++)
		if (!strcmp(servers[i].upstream, upstream) &&
		    (!drain || matches(drain, &servers[i])))
			sum += servers[i].slots;
	return sum;
}

/*
 * Takes a share of the slots that a drain matches in one upstream. Slots are
 * taken one by one from the server that has most left, so a higher share takes
 * all that a lower one takes, and the sum is never above the share.
 */
static void take_share(const struct alloc_server *servers, size_t nr,
		       const char *upstream, const Aw__Drain *drain,
		       uint32_t share, uint32_t *taken)
{
	uint64_t left = slots_of(servers, nr, upstream, drain) * share / 1000;
	size_t i, best;

	for (; left; left--) {
		best = nr;
		for (i = 0; i < nr; i++) {
			if (strcmp(servers[i].upstream, upstream) != 0 ||
			    !matches(drain, &servers[i]) ||
			    taken[i] >= servers[i].slots)
				continue;
			if (best == nr ||
			    servers[i].slots - taken[i] >
				    servers[best].slots - taken[best])
				best = i;
		}
		if (best == nr)
			return;
		taken[best]++;
	}
}

/*
 * Slots taken from each server by all drains: where drains overlap, by the one
 * that takes most.
 */
static int take_all(const struct alloc_server *servers, size_t nr,
		    const Aw__Drain *const *drains, const uint32_t *shares,
		    size_t nr_drains, uint32_t *taken)
{
	uint32_t *one = calloc(nr + 1, sizeof(*one));
	size_t d, i, j;

	if (!one)
		return -1;
	for (d = 0; d < nr_drains; d++) {
		memset(one, 0, nr * sizeof(*one));
		for (i = 0; i < nr; i++) {
			for (j = 0; j < i; j++)
				if (!strcmp(servers[j].upstream,
					    servers[i].upstream))
					break;
			if (j < i)
				continue;
			take_share(servers, nr, servers[i].upstream, drains[d],
				   shares ? shares[d] :
					    drains[d]->share_permille,
				   one);
		}
		for (i = 0; i < nr; i++)
			if (one[i] > taken[i])
				taken[i] = one[i];
	}
	free(one);
	return 0;
}

static struct budget *find_budget(struct drain_state *state,
				  const char *upstream)
{
	struct budget *budget;

	HASH_FIND_STR(state->budgets, upstream, budget);
	return budget;
}

static struct moved *get_moved(struct drain_state *state, const char *address)
{
	struct moved *moved;

	HASH_FIND_STR(state->moved, address, moved);
	if (moved)
		return moved;
	moved = calloc(1, sizeof(*moved));
	if (!moved)
		return NULL;
	snprintf(moved->address, sizeof(moved->address), "%s", address);
	HASH_ADD_STR(state->moved, address, moved);
	return moved;
}

/*
 * More is taken at once, since the log has it; less only as far as the round
 * allows. The first call takes the drains as they are found.
 */
static void follow(struct drain_state *state, struct moved *moved,
		   const char *upstream, uint32_t taken)
{
	struct budget *budget = find_budget(state, upstream);
	uint64_t back;

	if (!state->applied || taken >= moved->slots) {
		moved->slots = taken;
		return;
	}
	back = moved->slots - taken;
	if (!budget || back > budget->milli_slots / 1000)
		back = budget ? budget->milli_slots / 1000 : 0;
	moved->slots -= (uint32_t)back;
	if (budget)
		budget->milli_slots -= back * 1000;
}

int drain_apply(struct drain_state *state, struct alloc_server *servers,
		size_t nr, const Aw__Drain *const *drains, size_t nr_drains)
{
	uint32_t *taken = calloc(nr + 1, sizeof(*taken)), left;
	struct moved *moved;
	size_t i;

	if (!taken || take_all(servers, nr, drains, NULL, nr_drains, taken)) {
		free(taken);
		return -1;
	}
	for (i = 0; i < nr; i++) {
		moved = get_moved(state, servers[i].address);
		if (!moved) {
			free(taken);
			return -1;
		}
		follow(state, moved, servers[i].upstream, taken[i]);
		left = servers[i].slots > moved->slots ?
			       servers[i].slots - moved->slots :
			       0;
		if (servers[i].usable > left)
			servers[i].usable = left;
	}
	state->applied = true;
	free(taken);
	return 0;
}

int drain_round(struct drain_state *state, const struct alloc_server *servers,
		size_t nr, const struct drain_upstream *ups, size_t nr_ups)
{
	uint64_t second, limit;
	struct budget *budget;
	size_t i;

	for (i = 0; i < nr_ups; i++) {
		budget = find_budget(state, ups[i].name);
		if (!budget) {
			budget = calloc(1, sizeof(*budget));
			if (!budget)
				return -1;
			snprintf(budget->upstream, sizeof(budget->upstream),
				 "%s", ups[i].name);
			HASH_ADD_STR(state->budgets, upstream, budget);
		}
		/*
		 * A cap below one slot a second is saved up; otherwise nothing
		 * is carried over, so no second moves more than the cap.
		 */
		second = slots_of(servers, nr, ups[i].name, NULL) *
			 ups[i].cap_permille;
		limit = second > 1000 ? second : 1000;
		budget->milli_slots += second;
		if (budget->milli_slots > limit)
			budget->milli_slots = limit;
	}
	return 0;
}

/*
 * The most that a share may rise in one step so that the ramp is not shorter
 * than planned, and the time between two steps.
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

static uint64_t moves(const struct alloc_server *servers, size_t nr,
		      const char *upstream, const Aw__Drain *drain,
		      uint32_t share)
{
	uint64_t slots = slots_of(servers, nr, upstream, drain);

	return slots * share / 1000 - slots * drain->share_permille / 1000;
}

static bool within_budgets(struct drain_state *state, const Aw__Drain *drain,
			   uint32_t share, const struct alloc_server *servers,
			   size_t nr)
{
	const struct budget *budget;
	uint64_t all = 0;
	size_t i;

	for (i = 0; i < nr; i++)
		all += matches(drain, &servers[i]) ? 1 : 0;
	for (budget = state->budgets; budget && all; budget = budget->hh.next)
		if (moves(servers, nr, budget->upstream, drain, share) * 1000 >
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

uint32_t drain_next(struct drain_state *state, const Aw__Drain *drain,
		    uint64_t now_ms, const struct alloc_server *servers,
		    size_t nr)
{
	struct last_step *step = get_step(state, drain->name);
	uint64_t interval_ms;
	uint32_t rise = ramp_step(drain, &interval_ms), share;
	struct budget *budget;

	if (!step || drain->share_permille >= 1000 ||
	    (step->at_ms && now_ms < step->at_ms + interval_ms))
		return drain->share_permille;
	if (rise > 1000 - drain->share_permille)
		rise = 1000 - drain->share_permille;
	share = drain->share_permille + rise;
	while (share > drain->share_permille &&
	       !within_budgets(state, drain, share, servers, nr))
		share--;
	if (share == drain->share_permille)
		return share;
	for (budget = state->budgets; budget; budget = budget->hh.next)
		budget->milli_slots -=
			1000 *
			moves(servers, nr, budget->upstream, drain, share);
	step->at_ms = now_ms;
	return share;
}

struct remaining {
	uint64_t total;
	uint64_t left;
};

static struct remaining remaining_slots(const struct alloc_server *servers,
					size_t nr, const uint32_t *taken,
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
		/* Silent and leaving servers have no usable slots. */
		if (servers[i].usable && taken[i] < servers[i].slots)
			sum.left += servers[i].slots - taken[i];
	}
	return sum;
}

static bool part_carries(const struct alloc_server *servers, size_t nr,
			 const uint32_t *taken, const struct drain_upstream *up,
			 const char *region, struct alloc_slots *slots,
			 char *text, size_t text_bytes)
{
	struct remaining sum =
		remaining_slots(servers, nr, taken, up->name, region);
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

static bool upstream_carries(const struct alloc_server *servers, size_t nr,
			     const uint32_t *taken, const Aw__Drain *drain,
			     const struct drain_upstream *up,
			     struct alloc_slots *slots, char *text,
			     size_t text_bytes)
{
	size_t i;

	if (!slots_of(servers, nr, up->name, drain))
		return true;
	if (!part_carries(servers, nr, taken, up, NULL, slots, text,
			  text_bytes))
		return false;
	if (up->cross_region)
		return true;
	for (i = 0; i < nr; i++)
		if (!strcmp(servers[i].upstream, up->name) &&
		    matches(drain, &servers[i]) &&
		    !part_carries(servers, nr, taken, up, servers[i].region,
				  slots, text, text_bytes))
			return false;
	return true;
}

bool drain_carries(const struct alloc_server *servers, size_t nr,
		   const Aw__Drain *const *drains, const uint32_t *shares,
		   size_t nr_drains, size_t subject,
		   const struct drain_upstream *ups, size_t nr_ups,
		   struct alloc_slots *slots, char *text, size_t text_bytes)
{
	uint32_t *taken = calloc(nr + 1, sizeof(*taken));
	bool carries = true;
	size_t i;

	if (!taken || take_all(servers, nr, drains, shares, nr_drains, taken)) {
		free(taken);
		snprintf(text, text_bytes, "out of memory");
		return false;
	}
	for (i = 0; i < nr_ups && carries; i++)
		carries = upstream_carries(servers, nr, taken, drains[subject],
					   &ups[i], slots, text, text_bytes);
	free(taken);
	return carries;
}
