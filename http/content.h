/*
** content.h
** A digest of what a request asks for
**
** Two requests of one client account with the same digest are taken for the
** same work, whatever ids they bear: same method, host, target and body. The
** other fields are left out, since a caller that comes back may change them
** (how long it waits, what it has received).
*/

#ifndef HTTP_CONTENT_H
#define HTTP_CONTENT_H

#include <glib.h>

#include "http/head.h"

/* 'body' may be NULL. Not secure against a caller who looks for two texts with
** one digest: it tells requests apart, it proves nothing */
guint64 request_content_digest(const HttpHead *head, const GByteArray *body);

#endif
