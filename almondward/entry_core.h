/*
 * core: the request pipeline of an entry instance.
 *
 * One state machine per request: admission, claim, queue, dispatch, answer. The
 * pipeline does no I/O itself: it reaches callers and backend servers through
 * callbacks and takes the time from a clock.
 */
#ifndef ENTRY_CORE_H
#define ENTRY_CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agent.h"
#include "clock.h"
#include "counter.h"
#include "decision.h"
#include "http.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct core;
struct backend; /* an HTTP call in progress, defined by the I/O code */

struct backend_call {
	const char *address;
	bool new_connection; /* not on a pooled connection */
	struct http_call http; /* http.done is not used */
	/*
	 * Called once with the outcome; returns true if the connection may be
	 * used again. The backend is invalid after the return. The I/O code
	 * then pools or closes the connection and calls
	 * core_process_pending().
	 */
	bool (*done)(void *arg, const struct http_outcome *outcome);
};

struct core_io {
	/* Sends a response to the caller. */
	void (*respond)(void *arg, struct http_exchange *exchange,
			const struct http_response *response);
	/*
	 * Sends a refusal to the caller. not_run: the request was certainly not
	 * executed, so the caller may resend it.
	 */
	void (*refuse)(void *arg, struct http_exchange *exchange,
		       enum refusal refusal, const char *detail,
		       const char *request_id, bool not_run,
		       uint32_t retry_after_ms);
	/* Sets the callback for a caller that closes the connection. */
	void (*on_abort)(void *arg, struct http_exchange *exchange,
			 void (*fn)(void *arg), void *fn_arg);
	/*
	 * Starts a call; done never runs before the return. Returns NULL if the
	 * call could not be started, in which case no byte was sent.
	 */
	struct backend *(*send)(void *arg, const struct backend_call *call);
	/* Closes the connection; done is not called. */
	void (*abort)(void *arg, struct backend *backend);
	/* Returns true if a byte of the response has arrived. */
	bool (*responding)(void *arg, const struct backend *backend);
};

struct core_settings {
	const char *name;
	const char *zone;
	struct agent *agent; /* not owned, like all below */
	struct clk *clk;
	struct ctr_set *counters;
	struct dec_ring *decisions;
};

/*
 * Returns NULL when memory is exhausted.
 */
struct core *core_create(const struct core_settings *settings,
			 const struct core_io *io, void *arg);

/*
 * Drops all requests without answering them and aborts their calls.
 */
void core_destroy(struct core *core);

/*
 * Starts a request that was received completely. It ends with exactly one call
 * of respond, refuse or the callback of on_abort.
 */
void core_start(struct core *core, struct http_exchange *exchange,
		const struct http_request *http);

/*
 * Makes a new request id, which contains the name of the instance.
 */
void core_make_id(const struct core *core, char id[REQUEST_ID_BYTES_MAX]);

/*
 * Call after the agent has applied a Grant.
 */
void core_state_changed(struct core *core);

/*
 * Call about every 10 ms.
 */
void core_tick(struct core *core);

/*
 * Dispatches queued requests and answers requests that were refused from a
 * queue. Every event handler ends with it: such requests are not answered
 * immediately, because a list must not change while it is iterated.
 */
void core_process_pending(struct core *core);

/*
 * Returns the number of unanswered requests and of pending cancellations.
 */
size_t core_active(const struct core *core);

#ifdef __cplusplus
}
#endif

#endif
