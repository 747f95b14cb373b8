/*
** caller_errors.c
** Error responses of madderpier's own HTTP interface to callers
*/

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "io/caller_errors.h"

json_t *caller_error_body(mp_Error e, mp_Ran ran, int retry_s,
                          const char *detail, const char *id) {
  json_t *j = json_pack("{s:s, s:s, s:s}", "kind", mp_error_name(e), "message",
                        mp_error_text(e), "ran", mp_ran_name(ran));
  if (detail != NULL)
    json_object_set_new(j, "detail", json_string(detail));
  if (retry_s > 0)
    json_object_set_new(j, "retry_after_s", json_integer(retry_s));
  if (id != NULL && id[0] != '\0')
    json_object_set_new(j, "request", json_string(id));
  return json_pack("{s:o}", "error", j);
}

void caller_set_header(evhtp_request_t *r, const char *k, const char *v) {
  evhtp_headers_add_header(r->headers_out, evhtp_header_new(k, v, 1, 1));
}

void caller_send_json(evhtp_request_t *r, int status, json_t *j) {
  char *s = json_dumps(j, JSON_COMPACT);
  caller_set_header(r, "Content-Type", "application/json");
  evbuffer_add_printf(r->buffer_out, "%s\n", s);
  free(s);
  json_decref(j);
  evhtp_send_reply(r, (evhtp_res)status);
}

void caller_send_error(evhtp_request_t *r, mp_Error e, mp_Ran ran, int retry_s,
                       const char *detail, const char *id) {
  char s[16];
  if (retry_s > 0) {
    g_snprintf(s, sizeof s, "%d", retry_s);
    caller_set_header(r, "Retry-After", s);
  }
  caller_send_json(r, mp_error_status(e),
                   caller_error_body(e, ran, retry_s, detail, id));
}

void caller_send_before_close(evhtp_connection_t *c, mp_Error e,
                              const char *detail) {
  json_t *j =
      caller_error_body(e, MP_RAN_NO, mp_error_retry_after_s(e), detail, NULL);
  char *s = json_dumps(j, JSON_COMPACT);
  gchar *all = g_strdup_printf("HTTP/1.1 %d Error\r\n"
                               "Content-Type: application/json\r\n"
                               "Content-Length: %zu\r\n"
                               "Connection: close\r\n\r\n%s\n",
                               mp_error_status(e), strlen(s) + 1, s);
  (void)send(c->sock, all, strlen(all), MSG_DONTWAIT | MSG_NOSIGNAL);
  g_free(all);
  free(s);
  json_decref(j);
}
