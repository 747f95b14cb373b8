-- odd_entries.lua
-- Entries that another writer leaves among those of the workers: what each is
-- called, and the spec with which entry() writes it under a name; a number
-- changes it. The first one is sound, for comparison.

local function raw(text)
  return '{"raw":"' .. text:gsub('"', '\\"') .. '"}'
end
local function metadata(name, more)
  return '{"Metadata":{"Name":"' .. name .. '","Rev":@REV@' .. (more or "") .. "}"
end
local SOUND = '"Service":"other","Zone":"a","Slots":1,"State":"ready",' ..
              '"Addr":"10.9.9.9:80","ColdLeftMs":'
local deep = string.rep("[", 3000) .. string.rep("]", 3000)
odd_forms = {
  { "sound", function(name, n)
    return raw(metadata(name) .. ',"Spec":{' .. SOUND .. n .. "}}")
  end },
  { "port out of range", function(name, n)
    return raw(metadata(name) .. ',"Spec":{' .. SOUND:gsub(":80", ":70000") ..
               n .. "}}")
  end },
  { "deep content", function(name, n)
    return raw(metadata(name) .. ',"Spec":{"a":' .. deep .. ',"b":' .. n .. "}}")
  end },
  { "deep metadata", function(name, n)
    return raw(metadata(name, ',"a":' .. deep) .. ',"Spec":{"b":' .. n .. "}}")
  end },
  { "far number", function(name, n)
    return raw(metadata(name) .. ',"Spec":{' .. SOUND .. n .. "e999}}")
  end },
  { "far start time", function(name, n)
    return raw(metadata(name) .. ',"Spec":{"born":9223372036854775807,' ..
               SOUND .. n .. "}}")
  end },
  { "far revision", function(name, n)
    return raw(metadata(name):gsub("@REV@", "9223372036854775807") ..
               ',"Spec":{' .. SOUND .. n .. "}}")
  end },
  { "no end", function(name, n)
    return raw(metadata(name) .. ',"Spec":{"a":[' .. n)
  end },
}
