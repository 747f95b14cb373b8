-- two_planned_works.lua
-- Guards against requests that are lost when planned works overlap: carriers
-- and askers that stop together, SIGHUPs and changes within stops, and
-- instances that start and stop again in a storm of changes.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/planned_work.lua")

gateway.own_worker_links = true
-- with more, some learn the links of others from relays
start_gateway(6)
wait_counted(6)
for _, w in ipairs(gateway.workers) do
  worker(w, "slow=40") -- a stream takes 0.85 s
end
local all = gateway.instances
local carriers, askers = { table.unpack(all, 1, 3) }, { table.unpack(all, 4, 6) }
for _, e in ipairs(askers) do
  cut_off(e, "cut")
end
for _, e in ipairs(askers) do
  wait(e.name .. " reaches endpoints through others", function()
    for _, kind in ipairs { "safe", "unsafe", "stream", "resume" } do
      request(e, kind).is_warm_up = true
    end
    sys.pump(100)
    return metric(e, "indirect_endpoints") == #gateway.workers
  end)
end

local KINDS = { "stream", "unsafe", "resume", "safe" }
local LOOK_MS, SEND_MS, STORM_MS, TIMER_MS = 20, 80, 60, 100
-- from the first signal on
local SENT_UNTIL_MS, STORM_UNTIL_MS = 3600, 10500
local HANGUPS_MS = { 50, 200, 2750, 2900, 4000 }
local CHANGES_MS = { -700, -300, -20, 100, 250, 2850 }
local STOPPED_MS = { [carriers[1]] = 0, [askers[1]] = 0, [carriers[2]] = 200,
                     [askers[2]] = 100, [carriers[3]] = 400, [askers[3]] = 500 }
local EXIT_MS = 100 -- at most, from E7004 to the end of the process
local SECOND_STOP_MS = 700 -- after an instance is ready again

local sent = 0
local function send(e)
  sent = sent + 1
  request(e, KINDS[sent % #KINDS + 1])
end

local function change()
  gateway.timeout = gateway.timeout == 8000 and 8500 or 8000
  gateway.idle_timeout_ms = gateway.idle_timeout_ms == 15000 and 5000 or 15000
  configure(gateway.version % 2 == 0 and { "extra1" } or { "extra2", "extra3" })
end

local began = sys.now() + 1200
local stops = {}

local begin_life
local function watch_end(stop)
  local e = stop.instance
  stop.code = sys.reap(e.pid)
  if stop.code then
    e.stop, e.is_down = nil, true
    stop.ready_at = math.huge
    if e.lives < 3 then
      begin_life(e, stop)
    end
    return
  end
  stop.alive_at = sys.now()
  step(sys.now() + LOOK_MS, function() watch_end(stop) end)
end
local function stop(e)
  e.stop = { instance = e, at = sys.now(), alive_at = sys.now() }
  stops[#stops + 1] = e.stop
  stop_planned(e)
  watch_end(e.stop)
end
-- it starts again, gets requests as soon as it is ready, and stops again
function begin_life(e, before)
  e.lives = e.lives + 1
  launch(e)
  local function when_ready()
    if not is_ready(e) then
      step(sys.now() + LOOK_MS, when_ready)
      return
    end
    before.ready_at, e.is_down = sys.now(), false
    if e.lives == 2 then
      step(sys.now() + SECOND_STOP_MS, function() stop(e) end)
    end
  end
  when_ready()
end

for _, e in ipairs(all) do
  e.lives = 1
  step(began + STOPPED_MS[e], function() stop(e) end)
  for at = -900, SENT_UNTIL_MS, SEND_MS do
    step(began + at, function()
      if not e.is_down then send(e) end
    end)
  end
  for _, ms in ipairs(HANGUPS_MS) do
    step(began + ms, function()
      if e.lives == 1 and not e.is_down then hangup(e) end
    end)
  end
end
for _, ms in ipairs(CHANGES_MS) do
  step(began + ms, change)
end
-- then the storm, with all links whole
for at = SENT_UNTIL_MS, STORM_UNTIL_MS, STORM_MS do
  step(began + at, function()
    change()
    for _, e in ipairs(all) do
      if not e.is_down and e.lives > 1 then send(e) end
    end
  end)
end
step(began + SENT_UNTIL_MS, function()
  for _, e in ipairs(askers) do cut_off(e, "pass") end
end)
run_steps()
for _, r in ipairs(gateway.asked) do
  answer_of(r)
end

for _, r in ipairs(gateway.asked) do
  for _, one in ipairs(stops) do
    if one.instance == r.instance and r.sent >= one.alive_at - EXIT_MS and
       r.sent <= one.ready_at then
      r.after_end = true
    end
  end
end
local rows = judge()
local lines = lines_by_request()
local faults, counts = judge_planned(TIMER_MS)
local carried, refusals = 0, {}
for _, r in ipairs(gateway.asked) do
  local text = lines[r.id] or ""
  if text:find("E8012", 1, true) and not r.is_warm_up then
    carried = carried + 1
  end
  if r.whole and r.status ~= 200 then
    local kind = r.status .. " " .. (r.body:match('"kind":"([^"]*)"') or "-")
    refusals[kind] = (refusals[kind] or 0) + 1
  end
  if run_count(rows, r.id) > 0 and not r.is_warm_up and
     not (r.whole and r.status == 200) then
    faults[#faults + 1] = string.format("%s (%s) at %s: ran, status %s\n%s", r.id,
      r.kind, r.instance.name, tostring(r.status), text)
  end
end
for _, one in ipairs(stops) do
  if one.code ~= 0 then
    faults[#faults + 1] = string.format("%s, stopped at %+d ms: exit code %d",
      one.instance.name, one.at - began, one.code)
  end
end
print_counts(#stops .. " stops, " .. carried .. " carried", counts)
print_counts("refusals", refusals)
expect(carried > 0 and #stops == 12, "12 stops, and carried requests")
expect(#faults == 0, #faults .. " faults:\n" .. table.concat(faults, "\n"))
