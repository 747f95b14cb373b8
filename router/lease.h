/*
** lease.h
** A lease on one duty, kept as one object of the store
**
** At most one instance at a time performs the duty of ordering engines to
** change between the prefill and the decode stage (stages.h). The instance
** that replaced the lease object last, on the condition that no other had
** replaced it since it was read, holds the lease for 'length' from the time
** just before that call. The object's position is the fencing token: an engine
** rejects an order whose token is smaller than one that it has seen. The token
** grows with every replacement. A lease is not kept up while there is nothing
** to do: it is taken when the duty is wanted, and then expires. If the duty is
** wanted again before that, its holder replaces the object again, which
** extends the lease.
**
** A store that was restored from a copy may have lost the object while its
** holder relies on it. Each restore begins a new era of the store, a number
** that grows. So no lease is held across a change of the era, and an instance
** takes none within twice 'length' of the moment at which it hears of a newer
** era. The first era that an instance hears of counts as newer too, because
** the instance may have started just after the change.
**
** Invariants: a lease counts as held only after an answer of the store that
** says so, and never longer than 'length' after the call was made. Another
** instance's lease is taken only after its position has stayed the same for
** twice 'length' by this instance's steady clock, so that the leases of two
** holders are at least one 'length' apart. After a call without an answer the
** object is read again before anything else. Times are in us.
*/

#ifndef ROUTER_LEASE_H
#define ROUTER_LEASE_H

#include "router/follower.h"

typedef struct Lease {
  char *holder;  /* Name of this instance. */
  gint64 length; /* Duration of a lease; 0: no lease is ever taken. */
  gboolean open; /* A call is open. */
  StoreOperation operation; /* Operation of that call. */
  gint64 sent_at;           /* Time at which the open call was made. */
  gint64 retry_at;          /* No call is made before this time. */
  gboolean known;           /* The object's state was read from the store. */
  gboolean absent;          /* There is no object yet. */
  gboolean own;             /* This instance replaced the object last. */
  guint64 era;      /* Latest era of the store that was named; 0: none was. */
  guint64 sent_era; /* Value of 'era' when the open call was made. */
  gint64 free_from; /* No lease is taken before this time. */
  StorePosition position;
  gint64 seen_at; /* Time at which 'position' was first seen. */
  /*
  ** Number of times the object was written, by whichever holder; it makes each
  ** record differ from the one before.
  */
  guint64 term;
  /* End of this instance's lease, exclusive; 0: it is not held. */
  gint64 held_until;
} Lease;

/* Content of the lease object. */
typedef struct LeaseRecord {
  char *holder;
  guint64 term;
} LeaseRecord;

/* Frees the record's contents, not the record. */
void lease_record_clear(LeaseRecord *record);

/* Answer of the store to a call of the lease. */
typedef struct LeaseReply {
  StoreStatus status;
  guint64 era; /* Era of the store; 0: the answer names none. */
  /* OK and CONFLICT: the object's position; none: the answer names none. */
  StorePosition position;
  LeaseRecord record; /* OK and CONFLICT: the object's content. */
} LeaseReply;

/*
** Initialises 'lease', whose memory is the caller's; 'holder' is copied. 'now'
** is the time at which this instance started.
*/
void lease_init(Lease *lease, const char *holder, gint64 length, gint64 now);
/* Frees what the lease holds, not 'lease' itself. */
void lease_clear(Lease *lease);

/*
** Begins the next call towards holding the lease, when the duty is wanted.
** Returns FALSE when none is due now; lease_next_call_time tells when to try
** again. The texts in 'call' stay valid until its reply is handed in.
*/
gboolean lease_begin_call(Lease *lease, StoreCall *call, LeaseRecord *record,
                          gint64 now);
/* Handles the reply to the open call, which the caller clears. */
void lease_handle_reply(Lease *lease, const LeaseReply *reply, gint64 now);
/*
** Returns the time before which no call is due; G_MAXINT64 while a call is
** open.
*/
gint64 lease_next_call_time(const Lease *lease);

/*
** Records an era that the store has named, to this instance or another one. A
** newer era ends a lease that is held.
*/
void lease_observe_era(Lease *lease, guint64 era, gint64 now);
/*
** Returns the fencing token that the holder's orders carry; it grows with each
** holder and each era.
*/
gint64 lease_fence(const Lease *lease);

/* Returns TRUE when the lease is held for more than 'span' from now on. */
gboolean lease_is_held(const Lease *lease, gint64 span, gint64 now);
/*
** Ends the lease at once because a newer fencing token was seen. No call is
** begun for twice 'length' and the usual pause after a failure. This does not
** hold for a call that is open: its reply ends the pause, and the lease is
** held again if the call replaced the object.
*/
void lease_give_up(Lease *lease, gint64 now);

#endif
