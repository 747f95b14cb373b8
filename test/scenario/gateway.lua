-- Real daemons on the users' platform (stand-ins): the whole path, a store
-- that is away, planned and unplanned ends, all at once.
dofile("test/scenario/lib/gateway.lua")
start_gateway(3)
local e = gateway.instances

-- the whole path, on one kept connection
local kept = sys.connect(e[1].port)
for _, kind in ipairs { "safe", "unsafe", "stream", "resume" } do
  local r = answer_of(request(e[1], kind, kept))
  expect(r.status == 200 and r.whole, kind .. ": " .. r.status)
end
local rows = worker_ledger()
expect(rows["q3"][1].what == "prefill" and rows["q3"][2].what == "run",
       "a prompt is read apart")
local unknown = request(e[1], "nowhere")
expect(answer_of(unknown).status == 404, "no route")

-- a change of the configuration reaches every instance
configure({ "added" })
for _, x in ipairs(e) do
  wait("the new route at " .. x.name, function()
    return answer_of(request(x, "added")).status == 200
  end)
end

-- a caller that leaves: its run is dropped, the rest goes on
local gone = request(e[2], "stream")
wait("its events", function()
  local _, _, body = gone.connection:get()
  return body:find("id: 2", 1, true)
end)
leave(gone)
expect(answer_of(request(e[2], "stream")).whole, "another stream")

-- a worker that breaks off: resumed in the same answer, or ended unfinished
for _, w in ipairs(gateway.workers) do
  if w.stage == "decode" then
    worker(w, "cut")
  end
end
local broken = answer_of(request(e[1], "stream"))
expect(not broken.whole, "a broken stream does not look whole")
for _, w in ipairs(gateway.workers) do
  if w.stage == "decode" then
    worker(w, "ok")
  end
end

-- a leaving worker gets nothing new
worker(gateway.workers[1], "draining")
sys.pump(1000)
for i = 1, 6 do
  answer_of(request(e[i % 3 + 1], "unsafe"))
end
rows = worker_ledger()
for i = gateway.last - 5, gateway.last do
  for _, row in ipairs(rows["q" .. i] or {}) do
    expect(row.worker ~= gateway.workers[1].id, "nothing for the leaving")
  end
end
worker(gateway.workers[1], "back")

-- the store is away: service goes on, and an instance that starts now takes
-- what it needs from a peer
store("silent")
link("store", "reset")
expect(answer_of(request(e[1], "unsafe")).status == 200, "without the store")
end_now(e[3])
launch(e[3])
wait_ready(e[3])
expect(answer_of(request(e[3], "unsafe")).status == 200, "by a snapshot")
store("ok")
link("store", "pass")

-- a planned stop in the middle of a stream: not ready at once, nothing cut
local long = request(e[2], "stream")
wait("its events", function()
  local _, _, body = long.connection:get()
  return body:find("id: 2", 1, true)
end)
stop_planned(e[2])
wait("not ready", function() return not is_ready(e[2]) end)
expect(answer_of(long).whole, "the stream ends whole")
expect(wait("its exit", function() return sys.reap(e[2].pid) end) == 0,
       "exit code 0")
launch(e[2])
wait_ready(e[2])

-- the history is gone: the list is read anew
store("compact")
worker(gateway.workers[5], "gone")
sys.pump(1500)
expect(answer_of(request(e[1], "unsafe")).status == 200, "after compaction")
worker(gateway.workers[5], "back")

-- all at once, and service again
restart_all()
judge()
