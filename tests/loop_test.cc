// Tests the event loop: connections, timers, signals and the limit of open
// files.
#include <memory>
#include <string>
#include <vector>

#include <csignal>
#include <cstdlib>
#include <cstring>

#include <dirent.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net_fixture.h"

// Connects a socket that the loop does not know to "IPv4:port".
static int connect_blocking(const char *address)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sa = {};

	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	EXPECT_EQ(0, connect(fd, (struct sockaddr *)&sa, sizeof(sa)));
	return fd;
}

static size_t nr_descriptors()
{
	DIR *dir = opendir("/proc/self/fd");
	size_t nr = 0;

	while (readdir(dir))
		nr++;
	closedir(dir);
	return nr;
}

TEST(Loop, BadAddressesAreRefused)
{
	Net net;
	struct loop_listener *listener;
	struct loop_conn *conn;
	const char *bad[] = { "",
			      "127.0.0.1",
			      "127.0.0.1:",
			      ":80",
			      "127.0.0.1:x",
			      "127.0.0.1:65536",
			      "127.0.0.1:-1",
			      "localhost:80",
			      "::1:80",
			      "[::1:80",
			      "[]:80",
			      "1.2.3.4:5:6",
			      "1.2.3.4:00000000000000000080" };

	for (const char *address : bad) {
		EXPECT_EQ(LOOP_ERR_ADDRESS,
			  loop_listen(net.loop, address, nullptr, nullptr,
				      &listener))
			<< address;
		EXPECT_EQ(LOOP_ERR_ADDRESS,
			  loop_connect(net.loop, address, 100, RawConn::ops(),
				       nullptr, &conn))
			<< address;
	}
	RawServer server(net);
	EXPECT_EQ(LOOP_ERR_SYSTEM, loop_listen(net.loop, server.address(),
					       nullptr, nullptr, &listener));
	EXPECT_EQ(EADDRINUSE, errno);
}

TEST(Loop, ConnectsOverIpv4AndIpv6)
{
	for (const char *address : { "127.0.0.1:0", "[::1]:0" }) {
		Net net;
		RawServer server(net, address);
		RawConn raw(net, server.address());

		EXPECT_FALSE(raw.opened);
		server.greeting = "hello";
		ASSERT_TRUE(net.until([&] { return raw.received == "hello"; }));
		EXPECT_STREQ(server.address(), loop_conn_peer(raw.conn));
		raw.send("x");
		ASSERT_TRUE(
			net.until([&] { return server.last.received == "x"; }));
		raw.close();
		ASSERT_TRUE(net.until([&] { return server.last.closed; }));
		EXPECT_EQ(LOOP_CLOSE_BY_PEER, server.last.reason);
	}
}

// A failed connect must be reported later, never from within loop_connect().
TEST(Loop, RefusedConnectIsReportedLater)
{
	Net net;
	RawConn raw(net, "127.0.0.1:1");

	EXPECT_FALSE(raw.closed);
	ASSERT_TRUE(net.until([&] { return raw.closed; }));
	EXPECT_EQ(LOOP_CLOSE_CONNECT_FAILED, raw.reason);
	EXPECT_FALSE(raw.opened);
}

struct ProbeResult {
	bool done = false;
	enum loop_probe_result result = LOOP_PROBE_NO_ANSWER;

	static void on_probed(void *arg, enum loop_probe_result result)
	{
		((ProbeResult *)arg)->done = true;
		((ProbeResult *)arg)->result = result;
	}
};

static enum loop_probe_result probe(Net &net, const char *address,
				    uint32_t timeout_ms)
{
	struct loop_probe *unused;
	ProbeResult probed;

	EXPECT_EQ(LOOP_OK,
		  loop_probe(net.loop, address, timeout_ms,
			     ProbeResult::on_probed, &probed, &unused));
	EXPECT_FALSE(probed.done);
	EXPECT_TRUE(net.until([&] { return probed.done; }));
	return probed.result;
}

// A server that tells its peers apart by their address must see the one that
// the settings name, also from a probe.
TEST(Loop, ConnectsFromTheSource)
{
	Net net;
	RawServer server(net);

	EXPECT_EQ(LOOP_ERR_ADDRESS, loop_set_source(net.loop, "127.0.0.300"));
	EXPECT_EQ(LOOP_ERR_SYSTEM, loop_set_source(net.loop, "192.0.2.1"));
	ASSERT_EQ(LOOP_OK, loop_set_source(net.loop, "127.0.0.9"));
	RawConn raw(net, server.address());
	ASSERT_TRUE(net.until([&] { return server.accepted == 1; }));
	EXPECT_EQ(0, strncmp("127.0.0.9:", loop_conn_peer(server.last.conn),
			     strlen("127.0.0.9:")));
	EXPECT_EQ(LOOP_PROBE_ACCEPTED, probe(net, server.address(), 1000));
}

