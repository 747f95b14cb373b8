/*
** news_codec.h
** Encoding of the HTTP queries by which an instance reads another instance's
** copy of the store's objects
**
** GET /news?kind=K requests all objects of a kind (StoreKind). With
** &since=R&era=E it requests those that have changed after revision R of the
** store's era E (router/store_position.h). The response is JSON: the era and
** the revision up to which it is complete, and the objects with their texts in
** the store. A long text is sent as a patch of the text at the position that
** was asked for, unless &full=1 is added. &digest=D is a digest of the objects
** that the requester has. If it equals the responder's digest, or the changes
** since R are not known any more, the response names all objects, without the
** texts of those that have not changed. Long responses are compressed. The
** status 503 means that the instance has no copy of the objects. Used by
** following.c (the client) and status_server.c (the server).
*/

#ifndef NEWS_CODEC_H
#define NEWS_CODEC_H

#include "dialect/dialect.h"

#define NEWS_PATH "/news"
/*
** The codec for calls to another instance (store_link.h). It supports the
** operations STORE_LIST and STORE_WATCH only. A watch is answered at once,
** also when there is no change.
*/
extern const StoreCodec news_codec;

/* A query as news_read_query() has parsed it. */
typedef struct NewsQuery {
  StoreKind kind;
  FollowerQuery asked;
} NewsQuery;

/*
** Parses the query part of a URI, which may be NULL. Returns FALSE when it is
** not valid; '*out' must not be used then.
*/
gboolean news_read_query(const char *query, NewsQuery *out);
/* The body of the response; the caller frees it by g_bytes_unref. */
GBytes *news_write_reply(const StoreReply *reply);
/* The HTTP status of the response. */
int news_reply_status(const StoreReply *reply);

#endif
