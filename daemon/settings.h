/*
** settings.h
** The settings file of one instance, in YAML
*/

#ifndef SETTINGS_H
#define SETTINGS_H

#include "madderpier.h"

typedef struct Settings {
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
} Settings;

/* NULL and an error that names file, line, key and remedy */
Settings *settings_read(const char *path, GError **err);
void settings_free(Settings *s);

/* "a.b.c.d/bits"; 0 when malformed */
int settings_network(const char *s, uint32_t *net, uint32_t *mask);

#endif
