// Tests the HTTP client: only complete responses are delivered, and a
// connection is reused only when no unexpected bytes can follow on it.
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"
#include "net_fixture.h"

namespace
{

struct Client {
	Net net;
	RawServer server{ net };
	struct http_conn *conn = nullptr;
	std::string body;
	struct http_call call = {};
	bool done = false;
	bool may_send_result = true;
	bool destroy_in_done = false;
	int may_send_calls = 0;
	enum http_result result = HTTP_OK;
	bool bytes_sent = false;
	bool reusable = false;
	uint32_t status = 0;
	std::string response_body;
	std::vector<std::pair<std::string, std::string>> headers;
	std::vector<std::string> failed_headers;

	explicit Client(const char *method = "GET",
			const char *address = nullptr)
	{
		call.method = method;
		call.target = "/t";
		call.response_max_bytes = 100;
		call.timeout_ms = 400;
		call.may_send = may_send;
		call.done = on_done;
		call.arg = this;
		EXPECT_EQ(LOOP_OK,
			  http_conn_create(net.loop,
					   address ? address : server.address(),
					   400, &conn));
	}

	~Client()
	{
		http_conn_destroy(conn);
	}

	static bool may_send(void *arg)
	{
		((Client *)arg)->may_send_calls++;
		return ((Client *)arg)->may_send_result;
	}

	static void on_done(void *arg, struct http_conn *conn,
			    const struct http_outcome *outcome)
	{
		auto self = (Client *)arg;
		const struct http_response *response = &outcome->response;
		const struct http_response *head = &outcome->failed_head;

		self->done = true;
		self->result = outcome->result;
		self->bytes_sent = outcome->bytes_sent;
		self->status = response->status;
		self->response_body.assign((const char *)response->body,
					   response->body_bytes);
		for (size_t i = 0; i < response->nr_headers; i++)
			self->headers.push_back({ response->headers[i].name,
						  response->headers[i].value });
		for (size_t i = 0; i < head->nr_headers; i++)
			self->failed_headers.push_back(head->headers[i].name);
		self->reusable = http_conn_reusable(conn);
		if (self->destroy_in_done) {
			http_conn_destroy(conn);
			self->conn = nullptr;
		}
	}

	void start()
	{
		done = false;
		call.body = (const uint8_t *)body.data();
		call.body_bytes = body.size();
		ASSERT_EQ(LOOP_OK, http_conn_call(conn, &call));
		ASSERT_FALSE(done) << "outcome from within the call";
	}

	// Sends the request and waits until the test server has its head.
	void start_and_wait()
	{
		start();
		ASSERT_TRUE(net.until([&] {
			return server.last.received.find("\r\n\r\n") !=
			       std::string::npos;
		}));
	}

