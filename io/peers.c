/*
** peers.c
** Other instances, ONC RPC over one UDP socket
*/

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/adapters.h"
#include "wire/rpc.h"

/* datagrams read in one go, before others get their turn */
#define READ_BURST 64

struct Peers {
  Node *node;
  evutil_socket_t fd;
  struct event *ev;
};

static struct sockaddr_in sockaddr(mp_Addr a) {
  struct sockaddr_in s;
  memset(&s, 0, sizeof s);
  s.sin_family = AF_INET;
  s.sin_addr.s_addr = htonl((uint32_t)(a >> 16));
  s.sin_port = htons((uint16_t)(a & 0xffff));
  return s;
}

static mp_Addr fromsockaddr(const struct sockaddr_in *s) {
  return (mp_Addr)ntohl(s->sin_addr.s_addr) << 16 | ntohs(s->sin_port);
}

static void sendraw(Peers *P, mp_Addr to, const char *s, size_t n) {
  struct sockaddr_in sa = sockaddr(to);
  /* a datagram that cannot be sent now is lost like any other */
  (void)sendto(P->fd, s, n, MSG_DONTWAIT, (struct sockaddr *)&sa, sizeof sa);
}

void peers_send(Peers *P, mp_Addr to, const mp_Msg *m) {
  char out[MP_MAXDGRAM];
  size_t n = rpc_encode(m, out, sizeof out);
  g_assert(n > 0); /* limits in mpconf.h keep every message in a datagram */
  sendraw(P, to, out, n);
}

static mp_MsgKind kindof(void *ud, uint32_t seq) {
  const Peers *P = ud;
  return mp_pending(P->node->state, seq);
}

static void took(Peers *P, mp_Addr from, const char *s, size_t n) {
  mp_Msg m;
  char out[MP_MAXDGRAM];
  size_t nout;
  mp_Event e = {0};
  switch (rpc_decode(s, n, kindof, P, &m, out, sizeof out, &nout)) {
  case RPC_CALL:
  case RPC_REPLY:
    e.kind = MP_EV_MSG;
    e.u.msg.from = from;
    e.u.msg.msg = &m;
    node_feed(P->node, &e);
    break;
  case RPC_ANSWER:
    sendraw(P, from, out, nout);
    break;
  case RPC_JUNK:
    break;
  }
}

static void onread(evutil_socket_t fd, short what, void *arg) {
  Peers *P = arg;
  int i;
  (void)what;
  for (i = 0; i < READ_BURST; i++) {
    char in[MP_MAXDGRAM + 1]; /* one more, so that too long ones show */
    struct sockaddr_in sa = {0};
    socklen_t len = sizeof sa;
    ssize_t n = recvfrom(fd, in, sizeof in, MSG_DONTWAIT,
                         (struct sockaddr *)&sa, &len);
    if (n < 0)
      break;
    took(P, fromsockaddr(&sa), in, (size_t)n);
  }
}

Peers *peers_new(Node *node, mp_Addr rpc, GError **err) {
  Peers *P;
  struct sockaddr_in sa = sockaddr(rpc);
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  char text[24];
  if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof sa) < 0) {
    mp_addr_text(rpc, text);
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "rpc: cannot bind %s: %s; choose a free address of this "
                "instance",
                text, g_strerror(errno));
    if (fd >= 0)
      close(fd);
    return NULL;
  }
  P = g_new0(Peers, 1);
  P->node = node;
  P->fd = fd;
  P->ev = event_new(node->base, fd, EV_READ | EV_PERSIST, onread, P);
  event_add(P->ev, NULL);
  return P;
}

void peers_free(Peers *P) {
  event_free(P->ev);
  close(P->fd);
  g_free(P);
}
