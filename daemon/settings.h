/*
** settings.h
** The settings file of one instance, in YAML
**
** The keys of the file are the names of the members of Settings. The settings
** hold for the life of the process. The daemon reads them once, on its only
** thread.
*/

#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include "madderpier.h"

/* the interface to platform and endpoints that an instance uses */
typedef enum SettingsDialect { DIALECT_OWN, DIALECT_PLATFORM } SettingsDialect;

/*
** All texts and arrays belong to the struct. Addresses are texts
** "a.b.c.d:port" that have been checked. Where a default stands in
** daemon/settings.c, 0 or no key in the file means that default.
*/
typedef struct Settings {
  char *dialect; /* "own" (default) or "platform" */
  char *data_centre;
  char *callers;   /* address at which callers are served */
  char *rpc;       /* own dialect: address for datagrams between instances */
  char *operators; /* own dialect: address for operators and metrics */
  char *platform;  /* address of the platform's object store */
  char **peers;    /* addresses of other instances to contact at first */
  unsigned peers_count;
  char *instance_network;  /* "a.b.c.d/bits"; datagrams from there are accepted
                           ** too; NULL: from known instances only */
  char *log_file;          /* NULL: standard output */
  char *log_level;         /* "debug", "info" (default), "warn" or "fault" */
  uint32_t max_body_bytes; /* of a caller's request */
  uint32_t max_headers;    /* header fields of a caller's request */
  uint32_t caller_timeout_s; /* for a request to arrive completely */
  /* the rest is for the dialect "platform" only */
  char *instance;       /* this instance's name; required */
  char *ready;          /* address of the readiness check; required */
  char *control;        /* address at which other instances ask for what this
                        ** one knows of the store, or NULL */
  char *metrics;        /* address of the metrics, or NULL */
  char *exchange;       /* address for datagrams between instances */
  double retry_ratio;   /* retries per request that are allowed, 0 to 1 */
  uint32_t retry_slack; /* and so many besides, over all instances */
  uint32_t retry_window_s;  /* in every window of this length */
  double processor_share;   /* processor cores of this machine; 0: not known */
  double link_mbps;         /* rate of its link, megabits/s; 0: not known */
  uint32_t revoke_ms;       /* a revoked key is accepted for at most this long;
                            ** 0: no bound */
  double limit_over;        /* share by which account limits may be exceeded */
  uint32_t limit_slack;     /* and so many units besides */
  uint32_t limit_window_s;  /* in every window of this length */
  bool overload_control;    /* see docs/design/heavy-load.md; default: off */
  uint32_t lease_ms;        /* of orders to engines; 0: none are given */
  uint32_t max_descriptors; /* that this process may have; 0: as the system
                            ** limits it */
  uint32_t max_connections; /* of callers */
  uint32_t request_timeout_s; /* for a request to arrive whole */
  uint32_t memory_mb;         /* memory of this machine, MB; 0: not known */
  double memory_share;        /* share of it for answers that callers have not
                              ** read, and bodies of requests; 0: no bound */
  uint32_t contact_ms;    /* after an outage, the platform counts this instance
                          ** as in contact again after this long */
  uint32_t apply_ms;      /* a confirmed configuration is in force everywhere
                          ** after at most this long */
  uint32_t leave_ms;      /* an endpoint that leaves gets no request after at
                          ** most this long */
  uint32_t watch_wait_ms; /* longest wait of one watch of the store */
  uint32_t drain_least_ms; /* a planned stop accepts connections this long */
  uint32_t grace_s;        /* time between the signal to stop and the kill */
  uint32_t drain_most_ms;  /* a planned stop ends after this */
} Settings;

/* reads, checks and completes the settings; the caller frees them by
** settings_free. NULL and an error (MP_ERROR, MP_ERR_SETTINGS) that names
** file, line or key, and what to do. */
Settings *settings_read(const char *path, GError **err);
void settings_free(Settings *s);

SettingsDialect settings_dialect(const Settings *s);

/* reads a network "a.b.c.d/bits" into address and mask, in host byte order;
** returns 0 when it is malformed */
int settings_network(const char *s, uint32_t *net, uint32_t *mask);

#endif