	bool finish()
	{
		return net.until([&] { return done; });
	}
};

struct Row {
	const char *name;
	const char *method;
	std::string in;
	bool close; // after the bytes
	enum http_result result;
	uint32_t status;
	const char *response_body;
	bool reusable;
};

const std::string OK = "HTTP/1.1 200 OK\r\n";
const std::string CL3 = "Content-Length: 3\r\n";
const std::string TE = "Transfer-Encoding: chunked\r\n";

bool is_response_abc(void *arg, const struct http_response *response)
{
	(void)arg;
	return response->body_bytes == 3 && !memcmp(response->body, "abc", 3);
}

const std::vector<Row> &rows()
{
	static const std::vector<Row> table = {
		{ "length", "GET", OK + CL3 + "\r\nabc", false, HTTP_OK, 200,
		  "abc", true },
		{ "empty", "GET", OK + "Content-Length: 0\r\n\r\n", false,
		  HTTP_OK, 200, "", true },
		{ "chunks are unframed, trailers dropped", "GET",
		  OK + TE + "\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: 1\r\n\r\n",
		  false, HTTP_OK, 200, "abc", true },
		{ "close", "GET", OK + CL3 + "Connection: close\r\n\r\nabc",
		  false, HTTP_OK, 200, "abc", false },
		{ "closed after the response", "GET", OK + CL3 + "\r\nabc",
		  true, HTTP_OK, 200, "abc", true },
		{ "version 1.0", "GET", "HTTP/1.0 200 OK\r\n" + CL3 + "\r\nabc",
		  false, HTTP_OK, 200, "abc", false },
		{ "103 is not the final response", "GET",
		  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK + CL3 +
			  "\r\nabc",
		  false, HTTP_OK, 200, "abc", true },
		{ "100 and 102", "GET",
		  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\n\r\n" + OK +
			  CL3 + "\r\nabc",
		  false, HTTP_OK, 200, "abc", true },
		{ "redirect is passed on", "GET",
		  "HTTP/1.1 302 Found\r\nLocation: /x\r\n" + CL3 + "\r\nabc",
		  false, HTTP_OK, 302, "abc", true },
		{ "error is passed on", "GET",
		  "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n" + CL3 + "\r\nabc",
		  false, HTTP_OK, 503, "abc", true },
		{ "HEAD has no body", "HEAD", OK + CL3 + "\r\n", false, HTTP_OK,
		  200, "", true },
		{ "HEAD without length", "HEAD", OK + "\r\n", false, HTTP_OK,
		  200, "", true },
		{ "body after HEAD", "HEAD", OK + CL3 + "\r\nabc", false,
		  HTTP_OK, 200, "", false },
		{ "204", "GET", "HTTP/1.1 204 x\r\n\r\n", false, HTTP_OK, 204,
		  "", true },
		{ "204 with length", "GET", "HTTP/1.1 204 x\r\n" + CL3 + "\r\n",
		  false, HTTP_OK, 204, "", true },
		{ "304 with length", "GET", "HTTP/1.1 304 x\r\n" + CL3 + "\r\n",
		  false, HTTP_OK, 304, "", true },
		{ "bytes after the response", "GET", OK + CL3 + "\r\nabcd",
		  false, HTTP_OK, 200, "abc", false },
		{ "second response", "GET",
		  OK + CL3 + "\r\nabc" + OK + CL3 + "\r\nxyz", false, HTTP_OK,
		  200, "abc", false },
		// The client cannot tell whether these are complete.
		{ "no framing, closed", "GET", OK + "\r\nabc", true,
		  HTTP_MALFORMED, 0, "", false },
		{ "no framing, open", "GET", OK + "\r\n", false, HTTP_MALFORMED,
		  0, "", false },
		{ "length and chunks", "GET",
		  OK + CL3 + TE + "\r\n3\r\nabc\r\n0\r\n\r\n", false,
		  HTTP_MALFORMED, 0, "", false },
		{ "chunks and length", "GET",
		  OK + TE + CL3 + "\r\n3\r\nabc\r\n0\r\n\r\n", false,
		  HTTP_MALFORMED, 0, "", false },
		{ "two lengths", "GET",
		  OK + "Content-Length: 2\r\n" + CL3 + "\r\nabc", false,
		  HTTP_MALFORMED, 0, "", false },
		{ "other coding", "GET",
		  OK + "Transfer-Encoding: gzip\r\n\r\nabc", true,
		  HTTP_MALFORMED, 0, "", false },
		{ "length is no number", "GET",
		  OK + "Content-Length: 3x\r\n\r\nabc", false, HTTP_MALFORMED,
		  0, "", false },
		{ "chunk shorter than its size", "GET",
		  OK + TE + "\r\n4\r\nabc\r\n0\r\n\r\n", false, HTTP_MALFORMED,
		  0, "", false },
		{ "chunk longer than its size", "GET",
		  OK + TE + "\r\n3\r\nabcde0\r\n\r\n", false, HTTP_MALFORMED, 0,
		  "", false },
		{ "switch of protocols", "GET",
		  "HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\n", false, HTTP_MALFORMED,
		  0, "", false },
		{ "status 099", "GET", "HTTP/1.1 099 x\r\n" + CL3 + "\r\nabc",
		  false, HTTP_MALFORMED, 0, "", false },
		{ "not HTTP", "GET", "hello\r\n\r\n", false, HTTP_MALFORMED, 0,
		  "", false },
		{ "empty line first", "GET", "\r\n" + OK + CL3 + "\r\nabc",
		  false, HTTP_MALFORMED, 0, "", false },
		{ "head too large", "GET",
		  OK + "A: " + std::string(17000, 'a') + "\r\n", false,
		  HTTP_MALFORMED, 0, "", false },
		{ "too large", "GET", OK + "Content-Length: 101\r\n\r\n", false,
		  HTTP_TOO_LARGE, 0, "", false },
		{ "chunks too large", "GET",
		  OK + TE + "\r\n65\r\n" + std::string(101, 'a'), false,
		  HTTP_TOO_LARGE, 0, "", false },
		{ "closed before the response", "GET", "", true, HTTP_CLOSED, 0,
		  "", false },
		{ "closed after 100", "GET", "HTTP/1.1 100 Continue\r\n\r\n",
		  true, HTTP_CLOSED, 0, "", false },
		{ "no response", "GET", "", false, HTTP_TIMEOUT, 0, "", false },
		{ "rest is missing", "GET", OK + CL3 + "\r\nab", false,
		  HTTP_TIMEOUT, 0, "", false },
	};
	return table;
}

void run_row(const Row &row, size_t piece_bytes)
{
	Client c(row.method);

	if (row.result == HTTP_TIMEOUT)
		c.call.timeout_ms = 50;
	c.start_and_wait();
	for (size_t at = 0; at < row.in.size(); at += piece_bytes) {
		c.server.last.send(row.in.substr(at, piece_bytes));
		if (piece_bytes < row.in.size())
			c.net.run_ms(1);
	}
	if (row.close && c.server.last.conn) {
		loop_conn_close_after_send(c.server.last.conn);
		c.server.last.conn = nullptr;
	}
	ASSERT_TRUE(c.finish()) << row.name;
	EXPECT_EQ(row.result, c.result) << row.name;
	EXPECT_EQ(row.status, c.status) << row.name;
	EXPECT_EQ(row.response_body, c.response_body) << row.name;
	EXPECT_EQ(row.reusable, c.reusable) << row.name;
	EXPECT_TRUE(c.bytes_sent) << row.name;
	EXPECT_EQ(1, c.may_send_calls) << row.name;
}

} // namespace

