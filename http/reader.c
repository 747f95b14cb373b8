/*
** reader.c
** Reads HTTP/1.1 messages from a byte stream with http_parser
*/

#include <string.h>

#include <http_parser.h>

#include "http/reader.h"

/* Bytes of a field beside its name and its value, at least: a colon, CR, LF.
 */
#define FIELD_EXTRA_BYTES 3

/* Capacity (bytes) that a text keeps from one message to the next. */
#define TEXT_KEPT_BYTES 1024

#define STATUS_DIGITS 3

struct HttpReader {
  http_parser parser;
  http_parser_settings settings;
  HttpReaderCallbacks callbacks;
  void *data;
  HttpReaderState state;
  HttpReaderError error;
  HttpHead *head; /* being read; NULL once passed to the callback */
  GString *name, *value, *target; /* what was read of each so far */
  gboolean in_value;              /* the bytes read last belong to a value */
  gboolean no_body;
  gboolean at_head_end;   /* the parser is paused at the last byte of a head */
  gboolean has_head;      /* the head of the message was passed on */
  unsigned status_spaces; /* read of the status line, before its third part */
  unsigned status_digits; /* bytes of its second part */
  gboolean after_cr;      /* the byte of a head that was read last is a CR */
  gboolean keep_alive;
  size_t head_limit, body_limit; /* in bytes, inclusive; 0: none */
  size_t head_bytes, body_bytes; /* read of the current message */
};

/*
** {==================================================================
** Callbacks of the parser: a result other than 0 stops it, except that
** on_headers_complete returns 1 for "no body follows"
** ===================================================================
*/

static HttpReader *reader_of(http_parser *parser) {
  return parser->data;
}

/* Records why the message can't be read. Returns -1, the result by which a
** callback stops the parser. */
static int fail(HttpReader *reader, HttpReaderError error) {
  reader->error = error;
  return -1;
}

static int count_head_bytes(HttpReader *reader, size_t size) {
  reader->head_bytes += size;
  if (reader->head_limit > 0 && reader->head_bytes > reader->head_limit)
    return fail(reader, HTTP_ERROR_HEAD_TOO_LARGE);
  return 0;
}

static int on_message_begin(http_parser *parser) {
  HttpReader *reader = reader_of(parser);
  http_head_free(reader->head);
  reader->head = http_head_new();
  reader->state = HTTP_READER_PARTIAL;
  reader->in_value = FALSE;
  reader->head_bytes = 0;
  reader->body_bytes = 0;
  g_string_truncate(reader->name, 0);
  g_string_truncate(reader->value, 0);
  g_string_truncate(reader->target, 0);
  return 0;
}

static int on_target(http_parser *parser, const char *bytes, size_t size) {
  HttpReader *reader = reader_of(parser);
  g_string_append_len(reader->target, bytes, (gssize)size);
  return count_head_bytes(reader, size);
}

/* Adds the field that was read, if any, to the head. Trailer fields are
** dropped, because they come after the head was passed on. */
static void add_field(HttpReader *reader) {
  if (reader->name->len > 0 && reader->head != NULL)
    http_head_add(reader->head, reader->name->str, reader->value->str);
  g_string_truncate(reader->name, 0);
  g_string_truncate(reader->value, 0);
}

static int on_name(http_parser *parser, const char *bytes, size_t size) {
  HttpReader *reader = reader_of(parser);
  size_t size_counted = size;
  /* The parser lets spaces pass. A recipient that ignores one would see a
  ** different field, such as another length (RFC 9112, 5.1). */
  if (memchr(bytes, ' ', size) != NULL)
    return fail(reader, HTTP_ERROR_SYNTAX);
  if (reader->in_value) {
    add_field(reader);
    reader->in_value = FALSE;
  }
  if (reader->name->len == 0)
    size_counted += FIELD_EXTRA_BYTES;
  g_string_append_len(reader->name, bytes, (gssize)size);
  return count_head_bytes(reader, size_counted);
}

static int on_value(http_parser *parser, const char *bytes, size_t size) {
  HttpReader *reader = reader_of(parser);
  reader->in_value = TRUE;
  g_string_append_len(reader->value, bytes, (gssize)size);
  return count_head_bytes(reader, size);
}

/* Does the head have two lengths, two transfer codings, or one of each? Then
** endpoints and this reader could disagree about where the message ends. */
static gboolean is_framing_ambiguous(const HttpHead *head) {
  unsigned lengths = http_head_count(head, "Content-Length");
  unsigned encodings = http_head_count(head, "Transfer-Encoding");
  return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);
}

