/*
** front_response.h
** Writes responses to the connection of a caller
**
** Internal to the server for callers. Nothing here ends a request or closes a
** connection.
*/

#ifndef FRONT_RESPONSE_H
#define FRONT_RESPONSE_H

#include "io/front_connection.h"

/* Writes a head to the output. */
void connection_write_head(Connection *connection, const HttpHead *head);
/* Writes a whole response; 'close' adds "Connection: close". A response that
** HTTP defines to have no body is written without it. */
void connection_write_response(Connection *connection, const HttpHead *from,
                               const char *body, gsize size, gboolean close);
/* Returns the head to send, which the caller owns: the end-to-end fields of
** 'from', and "Connection: close" if 'close'. */
HttpHead *connection_response_head(const HttpHead *from, gboolean close);
/* Is the connection closed after the response? */
gboolean connection_closes_after_response(const Connection *connection);
/*
** Is the connection closed after a chunked response? If its head did not
** announce that, the caller may have sent its next request, which is read.
*/
gboolean connection_closes_after_stream(const Connection *connection);

#endif