// A response of another request may arrive before the expected one. It must not
// be delivered, and the connection must not be reused.
TEST(HttpClient, ResponseOfAnotherRequestIsSkipped)
{
	Client client;

	client.call.matches_request = is_response_abc;
	client.start_and_wait();
	client.server.last.send(OK + CL3 + "\r\nxyz");
	client.server.last.send(OK + CL3 + "\r\nabc");
	ASSERT_TRUE(client.finish());
	EXPECT_EQ(HTTP_OK, client.result);
	EXPECT_EQ("abc", client.response_body);
	EXPECT_FALSE(client.reusable);
}

// http_conn_responding() distinguishes a silent server from one that sends its
// response slowly.
TEST(HttpClient, ReportsWhetherResponseHasStarted)
{
	Client c;

	EXPECT_FALSE(http_conn_responding(c.conn));
	c.start_and_wait();
	EXPECT_FALSE(http_conn_responding(c.conn));
	c.server.last.send("HTTP/1.1 103 Early Hints\r\n\r\n");
	c.net.run_ms(20);
	EXPECT_FALSE(http_conn_responding(c.conn));
	c.server.last.send("H");
	EXPECT_TRUE(c.net.until([&] { return http_conn_responding(c.conn); }));
	c.server.last.send("TTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
	EXPECT_TRUE(c.finish());
	EXPECT_FALSE(http_conn_responding(c.conn));
}

TEST(HttpClient, Table)
{
	for (const auto &row : rows())
		run_row(row, row.in.size() + 1);
}

// The outcome must not depend on how the bytes are split into reads. Cases with
// bytes after the response are left out: the client would see those bytes only
// when the connection is idle.
TEST(HttpClient, TableInSmallPieces)
{
	for (auto row : rows()) {
		if (row.in.size() > 2000 || row.result == HTTP_TIMEOUT)
			continue;
		if (!row.reusable && row.result == HTTP_OK)
			continue;
		run_row(row, 1);
	}
}

// A response that is truncated at any offset must never count as complete.
TEST(HttpClient, TruncatedAtEveryOffset)
{
	const std::string responses[] = {
		OK + CL3 + "X: y\r\n\r\nabc",
		OK + TE + "\r\n2\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 103 x\r\n\r\n" + OK + CL3 + "\r\nabc",
	};

	for (const auto &response : responses) {
		for (size_t end = 0; end < response.size(); end++) {
			Client c;
			size_t final_at = response.rfind("HTTP/1.1 ");

			c.start_and_wait();
			c.server.last.send(response.substr(0, end));
			loop_conn_close_after_send(c.server.last.conn);
			c.server.last.conn = nullptr;
			ASSERT_TRUE(c.finish()) << end;
			// Between two responses no response has started.
			EXPECT_EQ(end && end != final_at ? HTTP_INCOMPLETE :
							   HTTP_CLOSED,
				  c.result)
				<< response << " truncated at " << end;
			EXPECT_FALSE(c.reusable);
		}
	}
}

namespace
{

// A server on plain sockets, which can reset a connection.
class CuttingServer
{
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int conn = -1;

public:
	std::string address;

	CuttingServer()
	{
		struct sockaddr_in sa = {};
		socklen_t len = sizeof(sa);

		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, bind(listener, (struct sockaddr *)&sa, len));
		EXPECT_EQ(0, listen(listener, 8));
		EXPECT_EQ(0,
			  getsockname(listener, (struct sockaddr *)&sa, &len));
		address = "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
	}

	~CuttingServer()
	{
		if (conn >= 0)
			close(conn);
		close(listener);
	}

	// Returns whether the head of a request has arrived.
	bool has_request()
	{
		char data[1024];

		if (conn < 0)
			conn = accept4(listener, nullptr, nullptr,
				       SOCK_NONBLOCK);
		return conn >= 0 && recv(conn, data, sizeof(data), 0) > 0;
	}

	void send(const std::string &text)
	{
		EXPECT_EQ((ssize_t)text.size(),
			  ::send(conn, text.data(), text.size(), 0));
	}

	void end(bool reset)
	{
		struct linger linger = { 1, 0 };

		if (reset)
			setsockopt(conn, SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		close(conn);
		conn = -1;
	}
};

void check_cut(const char *method, const std::string &response, size_t end,
	       bool reset, bool kept)
{
	CuttingServer server;
	Client c(method, server.address.c_str());
	std::string what = response + " cut at " + std::to_string(end) +
			   (reset ? ", reset" : "") + (kept ? ", kept" : "");

	c.call.response_max_bytes = 1000;
	if (kept) {
		c.start();
		ASSERT_TRUE(c.net.until([&] { return server.has_request(); }));
		server.send(OK + "Content-Length: 120\r\n\r\n" +
			    std::string(120, 'x'));
		ASSERT_TRUE(c.finish());
		ASSERT_TRUE(c.reusable);
	}
	c.start();
	ASSERT_TRUE(c.net.until([&] { return server.has_request(); }));
	server.send(response.substr(0, end));
	/* A reset discards what the client has not read yet. */
	if (reset && end % 2)
		c.net.run_ms(1);
	server.end(reset);
	ASSERT_TRUE(c.finish()) << what;
	EXPECT_NE(HTTP_OK, c.result) << what;
	EXPECT_EQ(0u, c.status) << what;
	EXPECT_EQ("", c.response_body) << what;
	EXPECT_TRUE(c.bytes_sent) << what;
	EXPECT_FALSE(c.reusable) << what;
}

} // namespace

// A server that stops in its response, in the digits of its length, for
// example, and closes or resets the connection: the rest must not pass for a
// whole response, also not over a kept connection, nor with the length or the
// body of the response before.
TEST(HttpClient, CutResponseIsNeverWhole)
{
	const std::string body(120, 'b');
	const std::string responses[] = {
		OK + "X-A: b\r\nContent-Length: 120\r\n\r\n" + body,
		"HTTP/1.1 100 x\r\n\r\n" + OK + "Content-Length: 12\r\n\r\n" +
			body.substr(0, 12),
		OK + TE + "\r\n78\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 204 x\r\nX-A: b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
		"Content-Length: 12\r\n\r\n" +
			body.substr(0, 12),
	};

	for (const auto &response : responses)
		for (size_t end = 0; end < response.size(); end++)
			for (bool kept : { false, true })
				check_cut("POST", response, end, end % 3 == 0,
					  kept);
	for (size_t end = 0; end < responses[0].size() - 120; end++)
		check_cut("HEAD", responses[0].substr(0, 62), end, false,
			  false);
	// Without a length the body ends with the connection, so that it could
	// be cut anywhere.
	for (const std::string &head :
	     { OK + "\r\n", "HTTP/1.0 200 OK\r\n\r\n" + body,
	       OK + "Connection: close\r\n\r\n" + body })
		for (bool reset : { false, true })
			check_cut("GET", head, head.size(), reset, false);
}

TEST(HttpClient, SendsHeadAndBody)
{
	Client c("POST");
	const struct http_header headers[] = {
		{ "Host", "h" },
		{ "A", "b" },
		{ "Connection", "close" },
		{ "Evil", "x\r\nInjected: y" },
	};

	c.call.headers = headers;
	c.call.nr_headers = 4;
	c.body = "body";
	c.start_and_wait();
	EXPECT_EQ("POST /t HTTP/1.1\r\nHost: h\r\nA: b\r\nContent-Length: 4"
		  "\r\n\r\nbody",
		  c.server.last.received);
}

// All duplicates of a response header are passed on.
TEST(HttpClient, KeepsDuplicateHeaders)
{
	Client c;

	c.start_and_wait();
	c.server.last.send(OK + "A: 1\r\nA:\r\nA: 2 \r\n" + CL3 + "\r\nabc");
	ASSERT_TRUE(c.finish());
	ASSERT_EQ(4u, c.headers.size());
	EXPECT_EQ("1", c.headers[0].second);
	EXPECT_EQ("", c.headers[1].second);
	EXPECT_EQ("2", c.headers[2].second);
}

TEST(HttpClient, ReusesCleanConnection)
{
	Client c;

	for (int i = 0; i < 3; i++) {
		c.server.last.received.clear();
		c.start_and_wait();
		c.server.last.send(OK + CL3 + "\r\nabc");
		ASSERT_TRUE(c.finish());
		ASSERT_EQ(HTTP_OK, c.result);
	}
	EXPECT_EQ(1, c.server.accepted);
}

// Bytes on an idle connection belong to no request, so the next response could
// not be trusted.
TEST(HttpClient, BytesOnIdleConnectionMakeItUnusable)
{
	Client c;

	c.start_and_wait();
	c.server.last.send(OK + CL3 + "\r\nabc");
	ASSERT_TRUE(c.finish());
	ASSERT_TRUE(http_conn_reusable(c.conn));
	c.server.last.send("x");
	EXPECT_TRUE(c.net.until([&] { return !http_conn_reusable(c.conn); }));
	EXPECT_EQ(LOOP_ERR_CLOSED, http_conn_call(c.conn, &c.call));
}

TEST(HttpClient, CloseOnIdleConnectionMakesItUnusable)
{
	Client c;

	ASSERT_TRUE(c.net.until([&] { return http_conn_reusable(c.conn); }));
	ASSERT_TRUE(c.net.until([&] { return c.server.accepted == 1; }));
	c.server.last.close();
	EXPECT_TRUE(c.net.until([&] { return !http_conn_reusable(c.conn); }));
}

// may_send() is where the caller checks its lease: if it returns false, no byte
// may be sent, neither on a new nor on an idle connection.
TEST(HttpClient, MaySendStopsTheFirstByte)
{
	for (bool connected : { false, true }) {
		Client c;

		if (connected) {
			ASSERT_TRUE(c.net.until(
				[&] { return http_conn_reusable(c.conn); }));
		}
		c.may_send_result = false;
		c.start();
		ASSERT_TRUE(c.finish());
		EXPECT_EQ(HTTP_CLOSED, c.result);
		EXPECT_FALSE(c.bytes_sent);
		c.net.run_ms(20);
		EXPECT_EQ("", c.server.last.received);
	}
}

TEST(HttpClient, RefusedConnectionSentNothing)
{
	Client c("GET", "127.0.0.1:1");

	c.start();
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_CONNECT_FAILED, c.result);
	EXPECT_FALSE(c.bytes_sent);
}

