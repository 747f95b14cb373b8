/*
** records.h
** What the platform tells about routes, services and endpoints
** A dialect fills these; the router reads them.
*/

#ifndef ROUTER_RECORDS_H
#define ROUTER_RECORDS_H

#include <glib.h>

#include "account/key_table.h"
#include "router/store_position.h"

/*
** {==================================================================
** Configuration
** ===================================================================
*/

typedef struct Service {
  char *name;
  char *health_path;
  gboolean is_engine;
  guint32 slots;            /* engines: requests at once */
  guint32 kv_tokens;        /* engines: memory, in tokens */
  guint32 tokens_per_event; /* engines: tokens in one event of a stream */
  gint64 handle_life;       /* engines: microseconds */
  gint64 switch_time;       /* engines: to change the stage; 0: they can't */
  guint32 max_connections;
} Service;

typedef enum RouteKind {
  ROUTE_SAFE,   /* may run more than once */
  ROUTE_UNSAFE, /* may run at most once */
  ROUTE_STREAM  /* an answer in pieces; at most once unless resumable */
} RouteKind;

/* one of the services that share a route's requests */
typedef struct RouteTarget {
  char *service;
  guint32 weight;
} RouteTarget;

/* what a limit of an account counts */
typedef enum AccountUnit {
  ACCOUNT_REQUESTS,
  ACCOUNT_TOKENS /* of the prompt, and the most that may be generated */
} AccountUnit;

/* a client account: who may send requests, and how many */
typedef struct Account {
  char *name;
  guint32 priority; /* in the place of its requests' routes'; 0 is highest */
  AccountUnit unit;
  guint32 plain_tokens; /* what a request without counts costs, in tokens */
  double rate;          /* units a second, over all instances; 0: no limit */
  double burst;         /* units above that at once */
} Account;

/* tells two texts apart */
typedef struct TextDigest {
  guint64 low, high;
} TextDigest;

typedef struct Route {
  gint refs;         /* tables that hold it */
  TextDigest digest; /* of the text that it was written as */
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  RouteKind kind;
  gboolean resumable;
  gboolean is_public; /* its requests need no account's key */
  guint32 attempts;   /* most endpoints that may run one request */
  gint64 timeout;     /* longest that a request is held */
  gint64 objective;   /* time within which an answer earns all */
  gint64 gap;         /* longest pause between pieces */
  guint32 priority;   /* 0 is the highest */
  GArray *targets;    /* RouteTarget, one at least */
} Route;

/* limits on what callers may send */
typedef struct CallerLimits {
  gsize max_head_bytes;
  gsize max_body_bytes;
  gint64 head_timeout;
  gint64 idle_timeout;
} CallerLimits;

/* one configuration, whole; immutable once built, shared by reference */
typedef struct RouteTable {
  gint refs;
  guint64 version;
  GPtrArray *routes;   /* Route */
  GHashTable *by_text; /* TextDigest -> Route, the same */
  GPtrArray *services; /* Service */
  GPtrArray *accounts; /* Account; NULL: requests need no key */
  KeyTable *keys;      /* of 'accounts' */
  CallerLimits limits;
} RouteTable;

RouteTable *route_table_new(void);
RouteTable *route_table_ref(RouteTable *table);
void route_table_unref(RouteTable *table);

/* append an empty row, which was written as this text */
Route *route_table_add_route(RouteTable *table, const char *text, gsize size);
/* append the row that stands in 'older' (or NULL) with this text; FALSE: none
** does. Rows do not change once they are shared */
gboolean route_table_share_route(RouteTable *table, const RouteTable *older,
                                 const char *text, gsize size);
Service *route_table_add_service(RouteTable *table);
/* from now on requests of routes that are not public need a key; adding an
** account says so too */
void route_table_require_keys(RouteTable *table);
Account *route_table_add_account(RouteTable *table);
/* a key of the account that was added last */
void route_table_add_key(RouteTable *table, const char *key);
/* the account that has the key of this digest (mp_digest), or NULL */
const Account *route_table_find_account(const RouteTable *table,
                                        const char *digest);
/* what a request costs of its account's limit, in the limit's unit */
double account_cost(const Account *account, guint32 prompt_tokens,
                    guint32 output_tokens);
void route_add_target(Route *route, const char *service, guint32 weight);

/* the route of this host with the longest prefix of the path, or NULL */
const Route *route_table_find_route(const RouteTable *table, const char *host,
                                    const char *path);
const Service *route_table_find_service(const RouteTable *table,
                                        const char *name);

/* the service for a request; 'draw' is uniform over guint32 */
const char *route_choose_service(const Route *route, guint32 draw);

/* may the requests of this route run more than once? */
gboolean route_is_repeatable(const Route *route);

/* }================================================================== */

/*
** {==================================================================
** Endpoints
** ===================================================================
*/

typedef enum EndpointStage {
  STAGE_NONE,
  STAGE_PREFILL,
  STAGE_DECODE
} EndpointStage;

/*
** An endpoint as the platform's list has it. Its process may start again under
** the same id: a life of it is told by the id and the time of its start. What
** was sent to an earlier life, and what that held, is gone with it.
*/
typedef struct EndpointRecord {
  char *id; /* appears nowhere else in the list */
  gint64
      started_unix_ms; /* start of this life, by its own clock; 0: not said */
  StorePosition position; /* of the store's last write of this; none: it is not
                          ** known */
  char *service;
  char *zone;
  mp_Addr address;
  gboolean ready; /* FALSE: it is leaving */
  guint32 slots;
  EndpointStage stage;
  gint64 warmup_left; /* how long it will still be slow; microseconds */
} EndpointRecord;

void endpoint_record_clear(EndpointRecord *record);

/* an instance of this system as it enters itself in the store */
typedef struct InstanceRecord {
  mp_Addr exchange; /* where it hears datagrams of the others */
  mp_Addr control;  /* where it tells others what it knows; 0: nowhere */
  char *zone;       /* its data centre */
  guint32 capacity; /* of its machine, for work that only some instances do:
                    ** thousandths of a core, or a tenth of as many Mbit/s
                    ** where the link has less; 0: not known */
} InstanceRecord;

void instance_record_clear(InstanceRecord *record);

/* }================================================================== */

#endif
