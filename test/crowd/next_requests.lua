-- Six hundred requests that wait for workers which do not answer, each with
-- 200,000 bytes of a next request behind it. Guards against input behind a
-- request that is buffered by the instance or by the kernel and not counted.
dofile("test/crowd/lib/crowd.lua")
start_crowd { max_conns = 700, timeout = 60000 }
local function set_workers(mode)
  for _, w in ipairs(gateway.workers) do
    if w.service == "app" then
      worker(w, mode)
    end
  end
end
set_workers("mute")
local next_request = head_of("next") .. "Content-Length: 199000\r\n\r\n" ..
                     ("x"):rep(199000)
for i = 1, 600 do
  join(crowd.instance.port, head_of(i, 60000) .. "Content-Length: 1\r\n\r\nx" ..
       next_request)
end
watch()
leave_all()
set_workers("ok")
judge_crowd()
