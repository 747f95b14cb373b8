-- soak.lua
-- Random faults from outside against real processes, judged from what
-- callers and workers saw. SOAK_SEED, SOAK_SECONDS and SOAK_INSTANCES are
-- taken from the environment; scripts/soak.sh runs it over many seeds.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/odd_entries.lua")

local seed = tonumber(os.getenv("SOAK_SEED") or "1")
local seconds = tonumber(os.getenv("SOAK_SECONDS") or "8")
local instances = tonumber(os.getenv("SOAK_INSTANCES") or "3")
local STEP = 20 -- milliseconds
local KINDS = { "safe", "unsafe", "stream", "resume" }

math.randomseed(seed)
-- planned stops of instances that nothing else befalls, beside changes of the
-- configuration and SIGHUPs; of the kinds before it has accounts and orders
-- instances that stand still beside planned stops and releases, and callers
-- with short deadlines; of the kinds before it has those of 14000
local stands_still = seed >= 19000
local level = stands_still and 14000 or seed
local is_calm = level >= 17000
-- the same beside sound endpoints that fall silent, and starved instances
local falls_silent = level >= 18000
local kind = is_calm and 6000 or level
if seed >= 1000 then -- engines that are ordered to change their stage, too
  gateway.lease_ms, gateway.kv_tokens, gateway.more_prefill = 2000, 2500, 4
end
if seed >= 6000 then -- client accounts: keys go, limits sink
  gateway.accounts = {
    { name = "first", keys = { "key-1", "key-2", "key-3" }, rate = 0,
      burst = 0 },
    { name = "second", keys = { "key-4", "key-5" }, rate = 13000,
      burst = 13000 }
  }
end
-- workers that end and come back, requests that end them, spoilt entries
local ends = kind >= 7000
-- the same beside an odd entry that changes ten times a second
local odd = seed >= 7500 and seed < 8000
gateway.direct = ends and seed % 2 == 1 -- who has ended refuses connections
local named = kind >= 8000 -- workers that name the rate they take
local says = kind >= 9000 -- workers that say they leave, or ask for rest
-- single instances are cut off from workers
local cuts = kind >= 13000
gateway.own_worker_links = cuts
-- workers restart at other versions of their software, and callers take up
-- streams that broke off
local rolls = kind >= 14000
-- for some seconds most new connections go to one instance, which has little
-- processor time
local crowds = kind >= 15000
-- all instances are stopped in turn, while callers read large answers slowly
local rolling = level >= 16000
if rolling then
  gateway.memory_mb, gateway.memory_share = 88, 0.3 -- small send buffers
  gateway.caller_links = true
end
-- relays follow the store for the others
gateway.one_zone = kind >= 4000 and kind < 6000 or
                   kind >= 10000 and not cuts
-- some 1,400 routes, of which one is added now and then, and a store that turns
-- single instances away
local large = kind >= 10000 and not cuts
gateway.own_store_links = large
-- the store comes back from copies some seconds old
local returns = kind >= 5000 and kind < 6000 or
                kind >= 11000 and not cuts
if is_calm then -- runs that are slow wait for no engine
  gateway.kv_tokens, gateway.slots = 20000, 16
end
start_gateway(instances)

-- when instances, and the ways to workers, were in trouble: name -> intervals
local trouble = {}
local SETTLE_MS = 1000 -- what a link held back comes within this
local function begin_interval(list, name)
  list[name] = list[name] or {}
  table.insert(list[name], { from = sys.now() })
end
local function end_intervals(list, name, at)
  for _, one in ipairs(list[name] or {}) do
    one.to = one.to or at
  end
end
local function overlaps(list, name, from, to)
  for _, one in ipairs(list[name] or {}) do
    if one.from <= to and (not one.to or one.to >= from) then
      return true
    end
  end
  return false
end
local function begins(name)
  begin_interval(trouble, name)
end
local function ends_soon(name)
  end_intervals(trouble, name, sys.now() + SETTLE_MS)
end
local function in_trouble(name, from, to)
  return overlaps(trouble, name, from, to)
end
local function noting(plain, starts, stops)
  return function(e, ...)
    if starts then begins(e.name) end
    plain(e, ...)
    if stops then ends_soon(e.name) end
  end
end
end_now = noting(end_now, true)
stop_planned = noting(stop_planned, true)
freeze = noting(freeze, true)
thaw = noting(thaw, false, true)
launch = noting(launch, true, true)
local plain_link = link
function link(name, mode, ms)
  if mode ~= "pass" then
    begins(name)
  end
  plain_link(name, mode, ms)
  for one in pairs(trouble) do
    if mode == "pass" and (name == "*" or name == one) then
      ends_soon(one)
    end
  end
end

-- what may cost a request its answer: "WHAT NAME" -> intervals
local excuses = {}
local plain_end_now, plain_freeze, plain_thaw = end_now, freeze, thaw
function end_now(e)
  begin_interval(excuses, "killed " .. e.name)
  plain_end_now(e)
  end_intervals(excuses, "killed " .. e.name, sys.now())
end
function freeze(e)
  begin_interval(excuses, "frozen " .. e.name)
  plain_freeze(e)
end
function thaw(e)
  plain_thaw(e)
  end_intervals(excuses, "frozen " .. e.name, sys.now() + SETTLE_MS)
end
local noted_link = link
function link(name, mode, ms)
  if mode ~= "pass" then
    begin_interval(excuses, "link " .. name)
  end
  noted_link(name, mode, ms)
  for what in pairs(excuses) do
    if mode == "pass" and (what == "link " .. name or
                           name == "*" and what:find("^link ")) then
      end_intervals(excuses, what, sys.now() + SETTLE_MS)
    end
  end
end
-- A worker that ends restarts within this (standin/worker.c).
local RESTART_MS = 1500
local function note_crash(id, at)
  local name = "crash " .. id
  excuses[name] = excuses[name] or {}
  table.insert(excuses[name], { from = at, to = at + RESTART_MS + SETTLE_MS })
