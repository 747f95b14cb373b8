/*
** dialect.h
** The seam between the product and one way of saying things
**
** A dialect translates between what io/ carries (heads and bodies) and
** the typed records of router/. It opens no socket, keeps no state,
** decides nothing and retries nothing: every function here is pure.
*/

#ifndef DIALECT_H
#define DIALECT_H

#include "http/head.h"
#include "router/follower.h"
#include "router/lease.h"
#include "router/records.h"
#include "router/router.h"

/*
** Which field of an object of the store is missing or spoilt: the code of an
** error of the domain RECORD_ERROR. X(symbol, name in metrics)
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
  X(COLD_TIME, "cold_time")         \
  X(LIFE, "life")                   \
  X(HOLDER, "holder")               \
  X(CRASHES, "crashes")

typedef enum RecordField {
#define X(symbol, name) RECORD_##symbol,
  RECORD_FIELDS(X)
#undef X
      RECORD_FIELD_COUNT
} RecordField;

#define RECORD_ERROR record_error_quark()
GQuark record_error_quark(void);
const char *record_field_name(RecordField field);
/* the field that an error of any domain is about */
RecordField record_error_field(const GError *error);

/* a caller's head as the dialect read it; texts point into the head */
typedef struct CallerHead {
  CallerRequest request;
  char *host; /* without port; owned */
  char *path; /* without query; owned */
} CallerHead;

void caller_head_clear(CallerHead *head);

/* an endpoint's head as the dialect read it */
typedef struct EndpointHead {
  gboolean not_run;     /* the endpoint promises that it did not run it */
  gboolean misdirected; /* another endpoint has the address */
  gboolean is_signed;   /* it bears the endpoint's signature */
  gboolean is_event_stream;
  const char *request_id;  /* echoed; NULL: not said. Points into the head */
  gint64 idle_limit;       /* the connection may rest so long; 0: not said */
  EndpointSignals signals; /* what it tells about itself */
} EndpointHead;

/* what a prefill engine answers */
typedef struct PrefillResponse {
  char *handle; /* owned */
} PrefillResponse;

/* how calls that follow objects are written, and their answers read */
typedef struct StoreCodec {
  HttpHead *(*write_call)(const StoreCall *call, char **body);
  /* objects of the reply are owned by it: store_reply_clear */
  gboolean (*read_reply)(const StoreCall *call, int status, const char *body,
                         gsize size, StoreReply *out, GError **error);
  /* the era of the store in which it answered; 0: it names none. NULL: answers
  ** say it in their bodies */
  guint64 (*read_era)(const HttpHead *head);
} StoreCodec;

typedef struct Dialect {
  const char *name;

  /*
  ** Callers
  */

  /* FALSE: the head lacks something, as the error says */
  gboolean (*read_caller)(const HttpHead *head, CallerHead *out,
                          GError **error);
  /* the answer to a refusal: its head, and a body that the caller frees */
  HttpHead *(*write_refusal)(const Refusal *refusal, const char *request_id,
                             char **body);
  /* an answer to input that could not be read; 'status' is HTTP's */
  HttpHead *(*write_bad_input)(int status, const char *detail, char **body);

  /*
  ** Endpoints
  */

  /* 'caller' is the caller's head; NULL for what no caller asked for.
  ** '*body' is NULL, or a body in place of the caller's; free it */
  HttpHead *(*write_dispatch)(const Dispatch *dispatch, const HttpHead *caller,
                              char **body);
  void (*read_endpoint)(const HttpHead *head, EndpointHead *out);
  gboolean (*read_prefill)(const char *body, gsize size, PrefillResponse *out,
                           GError **error);
  gboolean (*read_report)(const char *body, gsize size, EngineReport *out,
                          GError **error);

  /*
  ** The store
  */

  StoreCodec store;

  /*
  ** Records: the text of an object, as the store's codec handed it out
  */

  /* 'older' may be NULL; routes with the same text are shared with it */
  RouteTable *(*read_configuration)(const char *text, const RouteTable *older,
                                    GError **error);
  gboolean (*read_instance)(const char *text, InstanceRecord *out,
                            GError **error);
  gboolean (*read_endpoint_record)(const char *name, const char *text,
                                   EndpointRecord *out, GError **error);
  gboolean (*read_lease)(const char *text, LeaseRecord *out, GError **error);
  /* the texts for operators are not read */
  gboolean (*read_quarantine)(const char *name, const char *text,
                              QuarantineRecord *out, GError **error);
} Dialect;

#endif
