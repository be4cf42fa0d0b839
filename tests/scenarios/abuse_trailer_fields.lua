-- Trailers with very many short fields must not be held without a limit.
require("abuse_fleet").run("trailer_fields")