end
local plain_worker = worker
function worker(w, mode)
  local now = sys.now()
  if mode == "crash" or mode:find("^software=") then
    note_crash(w.id, now)
  elseif mode == "cut" or mode == "mute" or mode == "slow" then
    end_intervals(excuses, "cut " .. w.id, now + SETTLE_MS)
    end_intervals(excuses, "mute " .. w.id, now + SETTLE_MS)
    end_intervals(excuses, "slow " .. w.id, now)
    begin_interval(excuses, mode .. " " .. w.id)
  elseif mode == "ok" or mode == "error" or mode == "shed" then
    end_intervals(excuses, "cut " .. w.id, now + SETTLE_MS)
    end_intervals(excuses, "mute " .. w.id, now + SETTLE_MS)
    end_intervals(excuses, "slow " .. w.id, now)
  elseif mode == "gone" then
    begin_interval(excuses, "gone " .. w.id)
  elseif mode == "back" then
    end_intervals(excuses, "gone " .. w.id, now + SETTLE_MS)
  end
  plain_worker(w, mode)
end

-- Planned stops, each with the time of its signal, the time and the exit code
-- of its end, and the line of its log (E7004).
local stops = {}
local noted_stop, noted_launch = stop_planned, launch
function stop_planned(e)
  e.stop = { instance = e, at = sys.now() }
  stops[#stops + 1] = e.stop
  noted_stop(e)
end
local function log_size(e)
  local file = io.open(e.log)
  local size = file and file:seek("end") or 0
  if file then
    file:close()
  end
  return size
end
-- what the present process of an instance has logged
local function log_of_life(e)
  local file = assert(io.open(e.log))
  file:seek("set", e.log_from or 0)
  local text = file:read("a")
  file:close()
  return text
end
function launch(e)
  e.launched, e.log_from = sys.now(), log_size(e)
  noted_launch(e)
end
local function time_of(line)
  local h, m, s, ms = line:match("T(%d+):(%d+):(%d+)%.(%d+)Z")
  return ((h * 60 + m) * 60 + s) * 1000 + ms
end
-- An end is noticed when this process next looks, which is late where it gets
-- little processor time itself: 'alive_at' is when the instance was last seen
-- to run, 'logged_ms' how long the stop took by the instance's own clock.
local function note_end(e)
  local looked = sys.now()
  local code = not e.stop.ended and sys.reap(e.pid)
  if code then
    local text = log_of_life(e)
    local signal = text:match("[^\n]* E7001 [^\n]*")
    local last = text:match("[^\n]* E7004 [^\n]*")
    e.stop.ended, e.stop.code = sys.now(), code
    e.stop.line = last and last:match("E7004.*")
    e.stop.logged_ms = signal and last and
      (time_of(last) - time_of(signal)) % (24 * 60 * 60 * 1000) +
      tonumber(signal:match(" late_ms=(%d+)"))
  elseif not e.stop.ended then
    e.stop.alive_at = looked
  end
end

local routes = {} -- a large configuration: names of its further routes
local added = {}  -- of these, those that were added, and when
if large then
  for i = 1, 1400 do
    routes[i] = string.format("route%d-%d", i, i * 7919 % 100003)
  end
  local plain_configure = configure
  configure = function()
    plain_configure(routes)
  end
  local plain_store = store
  store = function(mode)
    if mode ~= "ok" then begins("store") end
    plain_store(mode)
    if mode == "ok" then ends_soon("store") end
  end
  configure()
end
local function add_route()
  routes[#routes + 1] = "added" .. #routes
  configure(routes)
  added[#added + 1] = { name = routes[#routes], at = sys.now() }
end

local connections = {} -- kept ones, used until their process is gone
local open = {}        -- requests that have not ended
local frozen = {}      -- instance -> steps until it is thawed
local ending = {}      -- instances that were told to stop
local pauses = {}      -- callers that stop reading: { request, from, till }
local early = {}       -- callers that do not wait: { request, at }

-- Ends of processes and pauses of callers are looked at whenever time passes,
-- so that their times are exact.
local plain_pump = sys.pump
local LOOK_MS = 10
local function look()
  for e in pairs(ending) do
    note_end(e)
  end
  for i = #early, 1, -1 do
    local one = early[i]
    if ended(one.request) then
      table.remove(early, i)
    elseif sys.now() >= one.at then
      request_early(one.request, one.kind, gateway.accounts[1].keys[1], one.target)
      table.remove(early, i)
    end
  end
  for i = #pauses, 1, -1 do
    local now, one = sys.now(), pauses[i]
    local r = one.request
    if not r.paused and now >= one.from then
      r.paused = now
      r.connection:stop_reading()
    end
    if r.over or one.till and now >= one.till then
      r.resumed = now
      r.connection:resume_reading()
      table.remove(pauses, i)
    end
  end
end
function sys.pump(ms)
  local till = sys.now() + ms
  repeat
    plain_pump(math.max(math.min(LOOK_MS, till - sys.now()), 1))
    look()
  until sys.now() >= till
end

local function any(list)
  return list[math.random(#list)]
end

local function running()
  local out = {}
  for _, e in ipairs(gateway.instances) do
    if not ending[e] and not frozen[e] then
      out[#out + 1] = e
    end
  end
  return out
end

-- a connection that no request is using, or a new one
local function connection_to(e)
  local kept = connections[e] or {}
  connections[e] = kept
  for i = #kept, 1, -1 do
    if not kept[i].connection:alive() then
      table.remove(kept, i)
    elseif not kept[i].request or ended(kept[i].request) and
           not kept[i].request.next then
      return kept[i]
    end
  end
  if #kept >= 12 then
    return nil
  end
  kept[#kept + 1] = { connection = sys.connect(e.port) }
  return kept[#kept]
end

local DEADLINES_MS = { 300, 700, 1500, 3000, 9000 }
local function ask_something()
  local e = any(gateway.instances)
  local row = connection_to(e)
  if row then
    row.request = request(e, any(KINDS), row.connection, nil, nil, nil, nil,
                          nil, stands_still and any(DEADLINES_MS) or nil)
    open[#open + 1] = row.request
  end
end

-- the last route that was confirmed so long ago that it is in force everywhere
local IN_FORCE_MS = 3000
local asked_added = {}
local function ask_added()
  local row
  for _, one in ipairs(added) do
    row = one.at + IN_FORCE_MS < sys.now() and one or row
  end
  if row then
    local r = request(any(gateway.instances), row.name)
    asked_added[#asked_added + 1] = r
    open[#open + 1] = r
  end
end

local function leave_something()
  local r = #open > 0 and any(open)
  if r and not ended(r) then
    leave(r)
  end
end

local function restart_ended()
  for e in pairs(ending) do
    if e.stop.ended then
      ending[e] = nil
      launch(e)
    end
  end
end

local function thaw_some()
  for e, left in pairs(frozen) do
    if left <= 0 then
      frozen[e] = nil
      thaw(e)
    else
      frozen[e] = left - 1
    end
  end
end

-- An instance that starts is not stopped: until it handles the signal, that
-- would end it.
local STARTED_MS = 1000
local function may_stop(e)
  return not ending[e] and not frozen[e] and
         sys.now() - (e.launched or 0) > STARTED_MS and
         log_of_life(e):find("E7003", 1, true)
end

-- each fault, with how it is struck
local faults = {
  function() end_now(any(gateway.instances)) end,
  function()
    local e = any(running())
    if e and (not rolling or may_stop(e)) then
      stop_planned(e)
      ending[e] = true
    end
  end,
  function()
    local e = any(running())
    if e then freeze(e); frozen[e] = math.random(10, 80) end
  end,
  function()
    local e = any(running())
    if e then hangup(e) end
  end,
  function() worker(any(gateway.workers),
                    any { "error", "shed", "cut", "mute", "slow" }) end,
  function() worker(any(gateway.workers), "ok") end,
  function() worker(any(gateway.workers), any { "draining", "gone" }) end,
  function() worker(any(gateway.workers), "back") end,
  function() link(any(gateway.workers).id,
                  any { "delay", "silent", "oneway", "reset" },
                  math.random(20, 300)) end,
  function() link(any(gateway.workers).id, "pass") end,
  function() link("*", "pass") end,
  function() link("store", any { "delay", "silent", "oneway", "reset" },
                  math.random(20, 300)) end,
  function() link("store", "pass") end,
  function() store(any { "down", "silent", "lose", "compact" }) end,
  function() store("ok") end,
  function() configure({ "extra" .. math.random(3) }) end
}
if gateway.accounts then
  faults[#faults + 1] = function()
    local keys = gateway.accounts[math.random(2)].keys
    if #keys > 1 then
      revoke(any(keys))
    end
  end
  faults[#faults + 1] = function()
    gateway.accounts[2].rate = any { 4000, 13000 }
    configure()
  end
end

local deadly = {} -- requests that end who runs them, in the order they were sent
local function send_deadly(e)
  local key = gateway.accounts and gateway.accounts[1].keys[1]
  local r = crashing(e, "stream", "deadly", key)
  deadly[#deadly + 1] = r
  open[#open + 1] = r
  return r
end
if ends then
  faults[#faults + 1] = function() worker(any(gateway.workers), "crash") end
  faults[#faults + 1] = function() send_deadly(any(gateway.instances)) end
  faults[#faults + 1] = function()
    entry("servers", "other-" .. math.random(3),
          any { "7", '"x"', '{"State":"lost"}', '{"Service":[]}' })
  end
  faults[#faults + 1] = function()
    entry("madderpier-instances", any(gateway.instances).name, '{"Address":1}')
  end
end

if named then
  faults[#faults + 1] = function()
    worker(any(gateway.workers),
           "rate=" .. any { "0", "0.5", "3", "12.5", "nan", "4,4", "", "" })
  end
end

if says then
  faults[#faults + 1] = function() worker(any(gateway.workers), "leaving") end
  faults[#faults + 1] = function()
    worker(any(gateway.workers),
           "rest=" .. any { "0", "0.3", "1.5", "3", "soon", "", "", "" })
  end
end

if large then
  faults[#faults + 1] = function()
    link("store-" .. any(gateway.instances).name,
         any { "delay", "silent", "oneway", "reset" }, math.random(20, 300))
  end
  faults[#faults + 1] = function()
    link("store-" .. any(gateway.instances).name, "pass")
  end
end

local function cut_instance(e, mode, which)
  begins(e.name)
  cut_off(e, mode, which)
end
if cuts then
  local MODES = { "cut", "hang", "refuse", "silent", "oneway", "delay" }
  for _ = 1, 2 do
    faults[#faults + 1] = function()
      cut_instance(any(gateway.instances), any(MODES))
    end
  end
  faults[#faults + 1] = function() -- from some of the workers
    cut_instance(any(gateway.instances), any(MODES),
                 function() return math.random(3) > 1 end)
  end
  faults[#faults + 1] = function() -- most or all of a data centre
    local zone, mode = any { "a", "b" }, any(MODES)
    for _, e in ipairs(gateway.instances) do
      if e.zone == zone and math.random(4) > 1 then
        cut_instance(e, mode)
      end
    end
  end
  for _ = 1, 3 do
    faults[#faults + 1] = function()
      local e = any(gateway.instances)
      cut_off(e, "pass")
      ends_soon(e.name)
    end
  end
end

if rolls then
  for _ = 1, 2 do
    faults[#faults + 1] = function()
      worker(any(gateway.workers), "software=" .. any { "v1", "v1.1", "v2" })
    end
    faults[#faults + 1] = function() -- instances that are killed at once
      for _, e in ipairs(running()) do
        if math.random(2) == 1 then
          end_now(e)
          launch(e)
        end
      end
    end
  end
end

-- Changes of the configuration beside the stops, each with a SIGHUP for each
-- instance, also those that stop.
local SHORT_TIMEOUT_MS, USUAL_TIMEOUT_MS = 3000, 12000
local CHANGE_FORCE_MS = 3000 -- a change is in force everywhere
local timeouts = { { at = sys.now(), ms = gateway.timeout } }
local change_at, hangups, hangup_at = sys.now(), {}, 0
local function some_names(prefix)
  local names = {}
  for i = 1, 4 do
    if math.random(2) == 1 then names[#names + 1] = prefix .. i end
  end
  return names
end
local function change_configuration()
  gateway.timeout = any { SHORT_TIMEOUT_MS, 8000, USUAL_TIMEOUT_MS }
  timeouts[#timeouts + 1] = { at = sys.now(), ms = gateway.timeout }
  gateway.header_timeout_ms = any { 1000, 3000 }
  gateway.idle_timeout_ms = any { 2000, 5000, 15000 }
  gateway.max_head_bytes, gateway.max_body_bytes = any { 4096, 16384 }, any { 4096, 1 << 20 }
  gateway.max_conns, gateway.slots = any { 30, 100 }, any { 8, 16 }
  gateway.accounts[2].rate = any { 4000, 13000 }
  local routes_now = some_names("extra")
  gateway.more_streams = some_names("streams")
  configure(routes_now)
end
local function change_and_hangup()
  local now = sys.now()
  if now >= change_at then
    change_configuration()
    change_at = now + math.random(100, 700)
    hangups = { table.unpack(gateway.instances) }
    hangup_at = now + any { 0, 0, math.random(10, 200) }
  end
  while #hangups > 0 and now >= hangup_at do
    local e = table.remove(hangups, math.random(#hangups))
    local is_up = log_of_life(e):find("E7003", 1, true)
    if is_up and not (e.stop and ending[e] and e.stop.ended) then
      hangup(e)
    end
    hangup_at = now + any { 0, math.random(10, 60) }
  end
end
-- the shortest time that a request which was sent then may have been given
local function least_timeout(sent)
  local least = 9000 -- what the callers give them (gateway.lua)
  for i, one in ipairs(timeouts) do
    local till = timeouts[i + 1] and timeouts[i + 1].at + CHANGE_FORCE_MS
    if one.at <= sent and (not till or till >= sent) then
      least = math.min(least, one.ms)
    end
  end
  return least
end
local function extra_kind() -- its route may be there, or go at any time
  return any { any { "extra", "streams" } .. math.random(4), "safe" }
end
local function large_kinds()
  return { "safe", "unsafe", "stream", "stream", "resume", extra_kind() }
end
-- Slow runs last as long as stops (SLOW_STREAM_MS).
local function change_pace()
  worker(any(gateway.workers), any { "slow", "ok" })
end

-- callers of large answers
local LARGE_OPEN = 8 -- at each instance: well below the bound of flow control
local LARGE_OPEN_SLOW = 2 -- over a slow link, which takes 1.3 s for each
local SLOW_RATE_MIN, SLOW_RATE_MAX = 800 * 1000, 2500 * 1000
local FILLER = ("x"):rep(1 << 20) -- standin/worker.c
local function large_open(e, over_link)
  local n = 0
  for _, r in ipairs(open) do
    n = n + (r.instance == e and r.target == "large" and
             (r.over_link or not over_link) and 1 or 0)
  end
  return n
end

-- Pauses are over before DRAIN_MOST_MS whenever the request came before the
-- stop refused new ones; some callers never read on.
local function pause_reading(r)
  local n = math.random(60)
  local from = sys.now() + any { 0, 0, math.random(20, 80) }
  if n == 1 then
    pauses[#pauses + 1] = { request = r, from = from }
  elseif n <= 42 then
    pauses[#pauses + 1] = { request = r, from = from,
                            till = from + math.random(200, 4000) }
  end
end

-- Small requests and large ones, so that the next answer may wait or stream.
local function send_early(r)
  if math.random(2) == 1 then
    local after = any { math.random(0, 800), math.random(0, 6000) }
    early[#early + 1] = { request = r, at = sys.now() + after,
                          kind = any { "safe", "unsafe", "stream" },
                          target = any { "x", "x", "large" } }
  end
end

local function ask_large()
  local e = any(gateway.instances)
  local over_link = e.is_slow and math.random(3) == 1
  if large_open(e) >= LARGE_OPEN or
     over_link and large_open(e, true) >= LARGE_OPEN_SLOW then
    return
  end
  local row = not over_link and math.random(2) == 1 and connection_to(e)
  local connection = over_link and sys.connect(e.caller_link) or
                     row and row.connection or nil
  local kinds = is_calm and large_kinds() or { "safe", "unsafe" }
  local r = request(e, any(kinds), connection, gateway.accounts[1].keys[1],
                    "large")
  if row then
    row.request = r
  end
  r.over_link = over_link
  open[#open + 1] = r
  if not over_link then
    pause_reading(r)
  end
  if is_calm then
    send_early(r)
  end
end

-- a small one over the slow link
local function ask_over_link()
  local e = any(gateway.instances)
  if e.is_slow then
    local r = request(e, any(KINDS), sys.connect(e.caller_link),
                      gateway.accounts[1].keys[1])
    r.over_link = true
    open[#open + 1] = r
  end
end

local function check_large(r)
  r.bytes = r.body and #r.body or 0
  if r.target == "large" and r.is_stream and not r.left then
    if r.status == 200 then
      check_events(r)
    end
    r.body = nil
  elseif r.target == "large" and not r.left then
    expect(not r.whole or r.status ~= 200 or
           r.body == "answer to " .. r.id .. FILLER,
           r.id .. ": its large answer has " .. r.bytes .. " bytes")
    r.body = nil
  end
end

-- Rolling stops: all instances in turn, in random order
local series, series_at = nil, sys.now() + math.random(300, 1500)
local function limit_links()
  for _, e in ipairs(gateway.instances) do
    e.is_slow = math.random(2) == 1
    limit_callers(e, e.is_slow and
                     math.random(SLOW_RATE_MIN, SLOW_RATE_MAX) or nil)
  end
end
local function begin_series()
  series = {}
  for _, e in ipairs(gateway.instances) do
    table.insert(series, math.random(#series + 1), e)
  end
  limit_links()
end
local function roll()
  if sys.now() < series_at then
    return
  end
  if not series then
    begin_series()
  end
  local e = table.remove(series)
  if may_stop(e) then
    stop_planned(e)
    ending[e] = true
  end
  series_at = sys.now() + math.random(100, 500)
  if #series == 0 then
    series, series_at = nil, sys.now() + math.random(500, 2500)
  end
end
-- a second signal changes nothing
local function repeat_signal()
  for e in pairs(ending) do
    if not e.stop.ended then
      sys.signal(e.pid, 15)
      return
    end
  end
end

local crowded -- instance, its limiter's process, and until when
local function end_crowd()
  end_intervals(excuses, "limited " .. crowded.instance.name, sys.now())
  sys.signal(crowded.limiter, 9)
  wait("the end of a limiter", function() return sys.reap(crowded.limiter) end)
  if not frozen[crowded.instance] then
    thaw(crowded.instance)
  end
  crowded = nil
end

local function crowd()
  local e = any(running())
  if not e or crowded then
    return
  end
  begin_interval(excuses, "limited " .. e.name)
  crowded = { instance = e, till = sys.now() + math.random(500, 3000),
              limiter = sys.spawn(sys.dir .. "/quota.log",
                sys.build .. "/standin-quota", tostring(math.random(1500, 9000)),
                "100", tostring(e.pid)) }
end

local function ask_crowded()
  for _ = 1, math.random(0, 8) do
    open[#open + 1] = request(crowded.instance, any(KINDS))
  end
  if sys.now() >= crowded.till then
    end_crowd()
  end
end

-- Sound endpoints that say nothing for a while and go on: id -> until when
local SILENCE_MIN_MS, SILENCE_MAX_MS = 1000, 1500
local silent = {}
local silences, starvings = 0, 0
local function fall_silent()
  local id = any(gateway.workers).id
  if not silent[id] then
    silences = silences + 1
    silent[id] = sys.now() + math.random(SILENCE_MIN_MS, SILENCE_MAX_MS)
    link(id, "silent")
  end
end
local function end_silences()
  for id, till in pairs(silent) do
    if sys.now() >= till then
      silent[id] = nil
      link(id, "pass")
    end
  end
end

-- Instances with little processor time, those that stop too: instance -> its
-- limiter's process and until when
local STARVED_MAX = 2
local STARVED_MIN_US, STARVED_MAX_US, STARVED_PERIOD_MS = 3000, 12000, 100
local starved, starved_count = {}, 0
local function starve()
  local e = any(gateway.instances)
  if starved[e] or starved_count >= STARVED_MAX or e.stop and ending[e] and
     e.stop.ended or not log_of_life(e):find("E7003", 1, true) then
    return
  end
  starvings, starved_count = starvings + 1, starved_count + 1
  begin_interval(excuses, "limited " .. e.name)
  starved[e] = { till = sys.now() + math.random(1000, 4000),
                 limiter = sys.spawn(sys.dir .. "/quota.log",
                   sys.build .. "/standin-quota",
                   tostring(math.random(STARVED_MIN_US, STARVED_MAX_US)),
                   tostring(STARVED_PERIOD_MS), tostring(e.pid)) }
end
local function end_starving(is_end)
  for e, one in pairs(starved) do
    if is_end or sys.now() >= one.till then
      starved[e], starved_count = nil, starved_count - 1
      end_intervals(excuses, "limited " .. e.name, sys.now() + SETTLE_MS)
      sys.signal(one.limiter, 9)
      wait("the end of a limiter", function() return sys.reap(one.limiter) end)
      thaw(e)
    end
  end
end

if crowds then
  for _ = 1, 4 do
    faults[#faults + 1] = crowd
  end
end

if returns then
  for _ = 1, 3 do
    faults[#faults + 1] = function()
      begins("store")
      restore_store(math.random(100, 6000))
      ends_soon("store")
    end
  end
end

if rolling then
  for _ = 1, 6 do -- stops of instances that work
    faults[#faults + 1] = function()
      link("*", "pass")
      for _, w in ipairs(gateway.workers) do
        worker(w, "ok")
        worker(w, "back")
        worker(w, "rate=")
        worker(w, "rest=")
      end
      limit_links()
    end
  end
end

if is_calm then
  faults = { change_pace, change_pace, limit_links }
end
if stands_still then
  local function frozen_count()
    local count = 0
    for _ in pairs(frozen) do count = count + 1 end
    return count
  end
  local function stand_still(e)
    if e and not frozen[e] and frozen_count() < instances // 2 then
      freeze(e)
      frozen[e] = math.random(20, 120)
    end
  end
  local function stand_still_in_stop()
    local e = any(running())
    if e and may_stop(e) then
      stop_planned(e)
      ending[e] = true
      stand_still(e)
    end
  end
  local function release()
    worker(any(gateway.workers), "software=" .. any { "v1", "v1.1", "v2" })
  end
  -- also those that are being stopped
  local function still() stand_still(any(gateway.instances)) end
  faults = { still, still, still, still, still, still, stand_still_in_stop,
             release, release }
end
if falls_silent then
  for _, fault in ipairs { fall_silent, fall_silent, starve } do
    faults[#faults + 1] = fault
  end
end

local function strike()
  local n = math.random(#faults)
  if n == 1 and not is_calm and not stands_still then -- one that runs, and is started again at once
    local e = any(running())
    if e then
      end_now(e)
      launch(e)
    end
  else
    faults[n]()
  end
end

local TAKE_UPS_MAX = 3
local taken_up = 0
local function take_up_again(r)
  if rolls and r.kind == "resume" and not r.left and not r.whole and
     last_event(r) and (r.tries or 0) < TAKE_UPS_MAX then
    local n = take_up(r, any(gateway.instances))
    n.tries = (r.tries or 0) + 1
    taken_up = taken_up + 1
    open[#open + 1] = n
  end
end

local function sweep()
  for i = #open, 1, -1 do
    if ended(open[i]) then
      local r = table.remove(open, i)
      r.ended = sys.now()
      check_large(r)
      if r.next then
        r.next.follows, open[#open + 1] = r, read_next(r)
      end
      take_up_again(r)
    end
  end
end

local odd_changes = 0
local function change_odd_entry() -- each form for a second
  odd_changes = odd_changes + 1
  local form = odd_forms[odd_changes // 10 % #odd_forms + 1][2]
  entry("servers", "odd", form("odd", odd_changes))
end

for step = 1, seconds * 1000 // STEP do
  if odd and step % (100 // STEP) == 0 then
    change_odd_entry()
  end
  for _ = 1, math.random(0, 2) do
    ask_something()
  end
  if math.random(40) == 1 then
    leave_something()
  end
  if math.random(8) == 1 then
    strike()
  end
  if large and step % (500 // STEP) == 0 then
    add_route()
  end
  if large and math.random(4) == 1 then
    ask_added()
  end
  if crowded then
    ask_crowded()
  end
  if rolling then
    roll()
    if math.random(3) == 1 then ask_large() end
    if math.random(10) == 1 then ask_over_link() end
    if math.random(100) == 1 then repeat_signal() end
  end
  if is_calm then
    change_and_hangup()
    if math.random(6) == 1 then
      open[#open + 1] = request(any(gateway.instances), extra_kind(), nil,
                                gateway.accounts[1].keys[1])
    end
  end
  if falls_silent then
    end_silences()
    end_starving()
  end
  restart_ended()
  thaw_some()
  sweep()
  sys.pump(STEP)
end
if crowded then
  end_crowd()
end
end_starving(true)

-- heal everything; then every request ends, and all are served again
if is_calm then
  gateway.timeout, gateway.max_body_bytes = USUAL_TIMEOUT_MS, 1 << 20
  configure()
end
store("ok")
link("*", "pass")
for _, w in ipairs(gateway.workers) do
  worker(w, "ok")
  worker(w, "back")
  worker(w, "rate=")
  worker(w, "rest=")
  if says or returns then -- a later life does not leave
    worker(w, "crash")
  end
end
for e in pairs(frozen) do
  thaw(e)
end
wait("the end of planned stops", function()
  restart_ended()
  return next(ending) == nil
end)
for _, one in ipairs(pauses) do
  if not one.till then
    leave(one.request) -- it never reads
  end
end
wait("the end of every request", function()
  sweep()
  return #open == 0
end)
for _, e in ipairs(gateway.instances) do
  wait_ready(e)
  wait("service at " .. e.name, function()
    local account = gateway.accounts and gateway.accounts[1]
    local r = answer_of(request(e, "unsafe", nil, account and account.keys[1]))
    return r.whole and r.status == 200
  end)
end
-- a change after a last return is in force everywhere in time
if returns then
  restore_store(4000)
  sys.pump(100)
  add_route()
  local name, until_ms = routes[#routes], sys.now() + IN_FORCE_MS
  for _, e in ipairs(gateway.instances) do
    local status
    repeat
      local account = gateway.accounts and gateway.accounts[1]
      status = answer_of(request(e, name, nil,
                                 account and account.keys[1])).status
      sys.pump(STEP)
    until status ~= 404 or sys.now() > until_ms
    expect(status ~= 404, e.name .. ": 404 of " .. name .. " after a return")
  end
  wait_counted(instances)
end
-- However many of its runs ended unseen: three more at the most, and it is
-- held. A request that is suspected is refused for 5 s and then runs again, so
-- it may take some rounds until three ends are proved.
local HELD_ROUNDS_MIN, HELD_ROUNDS_MAX = 8, 40
if ends then
  local held, runs, rounds = 0, 0, 0
  wait_counted(instances)
  repeat
    rounds = rounds + 1
    for _, e in ipairs(gateway.instances) do
      local r = answer_of(send_deadly(e))
      local is_held = r.status == 503 and r.body:find('"held"', 1, true)
      held = is_held and held + 1 or 0
      runs = runs + (r.status == 503 and 0 or 1)
      sys.pump(150)
    end
  until rounds >= HELD_ROUNDS_MIN and held >= #gateway.instances or
        rounds == HELD_ROUNDS_MAX
  expect(held >= #gateway.instances, "it is held at last, not " .. held)
  expect(runs <= 6, "three more and three until it is known, not " .. runs)
end

-- rows of the workers' ledger by worker's life and instance, in their order
local function arrivals()
  local rows, found = worker_ledger(), {}
  for _, r in ipairs(gateway.asked) do
    for _, row in ipairs(rows[r.id] or {}) do
      if row.at then
        local key = row.worker .. " " .. row.born .. " " .. r.instance.name
        found[key] = found[key] or {}
        row.sent, row.instance = r.sent, r.instance.name
        table.insert(found[key], row)
      end
    end
  end
  for _, list in pairs(found) do
    table.sort(list, function(a, b) return a.at < b.at end)
  end
  return found
end

local function calm(row, from, to)
  return not in_trouble(row.instance, from, to) and
         not in_trouble(row.worker, from, to)
end

-- two requests at the most in a rest that an instance was asked for, from half
-- a second on
local function check_rest(list, asked)
  local ends_at, count = asked.at + asked.rest * 1000, 0
  for _, row in ipairs(list) do
    count = count + (row.at > asked.at + 500 and row.at <= ends_at and 1 or 0)
  end
  expect(count <= 2 or not calm(asked, asked.at - SETTLE_MS, ends_at),
         string.format("%s asked %s for %.1f s of rest at %d and got %d",
                       asked.worker, asked.instance, asked.rest, asked.at, count))
end

-- a request that comes 2 s after its instance had an answer that says so, or
-- later, does not reach a worker that leaves; an answer takes 1.5 s at the most
local function check_leaving(list)
  local told
  for _, row in ipairs(list) do
    if row.leaving then
      told = told or row.at + 1500
      expect(row.sent <= told + 2000 or
             not calm(row, told - 1500 - SETTLE_MS, row.at),
             row.worker .. " leaves, and got one from " .. row.instance)
    end
  end
end

if says then
  for _, list in pairs(arrivals()) do
    check_leaving(list)
    for _, row in ipairs(list) do
      if row.what == "rest" and row.rest and row.rest > 0 then
        check_rest(list, row)
      end
    end
  end
end
-- "no such route" is the last word: nobody says it of a route that has been in
-- force, whether the store turns it away or not, but who was in other trouble
-- within the time that it takes to catch up
local CAUGHT_UP_MS = 4000
for _, r in ipairs(asked_added) do
  local name, from = r.instance.name, r.sent - CAUGHT_UP_MS
  expect(r.status ~= 404 or in_trouble(name, from, r.sent) or
         in_trouble("store", from, r.sent),
         string.format("%s: 404 of %s at %d", name, r.kind, r.sent))
end
local rows = judge()

-- Planned stops (docs/design/planned-stops.md, with grace_s 8): requests are
-- ended from here on, and the platform kills what is left.
local DRAIN_MOST_MS, KILL_MS = 7600, 8000
local failures = {}
local function check(ok, ...)
  if not ok then
    failures[#failures + 1] = string.format(...)
  end
end

-- An exit code of 0 says that nothing was ended or cut, any other end says
-- what was; and no process is there to be killed.
local function check_stop(stop)
  local name, left = stop.instance.name, 0
  for _, field in ipairs { "ended", "cut", "open", "carried", "sending", "unsent",
                           "unacknowledged" } do
    left = left + tonumber((stop.line or ""):match(" " .. field .. "=(%d+)") or 0)
  end
  local drained = (stop.line or ""):match(" drained=(%d)")
  check(stop.code == 0 and drained == "1" and left == 0 or
        stop.code == 1 and drained == "0" and left > 0,
        "%s, stopped at %d: exit code %d, and its log says %s", name, stop.at,
        stop.code, stop.line)
  local lasted = math.max((stop.alive_at or stop.at) - stop.at,
                          stop.logged_ms or 0)
  check(lasted <= KILL_MS or
        overlaps(excuses, "frozen " .. name, stop.at, stop.ended) or
        overlaps(excuses, "limited " .. name, stop.at, stop.ended),
        "%s, stopped at %d: still ran after %d ms, ended within %d ms, %s ms by " ..
        "its log", name, stop.at, (stop.alive_at or stop.at) - stop.at,
        stop.ended - stop.at, stop.logged_ms)
end

-- which requests were read whole, and the endpoints that each was sent to
local function read_logs()
  local was_read, endpoints = {}, {}
  for _, e in ipairs(gateway.instances) do
    for line in io.lines(e.log) do
      local id = line:match(" request=(%S+)")
      if id then
        endpoints[id] = endpoints[id] or {}
        was_read[id] = was_read[id] or line:find(" E800[01] ") ~= nil
        table.insert(endpoints[id], line:match(" endpoint=(%S+)"))
      end
    end
  end
  for id, list in pairs(rows) do
    was_read[id] = true
    for _, row in ipairs(list) do
      endpoints[id] = endpoints[id] or {}
      table.insert(endpoints[id], row.worker)
    end
  end
  return was_read, endpoints
end

-- the planned stop of the process that had this request, if there was one
local function stop_of(r)
  for _, stop in ipairs(stops) do
    if stop.instance == r.instance and stop.at <= r.ended and
       stop.ended >= r.sent then
      return stop
    end
  end
end

-- how long a run may take that began then (standin/worker.c)
local PLAIN_MS, STREAM_MS = 25, 13 * 25
local SLOW_PLAIN_MS, SLOW_STREAM_MS = 425, 13 * 425
local function run_ends(r, row)
  local slow = r.is_stream and SLOW_STREAM_MS or SLOW_PLAIN_MS
  if overlaps(excuses, "slow " .. row.worker, row.at, row.at + slow) then
    return row.at + slow
  end
  return row.at + (r.is_stream and STREAM_MS or PLAIN_MS)
end

-- An instance may use the link of another to an endpoint: relays and seeds pass
-- on the list of endpoints with the addresses that the store names to them.
local function endpoint_in_trouble(r, id)
  for _, what in ipairs { "cut ", "mute ", "crash ", "gone ", "link " } do
    if overlaps(excuses, what .. id, r.sent, r.ended) then
      return true
    end
  end
  for _, e in ipairs(gateway.instances) do
    if overlaps(excuses, "link " .. id .. "@" .. e.name, r.sent, r.ended) then
      return true
    end
  end
  return false
end

-- why a request that was read may have no whole response; nil: it must have
local function excuse_of(r, endpoints)
  for _, what in ipairs { "killed ", "frozen " } do
    if overlaps(excuses, what .. r.instance.name, r.sent, r.ended) then
      return what
    end
  end
  for _, id in ipairs(endpoints or {}) do
    if endpoint_in_trouble(r, id) then
      return "endpoint"
    end
  end
  local stop = stop_of(r)
  if not stop then
    return nil
  end
  local latest = stop.at + DRAIN_MOST_MS
  if r.paused and r.paused < latest and (not r.resumed or r.resumed >= latest) then
    return "unread"
  end
  for _, row in ipairs(rows[r.id] or {}) do
    if row.what == "run" and row.at <= latest and run_ends(r, row) >= latest then
      return "at work"
    end
  end
end

local function describe(r, losses)
  local lines = ""
  for _, loss in ipairs(losses or {}) do
    lines = lines .. "\n  " .. loss.text
  end
  local stop = stop_of(r)
  local function since(ms)
    return ms and string.format("%+d ms", ms - (stop and stop.at or 0)) or "-"
  end
  return string.format(
    "%s (%s, %s%s) of %s, read whole: status %d, %d bytes, not whole; %s sent " ..
    "%s, paused %s, read on %s, next %s, ended %s; the process ended %s with %s%s",
    r.id, r.kind, r.target, r.over_link and " over a slow link" or "",
    r.instance.name, r.status or 0, r.bytes or -1,
    stop and string.format("SIGTERM at %d;", stop.at) or "no stop;",
    since(r.sent), since(r.paused), since(r.resumed),
    since(r.next and r.next.sent), since(r.ended), since(stop and stop.ended),
    stop and stop.line or "-", lines)
end

-- What the logs say was lost: { instance, id, event, reason, text, stop_ms
-- (since the signal; nil: before it), is_drained (what the stop's E7004 says) }
local function losses_of(e)
  local found, life = {}, {}
  for line in io.lines(e.log) do
    local event = line:match(" (E%d+) ")
    if event == "E7003" then
      life = {}
    elseif event == "E7001" then
      life.signal = life.signal or time_of(line)
    elseif event == "E7004" then
      life.is_drained = line:find(" drained=1", 1, true) ~= nil
    elseif event == "E8002" or event == "E8034" then
      found[#found + 1] = {
        instance = e, id = line:match(" request=(%S+)"), event = event,
        reason = line:match(" reason=(%S+)"), text = line, life = life,
        stop_ms = life.signal and time_of(line) - life.signal }
    end
  end
  return found
end

-- A stop asks each 50 ms how far it has come.
local STOP_TICK_MS = 50
-- Nothing could be sent for so long, or an endpoint was held back (FLOW_HELD_MAX).
local WRITE_TIMEOUT_MS, HELD_MS = 10000, 2000
local function is_paused_at(r, at)
  return r.paused and r.paused <= at and (not r.resumed or r.resumed >= at)
end
local function was_starved(r)
  return overlaps(excuses, "limited " .. r.instance.name, r.sent, r.ended)
end
-- A request that was read once the stop refuses new ones has no answer to lose;
-- others are broken off while their endpoint is at work, or held back by a
-- caller that does not read.
local STOP_ACCEPTS_MS = 3000
local function may_be_broken_off(r)
  local stop = stop_of(r)
  if not stop or r.sent > stop.at + STOP_ACCEPTS_MS then
    return false
  end
  local latest = stop.at + DRAIN_MOST_MS
  local before = r.follows or r
  if r.over_link or was_starved(r) or
     before.paused and (before.resumed or before.ended) >= latest - HELD_MS then
    return true
  end
  for _, row in ipairs(rows[r.id] or {}) do
    local ends_at = run_ends(r, row) + (falls_silent and SILENCE_MAX_MS or 0)
    if row.what == "run" and ends_at >= latest - STOP_TICK_MS then
      return true
    end
  end
  return false
end
-- Does planned-stops.md, or the request's own end, allow this loss?
local function is_allowed(loss, r)
  local at_end = loss.stop_ms and loss.stop_ms >= DRAIN_MOST_MS - STOP_TICK_MS
  local is_starved = was_starved(r)
  if loss.reason == "stopping" then
    return at_end and may_be_broken_off(r)
  elseif loss.reason == "timeout" then
    return r.ended - r.sent >= least_timeout(r.sent) - STOP_TICK_MS
  elseif loss.reason == "caller" then
    return r.left
  elseif loss.reason == "flow" then
    -- a plain answer is whole when its first byte is sent: no endpoint is held
    return r.is_stream and (r.over_link or r.paused and
           (is_starved or
            (r.resumed or r.ended) - r.paused >= HELD_MS - STOP_TICK_MS))
  elseif loss.reason == "not_read" then
    return r.paused and (r.resumed or r.ended) - r.paused >= WRITE_TIMEOUT_MS
  elseif loss.reason == "process_end" then
    local stop = at_end and stop_of(r)
    return stop and (is_starved or is_paused_at(r, stop.at + DRAIN_MOST_MS))
  end
end

-- Nothing can be answered behind a response that is broken off or announces the
-- end of its connection: the caller learns from it that this request is not run.
-- 'losses' are those of the log, by request.
local function is_told(r, losses)
  local before = r and r.follows
  return before and not rows[r.id] and
         (r.left or not before.whole and losses[before.id] ~= nil or
          before.whole and before.head.connection == "close")
end

local excused, judged, paused_over_stop = 0, 0, 0
local reasons = {} -- allowed ones -> count
local function check_losses()
  local by_id, losses = {}, {}
  for _, r in ipairs(gateway.asked) do
    by_id[r.id], r.ended = r, r.ended or sys.now()
  end
  for _, e in ipairs(gateway.instances) do
    for _, loss in ipairs(losses_of(e)) do
      local r = by_id[loss.id]
      losses[loss.id] = losses[loss.id] or {}
      table.insert(losses[loss.id], loss)
      if loss.reason == "process_end" and not (r and is_allowed(loss, r)) then
        check(false, "%s: %s; %s", e.name, loss.text, r and describe(r) or "-")
      end
      -- a request's own end is no cut
      local is_cut = loss.stop_ms and loss.reason ~= "timeout" and
                     loss.reason ~= "caller" and loss.reason ~= "broken_off" and
                     not (loss.reason == "discarded" and is_told(r, losses))
      check(not (is_cut and loss.life.is_drained),
            "%s ended with drained=1, and %s", e.name, loss.text)
    end
  end
  return losses
end
-- why a request that was read may have no whole response; nil: it must have
local function logged_excuse(r, losses)
  for _, loss in ipairs(losses or {}) do
    if loss.instance == r.instance and is_allowed(loss, r) then
      reasons[loss.reason] = (reasons[loss.reason] or 0) + 1
      return loss.reason
    end
  end
end

local function check_answers()
  local was_read, endpoints = read_logs()
  local losses = is_calm and check_losses()
  for _, r in ipairs(gateway.asked) do
    r.ended = r.ended or sys.now()
    if was_read[r.id] and not r.left then
      local stop = stop_of(r)
      judged = judged + 1
      if r.target == "large" and r.whole and r.status == 200 and r.paused and
         stop and stop.at <= (r.resumed or stop.at) then
        paused_over_stop = paused_over_stop + 1
      end
      if not r.whole then
        local excuse
        if is_calm then
          excuse = logged_excuse(r, losses[r.id])
        else
          excuse = excuse_of(r, endpoints[r.id])
        end
        excused = excused + (excuse and 1 or 0)
        check(excuse, "%s", describe(r, losses and losses[r.id]))
      end
    end
  end
end

if rolling then
  for _, r in ipairs(deadly) do -- they end the workers that run them
    for _, row in ipairs(rows[r.id] or {}) do
      if row.what == "run" then note_crash(row.worker, row.at) end
    end
  end
  for _, stop in ipairs(stops) do
    check_stop(stop)
  end
  check_answers()
  local codes = { [0] = 0, [1] = 0 }
  for _, stop in ipairs(stops) do
    codes[stop.code] = (codes[stop.code] or 0) + 1
  end
  print(string.format("seed %d: %d stops, %d with exit code 1; %d requests " ..
                      "read whole, %d of them excused without a whole " ..
                      "response; %d large answers whole after a pause during a " ..
                      "stop", seed, #stops, codes[1], judged, excused,
                      paused_over_stop))
  local follow, answered = 0, 0
  for _, r in ipairs(gateway.asked) do
    follow = follow + (r.follows and 1 or 0)
    answered = answered + (r.follows and r.whole and 1 or 0)
  end
  if is_calm then
    local names = {}
    for reason, n in pairs(reasons) do
      names[#names + 1] = reason .. "=" .. n
    end
    table.sort(names)
    print(string.format("seed %d: lost %s; %d requests sent before the answer " ..
                        "was read, %d of them answered; %d changes", seed,
                        #names > 0 and table.concat(names, " ") or "none",
                        follow, answered, #timeouts - 1))
    if falls_silent then
      print(string.format("seed %d: %d silences of endpoints, %d starved instances",
                          seed, silences, starvings))
    end
  end
  for i = 1, math.min(#failures, 12) do
    print(failures[i])
  end
  expect(#failures == 0, #failures .. " failures of planned stops, first: " ..
         (failures[1] or ""))
end

local served, refused = 0, 0
for _, r in ipairs(gateway.asked) do
  if r.whole and r.status == 200 then
    served = served + 1
  elseif r.whole and r.status == 503 then
    refused = refused + 1
  end
end
print(string.format("seed %d: %d requests, %d served whole, %d refused, " ..
                    "%d taken up, %d orders",
                    seed, #gateway.asked, served, refused, taken_up, #orders()))
