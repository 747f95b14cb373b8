/*
** close_reason.h
** Why the connection of a caller was closed
**
** Logs and metrics name a reason when a response was lost with the connection
** (FrontHooks.cut).
*/

#ifndef CLOSE_REASON_H
#define CLOSE_REASON_H

typedef enum CloseReason {
  CLOSE_FINISHED,    /* everything was sent, or nothing was asked */
  CLOSE_CALLER,      /* the caller has ended or reset it */
  CLOSE_BROKEN_OFF,  /* its response was broken off: front_abort_response */
  CLOSE_NOT_READ,    /* the kernel could send nothing for the write timeout */
  CLOSE_UNREAD_MAX,  /* too many bytes of a stream were unread */
  CLOSE_FLOW,        /* flow control has aborted it (FlowReason) */
  CLOSE_MEMORY,      /* its caller sent on behind an open request while callers
                     ** held too much */
  CLOSE_SENDS_ON,    /* the caller sent on for too long after its response */
  CLOSE_DISCARDED,   /* it was half-closed, and a request on it was read and
                     ** discarded */
  CLOSE_PROCESS_END, /* the process ends */
  CLOSE_REASON_COUNT
} CloseReason;

/* Returns the static name of a reason, as logs and metrics have it. */
const char *close_reason_name(CloseReason reason);

#endif
