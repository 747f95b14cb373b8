-- starved_in_stop.lua
-- Guards against answers of requests that were read and are lost when an
-- instance with 3, 6 or 12 ms of each 100 ms is stopped.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/planned_work.lua")

local PERIOD_MS = 100
local SHARES_MS = { 3, 6, 12 }
-- from the first starved period on
local STOP_AT_MS, SENDS_UNTIL_MS, END_MS = 1000, 4200, 13000
local RATE_PER_S = 30 -- requests, at each instance
local DELAY_MS = 60 -- a stream takes 13 of these and 25 ms each
local KINDS = { "stream", "safe", "unsafe", "resume", "stream" }

start_gateway(#SHARES_MS)
wait_counted(#SHARES_MS)
for _, w in ipairs(gateway.workers) do
  worker(w, "slow=" .. DELAY_MS)
end
local shares = {}
local KEPT_COUNT = 6
for i, e in ipairs(gateway.instances) do
  shares[i] = { instance = e, ms = SHARES_MS[i], sent = 0, open = {}, kept = {} }
  for k = 1, KEPT_COUNT do -- connections that are idle when the starving begins
    shares[i].kept[k] = answer_of(request(e, "safe")).connection
  end
end

-- every third request is sent on a kept connection, every fifth is followed by
-- the next one before its answer was read
local function send(one)
  one.sent = one.sent + 1
  local n, connection = one.sent, nil
  if n % 3 == 0 then
    connection = table.remove(one.kept, 1)
    connection = connection and connection:alive() and connection or nil
  end
  local target = n % 7 == 0 and "large" or nil
  local r = request(one.instance, KINDS[n % #KINDS + 1], connection, nil, target)
  r.is_large = target ~= nil
  r.after_end = one.instance.ended
  one.open[#one.open + 1] = r
  if n % 5 == 0 then
    request_early(r, "safe").follows = r
  end
end

local function sweep(one)
  for i = #one.open, 1, -1 do
    local r = one.open[i]
    if ended(r) then
      table.remove(one.open, i)
      if r.next then
        one.open[#one.open + 1] = read_next(r)
      elseif r.whole and r.connection:alive() then
        table.insert(one.kept, r.connection)
      end
    end
  end
end

local began, is_stopped = sys.now(), false
local function meanwhile()
  local at = sys.now() - began
  if at >= STOP_AT_MS and not is_stopped then
    is_stopped = true
    for _, one in ipairs(shares) do
      stop_planned(one.instance)
      one.instance.stopped = sys.now()
    end
  end
  for _, one in ipairs(shares) do
    local e = one.instance
    if not e.ended then
      e.code = sys.reap(e.pid)
      e.ended = e.code and sys.now()
    end
    while at < SENDS_UNTIL_MS and one.sent < at * RATE_PER_S // 1000 do
      send(one)
    end
    sweep(one)
  end
end
local function all_ended()
  for _, one in ipairs(shares) do
    if not one.instance.ended then return false end
  end
  return true
end
while sys.now() - began < END_MS and not all_ended() do
  starve(shares, PERIOD_MS, meanwhile)
end
-- the platform has killed by now what has not ended
for _, one in ipairs(shares) do
  local e = one.instance
  if not e.ended then
    thaw(e)
    end_now(e)
  end
  print(string.format("%s, %d ms of %d: exit code %s after %s ms, %s", e.name,
    one.ms, PERIOD_MS, tostring(e.code), tostring(e.ended and e.ended - e.stopped),
    log_text(e):match("E7004[^\n]*") or "no E7004"))
end
wait("the end of every request", function()
  for _, one in ipairs(shares) do
    sweep(one)
    if #one.open > 0 then return false end
  end
  return true
end)
for _, r in ipairs(gateway.asked) do
  r.left = r.is_large -- its body is no small answer: judge() skips it
end
judge()
local faults, counts = judge_planned(PERIOD_MS)
print_counts("starved", counts)
expect((counts.whole or 0) * 4 > #gateway.asked, "many answers are whole")
expect(#faults == 0, #faults .. " requests:\n" .. table.concat(faults, "\n"))
