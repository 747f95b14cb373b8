/*
** front_places.h
** Bounds the number of callers' connections
**
** Internal to the server for callers. Each open request needs a descriptor for
** its caller and one for its endpoint, and the store and other instances need
** some. So callers get at most half of what is left beside those. At the bound
** a connection that is least missed is closed for a new one: one that rests,
** then one whose response was sent, then one whose request has stalled.
*/

#ifndef FRONT_PLACES_H
#define FRONT_PLACES_H

#include "io/front_connection.h"

/* Returns TRUE if a new connection may be kept. May close one for it. */
gboolean front_make_place(Front *front);

#endif
