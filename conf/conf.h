/*
** conf.h
** Texts of the configuration, the manifest and the instance list
** All functions are pure. Errors are of the domain MP_ERROR and name the
** section, line and key, and what to do.
*/

#ifndef CONF_H
#define CONF_H

#include "madderpier.h"

/* the decoders below, as the core wants them */
MP_API const mp_Codec *mp_codec(void);

/*
** Read a configuration from its sections: YAML texts that are joined and
** checked as a whole. NULL and an error when anything is wrong.
*/
MP_API mp_Config *mp_config_read(const mp_Manifest *m, GBytes *const *text,
                                 GError **err);
MP_API void mp_config_free(mp_Config *c);

/* references, ranges and sense of a configuration (conf/check.c) */
MP_API gboolean mp_config_check(const mp_Config *c, GError **err);

MP_API gboolean mp_manifest_read(const char *text, size_t n, mp_Manifest *out,
                                 GError **err);
/* the caller frees the text by g_free */
MP_API char *mp_manifest_write(const mp_Manifest *m);

MP_API mp_InstanceList *mp_list_read(const char *text, size_t n, GError **err);
MP_API void mp_list_free(mp_InstanceList *l);

MP_API const char *mp_role_name(mp_Role r);

#endif
