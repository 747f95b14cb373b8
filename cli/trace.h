/*
** trace.h
** Prints all that happened to one request, from the logs of instances
*/

#ifndef TRACE_H
#define TRACE_H

#include <stdio.h>

/*
** Reads the log files ("-" or none: standard input) and prints to 'out' every
** line with request=ID, ordered by time, with the milliseconds since the
** first. Then it prints the lines that name an endpoint of the request but no
** request, from 10 s before to 5 s after it; of equal lines, from several
** instances, only the first. Returns the number of lines with that ID; 0 with
** nothing printed; -1 when a file cannot be read, which is reported on
** standard error.
*/
int trace_print(const char *request, char *const *files, int count, FILE *out);

#endif
