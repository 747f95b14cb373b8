/*
** front_request.h
** Receives requests of callers, and refuses those that are not taken in
**
** Internal to the server for callers. A refusal ends the request and may close
** its connection.
*/

#ifndef FRONT_REQUEST_H
#define FRONT_REQUEST_H

#include "io/front_connection.h"

/* What the reader of a connection calls. */
extern const HttpReaderCallbacks front_reader_callbacks;

/*
** Parses what has been received of a request, and hands it to the user of the
** server when it is whole. Each call that leaves a request incomplete starts
** the timeout anew. Closes the connection if its caller has ended its side
** before a whole request.
*/
void connection_read_request(Connection *connection);
/*
** Lets the limits of the server bind, which have changed: all of them if no
** byte of a request has been read; otherwise those that are larger.
*/
void connection_adopt_limits(Connection *connection);
/* Has a request begun to arrive, which is not whole yet? */
gboolean connection_is_receiving(const Connection *connection);
/* Answers invalid input with an error, and closes the connection. */
void connection_reject(Connection *connection, int status, const char *detail);
/* Refuses a request that a planned stop does not receive any more. */
void connection_refuse_for_stop(Connection *connection);
/* Refuses a request that has not been handed on, as not run, and frees what
** it holds. */
void connection_refuse_busy(Connection *connection, gint64 retry_ms);

#endif
