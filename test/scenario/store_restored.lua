-- The store is away and comes back from a copy some seconds old, more than
-- once; real daemons, some of which hear of it from relays alone.
dofile("test/scenario/lib/gateway.lua")
gateway.one_zone = true
gateway.lease_ms = 2000
start_gateway(6)
wait_counted(6)
local e = gateway.instances

local BOUND_MS = 2000 -- a change is in force within this of its answer
local added = {}

local function in_force(name, what)
  local until_ms = sys.now() + BOUND_MS
  for _, x in ipairs(e) do
    local status
    repeat
      status = answer_of(request(x, name)).status
    until status == 200 or sys.now() > until_ms
    expect(status == 200, string.format("%s: %s got %s for %s", what, x.name,
                                        tostring(status), name))
  end
end

local function add_route(what)
  added[#added + 1] = "added" .. #added
  configure(added)
  in_force(added[#added], what)
end

-- requests that reach an endpoint later than the bound after it said so
local function expect_unused(w, what)
  sys.pump(BOUND_MS)
  local from = sys.now()
  for i = 1, 40 do
    answer_of(request(e[i % #e + 1], "safe"))
  end
  for _, rows in pairs(worker_ledger()) do
    for _, row in ipairs(rows) do
      expect(row.worker ~= w.id or not row.at or row.at < from,
             what .. ": " .. w.id .. " was sent a request")
    end
  end
end

local function app(number)
  local found = {}
  for _, w in ipairs(gateway.workers) do
    if w.service == "app" then
      found[#found + 1] = w
    end
  end
  return found[number]
end

-- enough changes that the count is far past the copy's
for i = 1, 8 do
  add_route("before")
  sys.pump(200)
end

store("down")
sys.pump(1000)
store("ok")
restore_store(4000)
sys.pump(200)
add_route("after the return")
worker(app(1), "draining")
expect_unused(app(1), "after the return")
worker(app(1), "back")

-- the count is past the old one before anybody asks
for i = 1, 3 do
  add_route("before the second")
end
store("silent")
sys.pump(300)
restore_store(2500)
worker(app(2), "draining")
for i = 1, 12 do
  configure(added)
end
store("ok")
expect_unused(app(2), "past the old count")
worker(app(2), "back")

-- three in a row
for _ = 1, 3 do
  add_route("in a row")
  restore_store(800)
end
sys.pump(500)
add_route("after three in a row")
wait_counted(6)
judge()
