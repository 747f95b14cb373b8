-- A rolling restart between two builds on the users' platform, in both orders
-- and beside each other: configuration, keys, limits, loads, the lease and
-- held requests are handed on in both directions, and no instance reports a
-- message or record of the other build that it cannot read.
--   OLD_BUILD  folder of the other build; the scenario's own one is the new
--   ONE_ZONE   set: all instances in one data centre, else in two
dofile("test/scenario/lib/gateway.lua")
local OLD = assert(os.getenv("OLD_BUILD"), "OLD_BUILD names the other build")
local NEW = sys.build
gateway.one_zone = os.getenv("ONE_ZONE") ~= nil
gateway.direct = true
gateway.lease_ms = 2000
gateway.kv_tokens = 2500 -- two runs an engine
gateway.more_prefill = 4
gateway.accounts = {
  { name = "first", keys = { "key-1", "key-2" }, rate = 0, burst = 0 },
  { name = "second", keys = { "key-3" }, rate = 2600, burst = 2600 }
}
gateway.limit_slack = 2600
any_key() -- the judge knows the keys from here

function launch(e)
  e.build = e.build or OLD
  e.pid = sys.spawn(e.log, e.build .. "/madderpierd", e.yaml)
end

-- events of what an instance could not read, or did not expect
local UNREADABLE = { "E2012", "E2015", "E2017", "E3005", "E4002", "E8101",
                     "E8110", "E8201" }
local function check_logs()
  for _, e in ipairs(gateway.instances) do
    local f = assert(io.open(e.log))
    for line in f:lines() do
      for _, event in ipairs(UNREADABLE) do
        expect(not line:find(" " .. event .. " ", 1, true),
               e.name .. ": " .. line)
      end
    end
    f:close()
  end
end

local e
local changes = 0
local function change_reaches_all(what)
  changes = changes + 1
  local name = "added" .. changes
  configure({ name })
  for _, x in ipairs(e) do
    wait(what .. ": the new route at " .. x.name, function()
      return answer_of(request(x, name, nil, "key-2")).status == 200
    end)
  end
end

-- refused as held; until an instance that has just started may prove keys it
-- refuses for that reason, and runs nothing either
local function expect_held(what, name)
  for _, x in ipairs(e) do
    wait(what .. ", " .. name .. " at " .. x.name, function()
      local r = answer_of(crashing(x, "stream", name, "key-2"))
      expect(r.status == 503, what .. ", " .. name .. " at " .. x.name ..
             ": " .. r.status)
      return r.body:find('"held"', 1, true)
    end)
  end
end

-- a request that ends three engines, run by instances of both builds
local function hold(name)
  for i = 1, 3 do
    answer_of(crashing(e[i], "stream", name, "key-2"))
    sys.pump(300)
  end
  sys.pump(1500)
end

local function check_limit(what)
  local passed, limited = 0, 0
  for i = 1, 30 do
    local r = answer_of(request(e[i % #e + 1], "unsafe", nil, "key-3"))
    passed = passed + (r.status == 200 and 1 or 0)
    limited = limited + (r.status == 429 and 1 or 0)
    sys.pump(50)
  end
  expect(passed > 0, what .. ": none passed")
  expect(limited > 5, what .. ": limited " .. limited)
end

-- streams, as many as find room, so that engines are ordered to decode
local open = {}
local function keep_busy(ms)
  local stop = sys.now() + ms
  while sys.now() < stop do
    for i = 1, 8 do
      if not open[i] or ended(open[i]) then
        open[i] = request(e[i % #e + 1], "resume", nil, "key-2")
      end
    end
    sys.pump(50)
  end
end

local function replace(x, build)
  stop_planned(x)
  wait(x.name .. "'s end", function() return sys.reap(x.pid) end)
  x.build = build
  launch(x)
  wait_ready(x)
end

local function serve(what)
  for _, x in ipairs(e) do
    for _, kind in ipairs { "safe", "unsafe", "stream", "resume" } do
      local r = answer_of(request(x, kind, nil, "key-2"))
      expect(r.status == 200 and r.whole,
             what .. ": " .. kind .. " at " .. x.name .. ": " .. r.status)
    end
  end
end

start_gateway(6)
e = gateway.instances
wait_counted(6)
serve("all old")
hold("by-old")
expect_held("all old", "by-old")
change_reaches_all("all old")

-- the first half is replaced: both builds beside each other
for i = 1, 3 do
  replace(e[i], NEW)
  change_reaches_all(e[i].name .. " is new")
end
wait_counted(6)
expect_held("held by the old build", "by-old")
-- ends at instances of both builds count together
e[1], e[4] = e[4], e[1]
hold("by-both")
e[1], e[4] = e[4], e[1]
expect_held("held by both builds", "by-both")
check_limit("both builds")
keep_busy(6000)
for _, r in pairs(open) do
  answer_of(r)
end
open = {}
sys.pump(3000)
serve("both builds")

-- the rest, then the whole way back in the other order
for i = 4, 6 do
  replace(e[i], NEW)
  change_reaches_all(e[i].name .. " is new")
end
wait_counted(6)
expect_held("all new", "by-old")
hold("by-new")
revoke("key-1")
sys.pump(gateway.revoke_ms)
for i = 6, 1, -1 do
  replace(e[i], OLD)
  if i % 2 == 0 then
    change_reaches_all(e[i].name .. " is old again")
    expect(answer_of(request(e[i], "safe", nil, "key-1")).status == 401,
           "a key that was taken away under the new build")
  end
end
wait_counted(6)
expect_held("all old again", "by-new")
serve("all old again")

-- all killed at once, and started as the other build on what is stored
for _, x in ipairs(e) do
  end_now(x)
end
for _, x in ipairs(e) do
  x.build = NEW
  launch(x)
end
for _, x in ipairs(e) do
  wait_ready(x)
end
sys.pump(2000)
expect_held("new on what the old ones stored", "by-both")
serve("new on what the old ones stored")
check_logs()
judge()
