/*
** endpoint_call.h
** One dispatch that was sent to an endpoint, and the result that follows from
** its response
**
** Used by endpoint_links.c, which fills in the response as it arrives.
*/

#ifndef ENDPOINT_CALL_H
#define ENDPOINT_CALL_H

#include <event2/buffer.h>

#include "dialect/dialect.h"
#include "http/events.h"
#include "io/endpoint_links.h"

/* An EndpointCall owns what its pointers refer to. */
typedef struct EndpointCall {
  guint64 dispatch; /* Dispatch.number */
  guint64 request;  /* Dispatch.request */
  DispatchKind kind;
  guint32 life;             /* incarnation of the endpoint: Dispatch.life */
  gboolean may_stream;      /* responses of the route may be event streams */
  gboolean on_kept;         /* its connection was open before it */
  char *request_id;         /* the caller's; NULL: none */
  struct evbuffer *message; /* the request, until it is written; then NULL */
  HttpHead *head;           /* of the response; NULL until it is received */
  EndpointHead head_info;   /* 'head' as the dialect reads it */
  gboolean is_foreign;      /* the response belongs to another request */
  gboolean is_stream;       /* the response is forwarded event by event */
  gboolean is_head_sent;    /* the head of a stream was forwarded */
  gboolean has_event;       /* an event of a stream was forwarded */
  gboolean is_oversized;    /* more has arrived than is buffered */
  guint skipped_count;      /* informational and other requests' responses */
  gsize skipped_bytes;      /* of the bodies of other requests' responses */
  EventSplitter events;     /* splits a stream into whole events */
  GByteArray *body;   /* the body, or the part of a stream not split yet */
  gint64 deadline_at; /* of the caller; 0: none */
} EndpointCall;

EndpointCall *endpoint_call_new(const Dispatch *dispatch);
/* Has the deadline of the caller passed? */
gboolean endpoint_call_is_late(const EndpointCall *call, gint64 now);
/* 'call' may be NULL. */
void endpoint_call_free(EndpointCall *call);

/* Takes the head of a response over, and reads what it says. */
void endpoint_call_set_head(EndpointCall *call, const Dialect *dialect,
                            HttpHead *head);
/*
** Returns the bytes of the dispatch's request, which the caller frees: its
** head, and its body, which is the dialect's or the caller's. 'caller' and
** 'body' are NULL for a dispatch that has no caller. The bytes of 'body' are
** not copied: the buffer holds a reference to it, and they must not change.
*/
struct evbuffer *endpoint_call_message(const Dialect *dialect,
                                       const Dispatch *dispatch,
                                       const HttpHead *caller,
                                       GByteArray *body);

/*
** Is it a control call, one that the router makes for itself rather than for a
** caller: a release, a report or an order (DispatchKind)?
*/
gboolean endpoint_call_is_control(const EndpointCall *call);
/*
** Returns how the head of the call's response delimits its body, as logs have
** it: "length", "chunked", "close" (neither), or "none" while no head has been
** received other than those of interim and other requests' responses.
*/
const char *endpoint_call_framing(const EndpointCall *call);

/*
** Returns the outcome of a dispatch whose response is complete and not a
** stream. OUTCOME_BROKEN means that the response cannot be used, and that it
** is not known whether the request has run.
*/
OutcomeKind endpoint_call_classify(const EndpointCall *call);
/* The outcome of a dispatch whose response is complete, with what it refers
** to. It is valid as long as the call. */
typedef struct EndpointResult {
  Outcome outcome;
  EndpointResponse answer;
  PrefillResponse prefill;
  EngineReport report;
} EndpointResult;

/* Fills in the result; it is cleared with endpoint_result_clear. */
void endpoint_call_result(EndpointCall *call, const Dialect *dialect,
                          EndpointResult *out);
void endpoint_result_clear(EndpointResult *result);

/*
** Is it a run or a prefill that the endpoint has carried out, as its status
** (200 to 299) says? The head of the response must have been received.
*/
gboolean endpoint_call_has_served(const EndpointCall *call);

#endif
