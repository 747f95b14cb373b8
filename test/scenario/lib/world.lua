-- world.lua
-- The verbs of scenarios: start, apply, send, kill, pause, stop, restart,
-- platform, engine, expect, wait. Judged by order and ledgers, never by
-- elapsed time: a wait only bounds how long the script looks.

local TERM, KILL, STOP, CONT = 15, 9, 19, 18
local PATIENCE = 600 -- looks, of 100 ms each
local CALL = 3000    -- looks at one call, of 10 ms each

world = { entries = {}, engines = {}, caller_timeout_s = 2,
          max_body_bytes = 200000,
          memory_mb = 0, memory_share = 0, -- of the machine; 0: not bounded
          descriptors = nil -- most that an instance may have open
        }

function expect(ok, what)
  if not ok then
    error("expected: " .. what, 2)
  end
end

function wait(what, f)
  for _ = 1, PATIENCE do
    local v = f()
    if v then
      return v
    end
    sys.pump(100)
  end
  error("waited in vain: " .. what, 2)
end

-- one HTTP exchange, waited for
function ask(method, port, path, headers, body)
  local c = sys.http(method, port, path, headers or {}, body or "")
  for _ = 1, CALL do
    local done, status, text, head = c:get()
    if done then
      return status, text, head
    end
    sys.pump(10)
  end
  error("no reply: " .. method .. " " .. path, 2)
end

local function addr(port)
  return "127.0.0.1:" .. port
end

local function write(path, text)
  local f = assert(io.open(path, "w"))
  f:write(text)
  f:close()
end

local function listing()
  local rows = {}
  for _, e in ipairs(world.entries) do
    rows[#rows + 1] = string.format(
      '{"kind":"entry","name":"%s","data_centre":"%s","address":"%s",' ..
      '"operators":"%s","state":"live"}',
      e.name, e.dc, addr(e.rpc), addr(e.ops))
  end
  for _, e in ipairs(world.engines) do
    rows[#rows + 1] = string.format(
      '{"kind":"endpoint","name":"%s","data_centre":"%s","address":"%s",' ..
      '"service":"%s","role":"%s","state":"live"}',
      e.name, e.dc, addr(e.port), e.service, e.role)
  end
  return '{"version": 1, "instances": [' .. table.concat(rows, ",") .. "]}"
end

