/*
** content.h
** A digest of the content of a request
**
** Requests with the same method, host, target and body have the same digest,
** whatever ids they have: they ask for the same work. The other header fields
** are left out, because a caller that sends a request again may change them
** (its remaining time, the last event it received). io/ computes the digest
** for each caller's request. The router combines it with the client account,
** which is not hashed here, to find requests under which endpoints crash
** (router/quarantine.h).
*/

#ifndef HTTP_CONTENT_H
#define HTTP_CONTENT_H

#include <glib.h>

#include "http/head.h"

/*
** Returns the XXH3 digest (64 bits) of a request; 'body' may be NULL. The
** digest is not cryptographic: a caller who looks for two requests with one
** digest can find them. It tells requests apart and authenticates nothing.
*/
guint64 request_content_digest(const HttpHead *head, const GByteArray *body);

#endif
