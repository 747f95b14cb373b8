/*
** slopes.h
** A fleet of real cores in one process and virtual time
*/

#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include "madderpier.h"

#define LINK (1 * MP_MS)

/* something that will happen */
typedef enum What {
  SCHEDULED_TICK,
  SCHEDULED_MSG,
  SCHEDULED_ENDPOINT,
  SCHEDULED_STORE,
  SCHEDULED_REQUEST
} What;

typedef struct Due {
  mp_Time t;
  uint64_t n;
  What what;
  unsigned node;
  mp_Addr from;
  mp_Msg *msg;
  mp_EndpointEvent x;
  char *text;
  mp_StoreEvent store;
  uint32_t
      tokens; /* SCHEDULED_ENDPOINT: of the answer that are still to come */
  int load;   /* SCHEDULED_ENDPOINT: an answer to a load call; 'from' is the
                 engine */
} Due;

typedef struct Node {
  mp_State *M;
  mp_Time woken;
  uint64_t bytes, msgs, store, writes;
  double cpu; /* seconds */
  uint64_t config;
} Node;

typedef struct Run {
  unsigned nodes, centres, workers;
  double rate;
  uint32_t tokens;
  mp_Time now;
  uint64_t serial, call;
  GPtrArray *heap; /* Due, as a binary heap */
  Node *node;
  GHashTable *gone; /* xcalls that were aborted: node << 48 ^ xcall */
  char *list, *manifest;
  char *section[2]; /* accounts, and what changes */
  char digest[2][MP_SHA256_HEX + 1];
  uint64_t manifestversion;
  GPtrArray *watches; /* Due, answered by the next change */
  uint64_t answered, refused;
  uint64_t kindmsgs[MP_MSG_LAST], kindbytes[MP_MSG_LAST];
  uint64_t errors[MP_ERR_COUNT];
} Run;

/* into the queue */
void slopes_schedule(Run *R, Due *d);
/* where node i hears the others */
mp_Addr slopes_node_address(unsigned i);
/* where worker i is */
mp_Addr slopes_worker_address(unsigned i);
/* is worker i a prefill engine? */
int slopes_is_prefill_worker(const Run *R, unsigned i);
/* what node i's core asks for */
void slopes_perform_effects(Run *R, unsigned i);
/* the first one out of the queue */
Due *slopes_take_event(Run *R);
/* something due at a node; it is not in the queue yet */
Due *slopes_new_event(Run *R, mp_Time t, What w, unsigned node);
/* let time pass until then */
void slopes_run_until(Run *R, mp_Time until);
/* the instance list as a text; free it */
char *slopes_make_instance_list(const Run *R);
/* a version of the configuration is in the store */
void slopes_publish_config(Run *R, uint64_t version);
/* watches of the store are answered */
void slopes_answer_watches(Run *R);
/* all cores start */
void slopes_start_cores(Run *R);

#endif
