/*
** err.c
** The names, HTTP statuses and texts of errors (MP_ERRORS), and the words
** for mp_Ran
*/

#include "madderpier.h"

static const struct {
  const char *name;
  int status;
  int retry;
  const char *text;
} error_kinds[MP_ERR_COUNT] = {
#define X(sym, name, status, retry, text) {name, status, retry, text},
    MP_ERRORS(X)
#undef X
};

GQuark mp_error_domain(void) {
  return g_quark_from_static_string("madderpier");
}

const char *mp_error_name(mp_Error e) {
  g_assert(e < MP_ERR_COUNT);
  return error_kinds[e].name;
}

const char *mp_error_text(mp_Error e) {
  g_assert(e < MP_ERR_COUNT);
  return error_kinds[e].text;
}

int mp_error_status(mp_Error e) {
  g_assert(e < MP_ERR_COUNT);
  return error_kinds[e].status;
}

int mp_error_retry_after_s(mp_Error e) {
  g_assert(e < MP_ERR_COUNT);
  return error_kinds[e].retry;
}

const char *mp_ran_name(mp_Ran r) {
  switch (r) {
  case MP_RAN_NO:
    return "no";
  case MP_RAN_YES:
    return "yes";
  default:
    return "unknown";
  }
}
