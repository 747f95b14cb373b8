/*
** software_history.h
** Which versions of their software the endpoints of each service have had
**
** A version is known by a 64-bit digest of the service's name and the
** version's text (endpoint_software_digest). The history answers two
** questions: whether one version alone was listed for some time, and since
** when a version has been known. It follows the list of endpoints as this
** instance learns of it; whether the list was up to date is for the caller to
** say (router/continuation.c).
**
** An EndpointTable owns one. Times are microseconds of the steady clock.
*/

#ifndef ROUTER_SOFTWARE_HISTORY_H
#define ROUTER_SOFTWARE_HISTORY_H

#include <glib.h>

typedef struct SoftwareHistory SoftwareHistory;

SoftwareHistory *software_history_new(void);
void software_history_free(SoftwareHistory *history);

/* The list has got an endpoint of the service (hash of its name) with this
** version. */
void software_history_add(SoftwareHistory *history, guint32 service,
                          guint64 software, gint64 now);
/* The list has lost an endpoint with this version. */
void software_history_remove(SoftwareHistory *history, guint64 software,
                             gint64 now);

/* Returns since when the version has been known; G_MAXINT64 if it is not. A
** version that returns after a long absence counts as new. */
gint64 software_history_known_since(const SoftwareHistory *history,
                                    guint64 software);
/* Returns the only version of the service that was listed at any time from
** 'since' on; 0 if there was none or more than one. */
guint64 software_history_only(const SoftwareHistory *history, guint32 service,
                              gint64 since);

/* a version that was listed at some time from the time asked for on */
typedef struct ListedSoftware {
  guint64 software;
  gint64 known_since; /* as software_history_known_since */
} ListedSoftware;

/* Writes the versions of the service that were listed at any time from 'since'
** on to 'out', those listed now first, at most 'most' of them. Returns their
** number. */
guint software_history_list(const SoftwareHistory *history, guint32 service,
                            gint64 since, ListedSoftware *out, guint most);

#endif
