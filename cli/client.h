/*
** client.h
** The HTTP client of the operators' command: calls to the platform's object
** store and to instances
**
** Calls block until the reply is there, or for at most 5 s each. All functions
** must be called from one thread, after client_init. Errors are of the domain
** MP_ERROR with the code MP_ERR_STORE.
*/

#ifndef CLIENT_H
#define CLIENT_H

#include "madderpier.h"

typedef struct ClientReply {
  int status;       /* HTTP status */
  uint64_t version; /* X-Resource-Version, or 0 */
  GString *text;    /* the body */
} ClientReply;

/* how a conditional write ended */
typedef enum PutResult {
  PUT_DONE,
  PUT_CONFLICT,   /* the object had another version; nothing was written */
  PUT_UNKNOWN,    /* the reply was lost; it may have been written */
  PUT_UNAVAILABLE /* certainly not written: no connection, or status 503 or
                  ** 429 */
} PutResult;

/* sets the platform's address, which is 0 for commands that don't use it */
void client_init(mp_Addr platform);

/*
** Reads an object, in up to 5 attempts. Returns its text, which the caller
** frees, and sets '*version' (unless NULL). Returns NULL with '*absent' 1 and
** no error when there is no such object, and NULL with '*absent' 0 and an
** error when the platform does not answer. 'err' may be NULL.
*/
GString *client_get(const char *key, uint64_t *version, int *absent,
                    GError **err);

/*
** Writes an object, in one attempt, if it has this version; with version 0, if
** there is none.
*/
PutResult client_put(const char *key, uint64_t version, const char *s,
                     size_t n);

/* the keys with this prefix, as the platform lists them (sorted); the caller
** frees the array. NULL and an error when the platform does not answer. */
GPtrArray *client_keys(const char *prefix, GError **err);

/*
** Calls an instance at its operators' address: POST if 'post', else GET.
** Returns the text of the reply, which the caller frees; NULL and an error
** when there is no reply or its status is 300 or more.
*/
GString *client_ops(mp_Addr at, int post, const char *path, GError **err);

#endif
