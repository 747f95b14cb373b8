/*
** mpconfiguration.h
** A configuration, its manifest, and the instance list
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
** Filled by the host (conf/yaml.c reads it from YAML); owned by the host
** until it is given to a state, which frees it by mp_Codec.free_config.
** ===================================================================
*/

typedef struct mp_Dc {
  char *name;
  char *region;
} mp_Dc;

/* rate of the path between two data centres (or within one) */
typedef struct mp_Link {
  char *from;
  char *to;
  uint32_t mbytes_per_s;
} mp_Link;

typedef enum mp_ServiceKind { MP_SVC_ENGINE, MP_SVC_PLAIN } mp_ServiceKind;

typedef struct mp_Service {
  char *name;
  mp_ServiceKind kind;
  char *path;       /* plain services: the path prefix they answer */
  char *class_name; /* plain services: the class of their calls */
  int checks_fence; /* engines refuse orders with an old fence */
} mp_Service;

typedef enum mp_Role {
  MP_ROLE_PREFILL,
  MP_ROLE_DECODE,
  MP_ROLE_PLAIN
} mp_Role;

/* what the engines of one role in one service may hold */
typedef struct mp_Pool {
  char *service;
  mp_Role role;
  char **models;
  unsigned models_count;
  char **adapters;
  unsigned adapters_count;
  uint32_t least; /* role orders never leave fewer engines, per centre */
} mp_Pool;

typedef struct mp_Model {
  char *name;
  char *service;
  uint32_t kv_bytes_per_token;
} mp_Model;

/* a class of request: its targets and how it may be treated */
typedef struct mp_Class {
  char *name;
  uint32_t first_token_ms;
  uint32_t token_ms;
  uint32_t deadline_ms;
  uint32_t weight; /* 1 to 100; a larger one goes first */
  int repeatable;
} mp_Class;

typedef struct mp_Account {
  char *name;
  char *key_sha256; /* of the bearer key, in hexadecimal */
  char **classes;
  unsigned classes_count;
  uint32_t requests_per_s; /* 0: no limit */
  uint32_t burst;          /* requests above the rate at once */
} mp_Account;

typedef enum mp_KvMove {
  MP_KV_STAY,   /* only within its data centre */
  MP_KV_REGION, /* to permitted data centres of the same region */
  MP_KV_ANY     /* to every permitted data centre */
} mp_KvMove;

/* where a class of request may run; no rule, no run */
typedef struct mp_Rule {
  char *class_name;
  char *account; /* NULL: every account without a rule of its own */
  char **run_in;
  unsigned run_in_count;
  mp_KvMove kv_move;
} mp_Rule;

typedef enum mp_Pick {
  MP_PICK_MADDERPIER, /* prefix affinity, bounded load, digests */
  MP_PICK_RANDOM,
  MP_PICK_ROUND_ROBIN,
  MP_PICK_LEAST_LOADED,
  MP_PICK_TWO_CHOICES
} mp_Pick;

/* switches of the decisions, each to be measured alone */
typedef struct mp_Policy {
  mp_Pick pick;
  int decode_first;    /* decode slot reserved before the prefill starts */
  int prefix_affinity; /* prefill engine by the prompt's prefix */
  int slack_order;     /* waiting work by slack; else first come */
  int long_cap;        /* one long prompt at a time per prefill engine */
  int transfer_plan;   /* KV transfers at the link's rate, by expiry */
  int keep_prefill;    /* a failed decode keeps the prefill's result */
  int refuse_early;    /* refuse at once what would miss its target */
  int quota_slices;    /* account limits by slices from a home */
  int role_orders;     /* engines change role under lasting pressure */
  uint32_t refuse_at;  /* refuse beyond this percentage of the target */
} mp_Policy;

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
** ===================================================================
*/

typedef struct mp_Section {
  char name[MP_NAME_MAX + 1];
  char digest[MP_SHA256_HEX + 1]; /* SHA-256 of the text */
} mp_Section;

typedef struct mp_Manifest {
  uint64_t version; /* grows by one with every apply */
  char apply_id[MP_NAME_MAX + 1];
  char by[MP_NAME_MAX + 1];
  char when[MP_NAME_MAX + 1];
  unsigned n;
  mp_Section section[MP_SECTIONS_MAX];
} mp_Manifest;

typedef enum mp_InstanceKind {
  MP_INST_ENTRY,
  MP_INST_ENDPOINT
} mp_InstanceKind;

/* one row of the platform's instance list */
typedef struct mp_Instance {
  mp_InstanceKind kind;
  char name[MP_NAME_MAX + 1];
  char dc[MP_NAME_MAX + 1];
  char service[MP_NAME_MAX + 1]; /* endpoints */
  mp_Role role;                  /* endpoints; load answers correct it */
  mp_Addr addr;                  /* entry: RPC; endpoint: HTTP */
  int leaving;
} mp_Instance;

typedef struct mp_InstanceList {
  uint64_t version;
  unsigned n;
  mp_Instance *inst;
} mp_InstanceList;

/*
** Decoders that the host lends to the core: pure functions, no input or
** output. On a bad text they return NULL or 0 and set the error.
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
