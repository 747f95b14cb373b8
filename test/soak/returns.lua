-- returns.lua
-- All instances but a few are killed at once, round after round, and some stay
-- away: they are not started again, stand still, or are listed without ever
-- having run. The others serve an account below its share of the limit again.
-- SOAK_SEED, SOAK_SECONDS and SOAK_INSTANCES are taken from the environment.
dofile("test/scenario/lib/gateway.lua")

local seed = tonumber(os.getenv("SOAK_SEED") or "20000")
local seconds = tonumber(os.getenv("SOAK_SECONDS") or "8")
local instances = tonumber(os.getenv("SOAK_INSTANCES") or "6")
local REQUEST_MS = 40 -- between two requests
local PLAIN_COST = 1300
local SERVED_AGAIN_MS = 1000 -- after the last instance is ready
local CHECK_MS = 2000
local SERVED_SHARE = 0.9

math.randomseed(seed)
-- a third of the instances in touch may use a third of it, which suffices
local rate = 4 * PLAIN_COST * 1000 // REQUEST_MS
gateway.accounts = {
  { name = "first", keys = { "key-1" }, rate = rate, burst = rate }
}
start_gateway(instances)
wait_counted(instances)

local function any(list)
  return list[math.random(#list)]
end

local function shuffled(list)
  local out = {}
  for _, one in ipairs(list) do
    table.insert(out, math.random(#out + 1), one)
  end
  return out
end

local EXCUSE_MS = 3000 -- a line that excuses a refusal is so old at most
local function time_of(line)
  local h, m, s, ms = line:match("T(%d+):(%d+):(%d+)%.(%d+)Z")
  return ((h * 60 + m) * 60 + s) * 1000 + ms
end

-- An instance that stood still, or whose store did, has no proof that no key was
-- taken away meanwhile, and refuses until it has.
local function is_excused(r)
  local stood
  for line in io.lines(r.instance.log) do
    if line:find(" E7008 ", 1, true) or line:find(" E4004 .*kind=0") then
      stood = time_of(line)
    elseif line:find("request=" .. r.id .. " reason=old_configuration", 1,
                     true) then
      return stood and time_of(line) - stood <= EXCUSE_MS
    end
  end
end

-- requests to 'running' for so long; returns how many were sent, without those
-- whose refusal is excused, and served
local excused = 0
local function ask_for(ms, running)
  local asked, served = {}, 0
  local till = sys.now() + ms
  while sys.now() < till do
    asked[#asked + 1] = request(any(running), any { "safe", "unsafe" })
    sys.pump(REQUEST_MS)
  end
  local count = #asked
  for _, r in ipairs(asked) do
    if answer_of(r).status == 200 then
      served = served + 1
    elseif is_excused(r) then
      count, excused = count - 1, excused + 1
    end
  end
  return count, served
end

local ghosts = 0
local function list_ghosts(count)
  for _ = 1, count do
    ghosts = ghosts + 1
    entry("madderpier-instances", "entry-lost-" .. ghosts, string.format(
      '{"Address":"127.0.0.9:%d","Zone":"%s"}', ghosts, any { "a", "b" }))
  end
end

-- Kills all but 'spared', keeps 'away' of them away, and checks that the others
-- serve again. Returns a line on the round.
local function play_round(spared, away, how)
  local order, running, absent, left = shuffled(gateway.instances), {}, {}, {}
  for i, e in ipairs(order) do
    if i <= away then
      absent[#absent + 1] = e
    else
      running[#running + 1] = e
    end
  end
  for i, e in ipairs(order) do
    if i <= away and how == "frozen" then
      freeze(e)
    elseif i <= instances - spared then
      left[#left + 1] = request(e, "unsafe") -- open as its instance ends
      end_now(e)
    end
  end
  sys.pump(math.random(0, 1500))
  for i = away + 1, instances - spared do
    launch(order[i])
    sys.pump(any { 0, 0, math.random(0, 300) })
  end
  for _, e in ipairs(running) do
    wait_ready(e)
  end
  ask_for(SERVED_AGAIN_MS, running)
  local asked, served = ask_for(CHECK_MS, running)
  local text = string.format("seed %d: %d of %d %s, %d spared, %d listed in " ..
                             "vain: %d of %d served", seed, away, instances, how,
                             spared, ghosts, served, asked)
  expect(served >= SERVED_SHARE * asked, text)
  for _, r in ipairs(left) do
    leave(r)
  end
  for _, e in ipairs(absent) do
    if how == "frozen" then
      thaw(e)
    else
      launch(e)
    end
    wait_ready(e)
  end
  ask_for(math.random(0, 1000), gateway.instances)
  return text
end

local till = sys.now() + 1000 * seconds
repeat
  if ghosts < instances // 2 and math.random(2) == 1 then
    list_ghosts(1)
  end
  local away = math.random(0, instances * 2 // 3)
  local spared = any { 0, 0, 0, math.random(0, instances - away) }
  print(play_round(spared, away, any { "stopped", "frozen" }))
until sys.now() >= till
print(string.format("seed %d: %d refusals after a standstill", seed, excused))
judge()