// A connection that is reset as soon as it is accepted must not get a byte of a
// request that could then not be sent again.
TEST(HttpClient, ResetOfSettlingConnectionSentNothing)
{
	for (bool connected : { false, true }) {
		Client c("POST");

		c.call.settle_ms = 200;
		if (connected) {
			ASSERT_TRUE(c.net.until(
				[&] { return http_conn_reusable(c.conn); }));
		}
		c.start();
		ASSERT_TRUE(c.net.until([&] { return c.server.accepted; }));
		EXPECT_TRUE(http_conn_sending(c.conn));
		c.net.run_ms(20);
		EXPECT_EQ("", c.server.last.received);
		EXPECT_EQ(0, c.may_send_calls);
		c.server.last.close();
		ASSERT_TRUE(c.finish());
		EXPECT_EQ(HTTP_CLOSED, c.result);
		EXPECT_FALSE(c.bytes_sent);
	}
}

// Only the first request waits: a connection with a response is proven.
TEST(HttpClient, SettledConnectionSendsAtOnce)
{
	Client c;
	uint64_t start_ms = clk_now_ms(loop_clock(c.net.loop));

	c.call.settle_ms = 100;
	c.start_and_wait();
	EXPECT_LE(start_ms + 100, clk_now_ms(loop_clock(c.net.loop)));
	c.server.last.send(OK + CL3 + "\r\nabc");
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_OK, c.result);
	c.server.last.received.clear();
	c.call.settle_ms = 390;
	c.call.timeout_ms = 200;
	c.start_and_wait();
	c.server.last.send(OK + CL3 + "\r\nabc");
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_OK, c.result);
}

