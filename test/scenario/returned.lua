-- returned.lua
-- All instances are killed at once, and others stay listed that never answer:
-- requests of an account below its limit are served again. Guards against
-- instances that wait for the others to tell what was used of a limit.
dofile("test/scenario/lib/gateway.lua")
gateway.accounts = {
  { name = "first", keys = { "key-1" }, rate = 78000, burst = 78000 }
}
start_gateway(4)
wait_counted(4)
sys.pump(1500) -- all have heard each other

for i = 1, 3 do
  entry("madderpier-instances", "entry-lost-" .. i, string.format(
    '{"Address":"127.0.0.9:%d","Zone":"%s"}', 9 + i, i % 2 == 1 and "a" or "b"))
end
wait_counted(7)

-- of 40 requests in two seconds, so many are served
local function served()
  local asked, count = {}, 0
  for i = 1, 40 do
    asked[i] = request(gateway.instances[i % 4 + 1], "unsafe")
    sys.pump(50)
  end
  for _, r in ipairs(asked) do
    count = count + (answer_of(r).status == 200 and 1 or 0)
  end
  return count
end

local before = served()
expect(before >= 38, "before: " .. before .. " of 40")
for _, e in ipairs(gateway.instances) do
  end_now(e)
end
for _, e in ipairs(gateway.instances) do
  launch(e)
end
for _, e in ipairs(gateway.instances) do
  wait_ready(e)
end
sys.pump(1000)
local count = served()
expect(count >= 36, "after all were killed: " .. count .. " of 40")
judge()
