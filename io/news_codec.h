/*
** news_codec.h
** What instances ask each other about the store's objects, over HTTP
**
** A call is GET /news?kind=K for everything of a kind, with &since=R&era=E for
** what has changed after revision R of the store's era E. The answer is JSON:
** era and revision up to which it is whole, and the objects with the texts
** that the store has for them, long ones as changes of the text that stood at
** that position, unless &full=1 is added. With &digest=D, of what the asker
** knows, objects are named alone where that is all there is. Long answers are
** compressed. 503 stands for an instance that does not know the store itself.
*/

#ifndef NEWS_CODEC_H
#define NEWS_CODEC_H

#include "dialect/dialect.h"

#define NEWS_PATH "/news"
/* calls to another instance: LIST and WATCH alone; a watch does not wait */
extern const StoreCodec news_codec;

/* what a call asks for */
typedef struct NewsQuery {
  StoreKind kind;
  FollowerQuery asked;
} NewsQuery;

/* read the query of a call; FALSE when it is none */
gboolean news_read_query(const char *query, NewsQuery *out);
/* the answer's body; g_bytes_unref it */
GBytes *news_write_reply(const StoreReply *reply);
/* the answer's status */
int news_reply_status(const StoreReply *reply);

#endif
