// Tests how an instance proves that a server has exited: at once, also beside
// other servers that have exited, and never because its own links are lost.
#include <gtest/gtest.h>

#include "exit_check.h"

#define TICK_MS 20

namespace
{

struct ExitCheck : testing::Test {
	struct clk *clk = clk_create_paused(1000);
	struct reach *reach = reach_create(clk);
	struct exit_check *check = exit_check_create(clk, reach);
	size_t nr_others = 0;
	size_t nr_down = 0; // of the others, those chosen first
	bool links_ok = true;

	~ExitCheck() override
	{
		exit_check_destroy(check);
		reach_destroy(reach);
		clk_destroy(clk);
	}

	enum exit_check_state state()
	{
		return exit_check_state(check);
	}

	// Connects to the other servers that the check asks for, each of which
	// accepts or refuses at once.
	void connect_others()
	{
		size_t nr;

		while ((nr = exit_check_begin_others(check)))
			for (; nr; nr--) {
				bool down = nr_others++ < nr_down;

				exit_check_other_done(
					check, links_ok && !down ?
						       LOOP_PROBE_ACCEPTED :
						       LOOP_PROBE_REFUSED);
			}
	}

	void connect_server(enum loop_probe_result result)
	{
		ASSERT_TRUE(exit_check_begin_server(check));
		exit_check_server_done(check, result);
	}

	void run(uint64_t ms)
	{
		for (; ms; ms -= TICK_MS) {
			bool new_round;
			size_t nr;

			clk_advance_ms(clk, TICK_MS);
			nr = reach_tick(reach, 6, &new_round);
			while (nr--) {
				reach_probe_begin(reach);
				reach_probe_end(reach, links_ok);
			}
		}
	}

	// Runs until reach has decided that the links are lost, which takes it
	// less than two seconds.
	void run_until_lost()
	{
		for (int i = 0; i < 100 && reach_state(reach) == REACH_OK; i++)
			run(TICK_MS);
		ASSERT_EQ(REACH_NO_NEW, reach_state(reach));
	}
};

} // namespace

TEST_F(ExitCheck, RefusedConnectionBesideAnAcceptedOneProvesTheExit)
{
	connect_others();
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	connect_server(LOOP_PROBE_REFUSED);
	EXPECT_EQ(EXIT_CHECK_EXITED, state());
	EXPECT_EQ(1u, nr_others);
}

// The exit was reported up to 200 ms late, or never, when the other server had
// exited too; each repeat of the request in between crashed a further server.
TEST_F(ExitCheck, OtherServersMayHaveExitedToo)
{
	for (nr_down = 1; nr_down < EXIT_CHECK_OTHERS_MAX; nr_down++) {
		for (bool server_first : { false, true }) {
			exit_check_destroy(check);
			check = exit_check_create(clk, reach);
			nr_others = 0;
			if (!server_first)
				connect_others();
			connect_server(LOOP_PROBE_REFUSED);
			connect_others();
			EXPECT_EQ(EXIT_CHECK_EXITED, state()) << nr_down;
			EXPECT_EQ(EXIT_CHECK_OTHERS_MAX, nr_others) << nr_down;
		}
	}
}

// A connection to a silent server takes 700 ms to fail.
TEST_F(ExitCheck, SilentOtherServerDelaysNothing)
{
	ASSERT_EQ(1u, exit_check_begin_others(check));
	connect_server(LOOP_PROBE_REFUSED);
	connect_others();
	EXPECT_EQ(EXIT_CHECK_EXITED, state());
}

// An instance that lost its links took the servers for exited.
TEST_F(ExitCheck, LostLinksProveNothing)
{
	links_ok = false;
	connect_others();
	connect_server(LOOP_PROBE_REFUSED);
	connect_others();
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	EXPECT_EQ(EXIT_CHECK_OTHERS_MAX, nr_others);
	run_until_lost();
	EXPECT_EQ(EXIT_CHECK_NO_LINKS, state());
}

// Without a server that can be reached, the probes of reach decide.
TEST_F(ExitCheck, ReachDecidesIfNoOtherServerAccepts)
{
	nr_down = EXIT_CHECK_OTHERS_MAX;
	connect_server(LOOP_PROBE_REFUSED);
	connect_others();
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	run(100);
	EXPECT_EQ(EXIT_CHECK_EXITED, state());
}

// An instance that is known to be cut off must not drop the evidence while
// another server may still accept.
TEST_F(ExitCheck, FoundLinksProveTheExit)
{
	links_ok = false;
	reach_check(reach);
	run_until_lost();
	connect_server(LOOP_PROBE_REFUSED);
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	links_ok = true;
	connect_others();
	EXPECT_EQ(EXIT_CHECK_EXITED, state());
}

// An exiting process may close its connections before it stops listening.
TEST_F(ExitCheck, AcceptedConnectionIsRepeatedOnce)
{
	connect_others();
	connect_server(LOOP_PROBE_ACCEPTED);
	EXPECT_FALSE(exit_check_begin_server(check));
	run(480);
	EXPECT_FALSE(exit_check_begin_server(check));
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	run(20);
	connect_server(LOOP_PROBE_REFUSED);
	connect_others();
	EXPECT_EQ(EXIT_CHECK_EXITED, state());
}

// A server that runs was taken for exited if the instance lost its links before
// the repetition, since another server had accepted before that.
TEST_F(ExitCheck, LinksMayBeLostBeforeTheRepetition)
{
	connect_others();
	connect_server(LOOP_PROBE_ACCEPTED);
	run(500);
	links_ok = false;
	connect_server(LOOP_PROBE_REFUSED);
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	connect_others();
	run(100);
	EXPECT_EQ(EXIT_CHECK_PENDING, state());
	run_until_lost();
	EXPECT_EQ(EXIT_CHECK_NO_LINKS, state());
}

TEST_F(ExitCheck, ServerThatAcceptsHasNotExited)
{
	connect_others();
	connect_server(LOOP_PROBE_ACCEPTED);
	run(500);
	connect_server(LOOP_PROBE_ACCEPTED);
	EXPECT_EQ(EXIT_CHECK_UNPROVEN, state());
	EXPECT_FALSE(exit_check_begin_server(check));
}

TEST_F(ExitCheck, SilenceProvesNothing)
{
	connect_others();
	connect_server(LOOP_PROBE_NO_ANSWER);
	EXPECT_EQ(EXIT_CHECK_UNPROVEN, state());
}
