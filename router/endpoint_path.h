/*
** endpoint_path.h
** How this instance reaches an endpoint: directly, or through a carrier
**
** A carrier is another instance that opens a connection to the endpoint for
** this one and passes the bytes of both sides on. The path is a fact about the
** network between two processes, apart from the health of the endpoint: an
** endpoint that this instance cannot connect to may serve all others.
**
** router/reach.c changes the state; the gate (router/gate.h) reads it.
**
**   state        dispatches go           changes when
**   DIRECT       over own connections    a direct connection is not made
**   SEARCHING    nowhere                 a carrier connects, or all asked fail
**   INDIRECT     through carriers        a direct connection is made; or a
**                                        carrier finds the endpoint not
**                                        accepting
**   NONE         nowhere                 a direct connection is made, or a
**                                        carrier connects
**
** Times are microseconds of the router's steady clock.
*/

#ifndef ROUTER_ENDPOINT_PATH_H
#define ROUTER_ENDPOINT_PATH_H

#include <glib.h>

#include "madderpier.h"

typedef enum PathState {
  PATH_DIRECT,
  PATH_SEARCHING,
  PATH_INDIRECT,
  PATH_NONE
} PathState;

/* The most carriers that one search asks. */
#define CARRIERS_ASKED_MAX 6

/* All members zero: nothing is known, and dispatches go directly. */
typedef struct EndpointPath {
  PathState state;
  gint64 since;        /* when the state began */
  gint64 heard_at;     /* when a direct dispatch was last answered; 0: never */
  gint64 connected_at; /* when a direct connection was last made */
  gint64 regained_at;  /* when a lost direct path last came back; 0: never */
  gint64 checked_at;   /* when the last direct check began */
  gint64 check_due;    /* when the next direct check is to be sent; 0: none */
  gint64 recheck_wait; /* time between direct checks; doubles with each that
                       ** fails */
  guint64 check;       /* the open CHECK dispatch that finds out how the
                       ** endpoint is reached; 0: none */
  mp_Addr asked[CARRIERS_ASKED_MAX]; /* carriers asked in this search */
  guint asked_count;
  guint refusals;     /* of these, those that the endpoint did not accept */
  guint refusals_max; /* the search ends after so many */
  guint64 ticket; /* of reach_verify: the crash watch waits for the result of
                  ** the check or search; 0: it does not */
} EndpointPath;

#endif
