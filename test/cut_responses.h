/*
** cut_responses.h
** Forms of responses, which tests cut at each byte, and how peers end their
** connections after them
*/

#ifndef CUT_RESPONSES_H
#define CUT_RESPONSES_H

#include <glib.h>

#include <string>
#include <vector>

namespace cut {

/* How a peer ends its connection. */
enum class End { CLOSE, RESET, HALF_CLOSE, SILENCE };

inline const char *end_name(End end) {
  static const char *const names[] = {"close", "reset", "half-close",
                                      "silence, then close"};
  return names[static_cast<int>(end)];
}

/* How the head of a response delimits its body. */
enum class Framing { LENGTH, CHUNKED, CLOSE, UNKNOWN };

struct Form {
  std::string name;
  Framing framing;
  std::string before;  /* interim responses */
  std::string version; /* of the protocol */
  std::string field;   /* of the framing */
};

inline const std::vector<Form> forms = {
    {"length", Framing::LENGTH, "", "1.1", ""},
    {"chunked", Framing::CHUNKED, "", "1.1", "Transfer-Encoding: chunked\r\n"},
    {"neither", Framing::CLOSE, "", "1.1", ""},
    {"neither, HTTP/1.0", Framing::CLOSE, "", "1.0", ""},
    {"length, HTTP/1.0", Framing::LENGTH, "", "1.0", ""},
    {"chunked, HTTP/1.0", Framing::UNKNOWN, "", "1.0",
     "Transfer-Encoding: chunked\r\n"},
    {"chun", Framing::UNKNOWN, "", "1.1", "Transfer-Encoding: chun\r\n"},
    {"gzip", Framing::UNKNOWN, "", "1.1", "Transfer-Encoding: gzip\r\n"},
    {"gzip, chunked", Framing::UNKNOWN, "", "1.1",
     "Transfer-Encoding: gzip, chunked\r\n"},
    {"empty coding", Framing::UNKNOWN, "", "1.1", "Transfer-Encoding: \r\n"},
    {"interim, length", Framing::LENGTH, "HTTP/1.1 100 Continue\r\n\r\n",
     "1.1", ""},
    {"interim, neither", Framing::CLOSE,
     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "1.1", ""},
};

inline std::string chunk(const std::string &bytes) {
  char size[16];
  g_snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

struct Response {
  std::string text;
  size_t body_at; /* offset of the first byte behind the head */
};

inline Response response(const Form &form, const std::string &body,
                         bool is_stream) {
  Response out;
  out.text = form.before + "HTTP/" + form.version +
             " 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n" + form.field;
  if (form.framing == Framing::LENGTH)
    out.text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (is_stream)
    out.text += "Content-Type: text/event-stream\r\n";
  out.text += "\r\n";
  out.body_at = out.text.size();
  if (form.field.find("chunked") != std::string::npos)
    out.text += chunk(body) + "0\r\n\r\n";
  else
    out.text += body;
  return out;
}

/* May the first 'size' bytes of the response, followed by 'end', be whole? */
inline bool may_be_whole(const Form &form, const Response &from, size_t size,
                         End end) {
  if (size < from.body_at || form.framing == Framing::UNKNOWN)
    return false;
  if (form.framing == Framing::CLOSE)
    return end != End::RESET;
  return size == from.text.size();
}

} // namespace cut

#endif
