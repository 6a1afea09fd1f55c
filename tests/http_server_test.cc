// Tests the HTTP server: framing, refusals, pipelining, shutdown.
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "http.h"
#include "net_fixture.h"

namespace
{

struct Server {
	Net net;
	struct http_server *server = nullptr;
	struct ctr_set *counters = ctr_set_create();
	std::vector<std::string> requests; // "METHOD TARGET BODY"
	std::vector<struct http_exchange *> pending;
	std::string headers; // of the last request
	uint64_t received_ms = 0; // of the last request
	bool abandoned = false; // its caller, when the handler got it
	bool register_abort = true;
	bool defer_response = false;
	bool destroy_in_handler = false;
	std::function<void()> in_handler;
	struct http_head_check check = {};
	uint64_t checked_bytes = 0;
	uint32_t time_limit_ms = 0; // 0: none
	int aborted = 0;
	int ids = 0;

	explicit Server(uint32_t timeout_ms = 300, uint32_t connections = 100)
	{
		struct http_server_settings settings = {};

		settings.address = "127.0.0.1:0";
		settings.body_max_bytes = 1000;
		settings.body_memory_bytes = 1500;
		settings.connections_max = connections;
		settings.idle_timeout_ms = timeout_ms;
		settings.head_timeout_ms = timeout_ms;
		settings.body_timeout_ms = timeout_ms;
		settings.counters = counters;
		settings.make_id = make_id;
		settings.check_head = check_head;
		EXPECT_EQ(LOOP_OK, http_server_create(net.loop, &settings,
						      handle, this, &server));
	}

	~Server()
	{
		http_server_destroy(server);
		ctr_set_destroy(counters);
	}

	static void make_id(void *arg, char id[REQUEST_ID_BYTES_MAX])
	{
		snprintf(id, REQUEST_ID_BYTES_MAX, "e1-%d",
			 ++((Server *)arg)->ids);
	}

	static void check_head(void *arg, const struct http_request *req,
			       uint64_t body_bytes,
			       struct http_head_check *check)
	{
		auto self = (Server *)arg;

		*check = self->check;
		self->checked_bytes = body_bytes;
		if (self->time_limit_ms)
			check->response_due_ms =
				req->head_ms + self->time_limit_ms;
	}

	static void abort(void *arg)
	{
		((Server *)arg)->aborted++;
	}

	static void respond(struct http_exchange *exchange,
			    const std::string &body)
	{
		struct http_response response = {};

		response.status = 200;
		response.body = (const uint8_t *)body.data();
		response.body_bytes = body.size();
		http_respond(exchange, &response);
	}

	static void handle(void *arg, struct http_exchange *exchange,
			   const struct http_request *req)
	{
		auto self = (Server *)arg;
		std::string body((const char *)req->body, req->body_bytes);

		self->requests.push_back(std::string(req->method) + " " +
					 req->target + " " + body);
		self->received_ms = req->received_ms;
		self->abandoned = http_exchange_is_abandoned(exchange);
		if (self->in_handler)
			self->in_handler();
		if (self->destroy_in_handler) {
			http_server_destroy(self->server);
			self->server = nullptr;
			return;
		}
		self->headers.clear();
		for (size_t i = 0; i < req->nr_headers; i++)
			self->headers += std::string(req->headers[i].name) +
					 "=" + req->headers[i].value + ";";
		if (self->defer_response) {
			if (self->register_abort)
				http_exchange_on_abort(exchange, abort, arg);
			self->pending.push_back(exchange);
			return;
		}
		respond(exchange, std::string("<") + req->target + ">");
	}

