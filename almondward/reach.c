#include "reach.h"

#include <stdlib.h>

/* No response for this long while attempts wait starts a round of probes. An
 * instance gets about 20 responses a second. */
#define QUIET_MS 450
/* Interval of rounds that find nothing, as while only slow requests run. */
#define ROUND_INTERVAL_MAX_MS 1800
#define PROBE_INTERVAL_MS 250 /* while no connection is established */
/*
 * Where servers are too busy for most new connections, all probes of a round may
 * fail although other connections succeed. The links count as lost only if
 * rounds have failed for this long and no connection was established.
 */
#define FAILED_MIN_MS 900
/* Established connections are in doubt when none responded for this long. */
#define RESPONDED_MS 1000
/*
 * After links that were lost again within FLAP_MS, twice as many connections in
 * a row must succeed before they are used again.
 */
#define FLAP_MS 10000
#define SUCCESSES_MAX 6 /* takes 1.5 s */

struct reach {
	struct clk *clk;
	enum reach_state state;
	size_t nr_attempts; /* without an outcome */
	/* Since when no server has responded although attempts wait. */
	uint64_t quiet_since_ms;
	uint64_t received_ms; /* the last response, 0: none */
	uint64_t connected_ms; /* the last connection, 0: none */
	bool connect_failed; /* since the last round began */

	/* The current round of probes, in REACH_OK. */
	bool in_round;
	/* Start of the first round since a connection was established, 0: none. */
	uint64_t first_round_ms;
	uint64_t round_ms; /* start of the current one */
	size_t round_size;
	size_t nr_started, nr_failed; /* probes of the round */
	uint64_t next_round_ms;
	uint64_t round_interval_ms; /* after rounds that found nothing */

	size_t nr_probes; /* without an outcome */
	uint64_t next_probe_ms; /* in the other states */
	uint64_t
		regained_ms; /* when the state last became REACH_OK, 0: never */
	uint32_t successes_needed;
	uint32_t nr_successes; /* in a row */
};

static uint64_t now_ms(const struct reach *reach)
{
	return clk_now_ms(reach->clk);
}

struct reach *reach_create(struct clk *clk)
{
	struct reach *reach = calloc(1, sizeof(*reach));

	if (!reach)
		return NULL;
	reach->clk = clk;
	reach->round_interval_ms = QUIET_MS;
	reach->successes_needed = 1;
	return reach;
}

void reach_destroy(struct reach *reach)
{
	free(reach);
}

void reach_attempt_begin(struct reach *reach)
{
	if (!reach->nr_attempts++)
		reach->quiet_since_ms = now_ms(reach);
}

void reach_attempt_end(struct reach *reach)
{
	reach->nr_attempts--;
}

static bool is_quiet(const struct reach *reach)
{
	return reach->nr_attempts &&
	       now_ms(reach) >= reach->quiet_since_ms + QUIET_MS;
}

void reach_received(struct reach *reach)
{
	reach->received_ms = now_ms(reach);
	reach->quiet_since_ms = reach->received_ms;
	reach->round_interval_ms = QUIET_MS;
	if (reach->state == REACH_CUT)
		reach->state = REACH_NO_NEW;
}

static void end_round(struct reach *reach)
{
	reach->in_round = false;
	reach->first_round_ms = 0;
	reach->nr_failed = 0;
	reach->connect_failed = false;
	reach->next_round_ms = now_ms(reach) + reach->round_interval_ms;
}

static void repeat_round(struct reach *reach)
{
	reach->in_round = false;
	reach->connect_failed = true;
	reach->next_round_ms = reach->round_ms + PROBE_INTERVAL_MS;
}

static void lose(struct reach *reach)
{
	uint64_t at_ms = now_ms(reach);

	if (reach->regained_ms && at_ms < reach->regained_ms + FLAP_MS) {
		reach->successes_needed *= 2;
		if (reach->successes_needed > SUCCESSES_MAX)
			reach->successes_needed = SUCCESSES_MAX;
	} else {
		reach->successes_needed = 1;
	}
	end_round(reach);
	reach->nr_successes = 0;
	reach->next_probe_ms = at_ms + PROBE_INTERVAL_MS;
	reach->state = is_quiet(reach) ? REACH_CUT : REACH_NO_NEW;
}

