-- Endpoints turn requests away and ask for rest; real daemons, one of which
-- gets half of the callers.
--
-- What was seen: an endpoint that had asked an instance for 3 s of rest got
-- three and six requests from it in that time; two are the most.
-- Cause: nothing read what it asked for (test/test_endpoint_rest.cc).
dofile("test/scenario/lib/gateway.lua")
start_gateway(6)
wait_counted(6)
local e = gateway.instances

-- requests from an instance in a rest, from so long after it was asked
local MOST_IN_REST, ON_ITS_WAY_MS, REST_MS = 2, 500, 3000
local EVERY_MS = 25 -- a request

-- callers for so long, half of them at the first instance
local function traffic(ms)
  local until_ms, sent = sys.now() + ms, {}
  local i = 0
  while sys.now() < until_ms do
    i = i + 1
    local at = i % 2 == 0 and e[1] or e[i // 2 % #e + 1]
    sent[#sent + 1] = request(at, i % 6 == 0 and "stream" or "safe")
    sys.pump(EVERY_MS)
  end
  for _, r in ipairs(sent) do
    answer_of(r)
  end
  return sent
end

-- when this worker got requests, by the instance that sent them
local function arrivals(w)
  local rows, found = worker_ledger(), {}
  for _, r in ipairs(gateway.asked) do
    for _, row in ipairs(rows[r.id] or {}) do
      if row.worker == w.id and row.at then
        local name = r.instance.name
        found[name] = found[name] or {}
        table.insert(found[name], { at = row.at, rest = row.what == "rest" })
      end
    end
  end
  return found
end

-- the most that came from one instance in one rest
local function worst(w)
  local most = 0
  for _, list in pairs(arrivals(w)) do
    for _, asked in ipairs(list) do
      local count = 0
      for _, one in ipairs(list) do
        local after = one.at - asked.at
        count = count + (after > ON_ITS_WAY_MS and after <= REST_MS and 1 or 0)
      end
      most = math.max(most, asked.rest and count or 0)
    end
  end
  return most
end

local function check(workers)
  for _, w in ipairs(workers) do
    expect(worst(w) <= MOST_IN_REST, w.id .. " had asked for rest and got " ..
           worst(w) .. " requests from one instance in that time")
  end
end

local function workers_of(service, stage)
  local found = {}
  for _, w in ipairs(gateway.workers) do
    if w.service == service and w.stage == stage then
      found[#found + 1] = w
    end
  end
  return found
end

local function set_all(workers, mode)
  for _, w in ipairs(workers) do
    worker(w, mode)
  end
end

-- one of each kind; the others take the rest
local plain = workers_of("app", "")
local decode, prefill = workers_of("llm", "decode"), workers_of("llm", "prefill")
local some = { plain[1], decode[1], prefill[1] }
traffic(1000)
set_all(some, "rest=3")
-- each instance has to be asked once: what is turned away is tried again
-- within the retry budget
traffic(1000)
local with_others = traffic(4000)
check(some)
for _, r in ipairs(with_others) do
  expect(r.status == 200, r.id .. ": " .. r.status)
end
-- all of a service: nobody is left to take a request
set_all(some, "rest=")
traffic(3500)
set_all(plain, "rest=3")
traffic(5000)
check(plain)
set_all(plain, "rest=")
traffic(3500)
for _, r in ipairs(traffic(1000)) do
  expect(r.status == 200, r.id .. ": " .. r.status .. " after the rest")
end
judge()