	const char *address()
	{
		return http_server_address(server);
	}
};

size_t count(const std::string &text, const std::string &part)
{
	size_t nr = 0;

	for (size_t at = text.find(part); at != std::string::npos;
	     at = text.find(part, at + 1))
		nr++;
	return nr;
}

struct Row {
	const char *name;
	std::string in;
	std::string requests; // that the handler gets, joined by "|"
	std::vector<int> statuses;
	bool closes;
};

const std::string H = " HTTP/1.1\r\nHost: a\r\n";

const std::vector<Row> &rows()
{
	static const std::vector<Row> table = {
		{ "get",
		  "GET /x?y=%20z" + H + "\r\n",
		  "GET /x?y=%20z ",
		  { 200 },
		  false },
		{ "target as received",
		  "GET //a/../b;c" + H + "\r\n",
		  "GET //a/../b;c ",
		  { 200 },
		  false },
		{ "body",
		  "POST /" + H + "Content-Length: 3\r\n\r\nabc",
		  "POST / abc",
		  { 200 },
		  false },
		{ "chunks are unframed",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n",
		  "POST / abcde",
		  { 200 },
		  false },
		{ "framing headers in trailers are dropped",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "3\r\nabc\r\n0\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n",
		  "POST / abc",
		  { 200 },
		  false },
		{ "pipelined in order",
		  "GET /1" + H + "\r\nPOST /2" + H +
			  "Content-Length: 1\r\n\r\nxGET /3" + H + "\r\n",
		  "GET /1 |POST /2 x|GET /3 ",
		  { 200, 200, 200 },
		  false },
		{ "empty line before",
		  "\r\nGET /" + H + "\r\n",
		  "GET / ",
		  { 200 },
		  false },
		{ "close",
		  "GET /" + H + "Connection: close\r\n\r\n",
		  "GET / ",
		  { 200 },
		  true },
		{ "version 1.0",
		  "GET / HTTP/1.0\r\n\r\n",
		  "GET / ",
		  { 200 },
		  true },
		{ "continue",
		  "POST /" + H +
			  "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		  "",
		  { 100 },
		  false },
		{ "continue without body",
		  "GET /" + H + "Expect: 100-continue\r\n\r\n",
		  "GET / ",
		  { 200 },
		  false },
		{ "upgrade is ignored",
		  "GET /" + H + "Connection: upgrade\r\nUpgrade: x\r\n\r\n",
		  "GET / ",
		  { 200 },
		  false },
		// Each of these could be used to smuggle a second request.
		{ "length and chunks",
		  "POST /" + H +
			  "Content-Length: 3\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "chunks and length",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n"
			  "Content-Length: 3\r\n\r\n0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "two lengths",
		  "POST /" + H +
			  "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		  "",
		  { 400 },
		  true },
		{ "equal lengths",
		  "POST /" + H +
			  "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		  "",
		  { 400 },
		  true },
		{ "length list",
		  "POST /" + H + "Content-Length: 3, 3\r\n\r\nabc",
		  "",
		  { 400 },
		  true },
		{ "signed length",
		  "POST /" + H + "Content-Length: +3\r\n\r\nabc",
		  "",
		  { 400 },
		  true },
		{ "two codings",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "other coding",
		  "POST /" + H +
			  "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "chunked in 1.0",
		  "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "chunk longer than its size",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "3\r\nabcde0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "bare CR in a chunk size line",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "3\rXabc\r\n0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "bare LF in a chunk size line",
		  "POST /" + H +
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "3;\nabc\r\n0\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "bare LF", "GET / HTTP/1.1\nHost: a\n\n", "", { 400 }, true },
		{ "bare CR",
		  "GET /" + H + "A: b\rC: d\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "folded header",
		  "GET /" + H + "A: b\r\n c\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "space before colon",
		  "POST /" + H + "Content-Length : 3\r\n\r\nabc",
		  "",
		  { 400 },
		  true },
		{ "NUL in a header",
		  "GET /" + H + std::string("A: b\0c\r\n\r\n", 10),
		  "",
		  { 400 },
		  true },
		{ "two hosts",
		  "GET /" + H + "Host: b\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "no host", "GET / HTTP/1.1\r\n\r\n", "", { 400 }, true },
		{ "two authorizations",
		  "GET /" + H + "Authorization: a\r\nAuthorization: b\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "absolute target",
		  "GET http://a/" + H + "\r\n",
		  "",
		  { 400 },
		  true },
		{ "connect", "CONNECT a:80" + H + "\r\n", "", { 400 }, true },
		{ "star", "OPTIONS *" + H + "\r\n", "", { 400 }, true },
		{ "fragment", "GET /a#b" + H + "\r\n", "", { 400 }, true },
		{ "control byte in target",
		  "GET /a\x01" + H + "\r\n",
		  "",
		  { 400 },
		  true },
		{ "high byte in target",
		  "GET /a\xc3" + H + "\r\n",
		  "",
		  { 400 },
		  true },
		{ "no version", "GET /\r\n\r\n", "", { 400 }, true },
		{ "version 2",
		  "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
		  "",
		  { 400 },
		  true },
		{ "unknown method", "BREW /" + H + "\r\n", "", { 400 }, true },
		{ "other expectation",
		  "POST /" + H + "Expect: x\r\nContent-Length: 1\r\n\r\na",
		  "",
		  { 417 },
		  true },
		{ "head too large",
		  "GET /" + H + "A: " + std::string(17000, 'a') + "\r\n\r\n",
		  "",
		  { 431 },
		  true },
		{ "body too large",
		  "POST /" + H + "Content-Length: 1001\r\n\r\n",
		  "",
		  { 413 },
		  true },
		{ "chunks too large",
		  "POST /" + H + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
			  std::string(1001, 'a'),
		  "",
		  { 413 },
		  true },
		{ "request after a refusal is not handled",
		  "GET http://a/" + H + "\r\nGET /2" + H + "\r\n",
		  "",
		  { 400 },
		  true },
	};
	return table;
}

std::vector<int> statuses(const std::string &text)
{
	std::vector<int> found;

	for (size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
	     at = text.find("HTTP/1.1 ", at + 1))
		found.push_back(std::stoi(text.substr(at + 9, 3)));
	return found;
}

// Sends the bytes of one case in pieces of the given size.
void run_row(const Row &row, size_t piece_bytes)
{
	Server s(3000);
	RawConn raw(s.net, s.address());
	std::string requests;

	for (size_t at = 0; at < row.in.size(); at += piece_bytes) {
		raw.send(row.in.substr(at, piece_bytes));
		if (piece_bytes < row.in.size())
			s.net.run_ms(1);
	}
	EXPECT_TRUE(s.net.until([&] {
		return statuses(raw.received).size() >= row.statuses.size() &&
		       (!row.closes || raw.closed);
	})) << row.name;
	for (const auto &one : s.requests)
		requests += (requests.empty() ? "" : "|") + one;
	EXPECT_EQ(row.requests, requests) << row.name;
	EXPECT_EQ(row.statuses, statuses(raw.received)) << row.name;
	EXPECT_EQ(row.closes, raw.closed) << row.name;
	if (row.statuses.back() >= 400) {
		EXPECT_EQ(1u, count(raw.received, "\"not_run\":true"))
			<< row.name;
		EXPECT_EQ(1u, count(raw.received, "Almondward-Not-Run: 1"));
		EXPECT_EQ(1u, count(raw.received, "Connection: close"));
		EXPECT_EQ(0u, count(raw.received, "\"request_id\":\"\""));
	}
	// Callers quote the id in questions about a response; 1xx have none.
	size_t finals = 0;
	for (int status : row.statuses)
		finals += status >= 200;
	EXPECT_EQ(finals, count(raw.received, "Almondward-Request-Id: e1-"))
		<< row.name;
}

// A large body was received in full before its request was refused. The refusal
// must not wait for the body, and the body must not be read as a request.
TEST(HttpServer, OwnerRefusesBeforeTheBody)
{
	Server server;
	RawConn client(server.net, server.address());

	server.check.refusal = REFUSAL_QUEUE_FULL;
	server.check.retry_after_ms = 2500;
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n"
		    "\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(server.net.until([&] { return client.closed; }));
	EXPECT_EQ(900u, server.checked_bytes);
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 503 "));
	EXPECT_NE(std::string::npos,
		  client.received.find("Retry-After: 3\r\n"));
	EXPECT_EQ(std::string::npos, client.received.find("HTTP/1.1", 1));
	EXPECT_TRUE(server.requests.empty());
}

// The handler gets a request only with its whole body. One whose body came in
// small parts was held as long as any part came, beyond its time limit.
TEST(HttpServer, TimeLimitHoldsWhileTheBodyIsReceived)
{
	Server server(1000);
	RawConn client(server.net, server.address());
	uint64_t start_ms = clk_now_ms(server.net.clk);

	server.time_limit_ms = 400;
	client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n"
		    "\r\n");
	for (int i = 0; i < 12 && !client.closed; i++) {
		client.send("x");
		server.net.run_ms(100);
	}
	ASSERT_TRUE(client.closed);
	EXPECT_LE(clk_now_ms(server.net.clk) - start_ms, 1000u);
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 503 "));
	EXPECT_NE(std::string::npos,
		  client.received.find("Almondward-Not-Run: 1"));
	EXPECT_TRUE(server.requests.empty());
}

} // namespace

TEST(HttpServer, Table)
{
	for (const auto &row : rows())
		run_row(row, row.in.size());
}

// The outcome must not depend on how the bytes are split into reads.
TEST(HttpServer, TableInSmallPieces)
{
	for (const auto &row : rows())
		run_row(row, row.in.size() > 2000 ? 700 : 1);
}

TEST(HttpServer, DuplicateHeadersAreKept)
{
	Server s;
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /" + H + "X: 1\r\nX: 2 \r\nY:\r\n\r\n");
	ASSERT_TRUE(s.net.until([&] { return !s.pending.empty(); }));
	EXPECT_EQ("Host=a;X=1;X=2;Y=;", s.headers);
	Server::respond(s.pending[0], "");
}

// Responses are sent in the order of the requests, also when the handler is
// slow, and the handler gets a pipelined request only after it has responded to
// the previous one.
TEST(HttpServer, PipelinedRequestsWaitForTheResponse)
{
	Server s;
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /1" + H + "\r\nGET /2" + H + "\r\n");
	for (size_t i = 1; i <= 2; i++) {
		ASSERT_TRUE(
			s.net.until([&] { return s.requests.size() == i; }));
		s.net.run_ms(10);
		ASSERT_EQ(i, s.pending.size());
		Server::respond(s.pending[i - 1], std::to_string(i));
		EXPECT_EQ(i, s.requests.size()) << "handler called by respond";
	}
	EXPECT_TRUE(s.net.until([&] {
		return raw.received.find("\r\n\r\n2") != std::string::npos;
	}));
	EXPECT_LT(raw.received.find("\r\n\r\n1"),
		  raw.received.find("\r\n\r\n2"));
}

// Guards against work for a caller that has left: the handler gets a request
// before the end of its connection is read.
TEST(HttpServer, CallerThatLeftIsKnownToTheHandler)
{
	for (bool leaves : { true, false }) {
		Server s;
		RawConn raw(s.net, s.address());

		ASSERT_TRUE(s.net.until([&] { return raw.opened; }));
		s.net.run_ms(20);
		raw.send("GET /" + H + "\r\n");
		if (leaves)
			loop_conn_close_after_send(raw.conn);
		if (leaves)
			raw.conn = nullptr;
		ASSERT_TRUE(
			s.net.until([&] { return s.requests.size() == 1; }));
		EXPECT_EQ(leaves, s.abandoned);
	}
}

// The time of the first byte bounds how long a request may have waited unread;
// a pipelined one was read with the request before it.
TEST(HttpServer, FirstByteOfARequestHasATime)
{
	Server s;
	RawConn raw(s.net, s.address());
	uint64_t sent_ms;

	s.defer_response = true;
	raw.send("GET /1 HTTP/1.1\r\nHo");
	s.net.run_ms(100);
	sent_ms = clk_now_ms(s.net.clk);
	raw.send("st: a\r\n\r\nGET /2" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 1; }));
	EXPECT_LE(s.received_ms, sent_ms - 50);
	s.net.run_ms(100);
	Server::respond(s.pending[0], "");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 2; }));
	EXPECT_GE(s.received_ms, sent_ms);
	EXPECT_LE(s.received_ms, sent_ms + 50);
	Server::respond(s.pending[1], "");
}

