/*
** records.h
** Configuration and endpoints as the platform describes them
**
** A platform's dialect (platform/) parses the platform's objects into these
** records; the router reads them. Times are in microseconds unless a name or a
** comment says otherwise. A record owns its strings.
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
  guint32 slots;            /* Engines: requests that run at the same time. */
  guint32 kv_tokens;        /* Engines: size of the KV cache in tokens. */
  guint32 tokens_per_event; /* Engines: tokens in one event of a stream. */
  /* Engines: us that a KV handle stays valid after its prefill. */
  gint64 handle_lifetime;
  /*
  ** Engines: us that a change of the stage takes; 0: the stage can't change.
  */
  gint64 switch_time;
  guint32 max_connections;
  /* Its requests may have different priorities (route_table_rank_services). */
  gboolean has_priorities;
} Service;

typedef enum RouteKind {
  ROUTE_SAFE,   /* A request may run more than once. */
  ROUTE_UNSAFE, /* A request may run at most once. */
  /*
  ** The response is a stream; a request may run at most once unless the route
  ** is resumable.
  */
  ROUTE_STREAM
} RouteKind;

/* One of the services among which a route's requests are split. */
typedef struct RouteTarget {
  char *service;
  guint32 weight;
} RouteTarget;

/* Priorities are 0 (the highest) to this number, as engines take them
** (Request-Urgency); a larger one counts as this. */
#define PRIORITY_LOWEST 9
#define PRIORITY_COUNT (PRIORITY_LOWEST + 1)

/* The unit in which the limit of a client account counts. */
typedef enum AccountUnit {
  ACCOUNT_REQUESTS,
  /* Tokens of the prompt plus the largest number that may be generated. */
  ACCOUNT_TOKENS
} AccountUnit;

/* A client account: who may send requests, and how many. */
typedef struct Account {
  char *name;
  gboolean has_priority; /* The configuration states one. */
  /* has_priority: Replaces the priority of the route; 0 is the highest. */
  guint32 priority;
  AccountUnit unit;
  /* Cost in tokens of a request that names no token counts. */
  guint32 plain_tokens;
  double rate;  /* Units per second over all instances; 0: no limit. */
  double burst; /* Units that may be used at once beyond the rate. */
} Account;

/* A 128-bit hash by which texts are compared. */
typedef struct TextDigest {
  guint64 low, high;
} TextDigest;

typedef struct Route {
  gint refs;         /* Number of tables that hold this route. */
  TextDigest digest; /* Digest of the text from which the route was read. */
  char *name;
  char *host;
  char *prefix; /* Path prefix; begins and ends with a slash. */
  RouteKind kind;
  gboolean resumable;
  gboolean is_public; /* Its requests need no account's key. */
  /* Largest number of endpoints that may run one request. */
  guint32 attempts;
  gint64 timeout; /* Longest time in us for which a request is held. */
  /* Time in us within which an answer has its full value. */
  gint64 objective;
  /* Longest acceptable pause in us between two pieces of a stream. */
  gint64 gap;
  guint32 priority; /* 0 is the highest. */
  GArray *targets;  /* Array of RouteTarget with at least one element. */
} Route;

/* Limits on what callers may send; sizes in bytes, times in us. */
typedef struct CallerLimits {
  gsize max_head_bytes;
  gsize max_body_bytes;
  gint64 head_timeout;
  gint64 idle_timeout;
} CallerLimits;

/*
** One complete configuration. A table is immutable once it is built, and
** shared by reference.
*/
typedef struct RouteTable {
  gint refs;
  guint64 version;
  GPtrArray *routes;   /* Array of Route. */
  GHashTable *by_text; /* TextDigest -> Route, the same routes. */
  GPtrArray *services; /* Array of Service. */
  GPtrArray *accounts; /* Array of Account; NULL: requests need no key. */
  KeyTable *keys;      /* Keys of 'accounts'. */
  CallerLimits limits;
} RouteTable;

/*
** Returns an empty table with one reference; the last route_table_unref frees
** it.
*/
RouteTable *route_table_new(void);
RouteTable *route_table_ref(RouteTable *table);
void route_table_unref(RouteTable *table);

