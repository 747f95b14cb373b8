/*
** sockets.c
** Socket addresses, and TCP connections as bufferevents
*/

#include <errno.h>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "io/sockets.h"

struct sockaddr_in socket_address(mp_Addr address) {
  struct sockaddr_in at = {0};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
  at.sin_port = htons((uint16_t)(address & 0xffff));
  return at;
}

gboolean socket_connect(struct bufferevent *events, mp_Addr address) {
  struct sockaddr_in at = socket_address(address);
  return bufferevent_socket_connect(events, (struct sockaddr *)&at,
                                    sizeof at) == 0;
}

void socket_set_options(struct bufferevent *events, int unacked_ms) {
  evutil_socket_t fd = bufferevent_getfd(events);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
             sizeof unacked_ms);
}

void socket_set_keepalive(struct bufferevent *events) {
  evutil_socket_t fd = bufferevent_getfd(events);
  int on = 1;
  int seconds = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
}

gboolean socket_is_unanswered(evutil_socket_t fd, guint32 ms) {
  struct tcp_info info = {0};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return FALSE;
  if (info.tcpi_last_ack_recv < ms)
    return FALSE;
  return info.tcpi_probes > 0 ||
         (info.tcpi_unacked > 0 &&
          info.tcpi_last_ack_recv > info.tcpi_last_data_sent);
}

gboolean socket_may_miss_reset(short what) {
  gboolean is_alone = !(what & (BEV_EVENT_READING | BEV_EVENT_EOF));
  if (!(what & BEV_EVENT_WRITING) || !(what & BEV_EVENT_ERROR))
    return FALSE;
  return !is_alone || EVUTIL_SOCKET_ERROR() != EPIPE;
}

const char *socket_end_name(short what) {
  int error = EVUTIL_SOCKET_ERROR();
  if (what & BEV_EVENT_TIMEOUT)
    return "timeout";
  if (!(what & BEV_EVENT_ERROR))
    return "orderly";
  if (error == ETIMEDOUT)
    return "timeout";
  return error == ECONNRESET || error == EPIPE ? "reset" : "error";
}

guint64 socket_unacknowledged(evutil_socket_t fd) {
  int size = 0;
  if (ioctl(fd, SIOCOUTQ, &size) != 0)
    return 0;
  return (guint64)MAX(size, 0);
}

mp_Addr socket_peer(evutil_socket_t fd) {
  struct sockaddr_in at = {0};
  socklen_t size = sizeof at;
  if (getpeername(fd, (struct sockaddr *)&at, &size) != 0)
    return 0;
  return (mp_Addr)ntohl(at.sin_addr.s_addr) << 16 | ntohs(at.sin_port);
}

gboolean socket_has_input(evutil_socket_t fd) {
  int unread = 0;
  return ioctl(fd, FIONREAD, &unread) == 0 && unread > 0;
}

gboolean socket_has_unaccepted(evutil_socket_t listener) {
  struct pollfd waiting = {listener, POLLIN, 0};
  return poll(&waiting, 1, 0) == 1;
}

gboolean socket_is_peer_closed(evutil_socket_t fd) {
  struct pollfd peer = {fd, POLLRDHUP, 0};
  return poll(&peer, 1, 0) == 1;
}
