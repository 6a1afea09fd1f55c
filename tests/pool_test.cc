// Tests the connections of leased entry instances to backend servers.
#include <string>

#include "agent_fake.h"
#include "net_fixture.h"
#include "pool.h"

namespace
{

struct Call {
	bool done = false;
	enum http_result result = HTTP_OK;

	static bool on_done(void *arg, const struct http_outcome *outcome)
	{
		auto call = (Call *)arg;

		call->done = true;
		call->result = outcome->result;
		return false;
	}

	static bool may_send(void *)
	{
		return true;
	}
};

// Each response was limited, but not all of them together: servers that sent
// without end used up the memory of the instance.
TEST(Pool, ResponsesShareAMemoryLimit)
{
	const std::string chunked = "HTTP/1.1 200 OK\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n";
	const std::string chunk = "3e80\r\n" + std::string(16000, 'x') + "\r\n";
	const size_t NR_CALLS = 10;
	AgentFake fake;
	Net net;
	RawServer server(net);
	Call calls[NR_CALLS], small;
	std::string address = loop_listener_address(server.listener);
	struct pool_settings settings = {};
	struct backend_call call = {};
	size_t nr_kept = 0, nr_refused = 0;

	settings.loop = net.loop;
	settings.agent = fake.agent;
	settings.counters = fake.counters;
	settings.call_finished = [](void *) {};
	settings.response_memory_bytes = 200000;
	server.keep_all = true;
	server.greeting = chunked + chunk + chunk + chunk;
	struct pool *pool = pool_create(&settings);

	call.address = address.c_str();
	call.new_connection = true;
	call.done = Call::on_done;
	call.http.method = "GET";
	call.http.target = "/";
	call.http.response_max_bytes = 1 << 20;
	call.http.timeout_ms = 5000;
	call.http.may_send = Call::may_send;
	for (Call &at : calls) {
		call.http.arg = &at;
		ASSERT_NE(nullptr, pool_send(pool, &call));
	}
	net.run_ms(300);
	for (const Call &at : calls) {
		nr_kept += !at.done;
		nr_refused += at.done && at.result == HTTP_MEMORY;
	}
	EXPECT_GE(nr_kept, 2u);
	EXPECT_LE(nr_kept, 4u);
	EXPECT_EQ(NR_CALLS, nr_kept + nr_refused);
	// Small responses are still received.
	server.greeting = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	call.http.arg = &small;
	ASSERT_NE(nullptr, pool_send(pool, &call));
	EXPECT_TRUE(net.until([&] { return small.done; }));
	EXPECT_EQ(HTTP_OK, small.result);
	pool_destroy(pool);
}

} // namespace
