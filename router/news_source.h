/*
** news_source.h
** Whom an instance asks for the news of one kind of the store's objects
**
** The Follower says what to ask, the RelayGroup which relays have news;
** this part chooses between the store, a relay and, at a start without the
** store, the instances that the settings name. Whoever answers, positions
** are the store's, so the source may change from one call to the next.
** Invariants: one call is open at a time. A relay that does not answer has
** the store asked at once. No call is given up while its answer arrives. A
** watch that ends without a change that another instance has named proves
** nothing: the objects are listed.
*/

#ifndef ROUTER_NEWS_SOURCE_H
#define ROUTER_NEWS_SOURCE_H

#include "router/follower.h"
#include "router/relay_group.h"

typedef enum NewsStep {
  NEWS_WAIT,              /* nothing to ask before 'at', or before a look */
  NEWS_ASK_STORE,         /* make the call there */
  NEWS_ASK_INSTANCE,      /* make the call at 'instance' */
  NEWS_ABANDON_STORE_CALL /* forget the open call to the store, and look again
                           */
} NewsStep;

typedef struct NewsAction {
  NewsStep step;
  gint64 at; /* WAIT: look again then; G_MAXINT64: when something changes */
  StoreCall call;
  gint64 patience;  /* how long an answer may be silent */
  mp_Addr instance; /* where it answers news */
} NewsAction;

typedef struct NewsSourceHost {
  void *data;
  /* the address where a relay answers news; 0: not known */
  mp_Addr (*control_of)(void *data, mp_Addr relay);
} NewsSourceHost;

typedef struct NewsSource {
  Follower follower;
  RelayGroup *group;
  NewsSourceHost host;
  const mp_Addr *seeds; /* asked in turn while nothing is known */
  unsigned seeds_count;
  unsigned next_seed;
  gboolean seed_failed; /* the last one asked knew nothing */
  gboolean at_store;    /* the open call went to the store */
  gint64 asked_at;      /* when the open call was made */
  gint64 progress_at;   /* when bytes of its answer came last, or so */
  StoreOperation asked_for;
  gint64 asked_wait; /* WATCH: as in the call */
  gboolean asked_stale;
  guint64 asked_era; /* the latest era of the store that was heard of then */
  gint64 proof_wait_max; /* the age of the configuration must be known: longest
                          ** wait of its watches; 0: it need not be */
  mp_Addr asked;         /* the relay that the open call went to; 0: none */
  gboolean must_ask_store; /* a relay's news could not be had: ask the store */
  gint64 behind_since;     /* others know more than the open watch; 0: no */
  gboolean is_behind;      /* they are asked in the store's place */
  guint missed;            /* watches that missed a change, since the start */
} NewsSource;

/* 'follower' is initialised by the caller, and cleared by it */
void news_source_init(NewsSource *source, RelayGroup *group,
                      const NewsSourceHost *host, const mp_Addr *seeds,
                      unsigned seeds_count);

/* what to do now; a call that is handed out is open from then on */
void news_source_next(NewsSource *source, gint64 now, NewsAction *out);
/* bytes of the open call's answer have come */
void news_source_progress(NewsSource *source, gint64 now);
/* the open call's answer; news_source_next says how it goes on */
void news_source_reply(NewsSource *source, const StoreReply *reply,
                       gint64 now);

#endif
