-- Changes of a large configuration reach those that the store turns away.
dofile("test/scenario/lib/gateway.lua")
gateway.one_zone = true
gateway.own_store_links = true
start_gateway(8)
local e = gateway.instances
wait_counted(8)

local BOUND_MS = 3000 -- a confirmed route is served everywhere after this
local GAP_MS = 500

local routes = {}
for i = 1, 1400 do
  routes[i] = string.format("route%d-%d", i, i * 7919 % 100003)
end

local function relay()
  for _, x in ipairs(e) do
    if news_of(x).role == "relay" then
      return x
    end
  end
end

-- a change each GAP_MS; each route is asked for once its bound is over
local function change_for(ms, what)
  local due = {}
  local last, add_at = sys.now() + ms, sys.now()
  while sys.now() < last + BOUND_MS do
    if sys.now() >= add_at and sys.now() < last then
      routes[#routes + 1] = "added" .. #routes
      configure(routes)
      due[#due + 1] = { name = routes[#routes], at = sys.now() + BOUND_MS }
      add_at = add_at + GAP_MS
    end
    while due[1] and due[1].at <= sys.now() do
      for _, x in ipairs(e) do
        local answer = answer_of(request(x, due[1].name))
        expect(answer.status == 200, string.format("%s: %s at %s: %d", what,
               due[1].name, x.name, answer.status))
      end
      table.remove(due, 1)
    end
    sys.pump(20)
  end
end

local function half()
  local first = relay()
  local found = { first }
  for _, x in ipairs(e) do
    if x ~= first and #found < 4 then
      found[#found + 1] = x
    end
  end
  return found
end

local function store_link(list, mode)
  for _, x in ipairs(list) do
    link("store-" .. x.name, mode)
  end
end

configure(routes)
sys.pump(BOUND_MS)
change_for(1500, "at first")
local away = half()
store_link(away, "silent")
change_for(5000, "half in silence")
store_link(away, "pass")
sys.pump(1000)
away = half()
store_link(away, "reset")
change_for(4000, "half reset")
store_link(away, "pass")
change_for(1500, "at last")
