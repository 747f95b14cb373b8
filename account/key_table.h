/*
** key_table.h
** Finds the client account that an API key belongs to
**
** Invariant: keys are kept and compared as SHA-256 digests alone. The time
** that a look-up takes thus tells something about a digest at most, and no
** key follows from a digest.
*/

#ifndef ACCOUNT_KEY_TABLE_H
#define ACCOUNT_KEY_TABLE_H

#include <glib.h>

typedef struct KeyTable KeyTable;

/* Returns an empty table, which key_table_free frees. */
KeyTable *key_table_new(void);

/* Frees the table; NULL is allowed. */
void key_table_free(KeyTable *table);

/*
** Adds a key. 'digest' is its SHA-256 in hexadecimal, as mp_digest writes
** it, and is copied; 'account' is the index of the account that has the key,
** in the configuration's list of accounts. A key that is added twice belongs
** to the account that was added with it first.
*/
void key_table_add(KeyTable *table, const char *digest, guint account);

/*
** Looks up the key with this digest. Writes the index of its account to
** '*account' and returns TRUE, or returns FALSE and leaves '*account' alone
** when no account has the key.
*/
gboolean key_table_find(const KeyTable *table, const char *digest,
                        guint *account);

#endif