// A caller that keeps sending while its response is pending must not fill the
// memory.
TEST(HttpServer, PipelineIsBounded)
{
	Server s(3000);
	RawConn raw(s.net, s.address());
	size_t queued_bytes;

	s.defer_response = true;
	raw.send("GET /" + H + "\r\n" + std::string(32 << 20, 'x'));
	s.net.run_ms(100);
	queued_bytes = loop_conn_queued_bytes(raw.conn);
	EXPECT_GT(queued_bytes, 0u);
	s.net.run_ms(50);
	EXPECT_EQ(queued_bytes, loop_conn_queued_bytes(raw.conn));
	Server::respond(s.pending[0], "");
	EXPECT_TRUE(s.net.until(
		[&] { return count(raw.received, "HTTP/1.1 4") == 1; }));
}

TEST(HttpServer, AbortWhenCallerDisconnects)
{
	Server s;
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return !s.pending.empty(); }));
	EXPECT_EQ(1u, http_server_active(s.server));
	raw.close();
	EXPECT_TRUE(s.net.until([&] { return s.aborted == 1; }));
	EXPECT_EQ(0u, http_server_active(s.server));
	EXPECT_EQ(0u, http_server_connections(s.server));
}

// A caller that stops in its request and closes: the rest must not be handled as
// a request, with a shorter body or another length.
TEST(HttpServer, CutRequestIsNotHandled)
{
	const std::string requests[] = {
		"GET /a" + H + "X-A: b\r\n\r\n",
		"POST /a" + H + "Content-Length: 120\r\n\r\n" +
			std::string(120, 'b'),
		"POST /a" + H + "Transfer-Encoding: chunked\r\n\r\n78\r\n" +
			std::string(120, 'b') + "\r\n0\r\n\r\n",
	};
	Server s;
	auto send = [&](const std::string &part) {
		RawConn raw(s.net, s.address());

		ASSERT_TRUE(s.net.until([&] {
			return raw.opened && http_server_connections(s.server);
		}));
		raw.send(part);
		loop_conn_close_after_send(raw.conn);
		raw.conn = nullptr;
		ASSERT_TRUE(s.net.until(
			[&] { return !http_server_connections(s.server); }));
	};

	for (const auto &request : requests)
		for (size_t end = 0; end < request.size(); end++)
			send(request.substr(0, end));
	EXPECT_TRUE(s.requests.empty()) << s.requests[0];
	// Whole ones that are sent in this way are handled.
	for (const auto &request : requests)
		send(request);
	EXPECT_EQ(3u, s.requests.size());
}

