-- next_request_after_stop_own.lua
-- Guards against a planned stop with madderpier's own interface that ends while
-- callers have not acknowledged their answers: a next request that comes after
-- the end of the process resets the connection, and the kernel discards the
-- rest of the answer.
world.caller_timeout_s = 30 -- longer than a stop: the stop itself is judged
funkbuch(3)
local TERM = 15
local MEDIUM = 512 * 1024 -- the kernel takes all of it
local NEXT = "GET /app/next HTTP/1.1\r\nHost: x\r\n\r\n"
local sends_on, silent = table.unpack(world.entries)

local function ask_for(e)
  local c = sys.connect(e.port)
  c:send("POST", "/app/answer?bytes=" .. MEDIUM,
         { Host = "x", Authorization = "Bearer " .. MEMBERS.key }, "x")
  c:stop_reading()
  return c
end

local function end_line(e)
  local file = assert(io.open(e.log))
  local text = file:read("a")
  file:close()
  return text:match("E7004[^\n]*") or "no E7004"
end

local function is_whole(c)
  for _ = 1, 100 do
    if c:done() then -- get() has the next answer too, if there is one
      local count, status, size = c:answers()
      return count > 0 and status == 200 and size > MEDIUM
    end
    sys.pump(50)
  end
  return false
end

local callers = {}
for _, e in ipairs({ sends_on, silent }) do
  callers[e] = ask_for(e)
end
sys.pump(1500)

local failures = {}
for _, e in ipairs({ sends_on, silent }) do
  local c = callers[e]
  sys.signal(e.pid, TERM)
  local stopped = sys.now()
  local code
  for _ = 1, 160 do -- at most 8 s: the caller reads on then in any case
    code = code or sys.reap(e.pid)
    if code then
      break
    end
    sys.pump(50)
  end
  local took = sys.now() - stopped
  if e == sends_on then
    c:send_more(NEXT)
    sys.pump(300)
  end
  c:resume_reading()
  local whole = is_whole(c)
  if not whole then
    local _, _, got = c:get()
    failures[#failures + 1] = string.format(
      "%s: %d of more than %d bytes, exit code %s after %d ms, %s", e.name,
      #got, MEDIUM, tostring(code), took, end_line(e))
  end
  c:close()
end
expect(#failures == 0, table.concat(failures, "; "))
