/*
** suspicions.h
** Ends of endpoints that are suspected, and not proved yet
**
** A run that broke off may mean that its endpoint has ended. Where nothing
** refuses connections then, only the platform's list proves it, seconds later.
** Until then the end is held against the request as a suspicion.
**
** Invariants. A suspicion ends by itself after SUSPICION_LIFETIME, in which
*the
** list would have proved the end, and at once when that life of the endpoint
** answers anything: so a faulty endpoint that breaks answers off, and goes on
** to answer, leaves none. It never becomes a strike (router/quarantine.h): it
** defers a request, and quarantines none.
*/

#ifndef ROUTER_SUSPICIONS_H
#define ROUTER_SUSPICIONS_H

#include "madderpier.h"

/* the list drops an endpoint that ended after three of its heartbeats, 3.6 s
** with the platform's, and hands that on */
#define SUSPICION_LIFETIME (4500 * MP_MS)

typedef struct Suspicions Suspicions;

Suspicions *suspicions_new(void);
void suspicions_free(Suspicions *suspicions);

/* a run of this content broke off at this life, here; TRUE: that is new */
gboolean suspicions_add(Suspicions *suspicions, guint64 content, guint32 life,
                        gint64 now);
/* that life has answered something: it has not ended */
void suspicions_clear_life(Suspicions *suspicions, guint32 life, gint64 now);
/* suspected ends that stand against this content, but for those that
** 'is_known' says are proved; '*until' is when the last of them is over */
guint suspicions_count(const Suspicions *suspicions, guint64 content,
                       gboolean (*is_known)(void *data, guint64 content,
                                            guint32 life),
                       void *data, gint64 *until, gint64 now);

/* those to tell the other instances: this one's own, or 'all' */
void suspicions_write(const Suspicions *suspicions, gboolean all,
                      mp_CrashUpdate *out, gint64 now);
/* another instance suspects these; TRUE: something was new */
gboolean suspicions_receive(Suspicions *suspicions, const mp_CrashUpdate *news,
                            gint64 now);
/* forget what is over */
void suspicions_expire(Suspicions *suspicions, gint64 now);

#endif
