// Tests connections between instances: authentication, silent connections and
// reconnection.
#include <list>
#include <memory>
#include <string>

#include "net_fixture.h"
#include "peer.h"

namespace
{

struct Node {
	Net &net;
	struct peer_node *node = nullptr;
	struct ctr_set *counters = ctr_set_create();
	struct peer_link *link = nullptr;
	int ups = 0, downs = 0, frames = 0, pings = 0, probes = 0;
	uint32_t round_trip_ms = 0;
	std::string leader, destroy_in;
	size_t received_bytes = 0;
	std::string peer_name, peer_zone;

	Node(Net &n, const char *name, const char *secret = "secret",
	     const char *listen = "127.0.0.1:0")
	    : net(n)
	{
		struct peer_settings settings = {};
		const struct peer_ops ops = { on_up, on_down, on_frame, on_ping,
					      on_probed };

		settings.name = name;
		settings.role = AW__ROLE__ROLE_ENTRY;
		settings.zone = "z";
		settings.incarnation = 7;
		settings.secret = (const uint8_t *)secret;
		settings.secret_bytes = strlen(secret);
		settings.listen_address = listen;
		settings.counters = counters;
		EXPECT_EQ(LOOP_OK, peer_node_create(net.loop, &settings, &ops,
						    this, &node));
	}

	~Node()
	{
		peer_node_destroy(node);
		ctr_set_destroy(counters);
	}

	void destroy_if_in(const char *where)
	{
		if (destroy_in != where)
			return;
		peer_node_destroy(node);
		node = nullptr;
	}

	static void on_up(void *arg, struct peer_link *link)
	{
		auto self = (Node *)arg;

		self->ups++;
		self->link = link;
		self->peer_name = peer_link_name(link);
		self->peer_zone = peer_link_zone(link);
		EXPECT_EQ(7u, peer_link_incarnation(link));
		EXPECT_EQ(nullptr, peer_link_data(link));
		self->destroy_if_in("up");
	}

	static void on_down(void *arg, struct peer_link *)
	{
		auto self = (Node *)arg;

		self->downs++;
		self->link = nullptr;
		self->destroy_if_in("down");
	}

	static void on_frame(void *arg, struct peer_link *,
			     const Aw__Frame *frame)
	{
		auto self = (Node *)arg;

		self->frames++;
		if (frame->body_case == AW__FRAME__BODY_PROPOSE_REPLY)
			self->received_bytes +=
				strlen(frame->propose_reply->leader);
		self->destroy_if_in("frame");
	}

	static void on_ping(void *arg, struct peer_link *, const Aw__Ping *ping)
	{
		auto self = (Node *)arg;

		self->pings++;
		self->leader = ping->leader;
		self->destroy_if_in("ping");
	}

	static void on_probed(void *arg, struct peer_link *,
			      uint32_t round_trip_ms)
	{
		auto self = (Node *)arg;

		self->probes++;
		self->round_trip_ms = round_trip_ms;
		self->destroy_if_in("probe");
	}

	enum loop_error send(size_t bytes)
	{
		Aw__ProposeReply reply = AW__PROPOSE_REPLY__INIT;
		Aw__Frame frame = AW__FRAME__INIT;
		std::string text(bytes, 'x');

		reply.leader = (char *)text.c_str();
		frame.body_case = AW__FRAME__BODY_PROPOSE_REPLY;
		frame.propose_reply = &reply;
		return peer_send(link, &frame);
	}

	uint64_t closed(const char *reason)
	{
		return ctr_value(ctr_get(counters, "peer_closed", reason));
	}

	const char *address()
	{
		return peer_node_address(node);
	}
};

// Forwards bytes between a node and a target. Can drop, modify and repeat them.
struct Relay {
	struct Pair {
		Relay *relay;
		struct loop_conn *ends[2]; // connector, acceptor
	};
	Net &net;
	std::string target;
	struct loop_listener *listener = nullptr;
	std::list<Pair> pairs;
	std::string recorded; // connector to acceptor
	bool silent = false; // drop everything
	bool flip = false; // change a bit of the next bytes to the acceptor
	bool repeat = false; // send the next bytes to the acceptor twice

	Relay(Net &n, const char *address) : net(n), target(address)
	{
		EXPECT_EQ(LOOP_OK, loop_listen(net.loop, "127.0.0.1:0",
					       on_accept, this, &listener));
	}

	~Relay()
	{
		cut();
		loop_listener_destroy(listener);
	}

	void cut()
	{
		for (auto &pair : pairs)
			for (auto &end : pair.ends) {
				if (end)
					loop_conn_close(end);
				end = nullptr;
			}
	}

	static void on_data(void *arg, struct loop_conn *conn,
			    const uint8_t *data, size_t len)
	{
		auto pair = (Pair *)arg;
		auto relay = pair->relay;
		bool to_acceptor = conn == pair->ends[0];
		std::string bytes((const char *)data, len);

		if (relay->silent)
			return;
		if (to_acceptor)
			relay->recorded += bytes;
		if (relay->flip && to_acceptor) {
			bytes[len - 1] ^= 1;
			relay->flip = false;
		}
		if (relay->repeat && to_acceptor) {
			bytes += bytes;
			relay->repeat = false;
		}
		if (pair->ends[to_acceptor])
			loop_conn_send(pair->ends[to_acceptor], bytes.data(),
				       bytes.size());
	}