// A probe must distinguish a process that has exited from one that still runs
// and from a host that is down.
TEST(Loop, ProbeChecksWhetherAnythingListens)
{
	Net net;
	RawServer server(net);
	struct loop_probe *dropped;
	ProbeResult probed;

	EXPECT_EQ(LOOP_PROBE_ACCEPTED, probe(net, server.address(), 1000));
	EXPECT_EQ(LOOP_PROBE_REFUSED, probe(net, "127.0.0.1:1", 1000));
	EXPECT_EQ(LOOP_ERR_ADDRESS,
		  loop_probe(net.loop, "x", 100, ProbeResult::on_probed,
			     &probed, &dropped));
	ASSERT_EQ(LOOP_OK,
		  loop_probe(net.loop, "127.0.0.1:1", 100,
			     ProbeResult::on_probed, &probed, &dropped));
	loop_probe_destroy(dropped);
	net.run_ms(150);
	EXPECT_FALSE(probed.done);
}

// With a full backlog the system does not reply to a connection request.
TEST(Loop, ConnectTimesOut)
{
	Net net;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sa = {};
	socklen_t len = sizeof(sa);
	std::vector<std::unique_ptr<RawConn>> raws;

	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(fd, (struct sockaddr *)&sa, sizeof(sa)));
	ASSERT_EQ(0, listen(fd, 0));
	getsockname(fd, (struct sockaddr *)&sa, &len);
	std::string address = "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
	for (int i = 0; i < 4; i++)
		raws.push_back(
			std::make_unique<RawConn>(net, address.c_str(), 50));
	// This one is closed by its owner while it is connecting.
	RawConn dropped(net, address.c_str(), 50);
	dropped.close();
	ASSERT_TRUE(net.until([&] { return raws.back()->closed; }));
	EXPECT_EQ(LOOP_CLOSE_CONNECT_FAILED, raws.back()->reason);
	EXPECT_EQ(LOOP_PROBE_NO_ANSWER, probe(net, address.c_str(), 50));
	net.run_ms(60);
	EXPECT_FALSE(dropped.closed);
	close(fd);
}

TEST(Loop, PauseStopsReadingWithoutLosingData)
{
	Net net;
	RawServer server(net);
	RawConn raw(net, server.address());
	std::string data(4 << 20, 'a');
	size_t received_bytes;

	for (size_t i = 0; i < data.size(); i++)
		data[i] = (char)(i * 7 + i / 251);
	ASSERT_TRUE(net.until([&] { return raw.opened && server.accepted; }));
	loop_conn_pause(server.last.conn, true);
	raw.send(data);
	EXPECT_GT(loop_conn_queued_bytes(raw.conn), 0u);
	net.run_ms(50);
	received_bytes = server.last.received.size();
	net.run_ms(50);
	EXPECT_EQ(received_bytes, server.last.received.size());
	EXPECT_LE(received_bytes, 65536u);
	loop_conn_pause(server.last.conn, false);
	ASSERT_TRUE(net.until(
		[&] { return server.last.received.size() == data.size(); }));
	EXPECT_TRUE(server.last.received == data);
	EXPECT_EQ(0u, loop_conn_queued_bytes(raw.conn));
	EXPECT_EQ(data.size(), loop_conn_sent_bytes(raw.conn));
}

// All data must arrive although the other end still sends and has not read yet:
// closing a socket with unread data would reset the connection.
TEST(Loop, CloseAfterSendDeliversEverything)
{
	Net net;
	RawServer server(net);
	std::string data(1 << 20, 'x');

	server.greeting = data;
	server.close_after_greeting = true;
	RawConn raw(net, server.address());
	ASSERT_TRUE(net.until([&] { return raw.opened; }));
	loop_conn_pause(raw.conn, true);
	for (int i = 0; i < 10; i++) {
		raw.send(std::string(1000, 'y'));
		net.run_ms(10);
	}
	loop_conn_pause(raw.conn, false);
	ASSERT_TRUE(net.until([&] { return raw.closed; }));
	EXPECT_EQ(data.size(), raw.received.size());
	EXPECT_EQ(LOOP_CLOSE_BY_PEER, raw.reason);
}

// A graceful shutdown stops listening, but must keep the accepted connections
// and accept those in the backlog.
TEST(Loop, ListenerDestroyKeepsConnections)
{
	Net net;
	auto server = std::make_unique<RawServer>(net);
	std::string address = server->address();
	RawConn raw(net, address.c_str());
	struct loop_conn *first_conn;

	net.until([&] { return server->accepted == 1; });
	first_conn = server->last.conn;
	RawConn waiting(net, address.c_str());
	loop_listener_destroy(server->listener);
	server->listener = nullptr;
	EXPECT_EQ(2, server->accepted);
	EXPECT_NE(first_conn, server->last.conn);
	server->last.send("x");
	EXPECT_TRUE(net.until([&] { return waiting.received == "x"; }));
	RawConn late(net, address.c_str());
	EXPECT_TRUE(net.until([&] { return late.closed; }));
	EXPECT_FALSE(late.opened);
}