TEST(HttpClient, SettlingEndsAtTimeoutOfCall)
{
	Client c;

	c.call.settle_ms = 1000;
	c.call.timeout_ms = 50;
	c.start();
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_TIMEOUT, c.result);
	EXPECT_FALSE(c.bytes_sent);
}

// A server may respond before it has read a large request. The rest of the
// request is not sent then, so the connection must not be reused.
TEST(HttpClient, EarlyResponseToLargeBody)
{
	Client c("POST");

	c.body.assign(32 << 20, 'x');
	c.start_and_wait();
	loop_conn_pause(c.server.last.conn, true);
	c.server.last.send("HTTP/1.1 413 x\r\n" + CL3 + "\r\nabc");
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_OK, c.result);
	EXPECT_EQ(413u, c.status);
	EXPECT_FALSE(c.reusable);
}

// Reported by operators of other systems: a server answered a long upload at
// once without a length, sent a part of its body and reset the connection while
// the upload was still being written, and the caller got the part as the whole.
TEST(HttpClient, EarlyPartIsNeverWhole)
{
	const std::string parts[] = {
		OK + "\r\nabc",
		OK + "Connection: close\r\n\r\nabc",
		OK + "Connection: keep-alive\r\n\r\nabc",
		"HTTP/1.0 200 OK\r\n\r\nabc",
		OK + "Transfer-Encoding: identity\r\n\r\nabc",
		OK + "Content-Length: 4\r\n\r\nabc",
		OK + TE + "\r\n3\r\nabc\r\n",
		OK + TE + "\r\n3\r\nabc\r\n0\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + OK + "\r\nabc",
	};

	for (const auto &part : parts) {
		for (bool has_unread : { true, false }) {
			Client c("POST");

			c.body.assign(has_unread ? 32 << 20 : 10, 'x');
			c.start_and_wait();
			loop_conn_pause(c.server.last.conn, true);
			c.server.last.send(part);
			/* With unread data the connection is reset. */
			c.server.last.close();
			ASSERT_TRUE(c.finish());
			EXPECT_NE(HTTP_OK, c.result) << part;
			EXPECT_FALSE(c.reusable);
		}
	}
}

