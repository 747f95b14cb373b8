/*
** diff.h
** Prints the differences between two configurations, section by section
**
** Both functions print to standard output and return the number of sections
** that differ.
*/

#ifndef DIFF_H
#define DIFF_H

#include "cli/apply.h"

/* prints the lines that change from 'a' to 'b', with + or - before them */
int diff_print(const Draft *a, const Draft *b);

/* prints as JSON which sections are new, changed or removed */
int diff_json(const Draft *a, const Draft *b);

#endif
