-- Heads and bodies without an end at the ports for the balancer, for other
-- instances and for metrics. Guards against servers without limits.
dofile("test/crowd/lib/crowd.lua")
start_crowd()
local e = crowd.instance
local endless = ("x"):rep(16 * 1024 * 1024)
for _, port in ipairs { e.ready, e.control, e.metrics } do
  join(port, "GET /readyz HTTP/1.1\r\nHost: x\r\nX-A: " .. endless)
  join(port, "POST /readyz HTTP/1.1\r\nHost: x\r\n" ..
       "Transfer-Encoding: chunked\r\n\r\n1000000\r\n" .. endless)
end
judge_crowd()
