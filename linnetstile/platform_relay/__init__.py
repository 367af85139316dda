"""Layer 3: a relay on the users' platform, built on the delivery engine. Uses the standard library only.

| module | job |
|---|---|
| `process` | the process: signals, the log on standard error, exit codes |
| `config` | the environment and the configuration file |
| `relay` | `PlatformRelay`: connects the parts with the engine and carries out the engine's actions |
| `http_frontend`, `submission` | the HTTP front end for clients; parses the heads of their requests |
| `intake` | accepts messages: journals and acknowledges them |
| `accepted` | the accepted messages that have no result yet |
| `delivery`, `endpoint_client` | makes attempts; makes HTTP calls to endpoints |
| `results`, `notices` | reports messages that are not delivered; posts notices to the platform |
| `recovery`, `shutdown` | resumes messages and notices of an earlier process; runs the graceful shutdown |
| `turn_recovery` | passes endpoints and messages to the engine again after one of its turns has failed |
| `records` | the typed records of the journal |
| `journal`, `journal_codec`, `journal_replay` | the journal: its file, its format, its replay at the start |
| `discovery`, `watch_connection` | opens watches of the endpoint list; reads one watch |
| `directory`, `endpoint_table`, `endpoint_record` | the endpoints: look-ups, the table, a packed record |
| `list_update`, `list_entry` | applies a list to the table; parses an entry |
| `list_store` | the list in the state folder, by which a process starts while discovery is silent |
| `listed_destinations` | the destinations that have endpoints |
| `counters`, `log_events` | names of counters and log events |
| `clock`, `process_memory` | Unix time; the memory of this process |
"""
