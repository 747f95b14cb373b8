-- Heads and bodies without an end at the port for operators. Guards against a
-- server without a limit for heads.
dofile("test/crowd/lib/crowd.lua")
start_own_crowd()
local endless = ("x"):rep(16 * 1024 * 1024)
for _ = 1, 3 do
  join(crowd.instance.ops, "GET /live HTTP/1.1\r\nHost: x\r\nX-A: " .. endless)
  join(crowd.instance.ops, "POST /drain HTTP/1.1\r\nHost: x\r\n" ..
       "Transfer-Encoding: chunked\r\n\r\n1000000\r\n" .. endless)
end
judge_crowd()
