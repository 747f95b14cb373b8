/*
** mix.c
** The mix of classes that the load tool sends, from YAML
*/

#include <stdio.h>
#include <stdlib.h>

#include <cyaml/cyaml.h>

#include "bench/load.h"

#define OPT(k, f) CYAML_FIELD_UINT(k, CYAML_FLAG_OPTIONAL, MixClass, f)
#define OPTSTR(k, f)                                                  \
  CYAML_FIELD_STRING_PTR(k, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
                         MixClass, f, 1, 255)

static const cyaml_schema_field_t classfields[] = {
    CYAML_FIELD_STRING_PTR("class", CYAML_FLAG_POINTER, MixClass, class_name,
                           1, 63),
    CYAML_FIELD_STRING_PTR("key", CYAML_FLAG_POINTER, MixClass, key, 1, 63),
    OPTSTR("model", model),
    OPTSTR("path", path),
    OPT("weight", weight),
    OPT("prompt_tokens", prompt_tokens),
    OPT("shared_tokens", shared_tokens),
    OPT("max_tokens", max_tokens),
    OPT("first_ms", first_ms),
    OPT("token_ms", token_ms),
    OPT("keyed", keyed),
    OPT("again", again),
    OPT("hangup", hangup),
    CYAML_FIELD_END};
static const cyaml_schema_value_t classrow = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, MixClass, classfields)};
static const cyaml_schema_field_t mixfields[] = {
    CYAML_FIELD_SEQUENCE("classes", CYAML_FLAG_POINTER, Mix, classes,
                         &classrow, 1, 32),
    CYAML_FIELD_UINT("burst_every_s", CYAML_FLAG_OPTIONAL, Mix, burst_every_s),
    CYAML_FIELD_UINT("burst_factor", CYAML_FLAG_OPTIONAL, Mix, burst_factor),
    CYAML_FIELD_END};
static const cyaml_schema_value_t mixschema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, Mix, mixfields)};

Mix *mix_read(const char *path) {
  cyaml_data_t *mix = NULL;
  cyaml_config_t c = {0};
  cyaml_err_t e;
  c.log_fn = cyaml_log;
  c.log_level = CYAML_LOG_ERROR;
  c.mem_fn = cyaml_mem;
  e = cyaml_load_file(path, &c, &mixschema, &mix, NULL);
  if (e == CYAML_OK)
    return mix;
  fprintf(stderr, "%s: %s\n", path, cyaml_strerror(e));
  exit(2);
}
