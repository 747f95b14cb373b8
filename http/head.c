/*
** head.c
** The head of one HTTP/1.1 message
*/

#include <string.h>

#include "http/head.h"

/* Texts of fields are kept in blocks of this size (bytes); a larger one has a
** block of its own, of the next power of two. */
#define TEXT_BLOCK_BYTES 512

HttpHead *http_head_new(void) {
  HttpHead *head = g_new0(HttpHead, 1);
  head->fields = g_array_new(FALSE, FALSE, sizeof(HttpField));
  head->texts = g_string_chunk_new(TEXT_BLOCK_BYTES);
  return head;
}

void http_head_free(HttpHead *head) {
  if (head == NULL)
    return;
  g_array_free(head->fields, TRUE);
  g_string_chunk_free(head->texts);
  g_free(head->method);
  g_free(head->target);
  g_free(head);
}

HttpHead *http_head_new_request(const char *method, const char *target) {
  HttpHead *head = http_head_new();
  head->method = g_strdup(method);
  head->target = g_strdup(target);
  return head;
}

HttpHead *http_head_new_response(int status) {
  HttpHead *head = http_head_new();
  head->status = status;
  return head;
}

/* Returns a copy of the text, which the head owns. */
static char *keep_text(HttpHead *head, const char *text) {
  gsize size = strlen(text) + 1;
  head->texts_size += size > TEXT_BLOCK_BYTES ? 2 * size : size;
  return g_string_chunk_insert(head->texts, text);
}

void http_head_add(HttpHead *head, const char *name, const char *value) {
  HttpField field = {keep_text(head, name), keep_text(head, value)};
  g_array_append_val(head->fields, field);
}

gsize http_head_size(const HttpHead *head) {
  gsize target = head->target != NULL ? strlen(head->target) : 0;
  /* the array grows to the next power of two */
  gsize fields = (gsize)2 * head->fields->len * sizeof(HttpField);
  return sizeof *head + TEXT_BLOCK_BYTES + target + fields + head->texts_size;
}

void http_head_add_number(HttpHead *head, const char *name, gint64 value) {
  char text[32];
  g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, value);
  http_head_add(head, name, text);
}

static const HttpField *field_at(const HttpHead *head, guint i) {
  return &g_array_index(head->fields, HttpField, i);
}

const char *http_head_get(const HttpHead *head, const char *name) {
  guint i;
  for (i = 0; i < head->fields->len; i++) {
    if (g_ascii_strcasecmp(field_at(head, i)->name, name) == 0)
      return field_at(head, i)->value;
  }
  return NULL;
}

unsigned http_head_count(const HttpHead *head, const char *name) {
  unsigned count = 0;
  guint i;
  for (i = 0; i < head->fields->len; i++)
    count += g_ascii_strcasecmp(field_at(head, i)->name, name) == 0;
  return count;
}

void http_head_remove(HttpHead *head, const char *name) {
  guint i = 0;
  while (i < head->fields->len) {
    if (g_ascii_strcasecmp(field_at(head, i)->name, name) == 0)
      g_array_remove_index(head->fields, i);
    else
      i++;
  }
}

/* Is 'token' an element of this comma-separated list? */
static gboolean list_has_token(const char *list, const char *token) {
  gchar **parts = g_strsplit(list, ",", -1);
  gboolean found = FALSE;
  guint i;
  for (i = 0; parts[i] != NULL && !found; i++)
    found = g_ascii_strcasecmp(g_strstrip(parts[i]), token) == 0;
  g_strfreev(parts);
  return found;
}

gboolean http_head_has_token(const HttpHead *head, const char *name,
                             const char *token) {
  guint i;
  for (i = 0; i < head->fields->len; i++) {
    const HttpField *field = field_at(head, i);
    if (g_ascii_strcasecmp(field->name, name) == 0 &&
        list_has_token(field->value, token))
      return TRUE;
  }
  return FALSE;
}

/* Does the field concern one connection alone, or the framing of the body?
** 'head' is the head that has the field, because its Connection field may name
** more of them. */
static gboolean is_hop_by_hop(const HttpHead *head, const char *name) {
  static const char *const names[] = {
      "Connection",          "Keep-Alive", "Proxy-Connection",
      "Proxy-Authenticate",  "TE",         "Trailer",
      "Proxy-Authorization", "Upgrade",    "Transfer-Encoding",
      "Content-Length"};
  gsize i;
  for (i = 0; i < G_N_ELEMENTS(names); i++) {
    if (g_ascii_strcasecmp(name, names[i]) == 0)
      return TRUE;
  }
  return http_head_has_token(head, "Connection", name);
}

void http_head_copy_end_to_end(HttpHead *to, const HttpHead *from) {
  guint i;
  for (i = 0; i < from->fields->len; i++) {
    const HttpField *field = field_at(from, i);
    if (!is_hop_by_hop(from, field->name))
      http_head_add(to, field->name, field->value);
  }
}

const char *http_reason_phrase(int status) {
  static const struct {
    int status;
    const char *reason;
  } all[] = {{200, "OK"},
             {202, "Accepted"},
             {204, "No Content"},
             {400, "Bad Request"},
             {401, "Unauthorized"},
             {403, "Forbidden"},
             {404, "Not Found"},
             {405, "Method Not Allowed"},
             {408, "Request Timeout"},
             {409, "Conflict"},
             {413, "Content Too Large"},
             {421, "Misdirected Request"},
             {429, "Too Many Requests"},
             {431, "Request Header Fields Too Large"},
             {500, "Internal Server Error"},
             {502, "Bad Gateway"},
             {503, "Service Unavailable"},
             {504, "Gateway Timeout"}};
  gsize i;
  for (i = 0; i < G_N_ELEMENTS(all); i++) {
    if (all[i].status == status)
      return all[i].reason;
  }
  return "Status";
}

void http_head_write(const HttpHead *head, GString *out) {
  guint i;
  if (head->method != NULL)
    g_string_append_printf(out, "%s %s HTTP/1.1\r\n", head->method,
                           head->target);
  else
    g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", head->status,
                           http_reason_phrase(head->status));
  for (i = 0; i < head->fields->len; i++) {
    const HttpField *field = field_at(head, i);
    g_string_append_printf(out, "%s: %s\r\n", field->name, field->value);
  }
  g_string_append(out, "\r\n");
}
