/*
** close_reason.c
** Why the connection of a caller was closed
*/

#include "io/close_reason.h"

static const char *const names[CLOSE_REASON_COUNT] = {
    "finished", "caller", "broken_off", "not_read",  "unread_max",
    "flow",     "memory", "sends_on",   "discarded", "process_end"};

const char *close_reason_name(CloseReason reason) {
  return names[reason];
}
