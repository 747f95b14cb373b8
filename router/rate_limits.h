/*
** rate_limits.h
** Rates that overloaded endpoints name, kept by all instances together
**
** Such a rate is the requests a second that an endpoint takes from all
** instances together, for as long as its answers say so. Each instance keeps
** one bucket for each such endpoint: it fills by the rate, and is emptied by
** what this instance sends there and by what the others tell that they have
** sent (router/shared_totals.h). So whoever has requests uses the rate, also
** where one instance has most of them, and nobody has to be asked on the path
** of a request.
**
** What the others send is known late. While n of them may send one request
** before this one hears of it, it uses what the bucket holds by a chance of
** the level over 1 + n: about as many are sent between two messages as the
** level allows, over all instances, however many there are. What was sent too
** much is paid back first.
**
** Invariants. What an instance may send is scaled by the share of instances
** that it hears: cut in two, the halves have one rate together. Over all
** instances, in any span: sent <= rate * span + the burst + what is on its way
** in the moment when it begins (docs/design/endpoint-rates.md). What an answer
** says counts from when it was heard, at whatever instance; the newest answer
** is right.
*/

#ifndef ROUTER_RATE_LIMITS_H
#define ROUTER_RATE_LIMITS_H

#include "madderpier.h"
#include "router/shared_totals.h"

/* the rate of an endpoint that names none */
#define RATE_UNLIMITED (-1.0)

/* what a peer has sent is known after about this long: a message is sent at
** once, waits for its turn on a small machine, and some are lost */
#define RATE_REPORT_DELAY (50 * MP_MS)
/* the same where relays hand sums on: one in 30 ms, and two ways more */
#define RATE_SUMMARY_DELAY (250 * MP_MS)

/* who sends to these endpoints, as this instance sees it now */
typedef struct RateSharers {
  LimitSharers instances;
  double rivals; /* requests that others may send before this one knows */
  gint64 delay;  /* until it knows: RATE_REPORT_DELAY or .._SUMMED */
} RateSharers;

typedef struct RateLimits RateLimits;

/* 'seed' is another one at each instance */
RateLimits *rate_limits_new(guint64 seed);
void rate_limits_free(RateLimits *limits);

/* requests a second that this endpoint (Endpoint.hash) takes, or
 * RATE_UNLIMITED */
double rate_limits_rate(const RateLimits *limits, guint32 endpoint);
/* endpoints that name a rate */
guint rate_limits_count(const RateLimits *limits);

/* an answer of the endpoint named this rate, or none (RATE_UNLIMITED) */
void rate_limits_set(RateLimits *limits, guint32 endpoint, double rate,
                     gint64 now);
/* keep those alone that 'is_listed' knows; others have ended */
void rate_limits_keep_listed(RateLimits *limits,
                             gboolean (*is_listed)(void *data,
                                                   guint32 endpoint),
                             void *data);

/* may this instance send a request there now? The answer is the same until it
** sends one, hears of one, or 'delay' has passed */
gboolean rate_limits_allow(RateLimits *limits, guint32 endpoint,
                           const RateSharers *sharers, gint64 now);
/* a request goes there, whatever it is, and whether that was allowed or not;
** FALSE: it is not counted, since the endpoint named no rate lately */
gboolean rate_limits_count_sent(RateLimits *limits, guint32 endpoint);
/* one that was counted (rate_limits_count_sent) is not sent after all */
void rate_limits_refund(RateLimits *limits, guint32 endpoint);
/* how often that was not allowed */
guint64 rate_limits_skips(const RateLimits *limits);
/* until the bucket holds enough that one request more is likely to pass */
gint64 rate_limits_retry_delay(RateLimits *limits, guint32 endpoint,
                               const RateSharers *sharers, gint64 now);

/* grows when there is something new to tell */
guint64 rate_limits_version(const RateLimits *limits);
/* what this instance knows and has sent */
void rate_limits_write(const RateLimits *limits, mp_RateUpdate *out,
                       gint64 now);
/* the same and what those that it hears have sent, for other data centres */
void rate_limits_write_summary(const RateLimits *limits, mp_RateUpdate *out,
                               gint64 now);
/* another instance, or a relay for its data centre, tells */
void rate_limits_receive(RateLimits *limits, mp_Addr peer,
                         const mp_RateUpdate *news, const RateSharers *sharers,
                         gint64 now);

#endif
