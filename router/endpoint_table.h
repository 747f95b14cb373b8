/*
** endpoint_table.h
** The endpoints that an instance knows, and the choice among them
**
** An endpoint is an engine or a process of a plain service. The table holds
** one Endpoint for each id, which combines what the platform lists
** (EndpointRecord), what this instance has seen itself (its open dispatches
** and recent failures), and, by way of 'peers', what the other instances have
** open there. An incarnation is one run of the endpoint's process: id and
** start time (started_unix_ms) together identify it.
**
** The table owns its endpoints. An Endpoint pointer is valid until the next
** call that sets or removes that endpoint; callers that keep one in mind store
** the id and Endpoint.hash and look it up again.
**
** All times are microseconds of the router's steady clock unless a name says
** otherwise. Nothing here fails; lookups return NULL when there is nothing.
** Used by all files of the router; stages.c and lives.c change endpoints too.
*/

#ifndef ROUTER_ENDPOINT_TABLE_H
#define ROUTER_ENDPOINT_TABLE_H

#include "router/availability.h"
#include "router/endpoint_path.h"
#include "router/outlier.h"
#include "router/peer_loads.h"
#include "router/prefill_capacity.h"
#include "router/rate_limits.h"
#include "router/records.h"
#include "router/software_history.h"

/* The most endpoints that one request avoids because they failed it. */
#define EXCLUDED_ENDPOINTS_MAX 8
/* The most incarnations that one request avoids because they ended, or may
** have ended, while they ran it. */
#define CRASHED_INCARNATIONS_MAX 8

/* One incarnation of an endpoint. */
typedef struct Endpoint {
  EndpointRecord record; /* as the platform listed it last; owned */
  guint32 hash;          /* endpoint_incarnation_hash of the record: names the
                         ** incarnation in digests */
  guint64 software;      /* endpoint_software_digest of the record */
  gint64 software_since; /* when this instance came to know that version */
  guint open;            /* open dispatches of this instance */
  guint connections;     /* of this instance, idle ones too */
  guint idle;            /* the idle ones among them */
  guint64 tokens;        /* engines: memory planned for this instance's open
                         ** dispatches and reservations, in tokens */
  double failures;       /* moving share of failed dispatches, 0 to 1, as of
                         ** 'failed_at' */
  gint64 failed_at;      /* when 'failures' was last updated */
  gint64 avoid_until;    /* after unreachable attempts: chosen before then only
                         ** if nothing else is left, and never by a query with
                         ** 'must_fit' */
  unsigned unreachable_streak; /* unreachable attempts in a row */
  OutlierEvidence evidence;    /* that it is up or down, apart from these */
  gint64 judged_at;            /* when reports about it were last judged */
  gboolean is_logged_down;     /* the last judgement that was logged */
  EndpointPath path;           /* how this instance reaches it */
  Availability availability;   /* what this incarnation has announced */
  EndpointStage changing_to;   /* stage to which this instance changes it,
                               ** or did last */
  gint64 changing_until;  /* the change counts as under way until then; 0: none
                          ** is */
  gint64 no_order_before; /* this instance orders no change before then */
} Endpoint;

typedef struct EndpointTable {
  GHashTable *by_id;    /* record.id (borrowed) -> Endpoint (borrowed) */
  GHashTable *unlisted; /* id -> UnlistedIncarnation: incarnations that the
                        ** list has lost; both owned */
  GPtrArray *all;       /* Endpoint, in order of arrival; owned */
  char *zone;           /* the data centre of this instance; owned */
  SoftwareHistory *software; /* of all listed endpoints; owned */
  PeerLoads *peers;          /* what the other instances have open; owned */
  gboolean overload_control; /* as in RouterOptions: judge endpoints by the
                             ** reports of other instances too */
  gboolean has_late_loads;   /* loads in other data centres are known only
                             ** from delayed summaries */
} EndpointTable;

/* Limits on what all instances together may send to the endpoints of one
** service. */
typedef struct GateLimits {
  RateLimits *rates;     /* NULL: no endpoint names a rate */
  guint connections_max; /* at each endpoint; 0: unlimited, or no endpoint is
                         ** near its limit */
  RateSharers sharers;   /* who shares these limits; unset if there are none */
  guint64 seed;          /* differs between instances */
} GateLimits;

/* Creates an empty table; 'zone' is copied. Free it with
** endpoint_table_free. */
EndpointTable *endpoint_table_new(const char *zone);
void endpoint_table_free(EndpointTable *table);

/* How a record compares to the endpoint of the same id in the table. */
typedef enum EndpointComparison {
  ENDPOINT_NEW,       /* the id is not in the table */
  ENDPOINT_SAME,      /* the same incarnation, perhaps with other content */
  ENDPOINT_RESTARTED, /* a later incarnation: the state kept of the earlier one
                      ** is void */
  ENDPOINT_OUTDATED   /* older than what is known: it must change nothing */
} EndpointComparison;