namespace
{

struct Fired {
	Net *net;
	std::vector<int> order;
	struct loop_timer *timers[4];
};

} // namespace

TEST(Loop, TimersFireInOrderAndCanBeRescheduled)
{
	Net net;
	Fired fired = { &net, {}, {} };

	for (int i = 0; i < 4; i++) {
		static void (*const fns[])(void *) = {
			[](void *arg) { ((Fired *)arg)->order.push_back(0); },
			[](void *arg) {
				auto f = (Fired *)arg;

				f->order.push_back(1);
				loop_timer_destroy(f->timers[1]);
				f->timers[1] = nullptr;
				loop_timer_cancel(f->timers[3]);
			},
			[](void *arg) { ((Fired *)arg)->order.push_back(2); },
			[](void *arg) { ((Fired *)arg)->order.push_back(3); },
		};
		fired.timers[i] = loop_timer_create(net.loop, fns[i], &fired);
	}
	loop_timer_set(fired.timers[0], 5);
	loop_timer_set(fired.timers[0], 60); // moved later
	loop_timer_set(fired.timers[1], 20);
	loop_timer_set(fired.timers[2], 500);
	loop_timer_set(fired.timers[2], 10); // moved earlier
	loop_timer_set(fired.timers[3], 30); // cancelled by the second
	net.run_ms(100);
	EXPECT_EQ((std::vector<int>{ 2, 1, 0 }), fired.order);
	for (auto timer : fired.timers)
		loop_timer_destroy(timer);
}

// At the limit of open files the loop must neither crash nor spin, and must
// accept connections again once files are closed.
static void check_at_file_limit(rlim_t free_files)
{
	struct rlimit old, low;
	Net net;
	RawServer server(net);
	std::vector<std::unique_ptr<RawConn>> raws;
	int probe = dup(0);

	server.keep_all = true;
	close(probe);
	ASSERT_EQ(0, getrlimit(RLIMIT_NOFILE, &old));
	low = old;
	low.rlim_cur = (rlim_t)probe + free_files;
	ASSERT_EQ(0, setrlimit(RLIMIT_NOFILE, &low));
	for (int i = 0; i < 40; i++) {
		struct loop_conn *conn;
		auto raw = std::make_unique<RawConn>();
		enum loop_error err =
			loop_connect(net.loop, server.address(), 1000,
				     RawConn::ops(), raw.get(), &conn);

		if (err) {
			EXPECT_EQ(LOOP_ERR_SYSTEM, err);
			continue;
		}
		raw->conn = conn;
		raws.push_back(std::move(raw));
		net.run_ms(1);
	}
	size_t nr_opened = raws.size();
	clock_t cpu = clock();
	net.run_ms(300);
	cpu = clock() - cpu;
	raws.clear();
	server.last.close();
	net.run_ms(100);
	server.accepted = 0;
	RawConn again(net, server.address());
	bool served = net.until([&] { return server.accepted >= 1; });
	// Before the checks, since reporting a failure opens files.
	ASSERT_EQ(0, setrlimit(RLIMIT_NOFILE, &old));
	EXPECT_LT(nr_opened, 40u);
	EXPECT_LT((double)cpu / CLOCKS_PER_SEC, 0.15);
	EXPECT_TRUE(served);
}

TEST(Loop, LimitOfOpenFiles)
{
	// A connection needs two files. With one of the two limits the last
	// file goes to connect() and none is left for accept().
	check_at_file_limit(20);
	check_at_file_limit(21);
}

// libwebsockets sizes its tables by the limit of open files at its start. More
// connections than that must be refused without a crash.
TEST(Loop, ConnectionsBeyondLibwebsocketsTables)
{
	struct rlimit old, low;
	std::vector<std::unique_ptr<RawConn>> raws;

	ASSERT_EQ(0, getrlimit(RLIMIT_NOFILE, &old));
	low = old;
	low.rlim_cur = 40;
	ASSERT_EQ(0, setrlimit(RLIMIT_NOFILE, &low));
	Net net;
	RawServer server(net);
	ASSERT_EQ(0, setrlimit(RLIMIT_NOFILE, &old));
	server.keep_all = true;
	for (int i = 0; i < 60; i++) {
		auto raw = std::make_unique<RawConn>();

		if (loop_connect(net.loop, server.address(), 1000,
				 RawConn::ops(), raw.get(),
				 &raw->conn) == LOOP_OK)
			raws.push_back(std::move(raw));
		net.run_ms(1);
	}
	EXPECT_GT(raws.size(), 5u);
	EXPECT_LT(raws.size(), 60u);
	raws.clear();
}

