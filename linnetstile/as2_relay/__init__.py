"""Floor 3: the AS2 relay. It reports to the delivery engine what happened and carries out what the engine decides.

`relay.As2Relay` joins the parts: `intake` reads submissions, `admission` grants their memory, `delivery` carries out
attempts, `receipts` verifies and issues receipts, `receipt_delivery` posts final answers to clients, `registry`
watches the partner list, `gossip_service` exchanges knowledge with other relays, `admin` shows all of it to operators.
"""
