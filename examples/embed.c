/*
** embed.c
** Two cores in one process, driven by hand through the public header
**
** No sockets, no clock: time is a number, messages are handed over. The two
** find each other and agree that both are alive. A foreign harness does the
** same with several hundred.
*/

#include <stdio.h>
#include <string.h>

#include "conf/conf.h"
#include "madderpier.h"

#define CORES 2

static mp_Addr addr(int i) {
  return ((mp_Addr)(0x0a000001 + i) << 16) | 7000;
}

/* take what core 'i' wants, and hand messages to their receiver */
static void perform(mp_State *core[CORES], int i, mp_Time now) {
  mp_Effect fx;
  while (mp_next_effect(core[i], &fx)) {
    mp_Event e = {0};
    mp_Msg m;
    int to;
    if (fx.kind == MP_FX_LOG)
      printf("%6.1f ms core %d: %s%s\n", (double)now / MP_MS, i, fx.u.log.text,
             fx.u.log.fields);
    if (fx.kind != MP_FX_SEND)
      continue; /* this example has no platform and no endpoints */
    to = fx.u.send.to == addr(0) ? 0 : 1;
    m = fx.u.send.msg;
    e.kind = MP_EV_MSG;
    e.u.msg.from = addr(i);
    e.u.msg.msg = &m;
    mp_feed(core[to], now, &e);
    perform(core, to, now);
  }
}

int main(void) {
  mp_State *core[CORES];
  mp_Addr seed = addr(0);
  mp_Event tick = {0};
  mp_Time now;
  mp_Status s;
  int i;
  for (i = 0; i < CORES; i++) {
    mp_Options o = {0};
    o.self = addr(i);
    o.dc = "here";
    o.start = 1;
    o.seed = (uint64_t)i + 1;
    o.seeds = &seed;
    o.nseed = 1;
    o.net = 0x0a000000;
    o.mask = 0xffffff00;
    o.codec = mp_codec();
    core[i] = mp_new(&o, 0);
  }
  for (now = 0; now < 2 * MP_SEC; now += 10 * MP_MS) {
    for (i = 0; i < CORES; i++) {
      mp_feed(core[i], now, &tick);
      perform(core, i, now);
    }
  }
  for (i = 0; i < CORES; i++) {
    mp_status(core[i], &s);
    printf("core %d knows %u instances\n", i, s.members);
    mp_free(core[i]);
  }
  return 0;
}
