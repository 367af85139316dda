"""Layer 3: the AS2 relay. It reports events to the delivery engine and carries out the actions that it returns.

`relay.As2Relay` connects the components: `intake` reads submissions, `admission` reserves their memory, `delivery`
carries out attempts, `receipts` verifies and issues receipts, `receipt_delivery` posts final answers to clients,
`registry` watches the partner list, `gossip_service` exchanges knowledge with other relays, and `admin` shows the
state of these components to operators.
"""
