#include "peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "frame.h"
#include "log.h"
#include "peer_queue.h"

#define PART "peer"
#define HELLO_VERSION 1
#define NONCE_BYTES 32
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 400
/* Connections that have not authenticated themselves yet. */
#define STRANGERS_MAX 64
/* A ping timer that is this late shows that the process did not run. */
#define FROZEN_MS 1000
/* The list of control instances is told when it has changed and, to be sure,
 * with every eighth ping: with hundreds of entry instances it was most of their
 * messages. */
#define PINGS_PER_LIST 8

/*
 * Both ends send a hello, which is authenticated by the cluster secret alone
 * and could be a replay. The session keys are bound to both hellos with their
 * nonces, so the first frame under a session key proves that the other end
 * knows the secret now. A ping is sent for that at once.
 */
enum link_state {
	LINK_CONNECTING,
	LINK_HELLO, /* waits for the hello of the other end */
	LINK_PROOF, /* waits for the first frame under the session key */
	LINK_UP
};

struct peer_target {
	struct peer_node *node;
	char name[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	struct peer_link *link;
	struct loop_timer *retry;
	struct peer_target *next;
};

struct peer_link {
	struct peer_node *node;
	struct peer_target *target; /* NULL: accepted */
	struct loop_conn *conn;
	struct loop_timer *timer;
	enum link_state state;
	struct frame_reader *reader;
	struct peer_queue *queue;
	struct buf own_hello; /* packed */
	uint64_t received_ms;
	uint64_t ticked_ms;
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	Aw__Role role;
	uint64_t incarnation;
	void *data;
	uint32_t nr_pings; /* sent */
	uint64_t told_controls; /* version of the list in the last of them */
	uint32_t busy; /* callbacks that run */
	bool dead;
	struct peer_link *prev, *next;
};

struct peer_node {
	struct loop *loop;
	struct peer_ops ops;
	void *arg;
	char name[NAME_BYTES_MAX];
	char zone[NAME_BYTES_MAX];
	Aw__Role role;
	uint64_t incarnation;
	uint8_t *secret;
	size_t secret_bytes;
	struct frame_key hello_key;
	struct ctr_set *counters;
	struct loop_listener *listener;
	struct peer_target *targets;
	struct peer_link *links;
	char leader[NAME_BYTES_MAX];
	uint64_t term;
	char **controls; /* named in pings */
	size_t nr_controls;
	uint64_t controls_version; /* changes with the list */
};

static uint64_t now_ms(const struct peer_node *node)
{
	return clk_now_ms(loop_clock(node->loop));
}

static void count(struct peer_node *node, const char *name, const char *label)
{
	if (node->counters)
		ctr_add(ctr_get(node->counters, name, label), 1);
}

/* ---- closing ---- */

static void link_free(struct peer_link *link)
{
	frame_reader_destroy(link->reader);
	buf_release(&link->own_hello);
	peer_queue_destroy(link->queue);
	free(link);
}

static void retry_later(struct peer_target *target)
{
	loop_timer_set(
		target->retry,
		RECONNECT_MIN_MS + randombytes_uniform(RECONNECT_MAX_MS -
						       RECONNECT_MIN_MS + 1));
}

static void link_unlink(struct peer_link *link)
{
	link->dead = true;
	if (link->conn)
		loop_conn_close(link->conn);
	link->conn = NULL;
	peer_queue_set_conn(link->queue, NULL);
	loop_timer_destroy(link->timer);
	link->timer = NULL;
	DL_DELETE(link->node->links, link);
	if (link->target)
		link->target->link = NULL;
}

/*
 * The down callback may destroy the node.
 */
static void link_end(struct peer_link *link)
{
	struct peer_node *node = link->node;

	link_unlink(link);
	if (link->target)
		retry_later(link->target);
	link->busy++;
	if (link->state == LINK_UP)
		node->ops.down(node->arg, link);
	link->busy--;
	if (!link->busy)
		link_free(link);
}

static void link_close(struct peer_link *link, const char *reason)
{
	log_warn(PART, "closing connection with %s (%s): %s",
		 *link->name ? link->name : "unknown peer",
		 loop_conn_peer(link->conn), reason);
	count(link->node, "peer_closed", reason);
	link_end(link);
}

/* ---- sending ---- */

/*
 * Counts bytes by the name of the message.
 */
static void count_sent(struct peer_node *node, const Aw__Frame *frame)
{
	const ProtobufCFieldDescriptor *field =
		protobuf_c_message_descriptor_get_field(&aw__frame__descriptor,
							frame->body_case);

	if (node->counters && field)
		ctr_add(ctr_get(node->counters, "peer_bytes_sent", field->name),
			aw__frame__get_packed_size(frame) + FRAME_HEAD_BYTES +
				FRAME_MAC_BYTES);
}

static enum loop_error send_frame(struct peer_link *link,
				  const Aw__Frame *frame)
{
	enum loop_error err = peer_queue_send(link->queue, frame);

	if (!err)
		count_sent(link->node, frame);
	return err;
}

enum loop_error peer_send(struct peer_link *link, const Aw__Frame *frame)
{
	if (link->dead || link->state != LINK_UP)
		return LOOP_ERR_CLOSED;
	return send_frame(link, frame);
}

static enum loop_error send_ping(struct peer_link *link)
{
	Aw__Ping ping = AW__PING__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	ping.leader = link->node->leader;
	ping.term = link->node->term;
	if (link->nr_pings++ % PINGS_PER_LIST == 0 ||
	    link->told_controls != link->node->controls_version) {
		ping.controls = link->node->controls;
		ping.n_controls = link->node->nr_controls;
		link->told_controls = link->node->controls_version;
	}
	frame.body_case = AW__FRAME__BODY_PING;
	frame.ping = &ping;
	return send_frame(link, &frame);
}

static int send_hello(struct peer_link *link)
{
	struct peer_node *node = link->node;
	Aw__Hello hello = AW__HELLO__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	uint8_t nonce[NONCE_BYTES];

	randombytes_buf(nonce, sizeof(nonce));
	hello.version = HELLO_VERSION;
	hello.name = node->name;
	hello.role = node->role;
	hello.zone = node->zone;
	hello.nonce.data = nonce;
	hello.nonce.len = sizeof(nonce);
	hello.incarnation = node->incarnation;
	frame.body_case = AW__FRAME__BODY_HELLO;
	frame.hello = &hello;
	if (buf_reserve(&link->own_hello, aw__frame__get_packed_size(&frame)))
		return -1;
	link->own_hello.len_bytes =
		aw__frame__pack(&frame, link->own_hello.data);
	return peer_queue_send(link->queue, &frame) ? -1 : 0;
}

/* ---- receiving ---- */

/*
 * Returns the fault of a hello, or NULL.
 */
static const char *hello_fault(const struct peer_link *link,
			       const Aw__Frame *frame)
{
	const Aw__Hello *hello;

	if (!frame || frame->body_case != AW__FRAME__BODY_HELLO)
		return "no_hello";
	hello = frame->hello;
	if (hello->version != HELLO_VERSION)
		return "hello_version";
	if (!*hello->name || strlen(hello->name) >= NAME_BYTES_MAX ||
	    strlen(hello->zone) >= NAME_BYTES_MAX ||
	    hello->nonce.len != NONCE_BYTES ||
	    (hello->role != AW__ROLE__ROLE_CONTROL &&
	     hello->role != AW__ROLE__ROLE_ENTRY))
		return "hello_invalid";
	if (link->target && strcmp(link->target->name, hello->name) != 0)
		return "name_mismatch";
	/* Also a connection to itself, or its own hello sent back. */
	if (!strcmp(hello->name, link->node->name))
		return "own_name";
	return NULL;
}

static int append_sized(struct buf *out, const uint8_t *data, size_t len_bytes)
{
	uint32_t size = (uint32_t)len_bytes;

	if (buf_append(out, &size, sizeof(size)))
		return -1;
	return buf_append(out, data, len_bytes);
}

static int start_session(struct peer_link *link, const uint8_t *peer_hello,
			 size_t peer_hello_bytes)
{
	const struct peer_node *node = link->node;
	const struct buf *own = &link->own_hello;
	bool caller = link->target != NULL;
	struct buf hellos = BUF_INIT;
	struct frame_key own_key, key;
	int ret = -1;

	/* First that of the end that connected. */
	if (caller && append_sized(&hellos, own->data, own->len_bytes))
		goto out;
	if (append_sized(&hellos, peer_hello, peer_hello_bytes))
		goto out;
	if (!caller && append_sized(&hellos, own->data, own->len_bytes))
		goto out;
	frame_derive_key(&own_key, node->secret, node->secret_bytes,
			 caller ? "connector" : "acceptor", &hellos);
	frame_derive_key(&key, node->secret, node->secret_bytes,
			 caller ? "acceptor" : "connector", &hellos);
	frame_reader_set_key(link->reader, &key, FRAME_BODY_BYTES_MAX);
	peer_queue_set_key(link->queue, &own_key);
	sodium_memzero(&own_key, sizeof(own_key));
	sodium_memzero(&key, sizeof(key));
	ret = 0;

out:
	buf_release(&hellos);
	return ret;
}

static void on_hello(struct peer_link *link, const uint8_t *body,
		     size_t len_bytes)
{
	Aw__Frame *frame = aw__frame__unpack(NULL, len_bytes, body);
	const char *fault = hello_fault(link, frame);

	if (!fault) {
		snprintf(link->name, sizeof(link->name), "%s",
			 frame->hello->name);
		snprintf(link->zone, sizeof(link->zone), "%s",
			 frame->hello->zone);
		link->role = frame->hello->role;
		link->incarnation = frame->hello->incarnation;
		link->state = LINK_PROOF;
		if (start_session(link, body, len_bytes) || send_ping(link))
			fault = "memory";
	}
	if (frame)
		aw__frame__free_unpacked(frame, NULL);
	if (fault)
		link_close(link, fault);
}

static void warn_about_namesakes(const struct peer_link *link)
{
	struct peer_link *other;

	DL_FOREACH(link->node->links, other)
	{
		if (other == link || other->state != LINK_UP ||
		    other->incarnation == link->incarnation ||
		    strcmp(other->name, link->name) != 0)
			continue;
		log_warn(PART,
			 "%s (%s) has another incarnation than (%s): "
			 "restarted, or two instances with one name",
			 link->name, loop_conn_peer(link->conn),
			 loop_conn_peer(other->conn));
		count(link->node, "peer_namesakes", link->name);
	}
}

static void link_up(struct peer_link *link)
{
	struct peer_node *node = link->node;

	link->state = LINK_UP;
	log_info(PART, "connected with %s (%s)", link->name,
		 loop_conn_peer(link->conn));
	count(node, "peer_connected", link->name);
	warn_about_namesakes(link);
	node->ops.up(node->arg, link);
}

static void on_session_frame(struct peer_link *link, const uint8_t *body,
			     size_t len_bytes)
{
	struct peer_node *node = link->node;
	Aw__Frame *frame = aw__frame__unpack(NULL, len_bytes, body);

	if (!frame || frame->body_case == AW__FRAME__BODY_HELLO) {
		if (frame)
			aw__frame__free_unpacked(frame, NULL);
		link_close(link, "message_invalid");
		return;
	}
	if (link->state == LINK_PROOF)
		link_up(link);
	if (!link->dead && frame->body_case == AW__FRAME__BODY_PING) {
		if (node->ops.ping)
			node->ops.ping(node->arg, link, frame->ping);
	} else if (!link->dead &&
		   frame->body_case != AW__FRAME__BODY__NOT_SET) {
		node->ops.frame(node->arg, link, frame);
	}
	aw__frame__free_unpacked(frame, NULL);
}

static void on_data(void *arg, struct loop_conn *conn, const uint8_t *data,
		    size_t len_bytes)
{
	struct peer_link *link = arg;
	size_t used_bytes, body_bytes;
	enum frame_error err;
	const uint8_t *body;

	(void)conn;
	link->received_ms = now_ms(link->node);
	link->busy++;
	while (!link->dead && len_bytes) {
		err = frame_read(link->reader, data, len_bytes, &used_bytes);
		data += used_bytes;
		len_bytes -= used_bytes;
		if (err == FRAME_MORE)
			break;
		if (err) {
			link_close(link, frame_error_name(err));
			break;
		}
		body = frame_reader_body(link->reader, &body_bytes);
		if (link->state == LINK_HELLO)
			on_hello(link, body, body_bytes);
		else
			on_session_frame(link, body, body_bytes);
	}
	link->busy--;
	if (link->dead && !link->busy)
		link_free(link);
}

/* ---- links ---- */

static void on_opened(void *arg, struct loop_conn *conn)
{
	struct peer_link *link = arg;

	(void)conn;
	link->state = LINK_HELLO;
	link->received_ms = now_ms(link->node);
	if (send_hello(link))
		link_close(link, "memory");
}

static void on_drained(void *arg, struct loop_conn *conn)
{
	(void)conn;
	peer_queue_drained(((struct peer_link *)arg)->queue);
}

static void on_closed(void *arg, struct loop_conn *conn, enum loop_close reason)
{
	struct peer_link *link = arg;

	(void)conn;
	if (reason == LOOP_CLOSE_CONNECT_FAILED)
		log_debug(PART, "cannot connect to %s (%s)", link->target->name,
			  link->target->address);
	else
		log_info(PART, "lost connection with %s (%s)",
			 *link->name ? link->name : "unknown peer",
			 loop_conn_peer(link->conn));
	link->conn = NULL;
	link_end(link);
}

static const struct loop_conn_ops link_ops = {
	.opened = on_opened,
	.data = on_data,
	.drained = on_drained,
	.closed = on_closed,
};

static void on_tick(void *arg)
{
	struct peer_link *link = arg;
	uint64_t now = now_ms(link->node);

	/* What the other end sent meanwhile is still to be read. */
	if (now - link->ticked_ms > PEER_PING_MS + FROZEN_MS)
		link->received_ms = now;
	link->ticked_ms = now;
	loop_timer_set(link->timer, PEER_PING_MS);
	if (link->state == LINK_CONNECTING)
		return;
	if (now - link->received_ms > PEER_SILENT_MS) {
		link_close(link, "silent");
		return;
	}
	if (link->state != LINK_HELLO)
		send_ping(link);
}

static void on_lost(void *arg)
{
	link_close(arg, "memory");
}

static struct peer_link *link_create(struct peer_node *node)
{
	struct peer_link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->node = node;
	link->reader =
		frame_reader_create(&node->hello_key, FRAME_HELLO_BYTES_MAX);
	link->timer = loop_timer_create(node->loop, on_tick, link);
	link->queue =
		peer_queue_create(node->loop, &node->hello_key, on_lost, link);
	if (!link->reader || !link->timer || !link->queue) {
		loop_timer_destroy(link->timer);
		link_free(link);
		return NULL;
	}
	link->received_ms = now_ms(node);
	link->ticked_ms = link->received_ms;
	loop_timer_set(link->timer, PEER_PING_MS);
	DL_APPEND(node->links, link);
	return link;
}

static size_t count_strangers(const struct peer_node *node)
{
	const struct peer_link *link;
	size_t nr = 0;

	DL_FOREACH(node->links, link)
	nr += !link->target && link->state != LINK_UP;
	return nr;
}

static void on_accept(void *arg, struct loop_conn *conn)
{
	struct peer_node *node = arg;
	struct peer_link *link;

	if (count_strangers(node) >= STRANGERS_MAX) {
		count(node, "peer_closed", "too_many_unauthenticated");
		loop_conn_close(conn);
		return;
	}
	link = link_create(node);
	if (!link) {
		loop_conn_close(conn);
		return;
	}
	link->conn = conn;
	peer_queue_set_conn(link->queue, conn);
	loop_conn_set_ops(conn, &link_ops, link);
	on_opened(link, conn);
}

static void connect_target(void *arg)
{
	struct peer_target *target = arg;
	struct peer_node *node = target->node;
	struct peer_link *link = link_create(node);

	if (!link) {
		retry_later(target);
		return;
	}
	link->target = target;
	target->link = link;
	if (loop_connect(node->loop, target->address, PEER_SILENT_MS, &link_ops,
			 link, &link->conn))
		link_end(link);
	else
		peer_queue_set_conn(link->queue, link->conn);
}

/* ---- node ---- */

static void set_name(char *out, const char *name)
{
	snprintf(out, NAME_BYTES_MAX, "%s", name ? name : "");
}

enum loop_error peer_node_create(struct loop *loop,
				 const struct peer_settings *settings,
				 const struct peer_ops *ops, void *arg,
				 struct peer_node **node)
{
	const struct buf nothing = BUF_INIT;
	struct peer_node *new;
	enum loop_error err = LOOP_ERR_MEMORY;