// Reported by operators of other systems: a response with the status 000 was
// passed on to the caller.
TEST(HttpClient, StatusThatIsNoneIsMalformed)
{
	for (const char *status :
	     { "000",	 "0",	  "00",	  "",	  "1",	 "20",	 "099",
	       "0200",	 "00200", "2000", "600",  "999", "1000", "+200",
	       "-200",	 "-01",	  "2e2",  "0xc8", "abc", "OK",	 "200.5",
	       "200abc", "200,",  " 200", "\t200" }) {
		Client c;

		c.start_and_wait();
		c.server.last.send(std::string("HTTP/1.1 ") + status +
				   " OK\r\n" + CL3 + "\r\nabc");
		ASSERT_TRUE(c.finish());
		EXPECT_EQ(HTTP_MALFORMED, c.result) << status;
		EXPECT_FALSE(c.reusable) << status;
	}
	for (const char *line : { "HTTP/1.1 200", "HTTP/1.1 200 ",
				  "HTTP/1.1 200 A b c", "HTTP/1.0 200 OK" }) {
		Client c;

		c.start_and_wait();
		c.server.last.send(std::string(line) + "\r\n" + CL3 +
				   "\r\nabc");
		ASSERT_TRUE(c.finish());
		EXPECT_EQ(HTTP_OK, c.result) << line;
	}
}

TEST(HttpClient, DestroyInDone)
{
	for (bool close : { false, true }) {
		Client c;

		c.destroy_in_done = true;
		c.start_and_wait();
		if (close)
			c.server.last.close();
		else
			c.server.last.send(OK + CL3 + "\r\nabc");
		ASSERT_TRUE(c.finish());
	}
}

TEST(HttpClient, DestroyInFlightDoesNotCallDone)
{
	Client c;

	c.start_and_wait();
	http_conn_destroy(c.conn);
	c.conn = nullptr;
	c.net.run_ms(20);
	EXPECT_FALSE(c.done);
	EXPECT_TRUE(c.server.last.closed);
}