	static void on_closed(void *arg, struct loop_conn *conn,
			      enum loop_close)
	{
		auto pair = (Pair *)arg;
		bool acceptor = conn == pair->ends[1];

		pair->ends[acceptor] = nullptr;
		if (pair->ends[!acceptor])
			loop_conn_close(pair->ends[!acceptor]);
		pair->ends[!acceptor] = nullptr;
	}

	static void on_accept(void *arg, struct loop_conn *conn)
	{
		static const struct loop_conn_ops ops = { nullptr, on_data,
							  nullptr, on_closed };
		auto relay = (Relay *)arg;

		relay->pairs.push_back({ relay, { conn, nullptr } });
		auto pair = &relay->pairs.back();
		loop_conn_set_ops(conn, &ops, pair);
		loop_connect(relay->net.loop, relay->target.c_str(), 1000, &ops,
			     pair, &pair->ends[1]);
	}

	const char *address()
	{
		return loop_listener_address(listener);
	}
};

struct NodePair {
	Net net;
	Node a{ net, "a" };
	Node b{ net, "b", "secret", nullptr };
	Relay relay{ net, a.address() };

	void connect()
	{
		peer_node_add(b.node, "a", relay.address());
		ASSERT_TRUE(both_up());
	}

	bool both_up(uint64_t limit_ms = 5000)
	{
		return net.until([&] { return a.link && b.link; }, limit_ms);
	}
};

// The reply to a probe must not be probed in turn, and its time is the round
// trip.
TEST(Peer, ProbeMeasuresTheRoundTrip)
{
	Net net;
	Node a(net, "a"), b(net, "b", "secret", nullptr);

	ASSERT_EQ(LOOP_OK,
		  peer_node_add(b.node, "a", peer_node_address(a.node)));
	ASSERT_TRUE(net.until([&] { return a.link && b.link; }));
	ASSERT_EQ(LOOP_OK, peer_probe(b.link));
	ASSERT_TRUE(net.until([&] { return b.probes == 1; }));
	EXPECT_LE(b.round_trip_ms, 1000u);
	net.run_ms(50);
	EXPECT_EQ(1, b.probes);
	EXPECT_EQ(0, a.probes);
	b.destroy_in = "probe";
	ASSERT_EQ(LOOP_OK, peer_probe(b.link));
	ASSERT_TRUE(net.until([&] { return !b.node; }));
}

} // namespace

TEST(Peer, ConnectsAndExchanges)
{
	NodePair t;

	peer_node_set_leader(t.a.node, "c", 3);
	t.connect();
	EXPECT_EQ("b", t.a.peer_name);
	EXPECT_EQ("a", t.b.peer_name);
	EXPECT_EQ("z", t.a.peer_zone);
	EXPECT_EQ(LOOP_OK, t.a.send(10));
	EXPECT_EQ(LOOP_OK, t.b.send(10));
	EXPECT_TRUE(t.net.until([&] {
		return t.a.frames == 1 && t.b.frames == 1 && t.b.pings > 1;
	}));
	EXPECT_EQ("c", t.b.leader);
}

// A new leader must be sent at once and not only with the next periodic ping,
// so that entry instances learn of it without delay.
TEST(Peer, NewLeaderIsSentAtOnce)
{
	NodePair t;

	t.connect();
	EXPECT_TRUE(t.net.until([&] { return t.b.pings > 1; }));
	peer_node_set_leader(t.a.node, "c", 3);
	EXPECT_TRUE(t.net.until([&] { return t.b.leader == "c"; },
				PEER_PING_MS / 5));
	int pings = t.b.pings;
	peer_node_set_leader(t.a.node, "c", 4);
	EXPECT_TRUE(t.net.until([&] { return t.b.pings > pings; },
				PEER_PING_MS / 5));
	pings = t.b.pings;
	for (int i = 0; i < 100; i++)
		peer_node_set_leader(t.a.node, "c", 4);
	t.net.run_ms(20);
	EXPECT_LE(t.b.pings, pings + 1);
}

TEST(Peer, OtherSecretIsRefused)
{
	Net net;
	Node a(net, "a"), b(net, "b", "other", nullptr);

	peer_node_add(b.node, "a", a.address());
	EXPECT_TRUE(net.until([&] { return a.closed("frame_mac") > 1; }));
	EXPECT_EQ(0, a.ups + b.ups);
}

// If an address now belongs to another instance, that instance must not be
// taken for the expected one.
TEST(Peer, OtherNameIsRefused)
{
	Net net;
	Node a(net, "a"), b(net, "b", "secret", nullptr), c(net, "a");

	peer_node_add(b.node, "x", a.address());
	peer_node_add(c.node, "a", a.address());
	EXPECT_TRUE(net.until([&] {
		return b.closed("name_mismatch") && c.closed("own_name");
	}));
	EXPECT_EQ(0, a.ups + b.ups + c.ups);
}

