-- The platform is down: what must not repeat is refused as not run, the
-- rest is served, a fresh instance gets all from its peers; then it heals.
funkbuch(3)
local e = world.entries
platform("down")

local a = finish(by(MEMBERS, { entry = e[1], prompt = "in the outage" }))
expect(a.whole, "repeatable work goes on: " .. a.body)
local c = finish(by(CLUBS, { entry = e[2], id = "claim-1" }))
expect(c.kind == "claim_unavailable" and c.ran == "no", c.body)
expect(c.head:find("Retry-After", 1, true), "when to come back")
expect(count(function(r) return r.op == "decode" end) == 1, "it did not run")

kill(e[3])
restart(e[3])
ready(e[3])
sys.pump(1500)
local f = finish(by(MEMBERS, { entry = e[3], prompt = "fresh" }))
expect(f.whole, "a fresh instance serves: " .. f.body)

platform("ok")
sys.pump(1000)
local d = finish(by(CLUBS, { entry = e[1], id = "claim-1" }))
expect(d.whole, "the same ID, come back as told: " .. d.body)

-- a reply of the platform is lost after the write
platform("lose", 1)
local l = finish(by(CLUBS, { entry = e[1], id = "claim-2" }))
expect(l.whole, "settled by reading back: " .. l.body)
expect(count(function(r) return r.op == "decode" end) == 4, "once each")
