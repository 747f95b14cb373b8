-- The store starts after the instances: each enters itself as soon as the store
-- answers, so that limits, budgets and relays count it from then on.
dofile("test/scenario/lib/gateway.lua")
gateway.one_zone = true
gateway.store_late_ms = 300

-- without the store's first answer as the cue, an instance tries again 2 s
-- after its first try; a watch or list is tried again within 0.8 s
local LATEST_MS = 1200

start_gateway(6)
wait("all have entered", function() return entered() == 6 end)
-- from when the store says that it listened: beside load its process starts late
local took = sys.now() - store_up_at()
expect(took <= LATEST_MS, "entering took " .. took .. " ms")
wait_counted(6)
judge()
