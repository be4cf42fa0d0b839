-- Bodies far over the limit, without a length, must not be held up to the limit by
-- many callers at once.
require("abuse_fleet").run("oversized_chunked")
