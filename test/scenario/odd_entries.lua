-- One odd entry among the workers', changed ten times a second by another
-- writer: processes must not end, a sound change must be used as soon as beside
-- a sound entry that changes as often, and the store must not get more calls.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/odd_entries.lua")
gateway.one_zone = true -- five instances of one data centre: relays and members
start_gateway(5)
wait_counted(5)

local worker
for _, w in ipairs(gateway.workers) do
  worker = worker or (w.stage == "decode" and w)
end
local function spec(state)
  return string.format('{"Service":"llm","Addr":"127.0.0.1:%d","Zone":"a",' ..
                       '"Stage":"decode","Slots":8,"ColdLeftMs":0,' ..
                       '"State":"%s"}', worker.proxy, state)
end

local function calls()
  local sum = 0
  for _, e in ipairs(gateway.instances) do
    sum = sum + news_of(e).calls
  end
  return sum
end

-- how many of the instances' logs have so many such lines about the worker
local function count_lines(e, event)
  local n = 0
  for line in io.lines(e.log) do
    if line:find(event, 1, true) and line:find("=" .. worker.id .. " ", 1, true)
    then
      n = n + 1
    end
  end
  return n
end

local number = 0
local function change(form, name)
  number = number + 1
  entry("servers", name, form(name, number))
  sys.pump(100)
end

local SECONDS, ROUNDS = 6, 2
local sound_rate
for _, one in ipairs(odd_forms) do
  local what, form = one[1], one[2]
  for _, name in ipairs { "a-odd", "z-odd" } do
    change(form, name)
    local from, began, longest = calls(), sys.now(), 0
    for round = 1, ROUNDS do
      local before = {}
      for i, e in ipairs(gateway.instances) do
        before[i] = count_lines(e, "E2007")
      end
      entry("servers", worker.id, spec("draining"))
      local changed, used = sys.now(), false
      while sys.now() - changed < SECONDS * 1000 / ROUNDS do
        change(form, name)
        if not used then
          used = true
          for i, e in ipairs(gateway.instances) do
            used = used and count_lines(e, "E2007") > before[i]
          end
          longest = math.max(longest, sys.now() - changed)
        end
      end
      expect(used, what .. " " .. name .. ": a change is not used")
      entry("servers", worker.id, spec("ready"))
      for _ = 1, 10 do
        change(form, name)
      end
    end
    local rate = (calls() - from) * 1000 / (sys.now() - began)
    print(string.format("%-18s %s: used after %4d ms, %5.2f calls a second",
                        what, name, longest, rate))
    sound_rate = sound_rate or rate
    expect(longest < 2500, what .. ": used after " .. longest .. " ms")
    expect(rate <= sound_rate * 1.5 + 1, what .. ": " .. rate ..
           " calls a second, beside a sound entry " .. sound_rate)
    for _, e in ipairs(gateway.instances) do
      expect(not sys.reap(e.pid), what .. ": " .. e.name .. " ended")
      local _, text = ask("GET", e.metrics, "/metrics")
      for kind, lag in text:gmatch(
        'madderpier_news_lag_seconds{kind="([^"]*)"} ([%d.]+)') do
        expect(tonumber(lag) < 2, what .. ": " .. e.name .. " lags " .. lag ..
               " s in " .. kind)
      end
      expect(answer_of(request(e, "stream")).status == 200, what)
    end
    entry("servers", name, "{}")
  end
end
judge()
