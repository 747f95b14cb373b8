/*
** content.c
** A digest of the content of a request
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "http/content.h"

/* Hashes a text with its terminating NUL, so that two different lists of
** texts never hash the same bytes. NULL counts as an empty text. */
static void add_text(XXH3_state_t *state, const char *text) {
  if (text != NULL)
    XXH3_64bits_update(state, text, strlen(text));
  XXH3_64bits_update(state, "", 1);
}

guint64 request_content_digest(const HttpHead *head, const GByteArray *body) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  add_text(&state, head->method);
  add_text(&state, http_head_get(head, "Host"));
  add_text(&state, head->target);
  if (body != NULL)
    XXH3_64bits_update(&state, body->data, body->len);
  return XXH3_64bits_digest(&state);
}
