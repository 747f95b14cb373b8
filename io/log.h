/*
** log.h
** The logger: one line an event, "time level number text key=value ..."
*/

#ifndef LOG_H
#define LOG_H

#include "madderpier.h"

typedef struct Log Log;

/* 'path' NULL: standard error. 'least' drops lines below that level */
Log *log_new(const char *path, mp_Level least, GError **err);
void log_free(Log *l);

/* open the file anew, after it was moved away (SIGHUP) */
void log_reopen(Log *l);

/* 'fields' begins with a space or is empty */
void log_event(Log *l, int no, mp_Level level, const char *text,
               const char *fields);

/* "debug", "info", "warn", "fault"; 0 when it is none of them */
int log_level(const char *s, mp_Level *out);

#endif
