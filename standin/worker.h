/*
** worker.h
** Stand-in workers: how they take requests and orders, end, and come back
*/

#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include "standin/serve.h"

#define MS 1000 /* microseconds */

typedef struct Worker {
  char *id, *service, *zone, *stage, *addr;
  char mode[16];
  char rate[16]; /* that its answers name, as text; empty: none */
  char rest[16]; /* it turns all away and asks for so many seconds, as text;
                 ** empty: it takes requests */
  int leaving;   /* its answers say so */
  mp_Addr listen;
  struct evhttp *http; /* NULL: the process has ended */
  struct event *lapse, *comeback;
  json_int_t born; /* Unix time of its start, milliseconds */
  int draining, gone;
  json_int_t fence;    /* highest that an order bore */
  json_int_t sequence; /* orders taken */
  char *next_stage;    /* NULL: no order is being carried out */
  struct event *switching;
} Worker;

/* before the first worker is opened */
void workers_init(struct event_base *base);
/* a worker that listens, and stands in the list; 'json' as in FLEET.json */
Worker *worker_start(const json_t *json);
/* its entry in the list, as it is now */
void worker_write_entry(const Worker *worker);
/* as POST /worker of fleet.c; 0: no such mode */
int worker_set_mode(Worker *worker, const char *mode);
/* what the workers took: an array of rows, which it owns */
json_t *workers_ledger(void);

#endif
