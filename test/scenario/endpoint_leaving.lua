-- Endpoints say with their answers that they leave, while the store answers
-- nobody; real daemons, one of which gets half of the callers.
--
-- What was seen: an endpoint that had said so went on to get as many requests
-- as before, from all instances, until the store listed it as draining.
-- Cause: nothing read it (test/test_endpoint_leaving.cc).
dofile("test/scenario/lib/gateway.lua")
start_gateway(6)
wait_counted(6)
local e = gateway.instances

-- requests that come later than this behind an answer that their instance
-- passed on, and that said so, do not reach the endpoint
local MOST_AFTER_MS = 2000
local WORK_MS = 600 -- a stand-in's run, at most
local EVERY_MS = 40 -- a request
local sent = {}

-- callers for so long, half of them at the first instance
local function traffic(ms)
  local until_ms = sys.now() + ms
  local i = 0
  while sys.now() < until_ms do
    i = i + 1
    local at = i % 2 == 0 and e[1] or e[i // 2 % #e + 1]
    sent[#sent + 1] = request(at, i % 6 == 0 and "stream" or "safe")
    sys.pump(EVERY_MS)
  end
end

local function worker_of(service, stage)
  for _, w in ipairs(gateway.workers) do
    if w.service == service and w.stage == stage then
      return w
    end
  end
end

-- requests that the worker got, with when they came to their instance
local function taken_by(w)
  local rows, found = worker_ledger(), {}
  for _, r in ipairs(gateway.asked) do
    for _, row in ipairs(rows[r.id] or {}) do
      if row.worker == w.id and row.at then
        found[#found + 1] = { r = r, at = row.at }
      end
    end
  end
  table.sort(found, function(a, b) return a.at < b.at end)
  return found
end

-- those that came to any instance after this time
local function after(w, time)
  local count = 0
  for _, one in ipairs(taken_by(w)) do
    count = count + (one.r.sent > time and 1 or 0)
  end
  return count
end

-- those that came too late behind the first answer that their instance had
local function late(w, said_at)
  local first, count = {}, 0
  for _, one in ipairs(taken_by(w)) do
    local name = one.r.instance.name
    if one.at >= said_at then
      first[name] = first[name] or one.at + WORK_MS
      count = count + (one.r.sent > first[name] + MOST_AFTER_MS and 1 or 0)
    end
  end
  return count
end

local left = { worker_of("app", ""), worker_of("llm", "decode"),
               worker_of("llm", "prefill") }
traffic(1500)
store("silent")
for _, w in ipairs(left) do
  worker(w, "leaving")
end
local said_at = sys.now()
traffic(7000)
for _, w in ipairs(left) do
  expect(late(w, said_at) == 0, w.id .. " had said that it leaves, and got " ..
         late(w, said_at) .. " requests later than " .. MOST_AFTER_MS .. " ms")
  -- the first answer is heard within a second, and the others hear of it
  expect(after(w, said_at + 1000 + MOST_AFTER_MS) == 0,
         w.id .. " got requests from instances that had not heard it themselves")
end
for _, r in ipairs(sent) do
  answer_of(r)
  expect(r.status == 200, r.id .. ": " .. r.status)
end
-- a later life of it is used like any other
store("ok")
sys.pump(1000)
worker(left[1], "crash")
sys.pump(2500)
local back_at = sys.now()
traffic(3000)
expect(after(left[1], back_at) > 0, left[1].id .. " is back, and is not used")
for _, r in ipairs(sent) do
  answer_of(r)
end
judge()
