/*
** instance_table.h
** The registered instances, and what this instance uses each of them for
**
** The table maps names to InstanceRecord, and owns both. directory.c keeps it
** in step with the store, and collects the other instances anew whenever it
** has changed.
*/

#ifndef INSTANCE_TABLE_H
#define INSTANCE_TABLE_H

#include "router/records.h"

/* Returns an empty table, to be freed with g_hash_table_destroy. */
GHashTable *instance_table_new(void);
/* Removes the instances whose names are no keys of 'names'. */
void instance_table_keep(GHashTable *table, GHashTable *names);

/* the instances other than this one */
typedef struct OtherInstances {
  GArray *all;      /* mp_Addr: those of all data centres */
  GArray *near;     /* mp_Addr: those of this data centre that answer queries
                    ** for the store's objects (news_codec.h); empty when this
                    ** instance does not answer them */
  GArray *members;  /* RelayMember: the instances of 'near', with their data
                    ** centre and capacity */
  GArray *carriers; /* RelayMember: those of 'all' */
  GArray *far;      /* RelayMember: those of other data centres that answer
                    ** queries for the store's objects; empty when this
                    ** instance does not answer them */
} OtherInstances;

/*
** Fills '*out' from the table, without the instance 'name', whose record is
** 'own'. The caller clears it by other_instances_clear().
*/
void other_instances_collect(OtherInstances *out, GHashTable *table,
                             const char *name, const InstanceRecord *own);
void other_instances_clear(OtherInstances *others);

#endif
