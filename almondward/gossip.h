/*
 * gossip: datagrams between entry instances.
 *
 * Instances of a region tell each other what they have under way. All others
 * go to one instance and are for the owner. What is lost or late is made up for
 * by the next, or by going without.
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
	/* Called with datagrams for the owner; from is the sender's "IP:port". */
	void (*datagram)(void *arg, const char *from,
			 const Aw__Datagram *datagram);
	void *arg;
};

/*
 * Returns NULL with a logged cause on failure.
 */
struct gossip *gossip_create(const struct gossip_settings *settings);
void gossip_destroy(struct gossip *gossip);

/*
 * Sends a datagram to one instance. What cannot be sent is counted.
 */
void gossip_send(struct gossip *gossip, const char *address,
		 const Aw__Datagram *datagram);

/*
 * Sends what is due. To be called about every 20 ms.
 */
void gossip_tick(struct gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
