// Tests the structured log (format, rate limit, untrusted values) and
// histograms.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "event.h"
#include "histogram.h"

class Event : public ::testing::Test
{
protected:
	struct clk *clk = clk_create_paused(5000);
	std::vector<std::string> lines;

	void SetUp() override
	{
		event_init(clk, "entry-1");
		event_capture(
			[](void *arg, const char *line) {
				((Event *)arg)->lines.push_back(line);
			},
			this);
	}

	~Event() override
	{
		event_capture(nullptr, nullptr);
		event_init(nullptr, "");
		clk_destroy(clk);
	}
};

TEST_F(Event, LineNamesInstanceAndEvent)
{
	event_log(EVENT_START, "role=%s", "entry");
	ASSERT_EQ(1u, lines.size());
	EXPECT_NE(std::string::npos,
		  lines[0].find(" up=5000 instance=entry-1 event=start "
				"role=entry"));
}

// Under load the log volume is limited, and the number of suppressed lines is
// logged.
TEST_F(Event, RateOfOneKindIsBounded)
{
	for (int i = 0; i < 1000; i++)
		event_log(EVENT_REQUEST, "id=%d", i);
	EXPECT_EQ((size_t)EVENT_RATE_PER_S, lines.size());
	event_log(EVENT_STOP, "outcome=begins");
	EXPECT_EQ((size_t)EVENT_RATE_PER_S + 1, lines.size());
	clk_advance_ms(clk, 1000);
	event_log(EVENT_REQUEST, "id=%d", 1000);
	EXPECT_NE(std::string::npos, lines.back().find("left_out=900"));
}

// An untrusted value must not be readable as further pairs or lines.
TEST_F(Event, UntrustedValuesAreQuoted)
{
	char text[EVENT_TEXT_BYTES];

	EXPECT_STREQ("\"a? event=stop??b\"", event_quote("a\n event=stop\"\x01"
							 "b",
							 text));
	EXPECT_STREQ("\"\"", event_quote(nullptr, text));
	EXPECT_EQ((size_t)EVENT_TEXT_BYTES - 1,
		  strlen(event_quote(std::string(1000, 'x').c_str(), text)));
}

TEST(Histogram, CountsAreCumulative)
{
	struct hist *hist = hist_create("t");
	struct buf out = BUF_INIT;

	hist_add(hist, 5);
	hist_add(hist, 600);
	hist_add(hist, 60000);
	ASSERT_EQ(0, hist_format(hist, &out));
	std::string text((const char *)out.data, out.len_bytes);
	EXPECT_NE(std::string::npos, text.find("t_bucket{le=\"0.005\"} 1\n"));
	EXPECT_NE(std::string::npos, text.find("t_bucket{le=\"0.6\"} 2\n"));
	EXPECT_NE(std::string::npos, text.find("t_bucket{le=\"+Inf\"} 3\n"));
	EXPECT_NE(std::string::npos, text.find("t_count 3\n"));
	buf_release(&out);
	hist_destroy(hist);
}
