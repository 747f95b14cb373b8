/*
** trace.h
** One request's story, from the logs of any number of instances
*/

#ifndef TRACE_H
#define TRACE_H

#include <stdio.h>

/*
** Print every log line about a request, over all files ("-" or none:
** standard input), in the order of their times, with the milliseconds
** since the first; then what became of the endpoints it met. Returns how
** many lines named the request, or -1 when a file cannot be read.
*/
int trace_print(const char *request, char *const *files, int count, FILE *out);

#endif
