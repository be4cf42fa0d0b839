-- The soak with instances that lose all runners, beside restarts, planned stops, a
-- store that is away and runners that stand still.
options = "seconds=25 gap=2500 only=cut_off_instances,cut_off_instances," ..
    "cut_off_instances,kill_instance,stop_instance,store_trouble,silent_runner " .. options
require("soak")
