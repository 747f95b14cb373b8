/*
** mpconfiguration.h
** A configuration, its manifest, and the instance list
**
** Plain data that the host reads from texts and the core acts on. Unless a
** member says otherwise, names refer to rows of the same configuration, and
** the configuration has been checked (mp_config_check in conf/conf.h): the
** names exist and no name stands twice in a table.
*/

#ifndef MPCONFIGURATION_H
#define MPCONFIGURATION_H

#include "mpbase.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
** {==================================================================
** Configuration
** mp_Codec.config makes it (conf/yaml.c reads it from YAML), and whoever
** called that owns it and frees it, with all it points to, by
** mp_Codec.free_config; a state does so for those that it decodes. Arrays
** have their lengths beside them (NAME_count).
** ===================================================================
*/

/* a data centre; 'region' groups those between which KV may move */
typedef struct mp_Dc {
  char *name;
  char *region;
} mp_Dc;

/* bandwidth of the path between two data centres, or within one */
typedef struct mp_Link {
  char *from;
  char *to;
  uint32_t mbytes_per_s; /* megabytes per second, above 0 */
} mp_Link;

/* inference engines, or any other HTTP service to which calls are forwarded */
typedef enum mp_ServiceKind { MP_SVC_ENGINE, MP_SVC_PLAIN } mp_ServiceKind;

typedef struct mp_Service {
  char *name;
  mp_ServiceKind kind;
  char *path;       /* plain services: path prefix of their calls; or NULL */
  char *class_name; /* plain services: class of their calls; or NULL */
  int checks_fence; /* the engines refuse role orders with an older fence */
} mp_Service;

/* what an endpoint does; engines may be ordered to change it */
typedef enum mp_Role {
  MP_ROLE_PREFILL,
  MP_ROLE_DECODE,
  MP_ROLE_PLAIN
} mp_Role;

/* the engines of one role in one service, in all data centres */
typedef struct mp_Pool {
  char *service;
  mp_Role role;
  char **models; /* the models that they serve */
  unsigned models_count;
  char **adapters;
  unsigned adapters_count;
  uint32_t least; /* role orders leave at least so many engines of this role
                  ** in a data centre, and always at least one */
} mp_Pool;

typedef struct mp_Model {
  char *name;
  char *service;
  uint32_t kv_bytes_per_token; /* size of its KV cache, above 0 */
} mp_Model;

/* a class of request: its latency targets, deadline and priority */
typedef struct mp_Class {
  char *name;
  uint32_t first_token_ms; /* target for the first token, above 0 */
  uint32_t token_ms;       /* target for each further token; 0: none */
  uint32_t deadline_ms;    /* at least first_token_ms */
  uint32_t weight;         /* 1 to 100; larger ones have priority */
  int repeatable;          /* running a request twice does no harm */
} mp_Class;

/* a client account */
typedef struct mp_Account {
  char *name;
  char *key_sha256; /* SHA-256 of its bearer key, MP_SHA256_HEX digits */
  char **classes;   /* classes of request that it may use */
  unsigned classes_count;
  uint32_t requests_per_s; /* 0: no limit */
  uint32_t burst;          /* requests that may exceed the rate at once */
} mp_Account;

/* where the KV result of a request's prefill may be transferred */
typedef enum mp_KvMove {
  MP_KV_STAY,   /* only within its data centre */
  MP_KV_REGION, /* to permitted data centres of the same region */
  MP_KV_ANY     /* to every permitted data centre */
} mp_KvMove;

/* where a class of request may run; without a rule it may run nowhere */
typedef struct mp_Rule {
  char *class_name;
  char *account; /* NULL: every account without a rule of its own */
  char **run_in; /* data centres, at least one */
  unsigned run_in_count;
  mp_KvMove kv_move;
} mp_Rule;

/* how an endpoint is chosen among those that may serve a request; all but the
** first are for comparison */
typedef enum mp_Pick {
  MP_PICK_MADDERPIER, /* by prefix affinity, bounded load and load digests */
  MP_PICK_RANDOM,
  MP_PICK_ROUND_ROBIN,
  MP_PICK_LEAST_LOADED,
  MP_PICK_TWO_CHOICES
} mp_Pick;

/* switches for the scheduling decisions; each is separate, so that the effect
** of one can be measured alone */
typedef struct mp_Policy {
  mp_Pick pick;
  int decode_first;    /* reserve a decode slot before the prefill starts */
  int prefix_affinity; /* choose the prefill engine by the prompt's prefix */
  int slack_order;     /* serve waiting work by slack, else in arrival order */
  int long_cap;        /* run one long prompt at a time per prefill engine */
  int transfer_plan;   /* pace KV transfers to the link, by expiry */
  int keep_prefill;    /* reuse the prefill's result when a decode fails */
  int refuse_early;    /* refuse at once what would miss its target */
  int quota_slices;    /* enforce account limits by slices from a home */
  int role_orders;     /* change engines' roles under lasting pressure */
  uint32_t refuse_at;  /* percentage of the first-token target beyond which
                       ** a request is refused early, 50 to 1000 */
} mp_Policy;

/* a whole configuration; the names of its members are the keys of the YAML */
typedef struct mp_Config {
  mp_Dc *data_centres;
  unsigned data_centres_count;
  mp_Link *links;
  unsigned links_count;
  mp_Service *services;
  unsigned services_count;
  mp_Pool *pools;
  unsigned pools_count;
  mp_Model *models;
  unsigned models_count;
  mp_Class *classes;
  unsigned classes_count;
  mp_Account *accounts;
  unsigned accounts_count;
  mp_Rule *rules;
  unsigned rules_count;
  char **drained; /* endpoints and data centres that get no new work */
  unsigned drained_count;
  mp_Policy *policy;
} mp_Config;

/* }================================================================== */

/*
** {==================================================================
** Documents: the manifest of a configuration, and the instance list
** Both are objects of the platform, and instances hand them on.
** ===================================================================
*/

/* one file of a configuration, stored under the digest of its text */
typedef struct mp_Section {
  char name[MP_NAME_MAX + 1];     /* name of the file */
  char digest[MP_SHA256_HEX + 1]; /* SHA-256 of the text, in hexadecimal */
} mp_Section;

/* which sections make up a version of the configuration, and who applied it */
typedef struct mp_Manifest {
  uint64_t version;               /* from 1, plus one with every apply */
  char apply_id[MP_NAME_MAX + 1]; /* unique ID of this apply */
  char by[MP_NAME_MAX + 1];       /* name of the operator */
  char when[MP_NAME_MAX + 1];     /* UTC, as 2024-01-31T12:00:00Z */
  unsigned n;                     /* number of sections */
  mp_Section section[MP_SECTIONS_MAX];
} mp_Manifest;

/* an instance of madderpier, or an endpoint that it sends requests to */
typedef enum mp_InstanceKind {
  MP_INST_ENTRY,
  MP_INST_ENDPOINT
} mp_InstanceKind;

/* one row of the platform's instance list */
typedef struct mp_Instance {
  mp_InstanceKind kind;
  char name[MP_NAME_MAX + 1];
  char dc[MP_NAME_MAX + 1];
  char service[MP_NAME_MAX + 1]; /* endpoints only */
  mp_Role role;                  /* endpoints only; load reports correct it */
  mp_Addr addr;                  /* entry: of its RPC; endpoint: of its HTTP */
  int leaving;                   /* gets no new work */
} mp_Instance;

/* the instance list; its decoder allocates it and mp_Codec.free_list frees
** it, rows included */
typedef struct mp_InstanceList {
  uint64_t version; /* above 0, grows with each change */
  unsigned n;
  mp_Instance *inst; /* n rows */
} mp_InstanceList;

/*
** Decoders that the host lends to the core, which calls them from mp_feed.
** They are pure functions without input or output. On a malformed text they
** return NULL or FALSE and set the error (domain MP_ERROR, code
** MP_ERR_SETTINGS); otherwise the caller owns the result and frees it by the
** function beside it. 'n' is the length of 'text' in bytes. 'config' gets one
** text for each section of the manifest, in its order, and keeps none of them.
*/
typedef struct mp_Codec {
  gboolean (*manifest)(const char *text, size_t n, mp_Manifest *out,
                       GError **err);
  mp_InstanceList *(*list)(const char *text, size_t n, GError **err);
  void (*free_list)(mp_InstanceList *l);
  mp_Config *(*config)(const mp_Manifest *m, GBytes *const *text,
                       GError **err);
  void (*free_config)(mp_Config *c);
} mp_Codec;

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
