/*
** news_codec.h
** Encoding of the queries for the store's objects that instances send to each
** other, over HTTP
**
** GET /news?kind=K requests all objects of a kind (StoreKind); with
** &since=R&era=E, those that have changed after revision R of the store's era
** E (router/store_position.h). The response is JSON: the era and the revision
** up to which it is complete, and the objects with their texts in the store.
** Long texts are sent as changes of the text at the position that was asked
** for, unless &full=1 is added. &digest=D is a digest of the objects that the
** requester has. If it equals the responder's digest, or the changes since R
** are not known any more, the response names all objects, without the texts of
** those that have not changed. Long responses are compressed. The status 503
** means that the instance has no copy of the objects. Used by following.c (the
** client) and status_server.c (the server).
*/

#ifndef NEWS_CODEC_H
#define NEWS_CODEC_H

#include "dialect/dialect.h"

#define NEWS_PATH "/news"
/*
** The codec for calls to another instance (store_link.h). It supports the
** operations STORE_LIST and STORE_WATCH only, and a watch does not wait.
*/
extern const StoreCodec news_codec;

/* a parsed query */
typedef struct NewsQuery {
  StoreKind kind;
  FollowerQuery asked;
} NewsQuery;

/*
** Parses the query of a URI, which may be NULL. Returns FALSE when it is not
** valid; '*out' must not be used then.
*/
gboolean news_read_query(const char *query, NewsQuery *out);
/* The body of the response; the caller frees it by g_bytes_unref. */
GBytes *news_write_reply(const StoreReply *reply);
/* The HTTP status of the response. */
int news_reply_status(const StoreReply *reply);

#endif
