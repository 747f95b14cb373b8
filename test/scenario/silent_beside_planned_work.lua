-- silent_beside_planned_work.lua
-- Guards against answers that are lost, or requests that run twice, when a
-- sound endpoint is silent for 1 to 1.5 s beside a stop, a SIGHUP or a change
-- of a route's timeout.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/planned_work.lua")

-- a stream takes 13 of these and 25 ms each
local DELAY_MS = 60
local ROUND_MS, TIMER_MS = 3300, 100
local USUAL_TIMEOUT_MS, SHORT_TIMEOUT_MS = 8000, 4000
-- when requests are sent, after the endpoints fall silent; two kinds each
local SENT_MS = { -900, -600, -300, -100, -20, 200, 700 }
local KINDS = { { "stream", "safe" }, { "resume", "unsafe" } }

start_gateway(8)
wait_counted(8)
for _, w in ipairs(gateway.workers) do
  worker(w, "slow=" .. DELAY_MS)
end
local all = gateway.instances
local rounds = {
  { silent_ms = 1000, zones = "a", stopped = { all[1], all[2], all[3] } },
  { silent_ms = 1500, zones = "b", stopped = { all[4], all[5], all[6] } },
  { silent_ms = 1500, zones = "ab", stopped = {}, has_change = true },
  { silent_ms = 1000, zones = "a", stopped = {}, has_change = true }
}
local hung_up = { all[7], all[8] }

local function each_silent(round, mode)
  for _, w in ipairs(gateway.workers) do
    if round.zones:find(w.zone, 1, true) then
      link(w.id, mode)
    end
  end
end

local function set_timeout(ms)
  gateway.timeout = ms
  configure()
end

local function add_requests(e, round, at)
  for i, ms in ipairs(SENT_MS) do
    for _, kind in ipairs(KINDS[i % #KINDS + 1]) do
      step(at + ms, function()
        local r = request(e, kind)
        r.round = round
      end)
    end
  end
end

local began = sys.now() + 1000
for i, round in ipairs(rounds) do
  local at = began + ROUND_MS * (i - 1)
  step(at, function() each_silent(round, "silent") end)
  step(at + round.silent_ms, function() each_silent(round, "pass") end)
  local moments = { -300, 100, round.silent_ms - 100 }
  for k, e in ipairs(round.stopped) do
    add_requests(e, round, at)
    step(at + moments[k], function() stop_planned(e) end)
  end
  for _, e in ipairs(hung_up) do
    add_requests(e, round, at)
    for _, ms in ipairs(moments) do
      step(at + ms, function() hangup(e) end)
    end
  end
  if round.has_change then
    step(at + 100, function() set_timeout(SHORT_TIMEOUT_MS) end)
    step(at + round.silent_ms - 100, function() set_timeout(USUAL_TIMEOUT_MS) end)
  end
end
run_steps()
for _, r in ipairs(gateway.asked) do
  answer_of(r)
end

local rows = judge()
local faults, counts = judge_planned(TIMER_MS)
local lines = lines_by_request()
local function check(ok, r, what)
  if not ok then
    faults[#faults + 1] = string.format("%s (%s) at %s: %s, status %s\n%s", r.id,
      r.kind, r.instance.name, what, tostring(r.status), lines[r.id] or "")
  end
end
local runs, resumed = 0, 0
for _, r in ipairs(gateway.asked) do
  local count, taken_up = run_count(rows, r.id), 0
  runs = runs + count
  for _, row in ipairs(rows[r.id] or {}) do
    taken_up = taken_up + (tonumber(row.resumed) and 1 or 0)
  end
  resumed = resumed + taken_up
  -- endless-answers.md: a stream that may be resumed is, after a pause
  check(count - taken_up <= 1 and (taken_up == 0 or r.kind == "resume"), r,
        "ran " .. count .. " times, " .. taken_up .. " of them from an event on")
  check(count == 0 or r.whole and r.status == 200, r, "ran, without its answer")
end
for i = 1, 6 do
  local e, code = all[i], nil
  wait(e.name .. "'s end", function()
    code = sys.reap(e.pid)
    return code ~= nil
  end)
  if code ~= 0 then
    faults[#faults + 1] = e.name .. ": exit code " .. code
  end
end
print_counts(string.format("%d runs beside silences, %d of them from an event on",
                           runs, resumed), counts)
expect(#faults == 0, #faults .. " faults:\n" .. table.concat(faults, "\n"))
