-- closing_matrix.lua
-- What may go wrong while an answer is under way: each disturbance meets each
-- state of an answer, each kind of caller and each path to the endpoint. Every
-- answer is whole, or its caller is told (a refusal, or a broken-off response
-- with a log line that names it). A response that was complete is never lost.
-- Guards against connections that are closed, timed out or reset while the
-- process or the kernel still holds a part of an answer.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/planned_work.lua")

-- flow control makes the send buffers small; its bound is not reached
gateway.memory_mb, gateway.memory_share = 400, 0.3
gateway.own_worker_links = true
gateway.lease_ms = 2000
-- With less than 2100, keys are refused for a moment after each change: its
-- watch, the pause after it and the next watch take longer than the bound.
gateway.revoke_ms = 2600
local NO_LIMIT = 10000000 -- tokens a second
gateway.accounts = {
  { name = "first", keys = { "key-1" }, rate = NO_LIMIT, burst = NO_LIMIT }
}
start_gateway(6)
wait_counted(6)

-- a stream takes 13 of these intervals and 25 ms each, a plain answer one
local DELAY_MS = 60
for _, w in ipairs(gateway.workers) do
  if w.stage ~= "prefill" then
    worker(w, "slow=" .. DELAY_MS)
  end
end
local direct, carried = gateway.instances[1], gateway.instances[2]
-- pairs that are stopped, each a direct and a carried one
local stopped = { { gateway.instances[3], gateway.instances[4] },
                  { gateway.instances[5], gateway.instances[6] } }
local all_carried = { carried, stopped[1][2], stopped[2][2] }
for _, e in ipairs(all_carried) do
  cut_off(e, "cut")
end
-- a path is changed once connections over it have failed
for _, e in ipairs(all_carried) do
  wait(e.name .. " reaches endpoints through others", function()
    for _, kind in ipairs { "safe", "unsafe", "stream", "resume" } do
      request(e, kind).left = true
    end
    return metric(e, "indirect_endpoints") == #gateway.workers
  end)
end

local PLAIN_BYTES, STREAM_BYTES = 1 << 20, 12 * (90 << 10)
-- What a caller leaves unread for now: the kernel's buffers hold the smaller
-- one; of the larger one the process holds a part.
local IN_KERNEL, IN_PROCESS = 200 << 10, 400 << 10

