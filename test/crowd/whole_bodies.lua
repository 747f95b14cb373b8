-- Sixty whole bodies of 1,000,000 bytes in chunks at once. Guards against
-- memory beyond what is counted: growth of a body, and its copy towards the
-- endpoint.
dofile("test/crowd/lib/crowd.lua")
start_crowd()
local body = chunks(1000000, 50000) .. "0\r\n\r\n"
for i = 1, 60 do
  join(crowd.instance.port,
       head_of(i) .. "Transfer-Encoding: chunked\r\n\r\n" .. body)
end
judge_crowd()