// Without an abort callback the exchange stays valid until the response.
TEST(HttpServer, RespondAfterCallerDisconnected)
{
	Server s;
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	s.register_abort = false;
	raw.send("GET /" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return !s.pending.empty(); }));
	raw.close();
	ASSERT_TRUE(s.net.until(
		[&] { return !http_server_connections(s.server); }));
	EXPECT_EQ(1u, http_server_active(s.server));
	Server::respond(s.pending[0], "");
	EXPECT_EQ(0u, http_server_active(s.server));
}

TEST(HttpServer, DestroyInHandler)
{
	Server s;
	RawConn raw(s.net, s.address());

	s.destroy_in_handler = true;
	raw.send("GET /" + H + "\r\nGET /" + H + "\r\n");
	EXPECT_TRUE(s.net.until([&] { return raw.closed; }));
	EXPECT_EQ(1u, s.requests.size());
}

TEST(HttpServer, Timeouts)
{
	const struct {
		const char *in;
		size_t responses;
	} rows[] = {
		{ "", 0 }, // idle
		{ "GET / HT", 1 },
		{ "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na",
		  1 },
	};

	for (const auto &row : rows) {
		Server s(50);
		RawConn raw(s.net, s.address());

		raw.send(row.in);
		EXPECT_TRUE(s.net.until([&] { return raw.closed; })) << row.in;
		EXPECT_EQ(row.responses, count(raw.received, "HTTP/1.1 400"))
			<< row.in;
		EXPECT_TRUE(s.requests.empty());
	}
}

