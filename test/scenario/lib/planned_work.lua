-- planned_work.lua
-- What scenarios of planned work share: steps at given times, instances with
-- little processor time, and the judge of every request that was read. Loaded
-- after gateway.lua.

planned = { DRAIN_LEAST_MS = 2800, DRAIN_MOST_MS = 7600, KILL_MS = 8000 }

local steps = {} -- { at, act, number }

-- 'act' is called at that moment of sys.now(), in the order of the calls if
-- there are several
function step(at, act)
  steps[#steps + 1] = { at = at, act = act, number = #steps }
end

-- takes all steps; they may add further ones
function run_steps()
  while #steps > 0 do
    table.sort(steps, function(a, b)
      return a.at < b.at or a.at == b.at and a.number < b.number
    end)
    local s = table.remove(steps, 1)
    sys.pump(math.max(s.at - sys.now(), 1))
    s.act()
  end
end

-- One period in which each instance of 'shares' ({ instance, ms }, in order of
-- ms) runs so long; 'meanwhile' is called while all are stopped.
function starve(shares, period_ms, meanwhile)
  local began, ran = sys.now(), 0
  for _, one in ipairs(shares) do
    if not one.instance.ended then thaw(one.instance) end
  end
  for _, one in ipairs(shares) do
    sys.pump(math.max(one.ms - ran, 1))
    ran = one.ms
    if not one.instance.ended then freeze(one.instance) end
  end
  meanwhile()
  sys.pump(math.max(period_ms - (sys.now() - began), 1))
end

function log_text(e)
  local file = assert(io.open(e.log))
  local text = file:read("a")
  file:close()
  return text
end

-- all log lines that name a request, by its id
function lines_by_request()
  local lines = {}
  for _, e in ipairs(gateway.instances) do
    for line in log_text(e):gmatch("[^\n]+") do
      local event, id = line:match("(E%d+)"), line:match("request=\"?([%w]+)")
      if event and id then
        lines[id] = (lines[id] or "") .. line .. "\n"
      end
    end
  end
  return lines
end

function run_count(rows, id)
  local count = 0
  for _, row in ipairs(rows[id] or {}) do
    count = count + (row.what == "run" and 1 or 0)
  end
  return count
end

local function time_of(line)
  local h, m, s, ms = line:match("T(%d+):(%d+):(%d+)%.(%d+)Z")
  return ((h * 60 + m) * 60 + s) * 1000 + ms
end

-- What an instance logged of its requests: id -> { read, read_at, left_ms: the
-- time it had then, losses }; a loss is { text, reason, at, stop_ms: since the
-- signal of its life; nil: before it }. And
-- how many connections it left unread: as many as E7004 counts, unless some
-- waited to be accepted at the end, or some were left before the signal.
local function read_log(e)
  local found, signal, left_unread = {}, nil, 0
  for line in log_text(e):gmatch("[^\n]+") do
    local event, id = line:match("(E%d+)"), line:match("request=\"?([%w]+)")
    local one = id and (found[id] or { losses = {} })
    if id then found[id] = one end
    if event == "E7003" then
      signal = nil
    elseif event == "E7001" then
      signal = signal or time_of(line)
    elseif event == "E8032" and not signal or event == "E7004" and
           line:find("unaccepted=1", 1, true) then
      left_unread = math.huge
    elseif event == "E7004" then
      left_unread = left_unread + tonumber(line:match("closed_unread=(%d+)"))
    elseif event == "E8000" and id then
      one.read, one.read_at = true, time_of(line)
      one.left_ms = tonumber(line:match(" left_ms=(%d+)"))
    elseif (event == "E8002" or event == "E8034") and id then
      table.insert(one.losses, {
        text = line, reason = line:match(" reason=(%S+)"), at = time_of(line),
        stop_ms = signal and time_of(line) - signal })
    end
  end
  return found, left_unread
end

-- its connection had ended, or ended with the answer before it
local function is_after_last(r)
  local before = r.follows
  return before and (not before.whole or before.head.connection == "close" or
                     is_after_last(before))
end

-- Every request that was read (E8000) has a whole answer or a refusal, or was
-- broken off at the latest end of its stop, with a line that says so; or
-- may_lose(request, logged) says why it needs none. One without any status was
-- not read: its instance left connections unread or had ended, or the answer
-- before it on its connection was the last one. Returns the faults and the
-- numbers of results; 'timer_ms' is how late a timer may be.
function judge_planned(timer_ms, may_lose)
  local faults, counts = {}, {}
  local function count(result)
    counts[result] = (counts[result] or 0) + 1
  end
  for _, e in ipairs(gateway.instances) do
    local logged, left_unread = read_log(e)
    for _, r in ipairs(gateway.asked) do
      local one = logged[r.id] or { losses = {} }
      local at_end = false
      for _, loss in ipairs(one.losses) do
        at_end = at_end or loss.stop_ms and
                 loss.stop_ms >= planned.DRAIN_MOST_MS - timer_ms
      end
      local allowed = may_lose and may_lose(r, one)
      if r.instance ~= e or r.gone_by_choice then
        count("caller left")
      elseif r.whole then
        count(r.status == 200 and "whole" or "refused")
      elseif allowed then
        count(allowed)
      elseif one.read and at_end then
        count("broken off at the latest end")
      elseif not one.read and (r.status or 0) == 0 and
             (r.after_end or is_after_last(r)) then
        count(r.after_end and "after the end" or "after the last answer")
      elseif not one.read and (r.status or 0) == 0 and left_unread > 0 then
        left_unread = left_unread - 1
        count("unread")
      else
        local text = ""
        for _, loss in ipairs(one.losses) do text = text .. "\n  " .. loss.text end
        faults[#faults + 1] = string.format(
          "%s (%s) at %s: %s, status %s, not whole%s", r.id, r.kind, e.name,
          one.read and "read" or "not read", tostring(r.status), text)
      end
    end
  end
  counts["caller left"] = nil
  return faults, counts
end

function print_counts(name, counts)
  local text = {}
  for result, n in pairs(counts) do
    text[#text + 1] = result .. " " .. n
  end
  table.sort(text)
  print(name .. ": " .. table.concat(text, ", "))
end
