/*
** content.h
** A digest of the content of a request
**
** Two requests of one client account with the same digest count as the same
** work, whatever ids they have: method, host, target and body are equal. The
** other header fields are left out, because a caller that sends a request
** again may change them (its remaining time, the last event it received).
** io/ computes the digest for each caller's request; the router uses it to
** find requests under which endpoints crash.
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
