/*
** dialect.h
** The interface between this system and one external protocol
**
** A dialect translates between HTTP messages (heads and bodies, which io/
** reads and writes) and the typed records of router/. platform/ is the one
** that speaks the protocol of the users' platform.
**
** Invariant: every function of a dialect is pure. It opens no socket, reads
** no clock, keeps no state, makes no routing decision and retries nothing.
**
** Errors: a function that takes 'error' returns FALSE (or NULL) and sets it
** when the input can't be used. Text for operators is in the error's message.
** Durations are in microseconds unless a name carries another unit.
*/

#ifndef DIALECT_H
#define DIALECT_H

#include "http/head.h"
#include "router/follower.h"
#include "router/lease.h"
#include "router/records.h"
#include "router/router.h"

/*
** The field of a store object that is missing or invalid. It is the code of an
** error of the domain RECORD_ERROR, and a label of a metric.
** X(symbol, name in metrics)
*/
#define RECORD_FIELDS(X)            \
  X(CONTENT, "content")             \
  X(NAME, "name")                   \
  X(CONFIGURATION, "configuration") \
  X(SERVICE, "service")             \
  X(ADDRESS, "address")             \
  X(DATA_CENTRE, "data_centre")     \
  X(STATE, "state")                 \
  X(SLOTS, "slots")                 \
  X(STAGE, "stage")                 \
  X(WARMUP_TIME, "cold_time")       \
  X(INCARNATION, "life")            \
  X(HOLDER, "holder")               \
  X(CRASHES, "crashes")

typedef enum RecordField {
#define X(symbol, name) RECORD_##symbol,
  RECORD_FIELDS(X)
#undef X
      RECORD_FIELD_COUNT
} RecordField;

/* The GError domain of invalid endpoint, instance, lease and quarantine
** records. An invalid configuration has the domain MP_ERROR. */
#define RECORD_ERROR record_error_quark()
GQuark record_error_quark(void);
/* the field's name in metrics; a constant string */
const char *record_field_name(RecordField field);
/* The field that an error is about: its code in the domain RECORD_ERROR,
** RECORD_CONFIGURATION in any other domain, RECORD_CONTENT for NULL (the
** record can't be read, and no field is known). */
RecordField record_error_field(const GError *error);

/*
** The head of a caller's request. The texts of 'request' point into 'host' and
** 'path' and into the HttpHead that was read, which must outlive this struct.
*/
typedef struct CallerHead {
  CallerRequest request;
  char *host; /* without port; owned */
  char *path; /* without query and fragment; owned */
} CallerHead;

/* Frees the owned texts and zeroes the struct. */
void caller_head_clear(CallerHead *head);

/* The head of an endpoint's response. */
typedef struct EndpointHead {
  gboolean not_run;     /* the endpoint states that it did not run the request
                        ** (TRUE with 'misdirected', too) */
  gboolean misdirected; /* another endpoint has the address now */
  gboolean is_signed;   /* it has the endpoint's signature field; the
                        ** value isn't verified */
  gboolean is_event_stream; /* the body is a text/event-stream */
  const char *request_id;   /* the id of the request that it answers, or NULL
                            ** when it names none; points into the HttpHead */
  gint64 idle_limit;        /* the endpoint may close the connection after so
                            ** long without a request; 0: not stated */
  EndpointSignals signals;  /* what the endpoint states about itself */
} EndpointHead;

/* The response of a prefill engine. */
typedef struct PrefillResponse {
  char *handle; /* id of the KV cache entry at the engine; owned */
} PrefillResponse;

/*
** Requests to the store, or to an instance that passes its objects on, and
** their responses.
*/
typedef struct StoreCodec {
  /* Returns the head of the request, which the caller frees. '*body' is set to
  ** NULL or to a body that the caller frees. */
  HttpHead *(*write_call)(const StoreCall *call, char **body);
  /* Fills 'out', which owns its objects (store_reply_clear). FALSE: the body
  ** can't be used for this call, as the error says. */
  gboolean (*read_reply)(const StoreCall *call, int status, const char *body,
                         gsize size, StoreReply *out, GError **error);
  /* Returns the era (generation) of the store that a response's head names; 0:
  ** it names none. The member is NULL where bodies carry the era instead. */
  guint64 (*read_era)(const HttpHead *head);
} StoreCodec;

/* A protocol's table of functions. All of them are set unless stated
** otherwise. A returned HttpHead belongs to the caller (http_head_free). */
typedef struct Dialect {
  const char *name;

  /*
  ** Callers
  */

  /* FALSE: a required field is missing or invalid, as the error says. Clear
  ** 'out' in either case (caller_head_clear). */
  gboolean (*read_caller)(const HttpHead *head, CallerHead *out,
                          GError **error);
  /* Returns the head of the response to a refused request; 'request_id' may be
  ** NULL. '*body' is set to a text that the caller frees. */
  HttpHead *(*write_refusal)(const Refusal *refusal, const char *request_id,
                             char **body);
  /* The same for a request that could not be read. 'status' is the HTTP
  ** status, 'detail' says what is wrong. */
  HttpHead *(*write_bad_input)(int status, const char *detail, char **body);

  /*
  ** Endpoints
  */

  /* Returns the head of a request to an endpoint. 'caller' is the head of the
  ** caller's request; it may be NULL only for dispatches that no caller asked
  ** for. '*body' is set to NULL, which means the caller's body, if any, or to
  ** a body to send instead, which the caller of this function frees. */
  HttpHead *(*write_dispatch)(const Dispatch *dispatch, const HttpHead *caller,
                              char **body);
  /* Reads the head of an endpoint's response; it can't fail. */
  void (*read_endpoint)(const HttpHead *head, EndpointHead *out);
  /* Reads a prefill engine's response. FALSE: it names no handle. */
  gboolean (*read_prefill)(const char *body, gsize size, PrefillResponse *out,
                           GError **error);
  /* Reads an engine's report of its stage. FALSE: a field is missing. */
  gboolean (*read_report)(const char *body, gsize size, EngineReport *out,
                          GError **error);

  /*
  ** The store
  */

  StoreCodec store;

  /*
  ** Records: each is parsed from the text of an object, as 'store' returned it
  */

  /* Returns a new table, or NULL when any part is invalid. 'older' may be
  ** NULL; routes whose text is the same there are shared with it. */
  RouteTable *(*read_configuration)(const char *text, const RouteTable *older,
                                    GError **error);
  /* The texts in 'out' are owned by it (instance_record_clear), also when this
  ** returns FALSE. */
  gboolean (*read_instance)(const char *text, InstanceRecord *out,
                            GError **error);
  /* 'name' is the object's name, which is the endpoint's id. 'out' owns its
  ** texts (endpoint_record_clear); it has none when this returns FALSE. */
  gboolean (*read_endpoint_record)(const char *name, const char *text,
                                   EndpointRecord *out, GError **error);
  /* 'out' owns its texts (lease_record_clear). */
  gboolean (*read_lease)(const char *text, LeaseRecord *out, GError **error);
  /* 'name' is the object's name, the digest of the quarantined request. The
  ** texts for operators (request, route, account) are not read. */
  gboolean (*read_quarantine)(const char *name, const char *text,
                              QuarantineRecord *out, GError **error);
} Dialect;

#endif