void reach_connected(struct reach *reach)
{
	reach->connected_ms = now_ms(reach);
	if (reach->state == REACH_OK) {
		end_round(reach);
		return;
	}
	if (++reach->nr_successes < reach->successes_needed)
		return;
	reach->state = REACH_OK;
	reach->regained_ms = now_ms(reach);
	/* Attempts that still wait were sent before the links returned. */
	reach->quiet_since_ms = reach->regained_ms;
	reach->round_interval_ms = QUIET_MS;
	end_round(reach);
}

/*
 * A connection that began before the links returned may fail after it, so a
 * failure soon after a success does not count.
 */
static void end_successes(struct reach *reach)
{
	if (now_ms(reach) > reach->connected_ms + PROBE_INTERVAL_MS)
		reach->nr_successes = 0;
}

void reach_connect_failed(struct reach *reach)
{
	reach->connect_failed = true;
	end_successes(reach);
}

void reach_check(struct reach *reach)
{
	reach->connect_failed = true;
	reach->next_round_ms = 0;
}

uint64_t reach_connected_ms(const struct reach *reach)
{
	return reach->connected_ms;
}

void reach_probe_begin(struct reach *reach)
{
	reach->nr_probes++;
}

void reach_probe_end(struct reach *reach, bool connected)
{
	uint64_t at_ms = now_ms(reach);

	reach->nr_probes--;
	if (connected) {
		if (reach->state == REACH_OK &&
		    reach->round_interval_ms < ROUND_INTERVAL_MAX_MS)
			reach->round_interval_ms *= 2;
		reach_connected(reach);
		return;
	}
	end_successes(reach);
	if (!reach->in_round || ++reach->nr_failed < reach->round_size)
		return;
	if (at_ms >= reach->first_round_ms + FAILED_MIN_MS)
		lose(reach);
	else
		repeat_round(reach);
}

static void begin_round(struct reach *reach, size_t nr_servers)
{
	reach->in_round = true;
	reach->round_ms = now_ms(reach);
	if (!reach->first_round_ms)
		reach->first_round_ms = reach->round_ms;
	reach->connect_failed = false;
	reach->nr_started = reach->nr_failed = 0;
	reach->round_size = nr_servers < REACH_ROUND_PROBES ?
				    nr_servers :
				    REACH_ROUND_PROBES;
}

/*
 * A round consists of one probe and, if that does not succeed soon, the others:
 * most rounds find nothing, and a probe costs a server time. After a round that
 * failed all probes start at once.
 */
static size_t probes_of_round(struct reach *reach, size_t nr_servers,
			      bool *new_round)
{
	size_t nr = 0;

	if (!reach->in_round) {
		if ((!reach->connect_failed && !is_quiet(reach)) ||
		    now_ms(reach) < reach->next_round_ms || !nr_servers)
			return 0;
		begin_round(reach, nr_servers);
		*new_round = true;
	}
	if (!reach->nr_started && reach->round_ms == reach->first_round_ms)
		nr = 1;
	else if (!reach->nr_started || reach->nr_failed ||
		 now_ms(reach) >= reach->round_ms + PROBE_INTERVAL_MS)
		nr = reach->round_size - reach->nr_started;
	reach->nr_started += nr;
	return nr;
}

size_t reach_tick(struct reach *reach, size_t nr_servers, bool *new_round)
{
	uint64_t at_ms = now_ms(reach);

	*new_round = false;
	if (reach->state == REACH_OK)
		return probes_of_round(reach, nr_servers, new_round);
	if (reach->state == REACH_NO_NEW && is_quiet(reach))
		reach->state = REACH_CUT;
	*new_round = true;
	if (at_ms < reach->next_probe_ms ||
	    reach->nr_probes >= REACH_PROBES_MAX)
		return 0;
	reach->next_probe_ms = at_ms + PROBE_INTERVAL_MS;
	return 1;
}

enum reach_state reach_state(const struct reach *reach)
{
	return reach->state;
}

const char *reach_state_name(enum reach_state state)
{
	static const char *const names[] = {
		[REACH_OK] = "ok",
		[REACH_NO_NEW] = "no_new_connections",
		[REACH_CUT] = "cut",
	};

	return names[state];
}

bool reach_may_use_established(const struct reach *reach, bool idempotent)
{
	if (reach->state != REACH_NO_NEW)
		return reach->state == REACH_OK;
	if (reach->received_ms &&
	    now_ms(reach) < reach->received_ms + RESPONDED_MS)
		return true;
	return idempotent && !reach->nr_attempts;
}
