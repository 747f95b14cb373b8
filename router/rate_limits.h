/*
** rate_limits.h
** Rates that endpoints in need name: requests a second that one takes from
** all instances together, for as long as its answers say so
*/

#ifndef ROUTER_RATE_LIMITS_H
#define ROUTER_RATE_LIMITS_H

#include "madderpier.h"

/* the rate of an endpoint that names none */
#define RATE_ANY (-1.0)

typedef struct RateLimits RateLimits;

RateLimits *rate_limits_new(void);
void rate_limits_free(RateLimits *limits);

/* requests a second that this endpoint (Endpoint.hash) takes, or RATE_ANY */
double rate_limits_of(const RateLimits *limits, guint32 endpoint);
/* endpoints that name a rate */
guint rate_limits_count(const RateLimits *limits);

/* an answer of the endpoint named this rate, or none (RATE_ANY) */
void rate_limits_named(RateLimits *limits, guint32 endpoint, double rate);

#endif