// Stalls are simulated by not running the loop. A request that is complete in
// the socket when the idle timeout has passed must not be dropped.
TEST(HttpServer, RequestReceivedDuringStallOutlastsIdleTimeout)
{
	Server s(100);
	RawConn raw(s.net, s.address());

	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 1; }));
	raw.send("GET /x" + H + "\r\n");
	usleep(200000);
	EXPECT_TRUE(s.net.until([&] {
		return count(raw.received, "</x>") == 1;
	})) << "closed: "
	    << raw.closed << " received: " << raw.received;
}

// The same if the request arrives when the loop has already looked for ready
// sockets and is then held up, here by another request.
TEST(HttpServer, RequestReceivedBeforeLateTimerIsHandled)
{
	Server s(100);
	RawConn busy(s.net, s.address()), raw(s.net, s.address());

	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 2; }));
	s.in_handler = [&] {
		s.in_handler = nullptr;
		raw.send("GET /x" + H + "\r\n");
	};
	busy.send("GET /" + H + "\r\n");
	usleep(150000);
	EXPECT_TRUE(s.net.until([&] {
		return count(raw.received, "</x>") == 1;
	})) << "closed: "
	    << raw.closed << " received: " << raw.received;
}

// The rest of a request that arrived before its time limit must not be taken
// for late because the process reads it late.
TEST(HttpServer, RestReceivedDuringStallIsInTime)
{
	const std::string parts[][2] = {
		{ "GET /x", H + "\r\n" },
		{ "POST /x" + H + "Content-Length: 4\r\n\r\nab", "cd" },
	};

	for (const auto &part : parts) {
		Server s(100);
		RawConn raw(s.net, s.address());

		raw.send(part[0]);
		ASSERT_TRUE(s.net.until([&] {
			return http_server_connections(s.server) == 1;
		}));
		s.net.run_ms(20);
		raw.send(part[1]);
		usleep(200000);
		EXPECT_TRUE(s.net.until([&] { return !raw.received.empty(); }));
		EXPECT_EQ((std::vector<int>{ 200 }), statuses(raw.received))
			<< part[0];
	}
}

