-- Engines are ordered to decode while prefill engines idle; the holder of the
-- lease dies, and the next one orders under a higher fence.
dofile("test/scenario/lib/gateway.lua")
gateway.lease_ms = 2000
gateway.kv_tokens = 2500 -- two runs an engine
gateway.more_prefill = 4
start_gateway(2)

for _, w in ipairs(gateway.workers) do
  if w.stage == "decode" then
    worker(w, "slow") -- streams of some seconds
  end
end

-- streams on kept connections, as many as find room
local open = {}
local function load()
  for i = 1, 8 do
    if not open[i] or ended(open[i]) then
      local e = gateway.instances[i % #gateway.instances + 1]
      if e.pid then
        open[i] = request(e, "resume", nil)
      end
    end
  end
end

local function order_by(known)
  for _ = 1, 600 do
    load()
    sys.pump(50)
    local rows = orders()
    if #rows > known then
      return rows
    end
  end
  expect(false, "no order came in 30 s")
end

local rows = order_by(0)
sys.pump(1000)
rows = orders()
for _, row in ipairs(rows) do
  expect(row.stage == "decode", "to decode: " .. row.stage)
  expect(row.status == 202, "taken: " .. row.status)
  expect(row.holder == rows[1].holder, "one holder")
end
expect(#rows <= 4, "each zone keeps a prefill engine: " .. #rows)

-- the holder is gone, and the engines are as they were
local holder, other
for _, e in ipairs(gateway.instances) do
  if e.name == rows[1].holder then
    holder = e
  else
    other = e
  end
end
expect(holder and other, "the holder is one of the instances")
end_now(holder)
holder.pid = nil
for _, w in ipairs(gateway.workers) do
  if w.stage == "prefill" then
    worker(w, "prefill")
  end
end
local known = #orders()
local newer = order_by(known)
for i = known + 1, #newer do
  expect(newer[i].holder == other.name, "the other one orders now")
  expect(newer[i].fence > rows[1].fence, "under a higher fence")
  expect(newer[i].status == 202, "taken: " .. newer[i].status)
end
for _, r in pairs(open) do
  if r.instance == other then
    answer_of(r)
  end
end
judge()
