/*
** endpoint_links.h
** Connections to endpoints, kept between dispatches
**
** Invariants. One dispatch at a time uses a connection. A connection is
** kept only after a whole answer that bears the id of its own request,
** with nothing left to write and nothing more to read; any byte or end
** while it rests closes it. A dispatch whose connection never stood has
** certainly not run; from the first byte written on it has perhaps run.
*/

#ifndef ENDPOINT_LINKS_H
#define ENDPOINT_LINKS_H

#include <event2/event.h>

#include "dialect/dialect.h"

typedef struct EndpointLinks EndpointLinks;

/* the payload of an outcome: what goes on to the caller */
typedef struct EndpointResponse {
  const HttpHead *head; /* ANSWER and STREAM_HEAD */
  const char *bytes;    /* ANSWER: the whole body; STREAM_PIECE: events */
  gsize size;
} EndpointResponse;

typedef struct EndpointLinksHooks {
  void *data;
  /* never called from within a function below */
  void (*outcome)(void *data, const Outcome *outcome);
  /* the head of an answer that can be believed tells this about that life of
  ** the endpoint; no dispatch may be sent or cancelled from here */
  void (*signals)(void *data, const char *endpoint, guint32 life,
                  const EndpointSignals *signals);
  /* so many connections to the endpoint are there, and so many rest; may be
  ** called at any time, also from within a function below */
  void (*counted)(void *data, const char *endpoint, guint connections,
                  guint resting);
  /* is a connection to it that is free kept? */
  gboolean (*keeps)(void *data, const char *endpoint);
} EndpointLinksHooks;

EndpointLinks *endpoint_links_new(struct event_base *base,
                                  const Dialect *dialect,
                                  const EndpointLinksHooks *hooks);
void endpoint_links_free(EndpointLinks *links);

/* send a dispatch; 'caller' and 'body' are NULL where no caller asked */
void endpoint_links_send(EndpointLinks *links, const Dispatch *dispatch,
                         const HttpHead *caller, const GByteArray *body);
/* forget a dispatch and close its connection; no outcome comes any more */
void endpoint_links_cancel(EndpointLinks *links, guint64 dispatch);

/* close resting connections that are not to be kept any more */
void endpoint_links_trim(EndpointLinks *links);

unsigned endpoint_links_idle_count(const EndpointLinks *links);
guint64 endpoint_links_opened_count(const EndpointLinks *links);

#endif