// Callers reuse a connection for as long as the newest timeout promises, also
// one that became idle under a shorter timeout.
TEST(HttpServer, RaisedIdleTimeoutAppliesToIdleConnections)
{
	Server s(200);
	RawConn raw(s.net, s.address());

	raw.send("GET /1" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 1; }));
	http_server_set_idle_timeout(s.server, 1000);
	s.net.run_ms(600);
	EXPECT_FALSE(raw.closed);
	raw.send("GET /2" + H + "\r\n");
	EXPECT_TRUE(
		s.net.until([&] { return count(raw.received, "</2>") == 1; }));
	http_server_set_idle_timeout(s.server, 0);
	s.net.run_ms(1200);
	EXPECT_FALSE(raw.closed) << "0 means no timeout";
}

// A caller may still rely on the timeout that was in force when its connection
// became idle.
TEST(HttpServer, LoweredIdleTimeoutSparesIdleConnections)
{
	Server s(600);
	RawConn idle(s.net, s.address()), used(s.net, s.address());

	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 2; }));
	http_server_set_idle_timeout(s.server, 100);
	used.send("GET /1" + H + "\r\n");
	s.net.run_ms(300);
	EXPECT_TRUE(used.closed);
	EXPECT_FALSE(idle.closed);
	EXPECT_TRUE(s.net.until([&] { return idle.closed; }, 1000));
}

// A caller that does not read its response must not occupy memory forever.
TEST(HttpServer, UnreadResponseTimesOut)
{
	Server s(100);
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return !s.pending.empty(); }));
	loop_conn_pause(raw.conn, true);
	Server::respond(s.pending[0], std::string(32 << 20, 'x'));
	EXPECT_TRUE(s.net.until(
		[&] { return !http_server_connections(s.server); }));
}

