-- At the product's own interface: bodies and heads of which a byte arrives now
-- and then, without an end. Guards against requests that may stay as long as
-- bytes come: a request must arrive within caller_timeout_s.
dofile("test/crowd/lib/crowd.lua")
start_own_crowd { caller_timeout_s = 3 }
for _ = 1, 10 do
  join(crowd.instance.port, own_head() .. "Content-Length: 9000\r\n\r\n")
  join(crowd.instance.port,
       own_head() .. "Transfer-Encoding: chunked\r\n\r\n2000\r\n")
  join(crowd.instance.port, own_head() .. "X-A: ")
end
wait_for_ends()
judge_crowd()
