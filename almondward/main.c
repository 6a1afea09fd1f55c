#include <signal.h>
#include <sys/stat.h>

#include "cli.h"

int main(int argc, char **argv)
{
	/* Writing to a closed connection must fail, not kill the process. */
	signal(SIGPIPE, SIG_IGN);
	umask(0077);
	return cli_main(argc, argv, cli_system_env());
}
