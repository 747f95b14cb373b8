-- The set of versions in the store: it is created once the list has been
-- followed for long enough, costs no call at rest, and lets every instance
-- vouch for the only version at once after all were killed.
dofile("test/scenario/lib/gateway.lua")
gateway.direct = true
start_gateway(3)
wait_counted(3)
local e = gateway.instances
local KIND = "/objects/madderpier-software"

local function versions()
  local _, text = ask("GET", gateway.store, KIND)
  local found = text:match('"Versions":%[([^%]]*)%]')
  return found or "", text
end

local function log_of(x)
  local file = io.open(x.log)
  local text = file:read("a")
  file:close()
  return text
end

expect(versions() == "", "no set before the list has been followed for long")
local seen
for _ = 1, 80 do
  sys.pump(500)
  seen = versions()
  if seen ~= "" then break end
end
expect(seen ~= "", "a set is created")
expect(select(2, seen:gsub('"%x+"', "")) == 1, "of one version: " .. seen)
sys.pump(11000) -- the others read it
for _, x in ipairs(e) do
  expect(not log_of(x):find("E8015", 1, true), x.name .. " has read no set yet")
end

restart_all()
for _, x in ipairs(e) do
  expect(log_of(x):find("E8015[^\n]*service=[^\n]*software=%x+"),
         x.name .. " vouches by the set")
end
expect(versions() == seen, "the set is the same")
judge()
