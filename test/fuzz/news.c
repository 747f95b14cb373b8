/*
** news.c
** Fuzz target: what instances ask and tell each other of the store's objects
*/

#include "io/news_codec.h"
#include "test/fuzz/fixed_hash.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  StoreCall call = {0};
  StoreReply reply;
  StoreKind kind;
  gint64 since;
  char *text = g_strndup((const char *)data, size);
  news_read_query(text, &kind, &since);
  if (news_codec.read_reply(&call, 200, (const char *)data, size, &reply,
                            NULL)) {
    char *written = news_write_reply(&reply);
    g_free(written);
    store_reply_clear(&reply);
  }
  g_free(text);
  return 0;
}
