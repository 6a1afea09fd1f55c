#include "cli_internal.h"

#include <string.h>

#include <sodium.h>

static int load_settings(struct cli *cli, struct set_settings *settings)
{
	char cause[8192];

	if (!set_load(cli->options[OPT_SETTINGS], settings, cause,
		      sizeof(cause)))
		return CLI_DONE;
	return cli_fail(cli, CLI_USAGE, "%s", cause);
}

int cli_run(struct cli *cli)
{
	struct set_settings settings;
	int status = load_settings(cli, &settings);

	if (status)
		return status;
	log_set_level(settings.log_level);
	status = cli->env->run(cli->env->arg, &settings);
	sodium_memzero(&settings, sizeof(settings));
	return status;
}

/*
 * Refuses "init" if another control instance accepts connections, since the
 * cluster may exist already. Instances that are down go unnoticed, so this
 * catches only the common mistake.
 */
static int check_no_cluster_exists(struct cli *cli,
				   const struct set_settings *settings)
{
	const struct set_control *control;
	size_t i;

	for (i = 0; i < settings->nr_controls; i++) {
		control = &settings->controls[i];
		if (!strcmp(control->name, settings->name) ||
		    !cli->env->accepts(cli->env->arg, control->address))
			continue;
		return cli_fail(cli, CLI_REFUSED,
				"control instance \"%s\" accepts connections "
				"at %s: the cluster may exist already",
				control->name, control->address);
	}
	return CLI_DONE;
}

int cli_init(struct cli *cli)
{
	struct set_settings settings;
	char cause[4096 + 256];
	int status = load_settings(cli, &settings);

	if (status)
		return status;
	if (settings.role != AW__ROLE__ROLE_CONTROL)
		return cli_fail(cli, CLI_USAGE,
				"%s: init needs a settings file of role "
				"control",
				cli->options[OPT_SETTINGS]);
	status = check_no_cluster_exists(cli, &settings);
	if (status)
		return status;
	if (!cli->env->create_cluster(cli->env->arg, &settings, cause,
				      sizeof(cause)))
		return cli_fail(cli, CLI_REFUSED, "%s", cause);
	fprintf(cli->env->out,
		"founded a cluster in %s with \"%s\" as its only voter\n",
		settings.data_dir, settings.name);
	return CLI_DONE;
}
