/*
** settings.c
** Fuzz target: the settings file
*/

#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "daemon/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  char path[64];
  Settings *settings;
  int fd = memfd_create("settings", 0);
  if (fd < 0 || write(fd, data, size) != (ssize_t)size)
    return 0;
  g_snprintf(path, sizeof path, "/proc/self/fd/%d", fd);
  settings = settings_read(path, NULL);
  if (settings != NULL)
    settings_free(settings);
  close(fd);
  return 0;
}