// ---- endless responses ----

// Sends pieces until the call ends or max_bytes are sent; returns the number of
// bytes sent.
static size_t send_endless(Client &c, const std::string &begin,
			   const std::string &piece, size_t max_bytes)
{
	size_t sent_bytes = begin.size();

	c.call.timeout_ms = 60000;
	c.call.response_max_bytes = 1 << 20;
	c.start_and_wait();
	c.server.last.send(begin);
	while (!c.done && sent_bytes < max_bytes && c.server.last.conn) {
		c.server.last.send(piece);
		sent_bytes += piece.size();
		c.net.until([&] {
			return c.done || !c.server.last.conn ||
			       !loop_conn_queued_bytes(c.server.last.conn);
		});
	}
	c.net.until([&] { return c.done; }, 1000);
	return sent_bytes;
}

// A faulty server may send bytes that never become a complete response. The
// client must give up after a limited number of bytes, so that its memory does
// not grow with what the server sends.
TEST(HttpClient, EndlessResponsesAreLimited)
{
	const std::string filler(4096, 'x');
	const struct {
		const char *name;
		std::string begin, piece;
		enum http_result result;
		size_t max_bytes;
	} rows[] = {
		{ "status line", "HTTP/1.1 200 ", filler, HTTP_MALFORMED,
		  1 << 16 },
		{ "header lines", OK, "X-Filler: " + filler + "\r\n",
		  HTTP_MALFORMED, 1 << 16 },
		{ "one header line", OK + "X-Filler: ", filler, HTTP_MALFORMED,
		  1 << 16 },
		{ "informational responses", "",
		  "HTTP/1.1 102 Processing\r\n\r\n", HTTP_MALFORMED, 1 << 16 },
		{ "chunk extension", OK + TE + "\r\n1;a=", filler,
		  HTTP_MALFORMED, 1 << 17 },
		{ "chunk extensions", OK + TE + "\r\n",
		  "1;a=" + filler + "\r\nx\r\n", HTTP_TOO_LARGE, 1 << 16 },
		{ "trailer", OK + TE + "\r\n0\r\nX-Filler: ", filler,
		  HTTP_MALFORMED, 1 << 17 },
		{ "trailers", OK + TE + "\r\n0\r\n",
		  "X-Filler: " + filler + "\r\n", HTTP_MALFORMED, 1 << 17 },
		{ "chunks", OK + TE + "\r\n", "1000\r\n" + filler + "\r\n",
		  HTTP_TOO_LARGE, 3 << 20 },
		{ "body without length", OK + "\r\n", filler, HTTP_MALFORMED,
		  1 << 16 },
		{ "body of excessive length",
		  OK + "Content-Length: 99999999999999\r\n\r\n", filler,
		  HTTP_TOO_LARGE, 1 << 16 },
	};

	for (const auto &row : rows) {
		Client c;
		size_t sent_bytes = send_endless(c, row.begin, row.piece,
						 4 * row.max_bytes);

		ASSERT_TRUE(c.done) << row.name;
		if (row.result == HTTP_MALFORMED)
			EXPECT_TRUE(c.result == HTTP_MALFORMED ||
				    c.result == HTTP_TOO_LARGE)
				<< row.name;
		else
			EXPECT_EQ(row.result, c.result) << row.name;
		EXPECT_LE(sent_bytes, row.max_bytes) << row.name;
		EXPECT_FALSE(c.reusable) << row.name;
	}
}

// A faulty server may repeat the response of another request without end.
TEST(HttpClient, EndlessResponsesOfOtherRequestsAreLimited)
{
	Client c;

	c.call.matches_request = [](void *, const struct http_response *) {
		return false;
	};
	size_t sent_bytes = send_endless(c, "", OK + CL3 + "\r\nabc", 1 << 16);
	ASSERT_TRUE(c.done);
	EXPECT_EQ(HTTP_MALFORMED, c.result);
	EXPECT_LT(sent_bytes, 1u << 12);
	EXPECT_FALSE(c.reusable);
}

