/*
** rpc.h
** Messages between instances as ONC RPC datagrams (RFC 5531, RFC 4506)
**
** Encodes and decodes mp_Msg (include/mpmessage.h) with libtirpc's XDR,
** directly from and to the struct. Decoding bounds every count, so a decoded
** message never counts rows beyond its arrays, whatever the datagram holds.
** The functions keep no state and may be called from any thread. io/peers.c
** and io/load_exchange.c use them.
*/

#ifndef RPC_H
#define RPC_H

#include "madderpier.h"

#define MP_RPC_PROGRAM \
  0x2006d61dU /* in the range that RFC 5531 leaves to users */
#define MP_RPC_VERSION 3U

/* what a datagram was, and what to do with it */
typedef enum RpcDecoded {
  RPC_CALL,        /* a call: '*m' is set */
  RPC_REPLY,       /* a reply to an open call: '*m' is set */
  RPC_ERROR_REPLY, /* a call that is refused: send 'out' to its sender */
  RPC_INVALID      /* not RPC, or a reply to no open call: drop it */
} RpcDecoded;

/* encodes '*m' into 'out' of 'size' bytes; returns the length in bytes, 0 when
** the message does not fit */
size_t rpc_encode(const mp_Msg *m, char *out, size_t size);

/* the kind of the open call with number 'seq', 0 when there is none; needed
** since a reply does not carry its procedure. 'ud' is that of rpc_decode. */
typedef mp_MsgKind (*RpcKindOf)(void *ud, uint32_t seq);

/*
** Decodes a datagram 'in' of 'n' bytes. '*nout' is the length of the error
** reply in 'out' ('size' bytes, the caller's), and 0 unless the result is
** RPC_ERROR_REPLY. A datagram longer than MP_DATAGRAM_MAX is invalid.
*/
RpcDecoded rpc_decode(const char *in, size_t n, RpcKindOf kind_of, void *ud,
                      mp_Msg *m, char *out, size_t size, size_t *nout);

#endif