	if (sodium_init() < 0)
		return LOOP_ERR_SYSTEM;
	new = calloc(1, sizeof(*new));
	if (!new)
		return LOOP_ERR_MEMORY;
	new->loop = loop;
	new->ops = *ops;
	new->arg = arg;
	set_name(new->name, settings->name);
	set_name(new->zone, settings->zone);
	new->role = settings->role;
	new->incarnation = settings->incarnation;
	new->counters = settings->counters;
	new->secret = malloc(settings->secret_bytes + 1);
	if (!new->secret)
		goto fail;
	memcpy(new->secret, settings->secret, settings->secret_bytes);
	new->secret_bytes = settings->secret_bytes;
	frame_derive_key(&new->hello_key, new->secret, new->secret_bytes,
			 "hello", &nothing);
	if (settings->listen_address) {
		err = loop_listen(loop, settings->listen_address, on_accept,
				  new, &new->listener);
		if (err)
			goto fail;
	}
	*node = new;
	return LOOP_OK;

fail:
	free(new->secret);
	free(new);
	return err;
}

static void clear_controls(struct peer_node *node)
{
	size_t i;

	for (i = 0; i < node->nr_controls; i++)
		free(node->controls[i]);
	free(node->controls);
	node->controls = NULL;
	node->nr_controls = 0;
}

enum loop_error peer_node_set_controls(struct peer_node *node,
				       const char *const *controls, size_t nr)
{
	size_t i = 0;

	while (i < nr && i < node->nr_controls &&
	       !strcmp(node->controls[i], controls[i]))
		i++;
	if (i == nr && nr == node->nr_controls)
		return LOOP_OK;
	node->controls_version++;
	clear_controls(node);
	node->controls = calloc(nr + 1, sizeof(*node->controls));
	if (!node->controls)
		return LOOP_ERR_MEMORY;
	for (i = 0; i < nr; i++) {
		node->controls[i] = strdup(controls[i]);
		if (!node->controls[i])
			return LOOP_ERR_MEMORY;
		node->nr_controls++;
	}
	return LOOP_OK;
}

/*
 * No callbacks are called.
 */
void peer_node_destroy(struct peer_node *node)
{
	struct peer_target *target, *next;
	struct peer_link *link;

	if (!node)
		return;
	loop_listener_destroy(node->listener);
	while (node->links) {
		link = node->links;
		link_unlink(link);
		if (!link->busy)
			link_free(link);
	}
	LL_FOREACH_SAFE(node->targets, target, next)
	{
		loop_timer_destroy(target->retry);
		free(target);
	}
	clear_controls(node);
	sodium_memzero(node->secret, node->secret_bytes);
	free(node->secret);
	sodium_memzero(&node->hello_key, sizeof(node->hello_key));
	free(node);
}

enum loop_error peer_node_add(struct peer_node *node, const char *name,
			      const char *address)
{
	struct peer_target *target;

	if (strlen(address) >= ADDRESS_BYTES_MAX)
		return LOOP_ERR_ADDRESS;
	target = calloc(1, sizeof(*target));
	if (!target)
		return LOOP_ERR_MEMORY;
	target->node = node;
	set_name(target->name, name);
	snprintf(target->address, sizeof(target->address), "%s", address);
	target->retry = loop_timer_create(node->loop, connect_target, target);
	if (!target->retry) {
		free(target);
		return LOOP_ERR_MEMORY;
	}
	LL_PREPEND(node->targets, target);
	loop_timer_set(target->retry, 0);
	return LOOP_OK;
}

void peer_node_remove(struct peer_node *node, const char *name)
{
	struct peer_target *target, *next;

	LL_FOREACH_SAFE(node->targets, target, next)
	{
		if (strcmp(target->name, name) != 0)
			continue;
		LL_DELETE(node->targets, target);
		if (target->link) {
			target->link->target = NULL;
			link_close(target->link, "removed");
		}
		loop_timer_destroy(target->retry);
		free(target);
	}
}

const char *peer_node_address(const struct peer_node *node)
{
	return node->listener ? loop_listener_address(node->listener) : NULL;
}

void peer_node_set_leader(struct peer_node *node, const char *leader,
			  uint64_t term)
{
	struct peer_link *link;

	if (!strcmp(node->leader, leader ? leader : "") && node->term == term)
		return;
	set_name(node->leader, leader);
	node->term = term;
	DL_FOREACH(node->links, link)
	{
		if (link->state == LINK_PROOF || link->state == LINK_UP)
			send_ping(link);
	}
}

const char *peer_link_name(const struct peer_link *link)
{
	return link->name;
}

Aw__Role peer_link_role(const struct peer_link *link)
{
	return link->role;
}

const char *peer_link_zone(const struct peer_link *link)
{
	return link->zone;
}

uint64_t peer_link_incarnation(const struct peer_link *link)
{
	return link->incarnation;
}

void peer_link_set_data(struct peer_link *link, void *data)
{
	link->data = data;
}

void *peer_link_data(const struct peer_link *link)
{
	return link->data;
}
