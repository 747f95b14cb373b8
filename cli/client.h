/*
** client.h
** The operators' command as a client: the platform, and instances
** Calls wait for their reply. Errors are of the domain MP_ERROR.
*/

#ifndef CLIENT_H
#define CLIENT_H

#include "madderpier.h"

typedef struct Reply {
  int status;
  uint64_t version;
  GString *text;
} Reply;

typedef enum PutResult {
  PUT_DONE,
  PUT_CONFLICT,
  PUT_UNKNOWN,
  PUT_UNAVAILABLE
} PutResult;

void client_init(mp_Addr platform);

/* the object's text, or NULL: '*absent' says whether it is not there */
GString *client_get(const char *key, uint64_t *version, int *absent,
                    GError **err);

/* conditional write; the reply may be lost after the effect */
PutResult client_put(const char *key, uint64_t version, const char *s,
                     size_t n);

/* keys with a prefix, sorted; NULL and an error */
GPtrArray *client_keys(const char *prefix, GError **err);

/* a call to an instance's operators' address; the text, or NULL */
GString *client_ops(mp_Addr at, int post, const char *path, GError **err);

#endif
