-- At the product's own interface: forty heads of 40,000 fields, without their
-- last line, which stay. Guards against heads whose fields are counted only
-- when the head has ended.
dofile("test/crowd/lib/crowd.lua")
start_own_crowd { caller_timeout_s = 10 }
local fields = ("a:b\r\n"):rep(40000)
for _ = 1, 40 do
  join(crowd.instance.port, own_head() .. fields)
end
judge_crowd()
