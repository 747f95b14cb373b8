/*
** diff.h
** Differences between two configurations, section by section, line by line
*/

#ifndef DIFF_H
#define DIFF_H

#include "cli/apply.h"

/* print what changes from 'a' to 'b'; returns how many sections differ */
int diff_print(const Draft *a, const Draft *b);

/* the same as JSON: which sections are new, changed or removed */
int diff_json(const Draft *a, const Draft *b);

#endif
