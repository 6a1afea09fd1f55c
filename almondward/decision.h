/*
 * dec: a ring of explained decisions, by request id.
 *
 * Records hold names, numbers and written reasons; never a key, a header or a
 * body of a request.
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
 * A record may be reused by a later request; every call names the request id
 * and is ignored if the record has gone.
 */
struct dec_ring *dec_create(size_t nr_records);
void dec_destroy(struct dec_ring *ring);

void dec_begin(struct dec_ring *ring, const char *request_id, uint64_t wall_ms);
void dec_subject(struct dec_ring *ring, const char *request_id,
		 const char *customer, const char *route, const char *upstream);
void dec_policy(struct dec_ring *ring, const char *request_id,
		enum cfg_setting setting, const struct cfg_decision *decision);

/*
 * Choice of a server: all candidates, one verdict for each, the chosen one
 * (-1: none). seen_age_ms is the age of the leader's last answer, from which
 * slots, silence and drains are known.
 */
void dec_choice(struct dec_ring *ring, const char *request_id,
		const struct route_candidate *candidates,
		const enum route_verdict *verdicts, size_t nr, int chosen,
		uint64_t now_ms, uint64_t seen_age_ms);

/*
 * The final answer. refusal is REFUSAL_NONE for a passed-on response; note may
 * be "".
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
