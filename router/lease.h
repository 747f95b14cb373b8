/*
** lease.h
** A lease on one duty, kept as one object of the store
**
** Whoever replaced the object last, on the condition that nobody else did
** since it was read, holds the lease for 'length' from the moment before
** that call. Its position is the fence: it grows with every holder. Nobody
** renews: a lease is taken when there is something to do, and lapses.
**
** A store that was restored from a copy may have lost the object while its
** holder counts on it. So no lease is held over a change of the store's era,
** and none is taken within twice 'length' of it, or of when an instance that
** did not see it first hears of an era.
**
** Invariants. A lease counts as held only from an answer of the store that
** says so, and never longer than 'length' after the call was made. Another
** instance's lease is taken only after its revision has stood still for
** twice 'length' by this instance's steady clock, so that two holders are
** at least one 'length' apart. After a call without an answer the object
** is read again before anything else.
*/

#ifndef ROUTER_LEASE_H
#define ROUTER_LEASE_H

#include "router/follower.h"

typedef struct Lease {
  char *holder;  /* this instance's name */
  gint64 length; /* 0: no lease is ever taken */
  gboolean open; /* a call is out */
  StoreOperation operation;
  gint64 sent_at;
  gint64 retry_at;  /* no call before then */
  gboolean known;   /* what follows was read from the store */
  gboolean absent;  /* there is no object yet */
  gboolean own;     /* this instance replaced it last */
  guint64 era;      /* of the store, the latest heard of; 0: none */
  guint64 sent_era; /* when the open call was made */
  gint64 free_from; /* none is taken before then */
  StorePosition position;
  gint64 seen_at;    /* when this position was first seen */
  guint64 term;      /* counts the holders; makes every record differ */
  gint64 held_until; /* 0: not held */
} Lease;

/* the object's content */
typedef struct LeaseRecord {
  char *holder;
  guint64 term;
} LeaseRecord;

void lease_record_clear(LeaseRecord *record);

/* what the store answered */
typedef struct LeaseReply {
  StoreStatus status;
  guint64 era;            /* of the store; 0: it was not said */
  StorePosition position; /* OK and CONFLICT; none: it was not said */
  LeaseRecord record;     /* OK and CONFLICT */
} LeaseReply;

/* 'now' is when this instance started */
void lease_init(Lease *lease, const char *holder, gint64 length, gint64 now);
void lease_clear(Lease *lease);

/*
** The duty is wanted: the next call towards holding the lease. FALSE when
** none is due now; lease_next_call_time tells when to ask again. Texts in
*'call' live
** until its reply is handed in.
*/
gboolean lease_begin_call(Lease *lease, StoreCall *call, LeaseRecord *record,
                          gint64 now);
void lease_handle_reply(Lease *lease, const LeaseReply *reply, gint64 now);
/* G_MAXINT64 while a call is out */
gint64 lease_next_call_time(const Lease *lease);

/* the store has named this era, here or to another instance */
void lease_observe_era(Lease *lease, guint64 era, gint64 now);
/* what the holder's orders bear: grows with each holder and each era */
gint64 lease_fence(const Lease *lease);

/* is it held, and for at least 'span' more? */
gboolean lease_is_held(const Lease *lease, gint64 span, gint64 now);
/* somebody has seen a newer fence: stop at once */
void lease_give_up(Lease *lease, gint64 now);

#endif
