/*
** carry_client.c
** The asking side of a carried connection
*/

#include <string.h>

#include "io/carry_client.h"
#include "wire/rpc.h"

/* number of the call; there is one for each connection */
#define CALL_SEQUENCE 1
/* A verdict is one small message; more bytes are none. */
#define VERDICT_BYTES_MAX MP_DATAGRAM_MAX

CarryClient *carry_client_new(void) {
  CarryClient *client = g_new0(CarryClient, 1);
  client->input = evbuffer_new();
  return client;
}

void carry_client_free(CarryClient *client) {
  if (client == NULL)
    return;
  evbuffer_free(client->input);
  g_free(client);
}

void carry_client_call(struct bufferevent *events, guint32 endpoint,
                       gint64 timeout) {
  mp_Msg message;
  char bytes[MP_DATAGRAM_MAX];
  struct evbuffer *call = evbuffer_new();
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_CARRY;
  message.seq = CALL_SEQUENCE;
  message.u.carry.endpoint = endpoint;
  message.u.carry.timeout_ms = (uint32_t)(timeout / MP_MS);
  evbuffer_add(call, bytes, rpc_encode(&message, bytes, sizeof bytes));
  record_write(bufferevent_get_output(events), call, TRUE);
  evbuffer_free(call);
}

static mp_MsgKind expected_reply(void *data, uint32_t sequence) {
  (void)data;
  return sequence == CALL_SEQUENCE ? MP_MSG_CARRY : (mp_MsgKind)0;
}

/* Reads the carrier's reply, which is all of client->input. */
static void read_verdict(CarryClient *client) {
  mp_Msg message;
  char error[MP_DATAGRAM_MAX];
  size_t error_size;
  size_t size = evbuffer_get_length(client->input);
  const char *bytes = (const char *)evbuffer_pullup(client->input, -1);
  client->state = CARRY_FAILED;
  if (size > 0 && rpc_decode(bytes, size, expected_reply, NULL, &message,
                             error, sizeof error, &error_size) == RPC_REPLY) {
    client->verdict = (CarryVerdict)message.u.carry.verdict;
    client->state =
        client->verdict == CARRY_CONNECTED ? CARRY_OPEN : CARRY_REFUSED;
  }
  evbuffer_drain(client->input, size);
}

void carry_client_read(CarryClient *client, struct bufferevent *events) {
  struct evbuffer *in = bufferevent_get_input(events);
  RecordState state;
  if (client->state == CARRY_WAITING) {
    state = record_read(&client->reader, in, client->input);
    if (state == RECORD_BAD ||
        evbuffer_get_length(client->input) > VERDICT_BYTES_MAX)
      client->state = CARRY_FAILED;
    else if (state == RECORD_END)
      read_verdict(client);
  }
  if (client->state != CARRY_OPEN)
    return;
  state = record_read(&client->reader, in, client->input);
  if (state == RECORD_BAD)
    client->state = CARRY_FAILED;
  if (state == RECORD_END)
    client->state = CARRY_ENDED;
}

void carry_client_write(struct bufferevent *events, const char *id,
                        struct evbuffer *message) {
  if (id != NULL)
    record_write_note(bufferevent_get_output(events), id);
  record_write(bufferevent_get_output(events), message, FALSE);
}

gboolean carry_client_is_leaving(const CarryClient *client) {
  return client->reader.is_leaving;
}

gboolean carry_client_endpoint_refused(const CarryClient *client) {
  return client->state == CARRY_REFUSED &&
         client->verdict == CARRY_UNREACHABLE;
}
