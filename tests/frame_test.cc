// Tests the framing: a reader accepts only the next frame of the sender.
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "frame.h"

namespace
{

const struct frame_key KEY = { { 1, 2, 3 } };

std::string ping(struct frame_writer *writer, const std::string &leader)
{
	Aw__Ping ping = AW__PING__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	struct buf out = BUF_INIT;

	ping.leader = (char *)leader.c_str();
	frame.body_case = AW__FRAME__BODY_PING;
	frame.ping = &ping;
	EXPECT_EQ(FRAME_OK, frame_write(writer, &frame, &out));
	std::string bytes((char *)out.data, out.len_bytes);
	buf_release(&out);
	return bytes;
}

// Reads the bytes in pieces until their end or an error. Returns the bodies of
// the frames.
std::vector<std::string> read_all(const std::string &bytes, size_t piece_bytes,
				  enum frame_error *error,
				  size_t max_bytes = 1000)
{
	struct frame_reader *reader = frame_reader_create(&KEY, max_bytes);
	std::vector<std::string> bodies;
	size_t at = 0, used, len;

	*error = FRAME_MORE;
	while (at < bytes.size()) {
		size_t left = std::min(piece_bytes, bytes.size() - at);

		*error = frame_read(reader, (const uint8_t *)bytes.data() + at,
				    left, &used);
		if (*error != FRAME_OK && *error != FRAME_MORE)
			break;
		at += used;
		if (*error == FRAME_OK) {
			const uint8_t *body = frame_reader_body(reader, &len);
			bodies.push_back(std::string((const char *)body, len));
		}
	}
	frame_reader_destroy(reader);
	return bodies;
}

} // namespace

TEST(Frame, RoundTripInAnyPieces)
{
	struct frame_writer writer = { KEY, 0 };
	std::string bytes = ping(&writer, "a");
	enum frame_error error;

	bytes += ping(&writer, "");
	bytes += ping(&writer, std::string(500, 'c'));
	for (size_t piece = 1; piece <= bytes.size(); piece++) {
		auto bodies = read_all(bytes, piece, &error);

		EXPECT_EQ(FRAME_OK, error);
		ASSERT_EQ(3u, bodies.size()) << piece;
		EXPECT_EQ(std::string(500, 'c'),
			  bodies[2].substr(bodies[2].size() - 500));
	}
}

// A frame that is written in parts must have the same bytes as one written at
// once.
TEST(Frame, PartsAreTheSameBytes)
{
	Aw__Ping ping_message = AW__PING__INIT;
	Aw__Frame frame = AW__FRAME__INIT;
	std::string leader(300, 'x');

	ping_message.leader = (char *)leader.c_str();
	frame.body_case = AW__FRAME__BODY_PING;
	frame.ping = &ping_message;
	for (size_t part_bytes = 1; part_bytes < 400; part_bytes++) {
		struct frame_writer writer = { KEY, 5 },
				    whole_writer = { KEY, 5 };
		struct frame_out *out;
		std::string bytes;
		size_t len;

		ASSERT_EQ(FRAME_OK, frame_out_create(&writer, &frame, &out));
		while (frame_out_remaining_bytes(out)) {
			const uint8_t *part =
				frame_out_next(out, part_bytes, &len);
			bytes.append((const char *)part, len);
		}
		frame_out_destroy(out);
		EXPECT_TRUE(ping(&whole_writer, leader) == bytes) << part_bytes;
		EXPECT_EQ(whole_writer.sequence, writer.sequence);
	}
}

TEST(Frame, EachFaultHasItsError)
{
	struct frame_writer writer = { KEY, 0 }, other = { { { 9 } }, 0 };
	std::string a = ping(&writer, "a"), b = ping(&writer, "b");
	std::string other_key = ping(&other, "a"), version = a, longer = a;

	version[4]++;
	longer[2] = 5;
	const struct {
		const char *name;
		std::string bytes;
		enum frame_error error;
		size_t frames;
	} rows[] = {
		{ "truncated", a.substr(0, a.size() - 1), FRAME_MORE, 0 },
		{ "repeated", a + a, FRAME_ERR_SEQUENCE, 1 },
		{ "first one dropped", b, FRAME_ERR_SEQUENCE, 0 },
		{ "reordered", b + a, FRAME_ERR_SEQUENCE, 0 },
		{ "other key", other_key, FRAME_ERR_MAC, 0 },
		{ "unknown version", version, FRAME_ERR_VERSION, 0 },
		{ "over the limit", longer, FRAME_ERR_LENGTH, 0 },
	};

	for (const auto &row : rows) {
		enum frame_error error;

		EXPECT_EQ(row.frames, read_all(row.bytes, 1000, &error).size())
			<< row.name;
		EXPECT_EQ(row.error, error) << row.name;
	}
}

// After any change of the stream the reader must fail before it returns a
// modified body.
TEST(Frame, MutatedStreamsAreNeverAccepted)
{
	const char *env = getenv("SEED");
	unsigned int seed = env ? (unsigned int)atoi(env) : 20261204;
	std::mt19937 random(seed);
	struct frame_writer writer = { KEY, 0 };
	std::vector<std::string> frames, valid_bodies;
	enum frame_error error;
	std::string all;

	std::cout << "seed " << seed << "\n";
	for (int i = 0; i < 6; i++) {
		frames.push_back(ping(&writer, std::string(i * 7, 'x')));
		all += frames.back();
	}
	valid_bodies = read_all(all, 1 << 20, &error);
	ASSERT_EQ(6u, valid_bodies.size());
	for (int i = 0; i < 20000; i++) {
		std::string bytes = all;
		size_t at = random() % bytes.size();

		switch (random() % 4) {
		case 0:
			bytes[at] ^= (char)(1 << random() % 8);
			break;
		case 1:
			bytes.erase(at, 1 + random() % 40);
			break;
		case 2:
			bytes.insert(at, bytes.substr(random() % all.size(),
						      1 + random() % 40));
			break;
		default:
			bytes.insert(at, frames[random() % frames.size()]);
		}
		auto bodies = read_all(bytes, 1 + random() % 200, &error);

		ASSERT_LE(bodies.size(), valid_bodies.size()) << "case " << i;
		for (size_t k = 0; k < bodies.size(); k++)
			ASSERT_EQ(valid_bodies[k], bodies[k]) << "case " << i;
	}
}
