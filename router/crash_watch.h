/*
** crash_watch.h
** Did an endpoint end, or was a connection lost?
**
** Connections break off for many reasons: resets, faulty endpoints, cuts. A
** broken run is held against its request only when the endpoint's process has
** ended: a new connection to it is refused at once, or the platform's list
** drops the endpoint or names a later life of it soon after. Silence proves
** nothing: that is what a cut looks like.
**
** Invariants. A request is told of at most once for each life of an endpoint.
** An endpoint that was leaving when its runs broke off ended by plan. What is
** not proved within CRASH_PROOF counts for nobody.
*/

#ifndef ROUTER_CRASH_WATCH_H
#define ROUTER_CRASH_WATCH_H

#include <glib.h>

#include "router/endpoint_table.h"
#include "router/quarantine.h"
#include "router/router.h"

typedef struct CrashWatch CrashWatch;

typedef struct CrashWatchHost {
  void *data;
  /* try to connect; its outcome is handed to crash_watch_outcome. Returns the
  ** dispatch's number */
  guint64 (*check)(void *data, const Endpoint *endpoint, gint64 timeout,
                   gint64 now);
  /* this life of the endpoint ended while it ran these requests; 'how' says
  ** what proved it */
  void (*ended)(void *data, const char *endpoint, guint32 life,
                const QuarantineSuspect *suspects, guint count,
                const char *how, gint64 now);
} CrashWatchHost;

CrashWatch *crash_watch_new(const CrashWatchHost *host);
void crash_watch_free(CrashWatch *watch);

/* a run, or the reading of a prompt, broke off there; copied */
void crash_watch_run_broken(CrashWatch *watch, const Endpoint *endpoint,
                            const QuarantineSuspect *suspect, gint64 now);
/* FALSE: no check has this number */
gboolean crash_watch_outcome(CrashWatch *watch, const Outcome *outcome,
                             gint64 now);
/* the list says that this life is over */
void crash_watch_life_ended(CrashWatch *watch, const char *endpoint,
                            guint32 life, const char *how, gint64 now);
void crash_watch_expire(CrashWatch *watch, gint64 now);

#endif
