/*
** rate_limits.h
** The rates that overloaded endpoints name, which all instances enforce
** together
**
** An endpoint may name a rate in its answers: the number of requests a second
** that it takes from all instances together, valid as long as its answers say
** so. For each such endpoint an instance keeps one token bucket. The rate
** fills it, and it is charged for what this instance sends there and for what
** the other instances report that they have sent (router/shared_totals.h). So
** the whole rate is used by whichever instances have requests, even if that is
** a single one, and no request waits for a call to another instance.
**
** What the others send becomes known late. While n of them may each send one
** request before this instance hears of it, it uses what the bucket holds with
** a probability of the level over 1 + n. Between two messages all instances
** together then send about as many requests as the level allows, however many
** instances there are. Sending too much makes the level negative, and the
** bucket has to fill up before anything more is sent.
**
** Invariants:
** 1. What an instance may send is scaled by the share of instances that it
**    can reach. If a partition cuts the instances in two, the halves together
**    send one rate.
** 2. Over all instances and in any span: sent <= rate * span + the burst +
**    what is on its way at the moment when the span begins
**    (docs/design/endpoint-rates.md).
** 3. What an answer says counts from the time when it was received, at
**    whichever instance that was. The newest answer is right.
**
** A Router owns one RateLimits: the gate asks it before it opens an endpoint
** (gate.c), dispatcher.c and prefill.c count what is sent, and rates.c applies
** answers and messages. Endpoints are named by Endpoint.hash, the hash of
** their id and life. Rates are in requests a second, times in microseconds of
** this instance's steady clock.
*/

#ifndef ROUTER_RATE_LIMITS_H
#define ROUTER_RATE_LIMITS_H

#include "madderpier.h"
#include "router/shared_totals.h"

/* the rate of an endpoint that names none */
#define RATE_UNLIMITED (-1.0)

/* What a peer has sent is known here after about this time: its message leaves
** at once, may wait for the processor on a small machine, and may be lost. */
#define RATE_REPORT_DELAY (50 * MP_MS)
/* The same where relays pass on sums of rates: they send one in 30 ms, and the
** message takes two more hops. */
#define RATE_SUMMARY_DELAY (250 * MP_MS)

/* who sends to the endpoints of a service, as this instance sees it now */
typedef struct RateSharers {
  LimitSharers instances;
  double competing_requests; /* requests that others may send before this
                             ** instance hears of them: n above */
  gint64 delay;              /* until it hears of them: RATE_REPORT_DELAY or
                             ** RATE_SUMMARY_DELAY; more than 0 */
} RateSharers;

typedef struct RateLimits RateLimits;

/* 'seed' differs between instances, so that their random draws do. The caller
** frees the result with rate_limits_free. */
RateLimits *rate_limits_new(guint64 seed);
void rate_limits_free(RateLimits *limits);

/* Returns the rate that the endpoint names, or RATE_UNLIMITED. */
double rate_limits_rate(const RateLimits *limits, guint32 endpoint);
/* Returns the number of endpoints that name a rate. */
guint rate_limits_count(const RateLimits *limits);

/* An answer of the endpoint, received now, named this rate, or none
** (RATE_UNLIMITED). */
void rate_limits_set(RateLimits *limits, guint32 endpoint, double rate,
                     gint64 now);
/* Removes the limits of all endpoints for which 'is_listed' returns FALSE:
** their lives have ended. */
void rate_limits_keep_listed(RateLimits *limits,
                             gboolean (*is_listed)(void *data,
                                                   guint32 endpoint),
                             void *data);

/* Returns TRUE if this instance may send a request to the endpoint now. It
** draws at random, but the draw stays the same until this instance sends a
** request there, hears of one, or sharers->delay has passed. */
gboolean rate_limits_allow(RateLimits *limits, guint32 endpoint,
                           const RateSharers *sharers, gint64 now);
/* Counts a dispatch of any kind that goes to the endpoint, whether it was
** allowed or not. Returns FALSE if it was not counted, because the endpoint
** has named no rate in this life, as far as is known here. */
gboolean rate_limits_count_sent(RateLimits *limits, guint32 endpoint);
/* Takes back one that was counted by rate_limits_count_sent and is not sent
** after all. */
void rate_limits_refund(RateLimits *limits, guint32 endpoint);
/* Returns how often rate_limits_allow returned FALSE. */
guint64 rate_limits_skips(const RateLimits *limits);
/* Returns the time until the bucket holds enough that one more request is
** likely to be allowed; 0 if the endpoint names no rate. */
gint64 rate_limits_retry_delay(RateLimits *limits, guint32 endpoint,
                               const RateSharers *sharers, gint64 now);

/* Returns a number that grows whenever there is something new to report. */
guint64 rate_limits_version(const RateLimits *limits);
/* Writes what this instance knows of the rates and has sent itself. */
void rate_limits_write(const RateLimits *limits, mp_RateUpdate *out,
                       gint64 now);
/* Writes the same for other data centres, with what the instances whose
** messages come here have sent included. */
void rate_limits_write_summary(const RateLimits *limits, mp_RateUpdate *out,
                               gint64 now);
/* Applies a message from another instance, or from a relay that reports the
** sums of its data centre. */
void rate_limits_receive(RateLimits *limits, mp_Addr peer,
                         const mp_RateUpdate *news, const RateSharers *sharers,
                         gint64 now);

#endif