EndpointComparison endpoint_table_compare(const EndpointTable *table,
                                          const EndpointRecord *record);
/* Applies a record, which is copied, as endpoint_table_compare classifies it;
** an outdated one is ignored. */
void endpoint_table_set(EndpointTable *table, const EndpointRecord *record,
                        gint64 now);
/* Advances the store position of a known endpoint to that of a record that was
** ENDPOINT_OUTDATED, so that later writes of the store still compare as later.
** The id must be in the table. */
void endpoint_table_advance_position(EndpointTable *table,
                                     const EndpointRecord *record);
/* Returns TRUE if the record comes from a newer era of the store (the store
** was restored from a copy) than the known one. Its content may be older even
** so. */
gboolean endpoint_record_is_restored(const EndpointRecord *record,
                                     const EndpointRecord *known);
/* Removes an endpoint that is no longer listed. What its incarnation has
** announced is kept for a while, in case it is listed again. An unknown id is
** ignored. */
void endpoint_table_remove(EndpointTable *table, const char *id, gint64 now);
/* Removes, in the same way, each endpoint whose id is not a key of 'names'. */
void endpoint_table_keep(EndpointTable *table, GHashTable *names, gint64 now);

/* Returns the hash of a record's id and start time, which names the
** incarnation in digests. */
guint32 endpoint_incarnation_hash(const EndpointRecord *record);
/* Returns the digest that names the version of a record's software within its
** service; never 0. All that state no version have the same. */
guint64 endpoint_software_digest(const EndpointRecord *record);
/* Returns the endpoint with this id, or NULL if it is not listed. */
Endpoint *endpoint_table_get(const EndpointTable *table, const char *id);
/* Returns the same, or NULL if it is not listed or another incarnation of it
** is (other Endpoint.hash). */
Endpoint *endpoint_table_get_incarnation(const EndpointTable *table,
                                         const char *id, guint32 hash);

/* Returns the endpoint with this Endpoint.hash, or NULL. */
Endpoint *endpoint_table_get_by_hash(const EndpointTable *table, guint32 hash);

/* Return the planned tokens and the open dispatches of all instances at an
** endpoint. */
guint64 endpoint_tokens(const EndpointTable *table, const Endpoint *endpoint);
guint endpoint_open_count(const EndpointTable *table,
                          const Endpoint *endpoint);
/* Returns what all instances have open at an engine. */
PrefillLoad endpoint_load(const EndpointTable *table,
                          const Endpoint *endpoint);
/* Returns TRUE if that is within the limit. */
gboolean endpoint_is_within_load(const EndpointTable *table,
                                 const Endpoint *endpoint,
                                 const PrefillLimit *limit);
/* Returns the connections of all instances to a plain endpoint, idle ones
** too. */
guint endpoint_connections(const EndpointTable *table,
                           const Endpoint *endpoint);

/* Returns TRUE if the endpoint is changing its stage by the order of this or
** another instance. */
gboolean endpoint_is_changing_stage(const EndpointTable *table,
                                    const Endpoint *endpoint, gint64 now);

/* Returns TRUE if the endpoint is leaving: its answers said so, or the list
** does not have it ready. */
gboolean endpoint_is_leaving(const Endpoint *endpoint);

/* Returns the version of the endpoint's software for logs; "-": not stated or
** no endpoint is given. */
const char *endpoint_software_text(const Endpoint *endpoint);

/* Returns the recent share of failed dispatches that this instance saw, 0 to
** 1; it decays with time. */
double endpoint_failure_rate(const Endpoint *endpoint, gint64 now);

/* Returns the judgement of the endpoint by its evidence (router/outlier.h). */
OutlierVerdict endpoint_verdict(const Endpoint *endpoint, gint64 now);
/* Returns TRUE if the endpoint is down, and not because of own failures. */
gboolean endpoint_is_down_by_reports(const Endpoint *endpoint, gint64 now);
/* Records that the endpoint's process answered, whatever it answered. */
void endpoint_note_heard(Endpoint *endpoint, gint64 now);
/* Records that a prefill engine has rejected a prompt: it is avoided as an
** unreachable endpoint is, but it answers. */
void endpoint_note_rejected(Endpoint *endpoint, gint64 now);
/* Returns TRUE if it is avoided for that reason. */
gboolean endpoint_is_rejecting(const Endpoint *endpoint, gint64 now);
/* Records that another process has the address, so that this incarnation has
** ended. It is avoided for longer than an unreachable one, in which time the
** list is expected to name the new one. */
void endpoint_note_ended(Endpoint *endpoint, gint64 now);

/* Record how a dispatch ended. A success lowers the failure rate and clears
** 'avoid_until'; a failure only raises the failure rate; an unreachable
** endpoint is avoided for a time that doubles with each attempt in a row. */
void endpoint_note_success(Endpoint *endpoint, gint64 now);
void endpoint_note_failure(Endpoint *endpoint, gint64 now);
void endpoint_note_unreachable(Endpoint *endpoint, gint64 now);

#endif
