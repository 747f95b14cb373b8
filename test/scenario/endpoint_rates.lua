-- Overloaded endpoints name the requests a second that they take from all
-- instances together; real daemons, one of which gets half of the callers.
--
-- What was seen: endpoints that named 5.3 and 4.3 a second went on to get as
-- many requests as before, from all instances.
-- Cause: nothing read what they named (test/test_endpoint_rates.cc).
dofile("test/scenario/lib/gateway.lua")
start_gateway(6)
wait_counted(6)
local e = gateway.instances

-- what an endpoint may get: of what it named, and on top of that, in a window,
-- so long after its first answer that named it
local TOLERANCE, SLACK, WINDOW_MS, CONTACT_MS = 1.5, 5, 4000, 3000
local PLAIN_RATE, ENGINE_RATE = 3, 1.5
local EVERY_MS = 40 -- a request
local sent = {}

-- callers for so long, half of them at the first instance
local function traffic(ms)
  local until_ms = sys.now() + ms
  local i = 0
  while sys.now() < until_ms do
    i = i + 1
    local at = i % 2 == 0 and e[1] or e[i // 2 % #e + 1]
    sent[#sent + 1] = request(at, i % 6 == 0 and "stream" or "safe")
    sys.pump(EVERY_MS)
  end
end

local function worker_of(service, stage)
  for _, w in ipairs(gateway.workers) do
    if w.service == service and w.stage == stage then
      return w
    end
  end
end

-- when requests reached this worker, in their order
local function arrivals(w)
  local found = {}
  for _, rows in pairs(worker_ledger()) do
    for _, row in ipairs(rows) do
      if row.worker == w.id and row.at then
        found[#found + 1] = row.at
      end
    end
  end
  table.sort(found)
  return found
end

-- the most of them in a window that ends at 'from' or later
local function worst(found, from)
  local most, first = 0, 1
  for last, at in ipairs(found) do
    while found[first] <= at - WINDOW_MS do
      first = first + 1
    end
    if at >= from then
      most = math.max(most, last - first + 1)
    end
  end
  return most
end

local plain, engine = worker_of("app", ""), worker_of("llm", "decode")
traffic(2000)
worker(plain, "rate=" .. PLAIN_RATE)
worker(engine, "rate=" .. ENGINE_RATE)
local named = sys.now()
traffic(9000)
for _, w in ipairs { { plain, PLAIN_RATE }, { engine, ENGINE_RATE } } do
  -- a window that begins when all have heard of it: within a second
  local from = named + math.max(CONTACT_MS, WINDOW_MS + 1000)
  local got = worst(arrivals(w[1]), from)
  local most = TOLERANCE * w[2] * WINDOW_MS / 1000 + SLACK
  expect(got <= most, string.format("%s named %.1f a second and got %d in %d s, %d allowed",
         w[1].id, w[2], got, WINDOW_MS // 1000, most))
  expect(got >= w[2] * WINDOW_MS / 1000 / 2, w[1].id .. " is still used: " .. got)
end
-- the others take the rest
for _, r in ipairs(sent) do
  answer_of(r)
  expect(r.status == 200, r.id .. ": " .. r.status)
end
-- one that names none any more is used as before
worker(plain, "rate=")
traffic(4000)
local back = arrivals(plain)
expect(worst(back, sys.now() - 1000) > TOLERANCE * PLAIN_RATE * WINDOW_MS / 1000 + SLACK,
       "it is used again: " .. worst(back, sys.now() - 1000))
for _, r in ipairs(sent) do
  answer_of(r)
end
judge()
