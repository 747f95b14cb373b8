/*
** conf.h
** Reads the configuration, its manifest and the instance list from their texts
**
** The configuration is YAML, the manifest and the instance list are JSON; the
** structs are in include/mpconfiguration.h. All functions are pure and may be
** called from any thread. On failure they return NULL or FALSE and set an
** error of the domain MP_ERROR, code MP_ERR_SETTINGS; its message names the
** section, line or key at fault and says what to do.
*/

#ifndef CONF_H
#define CONF_H

#include "madderpier.h"

/* the decoders below for mp_Options.codec; constant, nobody frees it */
MP_API const mp_Codec *mp_codec(void);

/*
** Reads a configuration from its sections: 'text' has the YAML of each section
** of '*m', in its order. They are joined, so each top-level key may stand in
** one section only, and checked as a whole. The caller frees the result by
** mp_config_free.
*/
MP_API mp_Config *mp_config_read(const mp_Manifest *m, GBytes *const *text,
                                 GError **err);
MP_API void mp_config_free(mp_Config *c);

/*
** Checks what the YAML schema cannot (conf/check.c): references between
** tables, duplicate names, ranges, and rules that could never be met.
** mp_config_read calls it.
*/
MP_API gboolean mp_config_check(const mp_Config *c, GError **err);

/* 'text' has 'n' bytes of JSON; '*out' is valid only if this returns TRUE */
MP_API gboolean mp_manifest_read(const char *text, size_t n, mp_Manifest *out,
                                 GError **err);
/* the manifest as JSON; the caller frees the text by g_free */
MP_API char *mp_manifest_write(const mp_Manifest *m);

/* the instance list; the caller frees it by mp_list_free */
MP_API mp_InstanceList *mp_list_read(const char *text, size_t n, GError **err);
MP_API void mp_list_free(mp_InstanceList *l);

/* "prefill", "decode" or "plain", constant; "unknown" for any other value */
MP_API const char *mp_role_name(mp_Role r);

#endif
