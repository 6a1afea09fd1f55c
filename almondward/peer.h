/*
 * peer: authenticated connections between instances.
 *
 * A frame is a protobuf message with length, version, sequence number and MAC.
 * A connection on which nothing was received for PEER_SILENT_MS is closed. The
 * instance that opened it connects again.
 */
#ifndef PEER_H
#define PEER_H

#include <stddef.h>
#include <stdint.h>

#include "almondward.pb-c.h"
#include "counter.h"
#include "loop.h"
#include "types.h"

#ifdef __cplusplus
extern "C" {
#endif

struct peer_node;
struct peer_link;

struct peer_settings {
	const char *name;
	Aw__Role role;
	const char *zone;
	uint64_t incarnation;
	const uint8_t *secret;
	size_t secret_bytes;
	const char *listen_address; /* NULL: accepts no connections */
	struct ctr_set *counters; /* may be NULL */
};

struct peer_ops {
	/* The other instance is authenticated; the link can be used. */
	void (*up)(void *arg, struct peer_link *link);
	/* The connection is closed; link is invalid after the return. */
	void (*down)(void *arg, struct peer_link *link);
	/* Any message other than a hello or a ping was received. */
	void (*frame)(void *arg, struct peer_link *link,
		      const Aw__Frame *frame);
	/* A ping with the leader that the other instance knows. May be NULL. */
	void (*ping)(void *arg, struct peer_link *link, const Aw__Ping *ping);
	/* The reply to peer_probe(). May be NULL. */
	void (*probed)(void *arg, struct peer_link *link,
		       uint32_t round_trip_ms);
};

enum loop_error peer_node_create(struct loop *loop,
				 const struct peer_settings *settings,
				 const struct peer_ops *ops, void *arg,
				 struct peer_node **node);
void peer_node_destroy(struct peer_node *node);

/*
 * Connects to an instance, and again after each lost connection. The instance
 * must identify itself by this name, otherwise the connection is closed.
 */
enum loop_error peer_node_add(struct peer_node *node, const char *name,
			      const char *address);

/*
 * Undoes peer_node_add(): closes the connection to the instance and does not
 * connect again.
 */
void peer_node_remove(struct peer_node *node, const char *name);

/*
 * Sets the list of control instances' addresses that pings contain.
 */
enum loop_error peer_node_set_controls(struct peer_node *node,
				       const char *const *controls, size_t nr);

/*
 * Returns the address that the node listens on, or NULL.
 */
const char *peer_node_address(const struct peer_node *node);

/*
 * Sets leader and term that pings contain. If they changed, sends a ping on
 * each connection at once.
 */
void peer_node_set_leader(struct peer_node *node, const char *leader,
			  uint64_t term);

/*
 * Queues a message for sending. Returns LOOP_ERR_MEMORY also if the frame is
 * over the size limit or too much is queued, and LOOP_ERR_CLOSED if the link is
 * not up.
 */
enum loop_error peer_send(struct peer_link *link, const Aw__Frame *frame);

/*
 * Sends a ping that the other instance replies to at once; the time until the
 * reply is passed to ops->probed. An instance of an earlier version does not
 * reply. Returns as peer_send().
 */
enum loop_error peer_probe(struct peer_link *link);

const char *peer_link_name(const struct peer_link *link);
Aw__Role peer_link_role(const struct peer_link *link);
const char *peer_link_zone(const struct peer_link *link);
uint64_t peer_link_incarnation(const struct peer_link *link);

/*
 * Sets and returns a pointer for the owner's use, initially NULL.
 */
void peer_link_set_data(struct peer_link *link, void *data);
void *peer_link_data(const struct peer_link *link);

#ifdef __cplusplus
}
#endif

#endif
