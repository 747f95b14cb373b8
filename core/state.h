/*
** state.h
** The state of one decision core, and how controllers ask for effects
*/

#ifndef STATE_H
#define STATE_H

#include "board.h"
#include "key_table.h"

typedef struct Claims Claims;   /* claim.c */
typedef struct Shards Shards;   /* shard.c */
typedef struct Quotas Quotas;   /* quota.c */
typedef struct Docs Docs;       /* doc.c */
typedef struct Orders Orders;   /* order.c */
typedef struct Cancels Cancels; /* cancel.c */
typedef struct Links Links;     /* plan.c */

/* one effect waiting to be taken, with the texts that it owns */
typedef struct QueuedEffect {
  mp_Effect e;
  char *own[2];
} QueuedEffect;

/* tables of the blackboard that are searched by number keep their rows in
** a GPtrArray too, so that walks are in a fixed order */
struct mp_State {
  mp_Time now;
  mp_Addr self;
  char dc[MP_MAXNAME + 1];
  uint32_t dc_hash;
  uint32_t start;
  uint32_t net, mask;
  const mp_Codec *codec;
  GRand *rand;
  TimerHeap timers;
  GQueue fx;           /* Fx, to be taken */
  QueuedEffect *taken; /* the last one taken */
  GQueue loop;         /* Loop: messages to this instance itself */
  uint64_t count[MP_C_COUNT];
  /* calls that wait for an answer, by number */
  GHashTable *rpcs;
  GHashTable *xcalls;
  GHashTable *stores;
  uint64_t last_call_number;
  uint32_t last_rpc_seq;
  int is_store_down; /* the platform's last answer was none */
  /* the blackboard */
  mp_Config *config;
  KeyTable *keys; /* of 'config' */
  mp_List *list;
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
  /* what controllers keep for themselves */
  uint32_t incarnation;
  int draining;
  mp_Time drain_started_at;
  mp_Time settled;           /* when the set of instances here last changed */
  GArray *previous_live_set; /* mp_Addr: the set before that change */
  unsigned changes;          /* changes within MP_HOME_SETTLE */
  unsigned next_local_probe, next_remote_probe, periods;
  struct {
    uint32_t dc;
    mp_Time heard;
  } centre[MP_MAXDCS]; /* when each data centre was last heard from */
  unsigned dc_contact_count;
  GHashTable *probe_contexts; /* memory of probes under way */
  int has_announced_start;    /* all members of the first list were told */
  Timer announce_timer, probe_timer, renew_timer, load_poll_timer,
      drain_check_timer;
  GHashTable *kept;    /* endpoints kept here: address -> mp_Time since */
  GHashTable *orphans; /* text of token -> mp_Time first seen */
  GHashTable *open_load_calls; /* endpoints with a load call open */
  double retry_tokens;
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

#define state_count(state, c) ((state)->count[MP_C_##c]++)

/* hash of a name, as sent between instances */
uint32_t state_name_hash(const char *s);

/* GHashTable of 64-bit numbers */
GHashTable *state_table_new(GDestroyNotify freerow);
void *state_table_get(GHashTable *t, uint64_t key);
void state_table_set(GHashTable *t, uint64_t key, void *row);
void state_table_remove(GHashTable *t, uint64_t key);

int state_token_equal(const mp_Token *a, const mp_Token *b);

#endif
