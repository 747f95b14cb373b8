/*
** log.h
** The logger: one line for each event, "time level number text key=value ..."
**
** Writing to a pipe or socket never blocks. What a full pipe does not accept
** is buffered up to a limit (MAX_PENDING in log.c); lines beyond it are
** dropped and counted as lost. The volume is bounded as well: of the lines
** with the same event number and a level below "warn", at most
** LINES_PER_SECOND (100, log.c) are written in each second of the wall clock.
** The others are dropped and counted as left out, and a later line reports
** their number. Lines of the levels "warn" and "fault" have no such limit.
*/

#ifndef LOG_H
#define LOG_H

#include "madderpier.h"

typedef struct Log Log;

/*
** Opens a log that appends to the file 'path', or writes to standard output
** when 'path' is NULL. Lines below the level 'least' are discarded. Returns
** NULL and sets 'err' when the file cannot be opened.
*/
Log *log_new(const char *path, mp_Level least, GError **err);
/* Writes what is buffered, as far as that is possible without blocking. */
void log_free(Log *l);

/*
** Reopens the file by its path, for use after log rotation (SIGHUP). The old
** file stays in use when that fails.
*/
void log_reopen(Log *l);

/* Writes one line for the event number 'no'. 'fields' begins with a space or
** is empty. */
void log_event(Log *l, int no, mp_Level level, const char *text,
               const char *fields);

/*
** Writes one line with the level and text that the list of events (mplog.h)
** gives for 'number', and with fields formatted as by printf. Fields are
** truncated to MAX_FIELDS - 1 bytes.
*/
void log_numbered(Log *l, mp_EventNo number, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* The number of lines left out by LINES_PER_SECOND, since log_new(). */
guint64 log_left_out(const Log *l);
/* The number of lines dropped because of a full pipe, since log_new(). */
guint64 log_lost(const Log *l);

/*
** Stores the level named 's' ("debug", "info", "warn" or "fault") in '*out'
** and returns 1; returns 0 for any other name.
*/
int log_level(const char *s, mp_Level *out);

#endif
