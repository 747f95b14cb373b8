-- Many instances in two data centres, which hear each other's loads in summaries:
-- a request that ends engines is held in the other one as well, also while the
-- store, which would tell it, is away.
dofile("test/scenario/lib/gateway.lua")
gateway.direct = true
local INSTANCES = 32 -- more than hear the loads of all
start_gateway(INSTANCES)
wait_counted(INSTANCES)
local e = gateway.instances -- odd ones in one data centre, even ones in the other

wait("relays in both", function()
  local relays = { a = 0, b = 0 }
  for _, x in ipairs(e) do
    if news_of(x).role == "relay" then
      relays[x.zone] = relays[x.zone] + 1
    end
  end
  return relays.a > 0 and relays.b > 0
end)

store("down")
local runs = {}
for i = 1, 3 do
  runs[i] = answer_of(crashing(e[2 * i - 1], "stream", "deadly"))
  sys.pump(300)
end
sys.pump(1500)
for i = 1, 8 do
  local r = answer_of(crashing(e[2 * i], "stream", "deadly"))
  expect(r.status == 503 and r.body:find('"held"', 1, true),
         e[2 * i].name .. ": " .. r.status .. " " .. r.body)
end
expect(#runs_of_all(runs) == 3, "three runs of it")
store("ok")
judge()
