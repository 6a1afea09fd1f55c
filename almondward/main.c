#include <signal.h>
#include <sys/stat.h>

#include "cli.h"

int main(int argc, char **argv)
{
	/* A write to a closed connection must give an error, not end us. */
	signal(SIGPIPE, SIG_IGN);
	umask(0077);
	return cli_main(argc, argv, cli_system_env());
}
