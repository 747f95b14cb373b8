-- planned_stop_own.lua
-- Planned stops with madderpier's own interface end no answer in the middle:
-- the process ends when the kernel has every reply, or cuts what is left after
-- a bound, and then says so by its exit code and its log.
-- longer than the scenario leaves an answer unread: the stop itself is judged
world.caller_timeout_s = 45
funkbuch(12)
local TERM = 15
local ADMIT_MS = 3000     -- MP_DRAIN_ADMIT_TIME
local FLUSH_MAX_MS = 10000 -- FLUSH_MAX of io/node.c
local SLACK_MS = 2000     -- checks each 0.5 s, a busy machine
-- more than the kernel takes of one answer, and no more than an instance holds
-- for a caller (MAX_UNREAD_BYTES of io/callers.c)
local LARGE = 4 * 1024 * 1024
local MEDIUM = 512 * 1024     -- the kernel takes all of it
local slow, never, again, at_work, next_request, idle, operators, impatient,
  reader, late_next, late_part, late_reader =
  table.unpack(world.entries)

local function log_of(e)
  local file = assert(io.open(e.log))
  local text = file:read("a")
  file:close()
  return text
end

-- what the log says of the end
local function end_line(e)
  return log_of(e):match("E7004[^\n]*") or "no E7004"
end

local function ask_for(e, bytes)
  local c = sys.connect(e.port)
  c:send("POST", "/app/answer?bytes=" .. bytes,
         { Host = "x", Authorization = "Bearer " .. MEMBERS.key }, "x")
  return c
end

local function slow_caller(e, bytes)
  local c = ask_for(e, bytes)
  c:stop_reading()
  return c
end

local function signal(e)
  sys.signal(e.pid, TERM)
  e.stopped = e.stopped or sys.now()
end

local function drained(e)
  wait(e.name .. " has no work", function()
    return log_of(e):find("E7002", 1, true)
  end)
end

local function end_of(e)
  local code
  wait(e.name .. "'s end", function()
    code = sys.reap(e.pid)
    return code ~= nil
  end)
  return code, sys.now() - e.stopped
end

local function is_whole(c, bytes)
  for _ = 1, 100 do
    if c:done() then -- get() has the next answer too, if there is one
      local count, status, size = c:answers()
      return count > 0 and status == 200 and size > bytes
    end
    sys.pump(50)
  end
  return false
end

