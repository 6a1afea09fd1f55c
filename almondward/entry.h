/*
 * entry: the entry role: look-ups, requests, announcements.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Runs an entry instance until SIGTERM and the graceful shutdown that follows.
 * Returns an exit status: 0 after a graceful stop, 1 when it failed (logged).
 */
int entry_run(const struct set_settings *settings);

#ifdef __cplusplus
}
#endif

#endif
