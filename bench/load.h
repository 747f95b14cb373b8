/*
** load.h
** Types that the parts of the load tool share
**
** The load tool sends requests of several classes to entry instances at a
** given rate, verifies every answer and writes a report. load.c schedules
** the arrivals and reports, caller.c sends one request and verifies its
** answer, and mix.c reads the classes from a YAML file.
*/

#ifndef LOAD_H
#define LOAD_H

#include <event2/event.h>

#include "madderpier.h"

/*
** One class of requests, as bench/mixes/ describes it. A field that the file
** leaves out is 0 or NULL; 'class_name' and 'bearer_key' are required.
*/
typedef struct MixClass {
  char *class_name; /* request class, sent in X-Request-Class */
  char *bearer_key; /* bearer key of the client account */
  char *model;      /* NULL: a plain HTTP request to 'path' */
  char *path;       /* used by plain requests only */
  uint32_t weight;  /* share of the arrivals, relative to other classes */
  /* Mean length of a prompt, the shared beginning included. The rest of the
  ** prompt varies from half to one and a half times its own mean. */
  uint32_t prompt_tokens;
  uint32_t shared_tokens;         /* beginning that all prompts share */
  uint32_t max_tokens;            /* limit of the answer's length */
  uint32_t first_token_max_ms;    /* target, inclusive */
  uint32_t token_interval_max_ms; /* target, inclusive; 0: none */
  uint32_t keyed_percent;         /* requests with an idempotency key */
  uint32_t duplicate_percent;     /* of keyed requests: sent twice at once */
  /* Requests that the caller aborts once half of the answer has arrived.
  ** Plain requests have no tokens and are never aborted. */
  uint32_t hangup_percent;
} MixClass;

/* The classes of a run and the variation of the arrival rate. */
typedef struct Mix {
  MixClass *classes;
  unsigned classes_count;
  uint32_t burst_every_s; /* period of the bursts; 0: constant mean rate */
  /* In the first tenth of each period the rate is this many times the mean;
  ** in the rest of it the rate is lower, so that the mean holds. */
  uint32_t burst_factor;
} Mix;

/*
** Reads a mix from a YAML file; it lives as long as the program. When the
** file cannot be read or is invalid, prints a message and exits with 2.
*/
Mix *mix_read(const char *path);

/* The outcome of one request. */
typedef struct Result {
  unsigned class_index; /* in Mix.classes */
  int is_complete;      /* the whole answer arrived, without an error */
  /* The text of a token, or the number of tokens of a complete answer,
  ** differs from what standin/model.h computes for the prompt. */
  int is_wrong;
  int has_hung_up; /* aborted by the tool, as the mix demands */
  /* The request ended without a complete answer and without an error from
  ** the router, or timed out, or could not be sent. A request that was going
  ** to hang up and times out sets 'has_hung_up' instead. */
  int is_silent;
  char error_kind[40];      /* "" when there was no error */
  int ran;                  /* mp_Ran that the error reports */
  double first_token_ms;    /* from sending; 0: nothing arrived */
  double token_gap_ms;      /* mean time between tokens; 0 with fewer than 2 */
  uint32_t tokens;          /* that arrived */
  char request_id[64];      /* as the router reports it; "" when unknown */
  char idempotency_key[48]; /* sent by the tool; "" when none */
} Result;

/* Receives the result of a request; 'r' is valid during the call only. */
typedef void (*CallerDone)(void *ud, Result *r);

/*
** Sends one request of the class 'c' to the address 'to'. The prompt follows
** from 'seed'. 'key' is the idempotency key, or NULL; 'hangs_up' makes the
** caller abort half way through the answer. 'c' has to outlive the request.
** 'done' is called once, with 'ud'; when the call cannot be made, that
** happens before this function returns.
*/
void caller_start(struct event_base *base, mp_Addr to, const MixClass *c,
                  unsigned class_index, uint64_t seed, const char *key,
                  int hangs_up, CallerDone done, void *ud);

#endif
