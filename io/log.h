/*
** log.h
** The logger: one line an event, "time level number text key=value ..."
**
** Writing never waits: what a full pipe does not take is kept up to a
** limit and then counted as lost. The volume is bounded: of the lines of
** one event number below the level "warn", so many a second are written
** and the others counted and summed up in one line. Lines of failures are
** never left out for their number.
*/

#ifndef LOG_H
#define LOG_H

#include "madderpier.h"

typedef struct Log Log;

/* 'path' NULL: standard output. 'least' drops lines below that level */
Log *log_new(const char *path, mp_Level least, GError **err);
void log_free(Log *l);

/* open the file anew, after it was moved away (SIGHUP) */
void log_reopen(Log *l);

/* 'fields' begins with a space or is empty */
void log_event(Log *l, int no, mp_Level level, const char *text,
               const char *fields);

/* an event with the catalogue's level and text; fields as by printf */
void log_numbered(Log *l, mp_EventNo number, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* lines left out for their number, and lines lost to a full pipe */
guint64 log_left_out(const Log *l);
guint64 log_lost(const Log *l);

/* "debug", "info", "warn", "fault"; 0 when it is none of them */
int log_level(const char *s, mp_Level *out);

#endif
