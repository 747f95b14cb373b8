/*
** news_codec.h
** What instances ask each other about the store's objects, over HTTP
**
** A call is GET /news?kind=K for everything of a kind, with &since=R for
** what has changed after revision R. The answer is JSON: the revision up
** to which it is whole, and the objects with the texts that the store has
** for them. 503 stands for an instance that does
** not know the store itself, or would have more than NEWS_MOST to send.
*/

#ifndef NEWS_CODEC_H
#define NEWS_CODEC_H

#include "dialect/dialect.h"

#define NEWS_PATH "/news"
/* the largest answer with changes, bytes; 20 members that ask at once for so
** much take a link of 10 Mbit/s half a second, half of what they wait */
#define NEWS_MOST (32 << 10)

/* calls to another instance: LIST and WATCH alone; a watch does not wait */
extern const StoreCodec news_codec;

/* read the query of a call; FALSE when it is none */
gboolean news_read_query(const char *query, StoreKind *kind, gint64 *since);
/* the answer's body; free it */
char *news_write_reply(const StoreReply *reply);
/* the answer's status; 503 also for a body that is too large to send, which
** the caller then gets from the store */
int news_status(const StoreReply *reply, gsize size);

#endif
