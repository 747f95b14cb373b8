/*
** datagram.c
** Fuzz target: datagrams between instances. What is read can be written again
*/

#include <stdlib.h>

#include "wire/rpc.h"

static mp_MsgKind any_kind(void *data, uint32_t sequence) {
  (void)data;
  return (mp_MsgKind)(sequence % MP_MSG_LAST);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  mp_Msg message;
  char answer[MP_DATAGRAM_MAX];
  char again[MP_DATAGRAM_MAX];
  size_t answer_size = 0;
  RpcDecoded taken = rpc_decode((const char *)data, size, any_kind, NULL,
                                &message, answer, sizeof answer, &answer_size);
  if (taken == RPC_CALL && rpc_encode(&message, again, sizeof again) == 0)
    abort();
  return 0;
}
