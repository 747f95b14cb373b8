-- gateway.lua
-- The verbs of scenarios on the users' platform: a fleet of stand-ins behind
-- a loopback proxy, instances, callers on kept connections, and the judge
-- that compares what callers and workers saw.

local TERM, KILL, STOP, CONT = 15, 9, 19, 18

gateway = { instances = {}, workers = {}, asked = {}, last = 0,
            version = 1, timeout = 8000,
            -- of connections from callers, and to each endpoint of a service
            max_head_bytes = 16384, max_conns = 100,
            more_streams = {}, -- names of further routes to the engines
            kv_tokens = 20000, slots = 8, more_prefill = 0, lease_ms = 0,
            one_zone = false,
            -- the list names the workers themselves, not the proxy's links
            direct = false,
            -- each instance reaches the workers by links of its own, which are
            -- named WORKER@INSTANCE, and the store too
            own_worker_links = false,
            memory_mb = 0, memory_share = 0, -- flow control; 0: off
            descriptors = nil, -- most that an instance may have open
            -- callers can reach each instance over a link of the proxy too, which
            -- is named callers-INSTANCE, at the port caller_link
            caller_links = false,
            without = {}, -- names of routes that the configuration leaves out
            spare = false, -- a further plain service, "spare"
            weights = {}, -- route -> service -> weight, in place of its service
            -- limits of callers' connections in the configuration
            max_body_bytes = 1048576, header_timeout_ms = 3000,
            idle_timeout_ms = 15000,
            store_late_ms = 0, -- the store starts so long after the instances
            -- client accounts: { name, keys, rate, burst }; none: no keys
            accounts = nil,
            revoke_ms = 2000, limit_over = 0.1, limit_slack = 30000,
            revoked = {}, -- key -> when it was taken away, milliseconds
            limits = {}   -- account -> { rate, burst }, the largest it had
          }
-- what a request costs of a limit: its prompt, and the most it may make
local COST, PLAIN_COST, LIMIT_WINDOW_MS = 1300, 200, 8000

local function addr(port)
  return "127.0.0.1:" .. port
end

local function write(path, text)
  local f = assert(io.open(path, "w"))
  f:write(text)
  f:close()
end

local function split(name)
  local parts = {}
  for service, weight in pairs(gateway.weights[name] or {}) do
    parts[#parts + 1] = string.format('{"Service":"%s","Weight":%d}', service,
                                      weight)
  end
  return #parts > 0 and ',"Split":[' .. table.concat(parts, ",") .. "]" or ""
end

local function route(name, kind, service, attempts, resumable)
  return string.format(
    '{"Name":"%s","Host":"h.example","PathPrefix":"/%s/","Kind":"%s",' ..
    '"TimeoutMs":%d,"SloMs":900,"Priority":1,"Service":"%s",' ..
    '"Attempts":%d,"Resumable":%s,"GapTargetMs":300%s}',
    name, name, kind, gateway.timeout, service, attempts,
    tostring(resumable), split(name))
end

