package state

import wire "wisteriakeel.example/wisteriakeel/internal/wire/control"

// maxRecentOrders bounds the orders whose tokens are remembered for retries. A retry of
// a forgotten order gets a newer token, which is safe.
const maxRecentOrders = 1024

// issueToken returns the next fencing token, or the token issued before if the order is a retry.
func (c *Config) issueToken(r *wire.OrderCommand) *wire.OrderReply {
	if r.Order == "" {
		return &wire.OrderReply{Fault: fault(wire.Code_CODE_INVALID, "order is empty")}
	}
	for _, o := range c.recentOrders {
		if o.Order == r.Order {
			return &wire.OrderReply{Token: o.Token}
		}
	}
	c.lastToken++
	c.recentOrders = append(c.recentOrders, &wire.OrderRecord{Order: r.Order, Token: c.lastToken})
	if len(c.recentOrders) > maxRecentOrders {
		c.recentOrders = append([]*wire.OrderRecord(nil), c.recentOrders[1:]...)
	}
	return &wire.OrderReply{Token: c.lastToken}
}
