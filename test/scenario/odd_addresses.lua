-- An entry among the workers' that names an address at which no worker can be:
-- one of the instance itself or of the store. It must not be used. And one
-- that is wrong in the same way after each of its changes is logged once.
dofile("test/scenario/lib/gateway.lua")
start_gateway(1)
wait_counted(1)
local e = gateway.instances[1]

local function rejections(name)
  local n = 0
  for line in io.lines(e.log) do
    if line:find("E8101", 1, true) and line:find("name=" .. name .. " ", 1, true)
    then
      n = n + 1
    end
  end
  return n
end

local function app(port, slots)
  return string.format('{"Service":"app","Addr":"127.0.0.1:%d","Zone":"a",' ..
                       '"Slots":%d,"State":"ready","ColdLeftMs":0}', port, slots)
end

local wrong = {}
for _, one in ipairs { { "callers", e.port }, { "control", e.control },
                       { "exchange", e.exchange }, { "ready", e.ready },
                       { "metrics", e.metrics },
                       { "store", gateway.store_proxy } } do
  entry("servers", "i-" .. one[1], app(one[2], 8))
  sys.pump(800)
  if rejections("i-" .. one[1]) == 0 then
    wrong[#wrong + 1] = "the address of " .. one[1] .. " is used"
  end
  entry("servers", "i-" .. one[1], "{}")
end

for i = 1, 30 do
  entry("servers", "i-odd", app(70000, i))
  sys.pump(100)
end
sys.pump(800)
if rejections("i-odd") ~= 1 then
  wrong[#wrong + 1] = rejections("i-odd") .. " lines for one entry"
end
expect(#wrong == 0, table.concat(wrong, "; "))
judge()
