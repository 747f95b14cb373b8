/*
** load.h
** The load tool: arrivals, callers, verdicts
*/

#ifndef LOAD_H
#define LOAD_H

#include <event2/event.h>

#include "madderpier.h"

/* one class of a mix; see bench/mixes */
typedef struct MixClass {
  char *class_name;
  char *key;              /* bearer key of the account */
  char *model;            /* NULL: a plain call */
  char *path;             /* plain calls */
  uint32_t weight;        /* share of arrivals */
  uint32_t prompt_tokens; /* mean; lengths vary from half to twice */
  uint32_t shared_tokens; /* of them, the beginning that all share */
  uint32_t max_tokens;
  uint32_t first_ms, token_ms; /* targets */
  uint32_t keyed;              /* percent with an ID */
  uint32_t again;              /* percent of those sent twice at once */
  uint32_t hangup;             /* percent that hang up half way */
} MixClass;

typedef struct Mix {
  MixClass *classes;
  unsigned classes_count;
  uint32_t burst_every_s; /* 0: Poisson; else bursts */
  uint32_t burst_factor;  /* times the mean rate, a tenth of the time */
} Mix;

/* ends the program with a message when the file can't be read */
Mix *mix_read(const char *path);

/* what became of one request */
typedef struct Result {
  unsigned class_no;
  int ended;               /* whole answer */
  int wrong;               /* an answer that is not the whole of its own */
  int hung;                /* hung up by the tool */
  int silent;              /* ended without a word */
  char kind[40];           /* error kind, "" when none */
  int ran;                 /* mp_Ran of the error */
  double first_ms, gap_ms; /* first token; mean between tokens */
  uint32_t tokens;
  char id[64];  /* as the router named it */
  char key[48]; /* ID the tool gave, "" when none */
} Result;

/* one request under way (bench/caller.c); 'done' gets it when it ends */
typedef void (*CallerDone)(void *ud, Result *r);
void caller_start(struct event_base *base, mp_Addr to, const MixClass *c,
                  unsigned class_no, uint64_t seed, const char *key,
                  int hangup, CallerDone done, void *ud);

#endif
