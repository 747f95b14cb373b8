-- Entries of another writer in the store: one that can't be read names nobody to
-- use, and all others hold, for instances that run and for one that starts.
dofile("test/scenario/lib/gateway.lua")
start_gateway(3)
wait_counted(3)
local e = gateway.instances

local function runs_at(worker)
  local n = 0
  for _, rows in pairs(worker_ledger()) do
    for _, row in ipairs(rows) do
      n = n + (row.worker == worker and row.what == "run" and 1 or 0)
    end
  end
  return n
end

local function serve(count, what)
  local sent = {}
  for i = 1, count do
    sent[i] = request(e[i % #e + 1], "stream")
  end
  for _, r in ipairs(sent) do
    expect(answer_of(r).status == 200, what .. ": " .. r.status)
  end
end

-- a worker that runs, and whose entry turns unreadable
local worker
for _, w in ipairs(gateway.workers) do
  if w.stage == "decode" and w.zone == "a" then
    worker = w
    break
  end
end
local function spec(fields)
  return string.format('{"Service":"llm","Addr":"127.0.0.1:%d","Zone":"a",' ..
                       '"Slots":8,"ColdLeftMs":0,%s}', worker.proxy, fields)
end
serve(12, "before")
for _, fields in ipairs { '"State":"confused","Stage":"decode"',
                          '"State":"ready","Stage":"xyz"',
                          '"State":"ready","Stage":"decode","born":"soon"',
                          '"State":7' } do
  entry("servers", worker.id, spec(fields))
  sys.pump(700)
  local before = runs_at(worker.id)
  serve(9, fields)
  expect(runs_at(worker.id) == before, "it was used as " .. fields)
end
-- a line of this event that names this object
local function log_has(x, event, name)
  for line in io.lines(x.log) do
    if line:find(event, 1, true) and line:find(name, 1, true) then
      return true
    end
  end
  return false
end

-- an entry that names an instance itself: a request would come back to it
for _, x in ipairs(e) do
  entry("servers", "i-loop", string.format(
    '{"Service":"app","Addr":"127.0.0.1:%d","Zone":"a","Slots":8,' ..
    '"State":"ready","ColdLeftMs":0}', x.port))
  wait("the loop is refused at " .. x.name, function()
    return log_has(x, "E8101", "i-loop")
  end)
end
entry("servers", "i-loop", "{}")
-- it is used again once its entry can be read
entry("servers", worker.id, spec('"State":"ready","Stage":"decode"'))
wait("it is used", function()
  local before = runs_at(worker.id)
  serve(6, "after")
  return runs_at(worker.id) > before
end)

-- entries that are no workers, and one that changes all the time
for i, text in ipairs { '"x"', "7", "[]", "{}", "null", '{"Service":"llm"}' } do
  entry("servers", "other-" .. i, text)
end
for i = 1, 40 do
  entry("servers", "other-0", '{"State":' .. i .. "}")
  if i % 10 == 0 then
    serve(3, "while an entry changes")
  end
end

-- an instance that starts among them
end_now(e[1])
launch(e[1])
wait_ready(e[1])
expect(answer_of(request(e[1], "stream")).status == 200, "a new start")

-- an instance's own entry, spoilt: it is written again, and all are counted
entry("madderpier-instances", e[2].name, '{"Address":5}')
wait_counted(3)

-- a request's hold that can't be read holds nobody
entry("madderpier-quarantine", "0011223344556677", '{"Crashes":"all"}')
entry("madderpier-quarantine", "not hexadecimal", '{"Crashes":["1"]}')
sys.pump(500)
serve(6, "with unreadable holds")
judge()
