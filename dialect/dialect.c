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

GQuark record_error_quark(void) {
  return g_quark_from_static_string("madderpier-record");
}

const char *record_field_name(RecordField field) {
  static const char *const names[] = {
#define X(symbol, name) name,
      RECORD_FIELDS(X)
#undef X
  };
  return names[field];
}

RecordField record_error_field(const GError *error) {
  if (error == NULL)
    return RECORD_CONTENT;
  return error->domain == RECORD_ERROR ? (RecordField)error->code
                                       : RECORD_CONFIGURATION;
}
