-- late_loop_in_stop.lua
-- An instance that gets no processor time as its stop ceases to accept starts
-- no request that came later, which its latest end would cut: the callers are
-- refused, whether their connections were open before or wait to be accepted.
dofile("test/scenario/lib/gateway.lua")

start_gateway(4)
wait_counted(4)
for _, w in ipairs(gateway.workers) do
  if w.stage == "decode" then
    worker(w, "slow") -- a stream takes longer than what is left of the stop
  end
end

local DRAIN_LEAST_MS = 2800
-- how long before that the instance is frozen, and when a request is sent and
-- when it goes on, both from that moment on
local plans = {
  { frozen = 200, sent = 350, thawed = 500 },
  { frozen = 200, sent = 350, thawed = 1500 },
  { frozen = 600, sent = 700, thawed = 750 },
  { frozen = 100, sent = 3000, thawed = 3500 }
}

local function at(began, ms)
  sys.pump(math.max(began + ms - sys.now(), 1))
end

local failures = {}
for i, plan in ipairs(plans) do
  local e = gateway.instances[i]
  local kept = answer_of(request(e, "safe"))
  local began = sys.now()
  stop_planned(e)
  at(began, DRAIN_LEAST_MS - plan.frozen)
  freeze(e)
  at(began, DRAIN_LEAST_MS + plan.sent)
  local late = { request(e, "stream", kept.connection), request(e, "stream"),
                 request(e, "safe") }
  at(began, DRAIN_LEAST_MS + plan.thawed)
  thaw(e)
  for k, r in ipairs(late) do
    answer_of(r)
    if r.status ~= 503 or not r.whole then
      failures[#failures + 1] = string.format(
        "%s, request %d: sent %d ms after the last moment, went on at %d ms: status %s, whole %s",
        e.name, k, plan.sent, plan.thawed, tostring(r.status), tostring(r.whole))
    end
    r.left = true
  end
  wait(e.name .. "'s end", function() return sys.reap(e.pid) ~= nil end)
end
judge()
expect(#failures == 0, table.concat(failures, "\n"))
