-- Sixty bodies of 1,000,000 bytes in large chunks at once, which stop before
-- their last chunk and stay. Guards against bodies of unknown size that are
-- taken in without a bound.
dofile("test/crowd/lib/crowd.lua")
start_crowd()
largest_alone()
local body = chunks(1000000, 50000)
for i = 1, 60 do
  join(crowd.instance.port,
       head_of(i) .. "Transfer-Encoding: chunked\r\n\r\n" .. body)
end
judge_crowd()
