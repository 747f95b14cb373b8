-- Planned stops cut off nothing: an instance by SIGTERM, an engine that
-- says it leaves, a whole data centre by the operators' command.
funkbuch(3)
local e = world.entries
local c = by(MEMBERS, { entry = e[1], prompt = "in flight", max = 300 })
wait("a stream", function()
  local _, _, body = c:get()
  return body:find('"text"', 1, true)
end)
stop(e[1])
local r = finish(c)
expect(r.whole, "the stream ends whole")
expect(exitcode(e[1]) == 0, "exit code 0")

local d = by(MEMBERS, { entry = e[2], prompt = "in flight too", max = 300 })
wait("a stream", function()
  local _, _, body = d:get()
  return body:find('"text"', 1, true)
end)
local code = cli("drain", "wien-b")
expect(code == 0, "drained")
expect(finish(d).whole, "the stream ends whole")
sys.pump(2000)
local before = #ledger()
for i = 1, 6 do
  local x = finish(by(MEMBERS, { entry = e[i % 2 + 2], prompt = "n" .. i }))
  expect(x.whole, "served elsewhere: " .. x.body)
end
local rows = ledger()
local inb = 0
for _, row in ipairs(rows) do
  inb = inb + (row.dc == "wien-b" and row.op == "prefill" and 1 or 0)
end
local _, text = cli("audit")
expect(text:find("applied", 1, true), "an audit record")
expect(#rows > before, "work went on")
