/*
** dialect.h
** The interface between this system and one external protocol
**
** A dialect translates between HTTP messages (heads and bodies, which io/
** reads and writes) and the typed records of router/. The only one is in
** platform/: it speaks the protocol of the platform on which the users of this
** system run their model servers (platform/platform.h).
**
** Terms (router/router.h has more):
**   store     the platform's database of named objects. It lists the endpoints
**             and holds the configuration and the records that the instances
**             of this system write. Each object has a kind, a revision, which
**             grows with each write, and a content, which is JSON.
**   endpoint  one process that runs requests. An endpoint of a service of
**             language models is an engine. Its stage, prefill or decode, says
**             which part of a request it does: an engine that prefills reads
**             the prompt into its KV cache, one that decodes generates.
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
#include "router/stream_records.h"

/*
** What is missing or invalid in a store object: one field of its content, or
** CONTENT (the content itself), NAME (the object's name) or CONFIGURATION (any
** part of the operators' configuration). It is the code of an error of the
** domain RECORD_ERROR, and the label 'field' of a metric. Operators match the
** labels, so a label stays as it is where the symbol uses another term.
** X(symbol, label)
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
  X(SOFTWARE, "software")           \
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
/* Returns the field's label in metrics, a constant string. */
const char *record_field_name(RecordField field);
/* Returns what an error is about: its code in the domain RECORD_ERROR,
** RECORD_CONFIGURATION in any other domain, and RECORD_CONTENT if 'error' is
** NULL (the content can't be read, and no field is known). */
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
  gboolean is_signed;   /* the head has the endpoint's signature field, whose
                        ** value isn't verified */
  gboolean is_event_stream; /* the body is a text/event-stream */
  const char *request_id;   /* the id of the request that this answers, or
                            ** NULL: not stated; points into the HttpHead */
  gint64 idle_limit;        /* us without a request after which the endpoint
                            ** may close the connection; 0: not stated */
  EndpointSignals signals;  /* what the endpoint states about itself */
} EndpointHead;

/* The response of an engine that has prefilled a prompt. */
typedef struct PrefillResponse {
  char *handle; /* id of the prompt's entry in the engine's KV cache; owned */
} PrefillResponse;

/*
** Writes requests for the store's objects and reads the responses. The codec
** of a dialect is for calls to the store itself. An instance may instead ask a
** relay, an instance of this system that watches the store for others of its
** data centre and passes the objects on; io/news_codec.h has the codec for
** that.
*/
typedef struct StoreCodec {
  /* Returns the head of the request, which the caller frees. '*body' is set to
  ** NULL or to a body that the caller frees. */
  HttpHead *(*write_call)(const StoreCall *call, char **body);
  /* Fills 'out', which owns its objects (store_reply_clear). FALSE, with an
  ** error and the status STORE_FAILED: the body can't be used for this call.
  ** TRUE doesn't mean that the call succeeded: 'out->status' tells. The codec
  ** of a store may also return TRUE with STORE_HISTORY_GONE for the body of a
  ** watch that it can't use, which makes the caller list the objects. */
  gboolean (*read_reply)(const StoreCall *call, int status, const char *body,
                         gsize size, StoreReply *out, GError **error);
  /* Returns the store's era that a response's head names; 0: it names none.
  ** The era is a number that grows each time the store is restored from a
  ** copy (router/store_position.h). 'read_reply' then leaves the era of all
  ** positions 0, and its caller sets it. NULL: the responses carry the era in
  ** their bodies, and 'read_reply' sets it. */
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
  /* Returns the head of the response to a request that could not be read.
  ** 'status' is the HTTP status, and 'detail' says what is wrong. '*body' is
  ** set to a text that the caller of this function frees. */
  HttpHead *(*write_bad_input)(int status, const char *detail, char **body);

  /*
  ** Endpoints
  */

  /* Returns the head of a request to an endpoint. 'caller' is the head of the
  ** caller's request. It may be NULL for the kinds that carry no caller's
  ** request (DISPATCH_RELEASE, _REPORT and _ORDER). '*body' is set to NULL,
  ** which means the caller's body, if any, or to a body to send instead, which
  ** the caller of this function frees. Not for DISPATCH_CHECK, which sends no
  ** request. */
  HttpHead *(*write_dispatch)(const Dispatch *dispatch, const HttpHead *caller,
                              char **body);
  /* Reads the head of an endpoint's response; it can't fail. */
  void (*read_endpoint)(const HttpHead *head, EndpointHead *out);
  /* Reads the body of an engine's response to DISPATCH_PREFILL. FALSE: it
  ** isn't valid JSON, or names no handle. */
  gboolean (*read_prefill)(const char *body, gsize size, PrefillResponse *out,
                           GError **error);
  /* Reads the body of an engine's response to DISPATCH_REPORT. FALSE: it isn't
  ** valid JSON, its stage is missing or unknown, or its number of orders is
  ** missing or not an integer. 'out' is set in either case. */
  gboolean (*read_report)(const char *body, gsize size, EngineReport *out,
                          GError **error);

  /*
  ** The store
  */

  StoreCodec store;

  /*
  ** Records: each is parsed from the content of an object
  ** (StoreObject.text, as 'store.read_reply' returned it)
  */

  /* Returns a new table, or NULL if any part is invalid. 'older' is the table
  ** in force, or NULL; the routes whose text has not changed since are shared
  ** with it. */
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
  /* 'out' owns its text (lease_record_clear); it has none when this returns
  ** FALSE. */
  gboolean (*read_lease)(const char *text, LeaseRecord *out, GError **error);
  /* 'name' is the object's name: in hexadecimal, the digest of the quarantined
  ** request's content and client account, which is not the one of
  ** http/content.h (router/quarantine.h). Of 'out', the texts for operators
  ** (request, route, account) are not set. */
  gboolean (*read_quarantine)(const char *name, const char *text,
                              QuarantineRecord *out, GError **error);
  gboolean (*read_software_set)(const char *text, SoftwareSetRecord *out,
                                GError **error);
  /* 'out' owns its array (stream_origins_record_clear); it has none when this
  ** returns FALSE. */
  gboolean (*read_stream_origins)(const char *text, StreamOriginsRecord *out,
                                  GError **error);
} Dialect;

#endif
