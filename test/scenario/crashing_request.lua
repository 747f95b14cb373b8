-- One request ends every engine that runs it, and comes again and again.
--
-- What users saw: a request under which three engines had ended was sent to
-- engines six and ten times more; eleven and fourteen ended, each with a dozen
-- runs of others.
-- Order of events: a stream breaks off with its engine; 0.2 to 3 s later the same
-- request comes under another id, at another instance; it is a new one there.
-- Cause: nothing remembered a request longer than it was open, and an engine's
-- end was held against the engine alone.
-- Evidence: eleven accepted requests with one prompt, one session and the same
-- tokens at seven instances, each with one run and no retry; each engine's
-- connections ended 52 to 118 ms after the run was sent.
dofile("test/scenario/lib/gateway.lua")
gateway.direct = true -- who has ended refuses connections
start_gateway(3)
wait_counted(3)
local e = gateway.instances

-- after the third crash the instances may take so long to hear of it
local CONTACT_MS = 3000
-- runs that are allowed after that
local MOST_RETRIES = 3
-- it comes again after this
local AGAIN_MS = 400

-- runs of it later than the third crash and CONTACT_MS
local function late_runs(runs)
  local n = 0
  for i = 4, #runs do
    n = n + (runs[i].at > runs[3].at + CONTACT_MS and 1 or 0)
  end
  return n
end

local function come_again(kind, name, ms)
  local sent, until_ms = {}, sys.now() + ms
  while sys.now() < until_ms do
    local r = crashing(e[#sent % #e + 1], kind, name)
    sent[#sent + 1] = r
    sys.pump(AGAIN_MS)
  end
  for _, r in ipairs(sent) do
    answer_of(r)
  end
  return sent
end

for _, kind in ipairs { "stream", "unsafe" } do
  local sent = come_again(kind, kind, 10000)
  local runs = runs_of_all(sent)
  expect(#runs >= 3, kind .. ": three crashes are allowed, not " .. #runs)
  expect(late_runs(runs) <= MOST_RETRIES, string.format(
         "%s: %d runs after the third crash was known, %d in all", kind,
         late_runs(runs), #runs))
end
-- others are served meanwhile
local other = request(e[1], "stream")
expect(answer_of(other).status == 200, "another request: " .. other.status)
judge()
