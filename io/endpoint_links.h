/*
** endpoint_links.h
** Connections to endpoints, which are kept for reuse between dispatches
**
** A dispatch is one request to an endpoint, on behalf of a caller's request or
** for the router itself (router/router.h). The gateway hands the router's
** dispatches to this module, and receives their outcomes.
**
** Invariants: a connection is used by one dispatch at a time. It is kept only
** after a whole response that is not another request's, with nothing left to
** write and nothing more to read. Any byte or the end of the connection while
** it is idle closes it. A dispatch whose connection was never established has
** certainly not run; from the first byte written on, it may have run.
*/

#ifndef ENDPOINT_LINKS_H
#define ENDPOINT_LINKS_H

#include <event2/event.h>

#include "dialect/dialect.h"

typedef struct EndpointLinks EndpointLinks;

/*
** What Outcome.payload refers to: the part of a response that is forwarded to
** the caller. It is valid during the callback 'outcome'.
*/
typedef struct EndpointResponse {
  const HttpHead *head; /* for OUTCOME_ANSWER and OUTCOME_STREAM_HEAD */
  const char *bytes;    /* OUTCOME_ANSWER: the whole body;
                        ** OUTCOME_STREAM_PIECE: whole events */
  gsize size;           /* of 'bytes' */
} EndpointResponse;

typedef struct EndpointLinksHooks {
  void *data;
  /* A dispatch has ended, or a part of a streamed response has arrived. This
  ** is never called from within a function below, and not at all for the end
  ** of a DISPATCH_RELEASE. */
  void (*outcome)(void *data, const Outcome *outcome);
  /* The head of a response contains 'signals' about the state of the endpoint.
  ** 'life' names the endpoint's incarnation (one run of its process) to which
  ** the dispatch was sent. There is no call for a response that names another
  ** request, or comes from another endpoint. The callback must not send or
  ** cancel a dispatch. */
  void (*signals)(void *data, const char *endpoint, guint32 life,
                  const EndpointSignals *signals);
  /* As LinkPoolHooks.counted. It may also be called from within a function
  ** below. */
  void (*counted)(void *data, const char *endpoint, guint connections,
                  guint idle);
  /* Is a connection to the endpoint to be kept when it is not in use? */
  gboolean (*keeps)(void *data, const char *endpoint);
  /* A connection to an endpoint or a carrier was made, or given up, after
  ** 'took' us. NULL: nobody wants to know. */
  void (*connected)(void *data, gint64 took);
} EndpointLinksHooks;

/* 'base' and 'dialect' are borrowed; 'hooks' is copied. */
EndpointLinks *endpoint_links_new(struct event_base *base,
                                  const Dialect *dialect,
                                  const EndpointLinksHooks *hooks);
/* Closes all connections, without outcomes. */
void endpoint_links_free(EndpointLinks *links);

/*
** Sends a dispatch. 'caller' and 'body' are the head and body of the caller's
** request, NULL for a dispatch that has no caller. The head is not needed
*after
** the call; the body is referenced until it is sent, and its bytes must not
** change. The outcome is reported later.
*/
void endpoint_links_send(EndpointLinks *links, const Dispatch *dispatch,
                         const HttpHead *caller, GByteArray *body);
/*
** Aborts a dispatch and closes its connection, without an outcome. It has no
** effect on a dispatch that has ended, whose connection may be idle.
*/
void endpoint_links_cancel(EndpointLinks *links, guint64 dispatch);

/*
** Pauses reading the response to a request's RUN dispatch, or resumes it. The
** endpoint is held back when the buffers of the kernel are full. The end of
** the connection is reported after the resumption, or at once if it has been
** seen already; no byte that came before it is lost. It has no effect if the
** request has no RUN dispatch.
*/
void endpoint_links_pause(EndpointLinks *links, guint64 request,
                          gboolean pauses);

/*
** Sets the time (us) after which a dispatch fails as broken if its endpoint
** takes no byte of the request and has sent no head of a response; 0, the
** default: no limit. Applies to connections that are opened from then on.
*/
void endpoint_links_limit_writing(EndpointLinks *links, gint64 timeout);

/*
** Closes idle connections, those that have been idle longest first, as long as
** 'keeps' returns FALSE for their endpoint.
*/
void endpoint_links_trim(EndpointLinks *links);

/* The number of RELEASE dispatches that have neither been answered nor failed,
** which takes at most their time for a connection and 1 s. */
guint endpoint_links_open_releases(const EndpointLinks *links);
/* The number of idle connections. */
unsigned endpoint_links_idle_count(const EndpointLinks *links);
/* The number of connections begun since the start, failed ones included. */
guint64 endpoint_links_opened_count(const EndpointLinks *links);

#endif
