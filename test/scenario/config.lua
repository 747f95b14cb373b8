-- Two operators at once; a lost reply; a bad configuration; status.
funkbuch(3)
local a = variant(CONFIG, "policy", "refuse_at: 100", "refuse_at: 150")
local b = variant(CONFIG, "policy", "refuse_at: 100", "refuse_at: 120")
local p = "127.0.0.1:" .. world.store
local function applying(dir, out)
  return sys.spawn(out, sys.build .. "/madderpier", "--platform", p, "--by",
                   "operator", "apply", dir)
end
local x = applying(a, sys.dir .. "/a")
local y = applying(b, sys.dir .. "/b")
local cx = wait("one", function() return sys.reap(x) end)
local cy = wait("the other", function() return sys.reap(y) end)
-- at once: one wins and the other is told; or one after the other
expect(cx == 0 or cy == 0, "one of them wins")
expect((cx == 0 or cx == 1) and (cy == 0 or cy == 1), "typed outcomes")
local version = (cx == 0 and 1 or 0) + (cy == 0 and 1 or 0) + 1

local function everywhere(v)
  wait("version " .. v .. " everywhere", function()
    local _, text = cli("status")
    local n = 0
    for _ in text:gmatch("config " .. v .. " ") do
      n = n + 1
    end
    return n == #world.entries
  end)
end
everywhere(version)

platform("lose", 1) -- of the first write of the next apply
local code, text = cli("apply", CONFIG)
expect(code == 0, "a lost reply is settled: " .. text)
platform("ok")
everywhere(version + 1)

local bad = variant(CONFIG, "rules", "run_in: %[wien%-a, wien%-b%]",
                    "run_in: [nowhere]")
code, text = cli("apply", bad)
expect(code == 2 and text:find("nowhere", 1, true), "refused: " .. text)
everywhere(version + 1)
code, text = cli("--json", "diff", a)
expect(code == 1 and text:find('"policy.yaml"', 1, true) and
       text:find('"changed"', 1, true), "a difference as JSON: " .. text)
code, text = cli("--json", "diff", CONFIG)
expect(code == 0 and text:find('"sections": []', 1, true), "none: " .. text)
code, text = cli("explain", "-c", "lookup", "-a", "merged")
expect(code == 0 and text:find("wien%-a%s+no"), "explained: " .. text)