/*
** Is the transfer coding of the body, if there is one, known here? Only
** "chunked" is. Who does not know a coding cannot tell whether the body is
** whole, and the parser would read a response up to the end of the stream
** (RFC 9112, 6.1 and 6.3). HTTP/1.0 has no transfer codings.
*/
static gboolean is_coding_known(const http_parser *parser,
                                const HttpHead *head) {
  const char *coding = http_head_get(head, "Transfer-Encoding");
  char *name;
  gboolean is_chunked;
  if (coding == NULL)
    return TRUE;
  name = g_strstrip(g_strdup(coding));
  is_chunked = g_ascii_strcasecmp(name, "chunked") == 0;
  g_free(name);
  return is_chunked && (parser->flags & F_CHUNKED) != 0 &&
         parser->http_major == 1 && parser->http_minor >= 1;
}

/* Is this a status that a response may have here? Another one is no answer
** (RFC 9110, 15). 101 answers an upgrade, and none is asked for. */
static gboolean is_status_valid(unsigned status) {
  return status >= 100 && status <= 599 && status != 101;
}

/* Pauses the parser, so that the bytes of the head are checked before it is
** passed on (has_bare_cr). Returns 1 to tell it that no body follows, -1 to
** stop it. */
static int on_headers_complete(http_parser *parser) {
  HttpReader *reader = reader_of(parser);
  HttpHead *head = reader->head;
  add_field(reader);
  if (head == NULL || is_framing_ambiguous(head) ||
      !is_coding_known(parser, head)) {
    fail(reader, HTTP_ERROR_SYNTAX);
    return -1;
  }
  if (parser->type == HTTP_REQUEST) {
    /* No other protocol is spoken here, so an offered upgrade is ignored
    ** (RFC 9110, 7.8). The parser would end at this message. */
    if (parser->method != HTTP_CONNECT)
      parser->upgrade = 0;
    head->method = g_strdup(http_method_str(parser->method));
    head->target = g_strdup(reader->target->str);
  } else if (is_status_valid(parser->status_code))
    head->status = parser->status_code;
  else
    return fail(reader, HTTP_ERROR_SYNTAX);
  reader->at_head_end = TRUE;
  http_parser_pause(parser, 1);
  return reader->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t size) {
  HttpReader *reader = reader_of(parser);
  reader->body_bytes += size;
  if (reader->body_limit > 0 && reader->body_bytes > reader->body_limit)
    return fail(reader, HTTP_ERROR_BODY_TOO_LARGE);
  reader->callbacks.body(reader->data, bytes, size);
  return 0;
}

