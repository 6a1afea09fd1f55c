/*
 * dec: a ring buffer of records that explain the decisions about a request,
 * found by request id.
 *
 * Records contain names, numbers and free-text reasons, but never a key, a
 * header or a body of a request.
 */
#ifndef DECISION_H
#define DECISION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buf.h"
#include "config.h"
#include "route.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DEC_RECORDS 10000
#define DEC_POLICIES_MAX 16
#define DEC_CHOICES_MAX 5
#define DEC_ALTERNATIVES_MAX 6
#define DEC_NOTE_BYTES_MAX 160

struct dec_ring;

/*
 * A later request may reuse a record. Every call therefore takes the request id
 * and does nothing if its record was overwritten.
 */
struct dec_ring *dec_create(size_t nr_records);
void dec_destroy(struct dec_ring *ring);

void dec_begin(struct dec_ring *ring, const char *request_id, uint64_t wall_ms);
void dec_subject(struct dec_ring *ring, const char *request_id,
		 const char *customer, const char *route, const char *upstream);
void dec_policy(struct dec_ring *ring, const char *request_id,
		enum cfg_setting setting, const struct cfg_decision *decision);

/*
 * Records the choice of a server: all candidates, a verdict for each, and the
 * index of the chosen one (-1: none). seen_age_ms is the age of the leader's
 * last reply, from which slots, silent servers and drains are known.
 */
void dec_choice(struct dec_ring *ring, const char *request_id,
		const struct route_candidate *candidates,
		const enum route_verdict *verdicts, size_t nr, int chosen,
		uint64_t now_ms, uint64_t seen_age_ms);

/*
 * Records the final response. refusal is REFUSAL_NONE if a server's response
 * was passed on; note may be "".
 */
void dec_end(struct dec_ring *ring, const char *request_id,
	     enum refusal refusal, uint32_t status, bool not_run,
	     uint32_t attempts, uint64_t duration_ms, const char *note);

enum dec_error { DEC_OK, DEC_ERR_MEMORY, DEC_ERR_NOT_FOUND };

/*
 * Appends the record as JSON.
 */
enum dec_error dec_format(const struct dec_ring *ring, const char *request_id,
			  struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
