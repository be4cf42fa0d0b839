-- Responses that callers do not read must not be held beyond the instance's memory.
require("abuse_fleet").run("unread_responses")
