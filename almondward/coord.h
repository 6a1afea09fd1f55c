/*
 * coord: counts the requests of all entry instances at a backend server.
 *
 * Hundreds of instances share the requests for hundreds of servers, so each
 * sees too few of them to know how busy a server is or which objects it knows.
 * For each server one instance, its coordinator, is told of every request
 * before it is sent, counts it until it ends, and says what is under way. The
 * cost of a request does not depend on the number of instances.
 *
 * A coordinator only tells; whoever asks decides. Without an answer instances
 * go by what they know themselves. Decisions only: time comes from a clock.
 */
#ifndef COORD_H
#define COORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The end of a request may be lost on its way; it counts no longer. */
#define COORD_LIFETIME_MAX_MS 6000
/* A server that gets no requests for so long is forgotten. */
#define COORD_SERVER_IDLE_MS 60000
/* Objects of a server that are kept in order. Servers that know more are taken
 * to know so many. */
#define COORD_OBJECTS_MAX 32

struct coord;

struct coord_ask {
	uint64_t token; /* names the request at this coordinator */
	uint32_t server; /* hash of its id */
	uint32_t upstream; /* hash of its name */
	bool has_object;
	uint64_t object;
	uint32_t left_ms; /* until nobody waits for the request any more */
};

struct coord_told {
	uint32_t running; /* other requests at the server */
	bool knows; /* the object is one of the last that the server handled */
};

/* What the end of a request tells about its server. */
enum coord_end {
	COORD_UNTOLD, /* it was cut, or the server failed */
	COORD_KNEW, /* as fast as with an object that the server knows */
	COORD_DID_NOT_KNOW,
	COORD_NOT_SENT
};

/*
 * Returns NULL when memory is exhausted.
 */
struct coord *coord_create(struct clk *clk);
void coord_destroy(struct coord *coord);

/*
 * Counts a request and tells about the others. A token that is asked for again
 * is counted once. Returns -1 when memory is exhausted.
 */
int coord_ask(struct coord *coord, const struct coord_ask *ask,
	      struct coord_told *told);

/*
 * The request has ended. An unknown token is ignored: it may have ended by its
 * lifetime, or was asked for elsewhere.
 */
void coord_end(struct coord *coord, uint64_t token, enum coord_end end);

/*
 * Ends what has outlived its time. To be called several times a second.
 */
void coord_tick(struct coord *coord);

#ifdef __cplusplus
}
#endif

#endif
