/*
** acquittals.h
** Remembers parts of prompts on which endpoints wrote answers and lived on
**
** A part that crashes endpoints crashes each one that writes an answer on it,
** so one run that went on speaks for every part of its prompt. The quarantine
** (quarantine.h) asks here before it holds a part.
**
** Times are microseconds of the steady clock. A part is a 64-bit key
** (Request.parts).
*/

#ifndef ROUTER_ACQUITTALS_H
#define ROUTER_ACQUITTALS_H

#include <glib.h>

/* An acquittal counts for this long: a new version of the endpoints' software
** may crash on what an earlier one could read. */
#define ACQUITTAL_LIFETIME (120 * G_TIME_SPAN_SECOND)

typedef struct Acquittals Acquittals;

Acquittals *acquittals_new(void);
void acquittals_free(Acquittals *acquittals);

/* A run with this part went on until 'at'. */
void acquittals_note(Acquittals *acquittals, guint64 part, gint64 at);
/* Returns until when the latest such run that is remembered went on;
** G_MININT64: none is. */
gint64 acquittals_latest(const Acquittals *acquittals, guint64 part);
/* Forgets those that no longer count. */
void acquittals_expire(Acquittals *acquittals, gint64 now);

#endif
