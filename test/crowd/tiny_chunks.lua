-- Sixty bodies of 1,000,000 bytes in chunks of eight bytes, which stop before
-- their last chunk and stay. Guards against small chunks that are counted
-- otherwise than large ones.
dofile("test/crowd/lib/crowd.lua")
start_crowd()
local body = chunks(1000000, 8)
for i = 1, 60 do
  join(crowd.instance.port,
       head_of(i) .. "Transfer-Encoding: chunked\r\n\r\n" .. body)
end
judge_crowd()
