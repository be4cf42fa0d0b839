-- Process measurements for benchmarks.
local measure = {}

-- Processor time used since the start of the process, ms.
function measure.cpu_ms(pid)
  local stat = read_file("/proc/" .. math.floor(pid) .. "/stat")
  local fields = {}
  for field in stat:match("%) (.*)"):gmatch("%S+") do
    fields[#fields + 1] = field
  end
  return (tonumber(fields[12]) + tonumber(fields[13])) * 10
end

-- Resident memory, KiB.
function measure.rss_kib(pid)
  local status = read_file("/proc/" .. math.floor(pid) .. "/status")
  return tonumber(status:match("VmRSS:%s+(%d+)"))
end

function measure.metric(instance, name)
  local text = call{ address = instance.address, path = "/metrics" }.body or ""
  return tonumber(text:match("\n" .. name .. " (%-?[%d%.e+]+)")) or 0
end

-- Runs cactusward_load to completion and returns its JSON report.
function measure.load(name, arguments)
  local log = work .. "/" .. name .. ".log"
  write_file(log, "")
  table.insert(arguments, 1, "cactusward_load")
  arguments[#arguments + 1] = "--json"
  local pid = start(name, arguments)
  while not exited(pid) do sleep(20) end
  local text = read_file(log)
  return from_json(text:sub((text:find("{\n"))))
end

return measure