local function settings(e)
  write(e.yaml, table.concat({
    "data_centre: " .. e.dc,
    "callers: " .. addr(e.port),
    "rpc: " .. addr(e.rpc),
    "operators: " .. addr(e.ops),
    "platform: " .. addr(world.store),
    "peers: [" .. addr(world.entries[1].rpc) .. ", " ..
      addr(world.entries[#world.entries].rpc) .. "]",
    "instance_network: 127.0.0.0/8",
    "log_file: " .. e.log,
    "log_level: debug",
    "caller_timeout_s: " .. world.caller_timeout_s,
    "max_body_bytes: " .. world.max_body_bytes,
    "memory_mb: " .. world.memory_mb,
    "memory_share: " .. world.memory_share, ""
  }, "\n"))
end

-- starts a daemon, with at most so many descriptors where that is given
function spawn_daemon(out, yaml, descriptors)
  local daemon = sys.build .. "/madderpierd"
  if descriptors then
    return sys.spawn(out, "/usr/bin/prlimit", "--nofile=" .. descriptors,
                     daemon, yaml)
  end
  return sys.spawn(out, daemon, yaml)
end

function restart(e)
  e.pid = spawn_daemon(sys.dir .. "/out", e.yaml, world.descriptors)
end

-- start{dcs = {...}, entries = N, engines = {{service, role, count}...}}
function start(o)
  world.store = sys.freeport()
  for i = 1, o.entries do
    local e = { name = "entry-" .. i, dc = o.dcs[(i - 1) % #o.dcs + 1],
                port = sys.freeport(), rpc = sys.freeport(),
                ops = sys.freeport() }
    e.yaml = sys.dir .. "/" .. e.name .. ".yaml"
    e.log = sys.dir .. "/" .. e.name .. ".log"
    world.entries[i] = e
  end
  for _, row in ipairs(o.engines) do
    for i = 1, row[3] do
      world.engines[#world.engines + 1] = {
        name = row[1] .. "-" .. row[2] .. "-" .. i, service = row[1],
        role = row[2], dc = o.dcs[(i - 1) % #o.dcs + 1],
        port = sys.freeport() }
    end
  end
  local list = sys.dir .. "/instances.json"
  write(list, listing())
  world.platform = sys.spawn(sys.dir .. "/out",
    sys.build .. "/standin-platform", addr(world.store), list)
  world.standin = sys.spawn(sys.dir .. "/out",
    sys.build .. "/standin-engine", list)
  for _, e in ipairs(world.entries) do
    settings(e)
    restart(e)
  end
  wait("the platform", function()
    return ask("GET", world.store, "/stats") == 200
  end)
end

-- the operators' command, waited for: exit code and what it printed
function cli(...)
  local out = os.tmpname()
  local pid = sys.spawn(out, sys.build .. "/madderpier", "--platform",
                        addr(world.store), "--by", "scenario", ...)
  local code = wait("madderpier", function() return sys.reap(pid) end)
  local f = assert(io.open(out))
  local text = f:read("a")
  f:close()
  os.remove(out)
  return code, text
end

function ready(e)
  wait(e.name .. " ready", function()
    return ask("GET", e.ops, "/ready") == 200
  end)
end

function apply(dir)
  local code, text = cli("apply", dir)
  expect(code == 0, "apply " .. dir .. ": " .. text)
  for _, e in ipairs(world.entries) do
    ready(e)
  end
  -- members and loads have been heard of
  sys.pump(1500)
end

-- a copy of a configuration's folder, with one file changed
function variant(dir, file, from, to)
  local copy = os.tmpname()
  os.remove(copy)
  sys.mkdir(copy)
  for _, f in ipairs { "places", "services", "classes", "accounts", "rules",
                       "policy" } do
    local i = assert(io.open(dir .. "/" .. f .. ".yaml"))
    local text = i:read("a")
    i:close()
    if f == file then
      local n
      text, n = text:gsub(from, to)
      expect(n > 0, "a change in " .. file)
    end
    write(copy .. "/" .. f .. ".yaml", text)
  end
  return copy
end

-- send{entry = e, key =, class =, id =, prompt =, max =, path =}
function send(o)
  local h = { Authorization = "Bearer " .. o.key,
              ["X-Request-Class"] = o.class }
  if o.id then
    h["Idempotency-Key"] = o.id
  end
  local body = o.body or string.format(
    '{"model":"%s","prompt":"%s","max_tokens":%d,"stream":%s}',
    o.model or "logbuch-7b", o.prompt or "hello", o.max or 8,
    o.stream == false and "false" or "true")
  return sys.http("POST", o.entry.port, o.path or "/v1/completions", h, body)
end

function finish(c)
  wait("an answer", function() return (c:get()) end)
  local _, status, body, head, well = c:get()
  return { status = status, body = body, head = head, well = well,
           whole = body:find("data: [DONE]", 1, true) ~= nil,
           kind = body:match('"kind":"([a-z_]+)"'),
           ran = body:match('"ran":"([a-z]+)"'),
           text = body:gsub("[^\n]*", function(l)
             return l:match('"text":"([^"]*)"') or ""
           end):gsub("\n", "") }
end

function kill(e)
  sys.signal(e.pid, KILL)
  wait("its end", function() return sys.reap(e.pid) end)
end

function pause(e) sys.signal(e.pid, STOP) end
function resume(e) sys.signal(e.pid, CONT) end

-- a planned stop; gives the exit code
function stop(e)
  sys.signal(e.pid, TERM)
end

function exitcode(e)
  return wait("its exit", function() return sys.reap(e.pid) end)
end

function platform(mode, count)
  ask("POST", world.store, "/fault", {},
      string.format('{"mode":"%s","count":%d}', mode, count or 0))
end

function engine(e, fault)
  ask("POST", e.port, "/fault", {}, fault)
end

function engines(role)
  local out = {}
  for _, e in ipairs(world.engines) do
    if e.role == role then
      out[#out + 1] = e
    end
  end
  return out
end

-- all that the engines ran: rows of engine, dc, id, op, outcome
function ledger()
  local rows = {}
  for _, e in ipairs(world.engines) do
    local _, text = ask("GET", e.port, "/ledger")
    for line in text:gmatch("[^\n]+") do
      rows[#rows + 1] = {
        engine = e.name, dc = e.dc, id = line:match('"id":"([^"]*)"'),
        op = line:match('"op":"([^"]*)"'),
        outcome = line:match('"outcome":"([^"]*)"') }
    end
  end
  return rows
end

function count(f)
  local n = 0
  for _, r in ipairs(ledger()) do
    if f(r) then
      n = n + 1
    end
  end
  return n
end

-- engine memory that is held now
function held()
  local n = 0
  for _, e in ipairs(world.engines) do
    if e.role ~= "plain" then
      local _, text = ask("GET", e.port, "/holds")
      local holds = text:match('"holds":%[(.-)%]') or ""
      for _ in holds:gmatch('"') do
        n = n + 1
      end
    end
  end
  return n // 2
end

-- the deployment of funkbuch-ost, smaller
CONFIG = "examples/funkbuch-ost/config"

function funkbuch(entries)
  start { dcs = { "wien-a", "wien-b", "linz-c" }, entries = entries,
          engines = { { "logbuch-llm", "prefill", 3 },
                      { "logbuch-llm", "decode", 3 },
                      { "logbuch-app", "plain", 3 },
                      { "logbuch-claims", "plain", 2 } } }
  apply(CONFIG)
end

MEMBERS = { key = "funkbuch-members-sample", class = "lookup" }
CLUBS = { key = "funkbuch-clubs-sample", class = "award-check" }
MERGED = { key = "funkbuch-merged-sample", class = "lookup" }

-- request by one of the accounts above
function by(who, o)
  o.key = o.key or who.key
  o.class = o.class or who.class
  return send(o)
end
