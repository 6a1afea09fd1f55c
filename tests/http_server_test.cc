// Guards the HTTP server: framing, refusals, pipelining, shutdown.
#include <string>
#include <vector>

#include "http.h"
#include "net_fixture.h"

namespace
{

struct Server {
	Net net;
	struct http_server *server = nullptr;
	struct ctr_set *counters = ctr_set_create();
	std::vector<std::string> seen; // "METHOD TARGET BODY"
	std::vector<struct http_exchange *> waiting;
	size_t authorizations = 0;
	bool hold = false;
	bool destroy_in_handler = false;
	int aborted = 0;

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
		EXPECT_EQ(LOOP_OK, http_server_create(net.loop, &settings,
						      handle, this, &server));
	}

	~Server()
	{
		http_server_destroy(server);
		ctr_set_destroy(counters);
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

		self->seen.push_back(std::string(req->method) + " " +
				     req->target + " " + body);
		if (self->destroy_in_handler) {
			http_server_destroy(self->server);
			self->server = nullptr;
			return;
		}
		if (self->hold) {
			http_exchange_on_abort(exchange, abort, arg);
			self->waiting.push_back(exchange);
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
	std::string seen; // joined by "|"
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
		// Each of these could hide a second request.
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
		{ "what follows a refusal is not run",
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

// Runs one row with its bytes cut into pieces of the given size.
void run_row(const Row &row, size_t piece_bytes)
{
	Server s;
	Raw raw(s.net, s.address());
	std::string seen;

	for (size_t at = 0; at < row.in.size(); at += piece_bytes) {
		raw.send(row.in.substr(at, piece_bytes));
		if (piece_bytes < row.in.size())
			s.net.until([&] { return raw.opened; });
	}
	EXPECT_TRUE(s.net.until([&] {
		return statuses(raw.received).size() >= row.statuses.size() &&
		       (!row.closes || raw.closed);
	})) << row.name;
	for (const auto &one : s.seen)
		seen += (seen.empty() ? "" : "|") + one;
	EXPECT_EQ(row.seen, seen) << row.name;
	EXPECT_EQ(row.statuses, statuses(raw.received)) << row.name;
	EXPECT_EQ(row.closes, raw.closed) << row.name;
	if (row.statuses.back() >= 400) {
		EXPECT_EQ(1u, count(raw.received, "\"not_run\":true"))
			<< row.name;
		EXPECT_EQ(1u, count(raw.received, "Almondward-Not-Run: 1"));
		EXPECT_EQ(1u, count(raw.received, "Connection: close"));
	}
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
