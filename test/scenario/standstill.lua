-- standstill.lua
-- Guards against requests that lie in the kernel while an instance stands still
-- and are sent to an endpoint after their caller's deadline. Instances are
-- frozen for 0.6 to 4 s; requests with short and long deadlines are sent
-- just before, during and just after it, on kept and on new connections. A
-- caller with time left gets its answer, after retries where it is refused as
-- not run.
dofile("test/scenario/lib/gateway.lua")
dofile("test/scenario/lib/planned_work.lua")

local PAUSES_MS = { 600, 1600, 2400, 4000 }
local DEADLINES_MS = { 300, 900, 1500, 3000, 9000 }
local KINDS = { "safe", "stream", "unsafe", "resume" }
local KEPT_COUNT = 20
-- the clocks of the worker and of this script are one; a worker notes a run
-- somewhat later than it was sent
local SLACK_MS = 30
-- a caller tries again as long as it has this time left
local RETRY_MIN_MS = 500

start_gateway(#PAUSES_MS)
wait_counted(#PAUSES_MS)

local plans = {}
for i, pause in ipairs(PAUSES_MS) do
  local plan = { instance = gateway.instances[i], pause = pause, kept = {},
                 all = {}, sent = {} }
  for k = 1, KEPT_COUNT do
    plan.kept[k] = answer_of(request(plan.instance, "safe")).connection
  end
  plans[i] = plan
end

local function send(plan, kind, deadline, connection)
  local r = request(plan.instance, kind, connection, nil, nil, nil, nil, nil,
                    deadline)
  plan.all[#plan.all + 1] = r
end

-- one request of each deadline, alternately on new and on kept connections
local function send_some(plan)
  for i, deadline in ipairs(DEADLINES_MS) do
    local n = #plan.all
    local connection = nil
    if n % 2 == 1 then
      connection = table.remove(plan.kept, 1)
    end
    send(plan, KINDS[n % #KINDS + 1], deadline, connection)
  end
end

-- a caller that is told that its request has not run tries again
local function follow(plan, r)
  if not ended(r) then
    return sys.now() - r.sent > r.deadline + 2000
  end
  local left = r.sent + r.deadline - sys.now()
  if r.status == 503 and r.whole and left > RETRY_MIN_MS and not r.again then
    r.again = true
    send(plan, r.kind, left, nil)
    plan.all[#plan.all].first_try = r
    r.retry = plan.all[#plan.all]
  end
  return true
end
local function follow_all()
  local is_over = true
  for _, plan in ipairs(plans) do
    for i = 1, #plan.all do
      is_over = follow(plan, plan.all[i]) and is_over
    end
  end
  return is_over
end

for _, plan in ipairs(plans) do
  plan.at = { -- milliseconds after the freezing, 'pause' of them thaw it
    { 5, send_some }, { plan.pause // 2, send_some },
    { plan.pause - 20, send_some },
    { plan.pause, function() thaw(plan.instance) end },
    { plan.pause + 1, send_some }, { plan.pause + 40, send_some } }
  send_some(plan) -- read by the instance, or not
  freeze(plan.instance)
  plan.frozen_at = sys.now()
end
while true do
  local is_over = true
  for _, plan in ipairs(plans) do
    while plan.at[1] and sys.now() - plan.frozen_at >= plan.at[1][1] do
      table.remove(plan.at, 1)[2](plan)
    end
    is_over = is_over and #plan.at == 0
  end
  if is_over then break end
  follow_all()
  sys.pump(1)
end

while not follow_all() do
  sys.pump(10) -- each ends, or is given up 2 s after its deadline
end

local rows = worker_ledger()
local late, unserved, counts = {}, {}, {}
for i, plan in ipairs(plans) do
  for _, r in ipairs(plan.all) do
    for _, row in ipairs(rows[r.id] or {}) do
      local over = row.at - (r.sent + r.deadline)
      if (row.what == "run" or row.what == "prefill") and over > SLACK_MS then
        late[#late + 1] = string.format(
          "%s (%s, %d ms): %s %d ms after its deadline, in a pause of %d ms",
          r.id, r.kind, r.deadline, row.what, over, plan.pause)
      end
    end
    if not r.over then
      r.left = true
      r.over = true
    end
    if not r.first_try then
      local last = r
      while last.retry do last = last.retry end
      local outcome = last.status == 200 and last.whole and "served" or
                      "status " .. tostring(last.status)
      counts[outcome] = (counts[outcome] or 0) + 1
      -- a caller that has time left when the instance goes on is served
      local left = r.sent + r.deadline - (plan.frozen_at + plan.pause)
      if left > 1000 and outcome ~= "served" then
        unserved[#unserved + 1] = string.format(
          "%s (%s, %d ms): %s, with %d ms left after a pause of %d ms", r.id,
          r.kind, r.deadline, outcome, left, plan.pause)
      end
    end
  end
  local line = log_text(plan.instance):match("E7008[^\n]*")
  expect(line, plan.instance.name .. " says that it stood still")
  local length = tonumber(line:match("length_ms=\"?(%d+)"))
  expect(length >= plan.pause - 5, "its length: " .. line)
end
print_counts("standstill", counts)
print("sent after the caller's deadline: " .. #late)
print("not served: " .. #unserved)
judge()
expect(#late == 0, table.concat(late, "\n"))
expect(#unserved == 0, table.concat(unserved, "\n"))
