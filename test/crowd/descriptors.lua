-- A process with 200 descriptors, and 300 callers that connect and send
-- nothing. Guards against callers that take all descriptors, so that no other
-- caller is accepted and no endpoint is reached.
dofile("test/crowd/lib/crowd.lua")
start_crowd { descriptors = 200, idle_timeout_ms = 600000 }
local e = crowd.instance
for _ = 1, 300 do
  join(e.port, "")
end
watch(10)
expect(sys.open_files(crowd.pid) <= gateway.descriptors, "within the descriptors")
judge_crowd()
