-- A request that is held because engines ended under it: it stays held when all
-- instances are killed at once and when the store is away, the same request of
-- another client account is served, and an operator can lift the hold.
dofile("test/scenario/lib/gateway.lua")
gateway.direct = true
gateway.accounts = {
  { name = "first", keys = { "key-1" }, rate = 0, burst = 0 },
  { name = "second", keys = { "key-2" }, rate = 0, burst = 0 }
}
start_gateway(3)
wait_counted(3)
any_key() -- the judge knows the keys from here
local e = gateway.instances
local KIND = "/objects/madderpier-quarantine"

local function held_names()
  local _, text = ask("GET", gateway.store, KIND)
  local names = {}
  for name in text:gmatch('"Name":"([^"]*)"') do
    names[#names + 1] = name
  end
  return names, text
end

local function crash(x, key)
  return answer_of(crashing(x, "stream", "deadly", key))
end

local function expect_held(what)
  for _, x in ipairs(e) do
    local r = crash(x, "key-1")
    expect(r.status == 503, what .. ", at " .. x.name .. ": " .. r.status)
    expect(r.body:find('"held"', 1, true), what .. ": " .. r.body)
    expect(tonumber(r.head["retry-after"]) > 3000, "when to come back")
  end
end

-- three ends, at one instance each
for i = 1, 3 do
  crash(e[i], "key-1")
  sys.pump(300)
end
expect_held("after three ends")
wait("it stands in the store", function() return #held_names() == 1 end)
local _, text = held_names()
expect(text:find('"Account":"first"', 1, true), "for operators: " .. text)
expect(text:find('"Route":"stream"', 1, true), "for operators: " .. text)

-- all are killed at once: what only instances know is lost
for _, x in ipairs(e) do
  end_now(x)
end
for _, x in ipairs(e) do
  launch(x)
end
for _, x in ipairs(e) do
  wait_ready(x)
end
sys.pump(2000)
expect_held("after all were killed")

-- the store is away
store("down")
expect_held("without the store")
store("ok")

-- another account's request is its own, until it ends engines as well
expect(crash(e[1], "key-2").status ~= 503, "another account's request ran")

-- an operator lifts it: it runs again, and is held again later
local names = held_names()
expect(ask("DELETE", gateway.store, KIND .. "/" .. names[1]) == 200, "removed")
wait("it is lifted", function()
  return crash(e[2], "key-1").status ~= 503
end)
judge()
