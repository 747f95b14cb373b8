-- Bodies and heads of which a byte arrives now and then, without an end.
-- Guards against requests that may stay as long as bytes come: the instance
-- ends each of them, at the latest when its caller's deadline has passed.
dofile("test/crowd/lib/crowd.lua")
start_crowd { header_timeout_ms = 2000 }
local e = crowd.instance
for i = 1, 10 do
  join(e.port, head_of("length-" .. i, 4000) .. "Content-Length: 9000\r\n\r\n")
  join(e.port, head_of("chunks-" .. i, 4000) ..
       "Transfer-Encoding: chunked\r\n\r\n2000\r\n")
  join(e.port, head_of("head-" .. i, 4000) .. "X-A: ")
end
wait_for_ends()
judge_crowd()
