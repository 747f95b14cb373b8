/*
** datagram.c
** UDP datagrams between instances
*/

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/datagram.h"
#include "io/sockets.h"

int datagram_open(mp_Addr address, const char *what, GError **error) {
  struct sockaddr_in at = socket_address(address);
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  char text[24];
  if (fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  mp_addr_text(address, text);
  g_set_error(error, MP_ERROR, MP_ERR_SETTINGS,
              "%s: cannot bind %s: %s; choose a free address of this instance",
              what, text, g_strerror(errno));
  if (fd >= 0)
    close(fd);
  return -1;
}

void datagram_send(int fd, mp_Addr to, const char *bytes, size_t size) {
  struct sockaddr_in at = socket_address(to);
  (void)sendto(fd, bytes, size, MSG_DONTWAIT, (struct sockaddr *)&at,
               sizeof at);
}

ssize_t datagram_receive(int fd, char *bytes, size_t size, mp_Addr *from) {
  struct sockaddr_in at = {0};
  socklen_t length = sizeof at;
  ssize_t got =
      recvfrom(fd, bytes, size, MSG_DONTWAIT, (struct sockaddr *)&at, &length);
  *from = (mp_Addr)ntohl(at.sin_addr.s_addr) << 16 | ntohs(at.sin_port);
  return got;
}