TEST(Peer, ReconnectsAfterCut)
{
	NodePair t;

	t.connect();
	for (int i = 1; i <= 3; i++) {
		t.relay.cut();
		ASSERT_TRUE(t.net.until(
			[&] { return t.a.downs == i && t.b.downs == i; }));
		ASSERT_TRUE(t.both_up());
	}
}

// A connection that becomes silent without being closed must be closed and
// opened again.
TEST(Peer, SilentConnectionIsReplaced)
{
	NodePair t;
	uint64_t start_ms;

	t.connect();
	start_ms = clk_now_ms(t.net.clk);
	t.relay.silent = true;
	ASSERT_TRUE(t.net.until([&] { return t.a.downs && t.b.downs; }));
	EXPECT_GE(clk_now_ms(t.net.clk) - start_ms, PEER_SILENT_MS - 500u);
	EXPECT_LE(clk_now_ms(t.net.clk) - start_ms,
		  PEER_SILENT_MS + 2 * PEER_PING_MS);
	t.relay.silent = false;
	EXPECT_TRUE(t.both_up());
}

// A replayed session has a valid hello, but its later frames are not
// authenticated by the key of the new nonce.
TEST(Peer, ReplayIsRefused)
{
	NodePair t;

	t.connect();
	t.b.send(10);
	ASSERT_TRUE(t.net.until([&] { return t.a.frames == 1; }));
	RawConn raw(t.net, t.a.address());
	raw.send(t.relay.recorded);
	EXPECT_TRUE(t.net.until([&] { return raw.closed; }));
	EXPECT_EQ(1u, t.a.closed("frame_mac"));
	EXPECT_EQ(1, t.a.ups);
	EXPECT_EQ(1, t.a.frames);
}

// A hello alone may be a replay: it must not authenticate the connection, which
// must be closed after a time.
TEST(Peer, HelloWithoutSessionFrameIsClosed)
{
	NodePair t;
	size_t hello_bytes;

	t.connect();
	hello_bytes = 13 + (uint8_t)t.relay.recorded[3] + 32;
	RawConn raw(t.net, t.a.address());
	raw.send(t.relay.recorded.substr(0, hello_bytes));
	EXPECT_TRUE(t.net.until([&] { return raw.closed; }));
	EXPECT_EQ(1u, t.a.closed("silent"));
	EXPECT_EQ(1, t.a.ups);
}

TEST(Peer, ModifiedAndRepeatedFramesCloseTheConnection)
{
	NodePair t;

	t.connect();
	t.relay.flip = true;
	EXPECT_TRUE(t.net.until([&] { return t.a.closed("frame_mac") == 1; }));
	ASSERT_TRUE(t.both_up());
	t.relay.repeat = true;
	EXPECT_TRUE(
		t.net.until([&] { return t.a.closed("frame_sequence") == 1; }));
	EXPECT_EQ(0, t.a.frames);
}

TEST(Peer, LongHelloIsRefused)
{
	Net net;
	Node a(net, "a");
	RawConn raw(net, a.address());

	raw.send(std::string("\0\1\0\1\1\0\0\0\0\0\0\0\0", 13));
	EXPECT_TRUE(net.until([&] { return raw.closed; }));
	EXPECT_EQ(1u, a.closed("frame_length"));
}

// Both ends send more than the system's socket buffers can take. Neither may
// wait for the other to read first.
TEST(Peer, LargeFramesBothWays)
{
	NodePair t;
	const size_t bytes = 8 * 1024 * 1024 - 100;

	t.connect();
	for (int i = 0; i < 2; i++) {
		ASSERT_EQ(LOOP_OK, t.a.send(bytes));
		ASSERT_EQ(LOOP_OK, t.b.send(bytes));
	}
	EXPECT_EQ(LOOP_ERR_MEMORY, t.a.send(bytes + 200));
	EXPECT_TRUE(t.net.until(
		[&] {
			return t.a.received_bytes == 2 * bytes &&
			       t.b.received_bytes == 2 * bytes;
		},
		20000));
	EXPECT_EQ(0, t.a.downs + t.b.downs);
}

TEST(Peer, DestroyInCallbacks)
{
	for (const char *where : { "up", "ping", "frame", "down" }) {
		for (bool acceptor : { false, true }) {
			NodePair t;
			Node &victim = acceptor ? t.a : t.b;
			Node &other = acceptor ? t.b : t.a;

			victim.destroy_in = where;
			peer_node_add(t.b.node, "a", t.relay.address());
			if (!strcmp(where, "frame")) {
				ASSERT_TRUE(t.both_up());
				other.send(10);
			}
			if (!strcmp(where, "down")) {
				ASSERT_TRUE(t.both_up());
				t.relay.cut();
			}
			EXPECT_TRUE(t.net.until([&] { return !victim.node; }))
				<< where;
		}
	}
}