// A response that arrives byte by byte must not extend the call beyond its
// timeout.
TEST(HttpClient, SlowResponseEndsAtTimeoutOfCall)
{
	Client c;

	c.call.timeout_ms = 300;
	c.start_and_wait();
	c.server.last.send(OK);
	uint64_t start_ms = clk_now_ms(c.net.clk);
	while (!c.done && clk_now_ms(c.net.clk) < start_ms + 3000) {
		c.server.last.send("X");
		c.net.run_ms(10);
	}
	ASSERT_TRUE(c.done);
	EXPECT_EQ(HTTP_TIMEOUT, c.result);
	EXPECT_LE(clk_now_ms(c.net.clk), start_ms + 1000);
	EXPECT_FALSE(c.reusable);
}

// Response bodies of several connections share one memory limit, and the memory
// of a failed response is returned.
TEST(HttpClient, ResponsesShareMemoryLimit)
{
	struct http_memory memory = { 100000, 0, 0 };
	Client first, second;

	for (Client *c : { &first, &second }) {
		c->call.response_memory = &memory;
		c->call.response_max_bytes = 90000;
		c->call.timeout_ms = 5000;
		c->start_and_wait();
	}
	first.server.last.send(OK + "Content-Length: 60000\r\n\r\n");
	ASSERT_TRUE(first.net.until([&] { return memory.used_bytes > 0; }));
	EXPECT_EQ(60000u, memory.used_bytes);
	second.server.last.send(OK + "Content-Length: 50000\r\n\r\n");
	ASSERT_TRUE(second.finish());
	EXPECT_EQ(HTTP_MEMORY, second.result);
	first.server.last.close();
	ASSERT_TRUE(first.finish());
	EXPECT_EQ(HTTP_INCOMPLETE, first.result);
	EXPECT_EQ(0u, memory.used_bytes);
}

// Long bodies that arrive slowly used up the limit, and responses of other
// servers, whatever their size, failed.
TEST(HttpClient, SmallResponsesNeedNoSharedMemory)
{
	struct http_memory memory = { 100000, 0, HTTP_SMALL_BODY_BYTES };
	Client first, second, third;

	for (Client *c : { &first, &second, &third }) {
		c->call.response_memory = &memory;
		c->call.response_max_bytes = 100000;
		c->call.timeout_ms = 5000;
		c->start_and_wait();
	}
	first.server.last.send(OK + "Content-Length: 100000\r\n\r\nx");
	ASSERT_TRUE(first.net.until([&] { return memory.used_bytes > 0; }));
	second.server.last.send(OK + "Content-Length: 16384\r\n\r\n" +
				std::string(16384, 'x'));
	ASSERT_TRUE(second.finish());
	EXPECT_EQ(HTTP_OK, second.result);
	third.server.last.send(OK + "Content-Length: 16385\r\n\r\n");
	ASSERT_TRUE(third.finish());
	EXPECT_EQ(HTTP_MEMORY, third.result);
	EXPECT_EQ(100000u, memory.used_bytes);
}

// The head of an incomplete response is passed on: with a header in it a server
// announces that it is leaving.
TEST(HttpClient, HeadOfIncompleteResponseIsPassedOn)
{
	Client c;

	c.start_and_wait();
	c.server.last.send(OK + "Server-Leaving: 1\r\n" + CL3 + "\r\na");
	c.net.run_ms(20);
	c.server.last.close();
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_INCOMPLETE, c.result);
	EXPECT_EQ(0u, c.status);
	ASSERT_EQ(2u, c.failed_headers.size());
	EXPECT_EQ("Server-Leaving", c.failed_headers[0]);
}

// A response that is complete in the socket before the time limit must not be
// discarded because the process was stalled and reads it later.
TEST(HttpClient, ResponseReceivedDuringStallIsInTime)
{
	Client c;

	c.call.timeout_ms = 100;
	c.start_and_wait();
	c.server.last.send(OK + CL3 + "\r\nabc");
	usleep(200000);
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_OK, c.result);
	EXPECT_EQ("abc", c.response_body);
}

// The socket is read in parts, and a large response that is complete in it
// before the time limit takes several iterations of the loop.
TEST(HttpClient, LargeResponseReceivedDuringStallIsInTime)
{
	Client c;
	std::string body(200000, 'x');

	c.call.response_max_bytes = body.size();
	c.call.timeout_ms = 100;
	c.start_and_wait();
	c.server.last.send(OK + "Content-Length: 200000\r\n\r\n" + body);
	EXPECT_EQ(0u, loop_conn_queued_bytes(c.server.last.conn));
	usleep(200000);
	ASSERT_TRUE(c.finish());
	EXPECT_EQ(HTTP_OK, c.result);
	EXPECT_EQ(body.size(), c.response_body.size());
}
