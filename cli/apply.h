/*
** apply.h
** Reads configurations from files and from the platform, and applies them
**
** A draft is a configuration as texts. Applying it replaces the one in force
** as a whole or not at all, by one conditional write of the manifest, and
** leaves an audit record on the platform. client_init must have been called.
** Functions that return int return 1, or 0 and an error of the domain
** MP_ERROR, or of GLib's for files.
*/

#ifndef APPLY_H
#define APPLY_H

#include "madderpier.h"

/* a configuration as texts; draft_free frees what it holds */
typedef struct Draft {
  /* names and digests of the sections; version 0 if they come from files */
  mp_Manifest manifest;
  GBytes *text[MP_SECTIONS_MAX]; /* the text of each section */
} Draft;

/* reads all *.yaml files of a folder, in the order of their names, and checks
** them as a whole; on failure '*d' is empty */
int draft_read(const char *dir, Draft *d, GError **err);

/* checks the texts as a whole (mp_config_read) */
int draft_check(const Draft *d, GError **err);

/* reads the configuration in force, which has version 0 if there is none yet;
** '*object' is the version of the manifest's object, for draft_apply. On
** failure '*d' is empty. */
int draft_fetch(Draft *d, uint64_t *object, GError **err);

/* adds a section, or replaces the one of that name; the text is copied */
int draft_set(Draft *d, const char *name, const char *s, size_t n,
              GError **err);

void draft_free(Draft *d);

/*
** Puts 'd' in force in place of 'base', whose object version is 'object'; both
** come from draft_fetch. 'by' is the operator's name for the audit trail.
** Fails with MP_ERR_CONFLICT when another change was applied first, and with
** MP_ERR_STORE when the platform does not answer: the message says whether the
** change may have taken effect. On success d->manifest.version is the new
** version.
*/
int draft_apply(Draft *d, const Draft *base, uint64_t object, const char *by,
                GError **err);

/* writes or replaces the audit record 'key'; 'outcome' is NULL while the
** action is in progress. A failure is reported on standard error only. */
void audit_write(const char *key, const char *by, const char *what,
                 uint64_t from, uint64_t to, const char *outcome);

/* the time now in UTC, as 2024-01-31T12:00:00Z; freed by g_free */
char *utc_time_text(void);

#endif
