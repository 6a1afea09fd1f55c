#include "peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <utlist.h>

#include "frame.h"
#include "log.h"
#include "peer_queue.h"

#define LOG_COMPONENT "peer"
#define HELLO_VERSION 1
#define NONCE_BYTES 32
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 400
/* Limit of accepted connections that are not authenticated yet. */
#define UNAUTHENTICATED_MAX 64
/* A ping timer that is this late shows that the process was not running. */
#define FREEZE_MIN_MS 1000
/*
 * The list of control instances is sent when it has changed and, as a
 * precaution, with every eighth ping. Sent with every ping, it made up most of
 * the message traffic of hundreds of entry instances.
 */
#define PINGS_PER_CONTROLS_LIST 8

/*
 * Both ends send a hello, which is authenticated by the cluster secret alone
 * and could be a replay. The session keys are derived from the secret and both
 * hellos with their nonces, so the first frame with a valid MAC under a session
 * key proves that the other end has the secret. Each end therefore sends a
 * ping as soon as it has received the hello.
 */
enum link_state {
	LINK_CONNECTING,
	LINK_HELLO, /* waiting for the hello of the other end */
	LINK_AUTHENTICATING, /* waiting for a frame under the session key */
	LINK_UP
};

/* An instance to connect to. */
struct peer_target {
	struct peer_node *node;
	char name[NAME_BYTES_MAX];
	char address[ADDRESS_BYTES_MAX];
	struct peer_link *link;
	struct loop_timer *reconnect_timer;
	struct peer_target *next;
};