// Large responses that share a slow link take turns: one that gets no turn for
// a long time would be cut off as if its caller did not read it.
TEST(HttpServer, ResponsesTakeTurnsOnSlowLink)
{
	const size_t body_bytes = 100000;
	Server s(1000);
	std::vector<std::unique_ptr<RawConn>> raws;
	size_t nr_complete = 0;

	loop_set_link_rate(s.net.loop, 4000);
	s.defer_response = true;
	for (int i = 0; i < 20; i++) {
		raws.push_back(std::make_unique<RawConn>(s.net, s.address()));
		raws.back()->send("GET /" + H + "\r\n");
	}
	ASSERT_TRUE(s.net.until([&] { return s.pending.size() == 20; }));
	for (auto exchange : s.pending)
		Server::respond(exchange, std::string(body_bytes, 'x'));
	// The link takes 4.3 s for 2 MB.
	s.net.run_ms(6000);
	for (auto &raw : raws)
		nr_complete += raw->received.size() > body_bytes;
	EXPECT_EQ(raws.size(), nr_complete);
}

// All request bodies share one memory limit. The refusal has a Retry-After, and
// the memory of a request whose connection closed is returned.
TEST(HttpServer, BodyMemoryIsShared)
{
	Server s(3000);
	RawConn a(s.net, s.address()), b(s.net, s.address());
	const std::string post = "POST /" + H + "Content-Length: 1000\r\n\r\n";

	a.send(post);
	s.net.run_ms(20);
	b.send(post);
	ASSERT_TRUE(s.net.until([&] { return b.closed; }));
	EXPECT_EQ(1u, count(b.received, "HTTP/1.1 503"));
	EXPECT_EQ(1u, count(b.received, "\"error\":\"memory\""));
	EXPECT_EQ(1u, count(b.received, "Retry-After: 1\r\n"));
	a.close();
	s.net.run_ms(20);
	RawConn c(s.net, s.address());
	c.send(post + std::string(1000, 'x'));
	EXPECT_TRUE(s.net.until([&] { return s.requests.size() == 1; }));
}

TEST(HttpServer, ConnectionLimit)
{
	Server s(3000, 2);
	RawConn a(s.net, s.address()), b(s.net, s.address());

	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 2; }));
	RawConn c(s.net, s.address());
	ASSERT_TRUE(s.net.until([&] { return c.closed; }));
	EXPECT_EQ(1u, count(c.received, "HTTP/1.1 503"));
	EXPECT_EQ(2u, http_server_connections(s.server));
	a.close();
	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 1; }));
	RawConn d(s.net, s.address());
	d.send("GET /" + H + "\r\n");
	EXPECT_TRUE(s.net.until([&] { return s.requests.size() == 1; }));
}

// A graceful shutdown fails no request: one in flight gets its response, one
// that arrives on an idle persistent connection is handled, then all
// connections close.
TEST(HttpServer, Drain)
{
	Server s(3000);
	RawConn running(s.net, s.address()), idle(s.net, s.address());

	s.defer_response = true;
	running.send("GET /1" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] {
		return s.requests.size() == 1 &&
		       http_server_connections(s.server) == 2;
	}));
	http_server_drain(s.server, true);
	s.net.run_ms(300);
	idle.send("GET /2" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 2; }));
	for (auto exchange : s.pending)
		Server::respond(exchange, "done");
	EXPECT_TRUE(s.net.until([&] { return running.closed && idle.closed; }));
	EXPECT_EQ(1u, count(running.received, "Connection: close"));
	EXPECT_EQ(1u, count(idle.received, "done"));
	RawConn late(s.net, s.address());
	EXPECT_TRUE(s.net.until([&] { return late.closed; }));
	EXPECT_FALSE(late.opened);
}

TEST(HttpServer, DrainClosesIdleConnections)
{
	Server s(60000);
	RawConn raw(s.net, s.address());

	s.net.run_ms(10);
	http_server_drain(s.server, false);
	EXPECT_TRUE(s.net.until([&] { return raw.closed; }, 2000));
	RawConn late(s.net, s.address());
	EXPECT_TRUE(s.net.until([&] { return late.opened; }));
}

