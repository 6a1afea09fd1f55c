/*
 * exit_check: whether a server has exited, found by connecting to it.
 *
 * A refused connection proves the exit only if this instance reaches other
 * servers: one that has lost its links may have all connections refused. The
 * owner therefore also connects to other servers. Several may have exited at
 * the same time, so that one alone that cannot be reached means nothing; if
 * none can, the probes of reach decide.
 *
 * The module does no I/O and reads the time from a clock object.
 */
#ifndef EXIT_CHECK_H
#define EXIT_CHECK_H

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "loop.h"
#include "reach.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Other servers of one check. */
#define EXIT_CHECK_OTHERS_MAX 4

enum exit_check_state {
	EXIT_CHECK_PENDING,
	EXIT_CHECK_EXITED,
	EXIT_CHECK_UNPROVEN, /* it accepts connections, or does not respond */
	EXIT_CHECK_NO_LINKS /* this instance may have lost its links */
};

struct exit_check;

/*
 * Returns NULL when memory is exhausted. reach must outlive the check.
 */
struct exit_check *exit_check_create(struct clk *clk, struct reach *reach);
void exit_check_destroy(struct exit_check *check);

/*
 * Returns whether to connect to the server now. Report the result with
 * exit_check_server_done(). Call at least every 200 ms.
 */
bool exit_check_begin_server(struct exit_check *check);
void exit_check_server_done(struct exit_check *check,
			    enum loop_probe_result result);

/*
 * Returns how many other servers to connect to now, each of them once. Report
 * each result with exit_check_other_done(), a missing server as
 * LOOP_PROBE_NO_ANSWER. Call after each result.
 */
size_t exit_check_begin_others(struct exit_check *check);
void exit_check_other_done(struct exit_check *check,
			   enum loop_probe_result result);

/*
 * Call after each result and about every 20 ms, since it also depends on reach.
 */
enum exit_check_state exit_check_state(const struct exit_check *check);

#ifdef __cplusplus
}
#endif

#endif
