-- next_request_in_stop_own.lua
-- Guards against a planned stop with madderpier's own interface that closes a
-- kept connection as idle while the kernel holds the last bytes of its answer:
-- the next request was read and discarded.
world.caller_timeout_s = 30 -- longer than a stop: the stop itself is judged
funkbuch(3)
local TERM = 15
local MEDIUM = 512 * 1024 -- the kernel takes all of it
local NEXT = "GET /app/next HTTP/1.1\r\nHost: x\r\n\r\n"

local function log_of(e)
  local file = assert(io.open(e.log))
  local text = file:read("a")
  file:close()
  return text
end

local callers = {}
for _, e in ipairs(world.entries) do
  local c = sys.connect(e.port)
  c:send("POST", "/app/answer?bytes=" .. MEDIUM,
         { Host = "x", Authorization = "Bearer " .. MEMBERS.key }, "x")
  c:stop_reading()
  callers[e] = c
end
sys.pump(1500)

local failures = {}
for _, e in ipairs(world.entries) do
  local c = callers[e]
  sys.signal(e.pid, TERM)
  wait(e.name .. " has drained", function()
    return log_of(e):find("E7002", 1, true)
  end)
  sys.pump(300) -- past the first check of what is left
  c:send_more(NEXT)
  sys.pump(100)
  c:resume_reading()
  sys.pump(1500)
  local count, status = c:answers()
  if count ~= 2 then
    failures[#failures + 1] = string.format(
      "%s: %d answers, status %s, %s", e.name, count, tostring(status),
      log_of(e):match("E7004[^\n]*") or "no E7004")
  end
  c:close()
end
expect(#failures == 0, table.concat(failures, "\n"))
