/*
 * HTTP requests that an entry instance answers itself: look-ups, announcements
 * of backend servers and operator requests.
 */
#ifndef ENTRY_HTTP_H
#define ENTRY_HTTP_H

#include <stdbool.h>

#include <cjson/cJSON.h>

#include "agent.h"
#include "counter.h"
#include "decision.h"
#include "http.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the handlers need. Nothing is owned.
 */
struct http_context {
	const struct set_settings *settings;
	struct agent *agent;
	struct ctr_set *counters;
	struct dec_ring *decisions;
	bool leaving; /* graceful shutdown has begun */
};

/*
 * Sends the object as the answer and deletes it. If root is NULL, the answer is
 * 500.
 */
void answer_json(struct http_exchange *exchange, uint32_t status, cJSON *root);
void answer_error(struct http_exchange *exchange, uint32_t status,
		  const char *error, const char *detail);

/*
 * Returns true if the request carries this bearer token. The time does not
 * depend on where the two differ.
 */
bool answer_token_ok(const struct http_request *req, const char *token);

/*
 * Returns true if the target is this path, with or without a query.
 */
bool answer_path_is(const struct http_request *req, const char *path);

/*
 * Returns the lifetime of look-up answers in seconds.
 */
uint32_t answer_lookup_ttl_s(const struct http_context *context);

/*
 * Handlers; each answers the request before it returns.
 */
void answer_lookup(struct http_context *context, struct http_exchange *exchange,
		   const struct http_request *req);
void answer_announcement(struct http_context *context,
			 struct http_exchange *exchange,
			 const struct http_request *req);
void answer_operator(struct http_context *context,
		     struct http_exchange *exchange,
		     const struct http_request *req);

#ifdef __cplusplus
}
#endif

#endif
