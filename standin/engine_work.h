/*
** engine_work.h
** Stand-in engines: types and functions that their files share
**
** engine.c is the program; it hosts many engines in one process and routes
** their HTTP requests. engine_work.c keeps what an engine works on and holds
** in memory (Work), and its ledger; engine_prefill.c computes prompts and
** transfers KV caches; engine_decode.c generates streams and answers for
** plain services. All of it runs in one thread. Times are microseconds of the
** monotonic clock unless a name says otherwise.
*/

#ifndef STANDIN_ENGINE_WORK_H
#define STANDIN_ENGINE_WORK_H

#include <event2/bufferevent.h>

#include "conf/conf.h"
#include "standin/model.h"
#include "standin/serve.h"

typedef struct Engine Engine;

typedef enum WorkKind {
  WORK_PREFILL, /* a prompt that waits or is computed */
  WORK_KV,      /* a KV cache that a prefill left, until it expires */
  WORK_IMPORT,  /* a KV cache in transfer or received; takes a decode slot */
  WORK_DECODE,  /* a stream; takes a decode slot */
  WORK_PLAIN    /* a request at a plain service */
} WorkKind;

/* Work of an engine, or memory that it holds. The engine owns it. */
typedef struct Work {
  Engine *engine;
  WorkKind kind;
  char id[64];                    /* request id */
  struct evhttp_request *request; /* of the reader of the answer, or NULL */
  struct event *timer;            /* NULL until it is first set */
  uint32_t tokens;                /* prompt tokens */
  uint32_t tokens_left;           /* prefill: tokens to compute */
  uint32_t cached;                /* prefill: tokens found in the cache */
  int priority;                   /* prefill: the lowest number goes first */
  uint64_t prompt_hash;           /* determines the text of the answer */
  uint32_t generated;             /* decode: tokens generated */
  uint32_t total;                 /* decode: tokens to generate */
  uint32_t sent;                  /* decode: tokens sent to the reader */
  char *kv_id;                    /* import: name of the KV cache */
  mp_Addr kv_source;              /* import: engine that holds it */
} Work;

struct Engine {
  mp_Instance instance; /* as the instance list has it */
  mp_Role role;         /* at first as listed; orders change it */
  GPtrArray *work;      /* Work */
  Work *running;        /* the prefill whose chunk is computed, or NULL */
  struct event *chunk_timer;
  GHashTable *cache;     /* hash of a chain of blocks -> time of last use */
  GHashTable *cancelled; /* request ids; work with them is refused */
  GPtrArray *ledger;     /* char *, a line of JSON each */
  uint64_t fence;        /* highest one of an order that was carried out */
  int is_leaving;        /* refuses new work, and reports it */
  json_t *reported_load; /* refreshed at intervals, so it lags behind */
  /* Faults, set by POST /fault; see engine.c. */
  int is_frozen;
  int replies_to_lose;    /* how many of the next replies */
  int cancels_to_lose;    /* how many of the next cancels */
  int break_after_tokens; /* breaks the next stream there; 0: does not */
  int work_to_refuse;     /* how many of the next requests for work */
  int slow_percent;       /* of the normal durations; 0: normal */
  mp_Time dead_until;     /* every connection is cut until then */
  GPtrArray *held;        /* requests that arrived while frozen */
};

/* What all engines of this process share. */
typedef struct EngineSite {
  struct event_base *base;
  GHashTable *engines; /* address -> Engine */
  ModelRates rates;
} EngineSite;

extern EngineSite engine_site;

/* Returns the monotonic clock in microseconds. */
mp_Time engine_now(void);

/* Appends a line to the ledger; the parameters are its fields. */
void engine_add_to_ledger(Engine *e, const char *id, const char *op,
                          const char *outcome, uint32_t tokens,
                          uint32_t cached);
/* Replies with the lines of the ledger. */
void engine_send_ledger(Engine *e, struct evhttp_request *r);

/* Returns new work of the engine; 'r' is the reader's request, or NULL. */
Work *engine_add_work(Engine *e, WorkKind k, const char *id,
                      struct evhttp_request *r);
/* Separates the reader from the work and returns its request, or NULL. */
struct evhttp_request *engine_detach_reader(Work *w);
/* Breaks the reader's connection; evhttp frees it when it sees the end. */
void engine_break_reader(Work *w);
/* Close callback of evhttp; 'arg' is the Work, which goes on unread. */
void engine_on_reader_closed(struct evhttp_connection *c, void *arg);
/* Removes the work from its engine and frees it. */
void engine_free_work(Work *w);
/* Frees an element of Engine.work, as a GDestroyNotify. */
void engine_destroy_work(void *p);
/* Returns the name of the kind in the ledger. */
const char *engine_op_name(WorkKind kind);
/* Returns the work with this id and kind, or NULL. */
Work *engine_find_work(Engine *e, const char *id, WorkKind k);
/* Calls 'fn' with the work after 'wait' us, scaled by 'slow_percent'. A work's
** timer keeps the function that it was first set with. */
void engine_set_timer(Work *w, event_callback_fn fn, mp_Time wait);
/* Returns how much work of either kind there is. */
unsigned engine_count_work(const Engine *e, WorkKind a, WorkKind b);

/* Replies with an error that 'why' explains. */
void engine_refuse(struct evhttp_request *r, int status, const char *why);
/* Replies 200 with 'j', which it takes over, and detaches the reader. Drops
** the reply when the reader is gone, and breaks the connection when the reply
** is one to lose. */
void engine_reply(Work *w, json_t *j);
/* Returns whether the engine accepts work with this id in this role. When it
** does not, the request was refused. */
int engine_admit(Engine *e, struct evhttp_request *r, const char *id,
                 mp_Role role);

/* engine_prefill.c: prefills, and the transfer of their KV caches */

/* Handles a request for a prefill; 'j' is its body, as in all below. */
void engine_prefill(Engine *e, struct evhttp_request *r, json_t *j,
                    const char *id);
/* Handles a request to import a KV cache from another engine. */
void engine_import(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id);
/* Starts the next chunk of a prefill, unless one is running, the engine is
** frozen or no prefill waits. */
void engine_start_next_chunk(Engine *e);
/* Timer callback at the end of a chunk; 'arg' is the Engine. */
void engine_on_chunk_done(evutil_socket_t fd, short what, void *arg);

/* engine_decode.c: streams, and answers of plain services */

/* Handles a request to decode with the KV cache that was imported for it. */
void engine_decode(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id);
/* Handles a reader that takes over a stream, from a token of its choice. */
void engine_resume(Engine *e, struct evhttp_request *r, const char *id);
/* Handles a request at a plain service. */
void engine_plain(Engine *e, struct evhttp_request *r);
/* Returns the present time between two tokens of a stream, in us; it grows
** with the number of decode slots in use. */
mp_Time engine_token_interval(const Engine *e);

#endif
