/*
 * limit: the requests a second that a backend server in need takes from all
 * instances together.
 *
 * A server names its limit in its responses for as long as it applies. Each
 * instance receives only some of the responses, so what instances know of a
 * limit has the time at which it was observed, and the newest observation
 * replaces older ones, whoever made it.
 *
 * The coordinator of a server grants a permit for each request to it, at the
 * rate of the limit. Without a coordinator each instance grants its own permits
 * at an equal share of the rate.
 *
 * The module only makes decisions; time is passed in.
 */
#ifndef LIMIT_H
#define LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Permits that were not used within this time are lost. */
#define LIMIT_BURST_MS 500
/* A server that takes fewer requests is sent this number nevertheless: only a
 * response shows that the limit has changed. */
#define LIMIT_MIN_MILLI_PER_S 100
/* Requests that were sent without a permit are made up for later, but no more
 * than the requests of this time. */
#define LIMIT_DEBT_MAX_MS 4000
/* Denials are valid for at least this time, which limits the queries. */
#define LIMIT_DENIAL_MIN_MS 20
/* Callers that are refused for lack of permits return after this time at the
 * earliest. */
#define LIMIT_RETURN_MIN_MS 250
/* They are spread over at most this time; few would wait longer. */
#define LIMIT_RETURN_MAX_MS 5000

enum limit_state {
	LIMIT_UNKNOWN, /* nothing was observed yet */
	LIMIT_NONE, /* the server takes any number of requests */
	LIMIT_NAMED
};

struct limit {
	enum limit_state state;
	uint32_t milli_per_s; /* if state is LIMIT_NAMED */
	uint64_t observed_ms;
};

/*
 * Takes an observation unless it is older than the known one. Returns true if
 * the limit has changed. Until a limit was named, it stays unknown.
 */
bool limit_update(struct limit *limit, const struct limit *observed);

/* Permits for the requests to one server. */
struct limit_bucket {
	double permits;
	uint64_t filled_ms;
};

/*
 * Begins with this number of permits at since_ms, which may be past: further
 * ones are added from then on.
 */
void limit_bucket_start(struct limit_bucket *bucket, double permits,
			uint64_t since_ms);

/*
 * Takes a permit of a limit that nr_sharing instances share equally. Returns 0,
 * or the time until there is one.
 */
uint32_t limit_bucket_take(struct limit_bucket *bucket,
			   const struct limit *limit, uint32_t nr_sharing,
			   uint64_t now_ms);

/*
 * Counts a request that was sent without a permit. Returns whether there was
 * one.
 */
bool limit_bucket_charge(struct limit_bucket *bucket, const struct limit *limit,
			 uint64_t now_ms);

/*
 * Returns the permit of a request that was not sent.
 */
void limit_bucket_return(struct limit_bucket *bucket);

/*
 * When the callers return that an instance has refused for lack of permits to
 * the servers of an upstream. Starts as zeros.
 */
struct limit_returns {
	double permits_per_ms; /* that this instance used, on average */
	uint64_t measured_ms; /* when the average was last updated */
	uint64_t awaited_ms; /* return time of the next caller, if not past */
};

/*
 * Counts a request that was sent with a permit.
 */
void limit_returns_count(struct limit_returns *returns, uint64_t now_ms);

/*
 * Returns the milliseconds after which a caller should return: not before
 * permit_ms, when the next permit is due, and after the callers that were
 * refused before, at the rate at which this instance gets permits. If these
 * need more than LIMIT_RETURN_MAX_MS, draw, from 0 to 1, selects a time within
 * that.
 */
uint32_t limit_returns_next(struct limit_returns *returns, uint64_t permit_ms,
			    double draw, uint64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
