/*
** settings.h
** The settings file of one instance, in YAML
*/

#ifndef SETTINGS_H
#define SETTINGS_H

#include "madderpier.h"

/* which interface an instance speaks */
typedef enum SettingsDialect { DIALECT_OWN, DIALECT_PLATFORM } SettingsDialect;

typedef struct Settings {
  char *dialect; /* "own" (default) or "platform" */
  char *data_centre;
  char *callers; /* addresses "a.b.c.d:port" */
  char *rpc;
  char *operators;
  char *platform;
  char **peers;
  unsigned peers_count;
  char *instance_network; /* "a.b.c.d/bits" */
  char *log_file;
  char *log_level;
  uint32_t max_body_bytes;
  uint32_t max_headers;
  uint32_t caller_timeout_s;
  /* of the dialect "platform" alone */
  char *instance; /* its own name */
  char *ready;    /* addresses */
  char *control;
  char *metrics;
  char *exchange;          /* datagrams between instances */
  double retry_ratio;      /* extra arrivals per request */
  uint32_t retry_slack;    /* and beside those, over all instances */
  uint32_t retry_window_s; /* in every window of this length */
  double processor_share;  /* of a core, that this machine has; 0: not known */
  double link_mbps;        /* of its link; 0: not known */
  uint32_t revoke_ms;   /* a key taken away is served so long; 0: no bound */
  double limit_over;    /* account limits: share that may be exceeded */
  uint32_t limit_slack; /* and units beside that */
  uint32_t limit_window_s; /* in every window of this length */
  uint32_t lease_ms;       /* of orders to engines; 0: none are given */
  uint32_t contact_ms;     /* the platform counts us as in touch after this */
  uint32_t apply_ms; /* a configuration that was confirmed is in force then */
  uint32_t leave_ms; /* an endpoint that leaves gets no request after this */
  uint32_t watch_wait_ms;  /* longest wait of one watch of the store */
  uint32_t drain_least_ms; /* a planned stop takes connections so long */
  uint32_t grace_s;        /* between the signal to stop and the kill */
  uint32_t drain_most_ms;  /* and ends after this */
} Settings;

/* NULL and an error that names file, line, key and remedy */
Settings *settings_read(const char *path, GError **err);
void settings_free(Settings *s);

SettingsDialect settings_dialect(const Settings *s);

/* "a.b.c.d/bits"; 0 when malformed */
int settings_network(const char *s, uint32_t *net, uint32_t *mask);

#endif
