/*
** state.h
** The state of one decision core: its tables, timers and open calls
**
** One mp_State belongs to one instance. It does no input or output: events
** come in through mp_feed, and controllers queue effects (fx.h) that the
** host takes out. state.c creates, feeds and frees it.
*/

#ifndef STATE_H
#define STATE_H

#include "board.h"
#include "key_table.h"

/* private data of one controller, defined in the file named */
typedef struct Claims Claims;   /* claim.c */
typedef struct Shards Shards;   /* shard.c */
typedef struct Quotas Quotas;   /* quota.c */
typedef struct Docs Docs;       /* doc.c */
typedef struct Orders Orders;   /* order.c */
typedef struct Cancels Cancels; /* cancel.c */
typedef struct Links Links;     /* plan.c */

/* an effect that the host has not taken yet, with the texts it owns */
typedef struct QueuedEffect {
  mp_Effect e;
  char *own[2];
} QueuedEffect;

/*
** Tables that are searched by number keep their rows in a GPtrArray too,
** which owns them, so that loops visit them in a fixed order.
*/
struct mp_State {
  mp_Time now; /* time of the event that is being handled */
  mp_Addr self;
  char dc[MP_NAME_MAX + 1];
  uint32_t dc_hash;
  uint32_t start;     /* start number: grows with every restart */
  uint32_t net, mask; /* network of the instances; mask 0: messages
                      ** count only from members */
  const mp_Codec *codec;
  GRand *rand;
  TimerHeap timers;
  GQueue effects;             /* QueuedEffect, not taken yet */
  QueuedEffect *taken_effect; /* the last one taken: its texts must last until
                              ** the next mp_next_effect */
  GQueue loopback;            /* mp_Msg from this instance to itself */
  uint64_t count[MP_C_COUNT];
  /* open calls, by number; freed together with their timers */
  GHashTable *rpcs;
  GHashTable *endpoint_calls;
  GHashTable *store_calls;
  uint64_t last_call_number; /* last number of a call to an endpoint, call to
                             ** the platform, or claim */
  uint32_t last_rpc_seq;
  int is_store_down; /* the platform left its last call unanswered */
  /* tables shared by the controllers */
  mp_Config *config;     /* NULL: none is in force */
  KeyTable *keys;        /* hashes of the bearer keys of 'config' */
  mp_InstanceList *list; /* NULL: none is in force */
  Document doc[MP_DOC_COUNT];
  GPtrArray *members; /* Member, without this instance itself */
  GHashTable *member_by_addr;
  GPtrArray *endpoints; /* Endpoint */
  GHashTable *endpoint_by_addr;
  GPtrArray *requests;         /* Request */
  GHashTable *request_by_call; /* by the host's call number */
  GHashTable *request_by_seq;  /* by token.seq */
  GPtrArray *holds;            /* Hold */
  uint32_t last_request_seq;
  /* what single controllers keep for themselves */
  uint32_t incarnation; /* of this instance, as in Member */
  int draining;         /* this instance takes no more work as keeper or
                        ** home and exits when its requests have ended */
  mp_Time drain_started_at;
  /* when the live set of this data centre last changed, or this instance
  ** started, took its first list or was paused */
  mp_Time set_changed_at;
  GArray *previous_live_set; /* mp_Addr: the live set before those changes */
  unsigned
      set_change_count; /* changes that followed each other within
                        ** MP_HOME_SETTLE_TIME; 2 or more: unknown history */
  unsigned next_local_probe, next_remote_probe; /* index into 'members' */
  unsigned probe_periods;
  struct {
    uint32_t dc;
    mp_Time last_heard; /* last probe or reply from one of its members */
  } dc_contact[MP_DCS_MAX];
  unsigned dc_contact_count;
  GHashTable *probe_contexts; /* owned contexts of open probes */
  int has_announced_start;    /* the members of the first list were probed */
  Timer announce_timer, probe_timer, renew_timer, load_poll_timer,
      drain_check_timer;
  GHashTable *kept;            /* endpoints whose keeper this instance is:
                               ** address -> mp_Time since when */
  GHashTable *orphans;         /* text of token and attempt -> mp_Time when the
                               ** uncovered work was first seen */
  GHashTable *open_load_calls; /* address of endpoint -> LoadCall (keep.c) */
  double retry_tokens;         /* retries that may be made now (retry.c) */
  mp_Time retry_budget_updated_at;
  unsigned round_robin_next;
  Claims *claims;
  Shards *shards;
  Quotas *quotas;
  Docs *docs;
  Orders *orders;
  Cancels *cancels;
  Links *links;
};

/* adds one to the counter MP_C_<c> */
#define state_count(state, c) ((state)->count[MP_C_##c]++)

/*
** The hash of a name by which messages between instances refer to it; never
** 0, which stands for "none".
*/
uint32_t state_name_hash(const char *s);

/*
** A hash table with 64-bit keys. 'free_row' frees a value when it is removed
** or replaced; NULL: the table does not own its values. The caller frees
** the table by g_hash_table_destroy.
*/
GHashTable *state_table_new(GDestroyNotify free_row);
/* the value, or NULL */
void *state_table_get(GHashTable *t, uint64_t key);
void state_table_set(GHashTable *t, uint64_t key, void *row);
void state_table_remove(GHashTable *t, uint64_t key);

int state_token_equal(const mp_Token *a, const mp_Token *b);

#endif
