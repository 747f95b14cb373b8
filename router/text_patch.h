/*
** text_patch.h
** The difference of two texts, as bytes, by zstd
**
** A patch holds a checksum of the text that it makes: applied to another
** text than it was made from, it makes none.
*/

#ifndef ROUTER_TEXT_PATCH_H
#define ROUTER_TEXT_PATCH_H

#include <glib.h>

/* the patch that makes 'to' of 'from'; "" as 'from' compresses 'to' alone.
** Free it with g_bytes_unref */
GBytes *text_patch_new(const char *from, const char *to);
/* the text that the patch makes of 'from', to be freed; NULL: it fits another
** one, or is spoilt */
char *text_patch_apply(const char *from, const void *patch, gsize size);
/* do these bytes begin like a patch? No text does */
gboolean text_patch_is_patch(const void *bytes, gsize size);

#endif
