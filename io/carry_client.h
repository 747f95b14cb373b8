/*
** carry_client.h
** The asking side of a carried connection
**
** A carried connection leads to an endpoint through another instance, the
** carrier (io/carry_server.h). This side connects to the carrier, calls it for
** a connection to the endpoint (MP_MSG_CARRY), and waits for its verdict. Then
** both sides exchange bytes in one record each (io/record_stream.h).
**
** Invariant: no byte of a request is written before the verdict
** CARRY_CONNECTED, so a connection that fails earlier has run nothing.
*/

#ifndef CARRY_CLIENT_H
#define CARRY_CLIENT_H

#include <event2/bufferevent.h>

#include "io/record_stream.h"
#include "router/router.h"

typedef enum CarryState {
  CARRY_WAITING, /* no verdict yet */
  CARRY_REFUSED, /* the verdict is in CarryClient.verdict */
  CARRY_OPEN,    /* bytes are exchanged */
  CARRY_ENDED,   /* the endpoint has closed its connection */
  CARRY_FAILED   /* what the carrier sent is invalid */
} CarryState;

typedef struct CarryClient {
  CarryState state;
  CarryVerdict verdict;
  RecordReader reader;
  struct evbuffer *input; /* bytes of the endpoint, not yet read */
} CarryClient;

CarryClient *carry_client_new(void);
/* 'client' may be NULL. */
void carry_client_free(CarryClient *client);

/* Calls the carrier for a connection to the endpoint with this Endpoint.hash;
** it may take 'timeout' us to make it. */
void carry_client_call(struct bufferevent *events, guint32 endpoint,
                       gint64 timeout);
/* Reads what has arrived, and updates the state. */
void carry_client_read(CarryClient *client, struct bufferevent *events);
/* Sends the bytes of a request to the endpoint, and empties 'message'. The
** carrier logs 'id', the request's, if it is not NULL. */
void carry_client_write(struct bufferevent *events, const char *id,
                        struct evbuffer *message);
/* Returns TRUE if the carrier found that the endpoint accepts no connection.
 */
gboolean carry_client_endpoint_refused(const CarryClient *client);
/* Returns TRUE if the carrier takes no further request on the connection. */
gboolean carry_client_is_leaving(const CarryClient *client);

#endif
