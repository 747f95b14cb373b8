-- configuration_fields.lua
-- Guards against requests that a change of any field of the configuration
-- leaves without an answer, or refuses for a reason that does not hold, beside
-- a stop of their instance and without one.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/planned_work.lua")

local NO_LIMIT = 10000000 -- tokens a second
gateway.spare = true
gateway.kv_tokens = 2500 -- two streams at each decode engine; others wait
gateway.revoke_ms = 2600
gateway.accounts = {
  { name = "first", keys = { "key-1", "key-2" }, rate = NO_LIMIT, burst = NO_LIMIT },
  { name = "second", keys = { "key-3" }, rate = NO_LIMIT, burst = NO_LIMIT }
}
any_key() -- the judge knows their accounts
start_gateway(6)
wait_counted(6)
for _, w in ipairs(gateway.workers) do
  worker(w, "slow=40") -- a stream takes 0.85 s
end
local unstopped = gateway.instances[1]
local ROUND_MS, UNDO_MS, TIMER_MS = 1400, 750, 100
local STOP_MS = { -100, 100 } -- the signal, from the change on

-- a field takes other values and gets its own back
local function fields(values)
  return function()
    for name, value in pairs(values) do gateway[name] = value end
    configure()
  end
end
local function accounts(first_keys, has_second, rate)
  return function()
    gateway.accounts = { { name = "first", keys = first_keys, rate = rate,
                           burst = rate } }
    if has_second then
      gateway.accounts[2] = { name = "second", keys = { "key-3" },
                              rate = NO_LIMIT, burst = NO_LIMIT }
    end
    configure()
  end
end
local all_accounts = accounts({ "key-1", "key-2" }, true, NO_LIMIT)
local function workers_of_zone_a(mode)
  return function()
    for _, w in ipairs(gateway.workers) do
      if w.zone == "a" then worker(w, mode) end
    end
  end
end

-- name, change, undoing it, and the refusals that it allows
local CHANGES = {
  { "head limit", fields { max_head_bytes = 100 }, fields { max_head_bytes = 16384 },
    { 431 } },
  { "body limit", fields { max_body_bytes = 4 }, fields { max_body_bytes = 1 << 20 },
    { 413 } },
  { "header timeout", fields { header_timeout_ms = 200 },
    fields { header_timeout_ms = 3000 }, {} },
  { "idle timeout", fields { idle_timeout_ms = 100 },
    fields { idle_timeout_ms = 15000 }, {} },
  { "route timeout", fields { timeout = 500 }, fields { timeout = 8000 }, { 504 } },
  { "route gone", fields { without = { safe = true, unsafe = true, stream = true,
                                       resume = true } },
    fields { without = {} }, { 404 } },
  { "other service", fields { weights = { safe = { spare = 1 },
                                          unsafe = { spare = 1 } } },
    fields { weights = {} }, {} },
  { "weights", fields { weights = { safe = { spare = 1, app = 9 },
                                    unsafe = { spare = 9, app = 1 } } },
    fields { weights = {} }, {} },
  { "connections and slots", fields { max_conns = 1, slots = 1 },
    fields { max_conns = 100, slots = 8 }, { 503 } },
  { "key gone", accounts({ "key-1" }, true, NO_LIMIT), all_accounts, { 401 } },
  { "account gone", accounts({ "key-1", "key-2" }, false, NO_LIMIT), all_accounts,
    { 401 } },
  { "rate", accounts({ "key-1", "key-2" }, true, 1300), all_accounts, { 429 } },
  { "endpoints gone", workers_of_zone_a("gone"), workers_of_zone_a("back"), {} },
  { "endpoints drain", workers_of_zone_a("draining"), workers_of_zone_a("back"),
    {} }
}

-- { state, kind, sent (ms from the change on), key }
local REQUESTS = {
  { "half sent", "stream", -400, "key-1" },
  { "half sent", "resume", -380, "key-3" },
  { "running", "stream", -60, "key-2" },
  { "running", "resume", -60, "key-3" },
  { "running", "unsafe", -30, "key-2" },
  { "running", "safe", -30, "key-3" },
  { "half-closed", "stream", -300, "key-1" },
  { "half-closed", "unsafe", -50, "key-1" },
  { "waiting", "stream", -40, "key-1" },
  { "waiting", "stream", -40, "key-2" },
  { "waiting", "resume", -40, "key-3" },
  { "waiting", "stream", -40, "key-1" },
  { "new", "unsafe", 30, "key-2" },
  { "new", "stream", 500, "key-3" },
  { "kept", "safe", 50, "key-1" },
  { "kept", "unsafe", 250, "key-2" },
  { "kept", "stream", 700, "key-3" }
}
local KEPT_MS, HALF_CLOSED_MS = -300, 20

