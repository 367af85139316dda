"""Layer 2: HTTP/1.1 servers, clients and TLS on asyncio's `BufferedProtocol`, with limits on each peer's resources."""
