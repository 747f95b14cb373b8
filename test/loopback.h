/*
** loopback.h
** Raw TCP peers on loopback for the carriers of io/, on one event loop
*/

#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <arpa/inet.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "madderpier.h"

namespace loopback {

/* one connection, written and read by hand */
class Peer {
public:
  explicit Peer(int socket) : fd(socket) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  }
  ~Peer() {
    close_now();
  }
  Peer(const Peer &) = delete;
  Peer &operator=(const Peer &) = delete;

  void read_some() {
    char bytes[65536];
    while (fd >= 0 && reading) {
      ssize_t n = recv(fd, bytes, sizeof bytes, 0);
      if (n > 0)
        got.append(bytes, static_cast<size_t>(n));
      else {
        ended = ended || n == 0 || (errno != EAGAIN && errno != EINTR);
        return;
      }
    }
  }
  void send_text(const std::string &text) {
    ssize_t n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    sent_all = n == static_cast<ssize_t>(text.size());
  }
  void close_now() {
    if (fd >= 0)
      close(fd);
    fd = -1;
  }
  /* the peer sees a reset, not an end */
  void reset() {
    struct linger hard = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close_now();
  }

  int fd;
  std::string got;
  bool ended = false;
  bool reading = true;
  bool sent_all = false;
};

/* a listener whose connections are Peers */
class Listener {
public:
  Listener() {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    bind(fd, reinterpret_cast<struct sockaddr *>(&at), sizeof at);
    listen(fd, 16);
    getsockname(fd, reinterpret_cast<struct sockaddr *>(&at), &size);
    address = static_cast<mp_Addr>(INADDR_LOOPBACK) << 16 | ntohs(at.sin_port);
  }
  ~Listener() {
    close(fd);
  }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  void work() {
    int peer;
    while ((peer = accept(fd, nullptr, nullptr)) >= 0)
      peers.push_back(std::make_unique<Peer>(peer));
    for (auto &one : peers)
      one->read_some();
  }

  int fd;
  mp_Addr address;
  std::vector<std::unique_ptr<Peer>> peers;
};

/* run the loop until 'done', at most for two seconds; was it done? */
inline bool until(struct event_base *base, const std::function<void()> &work,
                  const std::function<bool()> &done) {
  for (int i = 0; i < 2000; i++) {
    work();
    event_base_loop(base, EVLOOP_NONBLOCK);
    if (done())
      return true;
    usleep(1000);
  }
  return false;
}

/* a connection to a server of the test's own */
inline std::unique_ptr<Peer> call(mp_Addr address) {
  struct sockaddr_in at = {};
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(static_cast<uint32_t>(address >> 16));
  at.sin_port = htons(static_cast<uint16_t>(address & 0xffff));
  connect(fd, reinterpret_cast<struct sockaddr *>(&at), sizeof at);
  return std::make_unique<Peer>(fd);
}

} // namespace loopback

#endif
