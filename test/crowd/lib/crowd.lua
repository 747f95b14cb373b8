-- crowd.lua
-- Many callers outside the limits of the pages at one real daemon. A script
-- opens a crowd, which stays, and then checks what does not depend on the
-- machine's speed: the process lives, its memory and its descriptors are
-- within those of its machine, and one ordinary request is answered, beside
-- the crowd and after it.
dofile("test/scenario/lib/gateway.lua")

local MB = 1024 * 1024
local LOOKS = 30 -- at the memory, of 100 ms each, while the crowd stays

crowd = { memory_mb = 48, max_body_bytes = 1024 * 1024, members = {},
          highest = 0 }

local function read_file(path)
  local file = assert(io.open(path))
  local text = file:read("a")
  file:close()
  return text
end

-- bytes that the kernel holds for the connections at these ports: what has
-- arrived and is not read, and what is not acknowledged
local function kernel_bytes(ports)
  local sum = 0
  for line in read_file("/proc/net/tcp"):gmatch("[^\n]+") do
    local port, unsent, unread = line:match(
      "^%s*%d+: %x+:(%x+) %x+:%x+ %x+ (%x+):(%x+)")
    if port and ports[tonumber(port, 16)] then
      sum = sum + tonumber(unsent, 16) + tonumber(unread, 16)
    end
  end
  return sum
end

-- the most memory that the process has had at once, in bytes
local function highest_resident()
  local text = read_file("/proc/" .. crowd.pid .. "/status")
  return tonumber(text:match("VmHWM:%s+(%d+)")) * 1024
end

local function resident()
  local text = read_file("/proc/" .. crowd.pid .. "/status")
  return tonumber(text:match("VmRSS:%s+(%d+)")) * 1024
end

-- notes the memory that counts: of the process, and what the kernel holds
function look()
  expect(sys.reap(crowd.pid) == nil, "the process lives")
  crowd.highest = math.max(crowd.highest, highest_resident(),
                           resident() + kernel_bytes(crowd.ports))
end

-- lets the crowd be read, and looks meanwhile
function watch(looks)
  for _ = 1, looks or LOOKS do
    sys.pump(100)
    look()
  end
end

-- one further connection of the crowd, which has sent these bytes
function join(port, bytes)
  local connection = sys.connect(port)
  connection:send_more(bytes)
  crowd.members[#crowd.members + 1] = connection
  return connection
end

function leave_all()
  for _, connection in ipairs(crowd.members) do
    connection:close()
  end
  crowd.members = {}
  sys.pump(500)
end

-- TRUE when the instance has ended the connections of all members
function all_ended()
  for _, connection in ipairs(crowd.members) do
    if connection:alive() then
      return false
    end
  end
  return true
end

-- sends a further byte on each connection of the crowd from time to time until
-- the instance has ended all of them
function wait_for_ends()
  wait("the end of all that trickle", function()
    for _, connection in ipairs(crowd.members) do
      if connection:alive() then
        connection:send_more("x")
      end
    end
    look()
    return all_ended()
  end)
end

-- the head of a request to an unsafe route, without its last line
function head_of(name, deadline_ms)
  return table.concat({
    "POST /unsafe/x HTTP/1.1", "Host: h.example", "Request-Id: crowd-" .. name,
    "Deadline-Ms: " .. (deadline_ms or 9000), "" }, "\r\n")
end

-- so many bytes in chunks of that size, without the last chunk
function chunks(size, chunk)
  local one = string.format("%x\r\n%s\r\n", chunk, ("x"):rep(chunk))
  return one:rep(size // chunk)
end

-- at the platform's interface: one instance with the limits above
function start_crowd(settings)
  for name, value in pairs(settings or {}) do
    gateway[name] = value
  end
  gateway.memory_mb, gateway.memory_share = crowd.memory_mb, 0.25
  gateway.max_body_bytes = crowd.max_body_bytes
  start_gateway(1)
  crowd.instance = gateway.instances[1]
  crowd.pid = crowd.instance.pid
  local e = crowd.instance
  crowd.ports = { [e.port] = true, [e.ready] = true, [e.control] = true,
                  [e.metrics] = true, [e.exchange] = true }
end

-- at the product's own interface: one instance with the same limits
function start_own_crowd(settings)
  for name, value in pairs(settings or {}) do
    world[name] = value
  end
  world.memory_mb, world.memory_share = crowd.memory_mb, 0.25
  world.max_body_bytes = crowd.max_body_bytes
  funkbuch(1)
  crowd.instance = world.entries[1]
  crowd.pid = crowd.instance.pid
  crowd.is_own = true
  crowd.ports = { [crowd.instance.port] = true, [crowd.instance.ops] = true }
end

-- the head of a request to the product's own interface, without its last line
function own_head()
  return table.concat({
    "POST /v1/completions HTTP/1.1", "Host: x",
    "Authorization: Bearer " .. MEMBERS.key,
    "X-Request-Class: " .. MEMBERS.class, "" }, "\r\n")
end

function ordinary(when)
  if crowd.is_own then
    local answer = finish(by(MEMBERS, { entry = crowd.instance }))
    expect(answer.whole, "an ordinary request " .. when ..
           " is answered, not " .. answer.body)
    return
  end
  local r = answer_of(request(crowd.instance, "safe"))
  expect(r.status == 200 and r.whole, string.format(
         "an ordinary request %s is answered 200, not %s", when, r.status))
end

-- a single body of the largest size in chunks
function largest_alone()
  local size = crowd.max_body_bytes // 1024 * 1024
  local connection = sys.connect(crowd.instance.port)
  connection:send_more(head_of("alone") ..
                       "Transfer-Encoding: chunked\r\n\r\n" ..
                       chunks(size, 1024) .. "0\r\n\r\n")
  wait("the answer to a large body", function() return connection:done() end)
  local _, status = connection:get()
  expect(status == 200, "a large body alone is served, not " .. status)
  connection:close()
end

-- Not with sanitizers, which take memory of their own.
function within_memory()
  local most = crowd.highest / MB
  if sys.build:find("san") then
    return
  end
  print(string.format("%.1f MB at most, of %d MB", most, crowd.memory_mb))
  expect(most <= crowd.memory_mb, string.format(
         "at most %d MB, not %.1f MB", crowd.memory_mb, most))
end

-- what must hold while the crowd is there and after it
function judge_crowd()
  watch()
  ordinary("beside the crowd")
  look()
  leave_all()
  ordinary("after the crowd")
  look()
  within_memory()
end