-- when the request is sent, before the disturbance (ms), and how much of it a
-- caller that does not read at once leaves unread
local STATES = {
  { name = "running", plain = 50, stream = 50, unread = IN_PROCESS },
  { name = "head sent", plain = 250, stream = 250, unread = IN_KERNEL,
    plain_read = 16 << 10 },
  { name = "half sent", plain = 400, stream = 700, unread = IN_KERNEL,
    plain_read = PLAIN_BYTES // 2 },
  { name = "queued", plain = 500, stream = 1500, unread = IN_PROCESS },
  { name = "answered", plain = 500, stream = 1500, small = true }
}
local CALLERS = { "quick", "slow", "sends on", "ends its side" }
-- when a caller sends its next request, after the disturbance (ms): in the
-- middle of the answer, or after its end; or in two parts
local SENDS_ON = {
  ["running"] = { 100 }, ["head sent"] = { 100, 500 }, ["half sent"] = { 1300 },
  ["queued"] = { 500 }, ["answered"] = { 500 }
}
local ENDS_SIDE_MS, READS_ON_MS = 1700, 2000 -- all streams have ended before
local RESTORE_MS, ROUND_MS = 1200, 3200
local AWAY_MS = 2800 -- the store; a lease of 2 s expires

local cells = {}

local function next_request(c)
  return string.format(
    "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n" ..
    "Deadline-Ms: 9000\r\nModel: m\r\nToken-Count: 1000,300\r\n" ..
    "Prompt-Prefix: aa:200,bb:800\r\nApi-Key: key-1\r\n" ..
    "Content-Length: 0\r\n\r\n", c.kind, c.next_id)
end

local function send_next(c)
  local connection, times = c.request.connection, SENDS_ON[c.state.name]
  c.next_id = "next" .. c.number
  local text = next_request(c)
  local first = times[2] and 40 or #text
  connection:send_more(text:sub(1, first))
  if times[2] then
    step(c.at + times[2], function() connection:send_more(text:sub(first + 1)) end)
  end
end

local function begin(c)
  local target = c.state.small and "x" or "large"
  local r = request(c.instance, c.kind, nil, "key-1", target)
  r.left = true -- its body is no small answer: judge() skips it
  c.request = r
  local is_stream = c.kind == "stream" or c.kind == "resume"
  if c.caller == "quick" and (is_stream or c.state.name == "running") and
     c.state.name ~= "queued" then
    return
  end
  if c.state.small then
    if c.caller ~= "quick" then
      r.connection:stop_reading()
    end
    return
  end
  r.connection:read_until(is_stream and STREAM_BYTES - c.state.unread or
                          c.state.plain_read or PLAIN_BYTES - c.state.unread)
end

local function add_cell(disturbance, at, instance, path, kind, state, caller)
  local c = { disturbance = disturbance, at = at, instance = instance,
              path = path, kind = kind, state = state, caller = caller,
              number = #cells + 1 }
  cells[#cells + 1] = c
  local is_stream = kind == "stream" or kind == "resume"
  step(at - (is_stream and state.stream or state.plain), function() begin(c) end)
  step(at - 5, function() c.size = c.request.connection:size() end)
  if caller == "quick" then
    step(at + 5, function() c.request.connection:resume_reading() end)
  else
    step(at + READS_ON_MS, function() c.request.connection:resume_reading() end)
  end
  if caller == "sends on" then
    step(at + SENDS_ON[state.name][1], function() send_next(c) end)
  elseif caller == "ends its side" then
    step(at + ENDS_SIDE_MS, function() c.request.connection:end_sending() end)
  end
end

-- all states and callers; half of the carried ones are plain, half staged
local function add_cells(disturbance, at, straight, through)
  for i, state in ipairs(STATES) do
    for j, caller in ipairs(CALLERS) do
      local once = (i + j // 2) % 2 == 0 -- routes without and with a retry
      local plain, stream = once and "unsafe" or "safe", once and "stream" or "resume"
      add_cell(disturbance, at, straight, "plain", plain, state, caller)
      add_cell(disturbance, at, straight, "staged", stream, state, caller)
      if (i + j) % 2 == 0 then
        add_cell(disturbance, at, through, "carried plain", plain, state, caller)
      else
        add_cell(disturbance, at, through, "carried staged", stream, state, caller)
      end
    end
  end
end

local gone = {}
for _, w in ipairs(gateway.workers) do
  if w.zone == "a" and not gone[w.service .. w.stage] then
    gone[w.service .. w.stage] = w
  end
end

local function set_limits(body, header, idle)
  gateway.max_body_bytes, gateway.header_timeout_ms = body, header
  gateway.idle_timeout_ms = idle
  configure()
end

local function set_rate(rate)
  gateway.accounts[1].rate, gateway.accounts[1].burst = rate, rate
  configure()
end

local function each_gone(mode)
  for _, w in pairs(gone) do
    worker(w, mode)
  end
end

-- what is done, and how it is undone
local DISTURBANCES = {
  { "SIGHUP", function()
    hangup(direct)
    hangup(carried)
  end },
  { "timeout", function()
    gateway.timeout = 400
    configure()
  end, function()
    gateway.timeout = 8000
    configure()
  end },
  { "route goes", function()
    gateway.without = { safe = true, unsafe = true, stream = true, resume = true }
    configure()
  end, function()
    gateway.without = {}
    configure()
  end },
  { "account", function() set_rate(1300) end,
    function() set_rate(NO_LIMIT) end },
  { "endpoint goes", function() each_gone("gone") end,
    function() each_gone("back") end },
  { "limits", function() set_limits(8, 200, 300) end,
    function() set_limits(1048576, 3000, 15000) end },
  { "store away", function() store("silent") end, function() store("ok") end,
    AWAY_MS }
}

-- the direct instance carries for the others too
local function add_stop(name, at, pair)
  add_cells(name, at, pair[1], pair[2])
  step(at, function()
    stop_planned(pair[1])
    stop_planned(pair[2])
  end)
end

local began = sys.now() + 1700
for i, d in ipairs(DISTURBANCES) do
  local at = began + ROUND_MS * (i - 1)
  add_cells(d[1], at, direct, carried)
  step(at, d[2])
  if d[3] then
    step(at + (d[4] or RESTORE_MS), d[3])
  end
  if d[1] == "SIGHUP" then
    add_stop("planned stop", at + ROUND_MS // 2, stopped[1])
  elseif d[1] == "limits" then
    add_stop("planned stop in limits", at + 100, stopped[2])
  end
end

run_steps()
sys.pump(500)

local lines = lines_by_request()
local rows = worker_ledger()
local function was_run(id)
  for _, row in ipairs(rows[id] or {}) do
    if row.what == "run" then
      return true
    end
  end
  return false
end

-- why the cell is red, or nil; and what came of it
local function result_of(c)
  local r = answer_of(c.request)
  local log = lines[r.id] or ""
  local is_stream = c.kind == "stream" or c.kind == "resume"
  local count, status, got = r.connection:answers()
  local size = c.state.small and 1 or is_stream and STREAM_BYTES or PLAIN_BYTES
  if log:find("E8034[^\n]*unfinished=0") then
    return "a complete response was lost", "lost"
  end
  if count == 0 then
    if c.caller == "ends its side" and log:find("E8003", 1, true) then
      return nil, "hangup"
    end
    if r.status == 200 and (log:find("E8002", 1, true) or
                            log:find("E8034", 1, true)) then
      return nil, "broken off"
    end
    return "neither a whole answer nor a refusal", "lost"
  end
  if status ~= 200 then
    return nil, "refused " .. status
  end
  if got < size then
    return "a part of the answer is missing", "lost"
  end
  local next_id = c.next_id
  if next_id and was_run(next_id) and count < 2 and
     not (lines[next_id] or ""):find("E8002", 1, true) and
     not (lines[next_id] or ""):find("E8034", 1, true) then
    return "the next request ran, and its answer is lost", "next lost"
  end
  if next_id and count < 2 and not was_run(next_id) and
     r.head.connection ~= "close" and not c.disturbance:find("limits$") then
    return "the next request on a kept connection is lost", "next lost"
  end
  return nil, "whole"
end

-- Was the answer in its state at the disturbance, by what its caller had read?
-- A whole plain answer is queued at once.
local function was_in_state(c)
  local is_stream = c.kind == "stream" or c.kind == "resume"
  local share = c.size / (is_stream and STREAM_BYTES or PLAIN_BYTES)
  if c.state.name == "running" then
    return share < 0.2
  elseif c.state.name == "head sent" then
    return share > 0 and share < 0.4
  elseif c.state.name == "half sent" then
    return share > 0.3 and share < 0.95
  elseif c.state.name == "queued" then
    return share > 0.5 and share < 1
  end
  return c.caller ~= "quick" or c.size > 0
end

local counts, red, all, reached = {}, {}, 0, {}
for _, c in ipairs(cells) do
  local failure, result = result_of(c)
  local row = counts[c.disturbance] or {}
  counts[c.disturbance] = row
  row[result] = (row[result] or 0) + 1
  all = all + 1
  if was_in_state(c) then
    reached[c.state.name] = (reached[c.state.name] or 0) + 1
  end
  if failure then
    red[#red + 1] = string.format(
      "%s, %s, %s, %s: %s (%s at %s: status %s, %d bytes, %d at the disturbance, %d answers)",
      c.disturbance, c.state.name, c.caller, c.path, failure, c.request.id,
      c.instance.name, tostring(c.request.status), #c.request.body, c.size,
      (c.request.connection:answers()))
  end
end
for name, row in pairs(counts) do
  local text = {}
  for result, count in pairs(row) do
    text[#text + 1] = result .. " " .. count
  end
  table.sort(text)
  print(name .. ": " .. table.concat(text, ", "))
end
for _, state in ipairs(STATES) do
  local count, most = reached[state.name] or 0, all // #STATES
  print(string.format("%s: %d of %d answers were in this state", state.name,
                      count, most))
  expect(count * 2 >= most, state.name .. ": few answers were in this state")
end
for i = 3, 6 do
  local e, code = gateway.instances[i], nil
  wait(e.name .. "'s end", function()
    code = sys.reap(e.pid)
    return code ~= nil
  end)
  if code ~= 0 then
    red[#red + 1] = e.name .. ": exit code " .. code
  end
end
judge()
expect(#red == 0, #red .. " of " .. all .. " cells:\n" .. table.concat(red, "\n"))
