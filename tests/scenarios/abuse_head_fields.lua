-- Heads of legal size with thousands of short fields must not take many times their
-- size.
require("abuse_fleet").run("head_fields")
