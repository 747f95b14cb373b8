/*
** carried_paths.h
** What checks have shown of the paths to endpoints through carriers
**
** A dispatch that went through a carrier depends on that carrier's path to the
** endpoint alone. While such a dispatch is silent, its path is checked by a
** new connection through the same carrier (reach_check_path).
**
** Invariants:
** 1. Each pair of endpoint and carrier has at most one open check; all
**    dispatches on that path share it.
** 2. A pair without an open check is forgotten CARRIED_PATH_RETENTION after
**    its last check began, when the next check begins.
**
** A Reach owns one CarriedPaths. Times are microseconds of the router's steady
** clock.
*/

#ifndef ROUTER_CARRIED_PATHS_H
#define ROUTER_CARRIED_PATHS_H

#include <glib.h>

#include "madderpier.h"

/* Longer than the silence for which a run is waited for (silent_run.c). */
#define CARRIED_PATH_RETENTION (5 * MP_SEC)

typedef struct CarriedPaths CarriedPaths;

/* The caller frees the result with carried_paths_free. */
CarriedPaths *carried_paths_new(void);
void carried_paths_free(CarriedPaths *paths);

/* A check of the endpoint with this Endpoint.hash has been sent through the
** carrier. */
void carried_paths_begin_check(CarriedPaths *paths, guint32 endpoint,
                               mp_Addr via, gint64 now);
/* The open check has ended. */
void carried_paths_end_check(CarriedPaths *paths, guint32 endpoint,
                             mp_Addr via, gboolean has_connected, gint64 now);
/* Returns when the open check began; G_MININT64: none is open. */
gint64 carried_paths_checking_since(const CarriedPaths *paths,
                                    guint32 endpoint, mp_Addr via);
/* Returns when a check last connected; G_MININT64: none is known to have. */
gint64 carried_paths_connected_at(const CarriedPaths *paths, guint32 endpoint,
                                  mp_Addr via);

#endif
