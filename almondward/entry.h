/*
 * entry: the entry role of an instance, which serves look-ups, forwards
 * requests and accepts the announcements of backend servers.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs an entry instance until SIGTERM and the graceful shutdown that follows.
 * Returns an exit status: 0 after a graceful shutdown, 1 after an error, which
 * was logged.
 */
int entry_run(const struct set_settings *settings);

#ifdef __cplusplus
}
#endif

#endif
