/*
 * gossip: datagrams between entry instances.
 *
 * The instances of a region send each other the requests that they have in
 * flight. All other datagrams go to a single instance and are passed to the
 * owner. Nothing is retransmitted: a lost or late datagram is superseded by the
 * next one, or its receiver does without.
 */
#ifndef GOSSIP_H
#define GOSSIP_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "counter.h"
#include "loop.h"
#include "settings.h"
#include "steer.h"
#include "topo.h"

#ifdef __cplusplus
extern "C" {
#endif

struct gossip;

struct gossip_settings {
	struct loop *loop;
	const struct set_cluster *cluster;
	const char *name; /* of this instance */
	uint64_t incarnation; /* of this process */
	const char *address; /* "IP:port" to listen on */
	struct steer *steer;
	const struct topo *topo;
	struct ctr_set *counters;
	/* Called with the datagrams for the owner; from is the sender's
	 * "IP:port". */
	void (*datagram)(void *arg, const char *from,
			 const Aw__Datagram *datagram);
	void *arg;
};

/*
 * Logs the cause and returns NULL on failure.
 */
struct gossip *gossip_create(const struct gossip_settings *settings);
void gossip_destroy(struct gossip *gossip);

/*
 * Sends a datagram to one instance. Datagrams that cannot be sent are counted.
 */
void gossip_send(struct gossip *gossip, const char *address,
		 const Aw__Datagram *datagram);

/*
 * Sends the reports that are due. Call about every 20 ms.
 */
void gossip_tick(struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
