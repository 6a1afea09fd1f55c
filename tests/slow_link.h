// A network link that carries the bytes to one machine in order and at most at
// its rate: what others send faster waits. Bytes in the other direction pass at
// once.
#ifndef SLOW_LINK_H
#define SLOW_LINK_H

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net_fixture.h"

struct SlowLink {
	static const uint32_t STEP_MS = 2;

	// A connection through the link.
	struct Path {
		SlowLink *link;
		struct loop_conn *outer = nullptr, *inner = nullptr;
		bool to_inner; // from outer to inner is the slow direction
	};

	struct Packet {
		Path *path;
		std::string bytes;
	};

	struct Entrance {
		SlowLink *link;
		struct loop_listener *listener;
		std::string target;
		bool to_inner;
	};

	Net &net;
	uint32_t bytes_per_ms;
	struct loop_timer *timer;
	std::deque<Packet> queue;
	size_t queued_bytes = 0, longest_bytes = 0;
	uint64_t drained_ms;
	std::vector<std::unique_ptr<Path>> paths;
	std::vector<std::unique_ptr<Entrance>> entrances;

	SlowLink(Net &net, uint32_t kbit_per_s)
	    : net(net), bytes_per_ms(kbit_per_s / 8),
	      timer(loop_timer_create(net.loop, on_timer, this)),
	      drained_ms(clk_now_ms(net.clk))
	{
		loop_timer_set(timer, STEP_MS);
	}

	~SlowLink()
	{
		for (auto &entrance : entrances)
			loop_listener_destroy(entrance->listener);
		for (auto &path : paths) {
			if (path->outer)
				loop_conn_close(path->outer);
			if (path->inner)
				loop_conn_close(path->inner);
		}
		loop_timer_destroy(timer);
	}

	// Returns an address whose connections lead through the link to the
	// target. to_inner: the bytes towards the target are slow, otherwise
	// those from it.
	std::string enter(const std::string &target, bool to_inner,
			  const char *address = "127.0.0.1:0")
	{
		auto entrance = std::make_unique<Entrance>();

		entrance->link = this;
		entrance->target = target;
		entrance->to_inner = to_inner;
		EXPECT_EQ(LOOP_OK,
			  loop_listen(net.loop, address, on_accept,
				      entrance.get(), &entrance->listener));
		entrances.push_back(std::move(entrance));
		return loop_listener_address(entrances.back()->listener);
	}

	// How long a byte waits that is sent now.
	uint64_t wait_ms() const
	{
		return queued_bytes / bytes_per_ms;
	}

	static void on_timer(void *arg)
	{
		auto self = (SlowLink *)arg;
		uint64_t now_ms = clk_now_ms(self->net.clk);
		size_t room = (now_ms - self->drained_ms) * self->bytes_per_ms;

		self->drained_ms = now_ms;
		while (room && !self->queue.empty()) {
			Packet &packet = self->queue.front();
			size_t nr = std::min(room, packet.bytes.size());
			struct loop_conn *to = packet.path->to_inner ?
						       packet.path->inner :
						       packet.path->outer;

			if (to)
				loop_conn_send(to, packet.bytes.data(), nr);
			packet.bytes.erase(0, nr);
			self->queued_bytes -= nr;
			room -= nr;
			if (packet.bytes.empty())
				self->queue.pop_front();
		}
		loop_timer_set(self->timer, STEP_MS);
	}

	void pass(Path *path, bool from_outer, const uint8_t *data, size_t len)
	{
		struct loop_conn *to = from_outer ? path->inner : path->outer;

		if (from_outer != path->to_inner) {
			if (to)
				loop_conn_send(to, data, len);
			return;
		}
		queue.push_back({ path, std::string((const char *)data, len) });
		queued_bytes += len;
		longest_bytes = std::max(longest_bytes, queued_bytes);
	}

	static void on_outer_data(void *arg, struct loop_conn *,
				  const uint8_t *data, size_t len)
	{
		auto path = (Path *)arg;

		path->link->pass(path, true, data, len);
	}

	static void on_inner_data(void *arg, struct loop_conn *,
				  const uint8_t *data, size_t len)
	{
		auto path = (Path *)arg;

		path->link->pass(path, false, data, len);
	}

	static void on_outer_closed(void *arg, struct loop_conn *,
				    enum loop_close)
	{
		auto path = (Path *)arg;

		path->outer = nullptr;
		if (path->inner)
			loop_conn_close_after_send(path->inner);
		path->inner = nullptr;
	}

	static void on_inner_closed(void *arg, struct loop_conn *,
				    enum loop_close)
	{
		auto path = (Path *)arg;

		path->inner = nullptr;
		if (path->outer)
			loop_conn_close_after_send(path->outer);
		path->outer = nullptr;
	}

	static void on_accept(void *arg, struct loop_conn *conn)
	{
		static const struct loop_conn_ops outer = {
			nullptr, on_outer_data, nullptr, on_outer_closed
		};
		static const struct loop_conn_ops inner = {
			nullptr, on_inner_data, nullptr, on_inner_closed
		};
		auto entrance = (Entrance *)arg;
		SlowLink *link = entrance->link;

		link->paths.push_back(std::make_unique<Path>());
		Path *path = link->paths.back().get();
		path->link = link;
		path->to_inner = entrance->to_inner;
		path->outer = conn;
		loop_conn_set_ops(conn, &outer, path);
		EXPECT_EQ(LOOP_OK,
			  loop_connect(link->net.loop, entrance->target.c_str(),
				       2000, &inner, path, &path->inner));
	}
};

#endif
