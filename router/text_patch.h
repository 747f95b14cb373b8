/*
** text_patch.h
** Binary patches between two versions of a text, made with zstd
**
** A patch holds a checksum of the text that it produces. Applied to another
** text than the one that it was made from, it fails instead of producing a
** wrong text.
*/

#ifndef ROUTER_TEXT_PATCH_H
#define ROUTER_TEXT_PATCH_H

#include <glib.h>

/*
** Returns the patch that turns 'from' into 'to', to be freed with
** g_bytes_unref. With "" as 'from' it is 'to' alone, compressed.
*/
GBytes *text_patch_new(const char *from, const char *to);
/*
** Returns the text that the patch produces from 'from', to be freed with
** g_free. NULL: the patch was made from another text or is corrupt.
*/
char *text_patch_apply(const char *from, const void *patch, gsize size);
/* Returns TRUE when these bytes begin as a patch does; no text begins so. */
gboolean text_patch_is_patch(const void *bytes, gsize size);

#endif
