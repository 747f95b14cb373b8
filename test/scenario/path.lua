-- The whole path, and place: what a rule forbids runs nowhere.
funkbuch(3)
local e = world.entries

local a = finish(by(MEMBERS, { entry = e[1], prompt = "OE1ABC" }))
expect(a.status == 200 and a.whole, "a whole answer: " .. a.body)
local b = finish(by(MEMBERS, { entry = e[2], prompt = "OE1ABC" }))
expect(b.text == a.text, "the same answer to the same prompt")

-- the only free engines are forbidden ones: refused, not run
for _, x in ipairs(world.engines) do
  if x.dc == "linz-c" then
    engine(x, '{"kill": 60000}')
  end
end
sys.pump(2000)
local before = #ledger()
local r = finish(by(MERGED, { entry = e[3], prompt = "DL9XYZ" }))
expect(r.status == 503 and r.ran == "no", "refused as not run: " .. r.body)
expect(r.head:find("Retry-After", 1, true), "when to come back")
expect(#ledger() == before, "nothing ran")
local ok = finish(by(MEMBERS, { entry = e[3], prompt = "still served" }))
expect(ok.whole, "others are still served: " .. ok.body)

-- one request can be followed by its ID
local id = a.head:match("X%-Request%-Id: ([%x%-]+)")
local ops = {}
for _, row in ipairs(ledger()) do
  if row.id and row.id:sub(1, #id) == id then
    ops[row.op] = row.dc
  end
end
expect(ops.prefill and ops.import and ops.decode, "its steps by its ID")
