-- At the product's own interface: sixty bodies of 1,000,000 bytes in chunks at
-- once, which stop before their last chunk and stay. Guards against bodies that
-- are each within their limit, and together without one.
dofile("test/crowd/lib/crowd.lua")
start_own_crowd { caller_timeout_s = 10 }
local body = chunks(1000000, 50000)
for _ = 1, 60 do
  join(crowd.instance.port,
       own_head() .. "Transfer-Encoding: chunked\r\n\r\n" .. body)
end
judge_crowd()
