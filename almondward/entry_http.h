/*
 * The entry role's own HTTP answers: look-ups, announcements, operators.
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
 * What the answers are made from. Nothing is owned.
 */
struct http_context {
	const struct set_settings *settings;
	struct agent *agent;
	struct ctr_set *counters;
	struct dec_ring *decisions;
	bool leaving;
};

/*
 * Sends and deletes the object; NULL is answered with 500.
 */
void answer_json(struct http_exchange *exchange, uint32_t status, cJSON *root);
void answer_error(struct http_exchange *exchange, uint32_t status,
		  const char *error, const char *detail);

/*
 * True if the request carries this bearer token. Takes the same time wherever
 * the two differ.
 */
bool answer_token_ok(const struct http_request *req, const char *token);

/*
 * True if the target is this path, with or without a query.
 */
bool answer_path_is(const struct http_request *req, const char *path);

/*
 * Lifetime of look-up answers in seconds.
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
