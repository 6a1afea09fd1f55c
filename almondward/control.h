/*
 * ctl: the control role: consensus, soft state of the leader, HTTP for
 * operators.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "service.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs a control instance until SIGTERM. The adapter translates the HTTP API of
 * seeded clusters. Returns an exit status: 0 after a graceful stop, 1 after a
 * failure, which is logged.
 */
int ctl_run(const struct set_settings *settings,
	    const struct svc_adapter *adapter);

#ifdef __cplusplus
}
#endif

#endif
