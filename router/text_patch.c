/*
** text_patch.c
** Binary patches between two versions of a text, made with zstd
*/

#include <string.h>

#include <zstd.h>

#include "router/text_patch.h"

/* zstd's fastest level that still finds parts of the text that were moved. */
#define COMPRESSION_LEVEL 1
/* Size in bytes of the largest text that a patch may produce, inclusive. */
#define PATCHED_TEXT_MAX (16 << 20)
/*
** Base-2 logarithm of the window's size: the largest one holds two texts of
** PATCHED_TEXT_MAX bytes.
*/
#define WINDOW_LOG_MAX 25
#define WINDOW_LOG_MIN 10

/*
** Returns the logarithm for two texts of 'size' bytes together. The window
** must hold both, or the encoder finds no matches in the older text.
*/
static int window_log_for(gsize size) {
  int log = WINDOW_LOG_MIN;
  while (log < WINDOW_LOG_MAX && ((gsize)1 << log) < size)
    log++;
  return log;
}

GBytes *text_patch_new(const char *from, const char *to) {
  gsize from_size = strlen(from);
  gsize to_size = strlen(to);
  gsize capacity = ZSTD_compressBound(to_size);
  guint8 *patch = g_malloc(capacity);
  ZSTD_CCtx *context = ZSTD_createCCtx();
  gsize size;
  ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog,
                         window_log_for(from_size + to_size));
  ZSTD_CCtx_refPrefix(context, from, from_size);
  size = ZSTD_compress2(context, patch, capacity, to, to_size);
  ZSTD_freeCCtx(context);
  /* 'capacity' suffices for any text of this size */
  g_assert(!ZSTD_isError(size));
  return g_bytes_new_take(g_realloc(patch, size), size);
}

char *text_patch_apply(const char *from, const void *patch, gsize size) {
  unsigned long long declared_size = ZSTD_getFrameContentSize(patch, size);
  ZSTD_DCtx *context;
  char *to;
  gsize written;
  /* zstd's error codes are larger than any size */
  if (declared_size > PATCHED_TEXT_MAX)
    return NULL;
  to = g_malloc(declared_size + 1);
  context = ZSTD_createDCtx();
  ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_LOG_MAX);
  ZSTD_DCtx_refPrefix(context, from, strlen(from));
  written = ZSTD_decompressDCtx(context, to, declared_size, patch, size);
  ZSTD_freeDCtx(context);
  if (ZSTD_isError(written) || written != declared_size ||
      memchr(to, '\0', written) != NULL) {
    g_free(to);
    return NULL;
  }
  to[written] = '\0';
  return to;
}

gboolean text_patch_is_patch(const void *bytes, gsize size) {
  guint32 magic;
  if (size < sizeof magic)
    return FALSE;
  memcpy(&magic, bytes, sizeof magic);
  return GUINT32_FROM_LE(magic) == ZSTD_MAGICNUMBER;
}