/* Pauses the parser, so that it leaves the bytes behind the message. */
static int on_message_complete(http_parser *parser) {
  HttpReader *reader = reader_of(parser);
  reader->state = HTTP_READER_DONE;
  reader->keep_alive = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

/* }================================================================== */

HttpReader *http_reader_new(HttpReaderKind kind,
                            const HttpReaderCallbacks *callbacks, void *data) {
  HttpReader *reader = g_new0(HttpReader, 1);
  http_parser_settings_init(&reader->settings);
  reader->settings.on_message_begin = on_message_begin;
  reader->settings.on_url = on_target;
  reader->settings.on_header_field = on_name;
  reader->settings.on_header_value = on_value;
  reader->settings.on_headers_complete = on_headers_complete;
  reader->settings.on_body = on_body;
  reader->settings.on_message_complete = on_message_complete;
  http_parser_init(&reader->parser,
                   kind == HTTP_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->callbacks = *callbacks;
  reader->data = data;
  reader->name = g_string_new(NULL);
  reader->value = g_string_new(NULL);
  reader->target = g_string_new(NULL);
  return reader;
}

void http_reader_free(HttpReader *reader) {
  if (reader == NULL)
    return;
  http_head_free(reader->head);
  g_string_free(reader->name, TRUE);
  g_string_free(reader->value, TRUE);
  g_string_free(reader->target, TRUE);
  g_free(reader);
}

void http_reader_set_limits(HttpReader *reader, size_t head_bytes,
                            size_t body_bytes) {
  reader->head_limit = head_bytes;
  reader->body_limit = body_bytes;
}

void http_reader_expect_no_body(HttpReader *reader) {
  reader->no_body = TRUE;
}

/* Frees what a text has grown to. */
static void shrink_text(GString **text) {
  if ((*text)->allocated_len <= TEXT_KEPT_BYTES) {
    g_string_truncate(*text, 0);
    return;
  }
  g_string_free(*text, TRUE);
  *text = g_string_new(NULL);
}

static size_t execute(HttpReader *reader, const char *bytes, size_t size) {
  return http_parser_execute(&reader->parser, &reader->settings, bytes, size);
}

/*
** Is there a CR without an LF behind it in these next bytes of a head? Built
** without HTTP_PARSER_STRICT, as in packages, the parser takes any byte behind
** a CR for the end of the status line and of the head, so that the fields
** behind a damaged line would be a body.
*/
static gboolean has_bare_cr(HttpReader *reader, const char *bytes,
                            size_t size) {
  size_t i;
  for (i = 0; i < size; i++) {
    if (reader->after_cr && bytes[i] != '\n')
      return TRUE;
    reader->after_cr = bytes[i] == '\r';
  }
  return FALSE;
}

/* Counts the digits of the status in these next bytes of a response's head.
** The parser takes "0200" for 200. */
static void count_status_digits(HttpReader *reader, const char *bytes,
                                size_t size) {
  size_t i;
  for (i = 0; i < size && reader->status_spaces < 2; i++) {
    gboolean is_space = bytes[i] == ' ';
    if (is_space || bytes[i] == '\r' || bytes[i] == '\n')
      reader->status_spaces += is_space ? 1 : 2;
    else if (reader->status_spaces == 1)
      reader->status_digits++;
  }
}

/* Are these next bytes of a head, which the parser accepts, wrong? */
static gboolean is_head_wrong(HttpReader *reader, const char *bytes,
                              size_t size) {
  if (has_bare_cr(reader, bytes, size))
    return TRUE;
  if (reader->parser.type != HTTP_RESPONSE)
    return FALSE;
  count_status_digits(reader, bytes, size);
  return reader->at_head_end && reader->status_digits != STATUS_DIGITS;
}

/* Passes the head on, and lets the parser continue. */
static void pass_head(HttpReader *reader) {
  HttpHead *head = reader->head;
  reader->at_head_end = FALSE;
  reader->has_head = TRUE;
  reader->head = NULL;
  shrink_text(&reader->name);
  shrink_text(&reader->value);
  shrink_text(&reader->target);
  reader->callbacks.head(reader->data, head);
  http_parser_pause(&reader->parser, 0);
}

size_t http_reader_feed(HttpReader *reader, const char *bytes, size_t size) {
  size_t used;
  if (reader->state == HTTP_READER_FAILED || reader->state == HTTP_READER_DONE)
    return 0;
  used = execute(reader, bytes, size);
  if (!reader->has_head &&
      is_head_wrong(reader, bytes, reader->at_head_end ? used + 1 : used)) {
    reader->state = HTTP_READER_FAILED;
    if (reader->error == HTTP_ERROR_NONE)
      reader->error = HTTP_ERROR_SYNTAX;
    return used;
  }
  if (reader->at_head_end) {
    pass_head(reader);
    used += execute(reader, bytes + used, size - used);
  }
  if (reader->state == HTTP_READER_DONE)
    return used;
  if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK || reader->parser.upgrade) {
    reader->state = HTTP_READER_FAILED;
    if (reader->error == HTTP_ERROR_NONE)
      reader->error = HTTP_ERROR_SYNTAX;
  }
  return used;
}

void http_reader_handle_eof(HttpReader *reader) {
  if (reader->state != HTTP_READER_PARTIAL)
    return;
  http_parser_execute(&reader->parser, &reader->settings, NULL, 0);
  if (reader->state != HTTP_READER_DONE)
    reader->state = HTTP_READER_FAILED;
}

void http_reader_start_next(HttpReader *reader) {
  g_assert(reader->state == HTTP_READER_DONE);
  http_parser_pause(&reader->parser, 0);
  reader->state = HTTP_READER_IDLE;
  reader->has_head = FALSE;
  reader->after_cr = FALSE;
  reader->status_spaces = 0;
  reader->status_digits = 0;
  if (reader->parser.type != HTTP_RESPONSE ||
      reader->parser.status_code >= 200)
    reader->no_body = FALSE;
}

gsize http_reader_size(const HttpReader *reader) {
  gsize texts = reader->name->allocated_len + reader->value->allocated_len +
                reader->target->allocated_len;
  return texts + (reader->head != NULL ? http_head_size(reader->head) : 0);
}

void http_reader_discard(HttpReader *reader) {
  http_head_free(reader->head);
  reader->head = NULL;
  shrink_text(&reader->name);
  shrink_text(&reader->value);
  shrink_text(&reader->target);
  reader->state = HTTP_READER_FAILED;
}

HttpReaderState http_reader_state(const HttpReader *reader) {
  return reader->state;
}

HttpReaderError http_reader_error(const HttpReader *reader) {
  return reader->error;
}

gboolean http_reader_keep_alive(const HttpReader *reader) {
  return reader->keep_alive;
}
