-- A rolling restart between two builds on the own interface: manifest,
-- sections, claims and settings written by one build are read by the other,
-- and instances of both work beside each other.
--   OLD_BUILD  folder of the other build; the scenario's own one is the new
local OLD = assert(os.getenv("OLD_BUILD"), "OLD_BUILD names the other build")
local NEW = sys.build

function restart(e)
  e.pid = sys.spawn(sys.dir .. "/out", (e.build or OLD) .. "/madderpierd",
                    e.yaml)
end

local UNREADABLE = { "E3005", "E4002" }
local function check_logs()
  for _, e in ipairs(world.entries) do
    local f = assert(io.open(e.log))
    for line in f:lines() do
      for _, event in ipairs(UNREADABLE) do
        expect(not line:find(" " .. event .. " ", 1, true),
               e.name .. ": " .. line)
      end
    end
    f:close()
  end
end

-- the manifest is written by the old build's command
sys.build = OLD
funkbuch(6)
sys.build = NEW
local e = world.entries

local runs = 0
local function serve(what)
  for _, x in ipairs(e) do
    local a = finish(by(MEMBERS, { entry = x, prompt = what .. x.name }))
    expect(a.status == 200 and a.whole, what .. " at " .. x.name .. ": " ..
           a.body)
    runs = runs + 1
  end
end

local function decodes()
  return count(function(r) return r.op == "decode" end)
end

-- an ID runs when it is new, and not again, whichever build claimed it
local function claim(at, id, what, runs)
  local before = decodes()
  local r = finish(by(CLUBS, { entry = at, id = id }))
  expect(r.status == 200 or r.status == 409, what .. ": " .. r.body)
  expect(decodes() - before == runs, what .. ": ran " .. decodes() - before)
end

local function replace(x, build)
  stop(x)
  exitcode(x)
  x.build = build
  restart(x)
  ready(x)
  sys.pump(1500)
end

serve("all old")
claim(e[1], "claim-old", "the first time", 1)
for i = 1, 3 do
  replace(e[i], NEW)
  serve(e[i].name .. " is new")
end
claim(e[2], "claim-old", "again, at a new one", 0)
claim(e[3], "claim-new", "the first time, at a new one", 1)
claim(e[4], "claim-new", "again, at an old one", 0)
-- a changed configuration, applied by the new build's command
local code, text = cli("apply", variant(CONFIG, "policy", "$", "\n"))
expect(code == 0, "apply by the new build: " .. text)
sys.pump(1500)
serve("both, after a change")
for i = 4, 6 do
  replace(e[i], NEW)
end
serve("all new")
for i = 6, 1, -1 do
  replace(e[i], OLD)
end
serve("all old again")
claim(e[5], "claim-new", "again, at an old one", 0)
check_logs()
