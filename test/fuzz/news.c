/*
** news.c
** Fuzz target: what instances ask and tell each other of the store's objects
*/

#include "io/news_codec.h"
#include "router/text_patch.h"
#include "test/fuzz/fixed_hash.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  StoreCall call = {0};
  StoreReply reply;
  NewsQuery query;
  char *patched;
  char *text = g_strndup((const char *)data, size);
  news_read_query(text, &query);
  if (news_codec.read_reply(&call, 200, (const char *)data, size, &reply,
                            NULL)) {
    g_bytes_unref(news_write_reply(&reply));
    store_reply_clear(&reply);
  }
  patched = text_patch_apply("a short text, and another one", data, size);
  g_free(patched);
  g_free(text);
  return 0;
}
