-- Answered once, and run at most once: one ID at several instances, after
-- the answer, and after every instance was killed and started anew.
funkbuch(3)
local e = world.entries
local first, second
for i = 1, 5 do
  local id = "award-" .. i
  local c = {}
  for k = 1, 3 do
    c[k] = by(CLUBS, { entry = e[k], id = id, prompt = "award " .. i })
  end
  local whole = 0
  for k = 1, 3 do
    local r = finish(c[k])
    whole = whole + (r.whole and 1 or 0)
    expect(r.whole or r.kind == "duplicate_request", "one, or a duplicate: "
           .. r.body)
  end
  expect(whole == 1, "one answer, not " .. whole)
end
expect(count(function(r) return r.op == "decode" end) == 5, "five decodes")

for _, x in ipairs(e) do kill(x) end
for _, x in ipairs(e) do restart(x) end
for _, x in ipairs(e) do ready(x) end
sys.pump(2500)
local again = finish(by(CLUBS, { entry = e[2], id = "award-1",
                                 prompt = "award 1" }))
expect(again.kind == "duplicate_request", "still known: " .. again.body)
expect(again.ran ~= "no", "not told that it was not run")
expect(count(function(r) return r.op == "decode" end) == 5, "five decodes")
