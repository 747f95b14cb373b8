/*
** stream_origins.h
** Remembers at which version of the endpoints' software streams began
**
** What endpoints of two versions write does not fit together, so a stream that
** its caller takes up again may go on only at the version that began it. A
** stream is known by the account and the id of the attempt that brought its
** first event; its origin is kept for as long as it may be taken up.
**
** Invariants:
** 1. An origin is never guessed: a stream for which two versions were named is
**    ambiguous for good, and one that found no room in the table is unknown.
** 2. To hear of an origin twice, from whomever and in whatever order, changes
**    nothing but the time for which it is kept.
** 3. An account has at most ORIGINS_PER_ACCOUNT_MAX origins in the table, so
**    that one account leaves room for the others.
**
** A Router owns one table (router/continuation.c). Times are microseconds of
** the steady clock.
*/

#ifndef ROUTER_STREAM_ORIGINS_H
#define ROUTER_STREAM_ORIGINS_H

#include "madderpier.h"

/* The most origins in the table, at some 100 bytes each, and of one account.
 */
#define ORIGINS_MAX 32768
#define ORIGINS_PER_ACCOUNT_MAX 16384

/* Names a stream: a digest of its account and of the attempt that brought its
** first event. */
typedef struct StreamKey {
  guint64 digest[2];
} StreamKey;

/* 'account' may be NULL: none. */
StreamKey stream_key(const char *account, const char *attempt);

/* StreamOrigin.told_by of an origin that the store has named. */
#define ORIGIN_TOLD_BY_STORE ((mp_Addr)1)

typedef struct StreamOrigin {
  StreamKey key;
  guint64 software; /* endpoint_software_digest; 0: ambiguous */
  guint32 service;  /* hash of the service's name */
  guint32 account;  /* hash of the account's name; 0: none */
  gint64 began;     /* when the first event came */
  gint64 expires;   /* from then on it may not be taken up any more */
  mp_Addr told_by;  /* the instance that told of it; 0: it began here */
  gboolean is_told; /* began here: other instances were told of it */
} StreamOrigin;

/* The longest time for which another instance, or the store, may have an
** origin kept here. */
#define STREAM_LEFT_MS_MAX 600000u

/* Returns an origin as messages have it, and the origin in a message that came
** from another instance. */
mp_StreamOrigin stream_origin_row(const StreamOrigin *origin, gint64 now);
StreamOrigin stream_origin_received(const mp_StreamOrigin *row, mp_Addr from,
                                    gint64 now);

typedef struct StreamOrigins StreamOrigins;

StreamOrigins *stream_origins_new(void);
void stream_origins_free(StreamOrigins *origins);

/* Adds an origin, or merges it with the known one of the same stream. Returns
** FALSE if there is no room. */
gboolean stream_origins_add(StreamOrigins *origins, const StreamOrigin *origin,
                            gint64 now);
/* Returns the origin of a stream, valid until the next call that changes the
** table; NULL: not known. */
const StreamOrigin *stream_origins_find(const StreamOrigins *origins,
                                        const StreamKey *key, gint64 now);
/* Copies up to 'most' origins of the service (hash of its name) that began
** here and that others were not told of, marks them as told, and returns their
** number. */
guint stream_origins_take_untold(StreamOrigins *origins, guint32 service,
                                 StreamOrigin *out, guint most, gint64 now);
/* Calls 'function' with 'data' for each origin. */
void stream_origins_each(const StreamOrigins *origins,
                         void (*function)(gpointer data,
                                          const StreamOrigin *origin,
                                          gint64 now),
                         gpointer data, gint64 now);
/* Returns TRUE if there are origins that began here and were not told. */
gboolean stream_origins_has_untold(const StreamOrigins *origins);
guint stream_origins_count(const StreamOrigins *origins);
/* Removes expired origins; called with every tick, it acts once a second. */
void stream_origins_expire(StreamOrigins *origins, gint64 now);

#endif
