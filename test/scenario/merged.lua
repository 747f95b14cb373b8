-- An account with a rule of its own runs only where that says.
funkbuch(3)
local before = #ledger()
for i = 1, 8 do
  local m = finish(by(MERGED, { entry = world.entries[i % 3 + 1],
                                prompt = "DL" .. i }))
  expect(m.whole, "a merged member's answer: " .. m.body)
end
local rows = ledger()
expect(#rows > before, "work in the ledger")
for _, r in ipairs(rows) do
  expect(r.dc == "linz-c", r.op .. " ran in " .. r.dc)
end
