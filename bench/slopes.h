/*
** slopes.h
** Types and functions that the parts of the slopes benchmark share
**
** slopes runs many real cores in one process and in virtual time. The
** platform, the engines and the network between the cores are stand-ins that
** answer after fixed delays. slopes_run.c has the event queue, the stand-ins
** and the loop that feeds the cores; slopes_world.c makes the instance list
** and the configuration; slopes.c measures and prints.
** All times are virtual, in us, unless a comment says otherwise.
*/

#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include "madderpier.h"

/* One-way delay between two cores; a call to a stand-in takes it twice. */
#define LINK_DELAY (1 * MP_MS)

/* What is delivered to a core when a scheduled event is due. */
typedef enum ScheduledKind {
  SCHEDULED_TICK,     /* nothing but the time */
  SCHEDULED_MSG,      /* a message of another core */
  SCHEDULED_ENDPOINT, /* the answer of an engine */
  SCHEDULED_STORE,    /* the answer of the platform's store */
  SCHEDULED_REQUEST   /* a request of a caller; schedules the next one too */
} ScheduledKind;

/* An event in the queue, which owns it with its 'msg' and 'text'. */
typedef struct ScheduledEvent {
  mp_Time due_at;
  uint64_t sequence; /* of scheduling; orders events of the same time */
  ScheduledKind kind;
  unsigned node; /* index of the receiver */
  mp_Addr from;  /* sender of a message, or engine of a load answer */
  mp_Msg *msg;   /* NULL unless the event is a message */
  mp_EndpointEvent endpoint_event;
  char *text; /* of an engine's answer, or value of an object; or NULL */
  mp_StoreEvent store_event;
  uint32_t tokens;    /* of the engine's answer that are still to come */
  int is_load_answer; /* the engine 'from' answers a load call */
} ScheduledEvent;

/* A core and what it has spent since the counters were last reset. */
typedef struct Node {
  mp_State *core;
  mp_Time tick_at;       /* time of the scheduled tick; 0: none */
  uint64_t bytes;        /* sent and received, with UDP and IP headers */
  uint64_t messages;     /* sent */
  uint64_t store_calls;  /* all calls of the store */
  uint64_t store_writes; /* those of them that write */
  double cpu_seconds;    /* processor time in mp_feed and mp_next_effect */
  uint64_t config;       /* unused */
} Node;

/* The state of one run. */
typedef struct Simulation {
  unsigned nodes, data_centres, workers; /* how many there are */
  double rate;                           /* requests per second, in total */
  uint32_t answer_tokens;                /* length of each answer */
  mp_Time now;
  uint64_t last_sequence; /* last number given to an event */
  uint64_t last_call;     /* last number given to a request */
  GPtrArray *queue; /* ScheduledEvent; a binary heap, the next one first */
  Node *node;       /* 'nodes' elements */
  GHashTable *aborted_calls; /* set of keys: node << 48 ^ endpoint call */
  char *instance_list;       /* text of the object "instances" */
  char *manifest;            /* text of the manifest of the configuration */
  char *section[2];          /* accounts, and the section that changes */
  char digest[2][MP_SHA256_HEX + 1]; /* of the sections */
  uint64_t manifest_version;
  GPtrArray *watches; /* ScheduledEvent, answered by the next change */
  uint64_t answered;  /* requests that got a whole answer */
  uint64_t refused;   /* requests that got an error */
  uint64_t sent_messages_by_kind[MP_MSG_LAST];
  uint64_t sent_bytes_by_kind[MP_MSG_LAST];
  uint64_t errors_by_kind[MP_ERR_COUNT];
} Simulation;

/* Puts the event into the queue, which owns it from then on. */
void slopes_schedule(Simulation *R, ScheduledEvent *d);
/* Returns the address at which node i receives messages. */
mp_Addr slopes_node_address(unsigned i);
/* Returns the address of the engine of worker i. */
mp_Addr slopes_worker_address(unsigned i);
/* Returns whether worker i is a prefill engine; the others decode. */
int slopes_is_prefill_worker(const Simulation *R, unsigned i);
/* Takes the effects of node i's core, performs them and sets its tick. */
void slopes_perform_effects(Simulation *R, unsigned i);
/*
** Removes and returns the next event; the caller frees it, 'msg' and 'text'.
** The queue must not be empty.
*/
ScheduledEvent *slopes_take_event(Simulation *R);
/* Returns a new event for a node; it is not in the queue yet. */
ScheduledEvent *slopes_new_event(Simulation *R, mp_Time t, ScheduledKind w,
                                 unsigned node);
/* Delivers all events up to and including 'until', which becomes 'now'. */
void slopes_run_until(Simulation *R, mp_Time until);
/* Returns the instance list as JSON, which the caller frees. */
char *slopes_make_instance_list(const Simulation *R);
/* Stores a version of the configuration; watches are not answered yet. */
void slopes_publish_config(Simulation *R, uint64_t version);
/* Answers the watches of the manifest with its present version. */
void slopes_answer_watches(Simulation *R);
/* Creates the core of each node, with its first effects performed. */
void slopes_start_cores(Simulation *R);

#endif