/* Appends an empty route for this text and returns it. The table owns it. */
Route *route_table_add_route(RouteTable *table, const char *text, gsize size);
/*
** Appends the route that 'older' (or NULL) holds for this text, and shares it
** with 'older'. Returns FALSE, and appends nothing, when 'older' has none.
** Routes do not change once they are shared.
*/
gboolean route_table_share_route(RouteTable *table, const RouteTable *older,
                                 const char *text, gsize size);
/* Appends an empty service and returns it. The table owns it. */
Service *route_table_add_service(RouteTable *table);
/*
** Makes requests of routes that are not public need a key from now on. Adding
** an account does this, too.
*/
void route_table_require_keys(RouteTable *table);
/* Appends an empty account and returns it. The table owns it. */
Account *route_table_add_account(RouteTable *table);
/* Adds a key of the account that was added last. */
void route_table_add_key(RouteTable *table, const char *key);
/* Returns the account whose key has this digest (mp_digest), or NULL. */
const Account *route_table_find_account(const RouteTable *table,
                                        const char *digest);
/*
** Sets Service.has_priorities of all services. Call it once the table is
** complete. Returns how many routes and accounts state a priority that is not
** one (above PRIORITY_LOWEST).
*/
guint route_table_rank_services(RouteTable *table);
/* Returns the priority of a request of this account (or NULL) and route, 0 to
** PRIORITY_LOWEST. */
guint request_priority(const Account *account, const Route *route);
/* Returns what a request costs of its account's limit, in the limit's unit. */
double account_cost(const Account *account, guint32 prompt_tokens,
                    guint32 output_tokens);
/* Adds a service to which requests go in proportion to 'weight'. */
void route_add_target(Route *route, const char *service, guint32 weight);

/*
** Returns the route of this host with the longest prefix that matches the
** path, or NULL.
*/
const Route *route_table_find_route(const RouteTable *table, const char *host,
                                    const char *path);
/* Returns the service with this name, or NULL. */
const Service *route_table_find_service(const RouteTable *table,
                                        const char *name);

/* Returns the service for a request; 'draw' is uniform over guint32. */
const char *route_choose_service(const Route *route, guint32 draw);

/* Returns TRUE when requests of this route may run more than once. */
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
** An endpoint as the platform's list has it. The endpoint's process may
** restart under the same id; an incarnation of it is identified by the id and
** the process's start time. What was sent to an earlier incarnation, and what
** that one held, is lost with it.
*/
typedef struct EndpointRecord {
  char *id; /* Unique in the list. */
  /*
  ** Unix time in ms at which this incarnation started, by the endpoint's
  ** clock; 0: not stated.
  */
  gint64 started_unix_ms;
  /*
  ** Position of the store's last write of this endpoint; none: it is not
  ** known.
  */
  StorePosition position;
  char *service;
  char *zone;
  /* Version of the endpoint's software, an opaque text without an order; NULL:
  ** not stated. */
  char *software;
  mp_Addr address;
  gboolean ready; /* FALSE: the endpoint is leaving. */
  guint32 slots;
  EndpointStage stage;
  /* Time in us for which the endpoint will still be slow after its start. */
  gint64 warmup_left;
} EndpointRecord;

/*
** Frees the record's strings and sets its members to 0; the record itself
** stays the caller's.
*/
void endpoint_record_clear(EndpointRecord *record);

/* An instance of this system as it registers itself in the store. */
typedef struct InstanceRecord {
  /* Address at which it receives datagrams of other instances. */
  mp_Addr exchange;
  /*
  ** Address at which it answers other instances about the store's objects; 0:
  ** nowhere.
  */
  mp_Addr control;
  char *zone; /* Name of its data centre. */
  /*
  ** Capacity of its machine for work that only some instances do: thousandths
  ** of a core, or a tenth of that many Mbit/s where the link has less; 0: not
  ** known.
  */
  guint32 capacity;
} InstanceRecord;

/* As endpoint_record_clear. */
void instance_record_clear(InstanceRecord *record);

/* }================================================================== */

#endif
