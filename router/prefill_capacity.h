/*
** prefill_capacity.h
** Decides whether a prefill engine can take another prompt now
**
** An engine works on its prompts in the order in which they came, so a prompt
** that waits there can no longer be overtaken by a more urgent one. Prompts
** therefore wait in the router, and an engine is given only as many as keep it
** busy. An engine also rejects prompts beyond its slots, and each rejection is
** an extra arrival that the retry budget has to cover.
**
** prefill.c calls this with the load of all instances at an engine, as does
** endpoint_table.c when it chooses one. The functions have no state and do not
** fail. They are made for the load of a burst: several times as many prompts
** as the engines can read, decided on by up to 300 instances.
**
** Invariant: an engine without load is always allowed, whatever the prompt and
** the objective are, so a wrong pace cannot keep the engines idle.
*/

#ifndef ROUTER_PREFILL_CAPACITY_H
#define ROUTER_PREFILL_CAPACITY_H

#include <glib.h>

/* What all instances have open at one engine. */
typedef struct PrefillLoad {
  guint slots;    /* dispatches that it takes at a time; 0: not known */
  guint open;     /* dispatches */
  guint64 tokens; /* prompt tokens of these */
} PrefillLoad;

/* What a prompt allows of the load of an engine. */
typedef struct PrefillLimit {
  guint64 tokens_ahead_max; /* prompt tokens that may be open there */
  gboolean may_be_rejected; /* the retry budget covers a rejection */
} PrefillLimit;

/* The limit of an engine without load. */
extern const PrefillLimit prefill_limit_idle;

/* Returns PrefillLimit.tokens_ahead_max for a prompt of this many tokens, if
** engines read 'pace' tokens in a ms and the most urgent requests of the
** service have this objective, us. */
guint64 prefill_capacity_ahead_max(guint64 prompt, double pace,
                                   gint64 objective);
/* Returns TRUE if an engine with this load can take a prompt with this
** limit. */
gboolean prefill_capacity_allows(const PrefillLoad *load,
                                 const PrefillLimit *limit);
/* Returns how many prompts of this many tokens an engine with this load can
** take with this limit, one after the other. */
guint prefill_capacity_count(const PrefillLoad *load,
                             const PrefillLimit *limit, guint64 prompt);

#endif
