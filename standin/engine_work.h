/*
** engine_work.h
** Stand-in engines: their work and memory, their ledger, their answers
*/

#ifndef STANDIN_ENGINE_WORK_H
#define STANDIN_ENGINE_WORK_H

#include <event2/bufferevent.h>

#include "conf/conf.h"
#include "standin/model.h"
#include "standin/serve.h"

typedef struct Engine Engine;

typedef enum WorkKind {
  WORK_PREFILL,
  WORK_KV,
  WORK_IMPORT,
  WORK_DECODE,
  WORK_PLAIN
} WorkKind;

/* one piece of work or memory; freed when it ends */
typedef struct Work {
  Engine *e;
  WorkKind kind;
  char id[64];
  struct evhttp_request *req; /* who waits for the answer, or NULL */
  struct event *timer;
  uint32_t tokens; /* prompt tokens */
  uint32_t left;   /* prefill: tokens to compute */
  uint32_t cached;
  int priority;
  uint64_t hash;  /* of the prompt: decides the text */
  uint32_t made;  /* decode: tokens made */
  uint32_t total; /* decode: tokens to make */
  uint32_t sent;  /* decode: tokens sent to the reader */
  char *kv;       /* import: name of the KV, and where it is */
  mp_Addr from;
} Work;

struct Engine {
  mp_Instance in;
  mp_Role role;
  GPtrArray *work; /* Work */
  Work *running;   /* the prefill whose chunk is computed */
  struct event *chunk;
  GHashTable *cache; /* hash of block chain -> time used */
  GHashTable *dead;  /* ids that were cancelled */
  GPtrArray *ledger; /* char*, one line of JSON each */
  uint64_t fence;
  int leaving;
  json_t *loadnow; /* as it will be reported after the lag */
  /* faults */
  int frozen;
  int losereply;     /* next replies that are lost */
  int losecancel;    /* next cancels that are not heard */
  int breakafter;    /* the next stream breaks after so many tokens; 0: no */
  int refuse;        /* next works that are refused */
  int slow;          /* percent of the normal time */
  mp_Time deaduntil; /* killed: every connection is cut until then */
  GPtrArray *held;   /* requests that came while frozen */
};

/* what all engines of this process share */
typedef struct EngineSite {
  struct event_base *base;
  GHashTable *engines; /* address -> Engine */
  ModelRates rates;
} EngineSite;

extern EngineSite engine_site;

/* steady clock, microseconds */
mp_Time engine_now(void);

/* the fields of the ledger's lines */
void engine_add_to_ledger(Engine *e, const char *id, const char *op,
                          const char *outcome, uint32_t tokens,
                          uint32_t cached);
void engine_send_ledger(Engine *e, struct evhttp_request *r);

/* work begins; 'r': who waits for its answer, or NULL */
Work *engine_add_work(Engine *e, WorkKind k, const char *id,
                      struct evhttp_request *r);
/* the reader has its whole answer, or another one takes over */
struct evhttp_request *engine_detach_reader(Work *w);
/* break the reader's connection; evhttp frees it when it sees the end */
void engine_break_reader(Work *w);
/* as evhttp calls it */
void engine_on_reader_closed(struct evhttp_connection *c, void *arg);
void engine_free_work(Work *w);
/* what a GPtrArray of work frees its elements with */
void engine_destroy_work(void *p);
const char *engine_op_name(WorkKind kind);
Work *engine_find_work(Engine *e, const char *id, WorkKind k);
/* call 'fn' after so many microseconds, as slow as the engine is */
void engine_set_timer(Work *w, event_callback_fn fn, mp_Time wait);
/* work of either kind */
unsigned engine_count_work(const Engine *e, WorkKind a, WorkKind b);

void engine_refuse(struct evhttp_request *r, int status, const char *why);
/* reply to a piece of work, unless its reader is gone or it is lost */
void engine_reply(Work *w, json_t *j);
/* may work with this id begin? Refuses it when not */
int engine_admit(Engine *e, struct evhttp_request *r, const char *id,
                 mp_Role role);

/* engine_prefill.c: prompts, and the transfer of what was read */
void engine_prefill(Engine *e, struct evhttp_request *r, json_t *j,
                    const char *id);
void engine_import(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id);
/* compute the next chunk, if there is one and nothing hinders it */
void engine_start_next_chunk(Engine *e);
void engine_on_chunk_done(evutil_socket_t fd, short what, void *arg);

/* engine_decode.c: streams, and answers of plain services */
void engine_decode(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id);
void engine_resume(Engine *e, struct evhttp_request *r, const char *id);
void engine_plain(Engine *e, struct evhttp_request *r);
/* time between two tokens, by how full it is */
mp_Time engine_token_interval(const Engine *e);

#endif
