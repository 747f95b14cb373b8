/*
** suspicions.h
** Suspected ends of endpoints, which are not proved yet
**
** A run that breaks off may mean that its endpoint's process has ended. Where
** nothing refuses connections then, only the platform's list proves the end,
** some seconds later. Until then the end is held against the request that ran
** there as a suspicion, and the other instances are told at once: the request
** may come to them within some hundred milliseconds.
**
** Invariants:
** 1. A suspicion ends by itself after SUSPICION_LIFETIME, within which the
**    list would have proved the end.
** 2. It ends at once when that life of the endpoint (that run of its process)
**    answers anything. So an endpoint that breaks answers off because of a
**    fault, and goes on to answer, leaves no suspicion here. Whoever was told
**    of it is told of its end as well.
** 3. It never becomes a strike (router/quarantine.h): a suspicion can defer a
**    request and can't quarantine one.
**
** A Router owns one Suspicions, which suspects.c uses. A request is identified
** by the hash of its content and client account, a life by Endpoint.hash.
** Times are in microseconds of this instance's steady clock.
*/

#ifndef ROUTER_SUSPICIONS_H
#define ROUTER_SUSPICIONS_H

#include "madderpier.h"

/* counted from the time when the run broke off. The list drops an endpoint
** three heartbeats after its end, 3.6 s with the platform's heartbeat, and
** that has to reach this instance. */
#define SUSPICION_LIFETIME (4500 * MP_MS)

typedef struct Suspicions Suspicions;

/* The caller frees the result with suspicions_free. */
Suspicions *suspicions_new(void);
void suspicions_free(Suspicions *suspicions);

/* A run of this request broke off here, at this life of an endpoint. Returns
** TRUE if this instance does not suspect that already. */
gboolean suspicions_add(Suspicions *suspicions, guint64 content, guint32 life,
                        gint64 now);
/* This life has answered something, so it has not ended: disproves its
** suspicions, except for those so new that the answer may have been sent
** before an end. */
void suspicions_clear_incarnation(Suspicions *suspicions, guint32 life,
                                  gint64 now);
/* Returns how many suspected ends stand against the request, without those for
** which 'is_proved' returns TRUE, because they are proved. Stores in '*until'
** when the last of them expires, or 0 if there are none. */
guint suspicions_count(const Suspicions *suspicions, guint64 content,
                       gboolean (*is_proved)(void *data, guint64 content,
                                             guint32 life),
                       void *data, gint64 *until, gint64 now);

/* Writes to 'out' the lives, at most 'most', at which a run of the request is
** suspected to have ended the endpoint, and returns their number. */
guint suspicions_list_lives(const Suspicions *suspicions, guint64 content,
                            guint32 *out, guint most, gint64 now);

/* Returns a number that grows whenever there is a suspicion that the other
** instances must be told at once. */
guint64 suspicions_version(const Suspicions *suspicions);
/* Writes suspicions for other instances: this instance's own, or with
** 'with_received' those that it received too. Standing ones come first, then
** disproved ones, the newest first in each. */
void suspicions_write(const Suspicions *suspicions, gboolean with_received,
                      mp_CrashUpdate *out, gint64 now);
/* Adds what another instance suspects, and removes what it has disproved.
** Returns TRUE if some of it was new. */
gboolean suspicions_receive(Suspicions *suspicions, const mp_CrashUpdate *news,
                            gint64 now);
/* Removes the suspicions that have expired. */
void suspicions_expire(Suspicions *suspicions, gint64 now);

#endif
