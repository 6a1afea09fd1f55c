// Event loop for tests, and connections and a server that record the data that
// they receive.
#ifndef NET_FIXTURE_H
#define NET_FIXTURE_H

#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "clock.h"
#include "loop.h"

struct Net {
	struct clk *clk = clk_create_system();
	struct loop *loop = loop_create(clk);
	struct loop_timer *poll = loop_timer_create(loop, check, this);
	std::function<bool()> done;
	uint64_t end_ms = 0;
	bool reached = false;

	~Net()
	{
		loop_timer_destroy(poll);
		loop_destroy(loop);
		clk_destroy(clk);
	}

	static void check(void *arg)
	{
		auto net = (Net *)arg;

		net->reached = net->done();
		if (net->reached || clk_now_ms(net->clk) >= net->end_ms)
			loop_stop(net->loop);
		else
			loop_timer_set(net->poll, 1);
	}

	// Runs the loop until the condition is true. Returns false after
	// limit_ms.
	bool until(std::function<bool()> condition, uint64_t limit_ms = 5000)
	{
		done = condition;
		end_ms = clk_now_ms(clk) + limit_ms;
		loop_timer_set(poll, 0);
		loop_run(loop);
		return reached;
	}

	void run_ms(uint64_t ms)
	{
		until([] { return false; }, ms);
	}
};

// A TCP connection.
struct RawConn {
	struct loop_conn *conn = nullptr;
	std::string received;
	bool opened = false;
	bool closed = false;
	enum loop_close reason = LOOP_CLOSE_ERROR;

	static void on_opened(void *arg, struct loop_conn *)
	{
		((RawConn *)arg)->opened = true;
	}

	static void on_data(void *arg, struct loop_conn *, const uint8_t *data,
			    size_t len)
	{
		((RawConn *)arg)->received.append((const char *)data, len);
	}

	static void on_closed(void *arg, struct loop_conn *,
			      enum loop_close reason)
	{
		auto raw = (RawConn *)arg;

		raw->conn = nullptr;
		raw->closed = true;
		raw->reason = reason;
	}

	static const struct loop_conn_ops *ops()
	{
		static const struct loop_conn_ops ops = { on_opened, on_data,
							  nullptr, on_closed };
		return &ops;
	}

	RawConn() = default;
	RawConn(const RawConn &) = delete;

	RawConn(Net &net, const char *address, uint32_t timeout_ms = 2000)
	{
		EXPECT_EQ(LOOP_OK, loop_connect(net.loop, address, timeout_ms,
						ops(), this, &conn));
	}

	~RawConn()
	{
		close();
	}

	void close()
	{
		if (conn)
			loop_conn_close(conn);
		conn = nullptr;
	}

	void send(const std::string &text)
	{
		if (conn)
			loop_conn_send(conn, text.data(), text.size());
	}
};

// Accepts connections. Closes the previous one with each new one, unless
// keep_all is set.
struct RawServer {
	struct loop_listener *listener = nullptr;
	RawConn last, others;
	int accepted = 0;
	std::string greeting;
	bool close_after_greeting = false;
	bool keep_all = false;

	explicit RawServer(Net &net, const char *address = "127.0.0.1:0")
	{
		EXPECT_EQ(LOOP_OK, loop_listen(net.loop, address, on_accept,
					       this, &listener));
	}

	~RawServer()
	{
		loop_listener_destroy(listener);
	}

	const char *address()
	{
		return loop_listener_address(listener);
	}

	static void on_accept(void *arg, struct loop_conn *conn)
	{
		auto server = (RawServer *)arg;

		server->accepted++;
		if (server->keep_all && server->last.conn)
			loop_conn_set_ops(server->last.conn, RawConn::ops(),
					  &server->others);
		else
			server->last.close();
		server->last.closed = false;
		server->last.received.clear();
		server->last.conn = conn;
		loop_conn_set_ops(conn, RawConn::ops(), &server->last);
		server->last.send(server->greeting);
		if (server->close_after_greeting) {
			server->last.conn = nullptr;
			loop_conn_close_after_send(conn);
		}
	}
};

#endif
