-- Three hundred heads of 3,000 fields of three bytes each, without their last
-- line, which stay. Guards against heads that are not counted, or by their
-- bytes on the wire alone.
dofile("test/crowd/lib/crowd.lua")
start_crowd()
local fields = ("a:b\r\n"):rep(3000)
for i = 1, 300 do
  join(crowd.instance.port, head_of(i) .. fields)
end
judge_crowd()
