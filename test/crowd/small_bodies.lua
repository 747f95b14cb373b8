-- Eight hundred bodies of 60,000 bytes with a length, a byte short, which
-- stay. Guards against bodies that are each too small to be held back.
dofile("test/crowd/lib/crowd.lua")
start_crowd()
local body = ("x"):rep(60000)
for i = 1, 800 do
  join(crowd.instance.port,
       head_of(i) .. "Content-Length: 60001\r\n\r\n" .. body)
end
judge_crowd()
