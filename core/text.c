/*
** text.c
** Addresses, request tokens and digests as text, and back
*/

#include <stdio.h>
#include <string.h>

#include "madderpier.h"

/* writes "a.b.c.d:port" */
void mp_addr_text(mp_Addr a, char out[24]) {
  unsigned ip = (unsigned)(a >> 16);
  snprintf(out, 24, "%u.%u.%u.%u:%u", ip >> 24, (ip >> 16) & 255,
           (ip >> 8) & 255, ip & 255, (unsigned)(a & 0xffff));
}

/*
** 0 when the text is not exactly an address with a port above 0, as
** mp_addr_text writes it. Numbers with leading zeros are refused: other
** readers take them as octal, and would name another machine.
*/
mp_Addr mp_addr_parse(const char *s) {
  unsigned b[4];
  unsigned port;
  char plain[24];
  int used = 0;
  int i;
  mp_Addr a = 0;
  /* sscanf alone would accept blanks and signs before each number */
  if (s == NULL || s[strspn(s, "0123456789.:")] != '\0' ||
      sscanf(s, "%3u.%3u.%3u.%3u:%5u%n", &b[0], &b[1], &b[2], &b[3], &port,
             &used) != 5)
    return 0;
  if (s[used] != '\0' || port == 0 || port > 65535)
    return 0;
  for (i = 0; i < 4; i++) {
    if (b[i] > 255)
      return 0;
    a = (a << 8) | b[i];
  }
  a = (a << 16) | port;
  mp_addr_text(a, plain);
  return strcmp(plain, s) == 0 ? a : 0;
}

/* writes "owner-start-seq.attempt": the first three in hexadecimal */
void mp_token_text(const mp_Token *t, uint32_t attempt, char out[64]) {
  snprintf(out, 64, "%012" G_GINT64_MODIFIER "x-%08x-%08x.%u",
           (guint64)t->owner, t->start, t->seq, attempt);
}

/* 0 when the text is none of mp_token_text; the results stay unset then */
int mp_token_parse(const char *s, mp_Token *t, uint32_t *attempt) {
  guint64 owner;
  unsigned start;
  unsigned seq;
  unsigned no;
  int used = 0;
  if (s == NULL || sscanf(s, "%12" G_GINT64_MODIFIER "x-%8x-%8x.%9u%n", &owner,
                          &start, &seq, &no, &used) != 4)
    return 0;
  if (s[used] != '\0')
    return 0;
  t->owner = owner;
  t->start = start;
  t->seq = seq;
  *attempt = no;
  return 1;
}

/* the SHA-256 of 'n' bytes in hexadecimal */
void mp_digest(const char *s, size_t n, char out[MP_SHA256_HEX + 1]) {
  gchar *d =
      g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)s, n);
  g_strlcpy(out, d, MP_SHA256_HEX + 1);
  g_free(d);
}
