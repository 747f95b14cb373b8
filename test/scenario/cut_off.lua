-- cut_off.lua
-- Instances that are cut off from all workers, while callers, the store and the
-- other instances still reach them: from three seconds on their callers are
-- served as the others', and two seconds after the links are back the
-- connections are direct again.
dofile("test/scenario/lib/gateway.lua")

gateway.own_worker_links = true
start_gateway(4)
wait_counted(4)

local CONTACT_MS, CUT_MS = 3000, 6000
local KINDS = { "safe", "unsafe", "stream", "resume" }

-- the first two instances are cut off so; returns what callers got from
-- CONTACT_MS on: instance -> asked, served
local function play(mode)
  local began, asked, found = sys.now(), {}, {}
  for i = 1, 2 do
    cut_off(gateway.instances[i], mode)
  end
  local n = 0
  while sys.now() < began + CUT_MS do
    for _, e in ipairs(gateway.instances) do
      n = n + 1
      asked[#asked + 1] = request(e, KINDS[n % #KINDS + 1])
    end
    sys.pump(100)
  end
  for _, r in ipairs(asked) do
    answer_of(r)
    if r.sent >= began + CONTACT_MS then
      local row = found[r.instance.name] or { asked = 0, served = 0 }
      found[r.instance.name] = row
      row.asked = row.asked + 1
      row.served = row.served + (r.whole and r.status == 200 and 1 or 0)
    end
  end
  return found
end

local function failed_connections(i)
  return metric(gateway.instances[i], "endpoints_unreachable_total")
end

for _, mode in ipairs { "cut", "hang", "refuse" } do
  local before = { failed_connections(1), failed_connections(2) }
  for name, row in pairs(play(mode)) do
    expect(row.served >= row.asked * 2 // 3 or row.asked - row.served <= 10,
           string.format("%s: %s served %d of %d", mode, name, row.served,
                         row.asked))
  end
  for i = 1, 2 do
    -- open connections may have served all, where they live on
    expect(metric(gateway.instances[i], "indirect_endpoints") > 0 or
           mode == "refuse" and failed_connections(i) == before[i],
           mode .. ": endpoints are reached through others")
    cut_off(gateway.instances[i], "pass")
  end
  sys.pump(2500)
  for i = 1, 2 do
    expect(metric(gateway.instances[i], "indirect_endpoints") == 0,
           mode .. ": endpoints are reached directly again")
  end
end

-- a caller that leaves is seen by the worker through both connections
cut_off(gateway.instances[1], "cut")
sys.pump(1500)
local r = request(gateway.instances[1], "stream")
sys.pump(60)
leave(r)
wait("nothing is carried for it", function()
  local open = 0
  for _, e in ipairs(gateway.instances) do
    open = open + metric(e, "open_requests")
  end
  return open == 0
end)

-- a carrier that stops by plan finishes what it carries
local carried = {}
for i = 1, 8 do
  carried[i] = request(gateway.instances[1], "stream")
end
sys.pump(60)
stop_planned(gateway.instances[3])
for _, one in ipairs(carried) do
  local a = answer_of(one)
  expect(a.whole and a.status == 200, one.id .. ": a planned stop cut it off")
end
wait("the end of the planned stop", function()
  return sys.reap(gateway.instances[3].pid)
end)
judge()
