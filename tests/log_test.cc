// Guards against a process that stands still because its log is not read: with
// a full pipe every write to standard error blocked.
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "log.h"

namespace
{

// Standard error is a pipe that nobody reads until read_all().
struct Pipe {
	int ends[2], saved = dup(STDERR_FILENO);

	Pipe()
	{
		EXPECT_EQ(0, pipe(ends));
		EXPECT_EQ(65536, fcntl(ends[1], F_SETPIPE_SZ, 65536));
		dup2(ends[1], STDERR_FILENO);
		// A write that blocks ends the test.
		alarm(5);
	}
	~Pipe()
	{
		alarm(0);
		dup2(saved, STDERR_FILENO);
		close(saved);
		close(ends[0]);
		close(ends[1]);
	}
	std::string read_all()
	{
		std::string text(1 << 20, 0);
		ssize_t nr;

		fcntl(ends[0], F_SETFL, O_NONBLOCK);
		nr = read(ends[0], &text[0], text.size());
		text.resize(nr > 0 ? (size_t)nr : 0);
		return text;
	}
};

size_t count_lines(const std::string &text)
{
	size_t nr = 0;

	for (char c : text)
		nr += c == '\n';
	return nr;
}

} // namespace

TEST(Log, FullPipeDoesNotBlock)
{
	Pipe pipe;
	size_t nr_lines;
	std::string text;

	for (int i = 0; i < 2000; i++)
		log_info("test", "%s %d", std::string(100, 'x').c_str(), i);
	text = pipe.read_all();
	nr_lines = count_lines(text);
	EXPECT_GT(nr_lines, 100u);
	EXPECT_LT(nr_lines, 2000u);
	EXPECT_EQ('\n', text.back());
	log_error("test", "last");
	text = pipe.read_all();
	EXPECT_NE(std::string::npos,
		  text.find("warn log: " + std::to_string(2000 - nr_lines) +
			    " lines were dropped\n"))
		<< text;
	EXPECT_NE(std::string::npos, text.find("error test: last\n")) << text;
	log_error("test", "again");
	EXPECT_EQ(1u, count_lines(pipe.read_all()));
}

// Messages may contain input from the network.
TEST(Log, LineIsBoundedAndHasNoControlCharacters)
{
	Pipe pipe;
	std::string text;

	log_error("test", "a\nb\x01%s", std::string(3000, 'y').c_str());
	text = pipe.read_all();
	EXPECT_EQ(1u, count_lines(text));
	EXPECT_NE(std::string::npos, text.find("error test: a?b?yyy"));
	EXPECT_LT(text.size(), 1300u);
}