// A request that was read behind another one must not be dropped because the
// server drains: only the last response closes the connection.
TEST(HttpServer, DrainHandlesPipelinedRequests)
{
	Server s(3000);
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /1" + H + "\r\nGET /2" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 1; }));
	http_server_drain(s.server, true);
	Server::respond(s.pending[0], "one");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 2; }, 1500));
	EXPECT_EQ(0u, count(raw.received, "Connection: close"));
	Server::respond(s.pending[1], "two");
	EXPECT_TRUE(s.net.until([&] { return raw.closed; }));
	EXPECT_EQ(1u, count(raw.received, "Connection: close"));
	EXPECT_EQ(1u, count(raw.received, "two"));
}

// The same for a handler that responds before it returns.
TEST(HttpServer, DrainHandlesRequestsReadTogether)
{
	Server s(3000);
	RawConn raw(s.net, s.address());

	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 1; }));
	http_server_drain(s.server, true);
	raw.send("GET /1" + H + "\r\nGET /2" + H + "\r\n");
	EXPECT_TRUE(s.net.until([&] { return raw.closed; }));
	EXPECT_EQ(2u, s.requests.size());
	EXPECT_EQ(2u, count(raw.received, "HTTP/1.1 200"));
	EXPECT_EQ(1u, count(raw.received, "Connection: close"));
}

// A stall is simulated by not running the loop. A request that is complete in
// the socket when the server responds to the one before must not be discarded
// with the connection.
TEST(HttpServer, DrainHandlesRequestsReceivedDuringStall)
{
	Server s(3000);
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /1" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 1; }));
	http_server_drain(s.server, true);
	raw.send("GET /2" + H + "\r\n");
	Server::respond(s.pending[0], "one");
	ASSERT_TRUE(s.net.until([&] { return s.requests.size() == 2; }, 1500));
	Server::respond(s.pending[1], "two");
	EXPECT_TRUE(s.net.until([&] { return raw.closed; }));
	EXPECT_EQ(1u, count(raw.received, "Connection: close"));
	EXPECT_EQ(1u, count(raw.received, "two"));
}

// The gateway starts the shutdown in two steps and repeats the second one with
// each tick; idle connections must be closed all the same.
TEST(HttpServer, RepeatedDrainClosesIdleConnections)
{
	Server s(60000);
	RawConn raw(s.net, s.address());

	ASSERT_TRUE(s.net.until(
		[&] { return http_server_connections(s.server) == 1; }));
	http_server_drain(s.server, false);
	EXPECT_TRUE(s.net.until(
		[&] {
			http_server_drain(s.server, true);
			return raw.closed;
		},
		2000));
}

TEST(HttpServer, RefusalHasRetryAfter)
{
	Server s;
	RawConn raw(s.net, s.address());

	s.defer_response = true;
	raw.send("GET /" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] { return !s.pending.empty(); }));
	http_respond_refusal(s.pending[0], REFUSAL_RATE, "too \"fast\"", "id1",
			     true, 1001);
	ASSERT_TRUE(s.net.until(
		[&] { return raw.received.find("}") != std::string::npos; }));
	const std::string body =
		"{\"error\":\"rate\",\"detail\":\"too \\\"fast\\\"\","
		"\"request_id\":\"id1\",\"not_run\":true}";
	EXPECT_EQ("HTTP/1.1 429 Too Many Requests\r\n"
		  "Content-Type: application/json\r\n"
		  "Almondward-Request-Id: id1\r\n"
		  "Almondward-Not-Run: 1\r\n"
		  "Retry-After: 2\r\n"
		  "Almondward-Retry-After-Ms: 1001\r\n"
		  "Content-Length: " +
			  std::to_string(body.size()) + "\r\n\r\n" + body,
		  raw.received);
	EXPECT_FALSE(raw.closed);
}

// The client would parse a body in the response to HEAD as the next response.
TEST(HttpServer, ResponseToHeadHasNoBody)
{
	Server s;
	RawConn raw(s.net, s.address());

	raw.send("HEAD /abc" + H + "\r\nGET /x" + H + "\r\n");
	ASSERT_TRUE(s.net.until([&] {
		return raw.received.find("</x>") != std::string::npos;
	}));
	EXPECT_EQ(1u, count(raw.received, "Content-Length: 6\r\n\r\nHTTP"));
}
