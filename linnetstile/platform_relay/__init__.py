"""Floor 3: a relay on the users' platform; the same engine as everywhere decides. Standard library alone.

| module | job |
|---|---|
| `process` | signals, the log on standard error, exit codes |
| `config` | the environment and the configuration file |
| `relay` | `PlatformRelay`: joins the parts around the engine, and carries out its actions |
| `http_frontend`, `intake` | clients: reading requests; accepting, journaling and acknowledging messages |
| `delivery`, `endpoint_client` | endpoints: journaling attempts; calls and what they prove |
| `results`, `notices` | messages that are not delivered: answers and notices; posting notices to the platform |
| `recovery`, `shutdown` | what an earlier process left; the phases between SIGTERM and the end |
| `accepted`, `records`, `journal_codec`, `journal` | accepted messages; their stored form; the file |
| `discovery` | the watch |
| `directory`, `endpoint_record`, `list_entry`, `listed_destinations` | the endpoints that discovery lists |
| `clock` | Unix time |
"""
