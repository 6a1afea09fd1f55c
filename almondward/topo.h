/*
 * topo: the table of backend servers and entry instances of a seeded cluster.
 *
 * The leader of the control instances owns the table and sends it to all other
 * instances in feeds; they keep the state they received last. A control
 * instance that becomes the leader continues with its copy. The module does no
 * I/O and reads the time from a clock object.
 */
#ifndef TOPO_H
#define TOPO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "clock.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Two lost heartbeats (one every 1.5 s) and a network delay of the third. */
#define TOPO_SILENT_MS 4000
/* A server that is disconnected for a few seconds stays in the table. */
#define TOPO_SERVER_EXPIRY_MS 12000
/* Look-ups omit an entry instance whose link has been down for this time. */
#define TOPO_INSTANCE_EXPIRY_MS 700
#define TOPO_SLOTS_MAX 10000 /* per server */

struct topo;

struct topo_server {
	char id[NAME_BYTES_MAX]; /* identifies one start of a process */
	char upstream[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	uint32_t slots;
	uint64_t incarnation;
	uint64_t sequence;
	Aw__ServerState state;
	uint64_t last_heartbeat_ms;
	uint64_t cold_until_ms; /* 0: not cold */
	/* Until then heartbeats cannot shorten the warm-up. */
	uint64_t keep_cold_until_ms;
	uint64_t changed_version; /* table version of the last change */
};

enum topo_heartbeat_result {
	TOPO_ACCEPTED,
	/*
	 * Older than the table entry, or of an upstream that is not planned,
	 * unlike that of the entry; the table is unchanged.
	 */
	TOPO_STALE,
	TOPO_INVALID, /* a field is missing or out of range */
	TOPO_ERR_MEMORY
};

/*
 * Returns NULL when memory is exhausted.
 */
struct topo *topo_create(struct clk *clk);
void topo_destroy(struct topo *topo);

/*
 * Sets the function that tells whether the plan has an upstream. A server of an
 * upstream that it does not have is listed, as the plan may have it later, but
 * never takes the id or the address of one that it has. Without this function
 * every upstream counts as planned.
 */
void topo_set_planned(struct topo *topo,
		      bool (*is_planned)(void *arg, const char *upstream),
		      void *arg);

/* ---- leader ---- */

/*
 * Starts a term as leader. Every server counts as seen now, so none becomes
 * silent for the next TOPO_SILENT_MS.
 */
void topo_become_leader(struct topo *topo, uint64_t term);

/*
 * Returns whether the message describes a server that requests can be sent to:
 * names of limited length without control characters, an address that a
 * connection can be opened to, and numbers in range. Servers announce
 * themselves, so any field may have any value.
 */
bool topo_is_valid(const Aw__Server *server);

/*
 * Adds or updates a backend server from its heartbeat. Announcements of a
 * departure go to topo_leave() instead.
 */
enum topo_heartbeat_result topo_heartbeat(struct topo *topo,
					  const Aw__Server *from);

/*
 * Returns whether the announcement of a departure counts. One that names an
 * upstream that is not planned counts only for a server that the table lists
 * under that upstream: it must not end one that requests are sent to, nor one
 * that has yet to be listed.
 */
bool topo_may_leave(const struct topo *topo, const Aw__Server *from);

/*
 * Removes a server that leaves, if the table has this incarnation of it or an
 * earlier one. It gets no new requests.
 */
void topo_leave(struct topo *topo, const char *id, uint64_t incarnation);

/*
 * Treats the servers of a zone that takes traffic again as cold for
 * cold_ms(arg, upstream) milliseconds, because they may have become cold
 * without reporting it yet.
 */
void topo_mark_zone_cold(struct topo *topo, const char *zone,
			 uint32_t (*cold_ms)(void *arg, const char *upstream),
			 void *arg);

/*
 * Marks servers without recent heartbeats as SILENT and removes expired servers
 * and instances. Call it several times a second.
 */
void topo_tick(struct topo *topo);

/*
 * Report that the link to an entry instance is up or down. An instance stays
 * listed for TOPO_INSTANCE_EXPIRY_MS after its link went down; look-ups omit
 * it at once if it is leaving. topo_instance_up() returns -1 when memory is
 * exhausted.
 */
int topo_instance_up(struct topo *topo, const Aw__Instance *instance,
		     uint64_t incarnation);
void topo_instance_down(struct topo *topo, const char *name,
			uint64_t incarnation);

uint64_t topo_version(const struct topo *topo);
/* Changes whenever the list of instances changes. */
uint64_t topo_instances_version(const struct topo *topo);

/*
 * Fill a feed with the servers that changed since a table version of the
 * current term (0: all servers), or with all instances. Strings belong to the
 * table; topo_feed_release() frees the arrays and messages. Return -1 when
 * memory is exhausted.
 */
int topo_fill_feed(const struct topo *topo, uint64_t since_version,
		   Aw__Feed *feed);
int topo_fill_feed_instances(const struct topo *topo, Aw__Feed *feed);
void topo_feed_release(Aw__Feed *feed);

/* ---- followers ---- */

/*
 * Applies a feed of the leader; one of an earlier term is ignored. Returns -1
 * when memory is exhausted.
 */
int topo_apply_feed(struct topo *topo, const Aw__Feed *feed);

/* ---- access ---- */

uint64_t topo_term(const struct topo *topo);
const struct topo_server *topo_find(const struct topo *topo, const char *id);

/*
 * Calls fn for each server; fn must not change the table.
 */
void topo_each(const struct topo *topo,
	       void (*fn)(void *arg, const struct topo_server *server),
	       void *arg);
size_t topo_nr_servers(const struct topo *topo);

/*
 * Entry instances, valid until the next change.
 */
const Aw__Instance *const *topo_instances(const struct topo *topo, size_t *nr);

#ifdef __cplusplus
}
#endif

#endif
