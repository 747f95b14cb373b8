/*
** store_raw.c
** Objects of the stand-in store whose JSON text is given as it is
*/

#include <string.h>

#include "standin/store_raw.h"

/* A text of an object begins with this in a body, as jansson writes it. */
#define MARK "\x01"
#define DUMPED_MARK "\"\\u0001"

json_t *store_raw_object(const char *text, int64_t revision) {
  char *number = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)revision);
  gchar **parts = g_strsplit(text, "@REV@", -1);
  char *joined = g_strjoinv(number, parts);
  char *marked = g_strconcat(MARK, joined, NULL);
  json_t *json = json_string(marked);
  g_free(marked);
  g_free(joined);
  g_strfreev(parts);
  g_free(number);
  return json;
}

/* Returns the end of the JSON string at 'text', behind its last quote. */
static const char *string_end(const char *text) {
  for (text++; *text != '"'; text++)
    text += *text == '\\';
  return text + 1;
}

void store_raw_reply(struct evhttp_request *request, int status,
                     json_t *body) {
  char *dumped = json_dumps(body, JSON_COMPACT);
  struct evbuffer *out = evbuffer_new();
  const char *rest = dumped;
  const char *at;
  while ((at = strstr(rest, DUMPED_MARK)) != NULL) {
    const char *end = string_end(at);
    json_t *text = json_loadb(at, (size_t)(end - at), JSON_DECODE_ANY, NULL);
    evbuffer_add(out, rest, (size_t)(at - rest));
    evbuffer_add_printf(out, "%s", json_string_value(text) + strlen(MARK));
    json_decref(text);
    rest = end;
  }
  evbuffer_add_printf(out, "%s\n", rest);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    "application/json");
  evhttp_send_reply(request, status, NULL, out);
  evbuffer_free(out);
  free(dumped);
  json_decref(body);
}
