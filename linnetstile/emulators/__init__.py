"""Layer 4: emulators of partners, clients, the registry and discovery.

Each is scriptable with faults and keeps a traffic record of what it saw on its sockets.
"""
