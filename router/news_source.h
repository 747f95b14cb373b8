/*
** news_source.h
** Chooses whom an instance asks for changes of one kind of objects
**
** The Follower decides what to ask, and the RelayGroup knows which relays
** (instances that follow the store for others) have changes. This module
** chooses between the store, a relay and, when an instance starts without the
** store, the instances that the settings name (seeds). The code that does the
** input and output (io/following.c) asks for the next action and hands back
** the reply. Positions in replies are the store's, whoever answers, so the
** source may change from one call to the next.
**
** Invariants: at most one call is open. When a relay does not answer, the
** store is asked at once. No call is given up while its answer is arriving. A
** watch that ends without a change that another instance has announced proves
** nothing: the objects are listed.
*/

#ifndef ROUTER_NEWS_SOURCE_H
#define ROUTER_NEWS_SOURCE_H

#include "router/follower.h"
#include "router/relay_group.h"

/* Kinds of actions. */
typedef enum NewsStep {
  /* Nothing to ask before 'at' or before something changes. */
  NEWS_WAIT,
  NEWS_ASK_STORE,    /* Make the call to the store. */
  NEWS_ASK_INSTANCE, /* Make the call to 'instance'. */
  /* Cancel the open call to the store, and ask for the next action again. */
  NEWS_ABANDON_STORE_CALL
} NewsStep;

/* What the caller is to do next. */
typedef struct NewsAction {
  NewsStep step;
  /* WAIT: time in us to ask again; G_MAXINT64: only after a change. */
  gint64 at;
  StoreCall call;
  /* Time in us without progress after which the call is given up. */
  gint64 patience;
  mp_Addr instance; /* Address at which that instance answers calls. */
} NewsAction;

typedef struct NewsSourceHost {
  void *data;
  /* Returns the address at which a relay answers calls; 0: it is unknown. */
  mp_Addr (*control_of)(void *data, mp_Addr relay);
} NewsSourceHost;

typedef struct NewsSource {
  Follower follower;
  RelayGroup *group;
  NewsSourceHost host;
  const mp_Addr *seeds; /* Asked in turn while nothing is known. */
  unsigned seeds_count;
  unsigned next_seed;
  gboolean seed_failed; /* The last seed asked knew nothing. */
  gboolean at_store;    /* The open call went to the store. */
  gint64 asked_at;      /* Time at which the open call was made, us. */
  gint64 list_asked_at; /* The same of the first page of the last list. */
  /* Time at which bytes of its answer came last, or the call was made, us. */
  gint64 progress_at;
  StoreOperation asked_for; /* Operation of the open call. */
  gint64 asked_wait;        /* WATCH: as in the call. */
  gboolean asked_stale;     /* LIST: as in the call. */
  gboolean asked_as_relay;  /* This instance was a relay then. */
  /* Latest era of the store that was known when the call was made. */
  guint64 asked_era;
  /*
  ** The age of the configuration must be known: longest wait in us of its
  ** watches; 0: it need not be known.
  */
  gint64 proof_wait_max;
  /* The relay to which the open call went; 0: it went elsewhere. */
  mp_Addr asked;
  gboolean must_ask_store; /* A relay failed to answer: ask the store next. */
  /*
  ** Time in us since which others know more than the open call has brought; 0:
  ** they do not.
  */
  gint64 behind_since;
  /* A relay is to be asked instead of the silent store. */
  gboolean is_behind;
  /* Number of watches that missed a change, since the start. */
  guint missed;
} NewsSource;

/*
** Initialises 'source', whose memory is zeroed and the caller's. The caller
** initialises 'follower' before, and clears it. 'seeds' is not copied.
*/
void news_source_init(NewsSource *source, RelayGroup *group,
                      const NewsSourceHost *host, const mp_Addr *seeds,
                      unsigned seeds_count);

/*
** Writes to 'out' what to do now. A call that is handed out is open from then
** on.
*/
void news_source_next(NewsSource *source, gint64 now, NewsAction *out);
/* Records that bytes of the open call's answer have come. */
void news_source_progress(NewsSource *source, gint64 now);
/*
** Handles the open call's reply, which the caller clears. news_source_next
** tells what follows.
*/
void news_source_reply(NewsSource *source, const StoreReply *reply,
                       gint64 now);

#endif
