/*
** fixed_hash.h
** Hashes of JSON objects with a fixed seed, so that a run of a target with
** the same seed and count reads the same inputs
** Included by each target that reads JSON, once.
*/

#ifndef FIXED_HASH_H
#define FIXED_HASH_H

#include <jansson.h>

int LLVMFuzzerInitialize(int *argc, char ***argv);

int LLVMFuzzerInitialize(int *argc, char ***argv) {
  (void)argc;
  (void)argv;
  json_object_seed(1);
  return 0;
}

#endif