local function accounts_text()
  local rows = {}
  for _, a in ipairs(gateway.accounts) do
    local keys = {}
    for _, key in ipairs(a.keys) do
      keys[#keys + 1] = '"' .. key .. '"'
    end
    rows[#rows + 1] = string.format(
      '{"Name":"%s","ApiKeys":[%s],"Priority":1,"Unit":"generate",' ..
      '"PlainTokens":%d,"RatePerS":%d,"Burst":%d}', a.name,
      table.concat(keys, ","), PLAIN_COST, a.rate, a.burst)
    local most = gateway.limits[a.name] or { rate = 0, burst = 0 }
    gateway.limits[a.name] = { rate = math.max(most.rate, a.rate),
                               burst = math.max(most.burst, a.burst) }
  end
  return ',"Tenants":[' .. table.concat(rows, ",") .. "]"
end

-- 'more': names of further routes, all unsafe
function configuration(more)
  local routes = {
    route("safe", "safe", "app", 2, false),
    route("unsafe", "unsafe", "app", 1, false),
    route("stream", "stream", "llm", 1, false),
    route("resume", "stream", "llm", 2, true)
  }
  for _, name in ipairs(more or {}) do
    routes[#routes + 1] = route(name, "unsafe", "app", 1, false)
  end
  for _, name in ipairs(gateway.more_streams) do
    routes[#routes + 1] = route(name, "stream", "llm", 1, false)
  end
  for i = #routes, 1, -1 do
    if gateway.without[routes[i]:match('"Name":"([^"]*)"')] then
      table.remove(routes, i)
    end
  end
  return string.format(
    '{"Version":%d,"Routes":[%s],"Services":[{"Name":"app","HealthPath":' ..
    '"/healthz","MaxConns":%d},{"Name":"llm","HealthPath":"/healthz",' ..
    '"MaxConns":%d,"Engine":{"Slots":%d,"KvTokens":%d,"Stride":10,' ..
    '"KvHoldS":0.5,"SwitchS":0.5}}%s],"Limits":{"MaxHeaderBytes":%d,' ..
    '"MaxBodyBytes":%d,"HeaderTimeoutMs":%d,"IdleTimeoutMs":%d}%s}',
    gateway.version, table.concat(routes, ","), gateway.max_conns,
    gateway.max_conns, gateway.slots, gateway.kv_tokens,
    gateway.spare and ',{"Name":"spare","HealthPath":"/healthz"}' or "",
    gateway.max_head_bytes,
    gateway.max_body_bytes, gateway.header_timeout_ms, gateway.idle_timeout_ms,
    gateway.accounts and accounts_text() or "")
end

local function add_worker(service, stage, zone)
  local w = { id = "i-" .. #gateway.workers + 1, service = service,
              stage = stage, zone = zone, port = sys.freeport(),
              proxy = sys.freeport() }
  gateway.workers[#gateway.workers + 1] = w
end

local function write_fleet()
  local rows, links = {}, {}
  for _, w in ipairs(gateway.workers) do
    rows[#rows + 1] = string.format(
      '{"id":"%s","service":"%s","zone":"%s","stage":"%s","listen":"%s",' ..
      '"addr":"%s"}', w.id, w.service, w.zone, w.stage, addr(w.port),
      addr(gateway.direct and w.port or w.proxy))
    links[#links + 1] = string.format(
      '{"name":"%s","listen":"%s","to":"%s"}', w.id, addr(w.proxy),
      addr(w.port))
  end
  links[#links + 1] = string.format(
    '{"name":"store","listen":"%s","to":"%s"}', addr(gateway.store_proxy),
    addr(gateway.store))
  for _, e in ipairs(gateway.caller_links and gateway.instances or {}) do
    e.caller_link = sys.freeport()
    links[#links + 1] = string.format(
      '{"name":"callers-%s","listen":"%s","to":"%s"}', e.name,
      addr(e.caller_link), addr(e.port))
  end
  -- each instance's own way to the store, where a scenario wants that
  local own_links = gateway.own_store_links or gateway.own_worker_links
  for _, e in ipairs(own_links and gateway.instances or {}) do
    e.store_proxy = sys.freeport()
    e.store_view = gateway.own_worker_links and sys.freeport() or gateway.store
    links[#links + 1] = string.format(
      '{"name":"store-%s","listen":"%s","to":"%s"}', e.name,
      addr(e.store_proxy), addr(e.store_view))
  end
  local views = {}
  for _, e in ipairs(gateway.own_worker_links and gateway.instances or {}) do
    local addrs = {}
    for _, w in ipairs(gateway.workers) do
      local port = sys.freeport()
      links[#links + 1] = string.format(
        '{"name":"%s@%s","listen":"%s","to":"%s"}', w.id, e.name, addr(port),
        addr(gateway.direct and w.port or w.proxy))
      addrs[#addrs + 1] = string.format(
        '"%s":"%s"', addr(gateway.direct and w.port or w.proxy), addr(port))
    end
    views[#views + 1] = string.format('{"listen":"%s","addrs":{%s}}',
      addr(e.store_view), table.concat(addrs, ","))
  end
  write(sys.dir .. "/fleet.json", string.format(
    '{"store":"%s","admin":"%s","configuration":%s,"workers":[%s],' ..
    '"views":[%s]}',
    addr(gateway.store), addr(gateway.admin), configuration(),
    table.concat(rows, ","), table.concat(views, ",")))
  write(sys.dir .. "/proxy.json", string.format(
    '{"admin":"%s","links":[%s]}', addr(gateway.proxy_admin),
    table.concat(links, ",")))
end

local function write_settings(e)
  write(e.yaml, table.concat({
    "dialect: platform",
    "instance: " .. e.name,
    "data_centre: " .. e.zone,
    "callers: " .. addr(e.port),
    "ready: " .. addr(e.ready),
    "control: " .. addr(e.control),
    "metrics: " .. addr(e.metrics),
    "exchange: " .. addr(e.exchange),
    "platform: " .. addr(e.store_proxy or gateway.store_proxy),
    "peers: [" .. addr(gateway.instances[1].control) .. ", " ..
      addr(gateway.instances[#gateway.instances].control) .. "]",
    "retry_ratio: 0.2",
    "retry_slack: 60",
    "grace_s: 8",
    "lease_ms: " .. gateway.lease_ms,
    gateway.accounts and "revoke_ms: " .. gateway.revoke_ms or "# no accounts",
    "limit_over: " .. gateway.limit_over,
    "limit_slack: " .. gateway.limit_slack,
    "memory_mb: " .. gateway.memory_mb,
    "memory_share: " .. gateway.memory_share,
    "log_level: debug", ""
  }, "\n"))
end

function launch(e)
  e.pid = spawn_daemon(e.log, e.yaml, gateway.descriptors)
end

function is_ready(e)
  local c = sys.http("GET", e.ready, "/readyz", {}, "")
  for _ = 1, 50 do
    local done, status = c:get()
    if done then
      return status == 200
    end
    sys.pump(10)
  end
  return false
end

function wait_ready(e)
  wait(e.name .. " ready", function() return is_ready(e) end)
end

local function start_fleet()
  sys.spawn(sys.dir .. "/fleet.log", sys.build .. "/standin-fleet",
            sys.dir .. "/fleet.json")
  sys.spawn(sys.dir .. "/proxy.log", sys.build .. "/standin-proxy",
            sys.dir .. "/proxy.json")
end

-- how many instances have entered themselves in the store, page by page
function entered()
  local count, last, more = 0, nil, true
  while more do
    local _, text = ask("GET", gateway.store, "/objects/madderpier-instances" ..
                        (last and "?after=" .. last or ""))
    for name in text:gmatch('"Name":"([^"]*)"') do
      count, last = count + 1, name
    end
    more = text:find('"more":true', 1, true) ~= nil
  end
  return count
end

-- all have entered themselves, and every one that is not away knows of so many
function wait_counted(count)
  wait("all have entered", function() return entered() == count end)
  for _, e in ipairs(gateway.instances) do
    if not e.away then
      wait(e.name .. " counts " .. count, function()
        return news_of(e).instances == count
      end)
    end
  end
end

-- a fleet of eight workers in two zones, and so many instances
function start_gateway(instances)
  for i = 1, gateway.more_prefill do
    add_worker("llm", "prefill", i % 2 == 1 and "a" or "b")
  end
  for _, zone in ipairs { "a", "b" } do
    add_worker("app", "", zone)
    add_worker("llm", "prefill", zone)
    add_worker("llm", "decode", zone)
    add_worker("llm", "decode", zone)
    if gateway.spare then
      add_worker("spare", "", zone)
    end
  end
  gateway.store, gateway.store_proxy = sys.freeport(), sys.freeport()
  gateway.admin, gateway.proxy_admin = sys.freeport(), sys.freeport()
  for i = 1, instances do
    local in_a = gateway.one_zone or i % 2 == 1
    local e = { name = "entry-" .. i, zone = in_a and "a" or "b",
                port = sys.freeport(), ready = sys.freeport(),
                control = sys.freeport(), metrics = sys.freeport(),
                exchange = sys.freeport() }
    e.yaml = sys.dir .. "/" .. e.name .. ".yaml"
    e.log = sys.dir .. "/" .. e.name .. ".log"
    gateway.instances[i] = e
  end
  write_fleet()
  if gateway.store_late_ms == 0 then
    start_fleet()
  end
  for _, e in ipairs(gateway.instances) do
    write_settings(e)
    launch(e)
  end
  if gateway.store_late_ms > 0 then
    sys.pump(gateway.store_late_ms)
    start_fleet()
  end
  for _, e in ipairs(gateway.instances) do
    wait_ready(e)
  end
end

-- faults
function link(name, mode, ms)
  ask("POST", gateway.proxy_admin, "/link", {}, string.format(
    '{"name":"%s","mode":"%s","ms":%d}', name, mode, ms or 0))
end

-- the callers' link of an instance passes so many bytes a second at most, each
-- way; nil: as many as there are
function limit_callers(e, bytes)
  ask("POST", gateway.proxy_admin, "/link", {}, string.format(
    '{"name":"callers-%s","mode":"%s","bytes":%d}', e.name,
    bytes and "rate" or "pass", bytes or 0))
end

-- sets the links of an instance to those workers for which 'which' (all by
-- default) is true
function cut_off(e, mode, which)
  for _, w in ipairs(gateway.workers) do
    if not which or which(w) then
      link(w.id .. "@" .. e.name, mode)
    end
  end
end

-- a number of an instance's metrics
function metric(e, name)
  local _, text = ask("GET", e.metrics, "/metrics")
  return tonumber(text:match("madderpier_" .. name .. " (%d+)"))
end

function store(mode)
  ask("POST", gateway.admin, "/store", {},
      string.format('{"mode":"%s"}', mode))
end

-- the store is back from a copy that is so old
function restore_store(age_ms)
  ask("POST", gateway.admin, "/store", {},
      string.format('{"mode":"restore","ms":%d}', age_ms))
end

function worker(w, mode)
  ask("POST", gateway.admin, "/worker", {},
      string.format('{"id":"%s","mode":"%s"}', w.id, mode))
end

-- another writer puts an entry into the store
function entry(kind, name, spec)
  ask("POST", gateway.admin, "/entry", {}, string.format(
    '{"kind":"%s","name":"%s","spec":%s}', kind, name, spec))
end

-- take a key away; the store has it when this returns
function revoke(key)
  any_key() -- callers go on using it
  for _, a in ipairs(gateway.accounts) do
    for i = #a.keys, 1, -1 do
      if a.keys[i] == key then
        table.remove(a.keys, i)
      end
    end
  end
  configure()
  gateway.revoked[key] = sys.now()
end

function configure(more)
  gateway.version = gateway.version + 3
  ask("POST", gateway.admin, "/configuration", {}, configuration(more))
end

function end_now(e)
  sys.signal(e.pid, KILL)
  wait(e.name .. "'s end", function() return sys.reap(e.pid) end)
end

function stop_planned(e) sys.signal(e.pid, TERM) end
function freeze(e) sys.signal(e.pid, STOP) end
function thaw(e) sys.signal(e.pid, CONT) end
function hangup(e) sys.signal(e.pid, 1) end

local function new_request(e, kind, connection, key, target)
  gateway.last = gateway.last + 1
  local r = { id = "q" .. gateway.last, kind = kind, instance = e,
              is_stream = kind == "resume" or kind:find("^stream") ~= nil,
              target = target or "x", connection = connection,
              sent = sys.now(), key = key or any_key() }
  gateway.asked[#gateway.asked + 1] = r
  return r
end

local function fields_of(r)
  return {
    Host = "h.example", ["Request-Id"] = r.id,
    ["Deadline-Ms"] = tostring(r.deadline or 9000),
    Model = "m", ["Token-Count"] = "1000,300",
    ["Prompt-Prefix"] = "aa:200,bb:800",
    -- the router's to set: no endpoint may see these values
    ["pin-ms"] = "forged", ["Kv-Hold"] = "forged", ["KV-FROM"] = "forged",
    ["Kv-Backup"] = "forged", ["Kv-Fetch"] = "forged", Stage = "forged",
    ["Request-Urgency"] = "forged", ["Expect-Version"] = "forged",
    tenant = gateway.accounts and "forged" or nil, ["Api-Key"] = r.key,
    Resumes = r.first, ["Last-Event-Id"] = r.after and tostring(r.after) or nil,
    Connection = "Kv-Hold" }
end

-- a caller's request on a kept connection (or a new one), with the key given
-- or one that some account has or had; 'target' and 'body' where they matter,
-- 'resumes' and 'after' where it takes a stream up; 'deadline' in milliseconds
function request(e, kind, connection, key, target, body, resumes, after,
                 deadline)
  local r = new_request(e, kind, connection or sys.connect(e.port), key, target)
  r.first, r.after, r.deadline = resumes, after, deadline
  r.connection:send("POST", "/" .. kind .. "/" .. r.target, fields_of(r),
                    body or "body of " .. r.id)
  return r
end

-- the caller of 'r' sends its next request although it has not read the answer
-- to 'r'; read_next() goes on to the answer to that one, once 'r' has ended
function request_early(r, kind, key, target)
  local n = new_request(r.instance, kind, r.connection, key, target)
  local lines = { "POST /" .. kind .. "/" .. n.target .. " HTTP/1.1" }
  for name, value in pairs(fields_of(n)) do
    lines[#lines + 1] = name .. ": " .. value
  end
  local body = "body of " .. n.id
  lines[#lines + 1] = "Content-Length: " .. #body .. "\r\n\r\n" .. body
  n.connection:send_next(table.concat(lines, "\r\n"))
  r.next = n
  return n
end
function read_next(r)
  if r.left then
    r.next.left, r.next.over = true, true
  else
    r.connection:read_next()
  end
  return r.next
end

-- number of the last whole event that a caller has, and the version that wrote
-- it; nil if it has none
function last_event(r)
  local number, software
  for id, version in (r.body or ""):gmatch("id: (%d+)\ndata: piece %d+ of (%S+)\n\n") do
    number, software = tonumber(id), version
  end
  return number or r.after, software or r.software
end

-- the caller of a stream that broke off takes it up at this instance
function take_up(r, e)
  local after, software = last_event(r)
  local n = request(e, r.kind, nil, r.key, nil, "body of " .. (r.first or r.id),
                    r.first or r.id, after)
  n.software = software
  return n
end

local all_keys = {} -- key -> account, those taken away too
function any_key()
  local keys = {}
  for _, a in ipairs(gateway.accounts or {}) do
    for _, key in ipairs(a.keys) do
      all_keys[key] = a.name
    end
  end
  for key in pairs(all_keys) do
    keys[#keys + 1] = key
  end
  table.sort(keys)
  return #keys > 0 and keys[math.random(#keys)] or nil
end

-- a request that ends every worker that runs it; 'name' tells such apart
function crashing(e, kind, name, key)
  return request(e, kind, nil, key, name .. "-crashes", "body of " .. name)
end

-- TRUE once it ended; then r.status, r.body, r.whole are set
function ended(r)
  if r.over then
    return true
  end
  if not r.connection:done() then
    return false
  end
  local _, status, body, head, whole = r.connection:get()
  r.over, r.status, r.body, r.head, r.whole = true, status, body, head, whole
  return true
end

function answer_of(r)
  wait("an answer to " .. r.id, function() return ended(r) end)
  return r
end

function leave(r)
  r.left, r.over = true, true
  r.connection:close()
end

-- what the workers took: id -> rows
function worker_ledger()
  local _, text = ask("GET", gateway.admin, "/ledger")
  local rows = {}
  for row in text:gmatch("{([^{}]*)}") do
    local id = row:match('"id":"([^"]*)"')
    if id then
      rows[id] = rows[id] or {}
      table.insert(rows[id], {
        what = row:match('"what":"([^"]*)"'),
        worker = row:match('"worker":"([^"]*)"'),
        resumed = row:match('"resumed":"([^"]*)"'),
        account = row:match('"account":"([^"]*)"'),
        has_key = row:match('"key":true') ~= nil,
        -- what the worker's answers say then: seconds of rest, and leaving
        rest = tonumber(row:match('"rest":"([^"]*)"')),
        leaving = row:match('"leaving":true') ~= nil,
        born = row:match('"born":(%d+)'),
        at = tonumber(row:match('"at_ms":(%d+)')) })
    end
  end
  return rows
end

-- when the store began to listen
function store_up_at()
  local _, text = ask("GET", gateway.admin, "/ledger")
  return tonumber(text:match('"store_up_ms":(%d+)'))
end

-- runs of these requests in their order: at which worker and when
function runs_of_all(requests)
  local rows, found = worker_ledger(), {}
  for _, r in ipairs(requests) do
    for _, row in ipairs(rows[r.id] or {}) do
      if row.what == "run" then
        found[#found + 1] = row
      end
    end
  end
  table.sort(found, function(a, b) return a.at < b.at end)
  return found
end

-- the orders that workers got, in their order
function orders()
  local _, text = ask("GET", gateway.admin, "/ledger")
  local rows = {}
  for row in text:gmatch("{([^{}]*)}") do
    if row:match('"what":"order"') then
      rows[#rows + 1] = {
        worker = row:match('"worker":"([^"]*)"'),
        holder = row:match('"holder":"([^"]*)"'),
        stage = row:match('"stage":"([^"]*)"'),
        fence = tonumber(row:match('"fence":(%d+)')),
        status = tonumber(row:match('"status":(%d+)')) }
    end
  end
  return rows
end

local function runs_of(rows)
  local n = 0
  for _, row in ipairs(rows or {}) do
    n = n + (row.what == "run" and 1 or 0)
  end
  return n
end

-- events of a stream come once each, in their order
local mixed = 0 -- streams with events of two software versions
function check_events(r)
  local expected, software = (r.after or 0) + 1, r.software
  for version in r.body:gmatch("data: piece %d+ of (%S+)\n\n") do
    if software and version ~= software then
      mixed = mixed + 1
      expect(mixed <= 2, r.id .. ": event of " .. version .. " after " ..
             software)
      break
    end
    software = version
  end
  for id in r.body:gmatch("id: (%d+)\n") do
    expect(tonumber(id) == expected,
           r.id .. ": event " .. id .. " where " .. expected .. " is due")
    expected = expected + 1
  end
  if r.whole and r.status == 200 then
    expect(expected == 13, r.id .. ": a whole stream has 12 events, not " ..
           expected - 1)
  end
end

-- orders that engines took: fences never go back, nor serve two holders
local function check_orders()
  local newest, holders = {}, {}
  for _, row in ipairs(orders()) do
    local holder = holders[row.fence] or row.holder
    holders[row.fence] = row.holder
    expect(holder == row.holder, "fence " .. row.fence .. " of two holders")
    if row.status == 202 then
      expect(row.fence >= (newest[row.worker] or 0),
             row.worker .. ": an older fence was taken")
      newest[row.worker] = row.fence
    end
  end
end

-- a run names the account of its key, which was not taken away too long ago
local function check_account(r, rows)
  for _, row in ipairs(rows or {}) do
    expect(not row.has_key, r.id .. ": its key was passed on")
    expect(row.account == (all_keys[r.key] or ""),
           r.id .. ": ran for account " .. row.account)
    local gone = gateway.revoked[r.key]
    expect(not gone or r.sent <= gone + gateway.revoke_ms,
           r.id .. ": ran with a key taken away " ..
           (gone and r.sent - gone or 0) .. " ms before")
  end
end

-- tokens of first runs in any window, by account
local function check_limits(rows)
  local spent = {}
  for _, r in ipairs(gateway.asked) do
    for _, row in ipairs(rows[r.id] or {}) do
      if row.what == "run" then
        local list = spent[row.account] or {}
        spent[row.account] = list
        list[#list + 1] = { at = row.at, cost = COST }
        break
      end
    end
  end
  for name, list in pairs(spent) do
    local limit = gateway.limits[name]
    table.sort(list, function(a, b) return a.at < b.at end)
    local first, sum = 1, 0
    for _, one in ipairs(list) do
      sum = sum + one.cost
      while list[first].at <= one.at - LIMIT_WINDOW_MS do
        sum = sum - list[first].cost
        first = first + 1
      end
      local whole = limit.rate * LIMIT_WINDOW_MS / 1000 + limit.burst
      local most = whole * (1 + gateway.limit_over) + gateway.limit_slack
      expect(limit.rate == 0 or sum <= most, string.format(
             "%s spent %.0f of %.0f in a window", name, sum, most))
    end
  end
end

-- No run begins after the deadline of its caller, where one was chosen. The
-- endpoints may be late to note it on a loaded machine.
local DEADLINE_SLACK_MS = 250
local function check_deadline(r, rows)
  for _, row in ipairs(r.deadline and rows or {}) do
    local over = row.at - r.sent - r.deadline
    expect(over <= DEADLINE_SLACK_MS or
           row.what ~= "run" and row.what ~= "prefill",
           r.id .. ": " .. row.what .. " " .. over ..
           " ms after its caller's deadline")
  end
end

-- the promises, from both sides
function judge()
  check_orders()
  local rows = worker_ledger()
  if gateway.accounts then
    check_limits(rows)
  end
  for _, r in ipairs(gateway.asked) do
    local runs = runs_of(rows[r.id])
    if gateway.accounts then
      check_account(r, rows[r.id])
    end
    for _, row in ipairs(rows[r.id] or {}) do
      expect(row.what ~= "forged", r.id .. ": an endpoint got a field that " ..
             "only the router may set as its caller sent it")
    end
    check_deadline(r, rows[r.id])
    local once = r.kind ~= "safe" and r.kind ~= "resume"
    expect(not once or runs <= 1, r.id .. " (" .. r.kind .. ") ran " ..
           runs .. " times")
    if not r.left and r.over and r.whole then
      if r.status == 503 or r.status == 429 then
        expect(runs == 0, r.id .. ": promised not run, but ran")
        expect(r.head["server-stamp"] == nil, r.id .. ": a signed refusal")
      elseif r.status == 200 then
        expect(runs >= 1, r.id .. ": answered without a run")
        expect(r.head["server-stamp"], r.id .. ": no signature")
      end
    end
    if not r.left and r.over and r.status == 200 and r.body then
      if r.is_stream then
        check_events(r)
      elseif r.whole then
        expect(r.body == "answer to " .. r.id,
               r.id .. " got another's answer: " .. r.body)
      end
    end
  end
  return rows
end

-- all are killed and started at once, and serve again
function restart_all()
  for _, x in ipairs(gateway.instances) do
    end_now(x)
  end
  for _, x in ipairs(gateway.instances) do
    launch(x)
  end
  for _, x in ipairs(gateway.instances) do
    wait_ready(x)
    expect(answer_of(request(x, "stream")).whole, "service again")
  end
end

-- what an instance's metrics say: the role it has for the store's news, how
-- many calls it made to the store, and how many instances it knows of
function news_of(e)
  local _, text = ask("GET", e.metrics, "/metrics")
  return { role = text:match('madderpier_news_role{role="([a-z]+)"}'),
           calls = tonumber(text:match("madderpier_store_calls_total (%d+)")),
           instances = tonumber(text:match("madderpier_instances (%d+)")) }
end
