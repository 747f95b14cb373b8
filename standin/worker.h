/*
** worker.h
** Stand-in workers: how they answer requests and orders, crash and restart
**
** A worker imitates a server of the users' platform: it listens, has an entry
** of kind "servers" in the stand-in store, and answers at once or in pieces,
** as its mode says. All workers run in the process of fleet.c, in one thread,
** and record in one ledger what they take.
*/

#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include "standin/serve.h"

/* A millisecond in microseconds. */
#define MS 1000

/* A worker; it lives as long as the process of the stand-in. */
typedef struct Worker {
  char *id, *service, *zone; /* as its entry names them */
  char *software; /* version of its software, in its entry and in pieces */
  char *next_software;      /* the version from its next start on, or NULL */
  char *stage;              /* "prefill" or "decode"; "": a plain service */
  char *addr;               /* address in its entry; may be that of a proxy */
  char mode[16];            /* how it answers: see worker_set_mode */
  int slow_ms;              /* delay in mode "slow" */
  char advertised_rate[16]; /* rate limit that its answers carry; "": none */
  char rest_seconds[16];    /* Retry-After of its refusals; "": it accepts */
  int is_leaving;           /* its answers say that it is leaving */
  mp_Addr listen;
  struct evhttp *http;         /* NULL: it has crashed and not restarted yet */
  struct event *removal_timer; /* removes the entry after a crash */
  struct event *restart_timer; /* restarts the worker after a crash */
  json_int_t start_unix_ms;    /* of its last start */
  int is_draining, is_gone; /* its entry says draining; its entry is removed */
  json_int_t highest_fence; /* of all orders since the start */
  json_int_t orders_taken;  /* orders that were begun since the start */
  char *next_stage;         /* that an order is switching to, or NULL */
  struct event *switch_timer; /* ends the switch to 'next_stage' */
} Worker;

/* Prepares the module; called once, before the first worker is started. */
void workers_init(struct event_base *base);
/*
** Starts a worker, which listens and writes its entry. 'json' is its row in
** FLEET.json (see fleet.c).
*/
Worker *worker_start(const json_t *json);
/* Writes the entry of the worker into the store, in its present state. */
void worker_write_entry(const Worker *worker);
/*
** Sets the mode of a worker. Returns 0 when there is no such mode.
**   ok        answers
**   error     answers 500
**   shed      refuses requests without running them
**   cut       cuts the connection, that of a stream in the middle
**   mute      never answers; streams are answered all the same
**   slow      delays a plain answer, or each piece of a stream, by 400 ms
**   slow=MS   the same by MS milliseconds
**   draining  its entry says so
**   gone      its entry is removed, and it refuses requests
**   back      its entry is written again, neither draining nor gone
**   prefill, decode   its stage from now on
**   crash     ends all its work; it restarts later
**   software=V  the same, and it restarts at this version of its software
**   rate=R    its answers carry this rate limit, as "rate=3.5"; empty: none
**   rest=S    refuses all requests and asks for a rest of S seconds; empty:
**             takes them again
**   leaving   its answers say so, and its entry does not
*/
int worker_set_mode(Worker *worker, const char *mode);
/* Returns the rows of the ledger, an array that this module owns. */
json_t *workers_ledger(void);

#endif