local failures = {}
local function check(ok, what)
  if not ok then
    failures[#failures + 1] = what
  end
end

-- everything that waits for its stop, begun before any of the stops
local slow_ones = {}
for i = 1, 3 do
  slow_ones[i] = slow_caller(slow, LARGE)
end
-- callers that send on while their answer waits: a next request, a part of
-- one, and what is no request
local hasty = {}
local NEXT = { "GET /app/next HTTP/1.1\r\nHost: x\r\n\r\n", "GET /ap",
               "no request\r\n\r\n" }
for i = 1, #NEXT do
  hasty[i] = slow_caller(slow, LARGE)
end
local unread = slow_caller(never, LARGE)
local unread_again = slow_caller(again, LARGE)
local in_kernel = slow_caller(next_request, MEDIUM)
local in_kernel_late = slow_caller(late_next, MEDIUM)
local in_kernel_part = slow_caller(late_part, MEDIUM)
local kept = ask_for(idle, 10)
check(is_whole(kept, 10), "a kept connection is served")
sys.pump(1500)

-- slow callers of a large answer that read on after the work has ended
signal(slow)
drained(slow)
for i, c in ipairs(hasty) do
  c:send_more(NEXT[i])
end
sys.pump(1000)
local whole = 0
for _, c in ipairs(slow_ones) do
  c:resume_reading()
end
for _, c in ipairs(slow_ones) do
  whole = whole + (is_whole(c, LARGE) and 1 or 0)
  c:close()
end
check(whole == 3, "slow callers that read on get their answers: " .. whole ..
      " of 3")
for i, c in ipairs(hasty) do
  c:resume_reading()
  is_whole(c, LARGE) -- or a refusal of what it sent on came after it
  local _, _, got = c:get()
  check(#got > LARGE, "an answer that waits survives what its caller sends " ..
        "on, " .. i)
  c:close()
end
local code, took = end_of(slow)
check(code == 0, "nothing was cut: exit code " .. code)
check(took < ADMIT_MS + FLUSH_MAX_MS, "it ended once all was sent: " .. took ..
      " ms")
check(end_line(slow):find("drained=1 open=0 sending=0 unsent=0 ", 1, true),
      "the log says that nothing was cut: " .. end_line(slow))

-- a second signal while an answer is not sent, and while a request is at work
signal(again)
drained(again)
sys.pump(300)
local second = sys.now()
signal(again)
code = end_of(again)
check(code == 1, "a second signal tells of the cut: exit code " .. code)
check(sys.now() - second < 1000, "a second signal ends it at once")
check(end_line(again):find("drained=0 open=0 sending=1 unsent=[1-9]"),
      "and the log says what was cut: " .. end_line(again))
for _, e in ipairs(world.engines) do
  if e.service == "logbuch-app" then
    engine(e, '{"freeze":1}')
  end
end
local frozen = ask_for(at_work, 10)
sys.pump(300)
signal(at_work)
sys.pump(300)
second = sys.now()
signal(at_work)
code = end_of(at_work)
check(code == 1, "work that a second signal cut: exit code " .. code)
check(sys.now() - second < 1000, "a second signal ends it at once")
check(end_line(at_work):find("drained=0 open=1 "),
      "and the log says what was cut: " .. end_line(at_work))
frozen:close()
for _, e in ipairs(world.engines) do
  if e.service == "logbuch-app" then
    engine(e, '{"freeze":0}')
  end
end

-- an answer that the kernel has, and a next request on the same connection:
-- bytes for a closed socket would make the kernel discard what it still sends
signal(next_request)
drained(next_request)
sys.pump(300)
in_kernel:send_more(NEXT[1])
sys.pump(300)
in_kernel:resume_reading()
check(is_whole(in_kernel, MEDIUM), "an answer survives the next request")
in_kernel:close()
code = end_of(next_request)
check(code == 0, "and the stop is clean: exit code " .. code)

-- the same, with a next request later than an idle caller is waited for, and
-- with one of which a part came before the stop: the process must not end while
-- the kernel holds what these callers have not acknowledged
in_kernel_part:send_more("GET /ap")
sys.pump(300)
signal(late_next)
signal(late_part)
drained(late_next)
drained(late_part)
sys.pump(2000)
in_kernel_late:send_more(NEXT[1])
in_kernel_part:send_more("p/next HTTP/1.1\r\nHost: x\r\n\r\n")
sys.pump(300)
in_kernel_late:resume_reading()
in_kernel_part:resume_reading()
check(is_whole(in_kernel_late, MEDIUM),
      "an answer survives a next request that comes late")
is_whole(in_kernel_part, MEDIUM)
local _, _, got_part = in_kernel_part:get()
check(#got_part > MEDIUM, "an answer survives the rest of a next request")
in_kernel_late:close()
in_kernel_part:close()
code = end_of(late_next)
check(code == 0, "and the stop is clean: exit code " .. code)
code = end_of(late_part)
check(code == 0, "and the stop is clean: exit code " .. code)

-- an operator whose replies the kernel has, and who sends on and reads late
local HELD = 100 -- times 4 KB: the kernel takes all of it
local held = sys.connect(late_reader.ops)
held:stop_reading()
held:send("GET", "/status", { Host = "x" })
held:send_more(string.rep("GET /status HTTP/1.1\r\nHost: x\r\n\r\n",
                          HELD - 1))
sys.pump(300)
signal(late_reader)
drained(late_reader)
sys.pump(500)
held:send_more("GET /live HTTP/1.1\r\nHost: x\r\n\r\n")
sys.pump(300)
held:resume_reading()
sys.pump(500)
local _, _, held_replies = held:get()
local _, held_count = held_replies:gsub('"reservations": ', "")
check(held_count == HELD, "replies survive what their operator sends on: " ..
      held_count .. " of " .. HELD)
held:close()
code = end_of(late_reader)
check(code == 0, "and the stop is clean: exit code " .. code)

-- a caller that never reads; its stop goes on beside the next ones
signal(never)

-- an operator that asks much and reads late
local ASKED = 1500 -- times 4 KB: more than the kernel takes
local status = sys.connect(reader.ops)
status:stop_reading()
status:send("GET", "/status", { Host = "x" })
status:send_more(string.rep("GET /status HTTP/1.1\r\nHost: x\r\n\r\n",
                            ASKED - 1))
signal(reader)

-- a caller that the instance gives up during the stop
kill(impatient)
local file = assert(io.open(impatient.yaml))
local settings = file:read("a"):gsub("caller_timeout_s: %d+",
                                     "caller_timeout_s: 2")
file:close()
file = assert(io.open(impatient.yaml, "w"))
file:write(settings)
file:close()
restart(impatient)
drained(reader)
sys.pump(300)
status:resume_reading()
code = end_of(reader)
sys.pump(500)
local _, _, replies = status:get()
local _, told = replies:gsub('"reservations": ', "")
check(told == ASKED and replies:sub(-2) == "\n}",
      "an operator gets all replies: " .. told .. " of " .. ASKED)
check(code == 0, "and the stop is clean: exit code " .. code)
status:close()
ready(impatient)
local given_up = slow_caller(impatient, LARGE)
wait("an answer", function()
  return log_of(impatient):find("E1003", 1, true)
end)
signal(impatient)

-- without work, although a connection is kept
signal(idle)
code, took = end_of(idle)
check(code == 0 and took >= ADMIT_MS and took < ADMIT_MS + SLACK_MS,
      "a stop without work ends as before: code " .. code .. ", " .. took ..
      " ms")
kept:close()

code = end_of(impatient)
check(code == 1, "a caller that was given up is told by the exit code: " ..
      code)
check(end_line(impatient):find("drained=0 open=0 sending=0 unsent=0 cut=1"),
      "and by the log: " .. end_line(impatient))
given_up:close()

-- operators: the reply of the turn in which the drain is complete
local operator = sys.connect(operators.ops)
operator:send("GET", "/live", { Host = "x" })
signal(operators)
sys.pump(2300)
check(operator:get(), "an operator's connection is served and kept")
pause(operators) -- so that the request and the due check are met in one turn
operator:send("POST", "/drain", { Host = "x", ["Content-Length"] = "0" })
sys.pump(1500)
resume(operators)
sys.pump(500)
local _, result, body, _, well = operator:get()
check(well and result == 202 and body == "draining\n",
      "the reply to POST /drain is whole: " .. tostring(result) .. " " ..
      body)
code = end_of(operators)
check(code == 0, "and the stop is clean: exit code " .. code)
operator:close()

code, took = end_of(never)
check(code == 1, "what was cut is told by the exit code: " .. code)
check(took >= ADMIT_MS + FLUSH_MAX_MS and
      took < ADMIT_MS + FLUSH_MAX_MS + SLACK_MS,
      "a caller that never reads holds the stop until its bound: " .. took ..
      " ms")
check(end_line(never):find("drained=0 open=0 sending=1 unsent=[1-9]"),
      "and the log says what was cut: " .. end_line(never))
unread:close()
unread_again:close()

expect(#failures == 0, table.concat(failures, "; "))
