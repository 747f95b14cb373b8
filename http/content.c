/*
** content.c
** A digest of what a request asks for
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "http/content.h"

/* a text with its end, so that no two lists of texts read alike */
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
