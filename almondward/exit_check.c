#include "exit_check.h"

#include <stdlib.h>

/* An exiting process may close its connections before it stops listening, so an
 * accepted connection is repeated once after this time. */
#define REPEAT_MS 500

struct exit_check {
	struct clk *clk;
	struct reach *reach;
	uint64_t repeat_ms; /* when to connect to the server again */
	bool is_due; /* connect to the server, at repeat_ms or later */
	bool is_repetition;
	bool unproven;
	bool refused;
	uint64_t refused_ms;
	size_t nr_others; /* chosen so far */
	size_t nr_others_running;
	bool other_accepted;
};

struct exit_check *exit_check_create(struct clk *clk, struct reach *reach)
{
	struct exit_check *check = calloc(1, sizeof(*check));

	if (!check)
		return NULL;
	check->clk = clk;
	check->reach = reach;
	check->is_due = true;
	return check;
}

void exit_check_destroy(struct exit_check *check)
{
	free(check);
}

bool exit_check_begin_server(struct exit_check *check)
{
	uint64_t now_ms = clk_now_ms(check->clk);

	if (!check->is_due || now_ms < check->repeat_ms)
		return false;
	check->is_due = false;
	check->is_repetition = check->repeat_ms != 0;
	if (check->is_repetition)
		/* The links may have been lost since another server accepted. */
		check->other_accepted = false;
	else
		check->repeat_ms = now_ms + REPEAT_MS;
	return true;
}

/*
 * Lets reach decide if no other server accepted a connection.
 */
static void ask_reach(struct exit_check *check)
{
	if (check->refused && !check->other_accepted &&
	    !check->nr_others_running &&
	    check->nr_others == EXIT_CHECK_OTHERS_MAX)
		reach_check(check->reach);
}

void exit_check_server_done(struct exit_check *check,
			    enum loop_probe_result result)
{
	switch (result) {
	case LOOP_PROBE_REFUSED:
		check->refused = true;
		check->refused_ms = clk_now_ms(check->clk);
		ask_reach(check);
		break;
	case LOOP_PROBE_ACCEPTED:
		if (check->is_repetition)
			check->unproven = true;
		else
			check->is_due = true;
		break;
	case LOOP_PROBE_NO_ANSWER:
		check->unproven = true;
		break;
	}
}

size_t exit_check_begin_others(struct exit_check *check)
{
	size_t nr = !check->refused ? 1 : EXIT_CHECK_OTHERS_MAX;

	if (check->other_accepted || nr <= check->nr_others)
		return 0;
	nr -= check->nr_others;
	check->nr_others += nr;
	check->nr_others_running += nr;
	return nr;
}

void exit_check_other_done(struct exit_check *check,
			   enum loop_probe_result result)
{
	check->nr_others_running--;
	if (result == LOOP_PROBE_ACCEPTED)
		check->other_accepted = true;
	ask_reach(check);
}

enum exit_check_state exit_check_state(const struct exit_check *check)
{
	bool links_ok = reach_state(check->reach) == REACH_OK;

	if (check->unproven)
		return EXIT_CHECK_UNPROVEN;
	if (!check->refused)
		return EXIT_CHECK_PENDING;
	if (check->other_accepted ||
	    (links_ok && reach_connected_ms(check->reach) >= check->refused_ms))
		return EXIT_CHECK_EXITED;
	if (!links_ok && check->nr_others == EXIT_CHECK_OTHERS_MAX &&
	    !check->nr_others_running)
		return EXIT_CHECK_NO_LINKS;
	return EXIT_CHECK_PENDING;
}
