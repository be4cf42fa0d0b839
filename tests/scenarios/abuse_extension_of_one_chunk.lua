-- A chunk header with an endless extension must not be held without a limit.
require("abuse_fleet").run("extension_of_one_chunk")
