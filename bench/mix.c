/*
** mix.c
** Reads the request classes of the load tool from a YAML file
*/

#include <stdio.h>
#include <stdlib.h>

#include <cyaml/cyaml.h>

#include "bench/load.h"

#define OPTIONAL_UINT(k, f) \
  CYAML_FIELD_UINT(k, CYAML_FLAG_OPTIONAL, MixClass, f)
#define OPTIONAL_STRING(k, f)                                         \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
                         MixClass, f, 1, 255)

static const cyaml_schema_field_t class_fields[] = {
    CYAML_FIELD_STRING_PTR("class", CYAML_FLAG_POINTER, MixClass, class_name,
                           1, 63),
    CYAML_FIELD_STRING_PTR("key", CYAML_FLAG_POINTER, MixClass, bearer_key, 1,
                           63),
    OPTIONAL_STRING("model", model),
    OPTIONAL_STRING("path", path),
    OPTIONAL_UINT("weight", weight),
    OPTIONAL_UINT("prompt_tokens", prompt_tokens),
    OPTIONAL_UINT("shared_tokens", shared_tokens),
    OPTIONAL_UINT("max_tokens", max_tokens),
    OPTIONAL_UINT("first_ms", first_token_max_ms),
    OPTIONAL_UINT("token_ms", token_interval_max_ms),
    OPTIONAL_UINT("keyed", keyed_percent),
    OPTIONAL_UINT("again", duplicate_percent),
    OPTIONAL_UINT("hangup", hangup_percent),
    CYAML_FIELD_END};
static const cyaml_schema_value_t class_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, MixClass, class_fields)};
static const cyaml_schema_field_t mix_fields[] = {
    CYAML_FIELD_SEQUENCE("classes", CYAML_FLAG_POINTER, Mix, classes,
                         &class_schema, 1, 32),
    CYAML_FIELD_UINT("burst_every_s", CYAML_FLAG_OPTIONAL, Mix, burst_every_s),
    CYAML_FIELD_UINT("burst_factor", CYAML_FLAG_OPTIONAL, Mix, burst_factor),
    CYAML_FIELD_END};
static const cyaml_schema_value_t mix_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, Mix, mix_fields)};

Mix *mix_read(const char *path) {
  cyaml_data_t *mix = NULL;
  cyaml_config_t c = {0};
  cyaml_err_t e;
  c.log_fn = cyaml_log;
  c.log_level = CYAML_LOG_ERROR;
  c.mem_fn = cyaml_mem;
  e = cyaml_load_file(path, &c, &mix_schema, &mix, NULL);
  if (e == CYAML_OK)
    return mix;
  fprintf(stderr, "%s: %s\n", path, cyaml_strerror(e));
  exit(2);
}
