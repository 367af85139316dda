"""Floor 2: connections on asyncio's BufferedProtocol, with bounds on what a peer may hold."""
