/*
** dialect.c
** What every dialect's records share
*/

#include <string.h>

#include "dialect/dialect.h"

void caller_head_clear(CallerHead *head) {
  g_free(head->host);
  g_free(head->path);
  memset(head, 0, sizeof *head);
}
