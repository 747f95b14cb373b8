-- At the product's own interface: a process with 200 descriptors, and 300
-- callers that connect and send nothing. Guards against callers that take all
-- descriptors.
dofile("test/crowd/lib/crowd.lua")
start_own_crowd { descriptors = 200, caller_timeout_s = 600 }
for _ = 1, 300 do
  join(crowd.instance.port, "")
end
watch(10)
expect(sys.open_files(crowd.pid) <= world.descriptors, "within the descriptors")
judge_crowd()