local function send(e, change, row, connection)
  local r = request(e, row[2], connection, row[4])
  r.state, r.change = row[1], change
  return r
end

local function add_requests(e, change, at)
  for _, row in ipairs(REQUESTS) do
    local kept
    if row[1] == "kept" then
      step(at + KEPT_MS, function()
        kept = not e.is_stopping and
               send(e, change, { "before kept", "safe", 0, "key-1" })
      end)
    end
    step(at + row[3], function()
      if e.is_stopping and e.is_stopping ~= change or
         row[1] == "kept" and not (kept and ended(kept) and
                                   kept.connection:alive()) then
        return -- a stop before, or closed as idle or after its last answer
      end
      local r = send(e, change, row, kept and kept.connection)
      if row[1] == "half-closed" then
        step(sys.now() + HALF_CLOSED_MS, function()
          r.connection:end_sending()
        end)
      end
    end)
  end
end

local stops = {}
local function restart_when_ended(stop)
  local e = stop.instance
  stop.code = sys.reap(e.pid)
  if stop.code then
    e.is_stopping = nil
    launch(e)
  else
    step(sys.now() + 100, function() restart_when_ended(stop) end)
  end
end
local function stop_and_restart(e, change)
  if e.is_stopping then
    return
  end
  e.is_stopping = change
  local stop = { instance = e, change = change, at = sys.now() }
  stops[#stops + 1] = stop
  stop_planned(e)
  restart_when_ended(stop)
end

local began = sys.now() + 1000
for i, change in ipairs(CHANGES) do
  change.following = CHANGES[i + 1]
  local at = began + ROUND_MS * (i - 1)
  local e = gateway.instances[2 + (i - 1) % 5]
  add_requests(unstopped, change, at)
  add_requests(e, change, at)
  step(at, change[2])
  step(at + UNDO_MS, change[3])
  step(at + STOP_MS[i % #STOP_MS + 1], function() stop_and_restart(e, change) end)
end
run_steps()
for _, r in ipairs(gateway.asked) do
  answer_of(r)
end

local rows = judge()
local lines = lines_by_request()
local function may_lose(r, logged)
  if r.state == "half-closed" and
     (lines[r.id] or ""):find("E8003", 1, true) then
    return "hung up" -- one that ends its side during its request is gone
  end
  for _, loss in ipairs(logged.losses) do
    if loss.reason == "timeout" and
       loss.at - logged.read_at >= logged.left_ms - TIMER_MS then
      return "timed out"
    end
  end
end
local faults, counts = judge_planned(TIMER_MS, may_lose)

local function has(list, value)
  for _, one in ipairs(list) do
    if one == value then return true end
  end
  return false
end
-- Only its change, a full engine or the stop of its instance refuses a request;
-- one that waits may meet the change after it.
local function is_true_refusal(r)
  local kind = r.body:match('"kind":"([^"]*)"')
  if r.status == 503 and kind == "draining" then
    return r.instance ~= unstopped
  end
  local waited = (lines[r.id] or ""):find("E8007", 1, true)
  return has(r.change[4], r.status) or
         waited and r.change.following and has(r.change.following[4], r.status) or
         r.status == 503 and kind == "busy" and r.is_stream
end
local waited, refusals = 0, {}
for _, r in ipairs(gateway.asked) do
  local text = lines[r.id] or ""
  waited = waited + (text:find("E8007", 1, true) and 1 or 0)
  if r.whole and r.status ~= 200 then
    refusals[r.status] = (refusals[r.status] or 0) + 1
    -- 504 says that the work may have been done
    local says_not_run = r.status ~= 504
    if says_not_run and run_count(rows, r.id) > 0 or not is_true_refusal(r) then
      faults[#faults + 1] = string.format(
        "%s, %s (%s) at %s: refused %d %s\n%s", r.change[1], r.state, r.kind,
        r.instance.name, r.status, r.body, text)
    end
  end
end
for _, stop in ipairs(stops) do
  if stop.code ~= 0 then
    faults[#faults + 1] = string.format("%s, stopped beside '%s': exit code %s",
      stop.instance.name, stop.change[1], tostring(stop.code))
  end
end
print_counts("changes", counts)
print_counts("refusals", refusals)
print(waited .. " requests waited")
expect(waited > 0 and #stops > #CHANGES // 2, "requests waited, instances stopped")
expect(#faults == 0, #faults .. " faults:\n" .. table.concat(faults, "\n"))
