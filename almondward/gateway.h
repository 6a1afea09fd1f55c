/*
 * gw: the entry role in a seeded cluster.
 *
 * Routes requests by the service plan, limits customers by their shares, and
 * forwards each request to the backend server that steer chooses. While no
 * leader can be reached it continues with the last state that it received.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "service.h"
#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs an entry instance until SIGTERM. Returns an exit status: 0 after a
 * graceful stop, 1 when it failed (logged).
 */
int gw_run(const struct set_settings *settings,
	   const struct svc_adapter *adapter);

#ifdef __cplusplus
}
#endif

#endif
