-- Streams break, freeze and lose their engine: the answer is whole, or
-- ends in a typed error, never in a clean end.
funkbuch(3)
local e = world.entries
local want = finish(by(MEMBERS, { entry = e[1], prompt = "s", max = 40 })).text
expect(#want > 0, "an answer to compare with")

for _, x in ipairs(engines("decode")) do
  engine(x, '{"break_after": 7}')
end
local a = finish(by(MEMBERS, { entry = e[1], prompt = "s", max = 40 }))
expect(a.whole and a.text == want, "resumed after a break: " .. a.body)
for _, x in ipairs(engines("decode")) do
  engine(x, '{"break_after": 0}')
end

local c = by(MEMBERS, { entry = e[2], prompt = "s", max = 40 })
wait("a stream", function()
  local _, _, body = c:get()
  return body:find('"text"', 1, true)
end)
local frozen
for _, x in ipairs(engines("decode")) do
  local _, text = ask("GET", x.port, "/holds")
  if text:find('"holds":["', 1, true) then
    frozen = x
    engine(x, '{"freeze": 1}')
  end
end
expect(frozen, "the engine that decodes")
local b = finish(c)
expect(b.whole and b.text == want, "moved from a frozen engine: " .. b.body)
engine(frozen, '{"freeze": 0}')

for _, x in ipairs(engines("prefill")) do
  engine(x, '{"lose_reply": 1}')
end
local d = finish(by(MEMBERS, { entry = e[3], prompt = "s", max = 40 }))
expect(d.whole and d.text == want, "a lost prefill is redone: " .. d.body)
local o = finish(by(CLUBS, { entry = e[3], id = "o-1", prompt = "s" }))
expect(o.whole or o.ran ~= "no", "unknown is not called not run: " .. o.body)
wait("the memory is freed", function() return held() == 0 end)
