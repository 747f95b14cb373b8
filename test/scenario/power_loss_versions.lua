-- power_loss_versions.lua
-- All instances are killed at once while decode engines of two software
-- versions serve: callers who take their streams up go on at the version that
-- began them, since where each began is in the store. Guards against streams
-- that nobody knows after a power loss.
dofile("test/scenario/lib/gateway.lua")

start_gateway(4)
wait_counted(4)

local decode = {}
for _, w in ipairs(gateway.workers) do
  if w.stage == "decode" then
    decode[#decode + 1] = w
  end
end

-- half of the decode engines, one in each data centre, restart at v2
for i, w in ipairs(decode) do
  if i % 2 == 0 then
    worker(w, "software=v2")
  end
end
sys.pump(6000)

local COUNT = 32
local open, asked, went_on, began_at = {}, 0, 0, {}
for _, w in ipairs(decode) do
  worker(w, "slow")
end
for i = 1, COUNT do
  open[#open + 1] = request(gateway.instances[i % 4 + 1], "resume")
  sys.pump(30)
end
sys.pump(800)
local held, missed = 0, 0
for _, e in ipairs(gateway.instances) do
  held = held + metric(e, "first_pieces_held_total")
  missed = missed + metric(e, "stream_records_missed_total")
end
expect(held >= 12, held .. " first pieces waited for the store")
for _, e in ipairs(gateway.instances) do
  end_now(e)
end
for _, w in ipairs(decode) do
  worker(w, "ok")
end
for _, e in ipairs(gateway.instances) do
  launch(e)
end
for _, e in ipairs(gateway.instances) do
  wait_ready(e)
end
for i, r in ipairs(open) do
  answer_of(r)
  local after, software = last_event(r)
  if not r.whole and after then
    asked = asked + 1
    began_at[software] = (began_at[software] or 0) + 1
    local n = answer_of(take_up(r, gateway.instances[1 + i % 4]))
    local _, goes_on = last_event(n)
    if n.status == 200 and n.whole then
      went_on = went_on + 1
      expect(goes_on == software, "begun at " .. software .. ", ends at " ..
             goes_on)
    end
  end
end
expect(asked >= 12, asked .. " streams broke off")
expect(began_at.v1 and began_at.v2, "streams began at both versions")
expect(went_on * 10 >= asked * 9, went_on .. " of " .. asked .. " went on")

-- a stream that the store does not know either
local unknown = answer_of(request(gateway.instances[3], "resume", nil, nil, nil,
                                  nil, "nobody", 3))
expect(unknown.status == 503, "unknown: " .. unknown.status)
expect(unknown.body:find("stream_unknown", 1, true), unknown.body)
judge()
print(string.format("%d of %d went on, %d held, %d of them in vain", went_on,
                    asked, held, missed))
