-- rolling_versions.lua
-- Decode engines of two software versions serve side by side while instances
-- are killed: callers who take their streams up go on at the version that began
-- them, at whichever instance, or are told at once that this can't be.
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
  local e = gateway.instances[i % 2 + 1]
  open[#open + 1] = request(e, "resume")
  sys.pump(30)
end
sys.pump(800)
end_now(gateway.instances[1])
end_now(gateway.instances[2])
for _, w in ipairs(decode) do
  worker(w, "ok")
end
for i, r in ipairs(open) do
  answer_of(r)
  local after, software = last_event(r)
  if not r.whole and after then
    asked = asked + 1
    began_at[software] = (began_at[software] or 0) + 1
    local n = answer_of(take_up(r, gateway.instances[3 + i % 2]))
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
expect(went_on >= asked / 2, went_on .. " of " .. asked .. " went on")

-- a stream that nobody knows of
local unknown = answer_of(request(gateway.instances[3], "resume", nil, nil, nil,
                                  nil, "nobody", 3))
expect(unknown.status == 503, "unknown: " .. unknown.status)
expect(unknown.body:find("stream_unknown", 1, true), unknown.body)
expect(metric(gateway.instances[3], "streams_taken_up_total") +
       metric(gateway.instances[4], "streams_taken_up_total") >= went_on,
       "takings-up are counted")

launch(gateway.instances[1])
launch(gateway.instances[2])
wait_ready(gateway.instances[1])
wait_ready(gateway.instances[2])
judge()
print(string.format("%d of %d went on", went_on, asked))
