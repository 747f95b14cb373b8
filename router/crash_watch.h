/*
** crash_watch.h
** Finds out whether an endpoint's process ended when a connection broke off
**
** Connections break off for many reasons: resets, faulty endpoints, network
** partitions. A broken run is held against its request only when the
** endpoint's process has ended. There are two proofs: new connections to the
** endpoint are refused at once, or the platform's list drops the endpoint or
** names a later life of it soon after. (A life, or incarnation, is one run of
** the process, from its start to its end.) A refusal that this instance alone
** sees proves nothing: its own links may be reset. So the owner has the
** endpoint checked through other instances too, where there are any. A check
** that gets no reply proves nothing either, because that is what a partition
** looks like.
**
** Invariants:
** 1. A request is reported at most once for each life of an endpoint.
** 2. An endpoint that was leaving when its runs broke off ended by plan; no
**    request is reported for it.
** 3. What is not proved within 6 s of the last broken run is never reported.
**
** A Router owns one CrashWatch (lives.c creates it): suspects.c adds broken
** runs, lives.c adds what the list says, router.c passes outcomes and time.
** Times are in microseconds of this instance's steady clock; a life is named
** by Endpoint.hash.
*/

#ifndef ROUTER_CRASH_WATCH_H
#define ROUTER_CRASH_WATCH_H

#include <glib.h>

#include "router/endpoint_table.h"
#include "router/quarantine.h"
#include "router/router.h"

typedef struct CrashWatch CrashWatch;

/* what the owner does for the watch; called from within its functions */
typedef struct CrashWatchHost {
  void *data; /* passed to both */
  /* Tries to connect to the endpoint for up to 'timeout', and has others try
  ** if that fails. Returns the number of the dispatch whose outcome, that of
  ** the last try, is to be passed to crash_watch_outcome, or 0 if none was
  ** sent. */
  guint64 (*check)(void *data, const Endpoint *endpoint, gint64 timeout,
                   gint64 now);
  /* This life of the endpoint ended while it ran these requests. 'how' is the
  ** proof, a static string: "refused", or what crash_watch_incarnation_ended
  ** was told. 'suspects' is valid during the call only. */
  void (*ended)(void *data, const char *endpoint, guint32 life,
                const QuarantineSuspect *suspects, guint count,
                const char *how, gint64 now);
} CrashWatchHost;

/* 'host' is copied. The caller frees the result with crash_watch_free. */
CrashWatch *crash_watch_new(const CrashWatchHost *host);
void crash_watch_free(CrashWatch *watch);

/* A run or a prefill of the suspect broke off at the endpoint. The suspect is
** copied. Starts a check if one is due, or reports the suspect at once if the
** end of this life is proved already. */
void crash_watch_run_broken(CrashWatch *watch, const Endpoint *endpoint,
                            const QuarantineSuspect *suspect, gint64 now);
/* Takes the outcome of a check. Returns FALSE if the dispatch is no check of
** this watch. */
gboolean crash_watch_outcome(CrashWatch *watch, const Outcome *outcome,
                             gint64 now);
/* The platform's list says that this life has ended. 'how' must be a static
** string. */
void crash_watch_incarnation_ended(CrashWatch *watch, const char *endpoint,
                                   guint32 life, const char *how, gint64 now);
/* Forgets broken runs that are too old to be proved. */
void crash_watch_expire(CrashWatch *watch, gint64 now);

#endif
