/*
** rpc.h
** Messages between instances as ONC RPC datagrams (RFC 5531, RFC 4506)
** The codec is libtirpc's XDR; the bodies are filtered straight from and
** to the core's structs, with every count bounded at decoding.
*/

#ifndef RPC_H
#define RPC_H

#include "madderpier.h"

#define MP_RPC_PROGRAM 0x2006d61dU /* in the range for users */
#define MP_RPC_VERSION 3U

typedef enum RpcDecoded {
  RPC_CALL,        /* a call: '*m' is filled */
  RPC_REPLY,       /* a reply: '*m' is filled */
  RPC_ERROR_REPLY, /* a call that is refused: send 'out' back */
  RPC_INVALID      /* not RPC, or a reply that makes no sense: drop it */
} RpcDecoded;

/* bytes written to 'out', 0 when the message does not fit */
size_t rpc_encode(const mp_Msg *m, char *out, size_t size);

/*
** Read one datagram. 'kindof' tells the procedure of the call that has
** this number, since a reply does not carry it; 0 when there is none.
*/
typedef mp_MsgKind (*RpcKindOf)(void *ud, uint32_t seq);
RpcDecoded rpc_decode(const char *in, size_t n, RpcKindOf kindof, void *ud,
                      mp_Msg *m, char *out, size_t size, size_t *nout);

#endif
