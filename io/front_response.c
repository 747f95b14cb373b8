/*
** front_response.c
** Writes responses to the connection of a caller
*/

#include <event2/buffer.h>

#include "io/front_response.h"

/* Bytes of a body that are written as one block. With libevent's header it
** takes 16 KB. */
#define BODY_BLOCK ((16 << 10) - 64)

void connection_write_head(Connection *connection, const HttpHead *head) {
  GString *text = g_string_new(NULL);
  http_head_write(head, text);
  bufferevent_write(connection->events, text->str, text->len);
  g_string_free(text, TRUE);
}

HttpHead *connection_response_head(const HttpHead *from, gboolean close) {
  HttpHead *head = http_head_new_response(from->status);
  http_head_copy_end_to_end(head, from);
  if (close)
    http_head_add(head, "Connection", "close");
  return head;
}

gboolean connection_closes_after_response(const Connection *connection) {
  return connection->front->is_draining || connection->lingers ||
         connection->has_ended || intake_is_full(connection->front->intake) ||
         !http_reader_keep_alive(connection->reader);
}

gboolean connection_closes_after_stream(const Connection *connection) {
  const Front *front = connection->front;
  if (connection->says_close)
    return TRUE;
  return (front->is_refusing || intake_is_full(front->intake)) &&
         !connection_has_input(connection);
}

/* Does HTTP define the response of this status and method to have no body? */
static gboolean has_no_body(const Connection *connection, int status) {
  return status == 204 || status == 304 || status < 200 ||
         (connection->head != NULL &&
          g_ascii_strcasecmp(connection->head->method, "HEAD") == 0);
}

/*
** Writes a body. With flow control, its memory is freed block by block as the
** caller reads it; libevent would put a body that is added at once into one
** block of up to twice its size, which is freed when all of it has been read.
*/
static void write_body(Connection *connection, const char *body, gsize size) {
  gsize block = connection->flow != NULL ? BODY_BLOCK : size;
  gsize at;
  for (at = 0; at < size; at += block)
    bufferevent_write(connection->events, body + at, MIN(block, size - at));
}

void connection_write_response(Connection *connection, const HttpHead *from,
                               const char *body, gsize size, gboolean close) {
  HttpHead *head = connection_response_head(from, close);
  gboolean bare = has_no_body(connection, from->status);
  if (!bare)
    http_head_add_number(head, "Content-Length", (gint64)size);
  connection_write_head(connection, head);
  if (!bare && size > 0)
    write_body(connection, body, size);
  http_head_free(head);
}
