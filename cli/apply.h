/*
** apply.h
** Configurations as an operator handles them: from files, to the platform
*/

#ifndef APPLY_H
#define APPLY_H

#include "madderpier.h"

/* a configuration as texts */
typedef struct Draft {
  mp_Manifest man;
  GBytes *text[MP_SECTIONS_MAX];
} Draft;

/* all *.yaml of a folder, checked as a whole; 0 and an error */
int draft_read(const char *dir, Draft *d, GError **err);

/* check the texts as a whole */
int draft_check(const Draft *d, GError **err);

/* the configuration in force; version 0 when there is none yet */
int draft_fetch(Draft *d, uint64_t *object, GError **err);

/* put a section's text in, or in place of the one of that name */
int draft_set(Draft *d, const char *name, const char *s, size_t n,
              GError **err);

void draft_free(Draft *d);

/*
** Swap 'd' in over the version that 'base' has. 0 and an error when
** another change came first (MP_ERR_CONFLICT) or the platform is away.
** On success d->man.version is the new version.
*/
int apply(Draft *d, const Draft *base, uint64_t object, const char *by,
          GError **err);

/* write an audit record; 'outcome' is NULL while the action is under way */
void audit(const char *key, const char *by, const char *what, uint64_t from,
           uint64_t to, const char *outcome);

/* the time now, as audit records have it */
char *utc_time_text(void);

#endif
