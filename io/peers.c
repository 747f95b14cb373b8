/*
** peers.c
** Messages to and from other instances: ONC RPC over one UDP socket
*/

#include <string.h>
#include <unistd.h>

#include "io/adapters.h"
#include "io/datagram.h"
#include "wire/rpc.h"

/* limit of datagrams read before other events of the loop are handled */
#define READ_BURST 64

struct Peers {
  Node *node;
  evutil_socket_t fd;
  struct event *ev;
};

void peers_send(Peers *P, mp_Addr to, const mp_Msg *m) {
  char out[MP_DATAGRAM_MAX];
  size_t n = rpc_encode(m, out, sizeof out);
  /* the limits in mpconf.h let every message fit into a datagram */
  g_assert(n > 0);
  datagram_send(P->fd, to, out, n);
}

/* The kind of the call with the number 'seq' whose reply is awaited. */
static mp_MsgKind pending_call_kind(void *ud, uint32_t seq) {
  const Peers *P = ud;
  return mp_pending_call_kind(P->node->state, seq);
}

static void handle_datagram(Peers *P, mp_Addr from, const char *s, size_t n) {
  mp_Msg m;
  char out[MP_DATAGRAM_MAX];
  size_t nout;
  mp_Event e = {0};
  switch (rpc_decode(s, n, pending_call_kind, P, &m, out, sizeof out, &nout)) {
  case RPC_CALL:
  case RPC_REPLY:
    e.kind = MP_EV_MSG;
    e.u.msg.from = from;
    e.u.msg.msg = &m;
    node_feed(P->node, &e);
    break;
  case RPC_ERROR_REPLY:
    datagram_send(P->fd, from, out, nout);
    break;
  case RPC_INVALID:
    break;
  }
}

static void on_readable(evutil_socket_t fd, short what, void *arg) {
  Peers *P = arg;
  int i;
  (void)what;
  for (i = 0; i < READ_BURST; i++) {
    char in[MP_DATAGRAM_MAX +
            1]; /* 1 more, to detect datagrams that are longer */
    mp_Addr from;
    ssize_t n = datagram_receive(fd, in, sizeof in, &from);
    if (n < 0)
      break;
    handle_datagram(P, from, in, (size_t)n);
  }
}

Peers *peers_new(Node *node, mp_Addr rpc, GError **err) {
  Peers *P;
  int fd = datagram_open(rpc, "rpc", err);
  if (fd < 0)
    return NULL;
  P = g_new0(Peers, 1);
  P->node = node;
  P->fd = fd;
  P->ev = event_new(node->base, fd, EV_READ | EV_PERSIST, on_readable, P);
  event_add(P->ev, NULL);
  return P;
}

void peers_free(Peers *P) {
  event_free(P->ev);
  close(P->fd);
  g_free(P);
}
