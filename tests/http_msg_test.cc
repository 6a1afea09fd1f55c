// Tests the parser of HTTP messages with mutated input that is split
// differently.
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "http_private.h"

namespace
{

struct Parsed {
	enum msg_status status = MSG_MORE;
	size_t used = 0;
	std::string head, body; // target and headers
};

Parsed parse(const std::string &in, enum http_parser_type type, size_t piece)
{
	struct msg msg;
	Parsed parsed;
	size_t used;

	msg_init(&msg, type, nullptr);
	parsed.status = MSG_MORE;
	while (parsed.used < in.size() && parsed.status == MSG_MORE) {
		size_t left = std::min(piece, in.size() - parsed.used);
		// A separate copy, so that sanitizers detect reads beyond it.
		std::vector<uint8_t> bytes(
			in.begin() + (long)parsed.used,
			in.begin() + (long)(parsed.used + left));

		parsed.status = msg_feed(&msg, bytes.data(), left, &used);
		parsed.used += used;
		if (parsed.status == MSG_HEAD)
			parsed.status = msg_begin_body(&msg, 300);
		if (parsed.status == MSG_MORE && msg.complete)
			parsed.status = MSG_DONE;
	}
	if (parsed.status == MSG_DONE) {
		parsed.head = msg.target ? msg.target : "";
		for (size_t i = 0; i < msg.nr_headers; i++)
			parsed.head += std::string("\n") + msg.headers[i].name +
				       "=" + msg.headers[i].value;
		parsed.body.assign((char *)msg.body, msg.body_bytes);
	}
	msg_release(&msg);
	return parsed;
}

const std::string REQUESTS[] = {
	"GET /a?b=c HTTP/1.1\r\nHost: x\r\nAccept: */*\r\nE:\r\n\r\n",
	"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\nhello world",
	"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	"5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nT: 1\r\n\r\n",
};

const std::string RESPONSES[] = {
	"HTTP/1.1 200 OK\r\nContent-Length: 11\r\nA: b\r\n\r\nhello world",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nT: 1\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n",
};

std::string mutate(std::string text, std::mt19937 &random)
{
	static const char *const pieces[] = {
		"\r",
		"\n",
		"\r\n",
		" ",
		"\t",
		":",
		"0",
		"chunked",
		"Content-Length: 3\r\n",
		"\r\n\r\n",
		";",
		"a",
		"Transfer-Encoding: chunked\r\n",
		"1\r\nx\r\n",
		",",
		"\x80",
	};
	size_t at = random() % text.size();

	switch (random() % 5) {
	case 0:
		text[at] = (char)random();
		break;
	case 1:
		text.erase(at, 1 + random() % 4);
		break;
	case 2:
		text.insert(at, text.substr(random() % text.size(),
					    1 + random() % 20));
		break;
	default:
		text.insert(at, pieces[random() % 16]);
	}
	return text;
}

} // namespace

// The outcome must not depend on how mutated input is split, and a message
// whose last byte is missing must never be complete.
TEST(HttpMsg, MutatedInputParsesTheSameHoweverSplit)
{
	const char *env = getenv("SEED");
	unsigned int seed = env ? (unsigned int)atoi(env) : 20261204;
	std::mt19937 random(seed);
	int complete = 0;

	std::cout << "seed " << seed << "\n";
	for (int i = 0; i < 20000; i++) {
		bool request = random() % 2;
		auto type = request ? HTTP_REQUEST : HTTP_RESPONSE;
		const std::string *examples = request ? REQUESTS : RESPONSES;
		std::string in = examples[random() % 3];

		for (size_t n = random() % 3; n < 3; n++)
			in = mutate(in, random);
		Parsed all = parse(in, type, in.size());
		Parsed parts = parse(in, type, 1 + random() % 20);

		ASSERT_EQ(all.status, parts.status) << i << ":\n" << in;
		ASSERT_EQ(all.head, parts.head) << i << ":\n" << in;
		ASSERT_EQ(all.body, parts.body) << i << ":\n" << in;
		if (all.status != MSG_DONE)
			continue;
		complete++;
		ASSERT_EQ(all.used, parts.used) << i << ":\n" << in;
		ASSERT_EQ(std::string::npos, all.head.find('\r')) << in;
		ASSERT_EQ(
			MSG_MORE,
			parse(in.substr(0, all.used - 1), type, 1 << 20).status)
			<< i << ":\n"
			<< in;
	}
	EXPECT_GT(complete, 1000);
}

// http_parser changes its flags when it reads framing headers in trailers;
// before the flag was copied, such a message was rejected as malformed,
// depending on how it was split.
TEST(HttpMsg, FramingHeadersInTrailersHoweverSplit)
{
	const std::string in =
		"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"\r\n3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\nT: 1\r\n"
		"\r\n";

	for (size_t piece = 1; piece <= in.size(); piece++) {
		Parsed parsed = parse(in, HTTP_REQUEST, piece);

		EXPECT_EQ(MSG_DONE, parsed.status) << piece;
		EXPECT_EQ("abc", parsed.body);
	}
}