struct peer_link {
	struct peer_node *node;
	struct peer_target *target; /* NULL: accepted connection */
	struct loop_conn *conn;
	struct loop_timer *timer; /* for on_tick() */
	enum link_state state;
	struct frame_reader *reader;
	struct peer_queue *queue;
	struct buf own_hello; /* packed frame body */
	uint64_t last_received_ms;
	uint64_t last_tick_ms;
	char name[NAME_BYTES_MAX]; /* from the other end's hello */
	char zone[NAME_BYTES_MAX];
	Aw__Role role;
	uint64_t incarnation;
	void *data; /* of the owner, see peer_link_set_data() */
	uint32_t nr_pings; /* sent */
	uint64_t sent_controls_version; /* of the list last sent */
	uint32_t callback_depth; /* running callbacks; not freed until 0 */
	bool dead; /* closed, to be freed */
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
	char leader[NAME_BYTES_MAX]; /* sent in pings, as the term */
	uint64_t term;
	char **controls; /* addresses sent in pings */
	size_t nr_controls;
	uint64_t controls_version; /* incremented with each change */
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

static void schedule_reconnect(struct peer_target *target)
{
	loop_timer_set(
		target->reconnect_timer,
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
 * Schedules a reconnection if the link was opened here, and calls ops.down,
 * which may destroy the node.
 */
static void link_teardown(struct peer_link *link)
{
	struct peer_node *node = link->node;

	link_unlink(link);
	if (link->target)
		schedule_reconnect(link->target);
	link->callback_depth++;
	if (link->state == LINK_UP)
		node->ops.down(node->arg, link);
	link->callback_depth--;
	if (!link->callback_depth)
		link_free(link);
}

static void link_close(struct peer_link *link, const char *reason)
{
	log_warn(LOG_COMPONENT, "closing connection to %s (%s): %s",
		 *link->name ? link->name : "unknown peer",
		 loop_conn_peer(link->conn), reason);
	count(link->node, "peer_closed", reason);
	link_teardown(link);
}

/* ---- sending ---- */

/*
 * Counts the bytes of a sent frame by the field name of its message.
 */
static void count_sent(struct peer_node *node, const Aw__Frame *frame)
{
	const ProtobufCFieldDescriptor *field =
		protobuf_c_message_descriptor_get_field(&aw__frame__descriptor,
							frame->body_case);

	if (node->counters && field)
		ctr_add(ctr_get(node->counters, "peer_bytes_sent", field->name),
			aw__frame__get_packed_size(frame) + FRAME_HEADER_BYTES +
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

/*
 * echo and echoed are those of the message, usually 0.
 */
static enum loop_error send_ping_with(struct peer_link *link, uint64_t echo,
				      uint64_t echoed)
{
	Aw__Ping ping = AW__PING__INIT;
	Aw__Frame frame = AW__FRAME__INIT;

	ping.leader = link->node->leader;
	ping.term = link->node->term;
	ping.echo = echo;
	ping.echoed = echoed;
	if (link->nr_pings++ % PINGS_PER_CONTROLS_LIST == 0 ||
	    link->sent_controls_version != link->node->controls_version) {
		ping.controls = link->node->controls;
		ping.n_controls = link->node->nr_controls;
		link->sent_controls_version = link->node->controls_version;
	}
	frame.body_case = AW__FRAME__BODY_PING;
	frame.ping = &ping;
	return send_frame(link, &frame);
}

static enum loop_error send_ping(struct peer_link *link)
{
	return send_ping_with(link, 0, 0);
}

enum loop_error peer_probe(struct peer_link *link)
{
	if (link->dead || link->state != LINK_UP)
		return LOOP_ERR_CLOSED;
	return send_ping_with(link, now_ms(link->node), 0);
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
 * Returns why a hello is rejected, as the label of a metric, or NULL if it is
 * valid.
 */
static const char *check_hello(const struct peer_link *link,
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
	/* A connection to itself, or its own hello sent back. */
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
	bool is_connector = link->target != NULL;
	struct buf hellos = BUF_INIT;
	struct frame_key send_key, receive_key;
	int ret = -1;

	/* The hello of the end that connected is first. */
	if (is_connector && append_sized(&hellos, own->data, own->len_bytes))
		goto out;
	if (append_sized(&hellos, peer_hello, peer_hello_bytes))
		goto out;
	if (!is_connector && append_sized(&hellos, own->data, own->len_bytes))
		goto out;
	frame_derive_key(&send_key, node->secret, node->secret_bytes,
			 is_connector ? "connector" : "acceptor", &hellos);
	frame_derive_key(&receive_key, node->secret, node->secret_bytes,
			 is_connector ? "acceptor" : "connector", &hellos);
	frame_reader_set_key(link->reader, &receive_key, FRAME_BODY_BYTES_MAX);
	peer_queue_set_key(link->queue, &send_key);
	sodium_memzero(&send_key, sizeof(send_key));
	sodium_memzero(&receive_key, sizeof(receive_key));
	ret = 0;

out:
	buf_release(&hellos);
	return ret;
}

static void on_hello(struct peer_link *link, const uint8_t *body,
		     size_t len_bytes)
{
	Aw__Frame *frame = aw__frame__unpack(NULL, len_bytes, body);
	const char *fault = check_hello(link, frame);

	if (!fault) {
		snprintf(link->name, sizeof(link->name), "%s",
			 frame->hello->name);
		snprintf(link->zone, sizeof(link->zone), "%s",
			 frame->hello->zone);
		link->role = frame->hello->role;
		link->incarnation = frame->hello->incarnation;
		link->state = LINK_AUTHENTICATING;
		if (start_session(link, body, len_bytes) || send_ping(link))
			fault = "memory";
	}
	if (frame)
		aw__frame__free_unpacked(frame, NULL);
	if (fault)
		link_close(link, fault);
}

static void warn_about_duplicate_name(const struct peer_link *link)
{
	struct peer_link *other;

	DL_FOREACH(link->node->links, other)
	{
		if (other == link || other->state != LINK_UP ||
		    other->incarnation == link->incarnation ||
		    strcmp(other->name, link->name) != 0)
			continue;
		log_warn(LOG_COMPONENT,
			 "%s (%s) has another incarnation than (%s): "
			 "restarted, or two instances with this name",
			 link->name, loop_conn_peer(link->conn),
			 loop_conn_peer(other->conn));
		count(link->node, "peer_namesakes", link->name);
	}
}

static void link_up(struct peer_link *link)
{
	struct peer_node *node = link->node;

	link->state = LINK_UP;
	log_info(LOG_COMPONENT, "connected to %s (%s)", link->name,
		 loop_conn_peer(link->conn));
	count(node, "peer_connected", link->name);
	warn_about_duplicate_name(link);
	node->ops.up(node->arg, link);
}

static void on_ping(struct peer_link *link, const Aw__Ping *ping)
{
	struct peer_node *node = link->node;
	uint64_t now = now_ms(node);

	if (ping->echo)
		send_ping_with(link, 0, ping->echo);
	if (ping->echoed && ping->echoed <= now && node->ops.probed)
		node->ops.probed(node->arg, link,
				 (uint32_t)(now - ping->echoed));
	if (!link->dead && node->ops.ping)
		node->ops.ping(node->arg, link, ping);
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
	if (link->state == LINK_AUTHENTICATING)
		link_up(link);
	if (!link->dead && frame->body_case == AW__FRAME__BODY_PING) {
		on_ping(link, frame->ping);
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
	link->last_received_ms = now_ms(link->node);
	link->callback_depth++;
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
	link->callback_depth--;
	if (link->dead && !link->callback_depth)
		link_free(link);
}

/* ---- links ---- */

static void on_opened(void *arg, struct loop_conn *conn)
{
	struct peer_link *link = arg;

	(void)conn;
	link->state = LINK_HELLO;
	link->last_received_ms = now_ms(link->node);
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
		log_debug(LOG_COMPONENT, "cannot connect to %s (%s)",
			  link->target->name, link->target->address);
	else
		log_info(LOG_COMPONENT, "lost connection to %s (%s)",
			 *link->name ? link->name : "unknown peer",
			 loop_conn_peer(link->conn));
	link->conn = NULL;
	link_teardown(link);
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

	/*
	 * The process was not running. What the other end sent meanwhile has
	 * not been read yet, so it does not count as silent.
	 */
	if (now - link->last_tick_ms > PEER_PING_MS + FREEZE_MIN_MS)
		link->last_received_ms = now;
	link->last_tick_ms = now;
	loop_timer_set(link->timer, PEER_PING_MS);
	if (link->state == LINK_CONNECTING)
		return;
	if (now - link->last_received_ms > PEER_SILENT_MS) {
		link_close(link, "silent");
		return;
	}
	if (link->state != LINK_HELLO)
		send_ping(link);
}

static void on_queue_failed(void *arg)
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
	link->queue = peer_queue_create(node->loop, &node->hello_key,
					on_queue_failed, link);
	if (!link->reader || !link->timer || !link->queue) {
		loop_timer_destroy(link->timer);
		link_free(link);
		return NULL;
	}
	link->last_received_ms = now_ms(node);
	link->last_tick_ms = link->last_received_ms;
	loop_timer_set(link->timer, PEER_PING_MS);
	DL_APPEND(node->links, link);
	return link;
}

static size_t count_unauthenticated(const struct peer_node *node)
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

	if (count_unauthenticated(node) >= UNAUTHENTICATED_MAX) {
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
	loop_conn_set_use(conn, LOOP_USE_CONTROL);
	loop_conn_set_ops(conn, &link_ops, link);
	on_opened(link, conn);
}

static void connect_target(void *arg)
{
	struct peer_target *target = arg;
	struct peer_node *node = target->node;
	struct peer_link *link = link_create(node);

	if (!link) {
		schedule_reconnect(target);
		return;
	}
	link->target = target;
	target->link = link;
	if (loop_connect(node->loop, target->address, PEER_SILENT_MS, &link_ops,
			 link, &link->conn)) {
		link_teardown(link);
		return;
	}
	loop_conn_set_use(link->conn, LOOP_USE_CONTROL);
	peer_queue_set_conn(link->queue, link->conn);
}

/* ---- node ---- */

static void copy_name(char *out, const char *name)
{
	snprintf(out, NAME_BYTES_MAX, "%s", name ? name : "");
}

enum loop_error peer_node_create(struct loop *loop,
				 const struct peer_settings *settings,
				 const struct peer_ops *ops, void *arg,
				 struct peer_node **node)
{
	const struct buf no_context = BUF_INIT;
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
	copy_name(new->name, settings->name);
	copy_name(new->zone, settings->zone);
	new->role = settings->role;
	new->incarnation = settings->incarnation;
	new->counters = settings->counters;
	new->secret = malloc(settings->secret_bytes + 1);
	if (!new->secret)
		goto fail;
	memcpy(new->secret, settings->secret, settings->secret_bytes);
	new->secret_bytes = settings->secret_bytes;
	frame_derive_key(&new->hello_key, new->secret, new->secret_bytes,
			 "hello", &no_context);
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
 * Calls no callbacks.
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
		if (!link->callback_depth)
			link_free(link);
	}
	LL_FOREACH_SAFE(node->targets, target, next)
	{
		loop_timer_destroy(target->reconnect_timer);
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
	copy_name(target->name, name);
	snprintf(target->address, sizeof(target->address), "%s", address);
	target->reconnect_timer =
		loop_timer_create(node->loop, connect_target, target);
	if (!target->reconnect_timer) {
		free(target);
		return LOOP_ERR_MEMORY;
	}
	LL_PREPEND(node->targets, target);
	loop_timer_set(target->reconnect_timer, 0);
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
		loop_timer_destroy(target->reconnect_timer);
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
	copy_name(node->leader, leader);
	node->term = term;
	DL_FOREACH(node->links, link)
	{
		if (link->state == LINK_AUTHENTICATING ||
		    link->state == LINK_UP)
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
