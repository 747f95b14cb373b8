/*
** text_patch.c
** The difference of two texts, as bytes, by zstd
*/

#include <string.h>

#include <zstd.h>

#include "router/text_patch.h"

/* of zstd: the fastest one that finds what was moved */
#define LEVEL 1
/* largest text that a patch may make, bytes */
#define TEXT_MOST (16 << 20)
/* log2 of the window that holds two such texts */
#define WINDOW_LOG_MOST 25
#define WINDOW_LOG_LEAST 10

/* the window must hold both texts, or nothing of the older one is found */
static int window_log(gsize size) {
  int log = WINDOW_LOG_LEAST;
  while (log < WINDOW_LOG_MOST && ((gsize)1 << log) < size)
    log++;
  return log;
}

GBytes *text_patch_new(const char *from, const char *to) {
  gsize from_size = strlen(from);
  gsize to_size = strlen(to);
  gsize room = ZSTD_compressBound(to_size);
  guint8 *patch = g_malloc(room);
  ZSTD_CCtx *context = ZSTD_createCCtx();
  gsize size;
  ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog,
                         window_log(from_size + to_size));
  ZSTD_CCtx_refPrefix(context, from, from_size);
  size = ZSTD_compress2(context, patch, room, to, to_size);
  ZSTD_freeCCtx(context);
  g_assert(!ZSTD_isError(size)); /* 'room' is enough for any text */
  return g_bytes_new_take(g_realloc(patch, size), size);
}

char *text_patch_apply(const char *from, const void *patch, gsize size) {
  unsigned long long made = ZSTD_getFrameContentSize(patch, size);
  ZSTD_DCtx *context;
  char *to;
  gsize got;
  if (made > TEXT_MOST) /* errors are larger than any size */
    return NULL;
  to = g_malloc(made + 1);
  context = ZSTD_createDCtx();
  ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_LOG_MOST);
  ZSTD_DCtx_refPrefix(context, from, strlen(from));
  got = ZSTD_decompressDCtx(context, to, made, patch, size);
  ZSTD_freeDCtx(context);
  if (ZSTD_isError(got) || got != made || memchr(to, '\0', got) != NULL) {
    g_free(to);
    return NULL;
  }
  to[got] = '\0';
  return to;
}

gboolean text_patch_is_patch(const void *bytes, gsize size) {
  guint32 magic;
  if (size < sizeof magic)
    return FALSE;
  memcpy(&magic, bytes, sizeof magic);
  return GUINT32_FROM_LE(magic) == ZSTD_MAGICNUMBER;
}