// A stop signal must be handled also while the loop is idle.
TEST(Loop, StopSignals)
{
	for (int signal : { SIGTERM, SIGINT }) {
		Net net;
		int nr = 0;

		ASSERT_EQ(LOOP_OK,
			  loop_on_stop_signal(
				  net.loop, [](void *arg) { ++*(int *)arg; },
				  &nr));
		raise(signal);
		EXPECT_TRUE(net.until([&] { return nr == 1; }));
	}
}

TEST(Loop, DestroyWithOpenConnectionsCallsNothing)
{
	auto net = std::make_unique<Net>();
	auto server = std::make_unique<RawServer>(*net);
	RawConn raw(*net, server->address()), connecting;

	net->until([&] { return server->accepted == 1; });
	loop_connect(net->loop, server->address(), 1000, RawConn::ops(),
		     &connecting, &connecting.conn);
	server->last.conn = nullptr;
	server->listener = nullptr;
	raw.conn = nullptr;
	connecting.conn = nullptr;
	net.reset();
	EXPECT_FALSE(raw.closed || connecting.closed || server->last.closed);
}

// A caller may repeat a request only if the connection was closed without
// reading it, which it learns from the reset. A closed connection must
// therefore not be read any more.
TEST(Loop, ClosedConnectionIsNotRead)
{
	Net net;
	RawServer server(net);
	struct pollfd poll_fd = {};
	int fd = connect_blocking(server.address());

	ASSERT_TRUE(net.until([&] { return server.accepted == 1; }));
	ASSERT_EQ(1, send(fd, "x", 1, 0));
	server.last.close();
	net.run_ms(20);
	poll_fd.fd = fd;
	ASSERT_EQ(1, poll(&poll_fd, 1, 1000));
	EXPECT_TRUE(poll_fd.revents & POLLERR) << "was read and closed";
	close(fd);
}

// A closed connection must release its descriptor whatever its state is.
// Reading is stopped by then, so only a write event can close the socket.
TEST(Loop, ClosedConnectionsReleaseDescriptors)
{
	Net net;
	RawServer server(net);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sa = {};
	socklen_t len = sizeof(sa);
	size_t before;

	// Nothing accepts from it, so further connections stay incomplete.
	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(listener, (struct sockaddr *)&sa, sizeof(sa)));
	ASSERT_EQ(0, listen(listener, 0));
	ASSERT_EQ(0, getsockname(listener, (struct sockaddr *)&sa, &len));
	std::string full = "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
	RawConn filler(net, full.c_str(), 10000);
	ASSERT_TRUE(net.until([&] { return filler.opened; }));
	RawConn waiting(net, full.c_str(), 10000);
	net.run_ms(20);
	before = nr_descriptors();
	for (int i = 0; i < 6; i++) {
		RawConn connecting(net, full.c_str(), 10000);
		std::vector<int> fds;

		for (int k = 0; k < 50; k++) {
			int accepted = server.accepted;
			int fd = connect_blocking(server.address());

			fds.push_back(fd);
			ASSERT_TRUE(net.until(
				[&] { return server.accepted > accepted; }));
			struct loop_conn *conn = server.last.conn;
			switch (i) {
			case 0: // paused, with unread bytes
				loop_conn_pause(conn, true);
				send(fd, "x", 1, 0);
				break;
			case 1: // a full queue that nobody reads
				server.last.send(std::string(8 << 20, 'x'));
				net.run_ms(1);
				break;
			case 2: // reset by the other end, not yet noticed
			{
				struct linger linger = { 1, 0 };

				setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger,
					   sizeof(linger));
				close(fd);
				fds.pop_back();
				break;
			}
			case 3: // half-closed by the other end, paused
				loop_conn_pause(conn, true);
				shutdown(fd, SHUT_WR);
				break;
			case 4: // lingers, with queued bytes
				loop_conn_pause(conn, true);
				server.last.send(std::string(8 << 20, 'x'));
				server.last.conn = nullptr;
				loop_conn_close_after_send(conn);
				loop_conn_close(conn);
				break;
			case 5: // reset while paused
				loop_conn_pause(conn, true);
				net.run_ms(1);
				close(fd);
				fds.pop_back();
				break;
			}
			server.last.close();
		}
		connecting.close();
		net.run_ms(50);
		EXPECT_EQ(before + fds.size(), nr_descriptors()) << i;
		for (int fd : fds)
			close(fd);
	}
	close(listener);
}
